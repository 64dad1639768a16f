//! Call budget, backoff and circuit breaker for calls to the platform, without I/O and without reading a clock.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use snafu::Snafu;

/// Limits of one client's calls to the platform.
#[derive(Debug, Clone)]
pub struct GovernorOptions {
    /// Refill rate of the token bucket, in calls per second.
    ///
    /// The platform accepts about 2,000 reads a second in total; 2 for each of 590 VMs leave room for mass restarts.
    pub rate: f64,
    /// Capacity of the token bucket, in calls.
    pub burst: u32,
    /// Consecutive failures after which the breaker opens.
    pub failure_threshold: u32,
    /// Upper bound of the delay after the first failure.
    pub base_delay: Duration,
    /// Upper bound of the delay after any number of failures.
    pub max_delay: Duration,
    /// Time after which a trial call without a result is replaced, so that a dropped call can't block the breaker.
    pub trial_timeout: Duration,
}

impl Default for GovernorOptions {
    fn default() -> GovernorOptions {
        GovernorOptions {
            rate: 2.0,
            burst: 20,
            failure_threshold: 3,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
            trial_timeout: Duration::from_secs(5),
        }
    }
}

/// Reason for which a call may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Denied {
    /// The call budget is used up.
    #[snafu(display("the call budget is used up"))]
    Budget {
        /// Time until the bucket has a token again.
        retry_after: Duration,
    },
    /// The breaker is open after consecutive failures.
    #[snafu(display("the platform failed repeatedly and is not called for now"))]
    Open {
        /// Time until a trial call is allowed.
        retry_after: Duration,
    },
    /// The breaker is half-open: one trial call is in flight, and other calls are denied until it has a result.
    #[snafu(display("the platform failed repeatedly and a single trial call is in flight"))]
    HalfOpen {
        /// Time until the trial call is replaced.
        retry_after: Duration,
    },
}

impl Denied {
    /// Returns the time after which a call may be allowed.
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
    /// Returns whether this is the trial call of a half-open breaker; it should not be a long poll.
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
    refilled_at: Instant,
    failures: u32,
    breaker: Breaker,
    // Incremented when the breaker changes its state, so that results of earlier calls are recognized as outdated.
    epoch: u64,
}

impl Governor {
    /// Creates a governor with a full bucket and a closed breaker.
    pub fn new(options: GovernorOptions, now: Instant) -> Governor {
        Governor {
            tokens: f64::from(options.burst),
            options,
            refilled_at: now,
            failures: 0,
            breaker: Breaker::Closed,
            epoch: 0,
        }
    }

    /// Sets [`GovernorOptions::rate`], which depends on the number of VMs that share the platform.
    pub fn set_rate(&mut self, rate: f64) {
        self.options.rate = rate;
    }

    /// Takes one token from the budget, or returns why the call may not be sent.
    ///
    /// A watch takes one token however long it waits, because the platform counts it as one call.
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

    /// Records the result of a call and returns the backoff delay before a retry, which is zero after a success.
    ///
    /// The delay has full jitter, so that the VMs don't call a recovering platform at the same time.
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
        if current && self.failures >= self.options.failure_threshold {
            self.epoch += 1;
            self.breaker = Breaker::Open { until: now + delay };
        }
        delay
    }

    fn take_token(&mut self, now: Instant) -> Result<(), Denied> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
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
