//! What an entry VM reports about itself.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;

/// Body of `GET /v1/status`.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// This VM.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Configuration revision in force; absent before the first.
    pub revision: Option<u64>,
    /// Requests in progress.
    pub active: usize,
    /// Answers by result code since the start.
    pub codes: BTreeMap<u16, u64>,
    /// Latencies by service and class.
    pub latencies: Vec<LatencyStatus>,
}

/// Latency of one service and class, in microseconds.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct LatencyStatus {
    /// Service.
    pub service: String,
    /// Class.
    pub class: String,
    /// Answers.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

impl Node {
    /// Reports the state of this VM.
    pub fn status(&self) -> Status {
        let latencies = self.metrics.latencies().into_iter();
        Status {
            node: self.settings.node.to_string(),
            zone: self.settings.zone.to_string(),
            revision: self.catalogue().map(|catalogue| catalogue.revision),
            active: self.active(),
            codes: self.metrics.codes(),
            latencies: latencies
                .map(
                    |(service, class, count, [p50_us, p99_us, p999_us])| LatencyStatus {
                        service: service.to_string(),
                        class: class.into(),
                        count,
                        p50_us,
                        p99_us,
                        p999_us,
                    },
                )
                .collect(),
        }
    }
}
