//! Attempts that are forwarded by a holder: the client side on the node that runs the query, and the holder's side.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::QueryReply;
use base::QueryRequest;
use base::RejectReply;
use base::Snapshot;
use base::UpstreamId;
use base::UpstreamState;
use bytes::Bytes;
use http::StatusCode;
use limit::AttemptOutcome;
use query::Attempt;
use query::Event;
use query::Failure;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Status;
use wire::AttemptResult;
use wire::HeaderState;
use wire::ScatterRequest;
use wire::attempt_result::Result as WireResult;

use crate::node::Node;
use crate::pool::CallError;
use crate::pool::Reply;
use crate::query_driver::PATH_QUERY;
use crate::query_driver::QueryContext;
use crate::query_driver::encode;
use crate::request::format_query;
use crate::routes::Holder;

/// Interval at which the holder retries to get a permit; the release of a permit ends the wait early.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Stream of attempt results that a holder returns.
pub type ResultStream = UnboundedReceiverStream<Result<AttemptResult, Status>>;

/// Sends the attempts of one group to a holder and reports their results to the query.
///
/// If a holder cannot be reached, the next one is tried. If the connection breaks between the request and the start of
/// the stream, both holders may send the attempts, so only repeatable requests go through holders. If the stream breaks
/// later, its unfinished attempts count as lost.
pub async fn send_group(
    context: Arc<QueryContext>,
    holders: Arc<[Holder]>,
    attempts: Vec<Attempt>,
) {
    let Some(first) = attempts.first() else {
        return;
    };
    let mut request = make_request(&context, first.snapshot, first.deadline);
    request.attempts = attempts
        .iter()
        .map(|attempt| wire::Attempt {
            id: attempt.id,
            upstream: attempt.upstream.to_string(),
            shard: attempt.shard,
        })
        .collect();
    let mut pending: Vec<(u64, UpstreamId)> = attempts
        .iter()
        .map(|attempt| (attempt.id, attempt.upstream.clone()))
        .collect();
    let sent = Instant::now();
    let mut failure = Failure::Unreachable;
    for holder in holders.iter() {
        let mut client = context.node.peers.client(holder.addr);
        let stream = match client.scatter(request.clone()).await {
            Ok(response) => response.into_inner(),
            Err(status) if status.code() == tonic::Code::Unavailable => {
                log::debug!("peer: failed to reach holder {}: {status}", holder.node);
                continue;
            }
            Err(status) => {
                log::warn!("peer: holder {} returned an error: {status}", holder.node);
                failure = Failure::Lost;
                break;
            }
        };
        context
            .node
            .track_holder(attempts.iter().map(|attempt| attempt.id), holder);
        failure = Failure::Lost;
        read_results(&context, stream, &mut pending, sent).await;
        break;
    }
    for (attempt, _) in pending {
        context.node.untrack_attempt(attempt);
        context.report(Event::Failed(attempt, failure.clone()));
    }
}

fn make_request(context: &QueryContext, snapshot: Snapshot, deadline: Instant) -> ScatterRequest {
    let plan = &context.plan;
    ScatterRequest {
        query: plan.id.to_be_bytes().to_vec().into(),
        service: plan.service.to_string(),
        index: plan.index.to_string(),
        version: snapshot.version,
        map: snapshot.map,
        request: plan.request.to_string(),
        body: context.body.get().as_bytes().to_vec().into(),
        deadline_ms: deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64,
        revision: plan.revision,
        attempts: Vec::new(),
    }
}

async fn read_results(
    context: &QueryContext,
    mut stream: tonic::Streaming<AttemptResult>,
    pending: &mut Vec<(u64, UpstreamId)>,
    sent: Instant,
) {
    let query = context.plan.id.to_be_bytes();
    while let Ok(Some(result)) = stream.message().await {
        let Some(position) = pending
            .iter()
            .position(|(attempt, _)| *attempt == result.attempt)
        else {
            continue;
        };
        if *result.query != query {
            continue;
        }
        let (attempt, upstream) = pending.swap_remove(position);
        context.node.untrack_attempt(attempt);
        if let Some(state) = decode_state(result.state()) {
            context.node.record_state(&upstream, state, sent);
        }
        context.report(decode_result(attempt, result));
    }
}

fn decode_result(attempt: u64, result: AttemptResult) -> Event {
    match result.result {
        Some(WireResult::Reply(body)) => match serde_json::from_slice::<QueryReply>(&body) {
            Ok(reply) => Event::Reply(reply),
            Err(error) => {
                log::warn!("peer: failed to decode the reply to attempt {attempt}: {error}");
                Event::Failed(attempt, Failure::Lost)
            }
        },
        Some(WireResult::NotRun(_)) => Event::Failed(attempt, Failure::NotRun),
        Some(WireResult::Retired(_)) => Event::Failed(attempt, Failure::Retired(result.held)),
        Some(WireResult::Refused(_)) => Event::Failed(attempt, Failure::Refused),
        Some(WireResult::Lost(_)) | None => Event::Failed(attempt, Failure::Lost),
    }
}

