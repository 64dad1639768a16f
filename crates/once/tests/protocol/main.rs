//! Tests of the claim protocol: the ledger, the home, the claimant, and all of them in random orders of events.

mod claimant;
mod fleet;
mod home;
mod ledger;
mod random;
