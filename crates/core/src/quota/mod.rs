//! Quotas of organisations, enforced over all daemons together.
//!
//! For each organisation one daemon keeps the token bucket; the others lease credit from it. Weighed against a part of the
//! quota for each daemon: callers reach few of the daemons, so most parts would stand unused while requests within the
//! quota are refused.
//!
//! - [`Bucket`] is the token bucket itself.
//! - [`Ledger`] decides what is granted, on the daemon that is in charge and on one that stands in for it.
//! - [`LeasedCredit`] is what a daemon has leased and not used.
//! - [`candidates`] tells whom to ask.

mod bucket;
mod lease;
mod ledger;
mod limit;

pub use bucket::Bucket;
pub use lease::{LEASE_LIFE_MS, LeasedCredit};
pub use ledger::{Coverage, Duty, Grant, Ledger, LedgerSettings, candidates};
pub use limit::{Quota, QuotaBounds, QuotaUnit};
