//! Command line of the client.

mod completions;
mod delete;
mod history;
mod keygen;
mod list;
mod logs;
mod losses;
mod man;
mod members;
mod outcomes;
mod publish;
mod status;
mod story;
mod validate;
mod wait;
mod why;

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use hibiscusvale_core::ids::PartnerId;

use crate::context::{CONFIG_VARIABLE, Context};
use crate::error::{ClientError, UsageError};
use crate::manual::CommandDoc;
use crate::report::Report;

/// Arguments of `hibiscusvale`.
#[derive(Debug, Options)]
pub struct Args {
    /// Whether to print the help; handled by the parser.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Whether to print JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// Path of the client's settings file.
    #[options(meta = "FILE", help = "client settings; default is $HIBISCUSVALE_CONFIG")]
    pub config: Option<PathBuf>,
    /// Address of the platform's log.
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's log")]
    pub log: Option<SocketAddr>,
    /// Operator addresses of the daemons.
    #[options(no_short, meta = "IP:PORT", help = "operator address of a daemon; may be repeated")]
    pub host: Vec<SocketAddr>,
    /// Partner whose classes are managed.
    #[options(no_short, meta = "NAME", help = "the partner whose classes are managed")]
    pub partner: Option<PartnerId>,
    /// Path of the partner's secret key.
    #[options(no_short, meta = "FILE", help = "file with the partner's secret key")]
    pub key_file: Option<PathBuf>,
    /// Author recorded in the history.
    #[options(no_short, meta = "NAME", help = "author recorded in the history")]
    pub author: Option<String>,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Prints shell completions.
    #[options(help = "print completions for a shell")]
    Completions(completions::Completions),
    /// Deletes classes.
    #[options(help = "delete classes")]
    Delete(delete::Delete),
    /// Shows the history of changes.
    #[options(help = "show published changes with their authors and verdicts")]
    History(history::History),
    /// Generates keys.
    #[options(help = "generate a key or a token")]
    Keygen(keygen::Keygen),
    /// Lists classes.
    #[options(help = "list the classes in force")]
    List(list::List),
    /// Counts stream outcomes.
    #[options(help = "count stream outcomes in log files")]
    Losses(losses::Losses),
    /// Prints man pages.
    #[options(help = "print a man page")]
    Man(man::Man),
    /// Lists members.
    #[options(help = "list the members of the system as seen by each host")]
    Members(members::Members),
    /// Shows outcome counters by partner and class.
    #[options(help = "show goodput, wasted prefill, refusals and retries")]
    Outcomes(outcomes::Outcomes),
    /// Publishes classes.
    #[options(help = "publish classes and targets")]
    Publish(publish::Publish),
    /// Shows the state of each host.
    #[options(help = "show the version in force and the state of each host")]
    Status(status::Status),
    /// Traces a request.
    #[options(help = "trace a request through log files")]
    Story(story::Story),
    /// Validates a class file.
    #[options(help = "validate a class file")]
    Validate(validate::Validate),
    /// Waits for a version.
    #[options(help = "wait until a version is in force on every host")]
    Wait(wait::Wait),
    /// Explains the outcome of a request.
    #[options(help = "explain the outcome of a request")]
    Why(why::Why),
}

impl Args {
    /// Parses the command line; exits the process after printing help or a usage error.
    pub fn parse() -> Self {
        Self::parse_args_default_or_exit()
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// The error of the command, for [`exit_code`](crate::error::exit_code).
    pub fn run(self) -> anyhow::Result<Report> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.execute())
    }

    /// Runs the command on the caller's runtime.
    ///
    /// # Errors
    ///
    /// The error of the command.
    pub async fn execute(self) -> anyhow::Result<Report> {
        if self.version {
            return Ok(Report::raw(format!("hibiscusvale {}", env!("CARGO_PKG_VERSION"))));
        }
        let Some(command) = self.command else {
            return Err(ClientError::Usage(UsageError::NoCommand).into());
        };
        let flags = Context {
            log: self.log,
            hosts: self.host,
            partner: self.partner,
            key_file: self.key_file,
            author: self.author,
        };
        let file = self.config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
        let context = file.as_deref().map(Context::load).transpose()?.unwrap_or_default();
        command.execute(&context.overridden_by(flags)).await
    }
}

impl Command {
    async fn execute(self, context: &Context) -> anyhow::Result<Report> {
        let report = match self {
            Self::Completions(command) => command.run()?,
            Self::Delete(command) => command.run(context).await?,
            Self::History(command) => command.run(context).await?,
            Self::Keygen(command) => return command.run(),
            Self::List(command) => command.run(context).await?,
            Self::Losses(command) => command.run()?,
            Self::Man(command) => command.run(),
            Self::Members(command) => command.run(context).await?,
            Self::Outcomes(command) => command.run(context).await?,
            Self::Publish(command) => command.run(context).await?,
            Self::Status(command) => command.run(context).await?,
            Self::Story(command) => command.run()?,
            Self::Validate(command) => command.run()?,
            Self::Wait(command) => command.run(context).await?,
            Self::Why(command) => command.run(context).await?,
        };
        Ok(report)
    }
}

/// Documentation of all commands, for the man page and the completions.
pub fn command_docs() -> Vec<CommandDoc> {
    let names = Command::command_list().unwrap_or_default();
    let docs = names.lines().filter_map(|line| {
        let (name, help) = line.trim().split_once(' ')?;
        let usage = Command::command_usage(name)?;
        Some(CommandDoc { name: name.to_owned(), help: help.trim().to_owned(), usage: usage.to_owned() })
    });
    docs.collect()
}

/// Usage text of the global options.
pub fn global_usage() -> &'static str {
    Args::usage()
}
