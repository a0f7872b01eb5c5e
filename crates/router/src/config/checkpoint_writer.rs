//! Writes configuration checkpoints to the log when the schedule selects this daemon.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::config::{
    CheckpointSchedule, CheckpointScheduleSettings, ConfigFold, LogView, Record, SeenCheckpoint,
};
use hibiscusvale_core::ids::{HostId, Offset};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::spread::LOG_READER_JOB;
use hibiscusvale_core::units::MonoTime;
use hibiscusvale_core::watch::{JobHash, owners_in};

use crate::external::{AppendError, Log, LogPage, Stream};
use crate::settings::ConfigSettings;

/// Writes configuration checkpoints to the log.
pub(super) struct CheckpointWriter {
    schedule: CheckpointSchedule,
    readers: usize,
    host: HostId,
    members: Arc<ArcSwap<MembersView>>,
    log: Arc<dyn Log>,
    last: Option<SeenCheckpoint>,
    pending: Option<BoxFuture<'static, Result<Offset, AppendError>>>,
}

impl fmt::Debug for CheckpointWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CheckpointWriter").field("duty", &self.schedule).finish_non_exhaustive()
    }
}

impl CheckpointWriter {
    pub(super) fn new(
        settings: &ConfigSettings,
        host: HostId,
        members: Arc<ArcSwap<MembersView>>,
        log: Arc<dyn Log>,
    ) -> Self {
        let schedule_settings = CheckpointScheduleSettings {
            interval_ms: settings.checkpoint_interval_ms,
            step_ms: settings.checkpoint_step_ms,
            ..CheckpointScheduleSettings::default()
        };
        Self {
            schedule: CheckpointSchedule::new(schedule_settings, MonoTime(0)),
            readers: settings.readers,
            host,
            members,
            log,
            last: None,
            pending: None,
        }
    }

    /// Records that a state at `next_offset` is stored in a checkpoint.
    pub(super) fn record_checkpoint(&mut self, next_offset: Offset, now_us: MonoTime) {
        self.schedule.record_checkpoint(next_offset, now_us);
    }

    /// Updates the schedule after a page of the log was folded: records a new checkpoint, or that the last one is
    /// no longer in the log.
    pub(super) fn observe(&mut self, fold: &ConfigFold, page: &LogPage, now_us: MonoTime) {
        let is_empty = page.start_offset == page.next_offset;
        let checkpoint = fold.checkpoint();
        if let Some(newest) = checkpoint
            && checkpoint != self.last
        {
            self.last = checkpoint;
            self.schedule.record_checkpoint(newest.next_offset, now_us);
        }
        let has_expired = checkpoint.is_some_and(|newest| newest.offset < page.start_offset);
        if has_expired || is_empty {
            self.schedule.mark_lost(now_us);
        }
    }

    /// Starts a write if the schedule selects this daemon. Only log readers that have read to the end of the log
    /// write, since only they know whether another daemon has written.
    pub(super) fn start_if_due(&mut self, fold: &ConfigFold, is_reader: bool, now_us: MonoTime) {
        if self.pending.is_some() || !is_reader || fold.log_view() != LogView::CaughtUp {
            return;
        }
        let position = self.writer_position();
        if !self.schedule.is_due(fold.state().next_offset(), position.rank, now_us) {
            return;
        }
        self.schedule.record_attempt(position.readers_total, now_us);
        let record = Bytes::from(Record::Checkpoint(fold.seal()).encode());
        let log = Arc::clone(&self.log);
        self.pending = Some(Box::pin(async move { log.append(Stream::Config, vec![record]).await }));
    }

    /// Outcome of the pending write. Cancel-safe: the write continues if the future is dropped.
    pub(super) async fn wait_written(&mut self) -> Result<Offset, AppendError> {
        let Some(pending) = &mut self.pending else {
            return std::future::pending().await;
        };
        let written = pending.await;
        self.pending = None;
        written
    }

    /// Position of this daemon among the log readers of all data centres.
    fn writer_position(&self) -> WriterPosition {
        let members = self.members.load();
        let mut position = WriterPosition::default();
        let mut is_found = false;
        for data_centre in members.members.keys() {
            for reader in owners_in(JobHash::of(LOG_READER_JOB), data_centre, self.readers, &members) {
                is_found |= reader == self.host;
                position.rank += u32::from(!is_found);
                position.readers_total += 1;
            }
        }
        position
    }
}

/// Position of a daemon among the candidate checkpoint writers.
#[derive(Clone, Copy, Debug, Default)]
struct WriterPosition {
    rank: u32,
    readers_total: u32,
}
