//! Peers and relays: which gateways exist, and the changes that a relay reads from the store and passes to its peers.
//!
//! Every call to the store has a cost, and a watch costs one call for each gateway and change. Each zone is therefore
//! divided into groups, in which the first responsive gateway is the relay: it watches the store, and the others poll
//! it. A gateway whose relay is unresponsive, has lost the store or can't supply the changes calls the store itself at
//! once, so that the loss of a relay costs calls but no time. See docs/decisions/0006-relays.md.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::ZoneName;
use base::escape_field;
use base::unescape_field;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ObjectKind;
use crate::StoreEra;
use crate::StoreVersion;
use crate::holders::MIN_ZONE_SIZE;
use crate::pacing::StoreRole;

/// Size of the changes that a relay keeps for peers that lag behind; a peer that lags further needs a full list.
const MAX_LOG_BYTES: usize = 512 << 10;

/// Number of changes that a relay keeps.
const MAX_LOG_ENTRIES: usize = 64;

/// Most gateways that share a relay, the relay included.
const MAX_GROUP_SIZE: usize = 64;

/// Gateways at the start of each group that look for a lost store on behalf of the others.
const RELAY_CANDIDATES: usize = 3;

/// Time for which an unresponsive relay is skipped.
const UNRESPONSIVE_SKIP: Duration = Duration::from_secs(4);

/// Time for which a relay is skipped that has lost the store, or that polls another relay itself.
const DISCONNECTED_SKIP: Duration = Duration::from_secs(1);

/// A gateway, as registered in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name of its VM.
    pub node: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which it serves other gateways.
    pub addr: SocketAddr,
    /// Its processor time as a fraction of a core, or zero if it doesn't say.
    pub cores: f64,
}

impl Peer {
    /// Returns whether an entry was written by the same gateway at the same place.
    pub(crate) fn is_same(&self, other: &Peer) -> bool {
        self.node == other.node && self.zone == other.zone && self.addr == other.addr
    }
}

/// The registered gateways, and which of them are skipped as relays.
#[derive(Debug, Default)]
pub struct Peers {
    /// Gateways in the order of their names.
    known: Vec<Peer>,
    has_large_zone: bool,
    /// End of the time for which a gateway is skipped as a relay.
    skipped: HashMap<NodeId, Instant>,
}

impl Peers {
    /// Replaces the known gateways by a complete list.
    pub fn set(&mut self, mut known: Vec<Peer>) {
        known.sort_by(|one, other| one.node.cmp(&other.node));
        let mut sizes: HashMap<&ZoneName, usize> = HashMap::new();
        for peer in &known {
            *sizes.entry(&peer.zone).or_default() += 1;
        }
        self.has_large_zone = sizes.values().any(|size| *size >= MIN_ZONE_SIZE);
        self.known = known;
    }

    /// Returns the number of gateways in the zones for which `is_counted` returns true.
    pub fn count(&self, mut is_counted: impl FnMut(&ZoneName) -> bool) -> usize {
        self.known
            .iter()
            .filter(|peer| is_counted(&peer.zone))
            .count()
    }

    /// Encodes the gateways, one a line, for a gateway that can't list them in the store.
    pub fn encode(&self) -> String {
        let encode_line = |peer: &Peer| {
            let (node, zone) = (escape_field(&peer.node), escape_field(&peer.zone));
            format!("{node} {zone} {} {}\n", peer.addr, peer.cores)
        };
        self.known.iter().map(encode_line).collect()
    }

    /// Decodes the output of [`Peers::encode`], and skips malformed lines.
    pub fn decode(text: &str) -> Vec<Peer> {
        let decode_line = |line: &str| {
            let mut fields = line.split(' ');
            Some(Peer {
                node: unescape_field(fields.next()?)?,
                zone: unescape_field(fields.next()?)?,
                addr: fields.next()?.parse().ok()?,
                // Older gateways don't write this field.
                cores: fields
                    .next()
                    .and_then(|cores| cores.parse().ok())
                    .filter(|cores: &f64| cores.is_finite() && *cores >= 0.0)
                    .unwrap_or(0.0),
            })
        };
        text.lines().filter_map(decode_line).collect()
    }

