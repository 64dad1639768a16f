//! Control loops of a node: heartbeats, the configuration, the indexes, the list of VMs and probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::IndexState;
use base::QueryRequest;
use base::Snapshot;
use base::Upstream;
use decl::Catalogue;
use member::Outgoing;
use member::TICK;
use serde_json::value::RawValue;
use wire::IndexRequest;
use wire::PullReply;
use wire::PullRequest;

use crate::node::Node;
use crate::query_driver::PATH_QUERY;
use crate::query_driver::encode;

/// Longest wait of a relay's watch of the configuration.
///
/// Each return confirms the revision, and a confirmation has to reach every node within the bound of `conf`.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait of a watch of the indexes.
const INDEX_WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Period at which the list of VMs is read.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Period at which drains that peers report are applied, and silent upstreams are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an upstream that was not heard from is probed.
const PROBE_AGE: Duration = Duration::from_secs(1);

/// Bound on one call of a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends heartbeats, and fetches a revision that a peer has and this node lacks.
pub async fn beat(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for outgoing in node.tick_view() {
            tokio::spawn(send_beat(node.clone(), outgoing));
        }
        if let Some(peer) = node.newer_peer() {
            pull(&node, peer).await;
        }
    }
}

async fn send_beat(node: Arc<Node>, outgoing: Outgoing) {
    let mut client = node.peers.client(outgoing.addr);
    match tokio::time::timeout(PEER_TIMEOUT, client.beat(outgoing.beat)).await {
        Ok(Ok(reply)) => node.merge_beat_reply(&reply.into_inner()),
        Ok(Err(status)) => log::debug!("member: heartbeat to {} failed: {status}", outgoing.to),
        Err(_) => log::debug!("member: heartbeat to {} timed out", outgoing.to),
    }
}

/// Fetches the configuration from a peer; returns whether it answered.
async fn pull(node: &Node, peer: SocketAddr) -> bool {
    let mut since = node.revision();
    for _ in 0..2 {
        let request = PullRequest { since };
        let mut client = node.peers.client(peer);
        let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIMEOUT, client.pull(request)).await else {
            return false;
        };
        if !apply_update(node, reply.into_inner()) {
            break;
        }
        since = 0;
    }
    true
}

/// Puts what a peer sent in force; returns whether the whole catalogue is needed.
fn apply_update(node: &Node, reply: PullReply) -> bool {
    if reply.update.is_empty() {
        return false;
    }
    match serde_json::from_slice(&reply.update) {
        Ok(update) => node.offer_update(update),
        Err(error) => {
            log::warn!("conf: a peer sent an update that is not valid: {error}");
            false
        }
    }
}

/// Watches the configuration in the platform while this node is a relay of its zone or has no configuration.
pub async fn watch_configuration(node: Arc<Node>) {
    let mut after = 0;
    loop {
        if !node.is_relay() && node.catalogue().is_some() {
            tokio::time::sleep(CONFIG_WATCH_TIMEOUT).await;
            continue;
        }
        let asked = Instant::now();
        match node
            .store
            .watch::<Catalogue>("config", after, CONFIG_WATCH_TIMEOUT)
            .await
        {
            Ok(changes) => {
                after = changes.version.max(after);
                for changed in changes.objects {
                    node.offer_catalogue(changed.value, asked);
                }
                node.confirm(node.revision(), asked);
            }
            Err(error) => {
                log::warn!("conf: the platform cannot be watched: {error}");
                contact_seeds(&node).await;
                tokio::time::sleep(error.retry_after()).await;
            }
        }
    }
}

/// Introduces a node without a configuration to its seeds, and takes the highest revision that they have.
async fn contact_seeds(node: &Node) {
    if node.catalogue().is_some() {
        return;
    }
    for &seed in &node.settings.seeds {
        let mut client = node.peers.client(seed);
        let beat = client.beat(node.build_introduction());
        if let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIMEOUT, beat).await {
            node.merge_beat_reply(&reply.into_inner());
        }
        if !pull(node, seed).await {
            log::warn!("conf: seed {seed} did not answer");
        }
    }
}

/// Follows the indexes in the platform.
pub async fn watch_indexes(node: Arc<Node>) {
    let mut after = 0;
    loop {
        match node
            .store
            .watch::<IndexState>("index", after, INDEX_WATCH_TIMEOUT)
            .await
        {
            Ok(changes) => {
                after = changes.version.max(after);
                for changed in changes.objects {
                    node.update_index(changed.version, changed.value);
                }
            }
            Err(error) => {
                log::warn!("shard: the platform cannot be watched: {error}");
                pull_indexes(&node).await;
                tokio::time::sleep(error.retry_after()).await;
            }
        }
    }
}

/// Fetches the indexes that a peer has and this node lacks, because the platform cannot be reached.
async fn pull_indexes(node: &Node) {
    let Some(peer) = node.random_peer() else {
        return;
    };
    let request = IndexRequest {
        after: node.newest_index_version(),
    };
    let mut client = node.peers.client(peer);
    let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIMEOUT, client.indexes(request)).await else {
        return;
    };
    for object in reply.into_inner().objects {
        match serde_json::from_slice(&object.state) {
            Ok(state) => node.update_index(object.version, state),
            Err(error) => log::warn!("shard: a peer sent an index that is not valid: {error}"),
        }
    }
}

/// Reads the platform's list of VMs from time to time.
pub async fn poll_vm_list(node: Arc<Node>) {
    loop {
        let pause = match node.store.list_vms().await {
            Ok(list) => {
                node.update_vm_list(&list);
                LIST_INTERVAL
            }
            Err(error) => {
                log::warn!("member: the list of VMs cannot be read: {error}");
                error.retry_after()
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Applies drains that peers report, and probes upstreams that this node holds and has not heard from.
///
/// The probes have a fixed low rate for each upstream, so that a failure causes no burst of them.
pub async fn probe(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.apply_drains();
        node.set_gauges();
        for upstream in node.silent_upstreams(PROBE_AGE) {
            tokio::spawn(send_probe(node.clone(), upstream));
        }
    }
}

/// Asks an upstream for no shard, which takes no slot and returns its state.
async fn send_probe(node: Arc<Node>, upstream: Upstream) {
    let sent = Instant::now();
    let snapshot = Snapshot { version: 0, map: 0 };
    let request = QueryRequest {
        attempt: node.next_attempt_id(),
        query: "probe".into(),
        index: Default::default(),
        version: snapshot.version,
        map: snapshot.map,
        shards: Vec::new(),
        deadline_ms: PEER_TIMEOUT.as_millis() as u64,
        request: "probe".into(),
        body: RawValue::NULL.to_owned(),
    };
    let share = node.share(&upstream.id);
    let deadline = sent + PEER_TIMEOUT;
    match node
        .pool
        .call(&upstream, share, PATH_QUERY, encode(&request), deadline)
        .await
    {
        Ok(reply) => {
            if let Some(state) = reply.state {
                node.record_state(&upstream.id, state, sent);
            }
        }
        Err(error) => node.record_error(&upstream.id, error),
    }
}
