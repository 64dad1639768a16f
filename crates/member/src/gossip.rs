//! The changes that a node still repeats to its peers, freshest first.

use std::collections::BTreeMap;
use std::time::Instant;

use base::NodeId;
use base::UpstreamId;

use crate::params::REPEAT_LIMIT;
use crate::params::REPEAT_TIME;
use crate::params::REPEATS;

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Item {
    Upstream(UpstreamId),
    Node(NodeId),
    Report(UpstreamId, NodeId),
}

/// How soon a change has to spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    Report,
    Ordinary,
    /// An upstream or a VM is leaving; it is sent ahead of everything else.
    Drain,
}

#[derive(Debug)]
struct Pending {
    urgency: Urgency,
    sent: u32,
    order: u64,
    added: Instant,
}

/// Changes that are repeated for a bounded time; later ones replace earlier ones of the same subject.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    pending: BTreeMap<Item, Pending>,
    order: u64,
}

impl Spread {
    pub(crate) fn add(&mut self, item: Item, urgency: Urgency, now: Instant) {
        self.order += 1;
        let order = self.order;
        self.pending.insert(
            item,
            Pending {
                urgency,
                sent: 0,
                order,
                added: now,
            },
        );
    }

    /// Adds a change unless it is still being repeated.
    pub(crate) fn add_missing(&mut self, item: Item, urgency: Urgency, now: Instant) {
        if !self.pending.contains_key(&item) {
            self.add(item, urgency, now);
        }
    }

    /// Returns the pending changes: drains first, then those sent least often, then the newest.
    pub(crate) fn ranked(&self, least: Urgency) -> Vec<Item> {
        let mut ranked: Vec<(&Item, &Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.urgency >= least)
            .collect();
        ranked.sort_by_key(|(_, p)| (std::cmp::Reverse(p.urgency), p.sent, u64::MAX - p.order));
        ranked.into_iter().map(|(item, _)| item.clone()).collect()
    }

    /// Records that a change was sent.
    pub(crate) fn count_sent(&mut self, item: &Item) {
        if let Some(pending) = self.pending.get_mut(item) {
            pending.sent += 1;
        }
    }

    /// Forgets changes that were repeated long and often enough.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.pending.retain(|_, pending| {
            let age = now.saturating_duration_since(pending.added);
            age < REPEAT_TIME || pending.sent < REPEATS && age < REPEAT_LIMIT
        });
    }

    pub(crate) fn remove(&mut self, item: &Item) {
        self.pending.remove(item);
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
