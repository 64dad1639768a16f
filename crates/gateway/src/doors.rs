//! The addresses of the process, and how its descriptors are divided among them.

use std::rc::Rc;

use limit::MemoryUse;

use crate::Settings;
use crate::door::ClosedConnection;
use crate::door::Door;
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

/// The doors of a process.
#[derive(Debug)]
pub(crate) struct Doors {
    pub(crate) callers: Rc<Door>,
    /// Both addresses for other gateways.
    pub(crate) peers: Rc<Door>,
    pub(crate) ready: Rc<Door>,
    pub(crate) metrics: Rc<Door>,
}

impl Doors {
    pub(crate) fn new(memory: &Rc<Memory>, settings: &Settings) -> Doors {
        let doors = Doors {
            callers: Door::new("front", MemoryUse::Caller, memory),
            peers: Door::new("peer", MemoryUse::Upstream, memory),
            ready: Door::new("ready", MemoryUse::Upstream, memory),
            metrics: Door::new("metrics", MemoryUse::Upstream, memory),
        };
        doors.ready.set_limit(READY_CONNECTIONS);
        doors.metrics.set_limit(METRICS_CONNECTIONS);
        doors.set_limits(settings);
        doors
    }

    /// Divides the descriptors of the settings.
    pub(crate) fn set_limits(&self, settings: &Settings) {
        let sides = connection_limit(settings);
        self.callers.set_limit(sides);
        let unreserved = settings.max_fds.saturating_sub(RESERVED_FDS) as usize;
        self.peers.set_limit(unreserved - 2 * sides);
    }

    /// Closes the connection that holds most for longest, of callers or of other gateways; returns it and its door.
    pub(crate) fn close_largest(&self) -> Option<(&Rc<Door>, ClosedConnection)> {
        let doors = [&self.callers, &self.peers].into_iter();
        let weighed = doors.filter_map(|door| Some((door.largest_weight()?, door)));
        let (_, door) = weighed.max_by_key(|(weight, _)| *weight)?;
        Some((door, door.close_largest()?))
    }

    /// Returns all doors.
    pub(crate) fn all(&self) -> [&Rc<Door>; 4] {
        [&self.callers, &self.peers, &self.ready, &self.metrics]
    }
}

/// Returns how many connections of callers may be open, and as many to servers and other gateways.
pub(crate) fn connection_limit(settings: &Settings) -> usize {
    (settings.max_fds.saturating_sub(RESERVED_FDS) * SIDE_PERCENT / 100) as usize
}
