//! Drain state and failure reports of upstreams.

use std::time::Instant;

use base::IndexName;
use base::NodeId;
use base::UpstreamState;
use base::ZoneName;
use wire::UpstreamRecord;

use crate::GroupName;
use crate::params::MIN_DRAIN_TIME;
use crate::params::MIN_REPORT_INTERVAL;
use crate::params::REPORT_RETENTION;
use crate::params::REPORT_TTL;

/// Most reporters that are stored per upstream; the quorum is at most three.
const MAX_REPORTERS: usize = 8;

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Neither draining nor suspected.
    Live,
    /// A quorum of nodes recently failed to connect to it.
    Suspect,
    /// One of its replies stated that it is draining.
    Draining,
    /// No index contains it.
    Gone,
}

/// An observation that this node made of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It replied, with this state.
    Replied(UpstreamState),
    /// A connection failed or timed out.
    ConnectFailed,
    /// It refused a connection, which indicates its connection limit and not a failure.
    ConnectRefused,
}

/// A failed connection, as reported by one node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Report {
    pub(crate) reporter: NodeId,
    pub(crate) sequence: u64,
    pub(crate) received: Instant,
}

/// Configuration of an upstream on the platform.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) index: IndexName,
    pub(crate) zone: ZoneName,
    pub(crate) connections: u32,
    pub(crate) group: GroupName,
}

/// An upstream as seen by this node.
#[derive(Debug)]
pub(crate) struct UpstreamEntry {
    pub(crate) placement: Option<Placement>,
    /// Version of the drain state; it rises with each change that a node observes.
    pub(crate) epoch: u64,
    pub(crate) draining: bool,
    /// Time at which a reply or a peer last stated that it is draining.
    pub(crate) last_draining: Option<Instant>,
    pub(crate) last_reply: Option<Instant>,
    pub(crate) reports: Vec<Report>,
    /// Time at which the drain state or the placement last changed.
    pub(crate) last_change: Instant,
}

impl UpstreamEntry {
    pub(crate) fn new(now: Instant) -> UpstreamEntry {
        UpstreamEntry {
            placement: None,
            epoch: 0,
            draining: false,
            last_draining: None,
            last_reply: None,
            reports: Vec::new(),
            last_change: now,
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

    /// Merges the drain state received from another node and returns whether it changed.
    pub(crate) fn merge(&mut self, epoch: u64, draining: bool, now: Instant) -> bool {
        if (epoch, draining) <= (self.epoch, self.draining) {
            return false;
        }
        self.epoch = epoch;
        self.draining = draining;
        self.last_change = now;
        if draining {
            self.last_draining = Some(now);
        }
        true
    }

    /// Records the state in a reply and returns whether the drain state changed.
    pub(crate) fn observe_reply(&mut self, state: UpstreamState, now: Instant) -> bool {
        self.last_reply = Some(now);
        if state == UpstreamState::Draining {
            self.last_draining = Some(now);
            let started = !self.draining;
            if started {
                self.epoch += 1;
                self.draining = true;
                self.last_change = now;
            }
            return started;
        }
        let recent_drain = self
            .last_draining
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_DRAIN_TIME);
        if !self.draining || recent_drain {
            return false;
        }
        self.epoch += 1;
        self.draining = false;
        self.last_change = now;
        true
    }

    /// Records a failed connection of a reporter and returns whether the report is new.
    pub(crate) fn record_failure(
        &mut self,
        reporter: &NodeId,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.reports
            .retain(|report| now.saturating_duration_since(report.received) < REPORT_RETENTION);
        match self
            .reports
            .iter_mut()
            .find(|report| report.reporter == *reporter)
        {
            Some(report) if report.sequence >= sequence => return false,
            Some(report) => {
                report.sequence = sequence;
                report.received = now;
                return true;
            }
            None => {}
        }
        if self.reports.len() >= MAX_REPORTERS {
            return false;
        }
        self.reports.push(Report {
            reporter: reporter.clone(),
            sequence,
            received: now,
        });
        true
    }

    /// Returns whether the last report of the reporter is too recent for another one.
    pub(crate) fn reported_recently(&self, reporter: &NodeId, now: Instant) -> bool {
        self.reports.iter().any(|report| {
            report.reporter == *reporter
                && now.saturating_duration_since(report.received) < MIN_REPORT_INTERVAL
        })
    }

    /// Counts the nodes whose failure reports have not expired.
    pub(crate) fn count_reporters(&self, now: Instant) -> usize {
        self.reports
            .iter()
            .filter(|report| now.saturating_duration_since(report.received) < REPORT_TTL)
            .count()
    }

    /// Returns the health; a recent reply to this node takes precedence over failure reports.
    pub(crate) fn health(&self, quorum: usize, now: Instant) -> Health {
        let replied = self
            .last_reply
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_TTL);
        if self.placement.is_none() {
            Health::Gone
        } else if self.draining {
            Health::Draining
        } else if !replied && self.count_reporters(now) >= quorum {
            Health::Suspect
        } else {
            Health::Live
        }
    }
}
