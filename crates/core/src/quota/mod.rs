//! Quotas of organisations and limits of servers, enforced over all daemons together.
//!
//! For each organisation one daemon, the primary, keeps the token bucket; the others lease credit from it. An equal part of
//! the quota for each daemon would stand mostly unused, because an organisation's callers reach few of the daemons.
//!
//! - [`Bucket`]: the token bucket.
//! - [`Ledger`]: grants credit, as primary or as standby.
//! - [`LeasedCredit`]: credit that a daemon has leased and not spent.
//! - [`ServerLimits`]: what servers state that they take from all daemons together.
//! - [`candidates`] and [`Suspicion`]: which daemon to ask.

mod bucket;
mod lease;
mod ledger;
mod limit;
mod server_limits;
mod suspicion;

pub use bucket::Bucket;
pub use lease::{LEASE_LIFE_MS, LeasedCredit};
pub use ledger::{Coverage, Grant, Ledger, LedgerRole, LedgerSettings, candidates, outranks};
pub use limit::{Quota, QuotaBounds, QuotaUnit, UNIT};
pub use server_limits::{LimitStatement, ServerLimits, server_limit};
pub use suspicion::Suspicion;
