//! An entry VM in virtual time: its state machines, its periodic work and the messages that it receives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::NodeId;
use base::QueryReply;
use base::Revision;
use base::UpstreamId;
use base::UpstreamState;
use conf::ConfigState;
use conf::Update;
use limit::Limits;
use member::Evidence;
use member::Health;
use member::Identity;
use member::View;
use once::ClaimResult;
use once::Home;
use once::HomeEvent;
use once::HomeOptions;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wire::BeatMessage;
use wire::BeatReply;

use crate::bench::network::Pool;
use crate::bench::world::AttemptEnd;
use crate::scenario::call::CallEnd;
use crate::scenario::file::Mechanism;
use crate::scenario::platform::CallError;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::scenario::world::Client;
use crate::scenario::world::Event;
use crate::scenario::world::RequestKey;
use crate::scenario::world::World;

/// Region of every VM; a scenario represents two regions by two zones with a partition between them.
pub(crate) const REGION: &str = "region";

/// Period at which the list of VMs is read, as in the runtime.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// Time without a reply after which an upstream is probed, as in the runtime.
const PROBE_AGE: Duration = Duration::from_secs(1);

/// Time for which a stopping node still accepts requests, so that the load balancer notices first.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// An event on a node; it is deferred while the node is paused, and lost when the node is down.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    Tick,
    /// Time to read the index and the configuration.
    Watch,
    /// Time to read the list of VMs.
    ReadList,
    /// A heartbeat from the node with this index.
    Beat(usize, Box<BeatMessage>),
    BeatReply(Box<BeatReply>),
    /// The node with this index requests the changes after a revision.
    Pull(usize, Revision),
    Pulled(Box<Update>),
    /// The result of a call to the platform, with the time of the call.
    PlatformReply(Instant, Request, Result<Reply, CallError>),
    /// The call with this index reaches the node.
    Call(usize),
    /// A claim request for a run on the node with this index.
    HomeRequest(usize, RequestKey, Box<once::Request>),
    HomeReply(RequestKey, ClaimResult),
    /// A claim request with this number, to which no reply will come.
    HomeReplyLost(RequestKey, u32),
    HomeWake,
    ClaimWake(RequestKey),
    QueryWake(RequestKey),
    /// An attempt checks again for a free connection.
    Lease(AttemptId),
    /// The connection for an attempt is ready.
    Write(AttemptId),
    AttemptEnd(AttemptId, Box<AttemptEnd>),
    /// A second copy of a reply, possibly one to another query.
    RepeatedReply(RequestKey, Box<QueryReply>),
    /// SIGTERM, which a frozen process receives when it resumes.
    Stop,
    /// The state in the reply of an upstream to a probe, with the time at which the probe was sent.
    Probed(UpstreamId, UpstreamState, Instant),
}

/// An entry VM.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) zone: usize,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    /// When it last resumed after a freeze.
    pub(crate) resumed: Option<Instant>,
    /// When it received SIGTERM.
    pub(crate) stopping: Option<Instant>,
    /// When its process exited after a planned stop.
    pub(crate) exited: Option<Instant>,
    pub(crate) view: View,
    pub(crate) conf: ConfigState,
    pub(crate) limits: Limits,
    pub(crate) home: Home,
    pub(crate) home_wake: Option<Instant>,
    pub(crate) index: Option<Arc<IndexState>>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) next_attempt: AttemptId,
    pub(crate) rng: Pcg64Mcg,
    /// Highest revision that has been in force in this process.
    pub(crate) max_revision: Revision,
    /// Time of the last reply of each upstream.
    last_replies: BTreeMap<UpstreamId, Instant>,
    pub(crate) pulling_since: Option<Instant>,
    pub(crate) roles_epoch: u64,
    /// Events deferred while the node is paused.
    backlog: Vec<(Option<u64>, NodeEvent)>,
}

