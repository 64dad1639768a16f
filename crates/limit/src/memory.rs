//! The memory that a process may use for the requests in progress.

/// Part of the room that is kept back from a request for each rank that is more urgent than its own, as a divisor.
const RANK_PART: u64 = 16;

/// Ranks that differ in the room that is kept back; all less urgent ones are treated alike, and half is left for them.
const RANKS: u64 = 8;

/// Bytes that the requests in progress hold, and their bound.
///
/// A process that exceeds its memory is killed with every request in it, so that a request for which there is no room is
/// refused before anything of it runs. What is left goes to the more urgent requests.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    bound: u64,
    held: u64,
}

impl MemoryBudget {
    /// Creates a room of `bound` bytes.
    pub fn new(bound: u64) -> MemoryBudget {
        MemoryBudget { bound, held: 0 }
    }

    /// Changes the bound; what is held stays.
    pub fn set_limit(&mut self, bound: u64) {
        self.bound = bound;
    }

    /// Takes room for a new request; rank 0 is the most urgent. Returns whether there was enough.
    #[must_use]
    pub fn admit(&mut self, rank: u32, bytes: u64) -> bool {
        let kept = self.bound / RANK_PART * u64::from(rank).min(RANKS);
        self.take_below(self.bound - kept, bytes)
    }

    /// Takes more room for a request that was admitted. Returns whether there was enough.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        self.take_below(self.bound, bytes)
    }

    /// Gives room back.
    pub fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    fn take_below(&mut self, bound: u64, bytes: u64) -> bool {
        let fits = self
            .held
            .checked_add(bytes)
            .is_some_and(|held| held <= bound);
        if fits {
            self.held += bytes;
        }
        fits
    }
}
