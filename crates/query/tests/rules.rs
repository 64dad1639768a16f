//! Hedges, retries, the end of a query and its result code; then the snapshot of an answer: binding, restarts and
//! mismatched parts.

mod support;

use base::Code;
use base::IndexVersion;
use base::QueryReply;
use base::UpstreamState;
use decl::Prefer;
use limit::AttemptOutcome;
use limit::Tuning as LimitTuning;
use query::AttemptKind;
use query::Event;
use query::Failure;
use query::Hedging;
use query::MissingReason;
use query::MissingShard;
use query::Plan;
use rstest::rstest;
use support::DEADLINE_MS;
use support::MEMBERS;
use support::Node;
use support::build_reply;
use support::ms;

/// Guards against a slow replica that delays the query, against hedges that come too early, or too late because the
/// replica is always slow, and against a hedge of a request that must not run twice.
#[rstest]
#[case::quantile(true, Hedging::Quantile(0.95), 10, [1, 2])]
#[case::always_slow(true, Hedging::Quantile(0.95), 40, [1, 2])]
#[case::fixed(true, Hedging::Fixed(ms(5)), 10, [2, 2])]
#[case::switched_off(true, Hedging::Off, 10, [1, 1])]
#[case::not_repeatable(false, Hedging::Quantile(0.95), 10, [1, 1])]
fn hedges_after_delay(
    #[case] repeatable: bool,
    #[case] hedging: Hedging,
    #[case] first_ms: u64,
    #[case] expected: [usize; 2],
) {
    let mut node = Node::with_one_version(1, 2);
    node.run_attempts("0-0", 40, AttemptOutcome::Replied, ms(first_ms));
    node.run_attempts("0-1", 40, AttemptOutcome::Replied, ms(10));
    let mut run = node.start_query(|plan| {
        plan.repeatable = repeatable;
        plan.tuning.hedging = hedging;
    });
    run.advance_time(&mut node, ms(9));
    assert_eq!(run.sent.len(), expected[0]);
    run.advance_time(&mut node, ms(4));
    assert_eq!(run.sent.len(), expected[1]);
    if let Some(hedge) = run.sent.get(1) {
        assert_eq!(hedge.kind, AttemptKind::Hedge);
        assert_ne!(hedge.upstream, run.sent[0].upstream);
    }
}

/// Guards against hedges of replies that are barely late, which leave no tokens for stragglers, against saved tokens
/// that stay unused, and against hedges and retries of a service that declares no budget for them. One in 40 replies is
/// slow.
#[rstest]
#[case::small(0.03, 0, 0)]
#[case::saved(0.03, 10_000, 1)]
#[case::large(0.2, 0, 1)]
#[case::none(0.0, 10_000, 0)]
fn hedge_delay_follows_budget(#[case] budget: f64, #[case] saved: u32, #[case] expected: usize) {
    let mut node = Node::with_one_version(1, 2);
    for upstream in ["0-0", "0-1"] {
        node.run_attempts(upstream, 39, AttemptOutcome::Replied, ms(5));
        node.run_attempts(upstream, 1, AttemptOutcome::Replied, ms(40));
    }
    for _ in 0..saved {
        node.limits.earn(&"advisers".into(), 0.03, 0.0);
    }
    let mut run = node.start_query(|plan| {
        plan.policy.hedge_budget = budget;
        plan.policy.retry_budget = 0.0;
    });
    run.advance_time(&mut node, ms(9));
    assert_eq!(run.sent.len(), 1 + expected);
    for at in 0..=expected {
        run.fail(&mut node, at, Failure::Lost);
    }
    assert_eq!(run.finish(&mut node).explanation.retries, 0);
}

