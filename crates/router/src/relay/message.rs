//! Messages between daemons: above all, what each holds at the engines.
//!
//! Each daemon places its own requests; without the others' holdings it would pick engines that they have
//! already filled. Messages carry all that their sender holds, so that a later one makes up for a lost one.
//! That is why they are datagrams: a stalled stream would delay new state behind old state.

use std::collections::HashMap;

use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, Incarnation};
use hibiscusvale_core::quarantine::{Fingerprint, Gossip, ReportPage};
use hibiscusvale_core::quota::LimitStatement;
use hibiscusvale_core::relay::engines::{PoolUsage, WorkloadStats};
use hibiscusvale_core::relay::reach::HelperState;
use hibiscusvale_core::relay::server_list::ServerChange;
use hibiscusvale_core::relay::stream_versions::StreamRecord;
use hibiscusvale_core::units::Micros;
use serde::{Deserialize, Serialize};

use super::freshness::Stamp;
use super::interfaces::SavedVersion;
use super::loans::{LendableCredits, LoanReply, LoanRequest};
use super::quotas::{QuotaReply, QuotaRequest, QuotaReturn};
use super::stream_versions::{StreamQuestion, StreamReply};

/// Maximum size of a message: several hundred engines. It fits into a UDP datagram on loopback and on current
/// links.
pub const MESSAGE_LIMIT_BYTES: usize = 10 << 10;

/// Datagrams between daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram {
    /// State of the sender.
    Message(Box<Message>),
    /// Request for a loan of retry credit.
    LoanRequest(LoanRequest),
    /// Reply to a loan request.
    LoanReply(LoanReply),
    /// Request for credit of a quota or server limit.
    QuotaRequest(QuotaRequest),
    /// Grant or denial of such credit.
    QuotaReply(QuotaReply),
    /// Return of unspent credit.
    QuotaReturn(QuotaReturn),
    /// Request for reports of crashed servers: all, or those after a fingerprint.
    ReportRequest(Option<Fingerprint>),
    /// A page of such reports.
    ReportPage(ReportPage),
    /// Question which services' servers the recipient reaches.
    ReachRequest(Vec<String>),
    /// What it reaches.
    ReachReply(HelperState),
    /// Software version at which a stream began.
    StreamRecord(StreamRecord),
    /// Question at which version a stream began.
    StreamQuestion(StreamQuestion),
    /// What the recipient knows of it.
    StreamReply(StreamReply),
    /// Daemons that reach servers which the sender does not reach.
    HelpersKnown(Vec<HostId>),
}

/// State of a daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Host of the sender.
    pub host: HostId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number; messages that arrive out of order are dropped.
    pub sequence: u64,
    /// Versions and ages of its routes and servers.
    pub stamp: Stamp,
    /// For how long its server list has been current without a gap; `None` while it is old.
    pub list_current_us: Option<Micros>,
    /// Whether it can perform shared duties that need the store.
    pub reaches_store: bool,
    /// Server changes that it has just read.
    pub changes: Vec<ServerChange>,
    /// What it holds at the engines, by service.
    pub holdings: Vec<(String, PoolUsage)>,
    /// Its lendable retry credit, by service; `None` if unchanged since its previous message.
    pub lendable: Option<LendableCredits>,
    /// Evidence of requests that crash servers.
    pub crashes: Gossip,
    /// Saved software versions of services; empty unless it saves them for all.
    pub saved_versions: Vec<SavedVersion>,
    /// Servers that it has found to be leaving by their replies.
    pub leaving: Vec<BackendServerId>,
    /// Server limits that changed.
    pub limits: Vec<LimitStatement>,
}

/// One message in this many is complete: a daemon that missed an incremental one catches up within seconds.
const FULL_MESSAGE_INTERVAL: u64 = 4;

/// State that the previous messages carried.
#[derive(Debug, Default)]
pub struct AdvertisedState {
    seen: HashMap<String, WorkloadStats>,
    lendable: LendableCredits,
}

impl AdvertisedState {
    /// The holdings and lendable credit for message number `sequence`. Among hundreds of daemons most messages
    /// only serve as heartbeats; what has not changed since the previous message is left out of them.
    pub fn delta(
        &mut self,
        sequence: u64,
        mut holdings: Vec<(String, PoolUsage)>,
        lendable: LendableCredits,
    ) -> (Vec<(String, PoolUsage)>, Option<LendableCredits>) {
        let is_full = sequence % FULL_MESSAGE_INTERVAL == 1;
        for (service, holdings) in &mut holdings {
            let seen = holdings.stats.unwrap_or_default();
            if self.seen.insert(service.clone(), seen) == Some(seen) && !is_full {
                holdings.stats = None;
            }
        }
        let is_changed = is_full || lendable != self.lendable;
        self.lendable.clone_from(&lendable);
        (holdings, is_changed.then_some(lendable))
    }
}
