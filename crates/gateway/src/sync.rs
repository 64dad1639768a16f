//! Follows the configuration and the servers in the platform's store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;
use rand::RngExt;
use store::Client;
use store::StoreError;

use crate::Change;
use crate::DecodeError;
use crate::Kind;
use crate::Object;
use crate::Passed;
use crate::Peer;
use crate::Snapshot;
use crate::StoreVersion;
use crate::Value;
use crate::metrics::Counter;
use crate::node::Node;
use crate::node::State;
use crate::relay::Link;
use crate::relay::ask_seeds;

/// Longest wait of one watch, as a part of the time in which a configuration is to be in force.
///
/// A connection that fell silent is noticed after it and the time-out of a call, and the peers of a relay have to ask the
/// store after that.
const WATCH_PART: f64 = 0.45;

/// Time after a change in which further ones are left to the next watch, because each call has its price, as a part of the
/// same time.
const BATCH_PART: f64 = 0.16;

/// Time from a first failed call to the next one; it doubles with each further failure, and a random part of the same
/// length comes on top.
const RETRY_TIME: Duration = Duration::from_millis(100);

/// Longest such time. The whole fleet calls a store that is down, and each call has its price, also a refused one.
const MAX_RETRY_TIME: Duration = Duration::from_millis(1_600);

/// Relays that may be unsure one after the other before the store is asked.
const MAX_UNSURE: u32 = 1;

/// Failed calls in a row after which a relay tells its peers that it has lost the store; a watch that was merely cut is
/// repeated at once.
const LOST_FAILURES: u32 = 2;

/// Time after a failed call in which a removed entry may be one that lapsed while the store was away.
const AWAY_TIME: Duration = Duration::from_secs(3);

/// Time in which gateways that start together register, before they list each other.
const REGISTER_TIME: Duration = Duration::from_millis(400);

/// Longest time for which the first list of a starting gateway waits for the list of the others.
const PEERS_WAIT: Duration = Duration::from_millis(800);

/// How often the other gateways are listed.
const PEERS_TIME: Duration = Duration::from_secs(12);

/// Time to the second list of the other gateways, when all of them have started together.
const FIRST_PEERS_TIME: Duration = Duration::from_secs(1);

/// How often lapsed entries and idle connections are looked at.
const SWEEP_TIME: Duration = Duration::from_millis(500);

/// Where the next changes are read.
enum Source {
    Store,
    Relay(Peer),
}

/// How a relay failed.
enum Lost {
    /// It said that it has no contact with the store; another one may have.
    Unsure,
    /// It did not answer in time, so that there is none left to try others.
    Silent,
}

/// Follows one kind of object until the process ends.
pub(crate) async fn follow(node: Rc<Node>, client: Client, kind: Kind) {
    wait_for_peers(&node).await;
    let apply = node.state.borrow().settings.apply;
    let (watch_time, batch_time) = (apply.mul_f64(WATCH_PART), apply.mul_f64(BATCH_PART));
    let mut link = Link::default();
    let mut since = None;
    let mut away: Option<Instant> = None;
    let mut prompt = false;
    let mut failures = 0;
    let mut unsure = 0;
    loop {
        let source = if prompt {
            Source::Store
        } else {
            choose_source(&node)
        };
        let began = Instant::now();
        let result = match (since, source) {
            (_, Source::Relay(relay)) => {
                match ask_relay(&node, &mut link, &relay, kind, since, away).await {
                    Ok(version) => {
                        since = Some(version);
                        unsure = 0;
                        if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
                            log.follow(version);
                        }
                    }
                    Err(Lost::Unsure) => {
                        unsure += 1;
                        prompt = unsure > MAX_UNSURE;
                    }
                    Err(Lost::Silent) => prompt = true,
                }
                continue;
            }
            (None, Source::Store) => list(&node, &client, kind, away).await,
            (Some(version), Source::Store) => {
                // A call that may wait would show only after its whole wait that a silent store still is silent.
                let wait = if prompt { Duration::ZERO } else { watch_time };
                watch(&node, &client, kind, version, wait, away).await
            }
        };
        prompt = matches!(result, Err(Trouble::Failed(_)));
        failures = if prompt { failures + 1 } else { 0 };
        unsure = 0;
        match result {
            Ok((version, changed)) => {
                if away.is_some_and(|away| away.elapsed() > AWAY_TIME) {
                    away = None;
                }
                since = Some(version);
                if changed {
                    tokio::time::sleep(batch_time).await;
                }
            }
            Err(Trouble::HistoryGone) => {
                log::info!(kind:? = kind, since:? = since; "store: history is gone, listing again");
                since = None;
            }
            Err(Trouble::Failed(reason)) => {
                log::warn!(kind:? = kind, since:? = since, reason = reason.as_str(); "store: call failed");
                away = Some(Instant::now());
                node.state.borrow_mut().metrics.count(Counter::StoreFailed);
                if failures >= LOST_FAILURES || began.elapsed() > watch_time {
                    if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
                        log.note_failure();
                    }
                    node.news.notify_waiters();
                }
                let jitter = node.state.borrow_mut().rng.random::<f64>();
                let pause = (RETRY_TIME * (1 << failures.min(5)) / 2).min(MAX_RETRY_TIME);
                tokio::time::sleep(pause.mul_f64(1.0 + jitter)).await;
            }
        }
    }
}

