//! A small fleet of views that exchange messages once per tick in virtual time.

#![allow(dead_code, reason = "Each test file uses a part of it.")]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::Upstream;
use base::Vm;
use base::VmRole;
use base::VmState;
use compact_str::format_compact;
use member::Identity;
use member::View;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub const ZONES: [&str; 3] = ["lausanne", "lugano", "zurich"];

pub struct Fleet {
    pub views: Vec<Option<View>>,
    /// VMs that get no processor time.
    pub paused: Vec<usize>,
    /// Decides whether a message from one VM to another is lost.
    pub blocked: fn(usize, usize) -> bool,
    pub loss: u64,
    /// VMs put a newer revision in force as soon as they know a VM that has it, as the runtime does.
    pub pulls: bool,
    pub now: Instant,
    /// The most messages that a VM sent in one tick, and the most bytes in one second.
    pub peak_messages: usize,
    pub peak_bytes: usize,
    window: BTreeMap<usize, usize>,
    ticks: u64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Starts VMs over three zones in turn, with a list of all of them and the given upstreams.
    pub fn new(nodes: usize, upstreams: &[Upstream]) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            views: Vec::new(),
            paused: Vec::new(),
            blocked: |_, _| false,
            loss: 0,
            pulls: false,
            now,
            peak_messages: 0,
            peak_bytes: 0,
            window: BTreeMap::new(),
            ticks: 0,
            rng: Pcg64Mcg::seed_from_u64(7),
        };
        for at in 0..nodes {
            fleet.add(at, nodes, upstreams);
        }
        fleet
    }

    /// Starts a VM that finds the first `listed` VMs in the platform's list.
    pub fn add(&mut self, at: usize, listed: usize, upstreams: &[Upstream]) {
        let mut view = View::new(identity(at, 1), self.now);
        view.merge_vm_list(&make_list(listed), self.now);
        view.set_upstreams(&"plan-desk".into(), upstreams, self.now);
        self.views.push(Some(view));
    }

    pub fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 10.0) as usize {
            self.step();
        }
    }

    /// Runs until the condition holds on every running VM, and returns the seconds that took.
    pub fn wait(&mut self, limit: f64, done: impl Fn(&View, Instant) -> bool) -> f64 {
        let begin = self.now;
        while !self.live().all(|view| done(view, self.now)) {
            assert!(
                (self.now - begin).as_secs_f64() < limit,
                "not known everywhere after {limit} s"
            );
            self.step();
        }
        (self.now - begin).as_secs_f64()
    }

    pub fn live(&self) -> impl Iterator<Item = &View> {
        let paused = &self.paused;
        let views = self.views.iter().enumerate();
        views
            .filter(|(at, _)| !paused.contains(at))
            .filter_map(|(_, view)| view.as_ref())
    }

    pub fn view(&mut self, at: usize) -> &mut View {
        self.views[at].as_mut().unwrap()
    }

    fn step(&mut self) {
        self.now += member::TICK;
        self.ticks += 1;
        if self.ticks.is_multiple_of(10) {
            self.window.clear();
        }
        let mut messages = Vec::new();
        for at in (0..self.views.len()).filter(|at| !self.paused.contains(at)) {
            let Some(view) = &mut self.views[at] else {
                continue;
            };
            let beats = view.tick(self.now, &mut self.rng);
            self.peak_messages = self.peak_messages.max(beats.len());
            let bytes = self.window.entry(at).or_default();
            *bytes += beats.iter().map(|beat| beat.bytes()).sum::<usize>();
            self.peak_bytes = self.peak_bytes.max(*bytes);
            messages.extend(beats.into_iter().map(|beat| (at, beat)));
        }
        if self.pulls {
            for view in self.views.iter_mut().flatten() {
                let newest = view.newest_revision().map_or(0, |newest| newest.0);
                view.set_revision(newest, self.now);
            }
        }
        for (from, beat) in messages {
            let to = position(&beat.to);
            if self.arrives(from, to) {
                let now = self.now;
                let reply = self.view(to).receive(&beat.beat, now);
                if self.arrives(to, from) {
                    self.view(from).receive_reply(&reply, now);
                }
            }
        }
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let runs = self.views.get(to).is_some_and(Option::is_some) && !self.paused.contains(&to);
        runs && !(self.blocked)(from, to) && self.rng.next_u64() % 100 >= self.loss
    }
}

pub fn id(at: usize) -> NodeId {
    format_compact!("{}-entry-{at:03}", ZONES[at % ZONES.len()])
}

pub fn position(id: &str) -> usize {
    id.rsplit('-').next().unwrap().parse().unwrap()
}

pub fn identity(at: usize, incarnation: u64) -> Identity {
    Identity {
        id: id(at),
        zone: ZONES[at % ZONES.len()].into(),
        region: "north".into(),
        addr: ([10, 0, (at / 256) as u8, at as u8], 7_400).into(),
        incarnation,
    }
}

pub fn make_list(nodes: usize) -> Vec<Vm> {
    let vm = |at| {
        let identity = identity(at, 0);
        Vm {
            id: identity.id,
            role: VmRole::Entry,
            addr: identity.addr,
            zone: identity.zone,
            region: identity.region,
            state: VmState::Live,
        }
    };
    (0..nodes).map(vm).collect()
}

pub fn make_upstreams(count: usize, connections: u32) -> Vec<Upstream> {
    let upstream = |at: usize| Upstream {
        id: format_compact!("srv-{at:04}"),
        addr: ([10, 1, (at / 256) as u8, at as u8], 80).into(),
        zone: ZONES[at % ZONES.len()].into(),
        region: "north".into(),
        slots: 5,
        connections,
    };
    (0..count).map(upstream).collect()
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
