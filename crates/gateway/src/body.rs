//! Reads bodies within the memory budget of the process.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::node::Node;

/// Memory reserved for a request or a reply; dropping it returns the memory to the budget.
pub(crate) struct Reserved {
    node: Rc<Node>,
    bytes: u64,
}

impl std::fmt::Debug for Reserved {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reserved")
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Reserved {
    /// Reserves memory for a new request, unless the remaining budget is reserved for more urgent ranks.
    pub(crate) fn admit(node: &Rc<Node>, rank: u32, bytes: u64) -> Option<Reserved> {
        let admitted = node.state.borrow_mut().memory.admit(rank, bytes);
        let mut reserved = Reserved::empty(node);
        if !admitted {
            return None;
        }
        reserved.bytes = bytes;
        Some(reserved)
    }

    /// Creates an empty reservation, which grows as a body is read.
    pub(crate) fn empty(node: &Rc<Node>) -> Reserved {
        Reserved {
            node: Rc::clone(node),
            bytes: 0,
        }
    }

    /// Adds to the reservation; returns false if the memory budget is exhausted.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let fits = self.node.state.borrow_mut().memory.grow(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.node.state.borrow_mut().memory.release(self.bytes);
    }
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum BodyError {
    /// The body exceeds its size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The memory budget is exhausted.
    NoMemory,
}

/// Reads a body of at most `max_bytes`, and adds its size to the reservation `memory`.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &mut Reserved,
) -> Result<Bytes, BodyError> {
    let max_bytes = max_bytes as u64;
    if body.size_hint().lower() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        length += data.len() as u64;
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !memory.grow(data.len() as u64) {
            return Err(BodyError::NoMemory);
        }
        // Most bodies are a single frame, which is not copied.
        if first.is_empty() && all.is_empty() {
            first = data;
        } else {
            if all.is_empty() {
                all.extend_from_slice(&first);
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}
