//! Makes room in memory, at the expense of clients that don't read their answers or don't send their bodies.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use limit::MemoryUse;

use crate::Route;
use crate::accept::report_closed;
use crate::memory::Advance;
use crate::memory::BodyMemory;
use crate::memory::Reserved;
use crate::node::Node;

/// Longest wait for the memory of a request; a caller that is refused returns about as soon.
const REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Longest wait for the memory of a body that has begun to come, since clients that hold memory are given some time too.
const BODY_WAIT: Duration = Duration::from_millis(2_500);

/// Time after which a task that waits for memory looks for another connection to close.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reserves memory for a new request like [`Reserved::admit`], and waits a little if there is none.
pub(crate) async fn admit_request(node: &Node, rank: u32, bytes: u64) -> Option<Reserved> {
    let end = Instant::now() + REQUEST_WAIT;
    loop {
        let admitted = Reserved::admit(&node.memory, rank, bytes);
        if admitted.is_some() || !wait_for_memory(node, end).await {
            return admitted;
        }
    }
}

/// There is no memory, also after a wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NoMemory;

/// Reserves memory for the replies that a request is expected to bring, since a server that has run it can't take that
/// back. Returns none if the route has small replies, or if nothing else is held, so that the request may be tried.
pub(crate) async fn reserve_replies(
    node: &Node,
    route: &Route,
) -> Result<Option<Advance>, NoMemory> {
    let expected = node.state.borrow().expect_replies(route);
    if expected == 0 {
        return Ok(None);
    }
    let mut advance = Reserved::empty(&node.memory, MemoryUse::LargeBody);
    let end = Instant::now() + REQUEST_WAIT;
    loop {
        if advance.grow(expected) {
            return Ok(Some(Rc::new(RefCell::new(advance))));
        }
        if node.memory.held_for(MemoryUse::LargeBody) == 0 {
            return Ok(None);
        }
        if !wait_for_memory(node, end).await {
            return Err(NoMemory);
        }
    }
}

/// Adds to the reservation of a body, and waits a little if there is no memory; returns false if there is none then.
pub(crate) async fn grow_body(node: &Node, memory: &mut BodyMemory, bytes: u64) -> bool {
    if memory.grow(bytes) {
        return true;
    }
    if !node
        .memory
        .may_fit(MemoryUse::LargeBody, memory.large_bytes() + bytes)
    {
        return false;
    }
    let end = Instant::now() + BODY_WAIT;
    while wait_for_memory(node, end).await {
        if memory.grow(bytes) {
            return true;
        }
    }
    false
}

/// Closes the connection that holds most for longest, and waits until memory is returned or a while has passed; returns
/// false after `end`.
async fn wait_for_memory(node: &Node, end: Instant) -> bool {
    if Instant::now() >= end {
        return false;
    }
    if let Some((listener, closed)) = node.listeners.close_largest() {
        report_closed(node, listener, &closed);
    }
    let wake = end.min(Instant::now() + CHECK_INTERVAL);
    // Either way, the caller tries again.
    let _ = tokio::time::timeout_at(wake.into(), node.memory.wait_released()).await;
    true
}
