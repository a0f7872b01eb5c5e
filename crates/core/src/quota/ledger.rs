//! Grants credit of one organisation's quota.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::ids::HostId;
use crate::units::{Credit, CreditPerSecond, Millis, MonoTime};

use super::bucket::Bucket;
use super::limit::{Quota, QuotaBounds};

/// Fraction of the tolerance added to the burst, so that short peaks within the tolerance are not refused.
const BURST_FRACTION: f64 = 0.4;

/// Fraction of the tolerance that a new primary may grant at once.
const TAKEOVER_FRACTION: f64 = 0.1;

/// Fraction of the tolerance of one window that a standby may grant per window.
const STANDBY_RATE_FRACTION: f64 = 0.3;

/// Fraction of the tolerance that a standby may grant at once.
const STANDBY_BURST_FRACTION: f64 = 0.2;

/// Retry interval reported when the quota has a rate of zero and never refills.
const NO_RATE_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Number of daemons that this daemon reaches, and of all that may be granting credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Live daemons, including this one.
    pub live: u64,
    /// Daemons that are live or may be active on the other side of a partition.
    pub all: u64,
}

impl Coverage {
    /// Fraction of the quota granted on this side of a partition, from 0 to 1.
    fn fraction(self) -> f64 {
        (self.live as f64 / self.all.max(1) as f64).min(1.0)
    }
}

/// Role in which a daemon grants credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerRole {
    /// The daemon ranks first among the live daemons.
    Primary,
    /// The primary does not answer the requesting daemon.
    Standby,
}

/// Answer to a request for credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Grant {
    /// Credit granted.
    Granted(Credit),
    /// The quota is exhausted.
    Denied {
        /// Time after which enough credit may be available.
        retry_after_ms: Millis,
    },
}

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Quota of the organisation.
    pub quota: Quota,
    /// Tolerance within which the quota is enforced.
    pub bounds: QuotaBounds,
}

/// Grants credit of one organisation's quota on one daemon.
///
/// An organisation may send several times its quota through many daemons, some of which crash, freeze or are
/// partitioned off. Unchecked, each side of a partition and each restarted daemon would grant the whole quota
/// again. Each side therefore grants in proportion to the daemons that it reaches, a new primary starts with
/// a nearly empty bucket, and a standby grants only a fraction of the tolerance.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    primary: Option<Bucket>,
    standby: Option<Bucket>,
}

impl Ledger {
    /// Creates a ledger that has granted nothing.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, primary: None, standby: None }
    }

    /// Replaces the settings; credit already granted is unaffected.
    pub fn configure(&mut self, settings: LedgerSettings) {
        self.settings = settings;
    }

    /// Gives up the primary role; another daemon is primary.
    pub fn step_down(&mut self) {
        self.primary = None;
    }

    /// Grants `required` credit if it is available, plus up to `expected` from the surplus. Only a primary
    /// has a surplus: half of what its bucket then holds beyond half of the quota's burst.
    pub fn grant(
        &mut self,
        now_us: MonoTime,
        role: LedgerRole,
        coverage: Coverage,
        required: Credit,
        expected: Credit,
    ) -> Grant {
        let half_burst = self.settings.quota.burst.0 / 2;
        let bucket = match role {
            LedgerRole::Primary => self.primary_bucket(now_us, coverage),
            LedgerRole::Standby => self.standby_bucket(now_us, coverage),
        };
        if !bucket.try_take(now_us, required) {
            let retry_after_ms = bucket.wait_ms(now_us, required).unwrap_or(NO_RATE_RETRY_AFTER_MS);
            return Grant::Denied { retry_after_ms };
        }
        let surplus = match role {
            LedgerRole::Primary => Credit(bucket.level(now_us).0.saturating_sub(half_burst) / 2),
            LedgerRole::Standby => Credit::ZERO,
        };
        let extra = expected.min(surplus);
        bucket.try_take(now_us, extra);
        Grant::Granted(required + extra)
    }

    /// Returns credit that was granted and not spent. Ignored unless this daemon is primary.
    pub fn refund(&mut self, now_us: MonoTime, credit: Credit) {
        if let Some(bucket) = &mut self.primary {
            bucket.refund(now_us, credit);
        }
    }

    fn primary_bucket(&mut self, now_us: MonoTime, coverage: Coverage) -> &mut Bucket {
        self.standby = None;
        let LedgerSettings { quota, bounds } = self.settings;
        let tolerance = bounds.tolerance(&quota);
        let rate = CreditPerSecond(scaled(Credit(quota.rate.0), coverage.fraction()).0);
        let burst = scaled(quota.burst + scaled(tolerance, BURST_FRACTION), coverage.fraction());
        let initial_level = scaled(tolerance, TAKEOVER_FRACTION * coverage.fraction());
        let bucket = self.primary.get_or_insert_with(|| Bucket::new(now_us, rate, burst, initial_level));
        bucket.configure(now_us, rate, burst);
        bucket
    }

    fn standby_bucket(&mut self, now_us: MonoTime, coverage: Coverage) -> &mut Bucket {
        self.primary = None;
        let LedgerSettings { quota, bounds } = self.settings;
        let tolerance = bounds.tolerance(&quota);
        let burst = scaled(tolerance, STANDBY_BURST_FRACTION * coverage.fraction());
        let window_s = bounds.window_ms.0.max(1) as f64 / 1_000.0;
        let rate =
            CreditPerSecond(scaled(tolerance, STANDBY_RATE_FRACTION * coverage.fraction() / window_s).0);
        let bucket = self.standby.get_or_insert_with(|| Bucket::new(now_us, rate, burst, burst));
        bucket.configure(now_us, rate, burst);
        bucket
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative, and saturating")]
fn scaled(credit: Credit, fraction: f64) -> Credit {
    Credit((credit.0 as f64 * fraction) as u64)
}

/// Orders `hosts` by whom to ask for credit of `owner`; the first is the primary. Uses rendezvous hashing:
/// all daemons agree without messages, and the loss of a daemon moves only the owners it was primary for.
pub fn candidates(owner: &str, mut hosts: Vec<HostId>) -> Vec<HostId> {
    hosts.sort_by_cached_key(|host| (weight(owner, host), host.clone()));
    hosts
}

/// Whether `host` ranks before `other` for `owner`.
pub fn outranks(owner: &str, host: &HostId, other: &HostId) -> bool {
    (weight(owner, host), host) < (weight(owner, other), other)
}

fn weight(owner: &str, host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (owner, host.as_str()).hash(&mut hasher);
    hasher.finish()
}
