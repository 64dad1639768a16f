//! Attempts that neither reply nor fail, or that reply late.

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

/// Guards against waiting for the deadline when an attempt neither replies nor fails, and against an extra attempt at a
/// plain overload, for a request that must not run twice, or beyond the budget.
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
    #[case] others: bool,
    #[case] expected: usize,
) {
    let mut node = Node::simple(1, 2);
    node.tune(Tuning {
        silence,
        ..Tuning::default()
    });
    for upstream in ["0-0", "0-1"] {
        node.prepare(upstream, 40, AttemptOutcome::Replied, ms(10));
    }
    while !tokens && node.limits.spend_retry(&"advisers".into()) {}
    node.now += ms(20);
    let mut run = node.run(|plan| {
        plan.repeatable = repeatable;
        plan.tuning.hedging = Hedging::Off;
    });
    run.advance(&mut node, ms(20));
    if others {
        let upstream = run.sent[0].upstream.clone();
        node.prepare(&upstream, 1, AttemptOutcome::Replied, ms(0));
    }
    run.advance(&mut node, ms(20));
    assert_eq!(run.sent.len(), expected);
    assert!(
        run.sent[1..]
            .iter()
            .all(|sent| sent.kind == AttemptKind::Retry)
    );
}

/// Guards against a partial answer of a node that knows no reply times yet: nine of ten shards took `others_ms`, and the
/// tenth is no straggler as long as it is not late against these.
#[rstest]
#[case::as_slow_as_the_others(40, 70, Code::Answered)]
#[case::late_against_the_others(40, 90, Code::PartialDeadline)]
#[case::late_against_fast_ones(1, 70, Code::PartialDeadline)]
fn unknown_shard_is_late_against_the_others(
    #[case] others_ms: u64,
    #[case] last_ms: u64,
    #[case] code: Code,
) {
    let mut node = Node::simple(10, 1);
    let mut run = node.run(|plan| {
        plan.policy.at_deadline.prefer = Prefer::Latency;
        plan.policy.at_deadline.min_coverage = 0.9;
    });
    run.advance(&mut node, ms(others_ms));
    run.reply_where(&mut node, |shard| shard != 4);
    run.advance(&mut node, ms(last_ms - others_ms));
    run.reply_where(&mut node, |shard| shard == 4);
    assert_eq!(run.finish(&mut node).code, code);
}
