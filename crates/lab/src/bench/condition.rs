//! The conditions of the benchmark and the policies that it compares under each.

use std::time::Duration;

use limit::Tuning as LimitTuning;
use query::Hedging;
use query::Tuning as QueryTuning;
use serde::Deserialize;
use serde::Serialize;

use crate::bench::workload::Workload;
use crate::fault::Fault;

/// Hedge delay of policy (b): about the p99 of a sub-request under no fault.
const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Factor by which slow replies and slow servers exceed their usual service time.
const SLOW_FACTOR: f64 = 10.0;

/// Load under every condition but overload, as a fraction of the servers' capacity.
const NORMAL_LOAD: f64 = 0.5;

/// Load under the overload condition, as a fraction of the servers' capacity.
const OVERLOAD_LOAD: f64 = 1.5;

/// The mechanisms that are enabled when sub-requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Policy (a): no hedges, no limits, a random replica.
    Plain,
    /// Policy (b): policy (a) with a hedge after a fixed delay.
    Fixed,
    /// Policy (c): every mechanism.
    Full,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 3] = [Policy::Plain, Policy::Fixed, Policy::Full];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Plain => "a",
            Policy::Fixed => "b",
            Policy::Full => "c",
        }
    }

    pub(crate) fn limits(self) -> LimitTuning {
        match self {
            Policy::Plain | Policy::Fixed => LimitTuning::OFF,
            Policy::Full => LimitTuning::default(),
        }
    }

    pub(crate) fn queries(self) -> QueryTuning {
        match self {
            Policy::Plain => QueryTuning::OFF,
            Policy::Fixed => QueryTuning {
                hedging: Hedging::Fixed(FIXED_HEDGE_DELAY),
                ..QueryTuning::OFF
            },
            Policy::Full => QueryTuning::default(),
        }
    }
}

/// What the servers and the network do during a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No fault.
    Healthy,
    /// 1% of the replies, drawn at random, are slow.
    RandomSlow1,
    /// 5% of the replies, drawn at random, are slow.
    RandomSlow5,
    /// 1% of the servers, at least one, stay slow.
    SlowServers1,
    /// 5% of the servers stay slow.
    SlowServers5,
    /// One server stops.
    LostReplica,
    /// A tenth of the servers restart one after another with cold caches.
    ColdStart,
    /// Callers send more requests than the servers have capacity for.
    Overload,
    /// A network partition separates one zone from the others for a while.
    ZonePartitioned,
    /// A new index version replaces the old one, server by server.
    VersionChange,
    /// A new shard map replaces the old one, server by server.
    Repartition,
}

/// A change that a condition makes during a case.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// A fault of the server with this index.
    Fault(usize, Fault),
    /// The platform's index object changes; each node receives the change after a lag.
    Index(base::IndexState),
    /// A network partition isolates the zone with this index, or heals when there is none.
    Partition(Option<usize>),
}

impl Condition {
    /// Every condition.
    pub const ALL: [Condition; 11] = [
        Condition::Healthy,
        Condition::RandomSlow1,
        Condition::RandomSlow5,
        Condition::SlowServers1,
        Condition::SlowServers5,
        Condition::LostReplica,
        Condition::ColdStart,
        Condition::Overload,
        Condition::ZonePartitioned,
        Condition::VersionChange,
        Condition::Repartition,
    ];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Healthy => "healthy",
            Condition::RandomSlow1 => "1% slow replies",
            Condition::RandomSlow5 => "5% slow replies",
            Condition::SlowServers1 => "1% slow servers",
            Condition::SlowServers5 => "5% slow servers",
            Condition::LostReplica => "lost replica",
            Condition::ColdStart => "cold start",
            Condition::Overload => "overload 1.5x",
            Condition::ZonePartitioned => "zone partitioned",
            Condition::VersionChange => "version change",
            Condition::Repartition => "repartition",
        }
    }

    /// Returns the load as a fraction of the servers' capacity.
    pub(crate) fn load(self) -> f64 {
        match self {
            Condition::Overload => OVERLOAD_LOAD,
            _ => NORMAL_LOAD,
        }
    }

    /// Lists the steps, each with its time as a fraction of the measured time; a negative one starts with the case.
    pub(crate) fn steps(self, workload: &Workload) -> Vec<(f64, Step)> {
        let servers = workload.servers.len();
        let slow = |share: f64| {
            let count = ((servers as f64 * share).round() as usize).max(1);
            let fault = Fault::Slow {
                factor: SLOW_FACTOR,
            };
            (0..count)
                .map(|index| (-1.0, Step::Fault(index * 7 % servers, fault.clone())))
                .collect()
        };
        let straggle = |chance: f64| {
            let fault = Fault::Straggle {
                chance,
                factor: SLOW_FACTOR,
            };
            (0..servers)
                .map(|server| (-1.0, Step::Fault(server, fault.clone())))
                .collect()
        };
        match self {
            Condition::Healthy | Condition::Overload => Vec::new(),
            Condition::RandomSlow1 => straggle(0.01),
            Condition::RandomSlow5 => straggle(0.05),
            Condition::SlowServers1 => slow(0.01),
            Condition::SlowServers5 => slow(0.05),
            Condition::LostReplica => vec![(0.2, Step::Fault(0, Fault::Stop))],
            Condition::ColdStart => (0..servers.div_ceil(10))
                .map(|server| {
                    (
                        0.1 + 0.2 * server as f64,
                        Step::Fault(server, Fault::Restart),
                    )
                })
                .collect(),
            Condition::ZonePartitioned => {
                vec![
                    (0.2, Step::Partition(Some(0))),
                    (0.8, Step::Partition(None)),
                ]
            }
            Condition::VersionChange => workload.plan_version_change(),
            Condition::Repartition => workload.plan_repartition(),
        }
    }
}