impl Node {
    pub(crate) fn new(
        world: &World<'_>,
        idx: usize,
        id: &NodeId,
        zone: usize,
        incarnation: u64,
    ) -> Node {
        let number = idx as u64 + 1;
        let identity = Identity {
            id: id.clone(),
            zone: world.zones[zone].clone(),
            region: REGION.into(),
            addr: ([10, 0, 0, number as u8], 7000).into(),
            incarnation,
        };
        let mut tuning = limit::Tuning::default();
        tuning.share &= !world.is_disabled(Mechanism::Share);
        tuning.drain &= !world.is_disabled(Mechanism::Drain);
        let mut rng = world.rng.clone();
        let seed = rand::Rng::next_u64(&mut rng) ^ number << 32 ^ incarnation;
        Node {
            id: id.clone(),
            zone,
            incarnation,
            up: true,
            paused: false,
            resumed: None,
            stopping: None,
            exited: None,
            view: View::new(identity, world.now),
            conf: ConfigState::new(world.now),
            limits: Limits::new(world.zones[zone].clone(), REGION.into(), tuning),
            home: Home::new(HomeOptions::default()),
            home_wake: None,
            index: None,
            pools: vec![Pool::default(); world.hosts.len()],
            next_attempt: (number << 16 | incarnation) << 40,
            rng: Pcg64Mcg::seed_from_u64(seed),
            max_revision: 0,
            last_replies: BTreeMap::new(),
            pulling_since: None,
            roles_epoch: 0,
            backlog: Vec::new(),
        }
    }

    /// Returns whether the load balancer may send requests to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let has_data = self.conf.catalogue().is_some() && self.index.is_some();
        self.up && self.stopping.is_none() && has_data && self.view.nodes().count() > 1
    }

    /// Returns whether requests are refused because the process is about to exit.
    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        self.stopping.is_some_and(|at| now >= at + NOTICE_TIME)
    }

    pub(crate) fn refresh_shares(&mut self) {
        let Some(index) = &self.index else { return };
        for upstream in &index.upstreams {
            let share = self.view.connection_share(&upstream.id);
            self.limits
                .set_upstream(upstream, (share > 0).then_some(share));
        }
    }

    /// Records the state that an upstream reported in a reply to a request sent at `sent`.
    pub(crate) fn record_state(
        &mut self,
        upstream: &UpstreamId,
        state: UpstreamState,
        sent: Instant,
        now: Instant,
    ) {
        self.last_replies.insert(upstream.clone(), now);
        self.view.observe(upstream, Evidence::Replied(state), now);
        if let Some(key) = self.limits.key(upstream) {
            self.limits.record_state(key, state, sent, now);
        }
    }

    pub(crate) fn apply_drains(&mut self, now: Instant) {
        let Some(index) = &self.index else { return };
        for upstream in &index.upstreams {
            if self.view.health(&upstream.id, now) == Health::Draining
                && let Some(key) = self.limits.key(&upstream.id)
            {
                self.limits
                    .record_state(key, UpstreamState::Draining, now, now);
            }
        }
    }

    /// Lists the upstreams that this node is a holder of and has no recent reply from.
    pub(crate) fn silent_upstreams(&self, now: Instant) -> Vec<UpstreamId> {
        let recent = |id: &UpstreamId| {
            let replied = self.last_replies.get(id);
            replied.is_some_and(|at| now.saturating_duration_since(*at) < PROBE_AGE)
        };
        let groups = self.view.groups();
        groups
            .filter(|(name, group)| self.view.holders(name, &group.zone).contains(&&self.id))
            .flat_map(|(_, group)| &group.upstreams)
            .filter(|id| !recent(id))
            .cloned()
            .collect()
    }
}

