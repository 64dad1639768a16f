//! The requester's side: decides when a request may be sent and what its caller may be told.

use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;

use crate::ClaimResult;
use crate::ClaimSpec;
use crate::ClockReading;
use crate::Operation;
use crate::Request;
use crate::Settlement;
use base::Code;
use base::Outcome;

/// Longest send window; a longer deadline doesn't widen it, because expiry is measured against it.
pub const MAX_WINDOW: Duration = Duration::from_secs(60);

/// Time after which an unanswered request to the home is repeated, to the home of the view at that moment.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the time until the deadline that the send window takes, in quarters.
///
/// The rest is kept for a revocation, so that a caller whose request was not sent in time is told so by its deadline.
const WINDOW_QUARTERS: u32 = 3;

/// Longest time after the start in which a caller may be told that its request was not run.
///
/// A revocation that is delayed until the claim of another call with the key has run, settled and expired would find
/// no claim. The default retention exceeds this by more than the largest skew.
const MAX_REFUSAL: Duration = Duration::from_secs(80);

/// Time after the deadline for which a settlement or revocation is still tried; the caller has its answer by then.
const SETTLE_PATIENCE: Duration = Duration::from_secs(30);

/// What a [`Claimant`] is created with.
#[derive(Debug, Clone)]
pub struct ClaimantOptions {
    /// The claim to make; its window is set by the deadline.
    pub spec: ClaimSpec,
    /// Moment at which the caller stops waiting.
    pub deadline: Instant,
}

/// An input of a [`Claimant`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimantEvent {
    /// The request was admitted.
    Start,
    /// The home answered.
    HomeReplied(ClaimResult),
    /// The request with this number didn't reach the home, which is certain that it won't.
    Undelivered(u32),
    /// The reply of the home to the request with this number was lost.
    HomeReplyLost(u32),
    /// The runtime is about to write the request to the upstream, with nothing between this and the write.
    Sending,
    /// The attempt that was sent is proved not to have run, and another one may be sent under the same claim.
    ResendAllowed,
    /// Nothing was sent or the upstream proved that it didn't run the request; the code is what the caller gets.
    NotRun(Code),
    /// The upstream ran the request; its result as JSON text.
    Replied(CompactString),
    /// The reply of the upstream was lost.
    ReplyLost,
    /// A requested moment has come.
    Wake,
}

/// An output of a [`Claimant`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimantAction {
    /// Send a request to the home of the claim's ledger; its events repeat the number.
    CallHome(u32, Request),
    /// The claim is granted: pick a connection, and report [`ClaimantEvent::Sending`] before writing to it.
    Prepare,
    /// Write the request to the upstream now.
    Send,
    /// Give the caller its answer; settling the claim may still go on.
    Finish(Settlement),
    /// Call back with [`ClaimantEvent::Wake`] at this moment or later.
    WakeAt(Instant),
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    New,
    /// Waits for the claim.
    Claiming,
    /// Holds the claim and has not sent.
    Granted,
    /// Has sent, and waits for the upstream; the flag says whether the caller has its answer.
    Sent {
        answered: bool,
    },
    /// Waits for a revocation with this code; the flag says whether the caller has its answer.
    Revoking {
        code: Code,
        answered: bool,
    },
    /// The caller has its answer; the outcome is being recorded.
    Settling(Settlement),
    Done,
}

/// The state machine of one request that runs at most once.
#[derive(Debug)]
pub struct Claimant {
    options: ClaimantOptions,
    state: State,
    started: Option<ClockReading>,
    /// Time from the start to the deadline.
    limit: Duration,
    /// Number of the last request to the home.
    asked: u32,
    asked_at: Option<Instant>,
    /// Whether the last request to the home may have reached it without an answer so far.
    outstanding: bool,
    /// Whether an earlier request may have been acted on without an answer.
    unsure: bool,
    /// Whether the last result said that another attempt holds the key.
    held: bool,
}

impl Claimant {
    /// Creates the state machine; it does nothing before [`ClaimantEvent::Start`].
    pub fn new(options: ClaimantOptions) -> Claimant {
        Claimant {
            options,
            state: State::New,
            started: None,
            limit: Duration::ZERO,
            asked: 0,
            asked_at: None,
            outstanding: false,
            unsure: false,
            held: false,
        }
    }

