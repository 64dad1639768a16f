//! The state machine of one query: bind, scatter, hedge, gather, explain.
//!
//! A [`Query`] takes events and returns actions. It reads no clock, opens no socket and takes random numbers from the
//! generator in [`Env`], so that the runtime, the scenarios and the benchmarks run the same code. See `docs/design.md`,
//! section 5. [`Gather`] is the counterpart for requests that a gateway forwards.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use base::Code;
//! use base::IndexState;
//! use base::Part;
//! use base::QueryReply;
//! use base::UpstreamState;
//! use decl::AtDeadline;
//! use decl::Prefer;
//! use decl::ShardSet;
//! use limit::Limits;
//! use query::Action;
//! use query::Env;
//! use query::Event;
//! use query::Plan;
//! use query::Policy;
//! use query::Query;
//! use rand_pcg::Pcg64Mcg;
//!
//! let index: IndexState = serde_json::from_str(
//!     r#"{
//!     "index": "plan-desk",
//!     "maps": [{ "map": 1, "versions": [7], "shards": [{ "id": 0, "members": 10, "replicas": ["u1"] }] }],
//!     "upstreams": [{ "id": "u1", "addr": "127.0.0.1:9001", "zone": "zurich", "region": "ch",
//!                     "slots": 2, "connections": 90 }]
//! }"#,
//! )
//! .unwrap();
//! let now = Instant::now();
//! let plan = Plan {
//!     id: 1,
//!     service: "advisers".into(),
//!     request: "search".into(),
//!     index: "plan-desk".into(),
//!     shards: ShardSet::All,
//!     repeatable: true,
//!     key: "k1".into(),
//!     deadline: now + Duration::from_millis(250),
//!     policy: Policy {
//!         at_deadline: AtDeadline { prefer: Prefer::Coverage, min_coverage: 0.9 },
//!         hedge_budget: 0.03,
//!         retry_budget: 0.02,
//!     },
//!     revision: 1,
//!     stale: None,
//!     tuning: Default::default(),
//! };
//! let mut limits = Limits::new("zurich".into(), "ch".into(), Default::default());
//! limits.set_index(&index, 18);
//! let mut env = Env {
//!     index: &index,
//!     limits: &mut limits,
//!     next_attempt: &mut 0,
//!     rng: &mut Pcg64Mcg::new(1),
//! };
//!
//! let mut query = Query::new(plan, now);
//! let actions = query.handle(Event::Start, now, &mut env);
//! let Action::Send(attempt) = &actions[0] else { panic!("no attempt") };
//! let reply = QueryReply {
//!     attempt: attempt.id,
//!     parts: vec![Part {
//!         shard: 0,
//!         version: 7,
//!         map: 1,
//!         members: 10,
//!         items: serde_json::from_str("[]").unwrap(),
//!     }],
//!     state: UpstreamState::Live,
//!     queue_ms: 0,
//!     held: vec![7],
//! };
//! let actions = query.handle(Event::Reply(reply), now + Duration::from_millis(3), &mut env);
//! let Action::Finish(answer) = &actions[0] else { panic!("no answer") };
//! assert_eq!(answer.code, Code::Answered);
//! assert_eq!(answer.explanation.coverage.covered, 10);
//! ```

mod answer;
mod attempt;
mod bind;
mod finish;
mod gather;
mod gather_event;
mod machine;
mod plan;
mod send;
mod shard;
mod tuning;

pub use crate::answer::Answer;
pub use crate::answer::Coverage;
pub use crate::answer::Explanation;
pub use crate::answer::MissingReason;
pub use crate::answer::MissingShard;
pub use crate::attempt::Action;
pub use crate::attempt::Attempt;
pub use crate::attempt::AttemptKind;
pub use crate::attempt::Env;
pub use crate::attempt::Event;
pub use crate::attempt::Failure;
pub use crate::gather::Gather;
pub use crate::gather_event::GatherAction;
pub use crate::gather_event::GatherEnv;
pub use crate::gather_event::GatherEvent;
pub use crate::gather_event::GatherOutcome;
pub use crate::gather_event::GatherPlan;
pub use crate::gather_event::UnansweredService;
pub use crate::machine::Query;
pub use crate::plan::Plan;
pub use crate::plan::Policy;
pub use crate::tuning::Hedging;
pub use crate::tuning::Tuning;
