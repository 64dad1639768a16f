//! The query state machine: how events change it, and when it ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexVersion;
use base::Part;
use base::QueryReply;
use base::ShardId;
use base::Snapshot;
use decl::Prefer;
use limit::AttemptOutcome;
use limit::Limits;

use crate::Action;
use crate::AttemptKind;
use crate::Env;
use crate::Event;
use crate::Failure;
use crate::MissingReason;
use crate::Plan;
use crate::bind::Availability;
use crate::bind::choose_binding;
use crate::finish::meets_minimum;
use crate::shard::Progress;
use crate::shard::SentAttempt;
use crate::shard::ShardState;

/// Restarts on another snapshot; each sends every sub-request again, so that few must do.
const MAX_RESTARTS: u32 = 2;

/// What happened so far, for the explanation.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
    pub(crate) cancelled: u32,
    pub(crate) not_run: u32,
    pub(crate) lost: u32,
    pub(crate) postponed: u32,
    pub(crate) dropped: u32,
}

/// The state machine of one query.
///
/// It is bound to one snapshot at a time, and parts of any other are dropped. Every permit that it takes from
/// [`Limits`] is given back by the time it finishes, or by [`Query::abandon`].
#[derive(Debug)]
pub struct Query {
    pub(crate) plan: Plan,
    pub(crate) started: Instant,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) abandoned: Vec<Snapshot>,
    pub(crate) shards: BTreeMap<ShardId, ShardState>,
    pub(crate) attempts: BTreeMap<AttemptId, SentAttempt>,
    pub(crate) counts: Counts,
    pub(crate) too_late: bool,
    pub(crate) timers: BTreeSet<(Instant, ShardId)>,
    pub(crate) postponed: BTreeSet<ShardId>,
    open: usize,
    members: u64,
    covered: u64,
    /// Longest time until a shard gave its part.
    max_latency: Duration,
    wake: Option<Instant>,
    begun: bool,
    done: bool,
}

impl Query {
    /// Creates the state machine; it does nothing before [`Event::Start`].
    pub fn new(plan: Plan, now: Instant) -> Query {
        Query {
            plan,
            started: now,
            snapshot: None,
            abandoned: Vec::new(),
            shards: BTreeMap::new(),
            attempts: BTreeMap::new(),
            counts: Counts::default(),
            too_late: false,
            timers: BTreeSet::new(),
            postponed: BTreeSet::new(),
            open: 0,
            members: 0,
            covered: 0,
            max_latency: Duration::ZERO,
            wake: None,
            begun: false,
            done: false,
        }
    }

    /// Returns what the query is asked to do.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Tells whether the query has given its answer or was abandoned.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the parts dropped so far, including those that came after the answer.
    pub fn dropped(&self) -> u32 {
        self.counts.dropped
    }

    /// Advances the state machine by one event.
    ///
    /// An event at or after the deadline ends the query before it is looked at: a paused process must neither count a
    /// part that came too late nor send anything.
    pub fn handle(&mut self, event: Event, now: Instant, env: &mut Env<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Event::Reply(reply) = &event {
            self.learn(reply, now, env.limits);
        }
        if !self.done && self.begun && now >= self.plan.deadline {
            self.finish(now, env.limits, &mut actions);
        }
        match event {
            Event::Reply(reply) => self.receive(reply, now, env, &mut actions),
            _ if self.done => {}
            Event::Start => self.start(now, env, &mut actions),
            Event::Failed(id, failure) => self.fail(id, failure, now, env, &mut actions),
            Event::Wake => self.run_timers(now, env, &mut actions),
        }
        if !self.done && self.begun {
            if self.is_due(now) {
                self.finish(now, env.limits, &mut actions);
            } else {
                self.request_wake(now, &mut actions);
            }
        }
        actions
    }

