//! Drives the state machine of a query: sends its sub-requests and passes replies and timer events to it.

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

/// Upstream path that runs a query.
pub const PATH_QUERY: &str = "/v1/query";

/// Upstream path that cancels an attempt.
const PATH_CANCEL: &str = "/v1/cancel";

/// Time limit for getting a connection for a cancellation; a later one would save no work.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(20);

/// Context shared by all attempts of one query.
#[derive(Debug)]
pub struct QueryContext {
    /// The node that runs the query.
    pub node: Arc<Node>,
    /// Plan of the query.
    pub plan: Plan,
    /// Body of the caller's request.
    pub body: Box<RawValue>,
    events: UnboundedSender<Event>,
}

impl QueryContext {
    /// Reports an event to the query; it is dropped if the query has ended.
    pub fn report(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Runs a query until it has an answer.
///
/// Events are processed one at a time under the lock of the node's limits, which is never held across an await point.
pub async fn run_query(node: &Arc<Node>, plan: Plan, body: Box<RawValue>) -> Answer {
    let (events, mut receiver) = mpsc::unbounded_channel();
    let mut query = Query::new(plan.clone(), Instant::now());
    let context = Arc::new(QueryContext {
        node: node.clone(),
        plan,
        body,
        events,
    });
    node.register_query(context.plan.id, context.events.clone());
    let answer = drive_query(node, &context, &mut query, &mut receiver).await;
    node.unregister_query(context.plan.id);
    answer
}

async fn drive_query(
    node: &Arc<Node>,
    context: &Arc<QueryContext>,
    query: &mut Query,
    receiver: &mut UnboundedReceiver<Event>,
) -> Answer {
    let mut event = Event::Start;
    let mut wake_at = context.plan.deadline;
    loop {
        let mut attempts = Vec::new();
        for action in node.process_event(query, &context.plan.index, event) {
            match action {
                Action::Send(attempt) => attempts.push(attempt),
                Action::Cancel(attempt) => node.cancel_attempt(attempt),
                Action::WakeAt(at) => wake_at = at,
                Action::Finish(answer) => return *answer,
            }
        }
        send_attempts(context, attempts);
        event = tokio::select! {
            Some(event) = receiver.recv() => event,
            () = tokio::time::sleep_until(wake_at.into()) => Event::Wake,
        };
    }
}

/// Sends attempts directly where this node has connections, and the others through holders, one message per group.
fn send_attempts(context: &Arc<QueryContext>, attempts: Vec<Attempt>) {
    let mut groups: BTreeMap<GroupName, (Arc<[Holder]>, Vec<Attempt>)> = BTreeMap::new();
    for attempt in attempts {
        match context.node.route(&attempt.upstream) {
            Route::Direct => drop(tokio::spawn(send_attempt(context.clone(), attempt))),
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
        tokio::spawn(send_group(context.clone(), holders, attempts));
    }
}

/// Sends one attempt and reports its result to the query.
async fn send_attempt(context: Arc<QueryContext>, attempt: Attempt) {
    let (node, plan) = (&context.node, &context.plan);
    let id = attempt.id;
    let Some(upstream) = node.upstream(&attempt.upstream) else {
        context.report(Event::Failed(id, Failure::Unreachable));
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
        body: context.body.clone(),
    };
    let share = node.connection_share(&attempt.upstream);
    node.track_attempt(id, &upstream);
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
    node.untrack_attempt(id);
    let event = match result {
        Ok(reply) => {
            if let Some(state) = reply.state {
                node.record_state(&attempt.upstream, state, sent);
            }
            decode_reply(&attempt, &reply)
        }
        Err(error) => {
            node.record_error(&attempt.upstream, error);
            Event::Failed(id, classify_error(error))
        }
    };
    context.report(event);
}

/// Converts a reply into an event; an invalid reply counts as lost, because the request may have run.
fn decode_reply(sent: &Attempt, reply: &Reply) -> Event {
    let attempt = sent.id;
    if reply.status == StatusCode::OK {
        return match serde_json::from_slice::<QueryReply>(&reply.body) {
            Ok(message) => Event::Reply(message),
            Err(error) => {
                let code = Code::InvalidReply.number();
                let upstream = &sent.upstream;
                log::warn!(
                    "upstream: reply of {upstream} to attempt {attempt} is invalid: {error} (code {code})"
                );
                Event::Failed(attempt, Failure::Lost)
            }
        };
    }
    if reply.status == StatusCode::GONE {
        let versions = serde_json::from_slice::<RejectReply>(&reply.body).map(|reject| reject.held);
        return Event::Failed(attempt, Failure::Retired(versions.unwrap_or_default()));
    }
    let failure = if reply.not_run {
        Failure::NotRun
    } else {
        Failure::Lost
    };
    Event::Failed(attempt, failure)
}

/// Converts a call error to the failure that the query records.
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

/// Cancels an attempt at its upstream; the attempt's own task still reads the reply and frees the connection.
pub async fn send_cancel(node: Arc<Node>, attempt: AttemptId, upstream: Upstream) {
    let share = node.connection_share(&upstream.id);
    let message = CancelRequest { attempt };
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    if let Err(error) = node
        .pool
        .call(&upstream, share, PATH_CANCEL, encode(&message), deadline)
        .await
    {
        log::debug!(
            "upstream: failed to cancel attempt {attempt} at {}: {error:?}",
            upstream.id
        );
    }
}

/// Cancels an attempt through the holder that it was sent through.
pub async fn send_holder_cancel(node: Arc<Node>, attempt: AttemptId, holder: Holder) {
    let request = wire::CancelRequest {
        attempts: vec![attempt],
    };
    if let Err(status) = node.peers.client(holder.addr).cancel(request).await {
        log::debug!(
            "peer: failed to cancel attempt {attempt} through holder {}: {status}",
            holder.node
        );
    }
}
