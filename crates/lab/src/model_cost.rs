//! What claims cost in platform writes, measured in virtual time with the homes of the running code.
//!
//! Fifteen homes share the 64 ledgers and a budget of 100 writes a second. Each claim is settled after its run, so it
//! needs two changes of its ledger; requests that arrive while a write is under way, or while the budget is used up,
//! share the next one.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use base::Code;
use once::ClaimKey;
use once::ClaimResult;
use once::ClaimSpec;
use once::ClockReading;
use once::Home;
use once::HomeAction;
use once::HomeEvent;
use once::HomeOptions;
use once::LEDGER_COUNT;
use once::Ledger;
use once::LedgerId;
use once::Operation;
use once::ReadResult;
use once::Request;
use once::Settlement;
use once::WriteResult;

use crate::event_queue::EventQueue;

/// Homes that share the ledgers, as with 15 VMs.
const HOMES: usize = 15;

/// Time that the platform takes for a call.
const CALL_US: u64 = 5_000;

/// Time from the grant of a claim to its settlement.
const RUN_US: u64 = 30_000;

/// Time at the start that is not counted, in which the homes use up their bursts.
const WARM_UP_US: u64 = 5_000_000;

/// Length of the result that is kept with a claim, in bytes.
const RESULT_BYTES: usize = 100;

/// The cost of claims at one rate.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimCost {
    /// Claims asked for in a second.
    pub offered: u64,
    /// Claims granted in a second.
    pub granted: f64,
    /// Platform writes in a second, for claims and settlements.
    pub writes: f64,
    /// Median time to a grant, in milliseconds.
    pub median_ms: f64,
    /// The 99th percentile of the time to a grant, in milliseconds.
    pub p99_ms: f64,
}

impl fmt::Display for ClaimCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "claims: {:6} offered/s, {:8.1} granted/s, {:5.1} writes/s, {:6.3} writes per claim, \
             {:6.1} claims per write, grant after {:5.0} ms (p50), {:5.0} ms (p99)",
            self.offered,
            self.granted,
            self.writes,
            self.writes / self.granted,
            self.granted / self.writes,
            self.median_ms,
            self.p99_ms
        )
    }
}

/// Counts the claims that fit in all ledgers, with keys of 36 bytes and results of 100 bytes.
///
/// Divided by the time for which claims are kept, this bounds the rate of claims like the write budget does.
pub fn count_max_claims() -> u64 {
    let mut ledger = Ledger::default();
    let full = (0..).find(|n| {
        let spec = make_spec(*n);
        let refused = ledger.claim(&spec, 0).result == ClaimResult::Full;
        ledger.settle(&spec.key, spec.attempt, &make_outcome());
        refused
    });
    full.unwrap_or(0) * LEDGER_COUNT
}

