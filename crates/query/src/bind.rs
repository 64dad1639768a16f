//! The choice of the snapshot that a query is bound to.

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
    pub(crate) reach: Reach,
}

/// A shard of a binding; the replicas are kept, since the index may change while the query runs.
#[derive(Debug)]
pub(crate) struct BoundShard {
    pub(crate) id: ShardId,
    pub(crate) members: u64,
    pub(crate) replicas: Vec<GateKey>,
}

/// How much of what is asked for can be served at a snapshot, in members.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reach {
    servable: u128,
    confirmed: u128,
    total: u128,
}

impl Reach {
    /// Adds a shard; one without members still counts, or a map of such shards could not be compared.
    pub(crate) fn add(&mut self, members: u64, servable: bool, confirmed: bool) {
        let weight = u128::from(members.max(1));
        self.total += weight;
        self.servable += if servable { weight } else { 0 };
        self.confirmed += if confirmed { weight } else { 0 };
    }

    /// Tells whether a larger fraction can be served than at another snapshot, whose map may differ.
    pub(crate) fn exceeds(&self, other: &Reach) -> bool {
        self.servable * other.total > other.servable * self.total
    }

    fn is_confirmed_more(&self, other: &Reach) -> bool {
        self.confirmed * other.total > other.confirmed * self.total
    }
}

/// Chooses the snapshot that most members can be served at.
///
/// The newest version is often held by a few upstreams only, and a query bound to it would miss the other shards. An
/// upstream that has not said what it holds counts as holding everything; among equals the choice goes to the version
/// that more upstreams confirmed, then to the newest.
pub(crate) fn choose_binding(
    plan: &Plan,
    index: &IndexState,
    limits: &Limits,
    now: Instant,
) -> Option<Binding> {
    let mut best: Option<Binding> = None;
    for map in &index.maps {
        let shards = select_shards(plan, map, limits);
        let mut chosen: Option<(IndexVersion, Reach)> = None;
        for &version in &map.versions {
            let reach = measure_reach(&shards, version, limits, now);
            let better = chosen
                .as_ref()
                .is_none_or(|(held, best)| is_better(plan, (version, &reach), (*held, best)));
            if better {
                chosen = Some((version, reach));
            }
        }
        let Some((version, reach)) = chosen else {
            continue;
        };
        let better = best.as_ref().is_none_or(|best| {
            is_better(
                plan,
                (version, &reach),
                (best.snapshot.version, &best.reach),
            )
        });
        if better {
            best = Some(Binding {
                snapshot: Snapshot {
                    version,
                    map: map.map,
                },
                shards,
                reach,
            });
        }
    }
    best
}

fn is_better(
    plan: &Plan,
    (version, reach): (IndexVersion, &Reach),
    (best_version, best): (IndexVersion, &Reach),
) -> bool {
    if !plan.tuning.best_version {
        return version >= best_version;
    }
    if reach.exceeds(best) || best.exceeds(reach) {
        return reach.exceeds(best);
    }
    if reach.is_confirmed_more(best) || best.is_confirmed_more(reach) {
        return reach.is_confirmed_more(best);
    }
    version >= best_version
}

/// Selects the shards of a map that the plan covers; a request that is not repeatable goes to exactly one.
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

fn measure_reach(
    shards: &[BoundShard],
    version: IndexVersion,
    limits: &Limits,
    now: Instant,
) -> Reach {
    let mut reach = Reach::default();
    for bound in shards {
        let mut servable = false;
        let mut confirmed = false;
        for &key in &bound.replicas {
            let held = limits.holds(key, version);
            let open = !matches!(
                limits.check(key, now),
                Err(Blocked::Paused | Blocked::Draining | Blocked::Unknown)
            );
            servable |= open && held != Some(false);
            confirmed |= open && held == Some(true);
        }
        reach.add(bound.members, servable, confirmed);
    }
    reach
}