/// Guards against a slower attempt that keeps its permit after another one replied, and against using its late reply as
/// another part.
#[rstest]
#[case::cancel(true, 1)]
#[case::switched_off(false, 0)]
fn slower_attempt_is_cancelled(#[case] cancel: bool, #[case] cancels: usize) {
    let mut node = Node::with_one_version(2, 2);
    let mut run = node.start_query(|plan| plan.tuning.cancel = cancel);
    run.advance_time(&mut node, ms(26));
    run.reply_where(&mut node, |shard| shard == 1);
    assert_eq!((run.cancelled.len(), node.in_flight()), (cancels, 2));
    run.reply_where(&mut node, |shard| shard == 0);
    let explanation = &run.finish(&mut node).explanation;
    let counts = (
        explanation.attempts,
        explanation.hedges,
        explanation.cancelled,
    );
    assert_eq!(counts, (4, 2, 2));
    assert_eq!((run.query.dropped(), node.in_flight()), (2, 0));
}

/// Guards against hedges that add load when every upstream is slow: no primary completes, so no token is earned.
#[rstest]
#[case::budget(true, 5)]
#[case::switched_off(false, 40)]
fn hedging_stops_when_every_upstream_is_slow(#[case] budget: bool, #[case] expected: u32) {
    let mut node = Node::with_one_version(2, 2);
    node.set_tuning(LimitTuning {
        budget,
        ..LimitTuning::default()
    });
    let hedges = (0..20).map(|_| {
        node.start_query(|_| ())
            .finish(&mut node)
            .explanation
            .hedges
    });
    assert_eq!(hedges.sum::<u32>(), expected);
}

/// Guards against hedges and retries that earn tokens themselves, so that extra load would allow even more.
#[rstest]
fn only_primaries_earn_tokens() {
    let mut node = Node::with_one_version(1, 2);
    let mut run = node.start_query(|_| ());
    run.fail(&mut node, 0, Failure::NotRun);
    run.reply(&mut node, 1);
    let mut run = node.start_query(|_| ());
    run.advance_time(&mut node, ms(26));
    run.reply(&mut node, 1);
    let budget = node.limits.budget(&"advisers".into());
    assert_eq!((budget.hedge_tokens(), budget.retry_tokens()), (4.0, 4.0));
}

/// Guards against a retry that could run a request twice, against one beyond the budget, and against a missing shard
/// that another replica can serve. A `read` is repeatable and a `run` is not. The codes are those with and without a
/// retry. A rejected version, a refused connection and an unreachable server need no token, because the server did no
/// work.
#[rstest]
#[case::read_shed(true, false, Failure::NotRun, Code::Answered, Code::ShedEverywhere)]
#[case::read_refused(true, false, Failure::Refused, Code::Answered, Code::Overloaded)]
#[case::read_unreachable(true, false, Failure::Unreachable, Code::Answered, Code::NoUpstream)]
#[case::read_retired(true, false, Failure::Retired(vec![2]), Code::Answered, Code::ShedEverywhere)]
#[case::read_lost(true, false, Failure::Lost, Code::Answered, Code::NoReply)]
#[case::read_lost_stale(true, true, Failure::Lost, Code::Answered, Code::NoReply)]
#[case::run_shed(false, false, Failure::NotRun, Code::Answered, Code::ShedEverywhere)]
#[case::run_shed_stale(
    false,
    true,
    Failure::NotRun,
    Code::ShedEverywhere,
    Code::ShedEverywhere
)]
#[case::run_lost(false, false, Failure::Lost, Code::ReplyLost, Code::ReplyLost)]
fn retries_only_if_safe_and_within_budget(
    #[case] repeatable: bool,
    #[case] stale: bool,
    #[case] failure: Failure,
    #[case] with_retry: Code,
    #[case] without: Code,
    #[values((true, true), (false, true), (true, false))] (retry, tokens): (bool, bool),
) {
    let mut node = Node::with_one_version(1, 2);
    while !tokens && node.limits.spend_retry(&"advisers".into()) {}
    let not_run = u32::from(failure.proves_not_run());
    let mut run = node.start_query(|plan| {
        plan.repeatable = repeatable;
        plan.stale = stale.then_some(ms(9_000));
        plan.tuning.retry = retry;
    });
    let rejected = matches!(
        failure,
        Failure::Retired(_) | Failure::Refused | Failure::Unreachable
    );
    run.fail(&mut node, 0, failure);
    let code = if retry && (tokens || rejected) {
        with_retry
    } else {
        without
    };
    if code == Code::Answered {
        assert_eq!(run.sent[1].kind, AttemptKind::Retry);
        assert_ne!(run.sent[1].upstream, run.sent[0].upstream);
        run.reply(&mut node, 1);
    }
    let answer = run.finish(&mut node);
    let retries = u32::from(code == Code::Answered);
    let explanation = &answer.explanation;
    assert_eq!((answer.code, explanation.not_run), (code, not_run));
    assert_eq!(
        (explanation.attempts, explanation.retries),
        (1 + retries, retries)
    );
}

