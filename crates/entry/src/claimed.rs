//! Runs a request that is not repeatable: makes a claim, runs the request at one shard, and settles the claim.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use base::Outcome;
use base::Part;
use base::QueryReply;
use base::RunReply;
use base::RunRequest;
use compact_str::CompactString;
use http::StatusCode;
use once::ClaimSpec;
use once::Claimant;
use once::ClaimantAction;
use once::ClaimantEvent;
use once::ClaimantOptions;
use once::Request;
use once::Settlement;
use query::Action;
use query::Answer;
use query::Attempt;
use query::Event;
use query::Failure;
use query::Plan;
use query::Query;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::home::call_home;
use crate::home::decode_result;
use crate::home::encode_request;
use crate::home::read_clocks;
use crate::node::ActiveRequest;
use crate::node::Node;
use crate::node::lock;
use crate::pool::Reply;
use crate::query_driver::classify_error;
use crate::query_driver::encode;

/// Upstream path that runs a request that is not repeatable.
const PATH_RUN: &str = "/v1/run";

/// Result of a claimed request.
#[derive(Debug)]
pub struct ClaimedResult {
    /// Code and result for the caller, which the claim records as well.
    pub settlement: Settlement,
    /// Answer of the query that ran the request; `None` if no query ended for this call.
    pub answer: Option<Box<Answer>>,
}

/// Runs a claimed request; a background task goes on to settle the claim after this function has returned.
pub async fn run_claimed(
    node: &Arc<Node>,
    active: ActiveRequest,
    plan: Plan,
    spec: ClaimSpec,
    body: Box<RawValue>,
) -> ClaimedResult {
    let (inputs, receiver) = mpsc::unbounded_channel();
    let (sender, result) = oneshot::channel();
    let claimant = Claimant::new(ClaimantOptions {
        spec,
        deadline: plan.deadline,
    });
    let context = Arc::new(ClaimContext {
        node: node.clone(),
        plan,
        body,
        claimant: Mutex::new(claimant),
        inputs,
    });
    let driver = ClaimDriver {
        context,
        inputs: receiver,
        query: None,
        answer: None,
        result_sender: Some(sender),
        attempts_in_flight: 0,
        claim_wake: None,
        query_wake: None,
    };
    tokio::spawn(driver.run(active));
    result.await.unwrap_or(ClaimedResult {
        settlement: Settlement::without_result(base::Code::ClaimUnsettled),
        answer: None,
    })
}

/// State shared by the tasks of one claimed request.
#[derive(Debug)]
struct ClaimContext {
    node: Arc<Node>,
    plan: Plan,
    body: Box<RawValue>,
    claimant: Mutex<Claimant>,
    inputs: UnboundedSender<Input>,
}

/// An input of [`ClaimDriver`].
#[derive(Debug)]
enum Input {
    Claim(ClaimantEvent),
    /// Actions that the claimant returned to the task that sends the run.
    Actions(Vec<ClaimantAction>),
    Query(Event),
}

impl ClaimContext {
    fn process_claim_event(&self, event: ClaimantEvent) -> Vec<ClaimantAction> {
        lock(&self.claimant).handle(event, read_clocks())
    }

    fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }
}

/// Drives the claimant and, once the claim is granted, the query that selects the replica.
struct ClaimDriver {
    context: Arc<ClaimContext>,
    inputs: UnboundedReceiver<Input>,
    query: Option<Query>,
    answer: Option<Box<Answer>>,
    result_sender: Option<oneshot::Sender<ClaimedResult>>,
    attempts_in_flight: u32,
    claim_wake: Option<Instant>,
    query_wake: Option<Instant>,
}

impl ClaimDriver {
    /// Runs until the claim is settled; `active` delays a graceful shutdown until then.
    async fn run(mut self, active: ActiveRequest) {
        self.process_claim_event(ClaimantEvent::Start);
        while !self.is_done() {
            let wake = self.claim_wake.into_iter().chain(self.query_wake).min();
            let input = tokio::select! {
                input = self.inputs.recv() => input,
                () = sleep_until(wake) => None,
            };
            match input {
                Some(Input::Claim(event)) => self.process_claim_event(event),
                Some(Input::Actions(actions)) => {
                    let wake = self.claim_wake;
                    self.apply_actions(actions);
                    self.claim_wake = self.claim_wake.into_iter().chain(wake).min();
                }
                Some(Input::Query(event)) => self.end_attempt(event),
                None => self.process_timers(),
            }
        }
        if let Some(mut query) = self.query {
            self.context.node.abandon(&mut query);
        }
        drop(active);
    }

