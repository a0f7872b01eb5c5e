//! CPU time of another process.

use std::path::PathBuf;
use std::time::Duration;

/// Unit of CPU time in `/proc` (`USER_HZ`); 100 on all supported architectures.
const TICKS_PER_SECOND: u64 = 100;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Index of user time in `/proc/PID/stat`, counted after the program name; system time follows (proc(5), fields 14
/// and 15).
const USER_TIME_FIELD: usize = 11;

/// Error while reading CPU time.
#[derive(Debug, thiserror::Error)]
pub enum CpuError {
    /// The process has ended.
    #[error("could not read the CPU time of the process")]
    Gone(#[from] std::io::Error),
    /// `/proc/PID/stat` has an unexpected format.
    #[error("could not parse the CPU time of the process")]
    Format,
}

/// Reads the CPU time of a process.
#[derive(Clone, Debug)]
pub struct CpuClock {
    path: PathBuf,
}

impl CpuClock {
    /// Creates a clock for the process `pid`.
    pub fn new(pid: u32) -> Self {
        Self { path: PathBuf::from(format!("/proc/{pid}/stat")) }
    }

    /// Returns the sum of user and system time.
    ///
    /// # Errors
    /// The process has ended, or the format is unexpected.
    pub fn read(&self) -> Result<Duration, CpuError> {
        let text = std::fs::read_to_string(&self.path)?;
        let (_, fields) = text.rsplit_once(") ").ok_or(CpuError::Format)?;
        let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
        let ticks: Result<Vec<u64>, _> = times.map(str::parse).collect();
        let ticks: u64 = ticks.map_err(|_| CpuError::Format)?.iter().sum();
        Ok(Duration::from_millis(ticks * MILLIS_PER_SECOND / TICKS_PER_SECOND))
    }
}
