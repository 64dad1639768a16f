//! The state that a home has for one ledger object: what it knows of the value, its queue, and its call in progress.

use std::time::Duration;
use std::time::Instant;

use crate::ClaimResult;
use crate::ClockReading;
use crate::Ledger;
use crate::MAX_SKEW_MS;
use crate::Operation;
use crate::Request;
use crate::Retention;

/// A request that waits for its result.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) ticket: u64,
    pub(crate) request: Request,
    /// When the request arrived.
    pub(crate) since: Instant,
    /// The version that an update with this request was conditional on, while its result is unknown.
    ///
    /// Until a value with a higher version has been read, the requester can't be told that nothing was written.
    pub(crate) doubt: Option<u64>,
}

/// The platform's value as a home knows it.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) version: u64,
    pub(crate) ledger: Ledger,
    /// When the call that confirmed the value was made.
    pub(crate) asked_at: Instant,
}

/// The call in progress; there is at most one for each ledger object.
#[derive(Debug, Default)]
pub(crate) enum Call {
    #[default]
    None,
    Read {
        asked_at: Instant,
    },
    Write {
        asked_at: Instant,
        base: u64,
        next: Ledger,
        results: Vec<ClaimResult>,
    },
}

/// What a home does next for a ledger.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing is to be done before another event.
    Rest,
    /// Nothing is to be done before this moment.
    RestUntil(Instant),
    /// The value has to be read.
    Read,
    /// The first requests of the queue change the ledger to this value.
    Write {
        next: Ledger,
        results: Vec<ClaimResult>,
    },
    /// The first requests of the queue change nothing.
    Reply(Vec<ClaimResult>),
}

/// State of one ledger object.
#[derive(Debug, Default)]
pub(crate) struct ObjectState {
    pub(crate) known: Option<Known>,
    /// Highest version that the platform has reported; a read that returns less lags and is not used.
    pub(crate) floor: u64,
    pub(crate) queue: Vec<Pending>,
    pub(crate) call: Call,
    /// Calls that failed in a row, for the exponential backoff.
    pub(crate) failures: u32,
    pub(crate) retry_at: Option<Instant>,
    /// When the object is to be advanced without an event of its own.
    pub(crate) wake_at: Option<Instant>,
}

/// Bounds of [`ObjectState::plan`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) max_batch: usize,
    pub(crate) settle_delay: Duration,
    pub(crate) retention: Retention,
}

impl ObjectState {
    /// Decides the next step without taking it.
    pub(crate) fn plan(&self, bounds: &Bounds, now: ClockReading) -> Step {
        if self.queue.is_empty() || !matches!(self.call, Call::None) {
            return Step::Rest;
        }
        if let Some(at) = self.retry_at.filter(|at| now.instant < *at) {
            return Step::RestUntil(at);
        }
        let Some(known) = &self.known else {
            return Step::Read;
        };
        let due = self.queue[0].since + bounds.settle_delay;
        let urgent = self.queue.len() >= bounds.max_batch || !self.queue.iter().all(is_settlement);
        if !urgent && now.instant < due {
            return Step::RestUntil(due);
        }
        let mut next = known.ledger.clone();
        next.expire(now.wall_ms, &bounds.retention);
        let mut changed = false;
        let mut outdated = false;
        let mut results = Vec::new();
        for pending in self.queue.iter().take(bounds.max_batch) {
            let (result, change) = apply_pending(&mut next, pending, now.wall_ms);
            changed |= change;
            let passing = matches!(result, ClaimResult::InProgress | ClaimResult::Missing);
            outdated |= passing && pending.since > known.asked_at;
            results.push(result);
        }
        match (changed, outdated) {
            (true, _) => Step::Write { next, results },
            // Another home may have made or settled the claim since the value was read.
            (false, true) => Step::Read,
            (false, false) => Step::Reply(results),
        }
    }

    /// Returns the number of requests at the front of the queue that the write in progress carries.
    pub(crate) fn busy(&self) -> usize {
        match &self.call {
            Call::Write { results, .. } => results.len(),
            Call::None | Call::Read { .. } => 0,
        }
    }

    /// Returns since when the oldest request waits that is not part of a write in progress.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.queue.get(self.busy()).map(|pending| pending.since)
    }

    /// Takes over a value that the platform has, and ends the doubts that it resolves.
    ///
    /// An update that was conditional on a lower version has taken effect or never will. It has not when the attempt
    /// doesn't hold the claim; otherwise the doubt stays until the request gets its result.
    pub(crate) fn learn(&mut self, version: u64, ledger: Ledger, asked_at: Instant) {
        self.floor = self.floor.max(version);
        for pending in &mut self.queue {
            let spec = &pending.request.spec;
            let holds = |ledger: &Ledger| {
                let claim = ledger.lookup(&spec.key);
                claim.is_some_and(|claim| claim.attempt == spec.attempt)
            };
            pending.doubt = pending
                .doubt
                .filter(|base| version <= *base || holds(&ledger));
        }
        self.known = Some(Known {
            version,
            ledger,
            asked_at,
        });
    }

    /// Delays the next call after a failure.
    pub(crate) fn back_off(&mut self, first: Duration, longest: Duration, now: Instant) {
        let delay = first * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.retry_at = Some(now + delay.min(longest));
    }

    /// Ends the backoff after a call that succeeded.
    pub(crate) fn recover(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }
}

fn is_settlement(pending: &Pending) -> bool {
    matches!(pending.request.operation, Operation::Settle(_))
}

/// Applies a request, unless it is too old to be acted on.
///
/// A claim or revocation that was delayed for longer than the skew may find no claim because another one with the key
/// has run and expired.
fn apply_pending(ledger: &mut Ledger, pending: &Pending, wall_ms: u64) -> (ClaimResult, bool) {
    let request = &pending.request;
    let stale = wall_ms.abs_diff(request.sent_ms) > MAX_SKEW_MS;
    let absent = ledger.lookup(&request.spec.key).is_none();
    if stale && absent && !is_settlement(pending) {
        return (refusal(pending), false);
    }
    let transition = ledger.apply(request, wall_ms);
    match transition.result {
        ClaimResult::Full | ClaimResult::Missing if pending.doubt.is_some() => {
            (ClaimResult::Unknown, false)
        }
        result => (result, transition.changed),
    }
}

/// Returns the result for a request that is not acted on, which depends on whether it may have been written before.
pub(crate) fn refusal(pending: &Pending) -> ClaimResult {
    match pending.doubt {
        None => ClaimResult::Unavailable,
        Some(_) => ClaimResult::Unknown,
    }
}
