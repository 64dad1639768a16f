//! Compressed replies of a relay.
//!
//! Every follower of a relay asks for a change at the same moment. Uncompressed, a large configuration for all of them
//! fills the relay's link for more than a second, and the requests that it sends to servers wait behind it.

use std::hash::DefaultHasher;
use std::hash::Hasher;

use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::decompress_to_vec_zlib_with_limit;

use crate::ObjectKind;

/// Name of the format in the `Accept-Encoding` and `Content-Encoding` headers.
pub(crate) const ENCODING: &str = "deflate";

/// Compression level; higher ones take more processor time and gain little on JSON.
const LEVEL: u8 = 1;

/// Smaller bodies are sent as they are, since they fit into a packet.
const MIN_BYTES: usize = 1_024;

/// Largest body from another gateway, compressed or not: the relay's log of changes and the list before it, in pages of
/// about a megabyte.
pub(crate) const MAX_BYTES: usize = 32 << 20;

/// The latest compressed bodies, so that a body is compressed once for all followers.
#[derive(Debug, Default)]
pub(crate) struct PackedBodies {
    entries: Vec<PackedBody>,
}

#[derive(Debug)]
struct PackedBody {
    kind: ObjectKind,
    is_snapshot: bool,
    /// Hash of the body before compression; a copy of a large body would cost memory.
    hash: u64,
    packed: Bytes,
}

impl PackedBodies {
    /// Returns the compressed form of a body, or `None` if the body is small.
    pub(crate) fn pack(
        &mut self,
        kind: ObjectKind,
        is_snapshot: bool,
        plain: &Bytes,
    ) -> Option<Bytes> {
        if plain.len() < MIN_BYTES {
            return None;
        }
        let hash = hash_body(plain);
        let is_slot = |entry: &PackedBody| entry.kind == kind && entry.is_snapshot == is_snapshot;
        if let Some(entry) = self.entries.iter().find(|entry| is_slot(entry))
            && entry.hash == hash
        {
            return Some(entry.packed.clone());
        }
        self.entries.retain(|entry| !is_slot(entry));
        let packed = Bytes::from(compress_to_vec_zlib(plain, LEVEL));
        self.entries.push(PackedBody {
            kind,
            is_snapshot,
            hash,
            packed: packed.clone(),
        });
        Some(packed)
    }
}

fn hash_body(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Decompresses a body, or returns `None` if it is invalid or larger than [`MAX_BYTES`].
pub(crate) fn unpack(packed: &[u8]) -> Option<Bytes> {
    decompress_to_vec_zlib_with_limit(packed, MAX_BYTES)
        .ok()
        .map(Bytes::from)
}
