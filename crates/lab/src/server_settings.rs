//! Settings of a modelled server, and what it counts.

use std::time::Duration;

use base::IndexName;
use base::RegionName;
use base::UpstreamId;
use base::ZoneName;
use rand::Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use serde::Deserialize;
use serde::Serialize;

/// Settings of one modelled server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerSettings {
    /// Identifier of the server.
    pub id: UpstreamId,
    /// Index of which it holds shards.
    pub index: IndexName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot; one more is rejected.
    pub queue: u32,
    /// Connections that are accepted from all callers together.
    pub connections: u32,
    /// Time until a new connection can be used.
    pub connect: Duration,
    /// Median of the service time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Service times are this many times longer right after a start, and shrink linearly from there.
    pub cold_factor: f64,
    /// Time until a started server is warm.
    pub cold_time: Duration,
    /// Time for which a draining server still accepts new work.
    pub drain_grace: Duration,
    /// Age of the figures that `GET /load` and `GET /healthz` report.
    pub report_lag: Duration,
}

impl ServerSettings {
    /// Draws the service time of a warm server without faults.
    pub fn draw_base_time(&self, rng: &mut dyn Rng) -> Duration {
        match LogNormal::new(self.median.as_secs_f64().ln(), self.sigma) {
            Ok(body) => Duration::from_secs_f64(body.sample(rng)),
            Err(_) => self.median,
        }
    }

    /// Returns the mean service time of a warm server without faults.
    pub fn mean_time(&self) -> Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }
}

/// What a server has done since it was created.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Requests received, probes excluded.
    pub received: u64,
    /// Requests started in a slot, cancelled ones included.
    pub ran: u64,
    /// Requests that were started and then ended by a cancellation or at their deadline.
    pub cut: u64,
    /// Requests cancelled in the queue.
    pub unqueued: u64,
    /// Requests whose deadline passed in the queue.
    pub expired: u64,
    /// Requests rejected because the queue was full.
    pub full: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests for a version or map that is not held.
    pub retired: u64,
    /// Requests received after the drain grace.
    pub late: u64,
    /// Probes answered.
    pub probes: u64,
    /// Time for which slots were busy, summed over the slots.
    pub busy: Duration,
}
