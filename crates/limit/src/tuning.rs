//! Switches that turn single mechanisms off, so that benchmarks and tests can show their effect.

/// Which mechanisms of [`crate::Limits`] are in effect; the default is all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// Keep within the connection share.
    pub share: bool,
    /// Adapt the concurrency limit to observed queueing.
    pub adaptive: bool,
    /// Raise the concurrency limit gradually after a cold start.
    pub ramp: bool,
    /// Send nothing new to an upstream that is draining.
    pub drain: bool,
    /// Pause an upstream after consecutive failures.
    pub backoff: bool,
    /// Treat prolonged silence as a failure.
    pub silence: bool,
    /// Compare two replicas by load and latency; otherwise choose one at random.
    pub compare: bool,
    /// Prefer replicas in the node's own zone.
    pub zones: bool,
    /// Charge hedges and retries to the budget of the service.
    pub budget: bool,
    /// Share the surplus hedge tokens of a service among all services of the node.
    pub reserve: bool,
}

impl Tuning {
    /// Every mechanism off: the baseline, which chooses replicas at random and has no limits.
    pub const OFF: Tuning = Tuning {
        share: false,
        adaptive: false,
        ramp: false,
        drain: false,
        backoff: false,
        silence: false,
        compare: false,
        zones: false,
        budget: false,
        reserve: false,
    };
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            share: true,
            adaptive: true,
            ramp: true,
            drain: true,
            backoff: true,
            silence: true,
            compare: true,
            zones: true,
            budget: true,
            reserve: true,
        }
    }
}
