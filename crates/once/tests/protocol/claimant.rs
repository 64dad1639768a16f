//! Unit tests of the claimant, which feed it one event at a time.

use std::time::Duration;

use rstest::rstest;

use base::Code;
use once::ClaimResult;
use once::Claimant;
use once::ClaimantAction;
use once::ClaimantEvent;
use once::ClaimantOptions;
use once::Operation;
use once::Settlement;

use crate::fleet::Clock;
use crate::fleet::spec;

const GRANTED: ClaimResult = ClaimResult::Granted { deadline_ms: 0 };

/// A claimant with a virtual clock, and a record of its actions.
struct Harness {
    clock: Clock,
    claimant: Claimant,
    operations: Vec<Operation>,
    answers: Vec<Settlement>,
    sent: u32,
}

impl Harness {
    fn started() -> Harness {
        Harness::with_deadline(1)
    }

    fn with_deadline(seconds: u64) -> Harness {
        let clock = Clock::start();
        let options = ClaimantOptions {
            spec: spec("k", 1),
            deadline: clock.now().instant + Duration::from_secs(seconds),
        };
        let mut harness = Harness {
            clock,
            claimant: Claimant::new(options),
            operations: Vec::new(),
            answers: Vec::new(),
            sent: 0,
        };
        harness.handle(ClaimantEvent::Start);
        assert_eq!(harness.operations, [Operation::Claim]);
        harness
    }

    fn granted() -> Harness {
        let mut harness = Harness::started();
        harness.handle(ClaimantEvent::HomeReplied(GRANTED));
        harness
    }

    fn sent() -> Harness {
        let mut harness = Harness::granted();
        harness.handle(ClaimantEvent::Sending);
        assert_eq!(harness.sent, 1);
        harness
    }

    fn handle(&mut self, event: ClaimantEvent) {
        for action in self.claimant.handle(event, self.clock.now()) {
            match action {
                ClaimantAction::CallHome(_, request) => self.operations.push(request.operation),
                ClaimantAction::Send => self.sent += 1,
                ClaimantAction::Finish(answer) => self.answers.push(answer),
                ClaimantAction::Prepare | ClaimantAction::WakeAt(_) => {}
            }
        }
    }

    fn wake_after(&mut self, ms: u64) {
        self.clock.elapsed_ms += ms;
        self.handle(ClaimantEvent::Wake);
    }

    fn codes(&self) -> Vec<Code> {
        self.answers.iter().map(|answer| answer.code).collect()
    }
}

/// Guards against a request that is sent without a claim, or twice under one claim.
#[rstest]
fn a_request_is_sent_once_and_only_when_granted() {
    let mut harness = Harness::started();
    harness.handle(ClaimantEvent::Sending);
    assert_eq!(harness.sent, 0);
    harness.handle(ClaimantEvent::HomeReplied(GRANTED));
    harness.handle(ClaimantEvent::Sending);
    harness.handle(ClaimantEvent::HomeReplied(GRANTED));
    harness.handle(ClaimantEvent::Sending);
    assert_eq!(harness.sent, 1);
}

/// Guards against a process that is paused while it holds a claim and sends after it resumes. The monotonic clock of a
/// suspended VM may stop, and a wall clock may be set back, so either clock alone has to close the window.
#[rstest]
#[case::just_in_time(749, 0, true)]
#[case::monotonic_clock(750, 0, false)]
#[case::wall_clock(0, 750, false)]
fn a_paused_claimant_does_not_send(#[case] ms: u64, #[case] wall_ms: u64, #[case] sends: bool) {
    let mut harness = Harness::granted();
    harness.clock.elapsed_ms += ms;
    harness.clock.wall_ahead_ms += wall_ms;
    harness.handle(ClaimantEvent::Sending);
    assert_eq!(harness.sent == 1, sends);
    if !sends {
        assert_eq!(
            harness.operations.last(),
            Some(&Operation::Revoke(Code::ClaimRevoked))
        );
        assert_eq!(harness.codes(), []);
        let revoked = ClaimResult::Settled(Settlement::without_result(Code::ClaimRevoked));
        harness.handle(ClaimantEvent::HomeReplied(revoked));
        harness.handle(ClaimantEvent::Sending);
        assert_eq!(
            (harness.sent, harness.codes()),
            (0, vec![Code::ClaimRevoked])
        );
    }
}

