//! The state that a home keeps for one ledger object: the cached value, the request queue and the call in progress.

use std::time::Duration;
use std::time::Instant;

use crate::ClaimResult;
use crate::ClockReading;
use crate::Ledger;
use crate::MAX_SKEW_MS;
use crate::Operation;
use crate::Request;
use crate::Retention;

/// A queued request that has no result yet.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Identifies the request; repeated in the reply.
    pub(crate) ticket: u64,
    pub(crate) request: Request,
    /// When the request arrived.
    pub(crate) arrived_at: Instant,
    /// Expected version of an update that carried this request and whose result is unknown.
    ///
    /// Until a value with a higher version has been read, the requester can't be told that nothing was written.
    pub(crate) uncertain_base: Option<u64>,
}

/// The last value of a ledger object that the platform is known to have held.
#[derive(Debug)]
pub(crate) struct CachedLedger {
    pub(crate) version: u64,
    pub(crate) ledger: Ledger,
    /// When the call that confirmed the value was sent.
    pub(crate) called_at: Instant,
}

/// The call in progress; there is at most one for each ledger object.
#[derive(Debug, Default)]
pub(crate) enum Call {
    #[default]
    None,
    Read {
        called_at: Instant,
    },
    Write {
        called_at: Instant,
        base: u64,
        next: Ledger,
        results: Vec<ClaimResult>,
    },
}

/// What a home does next for a ledger.
#[derive(Debug)]
pub(crate) enum Step {
    /// Wait for the next event.
    Wait,
    /// Wait for the next event, but no later than this time.
    WaitUntil(Instant),
    /// Read the object.
    Read,
    /// Write the value that results from the first requests of the queue.
    Write {
        next: Ledger,
        results: Vec<ClaimResult>,
    },
    /// Reply to the first requests of the queue, which change nothing.
    Reply(Vec<ClaimResult>),
}

/// State of one ledger object.
#[derive(Debug, Default)]
pub(crate) struct ObjectState {
    pub(crate) cached: Option<CachedLedger>,
    /// Highest version that the platform has reported; a read that returns a lower one is stale and ignored.
    pub(crate) min_version: u64,
    pub(crate) queue: Vec<Pending>,
    pub(crate) call: Call,
    /// Consecutive failed calls, for the exponential backoff.
    pub(crate) failures: u32,
    /// Earliest time of the next call, set by the backoff and by the write budget.
    pub(crate) retry_at: Option<Instant>,
    /// When the object has to be processed even if no event concerns it.
    pub(crate) wake_at: Option<Instant>,
}

/// Options of [`ObjectState::plan`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlanOptions {
    pub(crate) max_batch: usize,
    pub(crate) settle_delay: Duration,
    pub(crate) retention: Retention,
}

impl ObjectState {
    /// Decides the next step without executing it.
    pub(crate) fn plan(&self, options: &PlanOptions, now: ClockReading) -> Step {
        if self.queue.is_empty() || !matches!(self.call, Call::None) {
            return Step::Wait;
        }
        if let Some(at) = self.retry_at.filter(|at| now.instant < *at) {
            return Step::WaitUntil(at);
        }
        let Some(cached) = &self.cached else {
            return Step::Read;
        };
        let due = self.queue[0].arrived_at + options.settle_delay;
        let urgent = self.queue.len() >= options.max_batch || !self.queue.iter().all(is_settlement);
        if !urgent && now.instant < due {
            return Step::WaitUntil(due);
        }
        let mut next = cached.ledger.clone();
        next.expire(now.wall_ms, &options.retention);
        let mut changed = false;
        let mut outdated = false;
        let mut results = Vec::new();
        for pending in self.queue.iter().take(options.max_batch) {
            let (result, change) = apply_pending(&mut next, pending, now.wall_ms);
            changed |= change;
            let provisional = matches!(result, ClaimResult::InProgress | ClaimResult::Missing);
            outdated |= provisional && pending.arrived_at > cached.called_at;
            results.push(result);
        }
        match (changed, outdated) {
            (true, _) => Step::Write { next, results },
            // Another home may have created or settled the claim since the value was read.
            (false, true) => Step::Read,
            (false, false) => Step::Reply(results),
        }
    }

    /// Returns how many requests at the front of the queue belong to the write in progress.
    pub(crate) fn count_in_flight(&self) -> usize {
        match &self.call {
            Call::Write { results, .. } => results.len(),
            Call::None | Call::Read { .. } => 0,
        }
    }

    /// Returns the arrival time of the oldest request that is not part of the write in progress.
    pub(crate) fn waiting_since(&self) -> Option<Instant> {
        self.queue
            .get(self.count_in_flight())
            .map(|pending| pending.arrived_at)
    }

    /// Caches a value that the platform holds, and clears the uncertain writes that it resolves.
    ///
    /// An update that was conditional on a lower version has taken effect or never will. If the attempt doesn't hold
    /// the claim, the update had no effect; otherwise it stays uncertain until the request gets its result.
    pub(crate) fn update_cache(&mut self, version: u64, ledger: Ledger, called_at: Instant) {
        self.min_version = self.min_version.max(version);
        for pending in &mut self.queue {
            let spec = &pending.request.spec;
            let holds = |ledger: &Ledger| {
                let claim = ledger.lookup(&spec.key);
                claim.is_some_and(|claim| claim.attempt == spec.attempt)
            };
            pending.uncertain_base = pending
                .uncertain_base
                .filter(|base| version <= *base || holds(&ledger));
        }
        self.cached = Some(CachedLedger {
            version,
            ledger,
            called_at,
        });
    }

    /// Delays the next call exponentially after a failure.
    pub(crate) fn back_off(&mut self, first: Duration, longest: Duration, now: Instant) {
        let delay = first * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.retry_at = Some(now + delay.min(longest));
    }

    /// Resets the backoff after a successful call.
    pub(crate) fn reset_backoff(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }
}

fn is_settlement(pending: &Pending) -> bool {
    matches!(pending.request.operation, Operation::Settle(_))
}

/// Applies a request unless it is stale, and returns its result and whether the ledger changed.
///
/// A claim or revocation that was delayed for longer than the largest clock skew may find no claim because another
/// claim of the key has been settled and has expired.
fn apply_pending(ledger: &mut Ledger, pending: &Pending, wall_ms: u64) -> (ClaimResult, bool) {
    let request = &pending.request;
    let stale = wall_ms.abs_diff(request.sent_ms) > MAX_SKEW_MS;
    let absent = ledger.lookup(&request.spec.key).is_none();
    if stale && absent && !is_settlement(pending) {
        return (refusal_result(pending), false);
    }
    let transition = ledger.apply(request, wall_ms);
    match transition.result {
        ClaimResult::Full | ClaimResult::Missing if pending.uncertain_base.is_some() => {
            (ClaimResult::Unknown, false)
        }
        result => (result, transition.changed),
    }
}

/// Returns the result for a request that is not applied; an earlier write may have included the request.
pub(crate) fn refusal_result(pending: &Pending) -> ClaimResult {
    match pending.uncertain_base {
        None => ClaimResult::Unavailable,
        Some(_) => ClaimResult::Unknown,
    }
}
