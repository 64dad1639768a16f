//! The shared clock of a zone, which heartbeat counters are read from, and a token bucket.

use std::time::Duration;
use std::time::Instant;

use crate::params::CLOCK_UNIT;

/// A logical clock that the VMs of a zone share: each VM adopts the highest reading that it receives.
///
/// A reading advances with the local clock and not with each message. The reading of the fastest VM thus advances at
/// the rate of its own clock, regardless of how many VMs adopt it from each other.
#[derive(Debug)]
pub(crate) struct ZoneClock {
    adopted_at: Instant,
    reading: u64,
}

impl ZoneClock {
    pub(crate) fn new(now: Instant) -> ZoneClock {
        ZoneClock {
            adopted_at: now,
            reading: 1,
        }
    }

    pub(crate) fn read(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.adopted_at);
        self.reading + (elapsed.as_millis() / CLOCK_UNIT.as_millis()) as u64
    }

    pub(crate) fn adopt(&mut self, reading: u64, now: Instant) {
        if reading > self.read(now) {
            *self = ZoneClock {
                adopted_at: now,
                reading,
            };
        }
    }
}

/// A token bucket that limits bytes per second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub(crate) fn available(&mut self, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.refilled_at = now;
        self.tokens.max(0.0) as usize
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
