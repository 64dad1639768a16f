//! Runs one request of a caller, from its arrival to its answer.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::Code;
use base::Revision;
use base::UpstreamId;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use limit::Permit;
use query::AttemptKind;
use query::Failure;
use query::Gather;
use query::GatherAction;
use query::GatherEnv;
use query::GatherEvent;
use query::GatherOutcome;
use rand::RngExt;
use suspect::BlockInfo;
use suspect::Verdict;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::Peer;
use crate::Route;
use crate::Target;
use crate::admit::AdmittedRequest;
use crate::admit::admit;
use crate::answer::Answer;
use crate::answer::refuse;
use crate::answer::reply_error;
use crate::attempt::AttemptError;
use crate::attempt::OutgoingRequest;
use crate::attempt::PermitGuard;
use crate::attempt::Reply;
use crate::attempt::send_attempt;
use crate::delegation::Delegation;
use crate::delegation::hash_services;
use crate::forward::Forwarded;
use crate::forward::Forwarding;
use crate::forward::forward;
use crate::forward::refuse_cut;
use crate::holder_client::delegate;
use crate::holders::Assignment;
use crate::listener::Slot;
use crate::memory::BodyMemory;
use crate::memory::Reserved;
use crate::metrics::Counter;
use crate::node::Node;
use crate::plan::assign_among;
use crate::plan::assign_services;
use crate::plan::build_plan;
use crate::send_gate::SendGate;

/// Time for which attempts that are no longer needed may complete before they are cancelled, since cancelling closes
/// their connections.
const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// Answer to a request that crashes servers, and reason in the log.
pub(crate) const CRASHES_SERVERS: &str =
    "servers that ran this request crashed; it is not sent again for a time (code 405)";

/// Reason in the log while no attempt has failed.
pub(crate) const NO_FAILURE: &str = "none";

/// What happened to a request since its attempts were sent.
pub(crate) enum Progress {
    /// An attempt of this gateway ended.
    Ended(AttemptId, Result<Reply, AttemptError>),
    /// A holder passed on the reply of a server of this service.
    Delivered { service: usize, reply: Reply },
    /// A holder gave up this service after a number of attempts that may have run.
    GivenUp { service: usize, runs: u32 },
    /// A holder can't go on with this service, after a number of attempts that may have run.
    Returned { service: usize, runs: u32 },
    /// A holder failed; these services are still open.
    HolderLost {
        services: Vec<usize>,
        may_have_run: bool,
    },
}

/// From where a request came.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Origin {
    Caller,
    /// Another gateway, which reaches no server itself; the request is not forwarded again.
    Gateway {
        /// Attempts that it has made at each service, or none.
        used: Vec<u32>,
    },
}

/// Handles one request; dropping the future closes the connections of its attempts in progress.
pub(crate) async fn handle_request(
    node: Rc<Node>,
    request: Request<Incoming>,
    origin: Origin,
    slot: &Slot,
) -> Answer {
    let arrived = Instant::now();
    let admitted = match node.refusing.get() {
        true => Err(refuse("this gateway is stopping")),
        false => admit(&node, request, arrived, slot).await,
    };
    let mut answer = match admitted {
        Ok(mut admitted) => {
            if let Origin::Gateway { used } = &origin {
                admitted.used.clone_from(used);
            }
            run(&node, admitted, origin).await
        }
        Err(answer) => answer,
    };
    if node.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
}

/// Counts a request as abandoned by its caller if its future is dropped before it has ended.
struct AbandonGuard<'a> {
    node: &'a Node,
    ended: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let mut state = self.node.state.borrow_mut();
            state.metrics.count(Counter::RequestAbandoned);
        }
    }
}

/// Drives the [`Gather`] state machine of one request.
pub(crate) struct RequestRun<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) route: Rc<Route>,
    pub(crate) outgoing: Rc<OutgoingRequest>,
    results: mpsc::UnboundedSender<Progress>,
    tasks: JoinSet<()>,
    pub(crate) replies: HashMap<AttemptId, Reply>,
    /// Latest error reply of a server, forwarded if no attempt succeeds.
    pub(crate) failure: Option<Reply>,
    /// Send times of the attempts to servers in the same zone.
    sent: HashMap<AttemptId, Instant>,
    /// Gates of the outstanding attempts.
    gates: HashMap<AttemptId, Rc<SendGate>>,
    /// Servers of the attempts.
    servers: HashMap<AttemptId, UpstreamId>,
    /// Why the latest attempt failed, or [`NO_FAILURE`].
    pub(crate) reason: &'static str,
    pub(crate) revision: Revision,
    _memory: Reserved,
}

