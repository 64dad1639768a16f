//! Catching up with drains after a start or a pause.

use std::time::Duration;
use std::time::Instant;

use base::IndexName;
use base::Upstream;
use base::UpstreamState;
use base::Vm;
use base::VmRole;
use base::VmState;
use member::Evidence;
use member::Health;
use member::Identity;
use member::View;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Time after which a node that receives no reply counts as synced.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Longer than the gap that counts as a pause.
const PAUSE: Duration = Duration::from_secs(6);

fn make_vm(id: &str, port: u16) -> Vm {
    Vm {
        id: id.into(),
        role: VmRole::Entry,
        addr: ([127, 0, 0, 1], port).into(),
        zone: "zurich".into(),
        region: "schweiz".into(),
        state: VmState::Live,
    }
}

fn make_view(id: &str, port: u16, now: Instant) -> View {
    let vm = make_vm(id, port);
    let identity = Identity {
        id: vm.id,
        zone: vm.zone,
        region: vm.region,
        addr: vm.addr,
        incarnation: 1,
    };
    let mut view = View::new(identity, now);
    view.merge_vm_list(&[make_vm("e1", 1), make_vm("e2", 2)], now);
    let upstream = Upstream {
        id: "u1".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "zurich".into(),
        region: "schweiz".into(),
        slots: 2,
        connections: 55,
    };
    view.set_upstreams(&IndexName::from("plan-desk"), &[upstream], now);
    view
}

/// Delivers the heartbeats of one view to the other, and the replies to the first.
fn exchange(from: &mut View, to: &mut View, now: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for step in 0..12 {
        let now = now + Duration::from_millis(100) * step;
        for outgoing in from.tick(now, &mut rng) {
            let reply = to.receive(&outgoing.beat, now);
            from.receive_reply(&reply, now);
        }
    }
}

/// Guards against a VM that sends work to an upstream whose drain began while the VM was paused.
#[rstest]
fn paused_node_receives_drains_before_it_is_synced() {
    let start = Instant::now();
    let (mut paused, mut peer) = (make_view("e1", 1, start), make_view("e2", 2, start));
    let now = start + PAUSE;
    assert!(
        !paused.is_synced(now),
        "the pause must be detected before the first heartbeat"
    );
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for second in 1..=6 {
        peer.tick(start + Duration::from_secs(second), &mut rng);
    }
    peer.observe(
        &"u1".into(),
        Evidence::Replied(UpstreamState::Draining),
        now,
    );
    exchange(&mut paused, &mut peer, now);
    let later = now + Duration::from_millis(1_200);
    assert!(paused.is_synced(later));
    assert_eq!(paused.health("u1", later), Health::Draining);
}

/// Guards against two VMs that start at the same time and each count as synced by the empty reply of the other.
#[rstest]
fn reply_of_an_unsynced_peer_does_not_sync() {
    let start = Instant::now();
    let (mut one, mut other) = (make_view("e1", 1, start), make_view("e2", 2, start));
    exchange(&mut one, &mut other, start);
    assert!(!one.is_synced(start + Duration::from_millis(1_200)));
}

/// Guards against a node that is never synced, and so sends no work, when no peer replies.
#[rstest]
#[case::before_timeout(SYNC_TIMEOUT - Duration::from_millis(1), false)]
#[case::at_timeout(SYNC_TIMEOUT, true)]
fn node_without_replies_is_synced_after_timeout(#[case] after: Duration, #[case] synced: bool) {
    let start = Instant::now();
    let view = make_view("e1", 1, start);
    assert_eq!(view.is_synced(start + after), synced);
}
