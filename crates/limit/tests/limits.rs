//! Rules of the gates, of the choice among replicas, and of the budget of a service.

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

/// Creates the limits of a node in zurich with one upstream per zone given.
fn create_limits(
    tune: impl FnOnce(&mut Tuning),
    zones: &[&str],
) -> (Limits, Vec<GateKey>, Instant) {
    let mut tuning = Tuning::default();
    tune(&mut tuning);
    let mut limits = Limits::new("zurich".into(), "ch".into(), tuning);
    let mut add = |(at, zone): (usize, &&str)| {
        let upstream = Upstream {
            id: format!("u{at}").into(),
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

/// Sends one attempt after the other, each of which ends after the given time; returns the moment after the last.
fn run(
    limits: &mut Limits,
    key: GateKey,
    mut now: Instant,
    ends: &[(AttemptOutcome, u64)],
) -> Instant {
    for &(ending, time) in ends {
        let permit = limits.acquire(key, now).unwrap();
        now += ms(time);
        limits.release(permit, ending, now);
    }
    now
}

/// Takes permits for good until the gate blocks; returns how many there were and why it stopped.
fn fill(limits: &mut Limits, key: GateKey, now: Instant) -> (u32, Blocked) {
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

    /// Guards against more connections than a server accepts, and against a reserve that is used up before views
    /// differ or a replacement overlaps.
    #[test]
    fn shares_leave_the_reserve(connections in 0_u32..2000, nodes in 1_u32..600) {
        prop_assert!(connection_share(connections, nodes) * nodes * 100 <= connections * 80);
    }

    /// Guards against hedges beyond the declared fraction of the primaries that completed.
    #[test]
    fn budget_bounds_hedges(rate in 0.0_f64..0.5, primaries in 0_u32..2000) {
        let mut budget = ServiceBudget::default();
        let mut taken = 0.0;
        for _ in 0..primaries {
            budget.earn(rate, 0.0);
            taken += f64::from(u8::from(budget.spend_hedge()));
        }
        prop_assert!(taken <= 5.0 + rate * f64::from(primaries) + 1e-6);
    }

    /// Guards against a quantile that is off by more than the width of a bucket.
    #[test]
    fn quantile_is_close(mut times in prop::collection::vec(1_u64..4000, 40..400)) {
        let (mut limits, key, now) = create_gate(|tuning| *tuning = Tuning::OFF);
        let ends: Vec<_> = times.iter().map(|time| (AttemptOutcome::Replied, *time)).collect();
        run(&mut limits, key, now, &ends);
        times.sort_unstable();
        let exact = times[(times.len() * 9).div_ceil(10) - 1] as f64;
        let found = limits.quantile(key, 0.9).unwrap().as_secs_f64() * 1e3;
        prop_assert!(found >= exact * 0.99 && found <= exact * 1.13, "{found} for {exact}");
    }
}

/// Guards against quantiles that keep old reply times for ever, and against ones that never see the slow replies that
/// hedges replace.
#[rstest]
#[case::forgets(600, AttemptOutcome::Replied, 4_000, 2)]
#[case::counts_abandoned(40, AttemptOutcome::Cancelled, 20, 90)]
fn quantile_follows(
    #[case] slow: usize,
    #[case] ending: AttemptOutcome,
    #[case] fast: usize,
    #[case] at: u64,
) {
    let (mut limits, key, now) = create_gate(|tuning| *tuning = Tuning::OFF);
    let now = run(&mut limits, key, now, &vec![(ending, 90); slow]);
    run(
        &mut limits,
        key,
        now,
        &vec![(AttemptOutcome::Replied, 2); fast],
    );
    let found = limits.quantile(key, 0.95).unwrap().as_secs_f64() * 1e3;
    assert!(found >= at as f64 && found < at as f64 * 1.13, "{found} ms");
}

/// Guards against counting a refused connection as a failure of the server, and against ignoring it.
#[rstest]
#[case::refused(true, &[AttemptOutcome::Refused], (4, Blocked::Share))]
#[case::failed(true, &[AttemptOutcome::Failed; 3], (0, Blocked::Paused))]
#[case::failed_switched_off(false, &[AttemptOutcome::Failed; 3], (1000, Blocked::Unknown))]
#[case::rejected(true, &[AttemptOutcome::Rejected; 3], (10, Blocked::Share))]
#[case::switched_off(false, &[AttemptOutcome::Refused], (1000, Blocked::Unknown))]
fn refused_connection_cuts_share(
    #[case] active: bool,
    #[case] ends: &[AttemptOutcome],
    #[case] expected: (u32, Blocked),
) {
    let (mut limits, key, now) = create_gate(|tuning| {
        tuning.share = active;
        tuning.adaptive = false;
        tuning.backoff = active;
    });
    let open: Vec<_> = (0..4).map(|_| limits.acquire(key, now).unwrap()).collect();
    for ending in ends {
        run(&mut limits, key, now, &[(*ending, 0)]);
    }
    for permit in open {
        limits.release(permit, AttemptOutcome::Cancelled, now);
    }
    assert_eq!(fill(&mut limits, key, now), expected);
}

/// Guards against a share that stays cut after one burst of connections by others.
#[rstest]
fn cut_share_grows_back() {
    let (mut limits, key, now) = create_gate(|_| ());
    run(&mut limits, key, now, &[(AttemptOutcome::Refused, 1)]);
    assert_eq!(fill(&mut limits, key, now), (1, Blocked::Share));
    assert_eq!(fill(&mut limits, key, now + ms(5_002)).0, 1);
    assert_eq!(fill(&mut limits, key, now + ms(11_000)).0, 1);
}

/// Guards against queueing at a server that is full, against taking varied service times for a queue, and against
/// forgetting the recent minimum at once.
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
    let mut now = run(
        &mut limits,
        key,
        now,
        &vec![(AttemptOutcome::Replied, 2); fast],
    );
    for _ in 0..16 {
        now = run(
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

/// Guards against a limit that never grows although the server has room, or grows beyond what it can queue.
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
    assert_eq!(fill(&mut limits, key, now), (2 * SLOTS, Blocked::Limit));
}

/// Guards against full load on a server whose caches are not warm.
#[rstest]
#[case::ramp(true, [1, 2, SLOTS])]
#[case::switched_off(false, [SLOTS; 3])]
fn cold_start_is_ramped(#[case] ramp: bool, #[case] expected: [u32; 3]) {
    let (mut limits, key, now) = create_gate(|tuning| tuning.ramp = ramp);
    limits.record_state(key, UpstreamState::Cold, now, now);
    let gate = limits.gate(key).unwrap();
    let found = [0, 2_600, 5_100].map(|at| gate.concurrency(limits.tuning(), now + ms(at)));
    assert_eq!(found, expected);
}

/// Guards against new work for an upstream that is leaving, also when an older reply that says `live` comes late.
#[rstest]
#[case::first_reply(true, None, Err(Blocked::Draining))]
#[case::late_live(true, Some(0), Err(Blocked::Draining))]
#[case::back_in_service(true, Some(20), Ok(()))]
#[case::switched_off(false, None, Ok(()))]
fn draining_gets_no_work(
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

/// Guards against repeated attempts at a failed upstream, against more than one trial, and against a pause that never ends.
#[rstest]
fn failed_upstream_gets_one_trial() {
    let (mut limits, key, now) = create_gate(|_| ());
    run(&mut limits, key, now, &[(AttemptOutcome::Failed, 0); 3]);
    assert_eq!(limits.check(key, now + ms(199)), Err(Blocked::Paused));
    let trial = limits.acquire(key, now + ms(200)).unwrap();
    assert_eq!(limits.check(key, now + ms(200)), Err(Blocked::Paused));
    limits.release(trial, AttemptOutcome::Failed, now + ms(200));
    assert_eq!(limits.check(key, now + ms(599)), Err(Blocked::Paused));
    run(
        &mut limits,
        key,
        now + ms(600),
        &[(AttemptOutcome::Replied, 1)],
    );
    assert_eq!(fill(&mut limits, key, now + ms(601)).0, SLOTS);
}

/// Guards against attempts into a partitioned zone, which neither reply nor fail, for the whole time that it lasts, and
/// against taking an overloaded upstream, a slow reply or a reply that is not needed for one.
#[rstest]
#[case::silent(true, 3, 30, false, Err(Blocked::Paused))]
#[case::seldom(true, 2, 30, false, Ok(()))]
#[case::not_needed(true, 3, 9, false, Ok(()))]
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
    let mut now = run(&mut limits, key, now, &[(AttemptOutcome::Replied, 10); 60]);
    now += ms(1);
    let permits: Vec<_> = (0..count)
        .map(|_| limits.acquire(key, now).unwrap())
        .collect();
    if replies {
        run(&mut limits, key, now, &[(AttemptOutcome::Replied, 25)]);
    }
    now += ms(abandoned_ms);
    for permit in permits {
        limits.release(permit, AttemptOutcome::Cancelled, now);
    }
    assert_eq!(limits.check(key, now), expected);
}

/// Guards against what is known of held versions going back in time when replies overtake each other.
#[rstest]
fn older_report_of_held_versions_is_ignored() {
    let (mut limits, key, now) = create_gate(|_| ());
    assert_eq!(limits.holds(key, 2), None);
    limits.record_versions(key, &[1, 2], now + ms(5));
    limits.record_versions(key, &[1], now);
    assert_eq!(limits.holds(key, 2), Some(true));
}

/// Guards against a drain that is noticed late because nobody asks an idle upstream, and against needless probes.
#[rstest]
#[case::replied(AttemptOutcome::Replied, 0)]
#[case::shed(AttemptOutcome::Shed, 0)]
#[case::failed(AttemptOutcome::Failed, 1)]
fn silent_upstreams_are_listed(#[case] ending: AttemptOutcome, #[case] expected: usize) {
    let (mut limits, key, now) = create_gate(|_| ());
    assert_eq!(limits.silent_upstreams(ms(1_000), now).count(), 1);
    let now = run(&mut limits, key, now, &[(ending, 1)]);
    assert_eq!(
        limits.silent_upstreams(ms(1_000), now + ms(999)).count(),
        expected
    );
    assert_eq!(
        limits.silent_upstreams(ms(1_000), now + ms(1_000)).count(),
        1
    );
}

/// Guards against 4,300 gates that take more than an eighth of a node's 32 MB, which is 975 bytes each.
#[rstest]
fn gate_is_small() {
    assert!(size_of::<Gate>() * 4_300 <= 32_000_000 / 8);
}

/// Guards against traffic between zones that is not needed, and against missing shards that another zone can serve.
#[rstest]
#[case::own_zone(true, false, 10, [true, false, false])]
#[case::own_zone_within_round_trip(true, false, 11, [true, false, false])]
#[case::own_zone_slower(true, false, 15, [false, true, false])]
#[case::own_zone_full(true, true, 10, [false, true, false])]
#[case::own_zone_far_slower(true, false, 100, [false, true, false])]
#[case::switched_off(false, false, 10, [true, true, true])]
fn nearest_zone_first(
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
        run(&mut limits, *key, now, &[(AttemptOutcome::Replied, time)]);
    }
    while full && limits.acquire(keys[0], now).is_ok() {}
    let counts = count_picks(&limits, &keys, now + ms(100));
    assert_eq!([0, 1, 2].map(|at| counts[at] > 0), expected, "{counts:?}");
}

/// Guards against sending as much to a slow or busy replica as to the others, and against sending everything to the one
/// that is faster by chance.
#[rstest]
#[case::slower(true, 30, 0, true)]
#[case::busier(true, 10, 1, true)]
#[case::busier_but_faster(true, 7, 1, true)]
#[case::switched_off(false, 30, 1, false)]
fn better_of_two(
    #[case] compare: bool,
    #[case] time: u64,
    #[case] in_flight: usize,
    #[case] avoided: bool,
) {
    let (mut limits, keys, now) = create_limits(|tuning| tuning.compare = compare, &["zurich"; 4]);
    for (key, time) in keys.iter().zip([time, 10, 10, 10]) {
        run(&mut limits, *key, now, &[(AttemptOutcome::Replied, time)]);
    }
    for _ in 0..in_flight {
        let _permit = limits.acquire(keys[0], now).unwrap();
    }
    let counts = count_picks(&limits, &keys, now + ms(30));
    assert_eq!(counts[0] == 0, avoided, "{counts:?}");
    assert!(counts[1..].iter().all(|count| *count > 50), "{counts:?}");
}

/// Guards against an upstream that was slow once and is never tried again.
#[rstest]
fn slow_upstream_is_tried_again() {
    let (mut limits, keys, now) = create_limits(|_| (), &["zurich"; 2]);
    run(&mut limits, keys[0], now, &[(AttemptOutcome::Replied, 80)]);
    run(
        &mut limits,
        keys[1],
        now + ms(5_000),
        &[(AttemptOutcome::Replied, 10)],
    );
    assert!(count_picks(&limits, &keys, now + ms(5_010))[0] > 0);
}

/// Guards against a reason that tells a query to give up although a replica frees up in a moment.
#[rstest]
fn least_lasting_reason_is_given() {
    let (mut limits, keys, now) = create_limits(|_| (), &["zurich", "lugano"]);
    limits.record_state(keys[0], UpstreamState::Draining, now, now);
    fill(&mut limits, keys[1], now);
    let picked = limits.pick(&keys, now, &mut Pcg64Mcg::new(7));
    assert_eq!(picked, Err(Blocked::Limit));
}

/// Guards against a service without a hedge token while the others of the node can't use theirs, and against one that
/// takes the tokens that another keeps for itself.
#[rstest]
#[case::shared(true, (true, 10))]
#[case::switched_off(false, (false, 50))]
fn spare_hedge_tokens_are_shared(#[case] reserve: bool, #[case] expected: (bool, u32)) {
    let (mut limits, _, _) = create_limits(|tuning| tuning.reserve = reserve, &[]);
    let [idle, busy] = ["idle", "busy"].map(Into::into);
    (0..1_000).for_each(|_| limits.earn(&idle, 0.1, 0.0));
    let before = limits.plan_hedges(&busy, 0.03);
    let taken = std::iter::from_fn(|| limits.spend_hedge(&busy).then_some(())).count();
    let left = std::iter::from_fn(|| limits.spend_hedge(&idle).then_some(())).count();
    assert_eq!((taken > 5, left as u32), expected);
    assert!(limits.plan_hedges(&busy, 0.03) < before);
}
