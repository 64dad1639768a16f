//! Hedges, retries, the end of a query and its result code.

mod support;

use std::time::Duration;

use base::Code;
use base::UpstreamState;
use decl::Prefer;
use limit::Tuning as LimitTuning;
use query::Event;
use query::Failure;
use query::Hedging;
use query::Kind;
use query::Missing;
use query::MissingReason;
use query::Plan;
use query::Tuning;
use rstest::rstest;
use support::DEADLINE_MS;
use support::Node;
use support::build_reply;
use support::ms;

fn create_node(shards: u32, replicas: u32) -> Node {
    Node::new(shards, replicas, LimitTuning::default())
}

fn switch(change: impl FnOnce(&mut Tuning)) -> Tuning {
    let mut tuning = Tuning::default();
    change(&mut tuning);
    tuning
}

/// Guards against a slow replica that delays the query, against hedges that come too early, and against a hedge of a
/// request that must not run twice.
#[rstest]
#[case::quantile(true, Tuning::default(), [1, 2])]
#[case::fixed(true, switch(|t| t.hedging = Hedging::Fixed(ms(5))), [2, 2])]
#[case::switched_off(true, switch(|t| t.hedging = Hedging::Off), [1, 1])]
#[case::not_repeatable(false, Tuning::default(), [1, 1])]
fn hedges_after_delay(
    #[case] repeatable: bool,
    #[case] tuning: Tuning,
    #[case] expected: [usize; 2],
) {
    let mut node = create_node(1, 2);
    node.warm();
    let mut run = node.run(Plan {
        repeatable,
        tuning,
        ..node.plan()
    });
    run.advance(&mut node, ms(9));
    assert_eq!(run.sent.len(), expected[0]);
    run.advance(&mut node, ms(4));
    assert_eq!(run.sent.len(), expected[1]);
    if expected[1] == 2 {
        assert_eq!(run.sent[1].kind, Kind::Hedge);
        assert_ne!(run.sent[1].upstream, run.sent[0].upstream);
    }
}

/// Guards against a loser that keeps its slot, and against its late reply being taken for another part.
#[rstest]
#[case::cancel(Tuning::default(), 1)]
#[case::switched_off(switch(|t| t.cancel = false), 0)]
fn loser_is_cancelled(#[case] tuning: Tuning, #[case] cancels: usize) {
    let mut node = create_node(2, 2);
    node.warm();
    let mut run = node.run(Plan {
        tuning,
        ..node.plan()
    });
    run.reply(&mut node, 0);
    run.advance(&mut node, ms(13));
    run.reply(&mut node, 2);
    assert_eq!(run.cancelled.len(), cancels);
    assert_eq!(node.in_flight(), 0);
    let explanation = run.finish(&mut node).explanation.clone();
    assert_eq!(
        (
            explanation.attempts,
            explanation.hedges,
            explanation.cancelled
        ),
        (3, 1, 1)
    );
    run.reply(&mut node, 1);
    assert_eq!(run.query.dropped(), 1);
}

/// Guards against hedges that add load when everything is slow: no primary completes, so no token is earned.
#[rstest]
#[case::budget(LimitTuning::default(), 5)]
#[case::switched_off(LimitTuning { budget: false, ..LimitTuning::default() }, 40)]
fn hedging_stops_when_all_is_slow(#[case] tuning: LimitTuning, #[case] expected: u32) {
    let mut node = Node::new(2, 2, tuning);
    let mut hedges = 0;
    for _ in 0..20 {
        let mut run = node.run(node.plan());
        hedges += run.finish(&mut node).explanation.hedges;
    }
    assert_eq!(hedges, expected);
}

