//! Rate limits that servers name in their replies, for all nodes together.
//!
//! A few nodes, the senders, divide the limit of a server. All others are observers: they only send a rare probe, which
//! shows whether the limit has ended. Without talk between nodes, the sum stays below the limit as long as the nodes
//! agree on the senders, and one and a half times the limit leaves room for some that don't. See
//! docs/decisions/0008-named-limits.md.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;
use rand::Rng;
use rand::RngExt;

/// Requests a second.
pub type RequestRate = f64;

/// Fraction of the limit that the senders divide; the rest covers requests that connections delay.
const SENDER_FRACTION: f64 = 0.9;

/// Seconds of the limit that the senders may save up together.
const SAVED_SECONDS: f64 = 0.5;

/// Senders besides those that [`SAVED_SECONDS`] allows, so that a server with a small limit has more than one.
const SPARE_SENDERS: f64 = 2.0;

/// Fraction of the limit that the probes of all observers use.
const PROBE_FRACTION: f64 = 0.2;

/// Rate of the probes of all observers besides that fraction, so that the end of a small limit is noticed.
const PROBE_RATE: RequestRate = 0.25;

/// Time for which an observer may send a probe that is due. Without an end, observers without requests would save up
/// their probes, and a sudden load would send all of them at once.
const PROBE_WINDOW: Duration = Duration::from_secs(1);

/// Least rate that the senders divide, so that a limit of zero is noticed to have ended.
const MIN_RATE: RequestRate = 0.25;

/// Time after which the limit of a server that is no longer registered is dropped.
const UNREGISTERED_TIME: Duration = Duration::from_secs(120);

/// The part of one node in the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaShare {
    /// The node is one of the senders, which divide the limit equally.
    Sender {
        /// Number of senders.
        senders: u32,
    },
    /// Other nodes are the senders.
    Observer {
        /// Number of nodes that are no senders.
        observers: u32,
    },
}

impl QuotaShare {
    /// Returns how many nodes divide a limit; each of them may save up one request.
    pub fn count_senders(rate: RequestRate) -> usize {
        (rate * SAVED_SECONDS + SPARE_SENDERS) as usize
    }
}

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

/// The limit of one server, and what this node may send to it.
#[derive(Debug)]
struct Quota {
    rate: RequestRate,
    share: QuotaShare,
    /// Requests that a sender may send at once.
    tokens: f64,
    /// Time up to which the tokens are counted.
    counted: Instant,
    /// Time from which an observer may send a probe.
    probe_at: Instant,
    first_named: Instant,
    last_named: Instant,
}

impl Quota {
    fn new(rate: RequestRate, share: QuotaShare, now: Instant, rng: &mut dyn Rng) -> Quota {
        let mut quota = Quota {
            rate,
            share,
            tokens: 0.0,
            counted: now,
            probe_at: now,
            first_named: now,
            last_named: now,
        };
        quota.draw_probe(now, rng);
        quota
    }

    /// Draws the time of the next probe, so that observers that learn of the limit together don't probe together.
    fn draw_probe(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.probe_at = now + self.probe_interval().mul_f64(rng.random::<f64>());
    }

    fn probe_interval(&self) -> Duration {
        let observers = match self.share {
            QuotaShare::Sender { .. } => 1,
            QuotaShare::Observer { observers } => observers.max(1),
        };
        let rate = self.rate * PROBE_FRACTION + PROBE_RATE;
        PROBE_WINDOW.max(Duration::from_secs_f64(f64::from(observers) / rate))
    }

    fn sender_rate(&self, senders: u32) -> RequestRate {
        self.rate.max(MIN_RATE) * SENDER_FRACTION / f64::from(senders.max(1))
    }

