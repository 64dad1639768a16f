//! A node's view of the fleet.

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
use crate::clock::TokenBucket;
use crate::clock::ZoneClock;
use crate::confirm::LatestConfirmation;
use crate::gossip::GossipItem;
use crate::gossip::GossipQueue;
use crate::gossip::Priority;
use crate::group::divide_upstreams;
use crate::params::PAUSE_THRESHOLD;
use crate::params::URGENT_BURST_BYTES;
use crate::params::URGENT_BYTES_PER_SECOND;
use crate::params::URGENT_ROUNDS;
use crate::scan::is_large_share;
use crate::sync::SyncState;
use crate::upstream::Placement;
use crate::upstream::UpstreamEntry;
use crate::zone::Zone;

slotmap::new_key_type! {
    /// Key of an entry VM within one view.
    pub(crate) struct NodeKey;
}

/// Identity of a VM, taken from its settings.
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
    /// Higher than in any earlier process with the same identifier, such as the start time; never zero.
    pub incarnation: u64,
}

/// The state of the fleet as known to one entry VM; it does no I/O and reads no clock.
#[derive(Debug)]
pub struct View {
    pub(crate) me: Record,
    pub(crate) my_key: NodeKey,
    pub(crate) nodes: SlotMap<NodeKey, Node>,
    pub(crate) by_id: BTreeMap<NodeId, NodeKey>,
    pub(crate) by_pulse: HashMap<u32, NodeKey>,
    pub(crate) zones: BTreeMap<ZoneName, Zone>,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
    /// Upstreams whose drain state is gossiped: those that are draining and those whose drain ended recently.
    pub(crate) drain_records: BTreeSet<UpstreamId>,
    pub(crate) groups: BTreeMap<GroupName, Group>,
    pub(crate) clock: ZoneClock,
    pub(crate) gossip: GossipQueue,
    pub(crate) urgent_budget: TokenBucket,
    /// Pulse keys without a record, to request with the next heartbeat.
    pub(crate) wanted_keys: BTreeSet<u32>,
    pub(crate) newest_revision: Option<(Revision, NodeId)>,
    pub(crate) confirmation: LatestConfirmation,
    pub(crate) has_list: bool,
    /// Largest recent number of VMs, with the time at which it was counted.
    pub(crate) peak_nodes: (u32, Instant),
    pub(crate) last_partition: Option<Instant>,
    pub(crate) roles_epoch: u64,
    /// Rounds of urgent heartbeats that remain.
    pub(crate) urgent_rounds: u8,
    pub(crate) next_urgent: Instant,
    pub(crate) next_beat: Option<Instant>,
    pub(crate) next_remote: Option<Instant>,
    pub(crate) next_scan: Instant,
    pub(crate) next_removal: Instant,
    pub(crate) node_cursor: NodeId,
    pub(crate) upstream_cursor: UpstreamId,
    pub(crate) zone_cursor: ZoneName,
    pub(crate) sync: SyncState,
    /// Time of the last call, by which pauses are detected.
    pub(crate) last_call: Instant,
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
            drain_records: BTreeSet::new(),
            groups: BTreeMap::new(),
            clock: ZoneClock::new(now),
            gossip: GossipQueue::default(),
            urgent_budget: TokenBucket::new(URGENT_BYTES_PER_SECOND, URGENT_BURST_BYTES, now),
            wanted_keys: BTreeSet::new(),
            newest_revision: None,
            confirmation: LatestConfirmation::default(),
            has_list: false,
            peak_nodes: (1, now),
            last_partition: None,
            roles_epoch: 0,
            // A new VM announces itself immediately, and the replies bring what it has missed.
            urgent_rounds: URGENT_ROUNDS,
            next_urgent: now,
            next_beat: None,
            next_remote: None,
            next_scan: now,
            next_removal: now,
            node_cursor: me.id.clone(),
            upstream_cursor: UpstreamId::default(),
            zone_cursor: ZoneName::default(),
            sync: SyncState::Waiting(now),
            last_call: now,
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

    /// Returns the summary of a zone and whether the zone is reachable.
    pub fn zone(&self, zone: &str) -> Option<(&Summary, bool)> {
        let zone = self.zones.get(zone)?;
        Some((&zone.summary, zone.reachable))
    }