    /// Returns the gateways of a zone, in the order of their names.
    pub(crate) fn in_zone(&self, zone: &ZoneName) -> impl Iterator<Item = &Peer> {
        self.known.iter().filter(move |peer| peer.zone == *zone)
    }

    /// Returns all gateways, in the order of their names.
    pub(crate) fn known(&self) -> &[Peer] {
        &self.known
    }

    /// Returns whether some zone is large enough for holders.
    pub(crate) fn has_large_zone(&self) -> bool {
        self.has_large_zone
    }

    /// Returns whether no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the relay that `node` must poll, or `None` if it must call the store itself.
    pub fn find_relay(&self, node: &NodeId, zone: &ZoneName, now: Instant) -> Option<Peer> {
        let is_skipped = |peer: &Peer| {
            self.skipped
                .get(&peer.node)
                .is_some_and(|until| now < *until)
        };
        let group = self.find_group(node, zone);
        let first = group
            .into_iter()
            .find(|peer| peer.node == *node || !is_skipped(peer))?;
        (first.node != *node).then(|| first.clone())
    }

    /// Returns the gateways that share a relay with `node`, in the order in which they become the relay.
    ///
    /// A large zone is divided into groups of similar size, since a relay sends each change to all gateways of its
    /// group, and a full snapshot to each one that starts. The gateways with the most processor time come first.
    fn find_group(&self, node: &NodeId, zone: &ZoneName) -> Vec<&Peer> {
        let mut in_zone = self.known.iter().filter(|peer| peer.zone == *zone);
        let size = in_zone.clone().count();
        let groups = size.div_ceil(MAX_GROUP_SIZE).max(1);
        // A gateway that isn't registered yet joins the first group.
        let position = in_zone.position(|peer| peer.node == *node).unwrap_or(0);
        let group = position * groups / size.max(1);
        let is_in_group = |position: usize| position * groups / size == group;
        let mut peers: Vec<&Peer> = self
            .in_zone(zone)
            .enumerate()
            .filter(|(position, _)| is_in_group(*position))
            .map(|(_, peer)| peer)
            .collect();
        // The sort is stable, so that gateways of the same size stay in the order of their names.
        peers.sort_by(|one, other| other.cores.total_cmp(&one.cores));
        peers
    }

    /// Returns one of the gateways that look for a lost store on behalf of `node`; `turn` counts the questions.
    pub fn find_candidate(&self, node: &NodeId, zone: &ZoneName, turn: usize) -> Option<Peer> {
        let group = self.find_group(node, zone);
        let candidates = &group[..group.len().min(RELAY_CANDIDATES)];
        let chosen = candidates.get(turn % candidates.len().max(1))?;
        (chosen.node != *node).then(|| (*chosen).clone())
    }

    /// Returns what `node` does while the store fails.
    pub fn store_role(&self, node: &NodeId, zone: &ZoneName) -> StoreRole {
        let group = self.find_group(node, zone);
        let position = group.iter().position(|peer| peer.node == *node);
        match position {
            Some(position) if position >= RELAY_CANDIDATES => StoreRole::Follower,
            // A gateway that isn't registered yet may be the only one.
            Some(_) | None => StoreRole::Relay,
        }
    }

    /// Skips a relay for a time that depends on the result of the failed poll.
    pub fn skip_relay(&mut self, node: &NodeId, result: &PollResult, now: Instant) {
        let time = match result {
            PollResult::Unresponsive => UNRESPONSIVE_SKIP,
            _ => DISCONNECTED_SKIP,
        };
        self.skipped.insert(node.clone(), now + time);
    }
}

/// Result of a peer's poll of a relay for the changes after a store version.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResult {
    /// Changes after that version, in the format of the store, and the era in which they were read.
    Changes(StoreEra, Bytes),
    /// All objects, because the relay no longer has the changes after that version, the store was restored, or the peer
    /// has just started.
    Snapshot(StoreEra, Snapshot),
    /// There are no changes after that version.
    UpToDate,
    /// The relay has just started, or has just turned to the store, and has no reply yet.
    Starting,
    /// The relay has lost the store, polls another relay itself, lacks the changes, or knows an earlier era only.
    Disconnected,
    /// The call to the relay failed or timed out.
    Unresponsive,
}

