//! Class files, settings files, and the generated man pages and completions.

use std::collections::BTreeSet;
use std::path::Path;

use hibiscusvale_cli::classes;
use hibiscusvale_cli::context::Context;
use hibiscusvale_cli::error::EXIT_CODES;
use hibiscusvale_cli::manual::{self, Shell};
use rstest::rstest;

use crate::cluster::{KEY, TestCluster, run};

/// A class file with a mistake is rejected before anything is published, and the error names the line.
#[rstest]
#[case::unknown_key("[classes.a]\nkind = \"plain\"\nresponse_ms = 1\nweight = 3\n", &["classes.toml:4", "weight"])]
#[case::wrong_target("[classes.a]\nkind = \"plain\"\nfirst_token_ms = 1\n", &["classes.toml:1", "class a", "response_ms"])]
#[case::zero("[classes.a]\nkind = \"plain\"\nresponse_ms = 0\n", &["class a", "outside 1 to 3600000 ms"])]
#[case::kind("[classes.a]\nkind = \"chat\"\n", &["classes.toml:2", "chat", "language"])]
#[case::name("[classes.\"a b\"]\nkind = \"plain\"\nresponse_ms = 1\n", &["classes.toml", "' '"])]
#[case::negative("[classes.a]\nkind = \"plain\"\nresponse_ms = -1\n", &["classes.toml:3"])]
fn an_invalid_class_file_is_rejected_with_its_line(#[case] text: &str, #[case] expected: &[&str]) {
    let message = classes::parse(Path::new("classes.toml"), text).expect_err("a mistake").to_string();
    for part in expected {
        assert!(message.contains(part), "{part:?} is missing in {message:?}");
    }
}

#[tokio::test]
async fn validate_accepts_a_valid_class_file() {
    let cluster = TestCluster::new("validate", 0).await;
    let file = cluster.write("classes.toml", "[classes.a]\nkind = \"plain\"\nresponse_ms = 1\n");
    let output = run(&["validate", &file]).await;
    assert_eq!((output.code, &output.json["classes"]), (0, &1.into()));
    let missing = run(&["validate", &cluster.path("none.toml")]).await;
    assert_eq!(missing.code, 2, "{}", missing.text);
}

#[tokio::test]
async fn the_command_line_overrides_the_settings_file() {
    let cluster = TestCluster::new("context", 0).await;
    let file = cluster
        .write("client.toml", "log = \"127.0.0.1:1\"\npartner = \"nadifa\"\nkey_file = \"nadifa.key\"\n");
    let context = Context::load(Path::new(&file)).expect("settings");
    assert_eq!(context.key_file.as_deref(), Some(Path::new(&cluster.path("nadifa.key"))));
    let flags = Context { partner: Some("registry".parse().expect("a partner")), ..Context::default() };
    let both = context.overridden_by(flags);
    assert_eq!(both.partner().expect("a partner").as_str(), "registry");
    assert_eq!(both.key().expect("a key").to_bytes(), KEY);
    let invalid = cluster.write("mistake.toml", "log = \"127.0.0.1:1\"\nhost = [\"127.0.0.1:2\"]\n");
    let message = Context::load(Path::new(&invalid)).expect_err("a mistake").to_string();
    assert!(message.contains("mistake.toml:2") && message.contains("hosts"), "{message}");
}

#[test]
fn exit_codes_are_distinct() {
    let codes: BTreeSet<u8> = EXIT_CODES.iter().map(|code| code.code).collect();
    assert_eq!(codes.len(), EXIT_CODES.len());
}

/// Guards against options that change without their generated files. To mend a failure run `scripts/manual` and commit.
#[test]
fn committed_manuals_and_completions_are_current() {
    let (client, daemon) = (manual::client(), manual::daemon());
    let generated = [
        ("man/hibiscusvale.1", client.man()),
        ("man/hibiscusvaled.8", daemon.man()),
        ("completions/hibiscusvale.bash", client.completions(Shell::Bash)),
        ("completions/hibiscusvale.fish", client.completions(Shell::Fish)),
        ("completions/_hibiscusvale", client.completions(Shell::Zsh)),
        ("completions/hibiscusvaled.bash", daemon.completions(Shell::Bash)),
        ("completions/hibiscusvaled.fish", daemon.completions(Shell::Fish)),
        ("completions/_hibiscusvaled", daemon.completions(Shell::Zsh)),
    ];
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for (file, expected) in generated {
        let committed = std::fs::read_to_string(root.join(file)).unwrap_or_default();
        assert_eq!(committed.trim_end(), expected.trim_end(), "{file} is out of date: run scripts/manual");
    }
}
