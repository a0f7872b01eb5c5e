//! Tests of the services whose servers count as uneven.

use rstest::rstest;

use super::*;
use crate::relay::UnevenServers;

fn load(work_time_percent: Option<u32>) -> ReportedLoad {
    ReportedLoad { running: 1, waiting: 0, slots: 6, work_time_percent }
}

/// Settings are applied anew when a service becomes uneven. If they were at each answer, a daemon would divide its
/// budgets thousands of times a second.
#[test]
fn a_service_becomes_uneven_once() {
    let services = UnevenServices::default();
    assert!(!services.record("app", load(None)), "no server shares its host");
    assert!(!services.contains("app"));
    assert!(services.record("app", load(Some(250))));
    assert!(!services.record("app", load(Some(100))));
    assert!(!services.record("app", load(None)));
    assert!(services.contains("app") && !services.contains("llm"), "one service, until the daemon ends");
}

/// Without the setting, nothing a server states may change decisions.
#[rstest]
#[case::off(UnevenServers::Off, [false, false])]
#[case::stated(UnevenServers::Stated, [false, true])]
#[case::always(UnevenServers::Always, [true, true])]
fn the_setting_selects_services(#[case] setting: UnevenServers, #[case] expected: [bool; 2]) {
    assert_eq!([false, true].map(|is_stated| setting.applies(is_stated)), expected);
}
