//! What servers say of themselves in the heads of their replies: that they are leaving, or want no requests for a time.
//!
//! A gateway that the store doesn't reach learns of a leaving server in no other way.

use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http::response::Parts;
use limit::GateKey;

use crate::metrics::Counter;
use crate::node::Node;

/// Records what the head of a server's complete reply says.
pub(crate) fn record_notices(node: &Node, key: GateKey, server: &str, head: &Parts) {
    let names = &node.headers;
    let now = Instant::now();
    let mut state = node.state.borrow_mut();
    let is_leaving = head.headers.get(&names.leaving);
    if is_leaving.is_some_and(|value| value == "1") && state.limits.record_leaving(key, now) {
        state.metrics.count(Counter::ServerLeaving);
        log::info!(server; "servers: says that it is leaving");
    }
    let is_refusal =
        head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(&names.not_run);
    let hold = head.headers.get(RETRY_AFTER).filter(|_| is_refusal);
    let Some(hold) = hold else {
        return;
    };
    match parse_seconds(hold) {
        Some(time) => {
            if state.limits.record_hold(key, time, now) {
                state.metrics.count(Counter::ServerHold);
            }
        }
        None => {
            if let Some(skipped) = state.allow_log_line("hold ignored") {
                log::warn!(server, value:? = hold, skipped; "servers: ignored a time to retry that is no number of seconds");
            }
        }
    }
}

/// Parses a number of seconds, which may have a fraction.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
