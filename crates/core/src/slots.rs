//! Slots of backend servers, granted by the daemon that watches each.
//!
//! A prefill server's scarce good is its time: the watcher grants a *turn*. A decode server's is its slots:
//! the watcher grants a *slot* and a share of the transfer link. A request holds a turn before it asks for a
//! slot, and a slot before its prefill starts.
//!
//! Load and harm: at the peaks both kinds are near full and six to nine daemons decide apart, each seeing a
//! share of the arrivals. Load reports lag, so daemons that place by them send their work to the same server
//! in the same moment; a prefill without a slot to go to is evicted in under a second and thrown away. One
//! watcher for each server counts exactly, and sees the asks of all partners from all daemons, so fairness
//! needs no message beyond the ask itself.

mod fair_queue;
mod ledger;
mod pace;
mod watcher;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, PartnerId, RequestId};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, Tokens};

pub use fair_queue::{FairQueue, Forecast, QueueOrder, QueueSettings, Waiting};
pub use ledger::{HeldReport, Ledger, LedgerAction, LedgerCounters, LedgerSettings};
pub use watcher::Watcher;

/// Names one ask of one daemon's life. An answer to an ask that was given up finds nothing under its number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AskId(pub u64);

/// What a model engine does, as far as its ledger cares.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Role {
    /// Reads prompts; grants are turns.
    Prefill,
    /// Writes tokens; grants are slots.
    Decode,
}

/// One daemon asks for one server.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Ask {
    /// For which request.
    pub request_id: RequestId,
    /// Names the ask.
    pub ask: AskId,
    /// Which server.
    pub server: BackendServerId,
    /// On whose account.
    pub partner: PartnerId,
    /// Expected work: tokens to prefill after the cached prefix, or tokens to decode.
    pub work_tokens: Tokens,
    /// KV cache that will cross the link.
    pub kv_bytes: Bytes,
    /// What the partner is charged: time of the resource of which the request takes the largest share.
    pub charge_us: Micros,
    /// How long a grant may take so that the target is still met; `None` when it is missed already.
    pub slack_us: Option<Micros>,
    /// Number of servers that the daemon asks at once for this request; only one of them will do the work.
    pub copies: u8,
    /// Time until the slot is needed, for a request so tight that it may start on a likely slot.
    pub needed_in_us: Option<Micros>,
}

/// State of a server as its watcher knows it, with each reply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerLoad {
    /// Expected wait of a new ask.
    pub wait_us: Micros,
    /// Slots free; 0 or 1 for a turn.
    pub free: u32,
    /// Observed time for one token: of the prompt at a prefill server, of the answer at a decode server.
    /// Zero while nothing was observed.
    pub token_us: Micros,
    /// Whether the watcher gives grants at all.
    pub open: bool,
}

/// Why an ask was denied.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum DenyReason {
    /// The partner's share cannot serve it in time.
    WouldMissTarget,
    /// The partner's queue is full.
    QueueFull,
    /// The server is leaving.
    Leaving,
    /// The server does not answer or is far too slow.
    Unhealthy,
    /// The daemon asked does not watch this server.
    NotWatching,
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum GrantOutcome {
    /// Work done.
    Done,
    /// Not used.
    Unused,
    /// Ended by the caller or by a fault elsewhere.
    Abandoned,
    /// The server gave no answer in time.
    TimedOut,
    /// The server refused or broke off.
    Failed,
}

/// How far a granted request has come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum GrantPhase {
    /// Granted.
    Reserved,
    /// At a prefill server the prompt is being read, or waits there for the one before.
    Running,
    /// The prompt is read, and the transfer waits for its share of the link.
    Ready,
    /// The transfer is under way.
    Moving,
    /// The transfer is done; at a decode server the answer is being written.
    Moved,
}

/// A grant that a daemon still uses.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldGrant {
    /// For which request.
    pub request_id: RequestId,
    /// The ask that was granted.
    pub ask: AskId,
    /// On whose account.
    pub partner: PartnerId,
    /// How far it has come.
    pub phase: GrantPhase,
    /// Link rate that was granted.
    pub rate_bytes_per_s: BytesPerSecond,
    /// Work that is left.
    pub work_tokens: Tokens,
    /// Time for one token seen since the last message; zero when unknown.
    pub token_us: Micros,
}

/// What daemons say to each other about slots. Delivery is at most once: asks are repeated by their daemon,
/// and grants that nobody renews expire.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SlotMessage {
    /// To the watcher: a request wants this server.
    Ask(Ask),
    /// To the watcher: the request no longer waits for this server.
    Withdraw {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
    },
    /// From the watcher: the ask waits in its queue.
    Queued {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// Load as known now.
        load: ServerLoad,
    },
    /// From the watcher: the server is the request's until the grant expires.
    Grant {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// Load as known now.
        load: ServerLoad,
        /// How long it holds without being renewed.
        ttl_ms: Millis,
    },
    /// From the watcher: the transfer may start. Nothing is imported before both ends have said so.
    Confirm {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// Its share of the server's link.
        rate_bytes_per_s: BytesPerSecond,
    },
    /// From the watcher: no.
    Deny {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// Load as known now.
        load: ServerLoad,
        /// Why.
        reason: DenyReason,
        /// When another try is worth making.
        retry_after_ms: Millis,
    },
    /// To the watcher of a prefill server: the prompt was sent to it.
    Started {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
    },
    /// To the watcher, of a prefill server as well as of a decode server: the prompt is read and its result
    /// can be moved.
    Ready {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// Time from the start of the prefill to its end; zero for a decode server.
        work_us: Micros,
        /// Tokens that were read.
        work_tokens: Tokens,
    },
    /// To the watcher of a decode server: the transfer is done.
    Moved {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
    },
    /// To the watcher: the grant is no longer used.
    Release {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
        /// Which ask.
        ask: AskId,
        /// How it ended.
        outcome: GrantOutcome,
    },
    /// To the watcher: all grants of this server that the sending daemon uses. What is not on the list is
    /// free; what the watcher does not know it takes over, which is how a new watcher learns of old grants.
    Renew {
        /// Which server.
        server: BackendServerId,
        /// The grants.
        held: Vec<HeldGrant>,
    },
}

impl SlotMessage {
    /// The server that the message is about.
    pub fn server(&self) -> &BackendServerId {
        match self {
            Self::Ask(ask) => &ask.server,
            Self::Withdraw { server, .. }
            | Self::Queued { server, .. }
            | Self::Grant { server, .. }
            | Self::Confirm { server, .. }
            | Self::Deny { server, .. }
            | Self::Started { server, .. }
            | Self::Ready { server, .. }
            | Self::Moved { server, .. }
            | Self::Release { server, .. }
            | Self::Renew { server, .. } => server,
        }
    }

    /// Whether the message goes to the watcher of its server, rather than to a daemon that asked.
    pub fn is_for_watcher(&self) -> bool {
        matches!(
            self,
            Self::Ask(_)
                | Self::Withdraw { .. }
                | Self::Started { .. }
                | Self::Ready { .. }
                | Self::Moved { .. }
                | Self::Release { .. }
                | Self::Renew { .. }
        )
    }
}
