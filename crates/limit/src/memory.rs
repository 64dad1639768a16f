//! The memory that a process may use for requests in progress.

/// Divisor of the limit: the quotient is reserved for each rank that is more urgent than the rank of a request.
const RANK_DIVISOR: u64 = 16;

/// Rank from which on the reserved part no longer grows, so that half of the limit remains for the least urgent.
const MAX_RANK: u64 = 8;

/// Bytes that the requests in progress hold, and their limit.
///
/// A process that exceeds its memory is killed together with all its requests, so a request that doesn't fit is refused
/// before it runs. Part of the memory is reserved for more urgent requests.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: u64,
    held: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> MemoryBudget {
        MemoryBudget { limit, held: 0 }
    }

    /// Changes the limit; bytes that are already held stay held.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Charges a new request to the budget and returns whether it fits; rank 0 is the most urgent.
    #[must_use]
    pub fn admit(&mut self, rank: u32, bytes: u64) -> bool {
        let reserved = self.limit / RANK_DIVISOR * u64::from(rank).min(MAX_RANK);
        self.charge_within(self.limit - reserved, bytes)
    }

    /// Charges more memory for an admitted request to the budget and returns whether it fits.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        self.charge_within(self.limit, bytes)
    }

    /// Returns memory of a request to the budget.
    pub fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the bytes that the requests in progress hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    fn charge_within(&mut self, limit: u64, bytes: u64) -> bool {
        let fits = self
            .held
            .checked_add(bytes)
            .is_some_and(|held| held <= limit);
        if fits {
            self.held += bytes;
        }
        fits
    }
}
