//! Rules of a request of which holders send the attempts for some services.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use base::Upstream;
use limit::GateKey;
use limit::Limits;
use limit::RepeatPool;
use limit::RepeatRule;
use limit::Tuning;
use query::AttemptKind;
use query::Failure;
use query::Gather;
use query::GatherAction;
use query::GatherEnv;
use query::GatherEvent;
use query::GatherOutcome;
use query::GatherPlan;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Time of the attempts that an expected outcome needs.
const REPLY_TIME: Duration = Duration::from_millis(30);

/// A node with one request to four services, of which a holder sends to the last three.
struct Rig {
    limits: Limits,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
    gather: Gather,
    now: Instant,
    /// Attempts that this node sent, with their kind and service.
    sent: Vec<(AttemptId, AttemptKind, usize)>,
    outcome: Option<GatherOutcome>,
}

impl Rig {
    fn new(delegated: &[usize], required: usize, max_runs: u32) -> Rig {
        let mut limits = Limits::new("near".into(), "here".into(), Tuning::default());
        let names: Vec<ServiceName> = (0..4).map(|at| format!("s{at}").into()).collect();
        let mut replicas = HashMap::new();
        for name in &names {
            let keys = (0..2).map(|at| {
                let upstream = Upstream {
                    id: format!("{name}-{at}").into(),
                    addr: "127.0.0.1:9001".parse().unwrap(),
                    zone: "near".into(),
                    region: "here".into(),
                    slots: 4,
                    connections: 90,
                };
                limits.set_upstream(&upstream, Some(10))
            });
            replicas.insert(name.clone(), keys.collect());
        }
        let now = Instant::now();
        let plan = GatherPlan {
            services: names.into(),
            required,
            repeatable: true,
            careful: false,
            delegated: delegated.to_vec(),
            used: Vec::new(),
            pool: RepeatPool::Holder,
            max_runs,
            objective: now + Duration::from_millis(250),
            deadline: now + Duration::from_millis(2_500),
            typical_latency: Duration::from_millis(28),
            hedge_delay: Duration::from_millis(56),
        };
        let mut rig = Rig {
            limits,
            replicas,
            next_attempt: 0,
            rng: Pcg64Mcg::new(3),
            gather: Gather::new(plan),
            now,
            sent: Vec::new(),
            outcome: None,
        };
        rig.handle(GatherEvent::Start);
        rig
    }

