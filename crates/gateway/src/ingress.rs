//! Serves connections of callers, the load balancer's readiness checks, and the metrics.

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::accept::ConnectionLimits;
use crate::accept::accept_connections;
use crate::accept::report_slow_head;
use crate::accept::serve_connection;
use crate::accept::serve_connections;
use crate::listener::Slot;
use crate::node::Node;
use crate::request::Origin;
use crate::request::handle_request;

/// Idle timeout of connections that are opened before the first configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest head of a request on such a connection.
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// Time within which a head must arrive on such a connection, and on those of the load balancer and of other gateways.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of the idle timeout within which clients reuse a connection, in percent.
const REUSE_PERCENT: u32 = 80;

/// Interval at which slow connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of the connections for readiness checks and metrics.
const CHECK_LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: DEFAULT_IDLE_TIMEOUT,
    max_head_bytes: 8_192,
};

/// Serves callers until the process ends; once `closing` is true, idle connections are closed.
pub(crate) async fn serve_callers(
    node: Rc<Node>,
    socket: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let listener = Rc::clone(&node.listeners.callers);
    accept_connections(&node, &listener, socket, |slot, stream| {
        let limits = caller_limits(&node);
        let node = Rc::clone(&node);
        let closing = Some(closing.clone());
        let answer = move |request: Request<Incoming>, slot: Rc<Slot>| {
            let node = Rc::clone(&node);
            async move { handle_request(node, request, Origin::Caller, &slot).await }
        };
        tokio::task::spawn_local(serve_connection(slot, stream, limits, closing, answer));
    })
    .await;
}

fn caller_limits(node: &Node) -> ConnectionLimits {
    let table = node.state.borrow().table.clone();
    let limits = table.map(|table| table.request_limits);
    ConnectionLimits {
        idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            limits.idle_timeout.max(limits.head_timeout)
        }),
        max_head_bytes: limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_head_bytes),
    }
}

/// Closes connections whose heads come too slowly, until the process ends.
pub(crate) async fn watch_connections(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let table = node.state.borrow().table.clone();
        let limits = table.map(|table| table.request_limits);
        let now = Instant::now();
        for listener in node.listeners.all() {
            let is_callers = Rc::ptr_eq(listener, &node.listeners.callers);
            let limits = limits.filter(|_| is_callers);
            let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
            let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.head_timeout);
            listener.set_idle_time(idle_timeout * REUSE_PERCENT / 100);
            listener.advance(now);
            for closed in listener.close_slow_heads(head_timeout) {
                report_slow_head(&node, listener, &closed);
            }
        }
    }
}

/// Answers the load balancer's readiness checks.
pub(crate) async fn serve_ready(node: Rc<Node>, socket: TcpListener) {
    let listener = Rc::clone(&node.listeners.ready);
    let answering = Rc::clone(&node);
    serve_connections(node, listener, socket, CHECK_LIMITS, move |_, _| {
        let mut answer = Response::new(Full::new(Bytes::new()));
        if !answering.is_ready() {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        ready(answer)
    })
    .await;
}

/// Returns what the process holds at the moment.
fn read_gauges(node: &Node) -> [(&'static str, u64); 4] {
    [
        ("memory_held_bytes", node.memory.held()),
        ("caller_connections", node.listeners.callers.len() as u64),
        ("peer_connections", node.listeners.peers.len() as u64),
        (
            "upstream_connections",
            node.upstream_connections.get() as u64,
        ),
    ]
}

/// Serves the metrics of this process.
pub(crate) async fn serve_metrics(node: Rc<Node>, socket: TcpListener) {
    let listener = Rc::clone(&node.listeners.metrics);
    let answering = Rc::clone(&node);
    serve_connections(node, listener, socket, CHECK_LIMITS, move |_, _| {
        let gauges = read_gauges(&answering);
        let page = answering.state.borrow().metrics.render(&gauges);
        ready(Response::new(Full::new(Bytes::from(page))))
    })
    .await;
}
