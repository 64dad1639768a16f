//! Specification of the claim protocol: one key, two requesters, two homes, and the platform.
//!
//! The ledger and its transition functions are those of the production code. The second requester stands for a caller's
//! retry or for another call with the same key, which the protocol does not distinguish. Time is counted in ticks, and
//! the clock of the second home is one tick ahead.
//!
//! Failures may occur at any time and any number of times, and most need no state of their own. A paused process or a
//! crashed requester takes no step while others do. An outage is modelled as refused calls to the platform, and the
//! lost reply of a home as a requester that abandons its attempt before the reply arrives. A home that crashes loses
//! its request. An update whose reply is lost takes effect at any later time or never.
//!
//! The specification has no version numbers: a ledger value is either the current one or an old one. A home reads the
//! ledger for each request, and may be paused or overtaken by the other home between its read and its write.

use std::cell::RefCell;

use base::Code;
use once::ClaimKey;
use once::ClaimResult;
use once::ClaimSpec;
use once::Ledger;
use once::Operation;
use once::Request;
use once::Retention;
use once::Settlement;
use once::Transition;

use crate::model::Exploration;
use crate::model::Fault;
use crate::model::explore;
use crate::model_claim_state::Answer;
use crate::model_claim_state::CachedLedger;
use crate::model_claim_state::EMPTY;
use crate::model_claim_state::HomeState;
use crate::model_claim_state::LedgerIndex;
use crate::model_claim_state::LedgerPool;
use crate::model_claim_state::PendingRequest;
use crate::model_claim_state::Phase;
use crate::model_claim_state::RequestKind;
use crate::model_claim_state::Requester;
use crate::model_claim_state::State;
use crate::model_claim_state::Step;
use crate::model_claim_state::UncertainWrite;
use crate::model_claim_state::find_violation;

/// Length of the send window: a request may be sent only in the tick in which its requester started.
const WINDOW_TICKS: u8 = 1;

/// Time after the start of a requester before which its caller may be told that the request was not run.
const DEADLINE_TICKS: u8 = 1;

/// Last tick in which a caller's request with the key is accepted.
const LAST_CALL_TICK: u8 = 1;

/// Longest pause of a requester between its check of the send window and its write to the upstream.
const SEND_PAUSE_TICKS: u8 = 1;

/// Last tick; by then a claim from the first tick has expired at the home whose clock is ahead.
const LAST_TICK: u8 = 2;

/// The shortest retention that covers the last call, the send pause and the clock difference between the homes.
const RETENTION: Retention = Retention {
    settled_ms: 2,
    open_ms: 2,
};

/// Searches the claim protocol.
pub(crate) fn explore_claims(fault: Option<Fault>) -> Exploration {
    let requester = Requester {
        phase: Phase::New,
        started: 0,
        ran: false,
        answer: None,
    };
    let start = State {
        tick: 0,
        ledger: EMPTY,
        delayed: None,
        homes: [HomeState::default(); 2],
        requesters: [requester; 2],
    };
    let rules = Rules::new(fault);
    explore(
        "claim protocol",
        start,
        |state| rules.list_steps(state),
        |state| find_violation(state, &rules.pool.borrow()),
    )
}

/// The steps of the protocol under a seeded fault.
struct Rules {
    fault: Option<Fault>,
    specs: [ClaimSpec; 2],
    pool: RefCell<LedgerPool>,
}

impl Rules {
    fn new(fault: Option<Fault>) -> Rules {
        let key = ClaimKey::new("s", "k").expect("the key is short");
        let spec = |attempt| ClaimSpec {
            key: key.clone(),
            attempt,
            digest: 0,
            window_ms: u64::from(WINDOW_TICKS),
        };
        let mut pool = LedgerPool::default();
        pool.insert(Ledger::default());
        Rules {
            fault,
            specs: [spec(0), spec(1)],
            pool: RefCell::new(pool),
        }
    }

