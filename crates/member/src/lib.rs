//! Membership of entry VMs and upstreams, and the roles derived from it.
//!
//! A [`View`] is a state machine without I/O: its inputs are messages, observations and the time, its outputs are
//! heartbeats to send. VMs within a zone gossip their heartbeat counters, called pulses; zones exchange summaries
//! and changes.
//!
//! ```
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let identity = |id: &str| member::Identity {
//!     id: id.into(),
//!     zone: "zurich".into(),
//!     region: "north".into(),
//!     addr: "10.0.0.1:7000".parse().unwrap(),
//!     incarnation: 1,
//! };
//! let mut first = member::View::new(identity("vm-1"), now);
//! let second = member::View::new(identity("vm-2"), now);
//! let beat = wire::BeatMessage {
//!     sender: Some(second.me().to_message()),
//!     ..Default::default()
//! };
//! first.receive(&beat, now);
//! assert_eq!(first.relays("zurich").len(), 2);
//! ```

mod clock;
mod compose;
mod confirm;
mod gossip;
mod group;
mod merge;
mod node;
mod params;
mod roles;
mod scan;
mod size;
mod sync;
mod upstream;
mod view;
mod zone;

pub use crate::compose::Outgoing;
pub use crate::compose::reply_bytes;
pub use crate::group::Group;
pub use crate::group::GroupName;
pub use crate::group::MAX_GROUP_SIZE;
pub use crate::group::divide_upstreams;
pub use crate::node::Change;
pub use crate::node::Node;
pub use crate::node::NodeState;
pub use crate::node::Record;
pub use crate::params::MESSAGE_OVERHEAD_BYTES;
pub use crate::params::TICK;
pub use crate::roles::GROUP_HOLDERS;
pub use crate::roles::MIN_SHARE;
pub use crate::roles::ZONE_RELAYS;
pub use crate::upstream::Evidence;
pub use crate::upstream::Health;
pub use crate::view::Identity;
pub(crate) use crate::view::NodeKey;
pub use crate::view::View;
pub use crate::zone::Summary;
