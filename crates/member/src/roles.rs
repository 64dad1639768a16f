//! Roles and connection shares, as pure functions of the view.

use base::NodeId;
use base::rank_candidates;
use compact_str::format_compact;

use crate::NodeState;
use crate::View;
use crate::upstream::UpstreamEntry;

/// Number of holders of a group.
pub const GROUP_HOLDERS: usize = 3;

/// Number of relays of a zone.
pub const ZONE_RELAYS: usize = 3;

/// Smallest direct share in connections; a node with a lower share connects to the server through a holder.
pub const MIN_SHARE: u32 = 2;

/// Most nodes that act as holders of a group at once: those of two views that have no holder in common.
const MAX_GROUP_HOLDERS: u32 = 2 * GROUP_HOLDERS as u32;

/// Fewest VMs added to the node count that divides a server's connections, to cover a VM and its replacement.
const MIN_SPARE_NODES: u32 = 2;

/// One VM is added to the node count per this many VMs, to cover VMs that this node does not know yet.
const SPARE_NODES_DIVISOR: u32 = 10;

impl View {
    /// Returns the holders of a group by descending rank; VMs of other zones follow if the given zone has too few.
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

    /// Returns the relays of a zone by descending rank.
    pub fn relays(&self, zone: &str) -> Vec<&NodeId> {
        let key = format_compact!("relay/{zone}");
        let mut relays = self.rank_nodes(&key, |candidate| candidate == zone);
        relays.truncate(ZONE_RELAYS);
        relays
    }

    /// Returns the home VM of a ledger object, or `None` if no reachable VM is live.
    pub fn home(&self, ledger: u32) -> Option<&NodeId> {
        let key = format_compact!("ledger/{ledger}");
        self.rank_nodes(&key, |_| true).into_iter().next()
    }

    /// Returns the number of connections that this node may open to an upstream; zero if it has to go through a holder.
    ///
    /// The shares of all nodes add up to at most the server's limit, even if their views differ, because:
    ///
    /// - 20% of the limit is kept in reserve;
    /// - the node count includes spare VMs, so that no node underestimates it;
    /// - the limit is divided by twice the number of holders, for two views that have no holder in common;
    /// - while some nodes may still connect directly and others through holders, a holder gets only its part of the
    ///   reserve in addition to the direct share.
    pub fn connection_share(&self, upstream: &str) -> u32 {
        let Some(entry) = self.upstreams.get(upstream) else {
            return 0;
        };
        let Some(place) = &entry.placement else {
            return 0;
        };
        let Some(nodes) = self.estimate_max_nodes() else {
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
        // A server with few connections stays reachable, provided that it allows one for each possible holder.
        let least = u32::from(place.connections >= MAX_GROUP_HOLDERS);
        let share = (usable / MAX_GROUP_HOLDERS).max(least);
        if usable / nodes.div_ceil(2) >= MIN_SHARE {
            let reserve = place.connections - usable;
            return share.min(MIN_SHARE + reserve / MAX_GROUP_HOLDERS);
        }
        share
    }

    /// Returns the number of nodes that have to report failed connections before an upstream is suspected.
    ///
    /// It is a majority of the nodes that connect to the upstream, limited to two or three.
    pub(crate) fn quorum(&self, entry: &UpstreamEntry) -> usize {
        let limit = entry.placement.as_ref().map_or(0, |p| p.connections);
        let nodes = self.estimate_max_nodes().unwrap_or(1);
        let direct = (limit - limit.div_ceil(5)) / nodes >= MIN_SHARE;
        let connecting = if direct {
            nodes as usize
        } else {
            GROUP_HOLDERS
        };
        (connecting / 2 + 1).clamp(2, 3)
    }

    /// Returns an upper estimate of the nodes that may connect.
    ///
    /// It is `None` while this node has neither received the platform's list nor learned of another VM from a peer.
    fn estimate_max_nodes(&self) -> Option<u32> {
        let knows_others = self.nodes.len() > 1;
        let count = self.count_nodes().max(self.peak_nodes.0);
        (self.has_list || knows_others)
            .then(|| count + MIN_SPARE_NODES.max(count.div_ceil(SPARE_NODES_DIVISOR)))
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
