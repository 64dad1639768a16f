//! Records of entry VMs and how they merge.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Instant;

use base::NodeId;
use base::RegionName;
use base::Revision;
use base::ZoneName;
use base::hash_key;
use compact_str::format_compact;
use wire::NodeRecord;

/// Pulse keys have 24 bits. Among 98 VMs, two share a key with a probability of 0.03%, until one of them restarts.
const PULSE_KEY_MASK: u32 = 0x00ff_ffff;

/// State of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// Its heartbeat counter rises.
    Live,
    /// Its heartbeat counter has stopped rising here; this state is local and never sent to others.
    Suspect,
    /// It is shutting down and gets no roles.
    Leaving,
    /// A VM of its zone has declared it dead.
    Dead,
}

/// Gossiped state of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Identifier of the VM.
    pub id: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Address that peers connect to.
    pub addr: SocketAddr,
    /// Raised by the VM itself when it starts, resumes after a pause, or refutes its death; zero while the VM is known
    /// only from the platform's list.
    pub incarnation: u64,
    /// Heartbeat counter.
    pub counter: u64,
    /// State; never `Suspect`.
    pub state: NodeState,
    /// Configuration revision in force on the VM.
    pub revision: Revision,
}

/// Effect of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing.
    None,
    /// Only the counter or the revision, which the pulses of every heartbeat carry.
    Counter,
    /// The incarnation or the state, which has to be gossiped.
    State,
}

impl Record {
    /// Merges another record of the same VM.
    ///
    /// A higher incarnation replaces the record. Within one incarnation, state, counter and revision only rise. Merging
    /// is commutative and idempotent.
    pub fn merge(&mut self, other: &Record) -> Change {
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return Change::State;
        }
        if other.incarnation < self.incarnation {
            return Change::None;
        }
        let before = (self.state, self.counter, self.revision);
        self.state = self.state.max(other.state);
        self.counter = self.counter.max(other.counter);
        self.revision = self.revision.max(other.revision);
        if self.state != before.0 {
            Change::State
        } else if (self.counter, self.revision) != (before.1, before.2) {
            Change::Counter
        } else {
            Change::None
        }
    }

    /// Computes the key of the VM in pulses.
    ///
    /// It depends on the incarnation, so that the counter of an old incarnation is never applied to a new one.
    pub(crate) fn pulse_key(&self) -> u32 {
        hash_key(&format_compact!("{}#{}", self.id, self.incarnation)) as u32 & PULSE_KEY_MASK
    }

    /// Converts the record to a message with zone and region, as required for the sender of a heartbeat.
    pub fn to_message(&self) -> NodeRecord {
        self.to_wire("", "")
    }

    /// Converts a message to a record; the given zone and region of its sender replace empty ones.
    ///
    /// Returns `None` if the identifier or the address is invalid.
    pub(crate) fn from_wire(wire: &NodeRecord, zone: &str, region: &str) -> Option<Record> {
        if wire.id.is_empty() {
            return None;
        }
        let or_default =
            |text: &str, default: &str| if text.is_empty() { default } else { text }.into();
        Some(Record {
            id: wire.id.as_str().into(),
            zone: or_default(&wire.zone, zone),
            region: or_default(&wire.region, region),
            addr: parse_addr(&wire.addr)?,
            incarnation: wire.incarnation,
            counter: wire.counter,
            state: match wire.state() {
                wire::NodeState::Live => NodeState::Live,
                wire::NodeState::Leaving => NodeState::Leaving,
                wire::NodeState::Dead => NodeState::Dead,
            },
            revision: wire.revision,
        })
    }

    /// Converts the record to a message; zone and region are left out when they equal those of the sender.
    pub(crate) fn to_wire(&self, zone: &str, region: &str) -> NodeRecord {
        let omit_default = |text: &str, default: &str| {
            if text == default {
                String::new()
            } else {
                text.to_string()
            }
        };
        let state = match self.state {
            NodeState::Live | NodeState::Suspect => wire::NodeState::Live,
            NodeState::Leaving => wire::NodeState::Leaving,
            NodeState::Dead => wire::NodeState::Dead,
        };
        NodeRecord {
            id: self.id.to_string(),
            zone: omit_default(&self.zone, zone),
            region: omit_default(&self.region, region),
            addr: format_addr(self.addr).into(),
            incarnation: self.incarnation,
            counter: self.counter,
            state: state.into(),
            revision: self.revision,
        }
    }
}

fn format_addr(addr: SocketAddr) -> Vec<u8> {
    let mut bytes = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(addr.port().to_be_bytes());
    bytes
}

fn parse_addr(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip: IpAddr = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok()?.into(),
        16 => <[u8; 16]>::try_from(ip).ok()?.into(),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

/// An entry VM as seen by this node.
#[derive(Debug, Clone)]
pub struct Node {
    /// Gossiped state.
    pub record: Record,
    /// Whether its counter has stopped rising; maintained only for VMs of the own zone.
    pub(crate) silent: bool,
    /// Key in pulses, cached because every heartbeat needs the keys of all VMs of the zone.
    pub(crate) pulse_key: u32,
    /// Time at which its counter last rose here.
    pub(crate) last_advance: Instant,
    /// Time at which the platform's list last contained it.
    pub(crate) last_listed: Option<Instant>,
}

impl Node {
    pub(crate) fn new(record: Record, now: Instant) -> Node {
        Node {
            pulse_key: record.pulse_key(),
            record,
            silent: false,
            last_advance: now,
            last_listed: None,
        }
    }

    /// Returns the state; a live VM that is silent counts as suspect.
    pub fn state(&self) -> NodeState {
        if self.silent && self.record.state == NodeState::Live {
            NodeState::Suspect
        } else {
            self.record.state
        }
    }

    /// Returns whether a peer message from or about the VM has arrived; otherwise only the platform's list names it.
    pub fn was_heard(&self) -> bool {
        self.record.incarnation > 0
    }
}
