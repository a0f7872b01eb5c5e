//! Granting credit of one organisation's quota.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::ids::HostId;
use crate::units::{Credit, CreditPerSecond, Millis, MonoTime};

use super::bucket::Bucket;
use super::limit::{Quota, QuotaBounds};

/// Part of the tolerance that is added to the burst: a request within the tolerance is not refused for a short peak.
const BURST_PART: f64 = 0.4;

/// Part of the tolerance that a daemon grants at once when it becomes primary.
const TAKEOVER_PART: f64 = 0.1;

/// Part of the tolerance of a window that a standby may grant.
const STANDBY_RATE_PART: f64 = 0.3;

/// Part of the tolerance that a standby may grant at once.
const STANDBY_BURST_PART: f64 = 0.2;

/// Wait stated where the quota says nothing of when there will be credit again.
const NO_RATE_WAIT_MS: Millis = Millis(1_000);

/// The daemons that this one reaches, of all that may be granting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Live daemons, this one included.
    pub live: u64,
    /// Daemons that are live, or may be on the other side of a partition.
    pub all: u64,
}

impl Coverage {
    /// The part of a quota that is granted on this side of a partition.
    fn part(self) -> f64 {
        (self.live as f64 / self.all.max(1) as f64).min(1.0)
    }
}

/// Why a daemon grants credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerRole {
    /// It is the first of the live daemons.
    Primary,
    /// The primary does not answer somebody.
    Standby,
}

/// The answer to a question for credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Grant {
    /// So much may be spent.
    Granted(Credit),
    /// The quota is used up; there may be enough after so long.
    Denied {
        /// Time until then.
        retry_after_ms: Millis,
    },
}

/// Limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerSettings {
    /// The organisation's quota.
    pub quota: Quota,
    /// How exactly it has to be kept.
    pub bounds: QuotaBounds,
}

/// Grants credit of one organisation's quota, on one daemon.
///
/// Load: an organisation sends several times its quota through many daemons, some of which die, freeze or are cut off
/// from the others. Harm prevented: each side of a partition, or each restart, would grant the whole quota again. So a
/// side grants in proportion to the daemons that it reaches, a new primary begins with an almost empty bucket, and a
/// standby grants a part of the tolerance only.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    primary: Option<Bucket>,
    standby: Option<Bucket>,
}

impl Ledger {
    /// A ledger that has granted nothing yet.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, primary: None, standby: None }
    }

    /// Changes the limits; what was granted stays so.
    pub fn configure(&mut self, settings: LedgerSettings) {
        self.settings = settings;
    }

    /// Another daemon is primary now.
    pub fn step_down(&mut self) {
        self.primary = None;
    }

    /// Answers a question for `needs`, and for `likely` beyond that if there is plenty.
    pub fn grant(
        &mut self,
        now_us: MonoTime,
        role: LedgerRole,
        coverage: Coverage,
        needs: Credit,
        likely: Credit,
    ) -> Grant {
        let half_burst = self.settings.quota.burst.0 / 2;
        let bucket = match role {
            LedgerRole::Primary => self.primary_bucket(now_us, coverage),
            LedgerRole::Standby => self.standby_bucket(now_us, coverage),
        };
        if !bucket.take(now_us, needs) {
            let retry_after_ms = bucket.wait_ms(now_us, needs).unwrap_or(NO_RATE_WAIT_MS);
            return Grant::Denied { retry_after_ms };
        }
        let plenty = match role {
            LedgerRole::Primary => Credit(bucket.level(now_us).0.saturating_sub(half_burst) / 2),
            LedgerRole::Standby => Credit::ZERO,
        };
        let extra = likely.min(plenty);
        bucket.take(now_us, extra);
        Grant::Granted(needs + extra)
    }

    /// Takes back what was granted and not spent.
    pub fn put_back(&mut self, now_us: MonoTime, credit: Credit) {
        if let Some(bucket) = &mut self.primary {
            bucket.put_back(now_us, credit);
        }
    }

    fn primary_bucket(&mut self, now_us: MonoTime, coverage: Coverage) -> &mut Bucket {
        self.standby = None;
        let LedgerSettings { quota, bounds } = self.settings;
        let tolerance = bounds.tolerance(&quota);
        let rate = CreditPerSecond(scaled(Credit(quota.rate.0), coverage.part()).0);
        let burst = scaled(quota.burst + scaled(tolerance, BURST_PART), coverage.part());
        let begins_with = scaled(tolerance, TAKEOVER_PART * coverage.part());
        let bucket = self.primary.get_or_insert_with(|| Bucket::new(now_us, rate, burst, begins_with));
        bucket.configure(now_us, rate, burst);
        bucket
    }

    fn standby_bucket(&mut self, now_us: MonoTime, coverage: Coverage) -> &mut Bucket {
        self.primary = None;
        let LedgerSettings { quota, bounds } = self.settings;
        let tolerance = bounds.tolerance(&quota);
        let burst = scaled(tolerance, STANDBY_BURST_PART * coverage.part());
        let window_s = bounds.window_ms.0.max(1) as f64 / 1_000.0;
        let rate = CreditPerSecond(scaled(tolerance, STANDBY_RATE_PART * coverage.part() / window_s).0);
        let bucket = self.standby.get_or_insert_with(|| Bucket::new(now_us, rate, burst, burst));
        bucket.configure(now_us, rate, burst);
        bucket
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative, and saturating")]
fn scaled(credit: Credit, part: f64) -> Credit {
    Credit((credit.0 as f64 * part) as u64)
}

/// The daemons to ask for credit of `owner`, the primary first. Rendezvous hashing: all daemons agree without a
/// message, and only what a lost daemon kept moves.
pub fn candidates(owner: &str, mut hosts: Vec<HostId>) -> Vec<HostId> {
    hosts.sort_by_cached_key(|host| (weight(owner, host), host.clone()));
    hosts
}

/// Whether `host` is asked for credit of `owner` before `other` is.
pub fn outranks(owner: &str, host: &HostId, other: &HostId) -> bool {
    (weight(owner, host), host) < (weight(owner, other), other)
}

fn weight(owner: &str, host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (owner, host.as_str()).hash(&mut hasher);
    hasher.finish()
}
