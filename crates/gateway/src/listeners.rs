//! The addresses of the process, and how its descriptors are divided among them.

use std::rc::Rc;

use limit::MemoryUse;

use crate::Settings;
use crate::listener::ClosedConnection;
use crate::listener::Listener;
use crate::memory::Memory;

/// File descriptors reserved for the store, relays, listening sockets, readiness checks and metrics.
const RESERVED_FDS: u32 = 200;

/// Connections of load balancers.
const READY_CONNECTIONS: usize = 64;

/// Connections of those who read the metrics.
const METRICS_CONNECTIONS: usize = 32;

/// Percentage of the unreserved descriptors for connections of callers, and as many for those to servers and to gateways
/// that serve requests for this one; the rest is for connections of other gateways.
const SIDE_PERCENT: u32 = 40;

/// The listeners of a process.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: Rc<Listener>,
    /// Both addresses for other gateways.
    pub(crate) peers: Rc<Listener>,
    pub(crate) ready: Rc<Listener>,
    pub(crate) metrics: Rc<Listener>,
}

impl Listeners {
    pub(crate) fn new(memory: &Rc<Memory>, settings: &Settings) -> Listeners {
        let listeners = Listeners {
            callers: Listener::new("front", MemoryUse::Caller, memory),
            peers: Listener::new("peer", MemoryUse::Upstream, memory),
            ready: Listener::new("ready", MemoryUse::Upstream, memory),
            metrics: Listener::new("metrics", MemoryUse::Upstream, memory),
        };
        listeners.ready.set_limit(READY_CONNECTIONS);
        listeners.metrics.set_limit(METRICS_CONNECTIONS);
        listeners.set_limits(settings);
        listeners
    }

    /// Divides the descriptors of the settings.
    pub(crate) fn set_limits(&self, settings: &Settings) {
        let sides = connection_limit(settings);
        self.callers.set_limit(sides);
        let unreserved = settings.max_fds.saturating_sub(RESERVED_FDS) as usize;
        self.peers.set_limit(unreserved - 2 * sides);
    }

    /// Closes the connection that holds most for longest, of callers or of other gateways; returns it and its listener.
    pub(crate) fn close_largest(&self) -> Option<(&Rc<Listener>, ClosedConnection)> {
        let listeners = [&self.callers, &self.peers].into_iter();
        let weighed = listeners.filter_map(|listener| Some((listener.largest_weight()?, listener)));
        let (_, listener) = weighed.max_by_key(|(weight, _)| *weight)?;
        Some((listener, listener.close_largest()?))
    }

    /// Returns all listeners.
    pub(crate) fn all(&self) -> [&Rc<Listener>; 4] {
        [&self.callers, &self.peers, &self.ready, &self.metrics]
    }
}

/// Returns how many connections of callers may be open, and as many to servers and other gateways.
pub(crate) fn connection_limit(settings: &Settings) -> usize {
    (settings.max_fds.saturating_sub(RESERVED_FDS) * SIDE_PERCENT / 100) as usize
}
