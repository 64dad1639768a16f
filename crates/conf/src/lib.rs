//! The configuration in force on a node, and the state machine that publishes a new one.
//!
//! Nothing here does I/O or reads a clock, so that the same code runs in the binary and in exhaustive tests.
//!
//! ```
//! use std::time::Instant;
//!
//! use conf::ConfigState;
//! use decl::Catalogue;
//!
//! let now = Instant::now();
//! let mut state = ConfigState::new(now);
//! let second = Catalogue { revision: 2, ..Catalogue::default() };
//! let first = Catalogue { revision: 1, ..Catalogue::default() };
//! assert!(state.offer(second, now));
//! assert!(!state.offer(first, now));
//! assert_eq!(state.revision(), 2);
//! ```

mod publish;
mod state;

pub use crate::publish::Action;
pub use crate::publish::Event;
pub use crate::publish::Publish;
pub use crate::publish::PublishResult;
pub use crate::publish::Refusal;
pub use crate::state::ConfigState;
pub use crate::state::Freshness;
pub use crate::state::MAX_FRESH_AGE;
pub use crate::state::OfferResult;
pub use crate::state::Update;
