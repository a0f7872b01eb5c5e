//! Cutting streams into events, for any bytes in any pieces.

use hibiscusvale::relay::events::EventCutter;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Pieces of streams, whole and spoiled, as a connection may bring them.
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

/// Nothing is lost or made up, however the bytes are cut on the way, and what is passed on ends with an event.
#[test]
fn what_comes_out_is_what_went_in() {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]));
    runner
        .run(&(pieces(), 1..7_usize), |(pieces, width)| {
            let whole = pieces.concat();
            let mut cutter = EventCutter::default();
            let mut out = Vec::new();
            for chunk in whole.chunks(width) {
                if let Some(events) = cutter.push(chunk).unwrap() {
                    prop_assert!(events.bytes.ends_with(b"\n\n"));
                    out.extend_from_slice(&events.bytes);
                }
            }
            let rest = cutter.rest();
            prop_assert!(!rest.windows(2).any(|two| two == b"\n\n"), "a whole event is held back");
            out.extend_from_slice(&rest);
            prop_assert_eq!(out, whole);
            Ok(())
        })
        .unwrap();
}
