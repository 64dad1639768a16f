//! A fake of the platform's object API in virtual time, with a typed request for each kind of object.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::IndexState;
use base::Vm;
use decl::Catalogue;
use once::Ledger;
use once::LedgerId;

/// A call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum Request {
    Config,
    /// Writes the configuration if it still has this version.
    PutConfig(u64, Arc<Catalogue>),
    Index,
    List,
    Ledger(LedgerId),
    /// Writes a ledger if it still has this version.
    PutLedger(LedgerId, u64, Ledger),
}

impl Request {
    pub(crate) fn is_write(&self) -> bool {
        matches!(self, Request::PutConfig(..) | Request::PutLedger(..))
    }
}

/// A reply of the platform.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Config(u64, Arc<Catalogue>),
    Index(Arc<IndexState>),
    List(Vec<Vm>),
    Ledger(u64, Ledger),
    /// The version that a write created.
    Applied(u64),
    /// The current version, which differs from the expected one.
    Conflict(u64),
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The call has no effect, now or later.
    NotSent,
    /// A write may have taken effect, now or later.
    NoReply,
}

/// The platform with its objects and faults.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) up: bool,
    pub(crate) delay: Duration,
    /// Number of next writes whose replies will be lost.
    pub(crate) lost_replies: u32,
    /// Number of next reads of the configuration that will return the value before the newest.
    pub(crate) lagging_reads: u32,
    pub(crate) list_lag: Duration,
    version: u64,
    /// Every version of the configuration, the newest last.
    config: Vec<(u64, Arc<Catalogue>)>,
    index: Arc<IndexState>,
    ledgers: BTreeMap<LedgerId, (u64, Ledger)>,
    /// Every list of VMs, with the time from which it was current.
    lists: Vec<(Instant, Vec<Vm>)>,
}

impl Platform {
    pub(crate) fn new(catalogue: Catalogue, index: IndexState) -> Platform {
        Platform {
            up: true,
            delay: Duration::ZERO,
            lost_replies: 0,
            lagging_reads: 0,
            list_lag: Duration::ZERO,
            version: 1,
            config: vec![(1, Arc::new(catalogue))],
            index: Arc::new(index),
            ledgers: BTreeMap::new(),
            lists: Vec::new(),
        }
    }

    pub(crate) fn index(&self) -> &IndexState {
        &self.index
    }

    pub(crate) fn set_index(&mut self, index: IndexState) {
        self.index = Arc::new(index);
    }

    /// Sets the VMs that are in service from now on.
    pub(crate) fn set_vm_list(&mut self, list: Vec<Vm>, now: Instant) {
        self.lists.push((now, list));
    }

    /// Executes a call.
    pub(crate) fn handle(&mut self, request: Request, now: Instant) -> Reply {
        match request {
            Request::Config => {
                let lag = usize::from(self.lagging_reads > 0 && self.config.len() > 1);
                self.lagging_reads -= u32::from(self.lagging_reads > 0);
                let (version, catalogue) = &self.config[self.config.len() - 1 - lag];
                Reply::Config(*version, catalogue.clone())
            }
            Request::PutConfig(base, catalogue) => {
                let held = self.config.last().map_or(0, |held| held.0);
                if held != base {
                    return Reply::Conflict(held);
                }
                self.version += 1;
                self.config.push((self.version, catalogue));
                Reply::Applied(self.version)
            }
            Request::Index => Reply::Index(self.index.clone()),
            Request::List => {
                let past = now.checked_sub(self.list_lag).unwrap_or(now);
                let seen = self.lists.iter().rev().find(|(at, _)| *at <= past);
                let seen = seen.or_else(|| self.lists.first());
                Reply::List(seen.map(|(_, list)| list.clone()).unwrap_or_default())
            }
            Request::Ledger(id) => {
                let (version, ledger) = self.ledgers.get(&id).cloned().unwrap_or_default();
                Reply::Ledger(version, ledger)
            }
            Request::PutLedger(id, base, ledger) => {
                let held = self.ledgers.get(&id).map_or(0, |held| held.0);
                if held != base {
                    return Reply::Conflict(held);
                }
                self.version += 1;
                self.ledgers.insert(id, (self.version, ledger));
                Reply::Applied(self.version)
            }
        }
    }

    /// Returns whether the reply to a write that took effect is lost, and counts it.
    pub(crate) fn consume_lost_reply(&mut self) -> bool {
        let loses = self.lost_replies > 0;
        self.lost_replies -= u32::from(loses);
        loses
    }
}
