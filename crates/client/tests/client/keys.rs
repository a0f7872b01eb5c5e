//! Keys and tokens.

use std::os::unix::fs::PermissionsExt;

use ed25519_dalek::SigningKey;

use crate::world::{World, run};

#[tokio::test]
async fn a_publishing_key_signs_for_the_half_in_the_settings() {
    let made = run(&["keygen", "publish"]).await;
    let half =
        |name: &str| blake3::Hash::from_hex(made.json[name].as_str().expect("a key")).expect("hexadecimal");
    let public = SigningKey::from_bytes(half("secret").as_bytes()).verifying_key();
    assert_eq!(public.to_bytes(), *half("settings").as_bytes());
}

#[tokio::test]
async fn a_token_comes_with_the_hash_that_daemons_compare() {
    let made = run(&["keygen", "token"]).await;
    let token = made.json["secret"].as_str().expect("a token");
    let hash = made.json["settings"].as_str().expect("a hash");
    assert_eq!(blake3::hash(token.as_bytes()).to_hex().as_str(), hash);
}

/// A key file that is overwritten cannot be had back, and one that others can read is no secret.
#[tokio::test]
async fn a_key_file_is_private_and_never_overwritten() {
    let world = World::new("keys", 0).await;
    let file = world.path("fresh.key");
    // A file that an earlier run of this test left behind.
    let _ = std::fs::remove_file(&file);
    let made = run(&["keygen", "publish", "--out", &file]).await;
    assert_eq!(made.code, 0, "{}", made.text);
    assert!(made.json.get("secret").is_none(), "the secret is in the file only");
    let permissions = std::fs::metadata(&file).expect("a file").permissions();
    assert_eq!(permissions.mode() & 0o777, 0o600);
    let again = run(&["keygen", "publish", "--out", &file]).await;
    assert_eq!(again.code, 1, "{}", again.text);
    assert_eq!(run(&["keygen", "other"]).await.code, 2);
}
