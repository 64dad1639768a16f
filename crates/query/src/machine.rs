//! The query state machine: how events change its state, and when it finishes.

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

/// Restarts on another snapshot per query; few are allowed, since each sends a new attempt for every shard.
const MAX_RESTARTS: u32 = 2;

/// Counters for the explanation.
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
/// It is bound to one snapshot at a time and drops parts of any other. Every permit that it acquires from [`Limits`] is
/// released when it finishes or by [`Query::abandon`].
#[derive(Debug)]
pub struct Query {
    pub(crate) plan: Plan,
    pub(crate) started_at: Instant,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) abandoned_snapshots: Vec<Snapshot>,
    pub(crate) shards: BTreeMap<ShardId, ShardState>,
    pub(crate) attempts: BTreeMap<AttemptId, SentAttempt>,
    pub(crate) counts: Counts,
    /// Whether the deadline had passed when the query started.
    pub(crate) too_late: bool,
    pub(crate) timers: BTreeSet<(Instant, ShardId)>,
    pub(crate) postponed: BTreeSet<ShardId>,
    /// Shards without a part that may still get one.
    open_shards: usize,
    members: u64,
    covered: u64,
    /// Longest time from the first attempt of a shard to its part.
    max_latency: Duration,
    /// Time of the last [`Action::WakeAt`].
    next_wake: Option<Instant>,
    begun: bool,
    done: bool,
}

impl Query {
    /// Creates the state machine; it does nothing before [`Event::Start`].
    pub fn new(plan: Plan, now: Instant) -> Query {
        Query {
            plan,
            started_at: now,
            snapshot: None,
            abandoned_snapshots: Vec::new(),
            shards: BTreeMap::new(),
            attempts: BTreeMap::new(),
            counts: Counts::default(),
            too_late: false,
            timers: BTreeSet::new(),
            postponed: BTreeSet::new(),
            open_shards: 0,
            members: 0,
            covered: 0,
            max_latency: Duration::ZERO,
            next_wake: None,
            begun: false,
            done: false,
        }
    }

    /// Returns the parameters of the query.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns whether the query has finished or was abandoned.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the number of parts dropped so far, including those that came after the answer.
    pub fn dropped(&self) -> u32 {
        self.counts.dropped
    }

    /// Processes one event and returns the actions that follow from it.
    ///
    /// At or after the deadline the query finishes before the event is processed: a process that was paused must
    /// neither count a late part nor send anything.
    pub fn handle(&mut self, event: Event, now: Instant, env: &mut Env<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Event::Reply(reply) = &event {
            self.record_upstream_state(reply, now, env.limits);
        }
        if !self.done && self.begun && now >= self.plan.deadline {
            self.finish(now, env.limits, &mut actions);
        }
        match event {
            Event::Reply(reply) => self.receive_reply(reply, now, env, &mut actions),
            _ if self.done => {}
            Event::Start => self.start(now, env, &mut actions),
            Event::Failed(id, failure) => self.receive_failure(id, failure, now, env, &mut actions),
            Event::Wake => self.run_timers(now, env, &mut actions),
        }
        if !self.done && self.begun {
            if self.should_finish(now) {
                self.finish(now, env.limits, &mut actions);
            } else {
                self.request_wake(now, &mut actions);
            }
        }
        actions
    }

    /// Ends the query without an answer because its caller is gone; returns the cancellations to send.
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

    /// Records the state and versions that a reply reports about its upstream, also if the reply is late.
    fn record_upstream_state(&mut self, reply: &QueryReply, now: Instant, limits: &mut Limits) {
        if let Some(sent) = self.attempts.get(&reply.attempt) {
            limits.record_state(sent.key, reply.state, sent.sent_at, now);
            if !reply.held.is_empty() {
                limits.record_versions(sent.key, &reply.held, sent.sent_at);
            }
        }
    }

