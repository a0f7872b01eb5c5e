//! Schedules configuration checkpoints.
//!
//! Any daemon that has caught up can write one. Daemons wait in the order of their rank among the live
//! daemons, so that normally one writes and the others observe its checkpoint. Concurrent checkpoints are
//! harmless, since both are correct.

use serde::{Deserialize, Serialize};

use crate::ids::Offset;
use crate::units::{Micros, Millis, MonoTime};

/// Settings for when checkpoints are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CheckpointScheduleSettings {
    /// Age at which the newest checkpoint is replaced. Keep it under a quarter of the log's retention, so
    /// that three checkpoints can fail before records expire that no checkpoint covers.
    pub interval_ms: Millis,
    /// Additional delay per rank. Must exceed the time in which an append completes and is read back.
    pub step_ms: Millis,
    /// Number of records since the newest checkpoint that triggers an early one. Bounds what a new daemon has
    /// to read.
    pub max_records: u64,
}

impl Default for CheckpointScheduleSettings {
    fn default() -> Self {
        Self { interval_ms: Millis(600_000), step_ms: Millis(2_000), max_records: 4_096 }
    }
}

/// Tracks when the next checkpoint is due.
#[derive(Clone, Debug)]
pub struct CheckpointSchedule {
    settings: CheckpointScheduleSettings,
    newest: Offset,
    newest_since_us: MonoTime,
    due_since_us: Option<MonoTime>,
}

impl CheckpointSchedule {
    /// Treats the newest checkpoint as fresh at startup, so that a host that is replaced often does not write
    /// one at each start.
    pub fn new(settings: CheckpointScheduleSettings, now_us: MonoTime) -> Self {
        Self { settings, newest: Offset(0), newest_since_us: now_us, due_since_us: None }
    }

    /// Records that a checkpoint covering the offsets before `next_offset` was read from the log.
    pub fn record_checkpoint(&mut self, next_offset: Offset, now_us: MonoTime) {
        if next_offset < self.newest {
            return;
        }
        self.newest = next_offset;
        self.newest_since_us = now_us;
        self.due_since_us = None;
    }

    /// Makes a checkpoint due at once because the log no longer holds the newest one. Without it a new daemon
    /// could not load the state after an outage longer than the log's retention.
    pub fn mark_lost(&mut self, now_us: MonoTime) {
        self.due_since_us.get_or_insert(now_us);
    }

    /// Whether the daemon with `rank` (from 0) among the live daemons has to write a checkpoint of the state
    /// before `next_offset` now.
    pub fn is_due(&mut self, next_offset: Offset, rank: u32, now_us: MonoTime) -> bool {
        let records = next_offset.0.saturating_sub(self.newest.0);
        let is_old = now_us.since(self.newest_since_us) >= Micros::from(self.settings.interval_ms);
        if (is_old || records >= self.settings.max_records) && next_offset > Offset(0) {
            self.due_since_us.get_or_insert(now_us);
        }
        let Some(due_since_us) = self.due_since_us else {
            return false;
        };
        let wait = Millis(self.settings.step_ms.0.saturating_mul(u64::from(rank)));
        now_us.since(due_since_us) >= Micros::from(wait)
    }

    /// Records an append attempt. If the checkpoint does not appear in the log, this daemon retries only
    /// after every other daemon had its turn, which avoids overloading a log that is failing.
    pub fn record_attempt(&mut self, live_hosts: u32, now_us: MonoTime) {
        let round = Millis(self.settings.step_ms.0.saturating_mul(u64::from(live_hosts.max(1))));
        self.due_since_us = Some(now_us + round);
    }
}
