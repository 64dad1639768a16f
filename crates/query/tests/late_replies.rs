//! Attempts that reply late, or that neither reply nor fail.

mod support;

use base::Code;
use decl::Prefer;
use limit::AttemptOutcome;
use limit::Tuning;
use query::AttemptKind;
use query::Hedging;
use rstest::rstest;
use support::Node;
use support::ms;

/// Guards against waiting until the deadline for an attempt that neither replies nor fails, and against a retry when
/// the upstream still replies to others, when the request must not run twice, or when no token is left.
#[rstest]
#[case::silent(true, true, true, false, 2)]
#[case::overloaded(true, true, true, true, 1)]
#[case::not_repeatable(true, false, true, false, 1)]
#[case::no_token(true, true, false, false, 1)]
#[case::switched_off(false, true, true, false, 1)]
fn silent_attempt_is_retried(
    #[case] silence: bool,
    #[case] repeatable: bool,
    #[case] tokens: bool,
    #[case] others_reply: bool,
    #[case] expected: usize,
) {
    let mut node = Node::with_one_version(1, 2);
    node.set_tuning(Tuning {
        silence,
        ..Tuning::default()
    });
    for upstream in ["0-0", "0-1"] {
        node.run_attempts(upstream, 40, AttemptOutcome::Replied, ms(10));
    }
    while !tokens && node.limits.spend_retry(&"advisers".into()) {}
    node.now += ms(20);
    let mut run = node.start_query(|plan| {
        plan.repeatable = repeatable;
        plan.tuning.hedging = Hedging::Off;
    });
    run.advance_time(&mut node, ms(20));
    if others_reply {
        let upstream = run.sent[0].upstream.clone();
        node.run_attempts(&upstream, 1, AttemptOutcome::Replied, ms(0));
    }
    run.advance_time(&mut node, ms(20));
    assert_eq!(run.sent.len(), expected);
    assert!(
        run.sent[1..]
            .iter()
            .all(|sent| sent.kind == AttemptKind::Retry)
    );
}

/// Guards against a partial answer while a node knows no reply times: nine of ten shards reply after `others_ms`, and
/// the tenth is a straggler only if it is late relative to them.
#[rstest]
#[case::as_slow_as_the_others(40, 70, Code::Answered)]
#[case::later_than_slow_others(40, 90, Code::PartialDeadline)]
#[case::later_than_fast_others(1, 70, Code::PartialDeadline)]
fn lateness_is_relative_while_no_reply_times_are_known(
    #[case] others_ms: u64,
    #[case] last_ms: u64,
    #[case] code: Code,
) {
    let mut node = Node::with_one_version(10, 1);
    let mut run = node.start_query(|plan| {
        plan.policy.at_deadline.prefer = Prefer::Latency;
        plan.policy.at_deadline.min_coverage = 0.9;
    });
    run.advance_time(&mut node, ms(others_ms));
    run.reply_where(&mut node, |shard| shard != 4);
    run.advance_time(&mut node, ms(last_ms - others_ms));
    run.reply_where(&mut node, |shard| shard == 4);
    assert_eq!(run.finish(&mut node).code, code);
}