/// Waits until the other gateways are known, so that a gateway that starts can ask one of them.
async fn wait_for_peers(node: &Node) {
    let listed = node.listed.notified();
    if node.state.borrow().peers.is_empty() {
        // A store that doesn't answer must not keep the first list of servers waiting.
        let _ = tokio::time::timeout(PEERS_WAIT, listed).await;
    }
}

fn choose_source(node: &Node) -> Source {
    let state = node.state.borrow();
    let settings = &state.settings;
    match state
        .peers
        .relay(&settings.node, &settings.zone, Instant::now())
    {
        Some(relay) => Source::Relay(relay),
        None => Source::Store,
    }
}

/// Asks a relay for changes; returns the version known then, or `None` if the store has to be asked.
async fn ask_relay(
    node: &Node,
    link: &mut Link,
    relay: &Peer,
    kind: Kind,
    since: Option<StoreVersion>,
    away: Option<Instant>,
) -> Result<StoreVersion, Lost> {
    let answer = link.ask(relay.addr, kind, since).await;
    let taken = match &answer {
        Passed::UpToDate => return since.ok_or(Lost::Unsure),
        Passed::Changes(body) => take_changes(node, kind, body, away),
        Passed::Snapshot(snapshot) => take_snapshot(node, kind, snapshot, away),
        Passed::Starting | Passed::Unsure | Passed::Silent => {
            let reason = if answer == Passed::Silent {
                "silent"
            } else {
                "unsure"
            };
            log::info!(relay = relay.node.as_str(), kind:? = kind, since:? = since, reason; "relay: lost");
            let mut state = node.state.borrow_mut();
            state.metrics.count(Counter::RelayLost);
            state.peers.pass_over(&relay.node, &answer, Instant::now());
            return Err(match answer {
                Passed::Silent => Lost::Silent,
                _ => Lost::Unsure,
            });
        }
    };
    match taken {
        Ok(version) => Ok(since.map_or(version, |since| since.max(version))),
        Err(error) => {
            log::warn!(relay = relay.node.as_str(), reason:% = error; "relay: answer can't be read");
            Err(Lost::Silent)
        }
    }
}

fn take_changes(
    node: &Node,
    kind: Kind,
    body: &[u8],
    away: Option<Instant>,
) -> Result<StoreVersion, DecodeError> {
    let batch = node.platform.read_changes(kind, body)?;
    apply_all(node, batch.objects, away);
    Ok(batch.version)
}

