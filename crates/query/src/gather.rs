//! The state machine of one forwarded request: one sub-request to each service, hedged, retried, and judged.
//!
//! A request that goes to one server is a gather over one service. The machine never sees a reply; it decides which
//! sub-requests are sent and which of their replies make up the answer. See docs/decisions/0005-platform.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use limit::Blocked;
use limit::GateKey;
use limit::Limits;
use limit::Permit;
use rand::Rng;

use crate::AttemptKind;
use crate::Failure;

/// Time after which a sub-request is first tried again when every replica was at its limit or no repeat was allowed; it
/// doubles each time.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest such time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(160);

/// Usual reply times that have to be left for a further sub-request.
const LAST_TRY: u32 = 2;

/// Part of the saved repeat tokens that hedges leave for retries, which replace what is already lost.
const HEDGE_RESERVE: f64 = 0.3;

/// What is asked of a gather, fixed when the request is accepted.
#[derive(Debug, Clone)]
pub struct GatherPlan {
    /// Services to ask, each for one part.
    pub services: Rc<[ServiceName]>,
    /// Parts without which there is no success.
    pub required: usize,
    /// Whether a sub-request may run more than once.
    pub repeatable: bool,
    /// Servers of one service on which the request may run.
    pub max_runs: u32,
    /// Moment from which an answer with the required parts is better than waiting for the others.
    pub objective: Instant,
    /// Moment at which the caller stops waiting.
    pub deadline: Instant,
    /// Usual reply time of a near server.
    pub typical_latency: Duration,
    /// Time without a reply after which a second server is asked.
    pub hedge_delay: Duration,
}

/// What a gather borrows from its node while it handles an input.
pub struct GatherEnv<'a> {
    /// Replicas of each service.
    pub replicas: &'a HashMap<ServiceName, Vec<GateKey>>,
    /// Gates and budgets of the node.
    pub limits: &'a mut Limits,
    /// Source of attempt ids, unique on this node.
    pub next_attempt: &'a mut AttemptId,
    /// Random generator, seeded by the caller.
    pub rng: &'a mut dyn Rng,
}

impl std::fmt::Debug for GatherEnv<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatherEnv").finish_non_exhaustive()
    }
}

/// An input of the state machine.
#[derive(Debug)]
pub enum GatherEvent {
    /// The request was accepted.
    Start,
    /// A valid reply came.
    Replied(AttemptId),
    /// A sub-request failed.
    Failed(AttemptId, Failure),
    /// The moment given by [`Gather::next_wake`] has come.
    Wake,
}

/// An output of the state machine.
#[derive(Debug)]
pub enum GatherAction {
    /// Send a sub-request to the upstream of the permit.
    Send {
        /// Identifies the sub-request.
        id: AttemptId,
        /// Why it is sent.
        kind: AttemptKind,
        /// Index of the service in [`GatherPlan::services`].
        service: usize,
        /// The right to send it.
        permit: Permit,
    },
    /// The gather has ended.
    Finish(GatherOutcome),
}

/// How a gather ended.
#[derive(Debug, Clone, PartialEq)]
pub enum GatherOutcome {
    /// The replies of these sub-requests make up the answer.
    Answered {
        /// One sub-request for each service that is in the answer.
        parts: Vec<AttemptId>,
        /// Services that are not in the answer.
        missing: usize,
    },
    /// No sub-request was run or can run any more.
    NotRun,
    /// Too many sub-requests failed, and some of them may have run.
    Failed,
    /// The deadline passed, and some sub-requests may have run.
    TimedOut,
}

/// A service that has given no part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnansweredService<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Sub-requests sent to it; none if it has no server that may be sent to.
    pub sent: u32,
    /// Sub-requests whose replies are still awaited.
    pub awaited: usize,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Progress {
    Open,
    Done(AttemptId),
    Missing,
}

#[derive(Debug)]
struct Shard {
    progress: Progress,
    live: Vec<AttemptId>,
    tried: Vec<GateKey>,
    /// Sub-requests that ran or may have run.
    runs: u32,
    sent: u32,
    /// Times that a sub-request had to wait for a place or for a repeat.
    held: u32,
    hedge_at: Option<Instant>,
    retry_at: Option<Instant>,
}

/// State machine of one request.
#[derive(Debug)]
pub struct Gather {
    plan: GatherPlan,
    shards: Vec<Shard>,
    done: bool,
}

impl Gather {
    /// Creates the state machine; it does nothing before [`GatherEvent::Start`].
    pub fn new(plan: GatherPlan) -> Gather {
        let new_shard = |_: &ServiceName| Shard {
            progress: Progress::Open,
            live: Vec::new(),
            tried: Vec::new(),
            runs: 0,
            sent: 0,
            held: 0,
            hedge_at: None,
            retry_at: None,
        };
        let shards = plan.services.iter().map(new_shard).collect();
        Gather {
            plan,
            shards,
            done: false,
        }
    }

