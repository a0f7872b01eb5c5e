//! Subcommands of the load tool.

use anyhow::Context;
use gumdrop::Options;

pub mod latency;
pub mod mixed;

/// Arguments of the load tool.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "compare the latency of the same call on several routes")]
    Latency(latency::Latency),
    #[options(help = "send a mixed load and audit its outcomes")]
    Mixed(mixed::Mixed),
}

/// Runs the subcommand; returns false if the run has findings.
///
/// # Errors
/// The run could not be completed.
pub fn run(arguments: Arguments) -> anyhow::Result<bool> {
    let Some(command) = arguments.command else {
        anyhow::bail!("no subcommand; see --help");
    };
    let runtime = tokio::runtime::Runtime::new().context("could not start the Tokio runtime")?;
    match command {
        Command::Latency(options) => runtime.block_on(options.run()),
        Command::Mixed(options) => runtime.block_on(options.run()),
    }
}
