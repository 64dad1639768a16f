//! Property test of callers, homes and the platform in random event orders, with lost replies, outages, pauses and
//! crashes.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use base::AttemptId;
use base::Code;
use base::Outcome;
use once::ClaimSpec;
use once::Claimant;
use once::ClaimantAction;
use once::ClaimantEvent;
use once::ClaimantOptions;
use once::Home;
use once::HomeEvent;
use once::HomeOptions;
use once::Request;
use once::Settlement;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::spec;

/// Time after the first call within which callers retry; the default retention covers it.
const RETRY_MS: u64 = 60_000;

const CALLERS: usize = 3;

struct Caller {
    claimant: Claimant,
    started: bool,
    ready: bool,
    wake: Option<Instant>,
    answers: Vec<Settlement>,
}

/// One key, its callers, and the messages in flight.
struct Simulation {
    fleet: Fleet,
    callers: Vec<Caller>,
    home_calls: Vec<(usize, u32, Request)>,
    /// Callers whose request to the upstream is in flight.
    sends: Vec<usize>,
    /// Callers whose request the upstream has run, in order.
    runs: Vec<usize>,
    crashes: u32,
    /// Time between the starts of successive calls.
    gap_ms: u64,
}

impl Simulation {
    fn new(reused: bool, gap_ms: u64) -> Simulation {
        let fleet = Fleet::new(2);
        let caller = |n: usize| {
            let digest = if reused && n == CALLERS - 1 { 8 } else { 7 };
            let spec = ClaimSpec {
                digest,
                ..spec("k", n as AttemptId + 1)
            };
            let time = Duration::from_millis(gap_ms * n as u64 + 1_000);
            let deadline = fleet.clock.now().instant + time;
            Caller {
                claimant: Claimant::new(ClaimantOptions { spec, deadline }),
                started: false,
                ready: false,
                wake: None,
                answers: Vec::new(),
            }
        };
        Simulation {
            callers: (0..CALLERS).map(caller).collect(),
            fleet,
            home_calls: Vec::new(),
            sends: Vec::new(),
            runs: Vec::new(),
            crashes: 0,
            gap_ms,
        }
    }

    fn handle(&mut self, caller: usize, event: ClaimantEvent) {
        let now = self.fleet.clock.now();
        self.callers[caller].wake = None;
        for action in self.callers[caller].claimant.handle(event, now) {
            match action {
                ClaimantAction::CallHome(call, request) => {
                    self.home_calls.push((caller, call, request))
                }
                ClaimantAction::Prepare => self.callers[caller].ready = true,
                ClaimantAction::Send => self.sends.push(caller),
                ClaimantAction::Finish(answer) => self.callers[caller].answers.push(answer),
                ClaimantAction::WakeAt(at) => self.callers[caller].wake = Some(at),
            }
        }
    }

    /// Executes the step that a random number selects, if it is possible in the current state.
    fn step(&mut self, choice: u16) {
        let (kind, pick) = (choice % 16, usize::from(choice / 16));
        match kind {
            0 | 1 => self.start_or_send(pick % CALLERS),
            2 | 3 if !self.home_calls.is_empty() => self.deliver_home_call(pick),
            4 | 5 if !self.fleet.reads.is_empty() => {
                self.fleet.serve_read(pick % self.fleet.reads.len());
            }
            6 | 7 if !self.fleet.writes.is_empty() => {
                let deliveries = [
                    Delivery::Replied,
                    Delivery::Replied,
                    Delivery::ReplyLost,
                    Delivery::Delayed,
                ];
                let at = pick / 4 % self.fleet.writes.len();
                self.fleet.serve_write(at, deliveries[pick % 4]);
            }
            8 if !self.fleet.delayed.is_empty() => {
                self.fleet.apply_delayed();
            }
            9 | 10 if !self.fleet.replies.is_empty() => self.deliver_home_reply(pick),
            11 if !self.sends.is_empty() => self.run_upstream(pick),
            12 => self.advance_clock([10, 50, 200, 1_000][pick % 4]),
            13 if pick % 4 == 0 => self.advance_clock([40_000, 160_000][pick / 4 % 2]),
            14 if pick % 2 == 0 => self.fleet.platform_up = !self.fleet.platform_up,
            15 if pick % 4 == 0 && self.crashes < 2 => self.crash_home(pick / 4 % 2),
            _ => {}
        }
    }

    fn start_or_send(&mut self, caller: usize) {
        if self.callers[caller].ready {
            self.handle(caller, ClaimantEvent::Sending);
        } else if !self.callers[caller].started
            && (self.gap_ms * caller as u64..RETRY_MS).contains(&self.fleet.clock.elapsed_ms)
        {
            self.callers[caller].started = true;
            self.handle(caller, ClaimantEvent::Start);
        }
    }

