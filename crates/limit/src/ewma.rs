//! An exponentially weighted moving average of reply times.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new reply time.
const EWMA_WEIGHT: f32 = 0.2;

/// Exponentially weighted moving average in microseconds; zero before the first reply time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ewma {
    pub(crate) us: f32,
    pub(crate) updated: Option<Instant>,
}

impl Ewma {
    pub(crate) fn record(&mut self, time: Duration, now: Instant) {
        let time_us = time.as_micros() as f32;
        self.us = match self.updated {
            None => time_us,
            Some(_) => self.us + EWMA_WEIGHT * (time_us - self.us),
        };
        self.updated = Some(now);
    }
}
