//! Claims, their keys, and the messages between a requester and the home of a ledger.

use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;
use xxhash_rust::xxh3::Xxh3;

use base::AttemptId;
use base::Code;
use base::RequestName;
use base::ServiceName;
use base::hash_key;

/// Number of ledger objects over which the keys are hashed.
pub const LEDGER_COUNT: u64 = 64;

/// Longest idempotency key; it keeps one claim well under a thousandth of a ledger object.
pub const MAX_KEY_BYTES: usize = 200;

/// Longest result, as JSON, that is stored with a claim.
///
/// If the result of a request is longer, a retry gets only the code of the first outcome.
pub const MAX_RESULT_BYTES: usize = 1_024;

/// Number of a ledger object, below [`LEDGER_COUNT`]; the platform object is `ledger/<n>`.
pub type LedgerId = u8;

/// Readings of both clocks of a VM; the caller of a state machine passes them in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock of this VM, for measuring durations.
    pub instant: Instant,
    /// Wall clock of this VM in milliseconds since the Unix epoch, which other VMs can compare with their own.
    pub wall_ms: u64,
}

/// Error for an invalid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is empty, so unrelated requests would share it.
    #[snafu(display("the idempotency key is empty"))]
    Empty,
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[snafu(display("the idempotency key has {length} bytes, more than {MAX_KEY_BYTES}"))]
    TooLong {
        /// Length of the key in bytes.
        length: usize,
    },
}

/// A service together with a caller's idempotency key; two services never share a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    #[serde(rename = "s")]
    service: ServiceName,
    #[serde(rename = "k")]
    key: CompactString,
}

impl ClaimKey {
    /// Creates a key; fails if the idempotency key is empty or too long.
    pub fn new(service: &str, key: &str) -> Result<ClaimKey, KeyError> {
        ensure!(!key.is_empty(), EmptySnafu);
        let length = key.len();
        ensure!(length <= MAX_KEY_BYTES, TooLongSnafu { length });
        Ok(ClaimKey {
            service: service.into(),
            key: key.into(),
        })
    }

    /// Returns the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the caller's idempotency key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the ledger object that stores the claim; every node computes the same one.
    pub fn ledger(&self) -> LedgerId {
        let text = format_compact!("{}\n{}", self.service, self.key);
        (hash_key(&text) % LEDGER_COUNT) as LedgerId
    }
}

/// Computes a digest of a request, which detects that a key is reused with another request.
///
/// The digest is not cryptographic: a caller that forges a collision affects only its own requests.
pub fn digest_request(request: &RequestName, body: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(request.len() as u64).to_le_bytes());
    hasher.update(request.as_bytes());
    hasher.update(body.as_bytes());
    hasher.digest()
}

/// Identity of a claim and the length of its send window.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimSpec {
    /// The claimed key.
    pub key: ClaimKey,
    /// The attempt that claims it; unique across the fleet and across restarts.
    pub attempt: AttemptId,
    /// Digest of the request by [`digest_request`].
    pub digest: u64,
    /// Length of the send window, in which the owner may send the request, in milliseconds.
    pub window_ms: u64,
}

/// Final outcome of a request; a retry with the same key gets it too.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// Result code of the first outcome.
    #[serde(rename = "c")]
    pub code: Code,
    /// Result as JSON text; absent when there is none or it is longer than [`MAX_RESULT_BYTES`].
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub result: Option<CompactString>,
}

impl Settlement {
    /// Creates a settlement that consists of a code only.
    pub fn without_result(code: Code) -> Settlement {
        Settlement { code, result: None }
    }
}

/// One claim in a ledger; short field names in JSON let a ledger hold more claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// The attempt that holds the claim, the only one that may send the request.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: u64,
    /// End of the send window by the wall clock of the home that wrote the claim, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub deadline_ms: u64,
    /// Outcome of the request; absent while the request is in progress or when its outcome was lost.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Settlement>,
}

/// An operation on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Claim the key before the request is sent.
    Claim,
    /// Record that the request was not run and won't be, with the code that its caller gets.
    Revoke(Code),
    /// Record the outcome of a request that was run.
    Settle(Settlement),
}

/// A request to the home of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Request {
    /// The claim to operate on.
    pub spec: ClaimSpec,
    /// The operation.
    pub operation: Operation,
    /// Wall clock of the requester at sending, in milliseconds; a home refuses claims and revocations older than
    /// [`MAX_SKEW_MS`](crate::MAX_SKEW_MS).
    pub sent_ms: u64,
}

/// Result of an operation, which the home sends to the requester.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The requester's attempt holds the claim, and no outcome is recorded.
    Granted {
        /// End of the send window by the home's wall clock; only for logs, because the owner uses its own clocks.
        deadline_ms: u64,
    },
    /// Another attempt holds the claim, and no outcome is recorded.
    InProgress,
    /// The final outcome of the key is recorded; it may be a revocation.
    Settled(Settlement),
    /// The key was used with another request.
    KeyReused,
    /// The ledger is full; nothing was written.
    Full,
    /// The ledger has no such claim; nothing was written.
    Missing,
    /// The platform is unavailable; this request was not written and won't be.
    Unavailable,
    /// An update with this request was sent, and whether it took effect is unknown.
    Unknown,
}
