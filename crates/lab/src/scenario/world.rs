//! The event loop of one scenario in virtual time, with network delays and partitions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexVersion;
use base::MapId;
use base::ShardMap;
use base::UpstreamId;
use base::ZoneName;
use compact_str::CompactString;
use once::ClockReading;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::bench::network::Listener;
use crate::bench::network::find_delay;
use crate::event_queue::EventQueue;
use crate::scenario::call::ActiveRequest;
use crate::scenario::call::CallRecord;
use crate::scenario::exchange::PendingAttempt;
use crate::scenario::file::Mechanism;
use crate::scenario::file::PLATFORM;
use crate::scenario::file::ScenarioFile;
use crate::scenario::node::Node;
use crate::scenario::node::NodeEvent;
use crate::scenario::operator::Operator;
use crate::scenario::platform::CallError;
use crate::scenario::platform::Platform;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::server;
use crate::server::Server;

/// Time before the first step, in which the nodes discover each other and read the configuration and the index.
pub(crate) const WARM_UP: Duration = Duration::from_secs(10);

/// Wall-clock time at the beginning of the warm-up.
const START_WALL_MS: u64 = 1_000_000_000;

/// Timeout of a call to the platform, as in `store`.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a connection attempt to an unreachable platform fails.
const PLATFORM_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of a request in progress on a node.
    pub(crate) struct RequestKey;
}

/// A client of the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Client {
    /// A node, with its incarnation.
    Node(usize, u64),
    /// An operator, by the index of its publish.
    Operator(usize),
}

/// An event in virtual time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A step of the file.
    Step(usize),
    /// A caller sends a request.
    Call(usize),
    /// An event on a node; one with an incarnation is dropped if the node has another by now.
    Node(usize, Option<u64>, NodeEvent),
    /// A call reaches the platform.
    Platform(Client, Instant, Request),
    /// An operator receives the result of a call.
    Operator(usize, Request, Result<Reply, CallError>),
    /// An operator reads again after a pause.
    OperatorRead(usize),
    /// A message reaches a server.
    Deliver(usize, Box<server::Event>),
    /// The time at which a server asked to be woken has come.
    ServerWake(usize),
    /// The revisions in force are compared with an expectation.
    CheckInForce(usize),
}

/// A server with its listener and the records that the checks need.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) model: Server,
    pub(crate) listener: Listener,
    pub(crate) zone: usize,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) wake: Option<Instant>,
    /// Versions that the server holds, with their maps.
    pub(crate) versions: BTreeMap<IndexVersion, MapId>,
    /// Times at which new work arrived.
    pub(crate) arrivals: Vec<Instant>,
    /// Whether each reply is delivered twice.
    pub(crate) repeats: bool,
}

/// The state of one scenario.
pub(crate) struct World<'a> {
    pub(crate) file: &'a ScenarioFile,
    pub(crate) now: Instant,
    /// Time of the first step, after the warm-up.
    pub(crate) start: Instant,
    /// Zones in order; the index after the last stands for the platform.
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) server_indexes: BTreeMap<UpstreamId, usize>,
    pub(crate) platform: Platform,
    pub(crate) operators: Vec<Operator>,
    pub(crate) active: SlotMap<RequestKey, ActiveRequest>,
    pub(crate) pending: BTreeMap<AttemptId, PendingAttempt>,
    /// Nodes that sent a claim request, by home and ticket.
    pub(crate) requesters: BTreeMap<(usize, u64), usize>,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) maps: BTreeMap<MapId, ShardMap>,
    pub(crate) rng: Pcg64Mcg,
    /// Unmet expectations and violated invariants, in the order of detection.
    pub(crate) failures: Vec<String>,
    pub(crate) events: Vec<String>,
    /// Pairs of zones with a partition between them.
    cuts: BTreeSet<(usize, usize)>,
    queue: EventQueue<Instant, Event>,
}

