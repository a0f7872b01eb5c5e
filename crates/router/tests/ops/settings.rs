//! Tests of parsing and validating settings files.

use hibiscusvale::settings::{LogLevel, Settings, SettingsError};
use rstest::rstest;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn file_with(extra: &str) -> String {
    format!(
        r#"[host]
id = "entry-1"
data_centre = "casablanca-1"
region = "ma-north"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"

[platform]
log = "127.0.0.1:9001"
hosts = "127.0.0.1:9002"
weights = "127.0.0.1:9003"

[peers]
key = "{KEY}"

[partners.nadifa]
token_hashes = ["{KEY}"]
publish_key = "{KEY}"
{extra}"#
    )
}

fn error_message(text: &str) -> String {
    match Settings::parse(text) {
        Err(SettingsError::Invalid(problems)) => {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
        other => panic!("expected SettingsError::Invalid, got {other:?}"),
    }
}

#[test]
fn missing_optional_sections_use_defaults() {
    let settings = Settings::parse(&file_with("")).expect("valid");
    assert_eq!(settings.traffic.threads, 2);
    assert_eq!(settings.observe.log_level, LogLevel::Info);
    assert_eq!(settings.config.readers, 3);
}

/// An operator misspells a key or is off by a factor of a thousand. Without the checks the daemon would run with the
/// default or an unintended limit, which would show only under load.
#[rstest]
#[case::unknown_key("[limits]\nbody_byte = 5\n", &["line 23", "body_byte", "body_bytes"])]
#[case::unknown_section("[limit]\nbody_bytes = 5\n", &["line 22", "limit"])]
#[case::too_small("[limits]\nbody_bytes = 5\n", &["line 23", "limits.body_bytes", "is 5", "1024 to 268435456"])]
#[case::too_many_threads("[traffic]\nthreads = 4096\n", &["line 23", "traffic.threads", "is 4096", "1 to 64"])]
#[case::wrong_type("[traffic]\nthreads = \"two\"\n", &["line 23", "threads", "expected"])]
#[case::no_such_level("[observe]\nlog_level = \"loud\"\n", &["line 23", "log_level", "warn"])]
#[case::route("[[routes]]\nprefix = \"bookings\"\nservice = \"booking\"\n", &["line 23", "routes.0.prefix", "starts with /"])]
#[case::not_toml("[limits\n", &["line 22"])]
fn reports_line_key_value_and_allowed_range(#[case] extra: &str, #[case] expected: &[&str]) {
    let message = error_message(&file_with(extra));
    for part in expected {
        assert!(message.contains(part), "{part:?} is missing in {message:?}");
    }
}

/// Two partners list the same token. Its callers could not be told apart, and one partner would be charged for the
/// other's requests.
#[test]
fn rejects_token_shared_by_two_partners() {
    let extra = format!("[partners.registry]\ntoken_hashes = [\"{KEY}\"]\npublish_key = \"{KEY}\"\n");
    let message = error_message(&file_with(&extra));
    assert!(message.contains("partners.registry.token_hashes"), "{message}");
    assert!(message.contains("nadifa"), "{message}");
}

/// A key with too few digits is rejected. The error message may reach a terminal or a log and must not contain the
/// digits that were given.
#[test]
fn error_does_not_contain_rejected_key() {
    let short_key = &KEY[..62];
    let message =
        error_message(&file_with("").replace(
            &format!("key = \"{KEY}\"\n\n[partners"),
            &format!("key = \"{short_key}\"\n\n[partners"),
        ));
    assert!(message.contains("line 17"), "{message}");
    assert!(message.contains("64 hexadecimal digits"), "{message}");
    assert!(!message.contains(short_key), "{message}");
}

/// The whole settings struct may be logged while debugging.
#[test]
fn debug_output_contains_no_secret() {
    let settings = Settings::parse(&file_with("")).expect("valid");
    let printed = format!("{settings:?}");
    assert!(printed.contains("MacKey(..)"), "{printed}");
    assert!(!printed.contains("112233"), "{printed}");
}
