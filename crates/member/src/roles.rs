//! Roles and connection shares, as pure functions of the view.

use base::NodeId;
use base::rank_candidates;
use compact_str::format_compact;

use crate::NodeState;
use crate::View;
use crate::upstream::Entry;

/// Holders of a group.
pub const GROUP_HOLDERS: usize = 3;

/// Relays of a zone.
pub const ZONE_RELAYS: usize = 3;

/// A node whose share would be lower than this reaches the server through a holder.
pub const MIN_SHARE: u32 = 2;

/// Nodes that may act as holders of a group at once: the three of each of two views that have none in common.
const MAX_GROUP_HOLDERS: u32 = 2 * GROUP_HOLDERS as u32;

/// Fewest VMs added to the count by which a server's connections are divided, for a VM and its replacement.
const SPARE_NODES: u32 = 2;

/// One VM in this many is added to the count, for VMs that this node has not heard of yet.
const SPARE_SHARE: u32 = 10;

impl View {
    /// Returns the holders of a group, best first, preferably in the given zone.
    pub fn holders(&self, group: &str, zone: &str) -> Vec<&NodeId> {
        let key = format_compact!("group/{group}");
        let mut holders = self.rank_nodes(&key, |candidate| candidate == zone);
        holders.truncate(GROUP_HOLDERS);
        if holders.len() < GROUP_HOLDERS {
            let others = self.rank_nodes(&key, |candidate| candidate != zone);
            holders.extend(others.into_iter().take(GROUP_HOLDERS - holders.len()));
        }
        holders
    }

    /// Returns the relays of a zone, best first.
    pub fn relays(&self, zone: &str) -> Vec<&NodeId> {
        let key = format_compact!("relay/{zone}");
        let mut relays = self.rank_nodes(&key, |candidate| candidate == zone);
        relays.truncate(ZONE_RELAYS);
        relays
    }

    /// Returns the home of a ledger object, or `None` when every VM is leaving.
    pub fn home(&self, ledger: u32) -> Option<&NodeId> {
        let key = format_compact!("ledger/{ledger}");
        self.rank_nodes(&key, |_| true).into_iter().next()
    }

    /// Returns the connections that this node may have open to an upstream; zero when it has to ask a holder.
    ///
    /// The shares of all nodes add up to at most the server's limit, although their views differ, because:
    ///
    /// - 20% of the limit is kept in reserve;
    /// - nodes are counted generously, so that every node counts at least as many as there are;
    /// - holders are counted twice, for two views that have no holder in common;
    /// - where some nodes may still connect directly while others rely on holders, a holder adds only its part of the
    ///   reserve to the direct share.
    pub fn connection_share(&self, upstream: &str) -> u32 {
        let Some(entry) = self.upstreams.get(upstream) else {
            return 0;
        };
        let Some(place) = &entry.placement else {
            return 0;
        };
        let Some(nodes) = self.generous_count() else {
            return 0;
        };
        let usable = place.connections - place.connections.div_ceil(5);
        if usable / nodes >= MIN_SHARE {
            return usable / nodes;
        }
        if !self
            .holders(&place.group, &place.zone)
            .contains(&&self.me.id)
        {
            return 0;
        }
        // A server with very few connections stays reachable as long as all holders at once fit.
        let least = u32::from(place.connections >= MAX_GROUP_HOLDERS);
        let share = (usable / MAX_GROUP_HOLDERS).max(least);
        if usable / nodes.div_ceil(2) >= MIN_SHARE {
            let reserve = place.connections - usable;
            return share.min(MIN_SHARE + reserve / MAX_GROUP_HOLDERS);
        }
        share
    }

    /// Returns how many nodes have to report failed connections before an upstream is suspected.
    ///
    /// It is a majority of the nodes that connect to it, at most three and at least two.
    pub(crate) fn quorum(&self, entry: &Entry) -> usize {
        let limit = entry.placement.as_ref().map_or(0, |p| p.connections);
        let nodes = self.generous_count().unwrap_or(1);
        let direct = (limit - limit.div_ceil(5)) / nodes >= MIN_SHARE;
        let connecting = if direct {
            nodes as usize
        } else {
            GROUP_HOLDERS
        };
        (connecting / 2 + 1).clamp(2, 3)
    }

    /// Counts the nodes that may connect, or `None` when neither the list nor a peer has told the size of the fleet.
    fn generous_count(&self) -> Option<u32> {
        let heard = self.nodes.len() > 1;
        let count = self.count_nodes().max(self.peak.0);
        (self.listed || heard).then(|| count + SPARE_NODES.max(count.div_ceil(SPARE_SHARE)))
    }

    fn rank_nodes(&self, key: &str, in_zone: impl Fn(&str) -> bool) -> Vec<&NodeId> {
        let candidates = self
            .zones
            .iter()
            .filter(|(name, zone)| zone.reachable && in_zone(name))
            .flat_map(|(_, zone)| &zone.members)
            .map(|&key| &self.nodes[key])
            .filter(|node| node.state() == NodeState::Live)
            .map(|node| &node.record.id);
        rank_candidates(key, candidates)
    }
}
