//! Rate limits that servers name in their replies: reads and logs them, and chooses the gateways that divide them.
//!
//! See docs/decisions/0008-named-limits.md.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::RegionName;
use base::ServiceName;
use base::UpstreamId;
use base::ZoneName;
use base::hash_candidate;
use base::hash_key;
use http::HeaderValue;
use http::response::Parts;
use limit::Distance;
use limit::LimitChange;
use limit::LimitNotice;
use limit::QuotaShare;
use limit::RequestRate;

use crate::Peer;
use crate::Peers;
use crate::directory::ASSUMED_NODES;
use crate::directory::is_shard;
use crate::holders::choose_holders;
use crate::holders::find_best;
use crate::metrics::Counter;
use crate::node::Node;
use crate::node::State;

/// Records what the head of a server's complete reply says about the server's limit.
pub(crate) fn record_named_limit(node: &Node, server: &UpstreamId, head: &Parts, sent: Instant) {
    let names = &node.headers;
    let mut state = node.state.borrow_mut();
    let is_signed = head.status.is_success() && head.headers.contains_key(&names.signature);
    let notice = match head.headers.get(&names.rate_limit) {
        Some(value) => match parse_rate(value) {
            Some(rate) => LimitNotice::Named(rate),
            None => {
                if let Some(skipped) = state.allow_log_line("limit ignored") {
                    log::warn!(server = server.as_str(), value:? = value, skipped; "servers: ignored a limit that is not a rate");
                }
                return;
            }
        },
        // An error may come from elsewhere than the server's own code, which names the limit.
        None if is_signed => LimitNotice::Unnamed,
        None => return,
    };
    state.apply_limit(server, notice, sent);
}

/// Parses a decimal number of requests a second.
fn parse_rate(value: &HeaderValue) -> Option<RequestRate> {
    let rate: RequestRate = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Returns the time after which the limits of the servers of each service allow a request.
pub(crate) fn quota_wait(state: &State, services: &[ServiceName]) -> Duration {
    let now = Instant::now();
    let replicas = state.directory.replicas();
    let waits = services.iter().filter_map(|service| {
        let keys = replicas.get(service)?.iter();
        keys.map(|key| state.limits.quota_wait(*key, now)).min()
    });
    waits.max().unwrap_or(Duration::ZERO)
}

/// A server that has named a limit.
#[derive(Debug)]
pub struct LimitedServer {
    /// Identifier of the server.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Availability zones of all servers of the service that may receive requests.
    pub replicas: Vec<ZoneName>,
    /// Whether the service is a shard.
    pub is_shard: bool,
    /// The limit.
    pub rate: RequestRate,
}

/// Chooses the gateways that divide the limit of a server, and returns the part of `node`.
///
/// They are in the zones that have no nearer server of the service: the others would leave their parts unused. To a
/// shard, the holders send on behalf of all other gateways of a large zone. Gateways that know of different ones differ
/// by a few senders only, because the order of the others doesn't change.
pub fn find_quota_share(
    peers: &Peers,
    regions: &HashMap<ZoneName, RegionName>,
    node: &str,
    server: &LimitedServer,
) -> QuotaShare {
    let key = hash_key(&server.id);
    let mut senders: Vec<&Peer> = regions
        .keys()
        .filter(|zone| is_nearest(server, zone, regions))
        .flat_map(|zone| find_candidates(peers, zone, server))
        .collect();
    senders.sort_by_key(|peer| {
        let distance = find_distance(&peer.zone, &server.zone, regions);
        (distance, Reverse(hash_candidate(key, &peer.node)))
    });
    senders.truncate(QuotaShare::count_senders(server.rate));
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    if senders.iter().any(|peer| peer.node == node) {
        return QuotaShare::Sender {
            senders: count(senders.len()),
        };
    }
    let others = count(peers.known().len().saturating_sub(senders.len()));
    let observers = match peers.is_empty() {
        true => ASSUMED_NODES,
        false => others.max(1),
    };
    QuotaShare::Observer { observers }
}

/// Returns the gateways of a zone that send to the servers of a service while none of them fails.
fn find_candidates<'a>(peers: &'a Peers, zone: &ZoneName, server: &LimitedServer) -> Vec<&'a Peer> {
    let in_zone: Vec<&Peer> = peers.in_zone(zone).collect();
    if !server.is_shard {
        return in_zone;
    }
    let holders = choose_holders(in_zone.clone());
    match find_best(&holders, hash_key(&server.service)) {
        Some(holder) => vec![holder],
        None => in_zone,
    }
}

