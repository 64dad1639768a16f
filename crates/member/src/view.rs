//! The view that a node has of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use base::IndexName;
use base::NodeId;
use base::RegionName;
use base::Revision;
use base::Upstream;
use base::UpstreamId;
use base::UpstreamState;
use base::Vm;
use base::VmRole;
use base::VmState;
use base::ZoneName;
use slotmap::SlotMap;

use crate::Evidence;
use crate::Group;
use crate::GroupName;
use crate::Health;
use crate::Node;
use crate::NodeState;
use crate::Record;
use crate::Summary;
use crate::clock::ByteBudget;
use crate::clock::ZoneClock;
use crate::confirm::Confirmed;
use crate::gossip::Item;
use crate::gossip::Spread;
use crate::gossip::Urgency;
use crate::group::divide_upstreams;
use crate::params::PAUSE_LIMIT;
use crate::params::URGENT_BURST;
use crate::params::URGENT_RATE;
use crate::params::URGENT_ROUNDS;
use crate::scan::is_large_share;
use crate::sync::Sync;
use crate::upstream::Entry;
use crate::upstream::Placement;
use crate::zone::Zone;

slotmap::new_key_type! {
    /// Key of an entry VM within one view.
    pub(crate) struct NodeKey;
}

/// What a VM knows of itself from its settings.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Identifier in the platform's list.
    pub id: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Address that peers connect to.
    pub addr: SocketAddr,
    /// Higher than in any earlier process of the same id, such as the time of the start; never zero.
    pub incarnation: u64,
}

/// The view that one entry VM has of the others and of the upstreams; it does no I/O and reads no clock.
#[derive(Debug)]
pub struct View {
    pub(crate) me: Record,
    pub(crate) my_key: NodeKey,
    pub(crate) nodes: SlotMap<NodeKey, Node>,
    pub(crate) by_id: BTreeMap<NodeId, NodeKey>,
    pub(crate) by_pulse: HashMap<u32, NodeKey>,
    pub(crate) zones: BTreeMap<ZoneName, Zone>,
    pub(crate) upstreams: BTreeMap<UpstreamId, Entry>,
    pub(crate) exceptions: BTreeSet<UpstreamId>,
    pub(crate) groups: BTreeMap<GroupName, Group>,
    pub(crate) clock: ZoneClock,
    pub(crate) spread: Spread,
    pub(crate) budget: ByteBudget,
    pub(crate) wanted: BTreeSet<u32>,
    pub(crate) newest: Option<(Revision, NodeId)>,
    pub(crate) confirmed: Confirmed,
    pub(crate) listed: bool,
    pub(crate) peak: (u32, Instant),
    pub(crate) partitioned: Option<Instant>,
    pub(crate) epoch: u64,
    pub(crate) rounds: u8,
    pub(crate) next_urgent: Instant,
    pub(crate) next_beat: Option<Instant>,
    pub(crate) next_remote: Option<Instant>,
    pub(crate) next_scan: Instant,
    pub(crate) next_remove: Instant,
    pub(crate) node_cursor: NodeId,
    pub(crate) upstream_cursor: UpstreamId,
    pub(crate) zone_cursor: ZoneName,
    pub(crate) sync: Sync,
    pub(crate) last: Instant,
}

impl View {
    /// Creates the view of a VM that knows only itself.
    pub fn new(me: Identity, now: Instant) -> View {
        let me = Record {
            id: me.id,
            zone: me.zone,
            region: me.region,
            addr: me.addr,
            incarnation: me.incarnation.max(1),
            counter: 1,
            state: NodeState::Live,
            revision: 0,
        };
        let mut view = View {
            my_key: NodeKey::default(),
            nodes: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_pulse: HashMap::new(),
            zones: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            exceptions: BTreeSet::new(),
            groups: BTreeMap::new(),
            clock: ZoneClock::new(now),
            spread: Spread::default(),
            budget: ByteBudget::new(URGENT_RATE, URGENT_BURST, now),
            wanted: BTreeSet::new(),
            newest: None,
            confirmed: Confirmed::default(),
            listed: false,
            peak: (1, now),
            partitioned: None,
            epoch: 0,
            // A new VM announces itself at once, and the replies tell it what it has missed.
            rounds: URGENT_ROUNDS,
            next_urgent: now,
            next_beat: None,
            next_remote: None,
            next_scan: now,
            next_remove: now,
            node_cursor: me.id.clone(),
            upstream_cursor: UpstreamId::default(),
            zone_cursor: ZoneName::default(),
            sync: Sync::Since(now),
            last: now,
            me: me.clone(),
        };
        view.my_key = view.insert_node(me, now);
        view
    }

    /// Returns this VM's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Looks up an entry VM.
    pub fn node(&self, id: &str) -> Option<&Node> {
        self.by_id.get(id).map(|&key| &self.nodes[key])
    }

