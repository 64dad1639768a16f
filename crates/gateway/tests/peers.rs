//! Tests which gateway is the relay of which others, and what a relay sends to its peers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gateway::ChangeLog;
use gateway::Peer;
use gateway::Peers;
use gateway::PollResult;
use gateway::Snapshot;
use gateway::StoreEra;
use gateway::StoreRevision;
use gateway::StoreRole;
use gateway::StoreVersion;
use proptest::prelude::*;
use rstest::rstest;

fn peer(node: &str, zone: &str) -> Peer {
    Peer {
        node: node.into(),
        zone: zone.into(),
        addr: "127.0.0.1:7740".parse().unwrap(),
        cores: 0.25,
    }
}

fn create_peers() -> Peers {
    let mut peers = Peers::default();
    peers.set(vec![
        peer("c", "z"),
        peer("a", "other"),
        peer("b", "z"),
        peer("d", "z"),
    ]);
    peers
}

fn relay_of(peers: &Peers, node: &str, now: Instant) -> Option<String> {
    let relay = peers.find_relay(&node.into(), &"z".into(), now)?;
    Some(relay.node.to_string())
}

const ERA: StoreEra = 3;

fn at(revision: StoreRevision) -> StoreVersion {
    StoreVersion { era: ERA, revision }
}

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against two gateways that poll each other, so that neither watches the store.
#[test]
fn first_gateway_of_a_zone_is_the_relay() {
    let peers = create_peers();
    let now = Instant::now();
    assert_eq!(relay_of(&peers, "b", now), None);
    assert_eq!(relay_of(&peers, "c", now).as_deref(), Some("b"));
    assert_eq!(relay_of(&peers, "d", now).as_deref(), Some("b"));
}

/// Guards against a relay that sends every change to the whole of a large zone (2.5 MB/s at 300 VMs), against gateways
/// that disagree on the groups, and against more relays than groups.
#[rstest]
#[case::one_group(64, 1)]
#[case::two_groups(65, 2)]
#[case::three_groups(150, 3)]
#[case::target_fleet(198, 4)]
fn large_zone_has_several_relays(#[case] nodes: usize, #[case] relays: usize) {
    let mut peers = Peers::default();
    let names: Vec<String> = (0..nodes).map(|at| format!("n-{at:03}")).collect();
    peers.set(names.iter().map(|name| peer(name, "z")).collect());
    let now = Instant::now();
    let mut followers: HashMap<String, usize> = HashMap::new();
    for name in &names {
        let relay = relay_of(&peers, name, now).unwrap_or_else(|| name.clone());
        assert_eq!(
            relay_of(&peers, &relay, now),
            None,
            "{relay} is a relay but polls another one"
        );
        *followers.entry(relay).or_default() += 1;
    }
    assert_eq!(followers.len(), relays);
    assert!(
        followers.values().all(|count| *count <= 64),
        "{followers:?}"
    );

    let first = names[0].clone();
    peers.skip_relay(&first.as_str().into(), &PollResult::Unresponsive, now);
    let next = relay_of(&peers, &names[2], now);
    assert_eq!(next.as_deref(), Some(names[1].as_str()));
}

/// Guards against a relay on the weakest VM of its group, whose link and processor then carry every change.
#[test]
fn strongest_gateway_is_the_relay() {
    let mut peers = Peers::default();
    let mut known = vec![
        peer("a", "z"),
        peer("b", "z"),
        peer("c", "z"),
        peer("d", "z"),
    ];
    known[2].cores = 0.5;
    peers.set(known);
    let now = Instant::now();
    assert_eq!(relay_of(&peers, "c", now), None);
    assert_eq!(relay_of(&peers, "a", now).as_deref(), Some("c"));
    peers.skip_relay(&"c".into(), &PollResult::Unresponsive, now);
    assert_eq!(relay_of(&peers, "d", now).as_deref(), Some("a"));
}

