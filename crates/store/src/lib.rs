//! Client of the platform's object API: conditional updates, watches, call budget.
//!
//! The platform is shared by the whole fleet and its rate limits grow more slowly than the fleet, so every call passes
//! the [`Governor`] first.
//!
//! ```
//! use std::time::Instant;
//!
//! use rand::SeedableRng;
//! use rand_pcg::Pcg64;
//! use store::Governor;
//! use store::GovernorOptions;
//!
//! let now = Instant::now();
//! let mut rng = Pcg64::seed_from_u64(7);
//! let mut governor = Governor::new(GovernorOptions { burst: 1, ..GovernorOptions::default() }, now);
//! let ticket = governor.admit(now).unwrap();
//! governor.settle(ticket, true, now, &mut rng);
//! assert!(governor.admit(now).is_err());
//! ```

mod client;
mod error;
mod governor;

pub use crate::client::Changed;
pub use crate::client::Changes;
pub use crate::client::Client;
pub use crate::client::ClientOptions;
pub use crate::client::Put;
pub use crate::client::Stored;
pub use crate::client::Version;
pub use crate::error::StoreError;
pub use crate::governor::Denied;
pub use crate::governor::Governor;
pub use crate::governor::GovernorOptions;
pub use crate::governor::Ticket;
