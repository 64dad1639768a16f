//! Specification of the claim protocol: one key, two requesters, two homes, and the platform.
//!
//! The ledger and its transition functions are those of the running code. The second requester is a caller's retry, or
//! another call with the same key; both are the same to the protocol. Time is counted in ticks, and the clock of the
//! second home is one tick ahead.
//!
//! Failures may occur at any moment and any number of times, and most need no state of their own. A process that is
//! paused, or a requester that has crashed, takes no step while others do. An outage is any call to the platform that
//! is refused. A verdict that is lost is a requester that gives up before it comes. A home that crashes forgets its
//! request. An update whose reply is lost takes effect at any later moment or never.
//!
//! Of the versions only their order matters: a value is the current one or it is not. A home reads the ledger for each
//! request, so the step between its read and its write is where it may be paused or overtaken.

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
use crate::model_claim_state::Caller;
use crate::model_claim_state::Doubt;
use crate::model_claim_state::EMPTY;
use crate::model_claim_state::HomeState;
use crate::model_claim_state::Kind;
use crate::model_claim_state::Known;
use crate::model_claim_state::LedgerIndex;
use crate::model_claim_state::Phase;
use crate::model_claim_state::Pool;
use crate::model_claim_state::State;
use crate::model_claim_state::Step;
use crate::model_claim_state::Work;
use crate::model_claim_state::find_broken;

/// Send window in ticks: a request may be sent in the tick in which its requester started.
const WINDOW: u8 = 1;

/// Deadline in ticks: a caller is told that its request was not run before this has passed, or not at all.
const DEADLINE: u8 = 1;

/// Last tick in which a request with the key is accepted from the caller.
const LAST_CALL: u8 = 1;

/// Ticks for which a requester may be paused between its last check of the window and the write to the upstream.
const SEND_PAUSE: u8 = 1;

/// Last tick; a claim that was written in the first one has then expired at the home whose clock is ahead.
const LAST_TICK: u8 = 2;

/// The shortest retention that covers the last call, the pause and the clock that is ahead.
const RETENTION: Retention = Retention {
    settled_ms: 2,
    open_ms: 2,
};

/// Searches the claim protocol.
pub(crate) fn explore_claims(fault: Option<Fault>) -> Exploration {
    let caller = Caller {
        phase: Phase::New,
        started: 0,
        ran: false,
        told: None,
    };
    let start = State {
        tick: 0,
        ledger: EMPTY,
        delayed: None,
        homes: [HomeState::default(); 2],
        callers: [caller; 2],
    };
    let rules = Rules::new(fault);
    explore(
        "claim protocol",
        start,
        |state| rules.steps(state),
        |state| find_broken(state, &rules.pool.borrow()),
    )
}

/// The steps of the protocol under a seeded fault.
struct Rules {
    fault: Option<Fault>,
    specs: [ClaimSpec; 2],
    pool: RefCell<Pool>,
}

