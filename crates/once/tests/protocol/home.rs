//! Homes against a fake platform.

use rstest::rstest;

use base::Code;
use once::ClaimResult;
use once::Operation;
use once::Settlement;

use crate::fleet::Fate;
use crate::fleet::Fleet;
use crate::fleet::spec;

const CLAIM: Operation = Operation::Claim;

/// Lists numbers above 1 for which `key-<n>` is in the same ledger as `k`.
fn neighbours(count: usize) -> Vec<u64> {
    let ledger = spec("k", 1).key.ledger();
    let same = |n: &u64| spec(&format!("key-{n}"), *n).key.ledger() == ledger;
    (2..).filter(same).take(count).collect()
}

/// Asks for a claim and serves the first read, so that the write waits.
fn claim_until_write(fleet: &mut Fleet, home: usize, ticket: u64) {
    fleet.ask(home, ticket, &spec("k", ticket), CLAIM);
    fleet.serve_read(0);
    assert_eq!(fleet.writes.len(), 1);
}

/// Guards against a lost reply that leaves the requester without its grant or makes a second claim.
#[rstest]
#[case::took_effect(Fate::ReplyLost)]
#[case::takes_effect_late(Fate::Delayed)]
fn a_lost_reply_is_resolved_by_reading(#[case] fate: Fate) {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, fate);
    assert_eq!(fleet.reply(1), None);
    fleet.run(1_000);
    assert!(fleet.granted(1));
    while !fleet.delayed.is_empty() {
        assert!(matches!(fleet.land(), once::WriteResult::Conflict(_)));
    }
    assert_eq!(fleet.value(spec("k", 1).key.ledger()).len(), 1);
    assert_eq!(fleet.replies.len(), 1);
}

/// Guards against "nothing was written" for a request whose write may still take effect.
#[rstest]
fn a_doubtful_write_is_never_reported_as_not_written() {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Fate::Delayed);
    fleet.up = false;
    fleet.run(10_000);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unknown));
    fleet.land();
    assert_eq!(fleet.value(spec("k", 1).key.ledger()).len(), 1);
}

/// Guards against a conflict that is taken as proof: the version may have moved by the doubtful write itself.
#[rstest]
#[case::outage_before_the_read(false, ClaimResult::Unknown)]
#[case::outage_after_the_read(true, ClaimResult::Granted { deadline_ms: 1_000_000_500 })]
fn a_conflict_does_not_end_the_doubt(#[case] read: bool, #[case] expected: ClaimResult) {
    let mut fleet = Fleet::new(1);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Fate::Delayed);
    fleet.serve_read(0);
    fleet.land();
    let neighbour = neighbours(1)[0];
    fleet.ask(
        0,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.serve_write(0, Fate::Replied);
    if read {
        fleet.serve_read(0);
    }
    fleet.up = false;
    fleet.run(10_000);
    assert_eq!(fleet.reply(neighbour), Some(&ClaimResult::Unavailable));
    assert_eq!(fleet.reply(1), Some(&expected));
}

/// Guards against doubt that outlives its cause: once the version has moved on, the write can't take effect.
#[rstest]
fn a_higher_version_ends_the_doubt() {
    let mut fleet = Fleet::new(2);
    claim_until_write(&mut fleet, 0, 1);
    fleet.serve_write(0, Fate::Delayed);
    let neighbour = neighbours(1)[0];
    fleet.ask(
        1,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.serve_read(1);
    fleet.serve_write(0, Fate::Replied);
    assert!(fleet.granted(neighbour));
    fleet.serve_read(0);
    fleet.up = false;
    fleet.serve_write(0, Fate::Replied);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unavailable));
    assert!(matches!(fleet.land(), once::WriteResult::Conflict(_)));
}

