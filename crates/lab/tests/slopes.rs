//! Compares the cost and speed of membership with the limits of the design, in virtual time.

use rstest::rstest;

/// Guards against heartbeats that exceed the byte budget, drains and revisions that spread too slowly, and a network
/// partition that removes VMs.
///
/// The CPU limit is checked only in the printed table, since a test must not depend on the speed of the machine.
#[rstest]
#[case::current_fleet(15, 1)]
#[case::more_vms(60, 1)]
#[case::more_loss(60, 5)]
fn membership_stays_within_its_limits(#[case] nodes: usize, #[case] loss: u64) {
    let options = lab::SlopeOptions {
        sizes: vec![nodes],
        upstreams: 200,
        loss,
        seed: 1,
    };
    let mut out = Vec::new();
    let results = lab::measure_slopes(&options, &mut out).unwrap();
    let mut exceeded = results[0].list_exceeded();
    exceeded.retain(|limit| !limit.contains("CPU"));
    assert!(exceeded.is_empty(), "{exceeded:?}");
    assert_eq!(results[0].false_suspects, 0);
    assert!(results[0].healed.is_some());
}
