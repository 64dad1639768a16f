//! Which connection is closed when there is no room for another one.

use std::time::Duration;
use std::time::Instant;

use limit::ConnectionKey;
use limit::Connections;
use limit::Phase;
use proptest::prelude::*;
use rstest::rstest;

const IDLE_TIME: Duration = Duration::from_secs(12);
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Connections with names, and a clock.
struct Table {
    connections: Connections<&'static str>,
    now: Instant,
}

impl Table {
    fn new() -> Table {
        let mut table = Table {
            connections: Connections::default(),
            now: Instant::now(),
        };
        table.connections.advance(table.now);
        table
    }

    /// Lets time pass in steps, as the timer of the gateway does.
    fn wait(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.connections.advance(self.now);
        }
    }

    fn add(&mut self, name: &'static str, conduct: Conduct) -> ConnectionKey {
        let connections = &mut self.connections;
        let key = connections.open(name);
        match conduct {
            Conduct::Silent => return key,
            Conduct::Head => {
                connections.record_read(key, 10);
                return key;
            }
            Conduct::Body(bytes) => {
                connections.record_read(key, 10);
                connections.begin(key, Phase::Body);
                connections.record_read(key, bytes);
                return key;
            }
            Conduct::Busy | Conduct::Answer(_) | Conduct::Idle => {}
        }
        connections.record_read(key, 10);
        connections.begin(key, Phase::Busy);
        if conduct == Conduct::Busy {
            return key;
        }
        connections.begin(key, Phase::Answer);
        match conduct {
            Conduct::Answer(bytes) => connections.begin_part(key, bytes),
            _ => {
                connections.begin_part(key, 10);
                connections.end_part(key);
            }
        }
        key
    }

    fn close_for_new(&mut self) -> Option<&'static str> {
        let closed = self.connections.close_for_new(IDLE_TIME)?;
        Some(closed.handle)
    }

    fn close_largest(&mut self) -> Option<&'static str> {
        Some(self.connections.close_largest()?.handle)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Conduct {
    Silent,
    Head,
    Body(u64),
    Busy,
    Answer(u64),
    /// A request was answered.
    Idle,
}

