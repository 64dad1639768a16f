//! Merges the records of several parts into one top-k answer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a record.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top_k` greatest records of all parts in descending order; equal records are not deduplicated.
///
/// Trailing bytes of a part that are no whole record are ignored.
pub fn merge_records(parts: &[Bytes], top_k: usize) -> Bytes {
    let mut greatest: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(top_k + 1);
    for record in parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
    {
        greatest.push(Reverse(record));
        if greatest.len() > top_k {
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
