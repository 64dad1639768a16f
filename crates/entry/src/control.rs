//! Keeps the node's copies of the platform's objects current.

use std::sync::Arc;
use std::time::Duration;

use base::IndexState;
use decl::Catalogue;
use serde::de::DeserializeOwned;
use store::Changed;

use crate::node::Node;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Follows the configuration in the platform until the node stops.
pub async fn follow_catalogue(node: Arc<Node>) {
    follow(&node, "config", |changed: Changed<Catalogue>| {
        node.offer_catalogue(changed.value)
    })
    .await;
}

/// Follows the indexes in the platform until the node stops.
pub async fn follow_indexes(node: Arc<Node>) {
    follow(&node, "index", |changed: Changed<IndexState>| {
        node.set_index(changed.value)
    })
    .await;
}

/// Watches a kind of object; an outage is waited out for the time that the client names.
async fn follow<T: DeserializeOwned>(node: &Node, kind: &str, mut apply: impl FnMut(Changed<T>)) {
    let mut after = 0;
    loop {
        match node.store.watch::<T>(kind, after, WATCH_WAIT).await {
            Ok(changes) => {
                after = after.max(changes.version);
                changes.objects.into_iter().for_each(&mut apply);
            }
            Err(error) => {
                log::warn!("store: the watch of {kind} failed: {error}");
                tokio::time::sleep(error.retry_after()).await;
            }
        }
    }
}