async fn run(node: &Rc<Node>, admitted: AdmittedRequest, origin: Origin) -> Answer {
    let started = Instant::now();
    let mut guard = AbandonGuard { node, ended: false };
    let assignments = assign_services(node, &admitted.route);
    let is_delegated = !assignments.is_empty() && assignments.iter().all(Assignment::is_delegated);
    if origin == Origin::Caller && !is_delegated && !is_sent_from_here(node) {
        let forwarding = Forwarding {
            outgoing: &admitted.outgoing,
            route: &admitted.route,
            revision: admitted.revision,
            used: Vec::new(),
        };
        let forwarded = forward(node, forwarding).await;
        guard.ended = true;
        match forwarded {
            Forwarded::Answered(answer) => return answer,
            Forwarded::Lost => return refuse_cut(true),
            Forwarded::NotTaken if node.links.is_cut() => return refuse_cut(false),
            Forwarded::NotTaken => guard.ended = false,
        }
    }
    let careful = match node.facts.check(admitted.outgoing.fingerprint) {
        Verdict::Clear => false,
        Verdict::Careful => true,
        Verdict::Blocked(block) => {
            guard.ended = true;
            return refuse_deadly(node, &admitted, &block);
        }
    };
    let assignments = match careful {
        // Holders don't know how far this gateway has come with it.
        true => Vec::new(),
        false => assignments,
    };
    let mut gather = Gather::new(build_plan(node, &admitted, &assignments, careful));
    let (mut run, mut received) = RequestRun::new(node, admitted);
    let mut outcome = run.apply_event(&mut gather, GatherEvent::Start);
    if outcome.is_none() {
        // A request that ends at once is refused as not run, so that no holder may have it.
        run.delegate(&assignments, &gather.plan().used);
    }
    let outcome = loop {
        let is_stuck = match outcome {
            None => node.links.is_cut() && gather.sends_itself() && !gather.has_replies(),
            Some(GatherOutcome::NotRun) => {
                gather.sent() > 0 && !node.links.has_reply_since(started)
            }
            Some(_) => false,
        };
        if is_stuck && (run.outgoing.repeatable || !run.may_have_run(&gather)) {
            guard.ended = true;
            return run.hand_over(&gather, &origin, started).await;
        }
        if let Some(outcome) = outcome {
            break outcome;
        }
        let wake = gather.next_wake().unwrap_or(gather.plan().deadline);
        let event = tokio::select! {
            biased;
            progress = received.recv() => match progress {
                Some(progress) => run.record_progress(progress),
                None => GatherEvent::Wake,
            },
            () = node.links.lost.notified() => GatherEvent::Wake,
            () = node.ending.notified() => run.stop(),
            () = tokio::time::sleep_until(wake.into()) => GatherEvent::Wake,
        };
        outcome = run.apply_event(&mut gather, event);
    };
    guard.ended = true;
    run.report(&outcome, &gather, started);
    run.judge_holders(&assignments, &gather);
    run.respond(outcome, &gather)
}

impl<'a> RequestRun<'a> {
    /// Creates the state of a request that was admitted, and the receiver of its progress.
    pub(crate) fn new(
        node: &'a Rc<Node>,
        admitted: AdmittedRequest,
    ) -> (RequestRun<'a>, mpsc::UnboundedReceiver<Progress>) {
        let (results, received) = mpsc::unbounded_channel();
        let run = RequestRun {
            node,
            route: admitted.route,
            outgoing: Rc::new(admitted.outgoing),
            results,
            tasks: JoinSet::new(),
            replies: HashMap::new(),
            failure: None,
            sent: HashMap::new(),
            servers: HashMap::new(),
            gates: HashMap::new(),
            reason: NO_FAILURE,
            revision: admitted.revision,
            _memory: admitted.memory,
        };
        (run, received)
    }

