//! Inputs and outputs of the model of one server.

use std::time::Instant;

use base::AttemptId;
use base::QueryReply;
use base::QueryRequest;
use base::RejectReply;
use base::RunReply;
use base::RunRequest;

use crate::fault::Fault;
use crate::server::RequestId;

/// An input of the model.
#[derive(Debug)]
pub enum Event {
    /// A request to search some shards; without shards it is a probe.
    Query(RequestId, QueryRequest),
    /// A request that changes a shard.
    Run(RequestId, RunRequest),
    /// The caller needs no reply to this attempt.
    Cancel(AttemptId),
    /// A fault is switched on or off.
    Fault(Fault),
    /// A requested moment has come.
    Wake,
}

/// An output of the model.
#[derive(Debug)]
pub enum Action {
    /// Send the reply to a request.
    Reply(RequestId, Reply),
    /// Call back with [`Event::Wake`] at this moment or later.
    WakeAt(Instant),
}

/// The reply to one request.
#[derive(Debug)]
pub enum Reply {
    /// Status 200 to a query.
    Query(QueryReply),
    /// Status 200 to a run.
    Run(RunReply),
    /// An error status.
    Rejected(Rejection),
}

/// A rejected request.
#[derive(Debug)]
pub struct Rejection {
    /// HTTP status: 410, 429 or 503.
    pub status: u16,
    /// Whether the server proves that the request was not run.
    pub not_run: bool,
    /// Body.
    pub body: RejectReply,
}
