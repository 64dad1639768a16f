//! Follows the configuration and the servers in the platform's store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;
use rand::RngExt;
use store::Client;
use store::StoreError;

use crate::Batch;
use crate::Change;
use crate::Kind;
use crate::Object;
use crate::StoreVersion;
use crate::Value;
use crate::node::Node;
use crate::node::State;

/// Longest wait of one watch; a connection that fell silent is noticed after it.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// Time after a change in which further ones are left to the next watch, because each call has its price.
const BATCH_TIME: Duration = Duration::from_millis(500);

/// Time from a failed call to the next one; a random part of the same length comes on top.
const RETRY_TIME: Duration = Duration::from_millis(100);

/// Time after a failed call in which a removed entry may be one that lapsed while the store was away.
const AWAY_TIME: Duration = Duration::from_secs(3);

/// How often lapsed entries and idle connections are looked at.
const SWEEP_TIME: Duration = Duration::from_millis(500);

/// Follows one kind of object until the process ends.
pub(crate) async fn follow(node: Rc<Node>, client: Client, kind: Kind) {
    let mut since = None;
    let mut away: Option<Instant> = None;
    let mut failed = false;
    loop {
        let result = match since {
            None => list(&node, &client, kind, away).await,
            Some(version) => {
                // A call that may wait would show only after its whole wait that a silent store still is silent.
                let wait = if failed { Duration::ZERO } else { WATCH_TIME };
                watch(&node, &client, kind, version, wait, away).await
            }
        };
        failed = matches!(result, Err(Trouble::Failed(_)));
        match result {
            Ok((version, changed)) => {
                if away.is_some_and(|away| away.elapsed() > AWAY_TIME) {
                    away = None;
                }
                since = Some(version);
                if changed {
                    tokio::time::sleep(BATCH_TIME).await;
                }
            }
            Err(Trouble::HistoryGone) => {
                log::info!(kind:? = kind, since:? = since; "store: history is gone, listing again");
                since = None;
            }
            Err(Trouble::Failed(reason)) => {
                log::warn!(kind:? = kind, since:? = since, reason = reason.as_str(); "store: call failed");
                away = Some(Instant::now());
                let jitter = node.state.borrow_mut().rng.random::<f64>();
                tokio::time::sleep(RETRY_TIME.mul_f64(1.0 + jitter)).await;
            }
        }
    }
}

/// Removes what has ended, at a fixed interval.
pub(crate) async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_TIME).await;
        let now = Instant::now();
        let mut guard = node.state.borrow_mut();
        let state = &mut *guard;
        for id in state.directory.expire(now, &mut state.limits) {
            log::info!(server = id.as_str(); "servers: did not come back");
        }
        state.sweep(now);
    }
}

enum Trouble {
    /// The changes since the last call are no longer kept.
    HistoryGone,
    Failed(String),
}

impl From<StoreError> for Trouble {
    fn from(error: StoreError) -> Trouble {
        match error {
            StoreError::Rejected { status: 410, .. } => Trouble::HistoryGone,
            other => Trouble::Failed(other.to_string()),
        }
    }
}

async fn list(
    node: &Node,
    client: &Client,
    kind: Kind,
    away: Option<Instant>,
) -> Result<(StoreVersion, bool), Trouble> {
    let mut listed = HashSet::new();
    let mut first = None;
    let mut after: Option<String> = None;
    loop {
        let path = node.platform.list_path(kind, after.as_deref());
        let body = client.read(&path, Duration::ZERO).await?;
        let batch = node
            .platform
            .read_list(kind, &body)
            .map_err(|error| Trouble::Failed(error.to_string()))?;
        let Batch {
            objects,
            more,
            version,
        } = batch;
        first.get_or_insert(version);
        after = objects.last().map(|object| object.name.to_string());
        let mut state = node.state.borrow_mut();
        for object in objects {
            listed.insert(object.name.clone());
            apply(&mut state, object, away);
        }
        if !more || after.is_none() {
            break;
        }
    }
    if kind == Kind::Servers {
        drop_unlisted(&mut node.state.borrow_mut(), &listed, away);
    }
    // Changes during the later pages are watched for from the first page on.
    Ok((first.unwrap_or(0), false))
}

async fn watch(
    node: &Node,
    client: &Client,
    kind: Kind,
    since: StoreVersion,
    wait: Duration,
    away: Option<Instant>,
) -> Result<(StoreVersion, bool), Trouble> {
    let path = node.platform.watch_path(kind, since, wait);
    let body = client.read(&path, wait).await?;
    let batch = node
        .platform
        .read_changes(kind, &body)
        .map_err(|error| Trouble::Failed(error.to_string()))?;
    let changed = !batch.objects.is_empty();
    let mut state = node.state.borrow_mut();
    for object in batch.objects {
        apply(&mut state, object, away);
    }
    Ok((batch.version.max(since), changed))
}

fn apply(state: &mut State, object: Object, away: Option<Instant>) {
    match object.value {
        Value::Configuration(table) => {
            let known = state.table.as_ref().map(|table| table.revision);
            if known.is_some_and(|known| known >= table.revision) {
                return;
            }
            log::info!(revision = table.revision, before:? = known, routes = table.len(); "configuration: in force");
            state.set_table(*table);
        }
        Value::Server(server) => {
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
            let change = directory.accept(server, settings, table.as_deref(), limits);
            state.has_servers |= !state.directory.is_empty();
            if change != Change::Same {
                log::info!(server = id.as_str(), service = service.as_str(), draining, change:? = change; "servers: changed");
            }
            close_dropped(state, change);
        }
        Value::Removed => remove(state, &object.name, away),
        Value::Unreadable(reason) => {
            log::warn!(name = object.name.as_str(), reason = reason.as_str(); "store: object can't be used");
            remove(state, &object.name, None);
        }
    }
}

/// Removes a server, or gives it time to register again if its entry may have lapsed while the store was away.
fn remove(state: &mut State, id: &UpstreamId, away: Option<Instant>) {
    let now = Instant::now();
    if away.is_some_and(|away| now.saturating_duration_since(away) < AWAY_TIME) {
        state.directory.lapse(id, now);
        log::info!(server = id.as_str(); "servers: entry lapsed");
        return;
    }
    let change = state.directory.remove(id, &mut state.limits);
    if change != Change::Same {
        log::info!(server = id.as_str(); "servers: removed");
    }
    close_dropped(state, change);
}

fn close_dropped(state: &mut State, change: Change) {
    if let Change::Dropped(key) = change {
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
