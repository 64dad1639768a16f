//! The benchmark: runs three policies under every condition and checks the answers against what the servers did.
//!
//! It runs the real query state machine, limits and admission against modelled servers. Time is virtual, so that the
//! same seed gives the same results on every machine; only the CPU costs are measured.

pub mod audit;
mod condition;
mod cpu;
pub(crate) mod exchange;
mod html;
mod ideal;
mod metrics;
pub(crate) mod network;
mod node;
mod table;
mod targets;
mod workload;
pub(crate) mod world;

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indicatif::ProgressBar;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

pub use crate::bench::audit::Violations;
pub use crate::bench::condition::Condition;
pub use crate::bench::condition::Policy;
pub use crate::bench::cpu::Cost;
pub use crate::bench::metrics::AttemptCounts;
pub use crate::bench::metrics::Case;
pub use crate::bench::metrics::Latency;
pub use crate::bench::metrics::ServiceMetrics;
pub use crate::bench::targets::Target;
pub use crate::bench::workload::InputError;
use crate::bench::workload::Workload;
use crate::bench::world::run_case;

/// Measured deployments and indexes: one index of each user, both with a fan-out of 30.
const WORKLOADS: [(&str, &str); 2] = [("brunner-vaucher", "plan-desk"), ("skiasis", "offcut-desk")];

/// Measured virtual time of a case; at the rates of the examples about ten samples lie above p99.9.
const MEASURED_TIME: Duration = Duration::from_secs(40);

/// Measured virtual time of a case in a quick run.
const QUICK_MEASURED_TIME: Duration = Duration::from_secs(4);

/// Maximum number of cases that run in parallel.
const MAX_THREADS: usize = 4;

/// Options of a benchmark run.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Seed of the random generators.
    pub seed: u64,
    /// Whether to measure only a short time, which makes p99.9 inaccurate.
    pub quick: bool,
    /// Path at which to write the report as JSON.
    pub json: Option<PathBuf>,
    /// Path at which to write the report as an HTML page with plots.
    pub html: Option<PathBuf>,
}

/// The results of a benchmark run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Results of every workload, condition and policy.
    pub cases: Vec<Case>,
    /// The targets with their measured values.
    pub targets: Vec<Target>,
    /// CPU costs of the state machine, the only results that depend on the machine.
    pub costs: Vec<Cost>,
}

impl Report {
    /// Returns the missed targets.
    pub fn missed(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|target| !target.is_met())
    }
}

/// An error that prevents a report.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// The inputs are not valid.
    #[snafu(display("bench: {source}"))]
    Input {
        /// Cause.
        source: InputError,
    },
    /// A report file cannot be written.
    #[snafu(display("bench: cannot write {}: {source}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The report cannot be serialized.
    #[snafu(display("bench: cannot serialize the report as JSON: {source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// A plot cannot be drawn.
    #[snafu(display("bench: cannot draw a plot: {reason}"))]
    Plot {
        /// Message of the plotting library.
        reason: String,
    },
}

/// Runs every case and writes the report files that the options name.
///
/// # Errors
///
/// Returns an error when an example is not valid or a file cannot be written; a missed target is not an error.
pub fn run(options: &Options) -> Result<Report, BenchError> {
    let cases = run_cases(options)?;
    let report = Report {
        seed: options.seed,
        targets: targets::compare_targets(&cases),
        cases,
        costs: cpu::measure_costs(options.quick),
    };
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&report).context(JsonSnafu)?;
        std::fs::write(path, text).context(WriteSnafu { path })?;
    }
    if let Some(path) = &options.html {
        let text = html::render(&report)?;
        std::fs::write(path, text).context(WriteSnafu { path })?;
    }
    Ok(report)
}

/// Runs one condition under one policy on one of the measured workloads.
///
/// # Errors
///
/// Returns an error when the example is not valid.
pub fn run_one(
    (name, index): (&str, &str),
    condition: Condition,
    policy: Policy,
    options: &Options,
) -> Result<Case, BenchError> {
    let workload = Workload::build(name, index, options.seed).context(InputSnafu)?;
    let measured = measured_time(options);
    Ok(run_case(
        &workload,
        condition,
        policy,
        options.seed,
        measured,
    ))
}

fn measured_time(options: &Options) -> Duration {
    if options.quick {
        QUICK_MEASURED_TIME
    } else {
        MEASURED_TIME
    }
}

/// Runs the cases on a few threads; each has its own random generators, so that the order does not matter.
fn run_cases(options: &Options) -> Result<Vec<Case>, BenchError> {
    let workloads = WORKLOADS
        .iter()
        .map(|(name, index)| Workload::build(name, index, options.seed))
        .collect::<Result<Vec<Workload>, InputError>>()
        .context(InputSnafu)?;
    let mut jobs = Vec::new();
    for workload in &workloads {
        for condition in Condition::ALL {
            jobs.extend(Policy::ALL.map(|policy| (workload, condition, policy)));
        }
    }
    let progress = ProgressBar::new(jobs.len() as u64);
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    let run_jobs = || {
        while let Some(&(workload, condition, policy)) =
            jobs.get(next.fetch_add(1, Ordering::Relaxed))
        {
            let case = run_case(
                workload,
                condition,
                policy,
                options.seed,
                measured_time(options),
            );
            done.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(case);
            progress.inc(1);
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.div_ceil(2).min(MAX_THREADS) {
            scope.spawn(run_jobs);
        }
    });
    progress.finish_and_clear();
    let mut cases = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    cases.sort_by(|a: &Case, b: &Case| {
        (&a.workload, a.condition, a.policy).cmp(&(&b.workload, b.condition, b.policy))
    });
    Ok(cases)
}
