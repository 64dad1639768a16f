//! Who is admitted while memory is short.

use limit::MemoryBudget;
use proptest::prelude::*;
use rstest::rstest;

/// Guards against less urgent requests that fill the memory, so that an urgent one is refused, and against a rank that
/// gets nothing at all.
#[rstest]
#[case::most_urgent(0, 160)]
#[case::next(1, 150)]
#[case::third(2, 140)]
#[case::eighth(8, 80)]
#[case::least_urgent(200, 80)]
fn less_urgent_requests_leave_room(#[case] rank: u32, #[case] admitted: usize) {
    let mut room = MemoryBudget::new(160_000);
    let count = (0..1_000).filter(|_| room.admit(rank, 1_000)).count();
    assert_eq!(count, admitted);
    assert_eq!(room.admit(0, 1_000), rank > 0);
}

/// Guards against a request in progress that is cut off by the part kept back for others.
#[test]
fn admitted_request_may_grow_into_all_of_it() {
    let mut room = MemoryBudget::new(160_000);
    assert!(room.admit(8, 80_000));
    assert!(!room.admit(8, 1));
    assert!(room.grow(80_000));
    assert!(!room.grow(1));
}

proptest! {
    /// Guards against a bound that is exceeded, or room that is lost, in any order of requests.
    #[test]
    fn bound_holds(
        bound in 0..10_000_u64,
        steps in prop::collection::vec((0..12_u32, any::<u64>(), any::<bool>()), 0..200),
    ) {
        let mut room = MemoryBudget::new(bound);
        let mut held = Vec::new();
        for (rank, bytes, huge) in steps {
            let bytes = if huge { bytes } else { bytes % 3_000 };
            if rank == 11 {
                held.pop().into_iter().for_each(|bytes| room.release(bytes));
            } else if room.admit(rank, bytes) {
                held.push(bytes);
            }
            prop_assert!(room.held() <= bound);
            prop_assert_eq!(room.held(), held.iter().sum::<u64>());
        }
    }
}
