//! What one node believes of one request.

use std::time::Duration;
use std::time::Instant;

use base::NodeId;

use crate::CallerHash;
use crate::ServerHash;

/// Servers that have to be lost one after the other before a request is blocked.
pub(crate) const BLOCK_AFTER: usize = 3;

/// Time for which a suspicion lasts without further evidence.
pub(crate) const SUSPECT_TIME: Duration = Duration::from_secs(30);

/// Time for which a request is blocked; it doubles each time that the block is confirmed.
const BLOCK_TIME: Duration = Duration::from_secs(60);

/// Most doublings of [`BLOCK_TIME`].
const MAX_DOUBLINGS: u8 = 4;

/// Time for which a node that tries a blocked request again keeps all others from it.
pub(crate) const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Time for which a cleared request is remembered, so that older facts about it don't come back.
pub(crate) const CLEARED_TIME: Duration = Duration::from_secs(60);

/// Time after the end of a block in which the request is still tried by one node only.
const PROBATION_TIME: Duration = Duration::from_secs(1_800);

/// How far a suspicion has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The request was answered by a server.
    Cleared,
    /// Some connections ended under it; it is sent to one server at a time.
    Suspected,
    /// One node tries whether the request still crashes servers.
    Trial,
    /// It is not sent until the block lapses.
    Blocked,
}

/// Why a request is blocked, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockInfo {
    /// Hashes of the servers that were lost one after the other.
    pub servers: Vec<ServerHash>,
    /// Time since this node has known of it.
    pub age: Duration,
    /// Time until one node tries it again.
    pub left: Duration,
    /// Node that blocked it.
    pub origin: NodeId,
}

/// A suspected request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) caller: CallerHash,
    /// Grows with each change that is not just further evidence; of two facts the one with the higher generation holds.
    pub(crate) generation: u32,
    pub(crate) state: State,
    /// Times that a block was confirmed by a try.
    pub(crate) level: u8,
    /// Servers lost one after the other, at most [`BLOCK_AFTER`], in ascending order.
    pub(crate) servers: Vec<ServerHash>,
    /// End of the state.
    pub(crate) until: Instant,
    /// Node from whose attempt the state comes.
    pub(crate) origin: NodeId,
    /// Whether others need to know of it.
    pub(crate) shared: bool,
    pub(crate) known_since: Instant,
}

impl Entry {
    pub(crate) fn new(caller: CallerHash, origin: NodeId, now: Instant) -> Entry {
        Entry {
            caller,
            generation: 1,
            state: State::Suspected,
            level: 0,
            servers: Vec::new(),
            until: now + SUSPECT_TIME,
            origin,
            shared: false,
            known_since: now,
        }
    }

    pub(crate) fn add_server(&mut self, server: ServerHash) -> bool {
        let Err(at) = self.servers.binary_search(&server) else {
            return false;
        };
        self.servers.insert(at, server);
        // The smallest ones are kept, so that the order of merges doesn't matter.
        self.servers.truncate(BLOCK_AFTER);
        at < BLOCK_AFTER
    }

    /// Returns whether the request is blocked until the end of the state. A suspicion with enough lost servers is a block, so
    /// that nodes which merge the same facts in another order believe the same.
    pub(crate) fn is_block(&self) -> bool {
        match self.state {
            State::Blocked => true,
            State::Suspected => self.servers.len() >= BLOCK_AFTER,
            State::Cleared | State::Trial => false,
        }
    }

    /// Starts the time of a block; each confirmation doubles it.
    pub(crate) fn start_block(&mut self, now: Instant) {
        self.until = now + block_time(self.level);
        self.shared = true;
    }

    pub(crate) fn set_state(
        &mut self,
        state: State,
        time: Duration,
        origin: &NodeId,
        now: Instant,
    ) {
        self.generation = self.generation.saturating_add(1);
        self.state = state;
        self.until = now + time;
        self.origin = origin.clone();
    }

    /// Returns whether the entry is of no use any more.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        let kept = match self.is_block() || self.state == State::Trial {
            true => PROBATION_TIME,
            false => Duration::ZERO,
        };
        now >= self.until + kept
    }

    pub(crate) fn info(&self, now: Instant) -> BlockInfo {
        BlockInfo {
            servers: self.servers.clone(),
            age: now.saturating_duration_since(self.known_since),
            left: self.until.saturating_duration_since(now),
            origin: self.origin.clone(),
        }
    }
}

fn block_time(level: u8) -> Duration {
    BLOCK_TIME * (1 << level.min(MAX_DOUBLINGS))
}
