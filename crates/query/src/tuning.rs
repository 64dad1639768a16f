//! Switches for the mechanisms, so that benchmarks and tests can compare with and without each.

use std::time::Duration;

/// When a hedge is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Hedging {
    /// Never.
    Off,
    /// When the reply takes longer than the quantile that as many replies exceed as the declared budget pays for.
    ///
    /// At a lower quantile the tokens go to replies that are hardly late and are missing for stragglers.
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
    /// Restart on another snapshot when the bound one cannot be served any more.
    pub restart: bool,
    /// Bind the version that most members can be served at; otherwise the newest.
    pub best_version: bool,
    /// Tell upstreams which attempts are no longer needed.
    pub cancel: bool,
}

impl Tuning {
    /// Every mechanism off: the baseline that sends each sub-request once.
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
