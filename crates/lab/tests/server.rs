//! Tests of the modelled server, whose rejections and counters are the reference of all other experiments.

use std::time::Duration;
use std::time::Instant;

use base::QueryRequest;
use base::RunRequest;
use base::UpstreamState;
use lab::deploy::build_skiasis;
use lab::fault::Fault;
use lab::server::Action;
use lab::server::Event;
use lab::server::Reply;
use lab::server::Server;
use proptest::prelude::proptest;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::value::RawValue;

struct Harness {
    server: Server,
    now: Instant,
    rng: Pcg64Mcg,
    last_id: u64,
    replies: Vec<(u64, Reply)>,
    wake: Option<Instant>,
}

const MILLISECOND: Duration = Duration::from_millis(1);

impl Harness {
    fn new() -> Harness {
        let index = build_skiasis(1).indexes.remove(0);
        let now = Instant::now();
        Harness {
            server: Server::new(index.servers[0].clone(), &index.state.maps, now),
            now,
            rng: Pcg64Mcg::seed_from_u64(3),
            last_id: 0,
            replies: Vec::new(),
            wake: None,
        }
    }

    fn process_event(&mut self, event: Event) {
        self.wake = None;
        for action in self.server.handle(event, self.now, &mut self.rng) {
            match action {
                Action::Reply(id, reply) => self.replies.push((id, reply)),
                Action::WakeAt(at) => self.wake = Some(at),
            }
        }
    }

    fn query(&mut self, deadline_ms: u64) -> u64 {
        self.last_id += 1;
        let request = QueryRequest {
            attempt: self.last_id,
            query: "q".into(),
            index: "offcut-desk".into(),
            version: 1,
            map: 1,
            shards: vec![0],
            deadline_ms,
            request: "search".into(),
            body: RawValue::from_string("{\"n\":5}".into()).unwrap(),
        };
        self.process_event(Event::Query(self.last_id, request));
        self.last_id
    }

    fn run(&mut self, key: &str) -> u64 {
        self.last_id += 1;
        let request = RunRequest {
            attempt: self.last_id,
            key: key.into(),
            index: "offcut-desk".into(),
            shard: 0,
            deadline_ms: 500,
            request: "rush-order".into(),
            body: RawValue::NULL.to_owned(),
        };
        self.process_event(Event::Run(self.last_id, request));
        self.last_id
    }

    fn run_until_idle(&mut self) {
        while let Some(at) = self.wake {
            self.now = at;
            self.process_event(Event::Wake);
        }
    }

    fn find_status(&self, request: u64) -> Option<(u16, bool)> {
        let (_, reply) = self.replies.iter().find(|(id, _)| *id == request)?;
        Some(match reply {
            Reply::Rejected(reject) => (reject.status, reject.not_run),
            _ => (200, false),
        })
    }
}

/// Guards against an unbounded queue, and a full queue that does not mark the rejected request as not run.
#[rstest]
fn full_queue_rejects_requests_as_not_run() {
    let mut harness = Harness::new();
    let capacity = harness.server.settings().slots + harness.server.settings().queue;
    let accepted: Vec<u64> = (0..capacity).map(|_| harness.query(60_000)).collect();
    let extra = harness.query(60_000);
    assert_eq!(harness.find_status(extra), Some((429, true)));
    harness.run_until_idle();
    assert!(
        accepted
            .iter()
            .all(|id| harness.find_status(*id) == Some((200, false)))
    );
    assert_eq!(harness.server.counts().ran, u64::from(capacity));
}

/// Guards against "not run" on a request that had started; guarantee G4 relies on that mark.
#[rstest]
fn only_unstarted_requests_are_marked_not_run() {
    let mut harness = Harness::new();
    let started = harness.query(60_000);
    harness.query(60_000);
    let queued = harness.query(60_000);
    harness.process_event(Event::Cancel(started));
    harness.process_event(Event::Cancel(queued));
    harness.run_until_idle();
    assert_eq!(harness.find_status(started), Some((503, false)));
    assert_eq!(harness.find_status(queued), Some((503, true)));
    assert_eq!(harness.server.counts().ran, 2);
}

