//! The configuration in force on one node.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use decl::Catalogue;
use decl::Delta;
use serde::Deserialize;
use serde::Serialize;

/// Largest age of the last confirmation with which a node treats its configuration as current.
///
/// A configuration must be in force everywhere within 4 s of its acceptance, so a node without a confirmation for
/// longer may run an outdated one.
pub const MAX_FRESH_AGE: Duration = Duration::from_secs(4);

/// Whether the configuration in force is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The revision was confirmed within [`MAX_FRESH_AGE`].
    Fresh,
    /// The last confirmation is too old, so a newer revision may be in force elsewhere.
    Unconfirmed {
        /// Time since the last confirmation, or since the node started when there was none.
        age: Duration,
    },
}

/// A configuration update that a node sends to a peer with an older revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changes since the peer's revision.
    Delta(Delta),
    /// The whole catalogue, for a peer whose revision is older than the log of changes.
    Full(Arc<Catalogue>),
}

/// Result of [`ConfigState::offer_update`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The offered revision is now in force.
    Changed,
    /// The node already has this revision or a higher one.
    Unchanged,
    /// The delta starts after the revision in force; the node needs a delta from its own revision or a full catalogue.
    Gap,
}

/// The configuration in force on one node; its revision never decreases.
#[derive(Debug)]
pub struct ConfigState {
    catalogue: Option<Arc<Catalogue>>,
    started: Instant,
    // Latest time at which the platform is known to have had no higher revision than the one in force.
    confirmed: Option<Instant>,
    // Highest revision that was confirmed and is not in force here yet, with the time of its confirmation.
    pending: Option<(Revision, Instant)>,
}

impl ConfigState {
    /// Creates the state of a node that has no configuration yet.
    pub fn new(now: Instant) -> ConfigState {
        ConfigState {
            catalogue: None,
            started: now,
            confirmed: None,
            pending: None,
        }
    }

    /// Returns the catalogue in force, or `None` before the first one.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Returns the revision in force; zero means none.
    pub fn revision(&self) -> Revision {
        self.catalogue
            .as_ref()
            .map_or(0, |catalogue| catalogue.revision)
    }

    /// Puts a catalogue in force if its revision is higher, and returns whether it did.
    ///
    /// A lower revision comes from a peer or a read that lags, and is ignored. An offer doesn't confirm the revision,
    /// because a peer may have had the catalogue for long.
    pub fn offer(&mut self, catalogue: impl Into<Arc<Catalogue>>, _now: Instant) -> bool {
        let catalogue = catalogue.into();
        if catalogue.revision <= self.revision() {
            return false;
        }
        let revision = catalogue.revision;
        self.catalogue = Some(catalogue);
        if let Some((pending, at)) = self.pending
            && pending <= revision
        {
            self.confirmed = self.confirmed.max(Some(at));
            self.pending = None;
        }
        true
    }

    /// Applies an update from a peer if it leads to a higher revision.
    pub fn offer_update(&mut self, update: Update, now: Instant) -> OfferResult {
        let next = match update {
            Update::Full(catalogue) => catalogue,
            Update::Delta(delta) if delta.revision <= self.revision() => {
                return OfferResult::Unchanged;
            }
            Update::Delta(delta) => {
                let none = Catalogue::default();
                let current = self.catalogue.as_deref().unwrap_or(&none);
                match current.with_delta(delta) {
                    Some(next) => Arc::new(next),
                    None => return OfferResult::Gap,
                }
            }
        };
        if self.offer(next, now) {
            OfferResult::Changed
        } else {
            OfferResult::Unchanged
        }
    }

    /// Returns the update for a peer that has the revision `since`, or `None` if the peer is up to date.
    pub fn update_since(&self, since: Revision) -> Option<Update> {
        let catalogue = self.catalogue.as_ref()?;
        if since >= catalogue.revision {
            return None;
        }
        let delta = catalogue.delta_since(since).map(Update::Delta);
        Some(delta.unwrap_or_else(|| Update::Full(Arc::clone(catalogue))))
    }

    /// Records that `revision` was the platform's current one at the time `at`.
    ///
    /// `at` is the time at which the request to the platform was sent; for the report of a peer, the caller subtracts
    /// the age that the peer reports. A revision below the one in force comes from a lagging source and is ignored.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if revision == 0 || revision < self.revision() {
            return;
        }
        if revision == self.revision() {
            self.confirmed = self.confirmed.max(Some(at));
        } else {
            self.pending = self.pending.max(Some((revision, at)));
        }
    }

    /// Returns whether the configuration in force was confirmed within [`MAX_FRESH_AGE`].
    pub fn freshness(&self, now: Instant) -> Freshness {
        let since = self.confirmed.unwrap_or(self.started);
        let age = now.saturating_duration_since(since);
        if self.confirmed.is_some() && age <= MAX_FRESH_AGE {
            Freshness::Fresh
        } else {
            Freshness::Unconfirmed { age }
        }
    }
}
