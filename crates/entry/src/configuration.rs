//! The configuration in force on this node: what it takes in, passes on and knows of its age.

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
    /// Returns the configuration in force.
    pub fn catalogue(&self) -> Option<Arc<Catalogue>> {
        lock(&self.conf).catalogue().cloned()
    }

    /// Returns the revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        lock(&self.conf).revision()
    }

    /// Returns the age of the configuration when it exceeds the bound within which it should be confirmed.
    pub fn stale(&self, now: Instant) -> Option<Duration> {
        match lock(&self.conf).freshness(now) {
            Freshness::Fresh => None,
            Freshness::Unconfirmed { age } => Some(age),
        }
    }

    /// Takes in a catalogue that the platform returned to a question sent at `asked`.
    pub fn offer_catalogue(&self, catalogue: Catalogue, asked: Instant) {
        let revision = catalogue.revision;
        let changed = lock(&self.conf).offer(catalogue, Instant::now());
        self.confirm(revision, asked);
        self.announce(changed);
    }

    /// Takes in what a peer passed on; returns whether the whole catalogue is needed.
    pub fn offer_update(&self, update: Update) -> bool {
        let offered = lock(&self.conf).offer_update(update, Instant::now());
        self.announce(offered == OfferResult::Changed);
        offered == OfferResult::Gap
    }

    /// Records that the platform had a revision as its newest at a moment.
    pub fn confirm(&self, revision: Revision, at: Instant) {
        lock(&self.conf).confirm(revision, at);
        lock(&self.view).confirm(revision, at);
    }

    /// Returns what a peer at a revision needs.
    pub fn update_since(&self, since: Revision) -> Option<Update> {
        lock(&self.conf).update_since(since)
    }

    fn announce(&self, changed: bool) {
        if !changed {
            return;
        }
        let Some(catalogue) = self.catalogue() else {
            return;
        };
        log::info!("conf: revision {} in force", catalogue.revision);
        lock(&self.view).set_revision(catalogue.revision, Instant::now());
        lock(&self.limits).retain_services(|service| catalogue.entries.contains_key(service));
    }
}
