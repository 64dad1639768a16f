//! The gate of one upstream, which decides whether an attempt may be sent to it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::IndexVersion;
use base::QueryId;
use base::UpstreamId;
use base::UpstreamState;

use crate::AttemptOutcome;
use crate::Blocked;
use crate::Distance;
use crate::Tuning;
use crate::concurrency::ConcurrencyLimit;
use crate::error_rate::ErrorRate;
use crate::error_rate::decay;
use crate::ewma::Ewma;
use crate::filtered_mean::FilteredMean;
use crate::latency::LatencyHistogram;

/// Time for which an upstream that is leaving still gets requests, so that the others don't get all at one moment.
const LEAVE_TIME: Duration = Duration::from_millis(500);

/// Longest time for which an upstream can keep requests away.
const MAX_HOLD: Duration = Duration::from_secs(600);

/// Time over which a cold upstream ramps up to its full concurrency.
const RAMP_TIME: Duration = Duration::from_secs(5);

/// Consecutive failures after which an upstream is paused.
const FAILURE_LIMIT: u8 = 3;

/// Consecutive silent attempts after which an upstream is paused.
const SILENCE_LIMIT: u8 = 3;

/// Quantile of the reply time after which an abandoned attempt may count as silent.
const SILENCE_QUANTILE: f64 = 0.95;

/// Multiple of that quantile after which an attempt in flight counts as silent.
const SILENCE_FACTOR: u32 = 3;

/// Silence timeout while too few reply times are known for a quantile.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// First pause after consecutive failures; each further failure doubles the pause.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause, which bounds how late a recovery is noticed.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Interval at which a share that a refused connection reduced grows by one.
const REGROW_INTERVAL: Duration = Duration::from_secs(5);

/// Queries that may wait for a permit of one upstream; further ones only poll.
const MAX_WAITERS: usize = 1_000;

/// Half-life with which [`Gate::reverting_mean`] returns to the typical reply time.
///
/// A server that paused for a moment is as fast as before afterwards; a slow one costs a hedge each time it is tried.
const REVERSION_HALF_LIFE: Duration = Duration::from_millis(700);

/// Half-life of the mean while no reply arrives, so that a slow upstream is tried again.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(1);

/// State and limits of one upstream on one node.
#[derive(Debug, Clone)]
pub struct Gate {
    pub(crate) id: UpstreamId,
    pub(crate) distance: Distance,
    full_share: Option<u16>,
    share: u16,
    regrow_start: Option<Instant>,
    in_flight: u16,
    concurrency: ConcurrencyLimit,
    latency: LatencyHistogram,
    mean: Ewma,
    ramp_start: Option<Instant>,
    draining_since: Option<Instant>,
    /// Time from which the upstream gets nothing more, because it is leaving.
    leaving_at: Option<Instant>,
    /// Time until which the upstream wants no requests from this node.
    held_until: Option<Instant>,
    failures: u8,
    silent_attempts: u8,
    paused_until: Option<Instant>,
    trial_in_flight: bool,
    versions: Option<Box<[IndexVersion]>>,
    versions_sent: Option<Instant>,
    last_reply: Option<Instant>,
    waiters: VecDeque<QueryId>,
    sent_times: Vec<Instant>,
    error_rate: ErrorRate,
    filtered_mean: FilteredMean,
}

impl Gate {
    pub(crate) fn new(id: UpstreamId, distance: Distance, slots: u32, share: Option<u32>) -> Gate {
        let full_share = share.map(saturate);
        Gate {
            id,
            distance,
            full_share,
            share: full_share.unwrap_or(u16::MAX),
            regrow_start: None,
            in_flight: 0,
            concurrency: ConcurrencyLimit::new(saturate(slots)),
            latency: LatencyHistogram::new(),
            mean: Ewma::default(),
            ramp_start: None,
            draining_since: None,
            leaving_at: None,
            held_until: None,
            failures: 0,
            silent_attempts: 0,
            paused_until: None,
            trial_in_flight: false,
            versions: None,
            versions_sent: None,
            last_reply: None,
            waiters: VecDeque::new(),
            sent_times: Vec::new(),
            error_rate: ErrorRate::default(),
            filtered_mean: FilteredMean::default(),
        }
    }

    /// Changes the connection share; the statistics of replies are kept.
    pub(crate) fn set_share(&mut self, share: Option<u32>) {
        let full_share = share.map(saturate);
        if full_share != self.full_share {
            self.full_share = full_share;
            self.share = full_share.unwrap_or(u16::MAX);
            self.regrow_start = None;
        }
    }