/// Guards against a wrong answer after the home did not grant a claim.
#[rstest]
#[case::settled(
    ClaimResult::Settled(Settlement::without_result(Code::Answered)),
    Code::Answered
)]
#[case::key_reused(ClaimResult::KeyReused, Code::KeyReused)]
#[case::ledger_full(ClaimResult::Full, Code::Overloaded)]
#[case::platform_down(ClaimResult::Unavailable, Code::ClaimUnavailable)]
fn a_claim_that_is_not_granted_ends_the_request(#[case] result: ClaimResult, #[case] code: Code) {
    let mut harness = Harness::started();
    harness.handle(ClaimantEvent::HomeReplied(result));
    assert_eq!(harness.codes(), [code]);
    assert!(harness.claimant.is_done());
    assert_eq!(harness.operations.len(), 1);
}

/// Guards against a retry whose caller gets "in progress" although the first request ends in time, and against a retry
/// that is sent while another attempt holds the key.
#[rstest]
#[case::settles(true, Code::Answered)]
#[case::stays_open(false, Code::DuplicateUnknown)]
fn a_retry_waits_for_the_first_outcome(#[case] settles: bool, #[case] code: Code) {
    let mut harness = Harness::started();
    harness.handle(ClaimantEvent::HomeReplied(ClaimResult::InProgress));
    assert_eq!(harness.codes(), []);
    harness.wake_after(200);
    assert_eq!(harness.operations, [Operation::Claim, Operation::Claim]);
    if settles {
        let outcome = Settlement::without_result(Code::Answered);
        harness.handle(ClaimantEvent::HomeReplied(ClaimResult::Settled(outcome)));
    } else {
        harness.handle(ClaimantEvent::HomeReplied(ClaimResult::InProgress));
        harness.wake_after(550);
    }
    harness.handle(ClaimantEvent::Sending);
    assert_eq!((harness.sent, harness.codes()), (0, vec![code]));
    assert!(harness.claimant.is_done());
}

/// Guards against sending again without proof that the first send was not run, and against a claim that prevents a shed
/// request from being sent to another replica.
#[rstest]
#[case::proved_not_run(true, 2)]
#[case::no_proof(false, 1)]
fn a_claim_covers_another_send_only_after_proof(#[case] proved: bool, #[case] sends: u32) {
    let mut harness = Harness::sent();
    if proved {
        harness.handle(ClaimantEvent::ResendAllowed);
    }
    harness.handle(ClaimantEvent::Sending);
    assert_eq!(harness.sent, sends);
}

/// Guards against the answer "not run" without a revocation when an earlier claim request may have been written.
#[rstest]
#[case::result_unknown(Some(ClaimantEvent::HomeReplied(ClaimResult::Unknown)))]
#[case::reply_of_the_home_lost(Some(ClaimantEvent::HomeReplyLost(1)))]
#[case::home_does_not_reply(None)]
fn a_possible_claim_is_revoked_before_not_run(#[case] event: Option<ClaimantEvent>) {
    let mut harness = Harness::started();
    event.into_iter().for_each(|event| harness.handle(event));
    harness.wake_after(200);
    assert_eq!(harness.operations, [Operation::Claim, Operation::Claim]);
    harness.handle(ClaimantEvent::HomeReplied(ClaimResult::Unavailable));
    assert_eq!(harness.codes(), []);
    assert_eq!(
        harness.operations[2..],
        [Operation::Revoke(Code::ClaimRevoked)]
    );
}

/// Guards against the answer "not run" without a revocation when the send window closes before the request is sent.
#[rstest]
#[case::no_reply(None)]
#[case::granted_but_not_sent(Some(ClaimantEvent::HomeReplied(GRANTED)))]
#[case::result_unknown(Some(ClaimantEvent::HomeReplied(ClaimResult::Unknown)))]
fn a_window_that_closes_is_followed_by_a_revocation(#[case] event: Option<ClaimantEvent>) {
    let mut harness = Harness::started();
    event.into_iter().for_each(|event| harness.handle(event));
    harness.wake_after(750);
    assert_eq!(harness.codes(), []);
    assert_eq!(
        harness.operations.last(),
        Some(&Operation::Revoke(Code::ClaimRevoked))
    );
}

/// Guards against a needless revocation: a claim request that no home received has left no claim.
#[rstest]
fn an_unreachable_home_leaves_nothing_to_revoke() {
    let mut harness = Harness::started();
    harness.handle(ClaimantEvent::Undelivered(1));
    harness.wake_after(200);
    harness.handle(ClaimantEvent::Undelivered(2));
    harness.wake_after(550);
    assert_eq!(harness.codes(), [Code::ClaimUnavailable]);
    assert_eq!(harness.operations, [Operation::Claim, Operation::Claim]);
}

