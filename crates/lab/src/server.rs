//! A model of one upstream server, without I/O: it is driven by events that carry the time.
//!
//! The runtime in [`crate::upstreams`] and the benchmark drive the same model, so that a fault
//! behaves the same over sockets and in virtual time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexVersion;
use base::MapId;
use base::Part;
use base::QueryReply;
use base::QueryRequest;
use base::RejectReply;
use base::RunReply;
use base::RunRequest;
use base::ShardId;
use base::ShardMap;
use base::UpstreamState;
use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;
use serde_json::value::RawValue;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::load_report::LoadReport;
use crate::load_report::LoadSamples;
pub use crate::server_io::Action;
pub use crate::server_io::Event;
pub use crate::server_io::Rejection;
pub use crate::server_io::Reply;
use crate::server_settings::ServerCounts;
use crate::server_settings::ServerSettings;

/// Identifies one request at one server; chosen by the driver, so that a repeated attempt id cannot mix replies up.
pub type RequestId = u64;

/// Time until a running request notices that it was cancelled, as servers check between steps of the work.
const CANCEL_LAG: Duration = Duration::from_millis(1);

/// Longest request body that is repeated in the items; a longer one is replaced by its hash.
const ECHO_LIMIT: usize = 256;

#[derive(Debug)]
enum Work {
    Query(QueryRequest),
    Run(RunRequest),
}

impl Work {
    fn attempt(&self) -> AttemptId {
        match self {
            Work::Query(request) => request.attempt,
            Work::Run(request) => request.attempt,
        }
    }
}

#[derive(Debug)]
struct Job {
    id: RequestId,
    arrived: Instant,
    deadline: Instant,
    work: Work,
}

#[derive(Debug)]
struct Running {
    job: Job,
    started: Instant,
    ends: Instant,
    cut: Option<&'static str>,
}

/// The model of one server.
#[derive(Debug)]
pub struct Server {
    settings: ServerSettings,
    started: Instant,
    faults: Faults,
    drained: Option<Instant>,
    versions: BTreeMap<IndexVersion, MapId>,
    shards: BTreeMap<MapId, BTreeMap<ShardId, u64>>,
    running: Vec<Running>,
    queue: VecDeque<Job>,
    reports: LoadSamples,
    counts: ServerCounts,
    runs: BTreeMap<CompactString, u32>,
}

impl Server {
    /// Creates a warm server that holds its shards of the given maps.
    pub fn new(settings: ServerSettings, maps: &[ShardMap], now: Instant) -> Server {
        let mut server = Server {
            started: now.checked_sub(settings.cold_time).unwrap_or(now),
            reports: LoadSamples::new(settings.report_lag),
            settings,
            faults: Faults::default(),
            drained: None,
            versions: BTreeMap::new(),
            shards: BTreeMap::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            counts: ServerCounts::default(),
            runs: BTreeMap::new(),
        };
        for map in maps {
            server.hold(map);
        }
        server
    }

    /// Advances the model by one event.
    pub fn handle(&mut self, event: Event, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.complete(now, rng, &mut actions);
        match event {
            Event::Query(id, request) => self.query(id, request, now, rng, &mut actions),
            Event::Run(id, request) => {
                let deadline = now + Duration::from_millis(request.deadline_ms);
                let work = Work::Run(request);
                self.admit(
                    Job {
                        id,
                        arrived: now,
                        deadline,
                        work,
                    },
                    now,
                    rng,
                    &mut actions,
                );
            }
            Event::Cancel(attempt) => self.cancel(attempt, now, &mut actions),
            Event::Fault(fault) => self.fault(fault, now, &mut actions),
            Event::Wake => {}
        }
        self.reports.record(self.current_load(now), now);
        if let Some(ends) = self.running.iter().map(|running| running.ends).min() {
            actions.push(Action::WakeAt(ends));
        }
        actions
    }

