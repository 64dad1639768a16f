//! Runs a request that may not be repeated: claim, one run at one shard, settlement.

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

/// Path of a request that may not be repeated at an upstream.
const PATH_RUN: &str = "/v1/run";

/// The end of a claimed request.
#[derive(Debug)]
pub struct ClaimedResult {
    /// What the caller gets, and what the claim keeps.
    pub settlement: Settlement,
    /// How it came about; absent when nothing was sent for this call.
    pub answer: Option<Box<Answer>>,
}

/// Runs a claimed request; the work that settles the claim goes on after the caller has its answer.
pub async fn run_claimed(
    node: &Arc<Node>,
    active: ActiveRequest,
    plan: Plan,
    spec: ClaimSpec,
    body: Box<RawValue>,
) -> ClaimedResult {
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (end, ended) = oneshot::channel();
    let claimant = Claimant::new(ClaimantOptions {
        spec,
        deadline: plan.deadline,
    });
    let shared = Arc::new(Shared {
        node: node.clone(),
        plan,
        body,
        claimant: Mutex::new(claimant),
        inputs,
    });
    let run = ClaimDriver {
        shared,
        inbox,
        query: None,
        answer: None,
        end: Some(end),
        outstanding: 0,
        claim_wake: None,
        query_wake: None,
    };
    tokio::spawn(run.drive(active));
    ended.await.unwrap_or(ClaimedResult {
        settlement: Settlement::without_result(base::Code::ClaimUnsettled),
        answer: None,
    })
}

/// What the tasks of one claimed request have in common.
#[derive(Debug)]
struct Shared {
    node: Arc<Node>,
    plan: Plan,
    body: Box<RawValue>,
    claimant: Mutex<Claimant>,
    inputs: UnboundedSender<Input>,
}

/// An input of the driver.
#[derive(Debug)]
enum Input {
    Claim(ClaimantEvent),
    /// Actions that the claimant gave to the task that is about to send.
    Actions(Vec<ClaimantAction>),
    Query(Event),
}

impl Shared {
    fn advance_claim(&self, event: ClaimantEvent) -> Vec<ClaimantAction> {
        lock(&self.claimant).handle(event, read_clocks())
    }

    fn push(&self, input: Input) {
        let _ = self.inputs.send(input);
    }
}

/// Drives the claimant and, while the claim is granted, the query that picks the replica.
struct ClaimDriver {
    shared: Arc<Shared>,
    inbox: UnboundedReceiver<Input>,
    query: Option<Query>,
    answer: Option<Box<Answer>>,
    end: Option<oneshot::Sender<ClaimedResult>>,
    outstanding: u32,
    claim_wake: Option<Instant>,
    query_wake: Option<Instant>,
}

impl ClaimDriver {
    /// Runs until the claim is settled; `active` keeps a planned stop from ending the process before.
    async fn drive(mut self, active: ActiveRequest) {
        self.claim(ClaimantEvent::Start);
        while !self.is_over() {
            let wake = self.claim_wake.into_iter().chain(self.query_wake).min();
            let input = tokio::select! {
                input = self.inbox.recv() => input,
                () = sleep_until(wake) => None,
            };
            match input {
                Some(Input::Claim(event)) => self.claim(event),
                Some(Input::Actions(actions)) => {
                    let wake = self.claim_wake;
                    self.apply(actions);
                    self.claim_wake = self.claim_wake.into_iter().chain(wake).min();
                }
                Some(Input::Query(event)) => self.receive(event),
                None => self.wake(),
            }
        }
        if let Some(mut query) = self.query {
            self.shared.node.abandon(&mut query);
        }
        drop(active);
    }

    fn is_over(&self) -> bool {
        let idle = self.outstanding == 0 && self.claim_wake.is_none();
        self.end.is_none() && (idle || lock(&self.shared.claimant).is_done())
    }

    fn wake(&mut self) {
        let now = Instant::now();
        if self.claim_wake.is_some_and(|at| at <= now) {
            self.claim(ClaimantEvent::Wake);
        }
        if self.query_wake.is_some_and(|at| at <= now) {
            self.query_wake = None;
            self.advance(Event::Wake);
        }
    }

    fn claim(&mut self, event: ClaimantEvent) {
        let actions = self.shared.advance_claim(event);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<ClaimantAction>) {
        self.claim_wake = None;
        for action in actions {
            match action {
                ClaimantAction::CallHome(number, request) => {
                    tokio::spawn(ask(self.shared.clone(), number, request));
                }
                ClaimantAction::Prepare => {
                    self.query = Some(Query::new(self.shared.plan.clone(), Instant::now()));
                    self.advance(Event::Start);
                }
                ClaimantAction::Send => {}
                ClaimantAction::Finish(settlement) => {
                    let answer = self.answer.take().or_else(|| self.conclude_query());
                    let end = self.end.take();
                    // The caller's task may be gone; the claim keeps the outcome for its retry.
                    end.map(|end| end.send(ClaimedResult { settlement, answer }).is_ok());
                }
                ClaimantAction::WakeAt(at) => self.claim_wake = Some(at),
            }
        }
    }

