//! An entry node in virtual time, around the real query state machine, limits and admission.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::QueryRequest;
use base::RunRequest;
use compact_str::CompactString;
use compact_str::format_compact;
use decl::Class;
use limit::Admission;
use limit::Dequeued;
use limit::Limits;
use limit::Priority;
use limit::Request;
use limit::connection_share;
use query::Action;
use query::Answer;
use query::Attempt;
use query::Env;
use query::Plan;
use query::Query;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::value::RawValue;

use crate::bench::audit::Evidence;
use crate::bench::audit::check_answer;
use crate::bench::condition::Policy;
use crate::bench::network::CALLER_DELAY;
use crate::bench::network::Pool;
use crate::bench::workload::Workload;
use crate::bench::world::Event;
use crate::bench::world::QueryKey;
use crate::bench::world::World;
use crate::server;

/// Queries of one service that may wait on a node.
const QUEUE_LIMIT: usize = 64;

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) number: u64,
    pub(crate) service: usize,
    pub(crate) request: usize,
    /// When the caller sent it.
    pub(crate) asked: Instant,
    /// Whether it counts in the figures.
    pub(crate) recorded: bool,
}

/// A call that waits for admission.
#[derive(Debug)]
pub(crate) struct Waiting {
    call: Call,
    received: Instant,
}

/// A query that has started.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) node: usize,
    pub(crate) query: Query,
    pub(crate) evidence: Evidence,
    pub(crate) outstanding: u32,
    call: Call,
    started: Instant,
    cost: u32,
    done: bool,
}

/// An entry node.
pub(crate) struct Node {
    pub(crate) zone: usize,
    pub(crate) limits: Limits,
    pub(crate) index: Arc<IndexState>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) shares: Vec<Option<u32>>,
    /// Absent without limits.
    admission: Option<Admission<Waiting>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
}

impl Node {
    pub(crate) fn new(workload: &Workload, policy: Policy, at: usize, seed: u64) -> Node {
        let zone = at % workload.zones.len();
        let region = workload.servers[0].region.clone();
        let mut limits = Limits::new(workload.zones[zone].clone(), region, policy.limits());
        limits.set_index(&workload.index, workload.nodes);
        let limited = policy.limits().share;
        let share = |connections| limited.then(|| connection_share(connections, workload.nodes));
        let shares: Vec<Option<u32>> = workload
            .servers
            .iter()
            .map(|server| share(server.connections))
            .collect();
        // A node can have as many sub-requests in progress as it has connections.
        let capacity = shares.iter().flatten().sum();
        Node {
            zone,
            limits,
            index: Arc::new(workload.index.clone()),
            pools: vec![Pool::default(); workload.servers.len()],
            shares,
            admission: limited.then(|| Admission::new(capacity, QUEUE_LIMIT)),
            next_attempt: (at as u64 + 1) << 40,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (at as u64 + 1)),
        }
    }
}

