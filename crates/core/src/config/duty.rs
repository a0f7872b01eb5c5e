//! Who writes the next checkpoint, and when.
//!
//! Any daemon may: each one that is caught up knows the whole state. Ranks over the live daemons spread the
//! duty out in time, so that usually one writes and the others see it. Two that write at once do no harm: both
//! checkpoints are true.

use serde::{Deserialize, Serialize};

use crate::ids::Offset;
use crate::units::{Micros, Millis, MonoTime};

/// When checkpoints are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CheckpointDutySettings {
    /// Age at which the newest checkpoint is replaced. Under a quarter of the time for which the log keeps
    /// records, three checkpoints can fail before records that nothing stands for expire.
    pub interval_ms: Millis,
    /// Wait of each further rank. An append is through and seen well within it.
    pub step_ms: Millis,
    /// Records since the newest checkpoint at which it is replaced early, so that a new daemon reads no more
    /// than these.
    pub max_records: u64,
}

impl Default for CheckpointDutySettings {
    fn default() -> Self {
        Self { interval_ms: Millis(600_000), step_ms: Millis(2_000), max_records: 4_096 }
    }
}

/// What a daemon knows of the need for a checkpoint.
#[derive(Clone, Debug)]
pub struct CheckpointDuty {
    settings: CheckpointDutySettings,
    newest: Offset,
    newest_since_us: MonoTime,
    due_since_us: Option<MonoTime>,
}

impl CheckpointDuty {
    /// A daemon that starts takes the newest checkpoint to be fresh: a host that is replaced often must not
    /// write one at each start.
    pub fn new(settings: CheckpointDutySettings, now_us: MonoTime) -> Self {
        Self { settings, newest: Offset(0), newest_since_us: now_us, due_since_us: None }
    }

    /// Another checkpoint, one that stands for the records before `next_offset`, was read from the log.
    pub fn seen(&mut self, next_offset: Offset, now_us: MonoTime) {
        if next_offset < self.newest {
            return;
        }
        self.newest = next_offset;
        self.newest_since_us = now_us;
        self.due_since_us = None;
    }

    /// The log no longer holds the newest checkpoint: after an outage longer than its records last, a new
    /// daemon would find nothing there to start from, so the next one is due at once.
    pub fn lost(&mut self, now_us: MonoTime) {
        self.due_since_us.get_or_insert(now_us);
    }

    /// Whether the daemon with this `rank` among the live ones (from 0) is to write a checkpoint of the state
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

    /// An append was tried. If it does not show up in the log, this daemon tries again after the others had
    /// their turn; the log may be down, and hammering it would not bring it back.
    pub fn tried(&mut self, live_hosts: u32, now_us: MonoTime) {
        let round = Millis(self.settings.step_ms.0.saturating_mul(u64::from(live_hosts.max(1))));
        self.due_since_us = Some(now_us + round);
    }
}
