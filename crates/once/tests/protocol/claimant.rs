//! The requester's side, driven event by event.

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

/// A claimant and what it did.
struct Rig {
    clock: Clock,
    claimant: Claimant,
    asked: Vec<Operation>,
    answers: Vec<Settlement>,
    sent: u32,
}

impl Rig {
    fn started() -> Rig {
        Rig::with_deadline(1)
    }

    fn with_deadline(seconds: u64) -> Rig {
        let clock = Clock::start();
        let options = ClaimantOptions {
            spec: spec("k", 1),
            deadline: clock.now().instant + Duration::from_secs(seconds),
        };
        let mut rig = Rig {
            clock,
            claimant: Claimant::new(options),
            asked: Vec::new(),
            answers: Vec::new(),
            sent: 0,
        };
        rig.handle(ClaimantEvent::Start);
        assert_eq!(rig.asked, [Operation::Claim]);
        rig
    }

    fn granted() -> Rig {
        let mut rig = Rig::started();
        rig.handle(ClaimantEvent::HomeReplied(GRANTED));
        rig
    }

    fn sent() -> Rig {
        let mut rig = Rig::granted();
        rig.handle(ClaimantEvent::Sending);
        assert_eq!(rig.sent, 1);
        rig
    }

    fn handle(&mut self, event: ClaimantEvent) {
        for action in self.claimant.handle(event, self.clock.now()) {
            match action {
                ClaimantAction::CallHome(_, request) => self.asked.push(request.operation),
                ClaimantAction::Send => self.sent += 1,
                ClaimantAction::Finish(end) => self.answers.push(end),
                ClaimantAction::Prepare | ClaimantAction::WakeAt(_) => {}
            }
        }
    }

    fn wake_after(&mut self, ms: u64) {
        self.clock.elapsed_ms += ms;
        self.handle(ClaimantEvent::Wake);
    }

    fn codes(&self) -> Vec<Code> {
        self.answers.iter().map(|end| end.code).collect()
    }
}

/// Guards against a request that is sent without a claim, or twice on one claim.
#[rstest]
fn a_request_is_sent_once_and_only_when_granted() {
    let mut rig = Rig::started();
    rig.handle(ClaimantEvent::Sending);
    assert_eq!(rig.sent, 0);
    rig.handle(ClaimantEvent::HomeReplied(GRANTED));
    rig.handle(ClaimantEvent::Sending);
    rig.handle(ClaimantEvent::HomeReplied(GRANTED));
    rig.handle(ClaimantEvent::Sending);
    assert_eq!(rig.sent, 1);
}

/// Guards against a process that is paused while it holds a claim and sends when it resumes. The monotonic clock of a
/// suspended VM may stand still, and a wall clock may be set back, so each clock has to close the window alone.
#[rstest]
#[case::just_in_time(749, 0, true)]
#[case::monotonic_clock(750, 0, false)]
#[case::wall_clock(0, 750, false)]
fn a_paused_claimant_does_not_send(#[case] ms: u64, #[case] wall_ms: u64, #[case] sends: bool) {
    let mut rig = Rig::granted();
    rig.clock.elapsed_ms += ms;
    rig.clock.wall_ahead_ms += wall_ms;
    rig.handle(ClaimantEvent::Sending);
    assert_eq!(rig.sent == 1, sends);
    if !sends {
        assert_eq!(
            rig.asked.last(),
            Some(&Operation::Revoke(Code::ClaimRevoked))
        );
        assert_eq!(rig.codes(), []);
        let revoked = ClaimResult::Settled(Settlement::without_result(Code::ClaimRevoked));
        rig.handle(ClaimantEvent::HomeReplied(revoked));
        rig.handle(ClaimantEvent::Sending);
        assert_eq!((rig.sent, rig.codes()), (0, vec![Code::ClaimRevoked]));
    }
}

/// Guards against a wrong conclusion from the home's result on a claim.
#[rstest]
#[case::settled(
    ClaimResult::Settled(Settlement::without_result(Code::Answered)),
    Code::Answered
)]
#[case::key_reused(ClaimResult::KeyReused, Code::KeyReused)]
#[case::ledger_full(ClaimResult::Full, Code::Overloaded)]
#[case::platform_down(ClaimResult::Unavailable, Code::ClaimUnavailable)]
fn a_claim_that_is_not_granted_ends_the_request(#[case] result: ClaimResult, #[case] code: Code) {
    let mut rig = Rig::started();
    rig.handle(ClaimantEvent::HomeReplied(result));
    assert_eq!(rig.codes(), [code]);
    assert!(rig.claimant.is_done());
    assert_eq!(rig.asked.len(), 1);
}

