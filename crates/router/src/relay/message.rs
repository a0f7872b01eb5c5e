//! What the daemons tell each other: above all, what each has at the engines.
//!
//! Each daemon places its own requests. Without knowing the others' it would fill engines that they have filled
//! already. Every message holds all that its sender has there, so that a lost one is mended by the next; that is why they
//! are datagrams: a stream that went silent would hold back what is new behind what is old.

use std::collections::HashMap;

use hibiscusvale_core::ids::{DataCentreId, HostId, Incarnation};
use hibiscusvale_core::quarantine::{Fingerprint, Gossip, ReportPage};
use hibiscusvale_core::quota::LimitStatement;
use hibiscusvale_core::relay::engines::{Holdings, Seen};
use serde::{Deserialize, Serialize};

use super::freshness::Stamp;
use super::loans::{LoanAnswer, LoanQuestion, Spares};
use super::news::ServerChange;
use super::quotas::{QuotaAnswer, QuotaQuestion, QuotaReturn};

/// Largest message: some hundred engines. It fits a datagram on loopback and on links of today.
pub const MESSAGE_LIMIT_BYTES: usize = 10 << 10;

/// What daemons send each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram {
    /// What the sender knows and has.
    Message(Box<Message>),
    /// It asks for a loan of further tries.
    LoanQuestion(LoanQuestion),
    /// It gives one.
    LoanAnswer(LoanAnswer),
    /// It asks for credit of an organisation's quota.
    QuotaQuestion(QuotaQuestion),
    /// It grants some, or denies it.
    QuotaAnswer(QuotaAnswer),
    /// It gives back what it did not spend.
    QuotaReturn(QuotaReturn),
    /// It asks for reports of crashed servers, of all requests or of those behind a fingerprint.
    ReportQuestion(Option<Fingerprint>),
    /// It answers with some.
    ReportPage(ReportPage),
}

/// What a daemon says of itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Who says it.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts its messages: an older one that comes late is passed over.
    pub sequence: u64,
    /// What it knows of routes and servers.
    pub stamp: Stamp,
    /// Whether it can do for all what needs the store.
    pub reaches_store: bool,
    /// Changes of the servers that it read just now.
    pub changes: Vec<ServerChange>,
    /// What it has at the engines, by service.
    pub holdings: Vec<(String, Holdings)>,
    /// What it could lend of its further tries, by service; absent where that is what it told before.
    pub spares: Option<Spares>,
    /// What it knows of requests that crash servers.
    pub crashes: Gossip,
    /// Limits of servers that have changed.
    pub limits: Vec<LimitStatement>,
}

/// One message in so many is whole: whoever missed one that was not learns the rest within some seconds.
const WHOLE_EVERY: u64 = 4;

/// What the last messages told.
#[derive(Debug, Default)]
pub struct Told {
    seen: HashMap<String, Seen>,
    spares: Spares,
}

impl Told {
    /// What the message with this number says. Most messages of hundreds of daemons are said only to be heard of; what has
    /// not changed since the one before is left out of them.
    pub fn news(
        &mut self,
        sequence: u64,
        mut holdings: Vec<(String, Holdings)>,
        spares: Spares,
    ) -> (Vec<(String, Holdings)>, Option<Spares>) {
        let is_whole = sequence % WHOLE_EVERY == 1;
        for (service, holdings) in &mut holdings {
            let seen = holdings.seen.unwrap_or_default();
            if self.seen.insert(service.clone(), seen) == Some(seen) && !is_whole {
                holdings.seen = None;
            }
        }
        let is_news = is_whole || spares != self.spares;
        self.spares.clone_from(&spares);
        (holdings, is_news.then_some(spares))
    }
}
