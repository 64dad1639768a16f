//! Rate limits that servers name in their replies, for all nodes together.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;

/// Requests a second.
pub type RequestRate = f64;

/// What a reply says about the limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNotice {
    /// The server takes this many requests a second from all nodes together.
    Named(RequestRate),
    /// The server sets no limit.
    Unnamed,
}

/// Effect of a reply on the known limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// A limit was named that was not known, or another one before.
    Named {
        /// The limit that was known before.
        before: Option<RequestRate>,
    },
    /// The server names its limit no longer.
    Ended {
        /// The limit that was known before.
        before: RequestRate,
        /// Time since it was first named.
        lasted: Duration,
    },
    /// What the reply says was known.
    Unchanged,
}

#[derive(Debug)]
struct Quota {
    rate: RequestRate,
    first_named: Instant,
    last_named: Instant,
}

/// The limits that are known of servers.
///
/// They are kept by the server's id, so that a server whose entry is removed and comes back is still limited.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    quotas: HashMap<UpstreamId, Quota>,
}

impl Quotas {
    pub(crate) fn rate(&self, id: &UpstreamId) -> Option<RequestRate> {
        self.quotas.get(id).map(|quota| quota.rate)
    }

    /// Records what the reply to a request sent at `sent` says.
    ///
    /// A reply without a limit counts only if its request was sent after the limit was last named, since replies
    /// overtake each other.
    pub(crate) fn record(
        &mut self,
        id: &UpstreamId,
        notice: LimitNotice,
        sent: Instant,
        now: Instant,
    ) -> LimitChange {
        match notice {
            LimitNotice::Named(rate) => self.record_named(id, rate, now),
            LimitNotice::Unnamed => self.record_unnamed(id, sent, now),
        }
    }

    fn record_named(&mut self, id: &UpstreamId, rate: RequestRate, now: Instant) -> LimitChange {
        let Some(quota) = self.quotas.get_mut(id) else {
            let quota = Quota {
                rate,
                first_named: now,
                last_named: now,
            };
            self.quotas.insert(id.clone(), quota);
            return LimitChange::Named { before: None };
        };
        quota.last_named = now;
        if quota.rate == rate {
            return LimitChange::Unchanged;
        }
        let before = std::mem::replace(&mut quota.rate, rate);
        LimitChange::Named {
            before: Some(before),
        }
    }

    fn record_unnamed(&mut self, id: &UpstreamId, sent: Instant, now: Instant) -> LimitChange {
        let Some(quota) = self.quotas.get(id).filter(|quota| sent > quota.last_named) else {
            return LimitChange::Unchanged;
        };
        let change = LimitChange::Ended {
            before: quota.rate,
            lasted: now.saturating_duration_since(quota.first_named),
        };
        self.quotas.remove(id);
        change
    }
}
