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

/// Result of a query.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Result code; its outcome says what the caller may conclude.
    pub code: Code,
    /// Parts in ascending order of their shards; all from the snapshot in the explanation.
    pub parts: Vec<Part>,
    /// How the answer came about.
    pub explanation: Explanation,
}

/// Share of the bound map's shards and members that an answer covers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Coverage {
    /// Requested shards.
    pub shards: u32,
    /// Shards in the answer.
    pub answered: u32,
    /// Members of the requested shards.
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
    /// Attempts that were sent for it on the bound snapshot.
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
    /// A replica no longer holds the bound index version, and no other attempt was possible.
    Retired,
    /// The last attempt was shed, and no other one was possible.
    Shed,
    /// The limits of this node or of the upstreams allowed no attempt in time.
    Limited,
    /// No replica can serve it, and at least one of them is draining.
    Draining,
    /// The reply was lost or invalid, and no other attempt was possible.
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
    /// Milliseconds since the revision was last confirmed, if that exceeds the bound of `conf`.
    pub stale_ms: Option<u64>,
    /// Snapshot that every part comes from.
    pub snapshot: Option<Snapshot>,
    /// Shards and members that the answer covers.
    pub coverage: Coverage,
    /// Attempts sent, hedges and retries included.
    pub attempts: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Retries sent.
    pub retries: u32,
    /// Restarts on another snapshot.
    pub restarts: u32,
    /// Snapshots abandoned by restarts, in order.
    pub abandoned: Vec<Snapshot>,
    /// Attempts cancelled before they ended: because another one replied first, at a restart, or at the end.
    pub cancelled: u32,
    /// Attempts that were proved not run.
    pub not_run: u32,
    /// Attempts whose reply was lost or invalid.
    pub lost: u32,
    /// Shards with an attempt delayed because no replica was available at once.
    pub postponed: u32,
    /// Parts dropped because they were late, duplicate or of another shard or snapshot; a late reply without parts
    /// counts as one.
    pub dropped: u32,
    /// Time allowed, in milliseconds.
    pub deadline_ms: u64,
    /// Time from the start to the answer, in milliseconds.
    pub elapsed_ms: u64,
}
