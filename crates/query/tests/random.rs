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
use support::build_reply;
use support::ms;

/// Queries that run at the same time, so that replies can be crossed.
const QUERIES: usize = 2;

const SHARDS: u32 = 4;

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

/// One step: its kind, the attempt or upstream or time that it concerns, and the query.
type Step = (u8, usize, usize);

/// Number of kinds of step; the more likely ones have several numbers.
const KINDS: u8 = 30;

fn take_step(node: &mut Node, runs: &mut [Run], seen: &mut Seen, (kind, at, q): Step) {
    let attempt = runs[q].sent.get(at % runs[q].sent.len().max(1)).cloned();
    let upstream = format!("{}-{}", at as u32 % SHARDS, at % 2);
    let (key, now) = (node.key(&upstream), node.now);
    match (kind, attempt) {
        (0..14, Some(attempt)) => {
            let mut reply = build_reply(&attempt);
            let valid = change_reply(&mut reply, kind);
            if seen.ended.insert(attempt.id) && valid {
                seen.valid.insert(attempt.id);
            }
            runs[q].handle(node, Event::Reply(reply));
        }
        (14..16, Some(attempt)) => {
            // The reply to an attempt of one query reaches the other.
            runs[1 - q].handle(node, Event::Reply(build_reply(&attempt)));
        }
        (16..22, Some(attempt)) => {
            let failure = build_failure(kind - 16);
            if seen.ended.insert(attempt.id) && failure.proves_not_run() {
                seen.not_run.insert(attempt.id);
                if !runs[q].query.is_done() && !runs[q].cancelled.contains(&attempt.id) {
                    seen.proved_in_time.insert(attempt.id);
                }
            }
            runs[q].handle(node, Event::Failed(attempt.id, failure));
        }
        (22, _) => runs[q].handle(node, Event::Wake),
        (23, _) => node
            .limits
            .record_state(key, UpstreamState::Draining, now, now),
        (24, _) => node.limits.record_versions(key, &[1], now),
        (25, _) => node.limits.record_versions(key, &[2], now),
        (26, _) if node.index.maps.len() == 1 => node.add_map(2, &[2], SHARDS + 1, 2),
        _ => advance(node, runs, at as u64 / 2),
    }
}

/// Makes some replies invalid; returns whether the reply still holds the part asked for.
fn change_reply(reply: &mut QueryReply, kind: u8) -> bool {
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

fn advance(node: &mut Node, runs: &mut [Run], time: u64) {
    for _ in 0..time {
        let now = node.now;
        for run in runs.iter_mut() {
            node.now = now;
            run.advance(node, ms(1));
        }
    }
}

fn check_answer(run: &Run, end: Instant, answer: &Answer, seen: &Seen) {
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
        steps in prop::collection::vec((0..KINDS, 0..64_usize, 0..QUERIES), 0..60),
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
        let mut seen = Seen::default();
        let mut runs: Vec<Run> = (0..QUERIES).map(|_| node.run(change)).collect();
        for next in steps {
            let before: Vec<usize> = runs.iter().map(|run| run.sent.len()).collect();
            take_step(&mut node, &mut runs, &mut seen, next);
            for (run, before) in runs.iter().zip(before) {
                check_sends(run, &seen, repeatable, before);
                // A first attempt and two retries on each of three snapshots.
                prop_assert!(repeatable || run.sent.len() <= 9);
            }
        }
        advance(&mut node, &mut runs, DEADLINE_MS);
        for run in &runs {
            prop_assert_eq!(run.answers.len(), 1, "a query answers once");
            let (end, answer) = &run.answers[0];
            check_answer(run, *end, answer, &seen);
            prop_assert!(repeatable || answer.explanation.hedges == 0);
        }
        prop_assert_eq!(node.in_flight(), 0, "permits stayed out");
    }
}
