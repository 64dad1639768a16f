//! Bounded queues for queries that wait for capacity, one per service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::ServiceName;

/// Attempts that a batch service may start per round.
///
/// It equals a common fan-out, so that most queries start within one round.
const BATCH_QUANTUM: u64 = 32;

/// Capacity share of an interactive service relative to a batch service under contention.
const INTERACTIVE_WEIGHT: u64 = 8;

/// Weight of a new running time in the moving averages of running time and deviation.
const EWMA_WEIGHT: f64 = 0.1;

/// Mean absolute deviations added to the mean running time to estimate how long a query runs.
///
/// With the mean alone, half of the queries that barely fit would hit their deadline and waste their work.
const DEVIATION_MARGIN: f64 = 2.0;

/// Priority of a service's queries when services compete for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A person waits for the answer.
    Interactive,
    /// A program waits for the answer.
    Batch,
}

/// Why a query was not admitted; nothing of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue of the service is full.
    QueueFull,
    /// The query would not finish before its deadline, or it expired in the queue.
    TooLate,
}

impl Refusal {
    /// Returns the result code that the caller gets.
    pub fn code(self) -> Code {
        match self {
            Refusal::QueueFull => Code::Overloaded,
            Refusal::TooLate => Code::DeadlineTooShort,
        }
    }
}

/// A query to be admitted.
#[derive(Debug, Clone)]
pub struct Request<T> {
    /// Service that the query belongs to.
    pub service: ServiceName,
    /// Priority of the service.
    pub priority: Priority,
    /// Cost of the query: the number of attempts that it starts with.
    pub cost: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Value that the caller gets back when the query leaves the queue.
    pub item: T,
}

/// A query that [`Admission::dequeue`] removed from its queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// The query may start; when it ends, call [`Admission::finish`] with the same cost.
    Run(T, u32),
    /// The query can no longer finish before its deadline and must not start.
    Expired(T),
}

#[derive(Debug)]
struct Queue<T> {
    waiting: VecDeque<Request<T>>,
    cost: u64,
    deficit: u64,
}

/// One bounded queue per service, served by deficit round robin over a capacity that is measured in attempts.
#[derive(Debug)]
pub struct Admission<T> {
    capacity: u64,
    queue_limit: usize,
    running_cost: u64,
    queued_cost: u64,
    mean_secs: f64,
    deviation_secs: f64,
    queues: BTreeMap<ServiceName, Queue<T>>,
    round: VecDeque<ServiceName>,
}

impl<T> Admission<T> {
    /// Creates queues for `capacity` concurrent attempts and at most `queue_limit` waiting queries per service.
    pub fn new(capacity: u32, queue_limit: usize) -> Admission<T> {
        Admission {
            capacity: u64::from(capacity.max(1)),
            queue_limit,
            running_cost: 0,
            queued_cost: 0,
            mean_secs: 0.0,
            deviation_secs: 0.0,
            queues: BTreeMap::new(),
            round: VecDeque::new(),
        }
    }

