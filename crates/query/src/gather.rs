//! The state machine of one forwarded request: it sends an attempt to one server of each service, with hedges and
//! retries, and decides when the request ends.
//!
//! A request that goes to one server is a gather over one service. The machine handles no reply bodies; it decides
//! which attempts are sent and which of their replies make up the answer. See docs/decisions/0005-platform.md.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use limit::Blocked;
use limit::GateKey;
use limit::Limits;
use limit::RepeatPool;

use crate::AttemptKind;
use crate::Failure;
use crate::GatherAction;
use crate::GatherEnv;
use crate::GatherEvent;
use crate::GatherOutcome;
use crate::GatherPlan;
use crate::UnansweredService;

/// First delay before a service is tried again because every replica was at its limit or was tried already, or no
/// repeat token was left; it doubles each time.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Longest such delay.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(160);

/// Multiple of the typical latency that must be left before the deadline when a service is tried again.
const MIN_REMAINING_FACTOR: u32 = 2;

/// Fraction of the saved repeat tokens that hedges leave for retries, since a retry replaces an attempt already lost.
const RETRY_RESERVE: f64 = 0.3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Progress {
    Open,
    Answered(AttemptId),
    Missing,
}

#[derive(Debug)]
struct ServiceState {
    progress: Progress,
    outstanding: Vec<AttemptId>,
    tried: Vec<GateKey>,
    /// Attempts that ran or may have run.
    runs: u32,
    sent: u32,
    /// Times that an attempt was delayed, for the reasons given at [`RETRY_BACKOFF`].
    blocked_count: u32,
    hedge_at: Option<Instant>,
    retry_at: Option<Instant>,
    /// Whether a holder sends the attempts.
    delegated: bool,
    pool: RepeatPool,
}

/// State machine of one request.
#[derive(Debug)]
pub struct Gather {
    plan: GatherPlan,
    services: Vec<ServiceState>,
    /// Whether any server has replied, which shows that the request doesn't crash servers.
    replied: bool,
    /// Whether a hedge was sent before any server has replied.
    sent_hedge: bool,
    careful: Option<CarefulState>,
    done: bool,
}

/// State of a request that may crash servers: one attempt is outstanding at a time, and the others wait for its end.
#[derive(Debug, Default)]
struct CarefulState {
    /// The attempt that all others wait for.
    canary: Option<AttemptId>,
    /// All attempts that were sent so, one after the other.
    sent: Vec<AttemptId>,
    /// Services whose attempts wait, in the order in which they are sent.
    waiting: VecDeque<(usize, AttemptKind)>,
}

impl Gather {
    /// Creates the state machine; it does nothing before [`GatherEvent::Start`].
    pub fn new(plan: GatherPlan) -> Gather {
        let new_state = |_: &ServiceName| ServiceState {
            progress: Progress::Open,
            outstanding: Vec::new(),
            tried: Vec::new(),
            runs: 0,
            sent: 0,
            blocked_count: 0,
            hedge_at: None,
            retry_at: None,
            delegated: false,
            pool: plan.pool,
        };
        let mut services: Vec<ServiceState> = plan.services.iter().map(new_state).collect();
        for (state, used) in services.iter_mut().zip(&plan.used) {
            state.runs = *used;
        }
        for index in &plan.delegated {
            if let Some(state) = services.get_mut(*index) {
                state.delegated = true;
                state.pool = RepeatPool::Fallback;
            }
        }
        Gather {
            careful: plan.careful.then(CarefulState::default),
            plan,
            services,
            replied: false,
            sent_hedge: false,
            done: false,
        }
    }

    /// Returns the parameters of the gather.
    pub fn plan(&self) -> &GatherPlan {
        &self.plan
    }

    /// Returns the number of attempts sent so far, hedges and retries included.
    pub fn sent(&self) -> u32 {
        self.services.iter().map(|state| state.sent).sum()
    }

    /// Returns the service that an attempt is for, if it has no part yet.
    pub fn find_service(&self, id: AttemptId) -> Option<usize> {
        self.services
            .iter()
            .position(|state| state.progress == Progress::Open && state.outstanding.contains(&id))
    }

