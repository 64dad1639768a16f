//! The lower bound of a request's latency: its slowest shard, with each shard served by its fastest replica.
//!
//! No policy can be faster than this.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::bench::network::CALLER_DELAY;
use crate::bench::network::find_delay;
use crate::bench::network::is_partitioned;
use crate::bench::node::CallerRequest;
use crate::bench::workload::Workload;
use crate::bench::world::Host;

/// Draws the latency of a request with the best choice of replicas, no queue and no time to connect.
///
/// Returns `None` when no replica of some shard is reachable, or when the request is not repeatable.
pub(crate) fn draw_ideal(
    workload: &Workload,
    hosts: &[Host],
    request: &CallerRequest,
    (zone, isolated): (usize, Option<usize>),
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<Duration> {
    let service = &workload.services[request.service_index];
    if !service.requests[request.request_index].repeatable {
        return None;
    }
    let map = workload.index.maps.first()?;
    let mut slowest = Duration::ZERO;
    for shard in map
        .shards
        .iter()
        .filter(|shard| service.shards.contains(shard))
    {
        let mut fastest = None;
        for replica in &shard.replicas {
            let index = workload
                .servers
                .iter()
                .position(|server| server.id == *replica)?;
            let host = &hosts[index];
            if is_partitioned(isolated, zone, host.zone) {
                continue;
            }
            let Some(time) = host.model.draw_time(now, rng) else {
                continue;
            };
            let time = time + 2 * find_delay(zone, host.zone);
            fastest = Some(fastest.map_or(time, |fastest: Duration| fastest.min(time)));
        }
        slowest = slowest.max(fastest?);
    }
    Some(slowest + 2 * CALLER_DELAY)
}
