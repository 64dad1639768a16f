//! The latest time at which the platform had no higher configuration revision.

use std::time::Duration;
use std::time::Instant;

use base::Revision;
use wire::Confirmation;

use crate::View;

/// Time after a pause during which confirmations are ignored.
///
/// The age in a message that waited during the pause is too low. The senders of such messages time out within this
/// time.
const PAUSE_HOLDOFF: Duration = Duration::from_secs(1);

/// The latest confirmation of a revision, by this node or a peer.
#[derive(Debug, Default)]
pub(crate) struct LatestConfirmation {
    latest: Option<(Revision, Instant)>,
    ignore_until: Option<Instant>,
}

impl LatestConfirmation {
    pub(crate) fn ignore_after_pause(&mut self, now: Instant) {
        self.ignore_until = Some(now + PAUSE_HOLDOFF);
    }

    pub(crate) fn to_wire(&self, now: Instant) -> Option<Confirmation> {
        let (revision, at) = self.latest?;
        let age = now.saturating_duration_since(at);
        Some(Confirmation {
            revision,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    pub(crate) fn merge(&mut self, wire: Option<&Confirmation>, now: Instant) {
        let Some(wire) = wire else { return };
        if self.ignore_until.is_some_and(|until| now < until) {
            return;
        }
        let age = Duration::from_millis(wire.age_ms.into());
        if let Some(at) = now.checked_sub(age) {
            self.latest = self.latest.max(Some((wire.revision, at)));
        }
    }
}

impl View {
    /// Records that the platform had no higher revision when it was queried at `at`; heartbeats carry this to peers.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        self.confirmation.latest = self.confirmation.latest.max(Some((revision, at)));
    }

    /// Returns the highest revision that any node has confirmed, with the latest time of its confirmation.
    ///
    /// The time may be too late by at most the delay of one message for each VM that forwarded it.
    pub fn confirmation(&self) -> Option<(Revision, Instant)> {
        self.confirmation.latest
    }
}
