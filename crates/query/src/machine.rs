//! The query state machine.

use std::collections::BTreeMap;
use std::time::Instant;

use base::AttemptId;
use base::Code;
use base::IndexState;
use base::IndexVersion;
use base::Outcome;
use base::Part;
use base::QueryReply;
use base::ShardId;
use base::Snapshot;
use base::UpstreamId;
use compact_str::format_compact;
use rand::Rng;

use crate::Answer;
use crate::Coverage;
use crate::Explanation;
use crate::Missing;
use crate::MissingReason;
use crate::Plan;

/// What a query borrows from its node while it handles an event.
pub struct Env<'a> {
    /// The index that the query reads.
    pub index: &'a IndexState,
    /// Source of attempt ids, unique on this node.
    pub next_attempt: &'a mut AttemptId,
    /// Random generator, seeded by the caller.
    pub rng: &'a mut dyn Rng,
}

impl std::fmt::Debug for Env<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Env")
            .field("index", &self.index.index)
            .finish_non_exhaustive()
    }
}

/// One sub-request to one upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifies the sub-request.
    pub id: AttemptId,
    /// Upstream to ask.
    pub upstream: UpstreamId,
    /// Shard to ask for.
    pub shard: ShardId,
    /// Snapshot to read.
    pub snapshot: Snapshot,
    /// Moment after which the reply is of no use.
    pub deadline: Instant,
}

/// Why a sub-request has no reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// The upstream or the connection proved that the request was not run.
    NotRun,
    /// The upstream does not hold the index version; it lists those that it holds.
    Retired(Vec<IndexVersion>),
    /// The connection broke or the reply was not valid; the request may have run.
    Lost,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// The query was admitted.
    Start,
    /// An upstream replied.
    Reply(QueryReply),
    /// A sub-request failed.
    Failed(AttemptId, Failure),
    /// A requested moment has come.
    Wake,
}

/// An output of the state machine.
#[derive(Debug)]
pub enum Action {
    /// Send a sub-request.
    Send(Attempt),
    /// Tell the upstream that the reply is not needed, and release what the attempt holds.
    Cancel(AttemptId),
    /// Call back with [`Event::Wake`] at this moment or later.
    WakeAt(Instant),
    /// Give the answer; the last action of a query.
    Finish(Box<Answer>),
}

/// State of one shard of the query.
#[derive(Debug)]
enum Progress {
    Waiting(AttemptId),
    Answered(Part),
    Missing(MissingReason),
}

impl Progress {
    fn is_waiting_for(&self, attempt: AttemptId) -> bool {
        matches!(self, Progress::Waiting(id) if *id == attempt)
    }
}

/// The state machine of one query.
#[derive(Debug)]
pub struct Query {
    plan: Plan,
    started: Instant,
    snapshot: Option<Snapshot>,
    shards: BTreeMap<ShardId, Progress>,
    members: BTreeMap<ShardId, u64>,
    attempts: u32,
    dropped: u32,
    done: bool,
}

impl Query {
    /// Creates the state machine; it does nothing before [`Event::Start`].
    pub fn new(plan: Plan, now: Instant) -> Query {
        Query {
            plan,
            started: now,
            snapshot: None,
            shards: BTreeMap::new(),
            members: BTreeMap::new(),
            attempts: 0,
            dropped: 0,
            done: false,
        }
    }

    /// Advances the state machine by one event.
    pub fn handle(&mut self, event: Event, now: Instant, env: &mut Env<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.done {
            return actions;
        }
        match event {
            Event::Start => self.start(env, &mut actions),
            Event::Reply(reply) => self.receive(reply),
            Event::Failed(attempt, failure) => self.fail(attempt, failure),
            Event::Wake => {}
        }
        self.finish_if_due(now, &mut actions);
        actions
    }

    fn start(&mut self, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        let Some(map) = env.index.maps.last() else {
            return;
        };
        let Some(&version) = map.versions.last() else {
            return;
        };
        let snapshot = Snapshot {
            version,
            map: map.map,
        };
        self.snapshot = Some(snapshot);
        for shard in map
            .shards
            .iter()
            .filter(|shard| self.plan.shards.contains(shard))
        {
            self.members.insert(shard.id, shard.members);
            let Some(upstream) = pick_replica(&shard.replicas, env.rng) else {
                self.shards
                    .insert(shard.id, Progress::Missing(MissingReason::NoReplica));
                continue;
            };
            *env.next_attempt += 1;
            let id = *env.next_attempt;
            self.attempts += 1;
            self.shards.insert(shard.id, Progress::Waiting(id));
            let deadline = self.plan.deadline;
            actions.push(Action::Send(Attempt {
                id,
                upstream: upstream.clone(),
                shard: shard.id,
                snapshot,
                deadline,
            }));
        }
        actions.push(Action::WakeAt(self.plan.deadline));
    }

