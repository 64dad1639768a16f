//! Versions that stay in order when the platform is restored from a copy.
//!
//! A restore gives versions out again. The platform therefore names its era, the number of its restores, in each reply,
//! and the client puts it into the upper bits of every version: one of a later era is higher, whatever its number. A
//! platform that names no era has the era 0, so that its versions stay as they are. See
//! docs/decisions/0009-store-restores.md.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::HeaderMap;

use crate::Version;

/// Header with the era of the platform, in each of its replies.
pub const ERA_HEADER: &str = "platform-era";

/// Bits of a version that hold the number that the platform gave.
const NUMBER_BITS: u32 = 40;

/// Number of times that the platform was restored.
pub(crate) type Era = u64;

/// Adds the era to a version of the platform.
pub(crate) fn join_version(era: Era, number: u64) -> Version {
    (era << NUMBER_BITS) | number
}

/// Returns the era and the platform's own number of a version.
pub(crate) fn split_version(version: Version) -> (Era, u64) {
    (version >> NUMBER_BITS, version & ((1 << NUMBER_BITS) - 1))
}

/// Parses the header that holds an era; returns `None` if it is missing or no number.
pub fn parse_era(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The latest era that a reply has shown.
#[derive(Debug, Default)]
pub(crate) struct KnownEra(AtomicU64);

impl KnownEra {
    pub(crate) fn get(&self) -> Era {
        self.0.load(Ordering::Relaxed)
    }

    /// Records the era of a reply; logs a later one, and returns whether the reply is from before a restore.
    pub(crate) fn record(&self, era: Era) -> bool {
        let before = self.0.fetch_max(era, Ordering::Relaxed);
        if era > before {
            log::warn!(
                "store: the platform is in era {era}, before in {before}; what was written after the copy is lost"
            );
        }
        era < before
    }
}
