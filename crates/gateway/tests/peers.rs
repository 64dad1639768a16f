//! Which gateway follows which, and what a relay can tell.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gateway::ChangeLog;
use gateway::Peer;
use gateway::Peers;
use gateway::PollResult;
use gateway::Snapshot;
use proptest::prelude::*;
use rstest::rstest;

fn peer(node: &str, zone: &str) -> Peer {
    Peer {
        node: node.into(),
        zone: zone.into(),
        addr: "127.0.0.1:7740".parse().unwrap(),
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

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against two gateways that follow each other, with nobody following the store.
#[test]
fn first_of_the_zone_follows_the_store() {
    let peers = create_peers();
    let now = Instant::now();
    assert_eq!(relay_of(&peers, "b", now), None);
    assert_eq!(relay_of(&peers, "c", now).as_deref(), Some("b"));
    assert_eq!(relay_of(&peers, "d", now).as_deref(), Some("b"));
}

/// Guards against a relay that sends every change to a whole large zone (2.5 MB/s at 300 VMs), against groups that are cut
/// differently by their members, and against more relays than the groups need.
#[rstest]
#[case::one_group(24, 1)]
#[case::two_groups(25, 2)]
#[case::five_groups(100, 5)]
#[case::aim(198, 9)]
fn large_zone_has_several_relays(#[case] nodes: usize, #[case] relays: usize) {
    let mut peers = Peers::default();
    let names: Vec<String> = (0..nodes).map(|at| format!("n-{at:03}")).collect();
    peers.set(names.iter().map(|name| peer(name, "z")).collect());
    let now = Instant::now();
    let mut followers: HashMap<String, usize> = HashMap::new();
    for name in &names {
        let relay = relay_of(&peers, name, now).unwrap_or_else(|| name.clone());
        assert_eq!(relay_of(&peers, &relay, now), None, "{relay} is followed");
        *followers.entry(relay).or_default() += 1;
    }
    assert_eq!(followers.len(), relays);
    assert!(
        followers.values().all(|count| *count <= 24),
        "{followers:?}"
    );

    let first = names[0].clone();
    peers.skip_relay(&first.as_str().into(), &PollResult::Unresponsive, now);
    let next = relay_of(&peers, &names[2], now);
    assert_eq!(next.as_deref(), Some(names[1].as_str()));
}

/// Guards against a gateway that waits for a relay that is gone, and against one that never returns to it.
#[test]
fn silent_relay_is_passed_over_for_a_time() {
    let mut peers = create_peers();
    let now = Instant::now();
    peers.skip_relay(&"b".into(), &PollResult::Unresponsive, now);
    assert_eq!(relay_of(&peers, "c", now), None);
    assert_eq!(relay_of(&peers, "d", now).as_deref(), Some("c"));
    let later = now + Duration::from_secs(5);
    assert_eq!(relay_of(&peers, "d", later).as_deref(), Some("b"));
}

/// Guards against a gateway alone in its zone that has nobody to follow.
#[test]
fn gateway_that_knows_no_other_follows_the_store() {
    let peers = Peers::default();
    assert_eq!(relay_of(&peers, "c", Instant::now()), None);
}

/// Guards against a change that a peer never hears of, whatever version it knows.
#[test]
fn peer_gets_every_change_after_its_version() {
    let mut log = ChangeLog::default();
    assert_eq!(log.read_since(Some(10)), PollResult::Starting);
    log.reset(10, vec![body("page")]);
    log.append(12, Some(body("to 12")));
    log.append(15, None);
    log.append(20, Some(body("to 20")));
    assert_eq!(log.read_since(Some(10)), PollResult::Changes(body("to 12")));
    for since in 12..20 {
        assert_eq!(
            log.read_since(Some(since)),
            PollResult::Changes(body("to 20"))
        );
    }
    assert_eq!(log.read_since(Some(20)), PollResult::UpToDate);
    assert_eq!(log.read_since(Some(25)), PollResult::UpToDate);
}

/// Guards against a peer that is too far behind, or new, and misses what came before the log.
#[test]
fn peer_that_is_behind_gets_everything() {
    let mut log = ChangeLog::default();
    log.reset(10, vec![body("page")]);
    log.append(12, Some(body("to 12")));
    let expected = PollResult::Snapshot(Snapshot {
        pages: vec![body("page")],
        changes: vec![body("to 12")],
    });
    assert_eq!(log.read_since(Some(9)), expected);
    assert_eq!(log.read_since(None), expected);
    for at in 13..200 {
        log.append(at, Some(body("more")));
    }
    assert_eq!(log.read_since(None), PollResult::Disconnected);
    assert_eq!(log.read_since(Some(12)), PollResult::Disconnected);
}

/// Guards against a relay that has lost the store, or follows another gateway, and says that nothing has changed.
#[test]
fn relay_without_contact_is_unsure() {
    let mut log = ChangeLog::default();
    log.reset(10, vec![body("page")]);
    log.mark_disconnected();
    assert_eq!(log.read_since(Some(10)), PollResult::Disconnected);
    log.append(11, None);
    assert_eq!(log.read_since(Some(10)), PollResult::UpToDate);
    log.reset_relayed(12);
    assert_eq!(log.read_since(Some(12)), PollResult::Disconnected);
}

/// Guards against a list from a seed that is read differently, and against a spoiled line that hides the others.
#[test]
fn list_of_peers_survives_the_way() {
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
    let spoiled = format!("x\n\ny z nowhere\n{text}");
    assert_eq!(Peers::decode(&spoiled).len(), 4);
}

proptest! {
    /// Guards against a snapshot that a peer reads differently, and against a panic on one that was cut short.
    #[test]
    fn snapshot_survives_the_way(
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
