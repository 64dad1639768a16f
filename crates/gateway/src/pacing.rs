//! Pace of the calls to a store that fails: which gateways call it again, and when.
//!
//! Even a refused call has a cost, and a store that comes back must not meet the whole fleet. The first gateways of each
//! group, of which one is the relay, therefore look for the store quickly. The others ask these, and call the store
//! rarely, in case that it refuses only those.

use std::time::Duration;

/// Delay after the first failed call of a relay. It doubles with each further failure, and a random jitter of up to the
/// same length is added.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest such delay before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Delay of a follower after the first failed call, as a fraction of the time in which a configuration must be in force.
/// It doubles with each further failure, and a random jitter of up to the same length is added.
const FOLLOWER_FRACTION: f64 = 0.3;

/// Longest such delay before jitter, so that with it a configuration is still in force in time.
const MAX_FOLLOWER_FRACTION: f64 = 0.5;

/// Longest delay of a follower whose relays have lost the store, before it calls the store itself, as a fraction of the
/// same time.
const FIRST_CALL_FRACTION: f64 = 0.15;

/// What a gateway does while the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// One of the first gateways of its group, which looks for the store on behalf of the others.
    Relay,
    /// Any other gateway, which asks those first.
    Follower,
}

/// Delays between the calls of one gateway to a store that fails.
#[derive(Debug, Clone, Copy)]
pub struct Pacing {
    apply_time: Duration,
}

impl Pacing {
    /// Creates the pace for a platform on which a configuration must be in force within `apply_time`.
    pub fn new(apply_time: Duration) -> Pacing {
        Pacing { apply_time }
    }

    /// Returns the delay after a number of failed calls in a row; `jitter` is a random number between 0 and 1.
    pub fn retry_delay(&self, role: StoreRole, failures: u32, jitter: f64) -> Duration {
        let delay = match role {
            StoreRole::Relay => {
                let delay = MIN_RETRY_DELAY * (1 << failures.min(5)) / 2;
                delay.min(MAX_RETRY_DELAY)
            }
            StoreRole::Follower => self.follower_delay(failures),
        };
        delay.mul_f64(1.0 + jitter)
    }

    /// Returns the delay before the first call after the relays have lost the store.
    pub fn first_delay(&self, role: StoreRole, jitter: f64) -> Duration {
        match role {
            StoreRole::Relay => Duration::ZERO,
            StoreRole::Follower => self.apply_time.mul_f64(FIRST_CALL_FRACTION * jitter),
        }
    }

    /// Returns how long a call is to be put off because one for another kind of object has just failed.
    pub fn shared_delay(&self, role: StoreRole, since_failure: Duration) -> Duration {
        match role {
            StoreRole::Relay => Duration::ZERO,
            StoreRole::Follower => self.follower_delay(1).saturating_sub(since_failure),
        }
    }

    fn follower_delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(5);
        let fraction = FOLLOWER_FRACTION * f64::from(1_u32 << doublings);
        self.apply_time.mul_f64(fraction.min(MAX_FOLLOWER_FRACTION))
    }
}