    fn handle(&mut self, event: GatherEvent) {
        let mut env = GatherEnv {
            replicas: &self.replicas,
            limits: &mut self.limits,
            next_attempt: &mut self.next_attempt,
            settling: false,
            rng: &mut self.rng,
        };
        for action in self.gather.handle(event, self.now, &mut env) {
            match action {
                GatherAction::Send {
                    id, kind, service, ..
                } => self.sent.push((id, kind, service)),
                GatherAction::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    fn deliver(&mut self, service: usize) {
        self.next_attempt += 1;
        self.handle(GatherEvent::Delivered(service, self.next_attempt));
    }

    /// Replies to all attempts of this node.
    fn reply_to_all(&mut self) {
        self.now += REPLY_TIME;
        for (id, ..) in std::mem::take(&mut self.sent) {
            self.handle(GatherEvent::Replied(id));
        }
    }

    fn lose_holder(&mut self, services: &[usize], may_have_run: bool) {
        self.handle(GatherEvent::HolderLost {
            services: services.to_vec(),
            may_have_run,
        });
    }

    fn missing(&self) -> Option<usize> {
        match &self.outcome {
            Some(GatherOutcome::Answered { missing, .. }) => Some(*missing),
            _ => None,
        }
    }
}

/// Guards against a second attempt for a service that a holder sends to, which would count as a repeat.
#[test]
fn delegated_services_are_not_sent_from_here() {
    let mut rig = Rig::new(&[1, 2, 3], 4, 2);
    let services: Vec<usize> = rig.sent.iter().map(|(_, _, service)| *service).collect();
    assert_eq!(services, [0]);
    rig.reply_to_all();
    for service in 1..4 {
        assert_eq!(rig.outcome, None);
        rig.deliver(service);
    }
    assert_eq!(rig.missing(), Some(0));
}

/// Guards against an answer with a part twice, if a holder delivers one for a service that is answered or not its own.
#[rstest]
#[case::own_service(0)]
#[case::answered(1)]
#[case::out_of_range(9)]
fn unexpected_part_is_ignored(#[case] service: usize) {
    let mut rig = Rig::new(&[1, 2, 3], 4, 2);
    rig.deliver(1);
    rig.deliver(service);
    assert_eq!(rig.gather.unanswered_services().len(), 3);
    assert_eq!(rig.outcome, None);
}

/// Guards against a request that waits for a holder that never got it, and against repeat tokens spent on first
/// attempts.
#[test]
fn services_of_an_unreachable_holder_are_sent_from_here() {
    let mut rig = Rig::new(&[1, 2, 3], 4, 2);
    let rule = RepeatRule {
        ratio: 0.0,
        slack: 0.0,
        nodes: 1,
    };
    rig.limits.set_repeat_rule(RepeatPool::Fallback, rule);
    rig.lose_holder(&[1, 2, 3], false);
    let primaries = rig
        .sent
        .iter()
        .filter(|(_, kind, _)| *kind == AttemptKind::Primary);
    assert_eq!(primaries.count(), 4);
    rig.reply_to_all();
    assert_eq!(rig.missing(), Some(0));
}

/// Guards against more runs than the route allows: the holder may have sent several attempts before it was lost.
#[rstest]
#[case::one_run(1, 0)]
#[case::two_runs(2, 1)]
#[case::three_runs(3, 1)]
fn lost_holder_leaves_one_run(#[case] max_runs: u32, #[case] expected: usize) {
    let mut rig = Rig::new(&[1], 4, max_runs);
    rig.lose_holder(&[1], true);
    for _ in 0..10 {
        let own: Vec<AttemptId> = rig
            .sent
            .iter()
            .filter(|sent| sent.2 == 1)
            .map(|sent| sent.0)
            .collect();
        own.into_iter()
            .for_each(|id| rig.handle(GatherEvent::Failed(id, Failure::Lost)));
        rig.now = rig.gather.next_wake().unwrap_or(rig.now);
        rig.handle(GatherEvent::Wake);
    }
    let retries: Vec<AttemptKind> = rig
        .sent
        .iter()
        .filter(|sent| sent.2 == 1)
        .map(|sent| sent.1)
        .collect();
    assert_eq!(retries, vec![AttemptKind::Retry; expected]);
}

/// Guards against a lost holder whose services are sent again by every gateway of the zone without a limit.
#[test]
fn repeat_for_a_lost_holder_needs_a_token() {
    let mut rig = Rig::new(&[1, 2, 3], 2, 2);
    let rule = RepeatRule {
        ratio: 0.0,
        slack: 0.0,
        nodes: 1,
    };
    rig.limits.set_repeat_rule(RepeatPool::Fallback, rule);
    while rig
        .limits
        .spend_repeat(RepeatPool::Fallback, &"s1".into(), 0.0, &mut rig.rng)
    {}
    rig.lose_holder(&[1], true);
    assert!(rig.sent.iter().all(|(_, _, service)| *service == 0));
}

/// Guards against a request that waits for services which a holder gave up, and against a partial answer that hides
/// them.
#[test]
fn given_up_services_are_missing() {
    let mut rig = Rig::new(&[1, 2, 3], 3, 2);
    rig.reply_to_all();
    rig.deliver(1);
    rig.deliver(2);
    assert_eq!(rig.outcome, None);
    rig.handle(GatherEvent::GivenUp(3, 2));
    assert_eq!(rig.missing(), Some(1));
}

/// Guards against a refusal that says that the request did not run although a holder sent it, and against an error that
/// hides that it did not.
#[rstest]
#[case::ran(1, GatherOutcome::Failed)]
#[case::not_run(0, GatherOutcome::NotRun)]
fn refusal_tells_whether_a_holder_ran_it(#[case] runs: u32, #[case] expected: GatherOutcome) {
    let mut rig = Rig::new(&[0, 1, 2, 3], 1, 2);
    for service in 1..4 {
        rig.handle(GatherEvent::GivenUp(service, 0));
    }
    rig.handle(GatherEvent::GivenUp(0, runs));
    assert_eq!(rig.outcome, Some(expected));
}
