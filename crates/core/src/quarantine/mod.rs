//! Quarantine of requests that crash the servers running them.
//!
//! A request that was in flight at a crashing server becomes a suspect. After crashes of three servers it is
//! quarantined: no daemon sends it to another server until the evidence expires.
//!
//! - [`Fingerprint`]: identifies a repeated request independently of its request id.
//! - [`Report`]: finding of one daemon, sent to all others.
//! - [`Quarantine`]: evidence held by one daemon, and the verdicts derived from it.

mod cleared;
mod evidence;
mod fingerprint;
mod report;
mod state;

pub use fingerprint::{CallerIdentity, Fingerprint, ParseFingerprintError, RequestIdentity};
pub use report::{Finding, Gossip, Report, ReportId, ReportPage};
pub use state::{Quarantine, QuarantineSettings, ReceiveOutcome, Refutation, Verdict};
