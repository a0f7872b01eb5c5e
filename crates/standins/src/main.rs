//! Runs the mock servers of a plan in one process until SIGTERM or SIGINT.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use gumdrop::Options;
use hibiscusvale_standins::plan::Plan;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file that lists the servers to run", required)]
    plan: PathBuf,
    #[options(help = "JSON file to write the addresses to")]
    addresses: Option<PathBuf>,
    #[options(help = "file to write the addresses to as NAME=ADDRESS lines")]
    env: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Arguments::parse_args_default_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusvale-standins: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&arguments.plan)
        .with_context(|| format!("could not read {}", arguments.plan.display()))?;
    let plan: Plan = toml::from_str(&text).context("could not parse the plan")?;
    let runtime = tokio::runtime::Runtime::new().context("could not start the Tokio runtime")?;
    runtime.block_on(serve(plan, arguments))
}

async fn serve(plan: Plan, arguments: &Arguments) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not install the signal handler")?;
    let running = plan.start().await.context("could not start the mock servers")?;
    if let Some(path) = &arguments.addresses {
        write_atomically(path, &serde_json::to_vec_pretty(&running.addresses)?)?;
    }
    if let Some(path) = &arguments.env {
        write_atomically(path, running.addresses.to_shell().as_bytes())?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

/// Writes to a temporary file and renames it, so that a reader polling for `path` never sees a partial file.
fn write_atomically(path: &Path, bytes: &[u8]) -> anyhow::Result<()> {
    let partial = path.with_extension("partial");
    std::fs::write(&partial, bytes).with_context(|| format!("could not write {}", partial.display()))?;
    std::fs::rename(&partial, path).with_context(|| format!("could not write {}", path.display()))
}
