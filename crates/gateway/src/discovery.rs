//! Peer discovery: each gateway registers in the store, and lists the others periodically.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use store::Client;
use store::StoreError;

use crate::ObjectKind;
use crate::ObjectState;
use crate::PageCursor;
use crate::Peer;
use crate::apply::check_cursor;
use crate::apply::report_unnamed;
use crate::era::check_era;
use crate::metrics::Counter;
use crate::node::Node;
use crate::relay::fetch_from_seeds;

/// Delay between registering and listing, within which gateways that start together also register.
const REGISTER_DELAY: Duration = Duration::from_millis(400);

/// Interval at which the gateways are listed.
const LIST_INTERVAL: Duration = Duration::from_secs(12);

/// Delay before the next list after a failed one, for instance when all gateways have started together.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a restore of the store in which gateways register again; a shorter list is not believed until then.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Registers this gateway and lists the others, until the process ends.
pub(crate) async fn discover_peers(node: Rc<Node>, client: Client) {
    let own = {
        let state = node.state.borrow();
        Peer {
            node: state.settings.node.clone(),
            zone: state.settings.zone.clone(),
            addr: state.settings.peer,
            cores: state.settings.cores,
        }
    };
    loop {
        let delay = match list_peers(&node, &client).await {
            Ok(peers) if peers.iter().any(|peer| peer.is_same(&own)) => {
                if is_settling(&node) {
                    RETRY_INTERVAL
                } else {
                    update_peers(&node, peers);
                    LIST_INTERVAL
                }
            }
            Ok(peers) => {
                register(&node, &client, &own).await;
                let is_first = node.state.borrow().peers.is_empty();
                if is_first && !peers.is_empty() {
                    update_peers(&node, peers);
                }
                REGISTER_DELAY
            }
            Err(error) => {
                log::warn!(reason:% = error; "peers: failed to list the gateways in the store");
                if node.state.borrow().peers.is_empty() {
                    query_seeds(&node).await;
                }
                RETRY_INTERVAL
            }
        };
        let jitter = node.state.borrow_mut().rng.random::<f64>();
        let delay = delay.mul_f64(1.0 + jitter / 4.0);
        let restored = node.store_restored.notified();
        if tokio::time::timeout(delay, restored).await.is_ok() {
            // The restore may have lost the entry of this gateway.
            tokio::time::sleep(REGISTER_DELAY.mul_f64(jitter)).await;
        }
    }
}

/// Returns whether gateways whose entries a restore of the store has lost may be about to register again.
fn is_settling(node: &Node) -> bool {
    let state = node.state.borrow();
    let is_recent = |restored: Instant| restored.elapsed() < SETTLE_TIME;
    !state.peers.is_empty() && state.restored_at.is_some_and(is_recent)
}

/// Gets the list of gateways from a seed, if the store can't be read at the start.
async fn query_seeds(node: &Node) {
    let seeds = node.state.borrow().settings.seeds.clone();
    let peers = fetch_from_seeds(&seeds).await;
    log::info!(seeds = seeds.len(), peers = peers.len(); "peers: asked the seeds for the list of gateways");
    if !peers.is_empty() {
        update_peers(node, peers);
    }
}

fn update_peers(node: &Node, peers: Vec<Peer>) {
    let mut state = node.state.borrow_mut();
    if state.peers.count(|_| true) != peers.len() {
        log::info!(peers = peers.len(); "peers: number of gateways changed");
    }
    state.set_peers(peers);
    node.peers_listed.notify_waiters();
}

async fn register(node: &Node, client: &Client, own: &Peer) {
    let (path, body) = node.platform.build_registration(own);
    match client.create(&path, body).await {
        Ok(()) => log::info!(node = own.node.as_str(); "peers: registered this gateway"),
        Err(error) => log::warn!(reason:% = error; "peers: failed to register this gateway"),
    }
}

async fn list_peers(node: &Node, client: &Client) -> Result<Vec<Peer>, StoreError> {
    let mut peers = Vec::new();
    let mut after: Option<PageCursor> = None;
    loop {
        let path = node
            .platform
            .stale_list_path(ObjectKind::Peers, after.as_ref());
        let reply = client.read(&path, Duration::ZERO).await?;
        let invalid = |reason: String| StoreError::Invalid { reason };
        let era = check_era(node, ObjectKind::Peers, &reply)
            .map_err(|_| invalid("it is from before a restore".to_owned()))?;
        let batch = node
            .platform
            .read_list(ObjectKind::Peers, era, &reply.body)
            .map_err(|error| invalid(error.to_string()))?;
        report_unnamed(node, ObjectKind::Peers, batch.unnamed);
        after =
            check_cursor(after.as_ref(), batch.next).map_err(|error| invalid(error.to_string()))?;
        for object in batch.objects {
            match object.value {
                ObjectState::Peer(peer) => peers.push(peer),
                other => report_invalid(node, object.name.as_str(), &other),
            }
        }
        if after.is_none() {
            return Ok(peers);
        }
    }
}

/// Counts and logs an entry that names no gateway.
fn report_invalid(node: &Node, name: &str, value: &ObjectState) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::ObjectUnreadable);
    if let Some(skipped) = state.allow_log_line("invalid gateway") {
        log::warn!(name, value:? = value, skipped; "peers: ignored an entry that is not a valid gateway");
    }
}