    /// Returns whether the end of an attempt's connection is evidence that the request crashes servers.
    ///
    /// Of the attempts that were sent at the same time only the first one counts, and none after any server has replied.
    pub fn is_evidence(&self, id: AttemptId) -> bool {
        let is_counted = match &self.careful {
            None => true,
            Some(careful) => careful.sent.contains(&id),
        };
        is_counted && !self.replied && !self.done
    }

    /// Returns for each service the number of attempts that ran or may have run: all that were sent, but for those that
    /// are known not to have run and the outstanding ones for which `is_unsent` holds.
    pub fn count_runs(&self, is_unsent: impl Fn(&AttemptId) -> bool) -> Vec<u32> {
        let count = |state: &ServiceState| {
            let unsent = state.outstanding.iter().filter(|id| is_unsent(id)).count();
            state.runs.saturating_sub(unsent as u32)
        };
        self.services.iter().map(count).collect()
    }

    /// Returns whether this node itself sends the attempts for all services that have no part yet.
    pub fn sends_itself(&self) -> bool {
        let is_delegated =
            |state: &ServiceState| state.progress == Progress::Open && state.delegated;
        !self.services.iter().any(is_delegated)
    }

    /// Returns the service that an outstanding attempt is for.
    pub fn service_of(&self, id: AttemptId) -> Option<usize> {
        let is_outstanding = |state: &ServiceState| state.outstanding.contains(&id);
        self.services.iter().position(is_outstanding)
    }

    /// Returns whether attempts are sent one at a time, because the request may crash servers.
    pub fn is_careful(&self) -> bool {
        self.careful.is_some()
    }

    /// Returns whether any server has replied.
    pub fn has_replies(&self) -> bool {
        self.replied
    }

