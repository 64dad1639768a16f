//! What a process is told at its start.

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
    /// Name of the VM, for log lines.
    pub node: NodeId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneName, RegionName>,
    /// Address on which callers connect.
    pub front: SocketAddr,
    /// Address on which the balancer asks whether the process takes new connections.
    pub ready: SocketAddr,
    /// Address for other gateways.
    pub peer: SocketAddr,
    /// Second address for other gateways, which their settings name in `seeds`, if there is one.
    pub control: Option<SocketAddr>,
    /// Addresses of a few other gateways, which may be gone; asked when the store gives no answer at the start.
    pub seeds: Vec<SocketAddr>,
    /// Address on which metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a configuration is to be in force.
    pub apply_time: Duration,
    /// Bytes of memory at which the process is killed.
    pub memory_bytes: u64,
    /// Descriptors that sockets may use.
    pub max_fds: u32,
    /// Bound of repeated sub-requests over all VMs.
    pub repeats: RepeatRule,
}
