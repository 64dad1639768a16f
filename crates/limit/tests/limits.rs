//! Gates, the choice among replicas, and the hedge and retry budget of a service.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use base::UpstreamState;
use limit::AttemptOutcome;
use limit::Blocked;
use limit::Gate;
use limit::GateKey;
use limit::Limits;
use limit::ServiceBudget;
use limit::Tuning;
use limit::connection_share;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SLOTS: u32 = 4;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Creates the limits of a node in zurich with one upstream in each of `zones`.
fn create_limits(
    tune: impl FnOnce(&mut Tuning),
    zones: &[&str],
) -> (Limits, Vec<GateKey>, Instant) {
    let mut tuning = Tuning::default();
    tune(&mut tuning);
    let mut limits = Limits::new("zurich".into(), "ch".into(), tuning);
    let mut add = |(index, zone): (usize, &&str)| {
        let upstream = Upstream {
            id: format!("u{index}").into(),
            addr: "127.0.0.1:9001".parse().unwrap(),
            zone: (*zone).into(),
            region: if *zone == "attiki" { "gr" } else { "ch" }.into(),
            slots: SLOTS,
            connections: 90,
        };
        limits.set_upstream(&upstream, Some(10))
    };
    let keys = zones.iter().enumerate().map(&mut add).collect();
    (limits, keys, Instant::now())
}

fn create_gate(tune: impl FnOnce(&mut Tuning)) -> (Limits, GateKey, Instant) {
    let (limits, keys, now) = create_limits(tune, &["zurich"]);
    (limits, keys[0], now)
}

/// Runs attempts one after the other, each with the given outcome and milliseconds; returns the time after the last.
fn run_attempts(
    limits: &mut Limits,
    key: GateKey,
    mut now: Instant,
    attempts: &[(AttemptOutcome, u64)],
) -> Instant {
    for &(outcome, time) in attempts {
        let permit = limits.acquire(key, now).unwrap();
        now += ms(time);
        limits.release(permit, outcome, now);
    }
    now
}

/// Acquires permits without releasing them until the gate blocks; returns their number and the reason.
fn fill_gate(limits: &mut Limits, key: GateKey, now: Instant) -> (u32, Blocked) {
    for count in 0..1000 {
        if let Err(blocked) = limits.acquire(key, now) {
            return (count, blocked);
        }
    }
    (1000, Blocked::Unknown)
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

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more connections than a server accepts, and against shares that use up the reserve for nodes
    /// whose views differ and for VMs that overlap with their replacement.
    #[test]
    fn shares_leave_the_reserve(connections in 0_u32..2000, nodes in 1_u32..600) {
        prop_assert!(connection_share(connections, nodes) * nodes * 100 <= connections * 80);
    }

    /// Guards against more hedges than the declared fraction of completed primaries.
    #[test]
    fn budget_bounds_hedges(rate in 0.0_f64..0.5, primaries in 0_u32..2000) {
        let mut budget = ServiceBudget::default();
        let mut hedges = 0.0;
        for _ in 0..primaries {
            budget.earn(rate, 0.0);
            hedges += f64::from(u8::from(budget.spend_hedge()));
        }
        prop_assert!(hedges <= 5.0 + rate * f64::from(primaries) + 1e-6);
    }

    /// Guards against a quantile that is off by more than the width of a bucket.
    #[test]
    fn quantile_is_accurate(mut times in prop::collection::vec(1_u64..4000, 40..400)) {
        let (mut limits, key, now) = create_gate(|tuning| *tuning = Tuning::OFF);
        let attempts: Vec<_> = times.iter().map(|time| (AttemptOutcome::Replied, *time)).collect();
        run_attempts(&mut limits, key, now, &attempts);
        times.sort_unstable();
        let exact = times[(times.len() * 9).div_ceil(10) - 1] as f64;
        let found = limits.quantile(key, 0.9).unwrap().as_secs_f64() * 1e3;
        prop_assert!(found >= exact * 0.99 && found <= exact * 1.13, "{found} for {exact}");
    }
}

/// Guards against quantiles that keep old reply times for ever, and against ones that miss the slow replies that hedges
/// replace.
#[rstest]
#[case::old_times_lose_weight(600, AttemptOutcome::Replied, 4_000, 2)]
#[case::abandoned_attempts_count(40, AttemptOutcome::Cancelled, 20, 90)]
fn quantile_follows_reply_times(
    #[case] slow: usize,
    #[case] outcome: AttemptOutcome,
    #[case] fast: usize,
    #[case] expected_ms: u64,
) {
    let (mut limits, key, now) = create_gate(|tuning| *tuning = Tuning::OFF);
    let now = run_attempts(&mut limits, key, now, &vec![(outcome, 90); slow]);
    run_attempts(
        &mut limits,
        key,
        now,
        &vec![(AttemptOutcome::Replied, 2); fast],
    );
    let found = limits.quantile(key, 0.95).unwrap().as_secs_f64() * 1e3;
    assert!(
        found >= expected_ms as f64 && found < expected_ms as f64 * 1.13,
        "{found} ms"
    );
}

