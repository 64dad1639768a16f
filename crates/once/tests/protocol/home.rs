//! Tests of homes that use a fake platform.

use rstest::rstest;

use base::Code;
use once::ClaimResult;
use once::Operation;
use once::Settlement;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::spec;

const CLAIM: Operation = Operation::Claim;

/// Lists numbers above 1 for which `key-<n>` belongs to the same ledger as `k`.
fn neighbours(count: usize) -> Vec<u64> {
    let ledger = spec("k", 1).key.ledger();
    let same = |n: &u64| spec(&format!("key-{n}"), *n).key.ledger() == ledger;
    (2..).filter(same).take(count).collect()
}

/// Requests a claim and serves the read that follows, so that the write is pending.
fn claim_until_write(fleet: &mut Fleet, home: usize, ticket: u64) {
    fleet.send_request(home, ticket, &spec("k", ticket), CLAIM);
    fleet.serve_read(0);
    assert_eq!(fleet.writes.len(), 1);
}

/// Guards against a lost reply of the platform that leaves the requester without its grant or adds a second claim.
#[rstest]
#[case::took_effect(Delivery::ReplyLost)]
#[case::takes_effect_late(Delivery::Delayed)]
fn a_lost_reply_is_resolved_by_reading(#[case] delivery: Delivery) {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, delivery);
    assert_eq!(fleet.reply(1), None);
    fleet.run(1_000);
    assert!(fleet.granted(1));
    while !fleet.delayed.is_empty() {
        assert!(matches!(
            fleet.apply_delayed(),
            once::WriteResult::Conflict(_)
        ));
    }
    assert_eq!(fleet.value(spec("k", 1).key.ledger()).len(), 1);
    assert_eq!(fleet.replies.len(), 1);
}

/// Guards against the result "nothing was written" for a request whose write may still take effect.
#[rstest]
fn an_uncertain_write_is_never_reported_as_not_written() {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Delivery::Delayed);
    fleet.platform_up = false;
    fleet.run(10_000);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unknown));
    fleet.apply_delayed();
    assert_eq!(fleet.value(spec("k", 1).key.ledger()).len(), 1);
}

/// Guards against a conflict that is taken as proof that an earlier write had no effect: that write itself may have
/// raised the version.
#[rstest]
#[case::outage_before_the_read(false, ClaimResult::Unknown)]
#[case::outage_after_the_read(true, ClaimResult::Granted { deadline_ms: 1_000_000_500 })]
fn a_conflict_does_not_resolve_an_uncertain_write(
    #[case] read: bool,
    #[case] expected: ClaimResult,
) {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Delivery::Delayed);
    fleet.serve_read(0);
    fleet.apply_delayed();
    let neighbour = neighbours(1)[0];
    fleet.send_request(
        0,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.serve_write(0, Delivery::Replied);
    if read {
        fleet.serve_read(0);
    }
    fleet.platform_up = false;
    fleet.run(10_000);
    assert_eq!(fleet.reply(neighbour), Some(&ClaimResult::Unavailable));
    assert_eq!(fleet.reply(1), Some(&expected));
}

/// Guards against a write that stays uncertain for too long: once the version is higher, it can't take effect.
#[rstest]
fn a_higher_version_resolves_an_uncertain_write() {
    let mut fleet = Fleet::new(2);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Delivery::Delayed);
    let neighbour = neighbours(1)[0];
    fleet.send_request(
        1,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.serve_read(1);
    fleet.serve_write(0, Delivery::Replied);
    assert!(fleet.granted(neighbour));
    fleet.serve_read(0);
    fleet.platform_up = false;
    fleet.serve_write(0, Delivery::Replied);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unavailable));
    assert!(matches!(
        fleet.apply_delayed(),
        once::WriteResult::Conflict(_)
    ));
}

