//! What the operators' client does, as a library, so that tests call it without starting a process.

pub mod classes;
pub mod cmd;
pub mod context;
pub mod error;
pub mod hosts;
mod log_line;
pub mod losses;
pub mod manual;
pub mod publisher;
pub mod report;
pub mod story;

use std::process::ExitCode;

use crate::cmd::Args;

/// Reads the command line, does what it says, prints the result, and tells the shell how it went.
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
