//! Merging of received heartbeats and replies.

use std::time::Instant;

use base::UpstreamId;
use base::ZoneName;
use wire::BeatMessage;
use wire::BeatReply;
use wire::FailureReport;
use wire::Pulses;
use wire::UpstreamRecord;
use wire::ZoneSummary;

use crate::Change;
use crate::NodeKey;
use crate::NodeState;
use crate::Record;
use crate::Summary;
use crate::View;
use crate::compose::Draft;
use crate::gossip::GossipItem;
use crate::gossip::Priority;
use crate::params::MAX_BEAT_BYTES;
use crate::params::MAX_SYNC_DRAINS;
use crate::params::MAX_WANTED_KEYS;
use crate::upstream::UpstreamEntry;
use crate::zone::Zone;

impl View {
    /// Merges a heartbeat and returns the reply, which holds this node's changes and the records that the sender needs.
    ///
    /// Merging is commutative and idempotent, so heartbeats may be lost, repeated and reordered. Counters of VMs
    /// without a record are skipped; the next heartbeat requests their records.
    pub fn receive(&mut self, beat: &BeatMessage, now: Instant) -> BeatReply {
        self.detect_pause(now);
        let sender = beat.sender.as_ref();
        let Some(sender) = sender.and_then(|wire| Record::from_wire(wire, "", "")) else {
            return BeatReply::default();
        };
        if sender.zone == self.me.zone {
            self.clock.adopt(beat.clock, now);
        }
        self.confirmation.merge(beat.confirmation.as_ref(), now);
        self.merge_node(&sender, now);
        let bridges = beat.zones.iter().flat_map(|zone| &zone.bridges);
        for wire in beat.nodes.iter().chain(bridges) {
            if let Some(record) = Record::from_wire(wire, &sender.zone, &sender.region) {
                self.merge_node(&record, now);
            }
        }
        if let Some(pulses) = &beat.pulses
            && sender.zone == self.me.zone
        {
            self.merge_pulses(pulses, now);
        }
        for wire in &beat.upstreams {
            self.merge_upstream(wire, now);
        }
        for report in &beat.reports {
            self.merge_report(report, now);
        }
        for zone in &beat.zones {
            self.merge_zone(zone, now);
        }
        let mut reply = self.compose_reply(beat, &sender, now);
        if beat.catching_up && !self.is_catching_up(now) {
            reply.upstreams = self.list_drains();
            reply.caught_up = sender.incarnation;
        }
        reply
    }

    /// Merges the reply to a heartbeat that this VM sent.
    pub fn receive_reply(&mut self, reply: &BeatReply, now: Instant) {
        self.detect_pause(now);
        let (zone, region) = (self.me.zone.clone(), self.me.region.clone());
        for wire in &reply.nodes {
            if let Some(record) = Record::from_wire(wire, &zone, &region) {
                self.merge_node(&record, now);
            }
        }
        for wire in &reply.upstreams {
            self.merge_upstream(wire, now);
        }
        for report in &reply.reports {
            self.merge_report(report, now);
        }
        for zone in &reply.zones {
            self.merge_zone(zone, now);
        }
        self.confirmation.merge(reply.confirmation.as_ref(), now);
        if reply.caught_up > 0 {
            self.finish_sync(reply.caught_up);
        }
        if let Some(pulses) = &reply.pulses {
            self.clock.adopt(pulses.clock, now);
            self.merge_pulses(pulses, now);
        }
    }