macro_rules! newcomer_displaces {
    ($($name:ident: $($conduct:expr, after $wait:literal s);+ => $closed:expr;)+) => {
        /// Guards against closing a connection that is in use, or that its client may use at any moment, while another one
        /// can be spared. Connections are named by their place in the list.
        #[rstest]
        $(#[case::$name(&[$(($conduct, $wait)),+], $closed)])+
        fn newcomer_displaces(#[case] list: &[(Conduct, u64)], #[case] closed: Option<&str>) {
            const NAMES: [&str; 3] = ["first", "second", "third"];
            let mut table = Table::new();
            for ((conduct, wait), name) in list.iter().zip(NAMES) {
                table.wait(*wait);
                table.add(name, *conduct);
            }
            table.wait(3);
            assert_eq!(table.close_for_new(), closed);
        }
    };
}

newcomer_displaces! {
    the_oldest_silent_one: Conduct::Silent, after 0 s; Conduct::Silent, after 1 s => Some("first");
    a_silent_one_before_an_unread_answer: Conduct::Answer(9_000), after 0 s; Conduct::Silent, after 1 s => Some("second");
    a_partial_head: Conduct::Busy, after 0 s; Conduct::Head, after 1 s => Some("second");
    the_largest_unread_answer: Conduct::Answer(10), after 0 s; Conduct::Answer(9_000), after 1 s => Some("second");
    the_oldest_unread_answer: Conduct::Answer(10), after 0 s; Conduct::Answer(10), after 1 s => Some("first");
    an_unread_answer_before_an_idle_one: Conduct::Idle, after 0 s; Conduct::Answer(10), after 20 s => Some("second");
    one_idle_for_long: Conduct::Idle, after 0 s; Conduct::Busy, after 9 s => Some("first");
    none_idle_for_a_short_time: Conduct::Idle, after 0 s; Conduct::Idle, after 8 s => None;
    none_in_use: Conduct::Busy, after 0 s; Conduct::Busy, after 60 s => None;
    a_body_of_which_nothing_comes: Conduct::Busy, after 0 s; Conduct::Body(0), after 1 s => Some("second");
    a_body_that_stays: Conduct::Busy, after 0 s; Conduct::Body(100), after 1 s => Some("second");
}

/// Guards against closing clients that read as fast as they can, when memory is short for a moment.
#[test]
fn young_answers_are_kept() {
    let mut table = Table::new();
    table.add("young", Conduct::Answer(1_000_000));
    table.wait(1);
    assert_eq!(table.close_largest(), None);
    table.wait(1);
    assert_eq!(table.close_largest(), Some("young"));
}

/// Guards against closing a client that has read most of a large answer instead of one that has read nothing.
#[test]
fn progress_counts() {
    let mut table = Table::new();
    let steady = table.add("steady", Conduct::Answer(4_000_000));
    table.wait(1);
    table.add("stalled", Conduct::Answer(1_000_000));
    table.wait(3);
    table.connections.record_written(steady, 3_900_000);
    assert_eq!(table.close_largest(), Some("stalled"));
    assert_eq!(table.close_largest(), Some("steady"));
    assert_eq!(table.close_largest(), None);
}

/// Guards against a head that comes a byte at a time and holds its connection for as long as its client likes, and against
/// closing one that is in time.
#[test]
fn slow_heads_are_closed() {
    let mut table = Table::new();
    let slow = table.add("slow", Conduct::Head);
    table.add("idle", Conduct::Silent);
    table.wait(2);
    table.add("in time", Conduct::Head);
    table.connections.record_read(slow, 1);
    assert!(table.connections.close_slow_heads(HEAD_TIMEOUT).is_empty());
    table.wait(2);
    let closed = table.connections.close_slow_heads(HEAD_TIMEOUT);
    let names: Vec<&str> = closed.iter().map(|closed| closed.handle).collect();
    assert_eq!(names, ["slow"]);
}

/// Guards against closing clients after a suspension of the process, during which it read nothing.
#[test]
fn suspension_does_not_count() {
    let mut table = Table::new();
    table.add("head", Conduct::Head);
    table.add("answer", Conduct::Answer(1_000));
    table.now += Duration::from_secs(600);
    table.connections.advance(table.now);
    assert!(table.connections.close_slow_heads(HEAD_TIMEOUT).is_empty());
    assert_eq!(table.close_largest(), None);
}

/// Guards against a connection that counts as idle while parts of its answer are still to come.
#[test]
fn answer_in_parts_ends_with_the_last() {
    let mut table = Table::new();
    let key = table.add("peer", Conduct::Answer(0));
    table.connections.begin_part(key, 100);
    table.connections.end_part(key);
    assert_eq!(table.connections.phase(key), Some(Phase::Answer));
    assert!(table.connections.is_sending(key));
    table.connections.end_part(key);
    assert_eq!(table.connections.phase(key), Some(Phase::Idle));
    assert!(!table.connections.is_sending(key));
}

proptest! {
    /// Guards against closing a connection whose request runs, in any order of events, and against late events of one that
    /// was closed.
    #[test]
    fn running_requests_are_kept(steps in prop::collection::vec((0..9_u8, 0..6_usize, 0..5_u64), 0..200)) {
        let mut table = Table::new();
        let mut keys: Vec<ConnectionKey> = Vec::new();
        for (step, at, amount) in steps {
            let key = keys.get(at).copied().unwrap_or_default();
            let connections = &mut table.connections;
            match step {
                0 => keys.push(connections.open("any")),
                1 => connections.record_read(key, amount),
                2 => connections.begin(key, Phase::Body),
                3 => connections.begin(key, Phase::Busy),
                4 => {
                    connections.begin(key, Phase::Answer);
                    connections.begin_part(key, amount);
                }
                5 => connections.end_part(key),
                6 => connections.record_written(key, amount),
                7 => table.wait(amount),
                _ => {
                    let closed = [
                        table.connections.close_for_new(IDLE_TIME),
                        table.connections.close_largest(),
                    ];
                    for closed in closed.into_iter().flatten() {
                        prop_assert!(closed.phase != Phase::Busy);
                    }
                }
            }
        }
    }
}
