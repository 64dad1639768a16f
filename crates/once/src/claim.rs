//! Claims, their keys, and what a requester and a home say to each other.

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

/// Number of ledger objects that keys are spread over.
pub const LEDGER_COUNT: u64 = 64;

/// Longest idempotency key in bytes; with it one claim takes well under a thousandth of a ledger object.
pub const MAX_KEY_BYTES: usize = 200;

/// Longest result that is kept with a claim, in bytes of JSON.
///
/// A retry of a request with a longer result gets the code of the first outcome without the result.
pub const MAX_RESULT_BYTES: usize = 1_024;

/// Numbers a ledger object, below [`LEDGER_COUNT`]; the platform object is `ledger/<n>`.
pub type LedgerId = u8;

/// The time that the caller of a machine passes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time of this VM, which measures how long something took.
    pub instant: Instant,
    /// Wall clock of this VM in milliseconds since 1970, which other VMs can compare with theirs.
    pub wall_ms: u64,
}

/// Why an idempotency key is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is empty, so it would be shared by unrelated requests.
    #[snafu(display("the idempotency key is empty"))]
    Empty,
    /// The key takes more than [`MAX_KEY_BYTES`] bytes.
    #[snafu(display("the idempotency key has {length} bytes, more than {MAX_KEY_BYTES}"))]
    TooLong {
        /// Bytes in the key.
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
    /// Builds a key, or says why the caller's text can't be one.
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

    /// Returns the ledger object that holds the claim; the same on every node.
    pub fn ledger(&self) -> LedgerId {
        let text = format_compact!("{}\n{}", self.service, self.key);
        (hash_key(&text) % LEDGER_COUNT) as LedgerId
    }
}

/// Digests what a request asks for, so that a key that is reused with another request is noticed.
///
/// The digest is not cryptographic: a caller that forges a collision only deceives itself.
pub fn digest_request(request: &RequestName, body: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(request.len() as u64).to_le_bytes());
    hasher.update(request.as_bytes());
    hasher.update(body.as_bytes());
    hasher.digest()
}

/// What identifies a claim and bounds its use.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimSpec {
    /// The key that is claimed.
    pub key: ClaimKey,
    /// The attempt that claims it; unique across the fleet and restarts.
    pub attempt: AttemptId,
    /// Digest of the request by [`digest_request`].
    pub digest: u64,
    /// Time that the owner allows itself for sending, in milliseconds.
    pub window_ms: u64,
}

/// The end of a request, which a retry with the same key gets too.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// Result code of the first outcome.
    #[serde(rename = "c")]
    pub code: Code,
    /// Result as JSON text; absent when there is none or it was too long to keep.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub result: Option<CompactString>,
}

impl Settlement {
    /// Builds the end of a request that has no result.
    pub fn without_result(code: Code) -> Settlement {
        Settlement { code, result: None }
    }
}

/// One claim in a ledger; the short field names in JSON leave room for more claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The key that is claimed.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// The attempt that made the claim, the only one that may send.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: u64,
    /// End of the send window, in milliseconds on the wall clock of the home that wrote the claim.
    #[serde(rename = "t")]
    pub deadline_ms: u64,
    /// The end of the request; absent while it is in progress or when its outcome was lost.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Settlement>,
}

/// What a requester wants done with a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Claim the key, before anything is sent.
    Claim,
    /// Record that the request was not run and won't be, with the code that the caller gets.
    Revoke(Code),
    /// Record the outcome of the run.
    Settle(Settlement),
}

/// A request to the home of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Request {
    /// The claim that is meant.
    pub spec: ClaimSpec,
    /// What to do with it.
    pub operation: Operation,
    /// Wall clock of the requester when it sent this; a home refuses one that is older than the largest skew.
    pub sent_ms: u64,
}

/// What a home answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The claim belongs to the requester's attempt and is open.
    Granted {
        /// End of the send window by the home's wall clock; for logs, the owner measures by its own clocks.
        deadline_ms: u64,
    },
    /// Another attempt holds the key, and its outcome is not known.
    InProgress,
    /// The key has its final outcome, which may be a revocation.
    Settled(Settlement),
    /// The key was used with another request.
    KeyReused,
    /// The ledger has no room; nothing was written.
    Full,
    /// The ledger has no such claim; nothing was written.
    Missing,
    /// The platform can't be used; nothing was written, and nothing will be on behalf of this request.
    Unavailable,
    /// An update was sent and its result could not be found out.
    Unknown,
}
