//! Metrics: statsd counters, timers and gauges, and latency histograms per service and class.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::Code;
use base::ServiceName;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use decl::Class;
use hdrhistogram::Histogram;
use schemars::JsonSchema;
use serde::Serialize;

/// Largest latency that a histogram records; higher ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Ratio of the upper bounds of adjacent buckets in the API.
const BUCKET_RATIO: f64 = 2.0;

/// Body of `GET /v1/metrics`.
#[derive(Debug, Serialize, JsonSchema)]
pub struct MetricsBody {
    /// Number of answers since the start, by result code.
    pub codes: BTreeMap<u16, u64>,
    /// Latency histograms.
    pub latencies: Vec<HistogramBody>,
}

/// Latency histogram of one service and class.
#[derive(Debug, Serialize, JsonSchema)]
pub struct HistogramBody {
    /// Service name.
    pub service: String,
    /// Class of the service: `interactive` or `batch`.
    pub class: String,
    /// Number of answers.
    pub count: u64,
    /// Nonempty buckets, in ascending order.
    pub buckets: Vec<BucketBody>,
}

/// One bucket of a histogram.
#[derive(Debug, Serialize, JsonSchema)]
pub struct BucketBody {
    /// Largest latency in the bucket, in microseconds.
    pub up_to_us: u64,
    /// Number of answers in the bucket.
    pub count: u64,
}

/// Metrics of one node; `docs/metrics.md` lists them.
#[derive(Debug)]
pub struct Metrics {
    statsd: StatsdClient,
    latency: Mutex<BTreeMap<(ServiceName, &'static str), Histogram<u64>>>,
    codes: Mutex<BTreeMap<u16, u64>>,
}

impl Metrics {
    /// Creates metrics that send statsd datagrams to `addr`, if present.
    pub fn new(addr: Option<SocketAddr>) -> Metrics {
        let statsd = match addr.and_then(open_sink) {
            Some(sink) => StatsdClient::from_sink("limpetwick", sink),
            None => StatsdClient::from_sink("limpetwick", NopMetricSink),
        };
        Metrics {
            statsd,
            latency: Mutex::default(),
            codes: Mutex::default(),
        }
    }

    /// Records the result code and the latency of a request.
    pub fn record_answer(
        &self,
        service: &ServiceName,
        class: Class,
        code: Code,
        elapsed: Duration,
    ) {
        let class = class_name(class);
        let _ = self
            .statsd
            .count_with_tags("answers", 1)
            .with_tag("service", service)
            .with_tag("code", &code.number().to_string())
            .try_send();
        let _ = self
            .statsd
            .time_with_tags("latency", elapsed)
            .with_tag("service", service)
            .with_tag("class", class)
            .try_send();
        *self
            .codes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(code.number())
            .or_default() += 1;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = latency
            .entry((service.clone(), class))
            .or_insert_with(new_histogram);
        histogram.saturating_record(elapsed.as_micros() as u64);
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.statsd.count(name, amount);
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Returns the counters and histograms for the API.
    pub fn describe(&self) -> MetricsBody {
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        let latencies = latency
            .iter()
            .map(|((service, class), histogram)| HistogramBody {
                service: service.to_string(),
                class: (*class).into(),
                count: histogram.len(),
                buckets: histogram
                    .iter_log(1, BUCKET_RATIO)
                    .filter(|bucket| bucket.count_since_last_iteration() > 0)
                    .map(|bucket| BucketBody {
                        up_to_us: bucket.value_iterated_to(),
                        count: bucket.count_since_last_iteration(),
                    })
                    .collect(),
            });
        MetricsBody {
            codes: self.codes(),
            latencies: latencies.collect(),
        }
    }

    /// Returns the number of answers by result code.
    pub fn codes(&self) -> BTreeMap<u16, u64> {
        self.codes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the number of answers and their latency quantiles (p50, p99, p99.9), in microseconds, per service and
    /// class.
    pub fn latencies(&self) -> Vec<(ServiceName, &'static str, u64, [u64; 3])> {
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency
            .iter()
            .map(|((service, class), histogram)| {
                let quantiles = [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q));
                (service.clone(), *class, histogram.len(), quantiles)
            })
            .collect()
    }
}

fn open_sink(addr: SocketAddr) -> Option<UdpMetricSink> {
    let local: SocketAddr = if addr.is_ipv4() {
        ([0, 0, 0, 0], 0).into()
    } else {
        ([0u16; 8], 0).into()
    };
    let socket = UdpSocket::bind(local).ok()?;
    socket.set_nonblocking(true).ok()?;
    UdpMetricSink::from(addr, socket).ok()
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("constant bounds are valid")
}

/// Returns the name of a class for metrics and logs.
pub fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    }
}
