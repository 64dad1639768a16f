//! Whether this node has heard what happened before it started or while it was paused.

use std::time::Duration;
use std::time::Instant;

use crate::NodeState;
use crate::View;
use crate::params::PAUSE_LIMIT;

/// Time after which a node that no peer answers goes on with what it knows, so that an isolated zone serves.
const PATIENCE: Duration = Duration::from_secs(2);

/// How far a node has caught up with its peers.
#[derive(Debug)]
pub(crate) enum Sync {
    /// It waits for a peer's answer since this moment.
    Since(Instant),
    /// A peer has told it every drain.
    Done,
}

impl View {
    /// Tells whether the node knows what its peers know of drains, so that it may send new work to upstreams.
    ///
    /// It does not after its start and after a pause, until a peer has answered a heartbeat or none did for 2 s.
    pub fn is_synced(&self, now: Instant) -> bool {
        if now.saturating_duration_since(self.last) > PAUSE_LIMIT {
            return false;
        }
        match self.sync {
            Sync::Done => true,
            Sync::Since(start) => now >= start + PATIENCE || self.is_alone(),
        }
    }

    fn is_alone(&self) -> bool {
        let others = self.nodes().filter(|node| node.record.id != self.me.id);
        self.listed
            && others
                .filter(|node| node.state() == NodeState::Live)
                .count()
                == 0
    }

    pub(crate) fn lose_sync(&mut self, now: Instant) {
        self.sync = Sync::Since(now);
    }

    pub(crate) fn is_catching_up(&self, now: Instant) -> bool {
        matches!(self.sync, Sync::Since(start) if now < start + PATIENCE)
    }

    /// Ends catching up with the answer of a peer, unless it answers a heartbeat from before a pause.
    pub(crate) fn finish_sync(&mut self, incarnation: u64) {
        if incarnation == self.me.incarnation {
            self.sync = Sync::Done;
        }
    }
}
