//! Rules of one forwarded request: what is sent, hedged and retried, and when the request ends.

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
use limit::RepeatPool;
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

/// A node with one request to some services, each with a server in the same zone and two in another region.
struct Rig {
    limits: Limits,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    next_attempt: AttemptId,
    settling: bool,
    rng: Pcg64Mcg,
    gather: Gather,
    start: Instant,
    sent: Vec<(AttemptId, AttemptKind, usize, Permit)>,
    outcome: Option<GatherOutcome>,
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
            careful: false,
            delegated: Vec::new(),
            used: Vec::new(),
            pool: RepeatPool::Shared,
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
            settling: false,
            rng: Pcg64Mcg::new(3),
            gather: Gather::new(plan),
            start,
            sent: Vec::new(),
            outcome: None,
        }
    }

    fn handle(&mut self, event: GatherEvent, at: u64) {
        let mut env = GatherEnv {
            replicas: &self.replicas,
            limits: &mut self.limits,
            next_attempt: &mut self.next_attempt,
            settling: self.settling,
            rng: &mut self.rng,
        };
        for action in self.gather.handle(event, self.start + ms(at), &mut env) {
            match action {
                GatherAction::Send {
                    id,
                    kind,
                    service,
                    permit,
                } => self.sent.push((id, kind, service, permit)),
                GatherAction::Finish(outcome) => {
                    assert!(self.outcome.is_none(), "a request ends once");
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    fn start(&mut self) {
        self.handle(GatherEvent::Start, 0);
    }

    /// Ends the oldest outstanding attempt of a service with a reply or a failure.
    fn end_attempt(&mut self, service: usize, failure: Option<Failure>, at: u64) {
        let found = self.sent.iter().position(|(_, _, to, _)| *to == service);
        let (id, _, _, permit) = self.sent.remove(found.unwrap());
        let outcome = if failure.is_none() {
            AttemptOutcome::Replied
        } else {
            AttemptOutcome::Failed
        };
        self.limits.release(permit, outcome, self.start + ms(at));
        match failure {
            None => self.handle(GatherEvent::Replied(id), at),
            Some(failure) => self.handle(GatherEvent::Failed(id, failure), at),
        }
    }

    /// Starts the request and fails its first attempt when the first service has no repeat token left.
    fn fail_without_tokens(&mut self, ratio: f64) {
        self.limits.set_repeat_rule(
            RepeatPool::Shared,
            RepeatRule {
                ratio,
                slack: 0.0,
                nodes: 1,
            },
        );
        while self
            .limits
            .spend_repeat(RepeatPool::Shared, &"s0".into(), 0.0, &mut self.rng)
        {}
        self.start();
        self.end_attempt(0, Some(Failure::Lost), 10);
    }

    /// Wakes the gather at the time that it requested; returns the milliseconds since the start.
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

/// Guards against a partial answer before the objective while another part is still awaited.
#[test]
fn answer_waits_for_all_parts_before_the_objective() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    for service in 0..3 {
        assert_eq!(rig.outcome, None);
        rig.end_attempt(service, None, 30);
    }
    let Some(GatherOutcome::Answered { parts, missing }) = rig.outcome else {
        panic!("{:?}", rig.outcome);
    };
    assert_eq!((parts.len(), missing), (3, 0));
}

/// Guards against missing the objective because the last part is awaited.
#[test]
fn partial_answer_is_given_at_the_objective() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    rig.end_attempt(0, None, 30);
    rig.end_attempt(1, None, 30);
    assert_eq!(rig.outcome, None);
    rig.handle(GatherEvent::Wake, 250);
    assert!(matches!(
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against a success with fewer parts than the configuration requires.
#[test]
fn answer_waits_for_the_required_parts() {
    let mut rig = Rig::new(3, 2, true);
    rig.start();
    rig.end_attempt(0, None, 30);
    rig.handle(GatherEvent::Wake, 250);
    assert_eq!(rig.outcome, None);
    rig.end_attempt(1, None, 400);
    assert!(matches!(
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against one paused server delaying a request.
#[test]
fn hedge_is_sent_when_the_first_server_is_late() {
    let mut rig = Rig::new(2, 2, true);
    rig.start();
    rig.end_attempt(0, None, 30);
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
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 0, .. })
    ));
}

/// Guards against a hedge for every request to a distant server, which leaves no tokens for late replies.
#[test]
fn hedge_delay_includes_the_extra_round_trip() {
    let mut rig = Rig::new(1, 1, true);
    rig.replicas.get_mut("s0").unwrap().remove(0);
    rig.start();
    assert_eq!(rig.wake(), 56 + 24);
    assert_eq!(rig.count(AttemptKind::Hedge), 1);
}

macro_rules! failed_attempt_is_retried_if_safe {
    ($($name:ident: $repeatable:literal, $failure:expr => $retried:literal,)+) => {
        /// Guards against a second run of a request that must run once, and against failing a request that may be
        /// retried.
        #[rstest]
        $(#[case::$name($repeatable, $failure, $retried)])+
        fn failed_attempt_is_retried_if_safe(
            #[case] repeatable: bool,
            #[case] failure: Failure,
            #[case] retried: bool,
        ) {
            let mut rig = Rig::new(1, 1, repeatable);
            rig.start();
            rig.end_attempt(0, Some(failure), 10);
            assert_eq!(rig.count(AttemptKind::Retry), usize::from(retried));
            assert_eq!(rig.outcome, (!retried).then_some(GatherOutcome::Failed));
        }
    };
}

failed_attempt_is_retried_if_safe! {
    safe_lost: true, Failure::Lost => true,
    safe_shed: true, Failure::NotRun => true,
    unsafe_lost: false, Failure::Lost => false,
    unsafe_shed: false, Failure::NotRun => true,
    unsafe_refused: false, Failure::Refused => true,
    unsafe_unsent: false, Failure::Unreachable => true,
}

/// Guards against a hedge of a request that must run only once.
#[test]
fn unsafe_request_is_never_hedged() {
    let mut rig = Rig::new(1, 1, false);
    rig.start();
    rig.handle(GatherEvent::Wake, 2_000);
    assert_eq!(rig.sent.len(), 1);
    rig.handle(GatherEvent::Wake, 2_500);
    assert_eq!(rig.outcome, Some(GatherOutcome::TimedOut));
}

/// Guards against reporting that nothing ran although an attempt may have run.
#[test]
fn not_run_is_reported_only_if_nothing_ran() {
    let mut rig = Rig::new(1, 1, false);
    rig.start();
    for at in 0..200 {
        if rig.sent.is_empty() {
            if rig.outcome.is_some() {
                break;
            }
            rig.wake();
        } else {
            rig.end_attempt(0, Some(Failure::NotRun), 10 + at);
        }
    }
    assert_eq!(rig.outcome, Some(GatherOutcome::NotRun));

    let mut rig = Rig::new(2, 2, true);
    rig.start();
    rig.end_attempt(0, None, 10);
    for _ in 0..2 {
        rig.end_attempt(1, Some(Failure::Lost), 20);
    }
    assert_eq!(rig.outcome, Some(GatherOutcome::Failed));
}

/// Guards against keeping a caller waiting until its deadline when too few services have a server.
#[test]
fn request_without_enough_services_ends_at_once() {
    let mut rig = Rig::new(3, 3, true);
    rig.replicas.remove("s1");
    rig.start();
    assert!(rig.sent.is_empty());
    assert_eq!(rig.outcome, Some(GatherOutcome::NotRun));
}

/// Guards against sending nothing because one service has no servers.
#[test]
fn service_without_servers_is_skipped() {
    let mut rig = Rig::new(3, 2, true);
    rig.replicas.remove("s1");
    rig.start();
    rig.end_attempt(0, None, 30);
    rig.end_attempt(2, None, 30);
    assert!(matches!(
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 1, .. })
    ));
}

/// Guards against running a request on more servers of a service than the configuration allows.
#[test]
fn runs_per_service_are_bounded() {
    let mut rig = Rig::new(1, 1, true);
    rig.start();
    rig.end_attempt(0, Some(Failure::Lost), 10);
    rig.end_attempt(0, Some(Failure::Lost), 20);
    assert!(rig.sent.is_empty());
    assert_eq!(rig.outcome, Some(GatherOutcome::Failed));
}

/// Guards against retries beyond the limit that all nodes share.
#[test]
fn nothing_is_retried_without_tokens() {
    let mut rig = Rig::new(1, 1, true);
    rig.fail_without_tokens(0.0);
    while rig.outcome.is_none() {
        rig.wake();
        assert!(rig.sent.is_empty());
    }
    assert_eq!(rig.outcome, Some(GatherOutcome::Failed));
}

/// Guards against failing a request because no token is left, although tokens are earned all the time.
#[test]
fn retry_is_sent_when_a_token_is_earned() {
    let mut rig = Rig::new(1, 1, true);
    rig.fail_without_tokens(0.5);
    assert_eq!((rig.sent.len(), &rig.outcome), (0, &None));
    rig.limits.earn_repeat(RepeatPool::Shared, &"s0".into());
    rig.limits.earn_repeat(RepeatPool::Shared, &"s0".into());
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
    /// Guards, for random replies and failures, against a request that never ends, runs too often, or succeeds with too
    /// few parts.
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
            if now >= 2_500 || rig.outcome.is_some() {
                break;
            }
            rig.handle(GatherEvent::Wake, now);
            if !rig.sent.is_empty() && rig.outcome.is_none() {
                let service = rig.sent[which.index(rig.sent.len())].2;
                let ran = !failure.as_ref().is_some_and(Failure::proves_not_run);
                runs[service] += u32::from(ran);
                rig.end_attempt(service, failure, now);
            }
        }
        rig.handle(GatherEvent::Wake, 2_500);
        prop_assert!(rig.outcome.is_some());
        for (service, runs) in runs.iter().enumerate() {
            let open = rig.sent.iter().filter(|(_, _, to, _)| *to == service).count() as u32;
            let allowed = if repeatable { 2 } else { 1 };
            prop_assert!(runs + open <= allowed);
        }
        if let Some(GatherOutcome::Answered { parts, missing }) = &rig.outcome {
            prop_assert!(parts.len() >= required);
            prop_assert_eq!(parts.len() + missing, services);
        }
        if rig.outcome == Some(GatherOutcome::NotRun) {
            prop_assert!(runs.iter().all(|runs| *runs == 0) && rig.sent.is_empty());
        }
    }
}

/// Guards against requests that fail right after a start because the servers of some services are not known yet, though
/// they appear well before the deadline (closing power cut of trouble-2 on bv-limpet-large).
#[test]
fn services_without_servers_are_awaited_while_the_list_settles() {
    let mut rig = Rig::new(3, 3, true);
    let keys = rig.replicas.remove("s2").unwrap();
    rig.settling = true;
    rig.start();
    rig.end_attempt(0, None, 30);
    rig.end_attempt(1, None, 30);
    assert_eq!(rig.outcome, None);
    let mut at = 0;
    while at < 900 {
        at = rig.wake();
    }
    assert_eq!(rig.outcome, None);
    rig.replicas.insert("s2".into(), keys);
    at = rig.wake();
    assert_eq!(rig.count(AttemptKind::Primary), 1);
    rig.end_attempt(2, None, at + 30);
    assert!(matches!(
        rig.outcome,
        Some(GatherOutcome::Answered { missing: 0, .. })
    ));
}

/// Guards against requests that wait to their deadline for servers that don't exist, and against a refusal that does not
/// say that the request did not run.
#[rstest]
#[case::settled_before(false)]
#[case::settled_meanwhile(true)]
fn services_without_servers_are_refused_once_the_list_is_settled(#[case] settling: bool) {
    let mut rig = Rig::new(2, 2, true);
    rig.replicas.clear();
    rig.settling = settling;
    rig.start();
    if settling {
        assert_eq!(rig.outcome, None);
        rig.settling = false;
        rig.wake();
    }
    assert_eq!(rig.outcome, Some(GatherOutcome::NotRun));
}
