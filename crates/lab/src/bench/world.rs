//! The event loop of one case in virtual time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::MapId;
use base::ShardMap;
use base::Snapshot;
use base::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::bench::condition::Condition;
use crate::bench::condition::Policy;
use crate::bench::condition::Step;
use crate::bench::ideal::draw_ideal;
use crate::bench::metrics::Case;
use crate::bench::metrics::Recorder;
use crate::bench::network::CALLER_DELAY;
use crate::bench::network::Listener;
use crate::bench::node::ActiveRequest;
use crate::bench::node::CallerRequest;
use crate::bench::node::Node;
use crate::bench::workload::Workload;
use crate::event_queue::EventQueue;
use crate::server;
use crate::server::Server;

/// Time before the measured time, in which reply times are collected and connections are opened.
const WARM_UP: Duration = Duration::from_secs(3);

/// Maximum time until a change of the platform's index object reaches a node.
const MAX_INDEX_LAG: Duration = Duration::from_millis(200);

new_key_type! {
    /// Key of a request whose query has not finished or has outstanding sub-requests.
    pub(crate) struct RequestKey;
}

/// An event of a case; nodes, servers and steps are given by their indexes.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends a request.
    Arrive,
    /// A request reaches a node.
    Receive(usize, Box<CallerRequest>),
    /// A request in the admission queue of a node reaches its deadline.
    Expire(usize),
    /// A query's scheduled wake-up is due.
    Wake(RequestKey),
    /// A message reaches a server.
    Deliver(usize, Box<server::Event>),
    /// A server's scheduled wake-up is due.
    ServerWake(usize),
    /// A sub-request ends on its node.
    AttemptEnd(AttemptId, Box<AttemptEnd>),
    /// A reply reaches its node a second time.
    RepeatedReply(RequestKey, Box<base::QueryReply>),
    /// A node releases the connection to a server, of the given epoch, that carried a cancellation.
    ReleaseConnection(usize, usize, u32),
    /// A step of the condition takes effect.
    Step(usize),
    /// A change of the index reaches a node.
    UpdateIndex(usize, Arc<IndexState>),
}

/// The result of a sub-request as its node sees it.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The server replied.
    Reply(base::QueryReply),
    /// The sub-request failed; the state of the server is known if it sent a rejection.
    Failure(query::Failure, Option<base::UpstreamState>),
}

/// A sub-request that has not ended on its node.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) request: RequestKey,
    pub(crate) node: usize,
    pub(crate) server: usize,
    pub(crate) shard: base::ShardId,
    pub(crate) snapshot: Snapshot,
    pub(crate) deadline: Instant,
    pub(crate) sent: Instant,
    /// Epoch of the listener if the sub-request holds a connection.
    pub(crate) connection: Option<u32>,
}

/// A modelled server with its listener.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) model: Server,
    pub(crate) listener: Listener,
    pub(crate) zone: usize,
    pub(crate) rng: Pcg64Mcg,
    /// Earliest scheduled wake-up of the server.
    pub(crate) wake: Option<Instant>,
}

/// The state of one case.
pub(crate) struct World<'a> {
    pub(crate) workload: &'a Workload,
    pub(crate) policy: Policy,
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) server_indexes: HashMap<UpstreamId, usize>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) active: SlotMap<RequestKey, ActiveRequest>,
    pub(crate) pending: HashMap<AttemptId, PendingAttempt>,
    /// Every shard map that is used during the case.
    pub(crate) maps: BTreeMap<MapId, ShardMap>,
    /// Zone that a network partition separates from the others.
    pub(crate) isolated_zone: Option<usize>,
    pub(crate) recorder: Recorder,
    pub(crate) rng: Pcg64Mcg,
    events: EventQueue<Instant, Event>,
    arrival_rng: Pcg64Mcg,
    ideal_rng: Pcg64Mcg,
    /// Distribution of the seconds between two requests.
    interarrival: Exp<f64>,
    request_count: u64,
    steps: Vec<Step>,
    /// Start and end of the measured time.
    measured_span: (Instant, Instant),
    /// Busy time of all servers before the measured time, and after its end the busy time within it.
    busy: Duration,
}

/// Runs one case and returns its metrics.
pub(crate) fn run_case(
    workload: &Workload,
    condition: Condition,
    policy: Policy,
    seed: u64,
    measured: Duration,
) -> Case {
    let mut world = World::new(workload, condition, policy, seed, measured);
    while let Some((at, event)) = world.events.pop() {
        if world.now < world.measured_span.1 && at >= world.measured_span.1 {
            world.busy = world.sum_busy() - world.busy;
        }
        world.now = at;
        world.handle_event(event);
    }
    world.finish(condition, measured)
}