    /// Returns the services without a part, for the log line of an incomplete answer.
    pub fn unanswered_services(&self) -> Vec<UnansweredService<'_>> {
        self.plan
            .services
            .iter()
            .zip(&self.services)
            .enumerate()
            .filter(|(_, (_, state))| !matches!(state.progress, Progress::Answered(_)))
            .map(|(index, (service, state))| UnansweredService {
                index,
                service,
                runs: state.runs,
                sent: state.sent,
                awaited: state.outstanding.len(),
            })
            .collect()
    }

    /// Returns when to send the next [`GatherEvent::Wake`], or `None` after the end.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.done {
            return None;
        }
        let timers = self
            .services
            .iter()
            .filter(|state| state.progress == Progress::Open)
            .flat_map(|state| [state.hedge_at, state.retry_at])
            .flatten();
        let end = if self.count_parts() >= self.plan.required {
            self.plan.objective.min(self.plan.deadline)
        } else {
            self.plan.deadline
        };
        Some(timers.fold(end, Instant::min))
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn handle(
        &mut self,
        event: GatherEvent,
        now: Instant,
        env: &mut GatherEnv<'_>,
    ) -> Vec<GatherAction> {
        let mut actions = Vec::new();
        if self.done {
            return actions;
        }
        match event {
            GatherEvent::Start => self.start(now, env, &mut actions),
            GatherEvent::Replied(id) => self.receive_reply(id, now, env, &mut actions),
            GatherEvent::Failed(id, failure) => {
                self.receive_failure(id, &failure, now, env, &mut actions)
            }
            GatherEvent::Delivered(index, id) => {
                self.receive_delivery(index, id);
                self.end_careful(now, env, &mut actions);
            }
            GatherEvent::GivenUp(index, runs) => self.give_up(index, runs),
            GatherEvent::Delegated(index, runs) => self.delegate_again(index, runs),
            GatherEvent::Returned(index, runs) => {
                self.take_back(index, runs, now, env, &mut actions)
            }
            GatherEvent::HolderLost {
                services,
                may_have_run,
            } => self.replace_holder(&services, may_have_run, now, env, &mut actions),
            GatherEvent::Blocked => self.abandon(),
            GatherEvent::Stopped(withdrawn) => self.stop(&withdrawn),
            GatherEvent::Wake => self.run_timers(now, env, &mut actions),
        }
        self.send_waiting(now, env, &mut actions);
        if let Some(outcome) = self.decide_outcome(now) {
            self.done = true;
            actions.push(GatherAction::Finish(outcome));
        }
        actions
    }

    /// Sends the first attempts, or none if too few services have an available server and no more will appear.
    fn start(&mut self, now: Instant, env: &mut GatherEnv<'_>, actions: &mut Vec<GatherAction>) {
        let is_available = |(service, state): &(&ServiceName, &ServiceState)| {
            state.delegated
                || env
                    .replicas
                    .get(*service)
                    .is_some_and(|keys| keys.iter().any(|&key| is_usable(env.limits, key, now)))
        };
        let services = self.plan.services.iter().zip(&self.services);
        let available = services.filter(is_available).count();
        if available < self.plan.required && !env.settling {
            for state in &mut self.services {
                state.progress = Progress::Missing;
            }
            return;
        }
        for index in 0..self.services.len() {
            let state = &mut self.services[index];
            env.limits
                .earn_repeat(state.pool, &self.plan.services[index]);
            if state.delegated {
                // The holder may send an attempt from now on.
                state.runs = 1;
                continue;
            }
            let kind = first_kind(state.runs);
            self.send(index, kind, now, env, actions);
        }
    }

    fn receive_reply(
        &mut self,
        id: AttemptId,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        for state in &mut self.services {
            if state.outstanding.contains(&id) {
                state.outstanding.retain(|other| *other != id);
                if state.progress == Progress::Open {
                    state.progress = Progress::Answered(id);
                }
            }
        }
        self.end_careful(now, env, actions);
    }

    /// Sends all attempts that wait, because a server has replied.
    fn end_careful(
        &mut self,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        self.replied = true;
        let Some(careful) = self.careful.take() else {
            return;
        };
        for (index, kind) in careful.waiting {
            if self.services[index].progress == Progress::Open {
                self.send(index, kind, now, env, actions);
            }
        }
    }

    /// Sends the next of the attempts that wait, unless one is outstanding.
    fn send_waiting(
        &mut self,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        while let Some(careful) = &mut self.careful
            && careful.canary.is_none()
            && let Some((index, kind)) = careful.waiting.pop_front()
        {
            if self.services[index].progress == Progress::Open {
                self.send(index, kind, now, env, actions);
            }
        }
    }

    /// Ends the request with the parts that are in.
    fn stop(&mut self, withdrawn: &[AttemptId]) {
        for state in &mut self.services {
            let before = state.outstanding.len();
            state.outstanding.retain(|id| !withdrawn.contains(id));
            state.runs -= (before - state.outstanding.len()) as u32;
        }
        self.abandon();
    }

    /// Gives up every service without a part.
    fn abandon(&mut self) {
        self.careful = None;
        for state in &mut self.services {
            if state.progress == Progress::Open {
                state.progress = Progress::Missing;
            }
        }
    }

    fn receive_delivery(&mut self, index: usize, id: AttemptId) {
        if let Some(state) = self.services.get_mut(index)
            && state.delegated
            && state.progress == Progress::Open
        {
            state.progress = Progress::Answered(id);
        }
    }

    fn delegate_again(&mut self, index: usize, runs: u32) {
        if let Some(state) = self.services.get_mut(index)
            && state.delegated
        {
            // The other holder may send an attempt from now on.
            state.runs = runs + 1;
        }
    }

    fn give_up(&mut self, index: usize, runs: u32) {
        if let Some(state) = self.services.get_mut(index)
            && state.delegated
            && state.progress == Progress::Open
        {
            state.runs = runs;
            state.progress = Progress::Missing;
        }
    }

    /// Sends attempts from here for services whose holder was lost.
    ///
    /// A holder may have sent several attempts, so that one more is all that [`GatherPlan::max_runs`] surely allows.
    fn replace_holder(
        &mut self,
        services: &[usize],
        may_have_run: bool,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        let runs = match may_have_run {
            true => self.plan.max_runs.saturating_sub(1).max(1),
            false => 0,
        };
        for &index in services {
            self.take_back(index, runs, now, env, actions);
        }
    }

    /// Sends the attempts for a delegated service from here, after some that ran or may have run.
    fn take_back(
        &mut self,
        index: usize,
        runs: u32,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        let Some(state) = self.services.get_mut(index) else {
            return;
        };
        if !state.delegated || state.progress != Progress::Open {
            return;
        }
        state.delegated = false;
        state.runs = runs;
        self.send(index, first_kind(runs), now, env, actions);
    }

    fn receive_failure(
        &mut self,
        id: AttemptId,
        failure: &Failure,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        let Some(index) = self.service_of(id) else {
            return;
        };
        if *failure == Failure::Broken && !self.replied && self.plan.repeatable {
            self.careful.get_or_insert_default();
        }
        if let Some(careful) = &mut self.careful
            && careful.canary == Some(id)
        {
            careful.canary = None;
        }
        let state = &mut self.services[index];
        state.outstanding.retain(|other| *other != id);
        if failure.proves_not_run() {
            state.runs -= 1;
        }
        if state.progress != Progress::Open || !state.outstanding.is_empty() {
            return;
        }
        if *failure == Failure::Dropped {
            state.progress = Progress::Missing;
            return;
        }
        self.send(index, AttemptKind::Retry, now, env, actions);
    }

    fn run_timers(
        &mut self,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        // A query that no server has answered may crash them, so that it is hedged at one service only.
        let is_sole_hedge = !self.replied && self.services.len() > 1;
        for index in 0..self.services.len() {
            let state = &mut self.services[index];
            if state.progress != Progress::Open {
                continue;
            }
            if state.retry_at.is_some_and(|due| due <= now) {
                state.retry_at = None;
                let kind = match state.sent {
                    0 => first_kind(state.runs),
                    _ => AttemptKind::Retry,
                };
                self.send(index, kind, now, env, actions);
            } else if state.hedge_at.is_some_and(|due| due <= now) {
                if is_sole_hedge && self.sent_hedge {
                    state.hedge_at = Some(now + RETRY_BACKOFF);
                    continue;
                }
                self.sent_hedge = true;
                state.hedge_at = None;
                if let Some(careful) = &mut self.careful
                    && careful
                        .canary
                        .is_some_and(|canary| state.outstanding.contains(&canary))
                {
                    // A silent server shows nothing; another one is asked.
                    careful.canary = None;
                }
                self.send(index, AttemptKind::Hedge, now, env, actions);
            }
        }
    }

    /// Sends one attempt, delays it, or marks the service as missing.
    fn send(
        &mut self,
        index: usize,
        kind: AttemptKind,
        now: Instant,
        env: &mut GatherEnv<'_>,
        actions: &mut Vec<GatherAction>,
    ) {
        if let Some(careful) = &mut self.careful
            && careful.canary.is_some()
        {
            if kind != AttemptKind::Hedge {
                careful.waiting.push_back((index, kind));
            }
            return;
        }
        let state = &mut self.services[index];
        let service = &self.plan.services[index];
        let may_run = state.runs < self.plan.max_runs
            && (state.runs == 0 || self.plan.repeatable)
            && now < self.plan.deadline;
        let keys = env.replicas.get(service).map_or(&[][..], Vec::as_slice);
        let untried = keys
            .iter()
            .copied()
            .filter(|key| !state.tried.contains(key));
        let typical_latency = self.plan.typical_latency;
        let mut picked = match may_run {
            true => env
                .limits
                .pick_fastest(untried, typical_latency, now, env.rng),
            false => Err(Blocked::Unknown),
        };
        let may_try_again = match picked {
            Err(Blocked::Unknown) => !keys.is_empty(),
            // The replicas that are left may get nothing more; one that was tried may still serve the request.
            Err(Blocked::Quota) => keys.iter().any(|&key| is_usable(env.limits, key, now)),
            Ok(_) | Err(_) => false,
        };
        if kind != AttemptKind::Hedge && may_run && may_try_again {
            // All usable replicas were tried; they are tried again after a delay.
            state.tried.clear();
            picked = Err(Blocked::Limit);
        }
        if keys.is_empty() && may_run && env.settling {
            picked = Err(Blocked::Limit);
        }
        if kind != AttemptKind::Primary && picked.is_ok() {
            let reserve = if kind == AttemptKind::Hedge {
                RETRY_RESERVE
            } else {
                0.0
            };
            if !env
                .limits
                .spend_repeat(state.pool, service, reserve, env.rng)
            {
                // New requests keep earning tokens, and a late answer is better than none.
                picked = Err(Blocked::Limit);
            }
        }
        let permit = match picked.and_then(|key| env.limits.acquire(key, now)) {
            Ok(permit) => permit,
            Err(blocked) => {
                state.delay_retry(blocked, kind, now, &self.plan);
                return;
            }
        };
        *env.next_attempt += 1;
        let id = *env.next_attempt;
        state.tried.push(permit.key());
        state.runs += 1;
        state.sent += 1;
        state.outstanding.push(id);
        if let Some(careful) = &mut self.careful {
            careful.canary = Some(id);
            careful.sent.push(id);
        }
        if self.plan.repeatable && kind != AttemptKind::Hedge {
            // A server in another zone replies later by the extra round-trip time.
            let extra_rtt = env.limits.extra_rtt(permit.key());
            state.hedge_at = Some(now + self.plan.hedge_delay + extra_rtt);
        }
        actions.push(GatherAction::Send {
            id,
            kind,
            service: index,
            permit,
        });
    }

    fn count_parts(&self) -> usize {
        let is_answered = |state: &&ServiceState| matches!(state.progress, Progress::Answered(_));
        self.services.iter().filter(is_answered).count()
    }

    fn decide_outcome(&self, now: Instant) -> Option<GatherOutcome> {
        let is_missing = |state: &&ServiceState| state.progress == Progress::Missing;
        let missing = self.services.iter().filter(is_missing).count();
        let parts = self.count_parts();
        let open = self.services.len() - parts - missing;
        let is_late = now >= self.plan.objective.min(self.plan.deadline);
        if parts >= self.plan.required && (open == 0 || is_late) {
            return Some(self.build_answer());
        }
        if parts + open < self.plan.required {
            return Some(self.classify_failure(GatherOutcome::Failed));
        }
        if now >= self.plan.deadline {
            return Some(self.classify_failure(GatherOutcome::TimedOut));
        }
        None
    }

    fn build_answer(&self) -> GatherOutcome {
        let parts: Vec<AttemptId> = self
            .services
            .iter()
            .filter_map(|state| match state.progress {
                Progress::Answered(id) => Some(id),
                Progress::Open | Progress::Missing => None,
            })
            .collect();
        GatherOutcome::Answered {
            missing: self.services.len() - parts.len(),
            parts,
        }
    }

    fn classify_failure(&self, otherwise: GatherOutcome) -> GatherOutcome {
        if self.services.iter().all(|state| state.runs == 0) {
            GatherOutcome::NotRun
        } else {
            otherwise
        }
    }
}

