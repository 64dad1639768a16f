//! Propagation of drains, of leaving VMs and of revisions.

mod common;

use base::UpstreamState;
use member::Evidence;
use member::Health;
use member::NodeState;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use common::Fleet;
use common::id;
use common::make_list;
use common::make_upstreams;
use common::seconds;

const DRAINING: Evidence = Evidence::Replied(UpstreamState::Draining);

/// A drain must be known everywhere within 3 s, of which the probe of an idle upstream may take 1 s.
const MAX_SPREAD_SECONDS: f64 = 2.0;

/// Guards against a drain that takes effect only with the platform's list, which shows the old state for up to 30 s.
#[rstest]
#[case::current_fleet(18, 0)]
#[case::with_loss(18, 5)]
#[case::large_zones(150, 1)]
fn drain_reaches_all_vms_despite_a_lagging_list(#[case] nodes: usize, #[case] loss: u64) {
    let mut fleet = Fleet::new(nodes, &make_upstreams(30, 90));
    fleet.run(20.0);
    fleet.loss_percent = loss;
    for index in 0..10 {
        let now = fleet.now;
        let id = format!("srv-{index:04}").as_str().into();
        fleet.view(index).observe(&id, DRAINING, now);
        let lagging = make_list(nodes);
        for view in fleet.views.iter_mut().flatten() {
            view.merge_vm_list(&lagging, now);
        }
        fleet.run_until(MAX_SPREAD_SECONDS, |view, now| {
            view.health(&id, now) == Health::Draining
        });
        fleet.run(2.0);
    }
}

/// Guards against a leaving VM that keeps its roles in the view of any node.
#[rstest]
fn leaving_vm_loses_its_roles() {
    let mut fleet = Fleet::new(30, &[]);
    fleet.run(20.0);
    let home = fleet.view(0).home(5).unwrap().clone();
    let now = fleet.now;
    fleet.view(common::parse_index(&home)).leave(now);
    fleet.run_until(MAX_SPREAD_SECONDS, |view, _| {
        view.node(&home).unwrap().state() == NodeState::Leaving && view.home(5) != Some(&home)
    });
}

/// Guards against a revision that takes longer than 4 s to reach all VMs.
#[rstest]
fn revision_reaches_all_vms() {
    let mut fleet = Fleet::new(60, &[]);
    fleet.applies_revisions = true;
    fleet.loss_percent = 1;
    fleet.run(20.0);
    for revision in 1..5 {
        let now = fleet.now;
        fleet.view(revision as usize).set_revision(revision, now);
        fleet.run_until(4.0, |view, _| view.me().revision >= revision);
    }
}

/// Guards against a drain that waits behind other changes.
#[rstest]
fn drain_is_sent_ahead_of_other_changes() {
    let upstreams = make_upstreams(200, 90);
    let mut fleet = Fleet::new(18, &upstreams);
    fleet.run(20.0);
    let now = fleet.now;
    let view = fleet.view(0);
    for upstream in &upstreams[3..] {
        view.observe(&upstream.id, Evidence::ConnectFailed, now);
    }
    for upstream in &upstreams[..3] {
        view.observe(&upstream.id, DRAINING, now);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let beats: Vec<member::Outgoing> = (1..30)
        .flat_map(|tick| view.tick(now + member::TICK * tick, &mut rng))
        .collect();
    assert!(beats.iter().any(|beat| !beat.beat.reports.is_empty()));
    let has_drains = |beat: &member::Outgoing| beat.beat.upstreams.len() >= 3;
    assert!(beats.iter().all(has_drains));
}

/// Guards against a drain that is ended by a late reply from before its start, and against a drain that continues after
/// the restart of its server.
#[rstest]
fn drain_ends_only_by_later_replies() {
    let mut fleet = Fleet::new(18, &make_upstreams(9, 90));
    fleet.run(20.0);
    let id = "srv-0003".into();
    let now = fleet.now;
    fleet.view(2).observe(&id, DRAINING, now);
    fleet.run(2.0);
    let now = fleet.now;
    let live = Evidence::Replied(UpstreamState::Live);
    fleet.view(5).observe(&id, live, now);
    fleet.run(4.0);
    let draining = |view: &member::View, now| view.health("srv-0003", now) == Health::Draining;
    assert!(fleet.running().all(|view| draining(view, fleet.now)));
    let now = fleet.now;
    let cold = Evidence::Replied(UpstreamState::Cold);
    fleet.view(5).observe(&id, cold, now);
    fleet.run_until(30.0, |view, now| {
        view.health("srv-0003", now) == Health::Live
    });
    fleet.run(90.0);
    assert!(!fleet.running().any(|view| draining(view, fleet.now)));
}

/// Guards against a new VM that uses an upstream whose drain was announced before the VM started.
#[rstest]
fn new_vm_receives_earlier_drains() {
    let upstreams = make_upstreams(20, 90);
    let mut fleet = Fleet::new(18, &upstreams);
    fleet.run(20.0);
    let now = fleet.now;
    for upstream in &upstreams {
        fleet.view(2).observe(&upstream.id, DRAINING, now);
    }
    fleet.run(30.0);
    fleet.add(18, 18, &upstreams);
    fleet.run_until(MAX_SPREAD_SECONDS, |view, now| {
        let is_draining = |u: &base::Upstream| view.health(&u.id, now) == Health::Draining;
        upstreams.iter().all(is_draining)
    });
    fleet.run_until(20.0, |view, _| view.node(&id(18)).is_some());
}

/// Guards against drains during a partition that never reach the other side.
#[rstest]
fn drain_during_a_partition_is_known_after_healing() {
    let mut fleet = Fleet::new(18, &make_upstreams(9, 90));
    fleet.run(20.0);
    fleet.blocked = |a, b| (a % 3 == 0) != (b % 3 == 0);
    fleet.run(15.0);
    let now = fleet.now;
    fleet.view(0).observe(&"srv-0003".into(), DRAINING, now);
    fleet.run(30.0);
    let now = fleet.now;
    assert_eq!(fleet.view(1).health("srv-0003", now), Health::Live);
    fleet.blocked = |_, _| false;
    fleet.run_until(30.0, |view, now| {
        view.health("srv-0003", now) == Health::Draining
    });
    let later = fleet.now + seconds(1);
    assert_eq!(fleet.view(1).health("srv-0003", later), Health::Draining);
}
