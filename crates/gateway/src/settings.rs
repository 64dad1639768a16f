//! Settings of a gateway process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::NodeId;
use base::RegionName;
use base::ZoneName;
use limit::RepeatRule;

/// Settings of one gateway process; docs/settings.md lists where each comes from.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the VM, under which it also registers with the other gateways.
    pub node: NodeId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneName, RegionName>,
    /// Address on which callers are served.
    pub front: SocketAddr,
    /// Address on which the load balancer's readiness checks are served.
    pub ready: SocketAddr,
    /// Address on which other gateways are served.
    pub peer: SocketAddr,
    /// Second address on which other gateways are served, the one that their `seeds` name, if any.
    pub control: Option<SocketAddr>,
    /// Control addresses of a few other gateways, some of which may be gone. They are asked for the list of gateways if
    /// the store can't be read at the start.
    pub seeds: Vec<SocketAddr>,
    /// Address on which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a new configuration must be in force.
    pub apply_time: Duration,
    /// Bytes of memory at which the process is killed.
    pub memory_bytes: u64,
    /// Processor time of the VM, as a fraction of a core.
    pub cores: f64,
    /// File descriptors that sockets may use.
    pub max_fds: u32,
    /// Limit on repeated attempts over all VMs.
    pub repeats: RepeatRule,
}
