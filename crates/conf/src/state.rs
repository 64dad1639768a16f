//! The configuration in force on one node.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use decl::Catalogue;
use decl::Delta;
use serde::Deserialize;
use serde::Serialize;

/// Age of the last confirmation up to which a node acts on its configuration without caution.
///
/// A configuration must be in force everywhere within 4 s of its acceptance, so a node that has heard nothing for longer
/// may run an outdated one.
pub const FRESH_BOUND: Duration = Duration::from_secs(4);

/// How far the configuration in force can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The platform still had this revision within the bound.
    Fresh,
    /// A newer revision may be in force elsewhere.
    Unconfirmed {
        /// Time since the last confirmation, or since the start when there was none.
        age: Duration,
    },
}

/// What a node passes on to a peer that has an older revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Only what changed.
    Delta(Delta),
    /// The whole catalogue, for a peer that is further behind than the log reaches.
    Full(Arc<Catalogue>),
}

/// Result of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The offered revision is now in force.
    Changed,
    /// The node already has this revision or a higher one.
    Unchanged,
    /// The delta starts after the revision in force; the node needs one from its own revision or the whole catalogue.
    Gap,
}

/// The configuration in force on one node; its revision never decreases.
#[derive(Debug)]
pub struct ConfigState {
    catalogue: Option<Arc<Catalogue>>,
    started: Instant,
    // Latest time at which the platform had no higher revision than the one in force.
    confirmed: Option<Instant>,
    // Highest revision that was confirmed but is not in force yet, with the time of its confirmation.
    awaited: Option<(Revision, Instant)>,
}

impl ConfigState {
    /// Creates the state of a node that has no configuration yet.
    pub fn new(now: Instant) -> ConfigState {
        ConfigState {
            catalogue: None,
            started: now,
            confirmed: None,
            awaited: None,
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
    /// A lower revision comes from a lagging peer or a lagging read and is ignored. An offer alone confirms nothing,
    /// because a peer may pass on a catalogue that it has held for long.
    pub fn offer(&mut self, catalogue: impl Into<Arc<Catalogue>>, _now: Instant) -> bool {
        let catalogue = catalogue.into();
        if catalogue.revision <= self.revision() {
            return false;
        }
        let revision = catalogue.revision;
        self.catalogue = Some(catalogue);
        if let Some((awaited, at)) = self.awaited
            && awaited <= revision
        {
            self.confirmed = self.confirmed.max(Some(at));
            self.awaited = None;
        }
        true
    }

    /// Puts an update of a peer in force if it leads to a higher revision.
    pub fn offer_update(&mut self, update: Update, now: Instant) -> OfferResult {
        let next = match update {
            Update::Full(catalogue) => catalogue,
            Update::Delta(delta) if delta.revision <= self.revision() => {
                return OfferResult::Unchanged;
            }
            Update::Delta(delta) => {
                let none = Catalogue::default();
                let held = self.catalogue.as_deref().unwrap_or(&none);
                match held.with_delta(delta) {
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

    /// Returns what a peer at an older revision needs, or `None` when it needs nothing.
    pub fn update_since(&self, since: Revision) -> Option<Update> {
        let catalogue = self.catalogue.as_ref()?;
        if since >= catalogue.revision {
            return None;
        }
        let delta = catalogue.delta_since(since).map(Update::Delta);
        Some(delta.unwrap_or_else(|| Update::Full(Arc::clone(catalogue))))
    }

    /// Records that the platform, or a peer that confirmed with the platform, still had a revision at a time.
    ///
    /// `at` is when the question to the platform was sent; for a peer's report, the age that the peer reports is
    /// subtracted first. A revision below the one in force proves a lagging source and is ignored.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if revision == 0 || revision < self.revision() {
            return;
        }
        if revision == self.revision() {
            self.confirmed = self.confirmed.max(Some(at));
        } else {
            self.awaited = self.awaited.max(Some((revision, at)));
        }
    }

    /// Tells whether the configuration in force was confirmed within [`FRESH_BOUND`].
    pub fn freshness(&self, now: Instant) -> Freshness {
        let since = self.confirmed.unwrap_or(self.started);
        let age = now.saturating_duration_since(since);
        if self.confirmed.is_some() && age <= FRESH_BOUND {
            Freshness::Fresh
        } else {
            Freshness::Unconfirmed { age }
        }
    }
}
