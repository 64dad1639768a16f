//! Attempts that neither reply nor fail.

mod support;

use limit::Ending;
use limit::Tuning;
use query::Hedging;
use query::Kind;
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
        node.prepare(upstream, 40, Ending::Replied, ms(10));
    }
    while !tokens && node.limits.take_retry(&"advisers".into()) {}
    node.now += ms(20);
    let mut run = node.run(|plan| {
        plan.repeatable = repeatable;
        plan.tuning.hedging = Hedging::Off;
    });
    run.advance(&mut node, ms(20));
    if others {
        let upstream = run.sent[0].upstream.clone();
        node.prepare(&upstream, 1, Ending::Replied, ms(0));
    }
    run.advance(&mut node, ms(20));
    assert_eq!(run.sent.len(), expected);
    assert!(run.sent[1..].iter().all(|sent| sent.kind == Kind::Retry));
}
