//! Man pages and shell completions, generated from the command line's own help.
//!
//! They are committed under `man/` and `completions/`, and a test fails when they are out of date.

mod complete;
mod page;
mod programs;

use std::str::FromStr;

pub use self::programs::{client, daemon};

/// Documentation of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Program {
    /// Name of the executable.
    pub name: &'static str,
    /// Manual section of the man page.
    pub section: u8,
    /// One-line summary.
    pub about: &'static str,
    /// Paragraphs of the description.
    pub description: &'static [&'static str],
    /// Usage text of the global options.
    pub usage: String,
    /// Commands, in the order of the man page.
    pub commands: Vec<CommandDoc>,
    /// Sections after the commands.
    pub sections: Vec<SectionDoc>,
}

/// Documentation of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandDoc {
    /// Name of the command.
    pub name: String,
    /// One-line summary.
    pub help: String,
    /// Usage text, as `--help` prints it.
    pub usage: String,
}

/// A section of a man page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SectionDoc {
    /// Heading of the section.
    pub heading: &'static str,
    /// Entries, in order.
    pub entries: Vec<EntryDoc>,
}

/// A term with its explanation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryDoc {
    /// Term that is explained.
    pub term: String,
    /// Explanation of the term.
    pub text: String,
}

/// Shells with generated completions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Fish.
    Fish,
    /// Z shell.
    Zsh,
}

/// The text is not the name of a supported shell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("shell is not supported")]
pub struct ParseShellError;

impl FromStr for Shell {
    type Err = ParseShellError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "bash" => Ok(Self::Bash),
            "fish" => Ok(Self::Fish),
            "zsh" => Ok(Self::Zsh),
            _ => Err(ParseShellError),
        }
    }
}

/// An option or positional argument, as a usage text lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct UsageLine {
    /// Option with its value, or positional argument.
    pub(crate) term: String,
    /// Help text.
    pub(crate) help: String,
}

impl UsageLine {
    /// Long form of an option with its dashes; `None` for a positional argument.
    pub(crate) fn long(&self) -> Option<&str> {
        self.term.split([' ', ',']).find(|word| word.starts_with("--"))
    }
}

/// Parses the option and argument lines of a usage text: indented, with two spaces before the help.
pub(crate) fn usage_lines(usage: &str) -> Vec<UsageLine> {
    let described = usage.lines().filter(|line| line.starts_with("  "));
    let split = described.filter_map(|line| {
        let (term, help) = line.trim().split_once("  ")?;
        Some(UsageLine { term: term.trim().to_owned(), help: help.trim().to_owned() })
    });
    split.collect()
}
