//! Reports of crashed servers, as daemons exchange them.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::ids::{BackendServerId, Incarnation};
use crate::units::Millis;

/// Names a report over all daemons.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ReportId {
    /// Life of the daemon that made it.
    pub incarnation: Incarnation,
    /// Counts the reports of that life.
    pub sequence: u64,
}

impl ReportId {
    /// Its part of a digest over many reports.
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

/// What a daemon saw of a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Finding {
    /// A server crashed while it had the request.
    Crashed {
        /// The server.
        server: BackendServerId,
        /// Time since the request was sent there.
        in_flight_ms: Millis,
    },
    /// A server that ran the request did not crash.
    Survived,
}

/// One finding, as it travels.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Its name.
    pub id: ReportId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was seen.
    pub finding: Finding,
    /// How long ago, when it was sent.
    pub age_ms: Millis,
}

/// What goes with each message to the other daemons.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Gossip {
    /// Reports that are new to this daemon.
    pub reports: Vec<Report>,
    /// Digest of all reports that it holds.
    pub digest: u64,
}

/// Some of the reports that a daemon holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReportPage {
    /// The reports, ordered by fingerprint.
    pub reports: Vec<Report>,
    /// The last fingerprint in it where there are more behind it.
    pub more_after: Option<Fingerprint>,
}
