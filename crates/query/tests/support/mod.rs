//! A node with one index, driven by hand: no clock, no sockets.

// Each test file compiles this module and uses a part of it.
#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::IndexVersion;
use base::Part;
use base::QueryReply;
use base::Shard;
use base::ShardId;
use base::ShardMap;
use base::Upstream;
use base::UpstreamState;
use decl::AtDeadline;
use decl::Prefer;
use decl::ShardSet;
use limit::Ending;
use limit::Limits;
use query::Action;
use query::Answer;
use query::Attempt;
use query::Env;
use query::Event;
use query::Failure;
use query::Plan;
use query::Policy;
use query::Query;
use rand_pcg::Pcg64Mcg;
use serde_json::value::RawValue;

/// Members of each shard.
pub const MEMBERS: u64 = 10;

/// Time allowed for each query, in milliseconds.
pub const DEADLINE_MS: u64 = 100;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Builds a map whose shard `s` has the replicas `s-0`, `s-1` and so on.
pub fn build_map(map: u64, versions: &[IndexVersion], shards: u32, replicas: u32) -> ShardMap {
    let build_shard = |id| Shard {
        id,
        members: MEMBERS,
        tags: Vec::new(),
        replicas: (0..replicas).map(|r| format!("{id}-{r}").into()).collect(),
    };
    ShardMap {
        map,
        versions: versions.to_vec(),
        shards: (0..shards).map(build_shard).collect(),
    }
}

/// A node with its limits, which outlive the queries.
pub struct Node {
    pub index: IndexState,
    pub limits: Limits,
    pub next_attempt: AttemptId,
    pub rng: Pcg64Mcg,
    pub now: Instant,
}

impl Node {
    pub fn new(shards: u32, replicas: u32, tuning: limit::Tuning) -> Node {
        let map = build_map(1, &[1], shards, replicas);
        let upstreams = map.shards.iter().flat_map(|shard| &shard.replicas);
        let build_upstream = |id: &base::UpstreamId| Upstream {
            id: id.clone(),
            addr: "127.0.0.1:9001".parse().unwrap(),
            zone: "zurich".into(),
            region: "ch".into(),
            slots: 5,
            connections: 90,
        };
        let index = IndexState {
            index: "plan-desk".into(),
            upstreams: upstreams.map(build_upstream).collect(),
            maps: vec![map],
        };
        let mut limits = Limits::new("zurich".into(), "ch".into(), tuning);
        limits.set_index(&index, 18);
        Node {
            index,
            limits,
            next_attempt: 0,
            rng: Pcg64Mcg::new(1),
            now: Instant::now(),
        }
    }

    /// Builds a plan for a read of every shard that waits for all of them.
    pub fn plan(&self) -> Plan {
        Plan {
            id: 1,
            service: "advisers".into(),
            request: "search".into(),
            index: "plan-desk".into(),
            shards: ShardSet::All,
            repeatable: true,
            key: "key".into(),
            deadline: self.now + ms(DEADLINE_MS),
            policy: Policy {
                at_deadline: AtDeadline {
                    prefer: Prefer::Coverage,
                    min_coverage: 0.0,
                },
                hedge_budget: 0.03,
                retry_budget: 0.02,
            },
            revision: 1,
            stale: None,
            tuning: query::Tuning::default(),
        }
    }

    /// Gives every upstream enough replies of 10 ms for its quantiles.
    pub fn warm(&mut self) {
        for upstream in self.index.upstreams.clone() {
            let key = self.limits.key(&upstream.id).unwrap();
            for _ in 0..40 {
                let permit = self.limits.acquire(key, self.now).unwrap();
                let then = self.now + ms(10);
                self.limits.release(permit, Ending::Replied, then);
            }
        }
        self.now += ms(10);
    }

    /// Records which versions an upstream holds.
    pub fn hold(&mut self, upstream: &str, held: &[IndexVersion]) {
        let key = self.limits.key(&upstream.into()).unwrap();
        self.limits.learn_held(key, held, self.now);
    }

