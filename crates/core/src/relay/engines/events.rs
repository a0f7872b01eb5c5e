//! Events that the engine pool takes, and the actions that it asks for.

use serde::{Deserialize, Serialize};

use super::memory::Growth;
use super::order::MemoryReport;
use super::speeds::SpeedSample;
use super::spill_over::DataCentreReport;
use super::stats::WorkloadStats;
use crate::ids::{BackendServerId, DataCentreId, HostId, RequestId, SoftwareVersion};
use crate::outcome::Repeatability;
use crate::retry_budget::LoanRequest;
use crate::sched::{FailureCause, Hold, LimitReached};
use crate::shares::OrganisationKey;
use crate::units::{Credit, Micros, Millis, MonoTime, Tokens};

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Decodes answers; can prefill prompts as well, but slowly.
    Decode,
}

/// Software versions at which a request may run. What two versions write does not fit together, so an answer of
/// which the caller has a part may go on only at the version that began it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum VersionBinding {
    /// Any version: the caller has no event of the answer.
    #[default]
    Any,
    /// Only this version.
    Only(SoftwareVersion),
}

impl VersionBinding {
    /// Whether the request may run at an engine of this version.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(bound) => bound == version,
        }
    }
}

/// An engine as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEngine {
    /// Name of the engine.
    pub server: BackendServerId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Its role.
    pub role: Role,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is in the daemon's data centre.
    pub is_local: bool,
}

/// A request for a model.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Id of the request.
    pub request_id: RequestId,
    /// Length of the prompt as stated by the caller.
    pub prompt_tokens: Tokens,
    /// Longest answer that the caller allows.
    pub answer_tokens_max: Tokens,
    /// Expected length of the answer as stated by the caller; absent if it states none.
    pub answer_tokens_hint: Option<Tokens>,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Largest number of servers that may run it.
    pub attempts_max: u32,
    /// Time to the first event within which the answer counts as in time.
    pub target_ms: Millis,
    /// How long the caller has waited already in earlier attempts.
    pub waited_ms: Millis,
    /// Longest pause between events with which the answer counts as in time; absent if there is no limit.
    pub gap_target_ms: Option<Millis>,
    /// Longest time that it may wait for an engine.
    pub max_wait_ms: Millis,
    /// Priority; smaller values go first.
    pub priority: u8,
    /// Software versions at which it may run.
    pub binding: VersionBinding,
    /// Organisation of the caller; absent where callers need no key.
    pub organisation: Option<OrganisationKey>,
}

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests running at the server.
    pub running: u32,
    /// Requests queued at the server.
    pub waiting: u32,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time. Only servers that share their hosts with
    /// others state it. It changes within less than the interval between two answers, so that it shows that the
    /// speeds of servers vary, and not what the next request will take.
    pub work_time_percent: Option<u32>,
}

/// What one daemon uses of one engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineUsage {
    /// Name of the engine.
    pub server: BackendServerId,
    /// Memory of each of its requests there.
    pub growths: Vec<Growth>,
    /// Prompt tokens being prefilled there for it.
    pub prefill_tokens: Tokens,
    /// Number of its requests running there.
    pub running: u32,
}

impl EngineUsage {
    /// Memory that its requests will take there when they end.
    pub(super) fn final_tokens(&self) -> Tokens {
        self.growths.iter().fold(Tokens::ZERO, |sum, growth| sum + growth.end)
    }
}

/// What one daemon uses of the engines of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolUsage {
    /// Memory that its queued requests will take.
    pub waiting: Tokens,
    /// Statistics of its recent requests; absent if unchanged since its previous message.
    pub stats: Option<WorkloadStats>,
    /// Engines that it has ordered to change their role: the new role and the time left until the change
    /// ends.
    pub role_changes: Vec<(BackendServerId, Role, Micros)>,
    /// What it uses of each engine.
    pub engines: Vec<EngineUsage>,
}

impl PoolUsage {
    /// Usage of a daemon that is gone.
    pub fn cleared() -> Self {
        Self { stats: Some(WorkloadStats::default()), ..Self::default() }
    }
}

