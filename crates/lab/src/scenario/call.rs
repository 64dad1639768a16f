//! Requests of callers on an entry VM: the query, or the claim and the run.

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
use crate::scenario::claim::conclude;
use crate::scenario::file::Call;
use crate::scenario::file::Mechanism;
use crate::scenario::node::NodeEvent;
use crate::scenario::world::Event;
use crate::scenario::world::RunKey;
use crate::scenario::world::World;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The caller got an answer; with the explanation when this call sent something.
    Answered {
        code: Code,
        answer: Option<Box<Answer>>,
        after: Duration,
    },
    /// The caller's connection broke.
    Broken,
}

/// Pause between two looks at whether a node has caught up with its peers, as in the runtime.
const SYNC_POLL: Duration = Duration::from_millis(5);

/// One request of a caller, with what the servers did for it.
#[derive(Debug)]
pub(crate) struct CallRecord {
    /// Number of the step.
    pub(crate) step: usize,
    pub(crate) call: Call,
    /// Moment at which a node took it in.
    pub(crate) received: Option<Instant>,
    pub(crate) evidence: Evidence,
    pub(crate) end: Option<End>,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) node: usize,
    pub(crate) call: usize,
    pub(crate) plan: Plan,
    pub(crate) body: Box<RawValue>,
    pub(crate) outstanding: u32,
    pub(crate) received: Instant,
    pub(crate) query: Option<Query>,
    pub(crate) answer: Option<Box<Answer>>,
    pub(crate) claimant: Option<Claimant>,
    pub(crate) claim_wake: Option<Instant>,
    pub(crate) ended: bool,
}