impl World<'_> {
    /// Takes a request in: it waits for admission, or starts at once where there is none.
    pub(crate) fn receive(&mut self, at: usize, call: Call) {
        let service = &self.workload.services[call.service];
        let deadline = self.now + service.deadline;
        let cost = self.count_shards(at, &call);
        let waiting = Waiting {
            call,
            received: self.now,
        };
        let Some(admission) = &mut self.nodes[at].admission else {
            self.start(at, waiting, cost);
            return;
        };
        let request = Request {
            service: service.service.clone(),
            priority: match service.class {
                Class::Interactive => Priority::Interactive,
                Class::Batch => Priority::Batch,
            },
            cost,
            deadline,
            item: waiting,
        };
        match admission.enqueue(request, self.now) {
            Ok(()) => {
                self.push(deadline, Event::Expire(at));
                self.take_turns(at);
            }
            Err((refusal, request)) => self.refuse(&request.item.call, refusal.code()),
        }
    }

    fn count_shards(&self, at: usize, call: &Call) -> u32 {
        let service = &self.workload.services[call.service];
        if !service.requests[call.request].repeatable {
            return 1;
        }
        let map = self.nodes[at].index.maps.last();
        let shards = map.map_or(&[][..], |map| &map.shards);
        let selected = shards.iter().filter(|shard| service.shards.contains(shard));
        selected.count() as u32
    }

    fn refuse(&mut self, call: &Call, code: base::Code) {
        if call.recorded {
            self.tally.refuse(call.service, code);
        }
    }

    /// Refuses what expired while it waited.
    pub(crate) fn expire(&mut self, at: usize) {
        let now = self.now;
        let Some(admission) = &mut self.nodes[at].admission else {
            return;
        };
        for waiting in admission.drop_expired(now) {
            self.refuse(&waiting.call, limit::Refusal::TooLate.code());
        }
    }

    fn take_turns(&mut self, at: usize) {
        loop {
            let Some(admission) = &mut self.nodes[at].admission else {
                return;
            };
            match admission.dequeue(self.now) {
                None => return,
                Some(Dequeued::Run(waiting, cost)) => self.start(at, waiting, cost),
                Some(Dequeued::Expired(waiting)) => {
                    self.refuse(&waiting.call, limit::Refusal::TooLate.code());
                }
            }
        }
    }

    fn start(&mut self, at: usize, waiting: Waiting, cost: u32) {
        let Waiting { call, received } = waiting;
        let plan = self.plan(&call, received);
        let body = format!(r#""q":{}}}"#, call.number);
        let key = self.running.insert(Running {
            node: at,
            query: Query::new(plan, received),
            evidence: Evidence {
                echo: body,
                ..Evidence::default()
            },
            outstanding: 0,
            call,
            started: self.now,
            cost,
            done: false,
        });
        self.drive(key, query::Event::Start);
    }

    fn plan(&self, call: &Call, received: Instant) -> Plan {
        let service = &self.workload.services[call.service];
        let request = &service.requests[call.request];
        Plan {
            id: u128::from(call.number),
            service: service.service.clone(),
            request: request.name.clone(),
            index: service.index.clone(),
            shards: service.shards.clone(),
            repeatable: request.repeatable,
            key: format_compact!("key-{}", call.number),
            deadline: received + service.deadline,
            policy: query::Policy {
                at_deadline: service.at_deadline,
                hedge_budget: service.hedge_budget,
                retry_budget: service.retry_budget,
            },
            revision: 1,
            stale: None,
            tuning: self.policy.queries(),
        }
    }

    /// Gives an event to a query and carries its actions out.
    pub(crate) fn drive(&mut self, key: QueryKey, event: query::Event) {
        let Some(running) = self.running.get_mut(key) else {
            return;
        };
        let node = &mut self.nodes[running.node];
        let index = node.index.clone();
        let mut env = Env {
            index: &index,
            limits: &mut node.limits,
            next_attempt: &mut node.next_attempt,
            rng: &mut node.rng,
        };
        let actions = running.query.handle(event, self.now, &mut env);
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(key, attempt),
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::WakeAt(at) => self.push(at, Event::Wake(key)),
                Action::Finish(answer) => self.answer(key, &answer),
            }
        }
        self.forget_ended(key);
    }

    /// Builds the message to a server for a sub-request.
    pub(crate) fn message(&self, key: QueryKey, attempt: &Attempt) -> server::Event {
        let running = &self.running[key];
        let plan = running.query.plan();
        let body = format!(r#"{{"q":{}}}"#, running.call.number);
        let body = RawValue::from_string(body).unwrap_or_else(|_| RawValue::NULL.to_owned());
        let left = attempt.deadline.saturating_duration_since(self.now);
        let deadline_ms = left.as_millis() as u64;
        if plan.repeatable {
            let request = QueryRequest {
                attempt: attempt.id,
                query: CompactString::const_new("q"),
                index: plan.index.clone(),
                version: attempt.snapshot.version,
                map: attempt.snapshot.map,
                shards: vec![attempt.shard],
                deadline_ms,
                request: plan.request.clone(),
                body,
            };
            return server::Event::Query(attempt.id, request);
        }
        let request = RunRequest {
            attempt: attempt.id,
            key: plan.key.clone(),
            index: plan.index.clone(),
            shard: attempt.shard,
            deadline_ms,
            request: plan.request.clone(),
            body,
        };
        server::Event::Run(attempt.id, request)
    }

    fn answer(&mut self, key: QueryKey, answer: &Answer) {
        let now = self.now;
        let Some(running) = self.running.get_mut(key) else {
            return;
        };
        running.done = true;
        let plan = running.query.plan();
        let violations = &mut self.tally.violations;
        violations.late += u64::from(now > plan.deadline);
        check_answer(
            answer,
            &running.evidence,
            &plan.shards,
            plan.repeatable,
            &self.maps,
            violations,
        );
        let (at, cost) = (running.node, running.cost);
        let elapsed = now.saturating_duration_since(running.started);
        let latency = now.saturating_duration_since(running.call.asked) + CALLER_DELAY;
        if running.call.recorded {
            let starved = self.nodes[at].limits.hedge_tokens(&plan.service) < 1.0;
            self.tally
                .answer(running.call.service, answer, latency, starved);
        }
        log_slow(answer, latency);
        if let Some(admission) = &mut self.nodes[at].admission {
            admission.finish(cost, elapsed);
            self.take_turns(at);
        }
    }

    /// Removes a query that has answered and has nothing outstanding; until then late replies are given to it.
    pub(crate) fn forget_ended(&mut self, key: QueryKey) {
        let ended = |running: &Running| running.done && running.outstanding == 0;
        if !self.running.get(key).is_some_and(ended) {
            return;
        }
        if let Some(running) = self.running.remove(key)
            && running.call.recorded
        {
            self.tally.extra += running.evidence.count_extra();
        }
    }
}

/// Shows how a slow answer came about, for the search of causes.
fn log_slow(answer: &Answer, latency: Duration) {
    if latency > Duration::from_millis(100) {
        log::trace!(
            "bench: an answer took {latency:?}: {:?}",
            answer.explanation
        );
    }
}