/// Input of the engine pool.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A request arrived.
    Arrived(Demand),
    /// An engine has reserved a slot and memory for the request.
    Reserved {
        /// The request.
        request_id: RequestId,
    },
    /// The engine has refused the reservation, or did not answer.
    ReserveFailed {
        /// The request.
        request_id: RequestId,
        /// Cause of the failure.
        cause: FailureCause,
    },
    /// The prompt was prefilled; the KV cache is held until it is fetched.
    Prefilled {
        /// The request.
        request_id: RequestId,
    },
    /// Prefilling the prompt failed.
    PrefillFailed {
        /// The request.
        request_id: RequestId,
        /// Cause of the failure.
        cause: FailureCause,
    },
    /// The request may go on only at the software version of its decode engine, although no event has arrived.
    Bound {
        /// The request.
        request_id: RequestId,
    },
    /// The first event of the answer arrived.
    Started {
        /// The request.
        request_id: RequestId,
    },
    /// More events of the answer arrived.
    Progress {
        /// The request.
        request_id: RequestId,
        /// Number of events that have arrived in total.
        events: u64,
        /// Longest pause between events since the previous report.
        longest_pause_ms: Millis,
    },
    /// Decoding the answer failed.
    DecodeFailed {
        /// The request.
        request_id: RequestId,
        /// Cause of the failure. `NotSent`, `NoRoom` and `Leaving` prove that the request did not run.
        cause: FailureCause,
    },
    /// The answer is complete.
    Finished {
        /// The request.
        request_id: RequestId,
        /// Total number of events.
        events: u64,
    },
    /// The caller closed its connection, or its time is over.
    CallerLeft {
        /// The request.
        request_id: RequestId,
    },
    /// Complete list of the engines.
    Engines(Vec<ListedEngine>),
    /// Complete usage of another daemon; empty once it is gone.
    Peer {
        /// Host of the daemon.
        host: HostId,
        /// Its usage.
        usage: PoolUsage,
    },
    /// Memory that another daemon's requests hold and wait for.
    PeerMemory {
        /// Host of the daemon.
        host: HostId,
        /// Its report.
        report: MemoryReport,
    },
    /// Speeds that another daemon observed.
    PeerSpeeds(Vec<SpeedSample>),
    /// What another daemon tells of its data centre and others.
    PeerDataCentre {
        /// Host of the daemon.
        host: HostId,
        /// Data centre of the daemon.
        data_centre: DataCentreId,
        /// Its report.
        report: DataCentreReport,
    },
    /// A statement of an engine: it gets no requests for a time.
    Hold {
        /// Name of the engine.
        server: BackendServerId,
        /// The period without requests.
        hold: Hold,
    },
    /// The statements of an engine no longer hold.
    Release {
        /// Name of the engine.
        server: BackendServerId,
    },
    /// The limit stated by an engine is used up.
    Limited {
        /// Name of the engine.
        server: BackendServerId,
        /// The limit, and for how long it applies.
        reached: LimitReached,
    },
    /// Another daemon answered a request for retry credit.
    Lent {
        /// Number of the request for credit.
        number: u64,
        /// Credit lent.
        credit: Credit,
        /// Credit that the lender has left.
        left: Credit,
    },
    /// Time passed.
    Tick,
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineRefusal {
    /// It would wait too long.
    WouldWaitTooLong,
    /// No engine accepts requests.
    NoEngine,
    /// No engine of the software version that began the answer accepts requests.
    VersionGone,
    /// All decode engines have asked for a rest.
    Resting,
    /// The attempts of the request or the retry budget of the service are used up; no attempt ran.
    RetriesExhausted,
}

/// Output of the engine pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineAction {
    /// Reserve a slot and memory for the request.
    Reserve {
        /// The request.
        request_id: RequestId,
        /// Engine that decodes the answer.
        decode_engine: BackendServerId,
        /// Memory for the prompt and the first part of the answer.
        tokens: Tokens,
        /// How long the engine keeps the reservation.
        keep_ms: Millis,
        /// Time after which to report `ReserveFailed` with `Timeout`.
        timeout_ms: Millis,
    },
    /// Prefill the prompt, to be fetched by the decode engine.
    Prefill {
        /// The request.
        request_id: RequestId,
        /// Engine that prefills the prompt.
        prefill_engine: BackendServerId,
        /// Time after which to report `PrefillFailed` with `Timeout`.
        timeout_ms: Millis,
    },
    /// Decode the answer.
    Decode {
        /// The request.
        request_id: RequestId,
        /// Engine that decodes the answer.
        decode_engine: BackendServerId,
        /// Engine that holds the KV cache to fetch; absent if the decode engine prefills the prompt itself.
        prefill_engine: Option<BackendServerId>,
        /// Software version of the decode engine.
        version: SoftwareVersion,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Reason for the refusal.
        reason: EngineRefusal,
        /// When a retry is worthwhile.
        retry_after_ms: Millis,
    },
    /// Tell the caller that it is not known whether the request ran.
    Unknown {
        /// The request.
        request_id: RequestId,
    },
    /// Ask another daemon for retry credit.
    Borrow(LoanRequest),
    /// Send `EngineEvent::Tick` at the given time.
    Wake {
        /// When to send it.
        at_us: MonoTime,
    },
}

/// Counters of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests for which it is not known whether they ran.
    pub unknown: u64,
    /// Further prefills and further decode attempts.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
}
