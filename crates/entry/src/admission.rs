//! Admission of queries: waits for a turn, and gives the capacity back when the query ends.

use std::sync::Arc;
use std::sync::Mutex;
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

/// Queries that wait for each service; more would outwait their deadlines.
const QUEUE_LIMIT: usize = 64;

/// The queues of a node.
#[derive(Debug)]
pub struct Queues {
    inner: Mutex<Admission<oneshot::Sender<()>>>,
}

impl Default for Queues {
    fn default() -> Queues {
        Queues {
            inner: Mutex::new(Admission::new(1, QUEUE_LIMIT)),
        }
    }
}

/// The right of a query to run; dropping it lets others have their turn.
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
    /// Sets the capacity in sub-requests at a time.
    pub fn set_capacity(&self, capacity: u32) {
        let mut queues = lock(&self.inner);
        queues.set_capacity(capacity);
        admit_waiting(&mut queues);
    }

    /// Returns the number of queries that wait.
    pub fn queued(&self) -> usize {
        lock(&self.inner).queued()
    }
}

/// Waits until a query may run; nothing of it has run when it is refused.
pub async fn admit(
    node: &Arc<Node>,
    declaration: &Declaration,
    cost: u32,
    deadline: Instant,
) -> Result<AdmissionPermit, Code> {
    let (turn, admitted) = oneshot::channel();
    let request = Request {
        service: declaration.service.clone(),
        priority: match declaration.class {
            Class::Interactive => Priority::Interactive,
            Class::Batch => Priority::Batch,
        },
        cost,
        deadline,
        item: turn,
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

/// Counts the sub-requests of a query on the newest shard map.
pub fn count_subrequests<'a>(
    shards: impl Iterator<Item = &'a Shard>,
    declaration: &Declaration,
) -> u32 {
    shards
        .filter(|shard| declaration.shards.contains(shard))
        .count() as u32
}

fn admit_waiting(queues: &mut Admission<oneshot::Sender<()>>) {
    let now = Instant::now();
    while let Some(turn) = queues.dequeue(now) {
        match turn {
            Dequeued::Run(caller, cost) => {
                // A caller that gave up at the same moment leaves its capacity unused.
                if caller.send(()).is_err() {
                    queues.finish(cost, std::time::Duration::ZERO);
                }
            }
            Dequeued::Expired(_) => {}
        }
    }
}
