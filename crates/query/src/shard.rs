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

/// Hedge delay while too few reply times are known; in the range of a healthy reply under load.
const FIRST_DELAY: Duration = Duration::from_millis(25);

/// Shortest hedge delay, so that jitter of the node itself does not trigger hedges.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Whether a shard is in the answer.
#[derive(Debug)]
pub(crate) enum Progress {
    Open,
    Answered(Part),
    Missing(MissingReason),
}

/// A sub-request that was sent; it stays known after its end, so that a late reply is recognized.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) shard: base::ShardId,
    pub(crate) kind: AttemptKind,
    pub(crate) key: GateKey,
    pub(crate) sent: Instant,
    /// Present while a reply is awaited.
    pub(crate) permit: Option<Permit>,
}

/// One shard of a query with its replicas and outstanding attempts.
#[derive(Debug)]
pub(crate) struct ShardState {
    pub(crate) members: u64,
    pub(crate) progress: Progress,
    pub(crate) live: Vec<AttemptId>,
    pub(crate) attempts: u32,
    pub(crate) retries: u32,
    pub(crate) hedged: bool,
    pub(crate) postponed: bool,
    pub(crate) bound_at: Instant,
    pub(crate) first_sent: Option<Instant>,
    pub(crate) last_sent: Instant,
    pub(crate) hedge_delay: Duration,
    /// Whether the hedge delay rests on no reply times of the replicas.
    guessed: bool,
    pub(crate) timer: Option<Instant>,
    /// AttemptKind of the next attempt while none is outstanding.
    pub(crate) next: AttemptKind,
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
            live: Vec::new(),
            attempts: 0,
            retries: 0,
            hedged: false,
            postponed: false,
            bound_at: now,
            first_sent: None,
            last_sent: now,
            hedge_delay: FIRST_DELAY,
            guessed: true,
            timer: None,
            next: AttemptKind::Primary,
            reason: MissingReason::NoReplica,
            replicas: bound.replicas.clone(),
            tried: Vec::new(),
            excluded: Vec::new(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.progress, Progress::Open)
    }

    /// Returns the members that a part covers: no more than the map says, and no more than were searched.
    pub(crate) fn covered(&self) -> u64 {
        match &self.progress {
            Progress::Answered(part) => part.members.min(self.members),
            Progress::Open | Progress::Missing(_) => 0,
        }
    }

    pub(crate) fn note_sent(&mut self, id: AttemptId, key: GateKey, now: Instant) {
        self.attempts += 1;
        self.live.push(id);
        self.tried.push(key);
        self.first_sent.get_or_insert(now);
        self.last_sent = now;
    }

    /// Bars a replica that rejected the bound snapshot, even if it claims to hold the version.
    pub(crate) fn exclude(&mut self, key: GateKey) {
        self.excluded.push(key);
    }

    /// Returns the replicas that may serve the version and were not asked yet.
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

    /// Returns the replicas that may serve the version.
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

    /// Tells why no replica may serve the version.
    pub(crate) fn explain_unusable(
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

    /// Returns the smallest quantile among the replicas.
    ///
    /// An upstream that is slow throughout has a large quantile of its own, by which a hedge would come too late.
    pub(crate) fn find_delay(&self, quantile: f64, limits: &Limits) -> Duration {
        self.find_quantile(quantile, limits)
            .unwrap_or(FIRST_DELAY)
            .max(MIN_DELAY)
    }

    fn find_quantile(&self, quantile: f64, limits: &Limits) -> Option<Duration> {
        self.replicas
            .iter()
            .filter_map(|&key| limits.quantile(key, quantile))
            .min()
    }

    /// Sets the hedge delay as [`ShardState::find_delay`] gives it.
    pub(crate) fn set_delay(&mut self, quantile: f64, limits: &Limits) {
        let known = self.find_quantile(quantile, limits);
        self.hedge_delay = known.unwrap_or(FIRST_DELAY).max(MIN_DELAY);
        self.guessed = known.is_none();
    }

    /// Sets a hedge delay that does not depend on reply times.
    pub(crate) fn fix_delay(&mut self, delay: Duration) {
        self.hedge_delay = delay.max(MIN_DELAY);
        self.guessed = false;
    }

    /// Returns the moment from which a query that prefers latency no longer waits for this shard.
    ///
    /// A shard that the limits hold back counts from the moment it was bound, or one paused upstream would delay every
    /// query to its deadline. `slowest` is the longest reply time among the parts of the query: while the replicas' own
    /// reply times are not known, a shard is late only against the others.
    pub(crate) fn patience_end(&self, slowest: Duration) -> Instant {
        let usual = match self.guessed {
            true => self.hedge_delay.max(slowest),
            false => self.hedge_delay,
        };
        self.first_sent.unwrap_or(self.bound_at) + 2 * usual
    }

    /// Tells whether every usable replica is paused beyond a moment, so that waiting until then is of no use.
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
