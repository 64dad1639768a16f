//! Figures that a server reports about itself, with the lag that real endpoints have.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamState;
use serde::Deserialize;
use serde::Serialize;

/// Shortest time between two samples; the figure is coarse by nature and this bounds the memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Body of `GET /load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// State of the server.
    pub state: UpstreamState,
    /// Requests in slots.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// Samples of the load, of which old ones are reported.
#[derive(Debug)]
pub(crate) struct LoadSamples {
    lag: Duration,
    samples: VecDeque<(Instant, LoadReport)>,
}

impl LoadSamples {
    pub(crate) fn new(lag: Duration) -> LoadSamples {
        LoadSamples {
            lag,
            samples: VecDeque::new(),
        }
    }

    pub(crate) fn record(&mut self, load: LoadReport, now: Instant) {
        let last = self.samples.back();
        if last.is_some_and(|(at, _)| now < *at + SAMPLE_PERIOD) {
            return;
        }
        self.samples.push_back((now, load));
        // The newest sample that is old enough to be reported is kept, and everything after it.
        while self.samples.len() > 1 && self.samples[1].0 + self.lag <= now {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as the lag, or the oldest one.
    pub(crate) fn at(&self, now: Instant) -> Option<LoadReport> {
        let old = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now);
        old.or(self.samples.front()).map(|(_, load)| load.clone())
    }
}
