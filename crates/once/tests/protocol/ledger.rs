//! Tests of the ledger's transition functions.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use base::Code;
use once::ClaimKey;
use once::ClaimResult;
use once::ClaimSpec;
use once::Ledger;
use once::MAX_CLAIMS_BYTES;
use once::MAX_LEDGER_BYTES;
use once::MAX_RESULT_BYTES;
use once::MAX_SKEW_MS;
use once::Retention;
use once::Settlement;

const START_MS: u64 = 1_000_000;
const WINDOW_MS: u64 = 500;

fn spec(key: &str, attempt: u64) -> ClaimSpec {
    ClaimSpec {
        key: ClaimKey::new("advisers", key).expect("the key is valid"),
        attempt,
        digest: 7,
        window_ms: WINDOW_MS,
    }
}

fn answered(result: &str) -> Settlement {
    Settlement {
        code: Code::Answered,
        result: Some(result.into()),
    }
}

/// Adds claims to a ledger until it is full, and returns their number.
fn fill(ledger: &mut Ledger) -> u64 {
    (1..)
        .find(|n| {
            ledger
                .claim(&spec(&format!("key-{n}"), *n), START_MS)
                .result
                == ClaimResult::Full
        })
        .expect("a ledger fills up")
        - 1
}

/// Guards against a second run: no other attempt or request may be granted a key that is already claimed.
#[rstest]
#[case::retry_while_in_progress(None, 2, 7, ClaimResult::InProgress)]
#[case::retry_after_outcome(Some(answered("1")), 2, 7, ClaimResult::Settled(answered("1")))]
#[case::late_copy_after_outcome(Some(answered("1")), 1, 7, ClaimResult::Settled(answered("1")))]
#[case::key_reused_in_progress(None, 2, 8, ClaimResult::KeyReused)]
#[case::key_reused_after_outcome(Some(answered("1")), 2, 8, ClaimResult::KeyReused)]
fn a_claimed_key_is_not_granted_again(
    #[case] outcome: Option<Settlement>,
    #[case] attempt: u64,
    #[case] digest: u64,
    #[case] expected: ClaimResult,
) {
    let mut ledger = Ledger::default();
    let first = spec("k", 1);
    assert!(ledger.claim(&first, START_MS).changed);
    if let Some(outcome) = outcome {
        assert!(ledger.settle(&first.key, 1, &outcome).changed);
    }
    let other = ClaimSpec {
        digest,
        ..spec("k", attempt)
    };
    let transition = ledger.claim(&other, START_MS);
    assert_eq!(transition.result, expected);
    assert!(!transition.changed);
}

/// Guards against a revoked request that runs later, because a claim request arrives after the revocation.
#[rstest]
#[case::claimed_before(true)]
#[case::claim_arrives_late(false)]
fn a_revocation_refuses_later_claims(#[case] claimed: bool) {
    let mut ledger = Ledger::default();
    if claimed {
        ledger.claim(&spec("k", 1), START_MS);
    }
    let revoked = ClaimResult::Settled(Settlement::without_result(Code::NoUpstream));
    for attempt in [1, 1, 2] {
        let revoke = ledger.revoke(&spec("k", attempt), Code::NoUpstream, START_MS);
        assert_eq!(revoke.result, revoked);
        assert_eq!(ledger.claim(&spec("k", attempt), START_MS).result, revoked);
    }
    let settle = ledger.settle(&spec("k", 1).key, 1, &answered("1"));
    assert_eq!(settle.result, revoked);
}

/// Guards against an attempt that revokes or settles the claim of another attempt.
#[rstest]
fn only_the_owner_ends_a_claim() {
    let mut ledger = Ledger::default();
    ledger.claim(&spec("k", 1), START_MS);
    let before = ledger.clone();
    let revoke = ledger.revoke(&spec("k", 2), Code::ClaimRevoked, START_MS);
    assert_eq!(revoke.result, ClaimResult::InProgress);
    let settle = ledger.settle(&spec("k", 2).key, 2, &answered("2"));
    assert_eq!(settle.result, ClaimResult::InProgress);
    assert_eq!(ledger, before);
}

