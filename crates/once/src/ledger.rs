//! The value of one ledger object and its transition functions, which the model checker uses too.

use serde::Deserialize;
use serde::Serialize;

use crate::Claim;
use crate::ClaimKey;
use crate::ClaimResult;
use crate::ClaimSpec;
use crate::MAX_RESULT_BYTES;
use crate::Operation;
use crate::Request;
use crate::Settlement;
use base::AttemptId;
use base::Code;

/// Largest size of a ledger object as JSON; the platform allows twice as much.
pub const MAX_LEDGER_BYTES: usize = 512 * 1024;

/// Size of a ledger above which no claim is added and no result is stored.
///
/// The space up to [`MAX_LEDGER_BYTES`] is reserved for revocations: one that finds no claim adds a record, and if it
/// were refused, the requester couldn't report that its request was not run.
pub const MAX_CLAIMS_BYTES: usize = 448 * 1024;

/// Largest skew between the wall clocks of two VMs that the protocol tolerates, in milliseconds.
pub const MAX_SKEW_MS: u64 = 30_000;

/// Upper bound for the JSON of a claim without its strings: three numbers of 20 digits, code, names and punctuation.
const CLAIM_OVERHEAD_BYTES: usize = 128;

/// Upper bound for the JSON around the claims.
const LEDGER_OVERHEAD_BYTES: usize = 16;

/// How long claims are kept after the end of their send window, by the wall clock of the VM that expires them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Milliseconds for a claim with an outcome. Every call with the key must end at least [`MAX_SKEW_MS`] before this
    /// has passed, so a caller's retries have two minutes by default.
    pub settled_ms: u64,
    /// Milliseconds for a claim without an outcome. No check can rule out that its owner is paused between the last
    /// check and the write to the socket, so this is far longer than any pause after which a VM is still used.
    pub open_ms: u64,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            settled_ms: 150_000,
            open_ms: 3_600_000,
        }
    }
}

/// Result of a transition function.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The result for the requester; it is valid once the platform holds the changed ledger.
    pub result: ClaimResult,
    /// Whether the ledger was changed and has to be written.
    pub changed: bool,
}

impl Transition {
    fn unchanged(result: ClaimResult) -> Transition {
        Transition {
            result,
            changed: false,
        }
    }

    fn changed(result: ClaimResult) -> Transition {
        Transition {
            result,
            changed: true,
        }
    }
}

/// The claims of one ledger object.
///
/// Every transition is idempotent: applied again to a ledger that already has its effect, it changes nothing and
/// gives the same result. A home relies on this to resolve a lost reply of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Stored")]
pub struct Ledger {
    claims: Vec<Claim>,
    #[serde(skip)]
    claim_bytes: usize,
}

/// The JSON form, from which the size is recomputed when a ledger is read.
#[derive(Deserialize)]
struct Stored {
    claims: Vec<Claim>,
}

impl From<Stored> for Ledger {
    fn from(stored: Stored) -> Ledger {
        let mut claims = stored.claims;
        claims.sort_by(|a, b| a.key.cmp(&b.key));
        let claim_bytes = claims.iter().map(measure_claim).sum();
        Ledger {
            claims,
            claim_bytes,
        }
    }
}

impl Ledger {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claims, ascending by key.
    pub fn claims(&self) -> &[Claim] {
        &self.claims
    }

    /// Returns an upper bound for the size of the ledger as JSON, in bytes.
    pub fn size(&self) -> usize {
        LEDGER_OVERHEAD_BYTES + self.claim_bytes
    }

    /// Looks up the claim of a key.
    pub fn lookup(&self, key: &ClaimKey) -> Option<&Claim> {
        self.find(key).ok().map(|at| &self.claims[at])
    }

    /// Applies a request with the transition function for its operation.
    pub fn apply(&mut self, request: &Request, now_ms: u64) -> Transition {
        let spec = &request.spec;
        match &request.operation {
            Operation::Claim => self.claim(spec, now_ms),
            Operation::Revoke(code) => self.revoke(spec, *code, now_ms),
            Operation::Settle(outcome) => self.settle(&spec.key, spec.attempt, outcome),
        }
    }

    /// Claims a key for an attempt, unless the key already has a claim or the ledger is full.
    pub fn claim(&mut self, spec: &ClaimSpec, now_ms: u64) -> Transition {
        match self.find(&spec.key) {
            Ok(at) => Transition::unchanged(check_claim(&self.claims[at], spec)),
            Err(at) => {
                let claim = create_claim(spec, now_ms);
                let deadline_ms = claim.deadline_ms;
                if self.size() + measure_claim(&claim) > MAX_CLAIMS_BYTES {
                    return Transition::unchanged(ClaimResult::Full);
                }
                self.insert(at, claim);
                Transition::changed(ClaimResult::Granted { deadline_ms })
            }
        }
    }

