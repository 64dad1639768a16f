//! Events and actions of the model of one upstream server.

use std::time::Instant;

use base::AttemptId;
use base::QueryReply;
use base::QueryRequest;
use base::RejectReply;
use base::RunReply;
use base::RunRequest;

use crate::fault::Fault;
use crate::server::RequestId;

/// An event that the driver passes to the model.
#[derive(Debug)]
pub enum Event {
    /// A query of some shards; without shards it is a probe.
    Query(RequestId, QueryRequest),
    /// A request that changes one shard.
    Run(RequestId, RunRequest),
    /// The caller cancels this attempt.
    Cancel(AttemptId),
    /// A fault is injected or cleared.
    Fault(Fault),
    /// The time of an earlier [`Action::WakeAt`] is reached.
    Wake,
}

/// An action that the model requests of the driver.
#[derive(Debug)]
pub enum Action {
    /// Send the reply to a request.
    Reply(RequestId, Reply),
    /// Pass [`Event::Wake`] to the model at this time or later.
    WakeAt(Instant),
}

/// The reply to one request.
#[derive(Debug)]
pub enum Reply {
    /// The result of a query, with status 200.
    Query(QueryReply),
    /// The result of a run, with status 200.
    Run(RunReply),
    /// A rejection, with an error status.
    Rejected(Rejection),
}

/// The rejection of a request.
#[derive(Debug)]
pub struct Rejection {
    /// HTTP status: 410, 429 or 503.
    pub status: u16,
    /// Whether the server guarantees that the request was not run.
    pub not_run: bool,
    /// Body of the reply.
    pub body: RejectReply,
}
