//! What can go wrong, what an operator does next, and the exit code that tells a script.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hibiscusvale::external::LogFailure;
use hibiscusvale::operators::OperatorClientError;
use hibiscusvale_core::ids::{ChangeId, Offset};

/// Exit codes and what they mean. They are part of the interface; scripts rely on them.
pub const EXIT_CODES: [ExitCodeDoc; 9] = [
    ExitCodeDoc::new(0, "done"),
    ExitCodeDoc::new(1, "another failure, such as a file that cannot be written"),
    ExitCodeDoc::new(
        2,
        "the command line, a class file or the client's settings cannot be used; nothing changed",
    ),
    ExitCodeDoc::new(3, "no host answered"),
    ExitCodeDoc::new(4, "the change was rejected; nothing changed"),
    ExitCodeDoc::new(5, "the log did not take the change; nothing changed"),
    ExitCodeDoc::new(6, "it is not known whether the change counts"),
    ExitCodeDoc::new(7, "not in force on every host in time"),
    ExitCodeDoc::new(8, "not found"),
];

/// An exit code with its meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExitCodeDoc {
    /// The code.
    pub code: u8,
    /// When it is returned.
    pub meaning: &'static str,
}

impl ExitCodeDoc {
    const fn new(code: u8, meaning: &'static str) -> Self {
        Self { code, meaning }
    }
}

const EXIT_OTHER: u8 = 1;

/// A failure of the client. Each says what to do next.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A file could not be read.
    #[error("could not read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not what it should be.
    #[error("{}{}: {message}", path.display(), line.map(|line| format!(":{line}")).unwrap_or_default())]
    BadFile {
        /// The file.
        path: PathBuf,
        /// The line, from 1, where one is known.
        line: Option<usize>,
        /// What is wrong with it.
        message: String,
    },
    /// A setting that the command needs is not given.
    #[error("{setting} is not given; put it into the file named by --config or pass --{option}")]
    Missing {
        /// The setting.
        setting: &'static str,
        /// The option that gives it.
        option: &'static str,
    },
    /// The command line asks for something that does not go together.
    #[error("{0}")]
    Usage(UsageError),
    /// No host answered.
    #[error("no host answered ({}); check the addresses under hosts, or whether the daemons run", ListOf(.0))]
    NoHost(Vec<HostFailure>),
    /// The change was rejected at its place in the log.
    #[error("change {change_id} at offset {offset} was rejected: {detail}; {next}")]
    Rejected {
        /// The change.
        change_id: ChangeId,
        /// Where it stands.
        offset: Offset,
        /// Why.
        detail: String,
        /// What to do.
        next: String,
    },
    /// The log did not take the change.
    #[error(
        "nothing was published: the log is {cause}; what is in force stays in force, publish again later"
    )]
    NotAppended {
        /// Why.
        cause: LogFailure,
    },
    /// It is not known whether the change counts.
    #[error(
        "it is not known whether change {change_id} counts: {cause}; run 'hibiscusvale history' and look for it, \
         or publish again, which changes nothing if it does"
    )]
    Unknown {
        /// The change.
        change_id: ChangeId,
        /// Why.
        cause: String,
    },
    /// The change is behind what is in force, and left no trace.
    #[error(
        "change {change_id} stands at offset {offset}, behind what is in force: the log was shortened or emptied; \
         tell whoever runs the platform, and see 'the log was shortened' in OPERATORS.md"
    )]
    LogShorter {
        /// The change.
        change_id: ChangeId,
        /// Where it stands.
        offset: Offset,
    },
    /// Some hosts lag.
    #[error(
        "offset {offset} is not in force yet on {}; 'hibiscusvale status' shows why, 'hibiscusvale wait' waits on",
        .hosts.join(", ")
    )]
    NotInForce {
        /// The record that is waited for.
        offset: Offset,
        /// The hosts that lag or do not answer.
        hosts: Vec<String>,
    },
    /// No host remembers the request.
    #[error(
        "no host remembers request {request_id}; only the latest are kept, and only until the host is replaced"
    )]
    NotFound {
        /// The request.
        request_id: String,
    },
    /// No log has a line of the request.
    #[error(
        "no line of {id} in {files} log files; lines are left out under load, so ask for its metrics and its retries"
    )]
    NotLogged {
        /// The request's name.
        id: String,
        /// Files that were read.
        files: usize,
    },
}

/// A command line that does not go together.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UsageError {
    /// No command.
    #[error("no command given; 'hibiscusvale --help' lists them")]
    NoCommand,
    /// Neither a file nor a class.
    #[error("nothing to publish; give a class file, or --class with its target")]
    NothingToPublish,
    /// A class without its target.
    #[error("class {class} needs --first-token-ms and --per-token-ms, or --response-ms")]
    NoTarget {
        /// The class.
        class: String,
    },
    /// No class to delete.
    #[error("nothing to delete; name the classes")]
    NothingToDelete,
    /// Not a shell.
    #[error("{found:?} is not a shell; bash, fish and zsh are known")]
    Shell {
        /// What was asked for.
        found: String,
    },
    /// Not a kind of key.
    #[error("{found:?} is not a kind of key; publish, token and peers are known")]
    KeyKind {
        /// What was asked for.
        found: String,
    },
    /// A change that no daemon would take.
    #[error("the change has {bytes} bytes, at most {limit_bytes} are taken; publish it in parts")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The largest size.
        limit_bytes: usize,
    },
    /// An author's name that cannot stand.
    #[error("{0}")]
    Author(#[from] hibiscusvale_core::config::ParseAuthorError),
}

/// A host that did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{host}: {failure}")]
pub struct HostFailure {
    /// Its operator address.
    pub host: SocketAddr,
    /// Why.
    pub failure: OperatorClientError,
}

struct ListOf<'a>(&'a [HostFailure]);

impl std::fmt::Display for ListOf<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut failures = self.0.iter();
        if let Some(first) = failures.next() {
            write!(f, "{first}")?;
        }
        failures.try_for_each(|failure| write!(f, ", {failure}"))
    }
}

impl ClientError {
    /// The exit code that tells a script what happened.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::BadFile { .. } | Self::Missing { .. } | Self::Usage(_) => 2,
            Self::NoHost(_) => 3,
            Self::Rejected { .. } => 4,
            Self::NotAppended { .. } => 5,
            Self::Unknown { .. } | Self::LogShorter { .. } => 6,
            Self::NotInForce { .. } => 7,
            Self::NotFound { .. } | Self::NotLogged { .. } => 8,
        }
    }
}

/// The exit code for whatever a command returned.
pub fn exit_code(error: &anyhow::Error) -> u8 {
    error.downcast_ref::<ClientError>().map_or(EXIT_OTHER, ClientError::exit_code)
}