    fn compose_reply(&mut self, beat: &BeatMessage, sender: &Record, now: Instant) -> BeatReply {
        let mut draft = Draft::for_reply(sender);
        // An urgent heartbeat has neither counters nor summaries, and its sender already has the latest changes.
        if beat.pulses.is_some() || !beat.zones.is_empty() {
            self.add_summaries(&mut draft);
            self.add_changes(&mut draft, Priority::Report, 0);
        }
        let mut reply = BeatReply {
            nodes: draft.beat.nodes,
            upstreams: draft.beat.upstreams,
            zones: draft.beat.zones,
            reports: draft.beat.reports,
            pulses: None,
            confirmation: self.confirmation.to_wire(now),
            caught_up: 0,
        };
        let known = self.node(&sender.id).map(|node| &node.record);
        let newer = known.filter(|known| {
            known.incarnation > sender.incarnation
                || known.incarnation == sender.incarnation && known.state > sender.state
        });
        let wanted = beat
            .wanted
            .iter()
            .take(MAX_WANTED_KEYS)
            .filter_map(|key| self.by_pulse.get(key))
            .map(|&key| &self.nodes[key].record);
        for record in newer.into_iter().chain(wanted) {
            let wire = record.to_wire(&sender.zone, &sender.region);
            reply.nodes.push(wire);
        }
        if beat.pulses.is_some() && sender.zone == self.me.zone {
            reply.pulses = Some(self.collect_pulses(MAX_BEAT_BYTES, now));
        }
        reply
    }

