//! Quotas of organisations, enforced over all daemons together.
//!
//! For each organisation one daemon keeps the token bucket; the others lease credit from it. Weighed against a part of the
//! quota for each daemon: callers reach few of the daemons, so most parts would stand unused while requests within the
//! quota are refused.
//!
//! - [`Bucket`] is the token bucket itself.
//! - [`Ledger`] decides what is granted, on the daemon that is in charge and on one that stands in for it.
//! - [`LeasedCredit`] is what a daemon has leased and not used.
//! - [`candidates`] tells whom to ask, and [`Silence`] whom to pass over.

mod bucket;
mod lease;
mod ledger;
mod limit;
mod silence;

pub use bucket::Bucket;
pub use lease::{LEASE_LIFE_MS, LeasedCredit};
pub use ledger::{Coverage, Duty, Grant, Ledger, LedgerSettings, candidates, outranks};
pub use limit::{Quota, QuotaBounds, QuotaUnit};
pub use silence::Silence;
