//! Log files named on the command line.

use std::fs;
use std::path::{Path, PathBuf};

use crate::error::ClientError;

/// A log and the host that its file is named after.
pub(super) struct LogFile {
    pub(super) host: String,
    pub(super) text: String,
}

pub(super) fn read_all(paths: &[PathBuf]) -> Result<Vec<LogFile>, ClientError> {
    paths.iter().map(|path| read(path)).collect()
}

/// Bytes that are no text come from a disk that failed or a line that was cut; the other lines still count.
fn read(path: &Path) -> Result<LogFile, ClientError> {
    let bytes = fs::read(path).map_err(|source| ClientError::Read { path: path.to_owned(), source })?;
    let host = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(LogFile { host, text: String::from_utf8_lossy(&bytes).into_owned() })
}