    fn is_done(&self) -> bool {
        let idle = self.attempts_in_flight == 0 && self.claim_wake.is_none();
        self.result_sender.is_none() && (idle || lock(&self.context.claimant).is_done())
    }

    fn process_timers(&mut self) {
        let now = Instant::now();
        if self.claim_wake.is_some_and(|at| at <= now) {
            self.process_claim_event(ClaimantEvent::Wake);
        }
        if self.query_wake.is_some_and(|at| at <= now) {
            self.query_wake = None;
            self.process_query_event(Event::Wake);
        }
    }

    fn process_claim_event(&mut self, event: ClaimantEvent) {
        let actions = self.context.process_claim_event(event);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<ClaimantAction>) {
        self.claim_wake = None;
        for action in actions {
            match action {
                ClaimantAction::CallHome(number, request) => {
                    tokio::spawn(request_home(self.context.clone(), number, request));
                }
                ClaimantAction::Prepare => {
                    self.query = Some(Query::new(self.context.plan.clone(), Instant::now()));
                    self.process_query_event(Event::Start);
                }
                ClaimantAction::Send => {}
                ClaimantAction::Finish(settlement) => {
                    let answer = self.answer.take().or_else(|| self.finish_query());
                    let sender = self.result_sender.take();
                    // The caller may have disconnected; the claim records the outcome for its retry.
                    sender.map(|sender| sender.send(ClaimedResult { settlement, answer }).is_ok());
                }
                ClaimantAction::WakeAt(at) => self.claim_wake = Some(at),
            }
        }
    }

    /// Lets the query end if its deadline has passed and returns its answer, because the claimant may finish before the
    /// query has processed its own deadline.
    fn finish_query(&mut self) -> Option<Box<Answer>> {
        let query = self.query.as_mut()?;
        let index = &self.context.plan.index;
        let actions = self.context.node.process_event(query, index, Event::Wake);
        actions.into_iter().find_map(|action| match action {
            Action::Finish(answer) => Some(answer),
            Action::Send(_) | Action::Cancel(_) | Action::WakeAt(_) => None,
        })
    }

    /// Processes the end of an attempt; a reply after the query's answer still settles the claim.
    fn end_attempt(&mut self, event: Event) {
        self.attempts_in_flight -= 1;
        if self.answer.is_some() || self.result_sender.is_none() {
            if let Event::Reply(reply) = event
                && let Some(part) = reply.parts.into_iter().next()
            {
                self.process_claim_event(ClaimantEvent::Replied(part.items.get().into()));
            }
            return;
        }
        if let Event::Failed(_, failure) = &event
            && failure.proves_not_run()
        {
            self.process_claim_event(ClaimantEvent::ResendAllowed);
        }
        self.process_query_event(event);
    }

    fn process_query_event(&mut self, event: Event) {
        let Some(query) = &mut self.query else { return };
        for action in self
            .context
            .node
            .process_event(query, &self.context.plan.index, event)
        {
            match action {
                Action::Send(attempt) => {
                    self.attempts_in_flight += 1;
                    tokio::spawn(send_run(self.context.clone(), attempt));
                }
                // A run is not cancelled, because its outcome settles the claim.
                Action::Cancel(_) => {}
                Action::WakeAt(at) => self.query_wake = Some(at),
                Action::Finish(answer) => {
                    self.query_wake = None;
                    let event = to_claimant_event(&answer);
                    self.answer = Some(answer);
                    self.process_claim_event(event);
                    return;
                }
            }
        }
    }
}

/// Converts the answer of the query to the claimant event that it proves.
fn to_claimant_event(answer: &Answer) -> ClaimantEvent {
    match (answer.code.outcome(), answer.parts.first()) {
        (Some(Outcome::Answered), Some(part)) => ClaimantEvent::Replied(part.items.get().into()),
        (Some(Outcome::Refused), _) => ClaimantEvent::NotRun(answer.code),
        _ => ClaimantEvent::ReplyLost,
    }
}

