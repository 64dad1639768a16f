//! Serves connections of callers, the load balancer's readiness checks, and the metrics.

use std::convert::Infallible;
use std::future::ready;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::accept::accept_connections;
use crate::accept::serve_connections;
use crate::metrics::Counter;
use crate::node::CountGuard;
use crate::node::Node;
use crate::request::Origin;
use crate::request::handle_request;

/// Idle timeout of connections that are opened before the first configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest head of a request on such a connection.
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves callers until the process ends; once `closing` is true, idle connections are closed.
pub(crate) async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    accept_connections(listener, |stream| {
        let node = Rc::clone(&node);
        tokio::task::spawn_local(serve_caller(node, stream, closing.clone()));
    })
    .await;
}

async fn serve_caller(node: Rc<Node>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if node.caller_connections.get() >= node.connection_limit() {
        report_refused(&node);
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "ingress: failed to set TCP_NODELAY");
    }
    let table = node.state.borrow().table.clone();
    let limits = table.map(|table| table.request_limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.head_timeout)
    });
    let max_head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_head_bytes);
    let service = service_fn(|request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(handle_request(node, request, Origin::Caller).await) }
    });
    let _open = CountGuard::new(&node, |node| &node.caller_connections);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut is_closing = *closing.borrow();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            changed = closing.changed(), if !is_closing => {
                is_closing = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "ingress: connection failed");
    }
}

/// Counts and logs a connection that is closed before anything is read, which proves to the caller that its request did
/// not run.
fn report_refused(node: &Node) {
    let open = node.caller_connections.get();
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::CallerRefused);
    if let Some(skipped) = state.allow_log_line("refused caller") {
        log::warn!(open, skipped; "ingress: refused a connection; too many are open");
    }
}

/// Answers the load balancer's readiness checks.
pub(crate) async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    serve_connections(listener, move |_| {
        let mut answer = Response::new(Full::new(Bytes::new()));
        if !node.is_ready() {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        ready(answer)
    })
    .await;
}

/// Serves the metrics of this process.
pub(crate) async fn serve_metrics(node: Rc<Node>, listener: TcpListener) {
    serve_connections(listener, move |_| {
        let page = node.state.borrow().metrics.render();
        ready(Response::new(Full::new(Bytes::from(page))))
    })
    .await;
}
