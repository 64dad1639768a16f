//! Composition of heartbeats within the byte budget.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::RegionName;
use base::ZoneName;
use prost::Message;
use rand::Rng;
use wire::BeatMessage;
use wire::BeatReply;
use wire::FailureReport;
use wire::NodeRecord;
use wire::Pulses;

use crate::NodeKey;
use crate::NodeState;
use crate::Record;
use crate::Summary;
use crate::View;
use crate::gossip::GossipItem;
use crate::gossip::Priority;
use crate::params::BEAT_PERIOD;
use crate::params::MAX_BEAT_BYTES;
use crate::params::MAX_PULSES;
use crate::params::MAX_REMOTE_BYTES;
use crate::params::MAX_REPLY_BYTES;
use crate::params::MAX_URGENT_BYTES;
use crate::params::MAX_WANTED_KEYS;
use crate::params::MESSAGE_OVERHEAD_BYTES;
use crate::params::REMOTE_PERIOD;
use crate::params::REMOTE_PERIOD_MIN;
use crate::params::REMOTE_PERIOD_PER_NODE;
use crate::params::URGENT_PERIOD;

/// Bytes per pulse: three for the key and one for the lag; revisions are rarely present.
const PULSE_BYTES: usize = 4;

/// Largest part of a periodic heartbeat for changes, in percent; the rest is kept for counters.
const CHANGE_PERCENT: usize = 40;

/// Most summaries of other zones in one heartbeat.
const MAX_SUMMARIES: usize = 2;

/// Most live VMs that a summary lists as bridges into its zone; they let other zones reach it.
const MAX_BRIDGES: usize = 2;

/// Most random draws for a peer that is not silent.
const MAX_PEER_DRAWS: usize = 8;

/// One in this many picks accepts a silent peer, so that a partition inside a zone can heal.
const SILENT_PEER_ODDS: usize = 10;

/// A heartbeat to send.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Identifier of the receiver.
    pub to: NodeId,
    /// Address of the receiver.
    pub addr: SocketAddr,
    /// The message.
    pub beat: BeatMessage,
}

impl Outgoing {
    /// Returns the size of the heartbeat on the network, including estimated headers.
    pub fn bytes(&self) -> usize {
        self.beat.encoded_len() + MESSAGE_OVERHEAD_BYTES
    }
}

/// Returns the size of a reply on the network in bytes, including estimated headers.
pub fn reply_bytes(reply: &BeatReply) -> usize {
    reply.encoded_len() + MESSAGE_OVERHEAD_BYTES
}

/// A message under composition, with its remaining byte budget.
pub(crate) struct Draft {
    pub(crate) beat: BeatMessage,
    bytes_left: usize,
    /// Zone and region of the sender of the heartbeat; records with the same values omit them.
    zone: ZoneName,
    region: RegionName,
}

impl Draft {
    /// Starts a draft for the changes and summaries of a reply.
    pub(crate) fn for_reply(sender: &Record) -> Draft {
        Draft {
            beat: BeatMessage::default(),
            bytes_left: MAX_REPLY_BYTES,
            zone: sender.zone.clone(),
            region: sender.region.clone(),
        }
    }

    /// Reserves the bytes of an embedded message with its tag and length prefix, three bytes at most.
    ///
    /// Returns `false` and reserves nothing if less than `min_left` bytes would remain.
    fn reserve_bytes(&mut self, message: &impl Message, min_left: usize) -> bool {
        let bytes = message.encoded_len() + 3;
        let fits = bytes + min_left <= self.bytes_left;
        if fits {
            self.bytes_left -= bytes;
        }
        fits
    }
}

