//! Generated keys and tokens.

use std::os::unix::fs::PermissionsExt;

use ed25519_dalek::SigningKey;

use crate::cluster::{TestCluster, run};

#[tokio::test]
async fn a_publishing_key_matches_the_public_key_for_the_settings() {
    let generated = run(&["keygen", "publish"]).await;
    let key = |name: &str| {
        blake3::Hash::from_hex(generated.json[name].as_str().expect("a key")).expect("hexadecimal")
    };
    let public = SigningKey::from_bytes(key("secret").as_bytes()).verifying_key();
    assert_eq!(public.to_bytes(), *key("settings").as_bytes());
}

#[tokio::test]
async fn a_token_is_printed_with_its_hash_for_the_settings() {
    let generated = run(&["keygen", "token"]).await;
    let token = generated.json["secret"].as_str().expect("a token");
    let hash = generated.json["settings"].as_str().expect("a hash");
    assert_eq!(blake3::hash(token.as_bytes()).to_hex().as_str(), hash);
}

/// An overwritten key cannot be recovered, and a key file that others can read is not secret.
#[tokio::test]
async fn a_key_file_is_private_and_never_overwritten() {
    let cluster = TestCluster::new("keys", 0).await;
    let file = cluster.path("fresh.key");
    // Removes the file of an earlier run of this test.
    let _ = std::fs::remove_file(&file);
    let generated = run(&["keygen", "publish", "--out", &file]).await;
    assert_eq!(generated.code, 0, "{}", generated.text);
    assert!(generated.json.get("secret").is_none(), "the secret is in the file only");
    let permissions = std::fs::metadata(&file).expect("a file").permissions();
    assert_eq!(permissions.mode() & 0o777, 0o600);
    let again = run(&["keygen", "publish", "--out", &file]).await;
    assert_eq!(again.code, 1, "{}", again.text);
    assert_eq!(run(&["keygen", "other"]).await.code, 2);
}
