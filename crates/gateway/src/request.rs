//! One request of a caller, from its head to its answer.

use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::Revision;
use base::ServiceName;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use limit::Permit;
use query::Failure;
use query::Gather;
use query::GatherEnv;
use query::Input;
use query::Kind;
use query::Order;
use query::Output;
use query::Verdict;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::Route;
use crate::Table;
use crate::Target;
use crate::attempt::Lost;
use crate::attempt::Outgoing;
use crate::attempt::Reply;
use crate::attempt::remove_hop_headers;
use crate::attempt::send_attempt;
use crate::body::BodyError;
use crate::body::Reserved;
use crate::body::read_body;
use crate::merge::merge_records;
use crate::metrics::Counter;
use crate::node::Node;

/// Time before the objective at which an answer without the last parts leaves, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Time for which sub-requests that are no longer needed may end by themselves, so that their connections are kept.
const LOSER_TIME: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for a process that has just started to learn its configuration.
const LOAD_TIME: Duration = Duration::from_millis(700);

/// Services without a part that a log line names.
const MAX_NAMED: usize = 4;

/// Time after which a caller is asked to come back when no server could take its request.
const RETRY_AFTER: &str = "0.2";

/// Memory that a request takes besides its body: its head, tasks and buffers.
const REQUEST_BYTES: u64 = 16 << 10;

/// Memory that a sub-request takes besides its reply: its head, task and buffers.
const ATTEMPT_BYTES: u64 = 8 << 10;

type Answer = Response<Full<Bytes>>;
type Event = (AttemptId, Result<Reply, Lost>);

/// Handles one request; dropping the future closes the connections on which its sub-requests are under way.
pub(crate) async fn handle_request(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    let mut answer = match accept(&node, request, arrived).await {
        Ok(accepted) => run(&node, accepted).await,
        Err(answer) => answer,
    };
    if node.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
}

/// A request with the route that it takes.
struct Accepted {
    /// Configuration in which the route was found; another may come into force while the body is read.
    revision: Revision,
    route: Rc<Route>,
    outgoing: Outgoing,
    /// Moment from which an answer without some parts is better than waiting for them.
    objective: Instant,
    /// Memory for the request and its body.
    room: Reserved,
}

/// Finds the route of a request and reads its body.
async fn accept(
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
    let route = find_route(&table, &head).ok_or_else(|| {
        let mut state = node.state.borrow_mut();
        state.metrics.count(Counter::RequestNoRoute);
        if let Some(skipped) = state.allow_line("no route") {
            let id = id.to_str().unwrap_or("?");
            log::info!(id, revision = table.revision, path = head.uri.path(), skipped; "request: no route");
        }
        reply_error(StatusCode::NOT_FOUND, "no route matches")
    })?;
    let left = given.unwrap_or(route.timeout);
    let deadline = arrived + left.min(route.timeout);
    let cost = REQUEST_BYTES + ATTEMPT_BYTES * route.target.width();
    let mut room = Reserved::admit(node, route.rank, cost)
        .ok_or_else(|| refuse_for_room(node, &id, &route))?;
    let reading = read_body(body, table.bounds.body_bytes, &mut room);
    let body = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            return Err(reply_error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        Ok(Err(BodyError::Broken)) => {
            return Err(reply_error(StatusCode::BAD_REQUEST, "the body broke off"));
        }
        Ok(Err(BodyError::NoRoom)) => return Err(refuse_for_room(node, &id, &route)),
        Err(_) => {
            let mut answer =
                reply_error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(http::header::CONNECTION, close);
            return Err(answer);
        }
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
    refuse("no memory is left")
}

fn read_deadline(node: &Node, head: &http::request::Parts) -> Option<Duration> {
    let value = head.headers.get(&node.headers.deadline)?;
    let millis = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the configuration, after waiting for a short time if this process has just started.
///
/// A process learns it within a fraction of a second, sooner than a refused caller would be back.
async fn wait_for_table(node: &Node, left: Option<Duration>) -> Option<Rc<Table>> {
    let loaded = node.loaded.notified();
    if !node.state.borrow().is_loaded() {
        let wait = left.map_or(LOAD_TIME, |left| (left / 3).min(LOAD_TIME));
        // Without it the request is refused below.
        let _ = tokio::time::timeout(wait, loaded).await;
    }
    node.state.borrow().table.clone()
}

fn find_route(table: &Table, head: &http::request::Parts) -> Option<Rc<Route>> {
    let host = match head.headers.get(http::header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => head.uri.host()?,
    };
    table.find(host, head.uri.path())
}

/// Counts the callers that leave before their answer, when the future of their request is dropped.
struct Waiting<'a> {
    node: &'a Node,
    ended: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let mut state = self.node.state.borrow_mut();
            state.metrics.count(Counter::RequestLeft);
        }
    }
}