    /// Returns whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Advances the state machine by one event.
    pub fn handle(&mut self, event: ClaimantEvent, now: ClockReading) -> Vec<ClaimantAction> {
        let mut actions = Vec::new();
        // A process that was paused must not act on a result before it has noticed the time.
        self.check_time(now, &mut actions);
        match event {
            ClaimantEvent::Start => self.start(now, &mut actions),
            ClaimantEvent::HomeReplied(result) => self.receive(result, now, &mut actions),
            ClaimantEvent::Undelivered(ask) if ask == self.asked => {
                self.outstanding = false;
            }
            ClaimantEvent::HomeReplyLost(ask) if ask == self.asked => {
                self.unsure = true;
            }
            ClaimantEvent::Undelivered(_) | ClaimantEvent::HomeReplyLost(_) => {}
            ClaimantEvent::Sending => self.send(now, &mut actions),
            ClaimantEvent::ResendAllowed => {
                if self.state == (State::Sent { answered: false }) {
                    self.state = State::Granted;
                }
            }
            ClaimantEvent::NotRun(code) => self.not_run(code, now, &mut actions),
            ClaimantEvent::Replied(result) => self.replied(result, now, &mut actions),
            ClaimantEvent::ReplyLost => self.reply_lost(&mut actions),
            ClaimantEvent::Wake => {}
        }
        self.check_time(now, &mut actions);
        actions.extend(self.next_wake().map(ClaimantAction::WakeAt));
        actions
    }

    fn start(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        if self.state != State::New {
            return;
        }
        self.limit = self.options.deadline.saturating_duration_since(now.instant);
        let window = self.limit * WINDOW_QUARTERS / 4;
        self.options.spec.window_ms = window.min(MAX_WINDOW).as_millis() as u64;
        self.started = Some(now);
        self.state = State::Claiming;
        if self.window_open(now) {
            self.ask(now, actions);
        } else {
            self.finish(Settlement::without_result(Code::DeadlineTooShort), actions);
            self.state = State::Done;
        }
    }

    /// Returns the time since the start, by the clock of this VM that shows more.
    ///
    /// The monotonic clock may stand still while a VM is suspended, and the wall clock may be set back.
    fn elapsed(&self, now: ClockReading) -> Duration {
        let Some(started) = self.started else {
            return Duration::ZERO;
        };
        let wall_ms = now.wall_ms.saturating_sub(started.wall_ms);
        now.instant
            .saturating_duration_since(started.instant)
            .max(Duration::from_millis(wall_ms))
    }

    /// Says whether the request may still be sent.
    fn window_open(&self, now: ClockReading) -> bool {
        self.elapsed(now) < Duration::from_millis(self.options.spec.window_ms)
    }

    /// Sends the request to the home that the state calls for.
    fn ask(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        let operation = match &self.state {
            State::Claiming => Operation::Claim,
            State::Revoking { code, .. } => Operation::Revoke(*code),
            State::Settling(outcome) => Operation::Settle(outcome.clone()),
            State::New | State::Granted | State::Sent { .. } | State::Done => return,
        };
        self.asked += 1;
        self.asked_at = Some(now.instant);
        self.outstanding = true;
        let request = Request {
            spec: self.options.spec.clone(),
            operation,
            sent_ms: now.wall_ms,
        };
        actions.push(ClaimantAction::CallHome(self.asked, request));
    }

    fn receive(
        &mut self,
        result: ClaimResult,
        now: ClockReading,
        actions: &mut Vec<ClaimantAction>,
    ) {
        match &self.state {
            State::Claiming => self.receive_claim(result, now, actions),
            State::Revoking { answered, .. } => {
                let answered = *answered;
                self.receive_revocation(result, answered, actions);
            }
            State::Settling(_) => match result {
                // The settlement is not written yet, or this is the late result of a claim request. The timer asks again.
                ClaimResult::Unavailable
                | ClaimResult::Unknown
                | ClaimResult::Missing
                | ClaimResult::Granted { .. } => {}
                _ => self.state = State::Done,
            },
            State::New | State::Granted | State::Sent { .. } | State::Done => {}
        }
    }

    fn receive_claim(
        &mut self,
        result: ClaimResult,
        now: ClockReading,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let end = match result {
            ClaimResult::Granted { .. } => {
                self.state = State::Granted;
                actions.push(ClaimantAction::Prepare);
                return;
            }
            ClaimResult::Unknown => {
                self.unsure = true;
                return;
            }
            ClaimResult::Unavailable | ClaimResult::Full | ClaimResult::Missing if self.unsure => {
                self.revoke(Code::ClaimRevoked, false, now, actions);
                return;
            }
            ClaimResult::Unavailable | ClaimResult::Missing => {
                Settlement::without_result(Code::ClaimUnavailable)
            }
            ClaimResult::Full => Settlement::without_result(Code::Overloaded),
            ClaimResult::InProgress => {
                // The other attempt may settle soon; until then the timer asks again.
                self.held = true;
                return;
            }
            ClaimResult::KeyReused => Settlement::without_result(Code::KeyReused),
            ClaimResult::Settled(outcome) => outcome,
        };
        self.finish(end, actions);
        self.state = State::Done;
    }

