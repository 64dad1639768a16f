//! The fleet-wide limit on repeated attempts, of which each node enforces its own share.

use std::collections::BTreeMap;

use base::ServiceName;
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

/// Budgets that a repeat can be taken from; each has a rule of its own, since different nodes share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPool {
    /// For services to which every node sends its own attempts.
    Shared,
    /// For services to which this node sends as a holder, also on behalf of other nodes.
    Holder,
    /// For services whose holder failed, so that this node sends in its place.
    Fallback,
}

impl RepeatRule {
    /// Returns the rule for a fraction of the limit that `nodes` nodes share.
    #[must_use]
    pub fn split(&self, fraction: f64, nodes: u32) -> RepeatRule {
        RepeatRule {
            ratio: self.ratio * fraction,
            slack: self.slack * fraction,
            nodes,
        }
    }

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
struct RepeatBudget {
    tokens: f64,
}

impl RepeatBudget {
    fn full(rule: &RepeatRule) -> RepeatBudget {
        RepeatBudget {
            tokens: rule.burst(),
        }
    }

    fn earn(&mut self, rule: &RepeatRule) {
        self.tokens = (self.tokens + rule.tokens_per_request()).min(rule.burst());
    }

    /// Spends a token if at least the fraction `reserve` of the rest of the capacity is left afterwards.
    ///
    /// When so many nodes share the slack that the capacity is below one token, the saved fraction of a token is the
    /// probability that a repeat is allowed.
    fn spend(&mut self, reserve: f64, rule: &RepeatRule, rng: &mut dyn Rng) -> bool {
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

/// The budgets of all services in one [`RepeatPool`].
#[derive(Debug, Default)]
pub(crate) struct RepeatBudgets {
    /// Limit on the repeats; without one they are not limited.
    rule: Option<RepeatRule>,
    budgets: BTreeMap<ServiceName, RepeatBudget>,
}

impl RepeatBudgets {
    pub(crate) fn set_rule(&mut self, rule: RepeatRule) {
        self.rule = Some(rule);
    }

    pub(crate) fn earn(&mut self, service: &ServiceName) {
        let Some(rule) = self.rule else {
            return;
        };
        match self.budgets.get_mut(service) {
            Some(budget) => budget.earn(&rule),
            None => {
                self.budgets
                    .insert(service.clone(), RepeatBudget::full(&rule));
            }
        }
    }

    pub(crate) fn spend(&mut self, service: &ServiceName, reserve: f64, rng: &mut dyn Rng) -> bool {
        let Some(rule) = self.rule else {
            return true;
        };
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RepeatBudget::full(&rule));
        budget.spend(reserve, &rule, rng)
    }

    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&ServiceName) -> bool) {
        self.budgets.retain(|service, _| keep(service));
    }
}
