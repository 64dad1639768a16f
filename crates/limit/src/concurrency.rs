//! The adaptive concurrency limit, moved by queueing that shows in reply times.

use std::time::Duration;

/// Replies per decision; small, because a server of 2 to 6 slots gives few.
const WINDOW: u8 = 8;

/// Windows after which the older half of the recent minimum is forgotten.
const EPOCH: u8 = 32;

/// Ratio of a window's fastest reply to the recent minimum that shows a standing queue.
const QUEUED: f32 = 1.5;

/// Slack over the recent minimum in microseconds, so that sub-millisecond jitter is not taken for a queue.
const SLACK_US: f32 = 500.0;

/// Factor of a decrease.
const DECREASE: f32 = 0.8;

/// Highest limit as a multiple of the server's slots: the running requests and as many queued.
const PER_SLOT: f32 = 2.0;

/// Concurrency limit of one node towards one upstream.
///
/// Each window compares its fastest reply with the recent minimum. Service times vary widely, so a mean or a quantile
/// would shrink the limit without any queue; only when even the fastest of several replies was late is there a
/// standing queue.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    slots: u16,
    limit: f32,
    window_min: f32,
    replies: u8,
    reached: bool,
    epoch_min: f32,
    previous_min: f32,
    windows: u8,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: u16) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots: slots.max(1),
            limit: f32::from(slots.max(1)),
            window_min: f32::INFINITY,
            replies: 0,
            reached: false,
            epoch_min: f32::INFINITY,
            previous_min: f32::INFINITY,
            windows: 0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        // Rounded, since one decrease would otherwise halve the limit of a server with two slots.
        self.limit.round() as u32
    }

    pub(crate) fn slots(&self) -> u32 {
        u32::from(self.slots)
    }

    /// Records that the limit was in use; an unused limit must not grow.
    pub(crate) fn note_reached(&mut self) {
        self.reached = true;
    }

    pub(crate) fn observe(&mut self, time: Duration) {
        self.window_min = self.window_min.min(time.as_micros() as f32);
        self.replies += 1;
        if self.replies >= WINDOW {
            self.decide();
        }
    }

    pub(crate) fn shrink(&mut self) {
        self.limit = (self.limit * DECREASE).max(1.0);
    }

    fn decide(&mut self) {
        self.epoch_min = self.epoch_min.min(self.window_min);
        let recent_min = self.epoch_min.min(self.previous_min);
        if self.window_min > recent_min * QUEUED + SLACK_US {
            self.shrink();
        } else if self.reached {
            self.limit = (self.limit + 1.0).min(f32::from(self.slots) * PER_SLOT);
        }
        self.window_min = f32::INFINITY;
        self.replies = 0;
        self.reached = false;
        self.windows += 1;
        if self.windows >= EPOCH {
            self.previous_min = self.epoch_min;
            self.epoch_min = f32::INFINITY;
            self.windows = 0;
        }
    }
}
