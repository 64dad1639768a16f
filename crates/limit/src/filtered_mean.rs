//! The reply time of an upstream while it runs, without its pauses.

use std::time::Instant;

use crate::ewma::Ewma;

/// Multiple of the mean from which on a reply counts as late.
const LATE: f32 = 2.0;

/// A moving mean of reply times that leaves out what waited for a pause to end.
///
/// Servers pause for a moment and are as fast as before after it. Replies that waited for that say nothing about the next
/// one. A server that is slow throughout ends one silence after the other with late replies, and these count.
#[derive(Debug, Clone, Default)]
pub(crate) struct FilteredMean {
    pub(crate) mean: Ewma,
    /// End of the latest silence.
    resumed: Option<Instant>,
    /// Late replies in a row that ended a silence.
    late_ends: u8,
}

impl FilteredMean {
    /// Takes in that an attempt ended; `ended_silence` means that a reply came and nothing else had since it was sent.
    pub(crate) fn note(&mut self, sent: Instant, ended_silence: bool, now: Instant) {
        let time = now.saturating_duration_since(sent);
        let late = self.mean.updated.is_some() && time.as_micros() as f32 > LATE * self.mean.us;
        if !late {
            self.late_ends = 0;
        } else if ended_silence {
            self.late_ends = self.late_ends.saturating_add(1);
            self.resumed = Some(now);
        }
        let waited = late && self.late_ends == 1 && self.resumed.is_some_and(|end| sent < end);
        if !waited {
            self.mean.record(time, now);
        }
    }
}
