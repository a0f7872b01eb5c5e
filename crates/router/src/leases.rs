//! The lease service: one daemon per data centre holds the lease over its engines and orders them to change role
//! or to load models, as decided by the planner.
//!
//! A lease is a record in the platform's log, and its offset is the fencing token, so engines that check it can
//! tell two holders apart. For engines that do not check it, the holder checks its own clock immediately before
//! each order, orders expire, and a successor waits until both the lease and the orders have expired.

mod engines;
mod orders;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, Incarnation, Offset};
use hibiscusvale_core::lease::{Lease, LeaseFold, LeaseHolder, LeaseRecord, LeaseSettings};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::sched::{ShiftOrder, ShiftPlanner, ShiftSettings};
use hibiscusvale_core::spread::{ServerStatus, SpreadEvent};
use hibiscusvale_core::units::{Millis, MonoTime};
use hibiscusvale_core::watch::{JobHash, owners_in};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use self::engines::Engines;
use self::orders::Orders;
use crate::backend::EngineClient;
use crate::clock;
use crate::directory::Directory;
use crate::dispatch::Demand;
use crate::external::{AppendError, Log, LogFailure, Stream, WeightStore, WeightStoreInfo};

/// Interval at which the lease and the engines are checked.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Records per read. The stream receives one record every five seconds per data centre.
const READ_PAGE_RECORDS: u32 = 512;

/// Interval at which the contents of the weight store are read; they change only with deployments.
const STORE_READ_INTERVAL_MS: Millis = Millis(60_000);

/// Dependencies of the lease service.
#[derive(Clone, Debug)]
pub struct LeaseParts {
    /// Host of this daemon.
    pub host: HostId,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Data centre whose engines it may control.
    pub data_centre: DataCentreId,
    /// Membership view.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Directory of backend servers.
    pub directory: Arc<Directory>,
    /// Client of the engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client of the platform's log.
    pub log: Arc<dyn Log>,
    /// Client of the platform's weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Demand per model as seen by this daemon.
    pub demand: Arc<Demand>,
    /// Inbox of the spreading service, which tells all daemons which engines are being drained.
    pub spread: mpsc::Sender<SpreadEvent>,
    /// Settings of the role planner.
    pub shift: ShiftSettings,
}

/// Competes for the lease of its data centre and, while holding it, orders engines.
#[derive(Debug)]
pub struct LeaseService {
    parts: LeaseParts,
    settings: LeaseSettings,
    lease: Lease,
    fold: LeaseFold,
    planner: ShiftPlanner,
    engines: Engines,
    orders: Orders,
    store: WeightStoreInfo,
    store_read_us: Option<MonoTime>,
    draining: Vec<BackendServerId>,
}

impl LeaseService {
    /// Creates the service without a lease.
    pub fn new(parts: LeaseParts) -> Self {
        let settings = LeaseSettings::default();
        let me = LeaseHolder { host: parts.host.clone(), incarnation: parts.incarnation };
        Self {
            lease: Lease::new(settings, parts.data_centre.clone(), me),
            fold: LeaseFold::default(),
            planner: ShiftPlanner::new(parts.shift),
            engines: Engines::default(),
            orders: Orders::new(parts.incarnation),
            store: WeightStoreInfo::default(),
            store_read_us: None,
            draining: Vec::new(),
            settings,
            parts,
        }
    }

