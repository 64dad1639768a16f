//! The gates of all upstreams and the budgets of all services on one node.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::IndexState;
use base::IndexVersion;
use base::QueryId;
use base::RegionName;
use base::ServiceName;
use base::Upstream;
use base::UpstreamId;
use base::UpstreamState;
use base::ZoneName;
use rand::Rng;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::AttemptOutcome;
use crate::Blocked;
use crate::Distance;
use crate::Gate;
use crate::ServiceBudget;
use crate::Tuning;
use crate::budget::HedgeReserve;
use crate::fastest::RoundTrips;
use crate::quota::LimitChange;
use crate::quota::LimitNotice;
use crate::quota::QuotaShare;
use crate::quota::Quotas;
use crate::quota::RequestRate;
use crate::repeat::RepeatBudgets;
use crate::repeat::RepeatPool;
use crate::repeat::RepeatRule;

/// Percentage of a server's connections that is not divided into shares.
///
/// It covers nodes whose views of the membership differ, and the overlap of a VM with its replacement.
pub const CONNECTION_RESERVE_PERCENT: u32 = 20;

new_key_type! {
    /// Key of a [`Gate`]; never reused for another upstream.
    pub struct GateKey;
}

/// Permit for one attempt in flight; it must be returned with [`Limits::release`].
#[derive(Debug)]
#[must_use = "a permit that is not released counts as in flight for ever"]
pub struct Permit {
    key: GateKey,
    sent: Instant,
    trial: bool,
}

impl Permit {
    /// Returns the key of the gate that issued the permit.
    pub fn key(&self) -> GateKey {
        self.key
    }

    /// Returns the time at which the permit was acquired.
    pub fn sent(&self) -> Instant {
        self.sent
    }
}

/// Returns how many of a server's connections each of `nodes` connecting nodes may use.
pub fn connection_share(connections: u32, nodes: u32) -> u32 {
    connections * (100 - CONNECTION_RESERVE_PERCENT) / 100 / nodes.max(1)
}

/// The limits of one node: a [`Gate`] per upstream and a [`ServiceBudget`] per service.
#[derive(Debug)]
pub struct Limits {
    zone: ZoneName,
    region: RegionName,
    pub(crate) tuning: Tuning,
    pub(crate) gates: SlotMap<GateKey, Gate>,
    keys: HashMap<UpstreamId, GateKey>,
    budgets: BTreeMap<ServiceName, ServiceBudget>,
    hedge_reserve: HedgeReserve,
    repeats: RepeatBudgets,
    holder_repeats: RepeatBudgets,
    fallback_repeats: RepeatBudgets,
    pub(crate) round_trips: RoundTrips,
    pub(crate) quotas: Quotas,
    freed_gates: VecDeque<GateKey>,
}

impl Limits {
    /// Creates the limits of a node in `zone` and `region`, without upstreams.
    pub fn new(zone: ZoneName, region: RegionName, tuning: Tuning) -> Limits {
        Limits {
            zone,
            region,
            tuning,
            gates: SlotMap::with_key(),
            keys: HashMap::new(),
            budgets: BTreeMap::new(),
            hedge_reserve: HedgeReserve::default(),
            repeats: RepeatBudgets::default(),
            holder_repeats: RepeatBudgets::default(),
            fallback_repeats: RepeatBudgets::default(),
            round_trips: RoundTrips::default(),
            quotas: Quotas::default(),
            freed_gates: VecDeque::new(),
        }
    }

    /// Registers an upstream, or changes the share of a registered one.
    ///
    /// `share` is the number of connections that this node may use, see [`connection_share`]; `None` means that a
    /// holder connects on behalf of this node, so that neither share nor concurrency is limited here.
    pub fn set_upstream(&mut self, upstream: &Upstream, share: Option<u32>) -> GateKey {
        if let Some(&key) = self.keys.get(&upstream.id) {
            self.gates[key].set_share(share);
            return key;
        }
        let gate = Gate::new(
            upstream.id.clone(),
            self.find_distance(upstream),
            upstream.slots,
            share,
        );
        let key = self.gates.insert(gate);
        self.keys.insert(upstream.id.clone(), key);
        key
    }

    /// Registers every upstream of an index, with a connection share for each of `nodes` nodes.
    pub fn set_index(&mut self, index: &IndexState, nodes: u32) {
        for upstream in &index.upstreams {
            let share = connection_share(upstream.connections, nodes);
            self.set_upstream(upstream, Some(share));
        }
    }

