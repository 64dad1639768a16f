//! Rules of one forwarded request: what is sent, repeated and counted, and when the answer leaves.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use base::Upstream;
use limit::AttemptOutcome;
use limit::GateKey;
use limit::Limits;
use limit::Permit;
use limit::RepeatRule;
use limit::Tuning;
use proptest::prelude::*;
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

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A node with some services of three servers each, one of them near, and one request.
struct Rig {
    limits: Limits,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
    gather: Gather,
    start: Instant,
    sent: Vec<(AttemptId, AttemptKind, usize, Permit)>,
    verdict: Option<GatherOutcome>,
}

impl Rig {
    fn new(services: usize, required: usize, repeatable: bool) -> Rig {
        let mut limits = Limits::new("near".into(), "here".into(), Tuning::default());
        let mut replicas = HashMap::new();
        let names: Vec<ServiceName> = (0..services).map(|at| format!("s{at}").into()).collect();
        for name in &names {
            let keys = ["near", "far", "far"].iter().enumerate().map(|(at, zone)| {
                let upstream = Upstream {
                    id: format!("{name}-{at}").into(),
                    addr: "127.0.0.1:9001".parse().unwrap(),
                    zone: (*zone).into(),
                    region: if *zone == "near" { "here" } else { "there" }.into(),
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
            required,
            repeatable,
            max_runs: 2,
            objective: start + ms(250),
            deadline: start + ms(2_500),
            typical_latency: ms(28),
            hedge_delay: ms(56),
        };
        Rig {
            limits,
            replicas,
            next_attempt: 0,
            rng: Pcg64Mcg::new(3),
            gather: Gather::new(plan),
            start,
            sent: Vec::new(),
            verdict: None,
        }
    }

    fn handle(&mut self, input: GatherEvent, at: u64) {
        let mut env = GatherEnv {
            replicas: &self.replicas,
            limits: &mut self.limits,
            next_attempt: &mut self.next_attempt,
            rng: &mut self.rng,
        };
        for output in self.gather.handle(input, self.start + ms(at), &mut env) {
            match output {
                GatherAction::Send {
                    id,
                    kind,
                    service,
                    permit,
                } => self.sent.push((id, kind, service, permit)),
                GatherAction::Finish(verdict) => {
                    assert!(self.verdict.is_none(), "a request ends once");
                    self.verdict = Some(verdict);
                }
            }
        }
    }

    fn start(&mut self) {
        self.handle(GatherEvent::Start, 0);
    }

    /// Ends the attempt that was sent first and is still under way for a service.
    fn end(&mut self, service: usize, failure: Option<Failure>, at: u64) {
        let found = self.sent.iter().position(|(_, _, to, _)| *to == service);
        let (id, _, _, permit) = self.sent.remove(found.unwrap());
        let ending = if failure.is_none() {
            AttemptOutcome::Replied
        } else {
            AttemptOutcome::Failed
        };
        self.limits.release(permit, ending, self.start + ms(at));
        match failure {
            None => self.handle(GatherEvent::Replied(id), at),
            Some(failure) => self.handle(GatherEvent::Failed(id, failure), at),
        }
    }

    /// Starts the request and loses its first attempt while no repeat of the first service is left.
    fn lose_without_repeats(&mut self, ratio: f64) {
        self.limits.set_repeat_rule(RepeatRule {
            ratio,
            slack: 0.0,
            nodes: 1,
        });
        while self.limits.spend_repeat(&"s0".into(), 0.0, &mut self.rng) {}
        self.start();
        self.end(0, Some(Failure::Lost), 10);
    }

    fn wake(&mut self) -> u64 {
        let wake = self.gather.next_wake().unwrap();
        let at = (wake - self.start).as_millis() as u64;
        self.handle(GatherEvent::Wake, at);
        at
    }

    fn count(&self, kind: AttemptKind) -> usize {
        self.sent
            .iter()
            .filter(|(_, sent, _, _)| *sent == kind)
            .count()
    }
}

/// Guards against an answer that leaves without a part that is there.
#[test]
fn answer_leaves_when_all_parts_are_in() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    for service in 0..3 {
        assert_eq!(rig.verdict, None);
        rig.end(service, None, 30);
    }
    let Some(GatherOutcome::Answered { parts, missing }) = rig.verdict else {
        panic!("{:?}", rig.verdict);
    };
    assert_eq!((parts.len(), missing), (3, 0));
}

/// Guards against an answer that misses the objective for the sake of the last part.
#[test]
fn partial_answer_leaves_at_the_objective() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    rig.end(0, None, 30);
    rig.end(1, None, 30);
    assert_eq!(rig.verdict, None);
    rig.handle(GatherEvent::Wake, 250);
    assert!(matches!(
        rig.verdict,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against a success with fewer parts than the configuration asks for.
#[test]
fn too_few_parts_wait_for_one_more() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    rig.end(0, None, 30);
    rig.handle(GatherEvent::Wake, 250);
    assert_eq!(rig.verdict, None);
    rig.end(1, None, 400);
    assert!(matches!(
        rig.verdict,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against one paused server making a query late.
#[test]
fn second_server_is_asked_when_the_first_is_late() {
    let mut rig = Rig::new(2, 2, true);
    rig.start();
    rig.end(0, None, 30);
    assert_eq!(rig.wake(), 56);
    assert_eq!(rig.count(AttemptKind::Hedge), 1);
    let keys: Vec<GateKey> = rig
        .sent
        .iter()
        .map(|(_, _, _, permit)| permit.key())
        .collect();
    assert_ne!(keys[0], keys[1]);
    let hedge = rig.sent.len() - 1;
    let (id, ..) = rig.sent[hedge];
    rig.handle(GatherEvent::Replied(id), 110);
    assert!(matches!(
        rig.verdict,
        Some(GatherOutcome::Answered { missing: 0, .. })
    ));
}

/// Guards against a hedge for every request to a far server, which leaves none for late ones.
#[test]
fn far_server_has_the_time_for_its_way() {
    let mut rig = Rig::new(1, 1, true);
    rig.replicas.get_mut("s0").unwrap().remove(0);
    rig.start();
    assert_eq!(rig.wake(), 56 + 24);
    assert_eq!(rig.count(AttemptKind::Hedge), 1);
}

macro_rules! single_request_is_repeated {
    ($($name:ident: $repeatable:literal, $failure:expr => $repeated:literal,)+) => {
        /// Guards against a request that runs twice though it may not, and against one that is given up though it
        /// may be repeated.
        #[rstest]
        $(#[case::$name($repeatable, $failure, $repeated)])+
        fn single_request_is_repeated(
            #[case] repeatable: bool,
            #[case] failure: Failure,
            #[case] repeated: bool,
        ) {
            let mut rig = Rig::new(1, 1, repeatable);
            rig.start();
            rig.end(0, Some(failure), 10);
            assert_eq!(rig.count(AttemptKind::Retry), usize::from(repeated));
            assert_eq!(rig.verdict, (!repeated).then_some(GatherOutcome::Failed));
        }
    };
}

single_request_is_repeated! {
    safe_lost: true, Failure::Lost => true,
    safe_shed: true, Failure::NotRun => true,
    unsafe_lost: false, Failure::Lost => false,
    unsafe_shed: false, Failure::NotRun => true,
    unsafe_refused: false, Failure::Refused => true,
    unsafe_unsent: false, Failure::Unreachable => true,
}

/// Guards against a hedge of a request that may run only once.
#[test]
fn unsafe_request_is_never_hedged() {
    let mut rig = Rig::new(1, 1, false);
    rig.start();
    rig.handle(GatherEvent::Wake, 2_000);
    assert_eq!(rig.sent.len(), 1);
    rig.handle(GatherEvent::Wake, 2_500);
    assert_eq!(rig.verdict, Some(GatherOutcome::TimedOut));
}

/// Guards against a refusal that promises that nothing ran, though something did.
#[test]
fn only_what_never_ran_is_said_not_to_have_run() {
    let mut rig = Rig::new(1, 1, false);
    rig.start();
    for at in 0..200 {
        if rig.sent.is_empty() {
            if rig.verdict.is_some() {
                break;
            }
            rig.wake();
        } else {
            rig.end(0, Some(Failure::NotRun), 10 + at);
        }
    }
    assert_eq!(rig.verdict, Some(GatherOutcome::NotRun));

    let mut rig = Rig::new(2, 2, true);
    rig.start();
    rig.end(0, None, 10);
    for _ in 0..2 {
        rig.end(1, Some(Failure::Lost), 20);
    }
    assert_eq!(rig.verdict, Some(GatherOutcome::Failed));
}

/// Guards against holding a caller to its deadline when it is known that too few services have a server.
#[test]
fn hopeless_request_is_refused_at_once_and_sends_nothing() {
    let mut rig = Rig::new(3, 3, true);
    rig.replicas.remove("s1");
    rig.start();
    assert!(rig.sent.is_empty());
    assert_eq!(rig.verdict, Some(GatherOutcome::NotRun));
}

/// Guards against a service without servers keeping the others from being asked.
#[test]
fn missing_service_is_left_out() {
    let mut rig = Rig::new(3, 2, true);
    rig.replicas.remove("s1");
    rig.start();
    rig.end(0, None, 30);
    rig.end(2, None, 30);
    assert!(matches!(
        rig.verdict,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against more servers per service than the configuration allows.
#[test]
fn no_more_servers_run_it_than_allowed() {
    let mut rig = Rig::new(1, 1, true);
    rig.start();
    rig.end(0, Some(Failure::Lost), 10);
    rig.end(0, Some(Failure::Lost), 20);
    assert!(rig.sent.is_empty());
    assert_eq!(rig.verdict, Some(GatherOutcome::Failed));
}

/// Guards against repeats beyond the bound that all nodes share.
#[test]
fn without_tokens_nothing_is_repeated() {
    let mut rig = Rig::new(1, 1, true);
    rig.lose_without_repeats(0.0);
    while rig.verdict.is_none() {
        rig.wake();
        assert!(rig.sent.is_empty());
    }
    assert_eq!(rig.verdict, Some(GatherOutcome::Failed));
}

/// Guards against giving a request up at a moment without a repeat, though repeats are earned all the time.
#[test]
fn repeat_is_sent_when_it_is_earned() {
    let mut rig = Rig::new(1, 1, true);
    rig.lose_without_repeats(0.5);
    assert_eq!((rig.sent.len(), &rig.verdict), (0, &None));
    rig.limits.earn_repeat(&"s0".into());
    rig.limits.earn_repeat(&"s0".into());
    rig.wake();
    assert_eq!(rig.count(AttemptKind::Retry), 1);
}

fn any_failure() -> impl Strategy<Value = Option<Failure>> {
    prop_oneof![
        Just(None),
        Just(Some(Failure::Lost)),
        Just(Some(Failure::NotRun)),
        Just(Some(Failure::Refused)),
    ]
}

proptest! {
    /// Guards, over random endings, against a request that never ends, runs too often, or succeeds with too few parts.
    #[test]
    fn every_request_ends_within_its_bounds(
        services in 1..12_usize,
        repeatable: bool,
        endings in prop::collection::vec((any_failure(), any::<prop::sample::Index>(), 1..80_u64), 0..60),
    ) {
        let required = services.div_ceil(2);
        let mut rig = Rig::new(services, required, repeatable);
        let mut runs = vec![0_u32; services];
        let mut now = 0;
        rig.start();
        for (failure, which, pause) in endings {
            now += pause;
            if now >= 2_500 || rig.verdict.is_some() {
                break;
            }
            rig.handle(GatherEvent::Wake, now);
            if !rig.sent.is_empty() && rig.verdict.is_none() {
                let service = rig.sent[which.index(rig.sent.len())].2;
                let ran = !failure.as_ref().is_some_and(Failure::proves_not_run);
                runs[service] += u32::from(ran);
                rig.end(service, failure, now);
            }
        }
        rig.handle(GatherEvent::Wake, 2_500);
        prop_assert!(rig.verdict.is_some());
        for (service, runs) in runs.iter().enumerate() {
            let open = rig.sent.iter().filter(|(_, _, to, _)| *to == service).count() as u32;
            let allowed = if repeatable { 2 } else { 1 };
            prop_assert!(runs + open <= allowed);
        }
        if let Some(GatherOutcome::Answered { parts, missing }) = &rig.verdict {
            prop_assert!(parts.len() >= required);
            prop_assert_eq!(parts.len() + missing, services);
        }
        if rig.verdict == Some(GatherOutcome::NotRun) {
            prop_assert!(runs.iter().all(|runs| *runs == 0) && rig.sent.is_empty());
        }
    }
}