    /// Gives the query up without an answer, because its caller is gone; returns what to cancel.
    pub fn abandon(&mut self, now: Instant, limits: &mut Limits) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.done {
            self.done = true;
            self.cancel_all(now, limits, &mut actions);
        }
        actions
    }

    fn start(&mut self, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        if self.begun {
            return;
        }
        self.begun = true;
        if now >= self.plan.deadline {
            self.too_late = true;
            return;
        }
        if let Some(binding) = choose_binding(&self.plan, env.index, env.limits, now) {
            self.bind(binding, now, env, actions);
        }
    }

    /// Takes in what a reply says about its upstream; a late reply is as good for that as any other.
    fn learn(&mut self, reply: &QueryReply, now: Instant, limits: &mut Limits) {
        if let Some(sent) = self.attempts.get(&reply.attempt) {
            limits.record_state(sent.key, reply.state, sent.sent_at, now);
            if !reply.held.is_empty() {
                limits.record_versions(sent.key, &reply.held, sent.sent_at);
            }
        }
    }

    fn receive(
        &mut self,
        reply: QueryReply,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let id = reply.attempt;
        let sent = self.attempts.get_mut(&id);
        let Some((shard, kind, permit)) =
            sent.and_then(|sent| Some((sent.shard, sent.kind, sent.permit.take()?)))
        else {
            self.counts.dropped += reply.parts.len().max(1) as u32;
            return;
        };
        let mut matching = None;
        for part in reply.parts {
            if matching.is_none() && self.is_expected(&part, shard) {
                matching = Some(part);
            } else {
                self.counts.dropped += 1;
            }
        }
        self.remove_outstanding(shard, id);
        let Some(part) = matching else {
            env.limits.release(permit, AttemptOutcome::Failed, now);
            self.counts.lost += 1;
            self.replace(shard, MissingReason::Lost, false, now, env, actions);
            return;
        };
        env.limits.release(permit, AttemptOutcome::Replied, now);
        if kind == AttemptKind::Primary && self.abandoned.is_empty() {
            let policy = &self.plan.policy;
            env.limits
                .earn(&self.plan.service, policy.hedge_budget, policy.retry_budget);
        }
        self.cancel_shard(shard, now, env.limits, actions);
        if let Some(first) = self.shards.get(&shard).and_then(|state| state.first_sent) {
            self.max_latency = self.max_latency.max(now - first);
        }
        self.close(shard, Progress::Answered(part));
    }

    fn is_expected(&self, part: &Part, shard: ShardId) -> bool {
        let snapshot = Snapshot {
            version: part.version,
            map: part.map,
        };
        part.shard == shard && Some(snapshot) == self.snapshot
    }

    fn fail(
        &mut self,
        id: AttemptId,
        failure: Failure,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.attempts.get_mut(&id) else {
            return;
        };
        let (shard, key, sent_at) = (sent.shard, sent.key, sent.sent_at);
        if let Failure::Retired(held) = &failure {
            env.limits.record_versions(key, held, sent_at);
        }
        let Some(permit) = sent.permit.take() else {
            return;
        };
        let not_run = failure.proves_not_run();
        if not_run {
            self.counts.not_run += 1;
        } else {
            self.counts.lost += 1;
        }
        let (ending, reason) = match failure {
            Failure::NotRun => (AttemptOutcome::Shed, MissingReason::Shed),
            Failure::Refused => (AttemptOutcome::Refused, MissingReason::Limited),
            Failure::Unreachable => (AttemptOutcome::Failed, MissingReason::NoReplica),
            Failure::Retired(_) => (AttemptOutcome::Rejected, MissingReason::Retired),
            Failure::Lost => (AttemptOutcome::Failed, MissingReason::Lost),
        };
        env.limits.release(permit, ending, now);
        self.remove_outstanding(shard, id);
        if reason == MissingReason::Retired
            && let Some(state) = self.shards.get_mut(&shard)
        {
            state.exclude(key);
        }
        self.replace(shard, reason, not_run, now, env, actions);
        if reason == MissingReason::Retired {
            self.restart_if_better(shard, now, env, actions);
        }
    }

    /// Restarts as a whole when a shard lost its snapshot and another one can serve more than the bound one still can.
    ///
    /// Every part is given up, since parts of two snapshots must not be mixed.
    fn restart_if_better(
        &mut self,
        shard: ShardId,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let missing = self
            .shards
            .get(&shard)
            .is_some_and(|state| matches!(state.progress, Progress::Missing(_)));
        if !missing || !self.may_restart(now) {
            return;
        }
        let (Some(bound), Some(binding)) = (
            self.snapshot,
            choose_binding(&self.plan, env.index, env.limits, now),
        ) else {
            return;
        };
        let current = self.measure_availability(bound.version, env.limits, now);
        if binding.snapshot != bound && binding.availability.exceeds(&current) {
            self.cancel_all(now, env.limits, actions);
            self.abandoned.push(bound);
            self.bind(binding, now, env, actions);
        }
    }

    fn may_restart(&self, now: Instant) -> bool {
        let plan = &self.plan;
        let safe = plan.repeatable || (plan.stale.is_none() && !self.may_have_run());
        let delay = self.shards.values().map(|state| state.hedge_delay).max();
        let in_time = delay.is_some_and(|delay| now + delay < plan.deadline);
        plan.tuning.restart && self.abandoned.len() < MAX_RESTARTS as usize && safe && in_time
    }

    /// Measures what the bound snapshot gives at best: the parts received and the shards that may still be served.
    fn measure_availability(
        &self,
        version: IndexVersion,
        limits: &Limits,
        now: Instant,
    ) -> Availability {
        let mut availability = Availability::default();
        for state in self.shards.values() {
            let servable = match state.progress {
                Progress::Answered(_) => true,
                Progress::Open => {
                    !state.outstanding.is_empty() || !state.usable(version, limits, now).is_empty()
                }
                Progress::Missing(_) => false,
            };
            availability.add(state.members, servable, false);
        }
        availability
    }

    /// Tells whether any sub-request was sent and not proved not run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.counts.attempts > self.counts.not_run
    }

    pub(crate) fn reset_shards(&mut self, shards: BTreeMap<ShardId, ShardState>) {
        self.open = shards.len();
        self.members = shards.values().map(|state| state.members).sum();
        self.covered = 0;
        self.timers.clear();
        self.postponed.clear();
        self.shards = shards;
    }

    pub(crate) fn close(&mut self, shard: ShardId, progress: Progress) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.progress = progress;
            self.open -= 1;
            self.covered += state.covered();
            self.postponed.remove(&shard);
            if let Some(at) = state.timer.take() {
                self.timers.remove(&(at, shard));
            }
        }
    }

    fn remove_outstanding(&mut self, shard: ShardId, id: AttemptId) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.outstanding.retain(|other| *other != id);
        }
    }

    fn cancel_shard(
        &mut self,
        shard: ShardId,
        now: Instant,
        limits: &mut Limits,
        actions: &mut Vec<Action>,
    ) {
        let live = match self.shards.get_mut(&shard) {
            Some(state) => std::mem::take(&mut state.outstanding),
            None => return,
        };
        for id in live {
            let sent = self.attempts.get_mut(&id);
            if let Some(permit) = sent.and_then(|sent| sent.permit.take()) {
                limits.release(permit, AttemptOutcome::Cancelled, now);
                self.counts.cancelled += 1;
                if self.plan.tuning.cancel {
                    actions.push(Action::Cancel(id));
                }
            }
        }
    }

    pub(crate) fn cancel_all(
        &mut self,
        now: Instant,
        limits: &mut Limits,
        actions: &mut Vec<Action>,
    ) {
        let open: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, state)| !state.outstanding.is_empty())
            .map(|(&shard, _)| shard)
            .collect();
        for shard in open {
            self.cancel_shard(shard, now, limits, actions);
        }
    }

    fn finish(&mut self, now: Instant, limits: &mut Limits, actions: &mut Vec<Action>) {
        self.done = true;
        for state in self.shards.values_mut().filter(|state| state.is_open()) {
            state.progress = Progress::Missing(if state.outstanding.is_empty() {
                state.reason
            } else {
                MissingReason::Deadline
            });
        }
        self.cancel_all(now, limits, actions);
        let answer = self.build_answer(now);
        actions.push(Action::Finish(Box::new(answer)));
    }

    fn is_due(&self, now: Instant) -> bool {
        self.open == 0
            || now >= self.plan.deadline
            || self.latency_cutoff().is_some_and(|end| now >= end)
    }

    /// Returns when a query that prefers latency answers without the shards that are still open.
    fn latency_cutoff(&self) -> Option<Instant> {
        let at_deadline = &self.plan.policy.at_deadline;
        if at_deadline.prefer != Prefer::Latency
            || self.open == self.shards.len()
            || !meets_minimum(self.covered, self.members, at_deadline.min_coverage)
        {
            return None;
        }
        let mut end = self.started;
        for state in self.shards.values().filter(|state| state.is_open()) {
            end = end.max(state.latency_cutoff(self.max_latency));
        }
        Some(end)
    }

    fn request_wake(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timer = self.timers.first().map(|(at, _)| *at);
        let next = [timer, self.latency_cutoff()]
            .into_iter()
            .flatten()
            .fold(self.plan.deadline, Instant::min);
        if self.wake.is_none_or(|wake| wake <= now || next < wake) {
            self.wake = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }
}
