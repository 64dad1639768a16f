//! State of one shard of a query.

use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexVersion;
use base::Part;
use limit::Blocked;
use limit::GateKey;
use limit::Limits;
use limit::Permit;

use crate::AttemptKind;
use crate::MissingReason;
use crate::bind::BoundShard;

/// Hedge delay until enough reply times are known; in the range of a healthy reply under load.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(25);

/// Shortest hedge delay, so that jitter of the node itself does not trigger hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Whether a shard is in the answer.
#[derive(Debug)]
pub(crate) enum Progress {
    Open,
    Answered(Part),
    Missing(MissingReason),
}

/// An attempt that was sent; it is kept after its end, so that a late reply is recognized.
#[derive(Debug)]
pub(crate) struct SentAttempt {
    pub(crate) shard: base::ShardId,
    pub(crate) kind: AttemptKind,
    pub(crate) key: GateKey,
    pub(crate) sent_at: Instant,
    /// Present while a reply is awaited.
    pub(crate) permit: Option<Permit>,
}

/// One shard of a query with its replicas and outstanding attempts.
#[derive(Debug)]
pub(crate) struct ShardState {
    pub(crate) members: u64,
    pub(crate) progress: Progress,
    pub(crate) outstanding: Vec<AttemptId>,
    pub(crate) attempts: u32,
    pub(crate) retries: u32,
    pub(crate) hedged: bool,
    pub(crate) postponed: bool,
    pub(crate) bound_at: Instant,
    pub(crate) first_sent: Option<Instant>,
    pub(crate) last_sent: Instant,
    pub(crate) hedge_delay: Duration,
    /// Whether no reply times of the replicas are known, so that `hedge_delay` is the default.
    default_delay: bool,
    pub(crate) timer: Option<Instant>,
    /// Kind of the next attempt, which is sent when none is outstanding.
    pub(crate) next_kind: AttemptKind,
    /// Why the shard is missing if no further attempt is sent.
    pub(crate) reason: MissingReason,
    replicas: Vec<GateKey>,
    tried: Vec<GateKey>,
    excluded: Vec<GateKey>,
}

impl ShardState {
    pub(crate) fn new(bound: &BoundShard, now: Instant) -> ShardState {
        ShardState {
            members: bound.members,
            progress: Progress::Open,
            outstanding: Vec::new(),
            attempts: 0,
            retries: 0,
            hedged: false,
            postponed: false,
            bound_at: now,
            first_sent: None,
            last_sent: now,
            hedge_delay: DEFAULT_HEDGE_DELAY,
            default_delay: true,
            timer: None,
            next_kind: AttemptKind::Primary,
            reason: MissingReason::NoReplica,
            replicas: bound.replicas.clone(),
            tried: Vec::new(),
            excluded: Vec::new(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.progress, Progress::Open)
    }

    /// Returns the members that the part covers: those that were searched, at most the shard's members in the map.
    pub(crate) fn covered(&self) -> u64 {
        match &self.progress {
            Progress::Answered(part) => part.members.min(self.members),
            Progress::Open | Progress::Missing(_) => 0,
        }
    }

    pub(crate) fn record_sent(&mut self, id: AttemptId, key: GateKey, now: Instant) {
        self.attempts += 1;
        self.outstanding.push(id);
        self.tried.push(key);
        self.first_sent.get_or_insert(now);
        self.last_sent = now;
    }

    /// Excludes a replica that rejected the bound snapshot, even if it reports that it holds the version.
    pub(crate) fn exclude(&mut self, key: GateKey) {
        self.excluded.push(key);
    }

    /// Returns the usable replicas to which no attempt was sent yet.
    pub(crate) fn untried(
        &self,
        version: IndexVersion,
        limits: &Limits,
        now: Instant,
    ) -> Vec<GateKey> {
        let mut keys = self.usable(version, limits, now);
        keys.retain(|key| !self.tried.contains(key));
        keys
    }

    /// Returns the replicas that may serve the version, including those that are paused or at their limit.
    pub(crate) fn usable(
        &self,
        version: IndexVersion,
        limits: &Limits,
        now: Instant,
    ) -> Vec<GateKey> {
        let is_usable = |key: &&GateKey| {
            !self.excluded.contains(key)
                && limits.holds(**key, version) != Some(false)
                && !matches!(
                    limits.check(**key, now),
                    Err(Blocked::Draining | Blocked::Unknown)
                )
        };
        self.replicas.iter().filter(is_usable).copied().collect()
    }

    /// Returns why no replica may serve the version.
    pub(crate) fn find_missing_reason(
        &self,
        version: IndexVersion,
        limits: &Limits,
        now: Instant,
    ) -> MissingReason {
        let has = |blocked| {
            self.replicas
                .iter()
                .any(|&key| limits.check(key, now) == Err(blocked))
        };
        let retired = self
            .replicas
            .iter()
            .any(|&key| self.excluded.contains(&key) || limits.holds(key, version) == Some(false));
        if retired {
            MissingReason::Retired
        } else if has(Blocked::Draining) {
            MissingReason::Draining
        } else {
            MissingReason::NoReplica
        }
    }

    /// Returns the hedge delay for a quantile of the reply times: the smallest value among the replicas.
    ///
    /// An upstream that is always slow has a large value, with which a hedge would come too late.
    pub(crate) fn compute_hedge_delay(&self, quantile: f64, limits: &Limits) -> Duration {
        self.find_quantile(quantile, limits)
            .unwrap_or(DEFAULT_HEDGE_DELAY)
            .max(MIN_HEDGE_DELAY)
    }

    fn find_quantile(&self, quantile: f64, limits: &Limits) -> Option<Duration> {
        self.replicas
            .iter()
            .filter_map(|&key| limits.quantile(key, quantile))
            .min()
    }

    /// Sets the hedge delay to [`ShardState::compute_hedge_delay`].
    pub(crate) fn set_quantile_delay(&mut self, quantile: f64, limits: &Limits) {
        let known = self.find_quantile(quantile, limits);
        self.hedge_delay = known.unwrap_or(DEFAULT_HEDGE_DELAY).max(MIN_HEDGE_DELAY);
        self.default_delay = known.is_none();
    }

    /// Sets a hedge delay that doesn't depend on reply times.
    pub(crate) fn set_fixed_delay(&mut self, delay: Duration) {
        self.hedge_delay = delay.max(MIN_HEDGE_DELAY);
        self.default_delay = false;
    }

    /// Returns the time from which a query that prefers latency no longer waits for this shard.
    ///
    /// For a shard without attempts the wait starts when it is bound, or one paused upstream would delay every query to
    /// its deadline. `max_latency` is the longest reply time among the parts of the query: while no reply times of the
    /// replicas are known, a shard is late only relative to the others.
    pub(crate) fn latency_cutoff(&self, max_latency: Duration) -> Instant {
        let expected = match self.default_delay {
            true => self.hedge_delay.max(max_latency),
            false => self.hedge_delay,
        };
        self.first_sent.unwrap_or(self.bound_at) + 2 * expected
    }

    /// Returns whether every usable replica is paused beyond `end`, so that waiting until then is useless.
    pub(crate) fn is_paused_until(
        &self,
        version: IndexVersion,
        end: Instant,
        limits: &Limits,
    ) -> bool {
        self.usable(version, limits, end)
            .iter()
            .all(|&key| limits.gate(key).is_some_and(|gate| gate.is_paused(end)))
    }
}
