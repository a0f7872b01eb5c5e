//! The configuration service: applies records from the log and from peers, publishes the configuration in force,
//! and writes checkpoints.
//!
//! Runs on the control thread. Traffic threads read [`ConfigHandle::state`] without blocking.

mod checkpoint_writer;
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

use crate::config::checkpoint_writer::CheckpointWriter;
pub use crate::config::parts::{
    ConfigEvent, ConfigHandle, ConfigParts, ConfigStatus, PublishKeyError, publisher_keys,
};
use crate::config::reader::{LogReader, ReadOutcome};
use crate::external::LogPage;
use crate::logging;
use crate::metrics::{Gauge, Metrics};
use crate::settings::ConfigSettings;
use crate::spread::ConfigFeed;

/// Interval of periodic checks: genesis wait, checkpoint writing, gauges.
const TICK_INTERVAL_MS: Millis = Millis(250);

/// Applies the configuration stream and publishes the result.
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
    last_heard_us: MonoTime,
    has_peer_state: bool,
}

impl ConfigService {
    /// Creates the service in its initial state, and the handle to it.
    pub fn new(parts: ConfigParts) -> (Self, ConfigHandle) {
        let state = Arc::new(ArcSwap::from_pointee(ConfigState::default()));
        let status = Arc::new(ArcSwap::from_pointee(ConfigStatus::default()));
        let (is_ready, is_ready_receiver) = watch::channel(false);
        let (version, version_receiver) = watch::channel(Offset(0));
        let handle = ConfigHandle {
            state: Arc::clone(&state),
            status: Arc::clone(&status),
            version: version_receiver,
            is_ready: is_ready_receiver,
        };
        let is_standalone = parts.spread.is_none();
        let mut fold = ConfigFold::new(parts.keys, parts.checkpoint_key);
        if is_standalone {
            fold.allow_genesis();
        }
        let service = Self {
            fold,
            reader: LogReader::new(Arc::clone(&parts.log), parts.settings.poll_wait_ms, is_standalone),
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
            last_heard_us: MonoTime(0),
            has_peer_state: false,
        };
        (service, handle)
    }

