//! Platform writes per claim, measured in virtual time with the homes of the production code.
//!
//! Fifteen homes share the 64 ledgers and a budget of 100 writes per second. Each claim is settled after its request
//! has run, so it changes its ledger twice. Requests that arrive while a write is in progress, or while the budget is
//! used up, share the next write.

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

/// Homes that share the ledgers, as in a fleet of 15 VMs.
const HOME_COUNT: usize = 15;

/// Duration of a platform call.
const CALL_US: u64 = 5_000;

/// Time from the grant of a claim to its settlement.
const RUN_US: u64 = 30_000;

/// Start of the run that is not counted, in which the homes use up their bursts.
const WARM_UP_US: u64 = 5_000_000;

/// Size of the result that is stored with a claim.
const RESULT_BYTES: usize = 100;

/// The cost of claims at one rate.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimCost {
    /// Claims requested per second.
    pub offered: u64,
    /// Claims granted per second.
    pub granted: f64,
    /// Platform writes per second, for claims and settlements.
    pub writes: f64,
    /// Median time from request to grant, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time from request to grant, in milliseconds.
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

/// Returns how many claims fit in all ledgers, with keys of 36 bytes and results of 100 bytes.
///
/// This number divided by the retention of claims is an upper limit of the claim rate, as the write budget is.
pub fn count_max_claims() -> u64 {
    let mut ledger = Ledger::default();
    let first_refused = (0..).find(|n| {
        let spec = make_spec(*n);
        let is_full = ledger.claim(&spec, 0).result == ClaimResult::Full;
        ledger.settle(&spec.key, spec.attempt, &make_settlement());
        is_full
    });
    first_refused.unwrap_or(0) * LEDGER_COUNT
}

/// Simulates the homes at a given rate of claims for some seconds of virtual time, after a warm-up.
pub fn measure_claims(offered: u64, seconds: u64) -> ClaimCost {
    let mut simulation = Simulation::new(offered);
    let end_us = WARM_UP_US + seconds * 1_000_000;
    simulation.schedule(0, Event::Arrive(0));
    while let Some((at_us, event)) = simulation.queue.pop() {
        if at_us >= end_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.process_event(event);
    }
    let per_second = |count: u64| count as f64 / seconds as f64;
    ClaimCost {
        offered,
        granted: per_second(simulation.grant_times.len()),
        writes: per_second(simulation.writes),
        median_ms: simulation.grant_times.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_ms: simulation.grant_times.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}

/// An event at a point of virtual time.
enum Event {
    /// The claim with this number is requested.
    Arrive(u64),
    /// The request of the claim with this number has run.
    Settle(u64),
    /// The platform replies to a home.
    PlatformReply(usize, HomeEvent),
    Wake(usize),
}

struct Simulation {
    base: Instant,
    now_us: u64,
    gap_us: f64,
    homes: Vec<Home>,
    objects: BTreeMap<LedgerId, (u64, Ledger)>,
    version: u64,
    /// The earliest wake-up in the queue for each home.
    wakes: [Option<u64>; HOME_COUNT],
    /// Events by their virtual time in microseconds.
    queue: EventQueue<u64, Event>,
    writes: u64,
    grant_times: Histogram<u64>,
}

impl Simulation {
    fn new(offered: u64) -> Simulation {
        Simulation {
            base: Instant::now(),
            now_us: 0,
            gap_us: 1_000_000.0 / offered as f64,
            homes: (0..HOME_COUNT)
                .map(|_| Home::new(HomeOptions::default()))
                .collect(),
            objects: BTreeMap::new(),
            version: 0,
            wakes: [None; HOME_COUNT],
            queue: EventQueue::new(),
            writes: 0,
            grant_times: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.queue.push(at_us, event);
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Arrive(n) => {
                let next_us = ((n + 1) as f64 * self.gap_us) as u64;
                self.schedule(next_us, Event::Arrive(n + 1));
                self.send_request(n, Operation::Claim);
            }
            Event::Settle(n) => self.send_request(n, Operation::Settle(make_settlement())),
            Event::PlatformReply(home, event) => self.drive_home(home, event),
            Event::Wake(home) => {
                self.wakes[home] = None;
                self.drive_home(home, HomeEvent::Wake);
            }
        }
    }

    fn send_request(&mut self, n: u64, operation: Operation) {
        let spec = make_spec(n);
        let home = usize::from(spec.key.ledger()) % HOME_COUNT;
        let sent_ms = self.now_us / 1_000;
        // The lowest bit of the ticket is set for a claim.
        let ticket = n << 1 | u64::from(operation == Operation::Claim);
        let request = Request {
            spec,
            operation,
            sent_ms,
        };
        self.drive_home(home, HomeEvent::Request(ticket, request));
    }

    fn drive_home(&mut self, home: usize, event: HomeEvent) {
        let now = ClockReading {
            instant: self.base + Duration::from_micros(self.now_us),
            wall_ms: self.now_us / 1_000,
        };
        for action in self.homes[home].handle(event, now) {
            match action {
                HomeAction::Read(ledger) => {
                    let (version, value) = self.objects.get(&ledger).cloned().unwrap_or_default();
                    let event = HomeEvent::Read(ledger, ReadResult::Found(version, value));
                    self.schedule(self.now_us + CALL_US, Event::PlatformReply(home, event));
                }
                HomeAction::Write(ledger, _, value) => {
                    self.version += 1;
                    self.objects.insert(ledger, (self.version, value));
                    let event = HomeEvent::Written(ledger, WriteResult::Applied(self.version));
                    self.schedule(self.now_us + CALL_US, Event::PlatformReply(home, event));
                    self.writes += u64::from(self.now_us >= WARM_UP_US);
                }
                HomeAction::Reply(ticket, result) => self.receive_reply(ticket, &result),
                HomeAction::WakeAt(at) => {
                    let at_us = at
                        .saturating_duration_since(self.base)
                        .as_nanos()
                        .div_ceil(1_000);
                    // A home returns its next wake-up time after each event.
                    if self.wakes[home].is_none_or(|scheduled| (at_us as u64) < scheduled) {
                        self.wakes[home] = Some(at_us as u64);
                        self.schedule(at_us as u64, Event::Wake(home));
                    }
                }
            }
        }
    }

    fn receive_reply(&mut self, ticket: u64, result: &ClaimResult) {
        let n = ticket >> 1;
        if ticket & 1 == 1 && matches!(result, ClaimResult::Granted { .. }) {
            self.schedule(self.now_us + RUN_US, Event::Settle(n));
            if self.now_us >= WARM_UP_US {
                let arrived_us = (n as f64 * self.gap_us) as u64;
                let recorded = self.grant_times.record(self.now_us - arrived_us);
                recorded.expect("the histogram grows with its values");
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

fn make_settlement() -> Settlement {
    Settlement {
        code: Code::Answered,
        result: Some("7".repeat(RESULT_BYTES).into()),
    }
}
