//! Orders to engines: one daemon at a time gives them, under a lease.
//!
//! Two daemons that ordered the same engines back and forth would keep them changing instead of serving. Which daemon
//! is to give orders follows from who lives; that is only a way to keep the others from asking. What decides is the
//! lease, a record in the store whose offset is the fencing number. It is taken when there is something to order and
//! left to run out, so an installation at rest costs no call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{DataCentreId, FencingNumber, HostId};
use hibiscusvale_core::lease::{HeldLease, Lease, LeaseFold, LeaseHolder, LeaseRecord, LeaseSettings};
use hibiscusvale_core::relay::engines::{Role, Shift};
use hibiscusvale_core::relay::reading::{ReadingSettings, is_reader};
use hibiscusvale_core::units::{Millis, MonoTime};
use http::StatusCode;

use super::edge::EngineOrder;
use super::hop;
use super::pace::Urgency;
use super::state::RelayState;
use crate::clock;
use crate::external::{AppendError, Log, LogFailure, Stream};

/// Engines of a service that are ordered in one go. One at a time, nine idle readers of 38 engines were writers only 18 s
/// after the split was known to be wrong, and callers were refused meanwhile.
const ORDERS_AT_ONCE: usize = 4;

/// Time between two looks at the split.
const TICK: Duration = Duration::from_secs(1);

/// Time for an engine's report, and for its answer to an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Records read at once; there are a few a day.
const READ_LIMIT: u32 = 256;

/// Bounds of the lease. An order is on its way for no longer than its call may take, and a successor waits that out
/// after the lease; both together are longer than the time in which engines take turns of holders for a fault.
const LEASE: LeaseSettings = LeaseSettings {
    lease_ms: Millis(6_000),
    renew_before_ms: Millis(2_000),
    longest_order_ms: Millis(3_000),
    drift_ms: Millis(500),
    retry_ms: Millis(1_000),
};

/// Gives orders, when it is this daemon's turn.
#[derive(Debug)]
pub struct Orders {
    log: Arc<dyn Log>,
    state: Arc<RelayState>,
    host: HostId,
    lease: Lease,
    fold: LeaseFold,
    /// Whether the lease's records were read to their end.
    has_read: bool,
    /// When they first were, if there had been any.
    waits_from_us: Option<MonoTime>,
}

impl Orders {
    /// The orders of one daemon's life, over the engines that `scope` names.
    pub fn new(log: Arc<dyn Log>, state: Arc<RelayState>, host: HostId, scope: DataCentreId) -> Self {
        let me = LeaseHolder { host: host.clone(), incarnation: state.incarnation };
        let (lease, fold) = (Lease::new(LEASE, scope, me), LeaseFold::default());
        Self { log, state, host, lease, fold, has_read: false, waits_from_us: None }
    }

