//! Rate limit for platform writes, so that all homes together stay within the platform's budget.

use std::time::Duration;
use std::time::Instant;

/// A token bucket, represented by the time at which it will be full again.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    interval: Duration,
    burst: u32,
    full_at: Option<Instant>,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` writes that refills by one in each `interval`.
    pub(crate) fn new(interval: Duration, burst: u32) -> TokenBucket {
        TokenBucket {
            interval,
            burst: burst.max(1),
            full_at: None,
        }
    }

    /// Changes the interval in which the bucket refills by one write.
    pub(crate) fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Takes one write from the bucket, or returns the time at which one will be available.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> Result<(), Instant> {
        let full_at = self.full_at.unwrap_or(now).max(now);
        let slack = self.interval * (self.burst - 1);
        if full_at > now + slack {
            return Err(full_at - slack);
        }
        self.full_at = Some(full_at + self.interval);
        Ok(())
    }
}
