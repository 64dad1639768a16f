//! Sends one attempt to a server and classifies its reply.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use limit::AttemptOutcome;
use limit::GateKey;
use limit::Permit;
use query::Failure;

use crate::HeaderNames;
use crate::body::BodyError;
use crate::body::read_body;
use crate::fingerprint::Fingerprint;
use crate::links::SILENCE_TIMEOUT;
use crate::memory::Advance;
use crate::memory::BodyMemory;
use crate::metrics::Counter;
use crate::named_limit::record_named_limit;
use crate::node::CountGuard;
use crate::node::Node;
use crate::notices::record_notices;
use crate::pool::Connection;
use crate::pool::connect;
use crate::pool::parse_keep_alive;
use crate::send_gate::SendGate;

/// Longest time to wait for a connection; a server that takes longer is unreachable or hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond a round trip within which a server that is at its connection limit resets a new connection.
const RESET_MARGIN: Duration = Duration::from_millis(8);

/// Largest body of a reply, which is buffered in memory until it is complete.
pub(crate) const MAX_REPLY_BYTES: usize = 4 << 20;

/// The request that each attempt sends to a server on behalf of a caller.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory reserved for the body.
    pub(crate) _memory: BodyMemory,
    /// Memory reserved in advance for large replies.
    pub(crate) advance: Option<Advance>,
    /// Value of the caller's request id header.
    pub(crate) id: HeaderValue,
    /// What the request has in common with the caller's other tries of it.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    pub(crate) deadline: Instant,
}

impl OutgoingRequest {
    /// Builds the request with the time that is left, or returns `None` once the deadline has passed.
    pub(crate) fn build(&self, names: &HeaderNames) -> Option<Request<Full<Bytes>>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let millis = left.as_millis() as u64;
        if millis == 0 {
            return None;
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
            .headers_mut()
            .insert(&names.deadline, HeaderValue::from(millis));
        Some(request)
    }
}

/// A complete reply of a server.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the server replied with an error, which is forwarded only if no other attempt succeeds.
    pub(crate) is_failure: bool,
    /// Memory reserved for the body.
    pub(crate) memory: Option<BodyMemory>,
}

/// Why an attempt ended without a usable reply.
#[derive(Debug)]
pub(crate) struct AttemptError {
    pub(crate) failure: Failure,
    pub(crate) reason: &'static str,
    /// Whether this gateway sent nothing, for a reason of its own.
    unsent: bool,
}

/// Returns a permit to its gate when dropped, also if the attempt is cancelled, even before its task has run at all.
pub(crate) struct PermitGuard {
    node: Rc<Node>,
    permit: Option<Permit>,
    key: GateKey,
}

impl PermitGuard {
    pub(crate) fn new(node: &Rc<Node>, permit: Permit) -> PermitGuard {
        PermitGuard {
            node: Rc::clone(node),
            key: permit.key(),
            permit: Some(permit),
        }
    }

    fn release(&mut self, outcome: AttemptOutcome) {
        if let Some(permit) = self.permit.take() {
            let mut state = self.node.state.borrow_mut();
            state.limits.release(permit, outcome, Instant::now());
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.release(AttemptOutcome::Cancelled);
    }
}

/// Sends one attempt, unless it is withdrawn, and waits for the whole reply. Dropping the future before that closes the
/// connection.
pub(crate) async fn send_attempt(
    node: Rc<Node>,
    outgoing: Rc<OutgoingRequest>,
    mut permit: PermitGuard,
    gate: Rc<SendGate>,
    careful: bool,
) -> Result<Reply, AttemptError> {
    let key = permit.key;
    let result = watch_exchange(&node, exchange(&node, &outgoing, key, &gate, careful)).await;
    if let Err(error) = &result
        && error.failure == Failure::Broken
    {
        report_broken(&node, &outgoing, key);
    }
    permit.release(match &result {
        Ok(reply) if reply.is_failure => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Replied,
        Err(error) => match error.failure {
            Failure::NotRun if error.unsent => AttemptOutcome::Unsent,
            Failure::NotRun => AttemptOutcome::Shed,
            Failure::Refused => AttemptOutcome::Refused,
            Failure::Retired(_) => AttemptOutcome::Rejected,
            Failure::Unreachable | Failure::Broken | Failure::Lost => AttemptOutcome::Failed,
            Failure::Dropped => AttemptOutcome::Cancelled,
        },
    });
    result
}

/// Waits for the end of an attempt, and tells the links what it shows about them.
async fn watch_exchange(
    node: &Node,
    exchange: impl Future<Output = Result<Reply, AttemptError>>,
) -> Result<Reply, AttemptError> {
    let sent = Instant::now();
    let mut exchange = pin!(exchange);
    let result = match tokio::time::timeout(SILENCE_TIMEOUT, exchange.as_mut()).await {
        Ok(result) => result,
        Err(_) => {
            node.links.suspect(sent);
            exchange.await
        }
    };
    match &result {
        Err(error) if error.unsent => {}
        Err(AttemptError {
            failure: Failure::Refused | Failure::Unreachable | Failure::Broken,
            ..
        }) => node.links.suspect(sent),
        Ok(_) | Err(_) => node.links.record_reply(),
    }
    result
}

/// Counts and logs a connection that ended during a request; a request that crashes servers shows by the same
/// fingerprint at several of them.
fn report_broken(node: &Node, outgoing: &OutgoingRequest, key: GateKey) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::AttemptBroken);
    let Some(skipped) = state.allow_log_line("broken") else {
        return;
    };
    let endpoint = state.directory.endpoint(key);
    let server = endpoint.map_or("?", |endpoint| endpoint.id.as_str());
    let id = outgoing.id.to_str().unwrap_or("?");
    let fingerprint = outgoing.fingerprint;
    log::info!(id, fingerprint:% = fingerprint, server, skipped; "servers: a connection ended during a request");
}

