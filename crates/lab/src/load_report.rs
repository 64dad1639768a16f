//! The load that a modelled server reports about itself, delayed as on real endpoints.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamState;
use serde::Deserialize;
use serde::Serialize;

/// Minimum time between two samples, which bounds the memory; a load report need not be precise.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Body of `GET /load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// State of the server.
    pub state: UpstreamState,
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// Recent samples of the load, of which one about as old as the lag is reported.
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

    /// Adds a sample, unless the last one is too recent, and drops those that are no longer reported.
    pub(crate) fn record(&mut self, load: LoadReport, now: Instant) {
        let last = self.samples.back();
        if last.is_some_and(|(at, _)| now < *at + MIN_SAMPLE_INTERVAL) {
            return;
        }
        self.samples.push_back((now, load));
        // Keeps the newest sample that is old enough to be reported, and all later ones.
        while self.samples.len() > 1 && self.samples[1].0 + self.lag <= now {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as the lag, or else the oldest sample.
    pub(crate) fn at(&self, now: Instant) -> Option<LoadReport> {
        let old = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now);
        old.or(self.samples.front()).map(|(_, load)| load.clone())
    }
}