    /// Appends a query to the queue of its service, from which [`Admission::dequeue`] removes it.
    ///
    /// # Errors
    ///
    /// Returns the reason and the query when the queue is full or the deadline cannot be met after the expected wait.
    pub fn enqueue(
        &mut self,
        request: Request<T>,
        now: Instant,
    ) -> Result<(), (Refusal, Request<T>)> {
        let start = now + self.expect_wait_time(&request);
        let run = self
            .expect_run_time()
            .max(Duration::from_secs_f64(self.mean_secs));
        if now >= request.deadline || start + run > request.deadline {
            return Err((Refusal::TooLate, request));
        }
        let queue = self
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| Queue {
                waiting: VecDeque::new(),
                cost: 0,
                deficit: 0,
            });
        if queue.waiting.len() >= self.queue_limit {
            return Err((Refusal::QueueFull, request));
        }
        if queue.waiting.is_empty() {
            self.round.push_back(request.service.clone());
        }
        self.queued_cost += u64::from(request.cost);
        queue.cost += u64::from(request.cost);
        queue.waiting.push_back(request);
        Ok(())
    }

    /// Removes the next query from the queues; returns `None` when none is waiting or the capacity is in use.
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued<T>> {
        let end = now + self.expect_run_time();
        loop {
            let service = self.round.front()?.clone();
            let queue = self.queues.get_mut(&service)?;
            let head = queue.waiting.front()?;
            let cost = u64::from(head.cost);
            if head.deadline <= end {
                return self
                    .pop_head(&service)
                    .map(|request| Dequeued::Expired(request.item));
            }
            if self.running_cost > 0 && self.running_cost + cost > self.capacity {
                return None;
            }
            if queue.deficit < cost {
                queue.deficit += quantum(head.priority);
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            self.running_cost += cost;
            return self
                .pop_head(&service)
                .map(|request| Dequeued::Run(request.item, request.cost));
        }
    }

    /// Removes every query that would not finish in time, so that its caller is told before it reaches the head.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        let mut dropped_cost = 0;
        let end = now + self.expect_run_time();
        for queue in self.queues.values_mut() {
            for request in std::mem::take(&mut queue.waiting) {
                if request.deadline <= end {
                    queue.cost -= u64::from(request.cost);
                    dropped_cost += u64::from(request.cost);
                    expired.push(request.item);
                } else {
                    queue.waiting.push_back(request);
                }
            }
        }
        self.queued_cost -= dropped_cost;
        self.remove_idle();
        expired
    }

    /// Releases the capacity of a query and records that it ran for `elapsed`.
    pub fn finish(&mut self, cost: u32, elapsed: Duration) {
        self.running_cost = self.running_cost.saturating_sub(u64::from(cost));
        let secs = elapsed.as_secs_f64();
        if self.mean_secs == 0.0 {
            self.mean_secs = secs;
        }
        let error = secs - self.mean_secs;
        self.mean_secs += EWMA_WEIGHT * error;
        self.deviation_secs += EWMA_WEIGHT * (error.abs() - self.deviation_secs);
    }

    /// Changes the capacity, which is measured in attempts.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = u64::from(capacity.max(1));
    }

    /// Returns the number of waiting queries.
    pub fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns the total cost of the running queries, measured in attempts.
    pub fn running_cost(&self) -> u64 {
        self.running_cost
    }

    /// Estimates how long a query runs, which is the time that it must have left when it starts.
    ///
    /// The estimate is zero while nothing runs: one that is too high would stop every query from starting, and with
    /// none that finishes it could never be corrected.
    fn expect_run_time(&self) -> Duration {
        if self.running_cost == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.mean_secs + DEVIATION_MARGIN * self.deviation_secs)
    }

    /// Estimates how long a new query would wait: the work ahead of it divided by the rate at which work completes.
    ///
    /// While the queue of its service is served, every other service gets at most its weight relative to that service.
    /// A long queue of another service therefore doesn't cause the query to be refused.
    fn expect_wait_time(&self, request: &Request<T>) -> Duration {
        let cost = u64::from(request.cost);
        let mut own_cost = cost;
        let mut competing_weight = 0;
        for (service, queue) in &self.queues {
            if *service == request.service {
                own_cost += queue.cost;
            } else if let Some(head) = queue.waiting.front() {
                competing_weight += quantum(head.priority);
            }
        }
        let weight = quantum(request.priority);
        let cost_ahead =
            (own_cost * (weight + competing_weight) / weight).min(self.queued_cost + cost);
        let free = self.capacity.saturating_sub(self.running_cost);
        let excess = cost_ahead.saturating_sub(free);
        Duration::from_secs_f64(self.mean_secs * excess as f64 / self.capacity as f64)
    }

    fn pop_head(&mut self, service: &ServiceName) -> Option<Request<T>> {
        let queue = self.queues.get_mut(service)?;
        let request = queue.waiting.pop_front()?;
        queue.cost -= u64::from(request.cost);
        self.queued_cost -= u64::from(request.cost);
        self.remove_idle();
        Some(request)
    }

    /// Removes services without waiting queries, and their deficit: an idle service must not save up for a burst.
    fn remove_idle(&mut self) {
        let queues = &mut self.queues;
        self.round.retain(|service| {
            let empty = queues
                .get(service)
                .is_none_or(|queue| queue.waiting.is_empty());
            if empty {
                queues.remove(service);
            }
            !empty
        });
    }
}

fn quantum(priority: Priority) -> u64 {
    match priority {
        Priority::Interactive => BATCH_QUANTUM * INTERACTIVE_WEIGHT,
        Priority::Batch => BATCH_QUANTUM,
    }
}