    /// Forgets the failures of all upstreams, because they were those of this node's own links.
    pub fn forget_failures(&mut self) {
        for gate in self.gates.values_mut() {
            gate.forget_failures();
        }
    }

    /// Changes how many connections to a registered upstream this node may use.
    pub fn set_share(&mut self, key: GateKey, share: u32) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.set_share(Some(share));
        }
    }

    /// Starts the cold-start ramp of an upstream that joined after this node did.
    pub fn start_ramp(&mut self, key: GateKey, now: Instant) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.start_ramp(now);
        }
    }

    /// Removes the upstreams for which `keep` returns false; releasing their permits has no effect afterwards.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.gates.retain(|_, gate| keep(&gate.id));
        let gates = &self.gates;
        self.keys.retain(|_, key| gates.contains_key(*key));
    }

    /// Removes one upstream; releasing its permits has no effect afterwards.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        if let Some(key) = self.keys.remove(id) {
            self.gates.remove(key);
        }
    }

    /// Looks up the gate key of an upstream.
    pub fn key(&self, upstream: &UpstreamId) -> Option<GateKey> {
        self.keys.get(upstream).copied()
    }

    /// Returns the gate of a key, or `None` if its upstream was removed.
    pub fn gate(&self, key: GateKey) -> Option<&Gate> {
        self.gates.get(key)
    }

    /// Returns every gate, in no particular order, for status pages and for heartbeats that propagate drain states.
    pub fn gates(&self) -> impl Iterator<Item = &Gate> {
        self.gates.values()
    }

    /// Returns the upstreams to which this node connects and that have sent no reply for `silence`.
    ///
    /// A holder probes them, because otherwise the state of an idle upstream would stay unknown.
    pub fn silent_upstreams(
        &self,
        silence: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &UpstreamId> {
        self.gates()
            .filter(move |gate| {
                let is_recent = |reply: Instant| now.saturating_duration_since(reply) < silence;
                gate.share().is_some() && !gate.last_reply().is_some_and(is_recent)
            })
            .map(Gate::id)
    }

    /// Returns which mechanisms are in effect.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Checks whether an attempt may be sent to an upstream now, without acquiring a permit.
    pub fn check(&self, key: GateKey, now: Instant) -> Result<(), Blocked> {
        let gate = self.gates.get(key).ok_or(Blocked::Unknown)?;
        if !self.quotas.allows(gate.id(), now) {
            return Err(Blocked::Quota);
        }
        gate.check(&self.tuning, now)
    }

    /// Acquires a permit for one attempt.
    ///
    /// # Errors
    ///
    /// Returns why the attempt may not be sent now.
    pub fn acquire(&mut self, key: GateKey, now: Instant) -> Result<Permit, Blocked> {
        self.check(key, now)?;
        let gate = self.gates.get_mut(key).ok_or(Blocked::Unknown)?;
        self.quotas.spend(gate.id(), now);
        let trial = gate.start_attempt(&self.tuning, now);
        Ok(Permit {
            key,
            sent: now,
            trial,
        })
    }

    /// Returns a permit and records the outcome of its attempt.
    pub fn release(&mut self, permit: Permit, outcome: AttemptOutcome, now: Instant) {
        if let Some(gate) = self.gates.get_mut(permit.key) {
            gate.end_attempt(outcome, (permit.sent, permit.trial), &self.tuning, now);
            if gate.has_waiters() {
                self.freed_gates.push_back(permit.key);
            }
        }
    }

    /// Adds a query to the queue of an upstream whose limit is reached.
    pub fn add_waiter(&mut self, key: GateKey, query: QueryId) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.add_waiter(query);
        }
    }

    /// Returns the next query to wake, because an upstream that it waits for has a free permit.
    ///
    /// The runtime calls this after each release until it returns `None`, and wakes each query before the next call.
    /// It ignores a query that is no longer running. Without these calls, queries would still poll every few
    /// milliseconds, but permits would stay unused in between.
    pub fn next_waiter(&mut self, now: Instant) -> Option<QueryId> {
        while let Some(&key) = self.freed_gates.front() {
            if let Some(gate) = self.gates.get_mut(key)
                && gate.check(&self.tuning, now).is_ok()
                && let Some(query) = gate.pop_waiter()
            {
                return Some(query);
            }
            self.freed_gates.pop_front();
        }
        None
    }

    /// Records the state that an upstream reported in the reply to a request sent at `sent`.
    ///
    /// The runtime calls this for every reply with the state header, including probes, errors and late replies, and
    /// for drains that other nodes report.
    pub fn record_state(
        &mut self,
        key: GateKey,
        state: UpstreamState,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_state(state, sent, now);
        }
    }

    /// Returns the limit that an upstream has named for all nodes together, if any.
    pub fn named_rate(&self, upstream: &UpstreamId) -> Option<RequestRate> {
        self.quotas.rate(upstream)
    }

    /// Returns the time since an upstream first named its limit, if it names one.
    pub fn limit_age(&self, upstream: &UpstreamId, now: Instant) -> Option<Duration> {
        self.quotas.age(upstream, now)
    }

    /// Returns the limits that upstreams have named.
    pub fn named_rates(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        self.quotas.rates()
    }

    /// Records what the reply of an upstream to a request sent at `sent` says about its limit; `share` is the part of
    /// this node in a limit that is named.
    pub fn record_limit(
        &mut self,
        upstream: &UpstreamId,
        notice: LimitNotice,
        share: QuotaShare,
        (sent, now): (Instant, Instant),
        rng: &mut dyn Rng,
    ) -> LimitChange {
        match notice {
            LimitNotice::Named(rate) => self.quotas.record_named(upstream, rate, share, now, rng),
            LimitNotice::Unnamed => {
                let change = self.quotas.record_unnamed(upstream, sent, now);
                if change != LimitChange::Unchanged
                    && let Some(&key) = self.keys.get(upstream)
                {
                    // All nodes notice the end of the limit at about the same time.
                    self.start_ramp(key, now);
                }
                change
            }
        }
    }

    /// Changes the part of this node in the limit of an upstream, because the nodes that share it changed; returns
    /// whether it was another one.
    pub fn set_quota_share(
        &mut self,
        upstream: &UpstreamId,
        share: QuotaShare,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> bool {
        self.quotas.set_share(upstream, share, now, rng)
    }

    /// Returns the time until an upstream takes a request of this node, as far as its limit and its refusals say.
    pub fn quota_wait(&self, key: GateKey, now: Instant) -> Duration {
        self.gate(key).map_or(Duration::ZERO, |gate| {
            self.quotas.wait(gate.id(), now).max(gate.hold_left(now))
        })
    }

    /// Records that an upstream is leaving: shortly after, it gets nothing more. Returns whether that is new.
    pub fn record_leaving(&mut self, key: GateKey, now: Instant) -> bool {
        let gate = self.gates.get_mut(key);
        gate.is_some_and(|gate| gate.record_leaving(now))
    }

    /// Records that an upstream wants no requests from this node for a time; returns whether that is new.
    pub fn record_hold(&mut self, key: GateKey, time: Duration, now: Instant) -> bool {
        let gate = self.gates.get_mut(key);
        gate.is_some_and(|gate| gate.record_hold(time, now))
    }

    /// Drops the limits of upstreams that were removed long ago.
    pub fn remove_old_limits(&mut self, now: Instant) {
        let keys = &self.keys;
        self.quotas
            .remove_unregistered(now, |id| keys.contains_key(id));
    }

    /// Records the index versions that an upstream reported in the reply to a request sent at `sent`.
    pub fn record_versions(&mut self, key: GateKey, versions: &[IndexVersion], sent: Instant) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_versions(versions, sent);
        }
    }

    /// Discards the index versions that an upstream reported, because the index has changed since.
    ///
    /// Otherwise a node that sends nothing while versions change would assume that its upstreams hold only the old
    /// version, and would refuse every query.
    pub fn clear_versions(&mut self, upstream: &UpstreamId) {
        if let Some(key) = self.keys.get(upstream)
            && let Some(gate) = self.gates.get_mut(*key)
        {
            gate.clear_versions();
        }
    }

    /// Returns whether an upstream holds a version, or `None` if it has reported no versions.
    pub fn holds(&self, key: GateKey, version: IndexVersion) -> Option<bool> {
        let versions = self.gates.get(key)?.versions()?;
        Some(versions.contains(&version))
    }

    /// Returns whether an attempt sent at `sent` exceeded the silence timeout and no reply arrived since.
    pub fn is_silent(&self, key: GateKey, sent: Instant, now: Instant) -> bool {
        self.tuning.silence && self.gate(key).is_some_and(|gate| gate.is_silent(sent, now))
    }

    /// Returns the time without any reply after which [`Limits::is_silent`] is true, or `None` if it never is.
    pub fn silence_timeout(&self, key: GateKey) -> Option<Duration> {
        let gate = self.gate(key).filter(|_| self.tuning.silence)?;
        Some(gate.silence_timeout())
    }

    /// Returns a quantile of an upstream's reply time, or `None` after too few replies.
    pub fn quantile(&self, key: GateKey, quantile: f64) -> Option<Duration> {
        self.gates.get(key)?.quantile(quantile)
    }

    /// Returns the budget of a service.
    pub fn budget(&self, service: &ServiceName) -> ServiceBudget {
        self.budgets.get(service).copied().unwrap_or_default()
    }

    /// Returns the hedge tokens available to a service: its own and those of the reserve.
    pub fn hedge_tokens(&self, service: &ServiceName) -> f64 {
        self.budget(service).hedge_tokens() + self.hedge_reserve.tokens()
    }

    /// Returns the fraction of its primaries that a service should plan to hedge with the tokens left now.
    ///
    /// `declared` is the fraction that earns tokens. The result is higher while tokens are saved up and lower while
    /// they are scarce, so that replies that are barely late don't use up the tokens for stragglers.
    pub fn plan_hedges(&self, service: &ServiceName, declared: f64) -> f64 {
        self.hedge_reserve
            .plan_hedges(&self.budget(service), declared)
    }

    /// Adds the tokens that one completed primary earns to the budget of a service.
    pub fn earn(&mut self, service: &ServiceName, hedge_rate: f64, retry_rate: f64) {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.earn(hedge_rate, retry_rate);
        if self.tuning.reserve {
            self.hedge_reserve.collect(budget);
        }
    }

    /// Spends the token for one hedge of a service; returns false when neither it nor the reserve has one.
    pub fn spend_hedge(&mut self, service: &ServiceName) -> bool {
        !self.tuning.budget || self.budget_mut(service).spend_hedge() || self.hedge_reserve.spend()
    }

    /// Spends the token for one retry of a service; returns false when there is none.
    pub fn spend_retry(&mut self, service: &ServiceName) -> bool {
        !self.tuning.budget || self.budget_mut(service).spend_retry()
    }

    /// Sets the limit on repeats of every service from one pool; until it is set, they are not limited.
    pub fn set_repeat_rule(&mut self, pool: RepeatPool, rule: RepeatRule) {
        self.repeats_mut(pool).set_rule(rule);
    }

    /// Adds the repeat tokens that one request of a caller earns to a service.
    pub fn earn_repeat(&mut self, pool: RepeatPool, service: &ServiceName) {
        self.repeats_mut(pool).earn(service);
    }

    /// Spends the token for one repeat of a service; returns false when that would use up the `reserve`.
    ///
    /// `reserve` is the fraction of the capacity that must be left afterwards.
    pub fn spend_repeat(
        &mut self,
        pool: RepeatPool,
        service: &ServiceName,
        reserve: f64,
        rng: &mut dyn Rng,
    ) -> bool {
        self.repeats_mut(pool).spend(service, reserve, rng)
    }

    /// Removes the budgets of services that are no longer declared.
    pub fn retain_services(&mut self, mut keep: impl FnMut(&ServiceName) -> bool) {
        self.budgets.retain(|service, _| keep(service));
        for pool in [RepeatPool::Shared, RepeatPool::Holder, RepeatPool::Fallback] {
            self.repeats_mut(pool).retain(&mut keep);
        }
    }

    fn repeats_mut(&mut self, pool: RepeatPool) -> &mut RepeatBudgets {
        match pool {
            RepeatPool::Shared => &mut self.repeats,
            RepeatPool::Holder => &mut self.holder_repeats,
            RepeatPool::Fallback => &mut self.fallback_repeats,
        }
    }

    fn budget_mut(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        self.budgets.entry(service.clone()).or_default()
    }

    fn find_distance(&self, upstream: &Upstream) -> Distance {
        let own = (&self.zone, &self.region);
        Distance::between(own, (&upstream.zone, &upstream.region))
    }
}
