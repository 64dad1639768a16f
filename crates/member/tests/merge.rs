//! Properties of merging heartbeats.

mod common;

use std::time::Instant;

use base::UpstreamId;
use member::Health;
use member::NodeState;
use member::Record;
use member::Summary;
use member::View;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::BeatMessage;
use wire::FailureReport;
use wire::NodeRecord;
use wire::Pulses;
use wire::UpstreamRecord;
use wire::ZoneSummary;

use common::id;
use common::identity;
use common::make_upstreams;

const UPSTREAMS: usize = 4;

fn node_record() -> impl Strategy<Value = NodeRecord> {
    (1_usize..6, 1_u64..4, 0_u64..50, 0_i32..3, 0_u64..5).prop_map(
        |(index, incarnation, counter, state, revision)| {
            let sample = View::new(identity(index, incarnation), Instant::now());
            NodeRecord {
                counter,
                state,
                revision,
                ..sample.me().to_message()
            }
        },
    )
}

fn upstream_record() -> impl Strategy<Value = UpstreamRecord> {
    (0..UPSTREAMS, 0_u64..4, 0_i32..2).prop_map(|(index, epoch, state)| UpstreamRecord {
        id: format!("srv-{index:04}"),
        epoch,
        state,
    })
}

fn report() -> impl Strategy<Value = FailureReport> {
    (0..UPSTREAMS, 1_usize..6, 0_u64..9).prop_map(|(index, reporter, sequence)| FailureReport {
        upstream: format!("srv-{index:04}"),
        reporter: id(reporter).to_string(),
        sequence,
    })
}

/// Generates counters for the incarnations that every view of this test knows; unknown ones would be skipped.
fn pulses() -> impl Strategy<Value = Option<Pulses>> {
    let pulse = (1_usize..6, 0_u8..20);
    let list = prop::collection::vec(pulse, 0..4);
    prop::option::of((list, 20_u64..60, 0_u64..5)).prop_map(|pulses| {
        let (list, clock, newest) = pulses?;
        let key = |&(index, _): &(usize, u8)| {
            let key = base::hash_key(&format!("{}#1", id(index))) as u32;
            key.to_be_bytes()[1..].to_vec()
        };
        Some(Pulses {
            keys: list.iter().flat_map(key).collect::<Vec<u8>>().into(),
            lags: list.iter().map(|pulse| pulse.1).collect::<Vec<u8>>().into(),
            behind: Default::default(),
            clock,
            newest,
        })
    })
}

fn summary() -> impl Strategy<Value = ZoneSummary> {
    (0_usize..3, 1_u64..9, 0_u32..5, 0_u32..3).prop_map(|(zone, clock, live, draining)| {
        ZoneSummary {
            zone: common::ZONES[zone].to_string(),
            clock,
            live,
            draining,
            ..Default::default()
        }
    })
}

fn beat() -> impl Strategy<Value = BeatMessage> {
    let lists = (
        prop::collection::vec(node_record(), 0..4),
        prop::collection::vec(upstream_record(), 0..4),
        prop::collection::vec(report(), 0..4),
        prop::collection::vec(summary(), 0..3),
    );
    (node_record(), 0_u64..60, pulses(), lists).prop_map(
        |(sender, clock, pulses, (nodes, upstreams, reports, zones))| BeatMessage {
            sender: Some(sender),
            clock,
            pulses,
            nodes,
            upstreams,
            reports,
            zones,
            ..Default::default()
        },
    )
}

fn merge(beats: &[&BeatMessage], now: Instant) -> View {
    let mut view = View::new(identity(0, 1), now);
    view.set_upstreams(&"plan-desk".into(), &make_upstreams(UPSTREAMS, 90), now);
    for index in 1..6 {
        let sender = View::new(identity(index, 1), now).me().to_message();
        let beat = BeatMessage {
            sender: Some(sender),
            ..Default::default()
        };
        view.receive(&beat, now);
    }
    for beat in beats {
        view.receive(beat, now);
    }
    view
}

