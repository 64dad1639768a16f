//! Takes what the store says into the state of the process.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;

use crate::DecodeError;
use crate::Object;
use crate::ObjectKind;
use crate::ObjectState;
use crate::ServerChange;
use crate::Snapshot;
use crate::StoreVersion;
use crate::metrics::Counter;
use crate::node::Node;
use crate::node::State;

/// Time after a failed call in which a removed entry may be one that lapsed while the store was away.
pub(crate) const AWAY_TIME: Duration = Duration::from_secs(3);

/// How often lapsed entries and idle connections are looked at.
const SWEEP_TIME: Duration = Duration::from_millis(500);

/// Removes what has ended, at a fixed interval.
/// Faults of one configuration that are logged.
const MAX_FAULTS: usize = 8;

pub(crate) async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_TIME).await;
        let now = Instant::now();
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        for (id, change) in state.directory.remove_expired(now, &mut state.limits) {
            log::info!(server = id.as_str(); "servers: did not come back");
            close_dropped(state, change);
        }
        state.pool.sweep(now);
    }
}

pub(crate) fn take_changes(
    node: &Node,
    kind: ObjectKind,
    body: &[u8],
    away: Option<Instant>,
) -> Result<StoreVersion, DecodeError> {
    let batch = node.platform.read_changes(kind, body)?;
    apply_all(node, batch.objects, away);
    Ok(batch.version)
}

pub(crate) fn take_snapshot(
    node: &Node,
    kind: ObjectKind,
    snapshot: &Snapshot,
    away: Option<Instant>,
) -> Result<StoreVersion, DecodeError> {
    let mut listing = Listing::default();
    for page in &snapshot.pages {
        listing.take(node, kind, page, away)?;
    }
    let mut version = listing.finish(node, kind, away);
    for body in &snapshot.changes {
        version = version.max(take_changes(node, kind, body, away)?);
    }
    Ok(version)
}

/// A list in pages, as far as it was read.
#[derive(Default)]
pub(crate) struct Listing {
    names: HashSet<UpstreamId>,
    version: Option<StoreVersion>,
    pub(crate) after: Option<String>,
}

impl Listing {
    /// Takes in a page; returns whether another one follows.
    pub(crate) fn take(
        &mut self,
        node: &Node,
        kind: ObjectKind,
        page: &[u8],
        away: Option<Instant>,
    ) -> Result<bool, DecodeError> {
        let batch = node.platform.read_list(kind, page)?;
        // Changes during the later pages are watched for from the first page on.
        self.version.get_or_insert(batch.version);
        self.after = batch.objects.last().map(|object| object.name.to_string());
        self.names
            .extend(batch.objects.iter().map(|object| object.name.clone()));
        apply_all(node, batch.objects, away);
        Ok(batch.more && self.after.is_some())
    }

    /// Drops the servers that are not on the list, and returns the version from which on to watch.
    pub(crate) fn finish(
        self,
        node: &Node,
        kind: ObjectKind,
        away: Option<Instant>,
    ) -> StoreVersion {
        if kind == ObjectKind::Servers {
            drop_unlisted(&mut node.state.borrow_mut(), &self.names, away);
        }
        self.version.unwrap_or_default()
    }
}

pub(crate) fn apply_all(node: &Node, objects: Vec<Object>, away: Option<Instant>) {
    let mut state = node.state.borrow_mut();
    for object in objects {
        apply(&mut state, object, away);
    }
    if state.is_loaded() {
        node.loaded.notify_waiters();
    }
}

fn apply(state: &mut State, object: Object, away: Option<Instant>) {
    match object.value {
        ObjectState::Configuration(table) => {
            let known = state.table.as_ref().map(|table| table.revision);
            if known.is_some_and(|known| known >= table.revision) {
                return;
            }
            log::info!(revision = table.revision, before:? = known, routes = table.len(); "configuration: in force");
            for fault in table.find_errors().iter().take(MAX_FAULTS) {
                log::warn!(revision = table.revision, reason = fault.as_str(); "configuration: fault");
            }
            state.set_table(*table);
        }
        ObjectState::Server(server) => {
            let id = server.id.clone();
            let draining = server.draining;
            let service = server.service.clone();
            let State {
                directory,
                settings,
                table,
                limits,
                ..
            } = state;
            let change = directory.update(server, settings, table.as_deref(), limits);
            state.has_servers |= !state.directory.is_empty();
            if change != ServerChange::Unchanged {
                log::info!(server = id.as_str(), service = service.as_str(), draining, change:? = change; "servers: changed");
            }
            close_dropped(state, change);
        }
        ObjectState::Peer(peer) => log::warn!(peer = peer.node.as_str(); "peers: unexpected entry"),
        ObjectState::Removed => remove(state, &object.name, away),
        ObjectState::Unreadable(reason) => {
            log::warn!(name = object.name.as_str(), reason = reason.as_str(); "store: object can't be used");
            remove(state, &object.name, None);
        }
    }
}

/// Removes a server, or gives it time to register again if its entry may have lapsed while the store was away.
fn remove(state: &mut State, id: &UpstreamId, away: Option<Instant>) {
    let now = Instant::now();
    if away.is_some_and(|away| now.saturating_duration_since(away) < AWAY_TIME) {
        state.directory.defer_removal(id, now);
        log::info!(server = id.as_str(); "servers: entry lapsed");
        return;
    }
    let change = state.directory.remove(id, &mut state.limits);
    if change != ServerChange::Unchanged {
        log::info!(server = id.as_str(); "servers: removed");
    }
    close_dropped(state, change);
}

fn close_dropped(state: &mut State, change: ServerChange) {
    if let ServerChange::Dropped(key) = change {
        state.metrics.count(Counter::ServerDropped);
        state.pool.remove(key);
    }
}

fn drop_unlisted(state: &mut State, listed: &HashSet<UpstreamId>, away: Option<Instant>) {
    for id in state.directory.ids() {
        if !listed.contains(&id) {
            remove(state, &id, away);
        }
    }
}
