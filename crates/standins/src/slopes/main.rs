//! Measures how the control-plane cost scales with the number of daemons: as state machines on a virtual clock, and
//! as real processes started by `scripts/bench-slopes`.

mod cmd;
mod fit;
#[path = "../../../core/tests/nodes/harness.rs"]
#[expect(dead_code, reason = "other parts are used only by the state machine tests")]
mod harness;
mod plot;
mod procs;
mod virtual_time;
mod watch;

use std::process::ExitCode;

use gumdrop::Options;

use crate::cmd::Arguments;

fn main() -> ExitCode {
    match Arguments::parse_args_default_or_exit().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusvale-slopes: {error:#}");
            ExitCode::FAILURE
        }
    }
}
