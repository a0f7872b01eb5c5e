//! Processor time of another process.

use std::path::PathBuf;
use std::time::Duration;

/// The kernel counts processor time in these units towards programs (`USER_HZ`), on every architecture in use.
const TICKS_PER_SECOND: u64 = 100;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Fields of `/proc/PID/stat` behind the program's name: user time, then system time (proc(5), fields 14, 15).
const USER_TIME_FIELD: usize = 11;

/// Processor time could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CpuError {
    /// The process has ended.
    #[error("could not read the processor time of the process")]
    Gone(#[from] std::io::Error),
    /// The kernel's text is not as expected.
    #[error("could not understand the processor time of the process")]
    Format,
}

/// Reads the processor time of one process.
#[derive(Clone, Debug)]
pub struct CpuClock {
    path: PathBuf,
}

impl CpuClock {
    /// The clock of the process `pid`.
    pub fn new(pid: u32) -> Self {
        Self { path: PathBuf::from(format!("/proc/{pid}/stat")) }
    }

    /// User and system time so far.
    ///
    /// # Errors
    /// [`CpuError`].
    pub fn read(&self) -> Result<Duration, CpuError> {
        let text = std::fs::read_to_string(&self.path)?;
        let (_, fields) = text.rsplit_once(") ").ok_or(CpuError::Format)?;
        let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
        let ticks: Result<Vec<u64>, _> = times.map(str::parse).collect();
        let ticks: u64 = ticks.map_err(|_| CpuError::Format)?.iter().sum();
        Ok(Duration::from_millis(ticks * MILLIS_PER_SECOND / TICKS_PER_SECOND))
    }
}
