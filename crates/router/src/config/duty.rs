//! Writes checkpoints when it is this daemon's turn.

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

/// Writes checkpoints.
pub(super) struct CheckpointWriter {
    duty: CheckpointSchedule,
    readers: usize,
    host: HostId,
    members: Arc<ArcSwap<MembersView>>,
    log: Arc<dyn Log>,
    last: Option<SeenCheckpoint>,
    pending: Option<BoxFuture<'static, Result<Offset, AppendError>>>,
}

impl fmt::Debug for CheckpointWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CheckpointWriter").field("duty", &self.duty).finish_non_exhaustive()
    }
}

impl CheckpointWriter {
    pub(super) fn new(
        settings: &ConfigSettings,
        host: HostId,
        members: Arc<ArcSwap<MembersView>>,
        log: Arc<dyn Log>,
    ) -> Self {
        let duty = CheckpointScheduleSettings {
            interval_ms: settings.checkpoint_interval_ms,
            step_ms: settings.checkpoint_step_ms,
            ..CheckpointScheduleSettings::default()
        };
        Self {
            duty: CheckpointSchedule::new(duty, MonoTime(0)),
            readers: settings.readers,
            host,
            members,
            log,
            last: None,
            pending: None,
        }
    }

    /// A state at `next_offset` is safe elsewhere.
    pub(super) fn seen(&mut self, next_offset: Offset, now_us: MonoTime) {
        self.duty.record_checkpoint(next_offset, now_us);
    }

    /// Looks at what the log holds.
    pub(super) fn observe(&mut self, fold: &ConfigFold, page: &LogPage, now_us: MonoTime) {
        let is_empty = page.start_offset == page.next_offset;
        let checkpoint = fold.checkpoint();
        if let Some(newest) = checkpoint
            && checkpoint != self.last
        {
            self.last = checkpoint;
            self.duty.record_checkpoint(newest.next_offset, now_us);
        }
        let has_expired = checkpoint.is_some_and(|newest| newest.offset < page.start_offset);
        if has_expired || is_empty {
            self.duty.mark_lost(now_us);
        }
    }

    /// Starts to write if it is this daemon's turn. Only readers of the log have one, since only they see
    /// whether another has written, and only one that has read all there is.
    pub(super) fn consider(&mut self, fold: &ConfigFold, is_reader: bool, now_us: MonoTime) {
        if self.pending.is_some() || !is_reader || fold.log_view() != LogView::CaughtUp {
            return;
        }
        let place = self.place();
        if !self.duty.is_due(fold.state().next_offset(), place.rank, now_us) {
            return;
        }
        self.duty.record_attempt(place.readers_total, now_us);
        let record = Bytes::from(Record::Checkpoint(fold.seal()).encode());
        let log = Arc::clone(&self.log);
        self.pending = Some(Box::pin(async move { log.append(Stream::Config, vec![record]).await }));
    }

    /// What came of the write under way. May be dropped and called again.
    pub(super) async fn written(&mut self) -> Result<Offset, AppendError> {
        let Some(pending) = &mut self.pending else {
            return std::future::pending().await;
        };
        let written = pending.await;
        self.pending = None;
        written
    }

    /// This daemon's rank over the readers of all data centres.
    fn place(&self) -> Place {
        let members = self.members.load();
        let mut place = Place::default();
        let mut is_found = false;
        for data_centre in members.members.keys() {
            for reader in owners_in(JobHash::of(LOG_READER_JOB), data_centre, self.readers, &members) {
                is_found |= reader == self.host;
                place.rank += u32::from(!is_found);
                place.readers_total += 1;
            }
        }
        place
    }
}

/// Where a daemon stands among those that could write.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    rank: u32,
    readers_total: u32,
}
