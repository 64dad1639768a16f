//! Connections and delays between entry nodes and servers in virtual time.

use std::time::Duration;

/// One-way delay between different zones of a region.
const ZONE_DELAY: Duration = Duration::from_millis(1);

/// One-way delay inside a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// One-way delay between a caller and its entry node.
pub(crate) const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Time after which a node gives a connection attempt up.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the one-way delay between two zones.
pub(crate) fn find_delay(from: usize, to: usize) -> Duration {
    if from == to { LOCAL_DELAY } else { ZONE_DELAY }
}

/// Tells whether two zones are cut off from each other while `cut` has lost contact.
pub(crate) fn is_cut(cut: Option<usize>, from: usize, to: usize) -> bool {
    from != to && cut.is_some_and(|zone| zone == from || zone == to)
}

/// The connections of one node to one server.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Pool {
    idle: u32,
    open: u32,
}

impl Pool {
    /// Tells whether a request has to wait, because every connection of the node's share is in use.
    pub(crate) fn is_full(&self, share: Option<u32>) -> bool {
        self.idle == 0 && share.is_some_and(|share| self.open >= share)
    }
}

/// Counts the connections that a server has accepted.
#[derive(Debug)]
pub(crate) struct Listener {
    limit: u32,
    open: u32,
    /// Highest number of connections open at the same time.
    pub(crate) peak: u32,
    /// Connections that were refused because the limit was reached.
    pub(crate) refused: u64,
    /// Incremented when all connections are lost, so that those of before are not counted again.
    pub(crate) epoch: u32,
}

/// What a node gets when it needs a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lease {
    /// An idle connection.
    Idle,
    /// A new connection.
    New,
    /// The server refused.
    Refused,
}

impl Listener {
    pub(crate) fn new(limit: u32) -> Listener {
        Listener {
            limit,
            open: 0,
            peak: 0,
            refused: 0,
            epoch: 0,
        }
    }

    /// Takes a connection out of the pool, or opens one.
    pub(crate) fn lease(&mut self, pool: &mut Pool) -> Lease {
        if pool.idle > 0 {
            pool.idle -= 1;
            return Lease::Idle;
        }
        if self.open >= self.limit {
            self.refused += 1;
            return Lease::Refused;
        }
        self.open += 1;
        self.peak = self.peak.max(self.open);
        pool.open += 1;
        Lease::New
    }

    /// Puts a connection back; it is closed when the node has more than its share.
    pub(crate) fn release(&mut self, pool: &mut Pool, share: Option<u32>) {
        if share.is_some_and(|share| pool.open > share) {
            self.close(pool);
        } else {
            pool.idle += 1;
        }
    }

    /// Closes a connection that is in use.
    pub(crate) fn close(&mut self, pool: &mut Pool) {
        pool.open = pool.open.saturating_sub(1);
        self.open = self.open.saturating_sub(1);
    }

    /// Closes every connection of one node, because its process ended.
    pub(crate) fn close_all(&mut self, pool: &mut Pool) {
        self.open = self.open.saturating_sub(pool.open);
        *pool = Pool::default();
    }

    /// Loses every connection, because the server stopped.
    pub(crate) fn reset<'a>(&mut self, pools: impl Iterator<Item = &'a mut Pool>) {
        self.open = 0;
        self.epoch += 1;
        pools.for_each(|pool| *pool = Pool::default());
    }
}
