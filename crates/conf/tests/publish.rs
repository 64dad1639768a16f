//! Tests of publishes against a fake store that loses, delays and refuses updates, and whose reads lag.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use conf::Action;
use conf::Event;
use conf::Publish;
use conf::PublishResult;
use conf::Refusal;
use decl::Catalogue;
use decl::Changes;
use decl::Declaration;
use decl::parse_declaration;

fn declare(file: u8, shard: usize) -> Declaration {
    let text = format!(
        "service = \"s{file}\"\nindex = \"plan-desk\"\nshards = {{ names = [{shard}] }}\ndeadline = \"1s\"\n"
    );
    parse_declaration("a.toml", &text).unwrap()
}

/// Returns changes to the files in a bit mask, with content that is unique to the given publisher.
fn change(files: u8, publisher: usize) -> Changes {
    let selected = (0..3).filter(|file| files & (1 << file) != 0);
    selected
        .map(|file| {
            (
                format!("{file}.toml").into(),
                Some(declare(file, publisher)),
            )
        })
        .collect()
}

/// Faults that every publisher must tolerate; well below its limits for failed reads and for updates.
const TOLERATED_FAULTS: usize = 8;

/// Every accepted catalogue in order of version, and the updates that are delayed.
#[derive(Default)]
struct FakeStore {
    accepted: Vec<Catalogue>,
    delayed: Vec<(u64, Arc<Catalogue>)>,
}

impl FakeStore {
    fn version(&self) -> u64 {
        self.accepted.len() as u64
    }

    fn read(&self, lag: u64) -> Event {
        let version = self.version().saturating_sub(lag);
        let at = (version as usize).checked_sub(1);
        let catalogue = at.map_or_else(Catalogue::default, |at| self.accepted[at].clone());
        Event::Found {
            version,
            catalogue: Box::new(catalogue),
        }
    }

    fn update(&mut self, if_version: u64, catalogue: &Catalogue) -> Event {
        let version = self.version();
        if if_version != version {
            return Event::Conflict { version };
        }
        let last = self
            .accepted
            .last()
            .map_or(0, |catalogue| catalogue.revision);
        assert_eq!(catalogue.revision, last + 1, "the revision must increment");
        self.accepted.push(catalogue.clone());
        Event::Applied
    }

    /// Executes an action with a fault, and returns the result that the publisher sees.
    fn perform(&mut self, action: &Action, fault: u8) -> Option<Event> {
        let event = match (action, fault) {
            (Action::Finish(_), _) => return None,
            (Action::Read { .. }, 1) => Event::ReadFailed,
            (Action::Read { .. }, 2) => self.read(1),
            (Action::Read { .. }, 3) => self.read(2),
            (Action::Read { .. }, _) => self.read(0),
            (Action::Update { .. }, 1) => Event::NotSent,
            (Action::Update { .. }, 2) => Event::ReplyLost,
            (
                Action::Update {
                    if_version,
                    catalogue,
                },
                fault,
            ) => {
                if fault == 4 {
                    self.delayed.push((*if_version, Arc::clone(catalogue)));
                    return Some(Event::ReplyLost);
                }
                let event = self.update(*if_version, catalogue);
                if fault == 3 { Event::ReplyLost } else { event }
            }
        };
        Some(event)
    }

    fn deliver_delayed(&mut self) -> bool {
        let Some((if_version, catalogue)) = self.delayed.pop() else {
            return false;
        };
        self.update(if_version, &catalogue);
        true
    }
}

struct Publisher {
    files: u8,
    faults: usize,
    publish: Publish,
    action: Action,
}

impl Publisher {
    fn new(number: usize, files: u8) -> Publisher {
        let mut publish = Publish::new(format!("p{number}"), change(files, number), None);
        let action = publish.handle(Event::Start);
        Publisher {
            files,
            faults: 0,
            publish,
            action,
        }
    }

    fn step(&mut self, store: &mut FakeStore, fault: u8) {
        self.faults += usize::from((1..5).contains(&fault));
        if let Some(event) = store.perform(&self.action, fault) {
            self.action = self.publish.handle(event);
        }
    }

    fn result(&self) -> Option<&PublishResult> {
        match &self.action {
            Action::Finish(published) => Some(published),
            Action::Read { .. } | Action::Update { .. } => None,
        }
    }
}

/// Checks that a publisher's result is true, and that it overwrote no publish that it had not read.
fn check_publisher(number: usize, publishers: &[Publisher], store: &FakeStore) {
    let publisher = &publishers[number];
    let id = format!("p{number}");
    let accepted: Vec<&Catalogue> = store.accepted.iter().filter(|c| c.publish == id).collect();
    assert!(accepted.len() <= 1, "{id} was applied more than once");
    match publisher.result() {
        Some(PublishResult::Accepted { revision }) => assert_eq!(accepted[0].revision, *revision),
        Some(PublishResult::Refused(refusal)) => assert!(accepted.is_empty(), "{refusal}"),
        Some(PublishResult::Unknown { .. }) => {
            assert!(
                publisher.faults > TOLERATED_FAULTS,
                "{id} has an unknown result"
            );
        }
        Some(PublishResult::Unchanged { .. }) | None => panic!("{id}: {:?}", publisher.action),
    }
    let Some(accepted) = accepted.first() else {
        return;
    };
    let base = publisher.publish.base().unwrap();
    for record in accepted.log.iter().filter(|record| record.revision > base) {
        let other = publishers.iter().enumerate();
        let mut other = other.filter(|(at, _)| *at != number && record.publish == format!("p{at}"));
        assert!(other.all(|(_, other)| other.files & publisher.files == 0));
    }
}