    /// Runs until the inbox is closed.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<ConfigFeed>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL_MS.into());
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
                    self.handle_feed(feed, now_us);
                }
                outcome = self.reader.next(wanted) => {
                    let now_us = self.now();
                    self.handle_read(outcome, now_us);
                }
                written = self.writer.wait_written() => self.count_written(written),
            }
        }
    }

    /// Time since the service started. Uses the runtime's clock, so that tests can advance it.
    fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn tick(&mut self, now_us: MonoTime) {
        let waited = now_us.since(MonoTime(0)) >= Micros::from(self.settings.genesis_wait_ms);
        if waited && !self.fold.state().is_known() {
            let intake = self.fold.allow_genesis();
            self.count_intake(&intake);
        }
        self.writer.start_if_due(&self.fold, self.current.is_reader, now_us);
        let age_ms = now_us.since(self.last_heard_us).to_millis_ceil();
        self.metrics.set(Gauge::ConfigAgeMs, age_ms.0);
        self.publish(now_us);
    }

    fn handle_feed(&mut self, feed: ConfigFeed, now_us: MonoTime) {
        match feed {
            ConfigFeed::Records(records) => {
                self.last_heard_us = now_us;
                for record in records {
                    let intake = self.apply_record(&record);
                    self.count_intake(&intake);
                }
            }
            ConfigFeed::State { data, .. } => self.adopt(&data, now_us),
            ConfigFeed::ProvideState => self.send_state(),
            ConfigFeed::ReadLog(is_reader) => self.reader.set_active(is_reader || self.spread.is_none()),
        }
        self.publish(now_us);
    }

    fn apply_record(&mut self, record: &ConfigRecord) -> FoldOutcome {
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
                self.last_heard_us = now_us;
                self.metrics.count_event(ConfigEvent::StateAdopted);
                // The peer's log is assumed to hold a checkpoint near its state. A replaced host must not write a
                // checkpoint at each start.
                self.writer.record_checkpoint(self.fold.state().next_offset(), now_us);
            }
            Ok(Ok(Adopted::NotNewer)) => self.has_peer_state = true,
            Ok(Err(error)) => {
                self.metrics.count_event(ConfigEvent::StateForged);
                self.logging.fault("could not adopt the configuration of a peer", &error);
            }
            Err(error) => {
                self.metrics.count_event(ConfigEvent::StateForged);
                self.logging.fault("could not decode the configuration of a peer", &error);
            }
        }
    }

    fn send_state(&self) {
        if !self.fold.state().is_known() {
            return;
        }
        let checkpoint = self.fold.seal();
        let Ok(data) = postcard::to_allocvec(&checkpoint) else {
            return;
        };
        self.notify_spread(SpreadEvent::State { next_offset: checkpoint.next_offset, data: Arc::from(data) });
    }

    fn handle_read(&mut self, outcome: ReadOutcome, now_us: MonoTime) {
        match outcome {
            Ok(page) => self.apply_page(&page, now_us),
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

    fn apply_page(&mut self, page: &LogPage, now_us: MonoTime) {
        self.last_heard_us = now_us;
        self.current.log_failure = None;
        self.fold.observe_log(LogBounds { start_offset: page.start_offset, next_offset: page.next_offset });
        let mut relayed = Vec::with_capacity(page.records.len());
        for record in &page.records {
            let intake = self.fold.ingest(record.offset, &record.data);
            self.count_intake(&intake);
            relayed.push(ConfigRecord {
                offset: record.offset,
                data: RecordData::Full(Arc::from(&*record.data)),
            });
        }
        if !relayed.is_empty() {
            self.notify_spread(SpreadEvent::LogRecords(relayed));
        }
        self.writer.observe(&self.fold, page, now_us);
    }

    fn count_intake(&self, intake: &FoldOutcome) {
        for _ in 0..intake.accepted {
            self.metrics.count_event(ConfigEvent::Accepted);
        }
        for rejected in &intake.rejected {
            self.metrics.count_event(ConfigEvent::Rejected);
            let publisher = rejected.publisher.as_ref();
            self.logging.config_rejected(rejected.offset, publisher, &rejected.reason);
        }
    }

    fn count_written(&self, written: Result<Offset, crate::external::AppendError>) {
        match written {
            Ok(_) => self.metrics.count_event(ConfigEvent::CheckpointWritten),
            Err(error) => {
                self.metrics.count_event(ConfigEvent::CheckpointFailed);
                self.logging.fault("could not write a configuration checkpoint", &error);
            }
        }
    }

    /// Publishes the configuration in force. Traffic threads see either the new state or the old one, never a mix.
    fn publish(&mut self, now_us: MonoTime) {
        let state = self.fold.state();
        if state.next_offset() != self.current.next_offset {
            self.current.next_offset = state.next_offset();
            self.current.state = short_hash(state);
            self.state.store(Arc::clone(state));
            self.version.send_replace(state.next_offset());
            self.metrics.set(Gauge::ConfigVersion, state.next_offset().0);
            self.logging.config_in_force(state.next_offset());
            self.notify_spread(SpreadEvent::Applied {
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

    /// Whether the known state is recent enough for readiness. A state read from the log may lag what is in force
    /// until the end of the log is reached; a peer's state is as recent as what the peer serves from. If the log
    /// cannot be read, the known state is accepted after the genesis wait.
    fn is_up_to_date(&self, now_us: MonoTime) -> bool {
        let waited = now_us.since(MonoTime(0)) >= Micros::from(self.settings.genesis_wait_ms);
        let is_cut_off = waited && self.current.log_failure.is_some();
        let relayed = waited && !self.reader.is_active();
        self.fold.state().is_known()
            && (self.has_peer_state || relayed || is_cut_off || self.fold.log_view() == LogView::CaughtUp)
    }

    /// Sends without blocking, to avoid a deadlock: the spreading service may be waiting for room in the inbox of
    /// this service. Its digests repair what is dropped here.
    fn notify_spread(&self, request: SpreadEvent) {
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
