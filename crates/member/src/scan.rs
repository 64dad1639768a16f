//! Periodic detection of silent VMs and unreachable zones, and removal of what is long gone.

use std::time::Instant;

use base::UpstreamId;

use crate::NodeKey;
use crate::NodeState;
use crate::View;
use crate::gossip::Item;
use crate::gossip::Urgency;
use crate::params::DEAD_AFTER;
use crate::params::JOIN_GRACE;
use crate::params::KEEP_DEAD;
use crate::params::REMOVE_PERIOD;
use crate::params::SCAN_PERIOD;
use crate::params::SLOW_AFTER;
use crate::params::SUSPECT_AFTER;
use crate::params::ZONE_SILENT;
use crate::upstream::Entry;

/// More silent or missing VMs than one in this many at once are taken for a partition or an error of the list.
const LARGE_SHARE: usize = 3;

/// More slow VMs than one in this many of a zone at once are taken for a partition too.
///
/// Between the halves of a zone, counters still pass through other zones, so few VMs are silent at the same time.
const SLOW_SHARE: usize = 4;

pub(crate) fn is_large_share(count: usize, of: usize) -> bool {
    count > 1 && count * LARGE_SHARE > of
}

impl View {
    pub(crate) fn scan(&mut self, now: Instant) {
        if now < self.next_scan {
            return;
        }
        self.next_scan = now + SCAN_PERIOD;
        self.scan_zones(now);
        self.scan_nodes(now);
        self.count_peak(now);
        self.spread.forget_old(now);
        if now >= self.next_remove {
            self.next_remove = now + REMOVE_PERIOD;
            self.remove_absent(now);
            self.forget_upstreams(now);
        }
    }

    fn scan_zones(&mut self, now: Instant) {
        for (name, zone) in &mut self.zones {
            let silence = now.saturating_duration_since(zone.advanced);
            let reachable = *name == self.me.zone || silence < ZONE_SILENT;
            if reachable != zone.reachable {
                zone.reachable = reachable;
                self.epoch += 1;
            }
        }
    }

    fn scan_nodes(&mut self, now: Instant) {
        let members = self.zones[&self.me.zone].members.clone();
        let mut expected = 0;
        let mut silent = 0;
        let mut slow = 0;
        let mut overdue = Vec::new();
        for key in members {
            let node = &mut self.nodes[key];
            if key == self.my_key || node.record.state == NodeState::Dead {
                continue;
            }
            let silence = now.saturating_duration_since(node.advanced);
            let bound = if node.was_heard() {
                SUSPECT_AFTER
            } else {
                JOIN_GRACE
            };
            if node.silent != (silence >= bound) {
                node.silent = !node.silent;
                self.epoch += 1;
            }
            let live = node.record.state == NodeState::Live;
            expected += usize::from(live);
            silent += usize::from(live && node.silent);
            slow += usize::from(live && node.was_heard() && silence >= SLOW_AFTER);
            if node.was_heard() && silence >= DEAD_AFTER {
                overdue.push((key, live));
            }
        }
        let partition =
            is_large_share(silent, expected) || slow > 1 && slow * SLOW_SHARE > expected;
        if partition {
            self.partitioned = Some(now);
        }
        // Counters that still pass through other zones make single VMs seem to fail while a partition lasts.
        let lately = self
            .partitioned
            .is_some_and(|at| now.saturating_duration_since(at) < KEEP_DEAD);
        for (key, live) in overdue {
            let silence = now.saturating_duration_since(self.nodes[key].advanced);
            if !live || !partition && (!lately || silence >= KEEP_DEAD) {
                self.declare_dead(key, now);
            }
        }
    }

    fn declare_dead(&mut self, key: NodeKey, now: Instant) {
        let node = &mut self.nodes[key];
        node.record.state = NodeState::Dead;
        let item = Item::Node(node.record.id.clone());
        self.spread.add(item, Urgency::Ordinary, now);
        self.epoch += 1;
    }

    /// Removes VMs that are dead, or unheard and absent from the list, for longer than any message can be late.
    fn remove_absent(&mut self, now: Instant) {
        let newest_list = self.nodes.values().filter_map(|node| node.listed).max();
        let mut absent = Vec::new();
        for (key, node) in &self.nodes {
            let old = now.saturating_duration_since(node.advanced) >= KEEP_DEAD;
            let dropped = match (node.listed, newest_list) {
                (Some(at), Some(newest)) => newest.saturating_duration_since(at) >= KEEP_DEAD,
                (None, _) => true,
                (Some(_), None) => false,
            };
            let remote = node.record.zone != self.me.zone;
            let ended = node.record.state == NodeState::Dead;
            let vanished = node.listed.is_some() && (remote || node.silent);
            if key != self.my_key && old && dropped && (ended || vanished) {
                absent.push(key);
            }
        }
        for key in absent {
            self.remove_node(key);
        }
    }

    fn forget_upstreams(&mut self, now: Instant) {
        let upstreams = &self.upstreams;
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.changed) >= KEEP_DEAD;
        // The end of a drain leaves rotation after a while; a node that missed it is corrected when it repeats the drain.
        self.exceptions.retain(|id| {
            let entry = upstreams.get(id);
            entry.is_some_and(|entry| entry.draining || !is_old(entry))
        });
        let absent = upstreams
            .iter()
            .filter(|(_, entry)| entry.placement.is_none() && is_old(entry));
        let absent: Vec<UpstreamId> = absent.map(|(id, _)| id.clone()).collect();
        for id in absent {
            self.upstreams.remove(&id);
            self.exceptions.remove(&id);
            self.spread.remove(&Item::Upstream(id));
        }
    }

    /// Keeps the largest number of VMs seen lately, by which connection shares are divided.
    fn count_peak(&mut self, now: Instant) {
        let count = self.count_nodes();
        let old = now.saturating_duration_since(self.peak.1) >= KEEP_DEAD;
        if count >= self.peak.0 || old {
            self.peak = (count, now);
        }
    }

    /// Counts the VMs that may hold connections: those with an entry, or those in the summaries if they are more.
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
