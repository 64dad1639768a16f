//! Decides once for each attempt whether its request is sent.

use std::cell::Cell;

/// Whether an attempt may still send its request, or has sent it.
///
/// The attempt and the request that it belongs to share the gate, and the first of them to use it decides. A request that
/// has withdrawn all its attempts at their gates can therefore say that it has not run, however far the attempts have
/// come with their connections. See docs/incidents/refused-and-run.md.
#[derive(Debug, Default)]
pub struct SendGate {
    state: Cell<State>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Waiting,
    Sent,
    Withdrawn,
}

impl SendGate {
    /// Returns whether the attempt may send the request now; from then on the request may have run.
    pub fn open(&self) -> bool {
        let is_open = self.state.get() != State::Withdrawn;
        if is_open {
            self.state.set(State::Sent);
        }
        is_open
    }

    /// Withdraws the attempt if it has sent nothing; returns whether it never will.
    pub fn withdraw(&self) -> bool {
        if self.state.get() == State::Waiting {
            self.state.set(State::Withdrawn);
        }
        self.state.get() == State::Withdrawn
    }

    /// Returns whether the attempt has sent the request.
    pub fn has_sent(&self) -> bool {
        self.state.get() == State::Sent
    }
}