/// Checks that each file has the content of the last accepted publish that changed it.
fn check_contents(publishers: &[Publisher], store: &FakeStore) {
    let last = store.accepted.last().cloned().unwrap_or_default();
    for file in 0..3_u8 {
        let mut writers = store.accepted.iter().rev().filter_map(|catalogue| {
            let number: usize = catalogue.publish[1..].parse().unwrap();
            (publishers[number].files & (1 << file) != 0).then_some(number)
        });
        let expected = writers.next().map(|number| declare(file, number));
        assert!(last.has_file(&format!("{file}.toml"), expected.as_ref()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 3000,
        ..ProptestConfig::default()
    })]

    /// Guards against an accepted publish that is lost or applied twice, a refused one that takes effect, and a
    /// decreasing revision, when replies are lost and updates arrive late.
    #[test]
    fn test_interleaved_publishes_lose_nothing(
        files in prop::collection::vec(1_u8..8, 2..4),
        steps in prop::collection::vec((0_usize..3, 0_u8..6), 0..40),
    ) {
        let mut store = FakeStore::default();
        let numbered = files.iter().enumerate();
        let mut publishers: Vec<Publisher> =
            numbered.map(|(number, files)| Publisher::new(number, *files)).collect();
        let count = publishers.len();
        for (who, fault) in steps {
            if fault == 5 {
                store.deliver_delayed();
            }
            publishers[who % count].step(&mut store, fault);
        }
        for turn in 0..60 * count {
            publishers[turn % count].step(&mut store, 0);
        }
        while store.deliver_delayed() {}
        for number in 0..count {
            check_publisher(number, &publishers, &store);
        }
        check_contents(&publishers, &store);
    }
}

/// Runs a publish to its end without faults.
fn run_publish(store: &mut FakeStore, publish: &mut Publish) -> PublishResult {
    let mut action = publish.handle(Event::Start);
    while let Some(event) = store.perform(&action, 0) {
        action = publish.handle(event);
    }
    let Action::Finish(published) = action else {
        unreachable!("only a finished publish has no result")
    };
    published
}

/// Guards against a publish with an old base revision that silently overwrites files that others published since.
#[rstest]
#[case::same_file(
    1,
    Some(0),
    Err("0.toml was changed at revision 1, after base revision 0")
)]
#[case::other_file(2, Some(0), Ok(3))]
#[case::current_base(1, Some(2), Ok(3))]
#[case::unknown_base(1, Some(9), Err("base revision 9 cannot be compared with revision 2"))]
fn test_base_revision_is_compared_by_file(
    #[case] files: u8,
    #[case] base: Option<u64>,
    #[case] expected: Result<u64, &str>,
) {
    let mut store = FakeStore::default();
    for (number, files) in [(0, 1), (1, 4)] {
        let mut publish = Publish::new(format!("p{number}"), change(files, number), None);
        run_publish(&mut store, &mut publish);
    }
    let mut publish = Publish::new("p2", change(files, 2), base);
    let result = match run_publish(&mut store, &mut publish) {
        PublishResult::Accepted { revision } => Ok(revision),
        PublishResult::Refused(refusal) => Err(refusal.to_string()),
        other => panic!("{other:?}"),
    };
    assert_eq!(result, expected.map_err(str::to_owned));
}

/// Guards against a publish that is reported as refused while its update is still in flight.
#[rstest]
#[case::before_any_update(false, PublishResult::Refused(Refusal::Unavailable))]
#[case::update_in_flight(true, PublishResult::Unknown { revision: 1 })]
fn test_timeout_reports_whether_the_update_may_take_effect(
    #[case] sent: bool,
    #[case] expected: PublishResult,
) {
    let store = FakeStore::default();
    let mut publish = Publish::new("p0", change(1, 0), None);
    publish.handle(Event::Start);
    if sent {
        publish.handle(store.read(0));
    }
    assert_eq!(publish.handle(Event::TimedOut), Action::Finish(expected));
}

/// Guards against a publish that is sent again although it may have been accepted before the first record of the log.
#[test]
fn test_outcome_beyond_the_log_is_unknown() {
    let mut publish = Publish::new("p0", change(1, 0), None);
    publish.handle(Event::Start);
    publish.handle(FakeStore::default().read(0));
    publish.handle(Event::ReplyLost);
    let catalogue = Box::new(Catalogue {
        revision: 300,
        ..Catalogue::default()
    });
    let version = 300;
    let action = publish.handle(Event::Found { version, catalogue });
    let unknown = PublishResult::Unknown { revision: 1 };
    assert_eq!(action, Action::Finish(unknown));
}

/// Guards against a publish that never ends when the platform stays down.
#[test]
fn test_platform_down_ends_the_publish() {
    let mut publish = Publish::new("p0", change(1, 0), None);
    let mut action = publish.handle(Event::Start);
    for _ in 0..20 {
        action = match action {
            Action::Read { .. } => publish.handle(Event::ReadFailed),
            other => other,
        };
    }
    let refused = PublishResult::Refused(Refusal::Unavailable);
    assert_eq!(action, Action::Finish(refused));
}
