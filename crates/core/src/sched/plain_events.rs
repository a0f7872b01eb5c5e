//! Inputs and outputs of the scheduler of a plain service.

use crate::ids::{BackendServerId, Lifetime, PartnerId, RequestId};
use crate::retry_budget::LoanRequest;
use crate::units::{Credit, Micros, Millis, MonoTime};

use super::directory::StatusUpdate;
use super::events::FailureCause;
use super::hold::Hold;
use super::instance::LimitReached;

/// Newly received call for a plain service.
#[derive(Clone, Debug)]
pub struct PlainArrival {
    /// Request ID.
    pub request_id: RequestId,
    /// Partner that sent it.
    pub partner: PartnerId,
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Maximum number of attempts.
    pub attempts_max: u32,
    /// Longest wait for an instance.
    pub max_wait_ms: Millis,
    /// Time within which its answer is in time; used where instances are chosen by their loads.
    pub target_ms: Option<Millis>,
}

/// Instance of a plain service in the platform's list.
#[derive(Clone, Debug)]
pub struct PlainInstance {
    /// Server name.
    pub server: BackendServerId,
    /// Number of concurrent calls that it accepts.
    pub capacity: u32,
    /// Whether it is listed as leaving.
    pub leaving: bool,
    /// Whether it is in the daemon's own data centre.
    pub is_local: bool,
    /// Its current run; `None` where an id is never used again.
    pub lifetime: Option<Lifetime>,
}

/// Input of the scheduler of a plain service.
#[derive(Clone, Debug)]
pub enum PlainEvent {
    /// A call arrived.
    Arrive(PlainArrival),
    /// An instance answered.
    Done {
        /// Request ID.
        request_id: RequestId,
    },
    /// An instance answered with an error that its caller gets. Its response time does not count: an instance that
    /// fails fast is not a fast one.
    DoneWithError {
        /// Request ID.
        request_id: RequestId,
    },
    /// A call failed.
    Failed {
        /// Request ID.
        request_id: RequestId,
        /// Cause of the failure.
        cause: FailureCause,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Request ID.
        request_id: RequestId,
    },
    /// Complete list of instances.
    Instances(Vec<PlainInstance>),
    /// Observed change of an instance's state, available before the list shows it.
    StatusUpdate {
        /// Server name.
        server: BackendServerId,
        /// Observed state.
        update: StatusUpdate,
    },
    /// A statement of an instance: it gets no calls for a time.
    Hold {
        /// Server name.
        server: BackendServerId,
        /// The period without calls.
        hold: Hold,
    },
    /// The statements of an instance no longer hold.
    Release {
        /// Server name.
        server: BackendServerId,
    },
    /// Load report of an instance.
    Load {
        /// Server name.
        server: BackendServerId,
        /// Calls in flight from all daemons.
        in_flight: u32,
        /// Number of concurrent calls that it accepts.
        capacity: u32,
        /// Age of the report.
        age_us: Micros,
    },
    /// Another daemon answered a request for a loan.
    Lent {
        /// Number of the loan request.
        number: u64,
        /// Credit lent.
        credit: Credit,
        /// Credit that remains with the lender.
        left: Credit,
    },
    /// An instance's published rate limit is used up.
    Limited {
        /// Server name.
        server: BackendServerId,
        /// The limit, and the time until the instance accepts one more call.
        reached: LimitReached,
    },
    /// A requested wake-up time was reached.
    Tick,
}

/// Reason for refusing a call, which did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlainRefusal {
    /// The expected wait exceeds the limit of the call.
    WouldWaitTooLong,
    /// The partner's queue is full.
    QueueFull,
    /// No instance accepts calls.
    NoInstance,
    /// All instances have asked for a rest.
    Resting,
    /// The attempts of the call or the retries of its partner are used up, and no attempt ran.
    RetriesExhausted,
}

/// Output of the scheduler of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainAction {
    /// Send the call.
    Dispatch {
        /// Request ID.
        request_id: RequestId,
        /// Target server.
        server: BackendServerId,
        /// Time after which `Failed` with `Timeout` is reported.
        timeout_ms: Millis,
        /// Whether a new connection is required. If a stale pooled connection fails, it is unknown whether
        /// the call ran, and a call that must not be repeated cannot be retried.
        fresh_connection: bool,
    },
    /// Refuse the call; it did not run.
    Refuse {
        /// Request ID.
        request_id: RequestId,
        /// Reason.
        reason: PlainRefusal,
        /// Time after which a retry is useful.
        retry_after_ms: Millis,
    },
    /// Tell the caller that it is unknown whether the call ran.
    Unknown {
        /// Request ID.
        request_id: RequestId,
    },
    /// Ask another daemon to lend retry credit.
    Borrow(LoanRequest),
    /// Send [`PlainEvent::Tick`] at this time.
    Wake {
        /// Wake-up time.
        at_us: MonoTime,
    },
}

/// Counters of one plain service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlainCounters {
    /// Calls received.
    pub arrivals: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls for which it is unknown whether they ran.
    pub unknown: u64,
    /// Retries started.
    pub retries: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Ejections of instances as slow.
    pub ejected_slow: u64,
    /// Ejections of instances as unresponsive.
    pub ejected_unresponsive: u64,
}
