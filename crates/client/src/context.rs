//! Who the operator is and where the system is: the client's settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ed25519_dalek::SigningKey;
use hibiscusvale_core::config::Author;
use hibiscusvale_core::ids::PartnerId;
use serde::Deserialize;

use crate::error::{ClientError, UsageError};

/// Variable that names the settings file when `--config` does not.
pub const CONFIG_VARIABLE: &str = "HIBISCUSVALE_CONFIG";

/// Variables that name the operator, in the order in which they are asked.
const AUTHOR_VARIABLES: [&str; 3] = ["HIBISCUSVALE_AUTHOR", "USER", "LOGNAME"];

/// Name of an operator whom nothing names.
const UNKNOWN_AUTHOR: &str = "unknown";

/// The client's settings, from its file and the command line.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Context {
    /// Address of the platform's log.
    pub log: Option<SocketAddr>,
    /// Operator addresses of the daemons.
    pub hosts: Vec<SocketAddr>,
    /// The partner whose classes are managed.
    pub partner: Option<PartnerId>,
    /// File with the partner's secret key.
    pub key_file: Option<PathBuf>,
    /// Who changes things, for the history.
    pub author: Option<String>,
}

impl Context {
    /// Reads the settings file at `path`. A key file in it is relative to it.
    ///
    /// # Errors
    ///
    /// [`ClientError::Read`] or [`ClientError::BadFile`].
    pub fn load(path: &Path) -> Result<Self, ClientError> {
        let text = read(path)?;
        let mut context: Self = toml::from_str(&text).map_err(|error| bad_toml(path, &text, &error))?;
        context.key_file = context
            .key_file
            .map(|file| path.parent().map_or_else(|| file.clone(), |parent| parent.join(&file)));
        Ok(context)
    }

    /// Takes from `flags` what the command line gives.
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

    /// The log's address.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`].
    pub fn log(&self) -> Result<SocketAddr, ClientError> {
        self.log.ok_or(ClientError::Missing { setting: "log", option: "log" })
    }

    /// The daemons' operator addresses.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`].
    pub fn hosts(&self) -> Result<&[SocketAddr], ClientError> {
        if self.hosts.is_empty() {
            return Err(ClientError::Missing { setting: "hosts", option: "host" });
        }
        Ok(&self.hosts)
    }

    /// The partner.
    ///
    /// # Errors
    ///
    /// [`ClientError::Missing`].
    pub fn partner(&self) -> Result<&PartnerId, ClientError> {
        self.partner.as_ref().ok_or(ClientError::Missing { setting: "partner", option: "partner" })
    }

    /// The partner's secret key.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when no file is named or it holds no key.
    pub fn key(&self) -> Result<SigningKey, ClientError> {
        let path = self
            .key_file
            .as_deref()
            .ok_or(ClientError::Missing { setting: "key_file", option: "key-file" })?;
        let text = read(path)?;
        let bytes = blake3::Hash::from_hex(text.trim()).map_err(|_| ClientError::BadFile {
            path: path.to_owned(),
            line: None,
            message: "is not a key of 64 hexadecimal digits; 'hibiscusvale keygen publish' makes one"
                .to_owned(),
        })?;
        Ok(SigningKey::from_bytes(bytes.as_bytes()))
    }

    /// Who changes things.
    ///
    /// # Errors
    ///
    /// [`ClientError::Usage`] when the name cannot stand.
    pub fn author(&self) -> Result<Author, ClientError> {
        let named = self.author.clone();
        let name =
            named.or_else(|| AUTHOR_VARIABLES.iter().find_map(|variable| std::env::var(variable).ok()));
        let name = name.unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned());
        name.parse().map_err(|error| ClientError::Usage(UsageError::Author(error)))
    }
}

/// Reads a text file.
pub(crate) fn read(path: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(path).map_err(|source| ClientError::Read { path: path.to_owned(), source })
}

/// What is wrong with a TOML file, and where.
pub(crate) fn bad_toml(path: &Path, text: &str, error: &toml::de::Error) -> ClientError {
    let line = error.span().map(|span| line_at(text, span.start));
    ClientError::BadFile { path: path.to_owned(), line, message: error.message().to_owned() }
}

/// The line, from 1, of a position in a text.
pub(crate) fn line_at(text: &str, position: usize) -> usize {
    let end = text.floor_char_boundary(position.min(text.len()));
    text[..end].matches('\n').count() + 1
}
