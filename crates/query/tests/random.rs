//! Random orders of events: late, duplicate, crossed and wrong replies, failures, drains and version changes.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use base::AttemptId;
use base::Outcome;
use base::QueryReply;
use base::ShardId;
use base::Snapshot;
use base::UpstreamState;
use decl::Prefer;
use limit::Tuning as LimitTuning;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use query::Answer;
use query::Event;
use query::Failure;
use query::Plan;
use support::DEADLINE_MS;
use support::MEMBERS;
use support::Node;
use support::Run;
use support::build_map;
use support::build_reply;
use support::ms;

/// Queries that run at the same time, so that replies can be crossed.
const QUERIES: usize = 2;

const SHARDS: u32 = 4;

/// How a reply differs from the valid one.
#[derive(Debug, Clone, Copy)]
enum Change {
    None,
    Version,
    Map,
    Shard,
    Twice,
    Empty,
}

/// One step; attempts are chosen by index modulo the number sent so far.
#[derive(Debug, Clone)]
enum Step {
    Reply(usize, usize, Change),
    /// The reply to an attempt of one query is handed to the other.
    Cross(usize, usize),
    Fail(usize, usize, usize),
    Wake(usize),
    Advance(u64),
    Drain(u32),
    Hold(u32, u64),
    Repartition,
}

fn any_step() -> impl Strategy<Value = Step> {
    let change = prop_oneof![
        6 => Just(Change::None),
        1 => Just(Change::Version),
        1 => Just(Change::Map),
        1 => Just(Change::Shard),
        1 => Just(Change::Twice),
        1 => Just(Change::Empty),
    ];
    prop_oneof![
        8 => (0..QUERIES, 0..64_usize, change).prop_map(|(q, at, how)| Step::Reply(q, at, how)),
        2 => (0..QUERIES, 0..64_usize).prop_map(|(q, at)| Step::Cross(q, at)),
        5 => (0..QUERIES, 0..64_usize, 0..6_usize).prop_map(|(q, at, how)| Step::Fail(q, at, how)),
        2 => (0..QUERIES).prop_map(Step::Wake),
        5 => (0..40_u64).prop_map(Step::Advance),
        1 => (0..SHARDS * 2).prop_map(Step::Drain),
        2 => (0..SHARDS * 2, 1..4_u64).prop_map(|(at, held)| Step::Hold(at, held)),
        1 => Just(Step::Repartition),
    ]
}

fn any_failure(how: usize) -> Failure {
    match how {
        0 => Failure::NotRun,
        1 => Failure::Refused,
        2 => Failure::Unreachable,
        3 => Failure::Retired(vec![2]),
        4 => Failure::Retired(vec![1, 2]),
        _ => Failure::Lost,
    }
}

/// What the upstreams did, seen from outside the machine under test.
#[derive(Debug, Default)]
struct Seen {
    /// Attempts that were proved not run.
    not_run: BTreeSet<AttemptId>,
    /// Those of them whose proof came while the query still awaited it; a later one cannot change the answer.
    proved_in_time: BTreeSet<AttemptId>,
    /// Attempts that have ended: each has one reply or failure, and whatever follows is a duplicate.
    ended: BTreeSet<AttemptId>,
    /// Attempts whose valid reply was handed over first.
    valid: BTreeSet<AttemptId>,
}

fn step(node: &mut Node, runs: &mut [Run], seen: &mut Seen, step: Step) {
    match step {
        Step::Reply(q, at, change) if !runs[q].sent.is_empty() => {
            let at = at % runs[q].sent.len();
            let mut reply = build_reply(&runs[q].sent[at]);
            change_reply(&mut reply, change);
            if seen.ended.insert(reply.attempt) && matches!(change, Change::None | Change::Twice) {
                seen.valid.insert(reply.attempt);
            }
            runs[q].handle(node, Event::Reply(reply));
        }
        Step::Cross(q, at) if !runs[q].sent.is_empty() => {
            let reply = build_reply(&runs[q].sent[at % runs[q].sent.len()]);
            runs[1 - q].handle(node, Event::Reply(reply));
        }
        Step::Fail(q, at, how) if !runs[q].sent.is_empty() => {
            let at = at % runs[q].sent.len();
            let failure = any_failure(how);
            let id = runs[q].sent[at].id;
            if seen.ended.insert(id) && failure.proves_not_run() {
                seen.not_run.insert(id);
                if !runs[q].query.is_done() && !runs[q].cancelled.contains(&id) {
                    seen.proved_in_time.insert(id);
                }
            }
            runs[q].fail(node, at, failure);
        }
        Step::Reply(..) | Step::Cross(..) | Step::Fail(..) => {}
        Step::Wake(q) => runs[q].handle(node, Event::Wake),
        Step::Advance(time) => advance(node, runs, time),
        Step::Drain(at) => {
            let key = node.limits.key(&name_upstream(at)).unwrap();
            let now = node.now;
            node.limits
                .note_state(key, UpstreamState::Draining, now, now);
        }
        Step::Hold(at, held) => {
            let versions = [vec![1], vec![1, 2], vec![2]];
            node.hold(&name_upstream(at), &versions[held as usize - 1]);
        }
        Step::Repartition => {
            if node.index.maps.len() == 1 {
                node.index.maps.push(build_map(2, &[2], SHARDS + 1, 2));
            }
        }
    }
}

fn name_upstream(at: u32) -> base::UpstreamId {
    format!("{}-{}", at / 2, at % 2).into()
}

