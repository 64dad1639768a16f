//! Identifiers, result codes, shard maps and the upstream protocol, shared by every crate of limpetwick.
//!
//! ```
//! use base::Code;
//! use base::Outcome;
//!
//! assert_eq!(Code::Overloaded.number(), 303);
//! assert_eq!(Code::Overloaded.outcome(), Some(Outcome::Refused));
//! ```

mod code;
mod field;
mod id;
mod map;
mod message;
mod rank;

pub use crate::code::Code;
pub use crate::code::Outcome;
pub use crate::field::escape_field;
pub use crate::field::unescape_field;
pub use crate::id::AttemptId;
pub use crate::id::IndexName;
pub use crate::id::IndexVersion;
pub use crate::id::MapId;
pub use crate::id::NodeId;
pub use crate::id::QueryId;
pub use crate::id::RegionName;
pub use crate::id::RequestName;
pub use crate::id::Revision;
pub use crate::id::ServiceName;
pub use crate::id::ShardId;
pub use crate::id::UpstreamId;
pub use crate::id::ZoneName;
pub use crate::map::IndexState;
pub use crate::map::Shard;
pub use crate::map::ShardMap;
pub use crate::map::Snapshot;
pub use crate::map::Upstream;
pub use crate::map::Vm;
pub use crate::map::VmRole;
pub use crate::map::VmState;
pub use crate::message::CancelRequest;
pub use crate::message::HEADER_NOT_RUN;
pub use crate::message::HEADER_STATE;
pub use crate::message::Part;
pub use crate::message::QueryReply;
pub use crate::message::QueryRequest;
pub use crate::message::RejectReply;
pub use crate::message::RunReply;
pub use crate::message::RunRequest;
pub use crate::message::UpstreamState;
pub use crate::rank::hash_candidate;
pub use crate::rank::hash_key;
pub use crate::rank::hash_parts;
pub use crate::rank::rank_candidates;
