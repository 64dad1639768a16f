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

/// Largest size of a ledger object in bytes of JSON; the platform allows twice as much.
pub const MAX_LEDGER_BYTES: usize = 512 * 1024;

/// Size in bytes above which no claim is added and no result is kept.
///
/// The rest is for revocations: one that finds no claim adds a record, and refusing it would leave the requester
/// unable to say that its request was not run.
pub const MAX_CLAIMS_BYTES: usize = 448 * 1024;

/// Largest difference between the wall clocks of two VMs that the protocol covers, in milliseconds.
pub const MAX_SKEW_MS: u64 = 30_000;

/// Upper bound of the JSON of a claim without its texts: three numbers of 20 digits, the code, names and punctuation.
const CLAIM_BYTES: usize = 128;

/// Upper bound of the JSON around the claims.
const FRAME_BYTES: usize = 16;

/// How long claims are kept after the end of their send window, by the clock of the VM that expires them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Milliseconds for a claim with an outcome. Every call with the key must end at least [`MAX_SKEW_MS`] before this
    /// has passed, so a caller's retries have two minutes by default.
    pub settled_ms: u64,
    /// Milliseconds for a claim without an outcome. Its owner may be paused between its last check and the write to
    /// the socket, which no check can exclude, so this is far longer than a VM is paused and then still used.
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

/// What a transition function did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The answer to the requester; it holds once the ledger is the platform's value.
    pub result: ClaimResult,
    /// Whether the ledger was changed and has to be written.
    pub changed: bool,
}

impl Transition {
    fn same(result: ClaimResult) -> Transition {
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
/// gives the same result. A home resolves a lost reply of the platform by this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Stored")]
pub struct Ledger {
    claims: Vec<Claim>,
    #[serde(skip)]
    claim_bytes: usize,
}

/// The JSON form; the size is counted again when a ledger is read.
#[derive(Deserialize)]
struct Stored {
    claims: Vec<Claim>,
}

impl From<Stored> for Ledger {
    fn from(stored: Stored) -> Ledger {
        let mut claims = stored.claims;
        claims.sort_by(|a, b| a.key.cmp(&b.key));
        let claim_bytes = claims.iter().map(claim_size).sum();
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

    /// Returns an upper bound of the size in bytes of JSON.
    pub fn size(&self) -> usize {
        FRAME_BYTES + self.claim_bytes
    }

    /// Looks up the claim of a key.
    pub fn lookup(&self, key: &ClaimKey) -> Option<&Claim> {
        self.find(key).ok().map(|at| &self.claims[at])
    }

    /// Applies a request by the transition function that it names.
    pub fn apply(&mut self, request: &Request, now_ms: u64) -> Transition {
        let spec = &request.spec;
        match &request.operation {
            Operation::Claim => self.claim(spec, now_ms),
            Operation::Revoke(code) => self.revoke(spec, *code, now_ms),
            Operation::Settle(outcome) => self.settle(&spec.key, spec.attempt, outcome),
        }
    }

    /// Claims a key for an attempt, unless the key has a claim already or there is no room for one.
    pub fn claim(&mut self, spec: &ClaimSpec, now_ms: u64) -> Transition {
        match self.find(&spec.key) {
            Ok(at) => Transition::same(judge_claim(&self.claims[at], spec)),
            Err(at) => {
                let claim = open_claim(spec, now_ms);
                let deadline_ms = claim.deadline_ms;
                if self.size() + claim_size(&claim) > MAX_CLAIMS_BYTES {
                    return Transition::same(ClaimResult::Full);
                }
                self.insert(at, claim);
                Transition::changed(ClaimResult::Granted { deadline_ms })
            }
        }
    }

    /// Records that an attempt did not send its request and won't.
    ///
    /// Without a claim of the key this adds a record, so that a claim request that arrives late is refused. The
    /// revocation is the outcome of the key: a retry gets the same code and does not run either.
    pub fn revoke(&mut self, spec: &ClaimSpec, code: Code, now_ms: u64) -> Transition {
        let outcome = Settlement::without_result(code);
        match self.find(&spec.key) {
            Ok(at) => match judge_claim(&self.claims[at], spec) {
                ClaimResult::Granted { .. } => {
                    self.claims[at].outcome = Some(outcome.clone());
                    Transition::changed(ClaimResult::Settled(outcome))
                }
                result => Transition::same(result),
            },
            Err(at) => {
                let mut claim = open_claim(spec, now_ms);
                claim.outcome = Some(outcome.clone());
                if self.size() + claim_size(&claim) > MAX_LEDGER_BYTES {
                    return Transition::same(ClaimResult::Full);
                }
                self.insert(at, claim);
                Transition::changed(ClaimResult::Settled(outcome))
            }
        }
    }

    /// Records the outcome of a run by the attempt that holds the claim; the first outcome stays.
    ///
    /// The result is kept where it fits. The code always fits, because the claim has counted it.
    pub fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        outcome: &Settlement,
    ) -> Transition {
        let Ok(at) = self.find(key) else {
            return Transition::same(ClaimResult::Missing);
        };
        if let Some(first) = &self.claims[at].outcome {
            return Transition::same(ClaimResult::Settled(first.clone()));
        }
        if self.claims[at].attempt != attempt {
            return Transition::same(ClaimResult::InProgress);
        }
        let room = MAX_CLAIMS_BYTES.saturating_sub(self.size());
        let kept = Settlement {
            code: outcome.code,
            result: outcome
                .result
                .clone()
                .filter(|result| result.len() <= MAX_RESULT_BYTES && json_size(result) <= room),
        };
        self.claim_bytes += kept.result.as_deref().map_or(0, json_size);
        self.claims[at].outcome = Some(kept.clone());
        Transition::changed(ClaimResult::Settled(kept))
    }

    /// Removes the claims whose retention has passed, and returns how many.
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
            self.claim_bytes = self.claims.iter().map(claim_size).sum();
        }
        removed
    }

    fn find(&self, key: &ClaimKey) -> Result<usize, usize> {
        self.claims.binary_search_by(|claim| claim.key.cmp(key))
    }

    fn insert(&mut self, at: usize, claim: Claim) {
        self.claim_bytes += claim_size(&claim);
        self.claims.insert(at, claim);
    }
}

/// Says what an existing claim means for an attempt that asks for the same key.
fn judge_claim(claim: &Claim, spec: &ClaimSpec) -> ClaimResult {
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

fn open_claim(spec: &ClaimSpec, now_ms: u64) -> Claim {
    Claim {
        key: spec.key.clone(),
        attempt: spec.attempt,
        digest: spec.digest,
        deadline_ms: now_ms.saturating_add(spec.window_ms),
        outcome: None,
    }
}

fn claim_size(claim: &Claim) -> usize {
    let result = claim
        .outcome
        .as_ref()
        .and_then(|kept| kept.result.as_deref());
    CLAIM_BYTES
        + json_size(claim.key.service())
        + json_size(claim.key.key())
        + result.map_or(0, json_size)
}

/// Returns an upper bound of the bytes that a text takes in JSON, without its quotation marks.
fn json_size(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
