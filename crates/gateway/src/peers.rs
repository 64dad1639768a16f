//! Other gateways: which there are, and passing on what one of them reads from the store.
//!
//! Every call to the store has its price, and a waiting watch is one call for each gateway and change. In each zone the
//! gateways therefore follow the first of their group that answers, and only that one follows the store. A gateway whose relay
//! is silent, unsure or too far behind asks the store itself at once, so that a lost relay costs calls but no time. See
//! docs/decisions/0006-relays.md.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::ZoneName;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ObjectKind;
use crate::StoreVersion;

/// Bytes of changes that a relay keeps for peers that are behind; one that is further behind lists the store.
const MAX_LOG_BYTES: usize = 512 << 10;

/// Changes that a relay keeps.
const MAX_LOG: usize = 64;

/// Most gateways of a zone that follow the store through the same one, itself included.
const GROUP: usize = 24;

/// Time for which a relay that did not answer is passed over.
const SILENT_PASS: Duration = Duration::from_secs(4);

/// Time for which a relay that lost the store, or that follows another one itself, is passed over.
const UNSURE_PASS: Duration = Duration::from_secs(1);

/// Another gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name of its VM.
    pub node: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which it answers other gateways.
    pub addr: SocketAddr,
}

/// The gateways that registered, and which of them did not answer.
#[derive(Debug, Default)]
pub struct Peers {
    known: Vec<Peer>,
    passed: HashMap<NodeId, Instant>,
}

impl Peers {
    /// Replaces what is known by a complete list.
    pub fn set(&mut self, mut known: Vec<Peer>) {
        known.sort_by(|one, other| one.node.cmp(&other.node));
        self.known = known;
    }

    /// Returns the number of gateways in the given zones.
    pub fn count(&self, mut is_counted: impl FnMut(&ZoneName) -> bool) -> usize {
        self.known
            .iter()
            .filter(|peer| is_counted(&peer.zone))
            .count()
    }

    /// Writes the gateways for one that can't list them in the store, one a line.
    pub fn encode(&self) -> String {
        self.known
            .iter()
            .map(|peer| format!("{} {} {}\n", peer.node, peer.zone, peer.addr))
            .collect()
    }

    /// Reads what [`Peers::encode`] wrote; lines that aren't of that form are left out.
    pub fn decode(text: &str) -> Vec<Peer> {
        let read_line = |line: &str| {
            let mut words = line.split(' ');
            Some(Peer {
                node: words.next()?.into(),
                zone: words.next()?.into(),
                addr: words.next()?.parse().ok()?,
            })
        };
        text.lines().filter_map(read_line).collect()
    }

    /// Tells whether no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the gateway of the zone to follow, or `None` if this node is to ask the store itself.
    pub fn find_relay(&self, node: &NodeId, zone: &ZoneName, now: Instant) -> Option<Peer> {
        let is_passed = |peer: &Peer| {
            self.passed
                .get(&peer.node)
                .is_some_and(|until| now < *until)
        };
        let group = self.find_group(node, zone);
        let first = group
            .into_iter()
            .find(|peer| peer.node == *node || !is_passed(peer))?;
        (first.node != *node).then(|| first.clone())
    }

    /// Returns the gateways of a zone that follow the same one as `node`, in the order in which they are followed.
    ///
    /// A large zone is cut into groups of like size, since a relay sends each change to all that follow it, and everything
    /// to each that starts.
    fn find_group(&self, node: &NodeId, zone: &ZoneName) -> Vec<&Peer> {
        let mut own = self.known.iter().filter(|peer| peer.zone == *zone);
        let size = own.clone().count();
        let groups = size.div_ceil(GROUP).max(1);
        // A gateway that isn't registered yet follows the first group.
        let at = own.position(|peer| peer.node == *node).unwrap_or(0);
        let group = at * groups / size.max(1);
        let is_own = |at: usize| at * groups / size == group;
        self.known
            .iter()
            .filter(|peer| peer.zone == *zone)
            .enumerate()
            .filter(|(at, _)| is_own(*at))
            .map(|(_, peer)| peer)
            .collect()
    }

    /// Passes over a gateway that did not answer or has lost the store itself.
    pub fn skip_relay(&mut self, node: &NodeId, answer: &PollResult, now: Instant) {
        let time = match answer {
            PollResult::Unresponsive => SILENT_PASS,
            _ => UNSURE_PASS,
        };
        self.passed.insert(node.clone(), now + time);
    }
}

