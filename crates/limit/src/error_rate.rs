//! The recent error rate of an upstream: the share of attempts that were shed or failed.

use std::time::Duration;
use std::time::Instant;

use crate::AttemptOutcome;

/// Half-life of the error rate while no attempt ends.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new attempt in the error rate.
const EWMA_WEIGHT: f32 = 0.2;

/// A rate between zero and one that decays with time, so that the upstream is tried again.
#[derive(Debug, Clone, Default)]
pub(crate) struct ErrorRate {
    rate: f32,
    updated: Option<Instant>,
}

impl ErrorRate {
    /// Returns the rate, decayed since the last update.
    pub(crate) fn rate(&self, now: Instant) -> f32 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        self.rate * decay(HALF_LIFE, now.saturating_duration_since(updated))
    }

    /// Records the outcome of an attempt; unsent, cancelled and rejected attempts say nothing about the upstream's health.
    pub(crate) fn record(&mut self, outcome: AttemptOutcome, now: Instant) {
        let sample = match outcome {
            AttemptOutcome::Replied => 0.0,
            AttemptOutcome::Shed | AttemptOutcome::Refused | AttemptOutcome::Failed => 1.0,
            AttemptOutcome::Rejected | AttemptOutcome::Unsent | AttemptOutcome::Cancelled => {
                return;
            }
        };
        let recent = self.rate(now);
        self.rate = recent + EWMA_WEIGHT * (sample - recent);
        self.updated = Some(now);
    }
}

/// Returns the factor of exponential decay with `half_life` at `age`.
pub(crate) fn decay(half_life: Duration, age: Duration) -> f32 {
    0.5_f32.powf(age.as_secs_f32() / half_life.as_secs_f32())
}
