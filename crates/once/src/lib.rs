//! Claims for requests that run at most once, and the ledger objects that hold them.
//!
//! A request that is not declared repeatable is claimed in a platform object before it is sent, so that a caller's
//! retry through any VM finds the claim and gets the first outcome instead of a second run. The protocol is described
//! in `docs/design.md`, section 5, "At most once".
//!
//! The protocol has three parts. [`Ledger`] is the value of one platform object with its transition functions. [`Home`]
//! batches requests for its ledgers into conditional updates. [`Claimant`] is the requester's side, and decides when
//! the request may be sent and which answer the caller gets. The state machines perform no I/O and read no clock.
//!
//! # Time
//!
//! A claim has a send window. Its owner measures the window on its own monotonic and wall clocks, starting before it
//! requests the claim, and checks it right before sending. So a process that was paused doesn't send late, and clocks
//! of different VMs are not compared. The ledger stores the end of the window by the wall clock of the home that wrote
//! it. Only expiry compares that with another VM's clock, and it waits for [`Retention`], which is far longer than a
//! send window and [`MAX_SKEW_MS`] together.
//!
//! ```
//! use once::ClaimKey;
//! use once::ClaimSpec;
//! use once::Ledger;
//! use once::ClaimResult;
//!
//! let key = ClaimKey::new("advisers", "order-17").expect("the key is short");
//! let spec = ClaimSpec { key, attempt: 1, digest: 7, window_ms: 500 };
//! let retry = ClaimSpec { attempt: 2, ..spec.clone() };
//!
//! let mut ledger = Ledger::default();
//! assert_eq!(ledger.claim(&spec, 1_000).result, ClaimResult::Granted { deadline_ms: 1_500 });
//! assert_eq!(ledger.claim(&retry, 1_001).result, ClaimResult::InProgress);
//! ```

mod bucket;
mod claim;
mod claimant;
mod home;
mod ledger;
mod object;

pub use crate::claim::Claim;
pub use crate::claim::ClaimKey;
pub use crate::claim::ClaimResult;
pub use crate::claim::ClaimSpec;
pub use crate::claim::ClockReading;
pub use crate::claim::KeyError;
pub use crate::claim::LEDGER_COUNT;
pub use crate::claim::LedgerId;
pub use crate::claim::MAX_KEY_BYTES;
pub use crate::claim::MAX_RESULT_BYTES;
pub use crate::claim::Operation;
pub use crate::claim::Request;
pub use crate::claim::Settlement;
pub use crate::claim::digest_request;
pub use crate::claimant::Claimant;
pub use crate::claimant::ClaimantAction;
pub use crate::claimant::ClaimantEvent;
pub use crate::claimant::ClaimantOptions;
pub use crate::claimant::MAX_WINDOW;
pub use crate::home::Home;
pub use crate::home::HomeAction;
pub use crate::home::HomeEvent;
pub use crate::home::HomeOptions;
pub use crate::home::ReadResult;
pub use crate::home::WriteResult;
pub use crate::ledger::Ledger;
pub use crate::ledger::MAX_CLAIMS_BYTES;
pub use crate::ledger::MAX_LEDGER_BYTES;
pub use crate::ledger::MAX_SKEW_MS;
pub use crate::ledger::Retention;
pub use crate::ledger::Transition;
