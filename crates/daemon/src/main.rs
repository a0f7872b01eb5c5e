//! The hibiscusvale daemon, which runs on each entry host.

mod cmd;
mod signals;

use std::process::ExitCode;

use crate::cmd::Args;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match Args::parse().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusvaled: {error:#}");
            cmd::exit_code(&error)
        }
    }
}
