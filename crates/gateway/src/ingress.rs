//! Connections of callers, and of the balancer that asks whether this process is ready.

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

use crate::accept::accept_each;
use crate::accept::serve_each;
use crate::metrics::Counter;
use crate::node::Node;
use crate::request::handle_request;

/// Time for which a connection may be idle while no configuration says so.
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// Bytes in the head of a request while no configuration says so.
const FIRST_HEAD_BYTES: usize = 16_384;

/// Least that hyper takes as the size of a buffer.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts callers until the process ends; `closing` turns true when idle connections are to be closed.
pub(crate) async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    accept_each(listener, |stream| {
        let node = Rc::clone(&node);
        tokio::task::spawn_local(serve_caller(node, stream, closing.clone()));
    })
    .await;
}

async fn serve_caller(node: Rc<Node>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if node.callers.get() >= node.connection_bound() {
        refuse_caller(&node);
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "ingress: no delay can't be set");
    }
    let request_limits = node
        .state
        .borrow()
        .table
        .as_ref()
        .map(|table| table.request_limits);
    let idle = request_limits.map_or(FIRST_IDLE, |request_limits| {
        request_limits.idle_timeout.max(request_limits.head_timeout)
    });
    let head = request_limits.map_or(FIRST_HEAD_BYTES, |request_limits| {
        request_limits.max_head_bytes
    });
    let service = service_fn(|request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(handle_request(node, request).await) }
    });
    node.callers.set(node.callers.get() + 1);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(MIN_BUFFER_BYTES))
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
    node.callers.set(node.callers.get() - 1);
    if let Err(error) = result {
        log::debug!(error:% = error; "ingress: connection ended");
    }
}

/// Notes that a connection is closed unread, which tells its caller that nothing of its request has run.
fn refuse_caller(node: &Node) {
    let open = node.callers.get();
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::CallerRefused);
    if let Some(skipped) = state.allow_line("refused caller") {
        log::warn!(open, skipped; "ingress: too many connections");
    }
}

/// Answers the balancer's question whether this process takes new connections.
pub(crate) async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    serve_each(listener, move |_| {
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
    serve_each(listener, move |_| {
        let page = node.state.borrow().metrics.write();
        ready(Response::new(Full::new(Bytes::from(page))))
    })
    .await;
}
