//! Background tasks of a node: heartbeats, watches of the configuration and the indexes, polls of the VM list, and
//! probes of upstreams.

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

/// Long-poll timeout of a relay's watch of the configuration.
///
/// Each reply confirms the revision, and a confirmation must reach every node within `conf::MAX_FRESH_AGE`.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Long-poll timeout of the watch of the indexes.
const INDEX_WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between reads of the platform's list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which drains reported by peers are applied and silent upstreams are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a reply after which an upstream is probed.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call to a peer or of a probe.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends heartbeats, and pulls the configuration from a peer that has a higher revision.
pub async fn run_heartbeats(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for outgoing in node.tick_view() {
            tokio::spawn(send_beat(node.clone(), outgoing));
        }
        if let Some(peer) = node.newer_peer() {
            pull_configuration(&node, peer).await;
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

/// Pulls the configuration from a peer; returns whether the peer replied.
///
/// If the update does not apply to the revision in force, it requests the full catalogue.
async fn pull_configuration(node: &Node, peer: SocketAddr) -> bool {
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

/// Applies the update in a peer's reply; returns whether the full catalogue is needed instead.
fn apply_update(node: &Node, reply: PullReply) -> bool {
    if reply.update.is_empty() {
        return false;
    }
    match serde_json::from_slice(&reply.update) {
        Ok(update) => node.offer_update(update),
        Err(error) => {
            log::warn!("conf: failed to decode a configuration update from a peer: {error}");
            false
        }
    }
}

/// Watches the configuration in the platform while this node is a relay of its zone or has no configuration yet.
pub async fn watch_configuration(node: Arc<Node>) {
    let mut after = 0;
    loop {
        if !node.is_relay() && node.catalogue().is_some() {
            tokio::time::sleep(CONFIG_WATCH_TIMEOUT).await;
            continue;
        }
        let sent = Instant::now();
        match node
            .store
            .watch::<Catalogue>("config", after, CONFIG_WATCH_TIMEOUT)
            .await
        {
            Ok(changes) => {
                after = changes.version.max(after);
                for changed in changes.objects {
                    node.offer_catalogue(changed.value, sent);
                }
                node.confirm_revision(node.revision(), sent);
            }
            Err(error) => {
                log::warn!("conf: failed to watch the configuration in the platform: {error}");
                contact_seeds(&node).await;
                tokio::time::sleep(error.retry_after()).await;
            }
        }
    }
}

/// If this node has no configuration, introduces it to its seeds and pulls the configuration from them.
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
        if !pull_configuration(node, seed).await {
            log::warn!("conf: seed {seed} did not reply to a configuration pull");
        }
    }
}

/// Watches the indexes in the platform.
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
                log::warn!("index: failed to watch the indexes in the platform: {error}");
                pull_indexes(&node).await;
                tokio::time::sleep(error.retry_after()).await;
            }
        }
    }
}

/// Pulls newer indexes from a random peer, for use while the platform cannot be reached.
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
            Err(error) => log::warn!("index: failed to decode an index from a peer: {error}"),
        }
    }
}

/// Polls the platform's list of VMs.
pub async fn poll_vm_list(node: Arc<Node>) {
    loop {
        let delay = match node.store.list_vms().await {
            Ok(list) => {
                node.update_vm_list(&list);
                LIST_INTERVAL
            }
            Err(error) => {
                log::warn!("member: failed to read the list of VMs from the platform: {error}");
                error.retry_after()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Applies drains reported by peers, reports gauges, and probes silent upstreams of which this node is a holder.
///
/// Probes have a fixed low rate per upstream, so that a failure causes no burst of probes.
pub async fn probe_upstreams(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.apply_drains();
        node.set_gauges();
        for upstream in node.silent_upstreams(PROBE_DELAY) {
            tokio::spawn(send_probe(node.clone(), upstream));
        }
    }
}

/// Sends a query without shards, which occupies no slot of the upstream and returns its state.
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
    let share = node.connection_share(&upstream.id);
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
