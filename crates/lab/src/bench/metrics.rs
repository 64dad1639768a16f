//! Figures of one case.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Outcome;
use hdrhistogram::Histogram;
use query::Answer;
use serde::Deserialize;
use serde::Serialize;

use crate::bench::audit::Violations;
use crate::bench::condition::Condition;
use crate::bench::condition::Policy;
use crate::bench::workload::Workload;

/// Highest latency that is recorded, in microseconds; above every declared deadline.
const HIGHEST_US: u64 = 60_000_000;

/// Quantiles of a latency distribution, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Recorded values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Figures of one service in a case.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceMetrics {
    /// Latency of every query that was not refused.
    pub latency: Latency,
    /// Covered members as a fraction of the members asked for, over queries that were not refused.
    pub coverage: f64,
    /// Queries that were refused.
    pub refused: u64,
    /// Upper edge in milliseconds and count of each filled bucket of the latency histogram.
    pub histogram: Vec<(f64, u64)>,
}

/// Figures of one condition under one policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// Deployment and index.
    pub workload: String,
    /// Condition.
    pub condition: Condition,
    /// Policy.
    pub policy: Policy,
    /// Queries that callers sent in the measured time.
    pub offered: u64,
    /// Latency of every query that was not refused, as callers see it.
    pub latency: Latency,
    /// Latency with a perfect choice of replica and no queue.
    pub ideal: Latency,
    /// Covered members as a fraction of the members asked for, over queries that were not refused.
    pub coverage: f64,
    /// Sub-requests whose parts reached a caller in time, as a fraction of the servers' capacity.
    pub goodput: f64,
    /// Sub-requests run beyond one per shard, as a fraction of the shards asked for.
    pub extra: f64,
    /// Time for which slots were busy, as a fraction of the servers' time.
    pub busy: f64,
    /// Answers by result code; codes from 300 to 399 are refusals.
    pub codes: BTreeMap<u16, u64>,
    /// Hedges, retries and restarts.
    pub actions: AttemptCounts,
    /// Violations.
    pub violations: Violations,
    /// Answers that ended while their node had no hedge token left for the service, as a fraction of all answers.
    pub starved: f64,
    /// The same among the slowest 1% of the answers.
    pub starved_slow: f64,
    /// Most connections that one server had at a time, as a fraction of its limit.
    pub connections: f64,
    /// Figures by service.
    pub services: BTreeMap<String, ServiceMetrics>,
}

/// What queries did beyond their first sub-requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Sub-requests sent, hedges and retries included.
    pub attempts: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Restarts on another snapshot.
    pub restarts: u64,
    /// Parts dropped because they were late, duplicate or did not match.
    pub dropped: u64,
}

#[derive(Debug)]
struct ServiceRecorder {
    latency: Histogram<u64>,
    asked: u64,
    covered: u64,
    refused: u64,
}

/// Collects the figures of a case while it runs.
#[derive(Debug)]
pub(crate) struct Recorder {
    pub(crate) violations: Violations,
    pub(crate) extra: u64,
    latency: Histogram<u64>,
    starved: Histogram<u64>,
    ideal: Histogram<u64>,
    services: Vec<ServiceRecorder>,
    codes: BTreeMap<u16, u64>,
    actions: AttemptCounts,
    delivered: u64,
    shards: u64,
    offered: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are valid for the crate: 1 to 60 s in microseconds with three digits.
    Histogram::new_with_bounds(1, HIGHEST_US, 3).expect("the bounds of the histogram are valid")
}

impl Recorder {
    pub(crate) fn new(services: usize) -> Recorder {
        let service = || ServiceRecorder {
            latency: histogram(),
            asked: 0,
            covered: 0,
            refused: 0,
        };
        Recorder {
            violations: Violations::default(),
            extra: 0,
            latency: histogram(),
            starved: histogram(),
            ideal: histogram(),
            services: (0..services).map(|_| service()).collect(),
            codes: BTreeMap::new(),
            actions: AttemptCounts::default(),
            delivered: 0,
            shards: 0,
            offered: 0,
        }
    }

    pub(crate) fn offer(&mut self, ideal: Option<Duration>) {
        self.offered += 1;
        if let Some(ideal) = ideal {
            self.ideal.saturating_record(ideal.as_micros() as u64);
        }
    }

