//! The client's settings: addresses of the system and identity of the operator.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ed25519_dalek::SigningKey;
use hibiscusvale_core::config::Author;
use hibiscusvale_core::ids::PartnerId;
use serde::Deserialize;

use crate::error::{ClientError, UsageError};

/// Environment variable with the path of the settings file, used when `--config` is absent.
pub const CONFIG_VARIABLE: &str = "HIBISCUSVALE_CONFIG";

/// Environment variables with the operator's name, by precedence.
const AUTHOR_VARIABLES: [&str; 3] = ["HIBISCUSVALE_AUTHOR", "USER", "LOGNAME"];

/// Author when neither the settings nor the environment give one.
const UNKNOWN_AUTHOR: &str = "unknown";

/// The client's settings, merged from its settings file and the command line.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Context {
    /// Address of the platform's log.
    pub log: Option<SocketAddr>,
    /// Operator addresses of the daemons; empty if not given.
    pub hosts: Vec<SocketAddr>,
    /// Partner whose classes are managed.
    pub partner: Option<PartnerId>,
    /// File with the partner's secret key.
    pub key_file: Option<PathBuf>,
    /// Author recorded in the history; taken from the environment if absent.
    pub author: Option<String>,
}

impl Context {
    /// Reads the settings file at `path`. A relative `key_file` is resolved against the directory of `path`.
    ///
    /// # Errors
    ///
    /// [`ClientError::Read`] if the file cannot be read, [`ClientError::BadFile`] if it is not valid.
    pub fn load(path: &Path) -> Result<Self, ClientError> {
        let text = read_text(path)?;
        let mut context: Self = toml::from_str(&text).map_err(|error| toml_error(path, &text, &error))?;
        context.key_file = context
            .key_file
            .map(|file| path.parent().map_or_else(|| file.clone(), |parent| parent.join(&file)));
        Ok(context)
    }

    /// Overrides these settings with those that `flags`, from the command line, sets.
    #[must_use]
    pub fn overridden_by(self, flags: Self) -> Self {
        Self {
            log: flags.log.or(self.log),
            hosts: if flags.hosts.is_empty() { self.hosts } else { flags.hosts },
            partner: flags.partner.or(self.partner),
            key_file: flags.key_file.or(self.key_file),
            author: flags.author.or(self.author),
        }
    }

    /// Address of the platform's log.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`] if it is not set.
    pub fn log(&self) -> Result<SocketAddr, ClientError> {
        self.log.ok_or(ClientError::Missing { setting: "log", option: "log" })
    }

    /// Operator addresses of the daemons, at least one.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`] if none is set.
    pub fn hosts(&self) -> Result<&[SocketAddr], ClientError> {
        if self.hosts.is_empty() {
            return Err(ClientError::Missing { setting: "hosts", option: "host" });
        }
        Ok(&self.hosts)
    }

    /// Partner whose classes are managed.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`] if it is not set.
    pub fn partner(&self) -> Result<&PartnerId, ClientError> {
        self.partner.as_ref().ok_or(ClientError::Missing { setting: "partner", option: "partner" })
    }

    /// Reads the partner's secret key from the key file.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no key file is set, it cannot be read, or it does not hold a key.
    pub fn key(&self) -> Result<SigningKey, ClientError> {
        let path = self
            .key_file
            .as_deref()
            .ok_or(ClientError::Missing { setting: "key_file", option: "key-file" })?;
        let text = read_text(path)?;
        let bytes = blake3::Hash::from_hex(text.trim()).map_err(|_| ClientError::BadFile {
            path: path.to_owned(),
            line: None,
            message: "is not a key of 64 hexadecimal digits; generate one with 'hibiscusvale keygen publish'"
                .to_owned(),
        })?;
        Ok(SigningKey::from_bytes(bytes.as_bytes()))
    }

    /// Author of changes, from the settings or the environment.
    ///
    /// # Errors
    ///
    /// [`ClientError::Usage`] if the name is not a valid author.
    pub fn author(&self) -> Result<Author, ClientError> {
        let named = self.author.clone();
        let name =
            named.or_else(|| AUTHOR_VARIABLES.iter().find_map(|variable| std::env::var(variable).ok()));
        let name = name.unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned());
        name.parse().map_err(|error| ClientError::Usage(UsageError::Author(error)))
    }
}

pub(crate) fn read_text(path: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(path).map_err(|source| ClientError::Read { path: path.to_owned(), source })
}

/// Converts a TOML error in `text`, read from `path`, with its line number.
pub(crate) fn toml_error(path: &Path, text: &str, error: &toml::de::Error) -> ClientError {
    let line = error.span().map(|span| line_number(text, span.start));
    ClientError::BadFile { path: path.to_owned(), line, message: error.message().to_owned() }
}

/// Line number, from 1, of a byte position in a text.
pub(crate) fn line_number(text: &str, position: usize) -> usize {
    let end = text.floor_char_boundary(position.min(text.len()));
    text[..end].matches('\n').count() + 1
}
