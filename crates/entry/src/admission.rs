//! Admission of queries: waits for capacity, and releases it when the query ends.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Shard;
use decl::Class;
use decl::Declaration;
use limit::Admission;
use limit::Dequeued;
use limit::Priority;
use limit::Refusal;
use limit::Request;
use tokio::sync::oneshot;

use crate::node::Node;
use crate::node::lock;

/// Largest number of waiting queries per service; further ones would wait past their deadlines.
const MAX_QUEUED: usize = 64;

/// The admission queues of a node.
#[derive(Debug)]
pub struct Queues {
    inner: Mutex<Admission<oneshot::Sender<()>>>,
}

impl Default for Queues {
    fn default() -> Queues {
        Queues {
            inner: Mutex::new(Admission::new(1, MAX_QUEUED)),
        }
    }
}

/// Permit of a query to run; dropping it releases the capacity to waiting queries.
#[derive(Debug)]
pub struct AdmissionPermit {
    node: Arc<Node>,
    cost: u32,
    started: Instant,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut queues = lock(&self.node.queues.inner);
        queues.finish(self.cost, self.started.elapsed());
        admit_waiting(&mut queues);
    }
}

impl Queues {
    /// Sets the capacity in concurrent sub-requests.
    pub fn set_capacity(&self, capacity: u32) {
        let mut queues = lock(&self.inner);
        queues.set_capacity(capacity);
        admit_waiting(&mut queues);
    }

    /// Returns the number of waiting queries.
    pub fn queued(&self) -> usize {
        lock(&self.inner).queued()
    }
}

/// Waits until a query may run, at most until its deadline; a refused query has not run at all.
pub async fn admit(
    node: &Arc<Node>,
    declaration: &Declaration,
    cost: u32,
    deadline: Instant,
) -> Result<AdmissionPermit, Code> {
    let (notifier, admitted) = oneshot::channel();
    let request = Request {
        service: declaration.service.clone(),
        priority: match declaration.class {
            Class::Interactive => Priority::Interactive,
            Class::Batch => Priority::Batch,
        },
        cost,
        deadline,
        item: notifier,
    };
    {
        let mut queues = lock(&node.queues.inner);
        let now = Instant::now();
        drop(queues.drop_expired(now));
        queues
            .enqueue(request, now)
            .map_err(|(refusal, _)| refusal.code())?;
        admit_waiting(&mut queues);
    }
    match tokio::time::timeout_at(deadline.into(), admitted).await {
        Ok(Ok(())) => Ok(AdmissionPermit {
            node: node.clone(),
            cost,
            started: Instant::now(),
        }),
        Ok(Err(_)) | Err(_) => Err(Refusal::TooLate.code()),
    }
}

/// Counts the shards that a declaration covers, which is the number of sub-requests of a query.
pub fn count_subrequests<'a>(
    shards: impl Iterator<Item = &'a Shard>,
    declaration: &Declaration,
) -> u32 {
    shards
        .filter(|shard| declaration.shards.contains(shard))
        .count() as u32
}

/// Admits waiting queries while there is capacity.
fn admit_waiting(queues: &mut Admission<oneshot::Sender<()>>) {
    let now = Instant::now();
    while let Some(dequeued) = queues.dequeue(now) {
        match dequeued {
            Dequeued::Run(notifier, cost) => {
                // A caller that timed out in the meantime does not use its capacity.
                if notifier.send(()).is_err() {
                    queues.finish(cost, Duration::ZERO);
                }
            }
            Dequeued::Expired(_) => {}
        }
    }
}
