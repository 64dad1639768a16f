//! Settings and counters of a modelled upstream server.

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

/// Settings of one modelled upstream server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerSettings {
    /// Identifier of the server.
    pub id: UpstreamId,
    /// Index whose shards the server holds.
    pub index: IndexName,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Region of the server.
    pub region: RegionName,
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Number of requests that can wait for a slot; further requests are rejected.
    pub queue: u32,
    /// Connection limit over all callers.
    pub connections: u32,
    /// Time to establish a connection.
    pub connect: Duration,
    /// Median of the log-normal service time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Factor on the service time right after a start; it falls linearly to 1 over `cold_time`.
    pub cold_factor: f64,
    /// Time after a start until the server is warm.
    pub cold_time: Duration,
    /// Time for which a draining server still accepts new work.
    pub drain_grace: Duration,
    /// Delay of the load and state that `GET /load` and `GET /healthz` report.
    pub report_lag: Duration,
}

impl ServerSettings {
    /// Draws the service time of a warm server without faults.
    pub fn draw_base_time(&self, rng: &mut dyn Rng) -> Duration {
        match LogNormal::new(self.median.as_secs_f64().ln(), self.sigma) {
            Ok(distribution) => Duration::from_secs_f64(distribution.sample(rng)),
            Err(_) => self.median,
        }
    }

    /// Returns the mean service time of a warm server without faults.
    pub fn mean_time(&self) -> Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }
}

/// Counters of a server since it was created.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Requests received, probes excluded.
    pub received: u64,
    /// Requests started in a slot, cancelled ones included.
    pub ran: u64,
    /// Started requests that were aborted by a cancellation or at their deadline.
    pub cut: u64,
    /// Requests cancelled in the queue.
    pub unqueued: u64,
    /// Requests whose deadline passed in the queue.
    pub expired: u64,
    /// Requests rejected because the queue was full.
    pub full: u64,
    /// Requests rejected by [`Fault::Shed`](crate::fault::Fault::Shed).
    pub shed: u64,
    /// Requests rejected because the server does not hold their version, map or shards.
    pub retired: u64,
    /// Requests rejected because they arrived after the drain grace period.
    pub late: u64,
    /// Probes answered.
    pub probes: u64,
    /// Busy time, summed over the slots.
    pub busy: Duration,
}
