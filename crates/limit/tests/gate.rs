//! Rules of the gate in front of an upstream and of the budget of a service.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use base::UpstreamState;
use limit::Blocked;
use limit::Budget;
use limit::Ending;
use limit::Gate;
use limit::GateKey;
use limit::Limits;
use limit::Tuning;
use limit::connection_share;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const SLOTS: u32 = 4;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn create_limits(tuning: Tuning) -> (Limits, GateKey, Instant) {
    let upstream = Upstream {
        id: "u1".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        zone: "zurich".into(),
        region: "ch".into(),
        slots: SLOTS,
        connections: 90,
    };
    let mut limits = Limits::new("zurich".into(), "ch".into(), tuning);
    let key = limits.set_upstream(&upstream, Some(10));
    (limits, key, Instant::now())
}

/// Sends one attempt at a time, each of which ends after the given time; returns the moment after the last.
fn run(limits: &mut Limits, key: GateKey, from: Instant, ends: &[(Ending, u64)]) -> Instant {
    let mut now = from;
    for &(ending, time) in ends {
        let permit = limits.acquire(key, now).unwrap();
        now += ms(time);
        limits.release(permit, ending, now);
    }
    now
}

/// Takes permits until the gate blocks; returns how many there were and why it stopped.
fn fill(limits: &mut Limits, key: GateKey, now: Instant) -> (u32, Blocked) {
    for count in 0..1000 {
        match limits.acquire(key, now) {
            Ok(permit) => drop(permit),
            Err(blocked) => return (count, blocked),
        }
    }
    (1000, Blocked::Unknown)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more connections than a server accepts when every node uses its whole share, and against a
    /// reserve that is used up before a view differs or a replacement overlaps.
    #[test]
    fn shares_leave_the_reserve(connections in 0_u32..2000, nodes in 1_u32..600) {
        let sum = connection_share(connections, nodes) * nodes;
        prop_assert!(sum * 100 <= connections * 80);
    }

    /// Guards against hedges beyond the declared fraction of the primaries that completed.
    #[test]
    fn budget_bounds_hedges(rate in 0.0_f64..0.5, primaries in 0_u32..2000) {
        let mut budget = Budget::default();
        let mut taken = 0;
        for _ in 0..primaries {
            budget.earn(rate, 0.0);
            taken += u32::from(budget.take_hedge());
        }
        prop_assert!(f64::from(taken) <= 5.0 + rate * f64::from(primaries) + 1e-6);
    }

    /// Guards against a quantile that is off by more than the width of a bucket.
    #[test]
    fn quantile_is_close(mut times in prop::collection::vec(1_u64..4000, 40..400)) {
        let (mut limits, key, now) = create_limits(Tuning::OFF);
        let ends: Vec<_> = times.iter().map(|time| (Ending::Replied, *time)).collect();
        run(&mut limits, key, now, &ends);
        times.sort_unstable();
        let exact = times[(times.len() * 9).div_ceil(10) - 1] as f64;
        let found = limits.quantile(key, 0.9).unwrap().as_secs_f64() * 1e3;
        prop_assert!(found >= exact * 0.99 && found <= exact * 1.13, "{found} for {exact}");
    }
}

/// Guards against counting a refused connection as a failure of the server, and against ignoring it.
#[rstest]
#[case::refused(true, &[Ending::Refused], (4, Blocked::Share))]
#[case::failed(true, &[Ending::Failed; 3], (0, Blocked::Paused))]
#[case::rejected(true, &[Ending::Rejected; 3], (10, Blocked::Share))]
#[case::switched_off(false, &[Ending::Refused], (1000, Blocked::Unknown))]
fn refused_connection_cuts_share(
    #[case] share: bool,
    #[case] ends: &[Ending],
    #[case] expected: (u32, Blocked),
) {
    let tuning = Tuning {
        share,
        adaptive: false,
        ..Tuning::default()
    };
    let (mut limits, key, now) = create_limits(tuning);
    let open: Vec<_> = (0..4).map(|_| limits.acquire(key, now).unwrap()).collect();
    for ending in ends {
        run(&mut limits, key, now, &[(*ending, 0)]);
    }
    for permit in open {
        limits.release(permit, Ending::Cancelled, now);
    }
    assert_eq!(fill(&mut limits, key, now), expected);
}

/// Guards against a share that stays cut after one burst of connections by others.
#[rstest]
fn cut_share_grows_back() {
    let (mut limits, key, now) = create_limits(Tuning::default());
    run(&mut limits, key, now, &[(Ending::Refused, 1)]);
    assert_eq!(fill(&mut limits, key, now), (1, Blocked::Share));
    assert_eq!(fill(&mut limits, key, now + ms(5_002)).0, 1);
    assert_eq!(fill(&mut limits, key, now + ms(11_000)).0, 1);
}

