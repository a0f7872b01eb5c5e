//! Settings files with mistakes in them.

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

fn message_of(text: &str) -> String {
    match Settings::parse(text) {
        Err(SettingsError::Invalid(problems)) => {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_file_without_optional_sections_gets_the_defaults() {
    let settings = Settings::parse(&file_with("")).expect("valid");
    assert_eq!(settings.traffic.threads, 2);
    assert_eq!(settings.observe.log_level, LogLevel::Info);
    assert_eq!(settings.config.readers, 3);
}

/// An operator misspells a key or is out by a factor of a thousand. Without the check the daemon would run with
/// the default, or with a limit that nobody meant, and show it only under load.
#[rstest]
#[case::unknown_key("[limits]\nbody_byte = 5\n", &["line 23", "body_byte", "body_bytes"])]
#[case::unknown_section("[limit]\nbody_bytes = 5\n", &["line 22", "limit"])]
#[case::too_small("[limits]\nbody_bytes = 5\n", &["line 23", "limits.body_bytes", "is 5", "1024 to 268435456"])]
#[case::too_many_threads("[traffic]\nthreads = 4096\n", &["line 23", "traffic.threads", "is 4096", "1 to 64"])]
#[case::wrong_type("[traffic]\nthreads = \"two\"\n", &["line 23", "threads", "expected"])]
#[case::no_such_level("[observe]\nlog_level = \"loud\"\n", &["line 23", "log_level", "warn"])]
#[case::route("[[routes]]\nprefix = \"bookings\"\nservice = \"booking\"\n", &["line 23", "routes.0.prefix", "starts with /"])]
#[case::not_toml("[limits\n", &["line 22"])]
fn a_mistake_is_refused_with_key_value_range_and_line(#[case] extra: &str, #[case] expected: &[&str]) {
    let message = message_of(&file_with(extra));
    for part in expected {
        assert!(message.contains(part), "{part:?} is missing in {message:?}");
    }
}

/// Two partners list the same token. A caller with it could be taken for either, and one would pay for the
/// other's work.
#[test]
fn one_token_of_two_partners_is_refused() {
    let extra = format!("[partners.registry]\ntoken_hashes = [\"{KEY}\"]\npublish_key = \"{KEY}\"\n");
    let message = message_of(&file_with(&extra));
    assert!(message.contains("partners.registry.token_hashes"), "{message}");
    assert!(message.contains("nadifa"), "{message}");
}

/// A key with a digit missing is refused; the refusal lands in a terminal or a log and must not carry the rest
/// of the key with it.
#[test]
fn a_refused_secret_is_not_printed() {
    let short = &KEY[..62];
    let message = message_of(
        &file_with("")
            .replace(&format!("key = \"{KEY}\"\n\n[partners"), &format!("key = \"{short}\"\n\n[partners")),
    );
    assert!(message.contains("line 17"), "{message}");
    assert!(message.contains("64 hexadecimal digits"), "{message}");
    assert!(!message.contains(short), "{message}");
}

/// Somebody logs the whole settings struct while looking for a fault.
#[test]
fn debug_output_holds_no_secret() {
    let settings = Settings::parse(&file_with("")).expect("valid");
    let printed = format!("{settings:?}");
    assert!(printed.contains("MacKey(..)"), "{printed}");
    assert!(!printed.contains("112233"), "{printed}");
}
