//! Tests which gateways are holders, and which services each of them gets.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::ServiceName;
use gateway::Assignment;
use gateway::Holders;
use gateway::Peer;
use proptest::prelude::*;
use rstest::rstest;

fn peer(node: &str, cores: f64) -> Peer {
    Peer {
        node: node.into(),
        zone: "z".into(),
        addr: "127.0.0.1:7740".parse().unwrap(),
        cores,
    }
}

/// Creates a zone with `strong` gateways of half a core and `weak` ones of 0.12 cores.
fn create_zone(strong: usize, weak: usize) -> Vec<Peer> {
    let strong = (0..strong).map(|at| peer(&format!("strong-{at}"), 0.5));
    let weak = (0..weak).map(|at| peer(&format!("weak-{at}"), 0.12));
    weak.chain(strong).collect()
}

fn create_holders(peers: &[Peer]) -> Holders {
    let mut holders = Holders::default();
    holders.set(peers.iter());
    holders
}

fn create_services(count: usize) -> Vec<ServiceName> {
    (0..count)
        .map(|at| format!("plan-desk~{at}").into())
        .collect()
}

/// Returns the holder of each service, or an empty name for the gateway itself.
fn holder_of(assignments: &[Assignment], count: usize) -> Vec<NodeId> {
    let mut names = vec![NodeId::default(); count];
    for assignment in assignments {
        let holder = assignment.holder.as_ref();
        for service in &assignment.services {
            names[*service] = holder.map(|holder| holder.node.clone()).unwrap_or_default();
        }
    }
    names
}

/// Guards against holders in a zone so small that a message through another gateway gains nothing, against a single
/// point of failure, and against weak gateways that send for strong ones.
#[rstest]
#[case::too_small(2, 9, 0, 0)]
#[case::smallest(2, 10, 3, 2)]
#[case::grown(2, 17, 3, 2)]
#[case::large(3, 45, 3, 3)]
#[case::equal(0, 49, 10, 0)]
fn strongest_gateways_are_holders(
    #[case] strong: usize,
    #[case] weak: usize,
    #[case] expected: usize,
    #[case] expected_strong: usize,
) {
    let peers = create_zone(strong, weak);
    let holders = create_holders(&peers);
    let is_strong_holder = |peer: &&Peer| peer.cores > 0.2 && holders.contains(&peer.node);
    assert_eq!(holders.len(), expected);
    assert_eq!(
        peers.iter().filter(is_strong_holder).count(),
        expected_strong
    );
}

proptest! {
    /// Guards against a service that is asked for twice or not at all, and against gateways that choose different
    /// holders for the same service.
    #[test]
    fn every_service_has_one_holder(weak in 12..60_usize, count in 0..200_usize) {
        let peers = create_zone(3, weak);
        let holders = create_holders(&peers);
        let mut reversed = Holders::default();
        reversed.set(peers.iter().rev());
        let services = create_services(count);
        let now = Instant::now();
        let assignments = holders.assign(&services, &"x".into(), |_| false, now);
        let mut named: Vec<usize> =
            assignments.iter().flat_map(|assignment| assignment.services.clone()).collect();
        named.sort_unstable();
        prop_assert_eq!(named, (0..count).collect::<Vec<usize>>());
        let other = reversed.assign(&services, &"y".into(), |_| false, now);
        prop_assert_eq!(holder_of(&assignments, count), holder_of(&other, count));
    }
}

/// Guards against a holder with a seventh of the processor time of the others that gets as many services.
#[test]
fn services_follow_processor_time() {
    let mut peers = create_zone(2, 11);
    peers.iter_mut().for_each(|peer| {
        if peer.node.starts_with("weak") {
            peer.cores = 0.07;
        }
    });
    let holders = create_holders(&peers);
    let services = create_services(1_000);
    let assignments = holders.assign(&services, &"x".into(), |_| false, Instant::now());
    let mut counts: HashMap<NodeId, usize> = HashMap::new();
    for name in holder_of(&assignments, services.len()) {
        *counts.entry(name).or_default() += 1;
    }
    let strong = counts[&NodeId::from("strong-0")];
    let weak = counts[&NodeId::from("weak-0")];
    assert!((400..540).contains(&strong), "{counts:?}");
    assert!((30..110).contains(&weak), "{counts:?}");
}

