//! A model of one upstream server, without I/O: its driver passes events and the current time.
//!
//! The runtime in [`crate::upstreams`] and the benchmark drive the same model, so that a fault
//! has the same effect over sockets and in virtual time.

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

/// Identifies one request at one server.
///
/// The driver assigns it, so that replies stay apart even when a caller repeats an attempt identifier.
pub type RequestId = u64;

/// Time until a cancelled request stops running, because servers check for cancellation only between steps.
const CANCEL_DELAY: Duration = Duration::from_millis(1);

/// Longest request body that is returned in the result items; a longer one is replaced by its hash.
const MAX_ECHO_BYTES: usize = 256;

#[derive(Debug)]
enum Request {
    Query(QueryRequest),
    Run(RunRequest),
}

impl Request {
    fn attempt(&self) -> AttemptId {
        match self {
            Request::Query(request) => request.attempt,
            Request::Run(request) => request.attempt,
        }
    }
}

#[derive(Debug)]
struct Job {
    id: RequestId,
    arrived: Instant,
    deadline: Instant,
    request: Request,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    started: Instant,
    end: Instant,
    abort_reason: Option<&'static str>,
}

/// The model of one upstream server.
#[derive(Debug)]
pub struct Server {
    settings: ServerSettings,
    started: Instant,
    faults: Faults,
    draining_since: Option<Instant>,
    versions: BTreeMap<IndexVersion, MapId>,
    shards: BTreeMap<MapId, BTreeMap<ShardId, u64>>,
    running: Vec<RunningJob>,
    queue: VecDeque<Job>,
    load_samples: LoadSamples,
    counts: ServerCounts,
    run_counts: BTreeMap<CompactString, u32>,
}

impl Server {
    /// Creates a warm server that serves its shards of the given maps.
    pub fn new(settings: ServerSettings, maps: &[ShardMap], now: Instant) -> Server {
        let mut server = Server {
            started: now.checked_sub(settings.cold_time).unwrap_or(now),
            load_samples: LoadSamples::new(settings.report_lag),
            settings,
            faults: Faults::default(),
            draining_since: None,
            versions: BTreeMap::new(),
            shards: BTreeMap::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            counts: ServerCounts::default(),
            run_counts: BTreeMap::new(),
        };
        for map in maps {
            server.add_map(map);
        }
        server
    }

    /// Processes one event and returns the actions that the driver has to perform.
    pub fn handle(&mut self, event: Event, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.complete_due(now, rng, &mut actions);
        match event {
            Event::Query(id, request) => self.handle_query(id, request, now, rng, &mut actions),
            Event::Run(id, request) => {
                let deadline = now + Duration::from_millis(request.deadline_ms);
                let request = Request::Run(request);
                self.admit(
                    Job {
                        id,
                        arrived: now,
                        deadline,
                        request,
                    },
                    now,
                    rng,
                    &mut actions,
                );
            }
            Event::Cancel(attempt) => self.cancel_attempt(attempt, now, &mut actions),
            Event::Fault(fault) => self.apply_fault(fault, now, &mut actions),
            Event::Wake => {}
        }
        self.load_samples.record(self.current_load(now), now);
        if let Some(end) = self.running.iter().map(|running| running.end).min() {
            actions.push(Action::WakeAt(end));
        }
        actions
    }

    /// Returns the state that each reply carries.
    pub fn state(&self, now: Instant) -> UpstreamState {
        if self.draining_since.is_some() {
            UpstreamState::Draining
        } else if now < self.started + self.settings.cold_time {
            UpstreamState::Cold
        } else {
            UpstreamState::Live
        }
    }

    /// Returns the lagging load and state that `GET /load` and `GET /healthz` report.
    pub fn reported_load(&self, now: Instant) -> LoadReport {
        self.load_samples
            .at(now)
            .unwrap_or_else(|| self.current_load(now))
    }

    /// Returns whether the server accepts connections; a stopped server refuses them.
    pub fn accepts_connections(&self) -> bool {
        !self.faults.stopped
    }

    /// Draws the service time of one shard without queueing; returns `None` when the server is stopped.
    pub fn draw_time(&self, now: Instant, rng: &mut dyn Rng) -> Option<Duration> {
        self.accepts_connections()
            .then(|| self.draw_service_time(now, rng))
    }

    /// Returns the settings of the server.
    pub fn settings(&self) -> &ServerSettings {
        &self.settings
    }

    /// Returns the counters of the server.
    pub fn counts(&self) -> &ServerCounts {
        &self.counts
    }

    /// Returns the number of runs per idempotency key.
    pub fn runs(&self) -> &BTreeMap<CompactString, u32> {
        &self.run_counts
    }