/// Drives the state machine of one request.
struct Run<'a> {
    node: &'a Rc<Node>,
    route: Rc<Route>,
    outgoing: Rc<Outgoing>,
    events: mpsc::UnboundedSender<Event>,
    tasks: JoinSet<()>,
    replies: HashMap<AttemptId, Reply>,
    /// Failure of a server that is passed on when no server gives anything better.
    failure: Option<Reply>,
    sent: HashMap<AttemptId, Instant>,
    /// Why the latest sub-request failed.
    reason: &'static str,
    revision: Revision,
}

async fn run(node: &Rc<Node>, accepted: Accepted) -> Answer {
    let started = Instant::now();
    let Accepted {
        revision,
        route,
        outgoing,
        objective,
        room: _room,
    } = accepted;
    let mut waiting = Waiting { node, ended: false };
    let (events, mut received) = mpsc::unbounded_channel();
    let mut gather = Gather::new(make_order(node, &route, &outgoing, objective));
    let mut run = Run {
        node,
        route,
        outgoing: Rc::new(outgoing),
        events,
        tasks: JoinSet::new(),
        replies: HashMap::new(),
        failure: None,
        sent: HashMap::new(),
        reason: "none",
        revision,
    };
    let mut input = Input::Start;
    let verdict = loop {
        if let Some(verdict) = run.advance(&mut gather, input) {
            break verdict;
        }
        let wake = gather.next_wake().unwrap_or(gather.order().deadline);
        input = tokio::select! {
            biased;
            event = received.recv() => match event {
                Some(event) => run.take(event),
                None => Input::Wake,
            },
            () = tokio::time::sleep_until(wake.into()) => Input::Wake,
        };
    };
    waiting.ended = true;
    run.log(&verdict, &gather, started);
    run.finish(verdict)
}

fn make_order(node: &Node, route: &Route, outgoing: &Outgoing, objective: Instant) -> Order {
    let mut state = node.state.borrow_mut();
    let (services, required): (Rc<[ServiceName]>, usize) = match &route.target {
        Target::Services(services) => {
            let drawn = state.rng.random::<f64>();
            (Rc::from([draw_service(services, drawn)]), 1)
        }
        Target::Shards {
            services, least, ..
        } => (Rc::clone(services), count_required(services.len(), *least)),
    };
    Order {
        services,
        required,
        repeatable: route.repeatable,
        max_runs: route.max_runs,
        objective,
        deadline: outgoing.deadline,
        usual: state.usual_time(route),
        hedge_after: state.hedge_time(route),
    }
}

/// Returns the number of parts that make up a share; the tolerance absorbs the rounding of the product.
pub(crate) fn count_required(services: usize, least: f64) -> usize {
    ((services as f64 * least - 1e-9).ceil() as usize).max(1)
}

