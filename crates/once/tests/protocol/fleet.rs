//! A fake platform and homes that use it, driven step by step in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use once::ClaimKey;
use once::ClaimResult;
use once::ClaimSpec;
use once::ClockReading;
use once::Home;
use once::HomeAction;
use once::HomeEvent;
use once::HomeOptions;
use once::Ledger;
use once::LedgerId;
use once::Operation;
use once::ReadResult;
use once::Request;
use once::WriteResult;

/// Wall clock at the start, in milliseconds.
const START_WALL_MS: u64 = 1_000_000_000;

pub fn spec(key: &str, attempt: u64) -> ClaimSpec {
    ClaimSpec {
        key: ClaimKey::new("advisers", key).expect("the key is valid"),
        attempt,
        digest: 7,
        window_ms: 500,
    }
}

/// Virtual clocks; a test can let the wall clock run ahead of the monotonic one.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Instant,
    pub elapsed_ms: u64,
    pub wall_ahead_ms: u64,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            base: Instant::now(),
            elapsed_ms: 0,
            wall_ahead_ms: 0,
        }
    }

    pub fn now(&self) -> ClockReading {
        ClockReading {
            instant: self.base + Duration::from_millis(self.elapsed_ms),
            wall_ms: START_WALL_MS + self.elapsed_ms + self.wall_ahead_ms,
        }
    }

    pub fn until(&self, at: Instant) -> u64 {
        let left = at.saturating_duration_since(self.now().instant);
        left.as_nanos().div_ceil(1_000_000) as u64
    }
}

/// What happens to a write and its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The write is processed at once and its reply arrives.
    Replied,
    /// The write takes effect at once and its reply is lost.
    ReplyLost,
    /// The reply is lost, and the write is processed only by [`Fleet::apply_delayed`].
    Delayed,
}

/// A conditional update that the platform has not processed yet.
#[derive(Debug, Clone)]
pub struct Update {
    pub home: usize,
    pub ledger: LedgerId,
    pub base: u64,
    pub value: Ledger,
}

/// The fake platform and the homes of one test.
#[derive(Debug)]
pub struct Fleet {
    pub clock: Clock,
    pub platform_up: bool,
    pub homes: Vec<Home>,
    pub wakes: Vec<Option<Instant>>,
    /// Calls that wait for [`Fleet::serve_read`] and [`Fleet::serve_write`].
    pub reads: Vec<(usize, LedgerId)>,
    pub writes: Vec<Update>,
    /// Writes whose reply was lost before they were processed.
    pub delayed: Vec<Update>,
    /// Tickets and results of the answered requests, in order.
    pub replies: Vec<(u64, ClaimResult)>,
    objects: BTreeMap<LedgerId, (u64, String)>,
    version: u64,
}

impl Fleet {
    pub fn new(homes: usize) -> Fleet {
        let options = HomeOptions {
            write_interval: Duration::from_millis(1),
            ..HomeOptions::default()
        };
        Fleet {
            clock: Clock::start(),
            platform_up: true,
            homes: (0..homes).map(|_| Home::new(options)).collect(),
            wakes: vec![None; homes],
            reads: Vec::new(),
            writes: Vec::new(),
            delayed: Vec::new(),
            replies: Vec::new(),
            objects: BTreeMap::new(),
            version: 0,
        }
    }

    /// Sends a request to a home.
    pub fn send_request(
        &mut self,
        home: usize,
        ticket: u64,
        spec: &ClaimSpec,
        operation: Operation,
    ) {
        let request = Request {
            spec: spec.clone(),
            operation,
            sent_ms: self.clock.now().wall_ms,
        };
        self.handle(home, HomeEvent::Request(ticket, request));
    }

    pub fn handle(&mut self, home: usize, event: HomeEvent) {
        self.wakes[home] = None;
        for action in self.homes[home].handle(event, self.clock.now()) {
            match action {
                HomeAction::Read(ledger) => self.reads.push((home, ledger)),
                HomeAction::Write(ledger, base, value) => self.writes.push(Update {
                    home,
                    ledger,
                    base,
                    value,
                }),
                HomeAction::Reply(ticket, result) => self.replies.push((ticket, result)),
                HomeAction::WakeAt(at) => self.wakes[home] = Some(at),
            }
        }
    }

