//! The home of ledger objects: batches requests into one conditional update at a time for each object.
//!
//! Which node is the home of a ledger follows from views that may differ, so two homes may act on one ledger. Each
//! update is conditional on the version that it was computed from; of two, one fails, reads the new value and applies
//! its requests again. A home that was paused fails in the same way. A lost reply is resolved by reading: the requests
//! are applied again to the value read, where one that took effect changes nothing and gets the same result.

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
use crate::object::Bounds;
use crate::object::Call;
use crate::object::ObjectState;
use crate::object::Pending;
use crate::object::Step;
use crate::object::refusal;

/// Settings of a [`Home`].
#[derive(Debug, Clone, Copy)]
pub struct HomeOptions {
    /// Time in which the home's write budget grows by one write, over all its ledgers.
    pub write_interval: Duration,
    /// Writes that the budget holds when the home was idle.
    pub write_burst: u32,
    /// Most requests in one update.
    pub max_batch: usize,
    /// Longest time for which a settlement waits for a claim to share an update with; no caller waits for it.
    pub settle_delay: Duration,
    /// Longest time for which a request waits before the home answers that the platform is of no use.
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

/// First delay of a call after a failed one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Longest delay of a call after failed ones.
const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// Result of a conditional update, as `store` reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The update took effect and gave the object this version.
    Applied(u64),
    /// The object has this version, not the expected one; the update had no effect.
    Conflict(u64),
    /// The update was not sent.
    Refused,
    /// The update was sent and its reply was lost; it may take effect even later.
    Unknown,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadResult {
    /// The object has this version and value; an object that doesn't exist has version 0 and an empty ledger.
    Found(u64, Ledger),
    /// There is no reply.
    Failed,
}

/// An input of a [`Home`].
#[derive(Debug, Clone)]
pub enum HomeEvent {
    /// A requester asks; the ticket is repeated in the reply.
    Request(u64, Request),
    /// The write of a ledger ended.
    Written(LedgerId, WriteResult),
    /// The read of a ledger ended.
    Read(LedgerId, ReadResult),
    /// A requested moment has come.
    Wake,
}

/// An output of a [`Home`].
///
/// Each read and write has to be followed by one event with its result. A call that takes too long is ended with
/// [`ReadResult::Failed`] or [`WriteResult::Unknown`]; until then the home makes no other call for that ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeAction {
    /// Read a ledger object.
    Read(LedgerId),
    /// Write a ledger object on condition that it has this version; 0 creates it.
    Write(LedgerId, u64, Ledger),
    /// Answer the requester with this ticket.
    Reply(u64, ClaimResult),
    /// Call back with [`HomeEvent::Wake`] at this moment or later.
    WakeAt(Instant),
}

/// The state machine of a node that is the home of some ledgers.
#[derive(Debug)]
pub struct Home {
    options: HomeOptions,
    bucket: TokenBucket,
    objects: BTreeMap<LedgerId, ObjectState>,
    /// The ledger that wrote last; the search for the next writer starts after it, so that all get their turn.
    last: LedgerId,
}

impl Home {
    /// Creates a home that knows no ledger; it reads one when the first request comes.
    pub fn new(options: HomeOptions) -> Home {
        Home {
            options,
            bucket: TokenBucket::new(options.write_interval, options.write_burst),
            objects: BTreeMap::new(),
            last: 0,
        }
    }

    /// Changes the time in which the write budget grows by one write, because the number of homes has changed.
    pub fn set_write_interval(&mut self, interval: Duration) {
        self.bucket.set_interval(interval);
    }

