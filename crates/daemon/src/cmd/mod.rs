//! Command line of the daemon.

mod check;
mod relay;
mod run;

use std::process::ExitCode;

use gumdrop::Options;
use hibiscusvale::settings::SettingsError;

/// Exit code for invalid settings; see `hibiscusvaled(8)`.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for any other failure.
const EXIT_FAILURE: u8 = 1;

/// Arguments of `hibiscusvaled`.
#[derive(Debug, Options)]
pub struct Args {
    /// Whether to print the help; handled by the parser.
    #[options(help = "print this help")]
    help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Checks a settings file.
    #[options(help = "check a settings file and report its errors")]
    Check(check::Check),
    /// Runs the daemon as a relay on the platform.
    #[options(help = "relay requests by the routes in the platform's store")]
    Relay(relay::Relay),
    /// Runs the daemon.
    #[options(help = "run the daemon")]
    Run(run::Run),
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
    /// The error of the command, for [`exit_code`].
    pub fn run(self) -> anyhow::Result<()> {
        if self.version {
            println!("hibiscusvaled {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        match self.command {
            Some(Command::Check(check)) => check.run(),
            Some(Command::Relay(relay)) => relay.run(),
            Some(Command::Run(run)) => run.run(),
            None => anyhow::bail!("no command given; try --help"),
        }
    }
}

/// Exit code for the error of a command.
pub fn exit_code(error: &anyhow::Error) -> ExitCode {
    if error.is::<SettingsError>() { ExitCode::from(EXIT_SETTINGS) } else { ExitCode::from(EXIT_FAILURE) }
}