/// Guards against treating a refused connection as a failure of the server, and against ignoring it.
#[rstest]
#[case::refused(true, &[AttemptOutcome::Refused], (4, Blocked::Share))]
#[case::failed(true, &[AttemptOutcome::Failed; 3], (0, Blocked::Paused))]
#[case::failed_switched_off(false, &[AttemptOutcome::Failed; 3], (1000, Blocked::Unknown))]
#[case::rejected(true, &[AttemptOutcome::Rejected; 3], (10, Blocked::Share))]
#[case::switched_off(false, &[AttemptOutcome::Refused], (1000, Blocked::Unknown))]
fn refused_connection_reduces_share(
    #[case] active: bool,
    #[case] outcomes: &[AttemptOutcome],
    #[case] expected: (u32, Blocked),
) {
    let (mut limits, key, now) = create_gate(|tuning| {
        tuning.share = active;
        tuning.adaptive = false;
        tuning.backoff = active;
    });
    let permits: Vec<_> = (0..4).map(|_| limits.acquire(key, now).unwrap()).collect();
    for outcome in outcomes {
        run_attempts(&mut limits, key, now, &[(*outcome, 0)]);
    }
    for permit in permits {
        limits.release(permit, AttemptOutcome::Cancelled, now);
    }
    assert_eq!(fill_gate(&mut limits, key, now), expected);
}

/// Guards against a share that stays reduced after one burst of connections from other nodes.
#[rstest]
fn reduced_share_grows_back() {
    let (mut limits, key, now) = create_gate(|_| ());
    run_attempts(&mut limits, key, now, &[(AttemptOutcome::Refused, 1)]);
    assert_eq!(fill_gate(&mut limits, key, now), (1, Blocked::Share));
    assert_eq!(fill_gate(&mut limits, key, now + ms(5_002)).0, 1);
    assert_eq!(fill_gate(&mut limits, key, now + ms(11_000)).0, 1);
}

/// Guards against queueing at a full server, against mistaking varied service times for a queue, and against dropping
/// the recent minimum too early.
#[rstest]
#[case::standing_queue(true, 8, [9, 10, 11, 12], 1)]
#[case::minimum_is_kept(true, 8 * 32, [9, 10, 11, 12], 1)]
#[case::varied_times(true, 8, [2, 30, 4, 60], SLOTS)]
#[case::switched_off(false, 8, [9, 10, 11, 12], u32::from(u16::MAX))]
fn concurrency_follows_queueing(
    #[case] adaptive: bool,
    #[case] fast: usize,
    #[case] times: [u64; 4],
    #[case] expected: u32,
) {
    let (mut limits, key, now) = create_gate(|tuning| tuning.adaptive = adaptive);
    let mut now = run_attempts(
        &mut limits,
        key,
        now,
        &vec![(AttemptOutcome::Replied, 2); fast],
    );
    for _ in 0..16 {
        now = run_attempts(
            &mut limits,
            key,
            now,
            &times.map(|time| (AttemptOutcome::Replied, time)),
        );
    }
    assert_eq!(
        limits.gate(key).unwrap().concurrency(limits.tuning(), now),
        expected
    );
}

/// Guards against a limit that never grows although the server has spare capacity, or grows beyond what it may queue.
#[rstest]
fn concurrency_grows_when_used() {
    let (mut limits, key, mut now) = create_gate(|_| ());
    for _ in 0..100 {
        let permits: Vec<_> = std::iter::from_fn(|| limits.acquire(key, now).ok()).collect();
        now += ms(2);
        for permit in permits {
            limits.release(permit, AttemptOutcome::Replied, now);
        }
    }
    assert_eq!(
        fill_gate(&mut limits, key, now),
        (2 * SLOTS, Blocked::Limit)
    );
}

/// Guards against full load on a server whose caches are cold.
#[rstest]
#[case::ramp(true, [1, 2, SLOTS])]
#[case::switched_off(false, [SLOTS; 3])]
fn cold_upstream_ramps_up(#[case] ramp: bool, #[case] expected: [u32; 3]) {
    let (mut limits, key, now) = create_gate(|tuning| tuning.ramp = ramp);
    limits.record_state(key, UpstreamState::Cold, now, now);
    let gate = limits.gate(key).unwrap();
    let found = [0, 2_600, 5_100].map(|at| gate.concurrency(limits.tuning(), now + ms(at)));
    assert_eq!(found, expected);
}

