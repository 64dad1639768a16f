//! Reading bodies into memory that is accounted for.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::node::Node;

/// Room in memory for a request or a reply, given back when it is dropped.
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
    /// Takes room for a new request, unless what is left is kept for more urgent ones.
    pub(crate) fn admit(node: &Rc<Node>, rank: u32, bytes: u64) -> Option<Reserved> {
        let admitted = node.state.borrow_mut().room.admit(rank, bytes);
        let mut reserved = Reserved::empty(node);
        if !admitted {
            return None;
        }
        reserved.bytes = bytes;
        Some(reserved)
    }

    /// Holds no room yet; a reply grows as it is read.
    pub(crate) fn empty(node: &Rc<Node>) -> Reserved {
        Reserved {
            node: Rc::clone(node),
            bytes: 0,
        }
    }

    fn grow(&mut self, bytes: u64) -> bool {
        let fits = self.node.state.borrow_mut().room.grow(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.node.state.borrow_mut().room.release(self.bytes);
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It broke off.
    Broken,
    /// There is no memory left for it.
    NoRoom,
}

/// Reads a body of at most `most` bytes, all of which `room` holds.
pub(crate) async fn read_body(
    mut body: Incoming,
    most: usize,
    room: &mut Reserved,
) -> Result<Bytes, BodyError> {
    let most = most as u64;
    if body.size_hint().lower() > most {
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
        if length > most {
            return Err(BodyError::TooLarge);
        }
        if !room.grow(data.len() as u64) {
            return Err(BodyError::NoRoom);
        }
        // A body of one frame, as most are, is not copied.
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
