//! Shares of organisations in a service whose capacity is short, computed from what all daemons report.
//!
//! Each daemon sees a hundredth of the load, so a queue that is fair at each daemon alone does not protect
//! organisations from the surge of another one. Daemons therefore exchange how much each organisation asks for,
//! and each compares the sum with what all of them together can serve.

mod level;
mod rates;

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

pub use level::{Claim, max_min_level};
pub use rates::{OrganisationUsage, OverShare, RateReport, RateShareSettings, RateShares, ShareDecision};

/// Maximum number of organisations in a report; some of them stand for the rest.
pub const REPORTED_ORGANISATIONS_MAX: usize = 32;

/// Hash of an organisation's name. A collision merges the shares of two organisations; among 400 it is one in
/// fifty thousand.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OrganisationKey(u32);

impl OrganisationKey {
    /// Key of `partner`, the same at all daemons, whichever version they run.
    pub fn of(partner: &PartnerId) -> Self {
        let [first, second, third, fourth, ..] = *blake3::hash(partner.as_str().as_bytes()).as_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}
