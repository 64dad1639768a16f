//! The event loop of one case: one heap of events in virtual time.

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
use crate::bench::node::Call;
use crate::bench::node::Node;
use crate::bench::node::Running;
use crate::bench::workload::Workload;
use crate::event_queue::EventQueue;
use crate::server;
use crate::server::Server;

/// Time before the measured time, in which the tier learns reply times and connections are opened.
const WARM_UP: Duration = Duration::from_secs(3);

/// Longest time until a node learns of a change of the platform's object.
const INDEX_LAG: Duration = Duration::from_millis(200);

new_key_type! {
    /// Key of a query that has not ended or has sub-requests outstanding.
    pub(crate) struct QueryKey;
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends its request.
    Arrive,
    /// A request reaches a node.
    Receive(usize, Box<Call>),
    /// A query that waits for admission expires.
    Expire(usize),
    /// A query asked to be called.
    Wake(QueryKey),
    /// A message reaches a server.
    Deliver(usize, Box<server::Event>),
    /// A server asked to be called.
    Serve(usize),
    /// A sub-request ends on its node.
    End(AttemptId, Box<AttemptEnd>),
    /// A reply reaches its node a second time.
    Repeat(QueryKey, Box<base::QueryReply>),
    /// A connection that carried a cancellation is free.
    Free(usize, usize, u32),
    /// A step of the condition.
    Step(usize),
    /// A node learns of a change of the index.
    Learn(usize, Arc<IndexState>),
}

/// How a sub-request ends.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// With a reply.
    Reply(base::QueryReply),
    /// With a failure; with the state if the server gave one.
    Failure(query::Failure, Option<base::UpstreamState>),
}

/// A sub-request on its way.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) query: QueryKey,
    pub(crate) node: usize,
    pub(crate) server: usize,
    pub(crate) shard: base::ShardId,
    pub(crate) snapshot: Snapshot,
    pub(crate) deadline: Instant,
    pub(crate) sent: Instant,
    /// The epoch of the port if a connection is in use.
    pub(crate) connection: Option<u32>,
}

/// A server with its port.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) model: Server,
    pub(crate) port: Listener,
    pub(crate) zone: usize,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) wake: Option<Instant>,
}

/// The state of one case.
pub(crate) struct World<'a> {
    pub(crate) workload: &'a Workload,
    pub(crate) policy: Policy,
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) numbers: HashMap<UpstreamId, usize>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) running: SlotMap<QueryKey, Running>,
    pub(crate) flights: HashMap<AttemptId, Flight>,
    pub(crate) maps: BTreeMap<MapId, ShardMap>,
    pub(crate) cut: Option<usize>,
    pub(crate) tally: Recorder,
    pub(crate) rng: Pcg64Mcg,
    agenda: EventQueue<Instant, Event>,
    arrivals: Pcg64Mcg,
    ideals: Pcg64Mcg,
    gap: Exp<f64>,
    calls: u64,
    steps: Vec<Step>,
    measure: (Instant, Instant),
    busy: Duration,
}

