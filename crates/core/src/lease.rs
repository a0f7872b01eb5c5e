//! Leases on the right to send orders to engines: one holder per data centre, recorded in the log.
//!
//! A record names the lease record that it follows; of two records that follow the same one, the first in log
//! order is valid and the other is ignored. Clocks of different hosts are never compared: the holder measures
//! its lease from before it appended the record, a successor from when it read the record, which is later.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, FencingNumber, HostId, Incarnation, Offset};
use crate::units::{Millis, MonoTime};

/// Durations of leases and orders.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Duration of the lease that a record grants.
    pub lease_ms: Millis,
    /// Time before the end of the lease at which the holder renews it.
    pub renew_before_ms: Millis,
    /// Maximum validity of an order.
    pub longest_order_ms: Millis,
    /// Maximum drift between two hosts' clocks over the duration of a lease and an order.
    pub drift_ms: Millis,
    /// Delay before a failed append is repeated.
    pub retry_ms: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: Millis(15_000),
            renew_before_ms: Millis(10_000),
            longest_order_ms: Millis(5_000),
            drift_ms: Millis(500),
            retry_ms: Millis(1_000),
        }
    }
}

impl LeaseSettings {
    /// How long a successor waits after reading a lease's last record. The holder may send orders until the
    /// lease ends, and its last order may still arrive at an engine until that order expires.
    pub fn takeover_ms(&self) -> Millis {
        self.lease_ms + self.last_order_ms()
    }

    /// How long a successor waits after a lease was released: the holder's last order may still be on its
    /// way.
    pub fn last_order_ms(&self) -> Millis {
        self.longest_order_ms + self.drift_ms
    }
}

/// Daemon incarnation that holds or requests a lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct LeaseHolder {
    /// Host of the daemon.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Record of the lease stream.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Data centre whose engines the holder may send orders to.
    pub data_centre: DataCentreId,
    /// Daemon that acquires, renews or releases the lease.
    pub holder: LeaseHolder,
    /// Offset of the valid lease record before this one; `None` if the writer has seen none.
    pub previous: Option<Offset>,
    /// Counter over the holder's appends. An append that was assumed lost can arrive late, and the holder
    /// must not measure its lease from a later one.
    pub attempt: u64,
    /// Whether the record releases the lease.
    pub released: bool,
}

#[derive(Clone, Debug)]
struct LeaseState {
    holder: LeaseHolder,
    fencing: FencingNumber,
    last: Offset,
    released: bool,
    attempt: u64,
    read_us: MonoTime,
}

/// Leases as recorded in the log, as seen by one reader.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    next: Offset,
    leases: HashMap<DataCentreId, LeaseState>,
}

impl LeaseFold {
    /// Offset of the record expected next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Skips to the oldest record that the log keeps. Holders renew every few seconds, so a lease without a
    /// remaining record ended long ago; other readers have no record to follow either.
    pub fn skip_to(&mut self, start: Offset) {
        self.next = self.next.max(start);
    }

    /// Applies the record at `offset`, read at `now_us`. Records before the expected offset are ignored.
    pub fn apply(&mut self, now_us: MonoTime, offset: Offset, record: Option<&LeaseRecord>) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        let Some(record) = record else { return };
        let current = self.leases.get(&record.data_centre);
        if current.map(|current| current.last) != record.previous {
            return;
        }
        // A renewal keeps the fencing number; a new holder gets a greater one.
        let renewed = current.filter(|current| current.holder == record.holder && !current.released);
        let fencing = renewed.map_or(FencingNumber(offset.0), |current| current.fencing);
        self.leases.insert(
            record.data_centre.clone(),
            LeaseState {
                holder: record.holder.clone(),
                fencing,
                last: offset,
                released: record.released,
                attempt: record.attempt,
                read_us: now_us,
            },
        );
    }

    /// Offset of the last valid record of a lease.
    pub fn last(&self, data_centre: &DataCentreId) -> Option<Offset> {
        self.leases.get(data_centre).map(|current| current.last)
    }

    /// Fencing number of `holder`, if it is the recorded holder. Whether the lease has ended can only be told
    /// by the holder's own clock.
    pub fn fencing(&self, data_centre: &DataCentreId, holder: &LeaseHolder) -> Option<FencingNumber> {
        let current = self.leases.get(data_centre)?;
        (current.holder == *holder && !current.released).then_some(current.fencing)
    }

    /// The holder's append counter in the last valid record.
    fn attempt(&self, data_centre: &DataCentreId) -> Option<u64> {
        self.leases.get(data_centre).map(|current| current.attempt)
    }

    /// Whether `candidate` may acquire the lease: it holds the lease already, nobody does, or the reader has
    /// seen no record for as long as an order of the holder could still arrive.
    pub fn may_acquire(
        &self,
        now_us: MonoTime,
        settings: &LeaseSettings,
        data_centre: &DataCentreId,
        candidate: &LeaseHolder,
    ) -> bool {
        let Some(current) = self.leases.get(data_centre) else {
            return true;
        };
        let wait_ms = if current.released { settings.last_order_ms() } else { settings.takeover_ms() };
        current.holder == *candidate || current.read_us + wait_ms <= now_us
    }
}

