//! The fleet-wide limit on repeated attempts, of which each node enforces its own share.

use rand::Rng;
use rand::RngExt;

/// Fraction of the allowed ratio that nodes spend; the rest is a reserve for requests whose sending failed elsewhere.
const SPENT_RATIO: f64 = 0.9;

/// Fraction of the allowed slack that is divided among the nodes.
const SPENT_SLACK: f64 = 0.75;

/// Limit on repeats, that is retries and hedges, of attempts at one service, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatRule {
    /// Repeats per request of the service.
    pub ratio: f64,
    /// Additional repeats in each of the windows over which the limit is measured.
    pub slack: f64,
    /// Nodes that share the slack.
    pub nodes: u32,
}

impl RepeatRule {
    fn tokens_per_request(&self) -> f64 {
        self.ratio * SPENT_RATIO
    }

    /// Returns the capacity of a node's token bucket: in any window, a node spends at most this and what it earns.
    ///
    /// A single node may save up a whole token, which it has earned by then; if each of many nodes did so, together
    /// they would exceed the limit.
    fn burst(&self) -> f64 {
        let share = self.slack * SPENT_SLACK / f64::from(self.nodes.max(1));
        let least = if self.nodes > 1 {
            self.tokens_per_request()
        } else {
            1.0
        };
        share.max(least)
    }
}

/// Token bucket of one service on one node.
///
/// Each request earns a fraction of a token, whether it succeeds or not, because the limit is relative to the requests
/// that callers sent. The sum over all nodes stays within the limit without any coordination between them.
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
        self.tokens = (self.tokens + rule.tokens_per_request()).min(rule.burst());
    }

    /// Spends a token if at least the fraction `reserve` of the rest of the capacity is left afterwards.
    ///
    /// When so many nodes share the slack that the capacity is below one token, the saved fraction of a token is the
    /// probability that a repeat is allowed.
    pub(crate) fn spend(&mut self, reserve: f64, rule: &RepeatRule, rng: &mut dyn Rng) -> bool {
        if rule.burst() < 1.0 {
            let probability = std::mem::take(&mut self.tokens);
            return rng.random::<f64>() < probability;
        }
        if self.tokens < 1.0 + reserve * (rule.burst() - 1.0) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
