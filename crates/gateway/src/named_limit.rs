//! Rate limits that servers name in their replies: reads, logs and divides them.

use std::time::Instant;

use base::UpstreamId;
use http::HeaderValue;
use http::response::Parts;
use limit::LimitChange;
use limit::LimitNotice;

use crate::metrics::Counter;
use crate::node::Node;
use crate::node::State;

/// Records what the head of a server's complete reply says about the server's limit.
pub(crate) fn record_named_limit(node: &Node, server: &UpstreamId, head: &Parts, sent: Instant) {
    let names = &node.headers;
    let mut state = node.state.borrow_mut();
    let is_signed = head.status.is_success() && head.headers.contains_key(&names.signature);
    let notice = match head.headers.get(&names.rate_limit) {
        Some(value) => match parse_rate(value) {
            Some(rate) => LimitNotice::Named(rate),
            None => {
                log::warn!(server = server.as_str(), value:? = value; "servers: ignored a limit that is not a rate");
                return;
            }
        },
        // An error may come from elsewhere than the server's own code, which names the limit.
        None if is_signed => LimitNotice::Unnamed,
        None => return,
    };
    state.apply_limit(server, notice, sent);
}

/// Parses a decimal number of requests a second.
fn parse_rate(value: &HeaderValue) -> Option<f64> {
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

impl State {
    fn apply_limit(&mut self, server: &UpstreamId, notice: LimitNotice, sent: Instant) {
        let change = self
            .limits
            .record_limit(server, notice, sent, Instant::now());
        if let LimitNotice::Named(_) = notice {
            self.metrics.count(Counter::AttemptLimited);
        }
        let (id, rate) = (server.as_str(), self.limits.named_rate(server));
        match change {
            LimitChange::Unchanged => {}
            LimitChange::Named { before } => {
                self.metrics.count(Counter::LimitNamed);
                log::info!(server = id, rate:?, before:?; "servers: named a limit for all gateways");
            }
            LimitChange::Ended { before, lasted } => {
                let seconds = lasted.as_secs_f64();
                log::info!(server = id, before, seconds; "servers: names no limit any more");
            }
        }
    }
}
