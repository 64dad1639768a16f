//! Measures how cost and speed of membership depend on the number of VMs, with real views and an in-memory exchange.
//!
//! Time is virtual, so that durations depend only on the seed. CPU time is measured around the calls of the views.

use std::fmt;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use base::UpstreamId;
use base::UpstreamState;
use member::Evidence;
use member::Health;
use member::NodeState;
use member::View;

use crate::fleet::Event;
use crate::fleet::Fleet;
use crate::fleet::INDEXES;

/// Limit for control work per node, in percent of a core.
pub const MAX_CPU_PERCENT: f64 = 2.0;
/// Limit for the control state per node, in bytes of memory.
pub const MAX_HEAP_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Limit for control traffic per node, sent and received.
pub const MAX_BYTES_PER_SECOND: f64 = 4096.0;
/// Limit for the time until a drain reaches every node.
///
/// docs/design.md allows 3 s from the start of the drain, of which an idle upstream's probe may take 1 s.
pub const MAX_DRAIN_SECONDS: f64 = 2.0;
/// Limit for the time until a revision is in force on every node.
pub const MAX_REVISION_SECONDS: f64 = 4.0;

/// Restarts per day that docs/design.md expects at [`DESIGN_VMS`] VMs.
const DESIGN_RESTARTS_PER_DAY: f64 = 640.0;
/// Failures per day that docs/design.md expects at [`DESIGN_VMS`] VMs.
const DESIGN_FAILURES_PER_DAY: f64 = 29.0;
/// Number of VMs for which docs/design.md states the churn.
const DESIGN_VMS: f64 = 590.0;
/// Factor by which the churn phase exceeds the churn in docs/design.md, so that a short run has enough events.
const CHURN_SPEEDUP: f64 = 60.0;
/// Time for which a VM keeps running after it starts to leave.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Options of a membership measurement.
#[derive(Debug, Clone)]
pub struct SlopeOptions {
    /// Fleet sizes to measure, in entry VMs.
    pub sizes: Vec<usize>,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Message loss in percent.
    pub loss: u64,
    /// Seed of the random generator.
    pub seed: u64,
}

impl Default for SlopeOptions {
    fn default() -> SlopeOptions {
        SlopeOptions {
            sizes: vec![590, 300, 150, 60, 15],
            upstreams: 4_300,
            loss: 1,
            seed: 1,
        }
    }
}

/// Metrics measured at one fleet size; a time is `None` when some node was not reached within 30 s.
#[derive(Debug, Clone, Default)]
pub struct SizeMetrics {
    /// Number of entry VMs.
    pub nodes: usize,
    /// Bytes sent per node and second in the steady state.
    pub sent: f64,
    /// Bytes received per node and second in the steady state.
    pub received: f64,
    /// Highest number of bytes that one node sent in one second of the whole run.
    pub peak_sent: f64,
    /// CPU time per node in the steady state, in percent of a core.
    pub cpu: f64,
    /// Heap bytes of the largest view, as it estimates them.
    pub heap: f64,
    /// Growth of the process's resident memory per view, in bytes; `None` where the system does not report it.
    ///
    /// It is meaningful for the first size only, since later ones reuse freed memory.
    pub resident: Option<f64>,
    /// Live VMs that a node considered suspect or dead in the steady state, summed over one scan per second.
    pub false_suspects: usize,
    /// Highest age of a node's confirmation of the configuration in the steady state, in seconds.
    pub confirmed: f64,
    /// Longest time until a drain reached every node, in seconds.
    pub drain: Option<f64>,
    /// Longest time until a revision was in force on every node, in seconds.
    pub revision: Option<f64>,
    /// Highest number of VMs that a node removed or considered dead during a network partition.
    pub removed: usize,
    /// Seconds from the end of the partition until every node saw every zone and VM live again.
    pub healed: Option<f64>,
    /// Seconds from the end of the partition until every node knew of a drain that began during it.
    pub healed_drain: Option<f64>,
    /// Highest number of bytes that one node sent in one second after the partition.
    pub heal_peak: f64,
    /// Bytes sent per node and second during churn at [`CHURN_SPEEDUP`] times the rate in docs/design.md.
    pub churn_sent: f64,
    /// Longest time until a drain during churn reached every node, in seconds.
    pub churn_drain: Option<f64>,
    /// Restarts and failures of VMs in the churn phase.
    pub churn_events: usize,
}

