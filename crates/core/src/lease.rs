//! Leases over the right to order engines about: one holder per data centre, kept on the log.
//!
//! A record names the lease record that it follows, so that of two that follow the same one the first in the
//! log's order counts and the other does not. No clock of two hosts is compared: the holder counts its time
//! from before it appended, a successor from when it read the record, which is later.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, FencingNumber, HostId, Incarnation, Offset};
use crate::units::{Millis, MonoTime};

/// Bounds of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a record gives the lease for.
    pub lease_ms: Millis,
    /// How long before its end the holder renews it.
    pub renew_before_ms: Millis,
    /// The longest an order may be valid for.
    pub longest_order_ms: Millis,
    /// What two hosts' clocks may gain on each other over a lease and an order.
    pub drift_ms: Millis,
    /// Wait before an append that failed is tried again.
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
    /// How long a successor waits after reading a lease's last record. The holder may order until the lease
    /// ends, and its last order may still arrive at the engine until that order expires.
    pub fn takeover_ms(&self) -> Millis {
        self.lease_ms + self.last_order_ms()
    }

    /// How long a successor waits after a lease was given up: its last order may still be on its way.
    pub fn last_order_ms(&self) -> Millis {
        self.longest_order_ms + self.drift_ms
    }
}

/// A daemon's life as a holder of leases.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct LeaseHolder {
    /// The host.
    pub host: HostId,
    /// The life.
    pub incarnation: Incarnation,
}

/// One record of the lease stream.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct LeaseRecord {
    /// The data centre whose engines may be ordered about.
    pub data_centre: DataCentreId,
    /// Who takes or renews the lease.
    pub holder: LeaseHolder,
    /// Offset of the record that this one follows; `None` when the writer has seen none.
    pub follows: Option<Offset>,
    /// Counter over the appends of this holder. An earlier append that was given up for lost can land late;
    /// the holder must not count its time from a later one.
    pub attempt: u64,
    /// Whether the holder gives it up.
    pub gives_up: bool,
}

#[derive(Clone, Debug)]
struct Standing {
    holder: LeaseHolder,
    fencing: FencingNumber,
    last: Offset,
    given_up: bool,
    attempt: u64,
    read_us: MonoTime,
}

/// The leases as the log's order gives them, at one reader.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    next: Offset,
    standing: HashMap<DataCentreId, Standing>,
}

impl LeaseFold {
    /// Offset of the record expected next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Starts at the oldest record that the log keeps. Holders renew every few seconds, so a lease without a
    /// kept record has ended long ago; its readers have no record to follow either.
    pub fn skip_to(&mut self, start: Offset) {
        self.next = self.next.max(start);
    }

    /// Takes the record at `offset`, read at `now_us`. Records that are out of order are passed over.
    pub fn apply(&mut self, now_us: MonoTime, offset: Offset, record: Option<&LeaseRecord>) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        let Some(record) = record else { return };
        let standing = self.standing.get(&record.data_centre);
        if standing.map(|standing| standing.last) != record.follows {
            return;
        }
        // A holder keeps its fencing number over renewals; whoever takes the lease over gets a greater one.
        let renewed = standing.filter(|standing| standing.holder == record.holder && !standing.given_up);
        let fencing = renewed.map_or(FencingNumber(offset.0), |standing| standing.fencing);
        self.standing.insert(
            record.data_centre.clone(),
            Standing {
                holder: record.holder.clone(),
                fencing,
                last: offset,
                given_up: record.gives_up,
                attempt: record.attempt,
                read_us: now_us,
            },
        );
    }

    /// The last record of a lease that counted.
    pub fn last(&self, data_centre: &DataCentreId) -> Option<Offset> {
        self.standing.get(data_centre).map(|standing| standing.last)
    }

    /// The fencing number under which `holder` stands as the holder. It says nothing of whether the lease has
    /// ended: only the holder's own clock does.
    pub fn fencing(&self, data_centre: &DataCentreId, holder: &LeaseHolder) -> Option<FencingNumber> {
        let standing = self.standing.get(data_centre)?;
        (standing.holder == *holder && !standing.given_up).then_some(standing.fencing)
    }

    /// The holder's own count of the last record that counted.
    fn attempt(&self, data_centre: &DataCentreId) -> Option<u64> {
        self.standing.get(data_centre).map(|standing| standing.attempt)
    }

    /// Whether the lease may be taken over by `candidate`: nobody holds it, or the reader has seen no
    /// record for as long as an order of its holder could still arrive.
    pub fn may_take(
        &self,
        now_us: MonoTime,
        settings: &LeaseSettings,
        data_centre: &DataCentreId,
        candidate: &LeaseHolder,
    ) -> bool {
        let Some(standing) = self.standing.get(data_centre) else {
            return true;
        };
        let wait_ms = if standing.given_up { settings.last_order_ms() } else { settings.takeover_ms() };
        standing.holder == *candidate || standing.read_us + wait_ms <= now_us
    }
}

