//! Counters and latency histograms in the Prometheus text format; docs/metrics.md lists them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use crate::RouteName;

/// Upper bounds of the latency buckets.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 150, 250, 500, 1_000, 2_500, 5_000, 10_000,
];

macro_rules! counters {
    ($($name:ident = $label:literal,)+) => {
        /// A counter of the metrics page.
        #[derive(Debug, Clone, Copy)]
        pub(crate) enum Counter {
            $($name,)+
        }

        const COUNTERS: &[&str] = &[$($label,)+];
    };
}

counters! {
    RequestWhole = "requests_answered_whole",
    RequestPartial = "requests_answered_partial",
    RequestNotRun = "requests_not_run",
    RequestFailed = "requests_failed",
    RequestTimedOut = "requests_timed_out",
    RequestNoRoute = "requests_without_route",
    RequestBlocked = "requests_blocked",
    BlockFound = "requests_found_to_crash_servers",
    RequestAbandoned = "requests_left_by_caller",
    RequestNoMemory = "requests_without_memory",
    ReplyNoMemory = "replies_without_memory",
    ConnectionRefused = "connections_refused",
    ConnectionClosed = "connections_closed_for_room",
    HeadTimedOut = "heads_timed_out",
    AttemptPrimary = "attempts_primary",
    AttemptHedge = "attempts_hedge",
    AttemptRetry = "attempts_retry",
    AttemptNotRun = "attempts_not_run",
    AttemptLost = "attempts_lost",
    AttemptBroken = "attempts_broken",
    AttemptLimited = "attempts_to_limited_servers",
    ServerLeaving = "servers_leaving",
    ServerHold = "servers_postponing",
    LimitNamed = "server_limits_named",
    RequestForwarded = "requests_forwarded",
    RequestServedForPeer = "requests_served_for_others",
    LinksLost = "links_lost",
    DelegationSent = "delegations_sent",
    DelegationServed = "delegations_served",
    HolderLost = "holders_lost",
    StoreFailed = "store_calls_failed",
    StoreRestored = "store_restores",
    ObjectUnreadable = "store_objects_unreadable",
    RelayLost = "relays_lost",
    ServerDropped = "servers_dropped",
    LogSkipped = "log_lines_skipped",
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    counts: [u64; COUNTERS.len()],
    latencies: BTreeMap<RouteName, Histogram>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            counts: [0; COUNTERS.len()],
            latencies: BTreeMap::new(),
        }
    }
}

impl Metrics {
    pub(crate) fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    pub(crate) fn add(&mut self, counter: Counter, amount: u64) {
        self.counts[counter as usize] += amount;
    }

    /// Records the latency of a request, from its admission to its answer.
    pub(crate) fn record_latency(&mut self, route: &RouteName, latency: Duration) {
        let histogram = match self.latencies.get_mut(route) {
            Some(histogram) => histogram,
            None => self.latencies.entry(route.clone()).or_default(),
        };
        histogram.count += 1;
        histogram.sum += latency;
        let millis = latency.as_millis() as u64;
        for (bucket, bound) in histogram.buckets.iter_mut().zip(BUCKET_BOUNDS_MS) {
            *bucket += u64::from(millis <= bound);
        }
    }

    /// Drops the latencies of routes that no longer exist, so that the page stays small.
    pub(crate) fn retain_routes(&mut self, mut keep: impl FnMut(&RouteName) -> bool) {
        self.latencies.retain(|route, _| keep(route));
    }

    /// Renders the metrics page, with the gauges that are passed.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut page = String::new();
        // Writing to a string can't fail.
        let _ = self.write_to(&mut page);
        for (name, value) in gauges {
            let _ = writeln!(page, "limpetwick_{name} {value}");
        }
        page
    }

    fn write_to(&self, page: &mut String) -> std::fmt::Result {
        for (name, count) in COUNTERS.iter().zip(self.counts) {
            writeln!(page, "limpetwick_{name}_total {count}")?;
        }
        let name = "limpetwick_request_seconds";
        for (route, histogram) in &self.latencies {
            let route = escape_label(route);
            for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
                let bound = *bound as f64 / 1_000.0;
                writeln!(
                    page,
                    "{name}_bucket{{route=\"{route}\",le=\"{bound}\"}} {bucket}"
                )?;
            }
            let (count, sum) = (histogram.count, histogram.sum.as_secs_f64());
            writeln!(
                page,
                "{name}_bucket{{route=\"{route}\",le=\"+Inf\"}} {count}"
            )?;
            writeln!(page, "{name}_sum{{route=\"{route}\"}} {sum}")?;
            writeln!(page, "{name}_count{{route=\"{route}\"}} {count}")?;
        }
        Ok(())
    }
}

/// Escapes the value of a label, as the text format demands.
fn escape_label(value: &str) -> String {
    let escaped = value.replace('\\', "\\\\").replace('"', "\\\"");
    escaped.replace('\n', "\\n")
}