    /// Ends the request because the process ends before its servers have replied.
    fn stop(&mut self) -> GatherEvent {
        self.reason = "this gateway is stopping";
        GatherEvent::Stopped(self.withdraw_unsent())
    }

    /// Withdraws the attempts that have sent nothing, and returns them.
    ///
    /// This is the only proof that an outstanding attempt has not run: whoever says so of a request, to a caller or to
    /// another gateway, has to call this first.
    fn withdraw_unsent(&self) -> Vec<AttemptId> {
        let gates = self.gates.iter();
        let withdrawn = gates.filter(|(_, gate)| gate.withdraw());
        withdrawn.map(|(id, _)| *id).collect()
    }

    /// Returns whether any attempt has run or may have run; one that has sent nothing has not.
    fn may_have_run(&self, gather: &Gather) -> bool {
        let waits = |id: &AttemptId| self.gates.get(id).is_some_and(|gate| !gate.has_sent());
        gather.count_runs(waits).iter().any(|runs| *runs > 0)
    }

    /// Withdraws the attempts that have sent nothing; returns for each service the number of the others, which ran or may
    /// have run.
    pub(crate) fn end_attempts(&self, gather: &Gather) -> Vec<u32> {
        let withdrawn = self.withdraw_unsent();
        gather.count_runs(|id| withdrawn.contains(id))
    }

    /// Hands the request on to another gateway, because no server can be reached from here.
    async fn hand_over(mut self, gather: &Gather, origin: &Origin, started: Instant) -> Answer {
        let used = self.end_attempts(gather);
        let ran = used.iter().any(|runs| *runs > 0);
        self.tasks.abort_all();
        let forwarding = Forwarding {
            outgoing: &self.outgoing,
            route: &self.route,
            revision: self.revision,
            used,
        };
        let forwarded = match origin {
            Origin::Caller => forward(self.node, forwarding).await,
            Origin::Gateway { .. } => Forwarded::NotTaken,
        };
        let answer = match forwarded {
            Forwarded::Answered(answer) => return answer,
            Forwarded::Lost => refuse_cut(true),
            Forwarded::NotTaken => refuse_cut(ran),
        };
        self.reason = "no server can be reached";
        let outcome = match ran {
            true => GatherOutcome::Failed,
            false => GatherOutcome::NotRun,
        };
        self.report(&outcome, gather, started);
        answer
    }

    /// Asks the holders for the parts of the services that are assigned to them.
    fn delegate(&mut self, assignments: &[Assignment], used: &[u32]) {
        for assignment in assignments {
            if let Some(holder) = assignment.holder.clone() {
                let indices = assignment.services.iter();
                let used = indices.map(|index| used.get(*index).copied().unwrap_or_default());
                let used = used.collect();
                self.ask_holder(holder, assignment.services.clone(), used);
            }
        }
    }

    /// Asks a holder for the parts of services, after some attempts that may have run.
    fn ask_holder(&mut self, holder: Peer, indices: Vec<usize>, used: Vec<u32>) {
        let Target::Shards { services, .. } = &self.route.target else {
            return;
        };
        let delegation = Delegation {
            fingerprint: hash_services(services),
            services: indices,
            used,
        };
        let mut state = self.node.state.borrow_mut();
        state.metrics.count(Counter::DelegationSent);
        drop(state);
        self.tasks.spawn_local(delegate(
            Rc::clone(self.node),
            Rc::clone(&self.outgoing),
            holder,
            delegation,
            self.results.clone(),
        ));
    }

    /// Takes a service back from a holder that was cut off from the servers, and asks another holder if there is one.
    fn take_back(&mut self, service: usize, runs: u32) -> GatherEvent {
        self.reason = "a holder was cut off from the servers";
        let Target::Shards { services, .. } = &self.route.target else {
            return GatherEvent::Returned(service, runs);
        };
        let name = services.get(service).cloned();
        let assignments = assign_among(self.node, name.as_slice());
        let holder = assignments
            .into_iter()
            .find_map(|assignment| assignment.holder);
        match holder {
            Some(holder) => {
                self.ask_holder(holder, vec![service], vec![runs]);
                GatherEvent::Delegated(service, runs)
            }
            None => GatherEvent::Returned(service, runs),
        }
    }

