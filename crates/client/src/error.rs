//! Errors of the client, with the operator's next step, and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hibiscusvale::external::LogFailure;
use hibiscusvale::operators::OperatorClientError;
use hibiscusvale_core::ids::{ChangeId, Offset};

/// Exit codes with their meaning. Scripts rely on them, so they are a stable part of the interface.
pub const EXIT_CODES: [ExitCodeDoc; 9] = [
    ExitCodeDoc::new(0, "success"),
    ExitCodeDoc::new(1, "other failure, such as a file that cannot be written"),
    ExitCodeDoc::new(2, "invalid command line, class file or client settings; nothing changed"),
    ExitCodeDoc::new(3, "no host answered"),
    ExitCodeDoc::new(4, "the change was rejected; nothing changed"),
    ExitCodeDoc::new(5, "the log did not accept the change; nothing changed"),
    ExitCodeDoc::new(6, "unknown whether the change took effect"),
    ExitCodeDoc::new(7, "not in force on every host before the timeout"),
    ExitCodeDoc::new(8, "not found"),
];

/// An exit code with its meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExitCodeDoc {
    /// Exit code of the process.
    pub code: u8,
    /// Condition under which it is returned.
    pub meaning: &'static str,
}

impl ExitCodeDoc {
    const fn new(code: u8, meaning: &'static str) -> Self {
        Self { code, meaning }
    }
}

/// Exit code of errors that are not a [`ClientError`].
const EXIT_FAILURE: u8 = 1;

/// An error of the client. Its message names the operator's next step.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A file could not be read.
    #[error("could not read {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the system.
        source: io::Error,
    },
    /// The content of a file is not valid.
    #[error("{}{}: {message}", path.display(), line.map(|line| format!(":{line}")).unwrap_or_default())]
    BadFile {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1; `None` if the error is not tied to a line.
        line: Option<usize>,
        /// Description of the error.
        message: String,
    },
    /// A setting that the command requires is not set.
    #[error("{setting} is not set; add it to the file given with --config or pass --{option}")]
    Missing {
        /// Key in the settings file.
        setting: &'static str,
        /// Command-line option that sets it, without the dashes.
        option: &'static str,
    },
    /// The command line is not valid.
    #[error("{0}")]
    Usage(UsageError),
    /// None of the hosts answered.
    #[error(
        "no host answered ({}); check the addresses under hosts, or that the daemons are running",
        CommaSeparated(.0)
    )]
    NoHostAnswered(Vec<HostFailure>),
    /// The daemons rejected the change when they read it from the log.
    #[error("change {change_id} at offset {offset} was rejected: {detail}; {next}")]
    Rejected {
        /// Id of the change.
        change_id: ChangeId,
        /// Offset of the change in the log.
        offset: Offset,
        /// Reason given by the daemons.
        detail: String,
        /// Next step for the operator.
        next: String,
    },
    /// The log did not accept the change.
    #[error(
        "nothing was published: the log is {cause}; the configuration in force is unchanged, publish again later"
    )]
    NotAppended {
        /// Failure of the last attempt.
        cause: LogFailure,
    },
    /// Whether the change took effect could not be determined.
    #[error(
        "unknown whether change {change_id} took effect: {cause}; look for it in 'hibiscusvale history', \
         or publish again, which has no effect if it did"
    )]
    Unknown {
        /// Id of the change.
        change_id: ChangeId,
        /// Reason why the outcome is unknown.
        cause: String,
    },
    /// The change has an offset below the version in force and is not in the history: the log lost records.
    #[error(
        "change {change_id} was appended at offset {offset}, below the version in force: the log was shortened or \
         emptied; inform the operators of the platform, and see 'the log was shortened' in OPERATORS.md"
    )]
    LogTruncated {
        /// Id of the change.
        change_id: ChangeId,
        /// Offset of the change in the log.
        offset: Offset,
    },
    /// The record is not in force on all hosts before the timeout.
    #[error(
        "offset {offset} is not in force yet on {}; 'hibiscusvale status' shows why, 'hibiscusvale wait' keeps waiting",
        .hosts.join(", ")
    )]
    NotInForce {
        /// Offset of the record.
        offset: Offset,
        /// Hosts that lag or do not answer, each with its version or failure.
        hosts: Vec<String>,
    },
    /// No host has the request among its recent ones.
    #[error(
        "no host has a record of request {request_id}; only recent requests are kept, and only until the daemon restarts"
    )]
    NotFound {
        /// Id of the request.
        request_id: String,
    },
    /// None of the log files has a line about the request.
    #[error(
        "no line about {id} in {files} log files; lines are dropped under load, so check its metrics and its retries"
    )]
    NotLogged {
        /// Call id or request id that was searched for.
        id: String,
        /// Number of log files read.
        files: usize,
    },
}

/// An error in the command line.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UsageError {
    /// No command was given.
    #[error("no command given; 'hibiscusvale --help' lists them")]
    NoCommand,
    /// Neither a class file nor a class was given.
    #[error("nothing to publish; give a class file, or --class with its target")]
    NothingToPublish,
    /// A class was given without a complete target.
    #[error("class {class} needs --first-token-ms and --per-token-ms, or --response-ms")]
    NoTarget {
        /// Name of the class.
        class: String,
    },
    /// No class to delete was given.
    #[error("nothing to delete; name the classes")]
    NothingToDelete,
    /// The shell is not supported.
    #[error("shell {found:?} is not supported; use bash, fish or zsh")]
    Shell {
        /// Value given on the command line.
        found: String,
    },
    /// The kind of key does not exist.
    #[error("{found:?} is not a kind of key; use publish, token or peers")]
    KeyKind {
        /// Value given on the command line.
        found: String,
    },
    /// The signed change is larger than the daemons accept.
    #[error("the change has {bytes} bytes, at most {limit_bytes} are accepted; publish it in parts")]
    TooLarge {
        /// Size of the signed record in bytes.
        bytes: usize,
        /// Largest record in bytes.
        limit_bytes: usize,
    },
    /// The author's name is not valid.
    #[error("{0}")]
    Author(#[from] hibiscusvale_core::config::ParseAuthorError),
}

/// A failed request to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{host}: {failure}")]
pub struct HostFailure {
    /// Operator address of the host.
    pub host: SocketAddr,
    /// Cause of the failure.
    pub failure: OperatorClientError,
}

/// Formats failures as a comma-separated list.
struct CommaSeparated<'a>(&'a [HostFailure]);

impl std::fmt::Display for CommaSeparated<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut failures = self.0.iter();
        if let Some(first) = failures.next() {
            write!(f, "{first}")?;
        }
        failures.try_for_each(|failure| write!(f, ", {failure}"))
    }
}

impl ClientError {
    /// Exit code for this error, as listed in [`EXIT_CODES`].
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::BadFile { .. } | Self::Missing { .. } | Self::Usage(_) => 2,
            Self::NoHostAnswered(_) => 3,
            Self::Rejected { .. } => 4,
            Self::NotAppended { .. } => 5,
            Self::Unknown { .. } | Self::LogTruncated { .. } => 6,
            Self::NotInForce { .. } => 7,
            Self::NotFound { .. } | Self::NotLogged { .. } => 8,
        }
    }
}

/// Exit code for the error of a command.
pub fn exit_code(error: &anyhow::Error) -> u8 {
    error.downcast_ref::<ClientError>().map_or(EXIT_FAILURE, ClientError::exit_code)
}
