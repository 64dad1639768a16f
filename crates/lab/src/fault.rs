//! Faults that can be switched on in a modelled server.

use base::IndexVersion;
use base::ShardMap;
use serde::Deserialize;
use serde::Serialize;

/// A change of a server's behaviour; as JSON, `{ "fault": "slow", "factor": 10 }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Some replies, chosen at random, take a multiple of their time.
    Straggle {
        /// Probability for each request.
        chance: f64,
        /// Multiple of the service time.
        factor: f64,
    },
    /// Every reply takes a multiple of its time until the fault is cleared.
    Slow {
        /// Multiple of the service time.
        factor: f64,
    },
    /// Some requests, chosen at random, are shed.
    Shed {
        /// Probability for each request.
        chance: f64,
    },
    /// The server is going to stop: its replies say so, and after a grace it sheds new work.
    Drain,
    /// The server starts again with cold caches; work in progress is lost.
    Restart,
    /// The server is gone: it refuses connections, and work in progress is lost.
    Stop,
    /// The server starts to hold its shards of a map, with the versions of the map.
    Hold {
        /// The map.
        map: ShardMap,
    },
    /// The server stops holding a version.
    Retire {
        /// The version.
        version: IndexVersion,
    },
    /// Every fault is switched off; a stopped or draining server is in service again.
    Clear,
}

/// The faults that are switched on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// Chance and factor of random slow replies.
    pub straggle: (f64, f64),
    /// Factor of a server that stays slow; values below 1 mean none.
    pub slow: f64,
    /// Chance that a request is shed.
    pub shed: f64,
    /// Whether connections are refused.
    pub stopped: bool,
}
