//! Checks of the modelled server: what it proves and counts is the ground truth of every other experiment.

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

struct Bed {
    server: Server,
    now: Instant,
    rng: Pcg64Mcg,
    last_id: u64,
    replies: Vec<(u64, Reply)>,
    wake: Option<Instant>,
}

const MS: Duration = Duration::from_millis(1);

impl Bed {
    fn new() -> Bed {
        let index = build_skiasis(1).indexes.remove(0);
        let now = Instant::now();
        Bed {
            server: Server::new(index.servers[0].clone(), &index.state.maps, now),
            now,
            rng: Pcg64Mcg::seed_from_u64(3),
            last_id: 0,
            replies: Vec::new(),
            wake: None,
        }
    }

    fn give(&mut self, event: Event) {
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
        self.give(Event::Query(self.last_id, request));
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
        self.give(Event::Run(self.last_id, request));
        self.last_id
    }

    fn settle(&mut self) {
        while let Some(at) = self.wake {
            self.now = at;
            self.give(Event::Wake);
        }
    }

    fn status(&self, request: u64) -> Option<(u16, bool)> {
        let (_, reply) = self.replies.iter().find(|(id, _)| *id == request)?;
        Some(match reply {
            Reply::Rejected(reject) => (reject.status, reject.not_run),
            _ => (200, false),
        })
    }
}

/// Guards against a queue without bound, and a full queue that does not prove that the request was not run.
#[rstest]
fn full_queue_rejects_with_proof() {
    let mut bed = Bed::new();
    let bound = bed.server.settings().slots + bed.server.settings().queue;
    let accepted: Vec<u64> = (0..bound).map(|_| bed.query(60_000)).collect();
    let extra = bed.query(60_000);
    assert_eq!(bed.status(extra), Some((429, true)));
    bed.settle();
    assert!(
        accepted
            .iter()
            .all(|id| bed.status(*id) == Some((200, false)))
    );
    assert_eq!(bed.server.counts().ran, u64::from(bound));
}

/// Guards against a proof of "not run" for a request that had started, which guarantee G4 builds on.
#[rstest]
fn only_unstarted_requests_are_proved_not_run() {
    let mut bed = Bed::new();
    let started = bed.query(60_000);
    bed.query(60_000);
    let queued = bed.query(60_000);
    bed.give(Event::Cancel(started));
    bed.give(Event::Cancel(queued));
    bed.settle();
    assert_eq!(bed.status(started), Some((503, false)));
    assert_eq!(bed.status(queued), Some((503, true)));
    assert_eq!(bed.server.counts().ran, 2);
}

/// Guards against work that goes on after its deadline, in a slot or from the queue.
#[rstest]
fn deadlines_end_work() {
    let mut bed = Bed::new();
    bed.give(Event::Fault(Fault::Slow { factor: 1000.0 }));
    let running = [bed.query(50), bed.query(50)];
    let queued = bed.query(20);
    let start = bed.now;
    bed.settle();
    assert_eq!(bed.now - start, 50 * MS);
    assert!(
        running
            .iter()
            .all(|id| bed.status(*id) == Some((503, false)))
    );
    assert_eq!(bed.status(queued), Some((503, true)));
}

/// Guards against a run that a cancellation interrupts, and against a count that hides a second run.
#[rstest]
fn runs_are_counted_per_key_and_not_interrupted() {
    let mut bed = Bed::new();
    let first = bed.run("order-1");
    bed.give(Event::Cancel(first));
    bed.run("order-1");
    bed.settle();
    assert_eq!(bed.status(first), Some((200, false)));
    assert_eq!(bed.server.runs()["order-1"], 2);
}

/// Guards against a drain that is not shown on replies, or that takes new work after its grace.
#[rstest]
fn draining_server_sheds_after_the_grace() {
    let mut bed = Bed::new();
    bed.give(Event::Fault(Fault::Drain));
    assert_eq!(bed.server.state(bed.now), UpstreamState::Draining);
    let early = bed.query(500);
    bed.settle();
    bed.now += 3000 * MS;
    let late = bed.query(500);
    assert_eq!(bed.status(early), Some((200, false)));
    assert_eq!(bed.status(late), Some((503, true)));
    assert_eq!(bed.server.counts().late, 1);
}

/// Guards against a load figure that is exact, which would hide mistakes in code that trusts it.
#[rstest]
fn load_figure_lags() {
    let mut bed = Bed::new();
    bed.give(Event::Wake);
    bed.now += 2500 * MS;
    bed.query(60_000);
    assert_eq!(bed.server.reported_load(bed.now).running, 0);
    assert_eq!(bed.server.reported_load(bed.now + 2000 * MS).running, 1);
}

/// Guards against parts of a retired version, and of a map that a version was not built on.
#[rstest]
fn retired_versions_are_not_served() {
    let mut bed = Bed::new();
    let blocked = [bed.query(60_000), bed.query(60_000)];
    let queued = bed.query(60_000);
    bed.give(Event::Fault(Fault::Retire { version: 1 }));
    let fresh = bed.query(60_000);
    bed.settle();
    assert!(
        blocked
            .iter()
            .all(|id| bed.status(*id) == Some((200, false)))
    );
    assert_eq!(bed.status(queued), Some((410, true)));
    assert_eq!(bed.status(fresh), Some((410, true)));
}

/// Guards against a cold start without effect: the first replies must be slower than those of a warm server.
#[rstest]
fn cold_server_is_slower() {
    let busy = |fault: Option<Fault>| {
        let mut bed = Bed::new();
        fault
            .into_iter()
            .for_each(|fault| bed.give(Event::Fault(fault)));
        (0..10).for_each(|_| {
            bed.query(60_000);
        });
        bed.settle();
        bed.server.counts().busy
    };
    assert!(busy(Some(Fault::Restart)) > busy(None) * 3);
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// Guards against a request without a reply, with two replies, or that uses more slots than there are.
    #[test]
    fn every_request_gets_one_reply(steps in proptest::collection::vec((0u8..8, 1u64..200), 1..200)) {
        let mut bed = Bed::new();
        let mut asked = 0;
        for (step, number) in steps {
            match step {
                0..=3 => { bed.query(number); asked += 1; }
                4 => { bed.run("key"); asked += 1; }
                5 => bed.give(Event::Cancel(bed.last_id.saturating_sub(number % 4))),
                6 => bed.now += MS * number as u32 / 20,
                _ => bed.give(Event::Fault(Fault::Straggle { chance: 0.5, factor: 10.0 })),
            }
            let slots = bed.server.settings().slots;
            proptest::prop_assert!(bed.server.current_load(bed.now).running <= slots);
        }
        bed.settle();
        let mut ids: Vec<u64> = bed.replies.iter().map(|(id, _)| *id).collect();
        ids.sort_unstable();
        proptest::prop_assert_eq!(ids, (1..=asked).collect::<Vec<u64>>());
    }
}
