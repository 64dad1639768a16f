//! Compares the measured cases with the targets of `docs/design.md`, section 7.

use serde::Deserialize;
use serde::Serialize;

use crate::bench::condition::Condition;
use crate::bench::condition::Policy;
use crate::bench::metrics::Case;

/// Highest p99 with 1% slow replies or servers, relative to policy (a).
const MAX_P99_RATIO: f64 = 0.25;

/// Highest extra load with 1% slow replies or servers, as a fraction of the requested shards.
const MAX_EXTRA_LOAD: f64 = 0.03;

/// Lowest goodput under overload, as a fraction of the capacity.
const MIN_GOODPUT: f64 = 0.9;

/// A target with its measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Workload, condition and metric.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Lower or upper bound of the value.
    pub bound: f64,
    /// Figures that help to explain a miss; may be empty.
    pub note: String,
    /// Whether the bound is a lower bound; otherwise it is an upper bound.
    pub at_least: bool,
}

impl Target {
    /// Returns whether the value is within the bound.
    pub fn is_met(&self) -> bool {
        if self.at_least {
            self.value >= self.bound
        } else {
            self.value <= self.bound
        }
    }
}

/// Compares the cases of policy (c) with every target.
pub(crate) fn compare_targets(cases: &[Case]) -> Vec<Target> {
    let mut targets = Vec::new();
    for case in cases.iter().filter(|case| case.policy == Policy::Full) {
        let baselines: Vec<&Case> = cases
            .iter()
            .filter(|other| {
                other.policy != Policy::Full
                    && other.workload == case.workload
                    && other.condition == case.condition
            })
            .collect();
        let plain = baselines.iter().find(|other| other.policy == Policy::Plain);
        match case.condition {
            Condition::RandomSlow1 | Condition::SlowServers1 => {
                if let Some(plain) = plain {
                    let ratio = case.latency.p99 / plain.latency.p99;
                    targets.push(Target {
                        note: explain_p99(case, plain),
                        ..at_most(case, "p99 relative to (a)", ratio, MAX_P99_RATIO)
                    });
                }
                targets.push(at_most(case, "extra load", case.extra, MAX_EXTRA_LOAD));
            }
            Condition::Overload => {
                targets.push(at_least(case, "goodput", case.goodput, MIN_GOODPUT))
            }
            _ => {}
        }
        let best = baselines.iter().map(|other| other.coverage);
        if let Some(best) = best.reduce(f64::max) {
            targets.push(at_least(case, "coverage", case.coverage, best));
        }
        targets.extend(check_violations(case));
    }
    targets
}

fn explain_p99(case: &Case, plain: &Case) -> String {
    format!(
        "p99 {:.1} ms, (a) {:.1} ms, ideal {:.1} ms; {:.0}% of the slowest 1% of the answers ended with no hedge token \
         left on their node, of all answers {:.0}%",
        case.latency.p99,
        plain.latency.p99,
        case.ideal.p99,
        case.starved_slow * 100.0,
        case.starved * 100.0
    )
}

fn check_violations(case: &Case) -> Vec<Target> {
    let violations = &case.violations;
    let counts = [
        ("mixed snapshots", violations.mixed),
        ("misreported coverage", violations.misreported),
        ("answers to the wrong caller", violations.foreign),
        ("connections over the limit", violations.connections),
        ("answers after the deadline", violations.late),
        ("keys run more than once", violations.reruns),
        ("refusals of queries that ran", violations.refused),
    ];
    let build = |(name, count)| at_most(case, name, count as f64, 0.0);
    counts.into_iter().map(build).collect()
}

fn at_most(case: &Case, name: &str, value: f64, bound: f64) -> Target {
    build_target(case, name, value, bound, false)
}

fn at_least(case: &Case, name: &str, value: f64, bound: f64) -> Target {
    build_target(case, name, value, bound, true)
}

fn build_target(case: &Case, name: &str, value: f64, bound: f64, at_least: bool) -> Target {
    Target {
        name: format!("{}, {}: {name}", case.workload, case.condition.name()),
        value,
        bound,
        note: String::new(),
        at_least,
    }
}
