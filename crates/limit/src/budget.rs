//! Hedge and retry tokens of a service.

/// Most tokens of one kind that a quiet period can save up.
///
/// A query over 520 shards may use 3% of that for hedges at once; 50 tokens allow three such queries in a burst.
const MAX_TOKENS: f64 = 50.0;

/// Tokens of each kind that a service starts with, so that a new node can replace a lost reply before any completed.
const FIRST_TOKENS: f64 = 5.0;

/// Hedge tokens that a service keeps for itself while the services of a node share a reserve.
///
/// A query over 30 shards seldom has more than five late ones, so that two queries find tokens at the same moment.
const OWN_TOKENS: f64 = 10.0;

/// Most tokens in the reserve: the most that three services could save up by themselves.
const MAX_RESERVE: f64 = 150.0;

/// Part of the declared fraction that a service plans to spend when it has no token of its own, and with all of them.
///
/// The rest goes to the reserve. The lower bound leaves tokens for replies that are far slower than the others.
const OWN_SPEND: (f64, f64) = (0.2, 0.7);

/// Fraction of the sub-requests that every service plans to hedge from a full reserve.
const RESERVE_SPEND: f64 = 0.05;

/// Hedge tokens that the services of a node could not keep, for whichever of them has late replies.
///
/// With many services on a node, each earns few tokens, and one has none left while the others have more than enough.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Reserve {
    tokens: f64,
}

impl Reserve {
    /// Takes over what a service may not keep.
    pub(crate) fn collect(&mut self, budget: &mut ServiceBudget) {
        let surplus = (budget.hedges - OWN_TOKENS).max(0.0);
        budget.hedges -= surplus;
        self.tokens = (self.tokens + surplus).min(MAX_RESERVE);
    }

    pub(crate) fn take(&mut self) -> bool {
        take_token(&mut self.tokens)
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the fraction of its sub-requests that a service should plan to hedge.
    pub(crate) fn plan(&self, budget: &ServiceBudget, declared: f64) -> f64 {
        let own = (budget.hedges / OWN_TOKENS).min(1.0);
        let spend = OWN_SPEND.0 + (OWN_SPEND.1 - OWN_SPEND.0) * own;
        declared * spend + RESERVE_SPEND * self.tokens / MAX_RESERVE
    }
}

/// Tokens that bound the extra load of one service.
///
/// Only primaries that complete earn tokens. When everything is slow nothing is earned, so hedging and retrying stop
/// by themselves instead of adding load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceBudget {
    hedges: f64,
    retries: f64,
}

impl Default for ServiceBudget {
    fn default() -> ServiceBudget {
        ServiceBudget {
            hedges: FIRST_TOKENS,
            retries: FIRST_TOKENS,
        }
    }
}

impl ServiceBudget {
    /// Credits one primary that completed, at the declared fractions.
    pub fn earn(&mut self, hedge_rate: f64, retry_rate: f64) {
        self.hedges = (self.hedges + hedge_rate).min(MAX_TOKENS);
        self.retries = (self.retries + retry_rate).min(MAX_TOKENS);
    }

    /// Takes the token for one hedge, if there is one.
    pub fn spend_hedge(&mut self) -> bool {
        take_token(&mut self.hedges)
    }

    /// Takes the token for one retry, if there is one.
    pub fn spend_retry(&mut self) -> bool {
        take_token(&mut self.retries)
    }

    /// Returns the tokens left for hedges.
    pub fn hedge_tokens(&self) -> f64 {
        self.hedges
    }

    /// Returns the tokens left for retries.
    pub fn retry_tokens(&self) -> f64 {
        self.retries
    }
}

/// Takes a token; the tolerance absorbs rounding of fractions such as 0.1 that sum to just below one.
fn take_token(tokens: &mut f64) -> bool {
    if *tokens < 1.0 - 1e-9 {
        return false;
    }
    *tokens = (*tokens - 1.0).max(0.0);
    true
}
