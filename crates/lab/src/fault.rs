//! Faults that can be injected into a modelled upstream server.

use base::IndexVersion;
use base::ShardMap;
use serde::Deserialize;
use serde::Serialize;

/// A fault, or another change of a server's behaviour; as JSON, `{ "fault": "slow", "factor": 10 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Randomly chosen requests take a multiple of their service time.
    Straggle {
        /// Probability for each request.
        chance: f64,
        /// Multiple of the service time.
        factor: f64,
    },
    /// Every request takes a multiple of its service time until the fault is cleared.
    Slow {
        /// Multiple of the service time.
        factor: f64,
    },
    /// Randomly chosen requests are rejected to shed load.
    Shed {
        /// Probability for each request.
        chance: f64,
    },
    /// The server drains: its replies carry the draining state, and after a grace period it rejects new requests.
    Drain,
    /// The server restarts with cold caches; requests in progress are lost.
    Restart,
    /// The server stops: it refuses connections, and requests in progress are lost.
    Stop,
    /// The server starts to serve its shards of a map, in all versions of the map.
    Hold {
        /// The map.
        map: ShardMap,
    },
    /// The server stops serving a version.
    Retire {
        /// The version.
        version: IndexVersion,
    },
    /// Every fault is cleared; a stopped or draining server is in service again.
    Clear,
}

/// The active faults of a server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// Probability and factor of random slow requests.
    pub straggle: (f64, f64),
    /// Factor on every service time; values below 1 have no effect.
    pub slow_factor: f64,
    /// Probability that a request is shed.
    pub shed_chance: f64,
    /// Whether the server is stopped and refuses connections.
    pub stopped: bool,
}
