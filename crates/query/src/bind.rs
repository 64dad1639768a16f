//! Chooses the snapshot that a query is bound to.

use std::time::Instant;

use base::IndexState;
use base::IndexVersion;
use base::Shard;
use base::ShardId;
use base::ShardMap;
use base::Snapshot;
use base::hash_key;
use compact_str::format_compact;
use limit::Blocked;
use limit::GateKey;
use limit::Limits;

use crate::Plan;

/// A snapshot with the shards that the plan covers in it.
#[derive(Debug)]
pub(crate) struct Binding {
    pub(crate) snapshot: Snapshot,
    pub(crate) shards: Vec<BoundShard>,
    pub(crate) availability: Availability,
}

/// A shard of a binding; it stores the replicas, since the index may change while the query runs.
#[derive(Debug)]
pub(crate) struct BoundShard {
    pub(crate) id: ShardId,
    pub(crate) members: u64,
    pub(crate) replicas: Vec<GateKey>,
}

/// Members of the selected shards, those that can be served at a snapshot, and those whose replica confirmed it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Availability {
    servable: u128,
    confirmed: u128,
    total: u128,
}

impl Availability {
    /// Adds a shard; one without members counts as one member, since maps of such shards could not be compared
    /// otherwise.
    pub(crate) fn add(&mut self, members: u64, servable: bool, confirmed: bool) {
        let weight = u128::from(members.max(1));
        self.total += weight;
        self.servable += if servable { weight } else { 0 };
        self.confirmed += if confirmed { weight } else { 0 };
    }

    /// Returns whether a larger fraction can be served than at another snapshot, whose map may have other shards.
    pub(crate) fn exceeds(&self, other: &Availability) -> bool {
        self.servable * other.total > other.servable * self.total
    }

    fn has_more_confirmed(&self, other: &Availability) -> bool {
        self.confirmed * other.total > other.confirmed * self.total
    }
}

/// Chooses the snapshot at which most members can be served.
///
/// The newest version is often held by a few upstreams only, and a query bound to it would miss the other shards. An
/// upstream that has not reported its versions counts as holding every version. Ties go to the version confirmed for
/// more members, then to the newest.
pub(crate) fn choose_binding(
    plan: &Plan,
    index: &IndexState,
    limits: &Limits,
    now: Instant,
) -> Option<Binding> {
    let mut best: Option<Binding> = None;
    for map in &index.maps {
        let shards = select_shards(plan, map, limits);
        let mut chosen: Option<(IndexVersion, Availability)> = None;
        for &version in &map.versions {
            let availability = measure_availability(&shards, version, limits, now);
            let better = chosen.as_ref().is_none_or(|(best_version, best)| {
                is_better(plan, (version, &availability), (*best_version, best))
            });
            if better {
                chosen = Some((version, availability));
            }
        }
        let Some((version, availability)) = chosen else {
            continue;
        };
        let better = best.as_ref().is_none_or(|best| {
            is_better(
                plan,
                (version, &availability),
                (best.snapshot.version, &best.availability),
            )
        });
        if better {
            best = Some(Binding {
                snapshot: Snapshot {
                    version,
                    map: map.map,
                },
                shards,
                availability,
            });
        }
    }
    best
}

fn is_better(
    plan: &Plan,
    (version, availability): (IndexVersion, &Availability),
    (best_version, best): (IndexVersion, &Availability),
) -> bool {
    if !plan.tuning.best_version {
        return version >= best_version;
    }
    if availability.exceeds(best) || best.exceeds(availability) {
        return availability.exceeds(best);
    }
    if availability.has_more_confirmed(best) || best.has_more_confirmed(availability) {
        return availability.has_more_confirmed(best);
    }
    version >= best_version
}

/// Selects the shards of a map that the plan covers; for a request that is not repeatable, the one its key hashes to.
fn select_shards(plan: &Plan, map: &ShardMap, limits: &Limits) -> Vec<BoundShard> {
    let mut selected: Vec<&Shard> = map
        .shards
        .iter()
        .filter(|shard| plan.shards.contains(shard))
        .collect();
    if !plan.repeatable {
        selected = selected
            .into_iter()
            .max_by_key(|shard| hash_key(&format_compact!("{}/{}", plan.key, shard.id)))
            .into_iter()
            .collect();
    }
    selected
        .into_iter()
        .map(|shard| BoundShard {
            id: shard.id,
            members: shard.members,
            replicas: shard
                .replicas
                .iter()
                .filter_map(|id| limits.key(id))
                .collect(),
        })
        .collect()
}

fn measure_availability(
    shards: &[BoundShard],
    version: IndexVersion,
    limits: &Limits,
    now: Instant,
) -> Availability {
    let mut availability = Availability::default();
    for bound in shards {
        let mut servable = false;
        let mut confirmed = false;
        for &key in &bound.replicas {
            let held = limits.holds(key, version);
            let usable = !matches!(
                limits.check(key, now),
                Err(Blocked::Quota | Blocked::Paused | Blocked::Draining | Blocked::Unknown)
            );
            servable |= usable && held != Some(false);
            confirmed |= usable && held == Some(true);
        }
        availability.add(bound.members, servable, confirmed);
    }
    availability
}