/// What a relay can tell a peer that knows the store up to a version.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResult {
    /// The changes after that version, in the format of the store.
    Changes(Bytes),
    /// Everything, because the changes after that version are no longer kept or the peer has just started.
    Snapshot(Snapshot),
    /// There are no changes.
    UpToDate,
    /// The relay has just started and knows nothing yet.
    Starting,
    /// The relay's own last call to the store failed, or it can't help.
    Disconnected,
    /// The relay did not answer.
    Unresponsive,
}

/// All objects of one kind, as the relay read them from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Pages of a list.
    pub pages: Vec<Bytes>,
    /// Changes since that list.
    pub changes: Vec<Bytes>,
}

impl Snapshot {
    /// Writes the snapshot for a peer: both numbers of parts, then each part after its length.
    pub fn encode(&self) -> Bytes {
        let parts = self.pages.iter().chain(&self.changes);
        let mut encoded = BytesMut::new();
        encoded.put_u32(self.pages.len() as u32);
        encoded.put_u32(self.changes.len() as u32);
        for part in parts {
            encoded.put_u32(part.len() as u32);
            encoded.extend_from_slice(part);
        }
        encoded.freeze()
    }

    /// Reads what [`Snapshot::encode`] wrote, or returns `None` if it was cut short.
    pub fn decode(mut encoded: Bytes) -> Option<Snapshot> {
        let pages = encoded.try_get_u32().ok()?;
        let changes = encoded.try_get_u32().ok()?;
        let mut read_part = || {
            let length = encoded.try_get_u32().ok()? as usize;
            (length <= encoded.len()).then(|| encoded.split_to(length))
        };
        let mut snapshot = Snapshot::default();
        for _ in 0..pages {
            snapshot.pages.push(read_part()?);
        }
        for _ in 0..changes {
            snapshot.changes.push(read_part()?);
        }
        Some(snapshot)
    }
}

#[derive(Debug)]
struct Entry {
    to: StoreVersion,
    body: Bytes,
}

/// The latest changes of one kind that a gateway read from the store.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Pages of the list at the base version; none once later changes were dropped.
    pages: Vec<Bytes>,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Version after which no change is missing from the entries.
    base: Option<StoreVersion>,
    in_contact: bool,
}

impl ChangeLog {
    /// Starts anew with a list of the store.
    pub fn reset(&mut self, version: StoreVersion, pages: Vec<Bytes>) {
        self.pages = pages;
        self.entries.clear();
        self.bytes = 0;
        self.base = Some(version);
        self.in_contact = true;
    }

    /// Starts anew at a version that was learned from another gateway, without own contact to the store.
    pub fn reset_relayed(&mut self, version: StoreVersion) {
        self.reset(version, Vec::new());
        self.in_contact = false;
    }

    /// Takes in that a call to the store failed.
    pub fn mark_disconnected(&mut self) {
        self.in_contact = false;
    }

    /// Adds the answer to a watch that ends at a version; an answer without changes only shows contact.
    pub fn append(&mut self, to: StoreVersion, body: Option<Bytes>) {
        self.in_contact = true;
        let Some(body) = body else {
            return;
        };
        self.bytes += body.len();
        self.entries.push_back(Entry { to, body });
        while self.entries.len() > MAX_LOG || self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.body.len();
            self.base = Some(oldest.to);
            self.pages = Vec::new();
        }
    }

    /// Returns what a peer that knows the store up to a version, or not at all, lacks.
    ///
    /// An answer may begin before that version: changes that are applied twice in their order do no harm.
    pub fn read_since(&self, since: Option<StoreVersion>) -> PollResult {
        let Some(base) = self.base else {
            return PollResult::Starting;
        };
        if !self.in_contact {
            return PollResult::Disconnected;
        }
        let Some(since) = since.filter(|since| *since >= base) else {
            return self.snapshot();
        };
        match self.entries.iter().find(|entry| entry.to > since) {
            Some(entry) => PollResult::Changes(entry.body.clone()),
            None => PollResult::UpToDate,
        }
    }

    fn snapshot(&self) -> PollResult {
        if self.pages.is_empty() {
            return PollResult::Disconnected;
        }
        PollResult::Snapshot(Snapshot {
            pages: self.pages.clone(),
            changes: self
                .entries
                .iter()
                .map(|entry| entry.body.clone())
                .collect(),
        })
    }
}

/// The logs of both kinds that are passed on.
#[derive(Debug, Default)]
pub(crate) struct ChangeLogs {
    configuration: ChangeLog,
    servers: ChangeLog,
}

impl ChangeLogs {
    pub(crate) fn get_mut(&mut self, kind: ObjectKind) -> Option<&mut ChangeLog> {
        match kind {
            ObjectKind::Configuration => Some(&mut self.configuration),
            ObjectKind::Servers => Some(&mut self.servers),
            ObjectKind::Peers => None,
        }
    }
}