/// Forwards the attempts of a group as its holder: sends each attempt once and streams back each result on arrival.
pub fn serve_scatter(node: &Arc<Node>, request: ScatterRequest) -> Result<ResultStream, Status> {
    let body = String::from_utf8(request.body.to_vec())
        .ok()
        .and_then(|text| RawValue::from_string(text).ok());
    let Some(body) = body else {
        return Err(Status::invalid_argument("the body is not JSON"));
    };
    let query: [u8; 16] = request
        .query
        .as_ref()
        .try_into()
        .map_err(|_| Status::invalid_argument("the query id has not 16 bytes"))?;
    let group = Arc::new(Group {
        node: node.clone(),
        deadline: Instant::now() + Duration::from_millis(request.deadline_ms),
        query,
        body,
        request,
    });
    let (results, stream) = mpsc::unbounded_channel();
    for attempt in group.request.attempts.clone() {
        tokio::spawn(forward_attempt(group.clone(), attempt, results.clone()));
    }
    Ok(UnboundedReceiverStream::new(stream))
}

/// Inputs shared by the attempts of one scatter request at the holder.
struct Group {
    node: Arc<Node>,
    deadline: Instant,
    query: [u8; 16],
    body: Box<RawValue>,
    request: ScatterRequest,
}

async fn forward_attempt(
    group: Arc<Group>,
    attempt: wire::Attempt,
    results: UnboundedSender<Result<AttemptResult, Status>>,
) {
    let mut result = AttemptResult {
        attempt: attempt.id,
        query: group.query.to_vec().into(),
        holder: group.node.settings.node.to_string(),
        ..AttemptResult::default()
    };
    call_upstream(&group, &attempt, &mut result).await;
    result.upstream = attempt.upstream;
    // The sending node may have closed the stream, and then the result is not needed.
    let _ = results.send(Ok(result));
}

async fn call_upstream(group: &Group, attempt: &wire::Attempt, result: &mut AttemptResult) {
    let node = &group.node;
    let id = UpstreamId::from(attempt.upstream.as_str());
    let Some(upstream) = node.upstream(&id) else {
        result.result = Some(not_run("the holder does not know the upstream"));
        return;
    };
    let permit = match node
        .wait_permit(&id, group.deadline, GATE_POLL_INTERVAL)
        .await
    {
        Ok(permit) => permit,
        Err(reason) => {
            result.result = Some(not_run(reason));
            return;
        }
    };
    let sent = Instant::now();
    let request = QueryRequest {
        attempt: attempt.id,
        query: format_query(u128::from_be_bytes(group.query)),
        index: group.request.index.as_str().into(),
        version: group.request.version,
        map: group.request.map,
        shards: vec![attempt.shard],
        deadline_ms: group.deadline.saturating_duration_since(sent).as_millis() as u64,
        request: group.request.request.as_str().into(),
        body: group.body.clone(),
    };
    node.track_attempt(attempt.id, &upstream);
    let reply = node
        .pool
        .call(
            &upstream,
            node.connection_share(&id),
            PATH_QUERY,
            encode(&request),
            group.deadline,
        )
        .await;
    node.untrack_attempt(attempt.id);
    node.release(permit, classify_outcome(&reply));
    match reply {
        Ok(reply) => {
            if let Some(state) = reply.state {
                node.record_state(&id, state, sent);
                result.set_state(encode_state(state));
            }
            fill_result(reply, result);
        }
        Err(error) => {
            node.record_error(&id, error);
            result.result = Some(error_result(error));
        }
    }
}

/// Classifies a call for the gate by its status alone; the node that runs the query decodes the reply.
fn classify_outcome(reply: &Result<Reply, CallError>) -> AttemptOutcome {
    match reply {
        Ok(reply) if reply.status == StatusCode::OK => AttemptOutcome::Replied,
        Ok(reply) if reply.status == StatusCode::GONE => AttemptOutcome::Rejected,
        Ok(reply) if reply.not_run => AttemptOutcome::Shed,
        Err(CallError::Refused) => AttemptOutcome::Refused,
        Err(CallError::ShareExhausted) => AttemptOutcome::Rejected,
        Ok(_) | Err(CallError::Unreachable | CallError::Lost) => AttemptOutcome::Failed,
    }
}

fn fill_result(reply: Reply, result: &mut AttemptResult) {
    result.result = Some(match reply.status {
        StatusCode::OK => WireResult::Reply(reply.body),
        StatusCode::GONE => {
            result.held = decode_versions(&reply.body);
            WireResult::Retired(wire::Retired {})
        }
        status if reply.not_run => not_run(&format!("the upstream replied {status}")),
        status => WireResult::Lost(wire::Lost {
            reason: format!("the upstream replied {status}"),
        }),
    });
}

fn decode_versions(body: &Bytes) -> Vec<u64> {
    serde_json::from_slice::<RejectReply>(body)
        .map(|reject| reject.held)
        .unwrap_or_default()
}

fn not_run(reason: &str) -> WireResult {
    WireResult::NotRun(wire::NotRun {
        reason: reason.into(),
    })
}

fn error_result(error: CallError) -> WireResult {
    match error {
        CallError::Refused => WireResult::Refused(wire::RefusedConnection {}),
        CallError::ShareExhausted => not_run("every connection of the share is in use"),
        CallError::Unreachable => not_run("the upstream cannot be reached"),
        CallError::Lost => WireResult::Lost(wire::Lost {
            reason: "the connection broke".into(),
        }),
    }
}

fn decode_state(state: HeaderState) -> Option<UpstreamState> {
    match state {
        HeaderState::Absent => None,
        HeaderState::Live => Some(UpstreamState::Live),
        HeaderState::Cold => Some(UpstreamState::Cold),
        HeaderState::Draining => Some(UpstreamState::Draining),
    }
}

fn encode_state(state: UpstreamState) -> HeaderState {
    match state {
        UpstreamState::Live => HeaderState::Live,
        UpstreamState::Cold => HeaderState::Cold,
        UpstreamState::Draining => HeaderState::Draining,
    }
}
