//! Client of the platform's object API: conditional updates, watches, call budget.
//!
//! The whole fleet shares the platform, whose rate limits grow more slowly than the fleet. So the [`Governor`] has to
//! admit every call first.
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
//! let permit = governor.admit(now).unwrap();
//! governor.record_result(permit, true, now, &mut rng);
//! assert!(governor.admit(now).is_err());
//! ```

mod client;
mod era;
mod error;
mod governor;

pub use crate::client::ChangedObject;
pub use crate::client::Client;
pub use crate::client::ClientOptions;
pub use crate::client::NativeReply;
pub use crate::client::PutResult;
pub use crate::client::StoredObject;
pub use crate::client::Version;
pub use crate::client::WatchResult;
pub use crate::era::ERA_HEADER;
pub use crate::era::parse_era;
pub use crate::error::StoreError;
pub use crate::governor::Denied;
pub use crate::governor::Governor;
pub use crate::governor::GovernorOptions;
pub use crate::governor::Permit;
