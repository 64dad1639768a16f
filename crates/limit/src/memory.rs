//! The memory that a process may use for what callers and servers make it hold.

/// Divisor of the limit: the quotient is reserved for each rank that is more urgent than the rank of a request, and parts
/// of the budget are multiples of it.
const PART_DIVISOR: u64 = 16;

/// Rank from which on the reserved part no longer grows, so that half of the limit remains for the least urgent.
const MAX_RANK: u64 = 8;

/// Share of a part from which on it counts as crowded, in percent.
const CROWDED_PERCENT: u128 = 75;

/// What memory is used for. Each use has a part of the budget, and the parts of all but [`MemoryUse::Request`] leave some
/// for it, so that requests with small bodies are served while the others are full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MemoryUse {
    /// Requests in progress, and the beginning of each body.
    Request,
    /// The rest of large bodies, until they are sent.
    LargeBody,
    /// Connections of callers.
    Caller,
    /// Connections to servers, and to and from other gateways.
    Upstream,
}

/// Number of variants of [`MemoryUse`].
const USES: usize = 4;

impl MemoryUse {
    /// Returns the largest part of the budget, in units of the limit divided by [`PART_DIVISOR`].
    fn part(self) -> u64 {
        match self {
            MemoryUse::Request => PART_DIVISOR,
            MemoryUse::LargeBody | MemoryUse::Caller => 5,
            MemoryUse::Upstream => 3,
        }
    }
}

/// Bytes that a process holds for others, and their limit.
///
/// A process that exceeds its memory is killed together with all its requests, so a request that doesn't fit is refused
/// before it runs. Part of the memory is reserved for more urgent requests. See docs/decisions/0012-clients.md.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: u64,
    held: [u64; USES],
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> MemoryBudget {
        MemoryBudget {
            limit,
            held: [0; USES],
        }
    }

    /// Changes the limit; bytes that are already held stay held.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Charges a new request to the budget and returns whether it fits; rank 0 is the most urgent.
    #[must_use]
    pub fn admit(&mut self, rank: u32, bytes: u64) -> bool {
        let reserved = self.limit / PART_DIVISOR * u64::from(rank).min(MAX_RANK);
        self.charge_within(self.limit - reserved, MemoryUse::Request, bytes)
    }

    /// Charges more memory to the budget and returns whether it fits.
    #[must_use]
    pub fn charge(&mut self, purpose: MemoryUse, bytes: u64) -> bool {
        self.has_room(purpose, bytes) && self.charge_within(self.limit, purpose, bytes)
    }

    /// Returns whether more memory fits into the budget.
    pub fn has_room(&self, purpose: MemoryUse, bytes: u64) -> bool {
        let part = self.part_of(purpose);
        fits(self.held_for(purpose), bytes, part) && fits(self.held(), bytes, self.limit)
    }

    /// Returns whether most of the part of a use is held.
    pub fn is_crowded(&self, purpose: MemoryUse) -> bool {
        let part = self.part_of(purpose);
        u128::from(self.held_for(purpose)) * 100 >= u128::from(part) * CROWDED_PERCENT
    }

    /// Returns memory to the budget.
    pub fn release(&mut self, purpose: MemoryUse, bytes: u64) {
        let held = &mut self.held[purpose as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Returns the bytes that are held for all uses.
    pub fn held(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Returns the bytes that are held for one use.
    pub fn held_for(&self, purpose: MemoryUse) -> u64 {
        self.held[purpose as usize]
    }

    /// Returns the most that may be held for a use.
    pub fn part_of(&self, purpose: MemoryUse) -> u64 {
        let part = u128::from(self.limit) * u128::from(purpose.part()) / u128::from(PART_DIVISOR);
        // A part is at most the limit.
        part as u64
    }

    fn charge_within(&mut self, limit: u64, purpose: MemoryUse, bytes: u64) -> bool {
        let fits = fits(self.held(), bytes, limit);
        if fits {
            self.held[purpose as usize] += bytes;
        }
        fits
    }
}

fn fits(held: u64, more: u64, limit: u64) -> bool {
    held.checked_add(more).is_some_and(|held| held <= limit)
}