    /// Returns the most recent drains, for a VM that is catching up and missed the changes that announced them.
    fn list_drains(&self) -> Vec<UpstreamRecord> {
        let entries = self
            .drain_records
            .iter()
            .filter_map(|id| Some((id, self.upstreams.get(id)?)))
            .filter(|(_, entry)| entry.draining);
        let mut newest: Vec<(&UpstreamId, &UpstreamEntry)> = entries.collect();
        newest.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.last_change));
        newest.truncate(MAX_SYNC_DRAINS);
        newest
            .into_iter()
            .map(|(id, entry)| entry.to_wire(id))
            .collect()
    }

    /// Gossips all drains in the periodic heartbeats, for a zone that missed the drains during a partition.
    fn gossip_drains(&mut self, now: Instant) {
        let draining = self.drain_records.iter().filter(|id| {
            let entry = self.upstreams.get(*id);
            entry.is_some_and(|entry| entry.draining)
        });
        for id in draining {
            let item = GossipItem::Upstream(id.clone());
            self.gossip.add_missing(item, Priority::Ordinary, now);
        }
    }

    fn merge_node(&mut self, record: &Record, now: Instant) -> Change {
        if record.id == self.me.id {
            let must_refute =
                record.incarnation == self.me.incarnation && record.state > self.me.state;
            if record.incarnation > self.me.incarnation || must_refute {
                self.raise_incarnation(record.incarnation, now);
            }
            return Change::None;
        }
        let known = self.by_id.get(&record.id).copied();
        // Other nodes know such a VM from the list too; gossiping it would fill the heartbeats when a whole fleet
        // starts.
        let first_heard = record.state == NodeState::Live
            && known.is_some_and(|key| !self.nodes[key].was_heard());
        if known.is_none() && record.state == NodeState::Dead {
            // VMs remove dead VMs at different times; adding one again would keep its record circulating forever.
            return Change::None;
        }
        let change = match known {
            Some(key) => self.merge_known_node(key, record, now),
            None => {
                self.insert_node(record.clone(), now);
                Change::State
            }
        };
        self.update_newest_revision(record.revision, record.id.clone());
        if change == Change::State && record.incarnation > 0 {
            self.roles_epoch += 1;
            if first_heard {
                return change;
            }
            let urgent = record.state == NodeState::Leaving;
            let priority = if urgent {
                Priority::Drain
            } else {
                Priority::Ordinary
            };
            self.gossip
                .add(GossipItem::Node(record.id.clone()), priority, now);
            if urgent {
                self.start_urgent_rounds(now);
            }
        }
        change
    }

    fn merge_known_node(&mut self, key: NodeKey, record: &Record, now: Instant) -> Change {
        let node = &mut self.nodes[key];
        let before = (node.record.incarnation, node.record.counter);
        let zone = node.record.zone.clone();
        let change = node.record.merge(record);
        if (node.record.incarnation, node.record.counter) > before {
            node.last_advance = now;
            self.roles_epoch += u64::from(node.silent);
            node.silent = false;
        }
        if node.record.incarnation != before.0 {
            let new_zone = node.record.zone.clone();
            self.update_pulse_key(key);
            if new_zone != zone {
                self.change_zone(key, &zone, new_zone, now);
            }
        }
        change
    }

    /// Replaces the pulse key of a VM after a change of its incarnation.
    pub(crate) fn update_pulse_key(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key];
        let old = std::mem::replace(&mut node.pulse_key, node.record.pulse_key());
        let new = node.pulse_key;
        if self.by_pulse.get(&old) == Some(&key) {
            self.by_pulse.remove(&old);
        }
        self.by_pulse.insert(new, key);
    }

    /// Moves a VM that restarted in another zone to the members of that zone.
    fn change_zone(&mut self, key: NodeKey, from: &ZoneName, to: ZoneName, now: Instant) {
        if let Some(zone) = self.zones.get_mut(from) {
            zone.members.retain(|&member| member != key);
        }
        let zone = self.zones.entry(to).or_insert_with(|| Zone::new(now));
        zone.members.push(key);
    }

    fn merge_pulses(&mut self, pulses: &Pulses, now: Instant) {
        for (index, (key, &lag)) in pulses.keys.chunks_exact(3).zip(&pulses.lags).enumerate() {
            let key = u32::from_be_bytes([0, key[0], key[1], key[2]]);
            let Some(&node) = self.by_pulse.get(&key) else {
                if self.wanted_keys.len() < MAX_WANTED_KEYS {
                    self.wanted_keys.insert(key);
                }
                continue;
            };
            if node == self.my_key {
                continue;
            }
            let node = &mut self.nodes[node];
            let counter = pulses.clock.saturating_sub(u64::from(lag));
            if counter > node.record.counter {
                node.record.counter = counter;
                node.last_advance = now;
                self.roles_epoch += u64::from(node.silent);
                node.silent = false;
            }
            let behind = pulses.behind.get(index).copied().unwrap_or(0);
            if behind < u8::MAX {
                let revision = pulses.newest.saturating_sub(u64::from(behind));
                node.record.revision = node.record.revision.max(revision);
            }
        }
    }

    fn merge_upstream(&mut self, wire: &UpstreamRecord, now: Instant) {
        if wire.id.is_empty() {
            return;
        }
        let id = UpstreamId::from(wire.id.as_str());
        let draining = wire.state() == wire::UpstreamState::Draining;
        let entry = self.upstreams.entry(id.clone());
        let entry = entry.or_insert_with(|| UpstreamEntry::new(now));
        if entry.merge(wire.epoch, draining, now) {
            self.gossip_upstream(id, draining, now);
        } else if entry.epoch > wire.epoch {
            // The sender has missed the later state.
            self.gossip
                .add_missing(GossipItem::Upstream(id), Priority::Ordinary, now);
        }
    }

    fn merge_report(&mut self, report: &FailureReport, now: Instant) {
        let Some(entry) = self.upstreams.get_mut(report.upstream.as_str()) else {
            return;
        };
        let reporter = report.reporter.as_str().into();
        if entry.record_failure(&reporter, report.sequence, now) {
            let item = GossipItem::Report(report.upstream.as_str().into(), reporter);
            self.gossip.add(item, Priority::Report, now);
        }
    }

    fn merge_zone(&mut self, wire: &ZoneSummary, now: Instant) {
        if wire.zone.is_empty() {
            return;
        }
        if wire.zone == self.me.zone {
            self.clock.adopt(wire.clock, now);
            return;
        }
        let name = wire.zone.as_str().into();
        let zone = self.zones.entry(name).or_insert_with(|| Zone::new(now));
        if zone.merge(Summary::from_wire(wire), now) && !zone.reachable {
            zone.reachable = true;
            self.roles_epoch += 1;
            self.gossip_drains(now);
        }
    }
}
