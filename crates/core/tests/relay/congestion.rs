//! Detection of a congested host.

use hibiscusvale_core::relay::congestion::{
    ASSESSMENT_INTERVAL_MS, Bottleneck, CongestionDetector, HostLoad, HostSample, tolerated_delay,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime};
use rstest::rstest;

const LINK: BytesPerSecond = BytesPerSecond(1_250_000);

/// Load after ten intervals like `before` and then five like `then`.
fn load_after(before: HostSample, then: HostSample) -> HostLoad {
    let mut detector = CongestionDetector::new(Some(LINK));
    let mut now_us = MonoTime(1);
    let samples = std::iter::repeat_n(before, 10).chain(std::iter::repeat_n(then, 5));
    let loads: Vec<_> = samples
        .map(|sample| {
            now_us = now_us + ASSESSMENT_INTERVAL_MS;
            detector.assess(now_us, sample, tolerated_delay(Some(Millis(160))))
        })
        .collect();
    loads[14]
}

fn calm() -> HostSample {
    HostSample {
        received: Bytes(20_000),
        sent: Bytes(20_000),
        connects: 5,
        fastest_connect_us: Some(Micros(2_000)),
        late_us: Micros(500),
    }
}

#[rstest]
#[case::calm(calm(), None)]
#[case::slow_connections(HostSample { fastest_connect_us: Some(Micros(60_000)), ..calm() }, Some(Bottleneck::Connecting))]
#[case::much_received(HostSample { received: Bytes(124_000), ..calm() }, Some(Bottleneck::Received))]
#[case::much_sent(HostSample { sent: Bytes(124_000), ..calm() }, Some(Bottleneck::Sent))]
#[case::late_tasks(HostSample { late_us: Micros(40_000), ..calm() }, Some(Bottleneck::Tasks))]
#[case::well_used(HostSample { received: Bytes(100_000), sent: Bytes(100_000), ..calm() }, None)]
fn bottleneck_is_named(#[case] then: HostSample, #[case] expected: Option<Bottleneck>) {
    let load = load_after(calm(), then);
    assert_eq!(load.is_congested().then_some(load.bottleneck), expected, "{load:?}");
}

/// One slow connection among few must not count as a congested host.
#[test]
fn few_slow_connections_prove_nothing() {
    let slow = HostSample { connects: 1, fastest_connect_us: Some(Micros(250_000)), ..calm() };
    let mut detector = CongestionDetector::new(Some(LINK));
    let tolerated_us = tolerated_delay(Some(Millis(160)));
    let none = HostSample { connects: 0, fastest_connect_us: None, ..calm() };
    let samples = std::iter::repeat_n(calm(), 5).chain([slow]).chain(std::iter::repeat_n(none, 30));
    for (number, sample) in samples.enumerate() {
        let now_us = MonoTime(1) + Millis(ASSESSMENT_INTERVAL_MS.0 * (number as u64 + 1));
        let load = detector.assess(now_us, sample, tolerated_us);
        assert!(!load.is_congested(), "{number}: {load:?}");
    }
}

#[rstest]
#[case::pages(Some(Millis(160)), Micros(20_000))]
#[case::streams(Some(Millis(900)), Micros(100_000))]
#[case::no_routes(None, Micros(100_000))]
#[case::strict(Some(Millis(8)), Micros(5_000))]
fn tolerated_delay_follows_the_strictest_target(#[case] target: Option<Millis>, #[case] expected: Micros) {
    assert_eq!(tolerated_delay(target), expected);
}
