//! Command-line client for the operators of hibiscusvale.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    hibiscusvale_cli::main()
}
