//! Holders: which gateways of a large zone send the attempts of queries over many shards.
//!
//! In a zone with dozens of gateways, each of them sees too few requests to know which servers are slow, full or silent,
//! has too small a part of the limit on repeats, and would need connections of its own to every server. The gateways
//! with the most processor time therefore send the attempts for all others. Each shard has one holder in a zone, by
//! rendezvous hashing, so that what it has learned about the shard's servers counts for every request of the zone. See
//! docs/decisions/0007-holders.md.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::ServiceName;
use base::hash_candidate;
use base::hash_key;

use crate::Peer;

/// Fewest gateways of a zone for which it has holders; in a smaller one each gateway sends its own attempts.
pub(crate) const MIN_ZONE_SIZE: usize = 12;

/// Fewest holders of a zone, so that the loss of one leaves others.
const MIN_HOLDERS: usize = 3;

/// Fraction of a zone's processor time that its holders have together.
const HOLDER_FRACTION: f64 = 0.2;

/// Processor time that is assumed for a gateway that doesn't state any, as a fraction of a core.
const ASSUMED_CORES: f64 = 0.1;

/// Fewest missing parts for which a holder may be to blame; the servers of a single shard may all be lost.
const MIN_MISSING: usize = 2;

/// Time for which a holder is skipped after a failure; each further failure doubles it.
const FIRST_SKIP: Duration = Duration::from_secs(1);

/// Longest such time, which bounds how late the return of a holder is noticed.
const MAX_SKIP: Duration = Duration::from_secs(16);

/// A failed holder.
#[derive(Debug)]
struct Failed {
    until: Instant,
    skip: Duration,
}

/// Services that the same gateway sends to.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The holder, or `None` for this gateway itself.
    pub holder: Option<Peer>,
    /// Indices of the services.
    pub services: Vec<usize>,
}

impl Assignment {
    /// Returns whether a holder sends to the services.
    pub(crate) fn is_delegated(&self) -> bool {
        self.holder.is_some()
    }
}

/// The holders of one zone, as seen by one of its gateways.
#[derive(Debug, Default)]
pub struct Holders {
    holders: Vec<Peer>,
    failed: HashMap<NodeId, Failed>,
}

