//! Membership against the limits of the design, in virtual time.

use rstest::rstest;

/// Guards against heartbeats that grow beyond the byte budget, drains and revisions that take too long, and a cut that
/// removes VMs.
///
/// The limit of CPU time is left to the printed table, since a test does not judge by the clock of the machine.
#[rstest]
#[case::fleet_of_today(15, 1)]
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
    let slopes = lab::measure_slopes(&options, &mut out).unwrap();
    let mut misses = slopes[0].misses();
    misses.retain(|miss| !miss.contains("CPU"));
    assert!(misses.is_empty(), "{misses:?}");
    assert_eq!(slopes[0].false_suspects, 0);
    assert!(slopes[0].healed.is_some());
}