/// Guards against a settlement that is dropped because a lagging read doesn't show the claim yet.
#[rstest]
fn a_lagging_read_is_not_used() {
    let mut fleet = Fleet::new(2);
    let neighbour = neighbours(1)[0];
    fleet.ask(0, 1, &spec("k", 1), CLAIM);
    fleet.run(0);
    fleet.ask(
        1,
        neighbour,
        &spec(&format!("key-{neighbour}"), neighbour),
        CLAIM,
    );
    fleet.run(0);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.ask(0, 2, &spec("k", 1), Operation::Settle(outcome.clone()));
    fleet.pass(200);
    fleet.serve_write(0, Fate::Replied);
    fleet.serve_lagging_read(0);
    fleet.run(1_000);
    assert_eq!(fleet.reply(2), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against two homes that grant the same key: their updates are computed from the same version.
#[rstest]
#[case::first_wins(0, 1, 2)]
#[case::second_wins(1, 2, 1)]
fn two_homes_grant_a_key_once(#[case] first: usize, #[case] winner: u64, #[case] loser: u64) {
    let mut fleet = Fleet::new(2);
    fleet.ask(0, 1, &spec("k", 1), CLAIM);
    fleet.ask(1, 2, &spec("k", 2), CLAIM);
    fleet.serve_read(0);
    fleet.serve_read(0);
    fleet.serve_write(first, Fate::Replied);
    fleet.run(1_000);
    assert!(fleet.granted(winner));
    assert_eq!(fleet.reply(loser), Some(&ClaimResult::InProgress));
}

/// Guards against a home that was paused with an old value, while another took over, settled and went on.
#[rstest]
fn a_paused_home_does_not_act_on_its_old_value() {
    let mut fleet = Fleet::new(2);
    claim_until_write(&mut fleet, 0, 2);
    let paused = fleet.writes.pop().expect("home 0 has a write in progress");
    fleet.ask(1, 3, &spec("k", 3), CLAIM);
    fleet.run(0);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.ask(1, 4, &spec("k", 3), Operation::Settle(outcome.clone()));
    fleet.run(1_000);
    fleet.writes.push(paused);
    fleet.run(1_000);
    assert_eq!(fleet.reply(2), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against a home that keeps answering "in progress" from memory after another home settled the claim.
#[rstest]
fn an_old_value_is_read_again_before_a_claim_is_in_progress() {
    let mut fleet = Fleet::new(2);
    fleet.ask(0, 1, &spec("k", 1), CLAIM);
    fleet.run(1_000);
    let outcome = Settlement::without_result(Code::Answered);
    fleet.ask(1, 2, &spec("k", 1), Operation::Settle(outcome.clone()));
    fleet.run(1_000);
    fleet.pass(1);
    fleet.ask(0, 3, &spec("k", 3), CLAIM);
    fleet.run(1_000);
    assert_eq!(fleet.reply(3), Some(&ClaimResult::Settled(outcome)));
}

/// Guards against claims that wait, or are granted, while the platform can't be used.
#[rstest]
#[case::before_the_read(false)]
#[case::before_the_write(true)]
fn an_outage_refuses_at_once_and_ends(#[case] read: bool) {
    let mut fleet = Fleet::new(1);
    fleet.ask(0, 1, &spec("k", 1), CLAIM);
    if read {
        fleet.serve_read(0);
    }
    fleet.up = false;
    fleet.run(0);
    assert_eq!(fleet.reply(1), Some(&ClaimResult::Unavailable));
    fleet.up = true;
    fleet.pass(1_000);
    fleet.ask(0, 2, &spec("k", 2), CLAIM);
    fleet.run(1_000);
    assert!(fleet.granted(2));
}

/// Guards against a request that was delayed until another claim of the key had expired, and a clock that is far off.
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
    fleet.ask(0, 1, &spec("k", 1), operation);
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
        fleet.ask(0, *n, &spec(&format!("key-{n}"), *n), CLAIM);
    }
    fleet.run(1_000);
    assert!(others.iter().all(|n| fleet.granted(*n)));
    assert_eq!(fleet.version_of(first.key.ledger()), 2);
}
