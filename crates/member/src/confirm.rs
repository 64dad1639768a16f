//! How recently the platform is known to have had no higher configuration revision.

use std::time::Duration;
use std::time::Instant;

use base::Revision;
use wire::Confirmation;

use crate::View;

/// Time after a pause during which confirmations are ignored.
///
/// Messages that waited during the pause understate their age. Their senders give up within this time.
const SETTLE: Duration = Duration::from_secs(1);

/// The latest confirmation that this node has made or heard of.
#[derive(Debug, Default)]
pub(crate) struct Confirmed {
    latest: Option<(Revision, Instant)>,
    ignore_until: Option<Instant>,
}

impl Confirmed {
    pub(crate) fn note_pause(&mut self, now: Instant) {
        self.ignore_until = Some(now + SETTLE);
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
    /// Records that the platform had no higher revision when it was asked at `at`; peers hear of it with heartbeats.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        self.confirmed.latest = self.confirmed.latest.max(Some((revision, at)));
    }

    /// Returns the highest revision that was confirmed anywhere, with the latest time of its confirmation.
    ///
    /// The time is late by at most the delay of one message for each VM that passed it on.
    pub fn confirmation(&self) -> Option<(Revision, Instant)> {
        self.confirmed.latest
    }
}
