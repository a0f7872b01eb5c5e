//! Reads the log files given on the command line.

use std::fs;
use std::path::{Path, PathBuf};

use crate::error::ClientError;

/// Content of a log file with the host's name, which is the file name without its extension.
pub(super) struct LogFile {
    pub(super) host: String,
    pub(super) text: String,
}

pub(super) fn read_all(paths: &[PathBuf]) -> Result<Vec<LogFile>, ClientError> {
    paths.iter().map(|path| read(path)).collect()
}

/// Reads one log. Bytes that are not UTF-8, from a disk fault or a truncated line, are replaced so that the other lines
/// are still read.
fn read(path: &Path) -> Result<LogFile, ClientError> {
    let bytes = fs::read(path).map_err(|source| ClientError::Read { path: path.to_owned(), source })?;
    let host = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(LogFile { host, text: String::from_utf8_lossy(&bytes).into_owned() })
}
