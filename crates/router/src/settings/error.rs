//! What can be wrong with a settings file, with the place where it is.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("could not read settings {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file says something that cannot stand.
    #[error("settings cannot be used:{}", ListOf(.0))]
    Invalid(Vec<SettingsProblem>),
}

/// One thing that is wrong, and where. Values of secret keys never appear in it.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsProblem {
    /// Line in the file, from 1; 0 when the key is missing altogether.
    pub line: usize,
    /// Dotted name of the key, as far as known.
    pub key: String,
    /// What is wrong with it, and what is allowed.
    pub fault: SettingsFault,
}

/// What is wrong with one key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// Not TOML, an unknown key, a missing key or a value of another type.
    #[error("{message}")]
    Syntax {
        /// The parser's words, which name the keys that are allowed.
        message: String,
    },
    /// A number outside its range.
    #[error("is {value}, allowed is {least} to {most}")]
    OutOfRange {
        /// What the file says.
        value: f64,
        /// Smallest allowed value.
        least: f64,
        /// Largest allowed value.
        most: f64,
    },
    /// A text of another form.
    #[error("is {value:?}, allowed is {allowed}")]
    Form {
        /// What the file says.
        value: String,
        /// What it has to look like.
        allowed: &'static str,
    },
    /// Two partners with one bearer token could not be told apart.
    #[error("lists a token hash that partner {other} lists too, each partner needs tokens of its own")]
    SharedToken {
        /// The other partner.
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

struct ListOf<'a>(&'a [SettingsProblem]);

impl fmt::Display for ListOf<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}

/// Line, from 1, of the byte at `position`.
pub(super) fn line_at(text: &str, position: usize) -> usize {
    let end = position.min(text.len());
    text[..text.floor_char_boundary(end)].matches('\n').count() + 1
}

/// Turns the parser's error into a problem. The parser's own display quotes the line, which may hold a secret,
/// so only its message and place are kept, and the key read from the left of the line.
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
