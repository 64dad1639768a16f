//! The states and steps of the claim protocol's specification, and the properties of a state.

use std::collections::HashMap;
use std::fmt;

use once::Ledger;
use once::Transition;

/// Numbers a value of the ledger in a [`Pool`], so that states are small and quick to compare.
pub(crate) type LedgerIndex = usize;

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Answer {
    /// The result of the run by this requester.
    Ran(u8),
    /// The key was not run and won't be.
    NotRun,
    /// This call was refused before anything was written; it says nothing about other calls with the key.
    Unavailable,
    /// The request may have run.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    New,
    /// Asks for the claim. `asked` says whether a home has been asked, `unsure` whether more than once.
    Claiming {
        asked: bool,
        unsure: bool,
    },
    Granted,
    /// Has checked its window, and writes to the upstream next.
    Sending,
    /// The upstream has run the request.
    Ran,
    Revoking,
    Settling,
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Caller {
    pub(crate) phase: Phase,
    pub(crate) started: u8,
    pub(crate) ran: bool,
    pub(crate) told: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    Claim,
    Revoke,
    Settle,
}

/// Whether an earlier update with the request of a home may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Doubt {
    /// There was no such update, or it had no effect.
    None,
    /// The update is conditional on the current version.
    Open,
    /// The update was conditional on an earlier version, and the home has not read a later value since.
    Past,
}

/// The request that a home works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Work {
    pub(crate) caller: usize,
    pub(crate) kind: Kind,
    pub(crate) doubt: Doubt,
}

/// What a home knows of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) enum Known {
    #[default]
    Nothing,
    Current,
    /// A value that has been replaced since it was read.
    Stale(LedgerIndex),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct HomeState {
    pub(crate) known: Known,
    pub(crate) work: Option<Work>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) tick: u8,
    pub(crate) ledger: LedgerIndex,
    /// An update whose reply was lost and that may still take effect.
    pub(crate) delayed: Option<LedgerIndex>,
    pub(crate) homes: [HomeState; 2],
    pub(crate) callers: [Caller; 2],
}

/// A step, printed in traces.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Start(usize),
    Ask(usize, usize, Kind),
    GiveUp(usize),
    CheckWindow(usize),
    Run(usize),
    Reply(usize),
    Read(usize),
    Act(usize),
    LoseReply(usize),
    Refuse(usize),
    HomeCrash(usize),
    Land,
    Tick,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Start(c) => write!(f, "requester {c} starts"),
            Step::Ask(c, h, Kind::Claim) => write!(f, "requester {c} asks home {h} for the claim"),
            Step::Ask(c, h, Kind::Revoke) => write!(f, "requester {c} asks home {h} to revoke"),
            Step::Ask(c, h, Kind::Settle) => write!(f, "requester {c} asks home {h} to settle"),
            Step::GiveUp(c) => write!(f, "requester {c} gives up"),
            Step::CheckWindow(c) => write!(f, "requester {c} finds its window open"),
            Step::Run(c) => write!(f, "requester {c} sends, and the upstream runs the request"),
            Step::Reply(c) => write!(f, "requester {c} gets the upstream's reply"),
            Step::Read(h) => write!(f, "home {h} reads the ledger"),
            Step::Act(h) => write!(
                f,
                "home {h} expires claims, applies its request, and writes if that changed anything"
            ),
            Step::LoseReply(h) => write!(f, "home {h} writes and gets no reply"),
            Step::Refuse(h) => write!(
                f,
                "the platform refuses the call of home {h}, which gives up"
            ),
            Step::HomeCrash(h) => write!(f, "home {h} crashes and restarts"),
            Step::Land => write!(f, "the platform carries out the write without a reply"),
            Step::Tick => write!(f, "time passes"),
        }
    }
}

/// Index of the empty ledger.
pub(crate) const EMPTY: LedgerIndex = 0;

/// The values of the ledger that have come up, and the transitions between them, each computed once.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) ledgers: Vec<Ledger>,
    pub(crate) transitions: HashMap<(LedgerIndex, usize, Kind, u64), (LedgerIndex, Transition)>,
}

impl Pool {
    /// Says whether the key is claimed by a requester.
    pub(crate) fn holds_claim(&self, ledger: LedgerIndex, caller: usize) -> bool {
        let mut claims = self.ledgers[ledger].claims().iter();
        claims.any(|claim| claim.attempt == caller as u64)
    }

    pub(crate) fn insert(&mut self, ledger: Ledger) -> LedgerIndex {
        match self.ledgers.iter().position(|known| *known == ledger) {
            Some(at) => at,
            None => {
                self.ledgers.push(ledger);
                self.ledgers.len() - 1
            }
        }
    }
}

/// Names the property that a state has lost.
pub(crate) fn find_broken(state: &State, pool: &Pool) -> Option<&'static str> {
    let runs = state.callers.iter().filter(|caller| caller.ran).count();
    let mut outcome = None;
    for (c, caller) in state.callers.iter().enumerate() {
        match caller.told {
            Some(Answer::NotRun) if runs > 0 => {
                return Some("a key that was reported as not run has run");
            }
            Some(Answer::Unavailable) if caller.ran => return Some("a refused request has run"),
            Some(Answer::Unavailable) if pool.holds_claim(state.ledger, c) => {
                return Some("a call was refused as not written and has left a claim");
            }
            Some(answer @ (Answer::NotRun | Answer::Ran(_))) => {
                let first = *outcome.get_or_insert(answer);
                if first != answer {
                    return Some("a retry got another outcome than the first");
                }
            }
            _ => {}
        }
    }
    (runs > 1).then_some("a key has run twice")
}
