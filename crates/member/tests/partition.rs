//! Partitions between and inside zones, and lists with missing VMs.

mod common;

use member::NodeState;
use rstest::rstest;

use common::Fleet;
use common::id;
use common::make_list;
use common::seconds;

/// Most bytes that a VM may send in one second after healing: twice its budget of 4 KB/s.
const MAX_BURST_BYTES: usize = 2 * 4_096;

/// Guards against a partition after which VMs of the other side are removed, and against a burst of messages when it
/// heals.
#[rstest]
#[case::one_zone_cut_off(|a, b| (a % 3 == 0) != (b % 3 == 0))]
#[case::every_zone_alone(|a, b| a % 3 != b % 3)]
#[case::zone_split_in_halves(|a, b| a % 3 == 0 && b % 3 == 0 && (a % 2 != b % 2))]
#[case::every_vm_alone(|_, _| true)]
fn partition_removes_no_vm_and_heals_without_a_burst(#[case] blocked: fn(usize, usize) -> bool) {
    let mut fleet = Fleet::new(60, &[]);
    fleet.run(15.0);
    fleet.blocked = blocked;
    fleet.run(90.0);
    for view in fleet.running() {
        assert_eq!(view.nodes().count(), 60);
        assert!(view.nodes().all(|node| node.state() != NodeState::Dead));
    }
    fleet.blocked = |_, _| false;
    fleet.peak_bytes = 0;
    fleet.run_until(30.0, |view, _| {
        view.nodes().all(|node| node.state() == NodeState::Live)
            && view.zone_names().all(|zone| view.zone(zone).unwrap().1)
    });
    fleet.run(10.0);
    assert!(
        fleet.peak_bytes <= MAX_BURST_BYTES,
        "{} bytes",
        fleet.peak_bytes
    );
    assert!(fleet.peak_messages <= 5);
}

/// Guards against a partitioned zone that cannot serve because its roles stay on unreachable VMs.
#[rstest]
fn roles_move_to_the_own_side_of_a_partition() {
    let mut fleet = Fleet::new(60, &[]);
    fleet.run(15.0);
    fleet.blocked = |a, b| (a % 3 == 0) != (b % 3 == 0);
    fleet.run(20.0);
    for view in fleet.running() {
        let cut_off = view.me().zone == "lausanne";
        for ledger in 0..64 {
            let home = view.home(ledger).unwrap();
            assert_eq!(home.starts_with("lausanne"), cut_off);
        }
        let holders = view.holders("group", "lausanne");
        assert_eq!(holders.len(), 3);
        let inside = |id: &&base::NodeId| id.starts_with("lausanne");
        assert_eq!(holders.iter().all(inside), cut_off);
        assert_eq!(view.relays("lausanne").len(), if cut_off { 3 } else { 0 });
    }
}

/// Guards against VMs that are removed because an incorrect list omits many of them, and against VMs that are never
/// removed after the list has dropped them.
#[rstest]
#[case::large_share(10, 30)]
#[case::few(28, 28)]
fn vms_missing_from_the_list(#[case] listed: usize, #[case] kept: usize) {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(1.0);
    // A VM that receives no messages knows the others only from the list.
    fleet.blocked = |_, _| true;
    let view = fleet.view(0);
    let own = view.me().clone();
    fleet.run(59.0);
    for _ in 0..10 {
        let now = fleet.now;
        fleet.view(0).merge_vm_list(&make_list(listed), now);
        fleet.run(10.0);
    }
    assert_eq!(fleet.view(0).nodes().count(), kept);
    assert_eq!(fleet.view(0).me().id, own.id);
}

/// Guards against a lagging list that revives a dead VM, or removes a VM that still sends heartbeats.
#[rstest]
fn heartbeats_take_precedence_over_the_list() {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    fleet.views[4] = None;
    fleet.run(40.0);
    let now = fleet.now;
    fleet.view(1).merge_vm_list(&make_list(30), now);
    let state = |fleet: &mut Fleet, index| fleet.view(1).node(&id(index)).unwrap().state();
    assert_eq!(state(&mut fleet, 4), NodeState::Dead);
    let mut incomplete = make_list(30);
    incomplete.retain(|vm| vm.id != id(7));
    fleet.view(1).merge_vm_list(&incomplete, now + seconds(1));
    fleet.run(90.0);
    assert_eq!(state(&mut fleet, 7), NodeState::Live);
}
