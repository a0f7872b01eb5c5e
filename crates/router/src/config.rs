//! The configuration service: brings records from the log and from peers to the fold, publishes what is in
//! force, and writes checkpoints.
//!
//! It runs on the control thread. Traffic threads read [`ConfigHandle::state`] and wait for nothing.

mod duty;
mod parts;
mod reader;

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::config::{
    Adopted, ConfigFold, ConfigState, FoldOutcome, LogBounds, LogView, SealedCheckpoint,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::spread::{ConfigRecord, RecordData, SpreadEvent, StateHash};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::config::duty::CheckpointWriter;
pub use crate::config::parts::{
    ConfigEvent, ConfigHandle, ConfigParts, ConfigStatus, PublishKeyError, publisher_keys,
};
use crate::config::reader::{LogReader, ReadOutcome};
use crate::external::LogPage;
use crate::logging;
use crate::metrics::{Gauge, Metrics};
use crate::settings::ConfigSettings;
use crate::spread::ConfigFeed;

/// Time between two looks at what is due.
const TICK_MS: Millis = Millis(250);

/// The configuration service.
#[derive(Debug)]
pub struct ConfigService {
    settings: ConfigSettings,
    fold: ConfigFold,
    reader: LogReader,
    writer: CheckpointWriter,
    spread: Option<mpsc::Sender<SpreadEvent>>,
    logging: logging::Log,
    metrics: Metrics,
    state: Arc<ArcSwap<ConfigState>>,
    status: Arc<ArcSwap<ConfigStatus>>,
    current: ConfigStatus,
    version: watch::Sender<Offset>,
    is_ready: watch::Sender<bool>,
    started: Instant,
    heard_us: MonoTime,
    has_peer_state: bool,
}

impl ConfigService {
    /// The service of one daemon that starts now.
    pub fn new(parts: ConfigParts) -> (Self, ConfigHandle) {
        let state = Arc::new(ArcSwap::from_pointee(ConfigState::default()));
        let status = Arc::new(ArcSwap::from_pointee(ConfigStatus::default()));
        let (is_ready, is_ready_seen) = watch::channel(false);
        let (version, version_seen) = watch::channel(Offset(0));
        let handle = ConfigHandle {
            state: Arc::clone(&state),
            status: Arc::clone(&status),
            version: version_seen,
            is_ready: is_ready_seen,
        };
        let is_alone = parts.spread.is_none();
        let mut fold = ConfigFold::new(parts.keys, parts.checkpoint_key);
        if is_alone {
            fold.allow_genesis();
        }
        let service = Self {
            fold,
            reader: LogReader::new(Arc::clone(&parts.log), parts.settings.poll_wait_ms, is_alone),
            writer: CheckpointWriter::new(&parts.settings, parts.host, parts.members, parts.log),
            settings: parts.settings,
            spread: parts.spread,
            logging: parts.logging,
            metrics: parts.metrics,
            state,
            status,
            current: ConfigStatus::default(),
            version,
            is_ready,
            started: Instant::now(),
            heard_us: MonoTime(0),
            has_peer_state: false,
        };
        (service, handle)
    }

    /// Runs until the inbox closes.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<ConfigFeed>) {
        let mut ticks = tokio::time::interval(TICK_MS.into());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wanted = self.fold.read_offset();
            tokio::select! {
                _ = ticks.tick() => {
                    let now_us = self.now();
                    self.tick(now_us);
                }
                feed = inbox.recv() => {
                    let Some(feed) = feed else { return };
                    let now_us = self.now();
                    self.take_feed(feed, now_us);
                }
                outcome = self.reader.next(wanted) => {
                    let now_us = self.now();
                    self.take_read(outcome, now_us);
                }
                written = self.writer.written() => self.note_written(written),
            }
        }
    }

    /// Time since the service started, on the runtime's clock, so that a test can advance it.
    fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn tick(&mut self, now_us: MonoTime) {
        let waited = now_us.since(MonoTime(0)) >= Micros::from(self.settings.genesis_wait_ms);
        if waited && !self.fold.state().is_known() {
            let intake = self.fold.allow_genesis();
            self.note_intake(&intake);
        }
        self.writer.consider(&self.fold, self.current.is_reader, now_us);
        let age_ms = now_us.since(self.heard_us).to_millis_ceil();
        self.metrics.set(Gauge::ConfigAgeMs, age_ms.0);
        self.publish(now_us);
    }

    fn take_feed(&mut self, feed: ConfigFeed, now_us: MonoTime) {
        match feed {
            ConfigFeed::Records(records) => {
                self.heard_us = now_us;
                for record in records {
                    let intake = self.take_record(&record);
                    self.note_intake(&intake);
                }
            }
            ConfigFeed::State { data, .. } => self.adopt(&data, now_us),
            ConfigFeed::ProvideState => self.provide(),
            ConfigFeed::ReadLog(is_reader) => self.reader.set_active(is_reader || self.spread.is_none()),
        }
        self.publish(now_us);
    }

    fn take_record(&mut self, record: &ConfigRecord) -> FoldOutcome {
        match &record.data {
            RecordData::Full(bytes) => self.fold.ingest(record.offset, bytes),
            RecordData::Elided => self.fold.ingest_elided(record.offset),
        }
    }

    fn adopt(&mut self, data: &[u8], now_us: MonoTime) {
        let offered: Result<SealedCheckpoint, _> = postcard::from_bytes(data);
        match offered.map(|checkpoint| self.fold.adopt(&checkpoint)) {
            Ok(Ok(Adopted::Newer)) => {
                self.has_peer_state = true;
                self.heard_us = now_us;
                self.metrics.count_event(ConfigEvent::StateAdopted);
                // The peer's log is taken to hold a checkpoint near its state; a host that is replaced must not
                // write one at each start.
                self.writer.seen(self.fold.state().next_offset(), now_us);
            }
            Ok(Ok(Adopted::NotNewer)) => self.has_peer_state = true,
            Ok(Err(error)) => {
                self.metrics.count_event(ConfigEvent::StateForged);
                self.logging.fault("could not adopt a peer's configuration", &error);
            }
            Err(error) => {
                self.metrics.count_event(ConfigEvent::StateForged);
                self.logging.fault("could not read a peer's configuration", &error);
            }
        }
    }

    fn provide(&self) {
        if !self.fold.state().is_known() {
            return;
        }
        let checkpoint = self.fold.seal();
        let Ok(data) = postcard::to_allocvec(&checkpoint) else {
            return;
        };
        self.tell_spread(SpreadEvent::State { next_offset: checkpoint.next_offset, data: Arc::from(data) });
    }

    fn take_read(&mut self, outcome: ReadOutcome, now_us: MonoTime) {
        match outcome {
            Ok(page) => self.take_page(&page, now_us),
            Err(failure) => {
                if self.current.log_failure != Some(failure) {
                    self.logging.fault("could not read the configuration stream", &failure);
                }
                self.metrics.count_event(ConfigEvent::ReadFailed);
                self.current.log_failure = Some(failure);
            }
        }
        self.publish(now_us);
    }

    fn take_page(&mut self, page: &LogPage, now_us: MonoTime) {
        self.heard_us = now_us;
        self.current.log_failure = None;
        self.fold.observe_log(LogBounds { start_offset: page.start_offset, next_offset: page.next_offset });
        let mut relayed = Vec::with_capacity(page.records.len());
        for record in &page.records {
            let intake = self.fold.ingest(record.offset, &record.data);
            self.note_intake(&intake);
            relayed.push(ConfigRecord {
                offset: record.offset,
                data: RecordData::Full(Arc::from(&*record.data)),
            });
        }
        if !relayed.is_empty() {
            self.tell_spread(SpreadEvent::LogRecords(relayed));
        }
        self.writer.observe(&self.fold, page, now_us);
    }

    fn note_intake(&self, intake: &FoldOutcome) {
        for _ in 0..intake.accepted {
            self.metrics.count_event(ConfigEvent::Accepted);
        }
        for rejected in &intake.rejected {
            self.metrics.count_event(ConfigEvent::Rejected);
            let publisher = rejected.publisher.as_ref();
            self.logging.config_rejected(rejected.offset, publisher, &rejected.reason);
        }
    }

    fn note_written(&self, written: Result<Offset, crate::external::AppendError>) {
        match written {
            Ok(_) => self.metrics.count_event(ConfigEvent::CheckpointWritten),
            Err(error) => {
                self.metrics.count_event(ConfigEvent::CheckpointFailed);
                self.logging.fault("could not write a configuration checkpoint", &error);
            }
        }
    }

    /// Lets everybody see what is in force. Traffic threads get a whole new state or keep the old one.
    fn publish(&mut self, now_us: MonoTime) {
        let state = self.fold.state();
        if state.next_offset() != self.current.next_offset {
            self.current.next_offset = state.next_offset();
            self.current.state = short_hash(state);
            self.state.store(Arc::clone(state));
            self.version.send_replace(state.next_offset());
            self.metrics.set(Gauge::ConfigVersion, state.next_offset().0);
            self.logging.config_in_force(state.next_offset());
            self.tell_spread(SpreadEvent::Applied {
                next_offset: self.current.next_offset,
                state: self.current.state,
            });
        }
        self.current.log_view = self.fold.log_view();
        self.current.is_reader = self.reader.is_active();
        self.current.checkpoint = self.fold.checkpoint();
        if **self.status.load() != self.current {
            self.status.store(Arc::new(self.current));
        }
        if !*self.is_ready.borrow() && self.is_up_to_date(now_us) {
            self.is_ready.send_replace(true);
        }
    }

    /// A state from the log may be an early part of what is in force, until the log's end is reached. A peer's
    /// state is as new as what the peer serves by. While the log cannot be read, what is known has to do.
    fn is_up_to_date(&self, now_us: MonoTime) -> bool {
        let waited = now_us.since(MonoTime(0)) >= Micros::from(self.settings.genesis_wait_ms);
        let is_cut_off = waited && self.current.log_failure.is_some();
        let relayed = waited && !self.reader.is_active();
        self.fold.state().is_known()
            && (self.has_peer_state || relayed || is_cut_off || self.fold.log_view() == LogView::CaughtUp)
    }

    /// Control never waits for control: the spreading service may be waiting for room here. What it misses is
    /// mended by its digests.
    fn tell_spread(&self, request: SpreadEvent) {
        let Some(spread) = &self.spread else {
            return;
        };
        if spread.try_send(request).is_err() {
            self.metrics.count_event(ConfigEvent::SpreadBusy);
        }
    }
}

fn short_hash(state: &ConfigState) -> StateHash {
    let digest = state.digest();
    let first = digest.as_bytes().first_chunk().copied();
    StateHash(first.unwrap_or_default())
}
