//! Tests of the governor's call budget, backoff and circuit breaker.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

use store::Denied;
use store::Governor;
use store::GovernorOptions;

const MS: Duration = Duration::from_millis(1);

fn options() -> GovernorOptions {
    GovernorOptions {
        rate: 10.0,
        burst: 5,
        failure_threshold: 3,
        base_delay: 100 * MS,
        max_delay: 1000 * MS,
        trial_timeout: 500 * MS,
    }
}

/// Returns a governor whose breaker is open, and the time from which it allows a trial call.
fn open_breaker(now: Instant, rng: &mut Pcg64) -> (Governor, Instant) {
    let mut governor = Governor::new(options(), now);
    let mut delay = Duration::ZERO;
    for _ in 0..3 {
        let permit = governor.admit(now).unwrap();
        delay = governor.record_result(permit, false, now, rng);
    }
    (governor, now + delay)
}

/// Guards against a breaker that stays closed while the platform fails, or that admits more than one trial call.
#[rstest]
#[case::trial_succeeds(true)]
#[case::trial_fails(false)]
fn test_breaker_admits_a_single_trial(#[case] healthy: bool) {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(1);
    let (mut governor, until) = open_breaker(now, &mut rng);
    assert!(matches!(governor.admit(now), Err(Denied::Open { .. })));
    let trial = governor.admit(until).unwrap();
    assert!(trial.is_trial());
    assert!(matches!(
        governor.admit(until),
        Err(Denied::HalfOpen { .. })
    ));
    governor.record_result(trial, healthy, until, &mut rng);
    let next = governor.admit(until);
    assert_eq!(next.is_ok_and(|permit| !permit.is_trial()), healthy);
}

/// Guards against a breaker that closes on the late success of a call that was sent before the outage.
#[test]
fn test_late_success_leaves_the_breaker_open() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(2);
    let mut governor = Governor::new(options(), now);
    let late = governor.admit(now).unwrap();
    for _ in 0..3 {
        let permit = governor.admit(now).unwrap();
        governor.record_result(permit, false, now, &mut rng);
    }
    governor.record_result(late, true, now, &mut rng);
    assert!(matches!(governor.admit(now), Err(Denied::Open { .. })));
}

/// Guards against a breaker that never closes because the trial call was dropped without a result.
#[test]
fn test_dropped_trial_is_replaced() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(3);
    let (mut governor, until) = open_breaker(now, &mut rng);
    let dropped = governor.admit(until).unwrap();
    let trial = governor.admit(until + 500 * MS).unwrap();
    governor.record_result(dropped, false, until + 500 * MS, &mut rng);
    governor.record_result(trial, true, until + 500 * MS, &mut rng);
    assert!(governor.admit(until + 500 * MS).is_ok());
}

/// Fixes the seed, so that every run tests the same cases.
fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against a bucket that admits more calls than the budget allows in any interval.
    #[test]
    fn test_calls_stay_within_the_budget(gaps in prop::collection::vec(prop_oneof![9 => 0_u32..40, 1 => 0_u32..3000], 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut rng = Pcg64::seed_from_u64(4);
        let mut governor = Governor::new(options(), start);
        let mut admitted = Vec::new();
        for gap in gaps {
            now += gap * MS;
            if let Ok(permit) = governor.admit(now) {
                governor.record_result(permit, true, now, &mut rng);
                admitted.push(now);
            }
        }
        for (first, from) in admitted.iter().enumerate() {
            for (last, to) in admitted.iter().enumerate().skip(first) {
                let allowed = 5.0 + 10.0 * (*to - *from).as_secs_f64() + 1e-6;
                prop_assert!((last - first + 1) as f64 <= allowed);
            }
        }
    }

    /// Guards against a delay above its bound, and against delays without jitter.
    #[test]
    fn test_backoff_is_bounded_and_jittered(seed in any::<u64>()) {
        let mut now = Instant::now();
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut governor = Governor::new(options(), now);
        let mut delays = Vec::new();
        for failures in 0..12_u32 {
            let permit = governor.admit(now).unwrap();
            let delay = governor.record_result(permit, false, now, &mut rng);
            prop_assert!(delay <= (100 * MS * 2_u32.pow(failures)).min(1000 * MS));
            now += 1000 * MS;
            delays.push(delay);
        }
        delays.sort_unstable();
        delays.dedup();
        prop_assert!(delays.len() > 6, "{delays:?}");
    }
}
