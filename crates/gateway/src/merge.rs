//! Merges the records of several parts into one answer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first; equal records all count.
///
/// The bytes after the last whole record of a part are not a record.
pub fn merge_records(parts: &[Bytes], top: usize) -> Bytes {
    let mut greatest: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(top + 1);
    for record in parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
    {
        greatest.push(Reverse(record));
        if greatest.len() > top {
            greatest.pop();
        }
    }
    let sorted = greatest.into_sorted_vec();
    let mut body = BytesMut::with_capacity(sorted.len() * RECORD_BYTES);
    for Reverse(record) in sorted {
        body.extend_from_slice(record);
    }
    body.freeze()
}
