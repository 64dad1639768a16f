//! Applies objects read from the store to the state of the process.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;

use crate::Batch;
use crate::DecodeError;
use crate::Object;
use crate::ObjectKind;
use crate::ObjectState;
use crate::PageCursor;
use crate::ServerChange;
use crate::Snapshot;
use crate::StoreEra;
use crate::StoreVersion;
use crate::metrics::Counter;
use crate::node::Node;
use crate::node::State;

/// Time after a failed call in which a removed server may be one whose entry expired during the outage of the store.
pub(crate) const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// Time after the first known server within which others may appear: a list has several pages, and entries that expired
/// during an outage of the store are back within two seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2_200);

/// Interval at which expired servers and idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Most errors of one configuration that are logged.
const MAX_LOGGED_ERRORS: usize = 8;

/// Removes servers that did not register again and idle connections that timed out, at a fixed interval.
pub(crate) async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        for (id, change) in state.directory.remove_expired(now, &mut state.limits) {
            log::info!(server = id.as_str(); "servers: not registered again after a store outage; no longer used");
            close_dropped(state, change);
        }
        state.pool.remove_expired(now);
        state.holder_pool.remove_expired(now);
        state.limits.remove_old_limits(now);
    }
}

/// Applies the reply to a watch call; returns the store version that it reaches.
pub(crate) fn apply_changes(
    node: &Node,
    kind: ObjectKind,
    era: StoreEra,
    body: &[u8],
    last_failure: Option<Instant>,
) -> Result<StoreVersion, DecodeError> {
    let batch = node.platform.read_changes(kind, era, body)?;
    if hides_change(node, kind, &batch) {
        return Err(DecodeError {
            reason: "a change has no readable name".to_owned(),
        });
    }
    apply_objects(node, kind, batch.objects, last_failure);
    Ok(batch.version)
}

/// Returns whether changes may hide that of a known server, because the name of an object can't be read.
pub(crate) fn hides_change(node: &Node, kind: ObjectKind, batch: &Batch) -> bool {
    report_unnamed(node, kind, batch.unnamed);
    kind == ObjectKind::Servers && batch.unnamed > 0
}

/// Counts and logs objects without a readable name, which are left out.
pub(crate) fn report_unnamed(node: &Node, kind: ObjectKind, count: usize) {
    if count == 0 {
        return;
    }
    let mut state = node.state.borrow_mut();
    state.metrics.add(Counter::ObjectUnreadable, count as u64);
    if let Some(skipped) = state.allow_log_line("unnamed object") {
        log::warn!(kind:? = kind, count, skipped; "store: objects without a readable name; left out");
    }
}

/// Applies a relay's snapshot; returns the store version that it reaches.
pub(crate) fn apply_snapshot(
    node: &Node,
    kind: ObjectKind,
    era: StoreEra,
    snapshot: &Snapshot,
    last_failure: Option<Instant>,
) -> Result<StoreVersion, DecodeError> {
    let mut list = PagedList::default();
    for page in &snapshot.pages {
        list.apply_page(node, kind, era, page, last_failure)?;
    }
    let mut version = list.finish(node, kind, last_failure);
    for body in &snapshot.changes {
        version = version.max(apply_changes(node, kind, era, body, last_failure)?);
    }
    Ok(version)
}

/// Progress of a list call that returns its objects in pages.
#[derive(Default)]
pub(crate) struct PagedList {
    names: HashSet<UpstreamId>,
    version: Option<StoreVersion>,
    /// Where the next page begins.
    pub(crate) next: Option<PageCursor>,
}

impl PagedList {
    /// Applies a page; returns whether another one follows.
    pub(crate) fn apply_page(
        &mut self,
        node: &Node,
        kind: ObjectKind,
        era: StoreEra,
        page: &[u8],
        last_failure: Option<Instant>,
    ) -> Result<bool, DecodeError> {
        let batch = node.platform.read_list(kind, era, page)?;
        // The watch starts at the version of the first page, so that it also returns changes made during later pages.
        self.version.get_or_insert(batch.version);
        report_unnamed(node, kind, batch.unnamed);
        let more = batch.next.is_some();
        self.next = check_cursor(self.next.as_ref(), batch.next)?;
        self.names
            .extend(batch.objects.iter().map(|object| object.name.clone()));
        apply_objects(node, kind, batch.objects, last_failure);
        Ok(more)
    }