    /// Returns what the gather was asked to do.
    pub fn plan(&self) -> &GatherPlan {
        &self.plan
    }

    /// Returns the sub-requests sent so far, hedges and retries included.
    pub fn sent(&self) -> u32 {
        self.shards.iter().map(|shard| shard.sent).sum()
    }

    /// Returns the services without a part, for the log line of a request that lacks some.
    pub fn unanswered_services(&self) -> Vec<UnansweredService<'_>> {
        self.plan
            .services
            .iter()
            .zip(&self.shards)
            .filter(|(_, shard)| !matches!(shard.progress, Progress::Done(_)))
            .map(|(service, shard)| UnansweredService {
                service,
                sent: shard.sent,
                awaited: shard.live.len(),
            })
            .collect()
    }

    /// Returns when the machine wants [`GatherEvent::Wake`], unless it has ended.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.done {
            return None;
        }
        let timers = self
            .shards
            .iter()
            .filter(|shard| shard.progress == Progress::Open)
            .flat_map(|shard| [shard.hedge_at, shard.retry_at])
            .flatten();
        let end = if self.parts() >= self.plan.required {
            self.plan.objective.min(self.plan.deadline)
        } else {
            self.plan.deadline
        };
        Some(timers.fold(end, Instant::min))
    }

    /// Advances the state machine by one input.
    pub fn handle(
        &mut self,
        input: GatherEvent,
        now: Instant,
        env: &mut GatherEnv<'_>,
    ) -> Vec<GatherAction> {
        let mut outputs = Vec::new();
        if self.done {
            return outputs;
        }
        match input {
            GatherEvent::Start => self.start(now, env, &mut outputs),
            GatherEvent::Replied(id) => self.receive(id),
            GatherEvent::Failed(id, failure) => self.fail(id, &failure, now, env, &mut outputs),
            GatherEvent::Wake => self.run_timers(now, env, &mut outputs),
        }
        if let Some(verdict) = self.judge(now) {
            self.done = true;
            outputs.push(GatherAction::Finish(verdict));
        }
        outputs
    }

    /// Sends to every service, unless it is known already that too few can be reached.
    fn start(&mut self, now: Instant, env: &mut GatherEnv<'_>, outputs: &mut Vec<GatherAction>) {
        let reachable = |service: &&ServiceName| {
            env.replicas
                .get(*service)
                .is_some_and(|keys| keys.iter().any(|&key| is_usable(env.limits, key, now)))
        };
        let usable = self.plan.services.iter().filter(reachable).count();
        if usable < self.plan.required {
            for shard in &mut self.shards {
                shard.progress = Progress::Missing;
            }
            return;
        }
        for at in 0..self.shards.len() {
            env.limits.earn_repeat(&self.plan.services[at]);
            self.send(at, AttemptKind::Primary, now, env, outputs);
        }
    }

    fn receive(&mut self, id: AttemptId) {
        for shard in &mut self.shards {
            if shard.live.contains(&id) {
                shard.live.retain(|live| *live != id);
                if shard.progress == Progress::Open {
                    shard.progress = Progress::Done(id);
                }
            }
        }
    }

    fn fail(
        &mut self,
        id: AttemptId,
        failure: &Failure,
        now: Instant,
        env: &mut GatherEnv<'_>,
        outputs: &mut Vec<GatherAction>,
    ) {
        let is_live = |shard: &Shard| shard.live.contains(&id);
        let Some(at) = self.shards.iter().position(is_live) else {
            return;
        };
        let shard = &mut self.shards[at];
        shard.live.retain(|live| *live != id);
        if failure.proves_not_run() {
            shard.runs -= 1;
        }
        if shard.progress == Progress::Open && shard.live.is_empty() {
            self.send(at, AttemptKind::Retry, now, env, outputs);
        }
    }

    fn run_timers(
        &mut self,
        now: Instant,
        env: &mut GatherEnv<'_>,
        outputs: &mut Vec<GatherAction>,
    ) {
        for at in 0..self.shards.len() {
            let shard = &mut self.shards[at];
            if shard.progress != Progress::Open {
                continue;
            }
            if shard.retry_at.is_some_and(|due| due <= now) {
                shard.retry_at = None;
                let kind = if shard.sent == 0 {
                    AttemptKind::Primary
                } else {
                    AttemptKind::Retry
                };
                self.send(at, kind, now, env, outputs);
            } else if shard.hedge_at.is_some_and(|due| due <= now) {
                shard.hedge_at = None;
                self.send(at, AttemptKind::Hedge, now, env, outputs);
            }
        }
    }

    /// Sends one sub-request, or gives the service up when no further one can be sent.
    fn send(
        &mut self,
        at: usize,
        kind: AttemptKind,
        now: Instant,
        env: &mut GatherEnv<'_>,
        outputs: &mut Vec<GatherAction>,
    ) {
        let shard = &mut self.shards[at];
        let service = &self.plan.services[at];
        let may_run = shard.runs < self.plan.max_runs
            && (shard.runs == 0 || self.plan.repeatable)
            && now < self.plan.deadline;
        let keys = env.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let untried = keys
            .iter()
            .copied()
            .filter(|key| !shard.tried.contains(key));
        let usual = self.plan.typical_latency;
        let mut picked = match may_run {
            true => env.limits.pick_fastest(untried, usual, now, env.rng),
            false => Err(Blocked::Unknown),
        };
        if kind != AttemptKind::Hedge
            && may_run
            && picked == Err(Blocked::Unknown)
            && !keys.is_empty()
        {
            shard.tried.clear();
            picked = Err(Blocked::Limit);
        }
        if kind != AttemptKind::Primary && picked.is_ok() {
            let reserve = if kind == AttemptKind::Hedge {
                HEDGE_RESERVE
            } else {
                0.0
            };
            if !env.limits.spend_repeat(service, reserve, env.rng) {
                // Requests earn repeats all the time, and a late answer is better than none.
                picked = Err(Blocked::Limit);
            }
        }
        let permit = match picked.and_then(|key| env.limits.acquire(key, now)) {
            Ok(permit) => permit,
            Err(blocked) => {
                shard.hold(blocked, kind, now, &self.plan);
                return;
            }
        };
        *env.next_attempt += 1;
        let id = *env.next_attempt;
        shard.tried.push(permit.key());
        shard.runs += 1;
        shard.sent += 1;
        shard.live.push(id);
        if self.plan.repeatable && kind != AttemptKind::Hedge {
            // A far server is not late before its reply could be here.
            let trip = env.limits.extra_rtt(permit.key());
            shard.hedge_at = Some(now + self.plan.hedge_delay + trip);
        }
        outputs.push(GatherAction::Send {
            id,
            kind,
            service: at,
            permit,
        });
    }

    fn parts(&self) -> usize {
        let is_done = |shard: &&Shard| matches!(shard.progress, Progress::Done(_));
        self.shards.iter().filter(is_done).count()
    }

    fn judge(&self, now: Instant) -> Option<GatherOutcome> {
        let missing = |shard: &&Shard| shard.progress == Progress::Missing;
        let lost = self.shards.iter().filter(missing).count();
        let parts = self.parts();
        let open = self.shards.len() - parts - lost;
        let is_late = now >= self.plan.objective.min(self.plan.deadline);
        if parts >= self.plan.required && (open == 0 || is_late) {
            return Some(self.answer());
        }
        if parts + open < self.plan.required {
            return Some(self.explain_failure(GatherOutcome::Failed));
        }
        if now >= self.plan.deadline {
            return Some(self.explain_failure(GatherOutcome::TimedOut));
        }
        None
    }

    fn answer(&self) -> GatherOutcome {
        let parts: Vec<AttemptId> = self
            .shards
            .iter()
            .filter_map(|shard| match shard.progress {
                Progress::Done(id) => Some(id),
                Progress::Open | Progress::Missing => None,
            })
            .collect();
        GatherOutcome::Answered {
            missing: self.shards.len() - parts.len(),
            parts,
        }
    }

    fn explain_failure(&self, otherwise: GatherOutcome) -> GatherOutcome {
        if self.shards.iter().all(|shard| shard.runs == 0) {
            GatherOutcome::NotRun
        } else {
            otherwise
        }
    }
}

impl Shard {
    /// Waits for a place, or gives the service up when nothing is outstanding and nothing will change in time.
    fn hold(&mut self, blocked: Blocked, kind: AttemptKind, now: Instant, plan: &GatherPlan) {
        if kind == AttemptKind::Hedge {
            return;
        }
        let delay = (RETRY_DELAY * (1 << self.held.min(4))).min(MAX_RETRY_DELAY);
        let may_wait = matches!(blocked, Blocked::Limit | Blocked::Share)
            && now + delay + plan.typical_latency * LAST_TRY < plan.deadline;
        if may_wait {
            self.held += 1;
            self.retry_at = Some(now + delay);
        } else if self.live.is_empty() {
            self.progress = Progress::Missing;
        }
    }
}

fn is_usable(limits: &Limits, key: GateKey, now: Instant) -> bool {
    matches!(
        limits.check(key, now),
        Ok(()) | Err(Blocked::Limit | Blocked::Share)
    )
}
