//! A node with one index, whose time the tests advance; it has no sockets.

// Each test file compiles this module and uses a part of it.
#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::IndexState;
use base::IndexVersion;
use base::QueryReply;
use base::ShardId;
use base::UpstreamState;
use decl::AtDeadline;
use decl::Prefer;
use decl::ShardSet;
use limit::AttemptOutcome;
use limit::GateKey;
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
use serde_json::Value;
use serde_json::from_value;
use serde_json::json;

/// Members of each shard.
pub const MEMBERS: u64 = 10;

/// Time allowed for each query, in milliseconds.
pub const DEADLINE_MS: u64 = 100;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Builds a map whose shard `s` has the replicas `s-0`, `s-1` and so on.
fn build_map(map: u64, versions: &[IndexVersion], shards: u32, replicas: u32) -> Value {
    let names = |id| (0..replicas).map(move |r| format!("{id}-{r}"));
    let shard = |id| json!({ "id": id, "members": MEMBERS, "replicas": Vec::from_iter(names(id)) });
    json!({ "map": map, "versions": versions, "shards": Vec::from_iter((0..shards).map(shard)) })
}

/// A node; its limits outlive the queries.
pub struct Node {
    pub index: IndexState,
    pub limits: Limits,
    pub next_attempt: AttemptId,
    pub rng: Pcg64Mcg,
    pub now: Instant,
}

impl Node {
    /// Creates a node whose index has a map for each list of versions.
    pub fn new(shards: u32, replicas: u32, maps: &[&[IndexVersion]]) -> Node {
        let all = (0..shards).flat_map(|id| (0..replicas).map(move |r| format!("{id}-{r}")));
        let upstream = |id| {
            json!({ "id": id, "addr": "127.0.0.1:9001", "zone": "zurich", "region": "ch",
                    "slots": 5, "connections": 90 })
        };
        let maps = (1..)
            .zip(maps)
            .map(|(id, held)| build_map(id, held, shards, replicas));
        let index: IndexState = from_value(json!({
            "index": "plan-desk",
            "maps": Vec::from_iter(maps),
            "upstreams": Vec::from_iter(all.map(upstream)),
        }))
        .unwrap();
        let mut limits = Limits::new("zurich".into(), "ch".into(), limit::Tuning::default());
        limits.set_index(&index, 18);
        Node {
            index,
            limits,
            next_attempt: 0,
            rng: Pcg64Mcg::new(1),
            now: Instant::now(),
        }
    }

    /// Replaces the limits by new ones with other mechanisms.
    pub fn set_tuning(&mut self, tuning: limit::Tuning) {
        self.limits = Limits::new("zurich".into(), "ch".into(), tuning);
        self.limits.set_index(&self.index, 18);
    }

    /// Adds a map to the index, as a repartition does.
    pub fn add_map(&mut self, map: u64, versions: &[IndexVersion], shards: u32, replicas: u32) {
        let map = build_map(map, versions, shards, replicas);
        self.index.maps.push(from_value(map).unwrap());
    }

    /// Creates a node whose index has one map and one version.
    pub fn with_one_version(shards: u32, replicas: u32) -> Node {
        Node::new(shards, replicas, &[&[1]])
    }

    /// Returns a plan for a read of every shard that waits for all of them.
    fn plan(&self) -> Plan {
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

    pub fn key(&self, upstream: &str) -> GateKey {
        self.limits.key(&upstream.into()).unwrap()
    }

    /// Runs `count` attempts at an upstream; each ends with the same outcome after `time`.
    pub fn run_attempts(
        &mut self,
        upstream: &str,
        count: u32,
        outcome: AttemptOutcome,
        time: Duration,
    ) {
        for _ in 0..count {
            let permit = self.limits.acquire(self.key(upstream), self.now).unwrap();
            self.limits.release(permit, outcome, self.now + time);
        }
    }

    /// Acquires every permit of the first upstream and never releases them.
    pub fn fill_upstream(&mut self) {
        while self.limits.acquire(self.key("0-0"), self.now).is_ok() {}
    }

    /// Records which versions the first replica of each shard holds, one digit for each version.
    pub fn record_versions(&mut self, held: &[&str]) {
        self.now += ms(1);
        for (shard, digits) in held.iter().enumerate() {
            let key = self.key(&format!("{shard}-0"));
            let held: Vec<u64> = digits.bytes().map(|b| u64::from(b - b'0')).collect();
            self.limits.record_versions(key, &held, self.now);
        }
    }

    /// Returns the number of permits that were not released.
    pub fn in_flight(&self) -> u32 {
        let upstreams = self.index.upstreams.iter();
        let keys = upstreams.filter_map(|upstream| self.limits.key(&upstream.id));
        keys.map(|key| self.limits.gate(key).unwrap().in_flight())
            .sum()
    }

    /// Starts a query with the default plan as modified by `change`.
    pub fn start_query(&mut self, change: impl FnOnce(&mut Plan)) -> QueryRun {
        let mut plan = self.plan();
        change(&mut plan);
        let mut run = QueryRun {
            query: Query::new(plan, self.now),
            sent: vec![],
            cancelled: vec![],
            wakes: vec![],
            answers: vec![],
        };
        run.handle(self, Event::Start);
        run
    }
}

/// A query and the actions that it returned.
pub struct QueryRun {
    pub query: Query,
    pub sent: Vec<Attempt>,
    pub cancelled: Vec<AttemptId>,
    pub wakes: Vec<Instant>,
    pub answers: Vec<(Instant, Answer)>,
}

impl QueryRun {
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

    /// Advances the time and wakes the query at each time that it requested.
    pub fn advance_time(&mut self, node: &mut Node, time: Duration) {
        let end = node.now + time;
        while let Some(at) = self.wakes.iter().copied().min().filter(|at| *at <= end) {
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

    /// Replies to each attempt so far whose shard passes the filter.
    pub fn reply_where(&mut self, node: &mut Node, filter: impl Fn(ShardId) -> bool) {
        for at in 0..self.sent.len() {
            if filter(self.sent[at].shard) {
                self.reply(node, at);
            }
        }
    }

    pub fn fail(&mut self, node: &mut Node, at: usize, failure: Failure) {
        let id = self.sent[at].id;
        self.handle(node, Event::Failed(id, failure));
    }

    /// Returns the answer; advances the time to the deadline if there is none yet.
    pub fn finish(&mut self, node: &mut Node) -> &Answer {
        if self.answers.is_empty() {
            self.advance_time(node, ms(DEADLINE_MS));
        }
        assert_eq!(self.answers.len(), 1, "a query answers once");
        &self.answers[0].1
    }
}

/// Builds the valid reply to an attempt; the items name the attempt.
pub fn build_reply(attempt: &Attempt) -> QueryReply {
    let part = json!({
        "shard": attempt.shard, "version": attempt.snapshot.version, "map": attempt.snapshot.map,
        "members": MEMBERS, "items": attempt.id,
    });
    QueryReply {
        attempt: attempt.id,
        parts: vec![serde_json::from_str(&part.to_string()).unwrap()],
        state: UpstreamState::Live,
        queue_ms: 0,
        held: vec![],
    }
}
