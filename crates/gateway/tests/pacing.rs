//! Tests how often the gateways of a fleet call a store that fails.

use std::time::Duration;

use gateway::Pacing;
use gateway::StoreRole;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Time until a store that is silent counts as failed.
const CALL_TIME: Duration = Duration::from_millis(800);

/// Returns the number of calls that one gateway makes during an outage, for two kinds of objects.
fn count_calls(pacing: Pacing, role: StoreRole, outage: Duration, rng: &mut Pcg64Mcg) -> u32 {
    let mut due = [0, 1].map(|_| pacing.first_delay(role, rng.random()));
    let mut failures = [0; 2];
    let mut failed: Option<(usize, Duration)> = None;
    loop {
        let kind = usize::from(due[1] < due[0]);
        let now = due[kind];
        if now >= outage {
            return failures.iter().sum();
        }
        if let Some((other, at)) = failed
            && other != kind
        {
            let delay = pacing.shared_delay(role, now.saturating_sub(at));
            if !delay.is_zero() {
                due[kind] += delay;
                continue;
            }
        }
        failures[kind] += 1;
        let end = now + CALL_TIME;
        failed = Some((kind, end));
        due[kind] = end + pacing.retry_delay(role, failures[kind], rng.random());
    }
}

/// Guards against an outage in which every gateway of a large fleet calls the store as often as a relay; followers have
/// to halve the calls of the fleet at least.
#[rstest]
#[case::short_outage(2)]
#[case::outage(5)]
#[case::long_outage(30)]
fn followers_halve_the_calls_to_a_failing_store(#[case] outage_s: u64) {
    const GATEWAYS: u32 = 295;
    const RELAYS: u32 = 18;
    let outage = Duration::from_secs(outage_s);
    let pacing = Pacing::new(Duration::from_secs(6));
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut count = |role, gateways: u32| -> u32 {
        let calls = (0..gateways).map(|_| count_calls(pacing, role, outage, &mut rng));
        calls.sum()
    };
    let equal = count(StoreRole::Relay, GATEWAYS);
    let divided = count(StoreRole::Relay, RELAYS) + count(StoreRole::Follower, GATEWAYS - RELAYS);
    assert!(divided * 2 <= equal, "{divided} instead of {equal} calls");
}

/// Guards against a follower that waits so long that a configuration is late on a gateway whose relays lost the store.
#[rstest]
#[case::small_fleet(3)]
#[case::large_fleet(6)]
fn followers_call_in_time_for_a_configuration(#[case] apply_s: u64) {
    let apply_time = Duration::from_secs(apply_s);
    let pacing = Pacing::new(apply_time);
    assert!(pacing.first_delay(StoreRole::Follower, 1.0) <= apply_time / 4);
    assert!(pacing.retry_delay(StoreRole::Follower, 9, 1.0) <= apply_time);
}

/// Guards against a relay that keeps its followers from the store's changes because it waits for them.
#[test]
fn relays_call_at_once() {
    let pacing = Pacing::new(Duration::from_secs(3));
    assert_eq!(pacing.first_delay(StoreRole::Relay, 1.0), Duration::ZERO);
    assert_eq!(
        pacing.shared_delay(StoreRole::Relay, Duration::ZERO),
        Duration::ZERO
    );
    assert!(pacing.retry_delay(StoreRole::Relay, 1, 1.0) <= Duration::from_millis(200));
}

/// Guards against two tasks of a follower that both call a store which has just failed.
#[test]
fn failure_delays_the_calls_for_other_objects() {
    let pacing = Pacing::new(Duration::from_secs(3));
    let delay = |ms| pacing.shared_delay(StoreRole::Follower, Duration::from_millis(ms));
    assert_eq!(delay(0), Duration::from_millis(900));
    assert_eq!(delay(800), Duration::from_millis(100));
    assert_eq!(delay(2_000), Duration::ZERO);
}
