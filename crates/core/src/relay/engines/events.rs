//! What the pool of engines is told and what it wants done.

use serde::{Deserialize, Serialize};

use super::memory::Growth;
use super::stats::Seen;
use crate::allowance::Ask;
use crate::ids::{BackendServerId, HostId, RequestId};
use crate::outcome::Repeatability;
use crate::sched::{FailureCause, LimitReached};
use crate::units::{Credit, Micros, Millis, MonoTime, Tokens};

/// What an engine does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Writes answers; can read prompts as well, slowly.
    Decode,
}

/// An engine as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEngine {
    /// Its name.
    pub server: BackendServerId,
    /// What it does.
    pub role: Role,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Whether it is in the daemon's data centre.
    pub near: bool,
}

/// A request for a model.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Its id.
    pub request_id: RequestId,
    /// Length of its prompt, as its caller says.
    pub prompt_tokens: Tokens,
    /// Longest answer that its caller allows.
    pub answer_tokens_max: Tokens,
    /// Length of the answer that its caller expects.
    pub answer_tokens_hint: Option<Tokens>,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Servers that may run it at most.
    pub attempts_max: u32,
    /// Time within which its first event is in time.
    pub target_ms: Millis,
    /// How long its caller has waited already, with earlier tries.
    pub waited_ms: Millis,
    /// Longest pause between events with which its answer is in time.
    pub gap_target_ms: Option<Millis>,
    /// Longest time that it may wait for an engine.
    pub patience_ms: Millis,
    /// Rank; smaller goes first.
    pub priority: u8,
}

/// Load that an engine told in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ToldLoad {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// What one daemon has at one engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// The engine.
    pub server: BackendServerId,
    /// Memory that its requests take there, one by one.
    pub growths: Vec<Growth>,
    /// Prompt tokens that are read there for it.
    pub reading: Tokens,
    /// Requests that it has there.
    pub running: u32,
}

impl Holding {
    /// Memory that its requests take there when they end.
    pub(super) fn room(&self) -> Tokens {
        self.growths.iter().fold(Tokens::ZERO, |sum, growth| sum + growth.end)
    }
}

/// What one daemon has at the engines of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Holdings {
    /// Memory that its waiting requests will take.
    pub waiting: Tokens,
    /// What its requests were like lately; absent where that is what it told before.
    pub seen: Option<Seen>,
    /// Engines that it has ordered to change their role, to which, and for how much longer they change.
    pub changing: Vec<(BackendServerId, Role, Micros)>,
    /// What it has, engine by engine.
    pub engines: Vec<Holding>,
}

impl Holdings {
    /// Of a daemon that is gone.
    pub fn of_nobody() -> Self {
        Self { seen: Some(Seen::default()), ..Self::default() }
    }
}

/// Something the pool has to know.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A request came in.
    Arrive(Demand),
    /// An engine keeps a slot and memory for the request.
    Reserved {
        /// Which request.
        request_id: RequestId,
    },
    /// It does not.
    ReserveFailed {
        /// Which request.
        request_id: RequestId,
        /// Why.
        cause: FailureCause,
    },
    /// The prompt was read; the KV cache waits to be fetched.
    PromptRead {
        /// Which request.
        request_id: RequestId,
    },
    /// Reading the prompt failed.
    ReadFailed {
        /// Which request.
        request_id: RequestId,
        /// Why.
        cause: FailureCause,
    },
    /// The first event of the answer arrived.
    Started {
        /// Which request.
        request_id: RequestId,
    },
    /// More events of the answer arrived.
    Progress {
        /// Which request.
        request_id: RequestId,
        /// Events that its answer has by now.
        events: u64,
        /// Longest pause between them since this was told last.
        longest_pause_ms: Millis,
    },
    /// Writing the answer failed.
    WriteFailed {
        /// Which request.
        request_id: RequestId,
        /// Why. `NotSent`, `NoRoom` and `Leaving` prove that it did not run.
        cause: FailureCause,
    },
    /// The answer is complete.
    Finished {
        /// Which request.
        request_id: RequestId,
        /// Events that it took.
        events: u64,
    },
    /// The caller closed its connection, or its time is over.
    CallerLeft {
        /// Which request.
        request_id: RequestId,
    },
    /// The engines, all of them.
    Engines(Vec<ListedEngine>),
    /// What another daemon has at the engines, all of it; nothing once it is gone.
    Peer {
        /// The daemon's host.
        host: HostId,
        /// What it has.
        holdings: Holdings,
    },
    /// The limit that an engine states is used up.
    Limited {
        /// Which engine.
        server: BackendServerId,
        /// The limit, and for how long.
        reached: LimitReached,
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
    /// Time passed.
    Tick,
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineRefusal {
    /// It would wait longer than its patience.
    WouldWaitTooLong,
    /// No engine takes requests.
    NoEngine,
    /// Its attempts or the service's retries are used up; no attempt ran.
    RetriesSpent,
}

/// Something the pool wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineAction {
    /// Have a slot and memory kept for the request.
    Reserve {
        /// Which request.
        request_id: RequestId,
        /// Where.
        writer: BackendServerId,
        /// Memory for prompt and answer.
        tokens: Tokens,
        /// For how long.
        keep_ms: Millis,
        /// Report `ReserveFailed` with `Timeout` after this.
        timeout_ms: Millis,
    },
    /// Have the prompt read, for `writer` to fetch.
    Read {
        /// Which request.
        request_id: RequestId,
        /// Where.
        reader: BackendServerId,
        /// Report `ReadFailed` with `Timeout` after this.
        timeout_ms: Millis,
    },
    /// Have the answer written.
    Write {
        /// Which request.
        request_id: RequestId,
        /// Where.
        writer: BackendServerId,
        /// The engine whose KV cache it fetches; absent where it reads the prompt itself.
        reader: Option<BackendServerId>,
    },
    /// Tell the caller that it did not run.
    Refuse {
        /// Which request.
        request_id: RequestId,
        /// Why.
        reason: EngineRefusal,
        /// When another try is worth making.
        retry_after_ms: Millis,
    },
    /// Tell the caller that it is not known whether it ran.
    Unknown {
        /// Which request.
        request_id: RequestId,
    },
    /// Ask another daemon for a loan.
    Borrow(Ask),
    /// Send `EngineEvent::Tick` at this time.
    Wake {
        /// When.
        at_us: MonoTime,
    },
}

/// Counters of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounters {
    /// Requests that came in.
    pub arrivals: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests of which it is not known whether they ran.
    pub unknown: u64,
    /// Further prompts read and further tries at writing.
    pub retries: u64,
    /// Further tries denied by the budget.
    pub retries_denied: u64,
}
