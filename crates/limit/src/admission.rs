//! The bounded queues in which admitted queries wait for their turn.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::ServiceName;

/// Sub-requests that a batch service may start per round; a common fan-out, so that most queries start in one round.
const BATCH_QUANTUM: u64 = 32;

/// Share of an interactive service relative to a batch service under contention.
const INTERACTIVE_WEIGHT: u64 = 8;

/// Weight of a new running time in the moving mean and the moving deviation.
const MEAN_WEIGHT: f64 = 0.1;

/// Mean deviations above the mean for which a query must have time.
///
/// With the mean alone, half of the queries that just fit end at their deadline with their work wasted.
const MARGIN: f64 = 2.0;

/// Priority of a service's queries when they compete.
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
    /// The query would not end before its deadline, or it expired in the queue.
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

/// A query that asks for admission.
#[derive(Debug, Clone)]
pub struct Request<T> {
    /// Service that the query belongs to.
    pub service: ServiceName,
    /// Priority of the service.
    pub priority: Priority,
    /// Sub-requests that the query sends, which is what it costs.
    pub cost: u32,
    /// Moment at which the caller stops waiting.
    pub deadline: Instant,
    /// What the caller of [`Admission`] gets back when the query may start.
    pub item: T,
}

/// A query that left the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// The query may start; [`Admission::finish`] must follow with the same cost.
    Run(T, u32),
    /// The query expired while it waited and must not start.
    Expired(T),
}

#[derive(Debug)]
struct Queue<T> {
    waiting: VecDeque<Request<T>>,
    cost: u64,
    deficit: u64,
}

/// One bounded queue per service, served by deficit round robin over a capacity in sub-requests.
#[derive(Debug)]
pub struct Admission<T> {
    capacity: u64,
    queue_limit: usize,
    running: u64,
    waiting: u64,
    mean_secs: f64,
    deviation_secs: f64,
    queues: BTreeMap<ServiceName, Queue<T>>,
    round: VecDeque<ServiceName>,
}

impl<T> Admission<T> {
    /// Creates the queues for `capacity` sub-requests at a time and `queue_limit` waiting queries per service.
    pub fn new(capacity: u32, queue_limit: usize) -> Admission<T> {
        Admission {
            capacity: u64::from(capacity.max(1)),
            queue_limit,
            running: 0,
            waiting: 0,
            mean_secs: 0.0,
            deviation_secs: 0.0,
            queues: BTreeMap::new(),
            round: VecDeque::new(),
        }
    }

    /// Puts a query into the queue of its service; [`Admission::dequeue`] gives it out.
    ///
    /// # Errors
    ///
    /// Gives the query back when the queue is full or the deadline cannot be met after the expected wait.
    pub fn enqueue(
        &mut self,
        request: Request<T>,
        now: Instant,
    ) -> Result<(), (Refusal, Request<T>)> {
        let start = now + self.expect_wait(&request);
        let run = self
            .expect_run()
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
        self.waiting += u64::from(request.cost);
        queue.cost += u64::from(request.cost);
        queue.waiting.push_back(request);
        Ok(())
    }

    /// Takes the next query out of the queues, or `None` when none waits or the capacity is in use.
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued<T>> {
        let end = now + self.expect_run();
        loop {
            let service = self.round.front()?.clone();
            let queue = self.queues.get_mut(&service)?;
            let head = queue.waiting.front()?;
            let cost = u64::from(head.cost);
            if head.deadline <= end {
                return self.take_head(&service).map(|r| Dequeued::Expired(r.item));
            }
            if self.running > 0 && self.running + cost > self.capacity {
                return None;
            }
            if queue.deficit < cost {
                queue.deficit += quantum(head.priority);
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            self.running += cost;
            return self
                .take_head(&service)
                .map(|request| Dequeued::Run(request.item, request.cost));
        }
    }

    /// Takes every query that would not end in time out of the queues, so that callers hear of it before their turn would come.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        let mut dropped_cost = 0;
        let end = now + self.expect_run();
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
        self.waiting -= dropped_cost;
        self.leave_round();
        expired
    }

    /// Returns the capacity of a query that ended after `elapsed`.
    pub fn finish(&mut self, cost: u32, elapsed: Duration) {
        self.running = self.running.saturating_sub(u64::from(cost));
        let secs = elapsed.as_secs_f64();
        if self.mean_secs == 0.0 {
            self.mean_secs = secs;
        }
        let error = secs - self.mean_secs;
        self.mean_secs += MEAN_WEIGHT * error;
        self.deviation_secs += MEAN_WEIGHT * (error.abs() - self.deviation_secs);
    }

    /// Changes the capacity in sub-requests.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = u64::from(capacity.max(1));
    }

    /// Returns the number of queries that wait.
    pub fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns the sub-requests of the queries that run.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Returns the time that a query should have left when it starts.
    ///
    /// While nothing runs it is zero: no query would end, and an estimate that is too high would stay so for ever.
    fn expect_run(&self) -> Duration {
        if self.running == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.mean_secs + MARGIN * self.deviation_secs)
    }

    /// Estimates the wait of one more query: the work before it, at the rate that the capacity gives.
    ///
    /// While the own queue is served, a competing service gets at most its weight relative to the own one. A long
    /// queue of another service therefore doesn't get the query refused.
    fn expect_wait(&self, request: &Request<T>) -> Duration {
        let cost = u64::from(request.cost);
        let mut own = cost;
        let mut competing = 0;
        for (service, queue) in &self.queues {
            if *service == request.service {
                own += queue.cost;
            } else if let Some(head) = queue.waiting.front() {
                competing += quantum(head.priority);
            }
        }
        let weight = quantum(request.priority);
        let ahead = (own * (weight + competing) / weight).min(self.waiting + cost);
        let free = self.capacity.saturating_sub(self.running);
        let excess = ahead.saturating_sub(free);
        Duration::from_secs_f64(self.mean_secs * excess as f64 / self.capacity as f64)
    }

    fn take_head(&mut self, service: &ServiceName) -> Option<Request<T>> {
        let queue = self.queues.get_mut(service)?;
        let request = queue.waiting.pop_front()?;
        queue.cost -= u64::from(request.cost);
        self.waiting -= u64::from(request.cost);
        self.leave_round();
        Some(request)
    }

    /// Takes services without waiting queries out of the round; they keep no deficit, or idleness would earn a burst.
    fn leave_round(&mut self) {
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
