//! The command line.

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
    /// Whether help was asked for; the parser answers it.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether the version was asked for.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Whether to print for scripts.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The client's settings.
    #[options(meta = "FILE", help = "client settings; default is $HIBISCUSVALE_CONFIG")]
    pub config: Option<PathBuf>,
    /// The platform's log.
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's log")]
    pub log: Option<SocketAddr>,
    /// Daemons.
    #[options(no_short, meta = "IP:PORT", help = "operator address of a daemon; may be given again")]
    pub host: Vec<SocketAddr>,
    /// The partner.
    #[options(no_short, meta = "NAME", help = "the partner whose classes are managed")]
    pub partner: Option<PartnerId>,
    /// The partner's secret key.
    #[options(no_short, meta = "FILE", help = "file with the partner's secret key")]
    pub key_file: Option<PathBuf>,
    /// Who changes things.
    #[options(no_short, meta = "NAME", help = "who changes things, for the history")]
    pub author: Option<String>,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Shell completions.
    #[options(help = "print completions for a shell")]
    Completions(completions::Completions),
    /// Deletes classes.
    #[options(help = "delete classes")]
    Delete(delete::Delete),
    /// Who changed what.
    #[options(help = "show who changed what, and what was rejected")]
    History(history::History),
    /// Makes keys.
    #[options(help = "make a key or a token")]
    Keygen(keygen::Keygen),
    /// Lists classes.
    #[options(help = "list the classes in force")]
    List(list::List),
    /// Counts what streams came to.
    #[options(help = "count what streams came to, from log files")]
    Losses(losses::Losses),
    /// Man pages.
    #[options(help = "print a man page")]
    Man(man::Man),
    /// Lists daemons.
    #[options(help = "list the daemons that a host knows")]
    Members(members::Members),
    /// Counts by partner and class.
    #[options(help = "show goodput, wasted prefill, refusals and retries")]
    Outcomes(outcomes::Outcomes),
    /// Publishes classes.
    #[options(help = "publish classes and targets")]
    Publish(publish::Publish),
    /// What is in force where.
    #[options(help = "show what is in force on which host")]
    Status(status::Status),
    /// Tells a request's story.
    #[options(help = "tell what became of a request, from log files")]
    Story(story::Story),
    /// Checks a class file.
    #[options(help = "check a class file")]
    Validate(validate::Validate),
    /// Waits for a version.
    #[options(help = "wait until a version is in force on every host")]
    Wait(wait::Wait),
    /// Explains a request.
    #[options(help = "explain what became of a request")]
    Why(why::Why),
}

impl Args {
    /// Reads the command line; ends the process when it asks for help or is not understood.
    pub fn parse() -> Self {
        Self::parse_args_default_or_exit()
    }

    /// Does what the command line says.
    ///
    /// # Errors
    ///
    /// Whatever went wrong, for [`exit_code`](crate::error::exit_code).
    pub fn run(self) -> anyhow::Result<Report> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.execute())
    }

    /// Does what the command line says, on the caller's runtime.
    ///
    /// # Errors
    ///
    /// Whatever went wrong.
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

/// All commands with their usage, for the man page and the completions.
pub fn command_docs() -> Vec<CommandDoc> {
    let names = Command::command_list().unwrap_or_default();
    let docs = names.lines().filter_map(|line| {
        let (name, help) = line.trim().split_once(' ')?;
        let usage = Command::command_usage(name)?;
        Some(CommandDoc { name: name.to_owned(), help: help.trim().to_owned(), usage: usage.to_owned() })
    });
    docs.collect()
}

/// Usage of the options that stand before a command.
pub fn global_usage() -> &'static str {
    Args::usage()
}