impl<'a> World<'a> {
    /// Creates a world without nodes and servers.
    pub(crate) fn empty(file: &'a ScenarioFile, platform: Platform, seed: u64) -> World<'a> {
        let now = Instant::now();
        World {
            file,
            now,
            start: now + WARM_UP,
            zones: file.zones(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            server_indexes: BTreeMap::new(),
            platform,
            operators: Vec::new(),
            active: SlotMap::with_key(),
            pending: BTreeMap::new(),
            requesters: BTreeMap::new(),
            calls: Vec::new(),
            maps: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            failures: Vec::new(),
            events: Vec::new(),
            cuts: BTreeSet::new(),
            queue: EventQueue::new(),
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Processes all events until a given time.
    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(number) => self.run_step(number),
            Event::Call(number) => self.start_call(number),
            Event::Node(idx, incarnation, event) => self.handle_node(idx, incarnation, event),
            Event::Platform(client, sent, request) => {
                self.handle_platform_call(client, sent, request)
            }
            Event::Operator(number, request, result) => {
                self.drive_publish(number, request, result);
            }
            Event::OperatorRead(number) => {
                self.call_platform(Client::Operator(number), Request::Config);
            }
            Event::Deliver(server, message) => self.handle_server(server, *message),
            Event::ServerWake(server) => {
                if self.hosts[server].wake == Some(self.now) {
                    self.hosts[server].wake = None;
                    self.handle_server(server, server::Event::Wake);
                }
            }
            Event::CheckInForce(number) => self.check_in_force(number),
        }
    }

    /// Returns the monotonic and the wall clock, which agree on all VMs.
    pub(crate) fn read_clocks(&self) -> ClockReading {
        let start = self.start - WARM_UP;
        let elapsed = self.now.saturating_duration_since(start);
        ClockReading {
            instant: self.now,
            wall_ms: START_WALL_MS + elapsed.as_millis() as u64,
        }
    }

    pub(crate) fn is_disabled(&self, mechanism: Mechanism) -> bool {
        self.file.without == Some(mechanism)
    }

    /// Adds a line to the trace, except during the warm-up.
    pub(crate) fn record_event(&mut self, text: impl std::fmt::Display) {
        let at = self.now.saturating_duration_since(self.start);
        if self.now >= self.start {
            let ms = at.as_micros() as f64 / 1_000.0;
            self.events.push(format!("{ms:>10.1} ms  {text}"));
        }
    }

    pub(crate) fn record_failure(&mut self, text: impl Into<String>) {
        let text = text.into();
        self.record_event(format_args!("FAILED: {text}"));
        self.failures.push(text);
    }

    /// Returns the index of a zone, or that of the platform.
    pub(crate) fn find_zone(&self, name: &CompactString) -> usize {
        let platform = self.zones.len();
        if name == PLATFORM {
            return platform;
        }
        let zone = self.zones.iter().position(|zone| zone == name);
        zone.unwrap_or(platform)
    }

    pub(crate) fn set_cut(&mut self, names: &[CompactString], cut: bool) {
        let Some((first, others)) = names.split_first() else {
            return;
        };
        let first = self.find_zone(first);
        for other in others {
            let other = self.find_zone(other);
            let pair = (first.min(other), first.max(other));
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Returns the one-way delay between two zones, or `None` when there is a partition between them.
    pub(crate) fn find_delay(&self, from: usize, to: usize) -> Option<Duration> {
        let pair = (from.min(to), from.max(to));
        (!self.cuts.contains(&pair)).then(|| find_delay(from, to))
    }

    /// Sends a message from one node to another; returns whether the receiver is reachable.
    pub(crate) fn send_peer(&mut self, from: usize, to: usize, event: NodeEvent) -> bool {
        let Some(delay) = self.find_delay(self.nodes[from].zone, self.nodes[to].zone) else {
            return false;
        };
        if self.nodes[to].up {
            self.push(self.now + delay, Event::Node(to, None, event));
        }
        self.nodes[to].up
    }

    fn find_client_zone(&self, client: Client) -> usize {
        match client {
            Client::Node(idx, _) => self.nodes[idx].zone,
            // An operator is located at the platform, so that partitions do not affect it.
            Client::Operator(_) => self.zones.len(),
        }
    }

    pub(crate) fn call_platform(&mut self, client: Client, request: Request) {
        let sent = self.now;
        let zone = self.find_client_zone(client);
        match self.find_delay(zone, self.zones.len()) {
            Some(delay) if self.platform.up => {
                let at = self.now + delay + self.platform.delay;
                if self.platform.delay > CALL_TIMEOUT {
                    let error = if request.is_write() {
                        CallError::NoReply
                    } else {
                        CallError::NotSent
                    };
                    self.schedule_reply(client, sent, request.clone(), Err(error), CALL_TIMEOUT);
                }
                self.push(at, Event::Platform(client, sent, request));
            }
            Some(delay) => {
                self.schedule_reply(client, sent, request, Err(CallError::NotSent), 2 * delay)
            }
            None => self.schedule_reply(
                client,
                sent,
                request,
                Err(CallError::NotSent),
                PLATFORM_CONNECT_TIMEOUT,
            ),
        }
    }

    fn handle_platform_call(&mut self, client: Client, sent: Instant, request: Request) {
        let timed_out = self.now >= sent + CALL_TIMEOUT;
        let result = if self.platform.up {
            Ok(self.platform.handle(request.clone(), self.now))
        } else {
            Err(CallError::NoReply)
        };
        if timed_out {
            return;
        }
        let lost = request.is_write() && result.is_ok() && self.platform.consume_lost_reply();
        match self.find_delay(self.find_client_zone(client), self.zones.len()) {
            Some(delay) if !lost => self.schedule_reply(client, sent, request, result, delay),
            _ => {
                self.record_event("platform: the reply to a call is lost");
                let left = (sent + CALL_TIMEOUT).saturating_duration_since(self.now);
                self.schedule_reply(client, sent, request, Err(CallError::NoReply), left);
            }
        }
    }

    fn schedule_reply(
        &mut self,
        client: Client,
        sent: Instant,
        request: Request,
        result: Result<Reply, CallError>,
        after: Duration,
    ) {
        let event = match client {
            Client::Node(idx, incarnation) => {
                let event = NodeEvent::PlatformReply(sent, request, result);
                Event::Node(idx, Some(incarnation), event)
            }
            Client::Operator(number) => Event::Operator(number, request, result),
        };
        self.push(self.now + after, event);
    }
}
