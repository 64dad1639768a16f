//! Switches for the mechanisms, so that benchmarks and tests can compare with and without each.

/// Which mechanisms of [`crate::Limits`] are in effect; the default is all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// Keep within the connection share.
    pub share: bool,
    /// Move the concurrency limit by observed queueing.
    pub adaptive: bool,
    /// Raise the concurrency limit gradually after a cold start.
    pub ramp: bool,
    /// Send nothing new to an upstream that is draining.
    pub drain: bool,
    /// Pause after consecutive failures.
    pub backoff: bool,
    /// Take prolonged silence for a failure.
    pub silence: bool,
    /// Compare two replicas by load and latency; otherwise one is drawn at random.
    pub compare: bool,
    /// Prefer replicas in the node's own zone.
    pub zones: bool,
    /// Charge hedges and retries to the budget of the service.
    pub budget: bool,
    /// Share hedge tokens that a service can't keep among the services of the node.
    pub reserve: bool,
}

impl Tuning {
    /// Every mechanism off: the baseline with a random replica and no limit.
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
