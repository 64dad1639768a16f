//! The choice of a near replica, and when a far one is better.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use limit::AttemptOutcome;
use limit::GateKey;
use limit::Limits;
use limit::Tuning;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const USUAL: Duration = Duration::from_millis(28);

const PICKS: usize = 100;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn create(zones: &[&str]) -> (Limits, Vec<GateKey>) {
    let mut limits = Limits::new("zurich".into(), "ch".into(), Tuning::default());
    let add = |(at, zone): (usize, &&str)| {
        let upstream = Upstream {
            id: format!("u{at}").into(),
            addr: "127.0.0.1:9001".parse().unwrap(),
            zone: (*zone).into(),
            region: if *zone == "zurich" { "ch" } else { "far" }.into(),
            slots: 4,
            connections: 90,
        };
        limits.set_upstream(&upstream, Some(20))
    };
    let keys = zones.iter().enumerate().map(add).collect();
    (limits, keys)
}

/// Counts how often the first server is chosen.
fn count_first(limits: &Limits, keys: &[GateKey], now: Instant) -> usize {
    let mut rng = Pcg64Mcg::new(5);
    (0..PICKS)
        .filter(|_| limits.pick_fastest(keys.iter().copied(), USUAL, now, &mut rng) == Ok(keys[0]))
        .count()
}

fn end(limits: &mut Limits, key: GateKey, ending: AttemptOutcome, sent: Instant, time: Duration) {
    let permit = limits.acquire(key, sent).unwrap();
    limits.release(permit, ending, sent + time);
}

/// Guards against paying for the way to another region while the near server is idle and answers as usual.
#[test]
fn idle_near_server_is_always_chosen() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    let now = Instant::now();
    assert_eq!(count_first(&limits, &keys, now), PICKS);
    end(&mut limits, keys[0], AttemptOutcome::Replied, now, USUAL);
    assert_eq!(count_first(&limits, &keys, now + USUAL), PICKS);
}

macro_rules! far_server_is_chosen {
    ($($name:ident: $endings:expr,)+) => {
        /// Guards against sending on to a near server that recent attempts showed to be bad.
        #[rstest]
        $(#[case::$name($endings)])+
        fn far_server_is_chosen_after(#[case] endings: [(AttemptOutcome, u64); 6]) {
            let (mut limits, keys) = create(&["zurich", "lugano"]);
            let mut now = Instant::now();
            for (ending, time) in endings {
                end(&mut limits, keys[0], ending, now, ms(time));
                now += ms(time);
            }
            assert_eq!(count_first(&limits, &keys, now), 0);
        }
    };
}

far_server_is_chosen! {
    slow_replies: [(AttemptOutcome::Replied, 230); 6],
    shed_requests: [(AttemptOutcome::Shed, 1); 6],
    attempts_given_up: [(AttemptOutcome::Cancelled, 300); 6],
}

/// Guards against waiting for a server that stands still until reply times show it, by when every query has met it.
#[test]
fn server_that_stands_still_is_left_at_once() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    let now = Instant::now();
    let permit = limits.acquire(keys[0], now).unwrap();
    assert_eq!(count_first(&limits, &keys, now + USUAL), PICKS);
    assert_eq!(count_first(&limits, &keys, now + 3 * USUAL), 0);
    limits.release(permit, AttemptOutcome::Replied, now + 4 * USUAL);
}

/// Guards against paying for far servers after a near one has gone on: a pause is over when its replies come.
#[test]
fn server_that_goes_on_is_used_again_at_once() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..10 {
        end(&mut limits, keys[0], AttemptOutcome::Replied, now, USUAL);
        now += USUAL + ms(1);
    }
    let sent =
        [1, 100, 200].map(|at| (now + ms(at), limits.acquire(keys[0], now + ms(at)).unwrap()));
    for (_, permit) in sent {
        limits.release(permit, AttemptOutcome::Replied, now + ms(300));
    }
    assert_eq!(count_first(&limits, &keys, now + ms(300)), PICKS);
}

/// Guards against a server that is slow throughout being taken for one that pauses again and again.
#[test]
fn slow_server_is_not_taken_for_a_paused_one() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..10 {
        end(&mut limits, keys[0], AttemptOutcome::Replied, now, USUAL);
        now += USUAL + ms(1);
    }
    for _ in 0..3 {
        end(
            &mut limits,
            keys[0],
            AttemptOutcome::Replied,
            now,
            8 * USUAL,
        );
        now += 8 * USUAL + ms(1);
    }
    assert_eq!(count_first(&limits, &keys, now), 0);
}

/// Guards against giving a server up for good because it was slow once.
#[test]
fn slow_server_is_tried_again() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..6 {
        end(&mut limits, keys[0], AttemptOutcome::Replied, now, ms(230));
        now += ms(230);
    }
    assert!(count_first(&limits, &keys, now + ms(2_000)) > 0);
}

/// Guards against a deployment whose regions are nearer, or farther, than the first one's.
#[test]
fn way_to_other_regions_is_learned() {
    let (mut limits, keys) = create(&["zurich", "lugano"]);
    for _ in 0..100 {
        limits.record_rtt(keys[1], ms(80));
    }
    assert!(
        (ms(76)..ms(81)).contains(&limits.extra_rtt(keys[1])),
        "{:?}",
        limits.extra_rtt(keys[1])
    );
    for _ in 0..100 {
        limits.record_rtt(keys[1], ms(6));
        limits.record_rtt(keys[0], ms(1));
    }
    assert!(
        (ms(4)..ms(7)).contains(&limits.extra_rtt(keys[1])),
        "{:?}",
        limits.extra_rtt(keys[1])
    );
    assert_eq!(limits.extra_rtt(keys[0]), Duration::ZERO);
}

/// Guards against one of several equal servers getting everything.
#[test]
fn equal_servers_are_used_in_turn() {
    let (limits, keys) = create(&["zurich", "zurich"]);
    let first = count_first(&limits, &keys, Instant::now());
    assert!((30..=70).contains(&first), "{first} of {PICKS}");
}
