//! The queue of events of a run in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events in the order of their moments; those of one moment come in the order in which they were added, so that a run
/// depends on nothing but its seed.
#[derive(Debug)]
pub(crate) struct EventQueue<T, E> {
    heap: BinaryHeap<Due<T, E>>,
    added: u64,
}

#[derive(Debug)]
struct Due<T, E> {
    at: T,
    number: u64,
    event: E,
}

impl<T, E> PartialEq for Due<T, E> {
    fn eq(&self, other: &Due<T, E>) -> bool {
        self.number == other.number
    }
}

impl<T, E> Eq for Due<T, E> {}

impl<T: Ord, E> PartialOrd for Due<T, E> {
    fn partial_cmp(&self, other: &Due<T, E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Due<T, E> {
    /// Orders the earliest event last, since the heap gives out the greatest.
    fn cmp(&self, other: &Due<T, E>) -> Ordering {
        (&other.at, other.number).cmp(&(&self.at, self.number))
    }
}

impl<T: Ord, E> EventQueue<T, E> {
    /// Creates an empty queue.
    pub(crate) fn new() -> EventQueue<T, E> {
        EventQueue {
            heap: BinaryHeap::new(),
            added: 0,
        }
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, at: T, event: E) {
        self.added += 1;
        self.heap.push(Due {
            at,
            number: self.added,
            event,
        });
    }

    /// Takes the next event.
    pub(crate) fn pop(&mut self) -> Option<(T, E)> {
        let due = self.heap.pop()?;
        Some((due.at, due.event))
    }

    /// Takes the next event, unless it comes after `end`.
    pub(crate) fn pop_until(&mut self, end: T) -> Option<(T, E)> {
        let is_due = self.heap.peek()?.at <= end;
        is_due.then(|| self.pop()).flatten()
    }
}
