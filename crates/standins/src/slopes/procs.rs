//! Real daemon processes, started and ended by `scripts/bench-slopes`.

use std::fs;

const BYTES_PER_KIB: u64 = 1_024;

/// Anonymous resident memory of a process.
pub fn memory_bytes(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or_default();
    kib * BYTES_PER_KIB
}
