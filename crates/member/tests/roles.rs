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

/// Creates the view of a VM that knows the given other VMs from the list.
fn make_view(index: usize, known: &BTreeSet<usize>, connections: u32) -> View {
    let now = Instant::now();
    let mut view = View::new(identity(index, 1), now);
    let last = known.iter().max().map_or(0, |last| last + 1);
    let mut list = make_list(last);
    list.retain(|vm| known.contains(&common::parse_index(&vm.id)));
    view.merge_vm_list(&list, now);
    view.set_upstreams(&"plan-desk".into(), &make_upstreams(3, connections), now);
    view
}

/// Guards against roles that move when a VM other than their own leaves.
#[rstest]
fn roles_of_other_vms_stay_when_one_leaves() {
    let all: BTreeSet<usize> = (0..60).collect();
    let before = make_view(0, &all, 90);
    let mut rest = all.clone();
    rest.remove(&31);
    let after = make_view(0, &rest, 90);
    let removed = common::id(31);
    let mut moved = 0;
    for key in 0..200 {
        let home = before.home(key).unwrap();
        if *home == removed {
            moved += 1;
        } else {
            assert_eq!(after.home(key), Some(home));
        }
        let group = format!("plan-desk/lugano/{key}");
        let mut kept = before.holders(&group, "lugano");
        assert!(kept.iter().all(|id| id.starts_with("lugano")));
        kept.retain(|id| **id != removed);
        let holders = after.holders(&group, "lugano");
        assert_eq!(holders.len(), 3);
        assert_eq!(&holders[..kept.len()], &kept[..]);
    }
    assert!(moved > 0, "the VM had no role, so nothing was tested");
}

/// Guards against groups with too few holders in a zone with few VMs.
#[rstest]
fn other_zones_provide_missing_holders() {
    let view = make_view(0, &[0, 1, 2, 4].into(), 90);
    let holders = view.holders("plan-desk/zurich/", "zurich");
    assert_eq!(holders.len(), 3);
    assert_eq!(*holders[0], common::id(2));
    assert_eq!(view.holders("group", "unknown").len(), 3);
}

/// Guards against a VM that takes all connections of a server before it knows how many other VMs there are.
#[rstest]
fn vm_without_the_list_has_no_share() {
    let now = Instant::now();
    let mut view = View::new(identity(0, 1), now);
    view.set_upstreams(&"plan-desk".into(), &make_upstreams(3, 90), now);
    assert_eq!(view.connection_share("srv-0000"), 0);
    view.merge_vm_list(&make_list(1), now);
    assert!(view.connection_share("srv-0000") > 0);
    assert_eq!(view.connection_share("unknown"), 0);
}

/// Guards against VMs of the current fleet of 18 that cannot connect directly to the servers with the lowest limits.
#[rstest]
#[case::skiasis(55)]
#[case::brunner_vaucher(90)]
fn every_vm_of_the_current_fleet_connects_directly(#[case] connections: u32) {
    let all: BTreeSet<usize> = (0..18).collect();
    for index in 0..18 {
        assert!(
            make_view(index, &all, connections).connection_share("srv-0001") >= member::MIN_SHARE
        );
    }
}

/// Guards against shares that rise as soon as VMs are removed, while these may still have open connections.
#[rstest]
fn share_rises_only_some_time_after_vms_disappear() {
    let mut fleet = common::Fleet::new(12, &make_upstreams(3, 90));
    fleet.run(20.0);
    let before = fleet.view(0).connection_share("srv-0000");
    for index in [3, 4, 5] {
        fleet.views[index] = None;
    }
    let mut list = make_list(12);
    list.retain(|vm| ![3, 4, 5].contains(&common::parse_index(&vm.id)));
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
        .map(|index| compact_str::format_compact!("srv-{index:04}"))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    /// Guards against shares that exceed a server's limit in total while views differ by up to the spare VMs in the
    /// count.
    #[test]
    fn shares_stay_under_the_limit_while_views_differ(
        nodes in 3_usize..120,
        connections in 6_u32..260,
        missing in (1_usize..120, 1_usize..120),
        stride in 1_usize..4,
        upstream in 0_usize..3,
    ) {
        let all: BTreeSet<usize> = (0..nodes).collect();
        let upstream = format!("srv-{upstream:04}");
        let mut sum = 0;
        for index in 0..nodes {
            let mut known = all.clone();
            // Each view may lack up to two other VMs, such as replacements that it does not know yet.
            if index % stride == 0 {
                known.remove(&((index + missing.0) % nodes));
                known.remove(&((index + missing.1) % nodes));
                known.insert(index);
            }
            sum += make_view(index, &known, connections).connection_share(&upstream);
        }
        prop_assert!(sum <= connections, "{sum} connections");
        prop_assert!(sum > 0);
    }

    /// Guards against groups that exceed the size limit, or change in large numbers when one upstream is added.
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

/// Guards against a record that is lost or altered on the wire, for a VM of another zone and for each address family.
#[rstest]
#[case::version_4("10.0.0.9:7400")]
#[case::version_6("[fd00::9]:7400")]
fn records_survive_encoding(#[case] addr: &str) {
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
