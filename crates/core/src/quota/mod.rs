//! Distributed enforcement of organisation quotas and server limits.
//!
//! For each organisation one daemon, the primary, holds the token bucket, and the other daemons lease credit
//! from it. Equal shares per daemon would stay mostly unused, because the callers of one organisation connect
//! to few of the daemons.
//!
//! - [`Bucket`]: token bucket.
//! - [`Ledger`]: grants credit as primary or standby.
//! - [`LeasedCredit`]: credit that a daemon leased and has not spent.
//! - [`ServerLimits`]: total request rates that servers state for all daemons.
//! - [`candidates`] and [`Suspicion`]: choice of the daemon to request credit from.

mod bucket;
mod lease;
mod ledger;
mod limit;
mod server_limits;
mod suspicion;

pub use bucket::Bucket;
pub use lease::{LEASE_TTL_MS, LeasedCredit};
pub use ledger::{Coverage, Grant, Ledger, LedgerRole, LedgerSettings, candidates, outranks};
pub use limit::{CREDIT_PER_UNIT, Quota, QuotaBounds, QuotaUnit};
pub use server_limits::{LimitStatement, ServerLimits, server_limit_settings};
pub use suspicion::Suspicion;
