//! `hibiscusvale keygen KIND`.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::Context as _;
use ed25519_dalek::SigningKey;
use gumdrop::Options;
use rand::RngExt;
use serde::Serialize;

use crate::error::{ClientError, UsageError};
use crate::report::Report;

/// Mode of secret files: accessible to the owner only.
const SECRET_MODE: u32 = 0o600;

/// Generates a partner's publishing key, a caller's bearer token or the daemons' shared key.
#[derive(Debug, Options)]
pub struct Keygen {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "publish, token or peers")]
    kind: String,
    #[options(meta = "FILE", help = "file to write the secret to instead of printing it; must not exist")]
    out: Option<PathBuf>,
}

/// Kind of secret to generate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Publish,
    Token,
    Peers,
}

#[derive(Serialize)]
struct View {
    #[serde(skip_serializing_if = "Option::is_none")]
    secret: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    settings: Option<String>,
}

impl Keygen {
    pub(super) fn run(&self) -> anyhow::Result<Report> {
        let kind = parse_kind(&self.kind)?;
        let bytes: [u8; 32] = rand::rng().random();
        let secret = blake3::Hash::from_bytes(bytes).to_hex().to_string();
        let public = match kind {
            Kind::Publish => {
                let key = SigningKey::from_bytes(&bytes).verifying_key();
                Some(blake3::Hash::from_bytes(key.to_bytes()).to_hex().to_string())
            }
            Kind::Token => Some(blake3::hash(secret.as_bytes()).to_hex().to_string()),
            Kind::Peers => None,
        };
        if let Some(path) = &self.out {
            write_secret(path, &secret)?;
        }
        let view = View { secret: self.out.is_none().then_some(secret), settings: public };
        let human = human(kind, &view, self.out.as_deref());
        Ok(Report::new(&view, human))
    }
}

fn parse_kind(text: &str) -> Result<Kind, ClientError> {
    match text {
        "publish" => Ok(Kind::Publish),
        "token" => Ok(Kind::Token),
        "peers" => Ok(Kind::Peers),
        other => Err(ClientError::Usage(UsageError::KeyKind { found: other.to_owned() })),
    }
}

/// Writes a secret to a new file. Never overwrites an existing one: a lost key cannot be recovered, and its partner could
/// no longer publish.
fn write_secret(path: &Path, secret: &str) -> anyhow::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_MODE)
        .open(path)
        .with_context(|| format!("could not create {}", path.display()))?;
    writeln!(file, "{secret}").with_context(|| format!("could not write {}", path.display()))
}

fn human(kind: Kind, view: &View, out: Option<&Path>) -> String {
    let mut lines = Vec::new();
    match (&view.secret, out) {
        (Some(secret), _) => lines.push(format!("secret: {secret}")),
        (None, Some(path)) => lines.push(format!("secret written to {}", path.display())),
        (None, None) => {}
    }
    if let Some(settings) = &view.settings {
        lines.push(match kind {
            Kind::Publish => format!("in the daemons' settings: publish_key = \"{settings}\""),
            _ => format!("in the daemons' settings: token_hashes = [\"{settings}\"]"),
        });
    }
    if kind == Kind::Peers {
        lines.push("in the settings of every daemon, under [peers]: key = the secret".to_owned());
    }
    lines.join("\n")
}