/// Chooses a service in proportion to the weights; `drawn` is between 0 and 1.
pub(crate) fn draw_service(services: &[(ServiceName, f64)], drawn: f64) -> ServiceName {
    let total: f64 = services.iter().map(|(_, weight)| weight).sum();
    let mut left = drawn * total;
    for (service, weight) in services {
        if left < *weight {
            return service.clone();
        }
        left -= weight;
    }
    services
        .last()
        .map(|(service, _)| service.clone())
        .unwrap_or_default()
}

impl Run<'_> {
    fn advance(&mut self, gather: &mut Gather, input: Input) -> Option<Verdict> {
        let now = Instant::now();
        let outputs = {
            let mut guard = self.node.state.borrow_mut();
            let state = &mut *guard;
            let mut env = GatherEnv {
                replicas: state.directory.replicas(),
                limits: &mut state.limits,
                next_attempt: &mut state.next_attempt,
                rng: &mut state.rng,
            };
            gather.handle(input, now, &mut env)
        };
        let mut verdict = None;
        for output in outputs {
            match output {
                Output::Send {
                    id, kind, permit, ..
                } => {
                    self.count_attempt(kind);
                    self.send(id, permit, now);
                }
                Output::Finish(end) => verdict = Some(end),
            }
        }
        verdict
    }

    fn count_attempt(&self, kind: Kind) {
        let counter = match kind {
            Kind::Primary => Counter::AttemptPrimary,
            Kind::Hedge => Counter::AttemptHedge,
            Kind::Retry => Counter::AttemptRetry,
        };
        self.node.state.borrow_mut().metrics.count(counter);
    }

    fn send(&mut self, id: AttemptId, permit: Permit, now: Instant) {
        if self.node.state.borrow().limits.is_near(permit.key()) {
            self.sent.insert(id, now);
        }
        let node = Rc::clone(self.node);
        let outgoing = Rc::clone(&self.outgoing);
        let events = self.events.clone();
        self.tasks.spawn_local(async move {
            let result = send_attempt(node, outgoing, permit).await;
            // The request may have ended meanwhile, and then nobody waits for the reply.
            let _ = events.send((id, result));
        });
    }

    /// Tells whether a reply may be passed on, or be a part: of several servers only successes are parts.
    fn is_usable(&self, reply: &Reply) -> bool {
        match &self.route.target {
            Target::Services(_) => !reply.is_failure,
            Target::Shards { .. } => reply.status.is_success(),
        }
    }

    fn take(&mut self, (id, result): Event) -> Input {
        match result {
            Ok(reply) if self.is_usable(&reply) => {
                if let Some(sent) = self.sent.get(&id) {
                    let mut state = self.node.state.borrow_mut();
                    state.note_reply_time(&self.route, sent.elapsed());
                }
                self.replies.insert(id, reply);
                Input::Replied(id)
            }
            Ok(reply) => {
                self.failure = Some(reply);
                self.reason = "the server failed";
                Input::Failed(id, Failure::Lost)
            }
            Err(lost) => {
                self.reason = lost.reason;
                let counter = if lost.failure.proves_not_run() {
                    Counter::AttemptNotRun
                } else {
                    Counter::AttemptLost
                };
                self.node.state.borrow_mut().metrics.count(counter);
                Input::Failed(id, lost.failure)
            }
        }
    }

    /// Counts and logs how the request ended, with what decided it.
    fn log(&self, verdict: &Verdict, gather: &Gather, started: Instant) {
        let (kind, counter) = match verdict {
            Verdict::Answered { missing: 0, .. } => ("whole", Counter::RequestWhole),
            Verdict::Answered { .. } => ("partial", Counter::RequestPartial),
            Verdict::NotRun => ("not run", Counter::RequestNotRun),
            Verdict::Failed => ("failed", Counter::RequestFailed),
            Verdict::TimedOut => ("timed out", Counter::RequestTimedOut),
        };
        let missing = match verdict {
            Verdict::Answered { missing, .. } => *missing,
            Verdict::NotRun | Verdict::Failed | Verdict::TimedOut => gather.order().services.len(),
        };
        let took = started.elapsed();
        let mut state = self.node.state.borrow_mut();
        state.metrics.count(counter);
        state.metrics.note_latency(&self.route.name, took);
        if kind == "whole" {
            return;
        }
        let Some(skipped) = state.allow_line(kind) else {
            return;
        };
        let id = self.outgoing.id.to_str().unwrap_or("?");
        let (route, reason) = (self.route.name.as_str(), self.reason);
        let (sent, ms) = (gather.sent(), took.as_millis() as u64);
        let revision = self.revision;
        let open = describe_open(gather);
        let open = open.as_str();
        log::info!(id, route, revision, ms, sent, missing, open, reason, skipped; "request: {kind}");
    }

    fn finish(mut self, verdict: Verdict) -> Answer {
        let answer = match verdict {
            Verdict::Answered { parts, missing } => self.answer(&parts, missing),
            Verdict::NotRun => refuse("no server could take the request"),
            Verdict::Failed => self.pass_failure(StatusCode::BAD_GATEWAY, "the servers failed"),
            Verdict::TimedOut => {
                self.pass_failure(StatusCode::GATEWAY_TIMEOUT, "no answer came in time")
            }
        };
        if !self.tasks.is_empty() {
            let mut tasks = std::mem::take(&mut self.tasks);
            tokio::task::spawn_local(async move {
                let all = async { while tasks.join_next().await.is_some() {} };
                // Dropping the tasks that are left closes their connections.
                let _ = tokio::time::timeout(LOSER_TIME, all).await;
            });
        }
        answer
    }

    fn answer(&mut self, parts: &[AttemptId], missing: usize) -> Answer {
        let replies: Vec<Reply> = parts
            .iter()
            .filter_map(|id| self.replies.remove(id))
            .collect();
        match &self.route.target {
            Target::Services(_) => match replies.into_iter().next() {
                Some(reply) => pass_reply(reply),
                None => reply_error(StatusCode::BAD_GATEWAY, "the reply is gone"),
            },
            Target::Shards { top, .. } => self.merge(&replies, *top, missing),
        }
    }

    fn merge(&self, replies: &[Reply], top: usize, missing: usize) -> Answer {
        let names = &self.node.headers;
        let bodies: Vec<Bytes> = replies.iter().map(|reply| reply.body.clone()).collect();
        let signatures: Vec<&str> = replies
            .iter()
            .filter_map(|reply| reply.headers.get(&names.signature)?.to_str().ok())
            .collect();
        let mut answer = Response::new(Full::new(merge_records(&bodies, top)));
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&signatures.join(", ")) {
            headers.insert(&names.parts, value);
        }
        headers.insert(&names.missing, HeaderValue::from(missing));
        headers.insert(&names.request_id, self.outgoing.id.clone());
        answer
    }

    /// Passes the failure of the server on if there was only one to ask, since it says more than one of our own.
    fn pass_failure(&mut self, status: StatusCode, reason: &'static str) -> Answer {
        match (self.failure.take(), &self.route.target) {
            (Some(reply), Target::Services(_)) => pass_reply(reply),
            _ => reply_error(status, reason),
        }
    }
}

/// Names the first services without a part, each with the sub-requests sent to it and those still awaited.
fn describe_open(gather: &Gather) -> String {
    let mut text = String::new();
    for open in gather.open_services().iter().take(MAX_NAMED) {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "{separator}{}:{}/{}",
            open.service, open.sent, open.awaited
        );
    }
    text
}

fn pass_reply(reply: Reply) -> Answer {
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = reply.headers;
    remove_hop_headers(answer.headers_mut());
    answer
}

fn refuse(reason: &'static str) -> Answer {
    let mut answer = reply_error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let after = HeaderValue::from_static(RETRY_AFTER);
    answer
        .headers_mut()
        .insert(http::header::RETRY_AFTER, after);
    answer
}

fn reply_error(status: StatusCode, reason: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    answer
}