    /// Returns the answer of a query whose caller is told the end before the query has noticed its own deadline.
    fn conclude_query(&mut self) -> Option<Box<Answer>> {
        let query = self.query.as_mut()?;
        let index = &self.shared.plan.index;
        let actions = self.shared.node.advance(query, index, Event::Wake);
        actions.into_iter().find_map(|action| match action {
            Action::Finish(answer) => Some(answer),
            Action::Send(_) | Action::Cancel(_) | Action::WakeAt(_) => None,
        })
    }

    /// Takes in the end of an attempt; a reply that comes after the answer still settles the claim.
    fn receive(&mut self, event: Event) {
        self.outstanding -= 1;
        if self.answer.is_some() || self.end.is_none() {
            if let Event::Reply(reply) = event
                && let Some(part) = reply.parts.into_iter().next()
            {
                self.claim(ClaimantEvent::Replied(part.items.get().into()));
            }
            return;
        }
        if let Event::Failed(_, failure) = &event
            && failure.proves_not_run()
        {
            self.claim(ClaimantEvent::ResendAllowed);
        }
        self.advance(event);
    }

    fn advance(&mut self, event: Event) {
        let Some(query) = &mut self.query else { return };
        for action in self
            .shared
            .node
            .advance(query, &self.shared.plan.index, event)
        {
            match action {
                Action::Send(attempt) => {
                    self.outstanding += 1;
                    tokio::spawn(send_run(self.shared.clone(), attempt));
                }
                // The outcome of a run is always awaited.
                Action::Cancel(_) => {}
                Action::WakeAt(at) => self.query_wake = Some(at),
                Action::Finish(answer) => {
                    self.query_wake = None;
                    let event = conclude(&answer);
                    self.answer = Some(answer);
                    self.claim(event);
                    return;
                }
            }
        }
    }
}

/// Tells the claimant what the end of the query proves.
fn conclude(answer: &Answer) -> ClaimantEvent {
    match (answer.code.outcome(), answer.parts.first()) {
        (Some(Outcome::Answered), Some(part)) => ClaimantEvent::Replied(part.items.get().into()),
        (Some(Outcome::Refused), _) => ClaimantEvent::NotRun(answer.code),
        _ => ClaimantEvent::ReplyLost,
    }
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Asks the home of the claim's ledger, here or on a peer.
async fn ask(shared: Arc<Shared>, number: u32, request: Request) {
    let node = &shared.node;
    let event = match node.home(request.spec.key.ledger()) {
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
                    "peer: the home of ledger {} was not reached: {status}",
                    request.spec.key.ledger()
                );
                ClaimantEvent::HomeReplyLost(number)
            }
            Err(status) => {
                log::warn!(
                    "peer: the home of ledger {} failed: {status}",
                    request.spec.key.ledger()
                );
                ClaimantEvent::HomeReplyLost(number)
            }
        },
    };
    shared.push(Input::Claim(event));
}

/// Sends a run over a connection that has just proved to work, if the claim still allows it at that moment.
async fn send_run(shared: Arc<Shared>, attempt: Attempt) {
    let node = &shared.node;
    let event = match node.upstream(&attempt.upstream) {
        None => Event::Failed(attempt.id, Failure::Unreachable),
        Some(upstream) => {
            let share = node.share(&attempt.upstream);
            match node
                .pool
                .checkout_verified(&upstream, share, attempt.deadline)
                .await
            {
                Err(error) => Event::Failed(attempt.id, classify_error(error)),
                Ok(ready) => {
                    let actions = shared.advance_claim(ClaimantEvent::Sending);
                    let allowed = actions.contains(&ClaimantAction::Send);
                    shared.push(Input::Actions(actions));
                    if allowed {
                        let body = encode(&make_request(&shared, &attempt));
                        match node.pool.send(ready, &upstream, PATH_RUN, body).await {
                            Ok(reply) => {
                                read_run(&attempt, &reply, count_members(&shared, &attempt))
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
    shared.push(Input::Query(event));
}

fn make_request(shared: &Shared, attempt: &Attempt) -> RunRequest {
    let plan = &shared.plan;
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    RunRequest {
        attempt: attempt.id,
        key: plan.key.clone(),
        index: plan.index.clone(),
        shard: attempt.shard,
        deadline_ms: left.as_millis() as u64,
        request: plan.request.clone(),
        body: shared.body.clone(),
    }
}

/// Returns the members of the shard that an attempt runs at, for the coverage of its answer.
fn count_members(shared: &Shared, attempt: &Attempt) -> u64 {
    let index = shared.node.index(&shared.plan.index);
    let map = index
        .as_ref()
        .and_then(|index| index.map(attempt.snapshot.map));
    map.and_then(|map| map.shard(attempt.shard))
        .map_or(0, |shard| shard.members)
}

/// Turns the reply to a run into an event; without proof that it was not run, it may have run.
fn read_run(attempt: &Attempt, reply: &Reply, members: u64) -> Event {
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
                "upstream: reply of {} to run {} is not valid: status {} (code {})",
                attempt.upstream,
                attempt.id,
                reply.status,
                base::Code::InvalidReply.number()
            );
            Event::Failed(attempt.id, Failure::Lost)
        }
    }
}

/// Returns a key for a caller that named none; its answer repeats it.
pub fn generate_key(node: &Node) -> CompactString {
    compact_str::format_compact!("generated-{:032x}", node.next_query_id())
}
