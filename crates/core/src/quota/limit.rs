//! What an organisation may send.

use serde::{Deserialize, Serialize};

use crate::units::{Credit, CreditPerSecond, Millis, Tokens};

/// Credit of one request, or of one token.
pub const UNIT: Credit = Credit(1_000);

/// What is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and longest answer.
    Tokens {
        /// What a request without tokens counts for.
        plain: Tokens,
    },
}

/// A rate and a burst, over all daemons together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Credit that comes each second.
    pub rate: CreditPerSecond,
    /// Credit that is saved up at most.
    pub burst: Credit,
}

impl Quota {
    /// What a request costs that has so many tokens of prompt and longest answer, if it has any.
    pub fn cost(&self, tokens: Option<Tokens>) -> Credit {
        match self.unit {
            QuotaUnit::Requests => UNIT,
            QuotaUnit::Tokens { plain } => Credit(tokens.unwrap_or(plain).0.saturating_mul(UNIT.0)),
        }
    }
}

/// How exactly quotas have to be kept. Callers may send more by this before the installation counts it as a breach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which requests are counted.
    pub window_ms: Millis,
    /// Part of the quota of a window that may be sent beyond it.
    pub overshoot: f64,
    /// What may be sent beyond that, in requests or tokens.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_ms: Millis(8_000), overshoot: 0.0, slack: 0.0 }
    }
}

impl QuotaBounds {
    /// Credit that may be sent in a window beyond `quota`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn tolerance(&self, quota: &Quota) -> Credit {
        let window_s = self.window_ms.0 as f64 / 1_000.0;
        let allowed = quota.rate.0 as f64 * window_s + quota.burst.0 as f64;
        Credit((allowed * self.overshoot + self.slack * UNIT.0 as f64) as u64)
    }
}