/// Sleeps until a time, or forever without one.
async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Sends a request to the home of the claim's ledger, on this node or on a peer, and reports its reply.
async fn request_home(context: Arc<ClaimContext>, number: u32, request: Request) {
    let node = &context.node;
    let event = match node.home_addr(request.spec.key.ledger()) {
        None => ClaimantEvent::HomeReplied(call_home(node, request).await),
        Some(addr) => match node
            .peers
            .client(addr)
            .claim(encode_request(&request))
            .await
        {
            Ok(reply) => ClaimantEvent::HomeReplied(decode_result(reply.into_inner())),
            Err(status) if status.code() == tonic::Code::Unavailable => {
                log::debug!(
                    "peer: failed to reach the home of ledger {}: {status}",
                    request.spec.key.ledger()
                );
                ClaimantEvent::HomeReplyLost(number)
            }
            Err(status) => {
                log::warn!(
                    "peer: the home of ledger {} returned an error: {status}",
                    request.spec.key.ledger()
                );
                ClaimantEvent::HomeReplyLost(number)
            }
        },
    };
    context.send_input(Input::Claim(event));
}

/// Sends a run over a verified connection, if the claim still permits it at that time.
async fn send_run(context: Arc<ClaimContext>, attempt: Attempt) {
    let node = &context.node;
    let event = match node.upstream(&attempt.upstream) {
        None => Event::Failed(attempt.id, Failure::Unreachable),
        Some(upstream) => {
            let share = node.connection_share(&attempt.upstream);
            match node
                .pool
                .checkout_verified(&upstream, share, attempt.deadline)
                .await
            {
                Err(error) => Event::Failed(attempt.id, classify_error(error)),
                Ok(connection) => {
                    let actions = context.process_claim_event(ClaimantEvent::Sending);
                    let permitted = actions.contains(&ClaimantAction::Send);
                    context.send_input(Input::Actions(actions));
                    if permitted {
                        let body = encode(&make_request(&context, &attempt));
                        match node.pool.send(connection, &upstream, PATH_RUN, body).await {
                            Ok(reply) => {
                                decode_run(&attempt, &reply, count_members(&context, &attempt))
                            }
                            Err(error) => Event::Failed(attempt.id, classify_error(error)),
                        }
                    } else {
                        Event::Failed(attempt.id, Failure::NotRun)
                    }
                }
            }
        }
    };
    context.send_input(Input::Query(event));
}

fn make_request(context: &ClaimContext, attempt: &Attempt) -> RunRequest {
    let plan = &context.plan;
    let remaining = attempt.deadline.saturating_duration_since(Instant::now());
    RunRequest {
        attempt: attempt.id,
        key: plan.key.clone(),
        index: plan.index.clone(),
        shard: attempt.shard,
        deadline_ms: remaining.as_millis() as u64,
        request: plan.request.clone(),
        body: context.body.clone(),
    }
}

/// Returns the number of members in an attempt's shard, for the coverage of the answer.
fn count_members(context: &ClaimContext, attempt: &Attempt) -> u64 {
    let index = context.node.index(&context.plan.index);
    let map = index
        .as_ref()
        .and_then(|index| index.map(attempt.snapshot.map));
    map.and_then(|map| map.shard(attempt.shard))
        .map_or(0, |shard| shard.members)
}

/// Converts the reply to a run into an event; an invalid reply counts as lost, because the request may have run.
fn decode_run(attempt: &Attempt, reply: &Reply, members: u64) -> Event {
    if reply.not_run {
        return Event::Failed(attempt.id, Failure::NotRun);
    }
    let message = serde_json::from_slice::<RunReply>(&reply.body);
    match message {
        Ok(message) if reply.status == StatusCode::OK && message.attempt == attempt.id => {
            Event::Reply(QueryReply {
                attempt: attempt.id,
                parts: vec![Part {
                    shard: attempt.shard,
                    version: attempt.snapshot.version,
                    map: attempt.snapshot.map,
                    members,
                    items: message.result,
                }],
                state: message.state,
                queue_ms: 0,
                held: Vec::new(),
            })
        }
        _ => {
            log::warn!(
                "upstream: reply of {} to run {} is invalid: status {} (code {})",
                attempt.upstream,
                attempt.id,
                reply.status,
                base::Code::InvalidReply.number()
            );
            Event::Failed(attempt.id, Failure::Lost)
        }
    }
}

/// Generates an idempotency key for a request without one; the answer returns it.
pub fn generate_key(node: &Node) -> CompactString {
    compact_str::format_compact!("generated-{:032x}", node.next_query_id())
}
