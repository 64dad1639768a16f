//! Parameters of a query, fixed when it is accepted.

use std::time::Duration;
use std::time::Instant;

use base::IndexName;
use base::QueryId;
use base::RequestName;
use base::Revision;
use base::ServiceName;
use compact_str::CompactString;
use decl::AtDeadline;
use decl::ShardSet;

use crate::Tuning;

/// Parameters of one query.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Identifies the query.
    pub id: QueryId,
    /// Service that declared the request.
    pub service: ServiceName,
    /// Kind of request.
    pub request: RequestName,
    /// Index to read.
    pub index: IndexName,
    /// Shards to cover.
    pub shards: ShardSet,
    /// Whether the request is declared repeatable.
    pub repeatable: bool,
    /// Idempotency key; a request that is not repeatable goes to the one shard of `shards` that the key hashes to, so
    /// that a caller's retry reaches the same shard.
    pub key: CompactString,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Rules from the service's declaration.
    pub policy: Policy,
    /// Configuration revision that the query is bound to.
    pub revision: Revision,
    /// Time since the revision was last confirmed, if that exceeds the bound of `conf`.
    pub stale: Option<Duration>,
    /// Mechanisms in effect.
    pub tuning: Tuning,
}

/// Rules that a service declares for its queries.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// What happens at the deadline.
    pub at_deadline: AtDeadline,
    /// Hedges allowed, as a fraction of the primary attempts.
    pub hedge_budget: f64,
    /// Retries allowed, as a fraction of the primary attempts.
    pub retry_budget: f64,
}
