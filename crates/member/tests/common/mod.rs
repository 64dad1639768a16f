//! A simulated fleet of views that exchange messages once per tick in virtual time.

#![allow(dead_code, reason = "Each test file uses only a part.")]

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
    /// Indexes of paused VMs, which neither tick nor receive messages.
    pub paused: Vec<usize>,
    /// Decides whether a message from one VM to another is lost.
    pub blocked: fn(usize, usize) -> bool,
    /// Percentage of messages that are lost.
    pub loss_percent: u64,
    /// Whether VMs apply the newest revision as soon as they know a VM that has it, as the runtime does.
    pub applies_revisions: bool,
    pub now: Instant,
    /// Most messages that a VM sent in one tick.
    pub peak_messages: usize,
    /// Most bytes that a VM sent in one second.
    pub peak_bytes: usize,
    /// Bytes sent in the current second, by index of the VM.
    window_bytes: BTreeMap<usize, usize>,
    ticks: u64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Starts VMs that are assigned to three zones in turn and know the list of all VMs and the given upstreams.
    pub fn new(nodes: usize, upstreams: &[Upstream]) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            views: Vec::new(),
            paused: Vec::new(),
            blocked: |_, _| false,
            loss_percent: 0,
            applies_revisions: false,
            now,
            peak_messages: 0,
            peak_bytes: 0,
            window_bytes: BTreeMap::new(),
            ticks: 0,
            rng: Pcg64Mcg::seed_from_u64(7),
        };
        for index in 0..nodes {
            fleet.add(index, nodes, upstreams);
        }
        fleet
    }

    /// Starts a VM; the platform's list contains the first `listed` VMs.
    pub fn add(&mut self, index: usize, listed: usize, upstreams: &[Upstream]) {
        let mut view = View::new(identity(index, 1), self.now);
        view.merge_vm_list(&make_list(listed), self.now);
        view.set_upstreams(&"plan-desk".into(), upstreams, self.now);
        self.views.push(Some(view));
    }

    pub fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 10.0) as usize {
            self.step();
        }
    }

    /// Runs until the condition holds on every running VM, and returns the elapsed seconds.
    pub fn run_until(&mut self, limit: f64, done: impl Fn(&View, Instant) -> bool) -> f64 {
        let start = self.now;
        while !self.running().all(|view| done(view, self.now)) {
            assert!(
                (self.now - start).as_secs_f64() < limit,
                "the condition does not hold on every VM after {limit} s"
            );
            self.step();
        }
        (self.now - start).as_secs_f64()
    }

    pub fn running(&self) -> impl Iterator<Item = &View> {
        let paused = &self.paused;
        let views = self.views.iter().enumerate();
        views
            .filter(|(index, _)| !paused.contains(index))
            .filter_map(|(_, view)| view.as_ref())
    }

    pub fn view(&mut self, index: usize) -> &mut View {
        self.views[index].as_mut().unwrap()
    }

    fn step(&mut self) {
        self.now += member::TICK;
        self.ticks += 1;
        if self.ticks.is_multiple_of(10) {
            self.window_bytes.clear();
        }
        let mut messages = Vec::new();
        for index in (0..self.views.len()).filter(|index| !self.paused.contains(index)) {
            let Some(view) = &mut self.views[index] else {
                continue;
            };
            let beats = view.tick(self.now, &mut self.rng);
            self.peak_messages = self.peak_messages.max(beats.len());
            let bytes = self.window_bytes.entry(index).or_default();
            *bytes += beats.iter().map(|beat| beat.bytes()).sum::<usize>();
            self.peak_bytes = self.peak_bytes.max(*bytes);
            messages.extend(beats.into_iter().map(|beat| (index, beat)));
        }
        if self.applies_revisions {
            for view in self.views.iter_mut().flatten() {
                let newest = view.newest_revision().map_or(0, |newest| newest.0);
                view.set_revision(newest, self.now);
            }
        }
        for (from, beat) in messages {
            let to = parse_index(&beat.to);
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
        runs && !(self.blocked)(from, to) && self.rng.next_u64() % 100 >= self.loss_percent
    }
}

pub fn id(index: usize) -> NodeId {
    format_compact!("{}-entry-{index:03}", ZONES[index % ZONES.len()])
}

pub fn parse_index(id: &str) -> usize {
    id.rsplit('-').next().unwrap().parse().unwrap()
}

pub fn identity(index: usize, incarnation: u64) -> Identity {
    Identity {
        id: id(index),
        zone: ZONES[index % ZONES.len()].into(),
        region: "north".into(),
        addr: ([10, 0, (index / 256) as u8, index as u8], 7_400).into(),
        incarnation,
    }
}

pub fn make_list(nodes: usize) -> Vec<Vm> {
    let vm = |index| {
        let identity = identity(index, 0);
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
    let upstream = |index: usize| Upstream {
        id: format_compact!("srv-{index:04}"),
        addr: ([10, 1, (index / 256) as u8, index as u8], 80).into(),
        zone: ZONES[index % ZONES.len()].into(),
        region: "north".into(),
        slots: 5,
        connections,
    };
    (0..count).map(upstream).collect()
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
