//! Errors in settings files with their position.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Failure to load settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("could not read settings file {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The file is not valid.
    #[error("invalid settings:{}", ProblemList(.0))]
    Invalid(Vec<SettingsProblem>),
}

/// One problem and its position. It never contains values of secret keys.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsProblem {
    /// Line in the file, from 1; 0 when the key does not occur.
    pub line: usize,
    /// Dotted name of the key; empty when unknown.
    pub key: String,
    /// Kind of the problem with the allowed values.
    pub fault: SettingsFault,
}

/// Kind of a settings problem.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// Not TOML, an unknown key, a missing key or a value of another type.
    #[error("{message}")]
    Syntax {
        /// Message of the parser, which names the allowed keys.
        message: String,
    },
    /// A number outside its range.
    #[error("is {value}, allowed is {min} to {max}")]
    OutOfRange {
        /// Value in the file.
        value: f64,
        /// Minimum allowed value.
        min: f64,
        /// Maximum allowed value.
        max: f64,
    },
    /// A string of the wrong form.
    #[error("is {value:?}, allowed is {allowed}")]
    Form {
        /// Value in the file.
        value: String,
        /// Description of the allowed form.
        allowed: &'static str,
    },
    /// Two partners share a bearer token, so their callers could not be told apart.
    #[error(
        "contains a token hash that is also listed for partner {other}; each partner needs its own tokens"
    )]
    SharedToken {
        /// Other partner that lists the hash.
        other: String,
    },
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, "{} ", self.key)?;
        }
        write!(f, "{}", self.fault)
    }
}

struct ProblemList<'a>(&'a [SettingsProblem]);

impl fmt::Display for ProblemList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}

/// Line number, from 1, of the byte at `position`.
pub(super) fn line_at(text: &str, position: usize) -> usize {
    let end = position.min(text.len());
    text[..text.floor_char_boundary(end)].matches('\n').count() + 1
}

/// Converts a parser error. The parser's display quotes the source line, which may contain a secret, so only its
/// message and position are kept, with the key from the left side of the line.
pub(super) fn syntax(text: &str, error: &toml::de::Error) -> SettingsProblem {
    let line = error.span().map_or(0, |span| line_at(text, span.start));
    let source_line = line.checked_sub(1).and_then(|index| text.lines().nth(index)).unwrap_or_default();
    let key = source_line.split_once('=').map_or("", |(key, _)| key.trim());
    SettingsProblem {
        line,
        key: key.to_owned(),
        fault: SettingsFault::Syntax { message: error.message().to_owned() },
    }
}