    /// Records a query that was refused before it started.
    pub(crate) fn refuse(&mut self, service: usize, code: base::Code) {
        *self.codes.entry(code.number()).or_default() += 1;
        self.services[service].refused += 1;
    }

    /// Records an answer; `latency` is what the caller saw, and `starved` tells that no hedge token was left.
    pub(crate) fn answer(
        &mut self,
        service: usize,
        answer: &Answer,
        latency: Duration,
        starved: bool,
    ) {
        let explanation = &answer.explanation;
        self.actions.attempts += u64::from(explanation.attempts);
        self.actions.hedges += u64::from(explanation.hedges);
        self.actions.retries += u64::from(explanation.retries);
        self.actions.restarts += u64::from(explanation.restarts);
        self.actions.dropped += u64::from(explanation.dropped);
        let outcome = answer.code.outcome();
        if outcome == Some(Outcome::Refused) {
            self.refuse(service, answer.code);
            return;
        }
        *self.codes.entry(answer.code.number()).or_default() += 1;
        let tally = &mut self.services[service];
        let micros = latency.as_micros() as u64;
        tally.latency.saturating_record(micros);
        self.latency.saturating_record(micros);
        if starved {
            self.starved.saturating_record(micros);
        }
        self.shards += u64::from(explanation.coverage.shards);
        tally.asked += explanation.coverage.members;
        if outcome != Some(Outcome::Unknown) {
            // Below the declared minimum the caller gets no parts, so that nothing is covered.
            tally.covered += explanation.coverage.covered;
            self.delivered += answer.parts.len() as u64;
        }
    }

    pub(crate) fn finish(
        self,
        workload: &Workload,
        condition: Condition,
        policy: Policy,
        measured: Duration,
        busy: Duration,
    ) -> Case {
        let slots: u32 = workload.servers.iter().map(|server| server.slots).sum();
        let secs = measured.as_secs_f64();
        let asked: u64 = self.services.iter().map(|tally| tally.asked).sum();
        let covered: u64 = self.services.iter().map(|tally| tally.covered).sum();
        let slowest = self.latency.value_at_quantile(0.99);
        let names = workload
            .services
            .iter()
            .map(|entry| entry.service.to_string());
        Case {
            workload: workload.name.clone(),
            condition,
            policy,
            offered: self.offered,
            latency: summarize(&self.latency),
            ideal: summarize(&self.ideal),
            coverage: divide(covered, asked),
            goodput: self.delivered as f64 / secs / workload.capacity(),
            extra: divide(self.extra, self.shards),
            busy: busy.as_secs_f64() / secs / f64::from(slots),
            codes: self.codes,
            actions: self.actions,
            violations: self.violations,
            starved: divide(self.starved.len(), self.latency.len()),
            starved_slow: divide(
                count_from(&self.starved, slowest),
                count_from(&self.latency, slowest),
            ),
            connections: 0.0,
            services: names.zip(self.services.iter().map(figures)).collect(),
        }
    }
}

fn figures(tally: &ServiceRecorder) -> ServiceMetrics {
    ServiceMetrics {
        latency: summarize(&tally.latency),
        coverage: divide(tally.covered, tally.asked),
        refused: tally.refused,
        histogram: list_buckets(&tally.latency),
    }
}

fn divide(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn count_from(histogram: &Histogram<u64>, lowest: u64) -> u64 {
    histogram.count_between(lowest, HIGHEST_US)
}

fn summarize(histogram: &Histogram<u64>) -> Latency {
    let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Latency {
        count: histogram.len(),
        p50: quantile(0.5),
        p99: quantile(0.99),
        p999: quantile(0.999),
    }
}

/// Lists the filled buckets on a logarithmic scale from 1 ms, which is fine enough for a plot.
fn list_buckets(histogram: &Histogram<u64>) -> Vec<(f64, u64)> {
    histogram
        .iter_log(1000, 1.3)
        .filter(|bucket| bucket.count_since_last_iteration() > 0)
        .map(|bucket| {
            let edge = bucket.value_iterated_to() as f64 / 1000.0;
            (edge, bucket.count_since_last_iteration())
        })
        .collect()
}