type State = (
    Vec<Record>,
    Vec<(Summary, bool)>,
    Vec<Health>,
    Option<u64>,
    u64,
);

/// Returns the public state of a view.
fn read_state(view: &View, now: Instant) -> State {
    let mut nodes: Vec<Record> = view.nodes().map(|node| node.record.clone()).collect();
    nodes.retain(|record| record.id != id(0));
    let zones = view.zone_names().map(|name| view.zone(name).unwrap());
    let zones = zones.map(|(summary, reachable)| (summary.clone(), reachable));
    let health = (0..UPSTREAMS).map(|index| view.health(&format!("srv-{index:04}"), now));
    let newest = view.newest_revision().map(|newest| newest.0);
    let incarnation = view.me().incarnation;
    (
        nodes,
        zones.collect(),
        health.collect(),
        newest,
        incarnation,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    /// Guards against a view that depends on the order in which heartbeats arrive.
    #[test]
    fn merge_is_commutative(a in beat(), b in beat(), c in beat()) {
        let now = Instant::now();
        let first = read_state(&merge(&[&a, &b, &c], now), now);
        prop_assert_eq!(&first, &read_state(&merge(&[&c, &a, &b], now), now));
        prop_assert_eq!(&first, &read_state(&merge(&[&b, &c, &a], now), now));
    }

    /// Guards against a repeated heartbeat that changes the result.
    #[test]
    fn merge_is_idempotent(a in beat(), b in beat()) {
        let now = Instant::now();
        let once = read_state(&merge(&[&a, &b], now), now);
        prop_assert_eq!(once, read_state(&merge(&[&a, &b, &a, &b, &b], now), now));
    }

    /// Guards against a late heartbeat that restores an earlier state of a VM, a zone or a drain.
    #[test]
    fn merge_never_restores_an_earlier_state(beats in prop::collection::vec(beat(), 1..6)) {
        let now = Instant::now();
        let mut view = merge(&[], now);
        let drained: UpstreamId = "srv-0001".into();
        let version = |record: &Record| (record.incarnation, record.state, record.counter, record.revision);
        for beat in &beats {
            let before = read_state(&view, now);
            let draining = view.health(&drained, now) == Health::Draining;
            view.receive(beat, now);
            for old in &before.0 {
                let new = version(&view.node(&old.id).unwrap().record);
                let old = version(old);
                prop_assert!(new.0 > old.0 || new.0 == old.0 && new.1 >= old.1 && new.2 >= old.2 && new.3 >= old.3);
            }
            for (name, (old, _)) in view.zone_names().zip(&before.1) {
                prop_assert!(view.zone(name).is_some_and(|(new, _)| before.1.len() < 3 || new >= old));
            }
            prop_assert!(view.newest_revision().map(|newest| newest.0) >= before.3);
            prop_assert!(view.me().incarnation >= before.4);
            let ends = beat.upstreams.iter().any(|record| record.id == drained && record.epoch > 0);
            prop_assert!(!draining || ends || view.health(&drained, now) == Health::Draining);
        }
    }

    /// Guards against an invalid message that causes a panic or adds members.
    #[test]
    fn invalid_messages_are_ignored(addr in prop::collection::vec(any::<u8>(), 0..5), id in "[a-z]{0,2}") {
        let now = Instant::now();
        let mut view = merge(&[], now);
        let record = NodeRecord { id, addr: addr.into(), state: 77, ..Default::default() };
        let pulses = Pulses { keys: vec![1; 7].into(), lags: vec![9; 200].into(), ..Default::default() };
        let mut beat = BeatMessage { sender: Some(record.clone()), nodes: vec![record], pulses: Some(pulses.clone()), ..Default::default() };
        view.receive(&beat, now);
        beat.sender = Some(View::new(identity(3, 1), now).me().to_message());
        view.receive(&beat, now);
        view.receive_reply(&wire::BeatReply { nodes: beat.nodes, pulses: Some(pulses), ..Default::default() }, now);
        prop_assert_eq!(view.nodes().count(), 6);
        prop_assert!(view.nodes().all(|node| node.state() == NodeState::Live));
    }
}