    /// Serves one read.
    pub fn serve_read(&mut self, at: usize) {
        let (home, ledger) = self.reads.remove(at);
        let result = match self.platform_up {
            true => ReadResult::Found(self.version_of(ledger), self.value(ledger)),
            false => ReadResult::Failed,
        };
        self.handle(home, HomeEvent::Read(ledger, result));
    }

    /// Serves one read with the stale value that the object had before its first write.
    pub fn serve_lagging_read(&mut self, at: usize) {
        let (home, ledger) = self.reads.remove(at);
        let result = ReadResult::Found(0, Ledger::default());
        self.handle(home, HomeEvent::Read(ledger, result));
    }

    /// Serves one write.
    pub fn serve_write(&mut self, at: usize, delivery: Delivery) {
        let update = self.writes.remove(at);
        let (home, ledger) = (update.home, update.ledger);
        let result = match (self.platform_up, delivery) {
            (false, _) => WriteResult::Refused,
            (true, Delivery::Replied) => self.apply(&update),
            (true, Delivery::ReplyLost) => {
                self.apply(&update);
                WriteResult::Unknown
            }
            (true, Delivery::Delayed) => {
                self.delayed.push(update);
                WriteResult::Unknown
            }
        };
        self.handle(home, HomeEvent::Written(ledger, result));
    }

    /// Processes the oldest delayed write; no home receives the reply.
    pub fn apply_delayed(&mut self) -> WriteResult {
        let update = self.delayed.remove(0);
        self.apply(&update)
    }

    /// Serves all calls without faults until every home is idle, for at most this many milliseconds of virtual time.
    pub fn run(&mut self, limit_ms: u64) {
        let end_ms = self.clock.elapsed_ms + limit_ms;
        loop {
            if !self.reads.is_empty() {
                self.serve_read(0);
            } else if !self.writes.is_empty() {
                self.serve_write(0, Delivery::Replied);
            } else if let Some(at) = self.wakes.iter().flatten().min().copied()
                && self.clock.elapsed_ms + self.clock.until(at) <= end_ms
            {
                self.advance_clock(self.clock.until(at));
            } else {
                return;
            }
        }
    }

    /// Advances the clocks, and wakes the homes whose wake-up time has come.
    pub fn advance_clock(&mut self, ms: u64) {
        self.clock.elapsed_ms += ms;
        for home in 0..self.homes.len() {
            if self.wakes[home].is_some_and(|at| at <= self.clock.now().instant) {
                self.handle(home, HomeEvent::Wake);
            }
        }
    }

    pub fn reply(&self, ticket: u64) -> Option<&ClaimResult> {
        let found = self.replies.iter().find(|(other, _)| *other == ticket);
        found.map(|(_, result)| result)
    }

    pub fn granted(&self, ticket: u64) -> bool {
        matches!(self.reply(ticket), Some(ClaimResult::Granted { .. }))
    }

    pub fn version_of(&self, ledger: LedgerId) -> u64 {
        self.objects.get(&ledger).map_or(0, |object| object.0)
    }

    /// Parses the value of a ledger object from the JSON that the platform stores.
    pub fn value(&self, ledger: LedgerId) -> Ledger {
        match self.objects.get(&ledger) {
            Some((_, text)) => serde_json::from_str(text).expect("a ledger can be read back"),
            None => Ledger::default(),
        }
    }

    fn apply(&mut self, update: &Update) -> WriteResult {
        let current = self.version_of(update.ledger);
        if current != update.base {
            return WriteResult::Conflict(current);
        }
        self.version += 1;
        let text = serde_json::to_string(&update.value).expect("a ledger is valid JSON");
        self.objects.insert(update.ledger, (self.version, text));
        WriteResult::Applied(self.version)
    }
}