    /// Removes the servers that are not in the list; returns the version from which to watch.
    pub(crate) fn finish(
        self,
        node: &Node,
        kind: ObjectKind,
        last_failure: Option<Instant>,
    ) -> StoreVersion {
        if kind == ObjectKind::Servers {
            remove_unlisted(&mut node.state.borrow_mut(), &self.names, last_failure);
        }
        self.version.unwrap_or_default()
    }
}

/// Checks that a list goes on behind the page before; one that doesn't would never end.
pub(crate) fn check_cursor(
    before: Option<&PageCursor>,
    next: Option<PageCursor>,
) -> Result<Option<PageCursor>, DecodeError> {
    match next.is_some() && next.as_ref() == before {
        true => Err(DecodeError {
            reason: "a page ends where the one before it ended".to_owned(),
        }),
        false => Ok(next),
    }
}

pub(crate) fn apply_objects(
    node: &Node,
    kind: ObjectKind,
    objects: Vec<Object>,
    last_failure: Option<Instant>,
) {
    let mut state = node.state.borrow_mut();
    for object in objects {
        apply(&mut state, kind, object, last_failure);
    }
    if state.is_loaded() {
        node.loaded.notify_waiters();
    }
}

fn apply(state: &mut State, kind: ObjectKind, object: Object, last_failure: Option<Instant>) {
    let StoreVersion {
        era,
        revision: stored,
    } = object.version;
    match object.value {
        ObjectState::Configuration(table) => {
            let known = state.table.as_ref().map(|table| table.revision);
            if known.is_some_and(|known| known >= table.revision) {
                return;
            }
            log::info!(revision = table.revision, before:? = known, routes = table.len(), era, stored; "configuration: in force");
            for error in table.find_errors().iter().take(MAX_LOGGED_ERRORS) {
                log::warn!(revision = table.revision, reason = error.as_str(); "configuration: invalid route");
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
            if state.has_servers {
                state.settled_at.get_or_insert(Instant::now() + SETTLE_TIME);
            }
            if change != ServerChange::Unchanged {
                log::info!(server = id.as_str(), service = service.as_str(), draining, change:? = change, era, stored; "servers: entry updated");
            }
            close_dropped(state, change);
            if let ServerChange::Added(_) = change {
                state.update_quota_shares();
            }
        }
        ObjectState::Peer(peer) => {
            log::warn!(peer = peer.node.as_str(); "peers: ignored a gateway entry outside the list of peers")
        }
        ObjectState::Removed => match kind {
            ObjectKind::Servers => remove(state, &object.name, last_failure),
            // The last configuration stays in force.
            ObjectKind::Configuration | ObjectKind::Peers => {
                log::warn!(kind:? = kind, name = object.name.as_str(); "store: object removed; ignored")
            }
        },
        ObjectState::Unreadable(reason) => {
            state.metrics.count(Counter::ObjectUnreadable);
            if let Some(skipped) = state.allow_log_line("unreadable object") {
                let (name, reason) = (object.name.as_str(), reason.as_str());
                log::warn!(kind:? = kind, name, reason, skipped; "store: failed to decode an object");
            }
            // An entry that can't be read names no server to use.
            if kind == ObjectKind::Servers {
                remove(state, &object.name, None);
            }
        }
    }
}

/// Removes a server, or defers its removal if its entry may have expired during an outage of the store.
fn remove(state: &mut State, id: &UpstreamId, last_failure: Option<Instant>) {
    let now = Instant::now();
    if last_failure.is_some_and(|failed| now.saturating_duration_since(failed) < OUTAGE_WINDOW) {
        state.directory.defer_removal(id, now);
        log::info!(server = id.as_str(); "servers: entry expired during a store outage; removal deferred");
        return;
    }
    let change = state.directory.remove(id, now, &mut state.limits);
    if change != ServerChange::Unchanged {
        log::info!(server = id.as_str(); "servers: removed");
    }
    close_dropped(state, change);
}

/// Counts a server that no longer receives requests, and closes its idle connections.
fn close_dropped(state: &mut State, change: ServerChange) {
    if let ServerChange::Dropped(key) = change {
        state.metrics.count(Counter::ServerDropped);
        state.pool.remove(key);
        state.update_quota_shares();
    }
}

fn remove_unlisted(state: &mut State, listed: &HashSet<UpstreamId>, last_failure: Option<Instant>) {
    for id in state.directory.ids() {
        if !listed.contains(&id) {
            remove(state, &id, last_failure);
        }
    }
}
