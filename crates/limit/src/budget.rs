//! Hedge and retry tokens of a service.

/// Most tokens of one kind that a quiet period can save up.
///
/// A query over 520 shards may use 3% of that for hedges at once; 50 tokens allow three such queries in a burst.
const MAX_TOKENS: f64 = 50.0;

/// Tokens of each kind that a service starts with, so that a new node can replace a lost reply before any completed.
const FIRST_TOKENS: f64 = 5.0;

/// Tokens that bound the extra load of one service.
///
/// Only primaries that complete earn tokens. When everything is slow nothing is earned, so hedging and retrying stop
/// by themselves instead of adding load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    hedges: f64,
    retries: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            hedges: FIRST_TOKENS,
            retries: FIRST_TOKENS,
        }
    }
}

impl Budget {
    /// Credits one primary that completed, at the declared fractions.
    pub fn earn(&mut self, hedge_rate: f64, retry_rate: f64) {
        self.hedges = (self.hedges + hedge_rate).min(MAX_TOKENS);
        self.retries = (self.retries + retry_rate).min(MAX_TOKENS);
    }

    /// Takes the token for one hedge, if there is one.
    pub fn take_hedge(&mut self) -> bool {
        take_token(&mut self.hedges)
    }

    /// Takes the token for one retry, if there is one.
    pub fn take_retry(&mut self) -> bool {
        take_token(&mut self.retries)
    }

    /// Returns the tokens left for hedges.
    pub fn hedges(&self) -> f64 {
        self.hedges
    }

    /// Returns the tokens left for retries.
    pub fn retries(&self) -> f64 {
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
