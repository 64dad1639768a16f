//! Records of entry VMs and the rule by which they merge.

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

/// Pulse keys have 24 bits; two of 98 VMs share a key with a probability of 0.03%, until either restarts.
const PULSE_MASK: u32 = 0x00ff_ffff;

/// State of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// Its heartbeats arrive.
    Live,
    /// Its heartbeats have stopped, by this node's own count; never spread to others.
    Suspect,
    /// It is going to stop and takes no more roles.
    Leaving,
    /// A VM of its zone has declared it dead.
    Dead,
}

/// What VMs tell each other about one entry VM.
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
    /// Raised by the VM itself when it starts, resumes, or hears that it is dead; zero when only the list names it.
    pub incarnation: u64,
    /// Heartbeat counter.
    pub counter: u64,
    /// State; never `Suspect`.
    pub state: NodeState,
    /// Configuration revision in force on the VM.
    pub revision: Revision,
}

/// How much a merge has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing.
    None,
    /// Only the counter or the revision, which every heartbeat carries anyway.
    Counter,
    /// The incarnation or the state, which has to be spread.
    State,
}

impl Record {
    /// Merges another record of the same VM.
    ///
    /// A higher incarnation replaces the record. Within one incarnation each field only rises. The result does not
    /// depend on the order of merges or on repetition.
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

    /// Key of the VM in pulses; it changes with the incarnation, so that an old counter is never applied to a new one.
    pub(crate) fn pulse_key(&self) -> u32 {
        hash_key(&format_compact!("{}#{}", self.id, self.incarnation)) as u32 & PULSE_MASK
    }

    /// Writes the record as a message that names zone and region, as the sender of a heartbeat does.
    pub fn to_message(&self) -> NodeRecord {
        self.to_wire("", "")
    }

    /// Reads a record from a message whose sender is in the given zone and region.
    pub(crate) fn from_wire(wire: &NodeRecord, zone: &str, region: &str) -> Option<Record> {
        if wire.id.is_empty() {
            return None;
        }
        let or = |text: &str, other: &str| if text.is_empty() { other } else { text }.into();
        Some(Record {
            id: wire.id.as_str().into(),
            zone: or(&wire.zone, zone),
            region: or(&wire.region, region),
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

    /// Writes a record for a message whose sender is in the given zone and region.
    pub(crate) fn to_wire(&self, zone: &str, region: &str) -> NodeRecord {
        let unless = |text: &str, other: &str| {
            if text == other {
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
            zone: unless(&self.zone, zone),
            region: unless(&self.region, region),
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
    /// What VMs tell each other about it.
    pub record: Record,
    /// Its counter has stopped; known only for VMs of the own zone.
    pub(crate) silent: bool,
    /// Key in pulses, kept because it is read for each VM in each heartbeat.
    pub(crate) pulse: u32,
    /// Moment when its counter last rose here.
    pub(crate) advanced: Instant,
    /// Moment when the platform's list last named it.
    pub(crate) listed: Option<Instant>,
}

impl Node {
    pub(crate) fn new(record: Record, now: Instant) -> Node {
        Node {
            pulse: record.pulse_key(),
            record,
            silent: false,
            advanced: now,
            listed: None,
        }
    }

    /// Returns the state, in which a silent VM counts as suspect.
    pub fn state(&self) -> NodeState {
        if self.silent && self.record.state == NodeState::Live {
            NodeState::Suspect
        } else {
            self.record.state
        }
    }

    /// Returns whether any message from or about the VM has arrived, other than the platform's list.
    pub fn was_heard(&self) -> bool {
        self.record.incarnation > 0
    }
}
