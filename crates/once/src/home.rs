//! The home of ledger objects: batches requests into conditional updates, at most one at a time for each object.
//!
//! Each node derives the home of a ledger from its own membership view. Views may differ, so two homes may act on one
//! ledger. Each update is conditional on the version that it was computed from; of two concurrent updates one fails,
//! and its home reads the new value and applies the requests again. The update of a home that was paused fails
//! likewise. A lost reply is resolved by reading: the requests are applied again to the value read, and a request that
//! has already taken effect changes nothing and gets the same result.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ClaimResult;
use crate::ClockReading;
use crate::Ledger;
use crate::LedgerId;
use crate::Request;
use crate::Retention;
use crate::bucket::TokenBucket;
use crate::object::Call;
use crate::object::ObjectState;
use crate::object::Pending;
use crate::object::PlanOptions;
use crate::object::Step;
use crate::object::refusal_result;

/// Settings of a [`Home`].
#[derive(Debug, Clone, Copy)]
pub struct HomeOptions {
    /// Interval in which the home's write budget, shared by all its ledgers, refills by one write.
    pub write_interval: Duration,
    /// Capacity of the write budget, in writes.
    pub write_burst: u32,
    /// Largest number of requests in one update.
    pub max_batch: usize,
    /// Longest delay of a settlement, so that it can share an update with a claim; no caller waits for a settlement.
    pub settle_delay: Duration,
    /// Time after which a queued request is answered with an error, because the platform doesn't respond.
    pub request_timeout: Duration,
    /// How long claims are kept.
    pub retention: Retention,
}

impl Default for HomeOptions {
    /// The interval gives each of 15 homes its share of 100 writes a second.
    fn default() -> HomeOptions {
        HomeOptions {
            write_interval: Duration::from_millis(150),
            write_burst: 8,
            max_batch: 512,
            settle_delay: Duration::from_millis(200),
            request_timeout: Duration::from_secs(2),
            retention: Retention::default(),
        }
    }
}

/// Delay after the first of several consecutive failed calls.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Largest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Result of a conditional update, as `store` reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The update took effect and gave the object this version.
    Applied(u64),
    /// The object has this version, not the expected one; the update had no effect.
    Conflict(u64),
    /// The update was not processed by the platform.
    Refused,
    /// The reply was lost; the update may have taken effect, or may still do so.
    Unknown,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadResult {
    /// The object has this version and value; an object that doesn't exist has version 0 and an empty ledger.
    Found(u64, Ledger),
    /// The read failed or its reply was lost.
    Failed,
}

/// An input of a [`Home`].
#[derive(Debug, Clone)]
pub enum HomeEvent {
    /// A requester sent a request; the reply repeats its ticket, a number that identifies it.
    Request(u64, Request),
    /// The write of a ledger has completed.
    Written(LedgerId, WriteResult),
    /// The read of a ledger has completed.
    Read(LedgerId, ReadResult),
    /// The time of the last [`HomeAction::WakeAt`] has come.
    Wake,
}

/// An output of a [`Home`].
///
/// The caller reports the result of each read and write with one event. It reports a call that times out as
/// [`ReadResult::Failed`] or [`WriteResult::Unknown`]; until then the home makes no other call for that ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeAction {
    /// Read a ledger object.
    Read(LedgerId),
    /// Write a ledger object if it still has this version; 0 creates it.
    Write(LedgerId, u64, Ledger),
    /// Answer the requester with this ticket.
    Reply(u64, ClaimResult),
    /// Send [`HomeEvent::Wake`] at this time or later.
    WakeAt(Instant),
}

/// The state machine of a node in its role as the home of ledgers.
#[derive(Debug)]
pub struct Home {
    options: HomeOptions,
    bucket: TokenBucket,
    objects: BTreeMap<LedgerId, ObjectState>,
    /// The ledger that was written last; ledgers are processed round-robin from the next one, so that none starves.
    last_written: LedgerId,
}

impl Home {
    /// Creates a home without cached ledgers; it reads each one when the first request for it arrives.
    pub fn new(options: HomeOptions) -> Home {
        Home {
            options,
            bucket: TokenBucket::new(options.write_interval, options.write_burst),
            objects: BTreeMap::new(),
            last_written: 0,
        }
    }

    /// Sets [`HomeOptions::write_interval`], which depends on the number of homes.
    pub fn set_write_interval(&mut self, interval: Duration) {
        self.bucket.set_interval(interval);
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: HomeEvent, now: ClockReading) -> Vec<HomeAction> {
        let mut actions = Vec::new();
        let ledger = match event {
            HomeEvent::Request(ticket, request) => {
                let ledger = request.spec.key.ledger();
                self.enqueue(ticket, request, now);
                Some(ledger)
            }
            HomeEvent::Written(ledger, result) => {
                self.finish_write(ledger, result, now, &mut actions);
                Some(ledger)
            }
            HomeEvent::Read(ledger, result) => {
                self.finish_read(ledger, result, now, &mut actions);
                Some(ledger)
            }
            HomeEvent::Wake => None,
        };
        self.refuse_timed_out(now.instant, &mut actions);
        for id in self.list_due(ledger, now.instant) {
            self.process_ledger(id, now, &mut actions);
        }
        let wake = self
            .objects
            .values()
            .filter_map(|object| object.wake_at)
            .min();
        actions.extend(wake.map(HomeAction::WakeAt));
        actions
    }

    fn enqueue(&mut self, ticket: u64, request: Request, now: ClockReading) {
        let object = self.objects.entry(request.spec.key.ledger()).or_default();
        object.queue.push(Pending {
            ticket,
            request,
            arrived_at: now.instant,
            uncertain_base: None,
        });
    }