    fn list_steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Vec::new();
        let ended = |requester: &Requester| match requester.phase {
            Phase::New => state.tick > LAST_CALL_TICK,
            phase => matches!(phase, Phase::Settling | Phase::Done),
        };
        if state.requesters.iter().all(ended) {
            // No further step can change what was run or answered.
            return successors;
        }
        for requester in 0..2 {
            self.add_requester_steps(state, requester, &mut successors);
        }
        for home in 0..2 {
            self.add_home_steps(state, home, &mut successors);
        }
        self.add_platform_steps(state, &mut successors);
        successors
    }

    fn add_requester_steps(&self, state: &State, c: usize, successors: &mut Vec<(Step, State)>) {
        let requester = &state.requesters[c];
        let mut add_step = |step: Step, change: &dyn Fn(&mut Requester)| {
            let mut next = *state;
            change(&mut next.requesters[c]);
            successors.push((step, next));
        };
        let window_open = state.tick < requester.started + WINDOW_TICKS;
        match requester.phase {
            // The requesters are interchangeable, so only orders in which the first one starts first are searched.
            Phase::New
                if state.tick <= LAST_CALL_TICK
                    && (c == 0 || state.requesters[0].phase != Phase::New) =>
            {
                add_step(Step::Start(c), &|requester| {
                    requester.started = state.tick;
                    requester.phase = Phase::Claiming {
                        asked: false,
                        uncertain: false,
                    };
                })
            }
            Phase::Claiming { asked, .. } => {
                if self.fault == Some(Fault::SendBeforeClaim) && window_open {
                    add_step(Step::CheckWindow(c), &|requester| {
                        requester.phase = Phase::Sending
                    });
                }
                if asked {
                    add_step(Step::Abandon(c), &|requester| self.abandon(requester));
                }
            }
            Phase::Granted => {
                if window_open {
                    add_step(Step::CheckWindow(c), &|requester| {
                        requester.phase = Phase::Sending
                    });
                }
                add_step(Step::Abandon(c), &|requester| self.abandon(requester));
            }
            Phase::Sending => add_step(Step::Run(c), &|requester| {
                requester.ran = true;
                requester.phase = Phase::Ran;
            }),
            Phase::Ran => {
                add_step(Step::Reply(c), &|requester| {
                    requester.answer = Some(Answer::Ran(c as u8));
                    requester.phase = Phase::Settling;
                });
                add_step(Step::Abandon(c), &|requester| {
                    answer_caller(requester, Answer::Unknown)
                });
            }
            Phase::Revoking => add_step(Step::Abandon(c), &|requester| {
                answer_caller(requester, Answer::Unknown)
            }),
            Phase::New | Phase::Settling | Phase::Done => {}
        }
        self.add_request_steps(state, c, successors);
    }

    fn abandon(&self, requester: &mut Requester) {
        match self.fault {
            Some(Fault::NoRevocation) => answer_caller(requester, Answer::NotRun),
            _ => requester.phase = Phase::Revoking,
        }
    }

    /// A requester may ask either home repeatedly, since its membership view may change and replies may be lost.
    fn add_request_steps(&self, state: &State, c: usize, successors: &mut Vec<(Step, State)>) {
        let kind = match state.requesters[c].phase {
            Phase::Claiming { .. } => RequestKind::Claim,
            Phase::Revoking => RequestKind::Revoke,
            Phase::Settling => RequestKind::Settle,
            _ => return,
        };
        for home in 0..2 {
            if state.homes[home].pending.is_some() {
                continue;
            }
            let mut next = *state;
            if let Phase::Claiming { asked, uncertain } = &mut next.requesters[c].phase {
                *uncertain |= *asked;
                *asked = true;
            }
            next.homes[home].pending = Some(PendingRequest {
                requester: c,
                kind,
                uncertain: UncertainWrite::None,
            });
            successors.push((Step::Ask(c, home, kind), next));
        }
    }

    fn add_home_steps(&self, state: &State, h: usize, successors: &mut Vec<(Step, State)>) {
        let home = &state.homes[h];
        let Some(pending) = &home.pending else {
            return;
        };
        let mut next = *state;
        next.homes[h] = HomeState::default();
        successors.push((Step::CrashHome(h), next));

        let mut next = *state;
        let result = match pending.uncertain {
            UncertainWrite::None => ClaimResult::Unavailable,
            UncertainWrite::CurrentBase | UncertainWrite::OldBase => ClaimResult::Unknown,
        };
        finish_request(&mut next, h, result);
        successors.push((Step::RefuseCall(h), next));

        match &home.cached {
            CachedLedger::None => {
                let mut next = *state;
                self.read_ledger(&mut next.homes[h], state.ledger);
                successors.push((Step::Read(h), next));
            }
            CachedLedger::Current => {
                self.add_apply_steps(state, h, pending, state.ledger, successors)
            }
            CachedLedger::Stale(ledger) => {
                self.add_apply_steps(state, h, pending, *ledger, successors)
            }
        }
    }

    fn add_apply_steps(
        &self,
        state: &State,
        h: usize,
        pending: &PendingRequest,
        ledger: LedgerIndex,
        successors: &mut Vec<(Step, State)>,
    ) {
        let clock_ms = u64::from(state.tick) + h as u64;
        let (value, transition) = self.apply(ledger, pending, clock_ms);
        let mut next = *state;
        if !transition.changed {
            finish_request(&mut next, h, transition.result);
            successors.push((Step::Apply(h), next));
            return;
        }
        let current = state.homes[h].cached == CachedLedger::Current;
        if current || self.ignores_version() {
            finish_request(&mut next, h, transition.result);
            self.write(&mut next, value);
        } else {
            next.homes[h].cached = CachedLedger::None;
        }
        successors.push((Step::Apply(h), next));
        // A lost reply to an update that can't take effect has the same result as a conflict.
        if state.delayed.is_none() && (current || self.ignores_version()) {
            let mut next = *state;
            next.delayed = Some(value);
            next.homes[h].cached = CachedLedger::None;
            if let Some(pending) = &mut next.homes[h].pending {
                pending.uncertain = UncertainWrite::CurrentBase;
            }
            successors.push((Step::LoseReply(h), next));
        }
    }

    fn add_platform_steps(&self, state: &State, successors: &mut Vec<(Step, State)>) {
        let mut add_step = |step: Step, change: &dyn Fn(&mut State)| {
            let mut next = *state;
            change(&mut next);
            successors.push((step, next));
        };
        if let Some(value) = state.delayed {
            add_step(Step::ApplyDelayed, &|next| {
                next.delayed = None;
                self.write(next, value);
            });
        }
        let must_send = state.requesters.iter().any(|requester| {
            requester.phase == Phase::Sending && state.tick >= requester.started + SEND_PAUSE_TICKS
        });
        if state.tick < LAST_TICK && !must_send {
            add_step(Step::Tick, &|next| next.tick += 1);
        }
    }

    fn ignores_version(&self) -> bool {
        self.fault == Some(Fault::IgnoreVersion)
    }

    /// Applies an update, which makes values that homes have read stale and conditional updates in flight fail.
    fn write(&self, state: &mut State, value: LedgerIndex) {
        let old = std::mem::replace(&mut state.ledger, value);
        if !self.ignores_version() {
            state.delayed = None;
        }
        for home in &mut state.homes {
            if home.cached == CachedLedger::Current {
                home.cached = CachedLedger::Stale(old);
            }
            if let Some(pending) = &mut home.pending
                && pending.uncertain == UncertainWrite::CurrentBase
            {
                pending.uncertain = UncertainWrite::OldBase;
            }
        }
    }

    /// Expires claims and applies the request of a home with the functions of the production code.
    fn apply(
        &self,
        ledger: LedgerIndex,
        pending: &PendingRequest,
        clock_ms: u64,
    ) -> (LedgerIndex, Transition) {
        let mut pool = self.pool.borrow_mut();
        let key = (ledger, pending.requester, pending.kind, clock_ms);
        if let Some(cached) = pool.transitions.get(&key) {
            return cached.clone();
        }
        let mut value = pool.ledgers[ledger].clone();
        value.expire(clock_ms, &self.choose_retention());
        let transition = value.apply(&self.build_request(pending), clock_ms);
        let result = (pool.insert(value), transition);
        pool.transitions.insert(key, result.clone());
        result
    }

    /// Reads the current ledger, and resolves an uncertain write by the same rule as the production code.
    fn read_ledger(&self, home: &mut HomeState, ledger: LedgerIndex) {
        home.cached = CachedLedger::Current;
        let Some(pending) = home
            .pending
            .as_mut()
            .filter(|pending| pending.uncertain == UncertainWrite::OldBase)
        else {
            return;
        };
        if !self.pool.borrow().holds_claim(ledger, pending.requester) {
            pending.uncertain = UncertainWrite::None;
        }
    }

    fn choose_retention(&self) -> Retention {
        match self.fault {
            Some(Fault::ExpireEarly) => Retention {
                settled_ms: 0,
                open_ms: 0,
            },
            _ => RETENTION,
        }
    }

    fn build_request(&self, pending: &PendingRequest) -> Request {
        let operation = match pending.kind {
            RequestKind::Claim => Operation::Claim,
            RequestKind::Revoke => Operation::Revoke(Code::ClaimRevoked),
            RequestKind::Settle => Operation::Settle(Settlement {
                code: Code::Answered,
                result: Some(pending.requester.to_string().into()),
            }),
        };
        Request {
            spec: self.specs[pending.requester].clone(),
            operation,
            sent_ms: 0,
        }
    }
}

