//! What the scheduler is told and what it wants done.

use crate::ids::{BackendServerId, ClassName, ModelId, PartnerId, RequestId};
use crate::outcome::AttemptEnd;
use crate::slots::{ServerLoad, SlotMessage};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::affinity::CacheEvent;
use super::counters::{FailReason, RedoCause, RefusalReason};
use super::directory::{ServerRecord, Sign};

/// Number of an attempt at one request. Results of an earlier attempt come back under its number and are
/// dropped.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u32);

/// A request as it came in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request_id: RequestId,
    /// Who sent it.
    pub partner: PartnerId,
    /// Its class of work.
    pub class: ClassName,
    /// The model it wants.
    pub model: ModelId,
    /// Length of its prompt.
    pub prompt_tokens: Tokens,
    /// Longest answer it wants.
    pub max_tokens: Tokens,
    /// Hashes of the prompt's prefix blocks, shortest prefix first.
    pub blocks: Vec<u64>,
    /// Target of its class for the first token.
    pub first_token_target_ms: Millis,
    /// Target of its class for each further token; zero for none.
    pub per_token_target_ms: Millis,
}

/// A step of a request at an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkStage {
    /// Reading the prompt.
    Prefill,
    /// Moving the KV cache.
    Import,
    /// Writing the answer.
    Decode,
}

/// Why a step failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FailureCause {
    /// The server could not be reached; nothing was sent.
    NotSent,
    /// The server takes no more requests for now, by the limit that it states; nothing was sent.
    Limited,
    /// No answer in time, or a stream gone silent.
    Timeout,
    /// The connection broke.
    Broken,
    /// The server has no room (429).
    NoRoom,
    /// The server is leaving (503).
    Leaving,
    /// What was asked for is no longer there (410).
    Gone,
    /// Any other refusal.
    Refused,
}

impl FailureCause {
    /// Whether a request that was sent whole to one server may have run there.
    pub fn may_have_run(self) -> bool {
        self.proves() == AttemptEnd::MayHaveRun
    }

    /// What it proves of a try at a request that is sent whole to one server.
    pub(crate) fn proves(self) -> AttemptEnd {
        match self {
            Self::NotSent | Self::Limited => AttemptEnd::NotSent,
            Self::NoRoom | Self::Leaving => AttemptEnd::Declined,
            Self::Timeout | Self::Broken | Self::Gone | Self::Refused => AttemptEnd::MayHaveRun,
        }
    }
}

/// Something the scheduler has to know.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request came in.
    Arrive(Arrival),
    /// An answer of a watcher.
    Slot(SlotMessage),
    /// A prompt was read.
    PrefillDone {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Size of the result.
        kv_bytes: Bytes,
        /// Tokens that the prefix cache spared.
        cached_tokens: Tokens,
        /// For how long the result is kept.
        evict_after_ms: Millis,
    },
    /// The KV cache is at the decode server.
    Imported {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// The first token of the answer went to the caller.
    FirstToken {
        /// Which request.
        request_id: RequestId,
    },
    /// So many tokens have gone to the caller; told every few hundred milliseconds.
    Progress {
        /// Which request.
        request_id: RequestId,
        /// Tokens of the whole answer so far.
        tokens: Tokens,
    },
    /// The answer is complete.
    Finished {
        /// Which request.
        request_id: RequestId,
        /// Tokens of the answer.
        tokens: Tokens,
    },
    /// A step failed.
    Failed {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Which step.
        stage: WorkStage,
        /// Why.
        cause: FailureCause,
        /// Tokens that went to the caller so far.
        tokens: Tokens,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Which request.
        request_id: RequestId,
    },
    /// Load of a server, learned in another way than by asking.
    Load {
        /// Which server.
        server: BackendServerId,
        /// What is known.
        load: ServerLoad,
        /// Age of it.
        age_us: Micros,
    },
    /// News of a server's prefix cache; late and with gaps.
    Cache {
        /// Which server.
        server: BackendServerId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// A sign of a server's state, quicker than the list.
    Sign {
        /// Which server.
        server: BackendServerId,
        /// What it shows.
        sign: Sign,
    },
    /// The engines of the region, all of them.
    Servers(Vec<ServerRecord>),
    /// Another daemon watches this server from now on.
    WatcherChanged {
        /// Which server.
        server: BackendServerId,
    },
    /// Time passed.
    Tick,
}

/// Something the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to the watcher of the message's server, which may be in this process.
    Send(SlotMessage),
    /// Read the prompt.
    StartPrefill {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where.
        server: BackendServerId,
        /// Tokens already answered, to be read after the prompt.
        from_index: Tokens,
        /// Smaller goes first at the engine.
        priority: u8,
        /// Why it is done again, if it is.
        redo: Option<RedoCause>,
    },
    /// Move the KV cache.
    Import {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// From which prefill server.
        source: BackendServerId,
        /// To which decode server.
        server: BackendServerId,
        /// Smaller goes first.
        priority: u8,
        /// Share of the link.
        rate_bytes_per_s: BytesPerSecond,
    },
    /// Write the answer.
    Decode {
        /// Which request.
        request_id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// Where.
        server: BackendServerId,
        /// First token wanted.
        from_index: Tokens,
        /// Whether an earlier stream broke: use a new connection.
        resume: bool,
        /// Time without a token after which the stream counts as silent.
        silence_ms: Millis,
    },
    /// Release what the request holds at the server; to be repeated until confirmed.
    Cancel {
        /// Which request.
        request_id: RequestId,
        /// Where.
        server: BackendServerId,
    },
    /// Tell the caller that nothing ran.
    Refuse {
        /// Which request.
        request_id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When another try is worth making.
        retry_after_ms: Millis,
    },
    /// Tell the caller that the answer cannot be had or completed.
    Fail {
        /// Which request.
        request_id: RequestId,
        /// Why.
        reason: FailReason,
    },
    /// Send `Event::Tick` at this time.
    Wake {
        /// When.
        at_us: MonoTime,
    },
}