/// Counts and logs a reply that was dropped for lack of memory.
fn report_dropped(node: &Node, outgoing: &OutgoingRequest) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::ReplyNoMemory);
    if let Some(skipped) = state.allow_log_line("reply without memory") {
        let id = outgoing.id.to_str().unwrap_or("?");
        let (path, held) = (outgoing.uri.path(), node.memory.held());
        log::warn!(id, path, held, skipped; "request: dropped a reply for lack of memory");
    }
}

async fn exchange(
    node: &Rc<Node>,
    outgoing: &OutgoingRequest,
    key: GateKey,
    gate: &SendGate,
    careful: bool,
) -> Result<Reply, AttemptError> {
    let endpoint = node.state.borrow().directory.endpoint(key).cloned();
    let Some(endpoint) = endpoint else {
        return fail_unsent("the server is no longer registered");
    };
    let idle = match careful {
        // An idle connection may have been reset long ago, which says nothing about the request.
        true => None,
        false => take_idle_connection(node, outgoing, key),
    };
    let mut connection = match idle {
        Some(connection) => connection,
        None => open_connection(node, key, endpoint.addr, outgoing.repeatable).await?,
    };
    let request = build_request(node, outgoing, endpoint.id.as_str())?;
    if !gate.open() {
        if outgoing.repeatable {
            return_connection(node, connection, key, &HeaderMap::new());
        }
        return fail_unsent("the request has ended");
    }
    let sent = Instant::now();
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => fail(
                    Failure::Unreachable,
                    "the connection closed before the request was sent",
                ),
                // A server that sends something has not crashed.
                None if error.error().is_parse() => {
                    fail(Failure::Lost, "the reply is not valid HTTP")
                }
                None => fail(Failure::Broken, "the connection closed before the reply"),
            };
        }
    };
    if !is_final(response.status()) {
        return fail(Failure::Lost, "the reply has no valid status");
    }
    let (head, body) = response.into_parts();
    let mut memory = BodyMemory::with_advance(&node.memory, outgoing.advance.clone());
    let body = match read_body(node, body, MAX_REPLY_BYTES, &mut memory).await {
        Ok(body) => body,
        Err(BodyError::Broken) => {
            return fail(Failure::Broken, "the connection closed within the reply");
        }
        Err(BodyError::Invalid) => return fail(Failure::Lost, "the reply is not valid HTTP"),
        Err(BodyError::TooLarge) => return fail(Failure::Lost, "the reply is too large"),
        Err(BodyError::NoMemory) => {
            report_dropped(node, outgoing);
            return fail(Failure::Dropped, "no memory left for the reply");
        }
    };
    if let Some(id) = head.headers.get(&node.headers.request_id)
        && *id != outgoing.id
    {
        return fail(Failure::Lost, "the reply has the id of another request");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        remove_displaced(node, key);
        return fail(Failure::NotRun, "another server has the address");
    }
    record_named_limit(node, &endpoint.id, &head, sent);
    record_notices(node, key, &endpoint.id, &head);
    if outgoing.repeatable {
        return_connection(node, connection, key, &head.headers);
    }
    classify_reply(head.status, head.headers, body, &node.headers).map(|mut reply| {
        reply.memory = Some(memory);
        reply
    })
}

