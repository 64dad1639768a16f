//! Which gateways reach the servers.
//!
//! A VM may lose its links to all servers while callers and other VMs still reach it. [`Detector`] decides whether that has
//! happened to this node, from the replies and failures of its attempts and from probes; [`Reach`] holds what the other
//! nodes say of themselves. Neither has I/O, and callers pass the time. See docs/decisions/0011-cut-off-vms.md.
//!
//! ```
//! use std::time::Instant;
//!
//! use links::Detector;
//!
//! let now = Instant::now();
//! let mut detector = Detector::new();
//! assert!(detector.suspect(now, now));
//! detector.record_probe(false, now);
//! assert!(detector.is_cut());
//! ```

mod detector;
mod reach;

pub use crate::detector::Detector;
pub use crate::detector::LinkChange;
pub use crate::reach::Reach;
pub use crate::reach::ReachFact;
