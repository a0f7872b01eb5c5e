//! Allocation of backend servers' capacity by the daemon that watches each server.
//!
//! At a prefill server the limited resource is compute time, and its watcher grants *turns*. At a decode
//! server it is slots, and its watcher grants a *slot* and a share of the transfer link. A request holds a
//! turn before it asks for a slot, and a slot before its prefill starts.
//!
//! At peak load both kinds of server are nearly full, and six to nine daemons place requests independently,
//! each seeing a share of the arrivals. Load reports lag, so daemons that place by them send their work to the
//! same server at the same moment, and a prefill whose result has no slot to go to is evicted in under a second
//! and wasted. A single watcher per server counts exactly, and receives the grant requests of all partners from
//! all daemons, so fairness needs no messages beyond the grant requests themselves.

mod drain_ratio;
mod fair_queue;
mod ledger;
mod watcher;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, PartnerId, RequestId};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, Tokens};

pub use fair_queue::{FairQueue, Forecast, QueueOrder, QueueSettings, Waiting};
pub use ledger::{HeldReport, Ledger, LedgerAction, LedgerCounters, LedgerSettings};
pub use watcher::Watcher;

/// Identifies a grant request among those of one daemon incarnation, so that a reply to an abandoned grant
/// request is recognised as such.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct GrantId(pub u64);

/// Role of a model engine, as far as its ledger is concerned.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Role {
    /// Processes prompts; grants are turns.
    Prefill,
    /// Generates tokens; grants are slots.
    Decode,
}

/// A daemon's request for capacity at one server.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct GrantRequest {
    /// Request that the capacity is for.
    pub request_id: RequestId,
    /// Id of the grant request.
    pub grant_id: GrantId,
    /// Server that the message is about.
    pub server: BackendServerId,
    /// Partner that is charged.
    pub partner: PartnerId,
    /// Expected work: tokens to prefill after the cached prefix, or tokens to decode.
    pub work_tokens: Tokens,
    /// Size of the KV cache to transfer over the link.
    pub kv_bytes: Bytes,
    /// Charge to the partner: time of the resource of which the request takes the largest share.
    pub charge_us: Micros,
    /// Latest useful delay of a grant; `None` if the target is missed already.
    pub slack_us: Option<Micros>,
    /// Number of servers asked at once for this request; only one of them will do the work.
    pub copies: u8,
    /// Time until the slot is needed, set for a request so tight that it may start on a slot that is only
    /// likely to be free by then.
    pub needed_in_us: Option<Micros>,
    /// Longest useful wait when the target is missed already. `None` from a daemon that does not state it.
    pub wait_max_us: Option<Micros>,
}

/// State of a server as known to its watcher, sent with each reply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerLoad {
    /// Expected wait of a new grant request.
    pub wait_us: Micros,
    /// Free slots; 0 or 1 for turns.
    pub free: u32,
    /// Observed time per token: of the prompt at a prefill server, of the output at a decode server. Zero if
    /// nothing was observed yet.
    pub token_us: Micros,
    /// Whether the watcher currently gives grants.
    pub open: bool,
}

/// Reason for which a grant request was denied.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum DenyReason {
    /// The partner's share of the server cannot serve the grant request in time.
    WouldMissTarget,
    /// The partner's queue is full.
    QueueFull,
    /// The server is leaving.
    Leaving,
    /// The server does not answer or is far too slow.
    Unhealthy,
    /// The receiving daemon does not watch this server.
    NotWatching,
}

/// Result of a grant.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum GrantOutcome {
    /// The work was done.
    Done,
    /// The grant was not used.
    Unused,
    /// Ended by the caller or by a failure elsewhere.
    Abandoned,
    /// The server did not answer in time.
    TimedOut,
    /// The server refused the request or broke off.
    Failed,
}

/// Progress of a granted request. The order of the variants is the order of the phases.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum GrantPhase {
    /// Granted, not started.
    Reserved,
    /// At a prefill server: the prompt was sent and is being processed or queued there.
    Running,
    /// The prompt is processed, and the transfer waits for its share of the link.
    Ready,
    /// The KV cache is being transferred.
    Transferring,
    /// The transfer is complete; at a decode server the output is being generated.
    Transferred,
}

