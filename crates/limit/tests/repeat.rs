//! The bound of repeated sub-requests over all nodes.

use std::time::Duration;

use base::ServiceName;
use limit::Limits;
use limit::RepeatRule;
use limit::Tuning;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn create(rule: RepeatRule) -> Limits {
    let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
    limits.set_repeat_rule(rule);
    limits
}

fn rule(nodes: u32) -> RepeatRule {
    RepeatRule {
        ratio: 0.2,
        slack: 126.0,
        window: WINDOW,
        nodes,
    }
}

proptest! {
    /// Guards against more repeats over all nodes than the firm allows, however its requests fall on the nodes and even
    /// if every node has just started.
    #[test]
    fn nodes_together_keep_the_bound(loads in prop::collection::vec(0..400_u32, 1..120)) {
        let rule = rule(loads.len() as u32);
        let service = ServiceName::from("plan-desk");
        let mut repeats = 0;
        for load in &loads {
            let mut limits = create(rule);
            for _ in 0..*load {
                limits.earn_repeat(&service);
                while limits.take_repeat(&service, 0.0) {
                    repeats += 1;
                }
            }
        }
        let requests: u32 = loads.iter().sum();
        prop_assert!(f64::from(repeats) <= rule.ratio * f64::from(requests) + rule.slack);
    }
}

/// Guards against hedges that use up what retries of lost replies need.
#[test]
fn hedges_leave_a_reserve() {
    let service = ServiceName::from("plan-desk");
    let mut limits = create(rule(10));
    limits.earn_repeat(&service);
    let mut hedges = 0;
    while limits.take_repeat(&service, 0.5) {
        hedges += 1;
    }
    assert!(hedges > 0);
    assert!(limits.take_repeat(&service, 0.0));
}

/// Guards against one service spending what another one earned.
#[test]
fn services_have_budgets_of_their_own() {
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    let mut limits = create(rule(10));
    limits.earn_repeat(&one);
    while limits.take_repeat(&one, 0.0) {}
    assert!(limits.take_repeat(&other, 0.0));
}
