//! Limits that one node enforces towards its upstreams and services.
//!
//! Each upstream has a [`Gate`] with its connection share, adaptive concurrency limit, drain state and reply times.
//! [`Limits`] chooses among replicas and issues permits. A [`ServiceBudget`] bounds the hedges and retries of a
//! service, and [`Admission`] queues queries for which there is no capacity. [`MemoryBudget`] bounds what others make the
//! process hold, and [`Connections`] chooses whose connection is closed when there is no room. The crate never reads the clock: callers
//! pass the current time. See `docs/design.md`, section 5.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use base::Upstream;
//! use limit::AttemptOutcome;
//! use limit::Blocked;
//! use limit::Limits;
//! use limit::Tuning;
//! use limit::connection_share;
//! use rand_pcg::Pcg64Mcg;
//!
//! let upstream = Upstream {
//!     id: "u1".into(),
//!     addr: "127.0.0.1:9001".parse().unwrap(),
//!     zone: "zurich".into(),
//!     region: "ch".into(),
//!     slots: 2,
//!     connections: 90,
//! };
//! let now = Instant::now();
//! let mut rng = Pcg64Mcg::new(1);
//! let mut limits = Limits::new("zurich".into(), "ch".into(), Tuning::default());
//! let key = limits.set_upstream(&upstream, Some(connection_share(90, 18)));
//!
//! let chosen = limits.pick(&[key], now, &mut rng).unwrap();
//! let first = limits.acquire(chosen, now).unwrap();
//! let second = limits.acquire(chosen, now).unwrap();
//! assert_eq!(limits.check(key, now), Err(Blocked::Limit));
//!
//! let later = now + Duration::from_millis(3);
//! limits.release(first, AttemptOutcome::Replied, later);
//! limits.release(second, AttemptOutcome::Shed, later);
//! assert_eq!(limits.check(key, later), Ok(()));
//! ```

mod admission;
mod attempt;
mod budget;
mod concurrency;
mod connections;
mod error_rate;
mod ewma;
mod fastest;
mod filtered_mean;
mod gate;
mod latency;
mod limits;
mod memory;
mod pick;
mod quota;
mod repeat;
mod tuning;

pub use crate::admission::Admission;
pub use crate::admission::Dequeued;
pub use crate::admission::Priority;
pub use crate::admission::Refusal;
pub use crate::admission::Request;
pub use crate::attempt::AttemptOutcome;
pub use crate::attempt::Blocked;
pub use crate::attempt::Distance;
pub use crate::budget::ServiceBudget;
pub use crate::connections::Closed;
pub use crate::connections::ConnectionKey;
pub use crate::connections::Connections;
pub use crate::connections::Phase;
pub use crate::gate::Gate;
pub use crate::latency::LatencyHistogram;
pub use crate::limits::CONNECTION_RESERVE_PERCENT;
pub use crate::limits::GateKey;
pub use crate::limits::Limits;
pub use crate::limits::Permit;
pub use crate::limits::connection_share;
pub use crate::memory::MemoryBudget;
pub use crate::memory::MemoryUse;
pub use crate::quota::LimitChange;
pub use crate::quota::LimitNotice;
pub use crate::quota::QuotaShare;
pub use crate::quota::RequestRate;
pub use crate::repeat::RepeatPool;
pub use crate::repeat::RepeatRule;
pub use crate::tuning::Tuning;