/// A lease as its holder may use it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Orders the holders.
    pub fencing: FencingNumber,
    /// End of the lease on the holder's clock.
    pub until_us: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sending {
    Idle,
    UnderWay {
        sent_us: MonoTime,
    },
    /// The log may hold it: the fold tells once it has passed the end of the stream.
    Unconfirmed {
        sent_us: MonoTime,
    },
}

/// One daemon's use of one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    data_centre: DataCentreId,
    me: LeaseHolder,
    held: Option<HeldLease>,
    sending: Sending,
    retry_at_us: MonoTime,
    attempt: u64,
}

impl Lease {
    /// A lease that `me` does not hold.
    pub fn new(settings: LeaseSettings, data_centre: DataCentreId, me: LeaseHolder) -> Self {
        Self {
            settings,
            data_centre,
            me,
            held: None,
            sending: Sending::Idle,
            retry_at_us: MonoTime::default(),
            attempt: 0,
        }
    }

    /// The same lease, not held: a receiver has seen a later holder, so this one's number is worth nothing any more.
    #[must_use]
    pub fn fresh(&self) -> Self {
        Self { held: None, sending: Sending::Idle, ..self.clone() }
    }

    /// The lease, if it is held now. The clock is looked at here, so that a holder that was paused past its
    /// lease sees that it has lost it before it orders anything.
    pub fn held(&self, now_us: MonoTime) -> Option<HeldLease> {
        self.held.filter(|held| now_us < held.until_us)
    }

    /// The record to append now, if any: to take the lease, or to renew it in time. The fold must have read
    /// the stream to its end. An append whose end could not be read back when it was made, because the log had
    /// gone down, is settled first: it would keep this daemon from the lease for ever.
    pub fn want(&mut self, now_us: MonoTime, fold: &LeaseFold) -> Option<LeaseRecord> {
        self.read_back(now_us, fold);
        if self.sending != Sending::Idle || now_us < self.retry_at_us {
            return None;
        }
        if let Some(held) = self.held(now_us) {
            if now_us + self.settings.renew_before_ms < held.until_us {
                return None;
            }
        } else if !fold.may_take(now_us, &self.settings, &self.data_centre, &self.me) {
            return None;
        }
        self.sending = Sending::UnderWay { sent_us: now_us };
        Some(self.record(fold, false))
    }

    /// The record that gives the lease up, when the daemon stops. The lease is not used from here on.
    pub fn give_up(&mut self, now_us: MonoTime, fold: &LeaseFold) -> Option<LeaseRecord> {
        self.held(now_us)?;
        self.held = None;
        Some(self.record(fold, true))
    }

    fn record(&mut self, fold: &LeaseFold, gives_up: bool) -> LeaseRecord {
        self.attempt += 1;
        LeaseRecord {
            data_centre: self.data_centre.clone(),
            holder: self.me.clone(),
            follows: fold.last(&self.data_centre),
            attempt: self.attempt,
            gives_up,
        }
    }

    /// The append ended without effect.
    pub fn not_appended(&mut self, now_us: MonoTime) {
        self.sending = Sending::Idle;
        self.retry_at_us = now_us + self.settings.retry_ms;
    }

    /// The append stands, or may stand: the fold decides.
    pub fn maybe_appended(&mut self) {
        if let Sending::UnderWay { sent_us } = self.sending {
            self.sending = Sending::Unconfirmed { sent_us };
        }
    }

    /// The fold has read the stream to an end that was asked for after the append ended. The lease runs from
    /// before the append was sent, however late its record is read.
    pub fn read_back(&mut self, now_us: MonoTime, fold: &LeaseFold) {
        let Sending::Unconfirmed { sent_us } = self.sending else {
            return;
        };
        self.sending = Sending::Idle;
        self.retry_at_us = now_us + self.settings.retry_ms;
        let counted = fold.attempt(&self.data_centre) == Some(self.attempt);
        let fencing = fold.fencing(&self.data_centre, &self.me);
        self.held = match fencing {
            Some(fencing) if counted => {
                Some(HeldLease { fencing, until_us: sent_us + self.settings.lease_ms })
            }
            Some(_) => self.held,
            None => None,
        };
    }
}