/// Guards against a retry that is told "in progress" although the first request ends in time, and against one that is
/// sent because another attempt holds the key.
#[rstest]
#[case::settles(true, Code::Answered)]
#[case::stays_open(false, Code::DuplicateUnknown)]
fn a_retry_waits_for_the_first_outcome(#[case] settles: bool, #[case] code: Code) {
    let mut rig = Rig::started();
    rig.handle(ClaimantEvent::HomeReplied(ClaimResult::InProgress));
    assert_eq!(rig.codes(), []);
    rig.wake_after(200);
    assert_eq!(rig.asked, [Operation::Claim, Operation::Claim]);
    if settles {
        let outcome = Settlement::without_result(Code::Answered);
        rig.handle(ClaimantEvent::HomeReplied(ClaimResult::Settled(outcome)));
    } else {
        rig.handle(ClaimantEvent::HomeReplied(ClaimResult::InProgress));
        rig.wake_after(550);
    }
    rig.handle(ClaimantEvent::Sending);
    assert_eq!((rig.sent, rig.codes()), (0, vec![code]));
    assert!(rig.claimant.is_done());
}

/// Guards against a second send without proof that the first was not run, and against a shed request that could go to
/// another replica and doesn't.
#[rstest]
#[case::proved_not_run(true, 2)]
#[case::no_proof(false, 1)]
fn a_claim_covers_another_send_only_after_proof(#[case] proved: bool, #[case] sends: u32) {
    let mut rig = Rig::sent();
    if proved {
        rig.handle(ClaimantEvent::ResendAllowed);
    }
    rig.handle(ClaimantEvent::Sending);
    assert_eq!(rig.sent, sends);
}

/// Guards against "not run" without a revocation, when an earlier claim request may have been written.
#[rstest]
#[case::result_unknown(Some(ClaimantEvent::HomeReplied(ClaimResult::Unknown)))]
#[case::reply_of_the_home_lost(Some(ClaimantEvent::HomeReplyLost(1)))]
#[case::home_silent(None)]
fn a_possible_claim_is_revoked_before_not_run(#[case] event: Option<ClaimantEvent>) {
    let mut rig = Rig::started();
    event.into_iter().for_each(|event| rig.handle(event));
    rig.wake_after(200);
    assert_eq!(rig.asked, [Operation::Claim, Operation::Claim]);
    rig.handle(ClaimantEvent::HomeReplied(ClaimResult::Unavailable));
    assert_eq!(rig.codes(), []);
    assert_eq!(rig.asked[2..], [Operation::Revoke(Code::ClaimRevoked)]);
}

/// Guards against "not run" without a revocation, when the send window closes on a claim request without an answer.
#[rstest]
#[case::no_reply(None)]
#[case::granted_but_not_sent(Some(ClaimantEvent::HomeReplied(GRANTED)))]
#[case::result_unknown(Some(ClaimantEvent::HomeReplied(ClaimResult::Unknown)))]
fn a_window_that_closes_is_followed_by_a_revocation(#[case] event: Option<ClaimantEvent>) {
    let mut rig = Rig::started();
    event.into_iter().for_each(|event| rig.handle(event));
    rig.wake_after(750);
    assert_eq!(rig.codes(), []);
    assert_eq!(
        rig.asked.last(),
        Some(&Operation::Revoke(Code::ClaimRevoked))
    );
}

/// Guards against a revocation that is written for nothing: a request that no home received left no claim.
#[rstest]
fn an_unreachable_home_leaves_nothing_to_revoke() {
    let mut rig = Rig::started();
    rig.handle(ClaimantEvent::Undelivered(1));
    rig.wake_after(200);
    rig.handle(ClaimantEvent::Undelivered(2));
    rig.wake_after(550);
    assert_eq!(rig.codes(), [Code::ClaimUnavailable]);
    assert_eq!(rig.asked, [Operation::Claim, Operation::Claim]);
}