impl World<'_> {
    /// Starts a process on a VM, with nothing but its settings.
    pub(crate) fn start_node(&mut self, idx: usize) {
        let node = &self.nodes[idx];
        let (id, zone, incarnation) = (node.id.clone(), node.zone, node.incarnation + 1);
        self.nodes[idx] = Node::new(self, idx, &id, zone, incarnation);
        for event in [NodeEvent::Tick, NodeEvent::Watch, NodeEvent::ReadList] {
            self.push(self.now, Event::Node(idx, Some(incarnation), event));
        }
        self.update_vm_list();
    }

    /// Ends a process abruptly, which breaks its connections and those of its callers.
    pub(crate) fn kill_node(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        node.up = false;
        let backlog = std::mem::take(&mut node.backlog);
        for (pool, host) in node.pools.iter_mut().zip(&mut self.hosts) {
            host.listener.close_all(pool);
        }
        for (_, event) in backlog {
            if let NodeEvent::Call(call) = event {
                self.end_call(call, CallEnd::Broken);
            }
        }
        self.break_calls(idx);
        self.update_vm_list();
    }

    pub(crate) fn resume_node(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        node.paused = false;
        node.resumed = Some(self.now);
        for (incarnation, event) in std::mem::take(&mut node.backlog) {
            self.push(self.now, Event::Node(idx, incarnation, event));
        }
    }

    fn stop_node(&mut self, idx: usize) {
        let now = self.now;
        if self.is_disabled(Mechanism::GracefulStop) {
            self.kill_node(idx);
            return;
        }
        let node = &mut self.nodes[idx];
        node.stopping = Some(now);
        node.view.leave(now);
    }

    /// Updates the VMs in service at the platform, whose list may lag behind.
    pub(crate) fn update_vm_list(&mut self) {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
        let list = up.map(|(idx, node)| base::Vm {
            id: node.id.clone(),
            role: base::VmRole::Entry,
            addr: ([10, 0, 0, idx as u8 + 1], 7000).into(),
            zone: self.zones[node.zone].clone(),
            region: REGION.into(),
            state: base::VmState::Live,
        });
        let list = list.collect();
        self.platform.set_vm_list(list, self.now);
    }

    pub(crate) fn handle_node(&mut self, idx: usize, incarnation: Option<u64>, event: NodeEvent) {
        let node = &mut self.nodes[idx];
        let same = incarnation.is_none_or(|incarnation| incarnation == node.incarnation);
        if !node.up || !same {
            if let NodeEvent::Call(call) = event {
                self.end_call(call, CallEnd::Broken);
            }
            return;
        }
        if node.paused {
            node.backlog.push((incarnation, event));
            return;
        }
        match event {
            NodeEvent::Tick => self.tick(idx),
            NodeEvent::Watch => self.poll_platform(idx),
            NodeEvent::ReadList => {
                self.call_from_node(idx, Request::List);
                self.schedule_on_node(idx, LIST_PERIOD, NodeEvent::ReadList);
            }
            NodeEvent::Beat(from, beat) => self.receive_beat(idx, from, &beat),
            NodeEvent::BeatReply(reply) => self.receive_beat_reply(idx, &reply),
            NodeEvent::Pull(from, since) => {
                if let Some(update) = self.nodes[idx].conf.update_since(since) {
                    self.send_peer(idx, from, NodeEvent::Pulled(Box::new(update)));
                }
            }
            NodeEvent::Pulled(update) => self.apply_update(idx, *update),
            NodeEvent::PlatformReply(sent, request, result) => {
                self.receive_platform_reply(idx, sent, request, result)
            }
            NodeEvent::Call(call) => self.receive_call(idx, call),
            NodeEvent::HomeRequest(from, run, request) => {
                self.receive_home_request(idx, from, run, *request)
            }
            NodeEvent::HomeReply(run, result) => {
                self.drive_claim(run, once::ClaimantEvent::HomeReplied(result));
            }
            NodeEvent::HomeReplyLost(run, number) => {
                self.drive_claim(run, once::ClaimantEvent::HomeReplyLost(number));
            }
            NodeEvent::HomeWake => {
                if self.nodes[idx].home_wake == Some(self.now) {
                    self.drive_home(idx, HomeEvent::Wake);
                }
            }
            NodeEvent::ClaimWake(run) => self.wake_claim(run),
            NodeEvent::QueryWake(run) => self.drive_query(run, query::Event::Wake),
            NodeEvent::Lease(attempt) => self.lease(attempt),
            NodeEvent::Write(attempt) => self.write(attempt),
            NodeEvent::AttemptEnd(attempt, end) => self.end_attempt(attempt, *end),
            NodeEvent::RepeatedReply(run, reply) => {
                self.drive_query(run, query::Event::Reply(*reply))
            }
            NodeEvent::Stop => self.stop_node(idx),
            NodeEvent::Probed(upstream, state, sent) => {
                let now = self.now;
                self.nodes[idx].record_state(&upstream, state, sent, now);
            }
        }
    }

    pub(crate) fn schedule_on_node(&mut self, idx: usize, after: Duration, event: NodeEvent) {
        let incarnation = Some(self.nodes[idx].incarnation);
        self.push(self.now + after, Event::Node(idx, incarnation, event));
    }

    pub(crate) fn call_from_node(&mut self, idx: usize, request: Request) {
        let client = Client::Node(idx, self.nodes[idx].incarnation);
        self.call_platform(client, request);
    }
}
