//! What happens to a request before anything of it is sent: its route, its share of the memory, its body.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;

use crate::Route;
use crate::RouteTable;
use crate::answer::Answer;
use crate::answer::refuse;
use crate::answer::reply_error;
use crate::attempt::Outgoing;
use crate::attempt::remove_hop_headers;
use crate::body::BodyError;
use crate::body::Reserved;
use crate::body::read_body;
use crate::metrics::Counter;
use crate::node::Node;

/// Time before the objective at which an answer without the last parts leaves, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Longest time for which a request waits for a process that has just started to learn its configuration.
const LOAD_TIME: Duration = Duration::from_millis(700);

/// Memory that a request takes besides its body: its head, tasks and buffers.
const REQUEST_BYTES: u64 = 16 << 10;

/// Memory that a sub-request takes besides its reply: its head, task and buffers.
const ATTEMPT_BYTES: u64 = 8 << 10;

/// A request with the route that it takes.
pub(crate) struct Accepted {
    /// Configuration in which the route was found; another may come into force while the body is read.
    pub(crate) revision: Revision,
    pub(crate) route: Rc<Route>,
    pub(crate) outgoing: Outgoing,
    /// Moment from which an answer without some parts is better than waiting for them.
    pub(crate) objective: Instant,
    /// Memory for the request and its body.
    pub(crate) room: Reserved,
}

/// Finds the route of a request and reads its body.
pub(crate) async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Accepted, Answer> {
    let (mut head, body) = request.into_parts();
    let given = read_deadline(node, &head);
    let Some(table) = wait_for_table(node, given).await else {
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
    let left = given.unwrap_or(route.timeout);
    let deadline = arrived + left.min(route.timeout);
    let cost = REQUEST_BYTES + ATTEMPT_BYTES * route.target.fan_out();
    let mut room = Reserved::admit(node, route.rank, cost)
        .ok_or_else(|| refuse_for_room(node, &id, &route))?;
    let reading = read_body(body, table.request_limits.max_body_bytes, &mut room);
    let body = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoRoom)) => return Err(refuse_for_room(node, &id, &route)),
        Ok(Err(error)) => return Err(reply_to_body(error)),
        Err(_) => return Err(reply_to_slow_body()),
    };
    let spent = node.state.borrow_mut().time_spent(&route, left);
    let objective = arrived + route.objective.saturating_sub(spent + ANSWER_MARGIN);
    remove_hop_headers(&mut head.headers);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path
        .parse()
        .map_err(|_| reply_error(StatusCode::BAD_REQUEST, "the path is not valid"))?;
    let outgoing = Outgoing {
        method: head.method,
        uri,
        headers: head.headers,
        body,
        id,
        repeatable: route.repeatable,
        deadline,
    };
    Ok(Accepted {
        revision: table.revision,
        route,
        outgoing,
        objective,
        room,
    })
}

/// Answers a request for which no configuration in force has a route.
fn refuse_route(node: &Node, table: &RouteTable, id: &HeaderValue, path: &str) -> Answer {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::RequestNoRoute);
    if let Some(skipped) = state.allow_line("no route") {
        let id = id.to_str().unwrap_or("?");
        log::info!(id, revision = table.revision, path, skipped; "request: no route");
    }
    reply_error(StatusCode::NOT_FOUND, "no route matches")
}

fn reply_to_body(error: BodyError) -> Answer {
    match error {
        BodyError::TooLarge => reply_error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyError::Broken => reply_error(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyError::NoRoom => refuse("no memory is left"),
    }
}

/// Answers a request whose body is missing at its deadline, and closes the connection on which the rest may still come.
fn reply_to_slow_body() -> Answer {
    let mut answer = reply_error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(http::header::CONNECTION, close);
    answer
}

/// Refuses a request for which there is no memory; nothing of it has run.
fn refuse_for_room(node: &Node, id: &HeaderValue, route: &Route) -> Answer {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::RequestNoRoom);
    if let Some(skipped) = state.allow_line("no room") {
        let id = id.to_str().unwrap_or("?");
        let (route, rank) = (route.name.as_str(), route.rank);
        let held = state.room.held();
        log::warn!(id, route, rank, held, skipped; "request: no memory");
    }
    reply_to_body(BodyError::NoRoom)
}

fn read_deadline(node: &Node, head: &http::request::Parts) -> Option<Duration> {
    let value = head.headers.get(&node.headers.deadline)?;
    let millis = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the configuration, after waiting for a short time if this process has just started.
///
/// A process learns it within a fraction of a second, sooner than a refused caller would be back.
async fn wait_for_table(node: &Node, left: Option<Duration>) -> Option<Rc<RouteTable>> {
    let loaded = node.loaded.notified();
    if !node.state.borrow().is_loaded() {
        let wait = left.map_or(LOAD_TIME, |left| (left / 3).min(LOAD_TIME));
        // Without it the request is refused below.
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