/// Guards against a retry that could run a request twice, against one beyond the budget, and against giving up a shard
/// that another replica can serve.
#[rstest]
#[case::read_shed(true, None, Failure::NotRun, Code::Answered)]
#[case::read_refused(true, None, Failure::Refused, Code::Answered)]
#[case::read_unreachable(true, None, Failure::Unreachable, Code::Answered)]
#[case::read_retired(true, None, Failure::Retired(vec![2]), Code::Answered)]
#[case::read_lost(true, None, Failure::Lost, Code::Answered)]
#[case::read_lost_stale(true, Some(9), Failure::Lost, Code::Answered)]
#[case::run_shed(false, None, Failure::NotRun, Code::Answered)]
#[case::run_shed_stale(false, Some(9), Failure::NotRun, Code::ShedEverywhere)]
#[case::run_unreachable_stale(false, Some(9), Failure::Unreachable, Code::NoUpstream)]
#[case::run_lost(false, None, Failure::Lost, Code::ReplyLost)]
fn retries_only_what_is_safe(
    #[case] repeatable: bool,
    #[case] stale_secs: Option<u64>,
    #[case] failure: Failure,
    #[case] expected: Code,
    #[values(true, false)] retry: bool,
    #[values(true, false)] tokens: bool,
) {
    let mut node = create_node(1, 2);
    if !tokens {
        node.drain_budget();
    }
    let may_run = failure == Failure::Lost;
    let shed = matches!(failure, Failure::NotRun | Failure::Retired(_));
    let refused = failure == Failure::Refused;
    let mut run = node.run(Plan {
        repeatable,
        stale: stale_secs.map(Duration::from_secs),
        tuning: switch(|t| t.retry = retry),
        ..node.plan()
    });
    run.fail(&mut node, 0, failure);
    let expected = match expected {
        Code::Answered if !retry || !tokens => match (may_run, shed, refused) {
            (true, _, _) => Code::NoReply,
            (_, true, _) => Code::ShedEverywhere,
            (_, _, true) => Code::Overloaded,
            _ => Code::NoUpstream,
        },
        other => other,
    };
    if expected == Code::Answered {
        assert_eq!(run.sent[1].kind, Kind::Retry);
        assert_ne!(run.sent[1].upstream, run.sent[0].upstream);
        run.reply(&mut node, 1);
    }
    let answer = run.finish(&mut node);
    assert_eq!(answer.code, expected);
    let retries = u32::from(expected == Code::Answered);
    assert_eq!(answer.explanation.retries, retries);
    assert_eq!(answer.explanation.not_run, u32::from(!may_run));
    assert_eq!(run.sent.len() as u32, 1 + retries);
}

/// Guards against endless retries at an upstream that keeps shedding, and against retrying it without a pause.
#[rstest]
fn retries_are_bounded() {
    let mut node = create_node(1, 1);
    let mut run = node.run(node.plan());
    for attempts in 1..=3 {
        assert_eq!(run.sent.len(), attempts);
        run.fail(&mut node, attempts - 1, Failure::NotRun);
        assert_eq!(run.sent.len(), attempts);
        run.advance(&mut node, ms(12));
    }
    assert_eq!(run.finish(&mut node).code, Code::ShedEverywhere);
    assert_eq!(run.sent.len(), 3);
}

/// Guards against an answer later than the service wants it, or with less than it wants.
///
/// Nine of ten shards reply at 1 ms; the delay of the other is 25 ms as long as few reply times are known.
#[rstest]
#[case::latency(Prefer::Latency, 0.9, 50, Code::PartialDeadline)]
#[case::latency_too_few(Prefer::Latency, 0.95, DEADLINE_MS, Code::BelowMinimum)]
#[case::coverage(Prefer::Coverage, 0.9, DEADLINE_MS, Code::PartialDeadline)]
#[case::coverage_too_few(Prefer::Coverage, 0.95, DEADLINE_MS, Code::BelowMinimum)]
fn ends_as_declared(
    #[case] prefer: Prefer,
    #[case] min_coverage: f64,
    #[case] end_ms: u64,
    #[case] code: Code,
) {
    let mut node = create_node(10, 2);
    let mut plan = node.plan();
    plan.policy.at_deadline.prefer = prefer;
    plan.policy.at_deadline.min_coverage = min_coverage;
    let mut run = node.run(plan);
    let started = node.now;
    node.now += ms(1);
    run.reply_where(&mut node, |shard| shard != 4);
    run.finish(&mut node);
    let (end, answer) = &run.answers[0];
    assert_eq!((answer.code, *end - started), (code, ms(end_ms)));
    assert_eq!(
        answer.parts.len(),
        if code == Code::BelowMinimum { 0 } else { 9 }
    );
    let coverage = &answer.explanation.coverage;
    assert_eq!((coverage.answered, coverage.covered), (9, 90));
    let missing = Missing {
        shard: 4,
        reason: MissingReason::Deadline,
        attempts: 2,
    };
    assert_eq!(coverage.missing, [missing]);
}

/// Guards against a part that claims fewer members than its shard has being counted in full.
#[rstest]
#[case::fewer(4, 4)]
#[case::more(400, 10)]
fn covered_members_are_true(#[case] searched: u64, #[case] covered: u64) {
    let mut node = create_node(1, 1);
    let mut run = node.run(node.plan());
    let mut reply = build_reply(&run.sent[0]);
    reply.parts[0].members = searched;
    run.handle(&mut node, Event::Reply(reply));
    assert_eq!(run.finish(&mut node).explanation.coverage.covered, covered);
}

