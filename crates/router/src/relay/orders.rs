//! Role-change orders to engines: one daemon at a time gives them, under a lease.
//!
//! Two daemons that ordered the same engines back and forth would keep them switching roles instead of
//! serving. Which daemon should give orders follows from the live set, but that only keeps the others from
//! competing for the lease. The lease decides: a record in the store whose offset is the fencing number. It
//! is acquired when there is something to order and then left to expire, so an idle installation makes no
//! calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{DataCentreId, FencingNumber, HostId};
use hibiscusvale_core::lease::{HeldLease, Lease, LeaseFold, LeaseHolder, LeaseRecord, LeaseSettings};
use hibiscusvale_core::relay::engines::{Role, RoleChange};
use hibiscusvale_core::relay::store_refresh::{RefreshSettings, is_reader};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, MonoTime};
use http::StatusCode;

use super::hop;
use super::interfaces::EngineOrder;
use super::leaving_checks;
use super::pacing::Urgency;
use super::state::RelayState;
use super::statements::CallKind;
use super::trace::cause_label;
use crate::backend::ConnectionReuse;
use crate::clock;
use crate::external::{AppendError, Log, LogFailure, Stream};

/// Maximum number of orders per service and tick. With one at a time, nine idle prefill engines of 38 engines
/// became decode engines only 18 s after the split was known to be wrong, and callers were refused meanwhile.
const ORDERS_AT_ONCE: usize = 4;

/// Interval between two checks of the role split.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of an engine's report and of its answer to an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Page size of log reads; there are only a few records a day.
const READ_PAGE_RECORDS: u32 = 256;

/// Bounds of the lease. An order is in flight for no longer than its call may take, and a successor waits
/// that long after the lease ends; both together are longer than the time in which engines treat alternating
/// holders as a fault.
const LEASE: LeaseSettings = LeaseSettings {
    lease_ms: Millis(6_000),
    renew_before_ms: Millis(2_000),
    longest_order_ms: Millis(3_000),
    drift_ms: Millis(500),
    retry_ms: Millis(1_000),
};

/// Gives orders when this daemon is the one that should.
#[derive(Debug)]
pub struct Orders {
    log: Arc<dyn Log>,
    state: Arc<RelayState>,
    host: HostId,
    lease: Lease,
    fold: LeaseFold,
    /// Whether the lease records were read to their end.
    has_read: bool,
    /// Start of the takeover wait: the time of the first read that found the log non-empty; `None` before
    /// that.
    takeover_wait_from_us: Option<MonoTime>,
}

impl Orders {
    /// Orders of one daemon process over the engines of the lease `scope`.
    pub fn new(log: Arc<dyn Log>, state: Arc<RelayState>, host: HostId, scope: DataCentreId) -> Self {
        let me = LeaseHolder { host: host.clone(), incarnation: state.incarnation };
        let (lease, fold) = (Lease::new(LEASE, scope, me), LeaseFold::default());
        Self { log, state, host, lease, fold, has_read: false, takeover_wait_from_us: None }
    }