/// Guards against the answer "not run" when the revocation can't be written, and against a revocation that is no longer
/// retried once the caller has its answer.
#[rstest]
fn without_a_revocation_the_outcome_is_unknown() {
    let mut harness = Harness::granted();
    harness.handle(ClaimantEvent::NotRun(Code::NoUpstream));
    harness.handle(ClaimantEvent::HomeReplied(ClaimResult::Unavailable));
    harness.wake_after(1_000);
    assert_eq!(harness.codes(), [Code::ClaimUnsettled]);
    harness.wake_after(200);
    assert!(harness.operations.len() > 2 && !harness.claimant.is_done());
    assert_eq!(
        harness.operations.last(),
        Some(&Operation::Revoke(Code::NoUpstream))
    );
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::NoUpstream));
    harness.handle(ClaimantEvent::HomeReplied(revoked));
    assert!(harness.claimant.is_done());
    assert_eq!(harness.codes(), [Code::ClaimUnsettled]);
}

/// Guards against the answer "not run" from a process that was paused: before its revocation is applied, another call
/// with the key may have run and its claim may have expired.
#[rstest]
#[case::in_time(200, 0, Code::ClaimRevoked)]
#[case::monotonic_clock(250, 0, Code::ClaimUnsettled)]
#[case::wall_clock(0, 250, Code::ClaimUnsettled)]
fn a_late_revocation_is_not_reported(#[case] ms: u64, #[case] wall_ms: u64, #[case] code: Code) {
    let mut harness = Harness::started();
    harness.wake_after(750);
    harness.clock.elapsed_ms += ms;
    harness.clock.wall_ahead_ms += wall_ms;
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::ClaimRevoked));
    harness.handle(ClaimantEvent::HomeReplied(revoked));
    assert_eq!(harness.codes(), [code]);
}

/// Guards against the answer "not run" after a long deadline, before which another call may run and its claim expire.
#[rstest]
fn a_long_deadline_does_not_extend_the_refusal_period() {
    let mut harness = Harness::with_deadline(600);
    harness.wake_after(60_000);
    assert_eq!(
        harness.operations.last(),
        Some(&Operation::Revoke(Code::ClaimRevoked))
    );
    harness.wake_after(20_000);
    assert_eq!(harness.codes(), [Code::ClaimUnsettled]);
}

/// Guards against a retry that contradicts the answer "not run": the revocation is recorded before the caller gets it.
#[rstest]
fn a_proof_of_not_run_is_recorded_before_the_answer() {
    let mut harness = Harness::sent();
    harness.handle(ClaimantEvent::NotRun(Code::ShedEverywhere));
    assert_eq!(harness.codes(), []);
    assert_eq!(
        harness.operations.last(),
        Some(&Operation::Revoke(Code::ShedEverywhere))
    );
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::ShedEverywhere));
    harness.handle(ClaimantEvent::HomeReplied(revoked));
    assert_eq!(harness.codes(), [Code::ShedEverywhere]);
}

/// Guards against an outcome that is not recorded, so that a retry gets the answer that it was lost.
#[rstest]
#[case::in_time(0, Code::Answered)]
#[case::after_the_answer(1_000, Code::ReplyLost)]
fn an_outcome_is_settled_until_it_is_recorded(#[case] late_ms: u64, #[case] code: Code) {
    let mut harness = Harness::sent();
    harness.wake_after(late_ms);
    harness.handle(ClaimantEvent::Replied("1".into()));
    let outcome = Settlement {
        code: Code::Answered,
        result: Some("1".into()),
    };
    for result in [
        ClaimResult::Unavailable,
        ClaimResult::Unknown,
        ClaimResult::Missing,
    ] {
        assert_eq!(
            harness.operations.last(),
            Some(&Operation::Settle(outcome.clone()))
        );
        harness.handle(ClaimantEvent::HomeReplied(result));
        harness.operations.clear();
        harness.wake_after(200);
    }
    harness.handle(ClaimantEvent::HomeReplied(ClaimResult::Settled(outcome)));
    assert!(harness.claimant.is_done());
    assert_eq!(harness.codes(), [code]);
}

/// Guards against a claim that is revoked although its request may have run.
#[rstest]
fn a_lost_reply_leaves_the_claim_open() {
    let mut harness = Harness::sent();
    harness.handle(ClaimantEvent::ReplyLost);
    harness.wake_after(60_000);
    assert_eq!(harness.codes(), [Code::ReplyLost]);
    assert_eq!(harness.operations, [Operation::Claim]);
}