/// Guards against new attempts to a draining upstream, also when an older reply that says `live` arrives late.
#[rstest]
#[case::first_reply(true, None, Err(Blocked::Draining))]
#[case::late_live(true, Some(0), Err(Blocked::Draining))]
#[case::back_in_service(true, Some(20), Ok(()))]
#[case::switched_off(false, None, Ok(()))]
fn draining_upstream_gets_no_attempts(
    #[case] drain: bool,
    #[case] live_sent: Option<u64>,
    #[case] expected: Result<(), Blocked>,
) {
    let (mut limits, key, now) = create_gate(|tuning| tuning.drain = drain);
    limits.record_state(key, UpstreamState::Draining, now, now + ms(10));
    if let Some(sent) = live_sent {
        limits.record_state(key, UpstreamState::Live, now + ms(sent), now + ms(30));
    }
    assert_eq!(limits.check(key, now + ms(30)), expected);
}

/// Guards against repeated attempts to a failed upstream, against more than one trial at a time, and against a pause
/// that never ends.
#[rstest]
fn failed_upstream_gets_one_trial() {
    let (mut limits, key, now) = create_gate(|_| ());
    run_attempts(&mut limits, key, now, &[(AttemptOutcome::Failed, 0); 3]);
    assert_eq!(limits.check(key, now + ms(199)), Err(Blocked::Paused));
    let trial = limits.acquire(key, now + ms(200)).unwrap();
    assert_eq!(limits.check(key, now + ms(200)), Err(Blocked::Paused));
    limits.release(trial, AttemptOutcome::Failed, now + ms(200));
    assert_eq!(limits.check(key, now + ms(599)), Err(Blocked::Paused));
    run_attempts(
        &mut limits,
        key,
        now + ms(600),
        &[(AttemptOutcome::Replied, 1)],
    );
    assert_eq!(fill_gate(&mut limits, key, now + ms(601)).0, SLOTS);
}

/// Guards against sending attempts into a partitioned zone, where they neither get a reply nor fail, for as long as the
/// partition lasts, and against mistaking an overloaded upstream, a slow reply or an early cancel for a partition.
#[rstest]
#[case::silent(true, 3, 30, false, Err(Blocked::Paused))]
#[case::too_few_attempts(true, 2, 30, false, Ok(()))]
#[case::cancelled_early(true, 3, 9, false, Ok(()))]
#[case::overloaded(true, 3, 30, true, Ok(()))]
#[case::switched_off(false, 3, 30, false, Ok(()))]
fn silent_upstream_is_paused(
    #[case] silence: bool,
    #[case] count: usize,
    #[case] abandoned_ms: u64,
    #[case] replies: bool,
    #[case] expected: Result<(), Blocked>,
) {
    let (mut limits, key, now) = create_gate(|tuning| tuning.silence = silence);
    let mut now = run_attempts(&mut limits, key, now, &[(AttemptOutcome::Replied, 10); 60]);
    now += ms(1);
    let permits: Vec<_> = (0..count)
        .map(|_| limits.acquire(key, now).unwrap())
        .collect();
    if replies {
        run_attempts(&mut limits, key, now, &[(AttemptOutcome::Replied, 25)]);
    }
    now += ms(abandoned_ms);
    for permit in permits {
        limits.release(permit, AttemptOutcome::Cancelled, now);
    }
    assert_eq!(limits.check(key, now), expected);
}

/// Guards against replacing the reported versions by older ones when replies arrive out of order.
#[rstest]
fn older_version_report_is_ignored() {
    let (mut limits, key, now) = create_gate(|_| ());
    assert_eq!(limits.holds(key, 2), None);
    limits.record_versions(key, &[1, 2], now + ms(5));
    limits.record_versions(key, &[1], now);
    assert_eq!(limits.holds(key, 2), Some(true));
}

/// Guards against a drain that is noticed late because an idle upstream isn't probed, and against needless probes.
#[rstest]
#[case::replied(AttemptOutcome::Replied, 0)]
#[case::shed(AttemptOutcome::Shed, 0)]
#[case::failed(AttemptOutcome::Failed, 1)]
fn silent_upstreams_are_listed(#[case] outcome: AttemptOutcome, #[case] expected: usize) {
    let (mut limits, key, now) = create_gate(|_| ());
    assert_eq!(limits.silent_upstreams(ms(1_000), now).count(), 1);
    let now = run_attempts(&mut limits, key, now, &[(outcome, 1)]);
    assert_eq!(
        limits.silent_upstreams(ms(1_000), now + ms(999)).count(),
        expected
    );
    assert_eq!(
        limits.silent_upstreams(ms(1_000), now + ms(1_000)).count(),
        1
    );
}