    /// Passes an event to the state machine and performs the actions that it returns.
    pub(crate) fn apply_event(
        &mut self,
        gather: &mut Gather,
        event: GatherEvent,
    ) -> Option<GatherOutcome> {
        let event = self.check_event(gather, event);
        let now = Instant::now();
        let actions = {
            let mut guard = self.node.state.borrow_mut();
            let state = &mut *guard;
            let mut env = GatherEnv {
                replicas: state.directory.replicas(),
                limits: &mut state.limits,
                next_attempt: &mut state.next_attempt,
                settling: state.settled_at.is_none_or(|settled| now < settled),
                rng: &mut state.rng,
            };
            gather.handle(event, now, &mut env)
        };
        let mut outcome = None;
        for action in actions {
            match action {
                GatherAction::Send {
                    id, kind, permit, ..
                } => {
                    self.count_attempt(kind);
                    self.send(id, permit, now, gather.is_careful());
                }
                GatherAction::Finish(end) => outcome = Some(end),
            }
        }
        outcome
    }

    /// Records what an event shows about the request; one that crashes servers is given up.
    fn check_event(&mut self, gather: &Gather, event: GatherEvent) -> GatherEvent {
        let facts = &self.node.facts;
        let fingerprint = self.outgoing.fingerprint;
        match &event {
            GatherEvent::Replied(_) | GatherEvent::Delivered(..) => facts.record_reply(fingerprint),
            GatherEvent::Failed(id, Failure::Broken) if gather.is_evidence(*id) => {
                let server = self.servers.get(id).cloned().unwrap_or_default();
                let repeatable = self.outgoing.repeatable;
                let block = facts.record_broken(fingerprint, &server, repeatable);
                if let Some(block) = block {
                    report_blocked(self.node, &self.outgoing, &block);
                }
            }
            GatherEvent::Failed(_, Failure::Broken) if !gather.has_replies() => {
                facts.record_more_broken(fingerprint);
            }
            _ => {}
        }
        // Another request with the same fingerprint may have given the evidence, here or elsewhere.
        if matches!(event, GatherEvent::Failed(..)) && facts.is_blocked(fingerprint) {
            self.reason = CRASHES_SERVERS;
            self.tasks.abort_all();
            return GatherEvent::Blocked;
        }
        event
    }

    fn count_attempt(&self, kind: AttemptKind) {
        let counter = match kind {
            AttemptKind::Primary => Counter::AttemptPrimary,
            AttemptKind::Hedge => Counter::AttemptHedge,
            AttemptKind::Retry => Counter::AttemptRetry,
        };
        self.node.state.borrow_mut().metrics.count(counter);
    }

    fn send(&mut self, id: AttemptId, permit: Permit, now: Instant, careful: bool) {
        let endpoint = {
            let state = self.node.state.borrow();
            state.directory.endpoint(permit.key()).cloned()
        };
        if let Some(endpoint) = endpoint {
            self.servers.insert(id, endpoint.id);
        }
        if self.node.state.borrow().limits.is_same_zone(permit.key()) {
            self.sent.insert(id, now);
        }
        let node = Rc::clone(self.node);
        let permit = PermitGuard::new(self.node, permit);
        let outgoing = Rc::clone(&self.outgoing);
        let results = self.results.clone();
        let gate = Rc::new(SendGate::default());
        self.gates.insert(id, Rc::clone(&gate));
        self.tasks.spawn_local(async move {
            let result = send_attempt(node, outgoing, permit, gate, careful).await;
            // The receiver is gone if the request has ended meanwhile.
            let _ = results.send(Progress::Ended(id, result));
        });
    }

    /// Returns whether a reply may be forwarded, or used as a part of a merged answer, which takes successes only.
    fn is_usable(&self, reply: &Reply) -> bool {
        match &self.route.target {
            Target::Services(_) => !reply.is_failure,
            Target::Shards { .. } => reply.status.is_success(),
        }
    }