/// Guards against claims that are lost, or revocations that are refused, when a ledger is nearly full.
#[rstest]
fn a_full_ledger_accepts_only_revocations_and_settlements() {
    let mut ledger = Ledger::default();
    let count = fill(&mut ledger);
    assert_eq!(ledger.len() as u64, count);
    assert!(ledger.size() <= MAX_CLAIMS_BYTES);

    let revoked = ledger.revoke(&spec("late", 9), Code::ClaimRevoked, START_MS);
    assert!(revoked.changed);
    for n in 1..=count {
        let spec = spec(&format!("key-{n}"), n);
        let settle = ledger.settle(&spec.key, n, &answered(&"7".repeat(MAX_RESULT_BYTES)));
        assert!(matches!(settle.result, ClaimResult::Settled(kept) if kept.code == Code::Answered));
    }
    let text = serde_json::to_string(&ledger).expect("a ledger is valid JSON");
    assert!(text.len() <= ledger.size() && ledger.size() <= MAX_LEDGER_BYTES);

    let refused = (0..).find(|n| {
        ledger
            .revoke(
                &spec(&format!("revoked-{n}"), 9),
                Code::ClaimRevoked,
                START_MS,
            )
            .result
            == ClaimResult::Full
    });
    assert!(refused.is_some() && ledger.size() <= MAX_LEDGER_BYTES);
}

/// Guards against a long result that takes the space of claims: it is dropped, and only the code is stored.
#[rstest]
#[case::fits(MAX_RESULT_BYTES, true)]
#[case::too_long(MAX_RESULT_BYTES + 1, false)]
fn a_result_is_kept_within_its_limit(#[case] length: usize, #[case] kept: bool) {
    let mut ledger = Ledger::default();
    ledger.claim(&spec("k", 1), START_MS);
    ledger.settle(&spec("k", 1).key, 1, &answered(&"7".repeat(length)));
    let outcome = ledger
        .lookup(&spec("k", 1).key)
        .and_then(|claim| claim.outcome.clone());
    assert_eq!(
        outcome.map(|end| (end.code, end.result.is_some())),
        Some((Code::Answered, kept))
    );
}

/// Guards against expiry by a home whose clock is ahead by the largest skew, while a copy of the request may still be
/// in flight.
#[rstest]
#[case::settled(true, Retention::default().settled_ms)]
#[case::in_progress(false, Retention::default().open_ms)]
fn expiry_waits_for_the_retention(#[case] settled: bool, #[case] keep_ms: u64) {
    let mut ledger = Ledger::default();
    ledger.claim(&spec("k", 1), START_MS);
    if settled {
        ledger.settle(&spec("k", 1).key, 1, &answered("1"));
    }
    let deadline_ms = START_MS + WINDOW_MS;
    assert!(keep_ms > 60_000 + 2 * MAX_SKEW_MS);
    assert_eq!(
        ledger.expire(deadline_ms + keep_ms - 1, &Retention::default()),
        0
    );
    assert_eq!(
        ledger.expire(deadline_ms + keep_ms, &Retention::default()),
        1
    );
    assert_eq!(ledger, Ledger::default());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::with_cases(64) })]

    /// Guards against JSON that is larger than the computed size of a ledger, and against claims lost in a round trip.
    #[test]
    fn the_size_bounds_the_json(entries in prop::collection::vec((".{1,40}", any::<u64>(), ".{0,60}"), 0..20)) {
        let mut ledger = Ledger::default();
        for (key, attempt, result) in &entries {
            let spec = ClaimSpec { digest: *attempt, ..spec(key, *attempt) };
            ledger.claim(&spec, u64::MAX / 2);
            ledger.settle(&spec.key, *attempt, &answered(result));
        }
        let text = serde_json::to_string(&ledger).expect("a ledger is valid JSON");
        prop_assert!(text.len() <= ledger.size());
        let read: Ledger = serde_json::from_str(&text).expect("a ledger can be read back");
        prop_assert_eq!(read, ledger);
    }
}
