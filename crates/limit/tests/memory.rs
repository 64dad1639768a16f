//! Admission of requests while memory is short.

use limit::MemoryBudget;
use limit::MemoryUse;
use proptest::prelude::*;
use rstest::rstest;

/// Guards against less urgent requests that fill the memory so that an urgent one is refused, and against a rank that
/// is never admitted.
#[rstest]
#[case::most_urgent(0, 160)]
#[case::rank_1(1, 150)]
#[case::rank_2(2, 140)]
#[case::rank_8(8, 80)]
#[case::least_urgent(200, 80)]
fn less_urgent_requests_leave_memory(#[case] rank: u32, #[case] admitted: usize) {
    let mut budget = MemoryBudget::new(160_000);
    let count = (0..1_000).filter(|_| budget.admit(rank, 1_000)).count();
    assert_eq!(count, admitted);
    assert_eq!(budget.admit(0, 1_000), rank > 0);
}

/// Guards against aborting a request in progress because of the memory reserved for more urgent ones.
#[test]
fn admitted_request_may_use_reserved_memory() {
    let mut budget = MemoryBudget::new(160_000);
    assert!(budget.admit(8, 80_000));
    assert!(!budget.admit(8, 1));
    assert!(budget.charge(MemoryUse::Request, 80_000));
    assert!(!budget.charge(MemoryUse::Request, 1));
}

/// Guards against large bodies and connections that together leave nothing for requests with small bodies.
#[test]
fn other_uses_leave_memory_for_requests() {
    let mut budget = MemoryBudget::new(160_000);
    for purpose in [MemoryUse::LargeBody, MemoryUse::Caller, MemoryUse::Upstream] {
        while budget.charge(purpose, 1_000) {}
    }
    assert_eq!(budget.held_for(MemoryUse::LargeBody), 50_000);
    assert_eq!(budget.held_for(MemoryUse::Caller), 50_000);
    assert_eq!(budget.held_for(MemoryUse::Upstream), 30_000);
    assert!(budget.charge(MemoryUse::Request, 30_000));
    assert!(!budget.charge(MemoryUse::Request, 1));
}

fn any_use() -> impl Strategy<Value = MemoryUse> {
    prop_oneof![
        Just(MemoryUse::Request),
        Just(MemoryUse::LargeBody),
        Just(MemoryUse::Caller),
        Just(MemoryUse::Upstream),
    ]
}

proptest! {
    /// Guards against exceeding the limit, or leaking memory, in any order of requests.
    #[test]
    fn limit_holds(
        limit in 0..10_000_u64,
        steps in prop::collection::vec((0..12_u32, any_use(), any::<u64>(), any::<bool>()), 0..200),
    ) {
        let mut budget = MemoryBudget::new(limit);
        let mut held = Vec::new();
        for (rank, purpose, bytes, huge) in steps {
            let bytes = if huge { bytes } else { bytes % 3_000 };
            if rank == 11 {
                held.pop().into_iter().for_each(|(purpose, bytes)| budget.release(purpose, bytes));
            } else if budget.admit(rank, bytes) {
                held.push((MemoryUse::Request, bytes));
            } else if budget.charge(purpose, bytes) {
                held.push((purpose, bytes));
            }
            prop_assert!(budget.held() <= limit);
            prop_assert_eq!(budget.held(), held.iter().map(|(_, bytes)| bytes).sum::<u64>());
        }
    }
}
