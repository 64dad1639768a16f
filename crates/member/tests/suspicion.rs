//! Failure detection for VMs, links and upstreams.

mod common;

use base::UpstreamState;
use member::Evidence;
use member::Health;
use member::NodeState;
use rstest::rstest;

use common::Fleet;
use common::id;
use common::make_upstreams;
use common::seconds;

fn all_live(fleet: &Fleet) -> bool {
    fleet
        .running()
        .all(|view| view.nodes().all(|node| node.state() == NodeState::Live))
}

/// Guards against VMs that are suspected because of a single failed link or of message loss.
#[rstest]
#[case::one_link_down(|a: usize, b: usize| a.min(b) == 0 && a.max(b) == 3, 0)]
#[case::one_way_down(|a, b| a == 0 && b == 3, 0)]
#[case::one_vm_cannot_send_to_half(|a, b| a == 0 && b % 2 == 1, 0)]
#[case::loss(|_, _| false, 10)]
fn bad_links_cause_no_suspicion(#[case] blocked: fn(usize, usize) -> bool, #[case] loss: u64) {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    fleet.blocked = blocked;
    fleet.loss_percent = loss;
    for _ in 0..60 {
        fleet.run(1.0);
        assert!(all_live(&fleet));
    }
}

/// Guards against a failed VM that keeps its roles, and against a failure that other zones never learn of.
#[rstest]
fn failed_vm_is_suspected_and_then_dead_everywhere() {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    fleet.views[4] = None;
    fleet.run(14.0);
    for view in fleet.running().filter(|view| view.me().zone == "lugano") {
        assert!(view.node(&id(4)).unwrap().state() >= NodeState::Suspect);
        assert!(!view.relays("lugano").contains(&&id(4)));
    }
    fleet.run_until(26.0, |view, _| {
        view.node(&id(4))
            .is_none_or(|node| node.state() == NodeState::Dead)
    });
}

/// Guards against a paused VM that resumes with its old incarnation although its roles have moved.
#[rstest]
#[case::short(4.0, false)]
#[case::long(40.0, true)]
fn paused_vm_returns_as_a_new_incarnation(#[case] pause: f64, #[case] declared_dead: bool) {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    let before = fleet.view(4).me().incarnation;
    fleet.paused.push(4);
    fleet.run(pause);
    let dead = |view: &member::View| view.node(&id(4)).unwrap().state() == NodeState::Dead;
    assert_eq!(fleet.running().any(dead), declared_dead);
    fleet.paused.clear();
    fleet.run_until(10.0, |view, _| {
        let node = view.node(&id(4)).unwrap();
        node.record.incarnation > before && node.state() == NodeState::Live
    });
    assert!(all_live(&fleet));
}

/// Guards against a VM that stays out of service because it does not refute an incorrect report of its death.
#[rstest]
fn vm_refutes_its_death() {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(15.0);
    fleet.blocked = |a, b| a == 4 || b == 4;
    fleet.run(40.0);
    let own = fleet.view(4);
    assert!(own.nodes().all(|node| node.state() != NodeState::Dead));
    fleet.blocked = |_, _| false;
    fleet.run_until(20.0, |view, _| {
        view.nodes().all(|node| node.state() == NodeState::Live)
    });
}

/// Guards against an upstream that all nodes suspect because one could not connect, and against a quorum that is
/// unreachable.
#[rstest]
#[case::one_of_few_nodes(15, 90, &[0], Health::Live)]
#[case::two_of_few_nodes(15, 90, &[0, 1], Health::Live)]
#[case::three_of_few_nodes(15, 90, &[0, 1, 2], Health::Suspect)]
#[case::one_of_the_holders(60, 55, &[0], Health::Live)]
#[case::two_of_the_holders(60, 55, &[0, 1], Health::Suspect)]
fn upstream_is_suspected_by_a_quorum(
    #[case] nodes: usize,
    #[case] connections: u32,
    #[case] reporters: &[usize],
    #[case] expected: Health,
) {
    let mut fleet = Fleet::new(nodes, &make_upstreams(9, connections));
    fleet.run(15.0);
    for _ in 0..6 {
        let now = fleet.now;
        for &index in reporters {
            let view = fleet.view(index);
            view.observe(&"srv-0001".into(), Evidence::ConnectFailed, now);
        }
        fleet.run(1.0);
    }
    for view in fleet.running() {
        assert_eq!(view.health("srv-0001", fleet.now), expected);
        assert_eq!(view.health("srv-0002", fleet.now), Health::Live);
    }
    // Without new reports the suspicion ends.
    fleet.run(15.0);
    for view in fleet.running() {
        assert_eq!(view.health("srv-0001", fleet.now), Health::Live);
    }
}

/// Guards against refused connections that count as failures, and against reports that override a node's own reply.
#[rstest]
fn refusals_and_own_replies_prevent_suspicion() {
    let mut fleet = Fleet::new(15, &make_upstreams(9, 90));
    fleet.run(15.0);
    let now = fleet.now;
    for index in 0..10 {
        let view = fleet.view(index);
        view.observe(&"srv-0001".into(), Evidence::ConnectRefused, now);
        view.observe(&"srv-0002".into(), Evidence::ConnectFailed, now);
    }
    fleet.run(4.0);
    let now = fleet.now;
    let live = Evidence::Replied(UpstreamState::Live);
    fleet.view(14).observe(&"srv-0002".into(), live, now);
    assert!(
        fleet
            .running()
            .all(|view| view.health("srv-0001", now) == Health::Live)
    );
    assert_eq!(fleet.view(13).health("srv-0002", now), Health::Suspect);
    assert_eq!(fleet.view(14).health("srv-0002", now), Health::Live);
    let later = now + seconds(9);
    assert_eq!(fleet.view(13).health("srv-0002", later), Health::Live);
}
