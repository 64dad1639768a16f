//! Partitions between and inside zones, and lists that lose VMs.

mod common;

use member::NodeState;
use rstest::rstest;

use common::Fleet;
use common::id;
use common::make_list;
use common::seconds;

/// Most bytes that a VM may send in one second after healing: twice its budget of 4 KB/s.
const BURST: usize = 2 * 4_096;

/// Guards against a partition that removes its other side, and against a burst of messages when it heals.
#[rstest]
#[case::one_zone_cut_off(|a, b| (a % 3 == 0) != (b % 3 == 0))]
#[case::every_zone_alone(|a, b| a % 3 != b % 3)]
#[case::a_zone_in_halves(|a, b| a % 3 == 0 && b % 3 == 0 && (a % 2 != b % 2))]
#[case::everybody_alone(|_, _| true)]
fn partition_removes_nobody_and_heals_without_a_burst(#[case] blocked: fn(usize, usize) -> bool) {
    let mut fleet = Fleet::new(60, &[]);
    fleet.run(15.0);
    fleet.blocked = blocked;
    fleet.run(90.0);
    for view in fleet.live() {
        assert_eq!(view.nodes().count(), 60);
        assert!(view.nodes().all(|node| node.state() != NodeState::Dead));
    }
    fleet.blocked = |_, _| false;
    fleet.peak_bytes = 0;
    fleet.wait(30.0, |view, _| {
        view.nodes().all(|node| node.state() == NodeState::Live)
            && view.zone_names().all(|zone| view.zone(zone).unwrap().1)
    });
    fleet.run(10.0);
    assert!(fleet.peak_bytes <= BURST, "{} bytes", fleet.peak_bytes);
    assert!(fleet.peak_messages <= 5);
}

/// Guards against a zone that cannot serve alone because roles stay on VMs of the other side.
#[rstest]
fn roles_stay_on_the_own_side_of_a_partition() {
    let mut fleet = Fleet::new(60, &[]);
    fleet.run(15.0);
    fleet.blocked = |a, b| (a % 3 == 0) != (b % 3 == 0);
    fleet.run(20.0);
    for view in fleet.live() {
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

/// Guards against a platform list that loses VMs by mistake and takes them from the view, and against VMs that stay in
/// the view for ever after they have left the list.
#[rstest]
#[case::large_share(10, 30)]
#[case::few(28, 28)]
fn list_that_loses_vms(#[case] listed: usize, #[case] kept: usize) {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(1.0);
    // A single VM that hears nobody knows the others only from the list.
    fleet.blocked = |_, _| true;
    let view = fleet.view(0);
    let begin = view.me().clone();
    fleet.run(59.0);
    for _ in 0..10 {
        let now = fleet.now;
        fleet.view(0).merge_vm_list(&make_list(listed), now);
        fleet.run(10.0);
    }
    assert_eq!(fleet.view(0).nodes().count(), kept);
    assert_eq!(fleet.view(0).me().id, begin.id);
}

/// Guards against the list of the platform, which lags, that revives or removes a VM against its heartbeats.
#[rstest]
fn heartbeats_take_precedence_over_the_list() {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    fleet.views[4] = None;
    fleet.run(40.0);
    let now = fleet.now;
    fleet.view(1).merge_vm_list(&make_list(30), now);
    let state = |fleet: &mut Fleet, at| fleet.view(1).node(&id(at)).unwrap().state();
    assert_eq!(state(&mut fleet, 4), NodeState::Dead);
    let mut short = make_list(30);
    short.retain(|vm| vm.id != id(7));
    fleet.view(1).merge_vm_list(&short, now + seconds(1));
    fleet.run(90.0);
    assert_eq!(state(&mut fleet, 7), NodeState::Live);
}