    fn receive(&mut self, reply: QueryReply) {
        let attempt = reply.attempt;
        for part in reply.parts {
            let expected = Some(Snapshot {
                version: part.version,
                map: part.map,
            }) == self.snapshot;
            match self.shards.get_mut(&part.shard) {
                Some(progress) if expected && progress.is_waiting_for(attempt) => {
                    *progress = Progress::Answered(part);
                }
                _ => self.dropped += 1,
            }
        }
    }

    fn fail(&mut self, attempt: AttemptId, failure: Failure) {
        let reason = match failure {
            Failure::NotRun => MissingReason::Shed,
            Failure::Retired(_) => MissingReason::Retired,
            Failure::Lost => MissingReason::NoReplica,
        };
        for progress in self.shards.values_mut() {
            if progress.is_waiting_for(attempt) {
                *progress = Progress::Missing(reason);
            }
        }
    }

    fn finish_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let waiting = self
            .shards
            .values()
            .any(|progress| matches!(progress, Progress::Waiting(_)));
        if waiting && now < self.plan.deadline {
            return;
        }
        self.done = true;
        for progress in self.shards.values_mut() {
            if let Progress::Waiting(id) = progress {
                actions.push(Action::Cancel(*id));
                *progress = Progress::Missing(MissingReason::Deadline);
            }
        }
        actions.push(Action::Finish(Box::new(self.answer(now))));
    }

    fn answer(&mut self, now: Instant) -> Answer {
        let mut coverage = Coverage::default();
        let mut parts = Vec::new();
        for (shard, progress) in std::mem::take(&mut self.shards) {
            let members = self.members.get(&shard).copied().unwrap_or(0);
            coverage.shards += 1;
            coverage.members += members;
            match progress {
                Progress::Answered(part) => {
                    coverage.answered += 1;
                    coverage.covered += members;
                    parts.push(part);
                }
                Progress::Waiting(_) => coverage.missing.push(Missing {
                    shard,
                    reason: MissingReason::Deadline,
                }),
                Progress::Missing(reason) => coverage.missing.push(Missing { shard, reason }),
            }
        }
        let code = decide_code(&coverage, &self.plan);
        if code.outcome() == Some(Outcome::Unknown) {
            parts.clear();
        }
        let explanation = Explanation {
            query: format_compact!("{:032x}", self.plan.id),
            service: self.plan.service.clone(),
            request: self.plan.request.clone(),
            index: self.plan.index.clone(),
            code,
            revision: self.plan.revision,
            stale_ms: self.plan.stale.map(|age| age.as_millis() as u64),
            snapshot: self.snapshot,
            coverage,
            attempts: self.attempts,
            hedges: 0,
            retries: 0,
            restarts: 0,
            dropped: self.dropped,
            deadline_ms: self
                .plan
                .deadline
                .saturating_duration_since(self.started)
                .as_millis() as u64,
            elapsed_ms: now.saturating_duration_since(self.started).as_millis() as u64,
        };
        Answer {
            code,
            parts,
            explanation,
        }
    }
}

fn decide_code(coverage: &Coverage, plan: &Plan) -> Code {
    if coverage.shards == 0 {
        return Code::NoUpstream;
    }
    if coverage.answered == coverage.shards {
        return Code::Answered;
    }
    if coverage.answered == 0 {
        return Code::NoReply;
    }
    if (coverage.covered as f64) < plan.policy.at_deadline.min_coverage * coverage.members as f64 {
        return Code::BelowMinimum;
    }
    match coverage.missing[0].reason {
        MissingReason::Deadline => Code::PartialDeadline,
        MissingReason::NoReplica => Code::PartialNoReplica,
        MissingReason::Retired => Code::PartialRetired,
        MissingReason::Shed => Code::PartialShed,
    }
}

fn pick_replica<'a>(replicas: &'a [UpstreamId], rng: &mut dyn Rng) -> Option<&'a UpstreamId> {
    if replicas.is_empty() {
        return None;
    }
    replicas.get(rng.next_u64() as usize % replicas.len())
}
