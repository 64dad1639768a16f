//! Random sequences of events: late, duplicate, misrouted and invalid replies, failures, drains and version changes.

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
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use query::Answer;
use query::Event;
use query::Failure;
use query::Plan;
use support::DEADLINE_MS;
use support::MEMBERS;
use support::Node;
use support::QueryRun;
use support::build_reply;
use support::ms;

/// Concurrent queries, so that a reply can reach the wrong one.
const QUERIES: usize = 2;

const SHARDS: u32 = 4;

/// What the upstreams did, as observed outside the state machine.
#[derive(Debug, Default)]
struct Observed {
    /// Attempts that were proved not run.
    not_run: BTreeSet<AttemptId>,
    /// Those of them whose proof came while the query still awaited a reply; a later proof can't change the answer.
    proved_in_time: BTreeSet<AttemptId>,
    /// Attempts that got a reply or failure; any later one is a duplicate.
    ended: BTreeSet<AttemptId>,
    /// Attempts whose first reply or failure was a valid reply.
    valid: BTreeSet<AttemptId>,
}

/// One step: its kind, a number that selects the attempt, the upstream or the time, and the query.
type Step = (u8, usize, usize);

/// Number of kinds of step; the more frequent ones have several numbers.
const STEP_KINDS: u8 = 30;

fn apply_step(
    node: &mut Node,
    runs: &mut [QueryRun],
    observed: &mut Observed,
    (kind, selector, query): Step,
) {
    let attempt = runs[query]
        .sent
        .get(selector % runs[query].sent.len().max(1))
        .cloned();
    let upstream = format!("{}-{}", selector as u32 % SHARDS, selector % 2);
    let (key, now) = (node.key(&upstream), node.now);
    match (kind, attempt) {
        (0..14, Some(attempt)) => {
            let mut reply = build_reply(&attempt);
            let valid = corrupt_reply(&mut reply, kind);
            if observed.ended.insert(attempt.id) && valid {
                observed.valid.insert(attempt.id);
            }
            runs[query].handle(node, Event::Reply(reply));
        }
        (14..16, Some(attempt)) => {
            // The reply to one query reaches the other.
            runs[1 - query].handle(node, Event::Reply(build_reply(&attempt)));
        }
        (16..22, Some(attempt)) => {
            let failure = build_failure(kind - 16);
            if observed.ended.insert(attempt.id) && failure.proves_not_run() {
                observed.not_run.insert(attempt.id);
                if !runs[query].query.is_done() && !runs[query].cancelled.contains(&attempt.id) {
                    observed.proved_in_time.insert(attempt.id);
                }
            }
            runs[query].handle(node, Event::Failed(attempt.id, failure));
        }
        (22, _) => runs[query].handle(node, Event::Wake),
        (23, _) => node
            .limits
            .record_state(key, UpstreamState::Draining, now, now),
        (24, _) => node.limits.record_versions(key, &[1], now),
        (25, _) => node.limits.record_versions(key, &[2], now),
        (26, _) if node.index.maps.len() == 1 => node.add_map(2, &[2], SHARDS + 1, 2),
        _ => advance_all(node, runs, selector as u64 / 2),
    }
}

/// Makes replies of some kinds invalid; returns whether the reply still contains the requested part.
fn corrupt_reply(reply: &mut QueryReply, kind: u8) -> bool {
    match kind {
        0 => reply.parts[0].version += 1,
        1 => reply.parts[0].map += 1,
        2 => reply.parts[0].shard += 1,
        3 => reply.parts.clear(),
        4 => reply.parts.push(reply.parts[0].clone()),
        _ => {}
    }
    kind >= 4
}

fn build_failure(kind: u8) -> Failure {
    match kind {
        0 => Failure::NotRun,
        1 => Failure::Refused,
        2 => Failure::Unreachable,
        3 | 4 => Failure::Retired(Vec::from_iter(5 - u64::from(kind)..=2)),
        _ => Failure::Lost,
    }
}

fn advance_all(node: &mut Node, runs: &mut [QueryRun], time: u64) {
    for _ in 0..time {
        let now = node.now;
        for run in runs.iter_mut() {
            node.now = now;
            run.advance_time(node, ms(1));
        }
    }
}

