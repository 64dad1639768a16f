//! The event queue of a simulation in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A queue of events ordered by time.
///
/// Events with the same time keep the order in which they were added, so that a run depends only on its seed.
#[derive(Debug)]
pub(crate) struct EventQueue<T, E> {
    heap: BinaryHeap<QueuedEvent<T, E>>,
    /// Sequence number of the last event that was added.
    last_sequence: u64,
}

#[derive(Debug)]
struct QueuedEvent<T, E> {
    at: T,
    sequence: u64,
    event: E,
}

impl<T, E> PartialEq for QueuedEvent<T, E> {
    fn eq(&self, other: &QueuedEvent<T, E>) -> bool {
        self.sequence == other.sequence
    }
}

impl<T, E> Eq for QueuedEvent<T, E> {}

impl<T: Ord, E> PartialOrd for QueuedEvent<T, E> {
    fn partial_cmp(&self, other: &QueuedEvent<T, E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for QueuedEvent<T, E> {
    /// Orders the earliest event last, since the heap returns the greatest first.
    fn cmp(&self, other: &QueuedEvent<T, E>) -> Ordering {
        (&other.at, other.sequence).cmp(&(&self.at, self.sequence))
    }
}

impl<T: Ord, E> EventQueue<T, E> {
    /// Creates an empty queue.
    pub(crate) fn new() -> EventQueue<T, E> {
        EventQueue {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    /// Adds an event that is due at `at`.
    pub(crate) fn push(&mut self, at: T, event: E) {
        self.last_sequence += 1;
        self.heap.push(QueuedEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes and returns the next event with its time.
    pub(crate) fn pop(&mut self) -> Option<(T, E)> {
        let next = self.heap.pop()?;
        Some((next.at, next.event))
    }

    /// Removes and returns the next event, unless its time is after `end`.
    pub(crate) fn pop_until(&mut self, end: T) -> Option<(T, E)> {
        let is_due = self.heap.peek()?.at <= end;
        is_due.then(|| self.pop()).flatten()
    }
}
