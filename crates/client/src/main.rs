//! The operators' client of hibiscusvale.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    hibiscusvale_cli::main()
}