impl fmt::Display for SizeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |time: Option<f64>| time.map_or("none".to_string(), |t| format!("{t:.2}"));
        write!(
            f,
            "{:>5} {:>6.0} {:>6.0} {:>6.0} {:>7.3} {:>7.2} {:>7} {:>5} {:>5.2} {:>6} {:>6} {:>5} {:>6} {:>6} {:>6.0} {:>6.0} {:>6} {:>4}",
            self.nodes,
            self.sent,
            self.received,
            self.peak_sent,
            self.cpu,
            self.heap / (1024.0 * 1024.0),
            self.resident
                .map_or("-".to_string(), |b| format!("{:.2}", b / (1024.0 * 1024.0))),
            self.false_suspects,
            self.confirmed,
            time(self.drain),
            time(self.revision),
            self.removed,
            time(self.healed),
            time(self.healed_drain),
            self.heal_peak,
            self.churn_sent,
            time(self.churn_drain),
            self.churn_events,
        )
    }
}

impl SizeMetrics {
    /// Describes each limit that is exceeded.
    pub fn list_exceeded(&self) -> Vec<String> {
        let mut exceeded = Vec::new();
        let mut check = |name: &str, value: Option<f64>, limit: f64| {
            if value.is_none_or(|value| value > limit) {
                let value = value.map_or("not reached".to_string(), |v| format!("{v:.2}"));
                exceeded.push(format!("{} VMs: {name} {value}, limit {limit}", self.nodes));
            }
        };
        check("CPU percent", Some(self.cpu), MAX_CPU_PERCENT);
        check("heap bytes", Some(self.heap), MAX_HEAP_BYTES);
        let traffic = self.sent + self.received;
        check(
            "bytes/s sent and received",
            Some(traffic),
            MAX_BYTES_PER_SECOND,
        );
        check("drain seconds", self.drain, MAX_DRAIN_SECONDS);
        check(
            "drain seconds in churn",
            self.churn_drain,
            MAX_DRAIN_SECONDS,
        );
        check("revision seconds", self.revision, MAX_REVISION_SECONDS);
        check(
            "confirmation seconds",
            Some(self.confirmed),
            MAX_REVISION_SECONDS,
        );
        check("VMs removed by a partition", Some(self.removed as f64), 0.0);
        exceeded
    }
}

/// Measures every fleet size, prints a line for each as soon as it is done, and returns the metrics.
///
/// # Errors
///
/// Returns an error when the output cannot be written.
pub fn measure_slopes(options: &SlopeOptions, out: &mut dyn Write) -> io::Result<Vec<SizeMetrics>> {
    writeln!(
        out,
        "{} upstreams, {}% loss, seed {}; bytes/s per VM, heap as estimated by the view, times in virtual seconds",
        options.upstreams, options.loss, options.seed
    )?;
    writeln!(
        out,
        "  VMs   sent   recv   peak   CPU %  heapMB   resMB  susp  conf  drain    rev  gone   heal h-drn. h-peak  churn c-drn.  ev"
    )?;
    let mut results = Vec::new();
    for &nodes in &options.sizes {
        let metrics = measure_size(nodes, options);
        writeln!(out, "{metrics}")?;
        results.push(metrics);
    }
    for metrics in &results {
        let extra = (metrics.churn_sent - metrics.sent) / CHURN_SPEEDUP;
        writeln!(
            out,
            "{} VMs: churn at the expected rate adds about {extra:.0} bytes/s sent, 1/{CHURN_SPEEDUP} of the increase in the churn phase",
            metrics.nodes
        )?;
    }
    for limit in results.iter().flat_map(SizeMetrics::list_exceeded) {
        writeln!(out, "limit exceeded: {limit}")?;
    }
    Ok(results)
}

