//! Sends the attempts of a query: primaries, hedges and retries.

use std::time::Duration;
use std::time::Instant;

use base::ShardId;
use limit::Blocked;
use limit::GateKey;
use limit::Limits;
use limit::Permit;

use crate::Action;
use crate::Attempt;
use crate::AttemptKind;
use crate::Env;
use crate::Hedging;
use crate::MissingReason;
use crate::Query;
use crate::bind::Binding;
use crate::shard::Progress;
use crate::shard::SentAttempt;
use crate::shard::ShardState;

/// Retries per shard; after three failures in a row another attempt is unlikely to succeed.
const MAX_RETRIES: u32 = 2;

/// Delay before the first retry at a replica that was tried before; the second retry waits twice as long.
const RETRY_BACKOFF: Duration = Duration::from_millis(5);

/// Share of the hedge budget from which the hedge delay is derived; the rest covers the noise of quantiles from few
/// samples.
const PLANNED_BUDGET_SHARE: f64 = 0.8;

/// Quantile of the reply times for the latency cutoff of a query that has no hedge budget or doesn't hedge.
const CUTOFF_QUANTILE: f64 = 0.95;

/// Interval at which a postponed shard checks its gates again and a late one its tokens, if no wake comes earlier.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Query {
    /// Binds the query to a snapshot and sends the first attempt for each shard.
    pub(crate) fn bind(
        &mut self,
        binding: Binding,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        self.snapshot = Some(binding.snapshot);
        let shards = binding
            .shards
            .iter()
            .map(|bound| (bound.id, ShardState::new(bound, now)))
            .collect();
        self.reset_shards(shards);
        for bound in &binding.shards {
            self.set_hedge_delay(bound.id, env);
            self.send(bound.id, now, env, actions);
        }
    }

    /// Sends the hedges and retries that are due, and tries the postponed attempts again.
    pub(crate) fn run_timers(
        &mut self,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(&(at, shard)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            let Some(state) = self.shards.get_mut(&shard) else {
                continue;
            };
            state.timer = None;
            if self.postponed.contains(&shard) {
                continue;
            }
            if state.outstanding.is_empty() {
                self.send(shard, now, env, actions);
            } else if !self.retry_silent(shard, now, env, actions) {
                self.hedge(shard, now, env, actions);
            }
        }
        for shard in std::mem::take(&mut self.postponed) {
            self.send(shard, now, env, actions);
        }
    }

    /// Sends the next attempt for a shard without outstanding ones, postpones it, or marks the shard as missing.
    fn send(&mut self, shard: ShardId, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        let (Some(snapshot), Some(state)) = (self.snapshot, self.shards.get(&shard)) else {
            return;
        };
        let mut candidates = state.untried(snapshot.version, env.limits, now);
        if candidates.is_empty() {
            candidates = state.usable(snapshot.version, env.limits, now);
        }
        if candidates.is_empty() {
            let reason = match state.next_kind {
                AttemptKind::Primary => {
                    state.find_missing_reason(snapshot.version, env.limits, now)
                }
                AttemptKind::Hedge | AttemptKind::Retry => state.reason,
            };
            self.close_shard(shard, Progress::Missing(reason));
            return;
        }
        let kind = state.next_kind;
        let permit = env
            .limits
            .pick(&candidates, now, env.rng)
            .and_then(|key| env.limits.acquire(key, now));
        match permit {
            Ok(permit) => self.dispatch(shard, kind, permit, now, env, actions),
            Err(Blocked::Paused)
                if state.is_paused_until(snapshot.version, self.plan.deadline, env.limits) =>
            {
                self.close_shard(shard, Progress::Missing(MissingReason::NoReplica));
            }
            Err(blocked) => self.postpone(shard, blocked, &candidates, now, env.limits),
        }
    }

    fn postpone(
        &mut self,
        shard: ShardId,
        blocked: Blocked,
        candidates: &[GateKey],
        now: Instant,
        limits: &mut Limits,
    ) {
        self.postponed.insert(shard);
        for &key in candidates {
            if matches!(limits.check(key, now), Err(Blocked::Limit | Blocked::Share)) {
                limits.add_waiter(key, self.plan.id);
            }
        }
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if !std::mem::replace(&mut state.postponed, true) {
            self.counts.postponed += 1;
        }
        if state.next_kind == AttemptKind::Primary {
            state.reason = match blocked {
                Blocked::Limit | Blocked::Share | Blocked::Quota => MissingReason::Limited,
                Blocked::Draining => MissingReason::Draining,
                Blocked::Paused | Blocked::Unknown => MissingReason::NoReplica,
            };
        }
        self.set_timer(shard, now + RECHECK_INTERVAL);
    }

    fn dispatch(
        &mut self,
        shard: ShardId,
        kind: AttemptKind,
        permit: Permit,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let key = permit.key();
        let (Some(snapshot), Some(state), Some(gate)) = (
            self.snapshot,
            self.shards.get_mut(&shard),
            env.limits.gate(key),
        ) else {
            return;
        };
        *env.next_attempt += 1;
        let id = *env.next_attempt;
        state.record_sent(id, key, now);
        self.postponed.remove(&shard);
        self.counts.attempts += 1;
        match kind {
            AttemptKind::Primary => {}
            AttemptKind::Hedge => self.counts.hedges += 1,
            AttemptKind::Retry => self.counts.retries += 1,
        }
        actions.push(Action::Send(Attempt {
            id,
            kind,
            upstream: gate.id().clone(),
            shard,
            snapshot,
            deadline: self.plan.deadline,
        }));
        self.attempts.insert(
            id,
            SentAttempt {
                shard,
                kind,
                key,
                sent_at: now,
                permit: Some(permit),
            },
        );
        self.schedule_check(shard, now, env.limits);
    }

    /// Sets the timer of a shard that awaits a reply to the time when it may be hedged or all its attempts are silent.
    fn schedule_check(&mut self, shard: ShardId, now: Instant, limits: &Limits) {
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        let hedge_due = (!state.hedged && self.may_hedge())
            .then(|| state.last_sent + self.find_hedge_delay(shard, limits));
        let awaited = state
            .outstanding
            .iter()
            .filter_map(|id| self.attempts.get(id));
        let silent_due = awaited
            .filter_map(|sent| Some(sent.sent_at + limits.silence_timeout(sent.key)?))
            .max()
            .filter(|_| self.may_retry(state));
        if let Some(due) = [hedge_due, silent_due].into_iter().flatten().min() {
            // If it is due already, a token or a replica is missing, which may become available at any time.
            self.set_timer(
                shard,
                if due > now {
                    due
                } else {
                    now + RECHECK_INTERVAL
                },
            );
        }
    }

    fn may_retry(&self, state: &ShardState) -> bool {
        self.plan.repeatable
            && self.plan.tuning.retry
            && self.plan.policy.retry_budget > 0.0
            && state.retries < MAX_RETRIES
    }

    /// Sends a retry when all outstanding attempts of a shard are silent; returns whether it did.
    ///
    /// An attempt on a connection into a partitioned zone doesn't fail, so that no retry would replace it in time.
    fn retry_silent(
        &mut self,
        shard: ShardId,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(snapshot), Some(state)) = (self.snapshot, self.shards.get(&shard)) else {
            return false;
        };
        let mut awaited = state
            .outstanding
            .iter()
            .filter_map(|id| self.attempts.get(id));
        if !self.may_retry(state)
            || !awaited.all(|sent| env.limits.is_silent(sent.key, sent.sent_at, now))
        {
            return false;
        }
        let candidates = state.untried(snapshot.version, env.limits, now);
        if let Ok(key) = env.limits.pick(&candidates, now, env.rng)
            && env.limits.spend_retry(&self.plan.service)
            && let Ok(permit) = env.limits.acquire(key, now)
        {
            if let Some(state) = self.shards.get_mut(&shard) {
                state.retries += 1;
            }
            self.dispatch(shard, AttemptKind::Retry, permit, now, env, actions);
            return true;
        }
        false
    }

    fn may_hedge(&self) -> bool {
        self.plan.repeatable
            && self.plan.tuning.hedging != Hedging::Off
            && self.plan.policy.hedge_budget > 0.0
    }

    /// Sends a second attempt in parallel, if another replica and a token are available.
    ///
    /// Otherwise the shard tries again after [`RECHECK_INTERVAL`], since both may become available.
    fn hedge(
        &mut self,
        shard: ShardId,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let delay = self.find_hedge_delay(shard, env.limits);
        let may_hedge = self.may_hedge();
        let (Some(snapshot), Some(state)) = (self.snapshot, self.shards.get_mut(&shard)) else {
            return;
        };
        if !state.is_open() {
            return;
        }
        let candidates = state.untried(snapshot.version, env.limits, now);
        if may_hedge
            && !state.hedged
            && now >= state.last_sent + delay
            && let Ok(key) = env.limits.pick(&candidates, now, env.rng)
            && env.limits.spend_hedge(&self.plan.service)
            && let Ok(permit) = env.limits.acquire(key, now)
        {
            state.hedged = true;
            self.dispatch(shard, AttemptKind::Hedge, permit, now, env, actions);
        } else {
            self.schedule_check(shard, now, env.limits);
        }
    }

    /// Returns how long a shard waits for a reply before it is hedged, given the tokens that are left.
    ///
    /// The quantile is noisy, and with queueing more replies are late than it predicts. If the delay did not depend on
    /// the tokens, replies that are barely late would use them up and leave none for stragglers.
    fn find_hedge_delay(&self, shard: ShardId, limits: &Limits) -> Duration {
        let Some(state) = self.shards.get(&shard) else {
            return Duration::ZERO;
        };
        if self.plan.tuning.hedging != Hedging::Budget {
            return state.hedge_delay;
        }
        let planned = limits.plan_hedges(&self.plan.service, self.plan.policy.hedge_budget);
        state.compute_hedge_delay(1.0 - planned, limits)
    }

    /// Replaces a failed attempt within the budget, or marks the shard as missing when no other attempt is outstanding.
    pub(crate) fn replace_attempt(
        &mut self,
        shard: ShardId,
        reason: MissingReason,
        not_run: bool,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let (Some(snapshot), Some(state)) = (self.snapshot, self.shards.get_mut(&shard)) else {
            return;
        };
        state.reason = reason;
        if !state.outstanding.is_empty() {
            return;
        }
        let plan = &self.plan;
        let safe = plan.repeatable || (not_run && plan.stale.is_none());
        let usable = !state.usable(snapshot.version, env.limits, now).is_empty();
        // An upstream that doesn't hold the version or wasn't reached has done no work for the attempt. While an
        // untried replica is left, the retry adds no load and needs no token; tokens are kept for retries that add
        // load.
        let untried = !state.untried(snapshot.version, env.limits, now).is_empty();
        let is_free = match reason {
            MissingReason::Retired => true,
            MissingReason::NoReplica | MissingReason::Limited => not_run && untried,
            _ => false,
        };
        let spend_token = |limits: &mut Limits| {
            plan.policy.retry_budget > 0.0
                && state.retries < MAX_RETRIES
                && limits.spend_retry(&plan.service)
        };
        let may_replace = plan.tuning.retry && safe && usable;
        if !may_replace || !(is_free || spend_token(env.limits)) {
            self.close_shard(shard, Progress::Missing(reason));
            return;
        }
        let backoff = RETRY_BACKOFF * (1 << state.retries);
        state.retries += 1;
        state.next_kind = AttemptKind::Retry;
        if state.untried(snapshot.version, env.limits, now).is_empty() {
            self.set_timer(shard, now + backoff);
        } else {
            self.send(shard, now, env, actions);
        }
    }

    fn set_timer(&mut self, shard: ShardId, at: Instant) {
        if let Some(state) = self.shards.get_mut(&shard) {
            if let Some(old) = state.timer.replace(at) {
                self.timers.remove(&(old, shard));
            }
            self.timers.insert((at, shard));
        }
    }

    fn set_hedge_delay(&mut self, shard: ShardId, env: &Env<'_>) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        match self.plan.tuning.hedging {
            Hedging::Budget if self.plan.policy.hedge_budget > 0.0 => {
                let planned = PLANNED_BUDGET_SHARE * self.plan.policy.hedge_budget;
                state.set_quantile_delay(1.0 - planned, env.limits);
            }
            Hedging::Off | Hedging::Budget => state.set_quantile_delay(CUTOFF_QUANTILE, env.limits),
            Hedging::Quantile(quantile) => state.set_quantile_delay(quantile, env.limits),
            Hedging::Fixed(delay) => state.set_fixed_delay(delay),
        }
    }
}
