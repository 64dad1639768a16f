//! The choice of the replica with the smallest expected reply time: near ones first, far ones when they are better.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use limit::AttemptOutcome;
use limit::GateKey;
use limit::Limits;
use limit::Tuning;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const TYPICAL: Duration = Duration::from_millis(28);

const PICKS: usize = 100;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn create_limits(zones: &[&str]) -> (Limits, Vec<GateKey>) {
    let mut limits = Limits::new("zurich".into(), "ch".into(), Tuning::default());
    let add = |(index, zone): (usize, &&str)| {
        let upstream = Upstream {
            id: format!("u{index}").into(),
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
        .filter(|_| {
            limits.pick_fastest(keys.iter().copied(), TYPICAL, now, &mut rng) == Ok(keys[0])
        })
        .count()
}

fn run_attempt(
    limits: &mut Limits,
    key: GateKey,
    outcome: AttemptOutcome,
    sent: Instant,
    time: Duration,
) {
    let permit = limits.acquire(key, sent).unwrap();
    limits.release(permit, outcome, sent + time);
}

/// Guards against the round trip to another region while the near server is idle and as fast as usual.
#[test]
fn idle_near_server_is_always_chosen() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
    let now = Instant::now();
    assert_eq!(count_first(&limits, &keys, now), PICKS);
    run_attempt(&mut limits, keys[0], AttemptOutcome::Replied, now, TYPICAL);
    assert_eq!(count_first(&limits, &keys, now + TYPICAL), PICKS);
}

macro_rules! far_server_is_chosen {
    ($($name:ident: $outcomes:expr,)+) => {
        /// Guards against using a near server whose recent attempts were slow or failed.
        #[rstest]
        $(#[case::$name($outcomes)])+
        fn far_server_is_chosen_after(#[case] outcomes: [(AttemptOutcome, u64); 6]) {
            let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
            let mut now = Instant::now();
            for (outcome, time) in outcomes {
                run_attempt(&mut limits, keys[0], outcome, now, ms(time));
                now += ms(time);
            }
            assert_eq!(count_first(&limits, &keys, now), 0);
        }
    };
}

far_server_is_chosen! {
    slow_replies: [(AttemptOutcome::Replied, 230); 6],
    shed_requests: [(AttemptOutcome::Shed, 1); 6],
    abandoned_attempts: [(AttemptOutcome::Cancelled, 300); 6],
}

/// Guards against using a stalled server until its reply times show the stall, when every query already waits for it.
#[test]
fn stalled_server_is_avoided_at_once() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
    let now = Instant::now();
    let permit = limits.acquire(keys[0], now).unwrap();
    assert_eq!(count_first(&limits, &keys, now + TYPICAL), PICKS);
    assert_eq!(count_first(&limits, &keys, now + 3 * TYPICAL), 0);
    limits.release(permit, AttemptOutcome::Replied, now + 4 * TYPICAL);
}

/// Guards against using far servers after a near one has resumed: its replies show that the pause is over.
#[test]
fn resumed_server_is_used_again_at_once() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..10 {
        run_attempt(&mut limits, keys[0], AttemptOutcome::Replied, now, TYPICAL);
        now += TYPICAL + ms(1);
    }
    let sent =
        [1, 100, 200].map(|at| (now + ms(at), limits.acquire(keys[0], now + ms(at)).unwrap()));
    for (_, permit) in sent {
        limits.release(permit, AttemptOutcome::Replied, now + ms(300));
    }
    assert_eq!(count_first(&limits, &keys, now + ms(300)), PICKS);
}

/// Guards against mistaking a server that is slow throughout for one that pauses repeatedly.
#[test]
fn slow_server_is_not_mistaken_for_a_paused_one() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..10 {
        run_attempt(&mut limits, keys[0], AttemptOutcome::Replied, now, TYPICAL);
        now += TYPICAL + ms(1);
    }
    for _ in 0..3 {
        run_attempt(
            &mut limits,
            keys[0],
            AttemptOutcome::Replied,
            now,
            8 * TYPICAL,
        );
        now += 8 * TYPICAL + ms(1);
    }
    assert_eq!(count_first(&limits, &keys, now), 0);
}

/// Guards against never using a server again because it was slow once.
#[test]
fn slow_server_is_tried_again() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
    let mut now = Instant::now();
    for _ in 0..6 {
        run_attempt(&mut limits, keys[0], AttemptOutcome::Replied, now, ms(230));
        now += ms(230);
    }
    assert!(count_first(&limits, &keys, now + ms(2_000)) > 0);
}

/// Guards against assuming the default round-trip times in deployments whose regions are nearer or farther apart.
#[test]
fn round_trip_to_other_regions_is_measured() {
    let (mut limits, keys) = create_limits(&["zurich", "lugano"]);
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

/// Guards against sending everything to one of several equal servers.
#[test]
fn equal_servers_share_the_load() {
    let (limits, keys) = create_limits(&["zurich", "zurich"]);
    let first = count_first(&limits, &keys, Instant::now());
    assert!((30..=70).contains(&first), "{first} of {PICKS}");
}

/// Guards against a server that is avoided, and whose limit is cut, because this node could not send to it for reasons of
/// its own, such as a deadline that has passed.
#[test]
fn unsent_attempts_say_nothing_about_the_server() {
    let (mut limits, keys) = create_limits(&["zurich", "far"]);
    let now = Instant::now();
    let concurrency = |limits: &Limits| {
        let gate = limits.gate(keys[0]).unwrap();
        (gate.concurrency(limits.tuning(), now), gate.in_flight())
    };
    let before = concurrency(&limits);
    for _ in 0..6 {
        run_attempt(&mut limits, keys[0], AttemptOutcome::Unsent, now, ms(1));
    }
    assert_eq!(count_first(&limits, &keys, now + ms(10)), PICKS);
    assert_eq!(concurrency(&limits), before);
}