    /// Advances the state machine by one event.
    pub fn handle(&mut self, event: HomeEvent, now: ClockReading) -> Vec<HomeAction> {
        let mut actions = Vec::new();
        let ledger = match event {
            HomeEvent::Request(ticket, request) => {
                let ledger = request.spec.key.ledger();
                self.enqueue(ticket, request, now);
                Some(ledger)
            }
            HomeEvent::Written(ledger, result) => {
                self.written(ledger, result, now, &mut actions);
                Some(ledger)
            }
            HomeEvent::Read(ledger, result) => {
                self.read(ledger, result, now, &mut actions);
                Some(ledger)
            }
            HomeEvent::Wake => None,
        };
        self.give_up(now.instant, &mut actions);
        for id in self.due_ledgers(ledger, now.instant) {
            self.advance_ledger(id, now, &mut actions);
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
            since: now.instant,
            doubt: None,
        });
    }

    fn written(
        &mut self,
        ledger: LedgerId,
        result: WriteResult,
        now: ClockReading,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(object) = self.objects.get_mut(&ledger) else {
            return;
        };
        let (asked_at, base, next, results) = match std::mem::take(&mut object.call) {
            Call::Write {
                asked_at,
                base,
                next,
                results,
            } => (asked_at, base, next, results),
            other => {
                object.call = other;
                return;
            }
        };
        match result {
            WriteResult::Applied(version) => {
                object.recover();
                reply_first(object, results, actions);
                object.learn(version, next, asked_at);
            }
            WriteResult::Conflict(version) => {
                object.known = None;
                object.floor = object.floor.max(version);
            }
            WriteResult::Refused => {
                object.back_off(FIRST_BACKOFF, LONGEST_BACKOFF, now.instant);
                refuse_clean(object, actions);
            }
            WriteResult::Unknown => {
                object.known = None;
                for pending in object.queue.iter_mut().take(results.len()) {
                    pending.doubt = Some(base);
                }
            }
        }
    }

    fn read(
        &mut self,
        ledger: LedgerId,
        result: ReadResult,
        now: ClockReading,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(object) = self.objects.get_mut(&ledger) else {
            return;
        };
        let Call::Read { asked_at } = object.call else {
            return;
        };
        object.call = Call::None;
        match result {
            ReadResult::Found(version, value) if version >= object.floor => {
                object.recover();
                object.learn(version, value, asked_at);
            }
            ReadResult::Found(..) => object.back_off(FIRST_BACKOFF, LONGEST_BACKOFF, now.instant),
            ReadResult::Failed => {
                object.back_off(FIRST_BACKOFF, LONGEST_BACKOFF, now.instant);
                refuse_clean(object, actions);
            }
        }
    }

    /// Answers the requests that have waited too long; those in a write that is in progress wait for its result.
    fn give_up(&mut self, now: Instant, actions: &mut Vec<HomeAction>) {
        let request_timeout = self.options.request_timeout;
        for object in self.objects.values_mut() {
            // Requests are in the order of their arrival, so the first one tells whether any has waited too long.
            if object
                .idle_since()
                .is_none_or(|since| now < since + request_timeout)
            {
                continue;
            }
            let busy = object.busy();
            let mut at = 0;
            object.queue.retain(|pending| {
                at += 1;
                if at <= busy || now < pending.since + request_timeout {
                    return true;
                }
                actions.push(HomeAction::Reply(pending.ticket, refusal(pending)));
                false
            });
        }
    }

    /// Lists the ledgers to advance: the one that the event is about, and those that asked to be woken by now.
    fn due_ledgers(&self, about: Option<LedgerId>, now: Instant) -> Vec<LedgerId> {
        self.objects
            .range(self.last.saturating_add(1)..)
            .chain(self.objects.range(..=self.last))
            .filter(|(id, object)| {
                Some(**id) == about || object.wake_at.is_some_and(|at| at <= now)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Advances one ledger until it rests.
    fn advance_ledger(&mut self, id: LedgerId, now: ClockReading, actions: &mut Vec<HomeAction>) {
        let bounds = Bounds {
            max_batch: self.options.max_batch.max(1),
            settle_delay: self.options.settle_delay,
            retention: self.options.retention,
        };
        let Some(object) = self.objects.get_mut(&id) else {
            return;
        };
        object.wake_at = None;
        let rest = loop {
            match object.plan(&bounds, now) {
                Step::Rest => break None,
                Step::RestUntil(at) => break Some(at),
                Step::Read => {
                    let asked_at = now.instant;
                    object.call = Call::Read { asked_at };
                    actions.push(HomeAction::Read(id));
                    break None;
                }
                Step::Reply(results) => reply_first(object, results, actions),
                Step::Write { next, results } => {
                    if let Err(at) = self.bucket.take(now.instant) {
                        // Without this every arriving request would compute the batch anew.
                        object.retry_at = Some(at);
                        break Some(at);
                    }
                    self.last = id;
                    let base = object.known.as_ref().map_or(0, |known| known.version);
                    actions.push(HomeAction::Write(id, base, next.clone()));
                    object.call = Call::Write {
                        asked_at: now.instant,
                        base,
                        next,
                        results,
                    };
                    break None;
                }
            }
        };
        let give_up_at = object
            .idle_since()
            .map(|since| since + self.options.request_timeout);
        object.wake_at = earlier(rest, give_up_at);
    }
}

/// Answers the first requests of the queue.
fn reply_first(object: &mut ObjectState, results: Vec<ClaimResult>, actions: &mut Vec<HomeAction>) {
    let answered = object.queue.drain(..results.len());
    for (pending, result) in answered.zip(results) {
        actions.push(HomeAction::Reply(pending.ticket, result));
    }
}

/// Answers at once the requests of which nothing can have been written; the others wait for a read that resolves them.
fn refuse_clean(object: &mut ObjectState, actions: &mut Vec<HomeAction>) {
    object.queue.retain(|pending| {
        let clean = pending.doubt.is_none();
        if clean {
            actions.push(HomeAction::Reply(pending.ticket, ClaimResult::Unavailable));
        }
        !clean
    });
}

fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
