//! Answers, their coverage, and the explanation record.

use base::Code;
use base::IndexName;
use base::Part;
use base::RequestName;
use base::Revision;
use base::ServiceName;
use base::ShardId;
use base::Snapshot;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// The end of a query.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Result code; its outcome says what the caller may conclude.
    pub code: Code,
    /// Parts by shard, ascending; all from the snapshot in the explanation.
    pub parts: Vec<Part>,
    /// How the answer came about.
    pub explanation: Explanation,
}

/// What an answer covers, against the shards of the bound map.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards asked for.
    pub shards: u32,
    /// Shards in the answer.
    pub answered: u32,
    /// Members of the shards asked for.
    pub members: u64,
    /// Members of the shards in the answer.
    pub covered: u64,
    /// Shards that are not in the answer.
    pub missing: Vec<MissingShard>,
}

/// A shard that is not in an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
    /// Sub-requests that were sent for it on the bound snapshot.
    pub attempts: u32,
}

/// Why a shard is not in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply came before the answer was given.
    Deadline,
    /// No replica can be reached.
    NoReplica,
    /// No replica holds the bound index version any more.
    Retired,
    /// Every replica shed the work.
    Shed,
    /// The limits of this node let no sub-request through in time.
    Limited,
    /// Every replica that could serve it is draining.
    Draining,
    /// The reply was lost or not valid, and no other attempt was possible.
    Lost,
}

/// Compact record of how an answer came about; see `docs/design.md`, section 5.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Query id in hexadecimal.
    pub query: CompactString,
    /// Service.
    pub service: ServiceName,
    /// Kind of request.
    pub request: RequestName,
    /// Index.
    pub index: IndexName,
    /// Result code.
    pub code: Code,
    /// Configuration revision.
    pub revision: Revision,
    /// Age of the revision in milliseconds when it was not confirmed within the bound.
    pub stale_ms: Option<u64>,
    /// The snapshot that every part comes from.
    pub snapshot: Option<Snapshot>,
    /// Coverage.
    pub coverage: Coverage,
    /// Sub-requests sent, hedges and retries included.
    pub attempts: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Retries sent.
    pub retries: u32,
    /// Restarts on another snapshot.
    pub restarts: u32,
    /// Snapshots that the restarts gave up, in order.
    pub abandoned: Vec<Snapshot>,
    /// Sub-requests whose reply was not awaited: losers of hedges, restarts, and those outstanding at the end.
    pub cancelled: u32,
    /// Sub-requests that were proved not run.
    pub not_run: u32,
    /// Sub-requests whose reply was lost or not valid.
    pub lost: u32,
    /// Shards for which a sub-request was put off because of the limits of this node.
    pub postponed: u32,
    /// Parts dropped because they were late, duplicate or did not match; a reply without any counts as one.
    pub dropped: u32,
    /// Time allowed, in milliseconds.
    pub deadline_ms: u64,
    /// Time taken, in milliseconds.
    pub elapsed_ms: u64,
}
