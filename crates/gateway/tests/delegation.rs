//! Tests the messages between a gateway and a holder.

use base::ServiceName;
use bytes::Bytes;
use bytes::BytesMut;
use gateway::Delegation;
use gateway::Frame;
use gateway::FrameDecoder;
use gateway::InvalidFrame;
use gateway::hash_services;
use proptest::prelude::*;
use rstest::rstest;

fn any_frame() -> impl Strategy<Value = Frame> {
    let bytes = |most: usize| prop::collection::vec(any::<u8>(), 0..most).prop_map(Bytes::from);
    prop_oneof![
        Just(Frame::Alive),
        (0..600_usize, bytes(40), bytes(900)).prop_map(|(service, signature, body)| {
            Frame::Part {
                service,
                signature,
                body,
            }
        }),
        (0..600_usize, 0..200_u32).prop_map(|(service, runs)| Frame::GivenUp { service, runs }),
    ]
}

proptest! {
    /// Guards against a part that is lost, changed or taken for another one when the stream is cut anywhere.
    #[test]
    fn frames_survive_any_cut(
        frames in prop::collection::vec(any_frame(), 0..12),
        cuts in prop::collection::vec(1..200_usize, 1..60),
    ) {
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|frame| frame.encode(&mut bytes));
        let mut decoder = FrameDecoder::default();
        let mut decoded = Vec::new();
        let mut cuts = cuts.into_iter().cycle();
        while !bytes.is_empty() {
            let cut = cuts.next().unwrap_or(1).min(bytes.len());
            decoder.extend(&bytes.split_to(cut));
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert!(!decoder.is_partial());
    }

    /// Guards against a stream that ends within a frame and looks complete.
    #[test]
    fn truncated_frame_is_partial(frame in any_frame(), left in any::<prop::sample::Index>()) {
        let mut bytes = BytesMut::new();
        frame.encode(&mut bytes);
        let left = left.index(bytes.len());
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes[..left]);
        prop_assert_eq!(decoder.next_frame(), Ok(None));
        prop_assert_eq!(decoder.is_partial(), left > 0);
    }

    /// Guards against a malformed message that ends the process.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }

    /// Guards against a malformed header that ends the process or names services that the route does not have.
    #[test]
    fn any_header_is_decoded_or_rejected(value in ".{0,60}", count in 0..100_usize) {
        if let Some(delegation) = Delegation::decode(&value, count) {
            prop_assert!(delegation.services.iter().all(|service| *service < count));
        }
    }

    /// Guards against a holder that is asked for other services than the gateway means.
    #[test]
    fn header_round_trips(fingerprint: u64, services in prop::collection::btree_set(0..90_usize, 0..90)) {
        let services: Vec<usize> = services.into_iter().collect();
        let used = services.iter().map(|at| *at as u32 % 3).collect();
        let delegation = Delegation { fingerprint, services, used };
        prop_assert_eq!(Delegation::decode(&delegation.encode(), 90), Some(delegation));
    }
}

/// Guards against a service that a holder asks twice for one request, and against an index beyond the route.
#[rstest]
#[case::named_twice("00000000000000ff 3 3")]
#[case::out_of_range("00000000000000ff a")]
#[case::no_fingerprint("")]
#[case::not_a_number("00000000000000ff x")]
fn invalid_header_is_rejected(#[case] value: &str) {
    assert_eq!(Delegation::decode(value, 10), None);
}

/// Guards against a holder that makes a gateway buffer bytes without end.
#[rstest]
#[case::unknown_tag(&[9])]
#[case::part_of_four_gigabytes(&[1, 0, 0, 0, 0, 255, 255, 255, 255])]
fn invalid_frame_is_rejected(#[case] bytes: &[u8]) {
    let mut decoder = FrameDecoder::default();
    decoder.extend(bytes);
    assert_eq!(decoder.next_frame(), Err(InvalidFrame));
}

/// Guards against two configurations with the same number of services, or the same ones in another order, that count as
/// the same route.
#[test]
fn fingerprint_depends_on_names_and_order() {
    let hash = |names: &[&str]| {
        let services: Vec<ServiceName> = names.iter().map(|name| (*name).into()).collect();
        hash_services(&services)
    };
    assert_eq!(hash(&["a", "b"]), hash(&["a", "b"]));
    assert_ne!(hash(&["a", "b"]), hash(&["b", "a"]));
    assert_ne!(hash(&["a", "b"]), hash(&["a", "c"]));
    assert_ne!(hash(&["a"]), hash(&["a", "b"]));
}