/// Runs one case and returns its figures.
pub(crate) fn run_case(
    workload: &Workload,
    condition: Condition,
    policy: Policy,
    seed: u64,
    measured: Duration,
) -> Case {
    let mut world = World::new(workload, condition, policy, seed, measured);
    while let Some((at, event)) = world.agenda.pop() {
        if world.now < world.measure.1 && at >= world.measure.1 {
            world.busy = world.sum_busy() - world.busy;
        }
        world.now = at;
        world.handle(event);
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
        // Callers are drawn without regard to the policy, so that the policies are compared on the same requests.
        let common = seed ^ base::hash_key(&workload.name) ^ base::hash_key(condition.name());
        let own = common ^ base::hash_key(policy.name());
        let now = Instant::now();
        let from = now + WARM_UP;
        let rate = workload.rate(condition.load());
        let mut world = World {
            workload,
            policy,
            now,
            hosts: build_hosts(workload, own, now),
            numbers: number_servers(workload),
            nodes: (0..workload.nodes as usize)
                .map(|at| Node::new(workload, policy, at, own))
                .collect(),
            running: SlotMap::with_key(),
            flights: HashMap::new(),
            maps: BTreeMap::new(),
            cut: None,
            tally: Recorder::new(workload.services.len()),
            rng: Pcg64Mcg::seed_from_u64(own),
            agenda: EventQueue::new(),
            arrivals: Pcg64Mcg::seed_from_u64(common),
            ideals: Pcg64Mcg::seed_from_u64(common ^ 1),
            gap: Exp::new(rate).expect("the rate is positive"),
            calls: 0,
            steps: Vec::new(),
            measure: (from, from + measured),
            busy: Duration::ZERO,
        };
        world.note_maps(&workload.index);
        for (number, (at, step)) in condition.steps(workload).into_iter().enumerate() {
            let at = if at < 0.0 {
                now
            } else {
                from + measured.mul_f64(at)
            };
            if let Step::Index(state) = &step {
                world.note_maps(state);
            }
            world.steps.push(step);
            world.push(at, Event::Step(number));
        }
        world.push(now, Event::Arrive);
        world
    }

    fn note_maps(&mut self, state: &IndexState) {
        for map in &state.maps {
            self.maps.insert(map.map, map.clone());
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        self.agenda.push(at.max(self.now), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Receive(node, call) => self.receive(node, *call),
            Event::Expire(node) => self.expire(node),
            Event::Wake(key) => self.drive(key, query::Event::Wake),
            Event::Deliver(server, message) => self.serve(server, *message),
            Event::Serve(server) => {
                if self.hosts[server].wake == Some(self.now) {
                    self.hosts[server].wake = None;
                    self.serve(server, server::Event::Wake);
                }
            }
            Event::End(attempt, ending) => self.end(attempt, *ending),
            Event::Repeat(key, reply) => self.drive(key, query::Event::Reply(*reply)),
            Event::Free(node, server, epoch) => self.free(node, server, epoch),
            Event::Step(number) => self.step(number),
            Event::Learn(node, index) => self.nodes[node].index = index,
        }
    }

    fn arrive(&mut self) {
        let gap = Duration::from_secs_f64(self.gap.sample(&mut self.arrivals));
        if self.now + gap < self.measure.1 {
            self.push(self.now + gap, Event::Arrive);
        }
        if self.calls > 0 && self.busy.is_zero() && self.now >= self.measure.0 {
            self.busy = self.sum_busy();
        }
        let node = self.arrivals.random_range(0..self.nodes.len());
        let (service, request) = self.workload.draw_request(&mut self.arrivals);
        self.calls += 1;
        let call = Call {
            number: self.calls,
            service,
            request,
            asked: self.now,
            recorded: self.now >= self.measure.0,
        };
        if call.recorded {
            let ideal = draw_ideal(
                self.workload,
                &self.hosts,
                &call,
                (self.nodes[node].zone, self.cut),
                self.now,
                &mut self.ideals,
            );
            self.tally.offer(ideal);
        }
        self.push(
            self.now + CALLER_DELAY,
            Event::Receive(node, Box::new(call)),
        );
    }

    fn step(&mut self, number: usize) {
        match self.steps[number].clone() {
            Step::Cut(zone) => self.cut = zone,
            Step::Index(state) => {
                let state = Arc::new(state);
                for node in 0..self.nodes.len() {
                    let lag = INDEX_LAG.mul_f64(self.rng.random());
                    self.push(self.now + lag, Event::Learn(node, state.clone()));
                }
            }
            Step::Fault(server, fault) => {
                let lost = matches!(
                    fault,
                    crate::fault::Fault::Stop | crate::fault::Fault::Restart
                );
                if lost {
                    let pools = self.nodes.iter_mut().map(|node| &mut node.pools[server]);
                    self.hosts[server].port.reset(pools);
                }
                self.serve(server, server::Event::Fault(fault));
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
            let share = f64::from(host.port.peak) / f64::from(host.model.settings().connections);
            connections = connections.max(share);
            self.tally.violations.connections += host.port.refused;
        }
        self.tally.violations.reruns = runs.values().filter(|count| **count > 1).count() as u64;
        let mut case =
            self.tally
                .finish(self.workload, condition, self.policy, measured, self.busy);
        case.connections = connections;
        case
    }
}

fn build_hosts(workload: &Workload, seed: u64, now: Instant) -> Vec<Host> {
    let build = |settings: &crate::settings::Settings| Host {
        model: Server::new(settings.clone(), &workload.index.maps, now),
        port: Listener::new(settings.connections),
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

fn number_servers(workload: &Workload) -> HashMap<UpstreamId, usize> {
    let servers = workload.servers.iter().enumerate();
    servers
        .map(|(number, settings)| (settings.id.clone(), number))
        .collect()
}
