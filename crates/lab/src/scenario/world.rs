//! The event loop of one scenario: one heap of events in virtual time, and who can reach whom.

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

use crate::agenda::Agenda;
use crate::bench::network::Port;
use crate::bench::network::delay;
use crate::scenario::call::CallRecord;
use crate::scenario::call::Run;
use crate::scenario::exchange::Flight;
use crate::scenario::file::File;
use crate::scenario::file::Mechanism;
use crate::scenario::file::PLATFORM;
use crate::scenario::node::Node;
use crate::scenario::node::NodeEvent;
use crate::scenario::operator::Operator;
use crate::scenario::platform::Lost;
use crate::scenario::platform::Platform;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::server;
use crate::server::Server;

/// Time before the story in which the nodes get to know each other, the configuration and the index.
pub(crate) const PROLOGUE: Duration = Duration::from_secs(10);

/// Wall clock at the start, in milliseconds.
const EPOCH_MS: u64 = 1_000_000_000;

/// Time after which a caller of the platform gives up, as `store` does.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a connection attempt to a platform that is cut off fails.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of a request in progress on a node.
    pub(crate) struct RunKey;
}

/// Who calls the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Client {
    /// A node, with its incarnation.
    Node(usize, u64),
    /// An operator, by the number of the publish.
    Operator(usize),
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) enum Event {
    /// A step of the file.
    Step(usize),
    /// A caller sends a request.
    Call(usize),
    /// Something happens on a node; with an incarnation only if the node still is that one.
    Node(usize, Option<u64>, NodeEvent),
    /// A call reaches the platform.
    Platform(Client, Instant, Request),
    /// An operator has the result of a call.
    Operator(usize, Request, Result<Reply, Lost>),
    /// An operator has waited.
    OperatorRead(usize),
    /// A message reaches a server.
    Deliver(usize, Box<server::Event>),
    /// A server asked to be called.
    Serve(usize),
    /// The revisions in force are compared with an expectation.
    CheckForce(usize),
}

/// A server with its port and what the checks need to know of it.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) model: Server,
    pub(crate) port: Port,
    pub(crate) zone: usize,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) wake: Option<Instant>,
    /// Versions that the server holds, with their maps.
    pub(crate) versions: BTreeMap<IndexVersion, MapId>,
    /// Moments at which new work arrived.
    pub(crate) arrivals: Vec<Instant>,
    /// Whether each reply is repeated.
    pub(crate) repeats: bool,
}

/// The state of one scenario.
pub(crate) struct World<'a> {
    pub(crate) file: &'a File,
    pub(crate) now: Instant,
    /// Beginning of the story.
    pub(crate) zero: Instant,
    /// Zones in order; the platform comes after the last.
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) numbers: BTreeMap<UpstreamId, usize>,
    pub(crate) platform: Platform,
    pub(crate) operators: Vec<Operator>,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) flights: BTreeMap<AttemptId, Flight>,
    /// Nodes that asked a home, by home and ticket.
    pub(crate) asked: BTreeMap<(usize, u64), usize>,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) maps: BTreeMap<MapId, ShardMap>,
    pub(crate) rng: Pcg64Mcg,
    /// What went wrong, in the order in which it was found.
    pub(crate) failures: Vec<String>,
    pub(crate) events: Vec<String>,
    cuts: BTreeSet<(usize, usize)>,
    agenda: Agenda<Instant, Event>,
}