/// A grant that is still in use, as listed by the daemon that uses it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldGrant {
    /// Request that the capacity is for.
    pub request_id: RequestId,
    /// Grant request that was granted.
    pub grant_id: GrantId,
    /// Partner that is charged.
    pub partner: PartnerId,
    /// Progress of the request.
    pub phase: GrantPhase,
    /// Granted link rate.
    pub rate_bytes_per_s: BytesPerSecond,
    /// Remaining work.
    pub work_tokens: Tokens,
    /// Time per token observed since the last message; zero if unknown.
    pub token_us: Micros,
}

/// Messages between daemons about slots. Delivery is at most once: a daemon repeats its grant requests, and
/// grants that are not renewed expire.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum SlotMessage {
    /// To the watcher: requests capacity for a request.
    Request(GrantRequest),
    /// To the watcher: the request no longer waits for this server.
    Withdraw {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
    },
    /// From the watcher: the grant request is queued.
    Queued {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Current load of the server.
        load: ServerLoad,
    },
    /// From the watcher: the capacity is reserved for the request until the grant expires.
    Grant {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Current load of the server.
        load: ServerLoad,
        /// Time after which the grant expires unless it is renewed.
        ttl_ms: Millis,
    },
    /// From the watcher: the transfer may start. It starts only after the watchers of both ends have
    /// confirmed it.
    Confirm {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Granted share of the server's link.
        rate_bytes_per_s: BytesPerSecond,
    },
    /// From the watcher: the grant request is denied.
    Deny {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Current load of the server.
        load: ServerLoad,
        /// Reason of the denial.
        reason: DenyReason,
        /// Suggested delay before a retry.
        retry_after_ms: Millis,
    },
    /// To the watcher of a prefill server: the prompt was sent to the server.
    Started {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
    },
    /// To the watcher of the prefill server and to that of the decode server: the prompt is processed and its
    /// result can be transferred.
    Ready {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Duration of the prefill; zero for a decode server.
        work_us: Micros,
        /// Prompt tokens processed.
        work_tokens: Tokens,
    },
    /// To the watcher of a decode server: the transfer is complete.
    Transferred {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
    },
    /// To the watcher: the grant is no longer used.
    Release {
        /// Server that the message is about.
        server: BackendServerId,
        /// Request that the message is about.
        request_id: RequestId,
        /// Id of the grant request.
        grant_id: GrantId,
        /// Result of the grant.
        outcome: GrantOutcome,
    },
    /// To the watcher: all grants of this server that the sending daemon uses. Grants that are not listed are
    /// freed; listed grants that the watcher does not know are taken over, which is how a new watcher learns
    /// of existing grants.
    Renew {
        /// Server that the message is about.
        server: BackendServerId,
        /// Grants in use.
        held: Vec<HeldGrant>,
    },
}

impl SlotMessage {
    /// The server that the message is about.
    pub fn server(&self) -> &BackendServerId {
        match self {
            Self::Request(grant_request) => &grant_request.server,
            Self::Withdraw { server, .. }
            | Self::Queued { server, .. }
            | Self::Grant { server, .. }
            | Self::Confirm { server, .. }
            | Self::Deny { server, .. }
            | Self::Started { server, .. }
            | Self::Ready { server, .. }
            | Self::Transferred { server, .. }
            | Self::Release { server, .. }
            | Self::Renew { server, .. } => server,
        }
    }

    /// Whether the message is addressed to the server's watcher, rather than to a daemon that asked.
    pub fn is_for_watcher(&self) -> bool {
        matches!(
            self,
            Self::Request(_)
                | Self::Withdraw { .. }
                | Self::Started { .. }
                | Self::Ready { .. }
                | Self::Transferred { .. }
                | Self::Release { .. }
                | Self::Renew { .. }
        )
    }
}
