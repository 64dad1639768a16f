//! Reads bodies within the memory budget of the process.

use std::error::Error;
use std::io::ErrorKind;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::memory::BodyMemory;
use crate::node::Node;
use crate::reserve::grow_body;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum BodyError {
    /// The body exceeds its size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The body is not valid HTTP.
    Invalid,
    /// The memory budget is exhausted.
    NoMemory,
}

/// Reads a body of at most `max_bytes`, and adds what is allocated for it to the reservation `memory`.
pub(crate) async fn read_body(
    node: &Node,
    mut body: Incoming,
    max_bytes: usize,
    memory: &mut BodyMemory,
) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    // Where the length is announced, no more than that is allocated.
    let largest = hint.exact().map_or(max_bytes, |length| length as usize);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| classify_error(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > bytes.capacity() {
            let capacity = (bytes.capacity() * 2).min(largest).max(length);
            let more = (capacity - bytes.capacity()) as u64;
            if !grow_body(node, memory, more).await {
                return Err(BodyError::NoMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        // A frame is a part of a larger buffer, which is not kept for it.
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    memory.complete(bytes.len() as u64);
    Ok(Bytes::from(bytes))
}

/// Tells bytes that are no body from a connection that has ended.
fn classify_error(error: &hyper::Error) -> BodyError {
    let source = error.source();
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    match source.map(std::io::Error::kind) {
        Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => BodyError::Invalid,
        _ => BodyError::Broken,
    }
}
