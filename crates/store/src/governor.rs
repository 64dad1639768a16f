//! Decides when a call to the platform may be sent; it does no I/O and reads no clock.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use snafu::Snafu;

/// Limits of one client's calls to the platform.
#[derive(Debug, Clone)]
pub struct GovernorOptions {
    /// Calls per second that the bucket refills.
    ///
    /// The platform accepts about 2,000 reads a second in total; at 590 VMs a share of 2 leaves room for a restart wave.
    pub rate: f64,
    /// Calls that may be sent at once after a quiet time.
    pub burst: u32,
    /// Consecutive failures after which the breaker opens.
    pub failures: u32,
    /// Bound of the first backoff.
    pub base_delay: Duration,
    /// Bound of every backoff, however many failures came before.
    pub max_delay: Duration,
    /// Time after which a trial whose result never came is given up, so that a dropped call cannot block the breaker.
    pub trial_timeout: Duration,
}

impl Default for GovernorOptions {
    fn default() -> GovernorOptions {
        GovernorOptions {
            rate: 2.0,
            burst: 20,
            failures: 3,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
            trial_timeout: Duration::from_secs(5),
        }
    }
}

/// Why a call may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Denied {
    /// The call budget is used up.
    #[snafu(display("the call budget is used up"))]
    Budget {
        /// Time until the bucket holds a call again.
        retry_after: Duration,
    },
    /// The breaker is open after consecutive failures.
    #[snafu(display("the platform failed repeatedly and is not called for now"))]
    Open {
        /// Time until the next trial.
        retry_after: Duration,
    },
    /// One trial call is in flight, and all others wait for its result.
    #[snafu(display("the platform failed repeatedly and a single trial is in flight"))]
    HalfOpen {
        /// Time until the trial is given up.
        retry_after: Duration,
    },
}

impl Denied {
    /// Returns the time after which asking again may help.
    pub fn retry_after(&self) -> Duration {
        match self {
            Denied::Budget { retry_after }
            | Denied::Open { retry_after }
            | Denied::HalfOpen { retry_after } => *retry_after,
        }
    }
}

/// Permission for one call; its result is reported with [`Governor::record_result`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    epoch: u64,
    trial: bool,
}

impl Permit {
    /// Tells whether the call decides if the breaker closes; such a call should not be a long watch.
    pub fn is_trial(&self) -> bool {
        self.trial
    }
}

#[derive(Debug, Clone, Copy)]
enum Breaker {
    Closed,
    Open { until: Instant },
    HalfOpen { until: Instant },
}

/// Call budget, backoff and circuit breaker of one client.
#[derive(Debug)]
pub struct Governor {
    options: GovernorOptions,
    tokens: f64,
    filled: Instant,
    failures: u32,
    breaker: Breaker,
    // Changes whenever the breaker does, so that results of calls sent before are recognized as outdated.
    epoch: u64,
}

impl Governor {
    /// Creates a governor with a full bucket and a closed breaker.
    pub fn new(options: GovernorOptions, now: Instant) -> Governor {
        Governor {
            tokens: f64::from(options.burst),
            options,
            filled: now,
            failures: 0,
            breaker: Breaker::Closed,
            epoch: 0,
        }
    }

    /// Changes the calls a second that the budget allows, because the fleet that shares them has changed.
    pub fn set_rate(&mut self, rate: f64) {
        self.options.rate = rate;
    }

    /// Takes one call from the budget, or returns why the call may not be sent.
    ///
    /// A watch takes one call like any other, however long it waits, because the platform counts it so.
    pub fn admit(&mut self, now: Instant) -> Result<Permit, Denied> {
        let trial = match self.breaker {
            Breaker::Closed => false,
            Breaker::Open { until } if now < until => {
                let retry_after = until - now;
                return Err(Denied::Open { retry_after });
            }
            Breaker::HalfOpen { until } if now < until => {
                let retry_after = until - now;
                return Err(Denied::HalfOpen { retry_after });
            }
            Breaker::Open { .. } | Breaker::HalfOpen { .. } => true,
        };
        self.take_token(now)?;
        if trial {
            self.epoch += 1;
            self.breaker = Breaker::HalfOpen {
                until: now + self.options.trial_timeout,
            };
        }
        Ok(Permit {
            epoch: self.epoch,
            trial,
        })
    }

    /// Records the result of a call and returns how long the caller should wait before it repeats a failed call.
    ///
    /// The wait is drawn with full jitter, so that the fleet does not return to a recovering platform in step.
    pub fn record_result(
        &mut self,
        permit: Permit,
        healthy: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Duration {
        let current = permit.epoch == self.epoch;
        if healthy {
            if current {
                self.failures = 0;
                self.breaker = Breaker::Closed;
                self.epoch += u64::from(permit.trial);
            }
            return Duration::ZERO;
        }
        if current {
            self.failures = self.failures.saturating_add(1);
        }
        let delay = self.draw_delay(rng);
        if current && self.failures >= self.options.failures {
            self.epoch += 1;
            self.breaker = Breaker::Open { until: now + delay };
        }
        delay
    }

    fn take_token(&mut self, now: Instant) -> Result<(), Denied> {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = self.filled.max(now);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.options.rate;
        self.tokens = refilled.min(f64::from(self.options.burst));
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.options.rate;
            let retry_after = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
            return Err(Denied::Budget { retry_after });
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn draw_delay(&self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(31);
        let bound = self
            .options
            .base_delay
            .saturating_mul(1 << doublings)
            .min(self.options.max_delay);
        rng.random_range(Duration::ZERO..=bound)
    }
}