    fn finish_write(
        &mut self,
        ledger: LedgerId,
        result: WriteResult,
        now: ClockReading,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(object) = self.objects.get_mut(&ledger) else {
            return;
        };
        let (called_at, base, next, results) = match std::mem::take(&mut object.call) {
            Call::Write {
                called_at,
                base,
                next,
                results,
            } => (called_at, base, next, results),
            other => {
                object.call = other;
                return;
            }
        };
        match result {
            WriteResult::Applied(version) => {
                object.reset_backoff();
                reply_to_first(object, results, actions);
                object.update_cache(version, next, called_at);
            }
            WriteResult::Conflict(version) => {
                object.cached = None;
                object.min_version = object.min_version.max(version);
            }
            WriteResult::Refused => {
                object.back_off(MIN_BACKOFF, MAX_BACKOFF, now.instant);
                refuse_unwritten(object, actions);
            }
            WriteResult::Unknown => {
                object.cached = None;
                for pending in object.queue.iter_mut().take(results.len()) {
                    pending.uncertain_base = Some(base);
                }
            }
        }
    }

    fn finish_read(
        &mut self,
        ledger: LedgerId,
        result: ReadResult,
        now: ClockReading,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(object) = self.objects.get_mut(&ledger) else {
            return;
        };
        let Call::Read { called_at } = object.call else {
            return;
        };
        object.call = Call::None;
        match result {
            ReadResult::Found(version, value) if version >= object.min_version => {
                object.reset_backoff();
                object.update_cache(version, value, called_at);
            }
            ReadResult::Found(..) => object.back_off(MIN_BACKOFF, MAX_BACKOFF, now.instant),
            ReadResult::Failed => {
                object.back_off(MIN_BACKOFF, MAX_BACKOFF, now.instant);
                refuse_unwritten(object, actions);
            }
        }
    }

    /// Answers the requests that have timed out, except those in a write in progress, which wait for its result.
    fn refuse_timed_out(&mut self, now: Instant, actions: &mut Vec<HomeAction>) {
        let request_timeout = self.options.request_timeout;
        for object in self.objects.values_mut() {
            // Requests are queued in order of arrival, so if the first has not timed out, none has.
            if object
                .waiting_since()
                .is_none_or(|since| now < since + request_timeout)
            {
                continue;
            }
            let in_flight = object.count_in_flight();
            let mut position = 0;
            object.queue.retain(|pending| {
                position += 1;
                if position <= in_flight || now < pending.arrived_at + request_timeout {
                    return true;
                }
                actions.push(HomeAction::Reply(pending.ticket, refusal_result(pending)));
                false
            });
        }
    }

    /// Lists the ledgers to process: the one that the event concerns, and those whose wake-up time has come.
    fn list_due(&self, about: Option<LedgerId>, now: Instant) -> Vec<LedgerId> {
        self.objects
            .range(self.last_written.saturating_add(1)..)
            .chain(self.objects.range(..=self.last_written))
            .filter(|(id, object)| {
                Some(**id) == about || object.wake_at.is_some_and(|at| at <= now)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Executes the steps of one ledger until it has to wait for an event.
    fn process_ledger(&mut self, id: LedgerId, now: ClockReading, actions: &mut Vec<HomeAction>) {
        let options = PlanOptions {
            max_batch: self.options.max_batch.max(1),
            settle_delay: self.options.settle_delay,
            retention: self.options.retention,
        };
        let Some(object) = self.objects.get_mut(&id) else {
            return;
        };
        object.wake_at = None;
        let wait_until = loop {
            match object.plan(&options, now) {
                Step::Wait => break None,
                Step::WaitUntil(at) => break Some(at),
                Step::Read => {
                    let called_at = now.instant;
                    object.call = Call::Read { called_at };
                    actions.push(HomeAction::Read(id));
                    break None;
                }
                Step::Reply(results) => reply_to_first(object, results, actions),
                Step::Write { next, results } => {
                    if let Err(at) = self.bucket.try_acquire(now.instant) {
                        // Keeps requests that arrive meanwhile from computing the batch again.
                        object.retry_at = Some(at);
                        break Some(at);
                    }
                    self.last_written = id;
                    let base = object.cached.as_ref().map_or(0, |cached| cached.version);
                    actions.push(HomeAction::Write(id, base, next.clone()));
                    object.call = Call::Write {
                        called_at: now.instant,
                        base,
                        next,
                        results,
                    };
                    break None;
                }
            }
        };
        let timeout_at = object
            .waiting_since()
            .map(|since| since + self.options.request_timeout);
        object.wake_at = earlier(wait_until, timeout_at);
    }
}

/// Answers the first requests of the queue with these results, in order.
fn reply_to_first(
    object: &mut ObjectState,
    results: Vec<ClaimResult>,
    actions: &mut Vec<HomeAction>,
) {
    let answered = object.queue.drain(..results.len());
    for (pending, result) in answered.zip(results) {
        actions.push(HomeAction::Reply(pending.ticket, result));
    }
}

/// Answers the requests that can't have been written; the others wait for a read that resolves them.
fn refuse_unwritten(object: &mut ObjectState, actions: &mut Vec<HomeAction>) {
    object.queue.retain(|pending| {
        let unwritten = pending.uncertain_base.is_none();
        if unwritten {
            actions.push(HomeAction::Reply(pending.ticket, ClaimResult::Unavailable));
        }
        !unwritten
    });
}

fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
