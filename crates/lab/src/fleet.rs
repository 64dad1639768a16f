//! Simulation of entry VMs that exchange heartbeats in virtual time, with the views of the production code.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::Revision;
use base::Upstream;
use base::Vm;
use base::VmRole;
use base::VmState;
use compact_str::CompactString;
use compact_str::format_compact;
use member::Identity;
use member::Outgoing;
use member::View;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::SlopeOptions;
use crate::event_queue::EventQueue;

const ZONES: [&str; 6] = [
    "attiki",
    "kriti",
    "lausanne",
    "lugano",
    "makedonia",
    "zurich",
];

/// Number of indexes among which the upstreams are divided.
pub(crate) const INDEXES: usize = 8;

/// Interval at which a VM reads the platform's VM list, and so the largest age of its copy.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub(crate) enum Event {
    Tick(usize),
    ReadList(usize),
    Beat {
        from: usize,
        to: usize,
        beat: Box<Outgoing>,
    },
    Reply {
        to: usize,
        reply: Box<wire::BeatReply>,
    },
    ApplyRevision(usize, Revision),
    Stop(usize),
}

/// Entry VMs and the events of the simulation. Vectors are indexed by VM number, in the order in which the VMs started.
pub(crate) struct Fleet {
    /// `None` for a VM that has stopped.
    pub(crate) views: Vec<Option<View>>,
    pub(crate) zones: Vec<usize>,
    pub(crate) numbers: HashMap<NodeId, usize>,
    vm_list: Vec<Vm>,
    pub(crate) indexes: Vec<(CompactString, Vec<Upstream>)>,
    queue: EventQueue<Duration, Event>,
    start: Instant,
    /// Virtual time since the start.
    pub(crate) time: Duration,
    /// Zone whose messages from and to other zones are lost.
    pub(crate) isolated_zone: Option<usize>,
    loss_percent: u64,
    rng: Pcg64Mcg,
    /// Bytes sent by each VM.
    pub(crate) sent: Vec<usize>,
    /// Bytes received by each VM.
    pub(crate) received: Vec<usize>,
    /// The current second of virtual time and the bytes that the VM has sent in it.
    send_windows: Vec<(u64, usize)>,
    /// The most bytes that one VM sent in one second.
    pub(crate) peak_sent: usize,
    /// Real time spent in calls of the views.
    pub(crate) cpu_time: Duration,
    pub(crate) next_drain: usize,
}

/// Ticks between two confirmations of a relay, whose watch of the configuration returns after at most 500 ms.
const CONFIRM_TICKS: u128 = 5;

impl Fleet {
    pub(crate) fn new(nodes: usize, options: &SlopeOptions) -> Fleet {
        let mut fleet = Fleet {
            views: Vec::new(),
            zones: Vec::new(),
            numbers: HashMap::new(),
            vm_list: Vec::new(),
            indexes: make_indexes(options.upstreams),
            queue: EventQueue::new(),
            start: Instant::now(),
            time: Duration::ZERO,
            isolated_zone: None,
            loss_percent: options.loss,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            sent: Vec::new(),
            received: Vec::new(),
            send_windows: Vec::new(),
            peak_sent: 0,
            cpu_time: Duration::ZERO,
            next_drain: 0,
        };
        fleet.vm_list = (0..nodes)
            .map(|number| make_vm(number, number % ZONES.len()))
            .collect();
        for number in 0..nodes {
            fleet.add_vm(number % ZONES.len());
        }
        fleet
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.time
    }

    pub(crate) fn live_views(&self) -> impl Iterator<Item = &View> {
        self.views.iter().flatten()
    }