fn measure_size(nodes: usize, options: &SlopeOptions) -> SizeMetrics {
    let before = read_resident();
    let mut fleet = Fleet::new(nodes, options);
    fleet.run(secs(30.0));
    let resident = before
        .zip(read_resident())
        .map(|(b, a)| (a - b) / nodes as f64);
    let mut metrics = SizeMetrics {
        nodes,
        resident: resident.filter(|&growth| growth > 0.0),
        ..Default::default()
    };
    fleet.measure_steady(&mut metrics);
    metrics.drain = fleet.measure_drains(4);
    metrics.revision = fleet.measure_revisions(4);
    fleet.measure_partition(&mut metrics);
    fleet.measure_churn(&mut metrics);
    metrics.heap = fleet
        .live_views()
        .map(|view| view.estimate_heap_bytes())
        .max()
        .unwrap_or(0) as f64;
    metrics.peak_sent = fleet.peak_sent as f64;
    metrics
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Reads the resident memory of this process in bytes, where the system reports it.
fn read_resident() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024.0)
}

impl Fleet {
    /// Measures traffic, CPU time, false suspicions and confirmations while nothing changes.
    fn measure_steady(&mut self, metrics: &mut SizeMetrics) {
        let span = 10;
        let nodes = self.views.len() as f64;
        self.sent.fill(0);
        self.received.fill(0);
        self.cpu_time = Duration::ZERO;
        for _ in 0..span {
            self.run(secs(1.0));
            metrics.false_suspects += self.count_false_suspects();
            metrics.confirmed = metrics.confirmed.max(self.max_confirmation_age());
        }
        let rate = |bytes: &[usize]| bytes.iter().sum::<usize>() as f64 / nodes / f64::from(span);
        metrics.sent = rate(&self.sent);
        metrics.received = rate(&self.received);
        metrics.cpu = self.cpu_time.as_secs_f64() / nodes / f64::from(span) * 100.0;
    }

    /// Returns the highest age of a node's confirmation of the configuration, in seconds.
    fn max_confirmation_age(&self) -> f64 {
        let now = self.now();
        let ages = self.live_views().map(|view| {
            let at = view.confirmation().map(|(_, at)| at);
            at.map_or(f64::INFINITY, |at| {
                now.saturating_duration_since(at).as_secs_f64()
            })
        });
        ages.fold(0.0, f64::max)
    }

    /// Counts the pairs of running VMs of which the first considers the second suspect or dead.
    fn count_false_suspects(&self) -> usize {
        let count = |view: &View| {
            let wrong = view.nodes().filter(|node| {
                let runs = self.views[self.numbers[&node.record.id]].is_some();
                runs && matches!(node.state(), NodeState::Suspect | NodeState::Dead)
            });
            wrong.count()
        };
        self.live_views().map(count).sum()
    }

    /// Lets a VM observe that the next upstream drains, and returns the upstream.
    fn start_drain(&mut self, observer: usize) -> UpstreamId {
        let (_, upstreams) = &self.indexes[self.next_drain % INDEXES];
        let id = upstreams[self.next_drain / INDEXES].id.clone();
        self.next_drain += 1;
        let now = self.now();
        if let Some(view) = &mut self.views[observer] {
            view.observe(&id, Evidence::Replied(UpstreamState::Draining), now);
        }
        id
    }

    /// Runs until `done` has held once on every view, and returns the seconds that it took, or `None` after 30 s.
    fn wait_until(&mut self, done: impl Fn(&View, Instant) -> bool) -> Option<f64> {
        let begin = self.time;
        let mut pending: Vec<usize> = (0..self.views.len()).collect();
        loop {
            let now = self.now();
            pending.retain(|&vm| self.views[vm].as_ref().is_some_and(|view| !done(view, now)));
            if pending.is_empty() {
                return Some((self.time - begin).as_secs_f64());
            }
            if self.time - begin >= secs(30.0) {
                return None;
            }
            self.run(secs(0.02));
        }
    }

    fn wait_drain(&mut self, id: &UpstreamId) -> Option<f64> {
        self.wait_until(|view, now| view.health(id, now) == Health::Draining)
    }

