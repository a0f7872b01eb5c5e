//! Inputs and outputs of the scheduler.

use crate::ids::{BackendServerId, ClassName, ModelId, PartnerId, RequestId};
use crate::outcome::AttemptOutcome;
use crate::slots::{ServerLoad, SlotMessage};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::affinity::CacheEvent;
use super::counters::{FailReason, RefusalReason, WasteCause};
use super::directory::{ServerRecord, StatusUpdate};
use super::hold::HoldReason;
use super::request::StageEntry;

/// Attempt number of a request. Results that carry the number of an earlier attempt are ignored.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u32);

/// Newly received request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request ID.
    pub request_id: RequestId,
    /// Partner that sent it.
    pub partner: PartnerId,
    /// Request class.
    pub class: ClassName,
    /// Requested model.
    pub model: ModelId,
    /// Prompt length.
    pub prompt_tokens: Tokens,
    /// Maximum answer length.
    pub max_tokens: Tokens,
    /// Hashes of the prompt's prefix blocks, shortest prefix first.
    pub blocks: Vec<u64>,
    /// First-token target of the class.
    pub first_token_target_ms: Millis,
    /// Target of the class for each further token; zero for none.
    pub per_token_target_ms: Millis,
    /// Time within which the request has to end, from the limit that the caller stated; `None` if it stated none.
    pub time_left_ms: Option<Millis>,
}

/// Step of a request at an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkStage {
    /// Prefill of the prompt.
    Prefill,
    /// Transfer of the KV cache to the decode server.
    Import,
    /// Generation of the answer.
    Decode,
}

/// Reason for the failure of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FailureCause {
    /// The server was unreachable; nothing was sent.
    NotSent,
    /// The server gets no requests at present; nothing was sent.
    Held(HoldReason),
    /// No answer in time, or a stream that stalled.
    Timeout,
    /// The connection was lost.
    Broken,
    /// The server has no capacity (429).
    NoRoom,
    /// The server is leaving (503).
    Leaving,
    /// The requested data no longer exists (410).
    Gone,
    /// Any other refusal.
    Refused,
}

impl FailureCause {
    /// Whether a request that was sent whole to one server may have run there.
    pub fn may_have_run(self) -> bool {
        self.attempt_end() == AttemptOutcome::MayHaveRun
    }

    /// Whether nothing was sent because the server gets no requests at present.
    pub(crate) fn is_held(self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// What the failure proves about an attempt that was sent whole to one server.
    pub(crate) fn attempt_end(self) -> AttemptOutcome {
        match self {
            Self::NotSent | Self::Held(_) => AttemptOutcome::NotSent,
            Self::NoRoom | Self::Leaving => AttemptOutcome::Declined,
            Self::Timeout | Self::Broken | Self::Gone | Self::Refused => AttemptOutcome::MayHaveRun,
        }
    }
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// A watcher sent a message.
    Slot(SlotMessage),
    /// A prefill completed.
    PrefillDone {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Size of the KV cache.
        kv_bytes: Bytes,
        /// Tokens served from the prefix cache.
        cached_tokens: Tokens,
        /// Time until the engine evicts the result.
        evict_after_ms: Millis,
    },
    /// The KV cache arrived at the decode server.
    Imported {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
    },
    /// The first token was sent to the caller.
    FirstToken {
        /// Request ID.
        request_id: RequestId,
    },
    /// Progress of the answer, reported every few hundred milliseconds.
    Progress {
        /// Request ID.
        request_id: RequestId,
        /// Total tokens of the answer so far.
        tokens: Tokens,
    },
    /// The answer is complete.
    Finished {
        /// Request ID.
        request_id: RequestId,
        /// Total tokens of the answer.
        tokens: Tokens,
    },
    /// A step failed.
    Failed {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Failed step.
        stage: WorkStage,
        /// Reason.
        cause: FailureCause,
        /// Tokens sent to the caller so far.
        tokens: Tokens,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Request ID.
        request_id: RequestId,
    },
    /// Load of a server from a source other than a watcher reply.
    Load {
        /// Server name.
        server: BackendServerId,
        /// Reported load.
        load: ServerLoad,
        /// Age of the report.
        age_us: Micros,
    },
    /// Events of a server's prefix cache; may be late and incomplete.
    Cache {
        /// Server name.
        server: BackendServerId,
        /// Cache events in order.
        events: Vec<CacheEvent>,
    },
    /// Observed change of a server's state, available before the list shows it.
    StatusUpdate {
        /// Server name.
        server: BackendServerId,
        /// Observed state.
        update: StatusUpdate,
    },
    /// Complete list of the engines of the region.
    Servers(Vec<ServerRecord>),
    /// A new watcher took over this server.
    WatcherChanged {
        /// Server name.
        server: BackendServerId,
    },
    /// A requested wake-up time was reached.
    Tick,
}

/// Output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to the watcher of its server, which may run in this process.
    Send(SlotMessage),
    /// Start the prefill.
    StartPrefill {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Target server.
        server: BackendServerId,
        /// Tokens already generated, to be prefilled after the prompt.
        from_index: Tokens,
        /// Engine priority; lower values run first.
        priority: u8,
        /// Why the previous attempt was abandoned; `None` for the first attempt.
        restart_cause: Option<WasteCause>,
    },
    /// Transfer the KV cache.
    Import {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Source prefill server.
        source: BackendServerId,
        /// Target decode server.
        server: BackendServerId,
        /// Engine priority; lower values run first.
        priority: u8,
        /// Granted share of the link.
        rate_bytes_per_s: BytesPerSecond,
    },
    /// Generate the answer.
    Decode {
        /// Request ID.
        request_id: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Target server.
        server: BackendServerId,
        /// Index of the first token to send.
        from_index: Tokens,
        /// Whether this resumes a broken stream, which needs a new connection.
        resume: bool,
        /// Longest time between tokens before the stream counts as stalled.
        token_timeout_ms: Millis,
    },
    /// Release what the request holds at the server; repeated until confirmed.
    Cancel {
        /// Request ID.
        request_id: RequestId,
        /// Target server.
        server: BackendServerId,
    },
    /// Refuse the request; nothing ran.
    Refuse {
        /// Request ID.
        request_id: RequestId,
        /// Reason.
        reason: RefusalReason,
        /// Time after which a retry is useful.
        retry_after_ms: Millis,
        /// Stage in which the request was refused.
        entry: StageEntry,
    },
    /// Fail the request: the answer cannot be started or completed.
    Fail {
        /// Request ID.
        request_id: RequestId,
        /// Reason.
        reason: FailReason,
        /// Time after which a retry is useful.
        retry_after_ms: Millis,
        /// Stage in which the request failed.
        entry: StageEntry,
    },
    /// Send [`Event::Tick`] at this time.
    Wake {
        /// Wake-up time.
        at_us: MonoTime,
    },
}