impl View {
    /// Runs the periodic work and returns the heartbeats that are due, at most five.
    ///
    /// The runtime is expected to call it every [`TICK`](crate::TICK); a long gap counts as a pause.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Outgoing> {
        self.detect_pause(now);
        self.update_own_node(now);
        self.scan(now);
        let mut out = Vec::new();
        self.send_urgent(now, rng, &mut out);
        if is_due(&mut self.next_beat, BEAT_PERIOD, now, rng) {
            let zone = self.me.zone.clone();
            if let Some(peer) = self.pick_peer(&zone, rng) {
                let beat = self.compose_beat(now);
                out.push(self.address_beat(peer, beat));
            }
        }
        let period = self.remote_period();
        if is_due(&mut self.next_remote, period, now, rng)
            && let Some(peer) = self.pick_remote_peer(rng)
        {
            let beat = self.compose_remote(now);
            out.push(self.address_beat(peer, beat));
        }
        out
    }

    /// Returns the period of heartbeats to other zones.
    ///
    /// It is shorter in a small zone, so that the zone as a whole sends heartbeats as often as a large one.
    fn remote_period(&self) -> Duration {
        let members = self.zones[&self.me.zone].members.len() as u32;
        (REMOTE_PERIOD_PER_NODE * members).clamp(REMOTE_PERIOD_MIN, REMOTE_PERIOD)
    }

    fn send_urgent(&mut self, now: Instant, rng: &mut dyn Rng, out: &mut Vec<Outgoing>) {
        if self.urgent_rounds == 0 || now < self.next_urgent {
            return;
        }
        let zone = self.me.zone.clone();
        let mut peers: Vec<NodeKey> = [
            self.pick_peer(&zone, rng),
            self.pick_remote_peer(rng),
            self.pick_peer(&zone, rng),
        ]
        .into_iter()
        .flatten()
        .collect();
        if peers.len() > 2 && peers[0] == peers[2] {
            peers.pop();
        }
        if peers.is_empty() {
            return;
        }
        let beat = self.compose_urgent(now);
        let bytes = beat.encoded_len() + MESSAGE_OVERHEAD_BYTES;
        // If the budget does not suffice for all peers, sending to fewer peers now reaches more nodes than sending
        // later.
        peers.truncate(self.urgent_budget.available(now) / bytes);
        if peers.is_empty() {
            return;
        }
        self.urgent_budget.spend(peers.len() * bytes);
        self.urgent_rounds -= 1;
        self.next_urgent = now + URGENT_PERIOD;
        for peer in peers {
            out.push(self.address_beat(peer, beat.clone()));
        }
    }

    fn address_beat(&self, peer: NodeKey, beat: BeatMessage) -> Outgoing {
        let record = &self.nodes[peer].record;
        Outgoing {
            to: record.id.clone(),
            addr: record.addr,
            beat,
        }
    }

    fn compose_beat(&mut self, now: Instant) -> BeatMessage {
        let mut draft = self.start_draft(MAX_BEAT_BYTES, now);
        draft.beat.wanted = std::mem::take(&mut self.wanted_keys).into_iter().collect();
        draft.bytes_left = draft
            .bytes_left
            .saturating_sub(draft.beat.wanted.len().min(MAX_WANTED_KEYS) * 4 + 2);
        self.add_summaries(&mut draft);
        let min_left = draft.bytes_left * (100 - CHANGE_PERCENT) / 100;
        self.add_changes(&mut draft, Priority::Report, min_left);
        let pulses = self.collect_pulses(draft.bytes_left, now);
        draft.bytes_left = draft.bytes_left.saturating_sub(pulses.encoded_len() + 3);
        draft.beat.pulses = Some(pulses);
        self.add_round_robin(&mut draft);
        draft.beat
    }

    fn compose_remote(&mut self, now: Instant) -> BeatMessage {
        let mut draft = self.start_draft(MAX_REMOTE_BYTES, now);
        let mut summary = self.summarize(now).to_wire(&self.me.zone);
        summary.bridges = self.select_bridges();
        if draft.reserve_bytes(&summary, 0) {
            draft.beat.zones.push(summary);
        }
        self.add_summaries(&mut draft);
        self.add_changes(&mut draft, Priority::Report, 0);
        self.add_round_robin(&mut draft);
        draft.beat
    }

    fn compose_urgent(&mut self, now: Instant) -> BeatMessage {
        let mut draft = self.start_draft(MAX_URGENT_BYTES, now);
        self.add_changes(&mut draft, Priority::Drain, 0);
        draft.beat
    }

    fn start_draft(&self, max_bytes: usize, now: Instant) -> Draft {
        let beat = BeatMessage {
            sender: Some(self.me.to_message()),
            clock: self.clock.read(now),
            confirmation: self.confirmation.to_wire(now),
            catching_up: self.is_catching_up(now),
            ..Default::default()
        };
        Draft {
            bytes_left: max_bytes.saturating_sub(beat.encoded_len()),
            beat,
            zone: self.me.zone.clone(),
            region: self.me.region.clone(),
        }
    }

    /// Adds pending changes by priority as long as `min_left` bytes remain, and drops those whose subject is unknown.
    pub(crate) fn add_changes(
        &mut self,
        draft: &mut Draft,
        min_priority: Priority,
        min_left: usize,
    ) {
        for item in self.gossip.list_by_priority(min_priority) {
            let added = match &item {
                GossipItem::Node(id) => self.add_node(draft, id, min_left),
                GossipItem::Upstream(id) => self.add_upstream(draft, id, min_left),
                GossipItem::Report(id, reporter) => self.add_report(draft, id, reporter, min_left),
            };
            match added {
                Some(true) => self.gossip.count_sent(&item),
                Some(false) => break,
                None => self.gossip.remove(&item),
            }
        }
    }

    /// Adds a record if it fits; returns whether it did, or `None` if the VM is unknown.
    fn add_node(&self, draft: &mut Draft, id: &NodeId, min_left: usize) -> Option<bool> {
        let record = &self.node(id)?.record;
        let wire = record.to_wire(&draft.zone, &draft.region);
        let fits = draft.reserve_bytes(&wire, min_left);
        if fits {
            draft.beat.nodes.push(wire);
        }
        Some(fits)
    }

    fn add_upstream(&self, draft: &mut Draft, id: &str, min_left: usize) -> Option<bool> {
        let wire = self.upstreams.get(id)?.to_wire(id);
        let fits = draft.reserve_bytes(&wire, min_left);
        if fits {
            draft.beat.upstreams.push(wire);
        }
        Some(fits)
    }

    fn add_report(
        &self,
        draft: &mut Draft,
        id: &str,
        reporter: &NodeId,
        min_left: usize,
    ) -> Option<bool> {
        let entry = self.upstreams.get(id)?;
        let report = entry
            .reports
            .iter()
            .find(|report| report.reporter == *reporter)?;
        let wire = FailureReport {
            upstream: id.to_string(),
            reporter: reporter.to_string(),
            sequence: report.sequence,
        };
        let fits = draft.reserve_bytes(&wire, min_left);
        if fits {
            draft.beat.reports.push(wire);
        }
        Some(fits)
    }

    /// Collects the counters of the own zone; if not all fit, the freshest are selected.
    pub(crate) fn collect_pulses(&self, max_bytes: usize, now: Instant) -> Pulses {
        let clock = self.clock.read(now);
        let mut fresh: Vec<&crate::Node> = self.zones[&self.me.zone]
            .members
            .iter()
            .map(|&key| &self.nodes[key])
            .filter(|node| {
                node.was_heard()
                    && !node.silent
                    && node.record.state < NodeState::Dead
                    && clock.saturating_sub(node.record.counter) < u64::from(u8::MAX)
            })
            .collect();
        let count = MAX_PULSES.min(max_bytes / PULSE_BYTES);
        if fresh.len() > count {
            fresh.select_nth_unstable_by_key(count, |node| u64::MAX - node.record.counter);
            fresh.truncate(count);
        }
        let newest = fresh.iter().map(|node| node.record.revision).max();
        let newest = newest.unwrap_or(0);
        let lag = |newest: u64, value: u64| newest.saturating_sub(value).min(255) as u8;
        let mut pulses = Pulses {
            clock,
            newest,
            ..Default::default()
        };
        let mut keys = Vec::with_capacity(3 * fresh.len());
        for node in &fresh {
            keys.extend_from_slice(&node.pulse_key.to_be_bytes()[1..]);
        }
        pulses.keys = keys.into();
        let lags = fresh.iter().map(|node| lag(clock, node.record.counter));
        pulses.lags = lags.collect::<Vec<u8>>().into();
        if fresh.iter().any(|node| node.record.revision != newest) {
            let behind = fresh.iter().map(|node| lag(newest, node.record.revision));
            pulses.behind = behind.collect::<Vec<u8>>().into();
        }
        pulses
    }

    pub(crate) fn add_summaries(&mut self, draft: &mut Draft) {
        let mut added = 0;
        for _ in 0..self.zones.len() {
            let Some(name) = next_key(&self.zones, &self.zone_cursor) else {
                return;
            };
            let zone = &self.zones[&name];
            self.zone_cursor = name.clone();
            if name == draft.zone || !zone.reachable || zone.summary.clock == 0 {
                continue;
            }
            let wire = zone.summary.to_wire(&name);
            if draft.reserve_bytes(&wire, 0) {
                draft.beat.zones.push(wire);
                added += 1;
            }
            if added == MAX_SUMMARIES {
                return;
            }
        }
    }

    /// Fills the remaining bytes with records in round-robin order, so that nodes eventually receive changes they
    /// missed.
    fn add_round_robin(&mut self, draft: &mut Draft) {
        let after = (
            Bound::Excluded(self.upstream_cursor.as_str()),
            Bound::Unbounded,
        );
        let next = self.drain_records.range::<str, _>(after).next().cloned();
        self.upstream_cursor = next.unwrap_or_default();
        let id = self.upstream_cursor.clone();
        if !id.is_empty() {
            self.add_upstream(draft, &id, 0);
        }
        for _ in 0..self.by_id.len() {
            let Some(id) = next_key(&self.by_id, &self.node_cursor) else {
                return;
            };
            let heard = self.node(&id).is_some_and(|node| node.was_heard());
            if heard && id != self.me.id && self.add_node(draft, &id, 0) != Some(true) {
                return;
            }
            self.node_cursor = id;
        }
    }

    pub(crate) fn summarize(&self, now: Instant) -> Summary {
        let mut summary = Summary {
            clock: self.clock.read(now),
            ..Default::default()
        };
        let mut revisions = BTreeMap::new();
        for &key in &self.zones[&self.me.zone].members {
            let node = &self.nodes[key];
            match node.state() {
                NodeState::Live => summary.live += 1,
                NodeState::Suspect => summary.suspect += 1,
                NodeState::Leaving => summary.leaving += 1,
                NodeState::Dead => continue,
            }
            *revisions.entry(node.record.revision).or_insert(0) += 1;
        }
        summary.revisions = Summary::count_revisions(revisions);
        let drains = self.drain_records.iter().filter_map(|id| {
            let entry = self.upstreams.get(id)?;
            let place = entry.placement.as_ref()?;
            (entry.draining && place.zone == self.me.zone).then_some(())
        });
        summary.draining = drains.count() as u32;
        summary
    }

    fn select_bridges(&self) -> Vec<NodeRecord> {
        self.relays(&self.me.zone)
            .into_iter()
            .filter_map(|id| self.node(id))
            .filter(|node| node.record.id != self.me.id && node.was_heard())
            .take(MAX_BRIDGES)
            .map(|node| node.record.to_wire(&self.me.zone, &self.me.region))
            .collect()
    }

    fn pick_remote_peer(&self, rng: &mut dyn Rng) -> Option<NodeKey> {
        let others: Vec<&ZoneName> = self
            .zones
            .iter()
            .filter(|(name, zone)| **name != self.me.zone && !zone.members.is_empty())
            .map(|(name, _)| name)
            .collect();
        let zone = *others.get(draw_below(rng, others.len())?)?;
        self.pick_peer(zone, rng)
    }

    fn pick_peer(&self, zone: &ZoneName, rng: &mut dyn Rng) -> Option<NodeKey> {
        let members = &self.zones.get(zone)?.members;
        let allow_silent = draw_below(rng, SILENT_PEER_ODDS) == Some(0);
        let mut picked = None;
        for _ in 0..MAX_PEER_DRAWS {
            let key = members[draw_below(rng, members.len())?];
            let node = &self.nodes[key];
            if key == self.my_key || node.record.state == NodeState::Dead {
                continue;
            }
            picked = Some(key);
            if allow_silent || !node.silent {
                break;
            }
        }
        picked
    }
}

fn draw_below(rng: &mut dyn Rng, bound: usize) -> Option<usize> {
    (bound > 0).then(|| (rng.next_u64() % bound as u64) as usize)
}

/// Returns whether a periodic action is due, and schedules the next one with jitter so that VMs do not synchronize.
fn is_due(next: &mut Option<Instant>, period: Duration, now: Instant, rng: &mut dyn Rng) -> bool {
    let draw = (rng.next_u64() % 1_000) as u32;
    match *next {
        None => {
            *next = Some(now + period * draw / 1_000);
            false
        }
        Some(at) if at <= now => {
            *next = Some(now + period * (750 + draw / 2) / 1_000);
            true
        }
        Some(_) => false,
    }
}

/// Returns the key after the cursor, wrapping around at the end.
fn next_key<V>(map: &BTreeMap<compact_str::CompactString, V>, cursor: &str) -> Option<ZoneName> {
    let after = (Bound::Excluded(cursor), Bound::Unbounded);
    let next = map.range::<str, _>(after).next();
    next.or_else(|| map.iter().next())
        .map(|(key, _)| key.clone())
}
