//! Claims of runs on an entry VM, and the homes that write them to ledger objects.

use base::Outcome;
use once::ClaimKey;
use once::ClaimSpec;
use once::Claimant;
use once::ClaimantAction;
use once::ClaimantEvent;
use once::ClaimantOptions;
use once::HomeAction;
use once::HomeEvent;
use once::Ledger;
use once::LedgerId;
use once::ReadResult;
use once::Settlement;
use once::WriteResult;
use once::digest_request;
use query::Answer;
use query::Plan;
use query::Query;
use serde_json::value::RawValue;

use crate::scenario::call::CallEnd;
use crate::scenario::file::Mechanism;
use crate::scenario::node::NodeEvent;
use crate::scenario::platform::CallError;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::scenario::world::Event;
use crate::scenario::world::RequestKey;
use crate::scenario::world::World;

impl World<'_> {
    pub(crate) fn make_claimant(&mut self, idx: usize, plan: &Plan, body: &RawValue) -> Claimant {
        let node = &mut self.nodes[idx];
        node.next_attempt += 1;
        let key = ClaimKey::new(&plan.service, &plan.key).expect("keys of scenarios are short");
        let spec = ClaimSpec {
            key,
            attempt: node.next_attempt,
            digest: digest_request(&plan.request, body.get()),
            window_ms: 0,
        };
        Claimant::new(ClaimantOptions {
            spec,
            deadline: plan.deadline,
        })
    }

    /// Returns whether an attempt may be sent now; that of a run needs the permission of its claim.
    pub(crate) fn may_send(&mut self, key: RequestKey) -> bool {
        let now = self.read_clocks();
        let Some(run) = self.active.get_mut(key) else {
            return false;
        };
        let Some(claimant) = &mut run.claimant else {
            return true;
        };
        let actions = claimant.handle(ClaimantEvent::Sending, now);
        let allowed = actions.contains(&ClaimantAction::Send);
        self.run_claim_actions(key, actions);
        allowed || self.is_disabled(Mechanism::Claim) || self.is_disabled(Mechanism::SendWindow)
    }

    /// Passes an event to a claimant and executes the resulting actions.
    pub(crate) fn drive_claim(&mut self, key: RequestKey, event: ClaimantEvent) {
        let now = self.read_clocks();
        let Some(run) = self.active.get_mut(key) else {
            return;
        };
        let Some(claimant) = &mut run.claimant else {
            return;
        };
        let actions = claimant.handle(event, now);
        run.claim_wake = None;
        self.run_claim_actions(key, actions);
        self.remove_completed(key);
    }

    pub(crate) fn wake_claim(&mut self, key: RequestKey) {
        let due = self.active.get(key).and_then(|run| run.claim_wake);
        if due.is_some_and(|at| at <= self.now) {
            self.drive_claim(key, ClaimantEvent::Wake);
        }
    }

    fn run_claim_actions(&mut self, key: RequestKey, actions: Vec<ClaimantAction>) {
        for action in actions {
            match action {
                ClaimantAction::CallHome(number, request) => self.call_home(key, number, request),
                ClaimantAction::Prepare => self.start_run(key),
                ClaimantAction::Send => {}
                ClaimantAction::Finish(settlement) => self.settle_call(key, &settlement),
                ClaimantAction::WakeAt(at) => {
                    self.active[key].claim_wake = Some(at);
                    self.wake_at(key, at, NodeEvent::ClaimWake(key));
                }
            }
        }
    }

    pub(crate) fn start_run(&mut self, key: RequestKey) {
        let run = &mut self.active[key];
        if run.query.is_none() {
            run.query = Some(Query::new(run.plan.clone(), self.now));
            self.drive_query(key, query::Event::Start);
        }
    }

    fn settle_call(&mut self, key: RequestKey, settlement: &Settlement) {
        let run = &mut self.active[key];
        run.ended = true;
        let answer = run.answer.take();
        let after = self.now.saturating_duration_since(run.received);
        let (number, code) = (run.call, settlement.code);
        if let Some(answer) = answer.as_deref().filter(|answer| answer.code == code) {
            self.audit(key, answer);
        }
        let end = CallEnd::Answered {
            code,
            answer,
            after,
        };
        self.end_call(number, end);
    }

    /// Sends a claim request to the home of its ledger, on this node or on a peer.
    fn call_home(&mut self, key: RequestKey, number: u32, request: once::Request) {
        let idx = self.active[key].node;
        let ledger = u32::from(request.spec.key.ledger());
        let home = self.nodes[idx].view.home(ledger).cloned();
        let home = home.and_then(|id| self.find_node(&id)).unwrap_or(idx);
        let event = NodeEvent::HomeRequest(idx, key, Box::new(request));
        if !self.send_peer(idx, home, event) {
            self.wake_at(key, self.now, NodeEvent::HomeReplyLost(key, number));
        }
    }

    /// Passes a claim request to this node's home; its ticket is the key of the run.
    pub(crate) fn receive_home_request(
        &mut self,
        idx: usize,
        from: usize,
        run: RequestKey,
        request: once::Request,
    ) {
        let ticket = slotmap::Key::data(&run).as_ffi();
        let (key, operation) = (request.spec.key.key(), &request.operation);
        let text = format!("{}: home of key {key}: {operation:?}", self.nodes[idx].id);
        self.record_event(text);
        self.requesters.insert((idx, ticket), from);
        self.drive_home(idx, HomeEvent::Request(ticket, request));
    }

    pub(crate) fn drive_home(&mut self, idx: usize, event: HomeEvent) {
        let now = self.read_clocks();
        let node = &mut self.nodes[idx];
        node.home_wake = None;
        for action in node.home.handle(event, now) {
            match action {
                HomeAction::Read(ledger) => self.call_from_node(idx, Request::Ledger(ledger)),
                HomeAction::Write(ledger, version, value) => {
                    self.call_from_node(idx, Request::PutLedger(ledger, version, value));
                }
                HomeAction::Reply(ticket, result) => {
                    let run = RequestKey::from(slotmap::KeyData::from_ffi(ticket));
                    let from = self.requesters.get(&(idx, ticket)).copied().unwrap_or(idx);
                    self.send_peer(idx, from, NodeEvent::HomeReply(run, result));
                }
                HomeAction::WakeAt(wake) => {
                    let node = &mut self.nodes[idx];
                    node.home_wake = Some(wake);
                    let incarnation = Some(node.incarnation);
                    self.push(wake, Event::Node(idx, incarnation, NodeEvent::HomeWake));
                }
            }
        }
    }

    pub(crate) fn report_ledger_read(
        &mut self,
        idx: usize,
        id: LedgerId,
        result: Result<Reply, CallError>,
    ) {
        let result = match result {
            Ok(Reply::Ledger(version, ledger)) => ReadResult::Found(version, ledger),
            Ok(_) => ReadResult::Found(0, Ledger::default()),
            Err(_) => ReadResult::Failed,
        };
        self.drive_home(idx, HomeEvent::Read(id, result));
    }

    pub(crate) fn report_ledger_write(
        &mut self,
        idx: usize,
        id: LedgerId,
        result: Result<Reply, CallError>,
    ) {
        let result = match result {
            Ok(Reply::Applied(version)) => WriteResult::Applied(version),
            Ok(Reply::Conflict(version)) => WriteResult::Conflict(version),
            Err(CallError::NotSent) => WriteResult::Refused,
            Ok(_) | Err(CallError::NoReply) => WriteResult::Unknown,
        };
        self.drive_home(idx, HomeEvent::Written(id, result));
    }
}

/// Derives from the answer of a run's query what the claimant may rely on.
pub(crate) fn derive_claim_event(answer: &Answer) -> ClaimantEvent {
    match (answer.code.outcome(), answer.parts.first()) {
        (Some(Outcome::Answered), Some(part)) => ClaimantEvent::Replied(part.items.get().into()),
        (Some(Outcome::Refused), _) => ClaimantEvent::NotRun(answer.code),
        _ => ClaimantEvent::ReplyLost,
    }
}