/// Guards against a store outage in which nobody looks for the store, everybody does, or a gateway asks itself.
#[test]
fn first_gateways_look_for_a_lost_store() {
    let peers = {
        let mut peers = Peers::default();
        peers.set(
            ["a", "b", "c", "d", "e"]
                .map(|node| peer(node, "z"))
                .to_vec(),
        );
        peers
    };
    let role = |node: &str| peers.store_role(&node.into(), &"z".into());
    assert!(
        ["a", "b", "c"]
            .map(role)
            .iter()
            .all(|role| *role == StoreRole::Relay)
    );
    assert!(
        ["d", "e"]
            .map(role)
            .iter()
            .all(|role| *role == StoreRole::Follower)
    );
    assert_eq!(role("unregistered"), StoreRole::Relay);
    let asked = |node: &str, turn| {
        let candidate = peers.find_candidate(&node.into(), &"z".into(), turn);
        candidate.map(|peer| peer.node.to_string())
    };
    let turns: Vec<Option<String>> = (0..4).map(|turn| asked("e", turn)).collect();
    let names = turns.iter().map(|name| name.as_deref().unwrap());
    assert_eq!(names.collect::<Vec<&str>>(), ["a", "b", "c", "a"]);
    assert_eq!(asked("b", 1), None);
}

/// Guards against a gateway that keeps polling a stopped relay, and against one that never polls it again.
#[test]
fn unresponsive_relay_is_skipped_for_a_time() {
    let mut peers = create_peers();
    let now = Instant::now();
    peers.skip_relay(&"b".into(), &PollResult::Unresponsive, now);
    assert_eq!(relay_of(&peers, "c", now), None);
    assert_eq!(relay_of(&peers, "d", now).as_deref(), Some("c"));
    let later = now + Duration::from_secs(5);
    assert_eq!(relay_of(&peers, "d", later).as_deref(), Some("b"));
}

/// Guards against a gateway without known peers that waits for a relay.
#[test]
fn gateway_without_peers_calls_the_store() {
    let peers = Peers::default();
    assert_eq!(relay_of(&peers, "c", Instant::now()), None);
}

/// Guards against a change that a peer misses, whatever version it has.
#[test]
fn peer_gets_every_change_after_its_version() {
    let mut log = ChangeLog::default();
    assert_eq!(log.read_since(Some(at(10))), PollResult::Starting);
    log.reset(at(10), vec![body("page")]);
    log.append(at(12), Some(body("to 12")));
    log.append(at(15), None);
    log.append(at(20), Some(body("to 20")));
    assert_eq!(
        log.read_since(Some(at(10))),
        PollResult::Changes(ERA, body("to 12"))
    );
    for since in 12..20 {
        assert_eq!(
            log.read_since(Some(at(since))),
            PollResult::Changes(ERA, body("to 20"))
        );
    }
    assert_eq!(log.read_since(Some(at(20))), PollResult::UpToDate);
    assert_eq!(log.read_since(Some(at(25))), PollResult::UpToDate);
}

/// Guards against a peer that has just started, or lags too far behind, and misses objects from before the log.
#[test]
fn lagging_peer_gets_a_snapshot() {
    let mut log = ChangeLog::default();
    log.reset(at(10), vec![body("page")]);
    log.append(at(12), Some(body("to 12")));
    let expected = PollResult::Snapshot(
        ERA,
        Snapshot {
            pages: vec![body("page")],
            changes: vec![body("to 12")],
        },
    );
    assert_eq!(log.read_since(Some(at(9))), expected);
    assert_eq!(log.read_since(None), expected);
    for revision in 13..200 {
        log.append(at(revision), Some(body("more")));
    }
    assert_eq!(log.read_since(None), PollResult::Disconnected);
    assert_eq!(log.read_since(Some(at(12))), PollResult::Disconnected);
}

/// Guards against a follower that is told that nothing is new, because its version of an earlier era has the higher
/// revision, and against one that takes changes from a relay which has not noticed the restore.
#[test]
fn revisions_of_different_eras_are_not_compared() {
    let mut log = ChangeLog::default();
    log.reset(at(10), vec![body("page")]);
    log.append(at(12), Some(body("to 12")));
    let before = StoreVersion {
        era: ERA - 1,
        revision: 90,
    };
    assert!(matches!(
        log.read_since(Some(before)),
        PollResult::Snapshot(ERA, _)
    ));
    let after = StoreVersion {
        era: ERA + 1,
        revision: 11,
    };
    assert_eq!(log.read_since(Some(after)), PollResult::Disconnected);
    log.reset(
        StoreVersion {
            era: ERA + 1,
            revision: 4,
        },
        vec![body("restored")],
    );
    assert!(matches!(
        log.read_since(Some(at(12))),
        PollResult::Snapshot(4, _)
    ));
    assert_eq!(log.read_since(Some(after)), PollResult::UpToDate);
}

