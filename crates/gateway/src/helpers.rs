//! Chooses the gateways that serve requests for one that reaches no server itself.
//!
//! The list of gateways also has those that are gone, since nothing removes their entries, so that a gateway which can't be
//! connected to is skipped for a time. See docs/decisions/0011-cut-off-vms.md.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::RegionName;
use base::ZoneName;
use limit::Distance;
use rand::Rng;
use rand::RngExt;

use crate::Peer;

/// Divisor of the gateways of a place of which more have to be candidates, or others help as well.
const MIN_HELPER_DIVISOR: usize = 3;

/// Time for which a gateway that can't be connected to is skipped; it doubles each time.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// Longest such time, after which a gateway that is back is tried again.
const MAX_SKIP_TIME: Duration = Duration::from_secs(32);

#[derive(Debug)]
struct Skip {
    time: Duration,
    until: Instant,
}

/// The gateways that can't be connected to.
#[derive(Debug, Default)]
pub struct Helpers {
    skips: HashMap<NodeId, Skip>,
}

impl Helpers {
    /// Skips a gateway that can't be connected to.
    pub fn record_unreachable(&mut self, node: &NodeId, now: Instant) {
        let skip = self.skips.entry(node.clone()).or_insert(Skip {
            time: SKIP_TIME,
            until: now,
        });
        // Requests that tried it at the same time count once.
        if now >= skip.until {
            skip.until = now + skip.time;
            skip.time = (skip.time * 2).min(MAX_SKIP_TIME);
        }
    }

    /// Records that a gateway was connected to.
    pub fn record_reached(&mut self, node: &NodeId) {
        self.skips.remove(node);
    }

    /// Drops what is known of gateways that are not listed any more.
    pub fn retain_listed(&mut self, peers: &[Peer]) {
        self.skips
            .retain(|node, _| peers.iter().any(|peer| peer.node == *node));
    }

    fn is_skipped(&self, node: &NodeId, now: Instant) -> bool {
        self.skips.get(node).is_some_and(|skip| now < skip.until)
    }

    /// Chooses a gateway for which `is_linked` holds, other than those in `asked`: in the own zone, unless few there have
    /// links, else also in the region or elsewhere, so that the callers of many gateways don't meet at a few.
    pub fn choose<'a>(
        &self,
        others: &'a [Peer],
        place: Place<'_>,
        is_linked: impl Fn(&Peer) -> bool,
        asked: &[NodeId],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a Peer> {
        let is_usable = |peer: &&Peer| is_linked(peer) && !self.is_skipped(&peer.node, now);
        let usable: Vec<&Peer> = others.iter().filter(is_usable).collect();
        let mut candidates = Vec::new();
        for most in [
            Distance::SameZone,
            Distance::SameRegion,
            Distance::OtherRegion,
        ] {
            let is_near = |peer: &&Peer| place.distance(peer) <= most;
            let count = others.iter().filter(is_near).count();
            candidates = usable.iter().copied().filter(is_near).collect();
            if candidates.len() * MIN_HELPER_DIVISOR > count {
                break;
            }
        }
        candidates.retain(|peer| !asked.contains(&peer.node));
        let at = (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))?;
        Some(candidates[at])
    }
}

/// Where a gateway stands.
#[derive(Debug)]
pub struct Place<'a> {
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its region.
    pub region: &'a RegionName,
    /// Regions of all zones.
    pub regions: &'a HashMap<ZoneName, RegionName>,
}

impl Place<'_> {
    fn distance(&self, peer: &Peer) -> Distance {
        let region = self.regions.get(&peer.zone);
        Distance::between((self.zone, Some(self.region)), (&peer.zone, region))
    }
}
