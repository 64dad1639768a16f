//! Catching up with drains that peers learned of before this node started or while it was paused.

use std::time::Duration;
use std::time::Instant;

use crate::NodeState;
use crate::View;
use crate::params::PAUSE_THRESHOLD;

/// A node that no peer answers counts as synced after this time, so that an isolated zone can serve requests.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a node has caught up with its peers.
#[derive(Debug)]
pub(crate) enum SyncState {
    /// It has been waiting for the reply of a peer since this time.
    Waiting(Instant),
    /// A peer has sent it the current drains.
    Done,
}

impl View {
    /// Returns whether the node knows the drains that its peers know, so that it may send new work to upstreams.
    ///
    /// After a start or a pause it returns `false` until a peer has replied to a heartbeat, but for at most 2 s.
    /// A node without a live peer need not wait.
    pub fn is_synced(&self, now: Instant) -> bool {
        if now.saturating_duration_since(self.last_call) > PAUSE_THRESHOLD {
            return false;
        }
        match self.sync {
            SyncState::Done => true,
            SyncState::Waiting(start) => now >= start + SYNC_TIMEOUT || self.has_no_live_peer(),
        }
    }

    fn has_no_live_peer(&self) -> bool {
        let others = self.nodes().filter(|node| node.record.id != self.me.id);
        self.has_list
            && others
                .filter(|node| node.state() == NodeState::Live)
                .count()
                == 0
    }

    pub(crate) fn start_sync(&mut self, now: Instant) {
        self.sync = SyncState::Waiting(now);
    }

    pub(crate) fn is_catching_up(&self, now: Instant) -> bool {
        matches!(self.sync, SyncState::Waiting(start) if now < start + SYNC_TIMEOUT)
    }

    /// Ends catching up on the reply of a peer, unless it belongs to a heartbeat sent before a pause.
    pub(crate) fn finish_sync(&mut self, incarnation: u64) {
        if incarnation == self.me.incarnation {
            self.sync = SyncState::Done;
        }
    }
}
