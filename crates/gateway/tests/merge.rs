//! The records of an answer.

use bytes::Bytes;
use gateway::RECORD_BYTES;
use gateway::merge_records;
use proptest::prelude::*;

fn part(records: &[[u8; RECORD_BYTES]], rest: usize) -> Bytes {
    let mut bytes = records.concat();
    bytes.extend(std::iter::repeat_n(0xff, rest));
    bytes.into()
}

proptest! {
    /// Guards against an answer that isn't the greatest records, falling, with equal ones counted and a remainder left
    /// out.
    #[test]
    fn answer_is_the_greatest_records(
        parts in prop::collection::vec(
            (prop::collection::vec(prop::array::uniform16(0..3_u8), 0..30), 0..RECORD_BYTES),
            0..8,
        ),
        top in 0..40_usize,
    ) {
        let bodies: Vec<Bytes> = parts.iter().map(|(records, rest)| part(records, *rest)).collect();
        let mut expected: Vec<[u8; RECORD_BYTES]> =
            parts.into_iter().flat_map(|(records, _)| records).collect();
        expected.sort_by(|one, other| other.cmp(one));
        expected.truncate(top);
        prop_assert_eq!(merge_records(&bodies, top).to_vec(), expected.concat());
    }
}