    /// Uses up the tokens that a service starts with.
    pub fn drain_budget(&mut self) {
        while self.limits.take_hedge(&"advisers".into()) {}
        while self.limits.take_retry(&"advisers".into()) {}
    }

    /// Returns the permits that are out.
    pub fn in_flight(&self) -> u32 {
        let upstreams = self.index.upstreams.iter();
        let keys = upstreams.filter_map(|upstream| self.limits.key(&upstream.id));
        keys.map(|key| self.limits.gate(key).unwrap().in_flight())
            .sum()
    }

    pub fn run(&mut self, plan: Plan) -> Run {
        let mut run = Run {
            query: Query::new(plan, self.now),
            sent: Vec::new(),
            cancelled: Vec::new(),
            wakes: Vec::new(),
            answers: Vec::new(),
        };
        run.handle(self, Event::Start);
        run
    }
}

/// One query with everything that it asked for.
pub struct Run {
    pub query: Query,
    pub sent: Vec<Attempt>,
    pub cancelled: Vec<AttemptId>,
    pub wakes: Vec<Instant>,
    pub answers: Vec<(Instant, Answer)>,
}

impl Run {
    pub fn handle(&mut self, node: &mut Node, event: Event) {
        let mut env = Env {
            index: &node.index,
            limits: &mut node.limits,
            next_attempt: &mut node.next_attempt,
            rng: &mut node.rng,
        };
        for action in self.query.handle(event, node.now, &mut env) {
            assert!(self.answers.is_empty(), "{action:?} after the answer");
            match action {
                Action::Send(attempt) => self.sent.push(attempt),
                Action::Cancel(id) => self.cancelled.push(id),
                Action::WakeAt(at) => self.wakes.push(at),
                Action::Finish(answer) => self.answers.push((node.now, *answer)),
            }
        }
    }

    /// Moves the time on, with a wake at each moment that was asked for.
    pub fn advance(&mut self, node: &mut Node, time: Duration) {
        let end = node.now + time;
        while let Some(at) = self.wakes.iter().copied().min()
            && at <= end
        {
            self.wakes.retain(|wake| *wake > at);
            node.now = node.now.max(at);
            self.handle(node, Event::Wake);
        }
        node.now = end;
    }

    pub fn reply(&mut self, node: &mut Node, at: usize) {
        let reply = build_reply(&self.sent[at]);
        self.handle(node, Event::Reply(reply));
    }

    pub fn fail(&mut self, node: &mut Node, at: usize, failure: Failure) {
        let id = self.sent[at].id;
        self.handle(node, Event::Failed(id, failure));
    }

    /// Replies to each attempt so far whose shard passes the filter.
    pub fn reply_where(&mut self, node: &mut Node, filter: impl Fn(ShardId) -> bool) {
        for at in 0..self.sent.len() {
            if filter(self.sent[at].shard) {
                self.reply(node, at);
            }
        }
    }

    /// Returns the answer, after moving on to the deadline if there is none yet.
    pub fn finish(&mut self, node: &mut Node) -> &Answer {
        if self.answers.is_empty() {
            self.advance(node, ms(DEADLINE_MS));
        }
        assert_eq!(self.answers.len(), 1, "a query answers once");
        &self.answers[0].1
    }
}

/// Builds the valid reply to an attempt; the items name the attempt.
pub fn build_reply(attempt: &Attempt) -> QueryReply {
    QueryReply {
        attempt: attempt.id,
        parts: vec![Part {
            shard: attempt.shard,
            version: attempt.snapshot.version,
            map: attempt.snapshot.map,
            members: MEMBERS,
            items: RawValue::from_string(attempt.id.to_string()).unwrap(),
        }],
        state: UpstreamState::Live,
        queue_ms: 0,
        held: vec![],
    }
}
