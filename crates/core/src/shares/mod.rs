//! Shares of organisations in a service whose capacity is short, computed from what all daemons report.
//!
//! Each daemon sees a hundredth of the load, so a queue that is fair at each daemon alone does not protect
//! organisations from the surge of another one. Daemons therefore exchange how much each organisation asks for,
//! and each compares the sum with what all of them together can serve.

mod level;
mod rates;

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

pub use level::{Claim, max_min_level};
pub use rates::{OrganisationUsage, OverShare, RateReport, RateShareSettings, RateShares, ShareDecision};

/// Maximum number of organisations in a report; the rest is summed up.
pub const REPORTED_ORGANISATIONS_MAX: usize = 32;

/// Hash of an organisation's name. A collision merges the shares of two organisations; among 400 it is one in
/// fifty thousand.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OrganisationKey(u32);

impl OrganisationKey {
    /// Key of `partner`, the same at all daemons.
    pub fn of(partner: &PartnerId) -> Self {
        let mut hasher = DefaultHasher::new();
        partner.as_str().hash(&mut hasher);
        #[expect(clippy::cast_possible_truncation, reason = "the lower half of the hash is the key")]
        let key = hasher.finish() as u32;
        Self(key)
    }
}
