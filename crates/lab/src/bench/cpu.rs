//! Measures the CPU time of the query state machine, without sockets.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::IndexState;
use base::Part;
use base::QueryReply;
use base::Shard;
use base::ShardMap;
use base::Upstream;
use base::UpstreamState;
use compact_str::format_compact;
use decl::AtDeadline;
use decl::Prefer;
use decl::ShardSet;
use limit::Limits;
use query::Action;
use query::Env;
use query::Event;
use query::Plan;
use query::Policy;
use query::Query;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Measured fan-outs: that of the current fleet, a quarter of the largest, and the largest, expected in two years.
const FANOUTS: [u32; 3] = [30, 130, 520];

/// Virtual time between the start of a query and its replies.
const REPLY_TIME: Duration = Duration::from_millis(6);

/// CPU cost of the state machine at one fan-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Shards per query.
    pub fanout: u32,
    /// Median over the queries of the CPU time per shard, in nanoseconds.
    pub shard_ns: f64,
    /// Sub-requests per second on one core.
    pub rate: f64,
}

/// Measures the cost per shard of sending and receiving, including permits and the choice of replica.
pub(crate) fn measure_costs(quick: bool) -> Vec<Cost> {
    let shards: u32 = if quick { 20_000 } else { 1_000_000 };
    let measure = |&fanout: &u32| {
        let mut fixture = Fixture::new(fanout);
        // The first queries warm up the caches and the reply times, and are not counted.
        (0..10).for_each(|_| {
            fixture.time_query();
        });
        let mut times: Vec<Duration> = (0..shards / fanout).map(|_| fixture.time_query()).collect();
        times.sort_unstable();
        let shard_ns = times[times.len() / 2].as_nanos() as f64 / f64::from(fanout);
        Cost {
            fanout,
            shard_ns,
            rate: 1e9 / shard_ns,
        }
    };
    FANOUTS.iter().map(measure).collect()
}

/// State that the measured queries share.
struct Fixture {
    index: IndexState,
    limits: Limits,
    next_attempt: u64,
    rng: Pcg64Mcg,
    now: Instant,
    items: Box<RawValue>,
}

impl Fixture {
    fn new(fanout: u32) -> Fixture {
        let index = build_index(fanout);
        let mut limits = Limits::new("zone-0".into(), "region".into(), Default::default());
        limits.set_index(&index, 17);
        Fixture {
            index,
            limits,
            next_attempt: 0,
            rng: Pcg64Mcg::seed_from_u64(1),
            now: Instant::now(),
            items: RawValue::NULL.to_owned(),
        }
    }

    /// Runs one query to which every shard replies, and returns the time spent in the state machine.
    fn time_query(&mut self) -> Duration {
        let mut query = Query::new(self.build_plan(), self.now);
        let (actions, start) = self.time_events(&mut query, vec![Event::Start]);
        let replies = actions.into_iter().filter_map(|action| match action {
            Action::Send(attempt) => Some(Event::Reply(QueryReply {
                attempt: attempt.id,
                parts: vec![Part {
                    shard: attempt.shard,
                    version: attempt.snapshot.version,
                    map: attempt.snapshot.map,
                    members: 1,
                    items: self.items.clone(),
                }],
                state: UpstreamState::Live,
                queue_ms: 0,
                held: vec![1],
            })),
            _ => None,
        });
        let replies = replies.collect();
        self.now += REPLY_TIME;
        let (_, receive) = self.time_events(&mut query, replies);
        self.now += REPLY_TIME;
        start + receive
    }

    /// Passes events to a query, and returns its actions with the time that this took.
    fn time_events(&mut self, query: &mut Query, events: Vec<Event>) -> (Vec<Action>, Duration) {
        let mut env = Env {
            index: &self.index,
            limits: &mut self.limits,
            next_attempt: &mut self.next_attempt,
            rng: &mut self.rng,
        };
        let started = Instant::now();
        let mut actions = Vec::new();
        for event in events {
            actions.extend(query.handle(event, self.now, &mut env));
        }
        (actions, started.elapsed())
    }

    fn build_plan(&self) -> Plan {
        Plan {
            id: 1,
            service: "service".into(),
            request: "search".into(),
            index: self.index.index.clone(),
            shards: ShardSet::All,
            repeatable: true,
            key: "key".into(),
            deadline: self.now + Duration::from_millis(250),
            policy: Policy {
                at_deadline: AtDeadline {
                    prefer: Prefer::Latency,
                    min_coverage: 0.9,
                },
                hedge_budget: 0.03,
                retry_budget: 0.02,
            },
            revision: 1,
            stale: None,
            tuning: Default::default(),
        }
    }
}

/// Builds an index with `count` servers in three zones and as many shards, each with a replica in every zone.
fn build_index(count: u32) -> IndexState {
    let name = |number: u32| format_compact!("upstream-{:03}", number % count);
    let shards = (0..count).map(|id| Shard {
        id,
        members: 1,
        tags: Vec::new(),
        replicas: vec![name(id), name(id + 1), name(id + 2)],
    });
    let upstreams = (0..count).map(|number| Upstream {
        id: name(number),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: format_compact!("zone-{}", number % 3),
        region: "region".into(),
        slots: 5,
        connections: 90,
    });
    IndexState {
        index: "index".into(),
        maps: vec![ShardMap {
            map: 1,
            versions: vec![1],
            shards: shards.collect(),
        }],
        upstreams: upstreams.collect(),
    }
}
