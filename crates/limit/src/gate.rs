//! The gate in front of one upstream.

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
use crate::error_rate::halve_each;
use crate::ewma::Ewma;
use crate::filtered_mean::FilteredMean;
use crate::latency::LatencyHistogram;

/// Time over which a cold upstream is given its full concurrency.
const RAMP: Duration = Duration::from_secs(5);

/// Consecutive failures after which an upstream is paused.
const FAILURES: u8 = 3;

/// Attempts in a row that get nothing back after which an upstream is paused.
const SILENCES: u8 = 3;

/// Quantile of the reply time beyond which an abandoned attempt counts as one that got nothing back.
const SILENT_QUANTILE: f64 = 0.95;

/// Multiple of that quantile after which an attempt that is still awaited counts as silent.
const SILENT_FACTOR: u32 = 3;

/// Time without a reply that counts as silence while few reply times are known.
const FIRST_SILENCE: Duration = Duration::from_millis(100);

/// First pause after consecutive failures; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause; bounds how late a recovered upstream is noticed.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Interval at which a share that was cut by a refused connection grows back by one.
const REGROW: Duration = Duration::from_secs(5);

/// Queries that may wait for a place; further ones ask again by themselves.
const MAX_WAITERS: usize = 1_000;

/// Time after which a mean counts half in [`Gate::fading_mean`].
///
/// A server that paused for a moment is as fast as before after it; a slow one costs a hedge each time it is tried.
const FADE_MEAN: Duration = Duration::from_millis(700);

/// Time without a reply after which the mean counts half, so that a slow upstream is tried again.
const FORGET: Duration = Duration::from_secs(1);

/// State of one upstream on one node.
#[derive(Debug, Clone)]
pub struct Gate {
    pub(crate) id: UpstreamId,
    pub(crate) distance: Distance,
    full_share: Option<u16>,
    share: u16,
    share_cut: Option<Instant>,
    in_flight: u16,
    queueing: ConcurrencyLimit,
    latency: LatencyHistogram,
    mean: Ewma,
    ramp_start: Option<Instant>,
    drained: Option<Instant>,
    failures: u8,
    silences: u8,
    paused: Option<Instant>,
    trial: bool,
    held: Option<Box<[IndexVersion]>>,
    held_sent: Option<Instant>,
    heard: Option<Instant>,
    waiters: VecDeque<QueryId>,
    pending: Vec<Instant>,
    trouble: ErrorRate,
    steady: FilteredMean,
}

impl Gate {
    pub(crate) fn new(id: UpstreamId, distance: Distance, slots: u32, share: Option<u32>) -> Gate {
        let full_share = share.map(saturate);
        Gate {
            id,
            distance,
            full_share,
            share: full_share.unwrap_or(u16::MAX),
            share_cut: None,
            in_flight: 0,
            queueing: ConcurrencyLimit::new(saturate(slots)),
            latency: LatencyHistogram::new(),
            mean: Ewma::default(),
            ramp_start: None,
            drained: None,
            failures: 0,
            silences: 0,
            paused: None,
            trial: false,
            held: None,
            held_sent: None,
            heard: None,
            waiters: VecDeque::new(),
            pending: Vec::new(),
            trouble: ErrorRate::default(),
            steady: FilteredMean::default(),
        }
    }

    /// Changes what the caller of `Limits` decides; what was learned from replies stays.
    pub(crate) fn set_share(&mut self, share: Option<u32>) {
        let full_share = share.map(saturate);
        if full_share != self.full_share {
            self.full_share = full_share;
            self.share = full_share.unwrap_or(u16::MAX);
            self.share_cut = None;
        }
    }

    pub(crate) fn start_ramp(&mut self, now: Instant) {
        self.ramp_start = Some(now);
    }

    /// Returns the identifier of the upstream.
    pub fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns the attempts that hold a permit.
    pub fn in_flight(&self) -> u32 {
        u32::from(self.in_flight)
    }

    /// Returns the connections that this node may use, or `None` when a holder connects in its place.
    pub fn share(&self) -> Option<u32> {
        self.full_share.map(|_| u32::from(self.share))
    }

    /// Returns the concurrency that queueing and the cold-start ramp allow at `now`.
    pub fn concurrency(&self, tuning: &Tuning, now: Instant) -> u32 {
        let limit = if tuning.adaptive {
            self.queueing.limit()
        } else {
            u32::from(u16::MAX)
        };
        match self.ramp_start {
            Some(start) if tuning.ramp => {
                let full = limit.min(self.queueing.slots());
                let done = now.saturating_duration_since(start).as_secs_f64() / RAMP.as_secs_f64();
                if done >= 1.0 {
                    limit
                } else {
                    ((f64::from(full) * done) as u32).max(1)
                }
            }
            _ => limit,
        }
    }

