//! Drives the state machine of a query: sends its sub-requests, and feeds replies and timers back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::CancelRequest;
use base::Code;
use base::QueryReply;
use base::QueryRequest;
use base::RejectReply;
use base::Upstream;
use bytes::Bytes;
use http::StatusCode;
use member::GroupName;
use query::Action;
use query::Answer;
use query::Attempt;
use query::Event;
use query::Failure;
use query::Plan;
use query::Query;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::Node;
use crate::pool::CallError;
use crate::pool::Reply;
use crate::request::format_query;
use crate::routes::Holder;
use crate::routes::Route;
use crate::scatter::send_group;

/// Path of a query at an upstream.
pub const PATH_QUERY: &str = "/v1/query";

/// Path by which an attempt is cancelled at an upstream.
const PATH_CANCEL: &str = "/v1/cancel";

/// Longest wait for a connection that carries a cancellation; later it would save no work.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(20);

/// What every attempt of one query has in common.
#[derive(Debug)]
pub struct Shared {
    /// The node that runs the query.
    pub node: Arc<Node>,
    /// The fixed inputs of the query.
    pub plan: Plan,
    /// The caller's body.
    pub body: Box<RawValue>,
    events: UnboundedSender<Event>,
}

impl Shared {
    /// Hands an event to the query, which may have ended.
    pub fn report(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Runs a query to its answer.
///
/// Events are handled one at a time under the lock of the node's limits, which is never held across an await point.
pub async fn run_query(node: &Arc<Node>, plan: Plan, body: Box<RawValue>) -> Answer {
    let (events, mut inbox) = mpsc::unbounded_channel();
    let mut query = Query::new(plan.clone(), Instant::now());
    let shared = Arc::new(Shared {
        node: node.clone(),
        plan,
        body,
        events,
    });
    node.register(shared.plan.id, shared.events.clone());
    let answer = drive_query(node, &shared, &mut query, &mut inbox).await;
    node.unregister(shared.plan.id);
    answer
}

async fn drive_query(
    node: &Arc<Node>,
    shared: &Arc<Shared>,
    query: &mut Query,
    inbox: &mut UnboundedReceiver<Event>,
) -> Answer {
    let mut event = Event::Start;
    let mut wake = shared.plan.deadline;
    loop {
        let mut attempts = Vec::new();
        for action in node.advance(query, &shared.plan.index, event) {
            match action {
                Action::Send(attempt) => attempts.push(attempt),
                Action::Cancel(attempt) => node.cancel(attempt),
                Action::WakeAt(at) => wake = at,
                Action::Finish(answer) => return *answer,
            }
        }
        send_attempts(shared, attempts);
        event = tokio::select! {
            Some(event) = inbox.recv() => event,
            () = tokio::time::sleep_until(wake.into()) => Event::Wake,
        };
    }
}

/// Sends attempts to the upstreams that this node connects to, and the rest through holders, one message a group.
fn send_attempts(shared: &Arc<Shared>, attempts: Vec<Attempt>) {
    let mut groups: BTreeMap<GroupName, (Arc<[Holder]>, Vec<Attempt>)> = BTreeMap::new();
    for attempt in attempts {
        match shared.node.route(&attempt.upstream) {
            Route::Direct => drop(tokio::spawn(send_attempt(shared.clone(), attempt))),
            Route::Through(group, holders) => {
                groups
                    .entry(group)
                    .or_insert_with(|| (holders, Vec::new()))
                    .1
                    .push(attempt);
            }
        }
    }
    for (holders, attempts) in groups.into_values() {
        tokio::spawn(send_group(shared.clone(), holders, attempts));
    }
}

/// Sends one attempt and reports its end to the query.
async fn send_attempt(shared: Arc<Shared>, attempt: Attempt) {
    let (node, plan) = (&shared.node, &shared.plan);
    let id = attempt.id;
    let Some(upstream) = node.upstream(&attempt.upstream) else {
        shared.report(Event::Failed(id, Failure::Unreachable));
        return;
    };
    let sent = Instant::now();
    let request = QueryRequest {
        attempt: id,
        query: format_query(plan.id),
        index: plan.index.clone(),
        version: attempt.snapshot.version,
        map: attempt.snapshot.map,
        shards: vec![attempt.shard],
        deadline_ms: attempt.deadline.saturating_duration_since(sent).as_millis() as u64,
        request: plan.request.clone(),
        body: shared.body.clone(),
    };
    let share = node.share(&attempt.upstream);
    node.track(id, &upstream);
    let result = node
        .pool
        .call(
            &upstream,
            share,
            PATH_QUERY,
            encode(&request),
            attempt.deadline,
        )
        .await;
    node.untrack(id);
    let event = match result {
        Ok(reply) => {
            if let Some(state) = reply.state {
                node.record_state(&attempt.upstream, state, sent);
            }
            read_event(&attempt, &reply)
        }
        Err(error) => {
            node.record_error(&attempt.upstream, error);
            Event::Failed(id, classify_error(error))
        }
    };
    shared.report(event);
}

/// Turns a reply into an event; a reply that is not valid may come from a run, so it counts as lost.
fn read_event(sent: &Attempt, reply: &Reply) -> Event {
    let attempt = sent.id;
    if reply.status == StatusCode::OK {
        return match serde_json::from_slice::<QueryReply>(&reply.body) {
            Ok(message) => Event::Reply(message),
            Err(error) => {
                let code = Code::InvalidReply.number();
                let upstream = &sent.upstream;
                log::warn!(
                    "upstream: reply of {upstream} to attempt {attempt} is not valid: {error} (code {code})"
                );
                Event::Failed(attempt, Failure::Lost)
            }
        };
    }
    if reply.status == StatusCode::GONE {
        let held = serde_json::from_slice::<RejectReply>(&reply.body).map(|reject| reject.held);
        return Event::Failed(attempt, Failure::Retired(held.unwrap_or_default()));
    }
    let failure = if reply.not_run {
        Failure::NotRun
    } else {
        Failure::Lost
    };
    Event::Failed(attempt, failure)
}

/// Tells what a failed call proves.
pub fn classify_error(error: CallError) -> Failure {
    match error {
        CallError::ShareExhausted => Failure::NotRun,
        CallError::Refused => Failure::Refused,
        CallError::Unreachable => Failure::Unreachable,
        CallError::Lost => Failure::Lost,
    }
}

/// Encodes a message of the upstream protocol.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    serde_json::to_vec(message)
        .expect("upstream messages have string keys only")
        .into()
}

/// Tells an upstream that a reply is not needed; the attempt's own task reads the reply and frees the connection.
pub async fn send_cancel(node: Arc<Node>, attempt: AttemptId, upstream: Upstream) {
    let share = node.share(&upstream.id);
    let message = CancelRequest { attempt };
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    if let Err(error) = node
        .pool
        .call(&upstream, share, PATH_CANCEL, encode(&message), deadline)
        .await
    {
        log::debug!(
            "upstream: attempt {attempt} was not cancelled at {}: {error:?}",
            upstream.id
        );
    }
}

/// Asks a holder to withdraw an attempt.
pub async fn send_cancel_through(node: Arc<Node>, attempt: AttemptId, holder: Holder) {
    let request = wire::CancelRequest {
        attempts: vec![attempt],
    };
    if let Err(status) = node.peers.client(holder.addr).cancel(request).await {
        log::debug!(
            "peer: attempt {attempt} was not cancelled through {}: {status}",
            holder.node
        );
    }
}
