//! The requester's side of the protocol: decides when a request may be sent and which answer its caller gets.

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

/// Longest send window, however late the deadline is, because the retention of claims relies on this bound.
pub const MAX_WINDOW: Duration = Duration::from_secs(60);

/// Time after which an unanswered request is sent again, to the home according to the current membership view.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Share of the time until the deadline that the send window takes, in quarters.
///
/// The remaining time is for a revocation, so that the caller learns by its deadline that its request was not sent.
const WINDOW_QUARTERS: u32 = 3;

/// Time after the start within which a caller may be told that its request was not run.
///
/// A later revocation might find no claim although another call with the key has run, because that call's claim has
/// been settled and has expired. The default retention exceeds this period by more than the largest clock skew.
const REFUSAL_PERIOD: Duration = Duration::from_secs(80);

/// Time after the deadline for which a settlement or revocation is still retried, although the caller has its answer.
const SETTLE_GRACE: Duration = Duration::from_secs(30);

/// Settings of a [`Claimant`].
#[derive(Debug, Clone)]
pub struct ClaimantOptions {
    /// The claim to make; [`Claimant`] derives its send window from the deadline.
    pub spec: ClaimSpec,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// An input of a [`Claimant`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimantEvent {
    /// The request was admitted; make the claim.
    Start,
    /// The home replied with this result.
    HomeReplied(ClaimResult),
    /// The request with this number didn't reach the home and never will.
    Undelivered(u32),
    /// The home's reply to the request with this number was lost.
    HomeReplyLost(u32),
    /// The caller is ready to write the request to the upstream immediately.
    Sending,
    /// The upstream proved that it didn't run the request, which may be sent again under the same claim.
    ResendAllowed,
    /// The request was not sent, or the upstream proved that it didn't run it; the caller gets this code.
    NotRun(Code),
    /// The upstream ran the request and returned this result, which is JSON text.
    Replied(CompactString),
    /// The reply of the upstream was lost.
    ReplyLost,
    /// The time of the last [`ClaimantAction::WakeAt`] has come.
    Wake,
}

/// An output of a [`Claimant`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimantAction {
    /// Send a request to the home of the claim's ledger; events about this request repeat its number.
    CallHome(u32, Request),
    /// The claim is granted: select a connection, and report [`ClaimantEvent::Sending`] just before writing to it.
    Prepare,
    /// Write the request to the upstream now.
    Send,
    /// Give the caller its answer; the claim may not be settled yet.
    Finish(Settlement),
    /// Send [`ClaimantEvent::Wake`] at this time or later.
    WakeAt(Instant),
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    New,
    /// Waits for the result of the claim request.
    Claiming,
    /// Holds the claim and has not sent the request.
    Granted,
    /// Has sent the request, and waits for the upstream; `answered` is set once the caller has its answer.
    Sent {
        answered: bool,
    },
    /// Waits until a revocation is recorded; `answered` is set once the caller has its answer.
    Revoking {
        code: Code,
        answered: bool,
    },
    /// The caller has its answer; waits until the outcome is recorded.
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
    time_limit: Duration,
    /// Number of the last request to the home.
    call_number: u32,
    called_at: Option<Instant>,
    /// Whether the home may have received the last request and its reply is still outstanding.
    unanswered: bool,
    /// Whether the home may have written the claim although its result has not arrived.
    maybe_written: bool,
    /// Whether a reply said that another attempt holds the key.
    key_held: bool,
}

impl Claimant {
    /// Creates the state machine; it does nothing before [`ClaimantEvent::Start`].
    pub fn new(options: ClaimantOptions) -> Claimant {
        Claimant {
            options,
            state: State::New,
            started: None,
            time_limit: Duration::ZERO,
            call_number: 0,
            called_at: None,
            unanswered: false,
            maybe_written: false,
            key_held: false,
        }
    }

