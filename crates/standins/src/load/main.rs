//! Load generator: sends requests to daemons and reports their outcomes.

use std::process::ExitCode;

use gumdrop::Options;
use hibiscusvale_standins::load::cmd::{Arguments, run};

/// Exit code of a completed run with findings.
const EXIT_FINDINGS: u8 = 1;

/// Exit code of a run that could not be completed.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(Arguments::parse_args_default_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FINDINGS),
        Err(error) => {
            eprintln!("hibiscusvale-load: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
