//! Tests of the claim protocol: the ledger, the home and the claimant alone, and together in random event orders.

mod claimant;
mod fleet;
mod home;
mod ledger;
mod random;