/// A lease that is held, as its holder may use it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Fencing number, which increases with each new holder.
    pub fencing: FencingNumber,
    /// End of the lease by the holder's clock.
    pub until_us: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AppendState {
    Idle,
    InFlight {
        sent_us: MonoTime,
    },
    /// The log may contain the record; known once the fold has read the stream to its end.
    Unconfirmed {
        sent_us: MonoTime,
    },
}

/// State of one daemon for one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    data_centre: DataCentreId,
    own_identity: LeaseHolder,
    held: Option<HeldLease>,
    append: AppendState,
    retry_at_us: MonoTime,
    attempt: u64,
}

impl Lease {
    /// Creates the state of a lease that `own_identity` does not hold.
    pub fn new(settings: LeaseSettings, data_centre: DataCentreId, own_identity: LeaseHolder) -> Self {
        Self {
            settings,
            data_centre,
            own_identity,
            held: None,
            append: AppendState::Idle,
            retry_at_us: MonoTime::default(),
            attempt: 0,
        }
    }

    /// The same lease, not held, for when a receiver has seen a later holder, so that this one's fencing
    /// number is obsolete.
    #[must_use]
    pub fn without_lease(&self) -> Self {
        Self { held: None, append: AppendState::Idle, ..self.clone() }
    }

    /// The lease, if it is held at `now_us`. Checking the clock here lets a holder that was paused past the
    /// end of its lease notice the loss before it sends an order.
    pub fn held(&self, now_us: MonoTime) -> Option<HeldLease> {
        self.held.filter(|held| now_us < held.until_us)
    }

    /// The record to append now to acquire or renew the lease, if any. The fold must have read the stream to
    /// its end. An append that could not be read back earlier, because the log went down, is resolved first:
    /// otherwise it would block this daemon from the lease forever.
    pub fn next_record(&mut self, now_us: MonoTime, fold: &LeaseFold) -> Option<LeaseRecord> {
        self.read_back(now_us, fold);
        if self.append != AppendState::Idle || now_us < self.retry_at_us {
            return None;
        }
        if let Some(held) = self.held(now_us) {
            if now_us + self.settings.renew_before_ms < held.until_us {
                return None;
            }
        } else if !fold.may_acquire(now_us, &self.settings, &self.data_centre, &self.own_identity) {
            return None;
        }
        self.append = AppendState::InFlight { sent_us: now_us };
        Some(self.record(fold, false))
    }

    /// The record that releases the lease when the daemon stops, if it is held. The lease is not used
    /// afterwards.
    pub fn release(&mut self, now_us: MonoTime, fold: &LeaseFold) -> Option<LeaseRecord> {
        self.held(now_us)?;
        self.held = None;
        Some(self.record(fold, true))
    }

    fn record(&mut self, fold: &LeaseFold, released: bool) -> LeaseRecord {
        self.attempt += 1;
        LeaseRecord {
            data_centre: self.data_centre.clone(),
            holder: self.own_identity.clone(),
            previous: fold.last(&self.data_centre),
            attempt: self.attempt,
            released,
        }
    }

    /// Handles an append that had no effect.
    pub fn append_failed(&mut self, now_us: MonoTime) {
        self.append = AppendState::Idle;
        self.retry_at_us = now_us + self.settings.retry_ms;
    }

    /// Handles an append that succeeded or may have: the fold decides.
    pub fn append_unconfirmed(&mut self) {
        if let AppendState::InFlight { sent_us } = self.append {
            self.append = AppendState::Unconfirmed { sent_us };
        }
    }

    /// Resolves an unconfirmed append, once the fold has read the stream to an end that was requested after
    /// the append ended. The lease is measured from before the append was sent, however late its record is
    /// read.
    pub fn read_back(&mut self, now_us: MonoTime, fold: &LeaseFold) {
        let AppendState::Unconfirmed { sent_us } = self.append else {
            return;
        };
        self.append = AppendState::Idle;
        self.retry_at_us = now_us + self.settings.retry_ms;
        let counted = fold.attempt(&self.data_centre) == Some(self.attempt);
        let fencing = fold.fencing(&self.data_centre, &self.own_identity);
        self.held = match fencing {
            Some(fencing) if counted => {
                Some(HeldLease { fencing, until_us: sent_us + self.settings.lease_ms })
            }
            Some(_) => self.held,
            None => None,
        };
    }
}
