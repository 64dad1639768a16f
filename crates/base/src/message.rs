//! Messages between an entry VM and an upstream, as JSON over HTTP/1.1.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::AttemptId;
use crate::IndexName;
use crate::IndexVersion;
use crate::MapId;
use crate::RequestName;
use crate::ShardId;

/// Response header that proves that a rejected request was not run; its value is `1`.
pub const HEADER_NOT_RUN: &str = "x-not-run";

/// Response header that carries the [`UpstreamState`] on every reply.
pub const HEADER_STATE: &str = "x-state";

/// State that an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// In service.
    Live,
    /// Started recently; its caches are not warm yet.
    Cold,
    /// About to stop; it finishes the requests in progress and accepts no new ones.
    Draining,
}

impl UpstreamState {
    /// Returns the value of the `x-state` header.
    pub fn as_str(self) -> &'static str {
        match self {
            UpstreamState::Live => "live",
            UpstreamState::Cold => "cold",
            UpstreamState::Draining => "draining",
        }
    }

    /// Parses the value of the `x-state` header.
    pub fn parse(text: &str) -> Option<UpstreamState> {
        match text {
            "live" => Some(UpstreamState::Live),
            "cold" => Some(UpstreamState::Cold),
            "draining" => Some(UpstreamState::Draining),
            _ => None,
        }
    }
}

/// Body of `POST /v1/query`: asks one upstream for some shards of one snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueryRequest {
    /// Identifies this attempt; the reply echoes it.
    pub attempt: AttemptId,
    /// Identifies the query, in hexadecimal.
    pub query: CompactString,
    /// Index to search.
    pub index: IndexName,
    /// Index version to read.
    pub version: IndexVersion,
    /// Shard map that `shards` refers to.
    pub map: MapId,
    /// Shards to search.
    pub shards: Vec<ShardId>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Kind of request.
    pub request: RequestName,
    /// The caller's body, passed on unchanged.
    pub body: Box<RawValue>,
}

/// Contribution of one shard to an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Part {
    /// Shard that the items come from.
    pub shard: ShardId,
    /// Index version that was read.
    pub version: IndexVersion,
    /// Shard map that `shard` refers to.
    pub map: MapId,
    /// Members that were searched.
    pub members: u64,
    /// Result items, passed on unchanged.
    pub items: Box<RawValue>,
}

/// Reply to `POST /v1/query`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueryReply {
    /// The attempt that this reply belongs to.
    pub attempt: AttemptId,
    /// One part for each shard asked for.
    pub parts: Vec<Part>,
    /// State of the server.
    pub state: UpstreamState,
    /// Time that the request waited for a slot, in milliseconds.
    pub queue_ms: u64,
    /// Index versions that the server holds.
    pub held: Vec<IndexVersion>,
}

/// Body of `POST /v1/run`: a request that runs at most once, on one shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identifies this attempt; the reply echoes it.
    pub attempt: AttemptId,
    /// Idempotency key of the caller.
    pub key: CompactString,
    /// Index that the request changes.
    pub index: IndexName,
    /// Shard that the request changes.
    pub shard: ShardId,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Kind of request.
    pub request: RequestName,
    /// The caller's body, passed on unchanged.
    pub body: Box<RawValue>,
}

/// Reply to `POST /v1/run`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunReply {
    /// The attempt that this reply belongs to.
    pub attempt: AttemptId,
    /// State of the server.
    pub state: UpstreamState,
    /// Result of the run, passed on unchanged.
    pub result: Box<RawValue>,
}

/// Body of a reply with an error status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RejectReply {
    /// The attempt that this reply belongs to.
    pub attempt: AttemptId,
    /// Human-readable reason.
    pub reason: CompactString,
    /// State of the server.
    pub state: UpstreamState,
    /// Index versions that the server holds.
    pub held: Vec<IndexVersion>,
}

/// Body of `POST /v1/cancel`: the caller no longer needs the reply of an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt to cancel.
    pub attempt: AttemptId,
}
