//! Requests that may crash servers: what is sent after connections have ended.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use base::Upstream;
use limit::GateKey;
use limit::Limits;
use limit::RepeatPool;
use limit::Tuning;
use query::Failure;
use query::Gather;
use query::GatherAction;
use query::GatherEnv;
use query::GatherEvent;
use query::GatherOutcome;
use query::GatherPlan;
use rand_pcg::Pcg64Mcg;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A node with one query over some shards of three servers each.
struct Rig {
    limits: Limits,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
    gather: Gather,
    start: Instant,
    /// Attempts that are outstanding.
    open: Vec<AttemptId>,
    outcome: Option<GatherOutcome>,
}

impl Rig {
    fn new(shards: usize, careful: bool) -> Rig {
        let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
        let mut replicas = HashMap::new();
        let names: Vec<ServiceName> = (0..shards).map(|at| format!("s{at}").into()).collect();
        for name in &names {
            let keys = (0..3).map(|at| {
                let upstream = Upstream {
                    id: format!("{name}-{at}").into(),
                    addr: "127.0.0.1:9001".parse().unwrap(),
                    zone: "z".into(),
                    region: "r".into(),
                    slots: 4,
                    connections: 90,
                };
                limits.set_upstream(&upstream, Some(10))
            });
            replicas.insert(name.clone(), keys.collect());
        }
        let start = Instant::now();
        let plan = GatherPlan {
            services: names.into(),
            required: shards.div_ceil(2),
            repeatable: true,
            careful,
            delegated: Vec::new(),
            used: Vec::new(),
            pool: RepeatPool::Shared,
            max_runs: 3,
            objective: start + ms(250),
            deadline: start + ms(2_500),
            typical_latency: ms(28),
            hedge_delay: ms(56),
        };
        let mut rig = Rig {
            limits,
            replicas,
            next_attempt: 0,
            rng: Pcg64Mcg::new(3),
            gather: Gather::new(plan),
            start,
            open: Vec::new(),
            outcome: None,
        };
        rig.handle(GatherEvent::Start, 0);
        rig
    }

    fn handle(&mut self, event: GatherEvent, at: u64) {
        let mut env = GatherEnv {
            replicas: &self.replicas,
            limits: &mut self.limits,
            next_attempt: &mut self.next_attempt,
            settling: false,
            rng: &mut self.rng,
        };
        for action in self.gather.handle(event, self.start + ms(at), &mut env) {
            match action {
                GatherAction::Send { id, .. } => self.open.push(id),
                GatherAction::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    /// Ends the oldest outstanding attempt; returns whether that is evidence against the request.
    fn lose(&mut self, at: u64) -> bool {
        let id = self.open.remove(0);
        let is_evidence = self.gather.is_evidence(id);
        self.handle(GatherEvent::Failed(id, Failure::Broken), at);
        is_evidence
    }

    fn reply(&mut self, at: u64) {
        let id = self.open.remove(0);
        self.handle(GatherEvent::Replied(id), at);
    }
}

/// Guards against a request that crashes several servers at once after the first losses, and against losses at the same
/// time that count as evidence each.
#[test]
fn lost_connections_make_the_request_careful() {
    let mut rig = Rig::new(10, false);
    assert_eq!(rig.open.len(), 10);
    let evidence = (0..10).filter(|_| rig.lose(5)).count();
    assert_eq!((evidence, rig.open.len()), (1, 1));
    for at in 6..9 {
        assert!(rig.lose(at));
        assert_eq!(rig.open.len(), 1);
    }
    rig.handle(GatherEvent::Blocked, 9);
    assert_eq!(rig.outcome, Some(GatherOutcome::Failed));
}

/// Guards against a request that waits for its careful attempts although a server has answered it.
#[test]
fn reply_sends_the_rest_at_once() {
    let mut rig = Rig::new(10, false);
    for _ in 0..9 {
        rig.lose(5);
    }
    assert_eq!(rig.open.len(), 2);
    rig.reply(6);
    assert_eq!(rig.open.len(), 9);
    while !rig.open.is_empty() {
        rig.reply(7);
    }
    assert!(matches!(
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 0, .. })
    ));
}

/// Guards against a loss that counts as evidence after a reply has shown that the request is sound.
#[test]
fn loss_after_a_reply_is_no_evidence() {
    let mut rig = Rig::new(3, false);
    rig.reply(5);
    assert!(!rig.lose(6));
    assert_eq!(rig.open.len(), 2);
}

/// Guards against a suspected request that reaches a server of each shard at once.
#[test]
fn suspected_request_starts_with_one_attempt() {
    let mut rig = Rig::new(10, true);
    assert_eq!(rig.open.len(), 1);
    rig.reply(5);
    assert_eq!(rig.open.len(), 9);
}

/// Guards against a suspected request that waits for a silent server until its deadline.
#[test]
fn silent_server_does_not_hold_up_a_suspected_request() {
    let mut rig = Rig::new(10, true);
    rig.handle(GatherEvent::Wake, 60);
    assert_eq!(rig.open.len(), 2);
    // The loss of an attempt that was given up as silent is evidence too.
    assert!(rig.lose(70));
}