fn change_reply(reply: &mut QueryReply, change: Change) {
    match change {
        Change::None => {}
        Change::Version => reply.parts[0].version += 1,
        Change::Map => reply.parts[0].map += 1,
        Change::Shard => reply.parts[0].shard += 1,
        Change::Twice => reply.parts.push(reply.parts[0].clone()),
        Change::Empty => reply.parts.clear(),
    }
}

fn advance(node: &mut Node, runs: &mut [Run], time: u64) {
    for _ in 0..time {
        let now = node.now;
        for run in runs.iter_mut() {
            node.now = now;
            run.advance(node, ms(1));
        }
    }
}

fn check_answer(run: &Run, end: Instant, answer: &Answer, plan: &Plan, seen: &Seen) {
    let explanation = &answer.explanation;
    let coverage = &explanation.coverage;
    assert!(end <= plan.deadline, "answered after the deadline");
    assert_eq!(explanation.attempts as usize, run.sent.len());

    let sent: BTreeMap<String, _> = run.sent.iter().map(|a| (a.id.to_string(), a)).collect();
    let mut shards: BTreeSet<ShardId> = BTreeSet::new();
    for part in &answer.parts {
        let snapshot = Snapshot {
            version: part.version,
            map: part.map,
        };
        assert_eq!(Some(snapshot), explanation.snapshot, "snapshots mixed");
        assert!(shards.insert(part.shard), "shard {} twice", part.shard);
        let attempt = sent.get(part.items.get()).expect("another query's part");
        assert_eq!((attempt.shard, attempt.snapshot), (part.shard, snapshot));
        assert!(seen.valid.contains(&attempt.id));
    }

    let outcome = answer.code.outcome().unwrap();
    let parts_given = matches!(outcome, Outcome::Answered | Outcome::Partial);
    assert_eq!(answer.parts.is_empty(), !parts_given);
    if parts_given {
        assert_eq!(coverage.answered as usize, answer.parts.len());
    }
    assert_eq!(coverage.covered, u64::from(coverage.answered) * MEMBERS);
    assert_eq!(coverage.members, u64::from(coverage.shards) * MEMBERS);
    shards.extend(coverage.missing.iter().map(|missing| missing.shard));
    if parts_given {
        assert_eq!(
            shards.len() as u32,
            coverage.shards,
            "shards unaccounted for"
        );
    }
    let missing = coverage.missing.len() as u32;
    assert_eq!(coverage.answered + missing, coverage.shards);
    assert_eq!(
        outcome == Outcome::Answered,
        missing == 0 && coverage.shards > 0
    );

    let all_in = |set: &BTreeSet<AttemptId>| run.sent.iter().all(|a| set.contains(&a.id));
    if outcome == Outcome::Refused {
        assert!(all_in(&seen.not_run), "refused although it may have run");
    }
    if all_in(&seen.proved_in_time) {
        assert_eq!(outcome, Outcome::Refused, "{explanation:?}");
    }
    let min_coverage = plan.policy.at_deadline.min_coverage;
    if outcome == Outcome::Partial {
        assert!(coverage.covered as f64 + 1e-6 >= min_coverage * coverage.members as f64);
    }
}

/// Checks after each step that no second send may run a request that is not repeatable.
fn check_sends(run: &Run, seen: &Seen, repeatable: bool, before: usize) {
    if repeatable || run.sent.len() <= before {
        return;
    }
    let earlier = &run.sent[..run.sent.len() - 1];
    assert!(
        earlier
            .iter()
            .all(|attempt| seen.not_run.contains(&attempt.id)),
        "sent again although it may have run"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against mixed snapshots, untrue coverage, a shard counted twice, parts of another query, no answer or
    /// two, an answer after the deadline, a refusal of what may have run, a second run of what must run once, and
    /// permits that stay out.
    #[test]
    fn invariants_hold_in_any_order(
        steps in prop::collection::vec(any_step(), 0..60),
        repeatable in any::<bool>(),
        latency in any::<bool>(),
        stale in any::<bool>(),
        minimum in 0..=4_u32,
        fixed_delay in any::<bool>(),
    ) {
        let mut node = Node::new(SHARDS + 1, 2, LimitTuning::default());
        node.index.maps[0] = build_map(1, &[1, 2], SHARDS, 2);
        let mut plan = node.plan();
        plan.repeatable = repeatable;
        plan.stale = stale.then_some(ms(9_000));
        plan.policy.at_deadline.min_coverage = f64::from(minimum) / 4.0;
        if latency {
            plan.policy.at_deadline.prefer = Prefer::Latency;
        }
        if fixed_delay {
            plan.tuning.hedging = query::Hedging::Fixed(ms(3));
        }
        let mut seen = Seen::default();
        let mut runs: Vec<Run> = (0..QUERIES).map(|_| node.run(plan.clone())).collect();
        for next in steps {
            let before: Vec<usize> = runs.iter().map(|run| run.sent.len()).collect();
            step(&mut node, &mut runs, &mut seen, next);
            for (run, before) in runs.iter().zip(before) {
                check_sends(run, &seen, repeatable, before);
                prop_assert!(repeatable || run.query.is_done() || run.sent.len() <= 4);
            }
        }
        advance(&mut node, &mut runs, DEADLINE_MS);
        for run in &runs {
            prop_assert_eq!(run.answers.len(), 1, "a query answers once");
            let (end, answer) = &run.answers[0];
            check_answer(run, *end, answer, &plan, &seen);
            prop_assert!(repeatable || answer.explanation.hedges == 0);
        }
        prop_assert_eq!(node.in_flight(), 0, "permits stayed out");
    }
}