/// Guards against a settlement that is dropped because a stale read doesn't contain the claim yet.
#[rstest]
fn a_lagging_read_is_not_used() {
    let mut fleet = Fleet::new(2);
    let neighbour = neighbours(1)[0];
    fleet.send_request(0, 1, &spec("k", 1), CLAIM);
    fleet.run(0);
    fleet.send_request(
        1,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.run(0);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.send_request(0, 2, &spec("k", 1), Operation::Settle(outcome.clone()));
    fleet.advance_clock(200);
    fleet.serve_write(0, Delivery::Replied);
    fleet.serve_lagging_read(0);
    fleet.run(1_000);
    assert_eq!(fleet.reply(2), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against two homes that both grant a key because they computed their updates from the same version.
#[rstest]
#[case::first_home_writes_first(0, 1, 2)]
#[case::second_home_writes_first(1, 2, 1)]
fn two_homes_grant_a_key_once(#[case] first: usize, #[case] granted: u64, #[case] refused: u64) {
    let mut fleet = Fleet::new(2);
    fleet.send_request(0, 1, &spec("k", 1), CLAIM);
    fleet.send_request(1, 2, &spec("k", 2), CLAIM);
    fleet.serve_read(0);
    fleet.serve_read(0);
    fleet.serve_write(first, Delivery::Replied);
    fleet.run(1_000);
    assert!(fleet.granted(granted));
    assert_eq!(fleet.reply(refused), Some(&ClaimResult::InProgress));
}

/// Guards against a home that resumes with a stale value after another home has granted and settled the key.
#[rstest]
fn a_paused_home_does_not_act_on_a_stale_value() {
    let mut fleet = Fleet::new(2);
    claim_until_write(&mut fleet, 0, 2);
    let paused = fleet.writes.pop().expect("home 0 has a write in progress");
    fleet.send_request(1, 3, &spec("k", 3), CLAIM);
    fleet.run(0);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.send_request(1, 4, &spec("k", 3), Operation::Settle(outcome.clone()));
    fleet.run(1_000);
    fleet.writes.push(paused);
    fleet.run(1_000);
    assert_eq!(fleet.reply(2), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against a home that answers "in progress" from its cache after another home has settled the claim.
#[rstest]
fn a_cached_value_is_read_again_before_in_progress_is_reported() {
    let mut fleet = Fleet::new(2);
    fleet.send_request(0, 1, &spec("k", 1), CLAIM);
    fleet.run(1_000);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.send_request(1, 2, &spec("k", 1), Operation::Settle(outcome.clone()));
    fleet.run(1_000);
    fleet.advance_clock(1);
    fleet.send_request(0, 3, &spec("k", 3), CLAIM);
    fleet.run(1_000);
    assert_eq!(fleet.reply(3), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against claims that wait, or are granted, while the platform is unavailable.
#[rstest]
#[case::before_the_read(false)]
#[case::before_the_write(true)]
fn an_outage_refuses_requests_only_while_it_lasts(#[case] read: bool) {
    let mut fleet = Fleet::new(1);
    fleet.send_request(0, 1, &spec("k", 1), CLAIM);
    if read {
        fleet.serve_read(0);
    }
    fleet.platform_up = false;
    fleet.run(0);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unavailable));
    fleet.platform_up = true;
    fleet.advance_clock(1_000);
    fleet.send_request(0, 2, &spec("k", 2), CLAIM);
    fleet.run(1_000);
    assert!(fleet.granted(2));
}

/// Guards against a request that was delayed until another claim of the key had expired, and against a clock whose
/// skew is too large.
#[rstest]
#[case::claim_in_time(CLAIM, 30_000, true)]
#[case::claim_too_late(CLAIM, 30_001, false)]
#[case::revocation_in_time(Operation::Revoke(Code::ClaimRevoked), 30_000, true)]
#[case::revocation_too_late(Operation::Revoke(Code::ClaimRevoked), 30_001, false)]
fn a_request_that_is_too_old_is_refused(
    #[case] operation: Operation,
    #[case] ahead_ms: u64,
    #[case] written: bool,
) {
    let mut fleet = Fleet::new(1);
    fleet.send_request(0, 1, &spec("k", 1), operation);
    fleet.clock.wall_ahead_ms = ahead_ms;
    fleet.run(1_000);
    assert_eq!(fleet.value(spec("k", 1).key.ledger()).is_empty(), !written);
    assert_eq!(fleet.reply(1) == Some(&ClaimResult::Unavailable), !written);
}

/// Guards against one write for each claim: requests that arrive during a write share the next one.
#[rstest]
fn requests_share_a_write() {
    let mut fleet = Fleet::new(1);
    let first = spec("k", 1);
    let others = neighbours(20);
    claim_until_write(&mut fleet, 0, 1);
    for n in &others {
        fleet.send_request(0, *n, &spec(&format!("key-{n}"), *n), CLAIM);
    }
    fleet.run(1_000);
    assert!(others.iter().all(|n| fleet.granted(*n)));
    assert_eq!(fleet.version_of(first.key.ledger()), 2);
}
