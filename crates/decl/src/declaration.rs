//! What a service team declares, after validation.

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
    /// How long callers may wait.
    pub deadline: Duration,
    /// Priority class.
    pub class: Class,
    /// What happens at the deadline.
    pub at_deadline: AtDeadline,
    /// Hedges as a fraction of primary sub-requests.
    pub hedge_budget: f64,
    /// Retries as a fraction of primary sub-requests.
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
    /// Whether running it twice does no harm; a request that is not repeatable is claimed before it is sent.
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
    /// Tells whether the set contains a shard.
    pub fn contains(&self, shard: &Shard) -> bool {
        match self {
            ShardSet::All => true,
            ShardSet::Range([first, last]) => (*first..=*last).contains(&shard.id),
            ShardSet::Names(ids) => ids.contains(&shard.id),
            ShardSet::Tag(tag) => shard.tags.contains(tag),
        }
    }
}

/// Priority class of a service; interactive work goes first when servers are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// A program waits for the answer.
    Batch,
}

/// What the service weighs most when shards are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Prefer {
    /// Answer early with the shards that replied, once the minimum coverage is met.
    Latency,
    /// Wait for every shard until the deadline.
    Coverage,
}

/// The rule at the deadline of a query.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AtDeadline {
    /// Latency or coverage first.
    pub prefer: Prefer,
    /// Fraction of members below which no answer is given.
    pub min_coverage: f64,
}