    /// Looks again and again, for as long as the daemon runs.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK).await;
            self.look().await;
        }
    }

    async fn look(&mut self) {
        let live = self.state.peers.hosts_at_store();
        let is_turn = self.state.freshness.reaches_store(clock::now());
        let one = ReadingSettings { readers: 1, ..ReadingSettings::default() };
        let is_turn = is_turn && self.state.peers.is_first_data_centre();
        if !is_turn || !is_reader(&one, &self.host, live.iter()) || !self.state.is_ready() {
            return;
        }
        // An earlier holder's time is waited out from the first look on: begun only when there is something to order, the
        // wait would keep a wrong split for its ten seconds.
        if !self.has_read && self.read().await.is_err() {
            return;
        }
        for _ in 0..ORDERS_AT_ONCE {
            let shifts = self.state.engine_hub.next_shifts();
            if shifts.is_empty() {
                return;
            }
            for (service, shift) in shifts {
                let Some(held) = self.held().await else {
                    return;
                };
                self.give(held, &service, &shift).await;
            }
        }
    }

    /// The lease, if it can be had.
    async fn held(&mut self) -> Option<HeldLease> {
        if let Some(held) = self.lease.held(clock::now()) {
            return Some(held);
        }
        self.read().await.ok()?;
        // Records are kept for a while only. Where there have been any, an earlier holder may still act whose record
        // is gone: its time is waited out from the first look on.
        let waits = self.waits_from_us.is_some_and(|from_us| clock::now() < from_us + LEASE.takeover_ms());
        if waits {
            return None;
        }
        let record = self.lease.want(clock::now(), &self.fold)?;
        match self.append(&record).await {
            Ok(()) | Err(AppendError::Unknown { .. }) => self.lease.maybe_appended(),
            Err(AppendError::NotAppended { .. }) => self.lease.not_appended(clock::now()),
        }
        if self.read_log().await.is_ok() {
            self.lease.read_back(clock::now(), &self.fold);
        }
        let held = self.lease.held(clock::now())?;
        self.state.log.changed("lease won", &held.fencing);
        Some(held)
    }

    async fn append(&self, record: &LeaseRecord) -> Result<(), AppendError> {
        // Writing plain data to memory has no way to fail; an empty record is passed over by every reader.
        let bytes = postcard::to_stdvec(record).unwrap_or_default();
        self.log.append(Stream::Leases, vec![Bytes::from(bytes)]).await.map(drop)
    }

    /// Reads the lease's records; when that fails, another daemon is to give the orders.
    async fn read(&mut self) -> Result<(), LogFailure> {
        let read = self.read_log().await;
        if let Err(failure) = &read {
            self.state.log.changed("lease not read", failure);
            self.state.freshness.store_failed(clock::now());
            self.state.peers.touch(Urgency::Soon);
        }
        read
    }

    async fn read_log(&mut self) -> Result<(), LogFailure> {
        loop {
            let from = self.fold.next();
            let page = self.log.read(Stream::Leases, from, READ_LIMIT, Millis::ZERO).await?;
            if self.waits_from_us.is_none() && page.next_offset.0 > 0 {
                self.waits_from_us = Some(clock::now());
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

    /// Orders one engine. Its report tells how many orders it has accepted; the order holds only for that number, so
    /// that one whose answer was lost cannot be carried out a second time behind a later one.
    async fn give(&mut self, held: HeldLease, service: &str, shift: &Shift) {
        let state = Arc::clone(&self.state);
        let Some(at) = state.directory.address_of(&shift.server) else {
            return;
        };
        let report =
            hop::exchange_call(&state, &shift.server, at, state.wire.report(&shift.server), CALL_TIMEOUT)
                .await;
        let report = report.ok().filter(|(status, _)| *status == StatusCode::OK);
        let Some(report) = report.and_then(|(_, body)| state.wire.read_report(&body)) else {
            return;
        };
        if report.is_busy || report.role == Some(shift.role) {
            state.engine_hub.shifted(service, shift);
            return;
        }
        // The process may have been suspended since: the lease is looked at just before the order goes out.
        let Some(held) = self.lease.held(clock::now()).filter(|now| now.fencing == held.fencing) else {
            return;
        };
        let order = EngineOrder {
            role: shift.role,
            holder: self.host.clone(),
            fencing: FencingNumber(held.fencing.0 + 1),
            after_orders: report.orders,
        };
        let call = state.wire.order(&shift.server, &order);
        let answer = hop::exchange_call(&state, &shift.server, at, call, CALL_TIMEOUT).await;
        let status = answer.map(|(status, _)| status);
        state.log.ordered(&shift.server, role_label(shift.role), order.fencing, &describe(status));
        match status {
            Ok(StatusCode::PRECONDITION_FAILED) => self.lease = self.lease.fresh(),
            // A conflict means that something else is under way there; no answer, that it may be.
            Ok(StatusCode::ACCEPTED | StatusCode::OK | StatusCode::CONFLICT) | Err(_) => {
                state.engine_hub.shifted(service, shift);
                state.peers.touch(Urgency::Soon);
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

fn describe(answer: Result<StatusCode, crate::backend::CallFailure>) -> String {
    match answer {
        Ok(status) => status.as_u16().to_string(),
        Err(failure) => failure.to_string(),
    }
}
