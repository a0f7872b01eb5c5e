//! Splitting of streams into events, for any bytes in any chunks.

use hibiscusvale::relay::events::EventSplitter;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Pieces of valid and invalid streams.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let piece = prop_oneof![
        (0..200_u64).prop_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()),
        (0..200_u64).prop_map(|id| format!("id: {id}\r\ndata: x\r\n\r\n").into_bytes()),
        Just(b"\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b": comment\n".to_vec()),
        Just(b"id:".to_vec()),
        Just(b"id: 99999999999999999999999\n\n".to_vec()),
        vec(any::<u8>(), 0..9),
    ];
    vec(piece, 0..12)
}

/// Lines of a stream with their ends; the last one may have none.
fn lines(whole: &[u8]) -> Vec<(&[u8], &[u8])> {
    let mut lines = Vec::new();
    let mut rest = whole;
    while !rest.is_empty() {
        let content_bytes = rest.iter().position(|byte| b"\r\n".contains(byte)).unwrap_or(rest.len());
        let (content, ended) = rest.split_at(content_bytes);
        let end_bytes = if ended.starts_with(b"\r\n") { 2 } else { ended.len().min(1) };
        lines.push((content, &ended[..end_bytes]));
        rest = &ended[end_bytes..];
    }
    lines
}

/// No byte is lost or added, however the stream is chunked; what is forwarded ends with the empty line of a complete
/// event, and what is left has no further one.
#[test]
fn splitting_preserves_all_bytes() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]));
    runner
        .run(&(pieces(), 1..7_usize), |(pieces, width)| {
            let whole = pieces.concat();
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            for chunk in whole.chunks(width) {
                if let Some(events) = splitter.push(chunk).unwrap() {
                    out.extend_from_slice(&events.bytes);
                    prop_assert!(
                        lines(&out)
                            .last()
                            .is_some_and(|(content, end)| content.is_empty() && !end.is_empty())
                    );
                }
            }
            let is_inside_event = splitter.is_inside_event();
            let remainder = splitter.remainder();
            // The two bytes of a line end may arrive apart.
            let rest = remainder.strip_prefix(b"\n").filter(|_| out.ends_with(b"\r")).unwrap_or(&remainder);
            let rest = lines(rest);
            prop_assert!(
                !rest.iter().any(|(content, _)| content.is_empty()),
                "a complete event was not forwarded"
            );
            let is_cut = rest.iter().any(|(content, end)| !content.starts_with(b":") || end.is_empty());
            prop_assert_eq!(is_inside_event, is_cut);
            out.extend_from_slice(&remainder);
            prop_assert_eq!(out, whole);
            Ok(())
        })
        .unwrap();
}
