//! Tests that the benchmark is reproducible and that its checks detect violations.

use std::collections::BTreeMap;

use base::Part;
use base::ShardMap;
use base::Snapshot;
use decl::ShardSet;
use lab::bench::Case;
use lab::bench::Condition;
use lab::bench::Options;
use lab::bench::Policy;
use lab::bench::Violations;
use lab::bench::audit::Evidence;
use lab::bench::audit::check_answer;
use lab::bench::run_one;
use query::Answer;
use rstest::rstest;
use serde_json::value::RawValue;

fn run(condition: Condition, policy: Policy, seed: u64) -> Case {
    let options = Options {
        seed,
        quick: true,
        ..Options::default()
    };
    run_one(("skiasis", "offcut-desk"), condition, policy, &options).unwrap()
}

/// Guards against results that depend on anything but the seed, such as the clock or the order of a hash map.
#[rstest]
fn same_seed_gives_the_same_results() {
    let first = run(Condition::Repartition, Policy::Full, 3);
    assert_eq!(first, run(Condition::Repartition, Policy::Full, 3));
    assert_ne!(first, run(Condition::Repartition, Policy::Full, 4));
}

/// Guards against a full policy that violates a guarantee, and against conditions that have no effect on queries.
#[rstest]
#[case::version_change(Condition::VersionChange)]
#[case::zone_partitioned(Condition::ZonePartitioned)]
fn full_policy_keeps_the_guarantees(#[case] condition: Condition) {
    let case = run(condition, Policy::Full, 5);
    assert_eq!(case.violations, Violations::default());
    assert!(case.offered > 500);
    let healthy = run(Condition::Healthy, Policy::Full, 5);
    assert_ne!(case.actions, healthy.actions);
}

/// Guards against a check of the connection limit that finds nothing even when the policy has no limits.
#[rstest]
fn refused_connections_are_counted_without_limits() {
    let case = run(Condition::Healthy, Policy::Plain, 5);
    assert!(case.violations.connections > 0);
}

fn part(shard: u32, version: u64) -> Part {
    Part {
        shard,
        version,
        map: 1,
        members: 10,
        items: RawValue::from_string(r#"[{"echo":{"q":7}}]"#.into()).unwrap(),
    }
}

/// Builds a correct partial answer with shards 0 and 1 of 3, and the matching evidence.
fn build_answer() -> (Answer, Evidence, BTreeMap<u64, ShardMap>) {
    let map: ShardMap = serde_json::from_value(serde_json::json!({
        "map": 1, "versions": [1, 2],
        "shards": [
            { "id": 0, "members": 10, "replicas": [] },
            { "id": 1, "members": 10, "replicas": [] },
            { "id": 2, "members": 30, "replicas": [] },
        ],
    }))
    .unwrap();
    let coverage = serde_json::json!({
        "shards": 3, "answered": 2, "members": 50, "covered": 20,
        "missing": [{ "shard": 2, "reason": "deadline", "attempts": 1 }],
    });
    let explanation = serde_json::json!({
        "query": "7", "service": "s", "request": "r", "index": "i", "code": 200, "revision": 1,
        "stale_ms": null, "snapshot": { "version": 1, "map": 1 }, "coverage": coverage,
        "attempts": 3, "hedges": 0, "retries": 0, "restarts": 0, "abandoned": [], "cancelled": 0,
        "not_run": 0, "lost": 0, "postponed": 0, "dropped": 0, "deadline_ms": 1, "elapsed_ms": 1,
    });
    let answer = Answer {
        code: base::Code::PartialDeadline,
        parts: vec![part(0, 1), part(1, 1)],
        explanation: serde_json::from_value(explanation).unwrap(),
    };
    let snapshot = Snapshot { version: 1, map: 1 };
    let evidence = Evidence {
        echo: r#""q":7}"#.into(),
        sent: vec![(snapshot, 0, 10), (snapshot, 1, 10)],
        executed: vec![(1, 0), (1, 1), (1, 1)],
    };
    (answer, evidence, BTreeMap::from([(1, map)]))
}

/// Guards against checks that accept an answer which is wrong in one respect.
#[rstest]
#[case::correct(|_: &mut Answer| {}, [0, 0, 0])]
#[case::mixed_snapshots(|answer: &mut Answer| answer.parts[1] = part(1, 2), [1, 1, 0])]
#[case::part_never_sent(|answer: &mut Answer| answer.parts[1].members = 11, [0, 1, 0])]
#[case::unselected_shard(|answer: &mut Answer| answer.parts[1].shard = 9, [0, 1, 0])]
#[case::overstated_coverage(|answer: &mut Answer| answer.explanation.coverage.covered = 50, [0, 1, 0])]
#[case::unreported_missing_shard(|answer: &mut Answer| answer.explanation.coverage.missing.clear(), [0, 1, 0])]
#[case::part_of_another_request(|answer: &mut Answer| answer.parts[0].items = RawValue::NULL.to_owned(), [0, 0, 1])]
fn wrong_answers_are_detected(#[case] tamper: fn(&mut Answer), #[case] expected: [u64; 3]) {
    let (mut answer, evidence, maps) = build_answer();
    tamper(&mut answer);
    let mut found = Violations::default();
    check_answer(&answer, &evidence, &ShardSet::All, true, &maps, &mut found);
    assert_eq!([found.mixed, found.misreported, found.foreign], expected);
    assert_eq!(evidence.count_extra(), 1);
}