    fn receive_revocation(
        &mut self,
        result: ClaimResult,
        answered: bool,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let end = match result {
            ClaimResult::Settled(outcome) => outcome,
            // Only an attempt that doesn't hold the claim is told so, and it has sent nothing.
            ClaimResult::InProgress => Settlement::without_result(Code::DuplicateUnknown),
            ClaimResult::KeyReused => Settlement::without_result(Code::KeyReused),
            // Nothing was written; or the result of an earlier claim request came late. The timer asks again.
            ClaimResult::Granted { .. }
            | ClaimResult::Full
            | ClaimResult::Missing
            | ClaimResult::Unavailable
            | ClaimResult::Unknown => return,
        };
        if !answered {
            self.finish(end, actions);
        }
        self.state = State::Done;
    }

    fn send(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        if self.state != State::Granted {
            return;
        }
        if self.window_open(now) {
            self.state = State::Sent { answered: false };
            actions.push(ClaimantAction::Send);
        } else {
            self.revoke(Code::ClaimRevoked, false, now, actions);
        }
    }

    fn not_run(&mut self, code: Code, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        debug_assert_eq!(code.outcome(), Some(Outcome::Refused));
        match self.state {
            State::Granted => self.revoke(code, false, now, actions),
            State::Sent { answered } => self.revoke(code, answered, now, actions),
            _ => {}
        }
    }

    fn replied(
        &mut self,
        result: CompactString,
        now: ClockReading,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let State::Sent { answered } = self.state else {
            return;
        };
        let outcome = Settlement {
            code: Code::Answered,
            result: Some(result),
        };
        if !answered {
            self.finish(outcome.clone(), actions);
        }
        self.state = State::Settling(outcome);
        self.ask(now, actions);
    }

    /// Leaves the claim open, so that a retry is told that the outcome was lost; a later reply still settles it.
    fn reply_lost(&mut self, actions: &mut Vec<ClaimantAction>) {
        if self.state == (State::Sent { answered: false }) {
            self.finish(Settlement::without_result(Code::ReplyLost), actions);
            self.state = State::Sent { answered: true };
        }
    }

    fn revoke(
        &mut self,
        code: Code,
        answered: bool,
        now: ClockReading,
        actions: &mut Vec<ClaimantAction>,
    ) {
        self.state = State::Revoking { code, answered };
        self.ask(now, actions);
    }

    fn finish(&mut self, end: Settlement, actions: &mut Vec<ClaimantAction>) {
        actions.push(ClaimantAction::Finish(end));
    }

    /// Acts on the passing of time.
    fn check_time(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        let closed = !self.window_open(now);
        let elapsed = self.elapsed(now);
        match self.state {
            // The code promises nothing, so that no revocation is needed.
            State::Claiming if closed && self.held => {
                self.finish(Settlement::without_result(Code::DuplicateUnknown), actions);
                self.state = State::Done;
            }
            State::Claiming if closed && !self.unsure && !self.outstanding => {
                self.finish(Settlement::without_result(Code::ClaimUnavailable), actions);
                self.state = State::Done;
            }
            State::Claiming | State::Granted if closed => {
                self.revoke(Code::ClaimRevoked, false, now, actions);
            }
            State::Sent { .. } if elapsed >= self.limit => self.reply_lost(actions),
            _ => {}
        }
        if let State::Revoking {
            code,
            answered: false,
        } = self.state
            && elapsed >= self.limit.min(MAX_REFUSAL)
        {
            // The revocation goes on, so that a retry is not told that the request is in progress.
            self.finish(Settlement::without_result(Code::ClaimUnsettled), actions);
            self.state = State::Revoking {
                code,
                answered: true,
            };
        }
        let abandoned = elapsed >= self.limit + SETTLE_PATIENCE;
        if abandoned && matches!(self.state, State::Revoking { .. } | State::Settling(_)) {
            self.state = State::Done;
        }
        if self.asks()
            && self
                .asked_at
                .is_some_and(|at| now.instant >= at + ASK_INTERVAL)
        {
            self.unsure |= self.outstanding;
            self.ask(now, actions);
        }
    }

    /// Returns whether the state waits for an answer of the home.
    fn asks(&self) -> bool {
        matches!(
            self.state,
            State::Claiming | State::Revoking { .. } | State::Settling(_)
        )
    }

    fn next_wake(&self) -> Option<Instant> {
        let window = Duration::from_millis(self.options.spec.window_ms);
        let window_end = self.started.map(|started| started.instant + window);
        let ask_again = self.asked_at.map(|at| at + ASK_INTERVAL);
        match self.state {
            State::New | State::Done | State::Sent { answered: true } => None,
            State::Granted => window_end,
            State::Sent { answered: false } => Some(self.options.deadline),
            State::Claiming => ask_again.min(window_end),
            State::Revoking {
                answered: false, ..
            } => ask_again.min(Some(self.options.deadline)),
            State::Revoking { answered: true, .. } | State::Settling(_) => ask_again,
        }
    }
}
