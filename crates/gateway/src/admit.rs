//! Admits a request: finds its route, reserves memory and reads its body.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::Uri;
use hyper::body::Incoming;
use limit::Phase;

use crate::Route;
use crate::RouteTable;
use crate::answer::Answer;
use crate::answer::refuse;
use crate::answer::reply_error;
use crate::attempt::OutgoingRequest;
use crate::attempt::remove_hop_headers;
use crate::body::BodyError;
use crate::body::read_body;
use crate::fingerprint::Fingerprint;
use crate::listener::Slot;
use crate::memory::BodyMemory;
use crate::memory::Reserved;
use crate::metrics::Counter;
use crate::node::Node;
use crate::reserve::NoMemory;
use crate::reserve::admit_request;
use crate::reserve::reserve_replies;

/// Time before the latency objective at which a partial answer is sent, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Longest time for which a request waits for the first configuration and servers after the process has started.
const LOAD_TIMEOUT: Duration = Duration::from_millis(700);

/// Memory that a request uses besides its body, for its head, tasks and buffers.
const REQUEST_BYTES: u64 = 16 << 10;

/// Memory that an attempt uses besides its reply, for its head, task and buffers.
const ATTEMPT_BYTES: u64 = 8 << 10;

/// A request whose route is known, with memory reserved for it.
pub(crate) struct AdmittedRequest {
    /// Revision of the configuration that the route is from; another may come into force while the body is read.
    pub(crate) revision: Revision,
    pub(crate) route: Rc<Route>,
    pub(crate) outgoing: OutgoingRequest,
    /// Time from which a partial answer is better than a later one.
    pub(crate) objective: Instant,
    /// Memory reserved for the request besides its body.
    pub(crate) memory: Reserved,
    /// Attempts at each service that the gateway which forwarded the request has made, or none.
    pub(crate) used: Vec<u32>,
}

/// Finds the route of a request and reads its body.
pub(crate) async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    arrived: Instant,
    slot: &Slot,
) -> Result<AdmittedRequest, Answer> {
    let (mut head, body) = request.into_parts();
    let timeout = read_timeout(node, &head);
    let Some(table) = wait_for_table(node, timeout).await else {
        return Err(refuse("no configuration is known"));
    };
    let Some(id) = head.headers.get(&node.headers.request_id).cloned() else {
        return Err(reply_error(
            StatusCode::BAD_REQUEST,
            "the request has no id",
        ));
    };
    let route = find_route(&table, &head)
        .ok_or_else(|| refuse_route(node, &table, &id, head.uri.path()))?;
    let left = timeout.unwrap_or(route.timeout);
    let deadline = arrived + left.min(route.timeout);
    let cost = REQUEST_BYTES + ATTEMPT_BYTES * route.target.fan_out();
    let memory = admit_request(node, route.rank, cost).await;
    let memory = memory.ok_or_else(|| refuse_for_memory(node, &id, &route))?;
    let advance = reserve_replies(node, &route).await;
    let advance = advance.map_err(|NoMemory| refuse_for_memory(node, &id, &route))?;
    let mut body_memory = BodyMemory::empty(&node.memory);
    let reading = read_body(
        node,
        body,
        table.request_limits.max_body_bytes,
        &mut body_memory,
    );
    slot.begin(Phase::Body);
    let read = tokio::time::timeout_at(deadline.into(), reading).await;
    slot.begin(Phase::Busy);
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoMemory)) => return Err(refuse_for_memory(node, &id, &route)),
        Ok(Err(error)) => return Err(reply_to_body_error(error)),
        Err(_) => return Err(reply_to_slow_body()),
    };
    let spent = node.state.borrow_mut().estimate_time_spent(&route, left);
    let objective = arrived + route.objective.saturating_sub(spent + ANSWER_MARGIN);
    remove_hop_headers(&mut head.headers);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|_| reply_error(StatusCode::BAD_REQUEST, "the path is not valid"))?;
    let fingerprint = Fingerprint::of_request(&head.method, &uri, &head.headers, &body);
    let outgoing = OutgoingRequest {
        fingerprint,
        method: head.method,
        uri,
        headers: head.headers,
        body,
        _memory: body_memory,
        advance,
        id,
        repeatable: route.repeatable,
        deadline,
    };
    Ok(AdmittedRequest {
        revision: table.revision,
        route,
        outgoing,
        objective,
        memory,
        used: Vec::new(),
    })
}

/// Answers a request that matches no route of the configuration in force.
fn refuse_route(node: &Node, table: &RouteTable, id: &HeaderValue, path: &str) -> Answer {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::RequestNoRoute);
    if let Some(skipped) = state.allow_log_line("no route") {
        let id = id.to_str().unwrap_or("?");
        log::info!(id, revision = table.revision, path, skipped; "request: no route");
    }
    reply_error(StatusCode::NOT_FOUND, "no route matches")
}

fn reply_to_body_error(error: BodyError) -> Answer {
    match error {
        BodyError::TooLarge => reply_error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyError::Broken => reply_error(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyError::Invalid => reply_error(StatusCode::BAD_REQUEST, "the body is not valid"),
        BodyError::NoMemory => refuse("no memory is left"),
    }
}

/// Answers a request whose body is incomplete at its deadline, and closes the connection, on which the rest may still
/// arrive.
fn reply_to_slow_body() -> Answer {
    let mut answer = reply_error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(http::header::CONNECTION, close);
    answer
}

/// Refuses a request for lack of memory, before anything of it has run.
fn refuse_for_memory(node: &Node, id: &HeaderValue, route: &Route) -> Answer {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::RequestNoMemory);
    if let Some(skipped) = state.allow_log_line("no memory") {
        let id = id.to_str().unwrap_or("?");
        let (route, rank) = (route.name.as_str(), route.rank);
        let held = node.memory.held();
        log::warn!(id, route, rank, held, skipped; "request: refused for lack of memory");
    }
    reply_to_body_error(BodyError::NoMemory)
}

/// Reads the time that the caller will wait from the deadline header.
fn read_timeout(node: &Node, head: &http::request::Parts) -> Option<Duration> {
    let value = head.headers.get(&node.headers.deadline)?;
    let millis = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the route table, after a short wait if the process has just started.
///
/// The process loads it within a fraction of a second, sooner than a refused caller would retry.
async fn wait_for_table(node: &Node, left: Option<Duration>) -> Option<Rc<RouteTable>> {
    let loaded = node.loaded.notified();
    if !node.state.borrow().is_loaded() {
        let wait = left.map_or(LOAD_TIMEOUT, |left| (left / 3).min(LOAD_TIMEOUT));
        // If the wait times out, `admit` refuses the request.
        let _ = tokio::time::timeout(wait, loaded).await;
    }
    node.state.borrow().table.clone()
}

fn find_route(table: &RouteTable, head: &http::request::Parts) -> Option<Rc<Route>> {
    let host = match head.headers.get(http::header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => head.uri.host()?,
    };
    table.find_route(host, head.uri.path())
}