    /// Returns the current load without lag, which no endpoint reports; tests use it.
    pub fn current_load(&self, now: Instant) -> LoadReport {
        LoadReport {
            state: self.state(now),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        }
    }

    fn add_map(&mut self, map: &ShardMap) {
        let own_shards = map
            .shards
            .iter()
            .filter(|shard| shard.replicas.contains(&self.settings.id))
            .map(|shard| (shard.id, shard.members))
            .collect();
        self.shards.insert(map.map, own_shards);
        for &version in &map.versions {
            self.versions.insert(version, map.map);
        }
    }

    fn apply_fault(&mut self, fault: Fault, now: Instant, actions: &mut Vec<Action>) {
        match fault {
            Fault::Hold { map } => self.add_map(&map),
            Fault::Retire { version } => {
                self.versions.remove(&version);
            }
            Fault::Drain => self.draining_since = self.draining_since.or(Some(now)),
            Fault::Restart => {
                self.abort_all(actions, now);
                self.draining_since = None;
                self.started = now;
            }
            Fault::Stop => {
                self.abort_all(actions, now);
                self.faults.stopped = true;
            }
            Fault::Clear => {
                self.draining_since = None;
                self.faults = Faults::default();
            }
            Fault::Straggle { chance, factor } => self.faults.straggle = (chance, factor),
            Fault::Slow { factor } => self.faults.slow_factor = factor,
            Fault::Shed { chance } => self.faults.shed_chance = chance,
        }
    }

    /// Ends every request in progress without a guarantee that it was not run, like a process that exits.
    fn abort_all(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        for job in running.into_iter().map(|running| running.job).chain(queue) {
            actions.push(self.build_rejection(&job, 503, false, "the server stopped", now));
        }
    }

    fn handle_query(
        &mut self,
        id: RequestId,
        request: QueryRequest,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        if request.shards.is_empty() {
            self.counts.probes += 1;
            let reply = self.build_query_reply(&request, Duration::ZERO, now);
            actions.push(Action::Reply(id, Reply::Query(reply)));
            return;
        }
        let deadline = now + Duration::from_millis(request.deadline_ms);
        let job = Job {
            id,
            arrived: now,
            deadline,
            request: Request::Query(request),
        };
        self.admit(job, now, rng, actions);
    }

    fn admit(&mut self, job: Job, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        self.counts.received += 1;
        let grace_over = self
            .draining_since
            .is_some_and(|since| now >= since + self.settings.drain_grace);
        if grace_over {
            self.counts.late += 1;
            actions.push(self.build_rejection(&job, 503, true, "the server is draining", now));
        } else if !self.can_serve(&job.request) {
            self.counts.retired += 1;
            actions.push(self.build_rejection(
                &job,
                410,
                true,
                "the version or map is not held",
                now,
            ));
        } else if self.faults.shed_chance > 0.0 && rng.random_bool(self.faults.shed_chance.min(1.0))
        {
            self.counts.shed += 1;
            actions.push(self.build_rejection(&job, 503, true, "the server sheds load", now));
        } else if self.running.len() < self.settings.slots as usize {
            self.start(job, now, rng);
        } else if self.queue.len() >= self.settings.queue as usize {
            self.counts.full += 1;
            actions.push(self.build_rejection(&job, 429, true, "the queue is full", now));
        } else {
            self.queue.push_back(job);
        }
    }

    fn can_serve(&self, request: &Request) -> bool {
        match request {
            Request::Query(request) => {
                let has_version = self.versions.get(&request.version) == Some(&request.map);
                let own = self.shards.get(&request.map);
                has_version
                    && own.is_some_and(|own| request.shards.iter().all(|id| own.contains_key(id)))
            }
            Request::Run(request) => {
                let newest = self.versions.last_key_value().map(|(_, map)| map);
                newest
                    .and_then(|map| self.shards.get(map))
                    .is_some_and(|own| own.contains_key(&request.shard))
            }
        }
    }

    fn start(&mut self, job: Job, now: Instant, rng: &mut dyn Rng) {
        self.counts.ran += 1;
        let duration = match &job.request {
            Request::Query(request) => {
                self.draw_service_time(now, rng) * request.shards.len() as u32
            }
            Request::Run(request) => {
                *self.run_counts.entry(request.key.clone()).or_default() += 1;
                self.draw_service_time(now, rng)
            }
        };
        let end = now + duration;
        let abort_reason = (matches!(job.request, Request::Query(_)) && end > job.deadline)
            .then_some("the deadline passed while the request ran");
        let end = if abort_reason.is_some() {
            job.deadline
        } else {
            end
        };
        self.running.push(RunningJob {
            job,
            started: now,
            end,
            abort_reason,
        });
    }