    /// Returns the names of all known zones, ascending.
    pub fn zone_names(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Returns a number that rises whenever roles may have changed, so that callers can cache them.
    pub fn roles_epoch(&self) -> u64 {
        self.roles_epoch
    }

    /// Returns the highest revision in force on any known VM, with one VM that has it.
    pub fn newest_revision(&self) -> Option<(Revision, &NodeId)> {
        self.newest_revision
            .as_ref()
            .map(|(revision, id)| (*revision, id))
    }

    /// Merges the platform's list of VMs.
    ///
    /// The list lags, so it only adds VMs and updates those that no peer message has mentioned. VMs that it omits are
    /// removed later, if their heartbeats have stopped as well.
    pub fn merge_vm_list(&mut self, list: &[Vm], now: Instant) {
        self.has_list = true;
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
                    // Such a VM announces its own shutdown; the list may still describe its previous process.
                    if !self.nodes[key].was_heard() {
                        self.nodes[key].record.merge(&record);
                    }
                    key
                }
                None => self.insert_node(record, now),
            };
            self.nodes[key].last_listed = Some(now);
        }
        self.keep_missing_nodes(now);
        self.roles_epoch += 1;
    }

    /// Treats missing VMs as listed if they are a large share of the fleet, since the list is then probably wrong.
    fn keep_missing_nodes(&mut self, now: Instant) {
        let listed =
            |node: &&mut Node| node.last_listed.is_some() && node.record.state != NodeState::Dead;
        let known = self.nodes.values_mut().filter(listed).count();
        let listed_now = self
            .nodes
            .values_mut()
            .filter(listed)
            .filter(|node| node.last_listed == Some(now))
            .count();
        if is_large_share(known - listed_now, known) {
            for node in self.nodes.values_mut().filter(listed) {
                node.last_listed = Some(now);
            }
        }
    }

    /// Replaces the upstreams of one index by those that the platform reports.
    ///
    /// Upstreams that are missing become `Gone` on this node. This is not gossiped, since reads of the platform may
    /// lag.
    pub fn set_upstreams(&mut self, index: &IndexName, upstreams: &[Upstream], now: Instant) {
        let mut zones: BTreeMap<&ZoneName, Vec<UpstreamId>> = BTreeMap::new();
        for upstream in upstreams {
            let ids = zones.entry(&upstream.zone).or_default();
            ids.push(upstream.id.clone());
        }
        self.groups.retain(|_, group| group.index != *index);
        for entry in self.upstreams.values_mut() {
            if entry.placement.take_if(|p| p.index == *index).is_some() {
                entry.last_change = now;
            }
        }
        let limits: BTreeMap<&UpstreamId, u32> =
            upstreams.iter().map(|u| (&u.id, u.connections)).collect();
        for (zone, ids) in zones {
            for (name, members) in divide_upstreams(index, zone, &ids) {
                for id in &members {
                    let entry = self.upstreams.entry(id.clone());
                    entry.or_insert_with(|| UpstreamEntry::new(now)).placement = Some(Placement {
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
        self.roles_epoch += 1;
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
        self.drain_records.iter().filter(draining)
    }

    /// Returns the health of an upstream, based on this node's observations and those of others.
    pub fn health(&self, upstream: &str, now: Instant) -> Health {
        match self.upstreams.get(upstream) {
            Some(entry) => entry.health(self.quorum(entry), now),
            None => Health::Gone,
        }
    }

    /// Records the revision in force on this VM; a higher one is announced before the next periodic heartbeat.
    pub fn set_revision(&mut self, revision: Revision, now: Instant) {
        if revision > self.me.revision {
            self.me.revision = revision;
            self.update_newest_revision(revision, self.me.id.clone());
            self.update_own_node(now);
            self.start_urgent_rounds(now);
        }
    }

    /// Announces that this VM is shutting down, so that its roles move to other VMs.
    pub fn leave(&mut self, now: Instant) {
        if self.me.state != NodeState::Leaving {
            self.me.state = NodeState::Leaving;
            self.update_own_node(now);
            self.roles_epoch += 1;
            self.start_urgent_rounds(now);
        }
    }

    /// Records an observation that this node made of an upstream.
    pub fn observe(&mut self, upstream: &UpstreamId, evidence: Evidence, now: Instant) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        match evidence {
            Evidence::Replied(state) => {
                if entry.observe_reply(state, now) {
                    let draining = state == UpstreamState::Draining;
                    self.gossip_upstream(upstream.clone(), draining, now);
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
        // In a partition, connections to all upstreams of the other side fail; their reports would crowd out other
        // changes.
        let reachable = entry
            .placement
            .as_ref()
            .and_then(|place| self.zones.get(&place.zone))
            .is_none_or(|zone| zone.reachable);
        if entry.reported_recently(&self.me.id, now) || !reachable {
            return;
        }
        if entry.record_failure(&self.me.id, sequence, now) {
            let item = GossipItem::Report(upstream.clone(), self.me.id.clone());
            self.gossip.add(item, Priority::Report, now);
        }
    }

    pub(crate) fn gossip_upstream(&mut self, id: UpstreamId, draining: bool, now: Instant) {
        self.drain_records.insert(id.clone());
        if draining {
            self.gossip
                .add(GossipItem::Upstream(id), Priority::Drain, now);
            self.start_urgent_rounds(now);
        } else {
            self.gossip
                .add(GossipItem::Upstream(id), Priority::Ordinary, now);
        }
    }

    /// Starts the rounds of urgent heartbeats, which are sent between the periodic ones.
    pub(crate) fn start_urgent_rounds(&mut self, now: Instant) {
        if self.urgent_rounds == 0 && self.next_urgent < now {
            self.next_urgent = now;
        }
        self.urgent_rounds = URGENT_ROUNDS;
    }

    pub(crate) fn update_newest_revision(&mut self, revision: Revision, id: NodeId) {
        if revision > self.newest_revision.as_ref().map_or(0, |newest| newest.0) {
            self.newest_revision = Some((revision, id));
        }
    }

    pub(crate) fn insert_node(&mut self, record: Record, now: Instant) -> NodeKey {
        let id = record.id.clone();
        let zone = record.zone.clone();
        let key = self.nodes.insert(Node::new(record, now));
        let pulse = self.nodes[key].pulse_key;
        self.by_id.insert(id, key);
        self.by_pulse.insert(pulse, key);
        let zone = self.zones.entry(zone).or_insert_with(|| Zone::new(now));
        zone.members.push(key);
        self.roles_epoch += 1;
        key
    }

    pub(crate) fn remove_node(&mut self, key: NodeKey) {
        let Some(node) = self.nodes.remove(key) else {
            return;
        };
        self.by_id.remove(&node.record.id);
        if self.by_pulse.get(&node.pulse_key) == Some(&key) {
            self.by_pulse.remove(&node.pulse_key);
        }
        if let Some(zone) = self.zones.get_mut(&node.record.zone) {
            zone.members.retain(|&member| member != key);
        }
        self.gossip.remove(&GossipItem::Node(node.record.id));
        self.roles_epoch += 1;
    }

    /// Copies this VM's own record to its entry among the nodes, so that roles and counts include it.
    pub(crate) fn update_own_node(&mut self, now: Instant) {
        self.me.counter = self.me.counter.max(self.clock.read(now));
        let node = &mut self.nodes[self.my_key];
        node.last_advance = now;
        node.silent = false;
        if node.record.incarnation == self.me.incarnation {
            node.record.counter = self.me.counter;
            node.record.state = self.me.state;
            node.record.revision = self.me.revision;
        } else {
            node.record = self.me.clone();
            self.update_pulse_key(self.my_key);
        }
    }

    /// Raises the own incarnation above the given one, to override records of this VM that others hold.
    pub(crate) fn raise_incarnation(&mut self, above: u64, now: Instant) {
        self.me.incarnation = self.me.incarnation.max(above) + 1;
        self.update_own_node(now);
        self.gossip.add(
            GossipItem::Node(self.me.id.clone()),
            Priority::Ordinary,
            now,
        );
        self.start_urgent_rounds(now);
        self.roles_epoch += 1;
    }

    /// Detects that this process was paused.
    ///
    /// Others may have taken over its roles, so it returns with a new incarnation. It received nothing during the
    /// pause, so the silence of other VMs and zones is measured from now.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        for node in self.nodes.values_mut() {
            node.last_advance = now;
        }
        for zone in self.zones.values_mut() {
            zone.last_advance = now;
        }
        self.confirmation.ignore_after_pause(now);
        self.start_sync(now);
        self.raise_incarnation(0, now);
    }
}