fn check_answer(run: &QueryRun, end: Instant, answer: &Answer, observed: &Observed) {
    let plan = run.query.plan();
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
        assert_eq!(
            Some(snapshot),
            explanation.snapshot,
            "part of another snapshot"
        );
        assert!(
            shards.insert(part.shard),
            "shard {} is in the answer twice",
            part.shard
        );
        let attempt = sent.get(part.items.get()).expect("part of another query");
        assert_eq!((attempt.shard, attempt.snapshot), (part.shard, snapshot));
        assert!(observed.valid.contains(&attempt.id));
    }

    let outcome = answer.code.outcome().unwrap();
    let has_parts = matches!(outcome, Outcome::Answered | Outcome::Partial);
    assert_eq!(answer.parts.is_empty(), !has_parts);
    if has_parts {
        assert_eq!(coverage.answered as usize, answer.parts.len());
    }
    assert_eq!(coverage.covered, u64::from(coverage.answered) * MEMBERS);
    assert_eq!(coverage.members, u64::from(coverage.shards) * MEMBERS);
    shards.extend(coverage.missing.iter().map(|missing| missing.shard));
    if has_parts {
        assert_eq!(
            shards.len() as u32,
            coverage.shards,
            "shards neither answered nor missing"
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
        assert!(
            all_in(&observed.not_run),
            "refused although an attempt may have run"
        );
    }
    if all_in(&observed.proved_in_time) {
        assert_eq!(outcome, Outcome::Refused, "{explanation:?}");
    }
    let min_coverage = plan.policy.at_deadline.min_coverage;
    if outcome == Outcome::Partial {
        assert!(coverage.covered as f64 + 1e-6 >= min_coverage * coverage.members as f64);
    }
}

/// Checks that a request that is not repeatable is sent again only when every earlier attempt is proved not run.
fn check_resend(run: &QueryRun, observed: &Observed, repeatable: bool, before: usize) {
    if repeatable || run.sent.len() <= before {
        return;
    }
    let earlier = &run.sent[..run.sent.len() - 1];
    assert!(
        earlier
            .iter()
            .all(|attempt| observed.not_run.contains(&attempt.id)),
        "sent again although an earlier attempt may have run"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against mixed snapshots, wrong coverage, a shard counted twice, parts of another query, no answer or two,
    /// an answer after the deadline, a refusal of a request that may have run, a second run of a request that must run
    /// once, and permits that are not released.
    #[test]
    fn invariants_hold_for_any_event_order(
        steps in prop::collection::vec((0..STEP_KINDS, 0..64_usize, 0..QUERIES), 0..60),
        repeatable in any::<bool>(),
        latency in any::<bool>(),
        stale in any::<bool>(),
        minimum in 0..=4_u32,
        late_hedge in any::<bool>(),
    ) {
        let mut node = Node::new(SHARDS + 1, 2, &[]);
        node.add_map(1, &[1, 2], SHARDS, 2);
        let change = |plan: &mut Plan| {
            plan.repeatable = repeatable;
            plan.stale = stale.then_some(ms(9_000));
            plan.policy.at_deadline.min_coverage = f64::from(minimum) / 4.0;
            plan.policy.at_deadline.prefer = if latency { Prefer::Latency } else { Prefer::Coverage };
            plan.tuning.hedging = query::Hedging::Fixed(ms(if late_hedge { 30 } else { 3 }));
        };
        let mut observed = Observed::default();
        let mut runs: Vec<QueryRun> = (0..QUERIES).map(|_| node.start_query(change)).collect();
        for next in steps {
            let before: Vec<usize> = runs.iter().map(|run| run.sent.len()).collect();
            apply_step(&mut node, &mut runs, &mut observed, next);
            for (run, before) in runs.iter().zip(before) {
                check_resend(run, &observed, repeatable, before);
                // A first attempt and two retries on each of three snapshots.
                prop_assert!(repeatable || run.sent.len() <= 9);
            }
        }
        advance_all(&mut node, &mut runs, DEADLINE_MS);
        for run in &runs {
            prop_assert_eq!(run.answers.len(), 1, "a query answers once");
            let (end, answer) = &run.answers[0];
            check_answer(run, *end, answer, &observed);
            prop_assert!(repeatable || answer.explanation.hedges == 0);
        }
        prop_assert_eq!(node.in_flight(), 0, "permits were not released");
    }
}
