//! Status report of an entry VM.

use std::collections::BTreeMap;
use std::time::Instant;

use base::ZoneName;
use member::Health;
use member::NodeState;
use member::View;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::node::lock;

/// Body of `GET /v1/status`.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Identifier of this VM.
    pub node: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Configuration revision in force; `null` before the first one.
    pub revision: Option<u64>,
    /// Time since the configuration was last confirmed, in milliseconds; `null` while it is fresh.
    pub stale_ms: Option<u64>,
    /// All zones with entry VMs, as known from heartbeats.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams that are draining or suspected.
    pub upstreams: Vec<UpstreamStatus>,
    /// Number of active requests.
    pub active: usize,
    /// Number of answers since the start, by result code.
    pub codes: BTreeMap<u16, u64>,
    /// Latency quantiles by service and class.
    pub latencies: Vec<LatencyStatus>,
}

/// Entry VMs of one zone.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: String,
    /// Whether this VM receives heartbeats from the zone.
    pub reachable: bool,
    /// Number of running entry VMs, including those that are stopping.
    pub vms: u64,
    /// Number of these VMs by revision in force.
    pub revisions: Vec<RevisionStatus>,
}

/// Number of VMs that have a revision in force.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct RevisionStatus {
    /// Revision in force.
    pub revision: u64,
    /// Number of VMs.
    pub vms: u64,
}

/// An upstream that receives no new work.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Identifier of the upstream.
    pub upstream: String,
    /// `draining` or `suspect`.
    pub state: String,
}

/// Latency of one service and class, in microseconds.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct LatencyStatus {
    /// Service name.
    pub service: String,
    /// Class of the service: `interactive` or `batch`.
    pub class: String,
    /// Number of answers.
    pub count: u64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
    /// 99.9th percentile of the latency.
    pub p999_us: u64,
}

impl Node {
    /// Updates the gauges in the metrics.
    pub fn set_gauges(&self) {
        let age = self.stale_age(Instant::now()).unwrap_or_default();
        self.metrics
            .set_gauge("requests.active", self.active_requests() as u64);
        self.metrics
            .set_gauge("requests.queued", self.queues.queued() as u64);
        self.metrics
            .set_gauge("configuration.revision", self.revision());
        self.metrics
            .set_gauge("configuration.stale_ms", age.as_millis() as u64);
    }

    /// Returns the upstreams that are draining or suspected, as observed by this node and its peers.
    pub fn unavailable_upstreams(&self, now: Instant) -> Vec<UpstreamStatus> {
        let view = lock(&self.view);
        let ids = view.groups().flat_map(|(_, group)| &group.upstreams);
        ids.filter_map(|id| {
            let state = match view.health(id, now) {
                Health::Draining => "draining",
                Health::Suspect => "suspect",
                Health::Live | Health::Gone => return None,
            };
            Some(UpstreamStatus {
                upstream: id.to_string(),
                state: state.into(),
            })
        })
        .collect()
    }

    /// Builds the status report of this VM.
    pub fn status(&self) -> Status {
        let now = Instant::now();
        let latencies = self.metrics.latencies().into_iter();
        Status {
            node: self.settings.node.to_string(),
            zone: self.settings.zone.to_string(),
            revision: self.catalogue().map(|catalogue| catalogue.revision),
            stale_ms: self.stale_age(now).map(|age| age.as_millis() as u64),
            zones: self.with_view(|view| {
                view.zone_names()
                    .map(|zone| describe_zone(view, zone))
                    .collect()
            }),
            upstreams: self.unavailable_upstreams(now),
            active: self.active_requests(),
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

/// Counts the VMs of a zone: in this VM's own zone from node records, in other zones from their summaries.
fn describe_zone(view: &View, zone: &ZoneName) -> ZoneStatus {
    let (summary, reachable) = view
        .zone(zone)
        .map_or((None, false), |(summary, reachable)| {
            (Some(summary), reachable)
        });
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    let mut vms = 0;
    if *zone == view.me().zone {
        for node in view.nodes().filter(|node| node.record.zone == *zone) {
            if node.state() != NodeState::Dead {
                vms += 1;
                *counts.entry(node.record.revision).or_default() += 1;
            }
        }
    } else if let Some(summary) = summary {
        vms = u64::from(summary.nodes());
        counts.extend(
            summary
                .revisions
                .iter()
                .map(|&(revision, vms)| (revision, u64::from(vms))),
        );
    }
    let revisions = counts
        .into_iter()
        .filter(|(revision, _)| *revision > 0)
        .map(|(revision, vms)| RevisionStatus { revision, vms });
    ZoneStatus {
        zone: zone.to_string(),
        reachable,
        vms,
        revisions: revisions.collect(),
    }
}