/// Takes an idle connection from the pool. A request that may run only once gets none: if the server closes an idle
/// connection while the request is sent, nothing shows whether it ran.
fn take_idle_connection(
    node: &Node,
    outgoing: &OutgoingRequest,
    key: GateKey,
) -> Option<Connection> {
    if !outgoing.repeatable {
        return None;
    }
    node.state.borrow_mut().pool.take(key, Instant::now())
}

/// Opens a connection. For a request that may run only once, also waits until the server has accepted it.
///
/// A server at its connection limit resets a new connection a round trip after the handshake. If a request was sent by
/// then, nothing shows whether it ran.
async fn open_connection(
    node: &Rc<Node>,
    key: GateKey,
    addr: SocketAddr,
    repeatable: bool,
) -> Result<Connection, AttemptError> {
    if node.upstream_connections.get() >= node.connection_limit()
        && !node.state.borrow_mut().pool.close_oldest()
    {
        return fail_unsent("the limit of open connections is reached");
    }
    let began = Instant::now();
    let guard = CountGuard::new(node, |node| &node.upstream_connections);
    let connecting = connect(addr, guard);
    let connection = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            if error.kind() == ErrorKind::ConnectionRefused {
                node.links.record_refused(addr);
            }
            return fail(Failure::Refused, "the connection was refused");
        }
        Err(_) => return fail(Failure::Unreachable, "the connection timed out"),
    };
    node.links.record_opened();
    let rtt = began.elapsed();
    node.state.borrow_mut().limits.record_rtt(key, rtt);
    if !repeatable {
        tokio::time::sleep(rtt + RESET_MARGIN).await;
        if connection.sender.is_closed() {
            return fail(
                Failure::Refused,
                "the connection was reset before the request was sent",
            );
        }
    }
    Ok(connection)
}

fn build_request(
    node: &Node,
    outgoing: &OutgoingRequest,
    target: &str,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let Some(mut request) = outgoing.build(&node.headers) else {
        return fail_unsent("the deadline has passed");
    };
    let Ok(target) = HeaderValue::from_bytes(target.as_bytes()) else {
        return fail_unsent("the id of the server is not a valid header value");
    };
    request.headers_mut().insert(&node.headers.target, target);
    Ok(request)
}

/// Returns a connection to the pool, with the idle timeout that the server announced, if any.
fn return_connection(node: &Node, mut connection: Connection, key: GateKey, headers: &HeaderMap) {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(parse_keep_alive);
    if let Some(announced) = announced {
        connection.idle_timeout = announced;
    }
    let mut state = node.state.borrow_mut();
    let endpoint = state.directory.endpoint(key);
    if endpoint.is_some_and(|endpoint| endpoint.keeps_idle) {
        state.pool.put(key, connection, Instant::now());
    }
}

/// Stops sending to a server whose address another one has taken over.
fn remove_displaced(node: &Node, key: GateKey) {
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    if let Some(id) = state.directory.mark_displaced(key, &mut state.limits) {
        state.pool.remove(key);
        log::info!(server = id.as_str(); "servers: another server took over the address");
    }
}

/// Returns whether a status may stand in an answer; others end no request, or are in no class of HTTP.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Classifies a response: a reply, proof that the request did not run, or a failure after which it may have run.
fn classify_reply(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    names: &HeaderNames,
) -> Result<Reply, AttemptError> {
    if headers.contains_key(&names.not_run) {
        return fail(Failure::NotRun, "the server did not run the request");
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return fail(Failure::Lost, "the reply has no signature");
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return fail(Failure::Lost, "the reply has a content encoding");
    }
    Ok(Reply {
        is_failure: status.is_server_error(),
        status,
        headers,
        body,
        memory: None,
    })
}

fn fail<T>(failure: Failure, reason: &'static str) -> Result<T, AttemptError> {
    Err(AttemptError {
        failure,
        reason,
        unsent: false,
    })
}

/// Ends an attempt that this gateway could not send, which is no sign of a server that sheds.
fn fail_unsent<T>(reason: &'static str) -> Result<T, AttemptError> {
    Err(AttemptError {
        failure: Failure::NotRun,
        reason,
        unsent: true,
    })
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    const HOP_HEADERS: [&str; 9] = [
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ];
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(http::header::TRANSFER_ENCODING);
    headers.remove(http::header::CONTENT_LENGTH);
}
