//! The bound that no policy can beat: the slowest shard, each at the replica that is fastest for this request.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::bench::network::CALLER_DELAY;
use crate::bench::network::find_delay;
use crate::bench::network::is_cut;
use crate::bench::node::Call;
use crate::bench::workload::Workload;
use crate::bench::world::Host;

/// Draws the latency of a request with a perfect choice of replica, no queue and no time to connect.
///
/// `None` means that no replica of a shard can be reached, or that the request is not repeatable.
pub(crate) fn draw_ideal(
    workload: &Workload,
    hosts: &[Host],
    call: &Call,
    (zone, cut): (usize, Option<usize>),
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<Duration> {
    let service = &workload.services[call.service];
    if !service.requests[call.request].repeatable {
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
            let number = workload
                .servers
                .iter()
                .position(|server| server.id == *replica)?;
            let host = &hosts[number];
            if is_cut(cut, zone, host.zone) {
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
