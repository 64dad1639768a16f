//! Metrics of one case.

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

/// Highest latency that a histogram distinguishes; it is above every declared deadline.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Quantiles of a latency distribution, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Metrics of one service in a case.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceMetrics {
    /// Latency of every query that was not refused.
    pub latency: Latency,
    /// Covered members as a fraction of the requested members, over queries that were not refused.
    pub coverage: f64,
    /// Queries that were refused.
    pub refused: u64,
    /// Upper bound in milliseconds and count of each non-empty bucket of the latency histogram.
    pub histogram: Vec<(f64, u64)>,
}

/// Metrics of one workload under one condition and one policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// Names of the deployment and of the index.
    pub workload: String,
    /// Condition of the servers and the network.
    pub condition: Condition,
    /// Policy of the entry nodes.
    pub policy: Policy,
    /// Queries that callers sent in the measured time.
    pub offered: u64,
    /// Latency of every query that was not refused, as callers see it.
    pub latency: Latency,
    /// Latency with a perfect choice of replica and no queue.
    pub ideal: Latency,
    /// Covered members as a fraction of the requested members, over queries that were not refused.
    pub coverage: f64,
    /// Rate of sub-requests whose parts reached a caller in time, as a fraction of the servers' capacity.
    pub goodput: f64,
    /// Sub-requests executed beyond one per shard, as a fraction of the requested shards.
    pub extra: f64,
    /// Utilization of the servers' slots, as a fraction.
    pub busy: f64,
    /// Answers by result code; codes from 300 to 399 are refusals.
    pub codes: BTreeMap<u16, u64>,
    /// Counts of attempts, hedges, retries, restarts and dropped parts.
    pub actions: AttemptCounts,
    /// Violated guarantees.
    pub violations: Violations,
    /// Answers given while their node had no hedge token left for the service, as a fraction of all answers.
    pub starved: f64,
    /// The same fraction among the slowest 1% of the answers.
    pub starved_slow: f64,
    /// Highest number of open connections of any server, as a fraction of its limit.
    pub connections: f64,
    /// Metrics by service.
    pub services: BTreeMap<String, ServiceMetrics>,
}

/// Counts over the answers of a case, as their explanations report them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Sub-requests sent, hedges and retries included.
    pub attempts: u64,
    /// Hedged sub-requests.
    pub hedges: u64,
    /// Retried sub-requests.
    pub retries: u64,
    /// Restarts of a query on another snapshot.
    pub restarts: u64,
    /// Parts dropped because they were late, duplicate or did not match the query.
    pub dropped: u64,
}

#[derive(Debug)]
struct ServiceRecorder {
    latency: Histogram<u64>,
    requested: u64,
    covered: u64,
    refused: u64,
}

/// Records the metrics of a case while it runs.
#[derive(Debug)]
pub(crate) struct Recorder {
    pub(crate) violations: Violations,
    /// Sub-requests executed beyond one per shard.
    pub(crate) extra: u64,
    latency: Histogram<u64>,
    starved: Histogram<u64>,
    ideal: Histogram<u64>,
    services: Vec<ServiceRecorder>,
    codes: BTreeMap<u16, u64>,
    actions: AttemptCounts,
    /// Parts that reached a caller.
    delivered: u64,
    /// Requested shards.
    shards: u64,
    offered: u64,
}

fn new_histogram() -> Histogram<u64> {
    // The crate accepts a range from 1 µs to 60 s at three significant digits.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}

impl Recorder {
    pub(crate) fn new(services: usize) -> Recorder {
        let service = || ServiceRecorder {
            latency: new_histogram(),
            requested: 0,
            covered: 0,
            refused: 0,
        };
        Recorder {
            violations: Violations::default(),
            extra: 0,
            latency: new_histogram(),
            starved: new_histogram(),
            ideal: new_histogram(),
            services: (0..services).map(|_| service()).collect(),
            codes: BTreeMap::new(),
            actions: AttemptCounts::default(),
            delivered: 0,
            shards: 0,
            offered: 0,
        }
    }

    /// Records a request that a caller sent, with its lowest possible latency if it has one.
    pub(crate) fn record_offered(&mut self, ideal: Option<Duration>) {
        self.offered += 1;
        if let Some(ideal) = ideal {
            self.ideal.saturating_record(ideal.as_micros() as u64);
        }
    }

    /// Records a refused query.
    pub(crate) fn record_refusal(&mut self, service: usize, code: base::Code) {
        *self.codes.entry(code.number()).or_default() += 1;
        self.services[service].refused += 1;
    }

    /// Records an answer with the latency that its caller saw; `starved` means that no hedge token was left.
    pub(crate) fn record_answer(
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
            self.record_refusal(service, answer.code);
            return;
        }
        *self.codes.entry(answer.code.number()).or_default() += 1;
        let recorder = &mut self.services[service];
        let latency_us = latency.as_micros() as u64;
        recorder.latency.saturating_record(latency_us);
        self.latency.saturating_record(latency_us);
        if starved {
            self.starved.saturating_record(latency_us);
        }
        self.shards += u64::from(explanation.coverage.shards);
        recorder.requested += explanation.coverage.members;
        if outcome != Some(Outcome::Unknown) {
            // Below the declared minimum coverage an answer has no parts, so nothing counts as covered.
            recorder.covered += explanation.coverage.covered;
            self.delivered += answer.parts.len() as u64;
        }
    }

    /// Computes the metrics of the case; the caller fills in `connections`.
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
        let requested: u64 = self.services.iter().map(|service| service.requested).sum();
        let covered: u64 = self.services.iter().map(|service| service.covered).sum();
        let p99_us = self.latency.value_at_quantile(0.99);
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
            coverage: compute_fraction(covered, requested),
            goodput: self.delivered as f64 / secs / workload.capacity(),
            extra: compute_fraction(self.extra, self.shards),
            busy: busy.as_secs_f64() / secs / f64::from(slots),
            codes: self.codes,
            actions: self.actions,
            violations: self.violations,
            starved: compute_fraction(self.starved.len(), self.latency.len()),
            starved_slow: compute_fraction(
                count_at_least(&self.starved, p99_us),
                count_at_least(&self.latency, p99_us),
            ),
            connections: 0.0,
            services: names
                .zip(self.services.iter().map(summarize_service))
                .collect(),
        }
    }
}

fn summarize_service(service: &ServiceRecorder) -> ServiceMetrics {
    ServiceMetrics {
        latency: summarize(&service.latency),
        coverage: compute_fraction(service.covered, service.requested),
        refused: service.refused,
        histogram: list_buckets(&service.latency),
    }
}

fn compute_fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn count_at_least(histogram: &Histogram<u64>, lowest_us: u64) -> u64 {
    histogram.count_between(lowest_us, MAX_LATENCY_US)
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

/// Lists the non-empty buckets on a logarithmic scale that starts at 1 ms; its resolution suffices for a plot.
fn list_buckets(histogram: &Histogram<u64>) -> Vec<(f64, u64)> {
    histogram
        .iter_log(1000, 1.3)
        .filter(|bucket| bucket.count_since_last_iteration() > 0)
        .map(|bucket| {
            let upper_ms = bucket.value_iterated_to() as f64 / 1000.0;
            (upper_ms, bucket.count_since_last_iteration())
        })
        .collect()
}