    fn receive_reply(
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
            self.replace_attempt(shard, MissingReason::Lost, false, now, env, actions);
            return;
        };
        env.limits.release(permit, AttemptOutcome::Replied, now);
        if kind == AttemptKind::Primary && self.abandoned_snapshots.is_empty() {
            let policy = &self.plan.policy;
            env.limits
                .earn(&self.plan.service, policy.hedge_budget, policy.retry_budget);
        }
        self.cancel_shard(shard, now, env.limits, actions);
        if let Some(first) = self.shards.get(&shard).and_then(|state| state.first_sent) {
            self.max_latency = self.max_latency.max(now - first);
        }
        self.close_shard(shard, Progress::Answered(part));
    }

    fn is_expected(&self, part: &Part, shard: ShardId) -> bool {
        let snapshot = Snapshot {
            version: part.version,
            map: part.map,
        };
        part.shard == shard && Some(snapshot) == self.snapshot
    }

    fn receive_failure(
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
        let (outcome, reason) = match failure {
            Failure::NotRun => (AttemptOutcome::Shed, MissingReason::Shed),
            Failure::Refused => (AttemptOutcome::Refused, MissingReason::Limited),
            Failure::Unreachable => (AttemptOutcome::Failed, MissingReason::NoReplica),
            Failure::Retired(_) => (AttemptOutcome::Rejected, MissingReason::Retired),
            Failure::Broken | Failure::Lost => (AttemptOutcome::Failed, MissingReason::Lost),
            Failure::Dropped => (AttemptOutcome::Cancelled, MissingReason::Lost),
        };
        env.limits.release(permit, outcome, now);
        self.remove_outstanding(shard, id);
        if reason == MissingReason::Retired
            && let Some(state) = self.shards.get_mut(&shard)
        {
            state.exclude(key);
        }
        self.replace_attempt(shard, reason, not_run, now, env, actions);
        if reason == MissingReason::Retired {
            self.restart_if_better(shard, now, env, actions);
        }
    }

    /// Restarts the whole query when the bound snapshot is retired for a shard and another snapshot can serve a larger
    /// fraction of the members.
    ///
    /// All parts received so far are discarded, since parts of two snapshots must not be mixed.
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
            self.abandoned_snapshots.push(bound);
            self.bind(binding, now, env, actions);
        }
    }

    fn may_restart(&self, now: Instant) -> bool {
        let plan = &self.plan;
        let safe = plan.repeatable || (plan.stale.is_none() && !self.may_have_run());
        let delay = self.shards.values().map(|state| state.hedge_delay).max();
        let in_time = delay.is_some_and(|delay| now + delay < plan.deadline);
        plan.tuning.restart
            && self.abandoned_snapshots.len() < MAX_RESTARTS as usize
            && safe
            && in_time
    }

    /// Measures what the bound snapshot can still cover: the parts received and the shards that may still be served.
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

    /// Returns whether an attempt was sent without a proof that it was not run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.counts.attempts > self.counts.not_run
    }

    pub(crate) fn reset_shards(&mut self, shards: BTreeMap<ShardId, ShardState>) {
        self.open_shards = shards.len();
        self.members = shards.values().map(|state| state.members).sum();
        self.covered = 0;
        self.timers.clear();
        self.postponed.clear();
        self.shards = shards;
    }

    pub(crate) fn close_shard(&mut self, shard: ShardId, progress: Progress) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.progress = progress;
            self.open_shards -= 1;
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
        let waiting: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, state)| !state.outstanding.is_empty())
            .map(|(&shard, _)| shard)
            .collect();
        for shard in waiting {
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

    fn should_finish(&self, now: Instant) -> bool {
        self.open_shards == 0
            || now >= self.plan.deadline
            || self.latency_cutoff().is_some_and(|end| now >= end)
    }

    /// Returns when a query that prefers latency answers without the shards that are still open, if it may.
    fn latency_cutoff(&self) -> Option<Instant> {
        let at_deadline = &self.plan.policy.at_deadline;
        if at_deadline.prefer != Prefer::Latency
            || self.open_shards == self.shards.len()
            || !meets_minimum(self.covered, self.members, at_deadline.min_coverage)
        {
            return None;
        }
        let mut end = self.started_at;
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
        if self.next_wake.is_none_or(|wake| wake <= now || next < wake) {
            self.next_wake = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }
}
