//! The limit on repeated attempts over all nodes.

use base::ServiceName;
use limit::Limits;
use limit::RepeatPool;
use limit::RepeatRule;
use limit::Tuning;
use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn create_limits(rule: RepeatRule) -> Limits {
    let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
    limits.set_repeat_rule(RepeatPool::Shared, rule);
    limits
}

fn create_rule(nodes: u32) -> RepeatRule {
    RepeatRule {
        ratio: 0.2,
        slack: 126.0,
        nodes,
    }
}

proptest! {
    /// Guards against more repeats over all nodes than allowed, however the requests are distributed over the nodes and
    /// even if every node has just started.
    #[test]
    fn all_nodes_together_keep_the_limit(loads in prop::collection::vec(0..400_u32, 1..120), seed: u64) {
        let rule = create_rule(loads.len() as u32);
        let mut rng = Pcg64Mcg::new(u128::from(seed));
        let service = ServiceName::from("plan-desk");
        let mut repeats = 0;
        for load in &loads {
            let mut limits = create_limits(rule);
            for _ in 0..*load {
                limits.earn_repeat(RepeatPool::Shared, &service);
                while limits.spend_repeat(RepeatPool::Shared, &service, 0.0, &mut rng) {
                    repeats += 1;
                }
            }
        }
        let requests: u32 = loads.iter().sum();
        prop_assert!(f64::from(repeats) <= rule.ratio * f64::from(requests) + rule.slack);
    }
}

/// Guards against exceeding the limit when the fleet is so large that a single repeat per node is too much, as at 300
/// and 594 nodes that all start at once, and against nodes of such a fleet that may never repeat anything.
#[rstest]
#[case::one_repeat_each_fits(115)]
#[case::one_repeat_each_exceeds_limit(300)]
#[case::target_size(594)]
#[case::far_above_target_size(4_000)]
fn large_fleet_keeps_the_limit(#[case] nodes: u32) {
    let rule = create_rule(nodes);
    let service = ServiceName::from("plan-desk");
    let mut rng = Pcg64Mcg::new(11);
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut limits = create_limits(rule);
        limits.earn_repeat(RepeatPool::Shared, &service);
        while limits.spend_repeat(RepeatPool::Shared, &service, 0.0, &mut rng) {
            repeats += 1;
        }
    }
    let limit = rule.ratio * f64::from(nodes) + rule.slack;
    assert!(f64::from(repeats) <= limit, "{repeats} of {limit}");
    assert!(f64::from(repeats) >= rule.slack / 4.0, "{repeats}");
}

/// Guards against hedges that use up the tokens that retries of lost replies need.
#[test]
fn hedges_leave_tokens_for_retries() {
    let service = ServiceName::from("plan-desk");
    let mut limits = create_limits(create_rule(10));
    limits.earn_repeat(RepeatPool::Shared, &service);
    let mut rng = Pcg64Mcg::new(1);
    let mut hedges = 0;
    while limits.spend_repeat(RepeatPool::Shared, &service, 0.5, &mut rng) {
        hedges += 1;
    }
    assert!(hedges > 0);
    assert!(limits.spend_repeat(RepeatPool::Shared, &service, 0.0, &mut rng));
}

/// Guards against one service spending the tokens that another earned.
#[test]
fn each_service_has_its_own_budget() {
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    let mut limits = create_limits(create_rule(10));
    let mut rng = Pcg64Mcg::new(1);
    limits.earn_repeat(RepeatPool::Shared, &one);
    while limits.spend_repeat(RepeatPool::Shared, &one, 0.0, &mut rng) {}
    assert!(limits.spend_repeat(RepeatPool::Shared, &other, 0.0, &mut rng));
}

/// Guards against holders and the gateways that replace a lost one spending more together than the limit allows, even if
/// every budget is full and every shard has moved to another holder.
#[rstest]
#[case::grown(115, 6)]
#[case::large(295, 6)]
#[case::target(590, 6)]
fn pools_of_a_large_fleet_keep_the_limit(#[case] nodes: u32, #[case] zones: u32) {
    const HOLDER_FRACTION: f64 = 0.6;
    const REQUESTS: u32 = 3_000;
    let rule = create_rule(nodes);
    let senders = 2 * zones;
    let service = ServiceName::from("plan-desk~7");
    let mut rng = Pcg64Mcg::new(5);
    let mut repeats = 0;
    let pools = [
        (
            RepeatPool::Holder,
            rule.split(HOLDER_FRACTION, senders),
            senders,
        ),
        (
            RepeatPool::Fallback,
            rule.split(1.0 - HOLDER_FRACTION, nodes),
            nodes,
        ),
    ];
    for (pool, rule, count) in pools {
        for _ in 0..count {
            let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
            limits.set_repeat_rule(pool, rule);
            for _ in 0..REQUESTS / count {
                limits.earn_repeat(pool, &service);
                while limits.spend_repeat(pool, &service, 0.0, &mut rng) {
                    repeats += 1;
                }
            }
        }
    }
    let allowed = rule.ratio * f64::from(REQUESTS) + rule.slack;
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
}