    /// Returns whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: ClaimantEvent, now: ClockReading) -> Vec<ClaimantAction> {
        let mut actions = Vec::new();
        // After a pause of the process, timeouts take effect before the event is processed.
        self.check_time(now, &mut actions);
        match event {
            ClaimantEvent::Start => self.start(now, &mut actions),
            ClaimantEvent::HomeReplied(result) => self.receive_result(result, now, &mut actions),
            ClaimantEvent::Undelivered(call) if call == self.call_number => {
                self.unanswered = false;
            }
            ClaimantEvent::HomeReplyLost(call) if call == self.call_number => {
                self.maybe_written = true;
            }
            ClaimantEvent::Undelivered(_) | ClaimantEvent::HomeReplyLost(_) => {}
            ClaimantEvent::Sending => self.send(now, &mut actions),
            ClaimantEvent::ResendAllowed => {
                if self.state == (State::Sent { answered: false }) {
                    self.state = State::Granted;
                }
            }
            ClaimantEvent::NotRun(code) => self.record_not_run(code, now, &mut actions),
            ClaimantEvent::Replied(result) => self.record_reply(result, now, &mut actions),
            ClaimantEvent::ReplyLost => self.record_lost_reply(&mut actions),
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
        self.time_limit = self.options.deadline.saturating_duration_since(now.instant);
        let window = self.time_limit * WINDOW_QUARTERS / 4;
        self.options.spec.window_ms = window.min(MAX_WINDOW).as_millis() as u64;
        self.started = Some(now);
        self.state = State::Claiming;
        if self.is_window_open(now) {
            self.call_home(now, actions);
        } else {
            self.finish(Settlement::without_result(Code::DeadlineTooShort), actions);
            self.state = State::Done;
        }
    }

    /// Returns the time since the start, by whichever clock of this VM has advanced further.
    ///
    /// The monotonic clock may stop while a VM is suspended, and the wall clock may be set back.
    fn elapsed(&self, now: ClockReading) -> Duration {
        let Some(started) = self.started else {
            return Duration::ZERO;
        };
        let wall_ms = now.wall_ms.saturating_sub(started.wall_ms);
        now.instant
            .saturating_duration_since(started.instant)
            .max(Duration::from_millis(wall_ms))
    }

    /// Returns whether the send window is still open.
    fn is_window_open(&self, now: ClockReading) -> bool {
        self.elapsed(now) < Duration::from_millis(self.options.spec.window_ms)
    }

    /// Sends the home the request that belongs to the current state.
    fn call_home(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        let operation = match &self.state {
            State::Claiming => Operation::Claim,
            State::Revoking { code, .. } => Operation::Revoke(*code),
            State::Settling(outcome) => Operation::Settle(outcome.clone()),
            State::New | State::Granted | State::Sent { .. } | State::Done => return,
        };
        self.call_number += 1;
        self.called_at = Some(now.instant);
        self.unanswered = true;
        let request = Request {
            spec: self.options.spec.clone(),
            operation,
            sent_ms: now.wall_ms,
        };
        actions.push(ClaimantAction::CallHome(self.call_number, request));
    }

    fn receive_result(
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
                // Not written yet, or a late result of the claim request; the timer sends the settlement again.
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
        let answer = match result {
            ClaimResult::Granted { .. } => {
                self.state = State::Granted;
                actions.push(ClaimantAction::Prepare);
                return;
            }
            ClaimResult::Unknown => {
                self.maybe_written = true;
                return;
            }
            ClaimResult::Unavailable | ClaimResult::Full | ClaimResult::Missing
                if self.maybe_written =>
            {
                self.revoke(Code::ClaimRevoked, false, now, actions);
                return;
            }
            ClaimResult::Unavailable | ClaimResult::Missing => {
                Settlement::without_result(Code::ClaimUnavailable)
            }
            ClaimResult::Full => Settlement::without_result(Code::Overloaded),
            ClaimResult::InProgress => {
                // The other attempt may settle soon, so the claim request is sent again after an interval.
                self.key_held = true;
                return;
            }
            ClaimResult::KeyReused => Settlement::without_result(Code::KeyReused),
            ClaimResult::Settled(outcome) => outcome,
        };
        self.finish(answer, actions);
        self.state = State::Done;
    }

