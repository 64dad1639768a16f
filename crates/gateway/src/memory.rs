//! Accounts for the memory that callers and servers make this process hold, from the first holder to the last one.

use std::cell::RefCell;
use std::rc::Rc;

use limit::MemoryBudget;
use limit::MemoryUse;
use tokio::sync::Notify;

/// Beginning of a body that is charged like the request; the rest is [`MemoryUse::LargeBody`].
const SMALL_BODY_BYTES: u64 = 64 << 10;

/// The memory budget of the process.
#[derive(Debug)]
pub(crate) struct Memory {
    budget: RefCell<MemoryBudget>,
    /// Wakes tasks that wait for memory.
    released: Notify,
}

impl Memory {
    pub(crate) fn new(limit: u64) -> Rc<Memory> {
        Rc::new(Memory {
            budget: RefCell::new(MemoryBudget::new(limit)),
            released: Notify::new(),
        })
    }

    pub(crate) fn set_limit(&self, limit: u64) {
        self.budget.borrow_mut().set_limit(limit);
    }

    /// Returns whether most of the memory for a use is taken.
    pub(crate) fn is_crowded(&self, purpose: MemoryUse) -> bool {
        self.budget.borrow().is_crowded(purpose)
    }

    /// Returns whether so much memory fits when nothing else is held for the use.
    pub(crate) fn may_fit(&self, purpose: MemoryUse, bytes: u64) -> bool {
        self.budget.borrow().part_of(purpose) >= bytes
    }

    /// Returns the bytes that are held for a use.
    pub(crate) fn held_for(&self, purpose: MemoryUse) -> u64 {
        self.budget.borrow().held_for(purpose)
    }

    /// Waits until memory is returned.
    pub(crate) async fn wait_released(&self) {
        self.released.notified().await;
    }

    /// Returns the bytes that are held.
    pub(crate) fn held(&self) -> u64 {
        self.budget.borrow().held()
    }
}

/// Memory reserved for one use; dropping it returns the memory to the budget.
pub(crate) struct Reserved {
    memory: Rc<Memory>,
    purpose: MemoryUse,
    bytes: u64,
}

impl std::fmt::Debug for Reserved {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reserved")
            .field("purpose", &self.purpose)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Reserved {
    /// Reserves memory for a new request, unless the remaining budget is reserved for more urgent ranks.
    pub(crate) fn admit(memory: &Rc<Memory>, rank: u32, bytes: u64) -> Option<Reserved> {
        let admitted = memory.budget.borrow_mut().admit(rank, bytes);
        let mut reserved = Reserved::empty(memory, MemoryUse::Request);
        if !admitted {
            return None;
        }
        reserved.bytes = bytes;
        Some(reserved)
    }

    /// Creates an empty reservation, which may grow.
    pub(crate) fn empty(memory: &Rc<Memory>, purpose: MemoryUse) -> Reserved {
        Reserved {
            memory: Rc::clone(memory),
            purpose,
            bytes: 0,
        }
    }

    /// Adds to the reservation; returns false if its part of the budget is exhausted.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let fits = self.memory.budget.borrow_mut().charge(self.purpose, bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Returns the reserved bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Moves as much as there is, `bytes` at most, to another reservation for the same use.
    fn move_to(&mut self, other: &mut Reserved, bytes: u64) -> u64 {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        other.bytes += moved;
        moved
    }

    /// Returns some bytes to the budget.
    fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.memory.budget.borrow_mut().release(self.purpose, bytes);
        if bytes > 0 {
            self.memory.released.notify_waiters();
        }
    }

    /// Takes over the bytes of another reservation for the same use.
    fn absorb(&mut self, mut other: Reserved) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Memory for large bodies, which is reserved before they are known to come.
pub(crate) type Advance = Rc<RefCell<Reserved>>;

/// Memory reserved for the bytes of a body, as many as are allocated for it.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    beginning: Reserved,
    rest: Reserved,
    /// What the rest is taken from first, until the body is complete.
    advance: Option<Advance>,
}

impl BodyMemory {
    /// Creates an empty reservation, which grows as a body is read.
    pub(crate) fn empty(memory: &Rc<Memory>) -> BodyMemory {
        BodyMemory::with_advance(memory, None)
    }

    /// Creates an empty reservation that uses up the advance before it grows.
    pub(crate) fn with_advance(memory: &Rc<Memory>, advance: Option<Advance>) -> BodyMemory {
        BodyMemory {
            beginning: Reserved::empty(memory, MemoryUse::Request),
            rest: Reserved::empty(memory, MemoryUse::LargeBody),
            advance,
        }
    }

    /// Returns the reserved bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.beginning.bytes + self.rest.bytes
    }

    /// Adds to the reservation; returns false if the memory budget is exhausted.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let small = SMALL_BODY_BYTES
            .saturating_sub(self.beginning.bytes)
            .min(bytes);
        let large = bytes - small;
        let moved = self.take_advance(large);
        if !self.rest.grow(large - moved) {
            return false;
        }
        let fits = self.beginning.grow(small);
        if !fits {
            self.rest.shrink(large);
        }
        fits
    }

    fn take_advance(&mut self, bytes: u64) -> u64 {
        let rest = &mut self.rest;
        let advance = self.advance.as_ref();
        advance.map_or(0, |advance| advance.borrow_mut().move_to(rest, bytes))
    }

    /// Returns the bytes beyond the beginning.
    pub(crate) fn large_bytes(&self) -> u64 {
        self.rest.bytes
    }

    /// Ends the growth: returns all but `bytes` to the budget, and gives up the advance.
    pub(crate) fn complete(&mut self, bytes: u64) {
        self.advance = None;
        self.shrink_to(bytes);
    }

    /// Returns all but `bytes` to the budget.
    pub(crate) fn shrink_to(&mut self, bytes: u64) {
        let excess = self.bytes().saturating_sub(bytes);
        let large = excess.min(self.rest.bytes);
        self.rest.shrink(large);
        self.beginning.shrink(excess - large);
    }

    /// Takes over the bytes of another body, which is sent together with this one.
    pub(crate) fn absorb(&mut self, other: BodyMemory) {
        self.beginning.absorb(other.beginning);
        self.rest.absorb(other.rest);
    }
}
