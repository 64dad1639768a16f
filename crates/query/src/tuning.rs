//! Options that turn single mechanisms off, so that benchmarks and tests can compare runs with and without each.

use std::time::Duration;

/// When a hedge is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Hedging {
    /// Never.
    Off,
    /// When the reply takes longer than the quantile `1 - b` of the reply times, where `b` is the share of requests
    /// that the declared budget can hedge.
    ///
    /// At a lower quantile, replies that are barely late would use up the tokens and leave none for stragglers.
    Budget,
    /// When the reply takes longer than this quantile of the reply times of the shard's replicas.
    Quantile(f64),
    /// When the reply takes longer than a fixed time.
    Fixed(Duration),
}

/// Which mechanisms of [`crate::Query`] are in effect; the default is all of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// When a hedge is sent.
    pub hedging: Hedging,
    /// Retry failed attempts within the budget.
    pub retry: bool,
    /// Restart on another snapshot when the bound one can no longer be served.
    pub restart: bool,
    /// Bind the version at which most members can be served; otherwise the newest.
    pub best_version: bool,
    /// Tell upstreams which attempts are no longer needed.
    pub cancel: bool,
}

impl Tuning {
    /// Every mechanism off: the baseline that sends a single attempt for each shard.
    pub const OFF: Tuning = Tuning {
        hedging: Hedging::Off,
        retry: false,
        restart: false,
        best_version: false,
        cancel: false,
    };
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            hedging: Hedging::Budget,
            retry: true,
            restart: true,
            best_version: true,
            cancel: true,
        }
    }
}
