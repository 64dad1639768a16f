//! The adaptive concurrency limit, which follows the queueing that reply times reveal.

use std::time::Duration;

/// Replies per window, after each of which the limit is adjusted; few, because 2 to 6 slots give few replies.
const WINDOW_REPLIES: u8 = 8;

/// Windows per epoch; the recent minimum covers the current and the previous epoch.
const EPOCH_WINDOWS: u8 = 32;

/// Ratio of a window's fastest reply to the recent minimum above which there is a standing queue.
const QUEUE_RATIO: f32 = 1.5;

/// Slack over the recent minimum, so that sub-millisecond jitter is not taken for a queue.
const SLACK_US: f32 = 500.0;

/// Factor of a multiplicative decrease of the limit.
const DECREASE_FACTOR: f32 = 0.8;

/// Highest limit as a multiple of the server's slots: as many requests queued as running.
const MAX_PER_SLOT: f32 = 2.0;

/// Concurrency limit of one node towards one upstream, with additive increase and multiplicative decrease.
///
/// At the end of each window, its fastest reply is compared with the recent minimum. Service times vary widely, so a
/// mean or a quantile would lower the limit without any queue. When even the fastest of several replies was late,
/// there is a standing queue.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    slots: u16,
    limit: f32,
    window_min_us: f32,
    window_replies: u8,
    reached: bool,
    epoch_min_us: f32,
    previous_min_us: f32,
    epoch_windows: u8,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: u16) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots: slots.max(1),
            limit: f32::from(slots.max(1)),
            window_min_us: f32::INFINITY,
            window_replies: 0,
            reached: false,
            epoch_min_us: f32::INFINITY,
            previous_min_us: f32::INFINITY,
            epoch_windows: 0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        // Rounded, because truncation after one decrease would halve the limit of a server with two slots.
        self.limit.round() as u32
    }

    pub(crate) fn slots(&self) -> u32 {
        u32::from(self.slots)
    }

    /// Records that the limit was reached; a limit that is not reached must not grow.
    pub(crate) fn mark_reached(&mut self) {
        self.reached = true;
    }

    pub(crate) fn record_time(&mut self, time: Duration) {
        self.window_min_us = self.window_min_us.min(time.as_micros() as f32);
        self.window_replies += 1;
        if self.window_replies >= WINDOW_REPLIES {
            self.adjust();
        }
    }

    pub(crate) fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    fn adjust(&mut self) {
        self.epoch_min_us = self.epoch_min_us.min(self.window_min_us);
        let recent_min_us = self.epoch_min_us.min(self.previous_min_us);
        if self.window_min_us > recent_min_us * QUEUE_RATIO + SLACK_US {
            self.decrease();
        } else if self.reached {
            self.limit = (self.limit + 1.0).min(f32::from(self.slots) * MAX_PER_SLOT);
        }
        self.window_min_us = f32::INFINITY;
        self.window_replies = 0;
        self.reached = false;
        self.epoch_windows += 1;
        if self.epoch_windows >= EPOCH_WINDOWS {
            self.previous_min_us = self.epoch_min_us;
            self.epoch_min_us = f32::INFINITY;
            self.epoch_windows = 0;
        }
    }
}
