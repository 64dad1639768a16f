//! The validated declaration of a service.

use std::time::Duration;

use base::IndexName;
use base::RequestName;
use base::ServiceName;
use base::Shard;
use base::ShardId;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// One validated declaration file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Name of the service, unique in the catalogue.
    pub service: ServiceName,
    /// Index that its queries read.
    pub index: IndexName,
    /// Shards that a query covers.
    pub shards: ShardSet,
    /// Time limit of a query.
    pub deadline: Duration,
    /// Priority class.
    pub class: Class,
    /// Behaviour when shards are slow and at the deadline.
    pub at_deadline: AtDeadline,
    /// Hedges allowed, as a fraction of primary sub-requests.
    pub hedge_budget: f64,
    /// Retries allowed, as a fraction of primary sub-requests.
    pub retry_budget: f64,
    /// Kinds of request.
    pub requests: Vec<Request>,
}

impl Declaration {
    /// Looks up a kind of request by its name.
    pub fn request(&self, name: &str) -> Option<&Request> {
        self.requests.iter().find(|request| request.name == name)
    }
}

/// A kind of request of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name, unique in the service.
    pub name: RequestName,
    /// Whether the request is idempotent; any other request is claimed before it is sent, so that it runs at most once.
    pub repeatable: bool,
}

/// The shards that a query covers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardSet {
    /// Every shard of the index.
    All,
    /// Shards from the first to the last id, both included.
    Range([ShardId; 2]),
    /// Shards by id.
    Names(Vec<ShardId>),
    /// Shards that carry a tag.
    Tag(CompactString),
}

impl ShardSet {
    /// Returns whether the set contains a shard.
    pub fn contains(&self, shard: &Shard) -> bool {
        match self {
            ShardSet::All => true,
            ShardSet::Range([first, last]) => (*first..=*last).contains(&shard.id),
            ShardSet::Names(ids) => ids.contains(&shard.id),
            ShardSet::Tag(tag) => shard.tags.contains(tag),
        }
    }
}

/// Priority class of a service; interactive requests are sent before batch requests to shared servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// A program waits for the answer.
    Batch,
}

/// Whether latency or coverage has priority when shards are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Prefer {
    /// Answer early with the shards that replied, once the minimum coverage is met.
    Latency,
    /// Wait for every shard until the deadline.
    Coverage,
}

/// Behaviour of a query when shards are slow and at its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AtDeadline {
    /// Whether latency or coverage has priority.
    pub prefer: Prefer,
    /// Smallest fraction of members that a successful answer covers.
    pub min_coverage: f64,
}
