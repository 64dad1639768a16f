//! Hashing: of keys and candidates, so that nodes agree on assignments without coordination, and of byte strings.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a key; the value is the same on every node and in every version of limpetwick.
pub fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Hashes a candidate for a key that [`hash_key`] has hashed; the candidate with the highest value is the best.
pub fn hash_candidate(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Orders candidates for a key by rendezvous hashing, best first.
///
/// When a candidate is removed, only the keys that ranked it first are reassigned, spread over the other candidates.
pub fn rank_candidates<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Vec<&'a T> {
    let seed = hash_key(key);
    let mut ranked: Vec<(u64, &T)> = candidates
        .map(|candidate| (hash_candidate(seed, candidate.as_ref()), candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Hashes a sequence of byte strings; the bounds between them count, so that moving a byte changes the hash.
pub fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
