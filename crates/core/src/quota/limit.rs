//! Quota of an organisation.

use serde::{Deserialize, Serialize};

use crate::units::{Credit, CreditPerSecond, Millis, Tokens};

/// Credit that one request or one token costs; credit counts in thousandths of them.
pub const CREDIT_PER_UNIT: Credit = Credit(1_000);

/// Unit in which a quota counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuotaUnit {
    /// Number of requests.
    Requests,
    /// Tokens of the prompt plus the maximum length of the answer.
    Tokens {
        /// Tokens charged for a request that has none.
        plain: Tokens,
    },
}

/// Rate and burst, across all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Quota {
    /// Unit in which usage is counted.
    pub unit: QuotaUnit,
    /// Credit added per second.
    pub rate: CreditPerSecond,
    /// Maximum accumulated credit.
    pub burst: Credit,
}

impl Quota {
    /// Cost of a request. `tokens` is the prompt plus the maximum length of the answer, or `None` for a
    /// request without tokens.
    pub fn cost(&self, tokens: Option<Tokens>) -> Credit {
        match self.unit {
            QuotaUnit::Requests => CREDIT_PER_UNIT,
            QuotaUnit::Tokens { plain } => {
                Credit(tokens.unwrap_or(plain).0.saturating_mul(CREDIT_PER_UNIT.0))
            }
        }
    }
}

/// Tolerance of quota enforcement: how much may be sent beyond a quota before it counts as a violation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which usage is counted.
    pub window_ms: Millis,
    /// Fraction of the quota of a window that may be sent beyond it.
    pub overshoot: f64,
    /// Additional requests or tokens that may be sent per window.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window_ms: Millis(8_000), overshoot: 0.0, slack: 0.0 }
    }
}

impl QuotaBounds {
    /// Credit that may be spent beyond `quota` in one window.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn tolerance(&self, quota: &Quota) -> Credit {
        let window_s = self.window_ms.0 as f64 / 1_000.0;
        let allowed = quota.rate.0 as f64 * window_s + quota.burst.0 as f64;
        Credit((allowed * self.overshoot + self.slack * CREDIT_PER_UNIT.0 as f64) as u64)
    }
}
