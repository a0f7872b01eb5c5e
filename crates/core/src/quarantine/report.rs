//! Crash reports exchanged between daemons.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::ids::{BackendServerId, Incarnation};
use crate::units::Millis;

/// Identifier of a report, unique across all daemons.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ReportId {
    /// Incarnation of the daemon that created the report.
    pub incarnation: Incarnation,
    /// Sequence number of the report within that incarnation.
    pub sequence: u64,
}

impl ReportId {
    /// Contribution to the digest of a set of reports.
    pub(super) fn digest(self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Display for ReportId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// Finding of a daemon about one request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Finding {
    /// A server crashed while the request was in flight there.
    Crashed {
        /// Server that crashed.
        server: BackendServerId,
        /// Time between sending the request to the server and the crash.
        in_flight_ms: Millis,
    },
    /// A server ran the request without crashing.
    Survived,
}

/// Finding as sent between daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Identifier of the report.
    pub id: ReportId,
    /// Request that the finding is about.
    pub fingerprint: Fingerprint,
    /// Observation of the daemon.
    pub finding: Finding,
    /// Age of the finding at the time of sending.
    pub age_ms: Millis,
}

/// Reports and digest that each message to the other daemons carries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Gossip {
    /// Recent reports of this daemon, each repeated in several messages.
    pub reports: Vec<Report>,
    /// Digest of all reports that this daemon holds.
    pub digest: u64,
}

/// Page of the reports that a daemon holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReportPage {
    /// The reports, ordered by fingerprint.
    pub reports: Vec<Report>,
    /// Last fingerprint of the page if more reports follow; `None` on the last page.
    pub more_after: Option<Fingerprint>,
}