/// Guards against asking a server again for a version that it rejected, since such retries need no token.
#[rstest]
fn rejected_version_is_requested_once_per_replica() {
    let mut node = Node::with_one_version(1, 3);
    while node.limits.spend_retry(&"advisers".into()) {}
    let mut run = node.start_query(|_| ());
    for number in 0..3 {
        run.fail(&mut node, number, Failure::Retired(vec![2]));
    }
    let mut upstreams: Vec<_> = run.sent.iter().map(|attempt| &attempt.upstream).collect();
    upstreams.sort();
    upstreams.dedup();
    assert_eq!((run.sent.len(), upstreams.len()), (3, 3));
    assert_eq!(run.finish(&mut node).code, Code::ShedEverywhere);
}

/// Guards against endless retries at an upstream that keeps shedding, and against retries without a delay.
#[rstest]
fn retries_are_bounded() {
    let mut node = Node::with_one_version(1, 1);
    let mut run = node.start_query(|_| ());
    for attempts in 1..=3 {
        assert_eq!(run.sent.len(), attempts);
        run.fail(&mut node, attempts - 1, Failure::NotRun);
        assert_eq!(run.sent.len(), attempts);
        run.advance_time(&mut node, ms(12));
    }
    assert_eq!(run.finish(&mut node).code, Code::ShedEverywhere);
    assert_eq!(run.sent.len(), 3);
}

/// Guards against an answer that comes later or covers less than the service declares.
///
/// Nine of ten shards reply at 1 ms; the delay of the other is 25 ms as long as few reply times are known.
#[rstest]
#[case::latency(Prefer::Latency, 0.9, 50, Code::PartialDeadline)]
#[case::latency_too_few(Prefer::Latency, 0.95, DEADLINE_MS, Code::BelowMinimum)]
#[case::coverage(Prefer::Coverage, 0.9, DEADLINE_MS, Code::PartialDeadline)]
#[case::coverage_too_few(Prefer::Coverage, 0.95, DEADLINE_MS, Code::BelowMinimum)]
fn finishes_as_declared(
    #[case] prefer: Prefer,
    #[case] min_coverage: f64,
    #[case] end_ms: u64,
    #[case] code: Code,
) {
    let mut node = Node::with_one_version(10, 2);
    let started = node.now;
    let mut run = node.start_query(|plan| {
        plan.policy.at_deadline.prefer = prefer;
        plan.policy.at_deadline.min_coverage = min_coverage;
    });
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
    let missing = MissingShard {
        shard: 4,
        reason: MissingReason::Deadline,
        attempts: 2,
    };
    assert_eq!(coverage.missing, [missing]);
}