    /// Runs until `stop` is cancelled. A daemon that is leaving stops being a candidate and releases the lease on
    /// its next tick, well before `stop` fires, so that its successor does not have to wait for the lease to
    /// expire.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => self.run_once().await,
            }
        }
    }

    async fn run_once(&mut self) {
        if !self.is_candidate() {
            self.release_lease().await;
            return;
        }
        self.renew_lease().await;
        if self.lease.held(clock::now()).is_some() {
            self.plan_shifts().await;
        }
    }

    /// Whether this daemon ranks highest among those of its data centre. This only keeps the others from
    /// appending: the log decides who holds the lease.
    fn is_candidate(&self) -> bool {
        let view = self.parts.members.load();
        let job = JobHash::of(&format!("lease/{}", self.parts.data_centre));
        view.is_heard && owners_in(job, &self.parts.data_centre, 1, &view).first() == Some(&self.parts.host)
    }

    async fn renew_lease(&mut self) {
        let now_us = clock::now();
        let held = self.lease.held(now_us);
        if held.is_some_and(|held| now_us + self.settings.renew_before_ms < held.until_us) {
            return;
        }
        if self.read_log().await.is_err() {
            return;
        }
        let Some(record) = self.lease.next_record(clock::now(), &self.fold) else {
            return;
        };
        match self.append(&record).await {
            Ok(_) | Err(AppendError::Unknown { .. }) => self.lease.append_unconfirmed(),
            Err(AppendError::NotAppended { .. }) => self.lease.append_failed(clock::now()),
        }
        if self.read_log().await.is_ok() {
            self.lease.read_back(clock::now(), &self.fold);
        }
        if held.is_none() && self.lease.held(clock::now()).is_some() {
            // The previous holder's observations are not available here, so the planner starts with none.
            self.planner = ShiftPlanner::new(self.parts.shift);
        }
    }

    async fn release_lease(&mut self) {
        self.draining.clear();
        if let Some(record) = self.lease.release(clock::now(), &self.fold) {
            // If the record is lost, the successor waits for the lease to expire.
            let _ = self.append(&record).await;
        }
    }

    async fn append(&self, record: &LeaseRecord) -> Result<Offset, AppendError> {
        // Encoding this type to memory cannot fail; readers skip an empty record.
        let bytes = postcard::to_allocvec(record).unwrap_or_default();
        self.parts.log.append(Stream::Leases, vec![Bytes::from(bytes)]).await
    }

    async fn read_log(&mut self) -> Result<(), LogFailure> {
        loop {
            let from = self.fold.next();
            let page = self.parts.log.read(Stream::Leases, from, READ_PAGE_RECORDS, Millis::ZERO).await?;
            self.fold.skip_to(page.start_offset);
            for record in &page.records {
                let read = postcard::from_bytes(&record.data).ok();
                self.fold.apply(clock::now(), record.offset, read.as_ref());
            }
            if page.records.is_empty() || self.fold.next() >= page.next_offset {
                return Ok(());
            }
        }
    }

    async fn plan_shifts(&mut self) {
        self.read_store().await;
        let listing = self.parts.directory.listing();
        self.engines.refresh(&listing, &self.parts.data_centre, &self.parts.engines).await;
        let demand = self.parts.demand.take(&self.store.models);
        let views = self.engines.views(&listing);
        let mut wanted = Vec::new();
        self.planner.plan(clock::now(), &views, &demand, self.store.rate_bytes_per_s, &mut wanted);
        for order in wanted {
            self.execute(order);
        }
        for server in &self.draining {
            self.publish_status(server, ServerStatus::Leaving);
        }
        let done = self.orders.send_due(&self.settings, &self.lease, &listing, &self.parts.engines).await;
        for server in done {
            self.end_drain(&server);
        }
    }

    fn execute(&mut self, order: ShiftOrder) {
        match order {
            ShiftOrder::Drain { server } => self.draining.push(server),
            ShiftOrder::Undrain { server } => self.end_drain(&server),
            ShiftOrder::SetRole { server, role } => self.orders.set_role(server, role),
            ShiftOrder::Load { server, model, .. } => self.orders.load(server, model),
            ShiftOrder::Unload { server, model } => self.orders.unload(server, model),
        }
    }

    fn end_drain(&mut self, server: &BackendServerId) {
        if let Some(index) = self.draining.iter().position(|draining| draining == server) {
            self.draining.swap_remove(index);
            self.publish_status(server, ServerStatus::Accepting);
        }
    }

    fn publish_status(&self, server: &BackendServerId, status: ServerStatus) {
        // Repeated on each tick while the drain lasts. If the final status is lost, the leaving mark expires.
        let _ = self.parts.spread.try_send(SpreadEvent::Observed { server: server.clone(), status });
    }

    async fn read_store(&mut self) {
        let now_us = clock::now();
        if self.store_read_us.is_some_and(|read_us| now_us < read_us + STORE_READ_INTERVAL_MS) {
            return;
        }
        self.store_read_us = Some(now_us);
        // On failure, the last known contents remain in use: they only inform planning, and the engines do the
        // loading.
        if let Ok(info) = self.parts.weights.info().await {
            self.store = info;
        }
    }
}
