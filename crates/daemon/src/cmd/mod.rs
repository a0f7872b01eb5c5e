//! The command line of the daemon.

mod check;
mod relay;
mod run;

use std::process::ExitCode;

use gumdrop::Options;
use hibiscusvale::settings::SettingsError;

/// Exit code of a settings file that was refused; see `hibiscusvaled(8)`.
const EXIT_SETTINGS: u8 = 2;

/// Exit code of any other failure.
const EXIT_FAILURE: u8 = 1;

/// Arguments of `hibiscusvaled`.
#[derive(Debug, Options)]
pub struct Args {
    /// Whether help was asked for; the parser answers it.
    #[options(help = "print this help")]
    help: bool,
    /// Whether the version was asked for.
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Checks a settings file.
    #[options(help = "check a settings file and say what is wrong with it")]
    Check(check::Check),
    /// Runs the daemon on the users' platform.
    #[options(help = "relay by the routes in the platform's store")]
    Relay(relay::Relay),
    /// Runs the daemon.
    #[options(help = "run the daemon")]
    Run(run::Run),
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
    /// Whatever went wrong, for [`exit_code`].
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

/// The exit code for an error.
pub fn exit_code(error: &anyhow::Error) -> ExitCode {
    if error.is::<SettingsError>() { ExitCode::from(EXIT_SETTINGS) } else { ExitCode::from(EXIT_FAILURE) }
}
