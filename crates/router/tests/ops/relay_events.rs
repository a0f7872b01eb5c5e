//! Splitting of streams into events, for any bytes in any chunks.

use hibiscusvale::relay::events::EventSplitter;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Pieces of valid and invalid streams.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let piece = prop_oneof![
        (0..200_u64).prop_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()),
        Just(b"\n".to_vec()),
        Just(b"id:".to_vec()),
        Just(b"id: 99999999999999999999999\n\n".to_vec()),
        vec(any::<u8>(), 0..9),
    ];
    vec(piece, 0..12)
}

/// No byte is lost or added, however the stream is chunked, and everything that is forwarded ends with a
/// complete event.
#[test]
fn splitting_preserves_all_bytes() {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]));
    runner
        .run(&(pieces(), 1..7_usize), |(pieces, width)| {
            let whole = pieces.concat();
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            for chunk in whole.chunks(width) {
                if let Some(events) = splitter.push(chunk).unwrap() {
                    prop_assert!(events.bytes.ends_with(b"\n\n"));
                    out.extend_from_slice(&events.bytes);
                }
            }
            let remainder = splitter.remainder();
            prop_assert!(
                !remainder.windows(2).any(|two| two == b"\n\n"),
                "a complete event was not forwarded"
            );
            out.extend_from_slice(&remainder);
            prop_assert_eq!(out, whole);
            Ok(())
        })
        .unwrap();
}
