//! Tests the merged answer of several parts.

use bytes::Bytes;
use gateway::RECORD_BYTES;
use gateway::merge_records;
use proptest::prelude::*;

fn part(records: &[[u8; RECORD_BYTES]], trailing: usize) -> Bytes {
    let mut bytes = records.concat();
    bytes.extend(std::iter::repeat_n(0xff, trailing));
    bytes.into()
}

proptest! {
    /// Guards against an answer that lacks one of the greatest records, isn't in descending order, deduplicates equal
    /// records or includes trailing bytes of a part.
    #[test]
    fn answer_is_the_greatest_records(
        parts in prop::collection::vec(
            (prop::collection::vec(prop::array::uniform16(0..3_u8), 0..30), 0..RECORD_BYTES),
            0..8,
        ),
        top_k in 0..40_usize,
    ) {
        let bodies: Vec<Bytes> = parts.iter().map(|(records, trailing)| part(records, *trailing)).collect();
        let mut expected: Vec<[u8; RECORD_BYTES]> =
            parts.into_iter().flat_map(|(records, _)| records).collect();
        expected.sort_by(|one, other| other.cmp(one));
        expected.truncate(top_k);
        prop_assert_eq!(merge_records(&bodies, top_k).to_vec(), expected.concat());
    }
}
