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
use query::AttemptKind;
use query::Failure;
use query::Gather;
use query::GatherAction;
use query::GatherEnv;
use query::GatherEvent;
use query::GatherOutcome;
use query::GatherPlan;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::Route;
use crate::Target;
use crate::admit::Accepted;
use crate::admit::admit;
use crate::answer::Answer;
use crate::answer::pass_reply;
use crate::answer::refuse;
use crate::answer::reply_error;
use crate::attempt::Lost;
use crate::attempt::Outgoing;
use crate::attempt::Reply;
use crate::attempt::send_attempt;
use crate::merge::merge_records;
use crate::metrics::Counter;
use crate::node::Node;

/// Time for which sub-requests that are no longer needed may end by themselves, so that their connections are kept.
const LOSER_TIME: Duration = Duration::from_millis(250);

/// Services without a part that a log line names.
const MAX_NAMED: usize = 4;

type Event = (AttemptId, Result<Reply, Lost>);

/// Handles one request; dropping the future closes the connections on which its sub-requests are under way.
pub(crate) async fn handle_request(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    let mut answer = match admit(&node, request, arrived).await {
        Ok(accepted) => run(&node, accepted).await,
        Err(answer) => answer,
    };
    if node.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
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
    let mut gather = Gather::new(make_plan(node, &route, &outgoing, objective));
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
    let mut input = GatherEvent::Start;
    let verdict = loop {
        if let Some(verdict) = run.advance(&mut gather, input) {
            break verdict;
        }
        let wake = gather.next_wake().unwrap_or(gather.plan().deadline);
        input = tokio::select! {
            biased;
            event = received.recv() => match event {
                Some(event) => run.take(event),
                None => GatherEvent::Wake,
            },
            () = tokio::time::sleep_until(wake.into()) => GatherEvent::Wake,
        };
    };
    waiting.ended = true;
    run.log(&verdict, &gather, started);
    run.finish(verdict)
}

fn make_plan(node: &Node, route: &Route, outgoing: &Outgoing, objective: Instant) -> GatherPlan {
    let mut state = node.state.borrow_mut();
    let (services, required): (Rc<[ServiceName]>, usize) = match &route.target {
        Target::Services(services) => {
            let drawn = state.rng.random::<f64>();
            (Rc::from([draw_service(services, drawn)]), 1)
        }
        Target::Shards {
            services,
            min_share,
            ..
        } => (
            Rc::clone(services),
            count_required(services.len(), *min_share),
        ),
    };
    GatherPlan {
        services,
        required,
        repeatable: route.repeatable,
        max_runs: route.max_runs,
        objective,
        deadline: outgoing.deadline,
        typical_latency: state.usual_time(route),
        hedge_delay: state.hedge_time(route),
    }
}

/// Returns the number of parts that make up a share; the tolerance absorbs the rounding of the product.
pub(crate) fn count_required(services: usize, min_share: f64) -> usize {
    ((services as f64 * min_share - 1e-9).ceil() as usize).max(1)
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
    fn advance(&mut self, gather: &mut Gather, input: GatherEvent) -> Option<GatherOutcome> {
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
                GatherAction::Send {
                    id, kind, permit, ..
                } => {
                    self.count_attempt(kind);
                    self.send(id, permit, now);
                }
                GatherAction::Finish(end) => verdict = Some(end),
            }
        }
        verdict
    }

    fn count_attempt(&self, kind: AttemptKind) {
        let counter = match kind {
            AttemptKind::Primary => Counter::AttemptPrimary,
            AttemptKind::Hedge => Counter::AttemptHedge,
            AttemptKind::Retry => Counter::AttemptRetry,
        };
        self.node.state.borrow_mut().metrics.count(counter);
    }

    fn send(&mut self, id: AttemptId, permit: Permit, now: Instant) {
        if self.node.state.borrow().limits.is_same_zone(permit.key()) {
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

    fn take(&mut self, (id, result): Event) -> GatherEvent {
        match result {
            Ok(reply) if self.is_usable(&reply) => {
                if let Some(sent) = self.sent.get(&id) {
                    let mut state = self.node.state.borrow_mut();
                    state.note_reply_time(&self.route, sent.elapsed());
                }
                self.replies.insert(id, reply);
                GatherEvent::Replied(id)
            }
            Ok(reply) => {
                self.failure = Some(reply);
                self.reason = "the server failed";
                GatherEvent::Failed(id, Failure::Lost)
            }
            Err(lost) => {
                self.reason = lost.reason;
                let counter = if lost.failure.proves_not_run() {
                    Counter::AttemptNotRun
                } else {
                    Counter::AttemptLost
                };
                self.node.state.borrow_mut().metrics.count(counter);
                GatherEvent::Failed(id, lost.failure)
            }
        }
    }

    /// Counts and logs how the request ended, with what decided it.
    fn log(&self, verdict: &GatherOutcome, gather: &Gather, started: Instant) {
        let (kind, counter) = match verdict {
            GatherOutcome::Answered { missing: 0, .. } => ("whole", Counter::RequestWhole),
            GatherOutcome::Answered { .. } => ("partial", Counter::RequestPartial),
            GatherOutcome::NotRun => ("not run", Counter::RequestNotRun),
            GatherOutcome::Failed => ("failed", Counter::RequestFailed),
            GatherOutcome::TimedOut => ("timed out", Counter::RequestTimedOut),
        };
        let missing = match verdict {
            GatherOutcome::Answered { missing, .. } => *missing,
            GatherOutcome::NotRun | GatherOutcome::Failed | GatherOutcome::TimedOut => {
                gather.plan().services.len()
            }
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

    fn finish(mut self, verdict: GatherOutcome) -> Answer {
        let answer = match verdict {
            GatherOutcome::Answered { parts, missing } => self.answer(&parts, missing),
            GatherOutcome::NotRun => refuse("no server could take the request"),
            GatherOutcome::Failed => {
                self.pass_failure(StatusCode::BAD_GATEWAY, "the servers failed")
            }
            GatherOutcome::TimedOut => {
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
            Target::Shards { top_k, .. } => self.merge(&replies, *top_k, missing),
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
    for open in gather.unanswered_services().iter().take(MAX_NAMED) {
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
