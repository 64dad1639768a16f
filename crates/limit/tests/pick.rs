//! The choice among replicas.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use limit::Blocked;
use limit::Ending;
use limit::GateKey;
use limit::Limits;
use limit::Tuning;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn create_limits(tuning: Tuning, zones: &[&str]) -> (Limits, Vec<GateKey>, Instant) {
    let mut limits = Limits::new("zurich".into(), "ch".into(), tuning);
    let keys = zones
        .iter()
        .enumerate()
        .map(|(at, zone)| {
            let upstream = Upstream {
                id: format!("u{at}").into(),
                addr: "127.0.0.1:9001".parse().unwrap(),
                zone: (*zone).into(),
                region: if *zone == "attiki" { "gr" } else { "ch" }.into(),
                slots: 2,
                connections: 90,
            };
            limits.set_upstream(&upstream, Some(20))
        })
        .collect();
    (limits, keys, Instant::now())
}

fn reply(limits: &mut Limits, key: GateKey, now: Instant, time: Duration) {
    let permit = limits.acquire(key, now).unwrap();
    limits.release(permit, Ending::Replied, now + time);
}

fn count_picks(limits: &Limits, keys: &[GateKey], now: Instant) -> Vec<u32> {
    let mut rng = Pcg64Mcg::new(7);
    let mut counts = vec![0; keys.len()];
    for _ in 0..300 {
        let key = limits.pick(keys, now, &mut rng).unwrap();
        counts[keys.iter().position(|other| *other == key).unwrap()] += 1;
    }
    counts
}

/// Guards against traffic between zones that is not needed, and against missing shards that another zone can serve.
#[rstest]
#[case::own_zone(Tuning::default(), false, 10, [true, false, false])]
#[case::own_zone_full(Tuning::default(), true, 10, [false, true, false])]
#[case::own_zone_far_slower(Tuning::default(), false, 100, [false, true, false])]
#[case::zones_switched_off(Tuning { zones: false, compare: false, ..Tuning::default() }, false, 10, [true, true, true])]
fn nearest_zone_first(
    #[case] tuning: Tuning,
    #[case] full: bool,
    #[case] near_ms: u64,
    #[case] expected: [bool; 3],
) {
    let (mut limits, keys, now) = create_limits(tuning, &["zurich", "lugano", "attiki"]);
    for (key, time) in keys.iter().zip([near_ms, 10, 10]) {
        reply(&mut limits, *key, now, Duration::from_millis(time));
    }
    while full && limits.acquire(keys[0], now).is_ok() {}
    let later = now + Duration::from_millis(100);
    assert_eq!(
        count_picks(&limits, &keys, later)
            .iter()
            .map(|count| *count > 0)
            .collect::<Vec<_>>(),
        expected
    );
}

/// Guards against sending as much to a slow or busy replica as to the others.
#[rstest]
#[case::slower(Tuning::default(), 30, 0, true)]
#[case::busier(Tuning::default(), 10, 1, true)]
#[case::switched_off(Tuning { compare: false, ..Tuning::default() }, 30, 1, false)]
fn better_of_two(
    #[case] tuning: Tuning,
    #[case] time: u64,
    #[case] in_flight: usize,
    #[case] avoided: bool,
) {
    let (mut limits, keys, now) = create_limits(tuning, &["zurich"; 4]);
    for (at, key) in keys.iter().enumerate() {
        let time = if at == 0 { time } else { 10 };
        reply(&mut limits, *key, now, Duration::from_millis(time));
    }
    for _ in 0..in_flight {
        let _permit = limits.acquire(keys[0], now).unwrap();
    }
    let counts = count_picks(&limits, &keys, now + Duration::from_millis(30));
    assert_eq!(counts[0] == 0, avoided, "{counts:?}");
    assert!(counts[1..].iter().all(|count| *count > 50), "{counts:?}");
}

/// Guards against an upstream that was slow once and is never tried again.
#[rstest]
fn slow_upstream_is_tried_again() {
    let (mut limits, keys, now) = create_limits(Tuning::default(), &["zurich"; 2]);
    reply(&mut limits, keys[0], now, Duration::from_millis(80));
    let later = now + Duration::from_secs(5);
    reply(&mut limits, keys[1], later, Duration::from_millis(10));
    assert!(count_picks(&limits, &keys, later)[0] > 0);
}

/// Guards against a reason that tells a query to give up although a replica frees up in a moment.
#[rstest]
fn least_lasting_reason_is_given() {
    let (mut limits, keys, now) = create_limits(Tuning::default(), &["zurich", "lugano"]);
    limits.note_state(keys[0], base::UpstreamState::Draining, now, now);
    while limits.acquire(keys[1], now).is_ok() {}
    let mut rng = Pcg64Mcg::new(7);
    assert_eq!(limits.pick(&keys, now, &mut rng), Err(Blocked::Limit));
}
