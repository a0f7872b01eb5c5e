//! Peak memory of requests that grow and end.

use hibiscusvale_core::relay::engines::{Growth, headroom, peak};
use hibiscusvale_core::units::{Micros, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn growth(now: u64, end: u64) -> Growth {
    Growth { now: Tokens(now), end: Tokens(end), answer: Tokens(end.saturating_sub(now)), is_growing: true }
}

/// Reference result: follows the sum token by token.
fn peak_by_token(growths: &[Growth]) -> u64 {
    let longest = growths.iter().map(|growth| growth.end.0 - growth.now.0).max().unwrap_or(0);
    let sum_after = |decoded: u64| {
        let lives = growths.iter().filter(|growth| growth.end.0 - growth.now.0 >= decoded);
        lives.map(|growth| growth.now.0 + decoded).sum::<u64>()
    };
    (0..=longest).map(sum_after).max().unwrap_or(0)
}

#[test]
fn the_peak_of_no_requests_is_zero() {
    assert_eq!(peak(std::iter::empty()), Tokens::ZERO);
}

/// The older request ends before the younger has grown, so they never take both final sizes.
#[test]
fn a_request_that_ends_soon_frees_memory_for_a_later_one() {
    assert_eq!(peak([growth(8_000, 10_000), growth(1_000, 10_000)].into_iter()), Tokens(13_000));
    assert_eq!(peak([growth(1_000, 10_000), growth(1_000, 10_000)].into_iter()), Tokens(20_000));
}

#[test]
fn the_peak_equals_the_token_by_token_reference() {
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..500 {
        let count = rng.random_range(1..13);
        let any = |_| {
            let now = rng.random_range(1..800);
            // At least a quarter of the answer remains, as for answers that have exceeded their expected
            // length.
            let rest = rng.random_range(1..900);
            Growth { answer: Tokens(rest), ..growth(now, now + rest) }
        };
        let growths: Vec<Growth> = (0..count).map(any).collect();
        assert_eq!(peak(growths.iter().copied()).0, peak_by_token(&growths), "{growths:?}");
    }
}

/// An answer that exceeds its expected length has not ended, so its memory is not free; it goes on for a
/// while.
#[test]
fn an_answer_beyond_its_expected_length_still_takes_memory() {
    assert_eq!(peak([Growth { answer: Tokens(4_000), ..growth(8_000, 6_000) }].into_iter()), Tokens(9_000));
}

/// While a prompt is being prefilled elsewhere, the request decodes nothing, however long that takes.
#[test]
fn a_request_whose_answer_has_not_begun_does_not_grow() {
    let waiting = Growth { is_growing: false, ..growth(5_000, 11_000) };
    assert_eq!(waiting.after(Micros(2_000_000), 1.7), waiting);
    assert_eq!(growth(5_000, 11_000).after(Micros(2_000_000), 1.7).now, Tokens(8_400));
}

/// Two decode engines are full, one with long prompts and short answers, one the reverse. Answers that miss
/// their expected length by half take little more at the first and much at the second, which evicts a request
/// unless headroom is kept there; at the first the same headroom would stay unused while callers are refused.
#[test]
fn headroom_depends_on_the_remaining_answer_lengths() {
    let short_answers = std::iter::repeat_n(growth(5_000, 5_500), 9);
    let long_answers = std::iter::repeat_n(growth(5_000, 11_000), 9);
    let (short, long) = (headroom(short_answers, 0.5).0, headroom(long_answers, 0.5).0);
    assert!(short < 2_500, "{short} tokens for answers of 500");
    assert!(long > 2 * 6_000, "{long} tokens for answers of 6,000: two of nine may be twice as long");
    assert_eq!(headroom([growth(5_000, 11_000)].into_iter(), 0.0), Tokens::ZERO, "answers as expected");
}
