//! Parsing of the router's own request headers.

use hibiscusvale::callers::Head;
use hibiscusvale_core::units::{Millis, MonoTime};
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

/// The limit that a caller states counts from the arrival of its request, less the time that the outcome takes to reach
/// it; preferences that are not understood are ignored.
#[rstest]
#[case::stated(&["wait=5"], Some(4_800))]
#[case::short(&["wait=1"], Some(900))]
#[case::quoted(&["wait=\"5\""], Some(4_800))]
#[case::spaced_with_parameter(&["WAIT = 5; foo=1"], Some(4_800))]
#[case::after_others(&["respond-async, handling=strict", "wait=5"], Some(4_800))]
#[case::first_of_two(&["wait=5, wait=9"], Some(4_800))]
#[case::zero(&["wait=0"], Some(0))]
#[case::huge(&["wait=99999999999"], Some(3_599_800))]
#[case::beyond_numbers(&["wait=99999999999999999999999"], None)]
#[case::no_number(&["wait=soon"], None)]
#[case::negative(&["wait=-5"], None)]
#[case::other_preference(&["return=minimal"], None)]
#[case::none(&[], None)]
fn stated_wait_is_read(#[case] preferences: &[&'static str], #[case] left_ms: Option<u64>) {
    let mut headers = HeaderMap::new();
    headers.insert("x-class", HeaderValue::from_static("summary"));
    for preference in preferences {
        headers.append(HeaderName::from_static("prefer"), HeaderValue::from_static(preference));
    }
    let arrived_us = MonoTime(7_000_000);
    let head = Head::read(&headers, arrived_us).expect("head");
    assert_eq!(head.time_left_ms(arrived_us), left_ms.map(Millis));
    assert_eq!(head.time_left_ms(arrived_us + Millis(100)), left_ms.map(|ms| Millis(ms.saturating_sub(100))));
}