/// Guards against a refusal although an attempt may have run, against a code that names another cause, and against
/// waiting for upstreams that are paused beyond the deadline.
#[rstest]
#[case::too_late(|_: &mut Node| (), |plan: &mut Plan| plan.deadline -= ms(DEADLINE_MS), Code::DeadlineTooShort, 0, 0)]
#[case::no_upstream(|node: &mut Node| node.limits.retain(|_| false), |_: &mut Plan| (), Code::NoUpstream, 0, 0)]
#[case::no_shard(|_: &mut Node| (), |plan: &mut Plan| plan.shards = decl::ShardSet::Names(vec![9]), Code::NoUpstream, 0, 0)]
#[case::limited(|node: &mut Node| node.fill_upstream(), |_: &mut Plan| (), Code::Overloaded, 0, DEADLINE_MS)]
#[case::paused(|node: &mut Node| node.run_attempts("0-0", 3, AttemptOutcome::Failed, ms(0)), |_: &mut Plan| (), Code::NoUpstream, 0, 0)]
#[case::silent(|_: &mut Node| (), |_: &mut Plan| (), Code::NoReply, 1, DEADLINE_MS)]
#[case::silent_run(|_: &mut Node| (), |plan: &mut Plan| plan.repeatable = false, Code::ReplyLost, 1, DEADLINE_MS)]
fn code_names_the_cause(
    #[case] prepare: fn(&mut Node),
    #[case] change: fn(&mut Plan),
    #[case] code: Code,
    #[case] attempts: usize,
    #[case] end_ms: u64,
) {
    let mut node = Node::with_one_version(1, 1);
    prepare(&mut node);
    let (in_flight, started) = (node.in_flight(), node.now);
    let mut run = node.start_query(change);
    assert_eq!(run.finish(&mut node).code, code);
    assert_eq!(
        (run.sent.len(), run.answers[0].0 - started),
        (attempts, ms(end_ms))
    );
    assert_eq!(node.in_flight(), in_flight);
}

/// Guards against a shard that is missing although its gate has capacity again before the deadline, and against
/// capacity that stays unused although the waiting query could be woken.
#[rstest]
#[case::woken(true, 0)]
#[case::rechecked(false, 5)]
fn postponed_attempt_is_sent(#[case] wake: bool, #[case] wait_ms: u64) {
    let mut node = Node::with_one_version(1, 1);
    let key = node.key("0-0");
    let permit = node.limits.acquire(key, node.now).unwrap();
    node.fill_upstream();
    let mut run = node.start_query(|_| ());
    run.advance_time(&mut node, ms(10));
    assert!(run.sent.is_empty());
    node.limits
        .release(permit, AttemptOutcome::Replied, node.now);
    if wake {
        assert_eq!(node.limits.next_waiter(node.now), Some(1));
        run.handle(&mut node, Event::Wake);
        assert_eq!(node.limits.next_waiter(node.now), None);
    }
    run.advance_time(&mut node, ms(wait_ms));
    run.reply(&mut node, 0);
    assert_eq!(run.finish(&mut node).code, Code::Answered);
}

/// Guards against new work for an upstream whose reply said that it is draining, even when that reply came late.
#[rstest]
#[case::in_time(5, true, MissingReason::Draining)]
#[case::late(DEADLINE_MS + 5, true, MissingReason::Draining)]
#[case::switched_off(5, false, MissingReason::Deadline)]
fn draining_upstream_gets_no_work(
    #[case] at_ms: u64,
    #[case] drain: bool,
    #[case] expected: MissingReason,
) {
    let mut node = Node::with_one_version(1, 1);
    node.set_tuning(LimitTuning {
        drain,
        ..LimitTuning::default()
    });
    let mut run = node.start_query(|_| ());
    run.advance_time(&mut node, ms(at_ms));
    let mut reply = build_reply(&run.sent[0]);
    reply.state = UpstreamState::Draining;
    run.handle(&mut node, Event::Reply(reply));
    let mut next = node.start_query(|_| ());
    let coverage = &next.finish(&mut node).explanation.coverage;
    assert_eq!(coverage.missing[0].reason, expected);
}

