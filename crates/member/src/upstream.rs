//! Upstreams with their drains and the evidence of failed connections.

use std::time::Instant;

use base::IndexName;
use base::NodeId;
use base::UpstreamState;
use base::ZoneName;
use wire::UpstreamRecord;

use crate::GroupName;
use crate::params::DRAIN_HOLD;
use crate::params::REPORT_KEEP;
use crate::params::REPORT_LIFE;
use crate::params::REPORT_PERIOD;

/// Most reporters that are remembered per upstream; the quorum is at most three.
const REPORTERS: usize = 8;

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Nothing speaks against it.
    Live,
    /// A quorum of nodes could not connect to it in the last seconds.
    Suspect,
    /// A reply of its own said that it is leaving.
    Draining,
    /// No index names it.
    Gone,
}

/// What this node has seen of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It replied, with this state.
    Replied(UpstreamState),
    /// A connection failed or timed out.
    ConnectFailed,
    /// It refused a connection, which is evidence of its connection limit and not of a failure.
    ConnectRefused,
}

/// One node's failed connection.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Report {
    pub(crate) reporter: NodeId,
    pub(crate) sequence: u64,
    pub(crate) heard: Instant,
}

/// What the platform says of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) index: IndexName,
    pub(crate) zone: ZoneName,
    pub(crate) connections: u32,
    pub(crate) group: GroupName,
}

/// An upstream as seen by this node.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) placement: Option<Placement>,
    pub(crate) epoch: u64,
    pub(crate) draining: bool,
    pub(crate) drained: Option<Instant>,
    pub(crate) replied: Option<Instant>,
    pub(crate) reports: Vec<Report>,
    /// Moment when the spread state or the placement last changed.
    pub(crate) changed: Instant,
}

impl Entry {
    pub(crate) fn new(now: Instant) -> Entry {
        Entry {
            placement: None,
            epoch: 0,
            draining: false,
            drained: None,
            replied: None,
            reports: Vec::new(),
            changed: now,
        }
    }

    pub(crate) fn to_wire(&self, id: &str) -> UpstreamRecord {
        let mut wire = UpstreamRecord {
            id: id.to_string(),
            epoch: self.epoch,
            ..Default::default()
        };
        if self.draining {
            wire.set_state(wire::UpstreamState::Draining);
        }
        wire
    }

    /// Merges the state that another node spreads; returns whether it changed.
    pub(crate) fn merge(&mut self, epoch: u64, draining: bool, now: Instant) -> bool {
        if (epoch, draining) <= (self.epoch, self.draining) {
            return false;
        }
        self.epoch = epoch;
        self.draining = draining;
        self.changed = now;
        if draining {
            self.drained = Some(now);
        }
        true
    }

    /// Records a reply; returns whether the spread state changed.
    pub(crate) fn observe_reply(&mut self, state: UpstreamState, now: Instant) -> bool {
        self.replied = Some(now);
        if state == UpstreamState::Draining {
            self.drained = Some(now);
            let started = !self.draining;
            if started {
                self.epoch += 1;
                self.draining = true;
                self.changed = now;
            }
            return started;
        }
        let held = self
            .drained
            .is_some_and(|at| now.saturating_duration_since(at) < DRAIN_HOLD);
        if !self.draining || held {
            return false;
        }
        self.epoch += 1;
        self.draining = false;
        self.changed = now;
        true
    }

    /// Records a failed connection of a reporter; returns whether it is news.
    pub(crate) fn report(&mut self, reporter: &NodeId, sequence: u64, now: Instant) -> bool {
        self.reports
            .retain(|report| now.saturating_duration_since(report.heard) < REPORT_KEEP);
        match self
            .reports
            .iter_mut()
            .find(|report| report.reporter == *reporter)
        {
            Some(report) if report.sequence >= sequence => return false,
            Some(report) => {
                report.sequence = sequence;
                report.heard = now;
                return true;
            }
            None => {}
        }
        if self.reports.len() >= REPORTERS {
            return false;
        }
        self.reports.push(Report {
            reporter: reporter.clone(),
            sequence,
            heard: now,
        });
        true
    }

    /// Returns whether the reporter has reported so recently that another report would add nothing.
    pub(crate) fn reported_lately(&self, reporter: &NodeId, now: Instant) -> bool {
        self.reports.iter().any(|report| {
            report.reporter == *reporter
                && now.saturating_duration_since(report.heard) < REPORT_PERIOD
        })
    }

    /// Counts distinct nodes that failed to connect lately.
    pub(crate) fn reporters(&self, now: Instant) -> usize {
        self.reports
            .iter()
            .filter(|report| now.saturating_duration_since(report.heard) < REPORT_LIFE)
            .count()
    }

    /// Judges the upstream; a reply to this node itself outweighs what others report.
    pub(crate) fn health(&self, quorum: usize, now: Instant) -> Health {
        let replied = self
            .replied
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_LIFE);
        if self.placement.is_none() {
            Health::Gone
        } else if self.draining {
            Health::Draining
        } else if !replied && self.reporters(now) >= quorum {
            Health::Suspect
        } else {
            Health::Live
        }
    }
}