/// Guards against a lost holder that moves services of the others too, which would lose what they have learned, and
/// against a lost holder that is asked again by every request or is never asked again.
#[test]
fn lost_holder_is_skipped_for_a_growing_time() {
    let holders_of = |holders: &Holders, now| {
        let services = create_services(90);
        holder_of(
            &holders.assign(&services, &"weak-1".into(), |_| false, now),
            90,
        )
    };
    let mut holders = create_holders(&create_zone(3, 45));
    let start = Instant::now();
    let before = holders_of(&holders, start);
    let lost = NodeId::from("strong-1");
    holders.record_failure(&lost, start);
    for (old, new) in before.iter().zip(holders_of(&holders, start)) {
        assert_ne!(new, lost);
        assert!(*old == lost || *old == new);
    }
    let second = Duration::from_secs(1);
    assert_eq!(holders_of(&holders, start + second), before);
    holders.record_failure(&lost, start + second);
    assert!(!holders_of(&holders, start + 2 * second).contains(&lost));
    assert_eq!(holders_of(&holders, start + 3 * second), before);
    holders.record_success(&lost);
    holders.record_failure(&lost, start + 4 * second);
    assert_eq!(holders_of(&holders, start + 5 * second), before);
}

/// Guards against requests in progress that all report the same failure and so skip a holder for many times as long.
#[test]
fn failures_at_the_same_time_count_once() {
    let mut holders = create_holders(&create_zone(3, 45));
    let start = Instant::now();
    let services = create_services(90);
    let before = holders.assign(&services, &"weak-1".into(), |_| false, start);
    for late in 0..20 {
        holders.record_failure(&"strong-1".into(), start + Duration::from_millis(late));
    }
    let later = start + Duration::from_secs(1);
    assert_eq!(
        holders.assign(&services, &"weak-1".into(), |_| false, later),
        before
    );
}

/// Guards against a gateway that sends nothing because every holder is lost, and against a holder that delegates its
/// own services.
#[test]
fn gateway_sends_itself_without_usable_holders() {
    let mut holders = create_holders(&create_zone(3, 45));
    let now = Instant::now();
    let services = create_services(9);
    for lost in ["strong-0", "strong-1", "strong-2"] {
        holders.record_failure(&lost.into(), now);
    }
    let assignments = holders.assign(&services, &"weak-1".into(), |_| false, now);
    assert_eq!(assignments.len(), 1);
    assert_eq!(assignments[0].holder, None);
    let own = holders.assign(&services, &"strong-2".into(), |_| false, now);
    assert_eq!((own.len(), own[0].holder.clone()), (1, None));
}

/// Guards against a holder that runs but can't reach the servers, for which every request of the zone waits; and against
/// holders that are blamed for lost servers, which are spread over all of them.
#[rstest]
#[case::whole(&[], false)]
#[case::one_shard(&[0], false)]
#[case::most_of_one_holder(&[0, 1, 2, 3], true)]
#[case::half_of_one_holder(&[0, 1, 2], false)]
#[case::some_of_each(&[0, 1, 2, 3, 10, 11, 12, 13], false)]
#[case::everything(&[0, 1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15], false)]
fn holder_is_blamed_if_only_its_parts_are_missing(
    #[case] missing: &[usize],
    #[case] expected: bool,
) {
    let mut holders = create_holders(&create_zone(3, 45));
    let now = Instant::now();
    let assignment = |node: &str, services: std::ops::Range<usize>| Assignment {
        holder: Some(peer(node, 0.5)),
        services: services.collect(),
    };
    let assignments = [assignment("strong-0", 0..6), assignment("strong-1", 10..22)];
    let is_missing = |service| missing.contains(&service);
    let blamed = holders.record_delivery(&assignments, is_missing, now);
    assert_eq!(blamed.contains(&"strong-0".into()), expected);
    let services = create_services(90);
    let used = holder_of(
        &holders.assign(&services, &"weak-9".into(), |_| false, now),
        90,
    );
    assert_eq!(used.contains(&"strong-0".into()), !expected);
    assert!(used.contains(&"strong-1".into()));
}
