//! Requests that crash the servers that run them.
//!
//! A request whose connections end at several servers one after the other, without any reply, is blocked for a time. All
//! nodes exchange what they suspect as [`Fact`]s, which merge to the same result in any order, so that the fleet loses
//! few servers to one request rather than a few for each node. [`Suspects`] holds the facts of one node; it has no I/O, and
//! callers pass the time. See docs/decisions/0010-deadly-requests.md.
//!
//! ```
//! use std::time::Instant;
//!
//! use suspect::RequestKey;
//! use suspect::Suspects;
//! use suspect::Verdict;
//!
//! let now = Instant::now();
//! let key = RequestKey { request: 7, caller: 1 };
//! let mut suspects = Suspects::new("n-1".into());
//! for server in ["s-1", "s-2", "s-3"] {
//!     suspects.record_broken(key, &server.into(), true, now);
//! }
//! assert!(matches!(suspects.check(key, now), Verdict::Blocked(_)));
//!
//! let mut other = Suspects::new("n-2".into());
//! for fact in suspects.facts(now) {
//!     other.merge(&fact, now);
//! }
//! assert!(matches!(other.check(key, now), Verdict::Blocked(_)));
//! ```

mod entry;
mod fact;
mod table;

pub use crate::entry::BlockInfo;
pub use crate::entry::State;
pub use crate::fact::Fact;
pub use crate::table::Change;
pub use crate::table::MAX_ENTRIES;
pub use crate::table::MAX_PER_CALLER;
pub use crate::table::Suspects;
pub use crate::table::Verdict;

/// Hash of what all tries of one request have in common.
pub type RequestHash = u128;

/// Hash of the caller of a request.
pub type CallerHash = u32;

/// Hash of the id of a server.
pub type ServerHash = u32;

/// A request, whatever its id and at whichever node it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Hash of the request.
    pub request: RequestHash,
    /// Hash of its caller.
    pub caller: CallerHash,
}