impl ServiceState {
    /// Delays an attempt that can't be sent, or marks the service as missing if waiting is useless and no other attempt
    /// is outstanding; a hedge is dropped.
    fn delay_retry(
        &mut self,
        blocked: Blocked,
        kind: AttemptKind,
        now: Instant,
        plan: &GatherPlan,
    ) {
        if kind == AttemptKind::Hedge {
            return;
        }
        let delay = (RETRY_BACKOFF * (1 << self.blocked_count.min(4))).min(MAX_RETRY_BACKOFF);
        let may_wait = matches!(blocked, Blocked::Limit | Blocked::Share)
            && now + delay + plan.typical_latency * MIN_REMAINING_FACTOR < plan.deadline;
        if may_wait {
            self.blocked_count += 1;
            self.retry_at = Some(now + delay);
        } else if self.outstanding.is_empty() {
            self.progress = Progress::Missing;
        }
    }
}

/// Returns the kind of a node's first attempt at a service, of which other nodes have made some.
fn first_kind(runs: u32) -> AttemptKind {
    match runs {
        0 => AttemptKind::Primary,
        _ => AttemptKind::Retry,
    }
}

fn is_usable(limits: &Limits, key: GateKey, now: Instant) -> bool {
    matches!(
        limits.check(key, now),
        Ok(()) | Err(Blocked::Limit | Blocked::Share)
    )
}