/// Guards against requests that run past their deadline, or start after it.
#[rstest]
fn requests_end_at_their_deadline() {
    let mut harness = Harness::new();
    harness.process_event(Event::Fault(Fault::Slow { factor: 1000.0 }));
    let running = [harness.query(50), harness.query(50)];
    let queued = harness.query(20);
    let start = harness.now;
    harness.run_until_idle();
    assert_eq!(harness.now - start, 50 * MILLISECOND);
    assert!(
        running
            .iter()
            .all(|id| harness.find_status(*id) == Some((503, false)))
    );
    assert_eq!(harness.find_status(queued), Some((503, true)));
}

/// Guards against a run that is aborted by a cancellation, and against a second run that is not counted.
#[rstest]
fn runs_are_counted_per_key_and_not_interrupted() {
    let mut harness = Harness::new();
    let first = harness.run("order-1");
    harness.process_event(Event::Cancel(first));
    harness.run("order-1");
    harness.run_until_idle();
    assert_eq!(harness.find_status(first), Some((200, false)));
    assert_eq!(harness.server.runs()["order-1"], 2);
}

/// Guards against a drain that does not appear in the state, or that accepts requests after the grace period.
#[rstest]
fn draining_server_rejects_requests_after_the_grace_period() {
    let mut harness = Harness::new();
    harness.process_event(Event::Fault(Fault::Drain));
    assert_eq!(harness.server.state(harness.now), UpstreamState::Draining);
    let early = harness.query(500);
    harness.run_until_idle();
    harness.now += 3000 * MILLISECOND;
    let late = harness.query(500);
    assert_eq!(harness.find_status(early), Some((200, false)));
    assert_eq!(harness.find_status(late), Some((503, true)));
    assert_eq!(harness.server.counts().late, 1);
}

/// Guards against an up-to-date load report, which would hide errors in code that relies on it.
#[rstest]
fn reported_load_lags() {
    let mut harness = Harness::new();
    harness.process_event(Event::Wake);
    harness.now += 2500 * MILLISECOND;
    harness.query(60_000);
    assert_eq!(harness.server.reported_load(harness.now).running, 0);
    assert_eq!(
        harness
            .server
            .reported_load(harness.now + 2000 * MILLISECOND)
            .running,
        1
    );
}

/// Guards against serving a retired version to new or queued requests.
#[rstest]
fn retired_versions_are_not_served() {
    let mut harness = Harness::new();
    let running = [harness.query(60_000), harness.query(60_000)];
    let queued = harness.query(60_000);
    harness.process_event(Event::Fault(Fault::Retire { version: 1 }));
    let new = harness.query(60_000);
    harness.run_until_idle();
    assert!(
        running
            .iter()
            .all(|id| harness.find_status(*id) == Some((200, false)))
    );
    assert_eq!(harness.find_status(queued), Some((410, true)));
    assert_eq!(harness.find_status(new), Some((410, true)));
}

/// Guards against a cold start that does not slow the first requests.
#[rstest]
fn cold_server_is_slower() {
    let measure_busy_time = |fault: Option<Fault>| {
        let mut harness = Harness::new();
        fault
            .into_iter()
            .for_each(|fault| harness.process_event(Event::Fault(fault)));
        (0..10).for_each(|_| {
            harness.query(60_000);
        });
        harness.run_until_idle();
        harness.server.counts().busy
    };
    assert!(measure_busy_time(Some(Fault::Restart)) > measure_busy_time(None) * 3);
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// Guards against a request without a reply or with two, and against more running requests than slots.
    #[test]
    fn every_request_gets_one_reply(steps in proptest::collection::vec((0u8..8, 1u64..200), 1..200)) {
        let mut harness = Harness::new();
        let mut sent = 0;
        for (step, number) in steps {
            match step {
                0..=3 => { harness.query(number); sent += 1; }
                4 => { harness.run("key"); sent += 1; }
                5 => harness.process_event(Event::Cancel(harness.last_id.saturating_sub(number % 4))),
                6 => harness.now += MILLISECOND * number as u32 / 20,
                _ => harness.process_event(Event::Fault(Fault::Straggle { chance: 0.5, factor: 10.0 })),
            }
            let slots = harness.server.settings().slots;
            proptest::prop_assert!(harness.server.current_load(harness.now).running <= slots);
        }
        harness.run_until_idle();
        let mut ids: Vec<u64> = harness.replies.iter().map(|(id, _)| *id).collect();
        ids.sort_unstable();
        proptest::prop_assert_eq!(ids, (1..=sent).collect::<Vec<u64>>());
    }
}