    /// Records that the request of an attempt was not run and won't be.
    ///
    /// If the key has no claim, this adds a revoked one, so that a claim request that arrives late is refused. The
    /// revocation is the outcome of the key: a retry gets the same code and does not run either.
    pub fn revoke(&mut self, spec: &ClaimSpec, code: Code, now_ms: u64) -> Transition {
        let outcome = Settlement::without_result(code);
        match self.find(&spec.key) {
            Ok(at) => match check_claim(&self.claims[at], spec) {
                ClaimResult::Granted { .. } => {
                    self.claims[at].outcome = Some(outcome.clone());
                    Transition::changed(ClaimResult::Settled(outcome))
                }
                result => Transition::unchanged(result),
            },
            Err(at) => {
                let mut claim = create_claim(spec, now_ms);
                claim.outcome = Some(outcome.clone());
                if self.size() + measure_claim(&claim) > MAX_LEDGER_BYTES {
                    return Transition::unchanged(ClaimResult::Full);
                }
                self.insert(at, claim);
                Transition::changed(ClaimResult::Settled(outcome))
            }
        }
    }

    /// Records the outcome of a run by the attempt that holds the claim, unless an outcome is already recorded.
    ///
    /// The result is dropped if it doesn't fit. The code always fits, because every claim reserves space for it.
    pub fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        outcome: &Settlement,
    ) -> Transition {
        let Ok(at) = self.find(key) else {
            return Transition::unchanged(ClaimResult::Missing);
        };
        if let Some(first) = &self.claims[at].outcome {
            return Transition::unchanged(ClaimResult::Settled(first.clone()));
        }
        if self.claims[at].attempt != attempt {
            return Transition::unchanged(ClaimResult::InProgress);
        }
        let available = MAX_CLAIMS_BYTES.saturating_sub(self.size());
        let stored = Settlement {
            code: outcome.code,
            result: outcome.result.clone().filter(|result| {
                result.len() <= MAX_RESULT_BYTES && measure_json(result) <= available
            }),
        };
        self.claim_bytes += stored.result.as_deref().map_or(0, measure_json);
        self.claims[at].outcome = Some(stored.clone());
        Transition::changed(ClaimResult::Settled(stored))
    }

    /// Removes the claims whose retention has passed, and returns their number.
    pub fn expire(&mut self, now_ms: u64, retention: &Retention) -> usize {
        let before = self.claims.len();
        self.claims.retain(|claim| {
            let keep_ms = match claim.outcome {
                Some(_) => retention.settled_ms,
                None => retention.open_ms,
            };
            now_ms < claim.deadline_ms.saturating_add(keep_ms)
        });
        let removed = before - self.claims.len();
        if removed > 0 {
            self.claim_bytes = self.claims.iter().map(measure_claim).sum();
        }
        removed
    }

    fn find(&self, key: &ClaimKey) -> Result<usize, usize> {
        self.claims.binary_search_by(|claim| claim.key.cmp(key))
    }

    fn insert(&mut self, at: usize, claim: Claim) {
        self.claim_bytes += measure_claim(&claim);
        self.claims.insert(at, claim);
    }
}

/// Returns the result for an attempt on a key that already has a claim.
fn check_claim(claim: &Claim, spec: &ClaimSpec) -> ClaimResult {
    if claim.digest != spec.digest {
        return ClaimResult::KeyReused;
    }
    match &claim.outcome {
        Some(outcome) => ClaimResult::Settled(outcome.clone()),
        None if claim.attempt == spec.attempt => ClaimResult::Granted {
            deadline_ms: claim.deadline_ms,
        },
        None => ClaimResult::InProgress,
    }
}

fn create_claim(spec: &ClaimSpec, now_ms: u64) -> Claim {
    Claim {
        key: spec.key.clone(),
        attempt: spec.attempt,
        digest: spec.digest,
        deadline_ms: now_ms.saturating_add(spec.window_ms),
        outcome: None,
    }
}

fn measure_claim(claim: &Claim) -> usize {
    let result = claim
        .outcome
        .as_ref()
        .and_then(|outcome| outcome.result.as_deref());
    CLAIM_OVERHEAD_BYTES
        + measure_json(claim.key.service())
        + measure_json(claim.key.key())
        + result.map_or(0, measure_json)
}

/// Returns an upper bound for the length of a text in JSON, without its quotation marks.
fn measure_json(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