impl Rules {
    fn new(fault: Option<Fault>) -> Rules {
        let key = ClaimKey::new("s", "k").expect("the key is short");
        let spec = |attempt| ClaimSpec {
            key: key.clone(),
            attempt,
            digest: 0,
            window_ms: u64::from(WINDOW),
        };
        let mut pool = Pool::default();
        pool.insert(Ledger::default());
        Rules {
            fault,
            specs: [spec(0), spec(1)],
            pool: RefCell::new(pool),
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut found = Vec::new();
        let ended = |caller: &Caller| match caller.phase {
            Phase::New => state.tick > LAST_CALL,
            phase => matches!(phase, Phase::Settling | Phase::Done),
        };
        if state.callers.iter().all(ended) {
            // No further step can change what has run or what was told.
            return found;
        }
        for caller in 0..2 {
            self.caller_steps(state, caller, &mut found);
        }
        for home in 0..2 {
            self.home_steps(state, home, &mut found);
        }
        self.platform_steps(state, &mut found);
        found
    }

    fn caller_steps(&self, state: &State, c: usize, found: &mut Vec<(Step, State)>) {
        let caller = &state.callers[c];
        let mut take = |step: Step, change: &dyn Fn(&mut Caller)| {
            let mut next = *state;
            change(&mut next.callers[c]);
            found.push((step, next));
        };
        let open = state.tick < caller.started + WINDOW;
        match caller.phase {
            // The requesters are alike, so it is enough to look at the orders in which the first one starts first.
            Phase::New
                if state.tick <= LAST_CALL && (c == 0 || state.callers[0].phase != Phase::New) =>
            {
                take(Step::Start(c), &|caller| {
                    caller.started = state.tick;
                    caller.phase = Phase::Claiming {
                        asked: false,
                        unsure: false,
                    };
                })
            }
            Phase::Claiming { asked, .. } => {
                if self.fault == Some(Fault::SendBeforeClaim) && open {
                    take(Step::CheckWindow(c), &|caller| {
                        caller.phase = Phase::Sending
                    });
                }
                if asked {
                    take(Step::GiveUp(c), &|caller| self.give_up(caller));
                }
            }
            Phase::Granted => {
                if open {
                    take(Step::CheckWindow(c), &|caller| {
                        caller.phase = Phase::Sending
                    });
                }
                take(Step::GiveUp(c), &|caller| self.give_up(caller));
            }
            Phase::Sending => take(Step::Run(c), &|caller| {
                caller.ran = true;
                caller.phase = Phase::Ran;
            }),
            Phase::Ran => {
                take(Step::Reply(c), &|caller| {
                    caller.told = Some(Answer::Ran(c as u8));
                    caller.phase = Phase::Settling;
                });
                take(Step::GiveUp(c), &|caller| tell(caller, Answer::Unknown));
            }
            Phase::Revoking => take(Step::GiveUp(c), &|caller| tell(caller, Answer::Unknown)),
            Phase::New | Phase::Settling | Phase::Done => {}
        }
        self.ask_steps(state, c, found);
    }

    fn give_up(&self, caller: &mut Caller) {
        match self.fault {
            Some(Fault::NoRevocation) => tell(caller, Answer::NotRun),
            _ => caller.phase = Phase::Revoking,
        }
    }

    /// A requester may ask either home, and again, since its view may change and verdicts may be lost.
    fn ask_steps(&self, state: &State, c: usize, found: &mut Vec<(Step, State)>) {
        let kind = match state.callers[c].phase {
            Phase::Claiming { .. } => Kind::Claim,
            Phase::Revoking => Kind::Revoke,
            Phase::Settling => Kind::Settle,
            _ => return,
        };
        for home in 0..2 {
            if state.homes[home].work.is_some() {
                continue;
            }
            let mut next = *state;
            if let Phase::Claiming { asked, unsure } = &mut next.callers[c].phase {
                *unsure |= *asked;
                *asked = true;
            }
            next.homes[home].work = Some(Work {
                caller: c,
                kind,
                doubt: Doubt::None,
            });
            found.push((Step::Ask(c, home, kind), next));
        }
    }

    fn home_steps(&self, state: &State, h: usize, found: &mut Vec<(Step, State)>) {
        let home = &state.homes[h];
        let Some(work) = &home.work else {
            return;
        };
        let mut next = *state;
        next.homes[h] = HomeState::default();
        found.push((Step::HomeCrash(h), next));

        let mut next = *state;
        let verdict = match work.doubt {
            Doubt::None => ClaimResult::Unavailable,
            Doubt::Open | Doubt::Past => ClaimResult::Unknown,
        };
        finish_work(&mut next, h, verdict);
        found.push((Step::Refuse(h), next));

        match &home.known {
            Known::Nothing => {
                let mut next = *state;
                self.learn(&mut next.homes[h], state.ledger);
                found.push((Step::Read(h), next));
            }
            Known::Current => self.act_steps(state, h, work, state.ledger, found),
            Known::Stale(ledger) => self.act_steps(state, h, work, *ledger, found),
        }
    }

    fn act_steps(
        &self,
        state: &State,
        h: usize,
        work: &Work,
        ledger: LedgerIndex,
        found: &mut Vec<(Step, State)>,
    ) {
        let clock_ms = u64::from(state.tick) + h as u64;
        let (value, transition) = self.apply(ledger, work, clock_ms);
        let mut next = *state;
        if !transition.changed {
            finish_work(&mut next, h, transition.result);
            found.push((Step::Act(h), next));
            return;
        }
        let current = state.homes[h].known == Known::Current;
        if current || self.ignores_version() {
            finish_work(&mut next, h, transition.result);
            self.write(&mut next, value);
        } else {
            next.homes[h].known = Known::Nothing;
        }
        found.push((Step::Act(h), next));
        // The lost reply of an update that can't take effect is no different from a conflict.
        if state.delayed.is_none() && (current || self.ignores_version()) {
            let mut next = *state;
            next.delayed = Some(value);
            next.homes[h].known = Known::Nothing;
            if let Some(work) = &mut next.homes[h].work {
                work.doubt = Doubt::Open;
            }
            found.push((Step::LoseReply(h), next));
        }
    }

    fn platform_steps(&self, state: &State, found: &mut Vec<(Step, State)>) {
        let mut take = |step: Step, change: &dyn Fn(&mut State)| {
            let mut next = *state;
            change(&mut next);
            found.push((step, next));
        };
        if let Some(value) = state.delayed {
            take(Step::Land, &|next| {
                next.delayed = None;
                self.write(next, value);
            });
        }
        let held = state.callers.iter().any(|caller| {
            caller.phase == Phase::Sending && state.tick >= caller.started + SEND_PAUSE
        });
        if state.tick < LAST_TICK && !held {
            take(Step::Tick, &|next| next.tick += 1);
        }
    }

    fn ignores_version(&self) -> bool {
        self.fault == Some(Fault::IgnoreVersion)
    }

    /// Carries out an update, which makes everything stale that is conditional on the version before it.
    fn write(&self, state: &mut State, value: LedgerIndex) {
        let old = std::mem::replace(&mut state.ledger, value);
        if !self.ignores_version() {
            state.delayed = None;
        }
        for home in &mut state.homes {
            if home.known == Known::Current {
                home.known = Known::Stale(old);
            }
            if let Some(work) = &mut home.work
                && work.doubt == Doubt::Open
            {
                work.doubt = Doubt::Past;
            }
        }
    }

    /// Expires claims and applies the request of a home, by the functions of the running code.
    fn apply(&self, ledger: LedgerIndex, work: &Work, clock_ms: u64) -> (LedgerIndex, Transition) {
        let mut pool = self.pool.borrow_mut();
        let asked = (ledger, work.caller, work.kind, clock_ms);
        if let Some(known) = pool.transitions.get(&asked) {
            return known.clone();
        }
        let mut value = pool.ledgers[ledger].clone();
        value.expire(clock_ms, &self.retention());
        let transition = value.apply(&self.request(work), clock_ms);
        let found = (pool.insert(value), transition);
        pool.transitions.insert(asked, found.clone());
        found
    }

    /// Takes over the value of the platform, by the same rule for doubts as the running home.
    fn learn(&self, home: &mut HomeState, ledger: LedgerIndex) {
        home.known = Known::Current;
        let Some(work) = home.work.as_mut().filter(|work| work.doubt == Doubt::Past) else {
            return;
        };
        if !self.pool.borrow().holds_claim(ledger, work.caller) {
            work.doubt = Doubt::None;
        }
    }

    fn retention(&self) -> Retention {
        match self.fault {
            Some(Fault::ExpireEarly) => Retention {
                settled_ms: 0,
                open_ms: 0,
            },
            _ => RETENTION,
        }
    }

    fn request(&self, work: &Work) -> Request {
        let operation = match work.kind {
            Kind::Claim => Operation::Claim,
            Kind::Revoke => Operation::Revoke(Code::ClaimRevoked),
            Kind::Settle => Operation::Settle(Settlement {
                code: Code::Answered,
                result: Some(work.caller.to_string().into()),
            }),
        };
        Request {
            spec: self.specs[work.caller].clone(),
            operation,
            sent_ms: 0,
        }
    }
}

/// Ends the work of a home; the requester gets the verdict if it still waits for that.
fn finish_work(state: &mut State, h: usize, verdict: ClaimResult) {
    let Some(work) = std::mem::take(&mut state.homes[h]).work else {
        return;
    };
    let caller = &mut state.callers[work.caller];
    let overdue = state.tick >= caller.started + DEADLINE;
    match (caller.phase, work.kind, verdict) {
        (Phase::Claiming { .. }, Kind::Claim, ClaimResult::Granted { .. }) => {
            caller.phase = Phase::Granted;
        }
        (Phase::Claiming { .. }, Kind::Claim, ClaimResult::Unknown) => {
            caller.phase = Phase::Claiming {
                asked: true,
                unsure: true,
            };
        }
        (Phase::Claiming { unsure, .. }, Kind::Claim, ClaimResult::Unavailable) => match unsure {
            true => caller.phase = Phase::Revoking,
            false => tell(caller, Answer::Unavailable),
        },
        (Phase::Claiming { .. }, Kind::Claim, verdict)
        | (Phase::Revoking, Kind::Revoke, verdict) => match verdict {
            // The claim of a run may have expired before a revocation that was paused found nothing.
            ClaimResult::Settled(end) => match read_outcome(&end) {
                Answer::NotRun if overdue => tell(caller, Answer::Unknown),
                answer => tell(caller, answer),
            },
            ClaimResult::InProgress => tell(caller, Answer::Unknown),
            _ => {}
        },
        (Phase::Settling, Kind::Settle, ClaimResult::Settled(_)) => caller.phase = Phase::Done,
        _ => {}
    }
}

fn read_outcome(end: &Settlement) -> Answer {
    match end.result.as_deref().and_then(|text| text.parse().ok()) {
        Some(by) => Answer::Ran(by),
        None => Answer::NotRun,
    }
}

fn tell(caller: &mut Caller, answer: Answer) {
    caller.told = Some(answer);
    caller.phase = Phase::Done;
    caller.started = 0;
}
