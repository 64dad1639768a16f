//! A moving average of reply times that leaves out short pauses of the upstream.

use std::time::Instant;

use crate::ewma::Ewma;

/// Multiple of the mean above which a reply is late.
const LATE_FACTOR: f32 = 2.0;

/// A moving average of reply times without the replies that were delayed by a pause of the server.
///
/// A server that pauses for a moment is as fast as before afterwards, so the delayed replies don't predict the next
/// one. A server that is slow throughout ends several silences in a row with late replies; from the second on, they
/// are counted.
#[derive(Debug, Clone, Default)]
pub(crate) struct FilteredMean {
    pub(crate) mean: Ewma,
    /// End of the latest silence that a late reply ended.
    silence_end: Option<Instant>,
    /// Consecutive late replies that ended a silence.
    late_count: u8,
}

impl FilteredMean {
    /// Records an attempt; `ended_silence` means that its reply is the first from the upstream since it was sent.
    pub(crate) fn record(&mut self, sent: Instant, ended_silence: bool, now: Instant) {
        let time = now.saturating_duration_since(sent);
        let late =
            self.mean.updated.is_some() && time.as_micros() as f32 > LATE_FACTOR * self.mean.us;
        if !late {
            self.late_count = 0;
        } else if ended_silence {
            self.late_count = self.late_count.saturating_add(1);
            self.silence_end = Some(now);
        }
        let is_delayed =
            late && self.late_count == 1 && self.silence_end.is_some_and(|end| sent < end);
        if !is_delayed {
            self.mean.record(time, now);
        }
    }
}