impl<'a> World<'a> {
    fn new(
        workload: &'a Workload,
        condition: Condition,
        policy: Policy,
        seed: u64,
        measured: Duration,
    ) -> World<'a> {
        // The seed of the requests does not depend on the policy, so that all policies get the same requests.
        let shared_seed = seed ^ base::hash_key(&workload.name) ^ base::hash_key(condition.name());
        let policy_seed = shared_seed ^ base::hash_key(policy.name());
        let now = Instant::now();
        let from = now + WARM_UP;
        let rate = workload.query_rate(condition.load());
        let mut world = World {
            workload,
            policy,
            now,
            hosts: build_hosts(workload, policy_seed, now),
            server_indexes: index_servers(workload),
            nodes: (0..workload.node_count as usize)
                .map(|index| Node::new(workload, policy, index, policy_seed))
                .collect(),
            active: SlotMap::with_key(),
            pending: HashMap::new(),
            maps: BTreeMap::new(),
            isolated_zone: None,
            recorder: Recorder::new(workload.services.len()),
            rng: Pcg64Mcg::seed_from_u64(policy_seed),
            events: EventQueue::new(),
            arrival_rng: Pcg64Mcg::seed_from_u64(shared_seed),
            ideal_rng: Pcg64Mcg::seed_from_u64(shared_seed ^ 1),
            interarrival: Exp::new(rate).expect("the rate is positive"),
            request_count: 0,
            steps: Vec::new(),
            measured_span: (from, from + measured),
            busy: Duration::ZERO,
        };
        world.add_maps(&workload.index);
        for (index, (fraction, step)) in condition.steps(workload).into_iter().enumerate() {
            let time = if fraction < 0.0 {
                now
            } else {
                from + measured.mul_f64(fraction)
            };
            if let Step::Index(state) = &step {
                world.add_maps(state);
            }
            world.steps.push(step);
            world.push(time, Event::Step(index));
        }
        world.push(now, Event::Arrive);
        world
    }

    fn add_maps(&mut self, state: &IndexState) {
        for map in &state.maps {
            self.maps.insert(map.map, map.clone());
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.generate_request(),
            Event::Receive(node, request) => self.receive(node, *request),
            Event::Expire(node) => self.refuse_expired(node),
            Event::Wake(key) => self.drive_query(key, query::Event::Wake),
            Event::Deliver(server, message) => self.handle_server(server, *message),
            Event::ServerWake(server) => {
                if self.hosts[server].wake == Some(self.now) {
                    self.hosts[server].wake = None;
                    self.handle_server(server, server::Event::Wake);
                }
            }
            Event::AttemptEnd(attempt, end) => self.end_attempt(attempt, *end),
            Event::RepeatedReply(key, reply) => self.drive_query(key, query::Event::Reply(*reply)),
            Event::ReleaseConnection(node, server, epoch) => {
                self.release_connection(node, server, epoch)
            }
            Event::Step(index) => self.apply_step(index),
            Event::UpdateIndex(node, index) => self.nodes[node].index = index,
        }
    }

    /// Sends a caller's request to a random node and schedules the next one.
    fn generate_request(&mut self) {
        let gap = Duration::from_secs_f64(self.interarrival.sample(&mut self.arrival_rng));
        if self.now + gap < self.measured_span.1 {
            self.push(self.now + gap, Event::Arrive);
        }
        if self.request_count > 0 && self.busy.is_zero() && self.now >= self.measured_span.0 {
            self.busy = self.sum_busy();
        }
        let node = self.arrival_rng.random_range(0..self.nodes.len());
        let (service_index, request_index) = self.workload.draw_request(&mut self.arrival_rng);
        self.request_count += 1;
        let request = CallerRequest {
            number: self.request_count,
            service_index,
            request_index,
            sent: self.now,
            recorded: self.now >= self.measured_span.0,
        };
        if request.recorded {
            let ideal = draw_ideal(
                self.workload,
                &self.hosts,
                &request,
                (self.nodes[node].zone, self.isolated_zone),
                self.now,
                &mut self.ideal_rng,
            );
            self.recorder.record_offered(ideal);
        }
        self.push(
            self.now + CALLER_DELAY,
            Event::Receive(node, Box::new(request)),
        );
    }

    fn apply_step(&mut self, index: usize) {
        match self.steps[index].clone() {
            Step::Partition(zone) => self.isolated_zone = zone,
            Step::Index(state) => {
                let state = Arc::new(state);
                for node in 0..self.nodes.len() {
                    let lag = MAX_INDEX_LAG.mul_f64(self.rng.random());
                    self.push(self.now + lag, Event::UpdateIndex(node, state.clone()));
                }
            }
            Step::Fault(server, fault) => {
                let drops_connections = matches!(
                    fault,
                    crate::fault::Fault::Stop | crate::fault::Fault::Restart
                );
                if drops_connections {
                    let pools = self.nodes.iter_mut().map(|node| &mut node.pools[server]);
                    self.hosts[server].listener.reset(pools);
                }
                self.handle_server(server, server::Event::Fault(fault));
            }
        }
    }

    fn sum_busy(&self) -> Duration {
        let busy = self.hosts.iter().map(|host| host.model.counts().busy);
        busy.sum()
    }

    fn finish(mut self, condition: Condition, measured: Duration) -> Case {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        let mut connections = 0.0_f64;
        for host in &self.hosts {
            for (key, count) in host.model.runs() {
                *runs.entry(key).or_default() += count;
            }
            let share =
                f64::from(host.listener.peak) / f64::from(host.model.settings().connections);
            connections = connections.max(share);
            self.recorder.violations.connections += host.listener.refused;
        }
        self.recorder.violations.reruns = runs.values().filter(|count| **count > 1).count() as u64;
        let mut case =
            self.recorder
                .finish(self.workload, condition, self.policy, measured, self.busy);
        case.connections = connections;
        case
    }
}

fn build_hosts(workload: &Workload, seed: u64, now: Instant) -> Vec<Host> {
    let build = |settings: &crate::server_settings::ServerSettings| Host {
        model: Server::new(settings.clone(), &workload.index.maps, now),
        listener: Listener::new(settings.connections),
        zone: workload
            .zones
            .iter()
            .position(|zone| *zone == settings.zone)
            .unwrap_or(0),
        rng: Pcg64Mcg::seed_from_u64(seed ^ base::hash_key(&settings.id)),
        wake: None,
    };
    workload.servers.iter().map(build).collect()
}

fn index_servers(workload: &Workload) -> HashMap<UpstreamId, usize> {
    let servers = workload.servers.iter().enumerate();
    servers
        .map(|(index, settings)| (settings.id.clone(), index))
        .collect()
}
