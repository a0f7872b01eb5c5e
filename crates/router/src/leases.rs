//! The lease service: one daemon of each data centre holds the lease over its engines, and orders them to change
//! role or to load models as the planner decides.
//!
//! The lease is a record on the platform's log and its offset the fencing number, so two holders are told apart
//! by every engine that checks. For engines that do not, the holder looks at its own clock just before each
//! order, orders carry an expiry, and a successor waits out both.

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

/// Time between two looks at lease and engines.
const TICK: Duration = Duration::from_secs(1);

/// Records read at once. The stream has one record every five seconds for each data centre.
const READ_LIMIT: u32 = 512;

/// Time between two reads of what the weight store holds; it changes with a deployment.
const STORE_PERIOD_MS: Millis = Millis(60_000);

/// What the service works with.
#[derive(Clone, Debug)]
pub struct LeaseParts {
    /// This daemon's host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The data centre whose engines it may order about.
    pub data_centre: DataCentreId,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// The engines.
    pub engines: Arc<dyn EngineClient>,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Which models are asked for here.
    pub demand: Arc<Demand>,
    /// Tells all daemons which engines are to get no new work.
    pub spread: mpsc::Sender<SpreadEvent>,
    /// When to shift.
    pub shift: ShiftSettings,
}

/// The lease service.
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
    /// The service of one daemon.
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

    /// Runs until `stop` fires. A daemon that leaves is no candidate any more and gives the lease up with its next
    /// look, well before that: a successor need not wait it out.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => self.look().await,
            }
        }
    }

    async fn look(&mut self) {
        if !self.is_candidate() {
            self.give_up().await;
            return;
        }
        self.keep_lease().await;
        if self.lease.held(clock::now()).is_some() {
            self.shift().await;
        }
    }

    /// Of the daemons of a data centre the one with the highest rank tries for the lease. It is no more than a
    /// way to keep the others from appending: the log decides.
    fn is_candidate(&self) -> bool {
        let view = self.parts.members.load();
        let job = JobHash::of(&format!("lease/{}", self.parts.data_centre));
        view.is_heard && owners_in(job, &self.parts.data_centre, 1, &view).first() == Some(&self.parts.host)
    }

    async fn keep_lease(&mut self) {
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
            // What an earlier holder saw is not known here: the planner starts from nothing.
            self.planner = ShiftPlanner::new(self.parts.shift);
        }
    }

    async fn give_up(&mut self) {
        self.draining.clear();
        if let Some(record) = self.lease.release(clock::now(), &self.fold) {
            // Should it be lost, the successor waits the lease out.
            let _ = self.append(&record).await;
        }
    }

    async fn append(&self, record: &LeaseRecord) -> Result<Offset, AppendError> {
        // Writing plain data to memory has no way to fail; an empty record is passed over by every reader.
        let bytes = postcard::to_allocvec(record).unwrap_or_default();
        self.parts.log.append(Stream::Leases, vec![Bytes::from(bytes)]).await
    }

    async fn read_log(&mut self) -> Result<(), LogFailure> {
        loop {
            let from = self.fold.next();
            let page = self.parts.log.read(Stream::Leases, from, READ_LIMIT, Millis::ZERO).await?;
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

    async fn shift(&mut self) {
        self.read_store().await;
        let listing = self.parts.directory.listing();
        self.engines.refresh(&listing, &self.parts.data_centre, &self.parts.engines).await;
        let demand = self.parts.demand.take(&self.store.models);
        let views = self.engines.views(&listing);
        let mut wanted = Vec::new();
        self.planner.plan(clock::now(), &views, &demand, self.store.rate_bytes_per_s, &mut wanted);
        for order in wanted {
            self.carry_out(order);
        }
        for server in &self.draining {
            self.say(server, ServerStatus::Leaving);
        }
        let done = self.orders.send_due(&self.settings, &self.lease, &listing, &self.parts.engines).await;
        for server in done {
            self.end_drain(&server);
        }
    }

    fn carry_out(&mut self, order: ShiftOrder) {
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
            self.say(server, ServerStatus::Accepting);
        }
    }

    fn say(&self, server: &BackendServerId, status: ServerStatus) {
        // Said again with the next look while the drain lasts; a lost end of it runs out by itself.
        let _ = self.parts.spread.try_send(SpreadEvent::Observed { server: server.clone(), status });
    }

    async fn read_store(&mut self) {
        let now_us = clock::now();
        if self.store_read_us.is_some_and(|read_us| now_us < read_us + STORE_PERIOD_MS) {
            return;
        }
        self.store_read_us = Some(now_us);
        // Without news the last known contents stand; loading is planned by them and the engines do it.
        if let Ok(info) = self.parts.weights.info().await {
            self.store = info;
        }
    }
}