/// Guards against "not run" when the revocation can't be written, and against giving it up with the answer.
#[rstest]
fn without_a_revocation_the_outcome_is_unknown() {
    let mut rig = Rig::granted();
    rig.handle(ClaimantEvent::NotRun(Code::NoUpstream));
    rig.handle(ClaimantEvent::HomeReplied(ClaimResult::Unavailable));
    rig.wake_after(1_000);
    assert_eq!(rig.codes(), [Code::ClaimUnsettled]);
    rig.wake_after(200);
    assert!(rig.asked.len() > 2 && !rig.claimant.is_done());
    assert_eq!(rig.asked.last(), Some(&Operation::Revoke(Code::NoUpstream)));
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::NoUpstream));
    rig.handle(ClaimantEvent::HomeReplied(revoked));
    assert!(rig.claimant.is_done());
    assert_eq!(rig.codes(), [Code::ClaimUnsettled]);
}

/// Guards against "not run" by a process that was paused: by the time that its revocation is acted on, the claim of
/// another call may have run and expired.
#[rstest]
#[case::in_time(200, 0, Code::ClaimRevoked)]
#[case::monotonic_clock(250, 0, Code::ClaimUnsettled)]
#[case::wall_clock(0, 250, Code::ClaimUnsettled)]
fn a_late_revocation_is_not_reported(#[case] ms: u64, #[case] wall_ms: u64, #[case] code: Code) {
    let mut rig = Rig::started();
    rig.wake_after(750);
    rig.clock.elapsed_ms += ms;
    rig.clock.wall_ahead_ms += wall_ms;
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::ClaimRevoked));
    rig.handle(ClaimantEvent::HomeReplied(revoked));
    assert_eq!(rig.codes(), [code]);
}

/// Guards against a long deadline, during which the claim of another call may run, settle and expire.
#[rstest]
fn a_long_deadline_does_not_prolong_a_refusal() {
    let mut rig = Rig::with_deadline(600);
    rig.wake_after(60_000);
    assert_eq!(
        rig.asked.last(),
        Some(&Operation::Revoke(Code::ClaimRevoked))
    );
    rig.wake_after(20_000);
    assert_eq!(rig.codes(), [Code::ClaimUnsettled]);
}

/// Guards against a refusal that a retry contradicts: the proof of the upstream is written before the caller is told.
#[rstest]
fn a_proof_of_not_run_is_recorded_before_the_answer() {
    let mut rig = Rig::sent();
    rig.handle(ClaimantEvent::NotRun(Code::ShedEverywhere));
    assert_eq!(rig.codes(), []);
    assert_eq!(
        rig.asked.last(),
        Some(&Operation::Revoke(Code::ShedEverywhere))
    );
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::ShedEverywhere));
    rig.handle(ClaimantEvent::HomeReplied(revoked));
    assert_eq!(rig.codes(), [Code::ShedEverywhere]);
}

/// Guards against an outcome that is not recorded: a retry would be told that it was lost.
#[rstest]
#[case::in_time(0, Code::Answered)]
#[case::after_the_answer(1_000, Code::ReplyLost)]
fn an_outcome_is_settled_until_it_is_recorded(#[case] late_ms: u64, #[case] code: Code) {
    let mut rig = Rig::sent();
    rig.wake_after(late_ms);
    rig.handle(ClaimantEvent::Replied("1".into()));
    let outcome = Settlement {
        code: Code::Answered,
        result: Some("1".into()),
    };
    for result in [
        ClaimResult::Unavailable,
        ClaimResult::Unknown,
        ClaimResult::Missing,
    ] {
        assert_eq!(rig.asked.last(), Some(&Operation::Settle(outcome.clone())));
        rig.handle(ClaimantEvent::HomeReplied(result));
        rig.asked.clear();
        rig.wake_after(200);
    }
    rig.handle(ClaimantEvent::HomeReplied(ClaimResult::Settled(outcome)));
    assert!(rig.claimant.is_done());
    assert_eq!(rig.codes(), [code]);
}

/// Guards against a claim that is revoked although its request may have run.
#[rstest]
fn a_lost_reply_leaves_the_claim() {
    let mut rig = Rig::sent();
    rig.handle(ClaimantEvent::ReplyLost);
    rig.wake_after(60_000);
    assert_eq!(rig.codes(), [Code::ReplyLost]);
    assert_eq!(rig.asked, [Operation::Claim]);
}