    /// Returns the entry VMs, this one included, ascending by id.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.by_id.values().map(|&key| &self.nodes[key])
    }

    /// Returns what is known of a zone as a whole, and whether it is reachable.
    pub fn zone(&self, zone: &str) -> Option<(&Summary, bool)> {
        let zone = self.zones.get(zone)?;
        Some((&zone.summary, zone.reachable))
    }

    /// Returns the names of all known zones, ascending.
    pub fn zone_names(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Returns a number that rises whenever the roles may have moved, so that callers can cache them.
    pub fn roles_epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the highest revision that is in force somewhere, with a VM that has it.
    pub fn newest_revision(&self) -> Option<(Revision, &NodeId)> {
        self.newest.as_ref().map(|(revision, id)| (*revision, id))
    }

    /// Merges the platform's list of VMs.
    ///
    /// The list lags, so it adds VMs that were never heard of, and removes only VMs that have long been absent from it
    /// and do not send heartbeats.
    pub fn merge_vm_list(&mut self, list: &[Vm], now: Instant) {
        self.listed = true;
        for vm in list.iter().filter(|vm| vm.role == VmRole::Entry) {
            let state = match vm.state {
                VmState::Live => NodeState::Live,
                VmState::Leaving => NodeState::Leaving,
            };
            let record = Record {
                id: vm.id.clone(),
                zone: vm.zone.clone(),
                region: vm.region.clone(),
                addr: vm.addr,
                incarnation: 0,
                counter: 0,
                state,
                revision: 0,
            };
            let key = match self.by_id.get(&vm.id) {
                Some(&key) => {
                    // A VM that was heard states its own leaving; the list may still show the process before it.
                    if !self.nodes[key].was_heard() {
                        self.nodes[key].record.merge(&record);
                    }
                    key
                }
                None => self.insert_node(record, now),
            };
            self.nodes[key].listed = Some(now);
        }
        self.distrust_losses(now);
        self.epoch += 1;
    }

    /// Keeps what a list has lost when it is a large share of the fleet, since the list is then more likely wrong.
    fn distrust_losses(&mut self, now: Instant) {
        let listed =
            |node: &&mut Node| node.listed.is_some() && node.record.state != NodeState::Dead;
        let known = self.nodes.values_mut().filter(listed).count();
        let kept = self
            .nodes
            .values_mut()
            .filter(listed)
            .filter(|node| node.listed == Some(now))
            .count();
        if is_large_share(known - kept, known) {
            for node in self.nodes.values_mut().filter(listed) {
                node.listed = Some(now);
            }
        }
    }

    /// Replaces what the platform says of the upstreams of one index.
    ///
    /// Upstreams that are not named any more are `Gone` here; this is not spread, since the platform's reads may lag.
    pub fn set_upstreams(&mut self, index: &IndexName, upstreams: &[Upstream], now: Instant) {
        let mut zones: BTreeMap<&ZoneName, Vec<UpstreamId>> = BTreeMap::new();
        for upstream in upstreams {
            let ids = zones.entry(&upstream.zone).or_default();
            ids.push(upstream.id.clone());
        }
        self.groups.retain(|_, group| group.index != *index);
        for entry in self.upstreams.values_mut() {
            if entry.placement.take_if(|p| p.index == *index).is_some() {
                entry.changed = now;
            }
        }
        let limits: BTreeMap<&UpstreamId, u32> =
            upstreams.iter().map(|u| (&u.id, u.connections)).collect();
        for (zone, ids) in zones {
            for (name, members) in divide_upstreams(index, zone, &ids) {
                for id in &members {
                    let entry = self.upstreams.entry(id.clone());
                    entry.or_insert_with(|| Entry::new(now)).placement = Some(Placement {
                        zone: zone.clone(),
                        index: index.clone(),
                        connections: limits[id],
                        group: name.clone(),
                    });
                }
                let group = Group {
                    index: index.clone(),
                    zone: zone.clone(),
                    upstreams: members,
                };
                self.groups.insert(name, group);
            }
        }
        self.epoch += 1;
    }

    /// Returns the groups of upstreams with their members, ascending by name.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupName, &Group)> {
        self.groups.iter()
    }

    /// Returns the group of an upstream.
    pub fn group(&self, upstream: &str) -> Option<&GroupName> {
        let entry = self.upstreams.get(upstream)?;
        entry.placement.as_ref().map(|place| &place.group)
    }

    /// Returns the upstreams that are draining, ascending.
    pub fn draining_upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        let draining =
            |id: &&UpstreamId| self.upstreams.get(*id).is_some_and(|entry| entry.draining);
        self.exceptions.iter().filter(draining)
    }

    /// Judges an upstream by what this node and others have seen of it.
    pub fn health(&self, upstream: &str, now: Instant) -> Health {
        match self.upstreams.get(upstream) {
            Some(entry) => entry.health(self.quorum(entry), now),
            None => Health::Gone,
        }
    }

    /// Records the revision in force on this VM; others hear of a higher one ahead of the next heartbeat.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        if revision > self.me.revision {
            self.me.revision = revision;
            self.note_revision(revision, self.me.id.clone());
            self.store_me(now);
            self.hurry(now);
        }
    }

    /// Announces that this VM is going to stop, so that its roles move.
    pub fn leave(&mut self, now: Instant) {
        if self.me.state != NodeState::Leaving {
            self.me.state = NodeState::Leaving;
            self.store_me(now);
            self.epoch += 1;
            self.hurry(now);
        }
    }

    /// Records this node's own evidence about an upstream.
    pub fn observe(&mut self, upstream: &UpstreamId, evidence: Evidence, now: Instant) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        match evidence {
            Evidence::Replied(state) => {
                if entry.observe_reply(state, now) {
                    let drains = state == UpstreamState::Draining;
                    self.spread_upstream(upstream.clone(), drains, now);
                }
            }
            Evidence::ConnectFailed => self.report_failure(upstream, now),
            Evidence::ConnectRefused => {}
        }
    }

    fn report_failure(&mut self, upstream: &UpstreamId, now: Instant) {
        let sequence = self.clock.read(now);
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        // In a partition every upstream of the other side fails; those reports would crowd out the rest.
        let reachable = entry
            .placement
            .as_ref()
            .and_then(|place| self.zones.get(&place.zone))
            .is_none_or(|zone| zone.reachable);
        if entry.reported_lately(&self.me.id, now) || !reachable {
            return;
        }
        if entry.report(&self.me.id, sequence, now) {
            let item = Item::Report(upstream.clone(), self.me.id.clone());
            self.spread.add(item, Urgency::Report, now);
        }
    }

    pub(crate) fn spread_upstream(&mut self, id: UpstreamId, drains: bool, now: Instant) {
        self.exceptions.insert(id.clone());
        if drains {
            self.spread.add(Item::Upstream(id), Urgency::Drain, now);
            self.hurry(now);
        } else {
            self.spread.add(Item::Upstream(id), Urgency::Ordinary, now);
        }
    }

    /// Starts the rounds in which an urgent change is sent ahead of the periodic heartbeats.
    pub(crate) fn hurry(&mut self, now: Instant) {
        if self.rounds == 0 && self.next_urgent < now {
            self.next_urgent = now;
        }
        self.rounds = URGENT_ROUNDS;
    }

    pub(crate) fn note_revision(&mut self, revision: Revision, id: NodeId) {
        if revision > self.newest.as_ref().map_or(0, |newest| newest.0) {
            self.newest = Some((revision, id));
        }
    }

    pub(crate) fn insert_node(&mut self, record: Record, now: Instant) -> NodeKey {
        let id = record.id.clone();
        let zone = record.zone.clone();
        let key = self.nodes.insert(Node::new(record, now));
        let pulse = self.nodes[key].pulse;
        self.by_id.insert(id, key);
        self.by_pulse.insert(pulse, key);
        let zone = self.zones.entry(zone).or_insert_with(|| Zone::new(now));
        zone.members.push(key);
        self.epoch += 1;
        key
    }

    pub(crate) fn remove_node(&mut self, key: NodeKey) {
        let Some(node) = self.nodes.remove(key) else {
            return;
        };
        self.by_id.remove(&node.record.id);
        if self.by_pulse.get(&node.pulse) == Some(&key) {
            self.by_pulse.remove(&node.pulse);
        }
        if let Some(zone) = self.zones.get_mut(&node.record.zone) {
            zone.members.retain(|&member| member != key);
        }
        self.spread.remove(&Item::Node(node.record.id));
        self.epoch += 1;
    }

    /// Copies this VM's own record among the others, so that roles and counts include it.
    pub(crate) fn store_me(&mut self, now: Instant) {
        self.me.counter = self.me.counter.max(self.clock.read(now));
        let node = &mut self.nodes[self.my_key];
        node.advanced = now;
        node.silent = false;
        if node.record.incarnation == self.me.incarnation {
            node.record.counter = self.me.counter;
            node.record.state = self.me.state;
            node.record.revision = self.me.revision;
        } else {
            node.record = self.me.clone();
            self.move_pulse(self.my_key);
        }
    }

    /// Raises the own incarnation above a claim that others may hold of this VM.
    pub(crate) fn raise(&mut self, above: u64, now: Instant) {
        self.me.incarnation = self.me.incarnation.max(above) + 1;
        self.store_me(now);
        self.spread
            .add(Item::Node(self.me.id.clone()), Urgency::Ordinary, now);
        self.hurry(now);
        self.epoch += 1;
    }

    /// Detects that this process was paused.
    ///
    /// Others may have taken over its roles, so it returns as a new incarnation. It has heard nothing meanwhile, so the
    /// silence of the others counts from now.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last);
        self.last = self.last.max(now);
        if gap <= PAUSE_LIMIT {
            return;
        }
        for node in self.nodes.values_mut() {
            node.advanced = now;
        }
        for zone in self.zones.values_mut() {
            zone.advanced = now;
        }
        self.confirmed.note_pause(now);
        self.lose_sync(now);
        self.raise(0, now);
    }
}
