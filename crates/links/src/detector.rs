//! Decides whether this node has lost its links to all servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Time after a probe in which no further one is made, so that single failures cause few.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// Servers that refuse new connections, without any that accepts one in between, after which the links are probed.
const MAX_REFUSING: usize = 3;

/// Time after a probe in which no further one is made because of refused connections: a probe that succeeds shows that
/// these servers are down.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a reply shows that there are links.
const REPLY_WINDOW: Duration = Duration::from_millis(250);

/// Time after the return of the links over which requests are sent from here again, more and more of them.
const RETURN_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Linked,
    /// A probe shows whether the failures of attempts are those of single servers.
    Probing,
    Cut {
        since: Instant,
    },
    Returning {
        since: Instant,
    },
}

/// What a probe has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// Nothing.
    None,
    /// No server can be reached any more.
    Lost,
    /// Servers can be reached again, after this time.
    Returned(Duration),
}

/// Decides whether this node has lost its links to all servers.
///
/// Attempts that fail or stay silent only raise a suspicion, unless any server has replied since they were sent, and so do
/// new connections that several servers refuse. A probe of a few servers decides.
#[derive(Debug)]
pub struct Detector {
    state: State,
    last_reply: Option<Instant>,
    last_probe: Option<Instant>,
    /// Servers that have refused a connection since any other one has accepted one.
    refusing: Vec<SocketAddr>,
}

impl Default for Detector {
    fn default() -> Detector {
        Detector::new()
    }
}

impl Detector {
    /// Creates a detector that takes the links to be there.
    pub fn new() -> Detector {
        Detector {
            state: State::Linked,
            last_reply: None,
            last_probe: None,
            refusing: Vec::new(),
        }
    }

    /// Records that a server has replied.
    pub fn record_reply(&mut self, now: Instant) {
        self.last_reply = Some(now);
    }

    /// Returns whether any server has replied since a time.
    pub fn has_reply_since(&self, time: Instant) -> bool {
        self.last_reply.is_some_and(|reply| reply >= time)
    }

    /// Records that an attempt sent at `sent` has failed or stays silent; returns whether servers are to be probed now.
    ///
    /// A refused connection fails at once, so that replies shortly before it count too.
    pub fn suspect(&mut self, sent: Instant, now: Instant) -> bool {
        let sent = now
            .checked_sub(REPLY_WINDOW)
            .map_or(sent, |recent| sent.min(recent));
        if self.is_pausing(PROBE_PAUSE, now) || self.has_reply_since(sent) {
            return false;
        }
        self.start_probe()
    }

    /// Records that a server has accepted a connection.
    pub fn record_opened(&mut self) {
        self.refusing.clear();
    }

    /// Records that a server has refused a connection; returns whether servers are to be probed now.
    ///
    /// Replies count for nothing here: they may come on connections that outlive the links.
    pub fn record_refused(&mut self, server: SocketAddr, now: Instant) -> bool {
        if self.refusing.len() < MAX_REFUSING && !self.refusing.contains(&server) {
            self.refusing.push(server);
        }
        if self.refusing.len() < MAX_REFUSING || self.is_pausing(REFUSAL_PAUSE, now) {
            return false;
        }
        self.start_probe()
    }

    fn is_pausing(&self, pause: Duration, now: Instant) -> bool {
        self.last_probe
            .is_some_and(|probe| now.saturating_duration_since(probe) < pause)
    }

    fn start_probe(&mut self) -> bool {
        let may_probe = matches!(self.state, State::Linked | State::Returning { .. });
        if may_probe {
            self.state = State::Probing;
        }
        may_probe
    }

    /// Records whether a probe has reached any server.
    pub fn record_probe(&mut self, reached: bool, now: Instant) -> LinkChange {
        self.last_probe = Some(now);
        self.refusing.clear();
        match (self.state, reached) {
            (State::Cut { since }, true) => {
                self.state = State::Returning { since: now };
                LinkChange::Returned(now.saturating_duration_since(since))
            }
            (State::Cut { .. }, false) => LinkChange::None,
            (State::Linked | State::Probing | State::Returning { .. }, true) => {
                self.state = State::Linked;
                LinkChange::None
            }
            (State::Linked | State::Probing | State::Returning { .. }, false) => {
                self.state = State::Cut { since: now };
                LinkChange::Lost
            }
        }
    }

    /// Returns whether no server can be reached.
    pub fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut { .. })
    }

    /// Returns the share of requests that are to be sent from here: none while cut, and more and more after the return, so
    /// that servers and connections are tried with little at first.
    pub fn own_share(&self, now: Instant) -> f64 {
        match self.state {
            State::Linked | State::Probing => 1.0,
            State::Cut { .. } => 0.0,
            State::Returning { since } => {
                let time = now.saturating_duration_since(since);
                (time.as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
            }
        }
    }
}