    /// Checks the role split at every tick, for as long as the daemon runs.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick().await;
        }
    }

    async fn tick(&mut self) {
        let live = self.state.peers.hosts_reaching_store();
        let is_eligible = self.state.freshness.reaches_store(clock::now());
        let single_reader = RefreshSettings { readers: 1, ..RefreshSettings::default() };
        let is_eligible = is_eligible && self.state.peers.is_first_data_centre();
        if !is_eligible || !is_reader(&single_reader, &self.host, live.iter()) || !self.state.is_ready() {
            return;
        }
        // The lease is read on the first tick, so that an earlier holder's term is waited out from then on.
        // If that began only when there is something to order, a wrong split would persist for the ten
        // seconds of the wait.
        if !self.has_read && self.read().await.is_err() {
            return;
        }
        for _ in 0..ORDERS_AT_ONCE {
            let shifts = self.state.engine_pools.next_shifts();
            if shifts.is_empty() {
                return;
            }
            for (service, shift) in shifts {
                let Some(held) = self.acquire_lease().await else {
                    return;
                };
                self.send_order(held, &service, &shift).await;
            }
        }
    }

    /// Returns the lease if it is held or can be acquired.
    async fn acquire_lease(&mut self) -> Option<HeldLease> {
        if let Some(held) = self.lease.held(clock::now()) {
            return Some(held);
        }
        self.read().await.ok()?;
        // Records are retained only for a while. If there have been any, an earlier holder whose record is
        // gone may still act, so its term is waited out from the first read on.
        let waits =
            self.takeover_wait_from_us.is_some_and(|from_us| clock::now() < from_us + LEASE.takeover_ms());
        if waits {
            return None;
        }
        let record = self.lease.next_record(clock::now(), &self.fold)?;
        match self.append(&record).await {
            Ok(()) | Err(AppendError::Unknown { .. }) => self.lease.append_unconfirmed(),
            Err(AppendError::NotAppended { .. }) => self.lease.append_failed(clock::now()),
        }
        if self.read_log().await.is_ok() {
            self.lease.read_back(clock::now(), &self.fold);
        }
        let held = self.lease.held(clock::now())?;
        self.state.log.state_changed("lease won", &held.fencing);
        Some(held)
    }

    async fn append(&self, record: &LeaseRecord) -> Result<(), AppendError> {
        // Serialising plain data to memory cannot fail; readers skip an empty record.
        let bytes = postcard::to_stdvec(record).unwrap_or_default();
        self.log.append(Stream::Leases, vec![Bytes::from(bytes)]).await.map(drop)
    }

    /// Reads the lease records; when that fails, leaves the orders to another daemon.
    async fn read(&mut self) -> Result<(), LogFailure> {
        let read = self.read_log().await;
        if let Err(failure) = &read {
            self.state.log.state_changed("lease not read", failure);
            self.state.freshness.store_failed(clock::now());
            self.state.peers.schedule_message(Urgency::Soon);
        }
        read
    }

    async fn read_log(&mut self) -> Result<(), LogFailure> {
        loop {
            let from = self.fold.next();
            let page = self.log.read(Stream::Leases, from, READ_PAGE_RECORDS, Millis::ZERO).await?;
            if self.takeover_wait_from_us.is_none() && page.next_offset.0 > 0 {
                self.takeover_wait_from_us = Some(clock::now());
            }
            self.fold.skip_to(page.start_offset);
            for record in &page.records {
                let read = postcard::from_bytes(&record.data).ok();
                self.fold.apply(clock::now(), record.offset, read.as_ref());
            }
            if page.records.is_empty() || self.fold.next() >= page.next_offset {
                self.has_read = true;
                return Ok(());
            }
        }
    }

    /// Orders one engine. The engine's report states how many orders it has accepted, and the order is valid
    /// only for that number, so that one whose answer was lost cannot be executed again after a later one.
    async fn send_order(&mut self, held: HeldLease, service: &str, shift: &RoleChange) {
        let state = Arc::clone(&self.state);
        let Some(at) = state.directory.address_of(&shift.server) else {
            return;
        };
        let report = (CallKind::Work, state.wire.report(&shift.server));
        let report =
            hop::send_call(&state, &shift.server, at, report, ConnectionReuse::Pooled, CALL_TIMEOUT).await;
        let report = report.ok().filter(|(status, _)| *status == StatusCode::OK);
        let Some(report) =
            report.and_then(|(_, body)| leaving_checks::parse_report(&state, &shift.server, &body))
        else {
            return;
        };
        if report.is_busy || report.role == Some(shift.role) {
            state.engine_pools.shifted(service, shift);
            return;
        }
        // The process may have been suspended since, so the lease is checked again just before the order is
        // sent.
        let Some(held) = self.lease.held(clock::now()).filter(|now| now.fencing == held.fencing) else {
            return;
        };
        let order = EngineOrder {
            role: shift.role,
            holder: self.host.clone(),
            fencing: FencingNumber(held.fencing.0 + 1),
            after_orders: report.orders,
        };
        let call = (CallKind::Work, state.wire.order(&shift.server, &order));
        let answer =
            hop::send_call(&state, &shift.server, at, call, ConnectionReuse::Pooled, CALL_TIMEOUT).await;
        let status = answer.map(|(status, _)| status);
        let list_version = state.directory.listing().version;
        let (role, answer) = (role_label(shift.role), describe(status));
        state.log.engine_ordered(&shift.server, role, order.fencing, list_version, &answer);
        match status {
            Ok(StatusCode::PRECONDITION_FAILED) => self.lease = self.lease.without_lease(),
            // A conflict means that the engine is executing something else; a failed call, that it may be.
            Err(FailureCause::Held(_)) => {}
            Ok(StatusCode::ACCEPTED | StatusCode::OK | StatusCode::CONFLICT) | Err(_) => {
                state.engine_pools.shifted(service, shift);
                state.peers.schedule_message(Urgency::Soon);
            }
            Ok(_) => {}
        }
    }
}

fn role_label(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    }
}

fn describe(answer: Result<StatusCode, FailureCause>) -> String {
    match answer {
        Ok(status) => status.as_u16().to_string(),
        Err(cause) => cause_label(cause).to_owned(),
    }
}