    pub(crate) fn start_ramp(&mut self, now: Instant) {
        self.ramp_start = Some(now);
    }

    /// Returns the identifier of the upstream.
    pub fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns the number of attempts that hold a permit.
    pub fn in_flight(&self) -> u32 {
        u32::from(self.in_flight)
    }

    /// Returns the number of connections that this node may use, or `None` when a holder connects on its behalf.
    pub fn share(&self) -> Option<u32> {
        self.full_share.map(|_| u32::from(self.share))
    }

    /// Returns the concurrency that the adaptive limit and the cold-start ramp allow at `now`.
    pub fn concurrency(&self, tuning: &Tuning, now: Instant) -> u32 {
        let limit = if tuning.adaptive {
            self.concurrency.limit()
        } else {
            u32::from(u16::MAX)
        };
        match self.ramp_start {
            Some(start) if tuning.ramp => {
                let full = limit.min(self.concurrency.slots());
                let progress =
                    now.saturating_duration_since(start).as_secs_f64() / RAMP_TIME.as_secs_f64();
                if progress >= 1.0 {
                    limit
                } else {
                    ((f64::from(full) * progress) as u32).max(1)
                }
            }
            _ => limit,
        }
    }

    /// Returns when the upstream last sent any reply, or `None` before its first reply.
    pub fn last_reply(&self) -> Option<Instant> {
        self.last_reply
    }

