//! States, steps and properties of the claim protocol's specification.

use std::collections::HashMap;
use std::fmt;

use once::Ledger;
use once::Transition;

/// Index of a ledger value in a [`LedgerPool`], so that states are small and quick to compare.
pub(crate) type LedgerIndex = usize;

/// The answer that a requester gave its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Answer {
    /// The key was run by this requester, whose result is returned.
    Ran(u8),
    /// The key was not run and never will be.
    NotRun,
    /// This call was refused before anything was written; other calls with the key may have run.
    Unavailable,
    /// The request may have run.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    New,
    /// Requests the claim. `asked` is set once a home was asked, `uncertain` once an earlier call may have written it.
    Claiming {
        asked: bool,
        uncertain: bool,
    },
    Granted,
    /// Has checked its send window, and writes to the upstream next.
    Sending,
    /// The upstream has run the request.
    Ran,
    Revoking,
    Settling,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Requester {
    pub(crate) phase: Phase,
    pub(crate) started: u8,
    pub(crate) ran: bool,
    pub(crate) answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RequestKind {
    Claim,
    Revoke,
    Settle,
}

/// Whether an earlier update that included the pending request may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum UncertainWrite {
    /// There was no such update, or it is known to have had no effect.
    None,
    /// The update is conditional on the current version.
    CurrentBase,
    /// The update was conditional on an older version, and the home has not read a newer value since.
    OldBase,
}

/// The request that a home processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub(crate) requester: usize,
    pub(crate) kind: RequestKind,
    pub(crate) uncertain: UncertainWrite,
}

/// The ledger value that a home has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) enum CachedLedger {
    #[default]
    None,
    Current,
    /// The value was replaced after it was read.
    Stale(LedgerIndex),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct HomeState {
    pub(crate) cached: CachedLedger,
    pub(crate) pending: Option<PendingRequest>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) tick: u8,
    pub(crate) ledger: LedgerIndex,
    /// An update that was sent and may still take effect, although its reply was lost.
    pub(crate) delayed: Option<LedgerIndex>,
    pub(crate) homes: [HomeState; 2],
    pub(crate) requesters: [Requester; 2],
}

/// A step, printed in traces.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Start(usize),
    Ask(usize, usize, RequestKind),
    Abandon(usize),
    CheckWindow(usize),
    Run(usize),
    Reply(usize),
    Read(usize),
    Apply(usize),
    LoseReply(usize),
    RefuseCall(usize),
    CrashHome(usize),
    ApplyDelayed,
    Tick,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Start(c) => write!(f, "requester {c} starts"),
            Step::Ask(c, h, RequestKind::Claim) => {
                write!(f, "requester {c} requests the claim from home {h}")
            }
            Step::Ask(c, h, RequestKind::Revoke) => {
                write!(f, "requester {c} asks home {h} to revoke the claim")
            }
            Step::Ask(c, h, RequestKind::Settle) => {
                write!(f, "requester {c} asks home {h} to settle the claim")
            }
            Step::Abandon(c) => write!(f, "requester {c} abandons its attempt"),
            Step::CheckWindow(c) => write!(f, "requester {c} finds its send window open"),
            Step::Run(c) => write!(f, "requester {c} sends, and the upstream runs the request"),
            Step::Reply(c) => write!(f, "requester {c} gets the upstream's reply"),
            Step::Read(h) => write!(f, "home {h} reads the ledger"),
            Step::Apply(h) => write!(
                f,
                "home {h} expires claims, applies its request, and writes the ledger if it changed"
            ),
            Step::LoseReply(h) => write!(f, "home {h} writes the ledger and the reply is lost"),
            Step::RefuseCall(h) => write!(
                f,
                "the platform refuses the call of home {h}, which fails its request"
            ),
            Step::CrashHome(h) => write!(f, "home {h} crashes and restarts"),
            Step::ApplyDelayed => write!(f, "the platform applies the write whose reply was lost"),
            Step::Tick => write!(f, "the clocks advance by one tick"),
        }
    }
}

/// Index of the empty ledger.
pub(crate) const EMPTY: LedgerIndex = 0;

/// The ledger values that were reached, and a cache of the transitions between them.
#[derive(Default)]
pub(crate) struct LedgerPool {
    pub(crate) ledgers: Vec<Ledger>,
    pub(crate) transitions:
        HashMap<(LedgerIndex, usize, RequestKind, u64), (LedgerIndex, Transition)>,
}

impl LedgerPool {
    /// Returns whether the key is claimed by a requester.
    pub(crate) fn holds_claim(&self, ledger: LedgerIndex, requester: usize) -> bool {
        let mut claims = self.ledgers[ledger].claims().iter();
        claims.any(|claim| claim.attempt == requester as u64)
    }

    pub(crate) fn insert(&mut self, ledger: Ledger) -> LedgerIndex {
        match self.ledgers.iter().position(|known| *known == ledger) {
            Some(index) => index,
            None => {
                self.ledgers.push(ledger);
                self.ledgers.len() - 1
            }
        }
    }
}

/// Returns a description of the first property that a state violates.
pub(crate) fn find_violation(state: &State, pool: &LedgerPool) -> Option<&'static str> {
    let runs = state
        .requesters
        .iter()
        .filter(|requester| requester.ran)
        .count();
    let mut first_answer = None;
    for (c, requester) in state.requesters.iter().enumerate() {
        match requester.answer {
            Some(Answer::NotRun) if runs > 0 => {
                return Some("a key that was reported as not run was run");
            }
            Some(Answer::Unavailable) if requester.ran => return Some("a refused request was run"),
            Some(Answer::Unavailable) if pool.holds_claim(state.ledger, c) => {
                return Some("a call was refused as unavailable and left a claim");
            }
            Some(answer @ (Answer::NotRun | Answer::Ran(_))) => {
                let first = *first_answer.get_or_insert(answer);
                if first != answer {
                    return Some("two calls with the key got different outcomes");
                }
            }
            _ => {}
        }
    }
    (runs > 1).then_some("a key ran twice")
}
