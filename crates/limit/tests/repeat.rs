//! The bound of repeated sub-requests over all nodes.

use base::ServiceName;
use limit::Limits;
use limit::RepeatRule;
use limit::Tuning;
use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn create(rule: RepeatRule) -> Limits {
    let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
    limits.set_repeat_rule(rule);
    limits
}

fn rule(nodes: u32) -> RepeatRule {
    RepeatRule {
        ratio: 0.2,
        slack: 126.0,
        nodes,
    }
}

proptest! {
    /// Guards against more repeats over all nodes than the firm allows, however its requests fall on the nodes and even
    /// if every node has just started.
    #[test]
    fn nodes_together_keep_the_bound(loads in prop::collection::vec(0..400_u32, 1..120), seed: u64) {
        let rule = rule(loads.len() as u32);
        let mut rng = Pcg64Mcg::new(u128::from(seed));
        let service = ServiceName::from("plan-desk");
        let mut repeats = 0;
        for load in &loads {
            let mut limits = create(rule);
            for _ in 0..*load {
                limits.earn_repeat(&service);
                while limits.spend_repeat(&service, 0.0, &mut rng) {
                    repeats += 1;
                }
            }
        }
        let requests: u32 = loads.iter().sum();
        prop_assert!(f64::from(repeats) <= rule.ratio * f64::from(requests) + rule.slack);
    }
}

/// Guards against a fleet so large that one repeat of each node alone exceeds the bound, as at 300 and 594 nodes that all
/// start at the same moment, and against nodes of such a fleet that may never repeat anything.
#[rstest]
#[case::near(115)]
#[case::beyond_a_token_each(300)]
#[case::aim(594)]
#[case::far_beyond(4_000)]
fn large_fleet_keeps_the_bound(#[case] nodes: u32) {
    let rule = rule(nodes);
    let service = ServiceName::from("plan-desk");
    let mut rng = Pcg64Mcg::new(11);
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut limits = create(rule);
        limits.earn_repeat(&service);
        while limits.spend_repeat(&service, 0.0, &mut rng) {
            repeats += 1;
        }
    }
    let bound = rule.ratio * f64::from(nodes) + rule.slack;
    assert!(f64::from(repeats) <= bound, "{repeats} of {bound}");
    assert!(f64::from(repeats) >= rule.slack / 4.0, "{repeats}");
}

/// Guards against hedges that use up what retries of lost replies need.
#[test]
fn hedges_leave_a_reserve() {
    let service = ServiceName::from("plan-desk");
    let mut limits = create(rule(10));
    limits.earn_repeat(&service);
    let mut rng = Pcg64Mcg::new(1);
    let mut hedges = 0;
    while limits.spend_repeat(&service, 0.5, &mut rng) {
        hedges += 1;
    }
    assert!(hedges > 0);
    assert!(limits.spend_repeat(&service, 0.0, &mut rng));
}

/// Guards against one service spending what another one earned.
#[test]
fn services_have_budgets_of_their_own() {
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    let mut limits = create(rule(10));
    let mut rng = Pcg64Mcg::new(1);
    limits.earn_repeat(&one);
    while limits.spend_repeat(&one, 0.0, &mut rng) {}
    assert!(limits.spend_repeat(&other, 0.0, &mut rng));
}