/// Guards against sending attempts and accepting parts after a process was paused beyond the deadline.
#[rstest]
fn paused_process_sends_nothing() {
    let mut node = Node::with_one_version(2, 2);
    let mut run = node.start_query(|_| ());
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

/// Guards against permits that are not released when the caller is gone.
#[rstest]
fn abandoned_query_releases_its_permits() {
    let mut node = Node::with_one_version(3, 2);
    let mut run = node.start_query(|_| ());
    let actions = run.query.abandon(node.now, &mut node.limits);
    assert_eq!((actions.len(), node.in_flight()), (3, 0));
    run.advance_time(&mut node, ms(DEADLINE_MS));
    assert!(run.answers.is_empty());
}

/// Creates a node at whose index version 2 follows version 1, on the same map or on a second one.
fn create_node(shards: u32, replicas: u32, repartition: bool) -> Node {
    let maps: &[&[IndexVersion]] = if repartition {
        &[&[1], &[2]]
    } else {
        &[&[1, 2]]
    };
    Node::new(shards, replicas, maps)
}

/// Guards against binding the newest version while few upstreams hold it, and against keeping an old one forever.
#[rstest]
#[case::nothing_known(1, &[], true, 2)]
#[case::none_holds_newest(1, &["1", "1", "1"], true, 1)]
#[case::one_holds_newest(1, &["12", "1", "1"], true, 1)]
#[case::all_hold_newest(1, &["12", "12", "12"], true, 2)]
#[case::most_hold_newest(1, &["2", "2", "1"], true, 2)]
#[case::more_confirmed(2, &["2", "1", "1"], true, 1)]
#[case::switched_off(1, &["1", "1", "1"], false, 2)]
fn binds_the_version_that_covers_most_members(
    #[case] replicas: u32,
    #[case] held: &[&str],
    #[case] best_version: bool,
    #[case] expected: IndexVersion,
    #[values(true, false)] repartition: bool,
) {
    let mut node = create_node(3, replicas, repartition);
    node.record_versions(held);
    let mut run = node.start_query(|plan| plan.tuning.best_version = best_version);
    let snapshot = run.finish(&mut node).explanation.snapshot.unwrap();
    assert_eq!(snapshot.version, expected);
}

/// Guards against binding a version whose only replica is draining.
#[rstest]
fn draining_replica_does_not_count() {
    let mut node = create_node(2, 1, false);
    node.record_versions(&["12", "1"]);
    let (key, now) = (node.key("0-0"), node.now);
    node.limits
        .record_state(key, UpstreamState::Draining, now, now);
    let run = node.start_query(|_| ());
    assert_eq!((run.sent.len(), run.sent[0].snapshot.version), (1, 1));
}

/// Guards against an answer without the shards that have replaced the bound version, and against mixing both versions.
#[rstest]
#[case::restart(true, Code::Answered, &[0, 1, 2])]
#[case::switched_off(false, Code::PartialRetired, &[0, 2])]
fn restarts_all_shards_when_version_is_retired(
    #[case] restart: bool,
    #[case] code: Code,
    #[case] shards: &[u32],
    #[values(true, false)] repartition: bool,
) {
    let mut node = create_node(3, 1, repartition);
    node.record_versions(&["1"; 3]);
    let mut run = node.start_query(|plan| plan.tuning.restart = restart);
    run.reply(&mut node, 0);
    node.record_versions(&["2"; 3]);
    run.fail(&mut node, 1, Failure::Retired(vec![2]));
    run.reply(&mut node, 2);
    for at in 3..run.sent.len() {
        run.reply(&mut node, at);
    }
    let answer = run.finish(&mut node);
    assert_eq!(answer.code, code);
    let explanation = &answer.explanation;
    let restarts = u32::from(restart);
    assert_eq!(
        (explanation.restarts, explanation.dropped),
        (restarts, restarts)
    );
    assert_eq!(explanation.abandoned.len(), restarts as usize);
    let version = explanation.snapshot.unwrap().version;
    let parts: Vec<_> = answer
        .parts
        .iter()
        .map(|part| (part.shard, part.version))
        .collect();
    assert_eq!(
        parts,
        Vec::from_iter(shards.iter().map(|shard| (*shard, version)))
    );
    assert_eq!(node.in_flight(), 0);
}

/// Guards against a restart that can't finish in time, and against one that would cover no more members.
#[rstest]
#[case::too_late(90, vec![2])]
#[case::gains_nothing(1, vec![])]
fn gives_partial_answer_instead_of_restart(#[case] at_ms: u64, #[case] held: Vec<IndexVersion>) {
    let mut node = create_node(3, 1, false);
    node.record_versions(&["1"; 3]);
    let mut run = node.start_query(|_| ());
    run.reply(&mut node, 0);
    run.advance_time(&mut node, ms(at_ms));
    node.record_versions(&["2"; 2]);
    run.fail(&mut node, 2, Failure::Retired(held));
    run.reply(&mut node, 1);
    let answer = run.finish(&mut node);
    assert_eq!((answer.code, answer.parts.len()), (Code::PartialRetired, 2));
    let missing = &answer.explanation.coverage.missing[0];
    assert_eq!((missing.shard, missing.reason), (2, MissingReason::Retired));
}

/// Guards against a restart that could run a request twice, and against another attempt on a map that was rejected.
#[rstest]
#[case::proved(vec![2], false, 2)]
#[case::stale(vec![2], true, 1)]
#[case::wrong_map(vec![1], false, 1)]
fn rejected_run_restarts_if_safe(
    #[case] held: Vec<IndexVersion>,
    #[case] stale: bool,
    #[case] attempts: usize,
) {
    let mut node = create_node(1, 1, false);
    node.record_versions(&["1"]);
    let mut run = node.start_query(|plan| {
        plan.repeatable = false;
        plan.stale = stale.then_some(ms(5_000));
    });
    run.fail(&mut node, 0, Failure::Retired(held));
    run.advance_time(&mut node, ms(20));
    assert_eq!(run.sent.len(), attempts);
}

/// Guards against parts of another attempt, snapshot or shard, against counting a shard twice, and against a part that
/// reports another number of members than its shard has.
#[rstest]
#[case::valid(|_: &mut QueryReply| (), 1, 20)]
#[case::other_attempt(|reply: &mut QueryReply| reply.attempt += 1_000, 1, 20)]
#[case::other_version(|reply: &mut QueryReply| reply.parts[0].version += 1, 2, 10)]
#[case::other_map(|reply: &mut QueryReply| reply.parts[0].map += 1, 2, 10)]
#[case::other_shard(|reply: &mut QueryReply| reply.parts[0].shard += 1, 2, 10)]
#[case::part_twice(|reply: &mut QueryReply| reply.parts.push(reply.parts[0].clone()), 2, 20)]
#[case::without_part(|reply: &mut QueryReply| reply.parts.clear(), 1, 10)]
#[case::fewer_members(|reply: &mut QueryReply| reply.parts[0].members = 4, 1, 14)]
#[case::more_members(|reply: &mut QueryReply| reply.parts[0].members = 99, 1, 20)]
fn mismatched_parts_are_dropped(
    #[case] change: fn(&mut QueryReply),
    #[case] dropped: u32,
    #[case] covered: u64,
) {
    let mut node = Node::with_one_version(2, 1);
    let mut run = node.start_query(|plan| plan.tuning.retry = false);
    let mut reply = build_reply(&run.sent[0]);
    change(&mut reply);
    run.handle(&mut node, Event::Reply(reply));
    run.reply(&mut node, 0);
    run.reply(&mut node, 1);
    let explanation = &run.finish(&mut node).explanation;
    assert_eq!(explanation.dropped, dropped);
    assert_eq!(explanation.coverage.covered, covered);
    assert_eq!(
        explanation.coverage.answered,
        covered.div_ceil(MEMBERS) as u32
    );
}

/// Guards against sending a request that is not repeatable to several shards, or to another one on a caller's retry.
#[rstest]
fn non_repeatable_request_goes_to_one_shard() {
    let mut node = Node::with_one_version(30, 2);
    let mut find_shard = |key: &str| {
        let run = node.start_query(|plan| {
            plan.repeatable = false;
            plan.key = key.into();
        });
        assert_eq!(run.sent.len(), 1);
        run.sent[0].shard
    };
    assert_eq!(find_shard("a"), find_shard("a"));
    assert_ne!(find_shard("a"), find_shard("b"));
}