    /// Draws a service time: a log-normal time, multiplied by the factors of the faults and of a cold start.
    fn draw_service_time(&self, now: Instant, rng: &mut dyn Rng) -> Duration {
        let mut factor = self.faults.slow_factor.max(1.0);
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

    /// Completes the running requests whose end is reached, and starts queued ones in the free slots.
    fn complete_due(&mut self, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        while let Some(index) = self.find_first_due(now) {
            let running = self.running.remove(index);
            self.counts.busy += running.end.saturating_duration_since(running.started);
            actions.push(self.finish(running, now));
            self.start_queued(now, rng, actions);
        }
    }

    fn find_first_due(&self, now: Instant) -> Option<usize> {
        let due = self.running.iter().enumerate();
        due.filter(|(_, running)| running.end <= now)
            .min_by_key(|(_, running)| (running.end, running.job.id))
            .map(|(index, _)| index)
    }

    fn start_queued(&mut self, now: Instant, rng: &mut dyn Rng, actions: &mut Vec<Action>) {
        while self.running.len() < self.settings.slots as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if now >= job.deadline {
                self.counts.expired += 1;
                actions.push(self.build_rejection(
                    &job,
                    503,
                    true,
                    "the deadline passed in the queue",
                    now,
                ));
            } else if !self.can_serve(&job.request) {
                self.counts.retired += 1;
                actions.push(self.build_rejection(&job, 410, true, "the version was retired", now));
            } else {
                self.start(job, now, rng);
            }
        }
    }

    fn finish(&mut self, running: RunningJob, now: Instant) -> Action {
        let RunningJob {
            job,
            started,
            abort_reason,
            ..
        } = running;
        if let Some(reason) = abort_reason {
            self.counts.cut += 1;
            return self.build_rejection(&job, 503, false, reason, now);
        }
        let reply = match &job.request {
            Request::Query(request) => {
                let queue_time = started.saturating_duration_since(job.arrived);
                Reply::Query(self.build_query_reply(request, queue_time, now))
            }
            Request::Run(request) => Reply::Run(RunReply {
                attempt: request.attempt,
                state: self.state(now),
                result: self.build_items(request.shard, &request.body),
            }),
        };
        Action::Reply(job.id, reply)
    }

    fn cancel_attempt(&mut self, attempt: AttemptId, now: Instant, actions: &mut Vec<Action>) {
        let queued = self
            .queue
            .iter()
            .position(|job| job.request.attempt() == attempt);
        if let Some(job) = queued.and_then(|index| self.queue.remove(index)) {
            self.counts.unqueued += 1;
            actions.push(self.build_rejection(&job, 503, true, "the request was cancelled", now));
            return;
        }
        for running in &mut self.running {
            let is_query = matches!(running.job.request, Request::Query(_));
            if is_query
                && running.job.request.attempt() == attempt
                && running.end > now + CANCEL_DELAY
            {
                running.end = now + CANCEL_DELAY;
                running.abort_reason = Some("the request was cancelled while it ran");
            }
        }
    }

    fn build_rejection(
        &self,
        job: &Job,
        status: u16,
        not_run: bool,
        reason: &str,
        now: Instant,
    ) -> Action {
        Action::Reply(
            job.id,
            Reply::Rejected(Rejection {
                status,
                not_run,
                body: RejectReply {
                    attempt: job.request.attempt(),
                    reason: reason.into(),
                    state: self.state(now),
                    held: self.versions.keys().copied().collect(),
                },
            }),
        )
    }

    fn build_query_reply(
        &self,
        request: &QueryRequest,
        queue_time: Duration,
        now: Instant,
    ) -> QueryReply {
        let own = self.shards.get(&request.map);
        let parts = request.shards.iter().map(|&shard| Part {
            shard,
            version: request.version,
            map: request.map,
            members: own.and_then(|own| own.get(&shard)).copied().unwrap_or(0),
            items: self.build_items(shard, &request.body),
        });
        QueryReply {
            attempt: request.attempt,
            parts: parts.collect(),
            state: self.state(now),
            queue_ms: queue_time.as_millis() as u64,
            held: self.versions.keys().copied().collect(),
        }
    }

    /// Builds result items that contain the request body, so that callers can match an answer with its request.
    fn build_items(&self, shard: ShardId, body: &RawValue) -> Box<RawValue> {
        let body = body.get();
        let text = if body.len() <= MAX_ECHO_BYTES {
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
