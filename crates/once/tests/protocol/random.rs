//! Callers, homes and the platform in random orders of events, with lost replies, outages, pauses and crashes.

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

use crate::fleet::Fate;
use crate::fleet::Fleet;
use crate::fleet::spec;

/// Time after the first call in which a caller retries; the default retention covers it.
const RETRY_MS: u64 = 60_000;

const CALLERS: usize = 3;

struct Caller {
    claimant: Claimant,
    started: bool,
    ready: bool,
    wake: Option<Instant>,
    answers: Vec<Settlement>,
}

/// One key, its callers, and the messages under way.
struct World {
    fleet: Fleet,
    callers: Vec<Caller>,
    asks: Vec<(usize, u32, Request)>,
    /// Requests on their way to the upstream.
    sends: Vec<usize>,
    /// Runs that the upstream has carried out, by caller.
    runs: Vec<usize>,
    crashes: u32,
    /// Time between the calls.
    gap_ms: u64,
}

impl World {
    fn new(reused: bool, gap_ms: u64) -> World {
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
        World {
            callers: (0..CALLERS).map(caller).collect(),
            fleet,
            asks: Vec::new(),
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
                ClaimantAction::CallHome(ask, request) => self.asks.push((caller, ask, request)),
                ClaimantAction::Prepare => self.callers[caller].ready = true,
                ClaimantAction::Send => self.sends.push(caller),
                ClaimantAction::Finish(end) => self.callers[caller].answers.push(end),
                ClaimantAction::WakeAt(at) => self.callers[caller].wake = Some(at),
            }
        }
    }

    /// Takes the step that a random number selects, if it is possible now.
    fn step(&mut self, choice: u16) {
        let (kind, pick) = (choice % 16, usize::from(choice / 16));
        match kind {
            0 | 1 => self.start_or_send(pick % CALLERS),
            2 | 3 if !self.asks.is_empty() => self.deliver_ask(pick),
            4 | 5 if !self.fleet.reads.is_empty() => {
                self.fleet.serve_read(pick % self.fleet.reads.len());
            }
            6 | 7 if !self.fleet.writes.is_empty() => {
                let fates = [Fate::Replied, Fate::Replied, Fate::ReplyLost, Fate::Delayed];
                let at = pick / 4 % self.fleet.writes.len();
                self.fleet.serve_write(at, fates[pick % 4]);
            }
            8 if !self.fleet.delayed.is_empty() => {
                self.fleet.land();
            }
            9 | 10 if !self.fleet.replies.is_empty() => self.deliver_reply(pick),
            11 if !self.sends.is_empty() => self.run_upstream(pick),
            12 => self.pass([10, 50, 200, 1_000][pick % 4]),
            13 if pick % 4 == 0 => self.pass([40_000, 160_000][pick / 4 % 2]),
            14 if pick % 2 == 0 => self.fleet.up = !self.fleet.up,
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

    fn deliver_ask(&mut self, pick: usize) {
        let (caller, ask, request) = self.asks.remove(pick / 8 % self.asks.len());
        match pick % 8 {
            0 => self.handle(caller, ClaimantEvent::Undelivered(ask)),
            fate => {
                let event = HomeEvent::Request(caller as u64, request);
                self.fleet.handle(fate % 2, event);
                if fate == 1 {
                    self.handle(caller, ClaimantEvent::HomeReplyLost(ask));
                }
            }
        }
    }

    fn deliver_reply(&mut self, pick: usize) {
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

    fn pass(&mut self, ms: u64) {
        self.fleet.pass(ms);
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

    /// Ends all faults and lets everything come to rest.
    fn settle(&mut self) {
        self.fleet.up = true;
        for _ in 0..400 {
            while !self.fleet.delayed.is_empty() {
                self.fleet.land();
            }
            while !self.asks.is_empty() {
                self.deliver_ask(2);
            }
            self.fleet.run(0);
            while !self.fleet.replies.is_empty() {
                self.deliver_reply(1);
            }
            (0..CALLERS).for_each(|caller| self.start_or_send(caller));
            while !self.sends.is_empty() {
                self.run_upstream(2);
            }
            self.pass(100);
        }
    }

    /// Checks the guarantees on what was run and what the callers were told.
    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs.len() <= 1, "runs of callers {:?}", self.runs);
        let mut definite: Option<&Settlement> = None;
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
            let of_key = matches!(
                answer.code,
                Code::Answered | Code::ClaimRevoked | Code::ShedEverywhere
            );
            if !of_key {
                continue;
            }
            prop_assert_eq!(
                refused,
                self.runs.is_empty(),
                "answer {:?}, runs {:?}",
                answer,
                self.runs
            );
            prop_assert_eq!(*definite.get_or_insert(answer), answer);
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

    /// Guards against any order of events in which a key runs twice, a refused request runs, or two callers get
    /// different outcomes; and against a caller that never gets an answer.
    #[test]
    fn any_order_of_events_keeps_the_guarantees(
        choices in prop::collection::vec(any::<u16>(), 20..250),
        reused in any::<bool>(),
        gap_ms in prop::sample::select(vec![0, 300, 3_000]),
    ) {
        let mut world = World::new(reused, gap_ms);
        for choice in choices {
            world.step(choice);
            world.check()?;
        }
        world.settle();
        world.check()?;
        for caller in &world.callers {
            prop_assert_eq!(caller.answers.len(), usize::from(caller.started));
        }
    }
}
