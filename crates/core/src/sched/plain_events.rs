//! What the scheduler of a plain service is told and what it wants done.

use crate::allowance::Ask;
use crate::ids::{BackendServerId, PartnerId, RequestId};
use crate::units::{Credit, Micros, Millis, MonoTime};

use super::directory::Sign;
use super::events::FailureCause;
use super::instance::LimitReached;

/// A call for a plain service.
#[derive(Clone, Debug)]
pub struct PlainArrival {
    /// Its id.
    pub request_id: RequestId,
    /// Who sent it.
    pub partner: PartnerId,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Attempts at most.
    pub attempts_max: u32,
    /// Longest time that it may wait for an instance.
    pub patience_ms: Millis,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug)]
pub struct PlainInstance {
    /// Its name.
    pub server: BackendServerId,
    /// Calls that it runs at once.
    pub capacity: u32,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// Something the scheduler of a plain service has to know.
#[derive(Clone, Debug)]
pub enum PlainEvent {
    /// A call came in.
    Arrive(PlainArrival),
    /// An instance answered.
    Done {
        /// Which call.
        request_id: RequestId,
    },
    /// A call failed.
    Failed {
        /// Which call.
        request_id: RequestId,
        /// Why. `NotSent`, `NoRoom` and `Leaving` prove that it did not run.
        cause: FailureCause,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Which call.
        request_id: RequestId,
    },
    /// The instances, all of them.
    Instances(Vec<PlainInstance>),
    /// A sign of an instance's state, quicker than the list.
    Sign {
        /// Which instance.
        server: BackendServerId,
        /// What it shows.
        sign: Sign,
    },
    /// A load report.
    Load {
        /// Which instance.
        server: BackendServerId,
        /// Calls that it runs, of all daemons.
        in_flight: u32,
        /// Calls that it runs at once.
        capacity: u32,
        /// Age of the report.
        age_us: Micros,
    },
    /// Another daemon answered a question for a loan.
    Lent {
        /// The question.
        number: u64,
        /// What it lends.
        credit: Credit,
        /// What it has left.
        spare: Credit,
    },
    /// The limit that an instance states is used up.
    Limited {
        /// Which instance.
        server: BackendServerId,
        /// The limit, and for how long.
        reached: LimitReached,
    },
    /// Time passed.
    Tick,
}

/// Why a call was refused; it did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlainRefusal {
    /// It would wait longer than its patience.
    WouldWaitTooLong,
    /// Its partner's queue is full.
    QueueFull,
    /// No instance takes calls.
    NoInstance,
    /// Its attempts or its partner's retries are used up; no attempt ran.
    RetriesSpent,
}

/// Something the scheduler of a plain service wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainAction {
    /// Send the call.
    Dispatch {
        /// Which call.
        request_id: RequestId,
        /// Where.
        server: BackendServerId,
        /// Report `Failed` with `Timeout` after this.
        timeout_ms: Millis,
        /// Whether an idle pooled connection may carry it: one gone silent would leave it unknown whether
        /// a call that may not be repeated ran.
        fresh_connection: bool,
    },
    /// Tell the caller that it did not run.
    Refuse {
        /// Which call.
        request_id: RequestId,
        /// Why.
        reason: PlainRefusal,
        /// When another try is worth making.
        retry_after_ms: Millis,
    },
    /// Tell the caller that it is not known whether it ran.
    Unknown {
        /// Which call.
        request_id: RequestId,
    },
    /// Ask another daemon for a loan.
    Borrow(Ask),
    /// Send `PlainEvent::Tick` at this time.
    Wake {
        /// When.
        at_us: MonoTime,
    },
}

/// Counters of one plain service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlainCounters {
    /// Calls that came in.
    pub arrivals: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls of which it is not known whether they ran.
    pub unknown: u64,
    /// Retries made.
    pub retries: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Times that an instance was set aside as slow.
    pub ejected_slow: u64,
    /// Times that an instance was set aside as mute.
    pub ejected_mute: u64,
}
