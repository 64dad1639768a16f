//! An entry node in virtual time, built on the real query state machine, limits and admission.

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
use crate::bench::world::RequestKey;
use crate::bench::world::World;
use crate::server;

/// Maximum number of queries of one service in a node's admission queue.
const QUEUE_LIMIT: usize = 64;

/// A request that a caller sends to an entry node.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) number: u64,
    /// Index of the service in the workload.
    pub(crate) service_index: usize,
    /// Index of the request in the service's declaration.
    pub(crate) request_index: usize,
    /// When the caller sent it.
    pub(crate) sent: Instant,
    /// Whether it was sent in the measured time and counts in the metrics.
    pub(crate) recorded: bool,
}

/// A request in the admission queue.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    request: CallerRequest,
    received: Instant,
}

/// A request whose query has started.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) node: usize,
    pub(crate) query: Query,
    pub(crate) evidence: Evidence,
    /// Sub-requests that have not ended.
    pub(crate) outstanding: u32,
    request: CallerRequest,
    started: Instant,
    cost: u32,
    answered: bool,
}

/// An entry node.
pub(crate) struct Node {
    pub(crate) zone: usize,
    pub(crate) limits: Limits,
    pub(crate) index: Arc<IndexState>,
    /// Connection pools by server.
    pub(crate) pools: Vec<Pool>,
    /// This node's share of each server's connections; `None` when the policy has no limits.
    pub(crate) shares: Vec<Option<u32>>,
    /// `None` when the policy has no limits.
    admission: Option<Admission<WaitingRequest>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
}

impl Node {
    pub(crate) fn new(workload: &Workload, policy: Policy, index: usize, seed: u64) -> Node {
        let zone = index % workload.zones.len();
        let region = workload.servers[0].region.clone();
        let mut limits = Limits::new(workload.zones[zone].clone(), region, policy.limits());
        limits.set_index(&workload.index, workload.node_count);
        let limited = policy.limits().share;
        let share =
            |connections| limited.then(|| connection_share(connections, workload.node_count));
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
            next_attempt: (index as u64 + 1) << 40,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (index as u64 + 1)),
        }
    }
}