    /// Returns whether the upstream is paused after consecutive failures at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns a quantile of the reply time, or `None` after too few replies.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        self.latency.quantile(quantile)
    }

    /// Returns the index versions that the upstream last reported, or `None` if none were reported.
    pub fn versions(&self) -> Option<&[IndexVersion]> {
        self.versions.as_deref()
    }

    /// Records the versions in the reply to a request sent at `sent`; a reply to an older request is ignored.
    pub(crate) fn record_versions(&mut self, versions: &[IndexVersion], sent: Instant) {
        if self.versions_sent.is_some_and(|known| sent < known) {
            return;
        }
        self.versions_sent = Some(sent);
        if self.versions.as_deref() != Some(versions) {
            self.versions = Some(versions.into());
        }
    }

    pub(crate) fn clear_versions(&mut self) {
        self.versions = None;
    }

    pub(crate) fn check(&self, tuning: &Tuning, now: Instant) -> Result<(), Blocked> {
        if tuning.drain && self.draining_since.is_some() {
            return Err(Blocked::Draining);
        }
        if self.leaving_at.is_some_and(|at| now >= at) {
            return Err(Blocked::Draining);
        }
        if !self.hold_left(now).is_zero() {
            return Err(Blocked::Quota);
        }
        if tuning.backoff
            && (self.is_paused(now) || (self.paused_until.is_some() && self.trial_in_flight))
        {
            return Err(Blocked::Paused);
        }
        if self.full_share.is_none() {
            return Ok(());
        }
        if tuning.share && self.in_flight >= self.share_at(now) {
            return Err(Blocked::Share);
        }
        if self.in_flight() >= self.concurrency(tuning, now) {
            return Err(Blocked::Limit);
        }
        Ok(())
    }

    /// Adds a query to the queue for the next permit, unless it is already waiting.
    pub(crate) fn add_waiter(&mut self, query: QueryId) {
        if self.waiters.len() < MAX_WAITERS && !self.waiters.contains(&query) {
            self.waiters.push_back(query);
        }
    }

    pub(crate) fn has_waiters(&self) -> bool {
        !self.waiters.is_empty()
    }

    pub(crate) fn pop_waiter(&mut self) -> Option<QueryId> {
        self.waiters.pop_front()
    }

    /// Starts an attempt; returns whether it is the single trial after a pause.
    pub(crate) fn start_attempt(&mut self, tuning: &Tuning, now: Instant) -> bool {
        self.share = self.share_at(now);
        if self.full_share == Some(self.share) {
            self.regrow_start = None;
        } else if let Some(start) = &mut self.regrow_start {
            let steps = now.saturating_duration_since(*start).as_secs() / REGROW_INTERVAL.as_secs();
            *start += REGROW_INTERVAL * steps as u32;
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.sent_times.push(now);
        if self.in_flight() >= self.concurrency(tuning, now) {
            self.concurrency.mark_reached();
        }
        let trial = tuning.backoff && self.paused_until.is_some();
        self.trial_in_flight |= trial;
        trial
    }

    pub(crate) fn end_attempt(
        &mut self,
        outcome: AttemptOutcome,
        (sent, trial): (Instant, bool),
        tuning: &Tuning,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(index) = self.sent_times.iter().position(|time| *time == sent) {
            self.sent_times.swap_remove(index);
        }
        self.error_rate.record(outcome, now);
        if matches!(outcome, AttemptOutcome::Replied | AttemptOutcome::Cancelled) {
            let ended_silence = outcome == AttemptOutcome::Replied && self.is_silent_since(sent);
            self.filtered_mean.record(sent, ended_silence, now);
        }
        if trial {
            self.trial_in_flight = false;
        }
        if matches!(
            outcome,
            AttemptOutcome::Replied | AttemptOutcome::Shed | AttemptOutcome::Rejected
        ) {
            self.record_reply(now);
        }
        let time = now.saturating_duration_since(sent);
        match outcome {
            AttemptOutcome::Replied => {
                self.clear_failures();
                self.latency.record(time);
                self.mean.record(time, now);
                self.concurrency.record_time(time);
            }
            AttemptOutcome::Shed => {
                self.clear_failures();
                self.concurrency.decrease();
            }
            AttemptOutcome::Rejected => self.clear_failures(),
            AttemptOutcome::Refused => self.reduce_share(now),
            AttemptOutcome::Failed => self.count_failure(now),
            AttemptOutcome::Unsent => {}
            AttemptOutcome::Cancelled => {
                if tuning.silence {
                    self.count_silence(sent, time, now);
                }
                self.record_lower_bound(time, now);
            }
        }
    }

    /// Records the state that the upstream reported in the reply to a request sent at `sent`.
    ///
    /// A reply to a request sent before the drain was seen may arrive late and say `live`; it doesn't end the drain.
    pub(crate) fn record_state(&mut self, state: UpstreamState, sent: Instant, now: Instant) {
        self.record_reply(now);
        match state {
            UpstreamState::Draining => {
                self.draining_since.get_or_insert(now);
            }
            UpstreamState::Live | UpstreamState::Cold => {
                if self.draining_since.is_some_and(|since| sent <= since) {
                    return;
                }
                self.draining_since = None;
                if state == UpstreamState::Cold && self.ramp_start.is_none() {
                    self.ramp_start = Some(now);
                }
                if state == UpstreamState::Live
                    && self
                        .ramp_start
                        .is_some_and(|start| now >= start + RAMP_TIME)
                {
                    self.ramp_start = None;
                }
            }
        }
    }

    /// Records that the upstream is leaving; returns whether that is new.
    pub(crate) fn record_leaving(&mut self, now: Instant) -> bool {
        let is_new = self.leaving_at.is_none();
        self.leaving_at.get_or_insert(now + LEAVE_TIME);
        is_new
    }

    /// Records that the upstream wants no requests from this node for a time; returns whether that is new.
    pub(crate) fn record_hold(&mut self, time: Duration, now: Instant) -> bool {
        let is_new = self.hold_left(now).is_zero();
        self.held_until = self.held_until.max(Some(now + time.min(MAX_HOLD)));
        is_new
    }

    /// Returns the rest of the time for which the upstream wants no requests.
    pub(crate) fn hold_left(&self, now: Instant) -> Duration {
        let held_until = self.held_until.unwrap_or(now);
        held_until.saturating_duration_since(now)
    }

    /// Estimates how long one more attempt would take, in microseconds.
    ///
    /// Every attempt in flight counts in full: with a smaller weight, all queries of the same moment go to the replica
    /// whose mean is lowest by chance, and half of the capacity stays unused.
    pub(crate) fn expected_us(&self, now: Instant) -> f32 {
        (self.decayed_mean_us(now) + 1.0) * (f32::from(self.in_flight) + 1.0)
    }

    /// Returns the moving average of the reply time, halved for each [`MEAN_HALF_LIFE`] without a reply.
    pub(crate) fn decayed_mean_us(&self, now: Instant) -> f32 {
        let Some(updated) = self.mean.updated else {
            return 0.0;
        };
        self.mean.us * decay(MEAN_HALF_LIFE, now.saturating_duration_since(updated))
    }

    /// Returns the moving average of the reply time, or `None` before the first reply.
    ///
    /// With age it reverts to `typical`, so that an upstream that was slow is tried again.
    pub(crate) fn reverting_mean(&self, typical: Duration, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.filtered_mean.mean.updated?);
        let weight = decay(REVERSION_HALF_LIFE, age);
        let typical_us = typical.as_micros() as f32;
        let mean_us = typical_us + (self.filtered_mean.mean.us - typical_us) * weight;
        Some(Duration::from_micros(mean_us as u64))
    }

    /// Returns the recent share of attempts that were shed or failed, which decays with time.
    pub(crate) fn error_rate(&self, now: Instant) -> f32 {
        self.error_rate.rate(now)
    }

    /// Returns whether an attempt has been in flight for longer than `threshold` without any reply since it was sent.
    ///
    /// A stalled server is detected by this before its reply times show the stall.
    pub(crate) fn is_stalled(&self, threshold: Duration, now: Instant) -> bool {
        self.sent_times.iter().any(|&sent| {
            now.saturating_duration_since(sent) > threshold && self.is_silent_since(sent)
        })
    }

    /// Returns the number of requests that the server runs at the same time.
    pub(crate) fn slots(&self) -> u32 {
        self.concurrency.slots()
    }

    pub(crate) fn distance(&self) -> Distance {
        self.distance
    }

    /// Records the time of an abandoned attempt as a reply time, unless it is below the mean.
    ///
    /// Otherwise slow replies that hedges replace would never be recorded, and the quantiles would drift down.
    fn record_lower_bound(&mut self, time: Duration, now: Instant) {
        if time.as_micros() as f32 >= self.mean.us {
            self.latency.record(time);
            self.mean.record(time, now);
        }
    }

    fn record_reply(&mut self, now: Instant) {
        self.last_reply = Some(now);
        self.silent_attempts = 0;
    }

    /// Returns whether an attempt exceeded the silence timeout and no reply arrived since it was sent.
    pub(crate) fn is_silent(&self, sent: Instant, now: Instant) -> bool {
        now >= sent + self.silence_timeout() && self.is_silent_since(sent)
    }

    pub(crate) fn silence_timeout(&self) -> Duration {
        self.quantile(SILENCE_QUANTILE)
            .map_or(DEFAULT_SILENCE_TIMEOUT, |time| SILENCE_FACTOR * time)
    }

    fn is_silent_since(&self, sent: Instant) -> bool {
        self.last_reply.is_none_or(|reply| reply < sent)
    }

    /// Counts an abandoned attempt during which the upstream sent no reply at all.
    ///
    /// A connection into a partitioned zone neither replies nor fails. An overloaded upstream keeps replying to other
    /// attempts, so it isn't mistaken for a partitioned one.
    fn count_silence(&mut self, sent: Instant, time: Duration, now: Instant) {
        let late = self
            .quantile(SILENCE_QUANTILE)
            .is_some_and(|quantile| time >= quantile);
        if !late || !self.is_silent_since(sent) {
            return;
        }
        self.silent_attempts = self.silent_attempts.saturating_add(1);
        if self.silent_attempts >= SILENCE_LIMIT {
            self.failures = self.failures.max(FAILURE_LIMIT - 1);
            self.count_failure(now);
        }
    }

    /// Forgets failures and refused connections, as if there had been none.
    pub(crate) fn forget_failures(&mut self) {
        self.clear_failures();
        self.error_rate = ErrorRate::default();
        self.share = self.full_share.unwrap_or(u16::MAX);
        self.regrow_start = None;
    }

    fn clear_failures(&mut self) {
        self.failures = 0;
        self.paused_until = None;
    }

    fn count_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_LIMIT {
            let doublings = u32::from(self.failures - FAILURE_LIMIT).min(16);
            self.paused_until = Some(now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE));
        }
    }

    fn reduce_share(&mut self, now: Instant) {
        if self.full_share.is_none() {
            return;
        }
        let connected = self.in_flight.max(1);
        self.share = self.share_at(now).saturating_sub(1).min(connected).max(1);
        self.regrow_start = Some(now);
    }

    fn share_at(&self, now: Instant) -> u16 {
        let (Some(full), Some(start)) = (self.full_share, self.regrow_start) else {
            return self.share;
        };
        let steps = now.saturating_duration_since(start).as_secs() / REGROW_INTERVAL.as_secs();
        full.min(
            self.share
                .saturating_add(saturate(steps.min(u64::from(u16::MAX)) as u32)),
        )
    }
}

fn saturate(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
