//! The operators' command-line client as a library, so that tests can call it without starting a process.

pub mod classes;
pub mod cmd;
pub mod context;
pub mod error;
pub mod hosts;
mod log_line;
pub mod manual;
pub mod publisher;
pub mod report;
pub mod request_trace;
pub mod stream_outcomes;

use std::process::ExitCode;

use crate::cmd::Args;

/// Runs the command given on the command line, prints its result and returns the exit code.
pub fn main() -> ExitCode {
    let args = Args::parse();
    let is_json = args.json;
    match args.run() {
        Ok(report) => {
            report.print(is_json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            report::print_error(&error, is_json);
            ExitCode::from(error::exit_code(&error))
        }
    }
}