    /// Stores what a task reports; returns the event that tells the state machine.
    pub(crate) fn record_progress(&mut self, progress: Progress) -> GatherEvent {
        match progress {
            Progress::Ended(id, result) => self.record_result(id, result),
            Progress::Delivered { service, reply } => {
                let mut state = self.node.state.borrow_mut();
                state.next_attempt += 1;
                let id = state.next_attempt;
                drop(state);
                self.replies.insert(id, reply);
                GatherEvent::Delivered(service, id)
            }
            Progress::GivenUp { service, runs } => {
                self.reason = "a holder got no part";
                GatherEvent::GivenUp(service, runs)
            }
            Progress::Returned { service, runs } => self.take_back(service, runs),
            Progress::HolderLost {
                services,
                may_have_run,
            } => {
                self.reason = "a holder was lost";
                GatherEvent::HolderLost {
                    services,
                    may_have_run,
                }
            }
        }
    }

    /// Removes and returns the reply of an attempt.
    pub(crate) fn take_reply(&mut self, id: AttemptId) -> Option<Reply> {
        self.replies.remove(&id)
    }

    fn record_result(&mut self, id: AttemptId, result: Result<Reply, AttemptError>) -> GatherEvent {
        self.gates.remove(&id);
        match result {
            Ok(reply) if self.is_usable(&reply) => {
                if let Some(sent) = self.sent.get(&id) {
                    let mut state = self.node.state.borrow_mut();
                    state.record_latency(&self.route, sent.elapsed());
                }
                let memory = reply.memory.as_ref();
                let large = memory.map_or(0, BodyMemory::large_bytes);
                let mut state = self.node.state.borrow_mut();
                state.record_reply_size(&self.route, large);
                drop(state);
                self.replies.insert(id, reply);
                GatherEvent::Replied(id)
            }
            Ok(reply) => {
                self.failure = Some(reply);
                self.reason = "the server replied with an error";
                GatherEvent::Failed(id, Failure::Lost)
            }
            Err(error) => {
                self.reason = error.reason;
                let counter = if error.failure.proves_not_run() {
                    Counter::AttemptNotRun
                } else {
                    Counter::AttemptLost
                };
                self.node.state.borrow_mut().metrics.count(counter);
                GatherEvent::Failed(id, error.failure)
            }
        }
    }

    /// Ends the attempts still in progress: those that have sent nothing never will, and the others may complete within
    /// [`CANCEL_GRACE`].
    pub(crate) fn finish(mut self) {
        self.withdraw_unsent();
        if self.tasks.is_empty() {
            return;
        }
        let mut tasks = std::mem::take(&mut self.tasks);
        tokio::task::spawn_local(async move {
            let all = async { while tasks.join_next().await.is_some() {} };
            // Dropping the remaining tasks closes their connections.
            let _ = tokio::time::timeout(CANCEL_GRACE, all).await;
        });
    }
}

/// Returns whether a new request is sent from here, and not by another gateway.
fn is_sent_from_here(node: &Node) -> bool {
    let share = node.links.own_share();
    share >= 1.0 || node.state.borrow_mut().rng.random::<f64>() < share
}

/// Answers a request that is known to crash servers; nothing of it is sent.
fn refuse_deadly(node: &Node, admitted: &AdmittedRequest, block: &BlockInfo) -> Answer {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::RequestBlocked);
    if let Some(skipped) = state.allow_log_line("blocked") {
        let id = admitted.outgoing.id.to_str().unwrap_or("?");
        let fingerprint = admitted.outgoing.fingerprint;
        let code = Code::CrashesServers.number();
        let (age, left, from) = (block.age, block.left, block.origin.as_str());
        log::info!(id, code, fingerprint:% = fingerprint, age:? = age, left:? = left, from, skipped; "request: blocked; it crashes servers");
    }
    reply_error(StatusCode::BAD_GATEWAY, CRASHES_SERVERS)
}

/// Logs that this gateway has found a request that crashes servers.
fn report_blocked(node: &Node, outgoing: &OutgoingRequest, block: &BlockInfo) {
    let id = outgoing.id.to_str().unwrap_or("?");
    let (fingerprint, path) = (outgoing.fingerprint, outgoing.uri.path());
    let (servers, left) = (block.servers.len(), block.left);
    let (age, from) = (block.age, block.origin.as_str());
    node.state.borrow_mut().metrics.count(Counter::BlockFound);
    log::warn!(id, fingerprint:% = fingerprint, path, servers, age:? = age, left:? = left, from; "request: crashed one server after another; blocked at all gateways");
}
