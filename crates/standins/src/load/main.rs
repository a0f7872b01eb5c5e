//! Sends load to daemons and reports what came of it.

use std::process::ExitCode;

use gumdrop::Options;
use hibiscusvale_standins::load::cmd::{Arguments, run};

/// Exit code when the run ended but its findings are not clean.
const FINDINGS: u8 = 1;

/// Exit code when the run could not be made.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(Arguments::parse_args_default_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FINDINGS),
        Err(error) => {
            eprintln!("hibiscusvale-load: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}
