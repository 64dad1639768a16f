//! Notices that the store was restored from a copy, by the era in its replies.

use http::HeaderMap;

use crate::ObjectKind;
use crate::StoreEra;
use crate::metrics::Counter;
use crate::node::Node;

/// Reads the era of a store's reply; a store that states none was never restored.
pub(crate) fn read_era(node: &Node, headers: &HeaderMap) -> StoreEra {
    let value = headers.get(&node.headers.store_era);
    let era = value.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    if value.is_some() && era.is_none() {
        log::warn!(value:? = value; "store: the era is not a number; taken as 0");
    }
    era.unwrap_or_default()
}

/// Records the era of a reply, and logs the first one and each change.
pub(crate) fn record_era(node: &Node, kind: ObjectKind, era: StoreEra) {
    let mut state = node.state.borrow_mut();
    let before = state.store_era.replace(era);
    match before {
        None => log::info!(kind:? = kind, era; "store: connected"),
        Some(before) if before == era => {}
        Some(before) => {
            state.metrics.count(Counter::StoreRestored);
            log::warn!(kind:? = kind, era, before; "store: restored from a copy; what was written after it may be lost");
        }
    }
}
