//! One snapshot per answer: binding, restarts, and parts that do not belong.

mod support;

use base::Code;
use base::IndexVersion;
use base::QueryReply;
use base::Snapshot;
use limit::Tuning as LimitTuning;
use query::Event;
use query::Failure;
use query::MissingReason;
use query::Plan;
use query::Tuning;
use rstest::rstest;
use support::MEMBERS;
use support::Node;
use support::build_map;
use support::build_reply;
use support::ms;

/// Creates a node at whose index version 2 follows version 1, on the same map or on a second one.
fn create_node(shards: u32, replicas: u32, repartition: bool) -> Node {
    let mut node = Node::new(shards, replicas, LimitTuning::default());
    if repartition {
        node.index.maps.push(build_map(2, &[2], shards, replicas));
    } else {
        node.index.maps[0].versions.push(2);
    }
    node
}

/// Guards against binding the newest version while few upstreams hold it, and against keeping an old one for ever.
#[rstest]
#[case::nothing_known(&[], true, 2)]
#[case::none_holds_newest(&[vec![1], vec![1], vec![1]], true, 1)]
#[case::one_holds_newest(&[vec![1, 2], vec![1], vec![1]], true, 1)]
#[case::all_hold_newest(&[vec![1, 2], vec![1, 2], vec![1, 2]], true, 2)]
#[case::most_hold_newest(&[vec![2], vec![2], vec![1]], true, 2)]
#[case::switched_off(&[vec![1], vec![1], vec![1]], false, 2)]
fn binds_what_most_members_can_be_served_at(
    #[case] held: &[Vec<IndexVersion>],
    #[case] best_version: bool,
    #[case] expected: IndexVersion,
    #[values(true, false)] repartition: bool,
) {
    let mut node = create_node(3, 1, repartition);
    for (at, held) in held.iter().enumerate() {
        node.hold(&format!("{at}-0"), held);
    }
    let tuning = Tuning {
        best_version,
        restart: false,
        ..Tuning::default()
    };
    let mut run = node.run(Plan {
        tuning,
        ..node.plan()
    });
    run.reply_where(&mut node, |_| true);
    let snapshot = run.finish(&mut node).explanation.snapshot.unwrap();
    assert_eq!(snapshot.version, expected);
}

/// Guards against binding a version whose only holders drain.
#[rstest]
fn draining_holder_does_not_count() {
    let mut node = create_node(1, 2, false);
    node.hold("0-0", &[1, 2]);
    node.hold("0-1", &[1]);
    let key = node.limits.key(&"0-0".into()).unwrap();
    let now = node.now;
    node.limits
        .note_state(key, base::UpstreamState::Draining, now, now);
    let run = node.run(node.plan());
    assert_eq!(run.sent[0].snapshot.version, 1);
    assert_eq!(run.sent[0].upstream, "0-1");
}

/// Guards against an answer without the shards that moved on to another version, and against mixing both.
#[rstest]
#[case::restart(true, Code::Answered, 1)]
#[case::switched_off(false, Code::PartialRetired, 0)]
fn restarts_whole_when_retired(
    #[case] restart: bool,
    #[case] code: Code,
    #[case] restarts: u32,
    #[values(true, false)] repartition: bool,
) {
    let mut node = create_node(3, 1, repartition);
    for shard in 0..3 {
        node.hold(&format!("{shard}-0"), &[1]);
    }
    let tuning = Tuning {
        restart,
        ..Tuning::default()
    };
    let mut run = node.run(Plan {
        tuning,
        ..node.plan()
    });
    run.reply(&mut node, 0);
    node.now += ms(1);
    for shard in 0..3 {
        node.hold(&format!("{shard}-0"), &[2]);
    }
    run.fail(&mut node, 1, Failure::Retired(vec![2]));
    run.reply(&mut node, 2);
    for at in 3..run.sent.len() {
        run.reply(&mut node, at);
    }
    let answer = run.finish(&mut node);
    assert_eq!((answer.code, answer.explanation.restarts), (code, restarts));
    let snapshot = answer.explanation.snapshot.unwrap();
    assert!(answer.parts.iter().all(|part| {
        Snapshot {
            version: part.version,
            map: part.map,
        } == snapshot
    }));
    assert_eq!(answer.explanation.abandoned.len() as u32, restarts);
    assert_eq!(node.in_flight(), 0);
}

