//! Token buckets that bound the hedges and retries of a service.

/// Capacity of each token bucket of a service.
///
/// A query over 520 shards may hedge 3% of them at once; 50 tokens allow a burst of three such queries.
const MAX_TOKENS: f64 = 50.0;

/// Tokens of each kind that a service starts with, so that a new node can replace a lost reply before
/// any primary has completed.
const INITIAL_TOKENS: f64 = 5.0;

/// Hedge tokens that a service keeps; tokens above this number go to the reserve of the node.
///
/// A query over 30 shards seldom has more than five late replies, so this is enough for two queries at once.
const OWN_TOKENS: f64 = 10.0;

/// Capacity of the reserve: as many tokens as the buckets of three services hold.
const MAX_RESERVE_TOKENS: f64 = 150.0;

/// Fractions of the declared hedge rate that a service plans to use when it has no hedge tokens of its own and when it
/// has [`OWN_TOKENS`].
///
/// The rest goes to the reserve. The lower bound leaves tokens for replies that are far slower than the others.
const SPEND_RANGE: (f64, f64) = (0.2, 0.7);

/// Fraction of its primaries that each service additionally plans to hedge while the reserve is full.
const RESERVE_HEDGE_RATE: f64 = 0.05;

/// Surplus hedge tokens of all services of a node, available to any of them.
///
/// With many services on a node, each earns few tokens, and one may run out while the others have more than they need.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct HedgeReserve {
    tokens: f64,
}

impl HedgeReserve {
    /// Moves the tokens that exceed [`OWN_TOKENS`] from a service to the reserve.
    pub(crate) fn collect(&mut self, budget: &mut ServiceBudget) {
        let surplus = (budget.hedges - OWN_TOKENS).max(0.0);
        budget.hedges -= surplus;
        self.tokens = (self.tokens + surplus).min(MAX_RESERVE_TOKENS);
    }

    pub(crate) fn spend(&mut self) -> bool {
        spend_token(&mut self.tokens)
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the fraction of its primaries that a service should plan to hedge.
    pub(crate) fn plan_hedges(&self, budget: &ServiceBudget, declared: f64) -> f64 {
        let level = (budget.hedges / OWN_TOKENS).min(1.0);
        let fraction = SPEND_RANGE.0 + (SPEND_RANGE.1 - SPEND_RANGE.0) * level;
        declared * fraction + RESERVE_HEDGE_RATE * self.tokens / MAX_RESERVE_TOKENS
    }
}

/// Tokens that bound the extra load of hedges and retries for one service.
///
/// Only primaries (first attempts) that complete earn tokens. When all replies are slow, no tokens are earned, so
/// hedges and retries stop instead of adding load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceBudget {
    hedges: f64,
    retries: f64,
}

impl Default for ServiceBudget {
    fn default() -> ServiceBudget {
        ServiceBudget {
            hedges: INITIAL_TOKENS,
            retries: INITIAL_TOKENS,
        }
    }
}

impl ServiceBudget {
    /// Adds the tokens that one completed primary earns at the declared rates.
    pub fn earn(&mut self, hedge_rate: f64, retry_rate: f64) {
        self.hedges = (self.hedges + hedge_rate).min(MAX_TOKENS);
        self.retries = (self.retries + retry_rate).min(MAX_TOKENS);
    }

    /// Spends the token for one hedge; returns false when there is none.
    pub fn spend_hedge(&mut self) -> bool {
        spend_token(&mut self.hedges)
    }

    /// Spends the token for one retry; returns false when there is none.
    pub fn spend_retry(&mut self) -> bool {
        spend_token(&mut self.retries)
    }

    /// Returns the number of hedge tokens.
    pub fn hedge_tokens(&self) -> f64 {
        self.hedges
    }

    /// Returns the number of retry tokens.
    pub fn retry_tokens(&self) -> f64 {
        self.retries
    }
}

/// Spends a token; the tolerance absorbs rounding when fractions such as 0.1 add up to just below one.
fn spend_token(tokens: &mut f64) -> bool {
    if *tokens < 1.0 - 1e-9 {
        return false;
    }
    *tokens = (*tokens - 1.0).max(0.0);
    true
}
