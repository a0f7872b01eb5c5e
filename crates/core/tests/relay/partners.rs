//! Organisations and their API keys.

use hibiscusvale_core::relay::partners::{Credentials, KeyHash, Partner, Partners, UnknownCaller};
use rstest::rstest;

fn partner(name: &str, keys: &[&str]) -> Partner {
    let keys = keys.iter().map(|key| KeyHash::of(key)).collect();
    Partner { id: name.parse().unwrap(), keys, priority: None, quota: None }
}

fn partners() -> Partners {
    Partners::new(vec![partner("a", &["key-1", "key-2"]), partner("b", &["key-3"])])
}

fn key(text: &str) -> Credentials {
    Credentials::Key(KeyHash::of(text))
}

#[rstest]
#[case(key("key-2"), false, Ok(Some("a")))]
#[case(key("key-3"), true, Ok(Some("b")))]
#[case(key("key-4"), false, Err(UnknownCaller::UnknownKey))]
#[case(key("key-4"), true, Err(UnknownCaller::UnknownKey))]
#[case(Credentials::Missing, false, Err(UnknownCaller::NoKey))]
#[case(Credentials::Missing, true, Ok(None))]
#[case(Credentials::Malformed, true, Err(UnknownCaller::UnknownKey))]
fn a_request_belongs_to_the_organisation_of_its_key(
    #[case] credentials: Credentials,
    #[case] allows_anonymous: bool,
    #[case] expected: Result<Option<&str>, UnknownCaller>,
) {
    let partners = partners();
    let found = partners.authenticate(credentials, allows_anonymous);
    assert_eq!(found.map(|partner| partner.map(|partner| partner.id.as_str())), expected);
}

#[test]
fn without_organisations_no_key_is_needed() {
    assert_eq!(Partners::default().authenticate(Credentials::Missing, false), Ok(None));
    assert_eq!(Partners::default().authenticate(key("key-1"), false), Ok(None));
}

/// A key in the debug output of a table would end up in a log.
#[test]
fn keys_are_not_in_debug_output() {
    let shown = format!("{:?}", partners());
    let hash = blake3::hash(b"key-1");
    assert!(!shown.contains("key-1") && !shown.contains(&hash.to_hex()[..8]), "{shown}");
}
