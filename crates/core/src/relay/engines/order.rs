//! Order of the requests that wait for engines at all daemons.

use serde::{Deserialize, Serialize};

use crate::shares::OrganisationKey;
use crate::units::{Millis, Tokens};

/// Memory of one organisation's requests at the decode engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrganisationMemory {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Memory that its placed requests take when they end.
    pub held: Tokens,
    /// Memory that its queued requests will take.
    pub waiting: Tokens,
}

/// Queued requests of one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WaitingClass {
    /// Whether their organisations hold more than their share already.
    pub is_over_share: bool,
    /// Their priority; smaller values go first.
    pub priority: u8,
    /// How long the oldest has waited.
    pub oldest_ms: Millis,
    /// Memory that they will take.
    pub tokens: Tokens,
}

/// Memory that one daemon's requests for a service of engines hold and wait for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemoryReport {
    /// By organisation.
    pub organisations: Vec<OrganisationMemory>,
    /// Queued requests by rank, without those that are already late.
    pub waiting: Vec<WaitingClass>,
}