    pub(crate) fn draw_below(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound as u64) as usize
    }

    pub(crate) fn pick_vm(&mut self) -> usize {
        loop {
            let number = self.draw_below(self.views.len());
            if self.views[number].is_some() {
                return number;
            }
        }
    }

    /// Starts a VM with the current VM list and indexes of the platform.
    pub(crate) fn add_vm(&mut self, zone: usize) {
        let number = self.views.len();
        let vm = make_vm(number, zone);
        let identity = Identity {
            id: vm.id.clone(),
            zone: vm.zone,
            region: vm.region,
            addr: vm.addr,
            incarnation: 1 + self.time.as_millis() as u64,
        };
        let now = self.now();
        let mut view = View::new(identity, now);
        view.merge_vm_list(&self.vm_list, now);
        for (index, upstreams) in &self.indexes {
            view.set_upstreams(index, upstreams, now);
        }
        self.views.push(Some(view));
        self.zones.push(zone);
        self.numbers.insert(vm.id, number);
        self.sent.push(0);
        self.received.push(0);
        self.send_windows.push((0, 0));
        let phase = self.draw_below(100) as u32;
        self.schedule(member::TICK * phase / 100, Event::Tick(number));
        self.schedule(LIST_INTERVAL * phase / 100, Event::ReadList(number));
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.queue.push(self.time + delay, event);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.time + span;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.time = at;
            self.process_event(event);
        }
        self.time = end;
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::ReadList(number) => {
                let now = self.now();
                if let Some(view) = &mut self.views[number] {
                    let started = Instant::now();
                    view.merge_vm_list(&self.vm_list, now);
                    self.cpu_time += started.elapsed();
                    self.schedule(LIST_INTERVAL, Event::ReadList(number));
                }
            }
            Event::Beat { from, to, beat } => self.deliver_beat(from, to, &beat),
            Event::Reply { to, reply } => {
                let now = self.now();
                self.received[to] += member::reply_bytes(&reply);
                if let Some(view) = &mut self.views[to] {
                    let started = Instant::now();
                    view.receive_reply(&reply, now);
                    self.cpu_time += started.elapsed();
                    self.pull_revision(to);
                }
            }
            Event::ApplyRevision(number, revision) => {
                let now = self.now();
                if let Some(view) = &mut self.views[number] {
                    view.set_revision(revision, now);
                }
            }
            Event::Stop(number) => self.views[number] = None,
        }
    }

    fn tick(&mut self, number: usize) {
        let now = self.now();
        let Some(view) = &mut self.views[number] else {
            return;
        };
        let started = Instant::now();
        let beats = view.tick(now, &mut self.rng);
        let zone = &view.me().zone;
        let tick = self.time.as_millis() / member::TICK.as_millis();
        let due = tick % CONFIRM_TICKS == number as u128 % CONFIRM_TICKS;
        let confirms = due && view.relays(zone).contains(&&view.me().id);
        if confirms {
            view.confirm(view.me().revision, now);
        }
        self.cpu_time += started.elapsed();
        for beat in beats {
            self.count_sent(number, beat.bytes());
            let Some(&to) = self.numbers.get(&beat.to) else {
                continue;
            };
            if let Some(delay) = self.draw_delay(number, to) {
                let beat = Box::new(beat);
                self.schedule(
                    delay,
                    Event::Beat {
                        from: number,
                        to,
                        beat,
                    },
                );
            }
        }
        self.schedule(member::TICK, Event::Tick(number));
    }

    fn deliver_beat(&mut self, from: usize, to: usize, beat: &Outgoing) {
        let now = self.now();
        let Some(view) = &mut self.views[to] else {
            return;
        };
        self.received[to] += beat.bytes();
        let started = Instant::now();
        let reply = view.receive(&beat.beat, now);
        self.cpu_time += started.elapsed();
        self.count_sent(to, member::reply_bytes(&reply));
        if let Some(delay) = self.draw_delay(to, from) {
            let reply = Box::new(reply);
            self.schedule(delay, Event::Reply { to: from, reply });
        }
        self.pull_revision(to);
    }

    /// Simulates the runtime, which pulls a newer revision from a peer that has it.
    fn pull_revision(&mut self, number: usize) {
        let Some(view) = &self.views[number] else {
            return;
        };
        let Some((revision, source)) = view.newest_revision() else {
            return;
        };
        if revision > view.me().revision {
            let source = self.numbers[source];
            if let (Some(request_delay), Some(reply_delay)) = (
                self.draw_delay(number, source),
                self.draw_delay(source, number),
            ) {
                self.schedule(
                    request_delay + reply_delay,
                    Event::ApplyRevision(number, revision),
                );
            }
        }
    }

    /// Returns the one-way delay between two VMs, or `None` when the message is lost.
    fn draw_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let (a, b) = (self.zones[from], self.zones[to]);
        let partitioned = a != b
            && self
                .isolated_zone
                .is_some_and(|zone| zone == a || zone == b);
        if partitioned || self.rng.next_u64() % 100 < self.loss_percent {
            return None;
        }
        let millis = if a % 2 == b % 2 { 1 } else { 12 };
        Some(Duration::from_millis(millis))
    }

    fn count_sent(&mut self, number: usize, bytes: usize) {
        self.sent[number] += bytes;
        let second = self.time.as_secs();
        let window = &mut self.send_windows[number];
        if window.0 != second {
            *window = (second, 0);
        }
        window.1 += bytes;
        self.peak_sent = self.peak_sent.max(window.1);
    }
}

fn make_vm(number: usize, zone: usize) -> Vm {
    let region = if zone.is_multiple_of(2) {
        "north"
    } else {
        "south"
    };
    let [_, _, high, low] = (number as u32).to_be_bytes();
    Vm {
        id: format_compact!("{}-entry-{number:03}", ZONES[zone]),
        role: VmRole::Entry,
        addr: ([10, zone as u8, high, low], 7_400).into(),
        zone: ZONES[zone].into(),
        region: region.into(),
        state: VmState::Live,
    }
}

fn make_indexes(upstreams: usize) -> Vec<(CompactString, Vec<Upstream>)> {
    let mut indexes: Vec<(CompactString, Vec<Upstream>)> = (0..INDEXES)
        .map(|index| (format_compact!("index-{index}"), Vec::new()))
        .collect();
    for number in 0..upstreams {
        let zone = number / INDEXES % ZONES.len();
        let vm = make_vm(number, zone);
        indexes[number % INDEXES].1.push(Upstream {
            id: format_compact!("{}-srv-{number:04}", ZONES[zone]),
            addr: vm.addr,
            zone: vm.zone,
            region: vm.region,
            slots: 4,
            connections: 90,
        });
    }
    indexes
}