/// Guards against queueing at a server that is full (no decrease), and against taking varied service times for a
/// queue (a decrease without one).
#[rstest]
#[case::standing_queue(Tuning::default(), [9, 10, 11, 12], 1)]
#[case::varied_times(Tuning::default(), [2, 30, 4, 60], SLOTS)]
#[case::switched_off(Tuning { adaptive: false, ..Tuning::default() }, [9, 10, 11, 12], u32::from(u16::MAX))]
fn concurrency_follows_queueing(
    #[case] tuning: Tuning,
    #[case] times: [u64; 4],
    #[case] expected: u32,
) {
    let (mut limits, key, mut now) = create_limits(tuning);
    now = run(&mut limits, key, now, &[(Ending::Replied, 2); 8]);
    for _ in 0..16 {
        now = run(
            &mut limits,
            key,
            now,
            &times.map(|time| (Ending::Replied, time)),
        );
    }
    assert_eq!(
        limits.gate(key).unwrap().concurrency(&tuning, now),
        expected
    );
}

/// Guards against a limit that never grows although the server has room, or grows beyond what it can queue.
#[rstest]
fn concurrency_grows_when_used() {
    let (mut limits, key, mut now) = create_limits(Tuning::default());
    for _ in 0..100 {
        let mut permits = Vec::new();
        while let Ok(permit) = limits.acquire(key, now) {
            permits.push(permit);
        }
        now += ms(2);
        for permit in permits {
            limits.release(permit, Ending::Replied, now);
        }
    }
    assert_eq!(fill(&mut limits, key, now), (2 * SLOTS, Blocked::Limit));
}

/// Guards against full load on a server whose caches are not warm.
#[rstest]
#[case::ramp(Tuning::default(), [1, 2, SLOTS])]
#[case::switched_off(Tuning { ramp: false, ..Tuning::default() }, [SLOTS; 3])]
fn cold_start_is_ramped(#[case] tuning: Tuning, #[case] expected: [u32; 3]) {
    let (mut limits, key, now) = create_limits(tuning);
    limits.note_state(key, UpstreamState::Cold, now, now);
    let gate = limits.gate(key).unwrap();
    let found = [0, 2_600, 5_100].map(|at| gate.concurrency(&tuning, now + ms(at)));
    assert_eq!(found, expected);
}

/// Guards against new work for an upstream that is leaving, also when an older reply that says `live` comes late.
#[rstest]
#[case::first_reply(Tuning::default(), None, Err(Blocked::Draining))]
#[case::late_live(Tuning::default(), Some(0), Err(Blocked::Draining))]
#[case::back_in_service(Tuning::default(), Some(20), Ok(()))]
#[case::switched_off(Tuning { drain: false, ..Tuning::default() }, None, Ok(()))]
fn draining_gets_no_work(
    #[case] tuning: Tuning,
    #[case] live_sent: Option<u64>,
    #[case] expected: Result<(), Blocked>,
) {
    let (mut limits, key, now) = create_limits(tuning);
    limits.note_state(key, UpstreamState::Draining, now, now + ms(10));
    if let Some(sent) = live_sent {
        limits.note_state(key, UpstreamState::Live, now + ms(sent), now + ms(30));
    }
    assert_eq!(limits.check(key, now + ms(30)), expected);
}

/// Guards against hammering a failed upstream, against more than one trial, and against a pause that never ends.
#[rstest]
fn failed_upstream_gets_one_trial() {
    let (mut limits, key, now) = create_limits(Tuning::default());
    let failed = run(&mut limits, key, now, &[(Ending::Failed, 0); 3]);
    assert_eq!(limits.check(key, failed + ms(199)), Err(Blocked::Paused));
    let retry = failed + ms(200);
    let trial = limits.acquire(key, retry).unwrap();
    assert_eq!(limits.check(key, retry), Err(Blocked::Paused));
    limits.release(trial, Ending::Failed, retry);
    assert_eq!(limits.check(key, retry + ms(399)), Err(Blocked::Paused));
    let trial = limits.acquire(key, retry + ms(400)).unwrap();
    limits.release(trial, Ending::Replied, retry + ms(401));
    assert_eq!(fill(&mut limits, key, retry + ms(401)).0, SLOTS);
}

/// Guards against a pause without the mechanism, which would make the benchmark's baseline too good.
#[rstest]
fn backoff_can_be_switched_off() {
    let (mut limits, key, now) = create_limits(Tuning::OFF);
    run(&mut limits, key, now, &[(Ending::Failed, 0); 9]);
    assert_eq!(limits.check(key, now), Ok(()));
}

/// Guards against what is known of held versions going back in time when replies overtake each other.
#[rstest]
fn older_report_of_held_versions_is_ignored() {
    let (mut limits, key, now) = create_limits(Tuning::default());
    assert_eq!(limits.holds(key, 2), None);
    limits.learn_held(key, &[1, 2], now + ms(5));
    limits.learn_held(key, &[1], now);
    assert_eq!(limits.holds(key, 2), Some(true));
}

/// Guards against gates that take the memory of a node that keeps 4,300 of them.
///
/// An eighth of the node's 32 MB is left to them, which is 975 bytes each.
#[rstest]
fn gate_is_small() {
    let size = size_of::<Gate>();
    assert!(size * 4_300 <= 32_000_000 / 8, "{size} bytes");
}