/// All objects of one kind, as the relay read them from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Pages of a list call.
    pub pages: Vec<Bytes>,
    /// Changes since that list.
    pub changes: Vec<Bytes>,
}

impl Snapshot {
    /// Encodes the snapshot: the number of pages, the number of changes, then each part with its length before it.
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

    /// Decodes the output of [`Snapshot::encode`], or returns `None` if it is truncated.
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
    /// Store version that the changes reach.
    version: StoreVersion,
    body: Bytes,
}

/// The latest changes to one kind of object that a gateway read from the store.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Pages of the list at the base version; empty once later changes were dropped.
    pages: Vec<Bytes>,
    entries: VecDeque<Entry>,
    /// Size of all entries.
    bytes: usize,
    /// Version after which the entries hold every change.
    base: Option<StoreVersion>,
    contact: Contact,
}

/// Whether a gateway reads from the store itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Contact {
    /// It polls a relay, or has lost the store.
    #[default]
    None,
    /// It has begun to call the store and has no reply yet.
    Waiting,
    /// The latest call succeeded.
    Connected,
}

impl ChangeLog {
    /// Replaces the log by a full list from the store.
    pub fn reset(&mut self, version: StoreVersion, pages: Vec<Bytes>) {
        self.pages = pages;
        self.entries.clear();
        self.bytes = 0;
        self.base = Some(version);
        self.contact = Contact::Connected;
    }

    /// Clears the log at a version that was read through a relay, so that this gateway doesn't serve as a relay itself.
    pub fn reset_relayed(&mut self, version: StoreVersion) {
        self.reset(version, Vec::new());
        self.contact = Contact::None;
    }

    /// Records that the store is lost, until the next successful call.
    pub fn mark_disconnected(&mut self) {
        self.contact = Contact::None;
    }

    /// Records that this gateway calls the store after it polled a relay. Its followers wait for the result, instead of
    /// calling the store too.
    pub fn mark_waiting(&mut self) {
        self.contact = Contact::Waiting;
    }

    /// Returns whether the latest call to the store succeeded.
    pub fn is_connected(&self) -> bool {
        self.contact == Contact::Connected
    }

    /// Appends the reply to a watch call, which reaches a version. A reply without changes only shows that the store is
    /// connected.
    pub fn append(&mut self, version: StoreVersion, body: Option<Bytes>) {
        self.contact = Contact::Connected;
        let Some(body) = body else {
            return;
        };
        self.bytes += body.len();
        self.entries.push_back(Entry { version, body });
        while self.entries.len() > MAX_LOG_ENTRIES || self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.body.len();
            self.base = Some(oldest.version);
            self.pages = Vec::new();
        }
    }

    /// Returns the changes after a version, or a snapshot for a peer that gives none.
    ///
    /// The changes may begin before that version, since applying them again in order has no effect.
    pub fn read_since(&self, since: Option<StoreVersion>) -> PollResult {
        let Some(base) = self.base else {
            return PollResult::Starting;
        };
        match self.contact {
            Contact::None => return PollResult::Disconnected,
            Contact::Waiting => return PollResult::Starting,
            Contact::Connected => {}
        }
        if since.is_some_and(|since| since.era > base.era) {
            return PollResult::Disconnected;
        }
        let Some(since) = since.filter(|since| *since >= base) else {
            return self.build_snapshot(base.era);
        };
        match self.entries.iter().find(|entry| entry.version > since) {
            Some(entry) => PollResult::Changes(base.era, entry.body.clone()),
            None => PollResult::UpToDate,
        }
    }

    /// Returns all objects, or [`PollResult::Disconnected`] once the pages of the list were dropped.
    fn build_snapshot(&self, era: StoreEra) -> PollResult {
        if self.pages.is_empty() {
            return PollResult::Disconnected;
        }
        let changes = self.entries.iter().map(|entry| entry.body.clone());
        let snapshot = Snapshot {
            pages: self.pages.clone(),
            changes: changes.collect(),
        };
        PollResult::Snapshot(era, snapshot)
    }

    /// Returns the era of the store that the log belongs to.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.base.map(|base| base.era)
    }
}

/// Change logs of the kinds of objects that relays serve.
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