    fn receive_revocation(
        &mut self,
        result: ClaimResult,
        answered: bool,
        actions: &mut Vec<ClaimantAction>,
    ) {
        let answer = match result {
            ClaimResult::Settled(outcome) => outcome,
            // Only an attempt that doesn't hold the claim gets this result, and it has not sent its request.
            ClaimResult::InProgress => Settlement::without_result(Code::DuplicateUnknown),
            ClaimResult::KeyReused => Settlement::without_result(Code::KeyReused),
            // Nothing was written, or a late result of the claim request; the timer sends the revocation again.
            ClaimResult::Granted { .. }
            | ClaimResult::Full
            | ClaimResult::Missing
            | ClaimResult::Unavailable
            | ClaimResult::Unknown => return,
        };
        if !answered {
            self.finish(answer, actions);
        }
        self.state = State::Done;
    }

    fn send(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        if self.state != State::Granted {
            return;
        }
        if self.is_window_open(now) {
            self.state = State::Sent { answered: false };
            actions.push(ClaimantAction::Send);
        } else {
            self.revoke(Code::ClaimRevoked, false, now, actions);
        }
    }

    fn record_not_run(&mut self, code: Code, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        debug_assert_eq!(code.outcome(), Some(Outcome::Refused));
        match self.state {
            State::Granted => self.revoke(code, false, now, actions),
            State::Sent { answered } => self.revoke(code, answered, now, actions),
            _ => {}
        }
    }

    fn record_reply(
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
        self.call_home(now, actions);
    }

    /// Answers the caller and leaves the claim open; a later reply of the upstream still settles it.
    fn record_lost_reply(&mut self, actions: &mut Vec<ClaimantAction>) {
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
        self.call_home(now, actions);
    }

    fn finish(&mut self, answer: Settlement, actions: &mut Vec<ClaimantAction>) {
        actions.push(ClaimantAction::Finish(answer));
    }

    /// Applies the timeouts that have passed.
    fn check_time(&mut self, now: ClockReading, actions: &mut Vec<ClaimantAction>) {
        let window_closed = !self.is_window_open(now);
        let elapsed = self.elapsed(now);
        match self.state {
            // This code doesn't state whether the request was run, so no revocation is needed.
            State::Claiming if window_closed && self.key_held => {
                self.finish(Settlement::without_result(Code::DuplicateUnknown), actions);
                self.state = State::Done;
            }
            State::Claiming if window_closed && !self.maybe_written && !self.unanswered => {
                self.finish(Settlement::without_result(Code::ClaimUnavailable), actions);
                self.state = State::Done;
            }
            State::Claiming | State::Granted if window_closed => {
                self.revoke(Code::ClaimRevoked, false, now, actions);
            }
            State::Sent { .. } if elapsed >= self.time_limit => self.record_lost_reply(actions),
            _ => {}
        }
        if let State::Revoking {
            code,
            answered: false,
        } = self.state
            && elapsed >= self.time_limit.min(REFUSAL_PERIOD)
        {
            // The revocation is still retried, so that later calls don't find the request in progress.
            self.finish(Settlement::without_result(Code::ClaimUnsettled), actions);
            self.state = State::Revoking {
                code,
                answered: true,
            };
        }
        let timed_out = elapsed >= self.time_limit + SETTLE_GRACE;
        if timed_out && matches!(self.state, State::Revoking { .. } | State::Settling(_)) {
            self.state = State::Done;
        }
        if self.needs_reply()
            && self
                .called_at
                .is_some_and(|at| now.instant >= at + RESEND_INTERVAL)
        {
            self.maybe_written |= self.unanswered;
            self.call_home(now, actions);
        }
    }

    /// Returns whether the current state waits for a reply of the home.
    fn needs_reply(&self) -> bool {
        matches!(
            self.state,
            State::Claiming | State::Revoking { .. } | State::Settling(_)
        )
    }

    fn next_wake(&self) -> Option<Instant> {
        let window = Duration::from_millis(self.options.spec.window_ms);
        let window_end = self.started.map(|started| started.instant + window);
        let resend_at = self.called_at.map(|at| at + RESEND_INTERVAL);
        match self.state {
            State::New | State::Done | State::Sent { answered: true } => None,
            State::Granted => window_end,
            State::Sent { answered: false } => Some(self.options.deadline),
            State::Claiming => resend_at.min(window_end),
            State::Revoking {
                answered: false, ..
            } => resend_at.min(Some(self.options.deadline)),
            State::Revoking { answered: true, .. } | State::Settling(_) => resend_at,
        }
    }
}