impl<'a> World<'a> {
    /// Creates a world without nodes and servers.
    pub(crate) fn empty(file: &'a File, platform: Platform, seed: u64) -> World<'a> {
        let now = Instant::now();
        World {
            file,
            now,
            zero: now + PROLOGUE,
            zones: file.zones(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            numbers: BTreeMap::new(),
            platform,
            operators: Vec::new(),
            runs: SlotMap::with_key(),
            flights: BTreeMap::new(),
            asked: BTreeMap::new(),
            calls: Vec::new(),
            maps: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            failures: Vec::new(),
            events: Vec::new(),
            cuts: BTreeSet::new(),
            agenda: Agenda::new(),
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        self.agenda.push(at.max(self.now), event);
    }

    /// Runs until a moment.
    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some((at, event)) = self.agenda.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(number) => self.step(number),
            Event::Call(number) => self.place_call(number),
            Event::Node(at, incarnation, event) => self.handle_node(at, incarnation, event),
            Event::Platform(client, asked, request) => self.serve_call(client, asked, request),
            Event::Operator(number, request, result) => {
                self.advance_operator(number, request, result);
            }
            Event::OperatorRead(number) => {
                self.call_platform(Client::Operator(number), Request::Config);
            }
            Event::Deliver(server, message) => self.serve(server, *message),
            Event::Serve(server) => {
                if self.hosts[server].wake == Some(self.now) {
                    self.hosts[server].wake = None;
                    self.serve(server, server::Event::Wake);
                }
            }
            Event::CheckForce(number) => self.check_force(number),
        }
    }

    /// Returns both clocks; those of all VMs agree.
    pub(crate) fn moment(&self) -> ClockReading {
        let start = self.zero - PROLOGUE;
        let elapsed = self.now.saturating_duration_since(start);
        ClockReading {
            instant: self.now,
            wall_ms: EPOCH_MS + elapsed.as_millis() as u64,
        }
    }

    pub(crate) fn is_off(&self, mechanism: Mechanism) -> bool {
        self.file.without == Some(mechanism)
    }

    /// Adds a line to the list of events.
    pub(crate) fn note(&mut self, text: impl std::fmt::Display) {
        let at = self.now.saturating_duration_since(self.zero);
        if self.now >= self.zero {
            let ms = at.as_micros() as f64 / 1_000.0;
            self.events.push(format!("{ms:>10.1} ms  {text}"));
        }
    }

    pub(crate) fn fail(&mut self, text: impl Into<String>) {
        let text = text.into();
        self.note(format_args!("FAILED: {text}"));
        self.failures.push(text);
    }

    /// Returns the place of a zone, or that of the platform.
    pub(crate) fn place(&self, name: &CompactString) -> usize {
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
        let first = self.place(first);
        for other in others {
            let other = self.place(other);
            let pair = (first.min(other), first.max(other));
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Returns the one-way delay between two places, or `None` when they are cut off from each other.
    pub(crate) fn way(&self, from: usize, to: usize) -> Option<Duration> {
        let pair = (from.min(to), from.max(to));
        (!self.cuts.contains(&pair)).then(|| delay(from, to))
    }

    /// Sends a message from one node to another; returns whether the receiver can be reached.
    pub(crate) fn send_peer(&mut self, from: usize, to: usize, event: NodeEvent) -> bool {
        let Some(way) = self.way(self.nodes[from].zone, self.nodes[to].zone) else {
            return false;
        };
        if self.nodes[to].up {
            self.push(self.now + way, Event::Node(to, None, event));
        }
        self.nodes[to].up
    }

    fn client_place(&self, client: Client) -> usize {
        match client {
            Client::Node(at, _) => self.nodes[at].zone,
            // An operator works beside the platform, so that only faults of the platform itself matter.
            Client::Operator(_) => self.zones.len(),
        }
    }

    pub(crate) fn call_platform(&mut self, client: Client, request: Request) {
        let asked = self.now;
        let place = self.client_place(client);
        match self.way(place, self.zones.len()) {
            Some(way) if self.platform.up => {
                let at = self.now + way + self.platform.delay;
                if self.platform.delay > CALL_TIMEOUT {
                    let lost = if request.is_write() {
                        Lost::NoReply
                    } else {
                        Lost::NotSent
                    };
                    self.reply(client, asked, request.clone(), Err(lost), CALL_TIMEOUT);
                }
                self.push(at, Event::Platform(client, asked, request));
            }
            Some(way) => self.reply(client, asked, request, Err(Lost::NotSent), 2 * way),
            None => self.reply(
                client,
                asked,
                request,
                Err(Lost::NotSent),
                UNREACHABLE_AFTER,
            ),
        }
    }

    fn serve_call(&mut self, client: Client, asked: Instant, request: Request) {
        let timed_out = self.now >= asked + CALL_TIMEOUT;
        let result = if self.platform.up {
            Ok(self.platform.handle(request.clone(), self.now))
        } else {
            Err(Lost::NoReply)
        };
        if timed_out {
            return;
        }
        let lost = request.is_write() && result.is_ok() && self.platform.loses_reply();
        match self.way(self.client_place(client), self.zones.len()) {
            Some(way) if !lost => self.reply(client, asked, request, result, way),
            _ => {
                self.note("platform: a reply is lost");
                let left = (asked + CALL_TIMEOUT).saturating_duration_since(self.now);
                self.reply(client, asked, request, Err(Lost::NoReply), left);
            }
        }
    }

    fn reply(
        &mut self,
        client: Client,
        asked: Instant,
        request: Request,
        result: Result<Reply, Lost>,
        after: Duration,
    ) {
        let event = match client {
            Client::Node(at, incarnation) => {
                let event = NodeEvent::Stored(asked, request, result);
                Event::Node(at, Some(incarnation), event)
            }
            Client::Operator(number) => Event::Operator(number, request, result),
        };
        self.push(self.now + after, event);
    }
}
