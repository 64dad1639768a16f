//! Periodic failure detection for VMs and zones, and removal of expired entries.

use std::time::Instant;

use base::UpstreamId;

use crate::NodeKey;
use crate::NodeState;
use crate::View;
use crate::gossip::GossipItem;
use crate::gossip::Priority;
use crate::params::DEAD_AFTER;
use crate::params::JOIN_GRACE;
use crate::params::REMOVE_PERIOD;
use crate::params::RETENTION_TIME;
use crate::params::SCAN_PERIOD;
use crate::params::SLOW_AFTER;
use crate::params::SUSPECT_AFTER;
use crate::params::UNREACHABLE_AFTER;
use crate::upstream::UpstreamEntry;

/// If more than one in this many VMs is silent or missing at once, a partition or an incorrect list is assumed.
const LARGE_SHARE_DIVISOR: usize = 3;

/// If more than one in this many VMs of a zone is slow at once, a partition is assumed too.
///
/// When a zone is split in halves, counters still get across through other zones, so few VMs are silent at once.
const SLOW_SHARE_DIVISOR: usize = 4;

/// Returns whether the count is too large a share of the total to consist of independent failures.
pub(crate) fn is_large_share(count: usize, total: usize) -> bool {
    count > 1 && count * LARGE_SHARE_DIVISOR > total
}

impl View {
    /// Updates which VMs are silent and which zones are reachable, and removes expired entries.
    pub(crate) fn scan(&mut self, now: Instant) {
        if now < self.next_scan {
            return;
        }
        self.next_scan = now + SCAN_PERIOD;
        self.scan_zones(now);
        self.scan_nodes(now);
        self.update_peak_nodes(now);
        self.gossip.remove_expired(now);
        if now >= self.next_removal {
            self.next_removal = now + REMOVE_PERIOD;
            self.remove_nodes(now);
            self.remove_upstreams(now);
        }
    }

    fn scan_zones(&mut self, now: Instant) {
        for (name, zone) in &mut self.zones {
            let silence = now.saturating_duration_since(zone.last_advance);
            let reachable = *name == self.me.zone || silence < UNREACHABLE_AFTER;
            if reachable != zone.reachable {
                zone.reachable = reachable;
                self.roles_epoch += 1;
            }
        }
    }

    fn scan_nodes(&mut self, now: Instant) {
        let members = self.zones[&self.me.zone].members.clone();
        let mut live_count = 0;
        let mut silent = 0;
        let mut slow = 0;
        let mut overdue = Vec::new();
        for key in members {
            let node = &mut self.nodes[key];
            if key == self.my_key || node.record.state == NodeState::Dead {
                continue;
            }
            let silence = now.saturating_duration_since(node.last_advance);
            let timeout = if node.was_heard() {
                SUSPECT_AFTER
            } else {
                JOIN_GRACE
            };
            if node.silent != (silence >= timeout) {
                node.silent = !node.silent;
                self.roles_epoch += 1;
            }
            let live = node.record.state == NodeState::Live;
            live_count += usize::from(live);
            silent += usize::from(live && node.silent);
            slow += usize::from(live && node.was_heard() && silence >= SLOW_AFTER);
            if node.was_heard() && silence >= DEAD_AFTER {
                overdue.push((key, live));
            }
        }
        let partition = is_large_share(silent, live_count)
            || slow > 1 && slow * SLOW_SHARE_DIVISOR > live_count;
        if partition {
            self.last_partition = Some(now);
        }
        // While a partition lasts, counters that arrive irregularly through other zones make single VMs seem to fail.
        let recent_partition = self
            .last_partition
            .is_some_and(|at| now.saturating_duration_since(at) < RETENTION_TIME);
        for (key, live) in overdue {
            let silence = now.saturating_duration_since(self.nodes[key].last_advance);
            if !live || !partition && (!recent_partition || silence >= RETENTION_TIME) {
                self.declare_dead(key, now);
            }
        }
    }

    fn declare_dead(&mut self, key: NodeKey, now: Instant) {
        let node = &mut self.nodes[key];
        node.record.state = NodeState::Dead;
        let item = GossipItem::Node(node.record.id.clone());
        self.gossip.add(item, Priority::Ordinary, now);
        self.roles_epoch += 1;
    }

    /// Removes VMs whose counter has long stopped and that the list has long omitted, if they are dead or were listed
    /// once.
    ///
    /// The retention time is longer than any message can be delayed, so a late message does not add them again.
    fn remove_nodes(&mut self, now: Instant) {
        let newest_list = self
            .nodes
            .values()
            .filter_map(|node| node.last_listed)
            .max();
        let mut expired = Vec::new();
        for (key, node) in &self.nodes {
            let outdated = now.saturating_duration_since(node.last_advance) >= RETENTION_TIME;
            let unlisted = match (node.last_listed, newest_list) {
                (Some(at), Some(newest)) => newest.saturating_duration_since(at) >= RETENTION_TIME,
                (None, _) => true,
                (Some(_), None) => false,
            };
            let remote = node.record.zone != self.me.zone;
            let dead = node.record.state == NodeState::Dead;
            let unheard = node.last_listed.is_some() && (remote || node.silent);
            if key != self.my_key && outdated && unlisted && (dead || unheard) {
                expired.push(key);
            }
        }
        for key in expired {
            self.remove_node(key);
        }
    }

    fn remove_upstreams(&mut self, now: Instant) {
        let upstreams = &self.upstreams;
        let is_expired = |entry: &UpstreamEntry| {
            now.saturating_duration_since(entry.last_change) >= RETENTION_TIME
        };
        // A drain that has ended is gossiped until it expires. A node that missed the end is corrected when it gossips
        // the drain again.
        self.drain_records.retain(|id| {
            let entry = upstreams.get(id);
            entry.is_some_and(|entry| entry.draining || !is_expired(entry))
        });
        let removed = upstreams
            .iter()
            .filter(|(_, entry)| entry.placement.is_none() && is_expired(entry));
        let removed: Vec<UpstreamId> = removed.map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.upstreams.remove(&id);
            self.drain_records.remove(&id);
            self.gossip.remove(&GossipItem::Upstream(id));
        }
    }

    /// Updates the largest recent number of VMs, which is the divisor of connection shares.
    fn update_peak_nodes(&mut self, now: Instant) {
        let count = self.count_nodes();
        let expired = now.saturating_duration_since(self.peak_nodes.1) >= RETENTION_TIME;
        if count >= self.peak_nodes.0 || expired {
            self.peak_nodes = (count, now);
        }
    }

    /// Counts the VMs that may hold connections: for each zone its known members, or the count of its summary if
    /// higher.
    pub(crate) fn count_nodes(&self) -> u32 {
        let count = |(name, zone): (&base::ZoneName, &crate::zone::Zone)| {
            let members = zone.members.len() as u32;
            if *name == self.me.zone {
                members
            } else {
                members.max(zone.summary.nodes())
            }
        };
        self.zones.iter().map(count).sum()
    }
}