    /// Returns the state that the server gives on each reply.
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.drained.is_some() {
            UpstreamState::Draining
        } else if now < self.started + self.settings.cold_time {
            UpstreamState::Cold
        } else {
            UpstreamState::Live
        }
    }

    /// Returns the load figure of `GET /load` and the state of `GET /healthz`; both lag.
    pub fn reported_load(&self, now: Instant) -> LoadReport {
        self.reports
            .at(now)
            .unwrap_or_else(|| self.current_load(now))
    }

    /// Tells whether the server accepts connections; a stopped one refuses them.
    pub fn accepts_connections(&self) -> bool {
        !self.faults.stopped
    }

    /// Draws the time that a request would take in a free slot, or `None` when the server is stopped.
    pub fn draw_time(&self, now: Instant, rng: &mut dyn Rng) -> Option<Duration> {
        self.accepts_connections()
            .then(|| self.service_time(now, rng))
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ServerSettings {
        &self.settings
    }

    /// Returns what the server has done so far.
    pub fn counts(&self) -> &ServerCounts {
        &self.counts
    }

    /// Returns how often a request with each idempotency key was run.
    pub fn runs(&self) -> &BTreeMap<CompactString, u32> {
        &self.runs
    }

    /// Returns the load at this moment, which no endpoint shows; checks compare with it.
    pub fn current_load(&self, now: Instant) -> LoadReport {
        LoadReport {
            state: self.state(now),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        }
    }

    fn hold(&mut self, map: &ShardMap) {
        let own = map
            .shards
            .iter()
            .filter(|shard| shard.replicas.contains(&self.settings.id))
            .map(|shard| (shard.id, shard.members))
            .collect();
        self.shards.insert(map.map, own);
        for &version in &map.versions {
            self.versions.insert(version, map.map);
        }
    }

    fn fault(&mut self, fault: Fault, now: Instant, actions: &mut Vec<Action>) {
        match fault {
            Fault::Hold { map } => self.hold(&map),
            Fault::Retire { version } => {
                self.versions.remove(&version);
            }
            Fault::Drain => self.drained = self.drained.or(Some(now)),
            Fault::Restart => {
                self.drop_all(actions, now);
                self.drained = None;
                self.started = now;
            }
            Fault::Stop => {
                self.drop_all(actions, now);
                self.faults.stopped = true;
            }
            Fault::Clear => {
                self.drained = None;
                self.faults = Faults::default();
            }
            Fault::Straggle { chance, factor } => self.faults.straggle = (chance, factor),
            Fault::Slow { factor } => self.faults.slow = factor,
            Fault::Shed { chance } => self.faults.shed = chance,
        }
    }

    /// Ends everything in progress without proof that it was not run, as a process that stops does.
    fn drop_all(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        for job in running.into_iter().map(|running| running.job).chain(queue) {
            actions.push(self.reject(&job, 503, false, "the server stopped", now));
        }
    }

    fn query(
        &mut self,
        id: RequestId,
        request: QueryRequest,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        if request.shards.is_empty() {
            self.counts.probes += 1;
            let reply = self.query_reply(&request, Duration::ZERO, now);
            actions.push(Action::Reply(id, Reply::Query(reply)));
            return;
        }
        let deadline = now + Duration::from_millis(request.deadline_ms);
        let job = Job {
            id,
            arrived: now,
            deadline,
            work: Work::Query(request),
        };
        self.admit(job, now, rng, actions);
    }

    fn admit(&mut self, job: Job, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        self.counts.received += 1;
        let leaving = self
            .drained
            .is_some_and(|since| now >= since + self.settings.drain_grace);
        if leaving {
            self.counts.late += 1;
            actions.push(self.reject(&job, 503, true, "the server is draining", now));
        } else if !self.holds(&job.work) {
            self.counts.retired += 1;
            actions.push(self.reject(&job, 410, true, "the version or map is not held", now));
        } else if self.faults.shed > 0.0 && rng.random_bool(self.faults.shed.min(1.0)) {
            self.counts.shed += 1;
            actions.push(self.reject(&job, 503, true, "the server sheds load", now));
        } else if self.running.len() < self.settings.slots as usize {
            self.start(job, now, rng);
        } else if self.queue.len() >= self.settings.queue as usize {
            self.counts.full += 1;
            actions.push(self.reject(&job, 429, true, "the queue is full", now));
        } else {
            self.queue.push_back(job);
        }
    }

    fn holds(&self, work: &Work) -> bool {
        match work {
            Work::Query(request) => {
                let held = self.versions.get(&request.version) == Some(&request.map);
                let own = self.shards.get(&request.map);
                held && own.is_some_and(|own| request.shards.iter().all(|id| own.contains_key(id)))
            }
            Work::Run(request) => {
                let newest = self.versions.last_key_value().map(|(_, map)| map);
                newest
                    .and_then(|map| self.shards.get(map))
                    .is_some_and(|own| own.contains_key(&request.shard))
            }
        }
    }

    fn start(&mut self, job: Job, now: Instant, rng: &mut dyn Rng) {
        self.counts.ran += 1;
        let work = match &job.work {
            Work::Query(request) => self.service_time(now, rng) * request.shards.len() as u32,
            Work::Run(request) => {
                *self.runs.entry(request.key.clone()).or_default() += 1;
                self.service_time(now, rng)
            }
        };
        let ends = now + work;
        let cut = (matches!(job.work, Work::Query(_)) && ends > job.deadline)
            .then_some("the deadline passed while the request ran");
        let ends = if cut.is_some() { job.deadline } else { ends };
        self.running.push(Running {
            job,
            started: now,
            ends,
            cut,
        });
    }

    /// Draws a service time: a log-normal body, times the factors of the faults and of a cold start.
    fn service_time(&self, now: Instant, rng: &mut dyn Rng) -> Duration {
        let mut factor = self.faults.slow.max(1.0);
        let (chance, slow) = self.faults.straggle;
        if chance > 0.0 && rng.random_bool(chance.min(1.0)) {
            factor *= slow;
        }
        let age = now.saturating_duration_since(self.started);
        if age < self.settings.cold_time {
            let left = 1.0 - age.as_secs_f64() / self.settings.cold_time.as_secs_f64();
            factor *= 1.0 + (self.settings.cold_factor - 1.0) * left;
        }
        self.settings.draw_base_time(rng).mul_f64(factor)
    }

    /// Ends the requests that are due, and starts queued ones in the slots that become free.
    fn complete(&mut self, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        while let Some(at) = self.first_due(now) {
            let running = self.running.remove(at);
            self.counts.busy += running.ends.saturating_duration_since(running.started);
            actions.push(self.end(running, now));
            self.start_queued(now, rng, actions);
        }
    }

    fn first_due(&self, now: Instant) -> Option<usize> {
        let due = self.running.iter().enumerate();
        due.filter(|(_, running)| running.ends <= now)
            .min_by_key(|(_, running)| (running.ends, running.job.id))
            .map(|(at, _)| at)
    }

    fn start_queued(&mut self, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        while self.running.len() < self.settings.slots as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if now >= job.deadline {
                self.counts.expired += 1;
                actions.push(self.reject(&job, 503, true, "the deadline passed in the queue", now));
            } else if !self.holds(&job.work) {
                self.counts.retired += 1;
                actions.push(self.reject(&job, 410, true, "the version was retired", now));
            } else {
                self.start(job, now, rng);
            }
        }
    }

    fn end(&mut self, running: Running, now: Instant) -> Action {
        let Running {
            job, started, cut, ..
        } = running;
        if let Some(reason) = cut {
            self.counts.cut += 1;
            return self.reject(&job, 503, false, reason, now);
        }
        let reply = match &job.work {
            Work::Query(request) => {
                let waited = started.saturating_duration_since(job.arrived);
                Reply::Query(self.query_reply(request, waited, now))
            }
            Work::Run(request) => Reply::Run(RunReply {
                attempt: request.attempt,
                state: self.state(now),
                result: self.items(request.shard, &request.body),
            }),
        };
        Action::Reply(job.id, reply)
    }

    fn cancel(&mut self, attempt: AttemptId, now: Instant, actions: &mut Vec<Action>) {
        let queued = self
            .queue
            .iter()
            .position(|job| job.work.attempt() == attempt);
        if let Some(job) = queued.and_then(|at| self.queue.remove(at)) {
            self.counts.unqueued += 1;
            actions.push(self.reject(&job, 503, true, "the request was cancelled", now));
            return;
        }
        for running in &mut self.running {
            let query = matches!(running.job.work, Work::Query(_));
            if query && running.job.work.attempt() == attempt && running.ends > now + CANCEL_LAG {
                running.ends = now + CANCEL_LAG;
                running.cut = Some("the request was cancelled while it ran");
            }
        }
    }

    fn reject(&self, job: &Job, status: u16, not_run: bool, reason: &str, now: Instant) -> Action {
        Action::Reply(
            job.id,
            Reply::Rejected(Rejection {
                status,
                not_run,
                body: RejectReply {
                    attempt: job.work.attempt(),
                    reason: reason.into(),
                    state: self.state(now),
                    held: self.versions.keys().copied().collect(),
                },
            }),
        )
    }

    fn query_reply(&self, request: &QueryRequest, waited: Duration, now: Instant) -> QueryReply {
        let own = self.shards.get(&request.map);
        let parts = request.shards.iter().map(|&shard| Part {
            shard,
            version: request.version,
            map: request.map,
            members: own.and_then(|own| own.get(&shard)).copied().unwrap_or(0),
            items: self.items(shard, &request.body),
        });
        QueryReply {
            attempt: request.attempt,
            parts: parts.collect(),
            state: self.state(now),
            queue_ms: waited.as_millis() as u64,
            held: self.versions.keys().copied().collect(),
        }
    }

    /// Builds result items that repeat the request body, so that an answer can be matched with its request.
    fn items(&self, shard: ShardId, body: &RawValue) -> Box<RawValue> {
        let body = body.get();
        let text = if body.len() <= ECHO_LIMIT {
            format!(r#"[{{"shard":{shard},"echo":{body}}}]"#)
        } else {
            format!(
                r#"[{{"shard":{shard},"echo":"{:016x}"}}]"#,
                base::hash_key(body)
            )
        };
        RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
    }
}
