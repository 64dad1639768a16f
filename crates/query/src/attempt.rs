//! Inputs and outputs of the query state machine.

use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::IndexVersion;
use base::QueryReply;
use base::ShardId;
use base::Snapshot;
use base::UpstreamId;
use limit::Limits;
use rand::Rng;

use crate::Answer;

/// What a query borrows from its node while it handles an event.
pub struct Env<'a> {
    /// The index that the query reads.
    pub index: &'a IndexState,
    /// Gates and budgets of the node; upstreams without a gate are not used.
    pub limits: &'a mut Limits,
    /// Last attempt id that was assigned; ids are unique on this node.
    pub next_attempt: &'a mut AttemptId,
    /// Random generator, seeded by the caller.
    pub rng: &'a mut dyn Rng,
}

impl std::fmt::Debug for Env<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Env")
            .field("index", &self.index.index)
            .finish_non_exhaustive()
    }
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt for its shard.
    Primary,
    /// Runs in parallel to an attempt whose reply is late.
    Hedge,
    /// Replaces an attempt that failed or stays silent.
    Retry,
}

/// A request for one shard that is sent to one upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// Why it is sent.
    pub kind: AttemptKind,
    /// Upstream that receives it.
    pub upstream: UpstreamId,
    /// Shard to read.
    pub shard: ShardId,
    /// Snapshot to read.
    pub snapshot: Snapshot,
    /// Time after which the reply is useless.
    pub deadline: Instant,
}

/// Why an attempt has no usable reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// The upstream shed the request and proved that it was not run.
    NotRun,
    /// The upstream refused the connection, so nothing was written; a sign that its connection limit is reached.
    Refused,
    /// The connection failed before the request was written.
    Unreachable,
    /// The upstream rejected the index version or the map before running; it lists the versions that it holds.
    Retired(Vec<IndexVersion>),
    /// The connection ended after the request was sent and before the reply was complete, as when the upstream crashes;
    /// the request may have run.
    Broken,
    /// The reply was invalid; the request may have run.
    Lost,
    /// The reply was dropped because this process has no memory for it. The upstream has run the request and is not at
    /// fault, and a repeat would be dropped as well.
    Dropped,
}

impl Failure {
    /// Returns whether the failure proves that the request was not run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            Failure::NotRun | Failure::Refused | Failure::Unreachable | Failure::Retired(_) => true,
            Failure::Broken | Failure::Lost | Failure::Dropped => false,
        }
    }
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// The query was admitted.
    Start,
    /// An upstream replied.
    ///
    /// For a request that is not repeatable, the runtime builds the one part from the reply to `POST /v1/run` and the
    /// snapshot of the attempt.
    Reply(QueryReply),
    /// An attempt failed.
    Failed(AttemptId, Failure),
    /// The time of an [`Action::WakeAt`] was reached, or a gate that the query waits for has capacity again.
    Wake,
}

/// An output of the state machine.
#[derive(Debug)]
pub enum Action {
    /// Send an attempt.
    Send(Attempt),
    /// Tell the upstream that the reply is not needed, and free the resources of the attempt.
    Cancel(AttemptId),
    /// Send [`Event::Wake`] at this time or later.
    WakeAt(Instant),
    /// Return the answer to the caller; the last action of a query.
    Finish(Box<Answer>),
}
