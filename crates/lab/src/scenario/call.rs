//! Requests of callers on an entry VM: a query, or a claim and a run.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::IndexState;
use compact_str::CompactString;
use compact_str::format_compact;
use once::Claimant;
use once::ClaimantEvent;
use query::Action;
use query::Answer;
use query::Env;
use query::Hedging;
use query::Plan;
use query::Query;
use rand::RngExt;
use serde_json::value::RawValue;

use crate::bench::audit::Evidence;
use crate::bench::audit::Violations;
use crate::bench::audit::check_answer;
use crate::scenario::claim::derive_claim_event;
use crate::scenario::file::Call;
use crate::scenario::file::Mechanism;
use crate::scenario::node::NodeEvent;
use crate::scenario::world::Event;
use crate::scenario::world::RequestKey;
use crate::scenario::world::World;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The caller got an answer; `answer` is present when a query ran for this call.
    Answered {
        code: Code,
        answer: Option<Box<Answer>>,
        after: Duration,
    },
    /// The caller's connection broke.
    Broken,
}

/// Interval at which a request checks whether its node is synced with its peers, as in the runtime.
const SYNC_POLL: Duration = Duration::from_millis(5);

/// One request of a caller, with a record of the work that the servers did for it.
#[derive(Debug)]
pub(crate) struct CallRecord {
    /// Index of the step.
    pub(crate) step: usize,
    pub(crate) call: Call,
    /// Time at which a node received it.
    pub(crate) received: Option<Instant>,
    pub(crate) evidence: Evidence,
    pub(crate) end: Option<CallEnd>,
}

/// A request in progress on a node.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) node: usize,
    pub(crate) call: usize,
    pub(crate) plan: Plan,
    pub(crate) body: Box<RawValue>,
    /// Number of sub-requests without a result.
    pub(crate) outstanding: u32,
    pub(crate) received: Instant,
    /// Absent until the claim of a run is granted.
    pub(crate) query: Option<Query>,
    /// Answer of a run's query, until its claim is settled.
    pub(crate) answer: Option<Box<Answer>>,
    /// Present for a run, absent for a repeatable request.
    pub(crate) claimant: Option<Claimant>,
    pub(crate) claim_wake: Option<Instant>,
    /// Whether the caller has its answer.
    pub(crate) ended: bool,
}

