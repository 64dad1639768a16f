//! What an entry VM reports about itself.

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
    /// This VM.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Configuration revision in force; absent before the first.
    pub revision: Option<u64>,
    /// Age of the revision in milliseconds when it was not confirmed within the bound.
    pub stale_ms: Option<u64>,
    /// Every zone with entry VMs, as this VM knows it from heartbeats.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams that are draining or suspected.
    pub upstreams: Vec<UpstreamStatus>,
    /// Requests in progress.
    pub active: usize,
    /// Answers by result code since the start.
    pub codes: BTreeMap<u16, u64>,
    /// Latencies by service and class.
    pub latencies: Vec<LatencyStatus>,
}

/// Entry VMs of one zone.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: String,
    /// Whether heartbeats from the zone arrive.
    pub reachable: bool,
    /// Entry VMs that run, those that are stopping included.
    pub vms: u64,
    /// How many of them have which revision in force.
    pub revisions: Vec<RevisionStatus>,
}

/// Number of VMs with a revision.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct RevisionStatus {
    /// Revision in force.
    pub revision: u64,
    /// Number of VMs.
    pub vms: u64,
}

/// An upstream that takes no new work.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Upstream.
    pub upstream: String,
    /// `draining` or `suspect`.
    pub state: String,
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
    /// Reports the state of the node as gauges.
    pub fn set_gauges(&self) {
        let age = self.stale(Instant::now()).unwrap_or_default();
        self.metrics.gauge("requests.active", self.active() as u64);
        self.metrics
            .gauge("requests.queued", self.queues.queued() as u64);
        self.metrics
            .gauge("configuration.revision", self.revision());
        self.metrics
            .gauge("configuration.stale_ms", age.as_millis() as u64);
    }

    /// Lists the upstreams that take no new work, by what this node and its peers have seen.
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

    /// Reports the state of this VM.
    pub fn status(&self) -> Status {
        let now = Instant::now();
        let latencies = self.metrics.latencies().into_iter();
        Status {
            node: self.settings.node.to_string(),
            zone: self.settings.zone.to_string(),
            revision: self.catalogue().map(|catalogue| catalogue.revision),
            stale_ms: self.stale(now).map(|age| age.as_millis() as u64),
            zones: self.with_view(|view| {
                view.zone_names()
                    .map(|zone| describe_zone(view, zone))
                    .collect()
            }),
            upstreams: self.unavailable_upstreams(now),
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

/// Counts the VMs of a zone: the own zone from its records, others from their summaries.
fn describe_zone(view: &View, zone: &ZoneName) -> ZoneStatus {
    let (summary, reachable) = view
        .zone(zone)
        .map_or((None, false), |(summary, up)| (Some(summary), up));
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