impl Holders {
    /// Chooses the holders among all gateways of the zone; a small zone has none.
    pub fn set<'a>(&mut self, zone: impl Iterator<Item = &'a Peer>) {
        self.holders = choose_holders(zone.collect())
            .into_iter()
            .cloned()
            .collect();
        let holders = &self.holders;
        self.failed
            .retain(|node, _| holders.iter().any(|holder| holder.node == *node));
    }

    /// Returns the number of holders.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the zone has no holders, so that each gateway sends its own attempts.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns whether a gateway is a holder.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.holders.iter().any(|holder| holder.node == *node)
    }

    /// Divides services among the holders that did not fail lately and are not known to be cut off from the servers;
    /// without any, `node` sends to all of them itself.
    pub fn assign(
        &self,
        services: &[ServiceName],
        node: &NodeId,
        is_cut: impl Fn(&NodeId) -> bool,
        now: Instant,
    ) -> Vec<Assignment> {
        let has_failed = |holder: &Peer| {
            let failed = self.failed.get(&holder.node);
            failed.is_some_and(|failed| now < failed.until)
        };
        let is_usable =
            |holder: &&Peer| !is_cut(&holder.node) && (holder.node == *node || !has_failed(holder));
        let usable: Vec<&Peer> = self.holders.iter().filter(is_usable).collect();
        let mut assignments: Vec<Assignment> = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let key = hash_key(service);
            let holder = find_best(&usable, key).filter(|holder| holder.node != *node);
            let is_same = |assignment: &&mut Assignment| {
                assignment.holder.as_ref().map(|holder| &holder.node)
                    == holder.map(|holder| &holder.node)
            };
            match assignments.iter_mut().find(is_same) {
                Some(assignment) => assignment.services.push(index),
                None => assignments.push(Assignment {
                    holder: holder.cloned(),
                    services: vec![index],
                }),
            }
        }
        assignments
    }

    /// Skips a holder for a time that doubles with each failure in a row.
    pub fn record_failure(&mut self, node: &NodeId, now: Instant) {
        let skip = match self.failed.get(node) {
            // Requests that were sent before the first failure fail later.
            Some(failed) if now < failed.until => return,
            Some(failed) => (failed.skip * 2).min(MAX_SKIP),
            None => FIRST_SKIP,
        };
        let until = now + skip;
        self.failed.insert(node.clone(), Failed { until, skip });
    }

    /// Skips the holders that delivered too little of a request which has ended; `missing` says whether a service of the
    /// request has no part.
    ///
    /// A holder that runs but can't reach the servers keeps every request of the zone waiting. Servers that fail are
    /// spread over all holders, so a holder is to blame only if the parts of the others came.
    pub fn record_delivery(
        &mut self,
        assignments: &[Assignment],
        missing: impl Fn(usize) -> bool,
        now: Instant,
    ) -> Vec<NodeId> {
        let count_missing = |assignment: &Assignment| {
            let services = assignment.services.iter();
            services.filter(|service| missing(**service)).count()
        };
        let all_missing: usize = assignments.iter().map(count_missing).sum();
        let all: usize = assignments
            .iter()
            .map(|assignment| assignment.services.len())
            .sum();
        let mut suspects = Vec::new();
        for assignment in assignments {
            let Some(holder) = &assignment.holder else {
                continue;
            };
            let own_missing = count_missing(assignment);
            let own = assignment.services.len();
            let is_bad = own_missing >= MIN_MISSING && own_missing * 2 > own;
            let are_others_good = (all_missing - own_missing) * 4 <= all - own;
            if is_bad && are_others_good {
                self.record_failure(&holder.node, now);
                suspects.push(holder.node.clone());
            }
        }
        suspects
    }

    /// Records that a holder has answered.
    pub fn record_success(&mut self, node: &NodeId) {
        self.failed.remove(node);
    }
}

/// Chooses the holders among all gateways of a zone, those with the most processor time; a small zone has none.
pub(crate) fn choose_holders(mut peers: Vec<&Peer>) -> Vec<&Peer> {
    if peers.len() < MIN_ZONE_SIZE {
        return Vec::new();
    }
    peers.sort_by(|one, other| {
        let by_cores = cores_of(other).total_cmp(&cores_of(one));
        by_cores.then_with(|| one.node.cmp(&other.node))
    });
    let total: f64 = peers.iter().map(|peer| cores_of(peer)).sum();
    let mut chosen = 0.0;
    let mut count = 0;
    while count < peers.len() && (count < MIN_HOLDERS || chosen < total * HOLDER_FRACTION) {
        chosen += cores_of(peers[count]);
        count += 1;
    }
    peers.truncate(count);
    peers
}

/// Returns the holder of a hashed service.
pub(crate) fn find_best<'a>(holders: &[&'a Peer], key: u64) -> Option<&'a Peer> {
    let best = holders
        .iter()
        .max_by(|one, other| score(one, key).total_cmp(&score(other, key)));
    best.copied()
}

fn cores_of(peer: &Peer) -> f64 {
    if peer.cores > 0.0 {
        peer.cores
    } else {
        ASSUMED_CORES
    }
}

/// Returns the score of a holder for a hashed key in weighted rendezvous hashing; each holder has the highest one for a
/// part of the keys that is proportional to its processor time.
fn score(holder: &Peer, key: u64) -> f64 {
    let hash = hash_candidate(key, &holder.node);
    // The upper 53 bits, which a float holds exactly, as a number between 0 and 1 without its ends.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -cores_of(holder) / uniform.ln()
}