impl World<'_> {
    /// Sends a call to its node, or to one that the load balancer chooses.
    pub(crate) fn start_call(&mut self, number: usize) {
        let to = self.calls[number].call.to.clone();
        let chosen = match to {
            Some(id) => self.find_node(&id).filter(|&idx| self.nodes[idx].up),
            None => {
                let ready = (0..self.nodes.len()).filter(|&idx| self.nodes[idx].is_ready());
                let ready: Vec<usize> = ready.collect();
                let choice = self.rng.random_range(0..ready.len().max(1));
                ready.get(choice).copied()
            }
        };
        match chosen {
            Some(idx) => self.push(self.now, Event::Node(idx, None, NodeEvent::Call(number))),
            None => self.end_call(number, CallEnd::Broken),
        }
    }

    pub(crate) fn end_call(&mut self, number: usize, end: CallEnd) {
        let record = &mut self.calls[number];
        if record.end.is_some() {
            let text = format!("call {}: ended a second time", record.call.id);
            self.record_failure(text);
            return;
        }
        let text = match &end {
            CallEnd::Answered { code, after, .. } => {
                format!(
                    "call {} ends with code {} after {after:?}",
                    number,
                    code.number()
                )
            }
            CallEnd::Broken => format!("call {number} ends with a broken connection"),
        };
        record.end = Some(end);
        self.record_event(text);
    }

    fn refuse_call(&mut self, number: usize, code: Code) {
        let end = CallEnd::Answered {
            code,
            answer: None,
            after: Duration::ZERO,
        };
        self.end_call(number, end);
    }

    /// Processes a call that has reached a node, like the runtime.
    pub(crate) fn receive_call(&mut self, idx: usize, number: usize) {
        let call = self.calls[number].call.clone();
        if self.nodes[idx].is_closed(self.now) {
            return self.refuse_call(number, Code::Stopping);
        }
        let received = *self.calls[number].received.get_or_insert(self.now);
        let plan = match self.make_plan(idx, number, &call, received) {
            Ok(plan) => plan,
            Err(code) => return self.refuse_call(number, code),
        };
        if !self.is_disabled(Mechanism::DrainNews) && !self.nodes[idx].view.is_synced(self.now) {
            if self.now >= plan.deadline {
                return self.refuse_call(number, Code::NotReady);
            }
            return self.schedule_on_node(idx, SYNC_POLL, NodeEvent::Call(number));
        }
        let echo = call
            .key
            .clone()
            .unwrap_or_else(|| format_compact!("{number}"));
        let body = RawValue::from_string(format!(r#"{{"call":"{echo}"}}"#));
        let body = body.unwrap_or_else(|_| RawValue::NULL.to_owned());
        self.calls[number].evidence.echo = body.get().into();
        let text = format!("{}: call {number} ({})", self.nodes[idx].id, call.id);
        self.record_event(text);
        let claimant = (!plan.repeatable).then(|| self.make_claimant(idx, &plan, &body));
        let is_run = claimant.is_some();
        let query = (!is_run).then(|| Query::new(plan.clone(), self.now));
        let key = self.active.insert(ActiveRequest {
            node: idx,
            call: number,
            plan,
            body,
            outstanding: 0,
            received: self.now,
            query,
            answer: None,
            claimant,
            claim_wake: None,
            ended: false,
        });
        if !is_run {
            return self.drive_query(key, query::Event::Start);
        }
        self.drive_claim(key, ClaimantEvent::Start);
        if self.is_disabled(Mechanism::Claim) {
            self.start_run(key);
        }
    }

    fn make_plan(
        &mut self,
        idx: usize,
        number: usize,
        call: &Call,
        now: Instant,
    ) -> Result<Plan, Code> {
        let mut tuning = query::Tuning::default();
        if self.is_disabled(Mechanism::Hedge) {
            tuning.hedging = Hedging::Off;
        }
        tuning.retry &= !self.is_disabled(Mechanism::Retry);
        tuning.restart &= !self.is_disabled(Mechanism::Restart);
        tuning.cancel &= !self.is_disabled(Mechanism::Cancel);
        let conf = &self.nodes[idx].conf;
        let catalogue = conf.catalogue().ok_or(Code::NotReady)?;
        let declaration = catalogue
            .declaration(&call.service)
            .ok_or(Code::UnknownService)?;
        let request = declaration
            .request(&call.request)
            .ok_or(Code::UnknownRequest)?;
        let timeout = call.timeout_ms.map(Duration::from_millis);
        let allowed = timeout.map_or(declaration.deadline, |timeout| {
            timeout.min(declaration.deadline)
        });
        Ok(Plan {
            id: number as u128 + 1,
            service: declaration.service.clone(),
            request: request.name.clone(),
            index: declaration.index.clone(),
            shards: declaration.shards.clone(),
            repeatable: request.repeatable,
            key: call
                .key
                .clone()
                .unwrap_or_else(|| format_compact!("generated-{number}")),
            deadline: now + allowed,
            policy: query::Policy {
                at_deadline: declaration.at_deadline,
                hedge_budget: declaration.hedge_budget,
                retry_budget: declaration.retry_budget,
            },
            revision: catalogue.revision,
            stale: match conf.freshness(now) {
                conf::Freshness::Fresh => None,
                conf::Freshness::Unconfirmed { age } => Some(age),
            },
            tuning,
        })
    }

    /// Passes an event to a query and executes the resulting actions.
    pub(crate) fn drive_query(&mut self, key: RequestKey, event: query::Event) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let (idx, is_run) = (request.node, request.claimant.is_some());
        let node = &mut self.nodes[idx];
        let Some(query) = &mut request.query else {
            return;
        };
        let index = node.index.clone().unwrap_or_else(|| {
            Arc::new(IndexState {
                index: request.plan.index.clone(),
                maps: Vec::new(),
                upstreams: Vec::new(),
            })
        });
        let mut env = Env {
            index: &index,
            limits: &mut node.limits,
            next_attempt: &mut node.next_attempt,
            rng: &mut node.rng,
        };
        for action in query.handle(event, self.now, &mut env) {
            match action {
                Action::Send(attempt) => self.connect(key, attempt),
                // A run is never cancelled, because its outcome must be known.
                Action::Cancel(_) if is_run => {}
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::WakeAt(at) => self.wake_at(key, at, NodeEvent::QueryWake(key)),
                Action::Finish(answer) => self.finish_query(key, answer),
            }
        }
        self.remove_completed(key);
    }

    pub(crate) fn wake_at(&mut self, key: RequestKey, at: Instant, event: NodeEvent) {
        let node = self.active[key].node;
        let incarnation = Some(self.nodes[node].incarnation);
        self.push(at, Event::Node(node, incarnation, event));
    }

    fn finish_query(&mut self, key: RequestKey, answer: Box<Answer>) {
        let request = &mut self.active[key];
        if request.claimant.is_some() {
            let event = derive_claim_event(&answer);
            request.answer = Some(answer);
            return self.drive_claim(key, event);
        }
        request.ended = true;
        let (number, code) = (request.call, answer.code);
        let after = self.now.saturating_duration_since(request.received);
        self.audit(key, &answer);
        let answer = Some(answer);
        let end = CallEnd::Answered {
            code,
            answer,
            after,
        };
        self.end_call(number, end);
    }

    /// Compares an answer with the record of the work that the servers did.
    pub(crate) fn audit(&mut self, key: RequestKey, answer: &Answer) {
        let request = &self.active[key];
        let record = &self.calls[request.call];
        let mut found = Violations::default();
        check_answer(
            answer,
            &record.evidence,
            &request.plan.shards,
            request.plan.repeatable,
            &self.maps,
            &mut found,
        );
        // A frozen node cannot answer; after it resumes, it may return the parts that it had before the deadline.
        let frozen = self.nodes[request.node].resumed >= Some(request.plan.deadline);
        let late = self.now > request.plan.deadline && !answer.parts.is_empty() && !frozen;
        let counts = [
            (found.mixed > 0, "parts of more than one snapshot"),
            (
                found.misreported > 0,
                "the reported coverage does not match the work of the servers",
            ),
            (
                found.foreign > 0,
                "a part belongs to the answer of another request",
            ),
            (late, "the answer came after the deadline"),
        ];
        let call = name_call(record);
        for (wrong, text) in counts {
            if wrong {
                self.record_failure(format!("{call}: {text}"));
            }
        }
    }

    /// Passes the result of a sub-request to its query and its claimant.
    pub(crate) fn report_result(&mut self, key: RequestKey, event: query::Event) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        request.outstanding -= 1;
        if request.claimant.is_none() {
            return self.drive_query(key, event);
        }
        if request.answer.is_some() || request.ended {
            if let query::Event::Reply(reply) = &event
                && let Some(part) = reply.parts.first()
            {
                let result = part.items.get().into();
                self.drive_claim(key, ClaimantEvent::Replied(result));
            }
            return self.remove_completed(key);
        }
        if let query::Event::Failed(_, failure) = &event
            && failure.proves_not_run()
        {
            self.drive_claim(key, ClaimantEvent::ResendAllowed);
        }
        self.drive_query(key, event);
    }

    /// Returns whether a node still has requests in progress or claims to settle.
    pub(crate) fn is_busy(&self, idx: usize) -> bool {
        self.active
            .values()
            .any(|request| request.node == idx && !(request.ended && request.is_complete()))
    }

    /// Breaks the connections of all callers of a node whose process has ended.
    pub(crate) fn break_calls(&mut self, idx: usize) {
        let on_node = self
            .active
            .iter()
            .filter(|(_, request)| request.node == idx);
        let keys: Vec<(RequestKey, usize, bool)> = on_node
            .map(|(key, request)| (key, request.call, request.ended))
            .collect();
        for (key, call, ended) in keys {
            self.active.remove(key);
            if !ended {
                self.end_call(call, CallEnd::Broken);
            }
        }
    }

    pub(crate) fn remove_completed(&mut self, key: RequestKey) {
        let completed = |request: &ActiveRequest| {
            request.ended && request.outstanding == 0 && request.is_complete()
        };
        if !self.active.get(key).is_some_and(completed) {
            return;
        }
        if let Some(request) = self.active.remove(key)
            && let Some(mut query) = request.query
        {
            query.abandon(self.now, &mut self.nodes[request.node].limits);
        }
    }
}

impl ActiveRequest {
    /// Returns whether the node has no more work for the request, by the same rule as the runtime.
    fn is_complete(&self) -> bool {
        match &self.claimant {
            None => true,
            Some(claimant) => {
                claimant.is_done() || self.outstanding == 0 && self.claim_wake.is_none()
            }
        }
    }
}

/// Formats the step and the id of a call for messages.
pub(crate) fn name_call(record: &CallRecord) -> CompactString {
    format_compact!("step {} (call {})", record.step + 1, record.call.id)
}
