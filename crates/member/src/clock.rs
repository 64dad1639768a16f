//! The clock of a zone, from which heartbeat counters are taken.

use std::time::Duration;
use std::time::Instant;

use crate::params::CLOCK_UNIT;

/// A clock that all VMs of a zone share by adopting the highest reading they hear.
///
/// Readings are kept as an offset to the local clock rather than incremented per message. The reading of the fastest
/// VM thus advances at the rate of its own clock, however many VMs adopt it from each other.
#[derive(Debug)]
pub(crate) struct ZoneClock {
    at: Instant,
    reading: u64,
}

impl ZoneClock {
    pub(crate) fn new(now: Instant) -> ZoneClock {
        ZoneClock {
            at: now,
            reading: 1,
        }
    }

    pub(crate) fn read(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.at);
        self.reading + (passed.as_millis() / CLOCK_UNIT.as_millis()) as u64
    }

    pub(crate) fn adopt(&mut self, reading: u64, now: Instant) {
        if reading > self.read(now) {
            *self = ZoneClock { at: now, reading };
        }
    }
}

/// A token bucket of bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl ByteBudget {
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> ByteBudget {
        ByteBudget {
            rate,
            burst,
            tokens: burst,
            at: now,
        }
    }

    pub(crate) fn available(&mut self, now: Instant) -> usize {
        let passed: Duration = now.saturating_duration_since(self.at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
        self.at = now;
        self.tokens.max(0.0) as usize
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