/// Guards against a refusal although something may have run, and against a code that names another cause.
#[rstest]
#[case::too_late(|_: &mut Node, plan: &mut Plan| plan.deadline -= ms(DEADLINE_MS), Code::DeadlineTooShort, 0)]
#[case::no_upstream(|node: &mut Node, _: &mut Plan| node.limits.retain(|_| false), Code::NoUpstream, 0)]
#[case::no_shard(|_: &mut Node, plan: &mut Plan| plan.shards = decl::ShardSet::Names(vec![9]), Code::NoUpstream, 0)]
#[case::limited(|node: &mut Node, _: &mut Plan| fill_gates(node), Code::Overloaded, 0)]
#[case::paused(|node: &mut Node, _: &mut Plan| fail_gates(node), Code::NoUpstream, 0)]
#[case::silent(|_: &mut Node, _: &mut Plan| (), Code::NoReply, 3)]
#[case::silent_run(|_: &mut Node, plan: &mut Plan| plan.repeatable = false, Code::ReplyLost, 1)]
fn code_is_true(
    #[case] change: fn(&mut Node, &mut Plan),
    #[case] code: Code,
    #[case] attempts: usize,
) {
    let mut node = create_node(3, 1);
    let mut plan = node.plan();
    change(&mut node, &mut plan);
    let held = node.in_flight();
    let mut run = node.run(plan);
    assert_eq!(run.finish(&mut node).code, code);
    assert_eq!(run.sent.len(), attempts);
    assert_eq!(node.in_flight(), held);
}

fn fill_gates(node: &mut Node) {
    for upstream in &node.index.upstreams {
        let key = node.limits.key(&upstream.id).unwrap();
        while node.limits.acquire(key, node.now).is_ok() {}
    }
}

fn fail_gates(node: &mut Node) {
    for upstream in &node.index.upstreams {
        let key = node.limits.key(&upstream.id).unwrap();
        for _ in 0..3 {
            let permit = node.limits.acquire(key, node.now).unwrap();
            node.limits.release(permit, limit::Ending::Failed, node.now);
        }
    }
}

/// Guards against a shard that is given up although its gate has a place again before the deadline.
#[rstest]
fn postponed_attempt_is_sent() {
    let mut node = create_node(1, 1);
    let key = node.limits.key(&"0-0".into()).unwrap();
    let mut permits = Vec::new();
    while let Ok(permit) = node.limits.acquire(key, node.now) {
        permits.push(permit);
    }
    let mut run = node.run(node.plan());
    run.advance(&mut node, ms(10));
    assert!(run.sent.is_empty());
    node.limits
        .release(permits.remove(0), limit::Ending::Replied, node.now);
    run.advance(&mut node, ms(2));
    run.reply(&mut node, 0);
    assert_eq!(run.finish(&mut node).code, Code::Answered);
}

/// Guards against new work for an upstream whose reply said that it is draining, even when that reply came late.
#[rstest]
#[case::in_time(5, LimitTuning::default(), MissingReason::Draining)]
#[case::late(DEADLINE_MS + 5, LimitTuning::default(), MissingReason::Draining)]
#[case::switched_off(5, LimitTuning { drain: false, ..LimitTuning::default() }, MissingReason::Deadline)]
fn draining_upstream_gets_no_work(
    #[case] at_ms: u64,
    #[case] tuning: LimitTuning,
    #[case] expected: MissingReason,
) {
    let mut node = Node::new(1, 1, tuning);
    let mut run = node.run(node.plan());
    run.advance(&mut node, ms(at_ms));
    let mut reply = build_reply(&run.sent[0]);
    reply.state = UpstreamState::Draining;
    run.handle(&mut node, Event::Reply(reply));
    let mut next = node.run(node.plan());
    let answer = next.finish(&mut node);
    assert_eq!(answer.explanation.coverage.missing[0].reason, expected);
}

/// Guards against sends and late parts after a process was paused beyond the deadline.
#[rstest]
fn paused_process_sends_nothing() {
    let mut node = create_node(2, 2);
    let mut run = node.run(node.plan());
    run.reply(&mut node, 0);
    node.now += ms(DEADLINE_MS);
    run.reply(&mut node, 1);
    assert_eq!(run.sent.len(), 2);
    let (_, answer) = &run.answers[0];
    assert_eq!(
        (answer.code, answer.parts.len()),
        (Code::PartialDeadline, 1)
    );
}

/// Guards against permits that stay out when the caller has gone.
#[rstest]
fn abandoned_query_releases_all() {
    let mut node = create_node(3, 2);
    let mut run = node.run(node.plan());
    assert_eq!(node.in_flight(), 3);
    let actions = run.query.abandon(node.now, &mut node.limits);
    assert_eq!((actions.len(), node.in_flight()), (3, 0));
    run.advance(&mut node, ms(DEADLINE_MS));
    assert!(run.answers.is_empty());
}