/// Completes the request of a home; the requester processes the result if it still waits for it.
fn finish_request(state: &mut State, h: usize, result: ClaimResult) {
    let Some(pending) = std::mem::take(&mut state.homes[h]).pending else {
        return;
    };
    let requester = &mut state.requesters[pending.requester];
    let past_deadline = state.tick >= requester.started + DEADLINE_TICKS;
    match (requester.phase, pending.kind, result) {
        (Phase::Claiming { .. }, RequestKind::Claim, ClaimResult::Granted { .. }) => {
            requester.phase = Phase::Granted;
        }
        (Phase::Claiming { .. }, RequestKind::Claim, ClaimResult::Unknown) => {
            requester.phase = Phase::Claiming {
                asked: true,
                uncertain: true,
            };
        }
        (Phase::Claiming { uncertain, .. }, RequestKind::Claim, ClaimResult::Unavailable) => {
            match uncertain {
                true => requester.phase = Phase::Revoking,
                false => answer_caller(requester, Answer::Unavailable),
            }
        }
        (Phase::Claiming { .. }, RequestKind::Claim, result)
        | (Phase::Revoking, RequestKind::Revoke, result) => match result {
            // A delayed revocation may find no claim although the request was run, since the claim may have expired.
            ClaimResult::Settled(settlement) => match read_outcome(&settlement) {
                Answer::NotRun if past_deadline => answer_caller(requester, Answer::Unknown),
                answer => answer_caller(requester, answer),
            },
            ClaimResult::InProgress => answer_caller(requester, Answer::Unknown),
            _ => {}
        },
        (Phase::Settling, RequestKind::Settle, ClaimResult::Settled(_)) => {
            requester.phase = Phase::Done
        }
        _ => {}
    }
}

fn read_outcome(settlement: &Settlement) -> Answer {
    match settlement
        .result
        .as_deref()
        .and_then(|text| text.parse().ok())
    {
        Some(requester) => Answer::Ran(requester),
        None => Answer::NotRun,
    }
}

fn answer_caller(requester: &mut Requester, answer: Answer) {
    requester.answer = Some(answer);
    requester.phase = Phase::Done;
    requester.started = 0;
}