/// Guards against a restart that cannot end in time, and against one that would lose more than it gains.
#[rstest]
#[case::too_late(90, &[2], 2)]
#[case::loses_more(1, &[1], 2)]
fn answers_with_fewer_shards_instead(
    #[case] at_ms: u64,
    #[case] others_hold: &[IndexVersion],
    #[case] parts: usize,
) {
    let mut node = create_node(3, 1, false);
    for shard in 0..3 {
        node.hold(&format!("{shard}-0"), &[1]);
    }
    let mut run = node.run(node.plan());
    run.advance(&mut node, ms(at_ms));
    for shard in 0..2 {
        node.hold(&format!("{shard}-0"), others_hold);
    }
    run.fail(&mut node, 2, Failure::Retired(vec![2]));
    run.reply_where(&mut node, |shard| shard < 2);
    let answer = run.finish(&mut node);
    assert_eq!(
        (answer.code, answer.parts.len()),
        (Code::PartialRetired, parts)
    );
    let missing = &answer.explanation.coverage.missing[0];
    assert_eq!((missing.shard, missing.reason), (2, MissingReason::Retired));
}

/// Guards against a restart that could run a request twice.
#[rstest]
#[case::not_run(false, 2)]
#[case::stale(true, 1)]
fn restart_of_a_run_needs_proof(#[case] stale: bool, #[case] attempts: usize) {
    let mut node = create_node(1, 1, false);
    node.hold("0-0", &[1]);
    let mut run = node.run(Plan {
        repeatable: false,
        stale: stale.then_some(ms(5_000)),
        ..node.plan()
    });
    run.fail(&mut node, 0, Failure::Retired(vec![2]));
    assert_eq!(run.sent.len(), attempts);
}

/// Guards against trying the same upstream again with a map that it has rejected.
#[rstest]
fn wrong_map_is_not_retried() {
    let mut node = Node::new(1, 1, LimitTuning::default());
    let mut run = node.run(node.plan());
    run.fail(&mut node, 0, Failure::Retired(vec![1]));
    assert_eq!(run.finish(&mut node).code, Code::ShedEverywhere);
    assert_eq!(run.sent.len(), 1);
}

/// Guards against parts that belong to another attempt, snapshot or shard, and against counting a shard twice.
#[rstest]
#[case::valid(|_: &mut QueryReply| (), 0, 2)]
#[case::other_attempt(|reply: &mut QueryReply| reply.attempt += 1_000, 1, 1)]
#[case::other_version(|reply: &mut QueryReply| reply.parts[0].version += 1, 1, 1)]
#[case::other_map(|reply: &mut QueryReply| reply.parts[0].map += 1, 1, 1)]
#[case::other_shard(|reply: &mut QueryReply| reply.parts[0].shard += 1, 1, 1)]
#[case::part_twice(|reply: &mut QueryReply| reply.parts.push(reply.parts[0].clone()), 1, 2)]
#[case::without_part(|reply: &mut QueryReply| reply.parts.clear(), 0, 1)]
fn parts_that_do_not_belong_are_dropped(
    #[case] change: fn(&mut QueryReply),
    #[case] dropped: u32,
    #[case] answered: u32,
) {
    let mut node = Node::new(2, 1, LimitTuning::default());
    let tuning = Tuning {
        retry: false,
        ..Tuning::default()
    };
    let mut run = node.run(Plan {
        tuning,
        ..node.plan()
    });
    let mut reply = build_reply(&run.sent[0]);
    change(&mut reply);
    run.handle(&mut node, Event::Reply(reply));
    run.reply(&mut node, 1);
    let explanation = &run.finish(&mut node).explanation;
    assert_eq!(explanation.dropped, dropped);
    assert_eq!(explanation.coverage.answered, answered);
    assert_eq!(explanation.coverage.covered, u64::from(answered) * MEMBERS);
}

/// Guards against a reply that comes twice, or to an attempt of an earlier snapshot.
#[rstest]
fn replies_that_come_twice_are_dropped() {
    let mut node = create_node(2, 1, false);
    for shard in 0..2 {
        node.hold(&format!("{shard}-0"), &[1]);
    }
    let mut run = node.run(node.plan());
    run.reply(&mut node, 0);
    run.reply(&mut node, 0);
    node.now += ms(1);
    node.hold("0-0", &[2]);
    run.fail(&mut node, 1, Failure::Retired(vec![2]));
    run.reply(&mut node, 0);
    run.reply(&mut node, 1);
    run.reply_where(&mut node, |_| true);
    let explanation = &run.finish(&mut node).explanation;
    assert_eq!((explanation.dropped, explanation.restarts), (5, 1));
    assert_eq!(explanation.code, Code::Answered);
}

/// Guards against a request that is not repeatable going to several shards, or to another one on a caller's retry.
#[rstest]
fn run_goes_to_one_shard() {
    let mut node = Node::new(30, 2, LimitTuning::default());
    let mut shards = Vec::new();
    for key in ["a", "a", "b", "c", "d"] {
        let run = node.run(Plan {
            repeatable: false,
            key: key.into(),
            ..node.plan()
        });
        assert_eq!(run.sent.len(), 1);
        shards.push(run.sent[0].shard);
    }
    assert_eq!(shards[0], shards[1]);
    shards.sort_unstable();
    shards.dedup();
    assert!(shards.len() > 1, "keys spread over the shards");
}
