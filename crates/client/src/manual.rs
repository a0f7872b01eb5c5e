//! Man pages and shell completions, generated from the command line's own help.
//!
//! They are committed under `man/` and `completions/`, and a test fails when they are out of date.

mod complete;
mod page;
mod programs;

use std::str::FromStr;

pub use self::programs::{client, daemon};

/// What is known of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// Section of the manual.
    pub section: u8,
    /// What it is, in one line.
    pub about: &'static str,
    /// What it does, in paragraphs.
    pub description: &'static [&'static str],
    /// Usage of the options that stand before a command.
    pub usage: String,
    /// Its commands.
    pub commands: Vec<CommandDoc>,
    /// Further sections.
    pub sections: Vec<SectionDoc>,
}

/// A command with its usage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandDoc {
    /// Its name.
    pub name: String,
    /// What it does, in one line.
    pub help: String,
    /// Its usage, as `--help` prints it.
    pub usage: String,
}

/// A section of a man page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SectionDoc {
    /// Its heading.
    pub heading: &'static str,
    /// Its entries.
    pub entries: Vec<EntryDoc>,
}

/// A term with its explanation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryDoc {
    /// The term.
    pub term: String,
    /// What it means.
    pub text: String,
}

/// The shells that completions are made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Fish.
    Fish,
    /// Z shell.
    Zsh,
}

/// A text that names no known shell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("shell is not known")]
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
    /// The option with its value, or the argument.
    pub(crate) term: String,
    /// What it does.
    pub(crate) help: String,
}

impl UsageLine {
    /// The long form of an option.
    pub(crate) fn long(&self) -> Option<&str> {
        self.term.split([' ', ',']).find(|word| word.starts_with("--"))
    }
}

/// The lines of a usage text that describe something: indented, with the help behind two spaces.
pub(crate) fn usage_lines(usage: &str) -> Vec<UsageLine> {
    let described = usage.lines().filter(|line| line.starts_with("  "));
    let split = described.filter_map(|line| {
        let (term, help) = line.trim().split_once("  ")?;
        Some(UsageLine { term: term.trim().to_owned(), help: help.trim().to_owned() })
    });
    split.collect()
}
