//! Settings of a daemon in relay mode.

use std::time::Duration;

use hibiscusvale::relay::{RelaySettings, UnevenServers};
use rstest::rstest;

const MINIMAL: &str = r#"
host = { id = "entry-1", data_centre = "dc-1", region = "r" }
listen = { callers = "10.0.0.1:80", readiness = "10.0.0.1:81", peers = "10.0.0.1:82" }
store = { address = "10.0.0.9:90" }
"#;

#[test]
fn missing_settings_take_defaults() {
    let settings = RelaySettings::parse(MINIMAL).unwrap();
    assert_eq!(settings.bounds.grace(), Duration::from_secs(8));
    assert!(settings.peers.seeds.is_empty());
    assert_eq!(settings.listen.metrics, None);
    assert_eq!(settings.capacity.held_bytes_max(), None);
    assert_eq!(settings.scheduling.engine_speeds, UnevenServers::Off);
    assert_eq!(settings.scheduling.server_loads, UnevenServers::Off);
    assert_eq!(settings.scheduling.overload_limit, UnevenServers::Off);
}

/// A typing error would show only in a failure; instead it prevents the start, and the error names the key,
/// the line and the allowed range.
#[rstest]
#[case("[bounds]\ngrace_s = 0.8", "line 6: bounds.grace_s is 0.8, allowed is 1 to 600")]
#[case("[bounds]\nretry_ratio = -0.2", "bounds.retry_ratio is -0.2, allowed is 0 to 10")]
#[case("[bounds]\nretry_ratio = 20.0", "bounds.retry_ratio is 20, allowed is 0 to 10")]
#[case("[bounds]\nretry_slack = nan", "bounds.retry_slack is NaN, allowed is 0 to 100000")]
#[case("[bounds]\nretry_slack = -1", "bounds.retry_slack is -1, allowed is 0 to 100000")]
#[case("[bounds]\nretry_window_s = 0", "bounds.retry_window_s is 0, allowed is 1 to 3600")]
#[case("[capacity]\ndescriptors = 12", "capacity.descriptors is 12")]
#[case("[capacity]\nlink_mbps = 0", "capacity.link_mbps is 0, allowed is 1 to 1000000")]
#[case("[capacity]\nmemory_mb = 3.5", "line 6: capacity.memory_mb is 3.5, allowed is 4 to 1000000")]
#[case("[capacity]\nmemory_mb = nan", "capacity.memory_mb is NaN")]
#[case("[bounds]\ngrace = 8", "unknown field")]
#[case("[scheduling]\nengine_speed = true", "unknown field")]
#[case("[scheduling]\nengine_speeds = true", "engine_speeds")]
#[case("[scheduling]\nserver_loads = \"some\"", "unknown variant")]
fn out_of_range_settings_are_refused(#[case] addition: &str, #[case] expected: &str) {
    let error = RelaySettings::parse(&format!("{MINIMAL}{addition}\n")).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