impl World<'_> {
    /// Sends a call to its node, or to one that the balancer chooses.
    pub(crate) fn place_call(&mut self, number: usize) {
        let to = self.calls[number].call.to.clone();
        let chosen = match to {
            Some(id) => self.find_node(&id).filter(|&at| self.nodes[at].up),
            None => {
                let ready = (0..self.nodes.len()).filter(|&at| self.nodes[at].is_ready());
                let ready: Vec<usize> = ready.collect();
                let drawn = self.rng.random_range(0..ready.len().max(1));
                ready.get(drawn).copied()
            }
        };
        match chosen {
            Some(at) => self.push(self.now, Event::Node(at, None, NodeEvent::Receive(number))),
            None => self.end_call(number, End::Broken),
        }
    }

    pub(crate) fn end_call(&mut self, number: usize, end: End) {
        let record = &mut self.calls[number];
        if record.end.is_some() {
            let text = format!("call {}: a second answer", record.call.id);
            self.fail(text);
            return;
        }
        let text = match &end {
            End::Answered { code, after, .. } => {
                format!(
                    "call {} ends with code {} after {after:?}",
                    number,
                    code.number()
                )
            }
            End::Broken => format!("call {number} ends with a broken connection"),
        };
        record.end = Some(end);
        self.note(text);
    }

    fn refuse_call(&mut self, number: usize, code: Code) {
        let end = End::Answered {
            code,
            answer: None,
            after: Duration::ZERO,
        };
        self.end_call(number, end);
    }

    /// Takes a call in on a node, as `serve_call` of the runtime does.
    pub(crate) fn receive_call(&mut self, at: usize, number: usize) {
        let call = self.calls[number].call.clone();
        if self.nodes[at].is_closed(self.now) {
            return self.refuse_call(number, Code::Stopping);
        }
        let received = *self.calls[number].received.get_or_insert(self.now);
        let plan = match self.plan(at, number, &call, received) {
            Ok(plan) => plan,
            Err(code) => return self.refuse_call(number, code),
        };
        if !self.is_off(Mechanism::DrainNews) && !self.nodes[at].view.is_synced(self.now) {
            if self.now >= plan.deadline {
                return self.refuse_call(number, Code::NotReady);
            }
            return self.again(at, SYNC_POLL, NodeEvent::Receive(number));
        }
        let echo = call
            .key
            .clone()
            .unwrap_or_else(|| format_compact!("{number}"));
        let body = RawValue::from_string(format!(r#"{{"call":"{echo}"}}"#));
        let body = body.unwrap_or_else(|_| RawValue::NULL.to_owned());
        self.calls[number].evidence.body = body.get().into();
        let text = format!("{}: call {number} ({})", self.nodes[at].id, call.id);
        self.note(text);
        let claimant = (!plan.repeatable).then(|| self.make_claimant(at, &plan, &body));
        let claims = claimant.is_some();
        let query = (!claims).then(|| Query::new(plan.clone(), self.now));
        let key = self.runs.insert(Run {
            node: at,
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
        if !claims {
            return self.drive_query(key, query::Event::Start);
        }
        self.drive_claim(key, ClaimantEvent::Start);
        if self.is_off(Mechanism::Claim) {
            self.start_run(key);
        }
    }

    fn plan(&mut self, at: usize, number: usize, call: &Call, now: Instant) -> Result<Plan, Code> {
        let mut tuning = query::Tuning::default();
        if self.is_off(Mechanism::Hedge) {
            tuning.hedging = Hedging::Off;
        }
        tuning.retry &= !self.is_off(Mechanism::Retry);
        tuning.restart &= !self.is_off(Mechanism::Restart);
        tuning.cancel &= !self.is_off(Mechanism::Cancel);
        let conf = &self.nodes[at].conf;
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

    /// Gives an event to a query and carries its actions out.
    pub(crate) fn drive_query(&mut self, key: RunKey, event: query::Event) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (at, claims) = (run.node, run.claimant.is_some());
        let node = &mut self.nodes[at];
        let Some(query) = &mut run.query else {
            return;
        };
        let index = node.index.clone().unwrap_or_else(|| {
            Arc::new(IndexState {
                index: run.plan.index.clone(),
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
                // The outcome of a run is always awaited.
                Action::Cancel(_) if claims => {}
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::WakeAt(at) => self.wake_at(key, at, NodeEvent::QueryWake(key)),
                Action::Finish(answer) => self.finish_query(key, answer),
            }
        }
        self.forget_ended(key);
    }

    pub(crate) fn wake_at(&mut self, key: RunKey, at: Instant, event: NodeEvent) {
        let node = self.runs[key].node;
        let incarnation = Some(self.nodes[node].incarnation);
        self.push(at, Event::Node(node, incarnation, event));
    }

    fn finish_query(&mut self, key: RunKey, answer: Box<Answer>) {
        let run = &mut self.runs[key];
        if run.claimant.is_some() {
            let event = conclude(&answer);
            run.answer = Some(answer);
            return self.drive_claim(key, event);
        }
        run.ended = true;
        let (number, code) = (run.call, answer.code);
        let after = self.now.saturating_duration_since(run.received);
        self.audit(key, &answer);
        let answer = Some(answer);
        let end = End::Answered {
            code,
            answer,
            after,
        };
        self.end_call(number, end);
    }

    /// Compares an answer with what the servers did.
    pub(crate) fn audit(&mut self, key: RunKey, answer: &Answer) {
        let run = &self.runs[key];
        let record = &self.calls[run.call];
        let mut found = Violations::default();
        check_answer(
            answer,
            &record.evidence,
            &run.plan.shards,
            run.plan.repeatable,
            &self.maps,
            &mut found,
        );
        // A frozen node cannot answer; when it goes on, it may give what it had before the deadline.
        let frozen = self.nodes[run.node].resumed >= Some(run.plan.deadline);
        let late = self.now > run.plan.deadline && !answer.parts.is_empty() && !frozen;
        let counts = [
            (found.mixed > 0, "parts of more than one snapshot"),
            (
                found.misreported > 0,
                "the coverage is not what the servers did",
            ),
            (found.foreign > 0, "a part belongs to another request"),
            (late, "the answer came after the deadline"),
        ];
        let call = name_call(record);
        for (wrong, text) in counts {
            if wrong {
                self.fail(format!("{call}: {text}"));
            }
        }
    }

    /// Takes in the end of a sub-request.
    pub(crate) fn end_attempt(&mut self, key: RunKey, event: query::Event) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.outstanding -= 1;
        if run.claimant.is_none() {
            return self.drive_query(key, event);
        }
        if run.answer.is_some() || run.ended {
            if let query::Event::Reply(reply) = &event
                && let Some(part) = reply.parts.first()
            {
                let result = part.items.get().into();
                self.drive_claim(key, ClaimantEvent::Replied(result));
            }
            return self.forget_ended(key);
        }
        if let query::Event::Failed(_, failure) = &event
            && failure.proves_not_run()
        {
            self.drive_claim(key, ClaimantEvent::ResendAllowed);
        }
        self.drive_query(key, event);
    }

    /// Tells whether a node still has requests in progress or claims to settle.
    pub(crate) fn is_busy(&self, at: usize) -> bool {
        self.runs
            .values()
            .any(|run| run.node == at && !(run.ended && run.is_over()))
    }

    /// Breaks the connections of all callers of a node whose process is gone.
    pub(crate) fn break_calls(&mut self, at: usize) {
        let on_node = self.runs.iter().filter(|(_, run)| run.node == at);
        let keys: Vec<(RunKey, usize, bool)> = on_node
            .map(|(key, run)| (key, run.call, run.ended))
            .collect();
        for (key, call, ended) in keys {
            self.runs.remove(key);
            if !ended {
                self.end_call(call, End::Broken);
            }
        }
    }

    pub(crate) fn forget_ended(&mut self, key: RunKey) {
        let over = |run: &Run| run.ended && run.outstanding == 0 && run.is_over();
        if !self.runs.get(key).is_some_and(over) {
            return;
        }
        if let Some(run) = self.runs.remove(key)
            && let Some(mut query) = run.query
        {
            query.abandon(self.now, &mut self.nodes[run.node].limits);
        }
    }
}

impl Run {
    /// Tells whether nothing of the request is left to do on its node, as the runtime judges it.
    fn is_over(&self) -> bool {
        match &self.claimant {
            None => true,
            Some(claimant) => {
                claimant.is_done() || self.outstanding == 0 && self.claim_wake.is_none()
            }
        }
    }
}

/// Names a call in messages.
pub(crate) fn name_call(record: &CallRecord) -> CompactString {
    format_compact!("step {} (call {})", record.step + 1, record.call.id)
}
