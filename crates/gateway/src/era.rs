//! Notices that the store was restored from a copy, by the era in its replies.
//!
//! See docs/decisions/0009-store-restores.md.

use std::time::Instant;

use store::NativeReply;
use store::parse_era;

use crate::ObjectKind;
use crate::StoreEra;
use crate::metrics::Counter;
use crate::node::Node;

/// Header in which a relay and its followers tell each other the era of their versions.
pub(crate) const ERA_HEADER: &str = "limpetwick-store-era";

/// A reply of the store from before a restore that this gateway knows of.
pub(crate) struct OutdatedReply;

/// Reads the era of a store's reply, and records it if it is a new one.
pub(crate) fn check_era(
    node: &Node,
    kind: ObjectKind,
    reply: &NativeReply,
) -> Result<StoreEra, OutdatedReply> {
    let name = node.headers.store_era.as_str();
    let value = reply.headers.get(name);
    let era = parse_era(&reply.headers, name);
    if value.is_some() && era.is_none() {
        log::warn!(kind:? = kind, value:? = value; "store: ignored an era that is not a number");
    }
    // A reply without an era says nothing about a restore.
    let known = node.state.borrow().store_era;
    let era = era.or(known).unwrap_or_default();
    if is_outdated(node, era) {
        log::warn!(kind:? = kind, era; "store: ignored a reply from before the restore");
        return Err(OutdatedReply);
    }
    record_era(node, kind, era);
    Ok(era)
}

/// Returns whether an era is earlier than one that this gateway knows of.
pub(crate) fn is_outdated(node: &Node, era: StoreEra) -> bool {
    let known = node.state.borrow().store_era;
    known.is_some_and(|known| era < known)
}

/// Records the era of a reply of the store or of a relay; logs the first one and each later one.
pub(crate) fn record_era(node: &Node, kind: ObjectKind, era: StoreEra) {
    let mut state = node.state.borrow_mut();
    match state.store_era {
        None => log::info!(kind:? = kind, era; "store: connected"),
        Some(before) if era <= before => return,
        Some(before) => {
            state.metrics.count(Counter::StoreRestored);
            state.restored_at = Some(Instant::now());
            node.store_restored.notify_one();
            log::warn!(kind:? = kind, era, before; "store: restored from a copy; what was written after it may be lost");
        }
    }
    state.store_era = Some(era);
}
