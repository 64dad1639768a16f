//! Queue of the changes that a node gossips to its peers.

use std::collections::BTreeMap;
use std::time::Instant;

use base::NodeId;
use base::UpstreamId;

use crate::params::MAX_REPEAT_TIME;
use crate::params::MIN_REPEAT_TIME;
use crate::params::MIN_REPEATS;

/// Subject of a change; its current state is read when a message is composed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GossipItem {
    Upstream(UpstreamId),
    Node(NodeId),
    Report(UpstreamId, NodeId),
}

/// Priority of a change within messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    Report,
    Ordinary,
    /// An upstream or a VM is leaving; sent ahead of all other changes.
    Drain,
}

#[derive(Debug)]
struct Pending {
    priority: Priority,
    times_sent: u32,
    sequence: u64,
    added: Instant,
}

/// Changes that are repeated for a limited time; a new change replaces an older one of the same subject.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    pending: BTreeMap<GossipItem, Pending>,
    sequence: u64,
}

impl GossipQueue {
    pub(crate) fn add(&mut self, item: GossipItem, priority: Priority, now: Instant) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending.insert(
            item,
            Pending {
                priority,
                times_sent: 0,
                sequence,
                added: now,
            },
        );
    }

    /// Adds a change unless one of the same subject is pending.
    pub(crate) fn add_missing(&mut self, item: GossipItem, priority: Priority, now: Instant) {
        if !self.pending.contains_key(&item) {
            self.add(item, priority, now);
        }
    }

    /// Returns the pending changes of at least the given priority, sorted: highest priority first, then those sent
    /// least often, then the newest.
    pub(crate) fn list_by_priority(&self, min_priority: Priority) -> Vec<GossipItem> {
        let mut ranked: Vec<(&GossipItem, &Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.priority >= min_priority)
            .collect();
        ranked.sort_by_key(|(_, p)| {
            (
                std::cmp::Reverse(p.priority),
                p.times_sent,
                u64::MAX - p.sequence,
            )
        });
        ranked.into_iter().map(|(item, _)| item.clone()).collect()
    }

    pub(crate) fn count_sent(&mut self, item: &GossipItem) {
        if let Some(pending) = self.pending.get_mut(item) {
            pending.times_sent += 1;
        }
    }

    /// Removes changes that were repeated for long enough and often enough.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.pending.retain(|_, pending| {
            let age = now.saturating_duration_since(pending.added);
            age < MIN_REPEAT_TIME || pending.times_sent < MIN_REPEATS && age < MAX_REPEAT_TIME
        });
    }

    pub(crate) fn remove(&mut self, item: &GossipItem) {
        self.pending.remove(item);
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