    fn deliver_home_call(&mut self, pick: usize) {
        let (caller, call, request) = self.home_calls.remove(pick / 8 % self.home_calls.len());
        match pick % 8 {
            0 => self.handle(caller, ClaimantEvent::Undelivered(call)),
            fate => {
                let event = HomeEvent::Request(caller as u64, request);
                self.fleet.handle(fate % 2, event);
                if fate == 1 {
                    self.handle(caller, ClaimantEvent::HomeReplyLost(call));
                }
            }
        }
    }

    fn deliver_home_reply(&mut self, pick: usize) {
        let at = pick / 8 % self.fleet.replies.len();
        let (caller, result) = self.fleet.replies.remove(at);
        if !pick.is_multiple_of(8) {
            self.handle(caller as usize, ClaimantEvent::HomeReplied(result));
        }
    }

    fn run_upstream(&mut self, pick: usize) {
        let caller = self.sends.remove(pick / 4 % self.sends.len());
        if pick.is_multiple_of(4) {
            self.handle(caller, ClaimantEvent::NotRun(Code::ShedEverywhere));
            return;
        }
        self.runs.push(caller);
        match pick % 4 {
            1 => self.handle(caller, ClaimantEvent::ReplyLost),
            _ => self.handle(caller, ClaimantEvent::Replied(format!("{caller}").into())),
        }
    }

    fn advance_clock(&mut self, ms: u64) {
        self.fleet.advance_clock(ms);
        let now = self.fleet.clock.now().instant;
        for caller in 0..CALLERS {
            if self.callers[caller].wake.is_some_and(|at| at <= now) {
                self.handle(caller, ClaimantEvent::Wake);
            }
        }
    }

    fn crash_home(&mut self, home: usize) {
        self.crashes += 1;
        self.fleet.homes[home] = Home::new(HomeOptions::default());
        self.fleet.wakes[home] = None;
        self.fleet.reads.retain(|read| read.0 != home);
        let writes = std::mem::take(&mut self.fleet.writes);
        let (lost, kept): (Vec<_>, Vec<_>) = writes.into_iter().partition(|w| w.home == home);
        self.fleet.writes = kept;
        self.fleet.delayed.extend(lost);
    }

    /// Ends all faults and runs until nothing is left to do.
    fn run_to_completion(&mut self) {
        self.fleet.platform_up = true;
        for _ in 0..400 {
            while !self.fleet.delayed.is_empty() {
                self.fleet.apply_delayed();
            }
            while !self.home_calls.is_empty() {
                self.deliver_home_call(2);
            }
            self.fleet.run(0);
            while !self.fleet.replies.is_empty() {
                self.deliver_home_reply(1);
            }
            (0..CALLERS).for_each(|caller| self.start_or_send(caller));
            while !self.sends.is_empty() {
                self.run_upstream(2);
            }
            self.advance_clock(100);
        }
    }

    /// Checks the guarantees for the requests that were run and the answers that callers got.
    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs.len() <= 1, "runs of callers {:?}", self.runs);
        let mut key_outcome: Option<&Settlement> = None;
        for (caller, state) in self.callers.iter().enumerate() {
            prop_assert!(state.answers.len() <= 1);
            let Some(answer) = state.answers.first() else {
                continue;
            };
            let refused = answer.code.outcome() == Some(Outcome::Refused);
            prop_assert!(
                !(refused && self.runs.contains(&caller)),
                "caller {caller} was refused and ran"
            );
            if matches!(answer.code, Code::ClaimUnavailable | Code::Overloaded) {
                let ledger = self.fleet.value(spec("k", 1).key.ledger());
                let holder = ledger.lookup(&spec("k", 1).key).map(|claim| claim.attempt);
                prop_assert_ne!(holder, Some(caller as AttemptId + 1), "a claim is left");
            }
            let is_key_outcome = matches!(
                answer.code,
                Code::Answered | Code::ClaimRevoked | Code::ShedEverywhere
            );
            if !is_key_outcome {
                continue;
            }
            prop_assert_eq!(
                refused,
                self.runs.is_empty(),
                "answer {:?}, runs {:?}",
                answer,
                self.runs
            );
            prop_assert_eq!(*key_outcome.get_or_insert(answer), answer);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Guards against event orders in which a key runs twice, a refused request runs, two callers get different
    /// outcomes, or a caller never gets an answer.
    #[test]
    fn any_order_of_events_keeps_the_guarantees(
        choices in prop::collection::vec(any::<u16>(), 20..250),
        reused in any::<bool>(),
        gap_ms in prop::sample::select(vec![0, 300, 3_000]),
    ) {
        let mut simulation = Simulation::new(reused, gap_ms);
        for choice in choices {
            simulation.step(choice);
            simulation.check()?;
        }
        simulation.run_to_completion();
        simulation.check()?;
        for caller in &simulation.callers {
            prop_assert_eq!(caller.answers.len(), usize::from(caller.started));
        }
    }
}
