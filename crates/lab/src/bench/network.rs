//! Connections and delays between entry nodes and servers in virtual time.

use std::time::Duration;

/// One-way delay between different zones of a region.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1);

/// One-way delay inside a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);

/// One-way delay between a caller and its entry node.
pub(crate) const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Time after which a node abandons a connection attempt.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the one-way delay between two zones.
pub(crate) fn find_delay(from: usize, to: usize) -> Duration {
    if from == to {
        SAME_ZONE_DELAY
    } else {
        CROSS_ZONE_DELAY
    }
}

/// Returns whether a network partition around the zone `isolated` separates two zones.
pub(crate) fn is_partitioned(isolated: Option<usize>, from: usize, to: usize) -> bool {
    from != to && isolated.is_some_and(|zone| zone == from || zone == to)
}

/// The connection pool of one node to one server.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Pool {
    idle: u32,
    open: u32,
}

impl Pool {
    /// Returns whether a request has to wait because the node's whole share of connections is in use.
    pub(crate) fn is_full(&self, share: Option<u32>) -> bool {
        self.idle == 0 && share.is_some_and(|share| self.open >= share)
    }
}

/// The accepting side of a server, which counts its connections and enforces their limit.
#[derive(Debug)]
pub(crate) struct Listener {
    limit: u32,
    open: u32,
    /// Highest number of connections open at the same time.
    pub(crate) peak: u32,
    /// Connections that were refused because the limit was reached.
    pub(crate) refused: u64,
    /// Incremented when all connections are lost, so that closing an older connection is not counted again.
    pub(crate) epoch: u32,
}

/// The result of a request for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lease {
    /// An idle connection of the pool is reused.
    Idle,
    /// A new connection is opened.
    New,
    /// The server refuses another connection.
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

    /// Leases an idle connection of the pool, or opens a new one.
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

    /// Returns a connection to the pool, or closes it when the node has more than its share.
    pub(crate) fn release(&mut self, pool: &mut Pool, share: Option<u32>) {
        if share.is_some_and(|share| pool.open > share) {
            self.close(pool);
        } else {
            pool.idle += 1;
        }
    }

    /// Closes a leased connection.
    pub(crate) fn close(&mut self, pool: &mut Pool) {
        pool.open = pool.open.saturating_sub(1);
        self.open = self.open.saturating_sub(1);
    }

    /// Closes every connection of one node whose process ended.
    pub(crate) fn close_all(&mut self, pool: &mut Pool) {
        self.open = self.open.saturating_sub(pool.open);
        *pool = Pool::default();
    }

    /// Drops every connection of every node, because the server stopped.
    pub(crate) fn reset<'a>(&mut self, pools: impl Iterator<Item = &'a mut Pool>) {
        self.open = 0;
        self.epoch += 1;
        pools.for_each(|pool| *pool = Pool::default());
    }
}