/// Returns whether no other server of the service is nearer to a zone.
fn is_nearest(
    server: &LimitedServer,
    zone: &ZoneName,
    regions: &HashMap<ZoneName, RegionName>,
) -> bool {
    let own = find_distance(zone, &server.zone, regions);
    let mut others = server.replicas.iter();
    others.all(|other| own <= find_distance(zone, other, regions))
}

fn find_distance(
    one: &ZoneName,
    other: &ZoneName,
    regions: &HashMap<ZoneName, RegionName>,
) -> Distance {
    Distance::between((one, regions.get(one)), (other, regions.get(other)))
}

fn log_change(
    server: &UpstreamId,
    change: LimitChange,
    notice: LimitNotice,
    share: QuotaShare,
    skipped: u64,
) {
    let id = server.as_str();
    match (change, notice) {
        (LimitChange::Named { before }, LimitNotice::Named(rate)) => {
            log::info!(server = id, rate, before:?, share:?, skipped; "servers: named a limit for all gateways");
        }
        (LimitChange::Ended { before, lasted }, _) => {
            let seconds = lasted.as_secs_f64();
            log::info!(server = id, before, seconds, skipped; "servers: names no limit any more");
        }
        (LimitChange::Named { .. } | LimitChange::Unchanged, _) => {}
    }
}

impl State {
    fn apply_limit(&mut self, server: &UpstreamId, notice: LimitNotice, sent: Instant) {
        let share = match notice {
            LimitNotice::Named(rate) if self.limits.named_rate(server) != Some(rate) => {
                self.quota_share(server, rate)
            }
            // The share of a known limit stays as it is, and no limit has no shares.
            LimitNotice::Named(_) | LimitNotice::Unnamed => QuotaShare::Observer { observers: 1 },
        };
        if let LimitNotice::Named(_) = notice {
            self.metrics.count(Counter::AttemptLimited);
        }
        let times = (sent, Instant::now());
        let change = self
            .limits
            .record_limit(server, notice, share, times, &mut self.rng);
        if change == LimitChange::Unchanged {
            return;
        }
        if let LimitChange::Named { .. } = change {
            self.metrics.count(Counter::LimitNamed);
        }
        // A server may name its limit in some replies only.
        if let Some(skipped) = self.allow_log_line("limit changed") {
            log_change(server, change, notice, share, skipped);
        }
    }

    /// Divides the known limits anew, after the gateways or the configuration changed.
    pub(crate) fn update_quota_shares(&mut self) {
        let limits: Vec<(UpstreamId, RequestRate)> = self
            .limits
            .named_rates()
            .map(|(id, rate)| (id.clone(), rate))
            .collect();
        let now = Instant::now();
        for (id, rate) in limits {
            let share = self.quota_share(&id, rate);
            if self.limits.set_quota_share(&id, share, now, &mut self.rng) {
                let age = self.limits.limit_age(&id, now).unwrap_or_default();
                let seconds = age.as_secs_f64();
                log::info!(server = id.as_str(), rate, share:?, seconds; "servers: a limit is divided anew");
            }
        }
    }

    fn quota_share(&self, id: &UpstreamId, rate: RequestRate) -> QuotaShare {
        let Some(server) = self.directory.server(id) else {
            // Its entry was removed while a reply was on its way.
            return QuotaShare::Observer {
                observers: ASSUMED_NODES,
            };
        };
        let limited = LimitedServer {
            id: id.clone(),
            service: server.service.clone(),
            zone: server.zone.clone(),
            replicas: self.directory.zones(&server.service),
            is_shard: is_shard(server, self.table.as_deref()),
            rate,
        };
        let settings = &self.settings;
        find_quota_share(&self.peers, &settings.regions, &settings.node, &limited)
    }
}