    /// Returns when the upstream last replied to anything, or `None` before its first reply.
    pub fn last_reply(&self) -> Option<Instant> {
        self.heard
    }

    /// Tells whether the upstream is paused after consecutive failures at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Returns a quantile of the reply time, or `None` with too few replies.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        self.latency.quantile(quantile)
    }

    /// Returns the index versions that the upstream last said it holds, or `None` before it said any.
    pub fn versions(&self) -> Option<&[IndexVersion]> {
        self.held.as_deref()
    }

    /// Takes in the versions given in a reply to a request sent at `sent`; an older reply that arrives late is ignored.
    pub(crate) fn record_versions(&mut self, held: &[IndexVersion], sent: Instant) {
        if self.held_sent.is_some_and(|known| sent < known) {
            return;
        }
        self.held_sent = Some(sent);
        if self.held.as_deref() != Some(held) {
            self.held = Some(held.into());
        }
    }

    pub(crate) fn clear_versions(&mut self) {
        self.held = None;
    }

    pub(crate) fn check(&self, tuning: &Tuning, now: Instant) -> Result<(), Blocked> {
        if tuning.drain && self.drained.is_some() {
            return Err(Blocked::Draining);
        }
        if tuning.backoff && (self.is_paused(now) || (self.paused.is_some() && self.trial)) {
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

    /// Puts a query into the line for the next free place, once.
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

    /// Counts an attempt in; returns whether it is the single trial after a pause.
    pub(crate) fn enter(&mut self, tuning: &Tuning, now: Instant) -> bool {
        self.share = self.share_at(now);
        if self.full_share == Some(self.share) {
            self.share_cut = None;
        } else if let Some(cut) = &mut self.share_cut {
            let steps = now.saturating_duration_since(*cut).as_secs() / REGROW.as_secs();
            *cut += REGROW * steps as u32;
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.pending.push(now);
        if self.in_flight() >= self.concurrency(tuning, now) {
            self.queueing.note_reached();
        }
        let trial = tuning.backoff && self.paused.is_some();
        self.trial |= trial;
        trial
    }

    pub(crate) fn leave(
        &mut self,
        ending: AttemptOutcome,
        (sent, trial): (Instant, bool),
        tuning: &Tuning,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(at) = self.pending.iter().position(|pending| *pending == sent) {
            self.pending.swap_remove(at);
        }
        self.trouble.note(ending, now);
        if matches!(ending, AttemptOutcome::Replied | AttemptOutcome::Cancelled) {
            let ended_silence = ending == AttemptOutcome::Replied && self.is_unheard(sent);
            self.steady.note(sent, ended_silence, now);
        }
        if trial {
            self.trial = false;
        }
        if matches!(
            ending,
            AttemptOutcome::Replied | AttemptOutcome::Shed | AttemptOutcome::Rejected
        ) {
            self.note_heard(now);
        }
        let time = now.saturating_duration_since(sent);
        match ending {
            AttemptOutcome::Replied => {
                self.recover();
                self.latency.record(time);
                self.mean.record(time, now);
                self.queueing.observe(time);
            }
            AttemptOutcome::Shed => {
                self.recover();
                self.queueing.shrink();
            }
            AttemptOutcome::Rejected => self.recover(),
            AttemptOutcome::Refused => self.cut_share(now),
            AttemptOutcome::Failed => self.count_failure(now),
            AttemptOutcome::Cancelled => {
                if tuning.silence {
                    self.note_silence(sent, time, now);
                }
                self.note_lower_bound(time, now);
            }
        }
    }

    /// Takes in the state that the upstream gave in a reply to a request sent at `sent`.
    ///
    /// A reply sent before the drain was seen may arrive after it and say `live`; it does not end the drain.
    pub(crate) fn record_state(&mut self, state: UpstreamState, sent: Instant, now: Instant) {
        self.note_heard(now);
        match state {
            UpstreamState::Draining => {
                self.drained.get_or_insert(now);
            }
            UpstreamState::Live | UpstreamState::Cold => {
                if self.drained.is_some_and(|since| sent <= since) {
                    return;
                }
                self.drained = None;
                if state == UpstreamState::Cold && self.ramp_start.is_none() {
                    self.ramp_start = Some(now);
                }
                if state == UpstreamState::Live
                    && self.ramp_start.is_some_and(|start| now >= start + RAMP)
                {
                    self.ramp_start = None;
                }
            }
        }
    }

    /// Estimates how long one more attempt takes, in microseconds.
    ///
    /// The attempts in flight weigh in full from the first on: with a weaker weight, every query of a moment goes to
    /// the replica whose mean is lowest by chance, and half of the capacity stays unused.
    pub(crate) fn expected_us(&self, now: Instant) -> f32 {
        (self.decayed_mean(now) + 1.0) * (f32::from(self.in_flight) + 1.0)
    }

    /// Returns the moving mean of the reply time, halved for each [`FORGET`] without a reply.
    pub(crate) fn decayed_mean(&self, now: Instant) -> f32 {
        let Some(last) = self.mean.updated else {
            return 0.0;
        };
        self.mean.us * halve_each(FORGET, now.saturating_duration_since(last))
    }

    /// Returns the moving mean of the reply time as far as it is still current, or `None` before the first reply.
    ///
    /// An old mean approaches `usual`, so that an upstream that was slow is tried again.
    pub(crate) fn fading_mean(&self, usual: Duration, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.steady.mean.updated?);
        let weight = halve_each(FADE_MEAN, age);
        let usual_us = usual.as_micros() as f32;
        let mean_us = usual_us + (self.steady.mean.us - usual_us) * weight;
        Some(Duration::from_micros(mean_us as u64))
    }

    /// Returns the recent share of attempts that were shed or failed, which fades with time.
    pub(crate) fn trouble(&self, now: Instant) -> f32 {
        self.trouble.share(now)
    }

    /// Tells whether an attempt is awaited for longer than `usual` and nothing came back since it was sent.
    ///
    /// A server that stands still shows in this before any reply time does.
    pub(crate) fn is_stalled(&self, usual: Duration, now: Instant) -> bool {
        self.pending
            .iter()
            .any(|&sent| now.saturating_duration_since(sent) > usual && self.is_unheard(sent))
    }

    /// Returns the requests that the server runs at the same time.
    pub(crate) fn slots(&self) -> u32 {
        self.queueing.slots()
    }

    pub(crate) fn distance(&self) -> Distance {
        self.distance
    }

    /// Counts an abandoned attempt as slow as it was when abandoned, unless that is faster than usual.
    ///
    /// Without it, the slow replies that a hedge replaces would never reach the quantiles, which would drift down.
    fn note_lower_bound(&mut self, time: Duration, now: Instant) {
        if time.as_micros() as f32 >= self.mean.us {
            self.latency.record(time);
            self.mean.record(time, now);
        }
    }

    fn note_heard(&mut self, now: Instant) {
        self.heard = Some(now);
        self.silences = 0;
    }

    /// Tells whether an attempt is awaited far longer than replies take, and nothing else came back since it was sent.
    pub(crate) fn is_silent(&self, sent: Instant, now: Instant) -> bool {
        now >= sent + self.silence_timeout() && self.is_unheard(sent)
    }

    pub(crate) fn silence_timeout(&self) -> Duration {
        self.quantile(SILENT_QUANTILE)
            .map_or(FIRST_SILENCE, |time| SILENT_FACTOR * time)
    }

    fn is_unheard(&self, sent: Instant) -> bool {
        self.heard.is_none_or(|heard| heard < sent)
    }

    /// Counts an abandoned attempt during which the upstream gave no sign of life.
    ///
    /// A connection into a partitioned zone neither replies nor fails. An overloaded upstream keeps replying to other
    /// attempts meanwhile, so that it is never taken for one.
    fn note_silence(&mut self, sent: Instant, time: Duration, now: Instant) {
        let late = self
            .quantile(SILENT_QUANTILE)
            .is_some_and(|usual| time >= usual);
        if !late || !self.is_unheard(sent) {
            return;
        }
        self.silences = self.silences.saturating_add(1);
        if self.silences >= SILENCES {
            self.failures = self.failures.max(FAILURES - 1);
            self.count_failure(now);
        }
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.paused = None;
    }

    fn count_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES {
            let doublings = u32::from(self.failures - FAILURES).min(16);
            self.paused = Some(now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE));
        }
    }

    fn cut_share(&mut self, now: Instant) {
        if self.full_share.is_none() {
            return;
        }
        let open = self.in_flight.max(1);
        self.share = self.share_at(now).saturating_sub(1).min(open).max(1);
        self.share_cut = Some(now);
    }

    fn share_at(&self, now: Instant) -> u16 {
        let (Some(full), Some(cut)) = (self.full_share, self.share_cut) else {
            return self.share;
        };
        let steps = now.saturating_duration_since(cut).as_secs() / REGROW.as_secs();
        full.min(
            self.share
                .saturating_add(saturate(steps.min(u64::from(u16::MAX)) as u32)),
        )
    }
}

fn saturate(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
