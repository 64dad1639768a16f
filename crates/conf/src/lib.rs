//! The configuration in force on a node, and the rules of publishing a new one.
//!
//! Nothing here does I/O or reads a clock, so that the same code runs in the binary and in exhaustive tests.
//!
//! ```
//! use std::time::Instant;
//!
//! use conf::InForce;
//! use decl::Catalogue;
//!
//! let now = Instant::now();
//! let mut in_force = InForce::new(now);
//! let second = Catalogue { revision: 2, ..Catalogue::default() };
//! let first = Catalogue { revision: 1, ..Catalogue::default() };
//! assert!(in_force.offer(second, now));
//! assert!(!in_force.offer(first, now));
//! assert_eq!(in_force.revision(), 2);
//! ```

mod in_force;
mod publish;

pub use crate::in_force::FRESH_BOUND;
pub use crate::in_force::Freshness;
pub use crate::in_force::InForce;
pub use crate::in_force::Offered;
pub use crate::in_force::Update;
pub use crate::publish::Action;
pub use crate::publish::Event;
pub use crate::publish::Publish;
pub use crate::publish::Published;
pub use crate::publish::Refusal;
