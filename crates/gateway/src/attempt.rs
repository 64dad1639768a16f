//! One request to one server, and what its reply proves.

use std::net::SocketAddr;
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
use crate::body::Reserved;
use crate::body::read_body;
use crate::node::Node;
use crate::pool::Connection;
use crate::pool::Open;
use crate::pool::connect;
use crate::pool::parse_keep_alive;

/// Longest time to wait for a connection; a server that takes longer is cut off or stands still.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Time beyond a round trip in which a server resets a connection that it has no room for.
const SETTLE_TIME: Duration = Duration::from_millis(8);

/// Largest reply that is read, since it is held in memory until it is complete.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// What is sent to servers for one request of a caller.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: HeaderValue,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Instant,
}

/// A complete reply of a server.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The reply is a failure of the server, which may be passed on when nothing better comes.
    pub(crate) is_failure: bool,
    /// Memory for the body.
    pub(crate) room: Option<Reserved>,
}

/// How a request to a server ended without a reply.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) failure: Failure,
    pub(crate) reason: &'static str,
}

/// A permit that goes back to the limits however its task ends.
struct Held {
    node: Rc<Node>,
    permit: Option<Permit>,
}

impl Held {
    fn release(&mut self, ending: AttemptOutcome) {
        if let Some(permit) = self.permit.take() {
            let mut state = self.node.state.borrow_mut();
            state.limits.release(permit, ending, Instant::now());
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release(AttemptOutcome::Cancelled);
    }
}

/// Sends one request and waits for the whole reply; the connection is closed if the future is dropped before that.
pub(crate) async fn send_attempt(
    node: Rc<Node>,
    outgoing: Rc<Outgoing>,
    permit: Permit,
) -> Result<Reply, Lost> {
    let key = permit.key();
    let mut held = Held {
        node: Rc::clone(&node),
        permit: Some(permit),
    };
    let result = exchange(&node, &outgoing, key).await;
    held.release(match &result {
        Ok(reply) if reply.is_failure => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Replied,
        Err(lost) => match lost.failure {
            Failure::NotRun => AttemptOutcome::Shed,
            Failure::Refused => AttemptOutcome::Refused,
            Failure::Retired(_) => AttemptOutcome::Rejected,
            Failure::Unreachable | Failure::Lost => AttemptOutcome::Failed,
        },
    });
    result
}

async fn exchange(node: &Rc<Node>, outgoing: &Outgoing, key: GateKey) -> Result<Reply, Lost> {
    let endpoint = node.state.borrow().directory.endpoint(key).cloned();
    let Some(endpoint) = endpoint else {
        return lose(Failure::NotRun, "the server has left");
    };
    let mut connection = match take_idle(node, outgoing, key) {
        Some(connection) => connection,
        None => open(node, key, endpoint.addr, outgoing.repeatable).await?,
    };
    let request = build_request(node, outgoing, endpoint.id.as_str())?;
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => lose(
                    Failure::Unreachable,
                    "the connection closed before the request",
                ),
                None => lose(Failure::Lost, "the connection broke before the reply"),
            };
        }
    };
    let (head, body) = response.into_parts();
    let mut room = Reserved::empty(node);
    let body = match read_body(body, MAX_REPLY_BYTES, &mut room).await {
        Ok(body) => body,
        Err(BodyError::Broken) => return lose(Failure::Lost, "the reply broke off"),
        Err(BodyError::TooLarge) => return lose(Failure::Lost, "the reply is too large"),
        Err(BodyError::NoRoom) => return lose(Failure::Lost, "no memory is left for the reply"),
    };
    if let Some(id) = head.headers.get(&node.headers.request_id)
        && *id != outgoing.id
    {
        return lose(Failure::Lost, "the reply is for another request");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        displace(node, key);
    } else if outgoing.repeatable {
        keep(node, connection, key, &head.headers);
    }
    judge(head.status, head.headers, body, &node.headers).map(|mut reply| {
        reply.room = Some(room);
        reply
    })
}

