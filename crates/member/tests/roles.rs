//! Roles, groups and connection shares.

mod common;

use std::collections::BTreeSet;
use std::time::Instant;

use base::UpstreamId;
use member::Identity;
use member::MAX_GROUP_SIZE;
use member::View;
use member::divide_upstreams;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use common::ZONES;
use common::identity;
use common::make_list;
use common::make_upstreams;

/// Makes the view of a VM that knows the given others from the list.
fn make_view(at: usize, known: &BTreeSet<usize>, connections: u32) -> View {
    let now = Instant::now();
    let mut view = View::new(identity(at, 1), now);
    let last = known.iter().max().map_or(0, |last| last + 1);
    let mut list = make_list(last);
    list.retain(|vm| known.contains(&common::position(&vm.id)));
    view.merge_vm_list(&list, now);
    view.set_upstreams(&"plan-desk".into(), &make_upstreams(3, connections), now);
    view
}

/// Guards against roles that move although their VM stays when another VM leaves.
#[rstest]
fn roles_of_other_vms_stay_when_one_leaves() {
    let all: BTreeSet<usize> = (0..60).collect();
    let before = make_view(0, &all, 90);
    let mut rest = all.clone();
    rest.remove(&31);
    let after = make_view(0, &rest, 90);
    let gone = common::id(31);
    let mut moved = 0;
    for key in 0..200 {
        let home = before.home(key).unwrap();
        if *home == gone {
            moved += 1;
        } else {
            assert_eq!(after.home(key), Some(home));
        }
        let group = format!("plan-desk/lugano/{key}");
        let mut kept = before.holders(&group, "lugano");
        assert!(kept.iter().all(|id| id.starts_with("lugano")));
        kept.retain(|id| **id != gone);
        let holders = after.holders(&group, "lugano");
        assert_eq!(holders.len(), 3);
        assert_eq!(&holders[..kept.len()], &kept[..]);
    }
    assert!(moved > 0, "the VM had no role, so nothing was tested");
}

/// Guards against a zone with few VMs whose groups have too few holders.
#[rstest]
fn holders_come_from_other_zones_when_the_own_has_too_few() {
    let view = make_view(0, &[0, 1, 2, 4].into(), 90);
    let holders = view.holders("plan-desk/zurich/", "zurich");
    assert_eq!(holders.len(), 3);
    assert_eq!(*holders[0], common::id(2));
    assert_eq!(view.holders("group", "unknown").len(), 3);
}

/// Guards against a VM that uses a whole server before it knows how many others there are.
#[rstest]
fn vm_that_knows_nobody_has_no_share() {
    let now = Instant::now();
    let mut view = View::new(identity(0, 1), now);
    view.set_upstreams(&"plan-desk".into(), &make_upstreams(3, 90), now);
    assert_eq!(view.connection_share("srv-0000"), 0);
    view.merge_vm_list(&make_list(1), now);
    assert!(view.connection_share("srv-0000") > 0);
    assert_eq!(view.connection_share("unknown"), 0);
}

/// Guards against VMs of today's fleet that cannot reach the servers with the fewest connections directly.
#[rstest]
#[case::skiasis(55)]
#[case::brunner_vaucher(90)]
fn every_vm_of_todays_fleet_connects_directly(#[case] connections: u32) {
    let all: BTreeSet<usize> = (0..18).collect();
    for at in 0..18 {
        assert!(make_view(at, &all, connections).connection_share("srv-0001") >= member::MIN_SHARE);
    }
}

/// Guards against removed VMs that leave room at once, while they may still hold their connections.
#[rstest]
fn share_does_not_rise_at_once_when_vms_disappear() {
    let mut fleet = common::Fleet::new(12, &make_upstreams(3, 90));
    fleet.run(20.0);
    let before = fleet.view(0).connection_share("srv-0000");
    for at in [3, 4, 5] {
        fleet.views[at] = None;
    }
    let mut list = make_list(12);
    list.retain(|vm| ![3, 4, 5].contains(&common::position(&vm.id)));
    for _ in 0..20 {
        let now = fleet.now;
        fleet.view(0).merge_vm_list(&list, now);
        fleet.run(10.0);
        if fleet.view(0).nodes().count() == 9 {
            break;
        }
    }
    assert_eq!(fleet.view(0).nodes().count(), 9);
    assert_eq!(fleet.view(0).connection_share("srv-0000"), before);
    fleet.run(90.0);
    assert!(fleet.view(0).connection_share("srv-0000") > before);
}

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|at| compact_str::format_compact!("srv-{at:04}"))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    /// Guards against more connections than a server accepts while views differ by up to the VMs counted in reserve.
    #[test]
    fn shares_stay_under_the_limit_while_views_differ(
        nodes in 3_usize..120,
        connections in 6_u32..260,
        lacks in (1_usize..120, 1_usize..120),
        every in 1_usize..4,
        upstream in 0_usize..3,
    ) {
        let all: BTreeSet<usize> = (0..nodes).collect();
        let upstream = format!("srv-{upstream:04}");
        let mut sum = 0;
        for at in 0..nodes {
            let mut known = all.clone();
            // Views lack up to two VMs each, all of them others, such as replacements that they have not heard of.
            if at % every == 0 {
                known.remove(&((at + lacks.0) % nodes));
                known.remove(&((at + lacks.1) % nodes));
                known.insert(at);
            }
            sum += make_view(at, &known, connections).connection_share(&upstream);
        }
        prop_assert!(sum <= connections, "{sum} connections");
        prop_assert!(sum > 0);
    }

    /// Guards against groups that grow beyond the limit or are reshuffled when one upstream is added.
    #[test]
    fn groups_are_small_and_stable(count in 1_usize..400) {
        let before = divide_upstreams("plan-desk", "zurich", &ids(count));
        let after = divide_upstreams("plan-desk", "zurich", &ids(count + 1));
        prop_assert!(before.values().all(|group| group.len() <= MAX_GROUP_SIZE));
        let total: usize = before.values().map(Vec::len).sum();
        prop_assert_eq!(total, count);
        let changed = before.iter().filter(|(name, group)| after.get(*name) != Some(group));
        prop_assert!(changed.count() <= 1);
    }

    /// Guards against views that assign different roles although they know the same VMs.
    #[test]
    fn roles_are_the_same_in_equal_views(a in 0_usize..30, b in 0_usize..30, key in 0_u32..64) {
        let all: BTreeSet<usize> = (0..30).collect();
        let (first, second) = (make_view(a, &all, 90), make_view(b, &all, 90));
        prop_assert_eq!(first.home(key), second.home(key));
        for zone in ZONES {
            prop_assert_eq!(first.relays(zone), second.relays(zone));
            let group = format!("plan-desk/{zone}/{key}");
            prop_assert_eq!(first.holders(&group, zone), second.holders(&group, zone));
        }
    }
}

/// Guards against a VM of another zone or without an address of its kind that breaks the exchange of records.
#[rstest]
#[case::version_4("10.0.0.9:7400")]
#[case::version_6("[fd00::9]:7400")]
fn addresses_survive_the_exchange(#[case] addr: &str) {
    let now = Instant::now();
    let identity = Identity {
        addr: addr.parse().unwrap(),
        ..identity(1, 5)
    };
    let sender = View::new(identity, now);
    let mut view = View::new(common::identity(0, 1), now);
    let beat = wire::BeatMessage {
        sender: Some(sender.me().to_message()),
        ..Default::default()
    };
    view.receive(&beat, now);
    let node = view.node(&common::id(1)).unwrap();
    assert_eq!(node.record, *sender.me());
}