fn take_snapshot(
    node: &Node,
    kind: Kind,
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

/// Registers this gateway and learns of the others, again and again.
pub(crate) async fn follow_peers(node: Rc<Node>, client: Client) {
    let own = {
        let state = node.state.borrow();
        Peer {
            node: state.settings.node.clone(),
            zone: state.settings.zone.clone(),
            addr: state.settings.peer,
        }
    };
    loop {
        let pause = match list_peers(&node, &client).await {
            Ok(peers) if peers.contains(&own) => {
                take_peers(&node, peers);
                PEERS_TIME
            }
            Ok(peers) => {
                register(&node, &client, &own).await;
                let is_first = node.state.borrow().peers.is_empty();
                if is_first && !peers.is_empty() {
                    take_peers(&node, peers);
                }
                REGISTER_TIME
            }
            Err(error) => {
                log::warn!(reason:% = error; "peers: list failed");
                if node.state.borrow().peers.is_empty() {
                    learn_from_seeds(&node).await;
                }
                FIRST_PEERS_TIME
            }
        };
        let jitter = node.state.borrow_mut().rng.random::<f64>();
        tokio::time::sleep(pause.mul_f64(1.0 + jitter / 4.0)).await;
    }
}

/// Learns of the other gateways from those of the settings, when the store turns this one away at its start.
async fn learn_from_seeds(node: &Node) {
    let seeds = node.state.borrow().settings.seeds.clone();
    let known = ask_seeds(&seeds).await;
    log::info!(seeds = seeds.len(), peers = known.len(); "peers: asked the seeds");
    if !known.is_empty() {
        take_peers(node, known);
    }
}

fn take_peers(node: &Node, peers: Vec<Peer>) {
    let mut state = node.state.borrow_mut();
    if state.peers.count(|_| true) != peers.len() {
        log::info!(peers = peers.len(); "peers: changed");
    }
    state.set_peers(peers);
    node.listed.notify_waiters();
}

async fn register(node: &Node, client: &Client, own: &Peer) {
    let (path, body) = node.platform.registration(own);
    match client.create(&path, body).await {
        Ok(()) => log::info!(node = own.node.as_str(); "peers: registered"),
        Err(error) => log::warn!(reason:% = error; "peers: not registered"),
    }
}

async fn list_peers(node: &Node, client: &Client) -> Result<Vec<Peer>, StoreError> {
    let mut peers = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let path = node.platform.stale_list_path(Kind::Peers, after.as_deref());
        let body = client.read(&path, Duration::ZERO).await?;
        let batch = match node.platform.read_list(Kind::Peers, &body) {
            Ok(batch) => batch,
            Err(error) => {
                return Err(StoreError::Invalid {
                    reason: error.to_string(),
                });
            }
        };
        after = batch.objects.last().map(|object| object.name.to_string());
        for object in batch.objects {
            match object.value {
                Value::Peer(peer) => peers.push(peer),
                other => {
                    log::warn!(name = object.name.as_str(), value:? = other; "peers: entry can't be used")
                }
            }
        }
        if !batch.more || after.is_none() {
            return Ok(peers);
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

impl From<DecodeError> for Trouble {
    fn from(error: DecodeError) -> Trouble {
        Trouble::Failed(error.to_string())
    }
}

impl From<StoreError> for Trouble {
    fn from(error: StoreError) -> Trouble {
        match error {
            StoreError::Rejected { status: 410, .. } => Trouble::HistoryGone,
            other => Trouble::Failed(other.to_string()),
        }
    }
}

/// A list in pages, as far as it was read.
#[derive(Default)]
struct Listing {
    names: HashSet<UpstreamId>,
    version: Option<StoreVersion>,
    after: Option<String>,
}

impl Listing {
    /// Takes in a page; returns whether another one follows.
    fn take(
        &mut self,
        node: &Node,
        kind: Kind,
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
    fn finish(self, node: &Node, kind: Kind, away: Option<Instant>) -> StoreVersion {
        if kind == Kind::Servers {
            drop_unlisted(&mut node.state.borrow_mut(), &self.names, away);
        }
        self.version.unwrap_or_default()
    }
}

async fn list(
    node: &Node,
    client: &Client,
    kind: Kind,
    away: Option<Instant>,
) -> Result<(StoreVersion, bool), Trouble> {
    let mut listing = Listing::default();
    let mut pages = Vec::new();
    loop {
        let path = node.platform.list_path(kind, listing.after.as_deref());
        let body = client.read(&path, Duration::ZERO).await?;
        let more = listing.take(node, kind, &body, away)?;
        pages.push(body);
        if !more {
            break;
        }
    }
    let version = listing.finish(node, kind, away);
    if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
        log.restart(version, pages);
    }
    node.news.notify_waiters();
    Ok((version, false))
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
    let batch = node.platform.read_changes(kind, &body)?;
    let changed = !batch.objects.is_empty();
    let version = batch.version.max(since);
    apply_all(node, batch.objects, away);
    if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
        log.add(version, changed.then_some(body));
    }
    if changed {
        node.news.notify_waiters();
    }
    Ok((version, changed))
}

fn apply_all(node: &Node, objects: Vec<Object>, away: Option<Instant>) {
    let mut state = node.state.borrow_mut();
    for object in objects {
        apply(&mut state, object, away);
    }
    if state.is_loaded {
        node.loaded.notify_waiters();
    }
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
            state.is_loaded = state.has_servers;
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
            state.is_loaded = state.has_servers && state.table.is_some();
            if change != Change::Same {
                log::info!(server = id.as_str(), service = service.as_str(), draining, change:? = change; "servers: changed");
            }
            close_dropped(state, change);
        }
        Value::Peer(peer) => log::warn!(peer = peer.node.as_str(); "peers: unexpected entry"),
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