    fn tokens_at(&self, senders: u32, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.counted).as_secs_f64();
        let most = (self.rate * SAVED_SECONDS / f64::from(senders.max(1))).max(1.0);
        (self.tokens + passed * self.sender_rate(senders)).min(most)
    }

    /// Returns the time of the first probe that is not over at `now`.
    fn next_probe(&self, now: Instant) -> Instant {
        let late = now.saturating_duration_since(self.probe_at + PROBE_WINDOW);
        if late.is_zero() {
            return self.probe_at;
        }
        let interval = self.probe_interval();
        let missed = (late.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.probe_at + interval.mul_f64(missed)
    }

    fn allows(&self, now: Instant) -> bool {
        self.wait(now).is_zero()
    }

    /// Returns the time until this node may send a request.
    fn wait(&self, now: Instant) -> Duration {
        match self.share {
            QuotaShare::Sender { senders } => {
                let lacking = (1.0 - self.tokens_at(senders, now)).max(0.0);
                Duration::from_secs_f64(lacking / self.sender_rate(senders))
            }
            QuotaShare::Observer { .. } => self.next_probe(now).saturating_duration_since(now),
        }
    }

    fn spend(&mut self, now: Instant) {
        match self.share {
            QuotaShare::Sender { senders } => {
                self.tokens = self.tokens_at(senders, now) - 1.0;
                self.counted = now;
            }
            QuotaShare::Observer { .. } => {
                self.probe_at = self.next_probe(now) + self.probe_interval();
            }
        }
    }

    /// Changes the rate or the share; a sender keeps the tokens that it has, and a new one begins without any.
    fn change(
        &mut self,
        rate: RequestRate,
        share: QuotaShare,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> bool {
        if self.rate == rate && self.share == share {
            return false;
        }
        self.tokens = match self.share {
            QuotaShare::Sender { senders } => self.tokens_at(senders, now),
            QuotaShare::Observer { .. } => 0.0,
        };
        self.counted = now;
        self.rate = rate;
        self.share = share;
        self.draw_probe(now, rng);
        true
    }
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

    /// Returns the time since a server first named its limit.
    pub(crate) fn age(&self, id: &UpstreamId, now: Instant) -> Option<Duration> {
        let quota = self.quotas.get(id)?;
        Some(now.saturating_duration_since(quota.first_named))
    }

    pub(crate) fn rates(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        self.quotas.iter().map(|(id, quota)| (id, quota.rate))
    }

    /// Returns whether this node may send a request to a server now.
    pub(crate) fn allows(&self, id: &UpstreamId, now: Instant) -> bool {
        self.quotas.is_empty() || self.quotas.get(id).is_none_or(|quota| quota.allows(now))
    }

    /// Returns the time until this node may send a request to a server.
    pub(crate) fn wait(&self, id: &UpstreamId, now: Instant) -> Duration {
        self.quotas
            .get(id)
            .map_or(Duration::ZERO, |quota| quota.wait(now))
    }

    pub(crate) fn spend(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(quota) = self.quotas.get_mut(id) {
            quota.spend(now);
        }
    }

    /// Changes the share of this node in a known limit; returns whether it was another one.
    pub(crate) fn set_share(
        &mut self,
        id: &UpstreamId,
        share: QuotaShare,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> bool {
        let Some(quota) = self.quotas.get_mut(id) else {
            return false;
        };
        quota.change(quota.rate, share, now, rng)
    }

    /// Records that a server named a limit; `share` is the part of this node in it.
    pub(crate) fn record_named(
        &mut self,
        id: &UpstreamId,
        rate: RequestRate,
        share: QuotaShare,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> LimitChange {
        let Some(quota) = self.quotas.get_mut(id) else {
            let quota = Quota::new(rate, share, now, rng);
            self.quotas.insert(id.clone(), quota);
            return LimitChange::Named { before: None };
        };
        quota.last_named = now;
        let before = quota.rate;
        if before == rate {
            return LimitChange::Unchanged;
        }
        quota.change(rate, share, now, rng);
        LimitChange::Named {
            before: Some(before),
        }
    }

    /// Records that the reply to a request sent at `sent` named no limit.
    ///
    /// It counts only if the request was sent after the limit was last named, since replies overtake each other.
    pub(crate) fn record_unnamed(
        &mut self,
        id: &UpstreamId,
        sent: Instant,
        now: Instant,
    ) -> LimitChange {
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

    /// Drops the limits that were named long ago by servers that are no longer registered.
    pub(crate) fn remove_unregistered(
        &mut self,
        now: Instant,
        is_registered: impl Fn(&UpstreamId) -> bool,
    ) {
        self.quotas.retain(|id, quota| {
            now.saturating_duration_since(quota.last_named) < UNREGISTERED_TIME || is_registered(id)
        });
    }
}