    fn measure_drains(&mut self, count: usize) -> Option<f64> {
        let mut slowest = Some(0.0);
        for _ in 0..count {
            let observer = self.pick_vm();
            let id = self.start_drain(observer);
            let time = self.wait_drain(&id);
            slowest = slowest.zip(time).map(|(a, b): (f64, f64)| a.max(b));
            self.run(secs(1.0));
        }
        slowest
    }

    fn measure_revisions(&mut self, count: usize) -> Option<f64> {
        let mut slowest = Some(0.0);
        for revision in 1..=count as Revision {
            let vm = self.pick_vm();
            self.schedule(Duration::ZERO, Event::ApplyRevision(vm, revision));
            let time = self.wait_until(|view, _| view.me().revision >= revision);
            slowest = slowest.zip(time).map(|(a, b): (f64, f64)| a.max(b));
            self.run(secs(1.0));
        }
        slowest
    }

    /// Isolates a zone, drains an upstream meanwhile, and measures the removals and the recovery.
    fn measure_partition(&mut self, metrics: &mut SizeMetrics) {
        let before = self.views.len();
        self.isolated_zone = Some(0);
        self.run(secs(15.0));
        let drain = self.start_drain(1);
        self.run(secs(10.0));
        let removed = |view: &View| {
            let dead = view
                .nodes()
                .filter(|n| n.state() == NodeState::Dead)
                .count();
            dead + before.saturating_sub(view.nodes().count())
        };
        metrics.removed = self.live_views().map(removed).max().unwrap_or(0);
        self.isolated_zone = None;
        let peak = std::mem::take(&mut self.peak_sent);
        let healed = |view: &View| {
            view.zone_names()
                .all(|name| view.zone(name).is_some_and(|(_, reachable)| reachable))
                && view.nodes().all(|node| node.state() == NodeState::Live)
        };
        let begin = self.time;
        metrics.healed_drain = self.wait_drain(&drain);
        let elapsed = (self.time - begin).as_secs_f64();
        let remaining = self.wait_until(|view, _| healed(view));
        metrics.healed = remaining.map(|remaining| elapsed + remaining);
        self.run(secs(3.0));
        metrics.heal_peak = self.peak_sent as f64;
        self.peak_sent = self.peak_sent.max(peak);
    }

    /// Restarts and fails VMs while upstreams drain.
    fn measure_churn(&mut self, metrics: &mut SizeMetrics) {
        let nodes = self.live_views().count() as f64;
        let scale = nodes / DESIGN_VMS * CHURN_SPEEDUP / 86_400.0;
        let mut due = 0.0;
        let mut slowest = Some(0.0);
        self.sent.fill(0);
        let begin = self.time;
        for step in 0..6 {
            due += (DESIGN_RESTARTS_PER_DAY + DESIGN_FAILURES_PER_DAY) * scale * 3.0;
            while due >= 1.0 {
                due -= 1.0;
                metrics.churn_events += 1;
                let fails = metrics.churn_events.is_multiple_of(23);
                self.replace_vm(fails);
            }
            let observer = self.pick_vm();
            let id = self.start_drain(observer);
            let time = self.wait_drain(&id);
            slowest = slowest.zip(time).map(|(a, b): (f64, f64)| a.max(b));
            let next = begin + secs(3.0) * (step + 1);
            self.run(next.saturating_sub(self.time));
        }
        let span = (self.time - begin).as_secs_f64();
        metrics.churn_sent = self.sent.iter().sum::<usize>() as f64 / nodes / span;
        metrics.churn_drain = slowest;
    }

    /// Replaces a VM, which leaves first unless it fails.
    fn replace_vm(&mut self, fails: bool) {
        let vm = self.pick_vm();
        let zone = self.zones[vm];
        let now = self.now();
        if let Some(view) = &mut self.views[vm]
            && !fails
        {
            view.leave(now);
            self.schedule(LEAVE_TIME, Event::Stop(vm));
        } else {
            self.views[vm] = None;
        }
        self.add_vm(zone);
    }
}
