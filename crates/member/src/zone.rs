//! Summaries and reachability of availability zones.

use std::collections::BTreeMap;
use std::time::Instant;

use base::Revision;
use base::ZoneName;
use wire::RevisionCount;
use wire::ZoneSummary;

use crate::NodeKey;

/// Most revisions listed in a summary.
const MAX_REVISIONS: usize = 3;

/// Counts for a zone, made by one of its VMs and forwarded by others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Summary {
    /// Reading of the zone's clock when the summary was made.
    pub clock: u64,
    /// VMs whose heartbeats arrive.
    pub live: u32,
    /// VMs whose heartbeats have stopped.
    pub suspect: u32,
    /// VMs that are shutting down.
    pub leaving: u32,
    /// Numbers of VMs with the three highest revisions in force, descending by revision.
    pub revisions: Vec<(Revision, u32)>,
    /// Upstreams that are draining.
    pub draining: u32,
}

impl Summary {
    pub(crate) fn count_revisions(revisions: BTreeMap<Revision, u32>) -> Vec<(Revision, u32)> {
        revisions.into_iter().rev().take(MAX_REVISIONS).collect()
    }

    pub(crate) fn from_wire(wire: &ZoneSummary) -> Summary {
        Summary {
            clock: wire.clock,
            live: wire.live,
            suspect: wire.suspect,
            leaving: wire.leaving,
            revisions: wire
                .revisions
                .iter()
                .take(MAX_REVISIONS)
                .map(|count| (count.revision, count.nodes))
                .collect(),
            draining: wire.draining,
        }
    }

    pub(crate) fn to_wire(&self, zone: &ZoneName) -> ZoneSummary {
        ZoneSummary {
            zone: zone.to_string(),
            clock: self.clock,
            live: self.live,
            suspect: self.suspect,
            leaving: self.leaving,
            revisions: self
                .revisions
                .iter()
                .map(|&(revision, nodes)| RevisionCount { revision, nodes })
                .collect(),
            draining: self.draining,
            bridges: Vec::new(),
        }
    }

    /// Returns the number of VMs that are not dead.
    pub fn nodes(&self) -> u32 {
        self.live + self.suspect + self.leaving
    }
}

/// An availability zone as seen by this node.
#[derive(Debug)]
pub(crate) struct Zone {
    /// Members in the order in which they were added.
    pub(crate) members: Vec<NodeKey>,
    pub(crate) summary: Summary,
    /// Time of the last summary with a higher clock.
    pub(crate) last_advance: Instant,
    pub(crate) reachable: bool,
}

impl Zone {
    pub(crate) fn new(now: Instant) -> Zone {
        Zone {
            members: Vec::new(),
            summary: Summary::default(),
            last_advance: now,
            reachable: true,
        }
    }

    /// Merges a summary and returns whether it replaced the current one.
    ///
    /// The higher clock wins; for equal clocks, the larger counts win, so that the result does not depend on the order.
    pub(crate) fn merge(&mut self, summary: Summary, now: Instant) -> bool {
        if summary <= self.summary {
            return false;
        }
        if summary.clock > self.summary.clock {
            self.last_advance = now;
        }
        self.summary = summary;
        true
    }
}