/// Guards against a relay that reports no changes though it has lost the store or polls another relay.
#[test]
fn disconnected_relay_says_so() {
    let mut log = ChangeLog::default();
    log.reset(at(10), vec![body("page")]);
    log.mark_disconnected();
    assert_eq!(log.read_since(Some(at(10))), PollResult::Disconnected);
    log.append(at(11), None);
    assert_eq!(log.read_since(Some(at(10))), PollResult::UpToDate);
    log.reset_relayed(at(12));
    assert_eq!(log.read_since(Some(at(12))), PollResult::Disconnected);
}

/// Guards against followers that all call the store because the gateway that replaces their relay has only just called
/// it, and against followers that wait for one that has failed.
#[test]
fn followers_wait_for_the_first_call_of_a_relay() {
    let mut log = ChangeLog::default();
    log.reset_relayed(at(10));
    log.mark_waiting();
    assert!(!log.is_connected());
    assert_eq!(log.read_since(Some(at(10))), PollResult::Starting);
    log.append(at(12), Some(body("to 12")));
    assert!(log.is_connected());
    assert_eq!(
        log.read_since(Some(at(10))),
        PollResult::Changes(ERA, body("to 12"))
    );
    log.mark_waiting();
    log.mark_disconnected();
    assert_eq!(log.read_since(Some(at(10))), PollResult::Disconnected);
}

/// Guards against a list from a seed that decodes to other peers, and against a malformed line that hides the others.
#[test]
fn encoded_peers_round_trip() {
    let text = create_peers().encode();
    assert_eq!(
        Peers::decode(&text),
        vec![
            peer("a", "other"),
            peer("b", "z"),
            peer("c", "z"),
            peer("d", "z")
        ]
    );
    let malformed = format!("x\n\ny z nowhere\n{text}");
    assert_eq!(Peers::decode(&malformed).len(), 4);
}

/// Guards against a gateway that becomes the relay of its zone because the list of a seed says that it has no number of cores.
#[rstest]
#[case::no_number("NaN")]
#[case::without_end("inf")]
#[case::negative("-1")]
fn cores_that_none_can_have_are_ignored(#[case] cores: &str) {
    let peers = Peers::decode(&format!("n-1 z 10.0.0.1:80 {cores}\n"));
    assert_eq!(peers[0].cores, 0.0);
}

proptest! {
    /// Guards against the name of one gateway that hides or forges the entries of others in the list for a seed.
    #[test]
    fn peers_of_any_name_round_trip(names in prop::collection::btree_set(any::<String>(), 1..5), zone: String) {
        let addr = "10.0.0.1:80".parse().unwrap();
        let create = |name: &String| Peer {
            node: name.as_str().into(),
            zone: zone.as_str().into(),
            addr,
            cores: 0.5,
        };
        let all: Vec<Peer> = names.iter().map(create).collect();
        let mut peers = Peers::default();
        peers.set(all.clone());
        prop_assert_eq!(Peers::decode(&peers.encode()), all);
    }

    /// Guards against a snapshot that decodes to another one, and against a panic on a truncated one.
    #[test]
    fn encoded_snapshot_round_trips(
        pages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..5),
        changes in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..5),
        cut in any::<prop::sample::Index>(),
    ) {
        let convert = |parts: Vec<Vec<u8>>| parts.into_iter().map(Bytes::from).collect();
        let snapshot = Snapshot { pages: convert(pages), changes: convert(changes) };
        let encoded = snapshot.encode();
        prop_assert_eq!(Snapshot::decode(encoded.clone()), Some(snapshot));
        let cut = cut.index(encoded.len());
        prop_assert_eq!(Snapshot::decode(encoded.slice(..cut)), None);
    }
}
