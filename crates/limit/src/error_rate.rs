//! The recent share of attempts to an upstream that were shed or failed.

use std::time::Duration;
use std::time::Instant;

use crate::AttemptOutcome;

/// Time after which the recent share of shed or failed attempts counts half.
const FADE: Duration = Duration::from_secs(2);

/// Weight of a new attempt in the recent share of attempts that were shed or failed.
const WEIGHT: f32 = 0.2;

/// A share between zero and one that fades with time, so that an upstream is tried again.
#[derive(Debug, Clone, Default)]
pub(crate) struct ErrorRate {
    share: f32,
    updated: Option<Instant>,
}

impl ErrorRate {
    /// Returns the share as far as it is still current.
    pub(crate) fn share(&self, now: Instant) -> f32 {
        let Some(since) = self.updated else {
            return 0.0;
        };
        self.share * halve_each(FADE, now.saturating_duration_since(since))
    }

    /// Takes in how an attempt ended; one that was given up, or rejected for its content, says nothing.
    pub(crate) fn note(&mut self, ending: AttemptOutcome, now: Instant) {
        let sample = match ending {
            AttemptOutcome::Replied => 0.0,
            AttemptOutcome::Shed | AttemptOutcome::Refused | AttemptOutcome::Failed => 1.0,
            AttemptOutcome::Rejected | AttemptOutcome::Cancelled => return,
        };
        let recent = self.share(now);
        self.share = recent + WEIGHT * (sample - recent);
        self.updated = Some(now);
    }
}

/// Returns the weight that is left at an age, when half of it goes with each `half`.
pub(crate) fn halve_each(half: Duration, age: Duration) -> f32 {
    0.5_f32.powf(age.as_secs_f32() / half.as_secs_f32())
}