impl World<'_> {
    /// Queues a received request for admission, or starts it at once when the policy has no limits.
    pub(crate) fn receive(&mut self, node: usize, request: CallerRequest) {
        let service = &self.workload.services[request.service_index];
        let deadline = self.now + service.deadline;
        let cost = self.count_shards(node, &request);
        let waiting = WaitingRequest {
            request,
            received: self.now,
        };
        let Some(admission) = &mut self.nodes[node].admission else {
            self.start(node, waiting, cost);
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
                self.push(deadline, Event::Expire(node));
                self.start_admitted(node);
            }
            Err((refusal, request)) => self.record_refusal(&request.item.request, refusal.code()),
        }
    }

    fn count_shards(&self, node: usize, request: &CallerRequest) -> u32 {
        let service = &self.workload.services[request.service_index];
        if !service.requests[request.request_index].repeatable {
            return 1;
        }
        let map = self.nodes[node].index.maps.last();
        let shards = map.map_or(&[][..], |map| &map.shards);
        let selected = shards.iter().filter(|shard| service.shards.contains(shard));
        selected.count() as u32
    }

    fn record_refusal(&mut self, request: &CallerRequest, code: base::Code) {
        if request.recorded {
            self.recorder.record_refusal(request.service_index, code);
        }
    }

    /// Refuses the queued requests that have expired.
    pub(crate) fn refuse_expired(&mut self, node: usize) {
        let now = self.now;
        let Some(admission) = &mut self.nodes[node].admission else {
            return;
        };
        for waiting in admission.drop_expired(now) {
            self.record_refusal(&waiting.request, limit::Refusal::TooLate.code());
        }
    }

    /// Starts queued requests for as long as admission has capacity.
    fn start_admitted(&mut self, node: usize) {
        loop {
            let Some(admission) = &mut self.nodes[node].admission else {
                return;
            };
            match admission.dequeue(self.now) {
                None => return,
                Some(Dequeued::Run(waiting, cost)) => self.start(node, waiting, cost),
                Some(Dequeued::Expired(waiting)) => {
                    self.record_refusal(&waiting.request, limit::Refusal::TooLate.code());
                }
            }
        }
    }

    fn start(&mut self, node: usize, waiting: WaitingRequest, cost: u32) {
        let WaitingRequest { request, received } = waiting;
        let plan = self.build_plan(&request, received);
        let echo = format!(r#""q":{}}}"#, request.number);
        let key = self.active.insert(ActiveRequest {
            node,
            query: Query::new(plan, received),
            evidence: Evidence {
                echo,
                ..Evidence::default()
            },
            outstanding: 0,
            request,
            started: self.now,
            cost,
            answered: false,
        });
        self.drive_query(key, query::Event::Start);
    }

    fn build_plan(&self, request: &CallerRequest, received: Instant) -> Plan {
        let service = &self.workload.services[request.service_index];
        let declared = &service.requests[request.request_index];
        Plan {
            id: u128::from(request.number),
            service: service.service.clone(),
            request: declared.name.clone(),
            index: service.index.clone(),
            shards: service.shards.clone(),
            repeatable: declared.repeatable,
            key: format_compact!("key-{}", request.number),
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

    /// Passes an event to a query and executes the resulting actions.
    pub(crate) fn drive_query(&mut self, key: RequestKey, event: query::Event) {
        let Some(active) = self.active.get_mut(key) else {
            return;
        };
        let node = &mut self.nodes[active.node];
        let index = node.index.clone();
        let mut env = Env {
            index: &index,
            limits: &mut node.limits,
            next_attempt: &mut node.next_attempt,
            rng: &mut node.rng,
        };
        let actions = active.query.handle(event, self.now, &mut env);
        for action in actions {
            match action {
                Action::Send(attempt) => self.send_attempt(key, attempt),
                Action::Cancel(attempt) => self.send_cancel(attempt),
                Action::WakeAt(at) => self.push(at, Event::Wake(key)),
                Action::Finish(answer) => self.finish_query(key, &answer),
            }
        }
        self.remove_finished(key);
    }

    /// Builds the message that sends a sub-request to its server.
    pub(crate) fn build_message(&self, key: RequestKey, attempt: &Attempt) -> server::Event {
        let active = &self.active[key];
        let plan = active.query.plan();
        let body = format!(r#"{{"q":{}}}"#, active.request.number);
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

    fn finish_query(&mut self, key: RequestKey, answer: &Answer) {
        let now = self.now;
        let Some(active) = self.active.get_mut(key) else {
            return;
        };
        active.answered = true;
        let plan = active.query.plan();
        let violations = &mut self.recorder.violations;
        violations.late += u64::from(now > plan.deadline);
        check_answer(
            answer,
            &active.evidence,
            &plan.shards,
            plan.repeatable,
            &self.maps,
            violations,
        );
        let (node, cost) = (active.node, active.cost);
        let elapsed = now.saturating_duration_since(active.started);
        let latency = now.saturating_duration_since(active.request.sent) + CALLER_DELAY;
        if active.request.recorded {
            let starved = self.nodes[node].limits.hedge_tokens(&plan.service) < 1.0;
            self.recorder
                .record_answer(active.request.service_index, answer, latency, starved);
        }
        log_slow(answer, latency);
        if let Some(admission) = &mut self.nodes[node].admission {
            admission.finish(cost, elapsed);
            self.start_admitted(node);
        }
    }

    /// Removes a query that has answered and has no outstanding sub-requests; until then it receives late replies.
    pub(crate) fn remove_finished(&mut self, key: RequestKey) {
        let finished = |active: &ActiveRequest| active.answered && active.outstanding == 0;
        if !self.active.get(key).is_some_and(finished) {
            return;
        }
        if let Some(active) = self.active.remove(key)
            && active.request.recorded
        {
            self.recorder.extra += active.evidence.count_extra();
        }
    }
}

/// Logs the explanation of a slow answer.
fn log_slow(answer: &Answer, latency: Duration) {
    if latency > Duration::from_millis(100) {
        log::trace!(
            "bench: slow answer after {latency:?}: {:?}",
            answer.explanation
        );
    }
}
