//! The configuration in force on this node: updates, propagation to peers, and staleness.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use conf::Freshness;
use conf::OfferResult;
use conf::Update;
use decl::Catalogue;

use crate::node::Node;
use crate::node::lock;

impl Node {
    /// Returns the configuration in force, or `None` before the first one.
    pub fn catalogue(&self) -> Option<Arc<Catalogue>> {
        lock(&self.conf).catalogue().cloned()
    }

    /// Returns the revision in force; zero means none.
    pub fn revision(&self) -> Revision {
        lock(&self.conf).revision()
    }

    /// Returns the time since the configuration was last confirmed, or `None` while it is fresh.
    pub fn stale_age(&self, now: Instant) -> Option<Duration> {
        match lock(&self.conf).freshness(now) {
            Freshness::Fresh => None,
            Freshness::Unconfirmed { age } => Some(age),
        }
    }

    /// Offers a catalogue that the platform returned to a request sent at `sent`, and confirms its revision.
    pub fn offer_catalogue(&self, catalogue: Catalogue, sent: Instant) {
        let revision = catalogue.revision;
        let changed = lock(&self.conf).offer(catalogue, Instant::now());
        self.confirm_revision(revision, sent);
        self.apply_change(changed);
    }

    /// Offers an update from a peer; returns `true` if it does not apply to the revision in force, so that the full
    /// catalogue is needed.
    pub fn offer_update(&self, update: Update) -> bool {
        let offered = lock(&self.conf).offer_update(update, Instant::now());
        self.apply_change(offered == OfferResult::Changed);
        offered == OfferResult::Gap
    }

    /// Records that a revision was the newest one in the platform at time `at`.
    pub fn confirm_revision(&self, revision: Revision, at: Instant) {
        lock(&self.conf).confirm(revision, at);
        lock(&self.view).confirm(revision, at);
    }

    /// Returns the update that brings a peer at revision `since` to the one in force, or `None` if it needs none.
    pub fn update_since(&self, since: Revision) -> Option<Update> {
        lock(&self.conf).update_since(since)
    }

    fn apply_change(&self, changed: bool) {
        if !changed {
            return;
        }
        let Some(catalogue) = self.catalogue() else {
            return;
        };
        log::info!("conf: revision {} is in force", catalogue.revision);
        lock(&self.view).set_revision(catalogue.revision, Instant::now());
        lock(&self.limits).retain_services(|service| catalogue.entries.contains_key(service));
    }
}
