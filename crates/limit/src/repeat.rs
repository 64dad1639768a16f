//! The fleet-wide bound of repeated sub-requests, kept by each node for its own part.

use rand::Rng;
use rand::RngExt;

/// Part of the allowed ratio that is spent, so that requests whose sending failed elsewhere leave a reserve.
const SPENT_RATIO: f64 = 0.9;

/// Part of the allowed slack that the nodes share out among them.
const SPENT_SLACK: f64 = 0.75;

/// What a firm allows in repeated sub-requests to one service, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatRule {
    /// Repeats per request of the service.
    pub ratio: f64,
    /// Repeats besides, in each of the windows in which the firm counts.
    pub slack: f64,
    /// Nodes that share the slack.
    pub nodes: u32,
}

impl RepeatRule {
    fn earned(&self) -> f64 {
        self.ratio * SPENT_RATIO
    }

    /// Returns the most tokens that a node saves up: in any window it spends these and what it earns meanwhile.
    ///
    /// A node alone saves up a whole token, which it has earned by then; many nodes that all did so would exceed the bound.
    fn burst(&self) -> f64 {
        let share = self.slack * SPENT_SLACK / f64::from(self.nodes.max(1));
        let least = if self.nodes > 1 { self.earned() } else { 1.0 };
        share.max(least)
    }
}

/// Tokens of one service on one node.
///
/// Each request earns a fraction of a token, whether it succeeds or not, because the bound counts the requests that
/// callers sent. The sum over all nodes stays within the bound without any message between them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RepeatBudget {
    tokens: f64,
}

impl RepeatBudget {
    pub(crate) fn full(rule: &RepeatRule) -> RepeatBudget {
        RepeatBudget {
            tokens: rule.burst(),
        }
    }

    pub(crate) fn earn(&mut self, rule: &RepeatRule) {
        self.tokens = (self.tokens + rule.earned()).min(rule.burst());
    }

    /// Takes a token if at least `reserve` tokens, as a fraction of the most that may be saved up, are left then.
    ///
    /// Where so many nodes share the slack that none saves up a whole token, what is there is the chance of one.
    pub(crate) fn take(&mut self, reserve: f64, rule: &RepeatRule, rng: &mut dyn Rng) -> bool {
        if rule.burst() < 1.0 {
            let chance = std::mem::take(&mut self.tokens);
            return rng.random::<f64>() < chance;
        }
        if self.tokens < 1.0 + reserve * (rule.burst() - 1.0) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
