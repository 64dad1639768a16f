//! Requests that end while their attempts are on the way to servers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use base::Upstream;
use gateway::SendGate;
use limit::GateKey;
use limit::Limits;
use limit::RepeatPool;
use limit::Tuning;
use proptest::prelude::*;
use query::Failure;
use query::Gather;
use query::GatherAction;
use query::GatherEnv;
use query::GatherEvent;
use query::GatherOutcome;
use query::GatherPlan;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Most steps of a random request.
const MAX_STEPS: usize = 40;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// One request, whose attempts wait at their gates until they send.
struct Rig {
    limits: Limits,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    next_attempt: AttemptId,
    rng: Pcg64Mcg,
    gather: Gather,
    now: Instant,
    gates: Vec<(AttemptId, SendGate)>,
    /// Attempts that have sent the request and whose outcome is not known to be that it did not run.
    sent: Vec<AttemptId>,
    outcome: Option<GatherOutcome>,
}

impl Rig {
    fn start(services: usize, repeatable: bool) -> Rig {
        let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
        let mut replicas = HashMap::new();
        let names: Vec<ServiceName> = (0..services).map(|at| format!("s{at}").into()).collect();
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
        let now = Instant::now();
        let plan = GatherPlan {
            services: names.into(),
            required: services.div_ceil(2),
            repeatable,
            careful: false,
            delegated: Vec::new(),
            used: Vec::new(),
            pool: RepeatPool::Shared,
            max_runs: 3,
            objective: now + ms(250),
            deadline: now + ms(2_500),
            typical_latency: ms(28),
            hedge_delay: ms(56),
        };
        let mut rig = Rig {
            limits,
            replicas,
            next_attempt: 0,
            rng: Pcg64Mcg::new(3),
            gather: Gather::new(plan),
            now,
            gates: Vec::new(),
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
                GatherAction::Send { id, .. } => self.gates.push((id, SendGate::default())),
                GatherAction::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    /// Lets the attempt at an index send, unless it is withdrawn.
    fn send(&mut self, at: usize) {
        let (id, gate) = &self.gates[at];
        if gate.open() {
            self.sent.push(*id);
        }
    }

    fn reply(&mut self, at: usize) {
        let (id, _) = self.gates.remove(at);
        self.handle(GatherEvent::Replied(id));
    }

    fn fail(&mut self, at: usize) {
        let (id, gate) = self.gates.remove(at);
        let failure = match gate.has_sent() {
            true => Failure::Broken,
            false => Failure::Refused,
        };
        self.handle(GatherEvent::Failed(id, failure));
    }

    fn withdraw(&self) -> Vec<AttemptId> {
        let gates = self.gates.iter();
        let withdrawn = gates.filter(|(_, gate)| gate.withdraw());
        withdrawn.map(|(id, _)| *id).collect()
    }

    /// Ends the request like a process that is about to end.
    fn stop(&mut self) {
        let withdrawn = self.withdraw();
        self.handle(GatherEvent::Stopped(withdrawn));
    }
}

macro_rules! outcome_of_a_stop_is_true {
    ($($name:ident: $services:literal, $sent:expr, $replied:expr => $outcome:pat,)+) => {
        /// Guards against a stop that reports a request as not run after an attempt was sent, or as run although none
        /// was, and against one that drops the parts which are in.
        #[rstest]
        $(#[case::$name($services, &$sent, $replied, |outcome: &GatherOutcome| matches!(outcome, $outcome))])+
        fn outcome_of_a_stop_is_true(
            #[case] services: usize,
            #[case] sent: &[usize],
            #[case] replied: usize,
            #[case] is_expected: impl Fn(&GatherOutcome) -> bool,
        ) {
            let mut rig = Rig::start(services, false);
            sent.iter().for_each(|at| rig.send(*at));
            for _ in 0..replied {
                rig.reply(0);
            }
            rig.stop();
            let outcome = rig.outcome.clone().expect("the request has not ended");
            assert!(is_expected(&outcome), "{outcome:?}");
            let opened = rig.gates.iter().filter(|(_, gate)| !gate.has_sent() && gate.open());
            assert_eq!(opened.count(), 0);
        }
    };
}

outcome_of_a_stop_is_true! {
    opening: 1, [], 0 => GatherOutcome::NotRun,
    sent: 1, [0], 0 => GatherOutcome::Failed,
    one_of_many_sent: 4, [2], 0 => GatherOutcome::Failed,
    too_few_parts: 4, [0, 1], 1 => GatherOutcome::Failed,
    enough_parts: 4, [0, 1], 2 => GatherOutcome::Answered { missing: 2, .. },
}

/// Guards against a holder, or a gateway that hands a request on, which counts an attempt as not run that still sends.
#[test]
fn withdrawn_attempts_are_not_counted_and_never_sent() {
    let mut rig = Rig::start(4, true);
    rig.send(1);
    rig.fail(2);
    let withdrawn = rig.withdraw();
    let runs = rig.gather.count_runs(|id| withdrawn.contains(id));
    assert_eq!(runs, [0, 1, 0, 0]);
    (0..rig.gates.len()).for_each(|at| rig.send(at));
    let first = rig.sent[0];
    assert!(rig.sent.iter().all(|id| *id == first));
}

#[derive(Debug, Clone)]
enum Step {
    Send(prop::sample::Index),
    Reply(prop::sample::Index),
    Fail(prop::sample::Index),
    Wait(u64),
    Stop,
}

fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => index().prop_map(Step::Send),
        2 => index().prop_map(Step::Reply),
        3 => index().prop_map(Step::Fail),
        3 => (1_u64..300).prop_map(Step::Wait),
        1 => Just(Step::Stop),
    ]
}

proptest! {
    /// Guards against a request that is reported as not run while an attempt has sent it or still can.
    #[test]
    fn request_reported_as_not_run_never_runs(
        services in 1_usize..4,
        repeatable: bool,
        steps in prop::collection::vec(any_step(), 1..MAX_STEPS),
    ) {
        let mut rig = Rig::start(services, repeatable);
        for step in steps {
            let count = rig.gates.len();
            match step {
                Step::Send(at) if count > 0 => rig.send(at.index(count)),
                Step::Reply(at) if count > 0 && rig.gates[at.index(count)].1.has_sent() => rig.reply(at.index(count)),
                Step::Fail(at) if count > 0 => rig.fail(at.index(count)),
                Step::Wait(time) => {
                    rig.now += ms(time);
                    rig.handle(GatherEvent::Wake);
                }
                Step::Stop => rig.stop(),
                Step::Send(_) | Step::Reply(_) | Step::Fail(_) => {}
            }
            if rig.outcome == Some(GatherOutcome::NotRun) {
                (0..rig.gates.len()).for_each(|at| rig.send(at));
                prop_assert!(rig.sent.is_empty());
                break;
            }
        }
    }
}