/// Takes a kept connection, unless a request that may not be repeated could be lost on one that just closed.
fn take_idle(node: &Node, outgoing: &Outgoing, key: GateKey) -> Option<Connection> {
    if !outgoing.repeatable {
        return None;
    }
    node.state.borrow_mut().pool.take(key, Instant::now())
}

/// Opens a connection; for a request that may run only once, one that the server is sure to have taken.
///
/// A server that has too many connections resets a new one a round trip after it seemed open. A request that was sent
/// meanwhile might have run, for all that can be seen.
async fn open(
    node: &Rc<Node>,
    key: GateKey,
    addr: SocketAddr,
    repeatable: bool,
) -> Result<Connection, Lost> {
    if node.upstreams.get() >= node.connection_bound()
        && !node.state.borrow_mut().pool.close_oldest()
    {
        return lose(Failure::NotRun, "no descriptor is left for a connection");
    }
    let began = Instant::now();
    let connection = match tokio::time::timeout(CONNECT_TIME, connect(addr, Open::new(node))).await
    {
        Ok(Ok(connection)) => connection,
        Ok(Err(_)) => return lose(Failure::Refused, "the connection was refused"),
        Err(_) => return lose(Failure::Unreachable, "no connection in time"),
    };
    let trip = began.elapsed();
    node.state.borrow_mut().limits.record_rtt(key, trip);
    if !repeatable {
        tokio::time::sleep(trip + SETTLE_TIME).await;
        if connection.sender.is_closed() {
            return lose(
                Failure::Refused,
                "the connection was reset before the request",
            );
        }
    }
    Ok(connection)
}

fn build_request(
    node: &Node,
    outgoing: &Outgoing,
    target: &str,
) -> Result<Request<Full<Bytes>>, Lost> {
    let left = outgoing.deadline.saturating_duration_since(Instant::now());
    let millis = left.as_millis() as u64;
    if millis == 0 {
        return lose(Failure::NotRun, "no time is left");
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let headers = request.headers_mut();
    headers.insert(&node.headers.deadline, HeaderValue::from(millis));
    let Ok(target) = HeaderValue::from_str(target) else {
        return lose(
            Failure::NotRun,
            "the id of the server is not a header value",
        );
    };
    headers.insert(&node.headers.target, target);
    Ok(request)
}

fn keep(node: &Node, mut connection: Connection, key: GateKey, headers: &HeaderMap) {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(parse_keep_alive);
    if let Some(announced) = announced {
        connection.keep = announced;
    }
    let mut state = node.state.borrow_mut();
    if state.directory.endpoint(key).is_some() {
        state.pool.put(key, connection, Instant::now());
    }
}

/// Sends nothing more to a server whose address another one has taken over.
fn displace(node: &Node, key: GateKey) {
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    if let Some(id) = state.directory.mark_displaced(key, &mut state.limits) {
        state.pool.remove(key);
        log::info!(server = id.as_str(); "servers: another server has the address");
    }
}

/// Tells a reply from a failure, and a refusal from a request that may have run.
fn judge(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    names: &HeaderNames,
) -> Result<Reply, Lost> {
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return lose(Failure::NotRun, "the server did not run the request");
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return lose(Failure::Lost, "the reply has no signature");
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return lose(Failure::Lost, "the reply has an encoding");
    }
    Ok(Reply {
        is_failure: status.is_server_error(),
        status,
        headers,
        body,
        room: None,
    })
}

fn lose<T>(failure: Failure, reason: &'static str) -> Result<T, Lost> {
    Err(Lost { failure, reason })
}

/// Removes the headers that concern one connection only, and those that `Connection` names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    const HOP: [&str; 9] = [
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
    for name in HOP {
        headers.remove(name);
    }
    headers.remove(http::header::TRANSFER_ENCODING);
    headers.remove(http::header::CONTENT_LENGTH);
}