/// Runs the homes at a rate of claims for some seconds of virtual time.
pub fn measure_claims(offered: u64, seconds: u64) -> ClaimCost {
    let mut run = Run::new(offered);
    let end_us = WARM_UP_US + seconds * 1_000_000;
    run.schedule(0, Input::Arrive(0));
    while let Some((at_us, input)) = run.agenda.pop() {
        if at_us >= end_us {
            break;
        }
        run.now_us = at_us;
        run.take(input);
    }
    let per_second = |count: u64| count as f64 / seconds as f64;
    ClaimCost {
        offered,
        granted: per_second(run.waits.len()),
        writes: per_second(run.writes),
        median_ms: run.waits.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: run.waits.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}

/// Something that happens at a moment of virtual time.
enum Input {
    /// The claim with this number is asked for.
    Arrive(u64),
    /// The run of the claim with this number is over.
    Settle(u64),
    /// The platform answers a home.
    Answer(usize, HomeEvent),
    Wake(usize),
}

struct Run {
    base: Instant,
    now_us: u64,
    gap_us: f64,
    homes: Vec<Home>,
    objects: BTreeMap<LedgerId, (u64, Ledger)>,
    version: u64,
    /// The earliest wake of each home that is in the queue.
    wakes: [Option<u64>; HOMES],
    /// Inputs by their moment, in microseconds.
    agenda: EventQueue<u64, Input>,
    writes: u64,
    waits: Histogram<u64>,
}

impl Run {
    fn new(offered: u64) -> Run {
        Run {
            base: Instant::now(),
            now_us: 0,
            gap_us: 1_000_000.0 / offered as f64,
            homes: (0..HOMES)
                .map(|_| Home::new(HomeOptions::default()))
                .collect(),
            objects: BTreeMap::new(),
            version: 0,
            wakes: [None; HOMES],
            agenda: EventQueue::new(),
            writes: 0,
            waits: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    fn schedule(&mut self, at_us: u64, input: Input) {
        self.agenda.push(at_us, input);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Arrive(n) => {
                let next_us = ((n + 1) as f64 * self.gap_us) as u64;
                self.schedule(next_us, Input::Arrive(n + 1));
                self.ask(n, Operation::Claim);
            }
            Input::Settle(n) => self.ask(n, Operation::Settle(make_outcome())),
            Input::Answer(home, event) => self.handle(home, event),
            Input::Wake(home) => {
                self.wakes[home] = None;
                self.handle(home, HomeEvent::Wake);
            }
        }
    }

    fn ask(&mut self, n: u64, operation: Operation) {
        let spec = make_spec(n);
        let home = usize::from(spec.key.ledger()) % HOMES;
        let sent_ms = self.now_us / 1_000;
        // The lowest bit of a ticket says whether it is a claim.
        let ticket = n << 1 | u64::from(operation == Operation::Claim);
        let request = Request {
            spec,
            operation,
            sent_ms,
        };
        self.handle(home, HomeEvent::Request(ticket, request));
    }

    fn handle(&mut self, home: usize, event: HomeEvent) {
        let now = ClockReading {
            instant: self.base + Duration::from_micros(self.now_us),
            wall_ms: self.now_us / 1_000,
        };
        for action in self.homes[home].handle(event, now) {
            match action {
                HomeAction::Read(ledger) => {
                    let (version, value) = self.objects.get(&ledger).cloned().unwrap_or_default();
                    let event = HomeEvent::Read(ledger, ReadResult::Found(version, value));
                    self.schedule(self.now_us + CALL_US, Input::Answer(home, event));
                }
                HomeAction::Write(ledger, _, value) => {
                    self.version += 1;
                    self.objects.insert(ledger, (self.version, value));
                    let event = HomeEvent::Written(ledger, WriteResult::Applied(self.version));
                    self.schedule(self.now_us + CALL_US, Input::Answer(home, event));
                    self.writes += u64::from(self.now_us >= WARM_UP_US);
                }
                HomeAction::Reply(ticket, verdict) => self.reply(ticket, &verdict),
                HomeAction::WakeAt(at) => {
                    let at_us = at
                        .saturating_duration_since(self.base)
                        .as_nanos()
                        .div_ceil(1_000);
                    // A home repeats its next moment after each event.
                    if self.wakes[home].is_none_or(|known| (at_us as u64) < known) {
                        self.wakes[home] = Some(at_us as u64);
                        self.schedule(at_us as u64, Input::Wake(home));
                    }
                }
            }
        }
    }

    fn reply(&mut self, ticket: u64, verdict: &ClaimResult) {
        let n = ticket >> 1;
        if ticket & 1 == 1 && matches!(verdict, ClaimResult::Granted { .. }) {
            self.schedule(self.now_us + RUN_US, Input::Settle(n));
            if self.now_us >= WARM_UP_US {
                let arrived_us = (n as f64 * self.gap_us) as u64;
                let wait = self.waits.record(self.now_us - arrived_us);
                wait.expect("the histogram grows with its values");
            }
        }
    }
}

fn make_spec(n: u64) -> ClaimSpec {
    ClaimSpec {
        key: ClaimKey::new("advisers", &format!("{n:036}")).expect("the key is short"),
        attempt: n,
        digest: n,
        window_ms: 1_000,
    }
}

fn make_outcome() -> Settlement {
    Settlement {
        code: Code::Answered,
        result: Some("7".repeat(RESULT_BYTES).into()),
    }
}