/// Guards against 4,300 gates that take more than an eighth of a node's 32 MB (975 bytes each).
#[rstest]
fn gate_is_small() {
    assert!(size_of::<Gate>() * 4_300 <= 32_000_000 / 8);
}

/// Guards against needless traffic between zones, and against missing shards that another zone can serve.
#[rstest]
#[case::own_zone(true, false, 10, [true, false, false])]
#[case::own_zone_within_round_trip(true, false, 11, [true, false, false])]
#[case::own_zone_slower(true, false, 15, [false, true, false])]
#[case::own_zone_full(true, true, 10, [false, true, false])]
#[case::own_zone_far_slower(true, false, 100, [false, true, false])]
#[case::switched_off(false, false, 10, [true, true, true])]
fn nearest_zone_is_preferred(
    #[case] zones: bool,
    #[case] full: bool,
    #[case] near_ms: u64,
    #[case] expected: [bool; 3],
) {
    let (mut limits, keys, now) = create_limits(
        |tuning| tuning.zones = zones,
        &["zurich", "lugano", "attiki"],
    );
    for (key, time) in keys.iter().zip([near_ms, 10, 10]) {
        run_attempts(&mut limits, *key, now, &[(AttemptOutcome::Replied, time)]);
    }
    while full && limits.acquire(keys[0], now).is_ok() {}
    let counts = count_picks(&limits, &keys, now + ms(100));
    assert_eq!([0, 1, 2].map(|at| counts[at] > 0), expected, "{counts:?}");
}

/// Guards against sending as much to a slow or busy replica as to the others, and against sending everything to the
/// replica that is faster by chance.
#[rstest]
#[case::slower(true, 30, 0, true)]
#[case::busier(true, 10, 1, true)]
#[case::busier_but_faster(true, 7, 1, true)]
#[case::switched_off(false, 30, 1, false)]
fn better_of_two_replicas_is_chosen(
    #[case] compare: bool,
    #[case] time: u64,
    #[case] in_flight: usize,
    #[case] avoided: bool,
) {
    let (mut limits, keys, now) = create_limits(|tuning| tuning.compare = compare, &["zurich"; 4]);
    for (key, time) in keys.iter().zip([time, 10, 10, 10]) {
        run_attempts(&mut limits, *key, now, &[(AttemptOutcome::Replied, time)]);
    }
    for _ in 0..in_flight {
        let _permit = limits.acquire(keys[0], now).unwrap();
    }
    let counts = count_picks(&limits, &keys, now + ms(30));
    assert_eq!(counts[0] == 0, avoided, "{counts:?}");
    assert!(counts[1..].iter().all(|count| *count > 50), "{counts:?}");
}

/// Guards against never trying an upstream again that was slow once.
#[rstest]
fn slow_upstream_is_tried_again() {
    let (mut limits, keys, now) = create_limits(|_| (), &["zurich"; 2]);
    run_attempts(&mut limits, keys[0], now, &[(AttemptOutcome::Replied, 80)]);
    run_attempts(
        &mut limits,
        keys[1],
        now + ms(5_000),
        &[(AttemptOutcome::Replied, 10)],
    );
    assert!(count_picks(&limits, &keys, now + ms(5_010))[0] > 0);
}

/// Guards against a reason that makes a query fail although a replica becomes available soon.
#[rstest]
fn reason_that_passes_soonest_is_returned() {
    let (mut limits, keys, now) = create_limits(|_| (), &["zurich", "lugano"]);
    limits.record_state(keys[0], UpstreamState::Draining, now, now);
    fill_gate(&mut limits, keys[1], now);
    let picked = limits.pick(&keys, now, &mut Pcg64Mcg::new(7));
    assert_eq!(picked, Err(Blocked::Limit));
}

/// Guards against a service that lacks hedge tokens while other services of the node have a surplus, and against one
/// that spends the tokens that another service keeps for itself.
#[rstest]
#[case::shared(true, (true, 10))]
#[case::switched_off(false, (false, 50))]
fn surplus_hedge_tokens_are_shared(#[case] reserve: bool, #[case] expected: (bool, u32)) {
    let (mut limits, _, _) = create_limits(|tuning| tuning.reserve = reserve, &[]);
    let [idle, busy] = ["idle", "busy"].map(Into::into);
    (0..1_000).for_each(|_| limits.earn(&idle, 0.1, 0.0));
    let before = limits.plan_hedges(&busy, 0.03);
    let spent = std::iter::from_fn(|| limits.spend_hedge(&busy).then_some(())).count();
    let left = std::iter::from_fn(|| limits.spend_hedge(&idle).then_some(())).count();
    assert_eq!((spent > 5, left as u32), expected);
    assert!(limits.plan_hedges(&busy, 0.03) < before);
}
