//! Quarantine of requests, and of parts of prompts, that crash the servers running them.
//!
//! A request that was in flight at a crashing server becomes a suspect, and so does each part of its prompt that other requests
//! may share. After crashes of three servers a request is quarantined, and a part after five: no daemon sends it to another
//! server until the evidence expires. A request that a server ran without crashing clears all its parts.
//!
//! - [`Fingerprint`]: identifies a repeated request independently of its request id, or a part of a prompt.
//! - [`Report`]: finding of one daemon, sent to all others.
//! - [`Quarantine`]: evidence held by one daemon, and the verdicts derived from it.

mod cleared;
mod evidence;
mod fingerprint;
mod report;
mod state;

pub use fingerprint::{
    CallerIdentity, Fingerprint, FingerprintKind, Fingerprints, ParseFingerprintError, RequestIdentity,
};
pub use report::{Finding, Gossip, Report, ReportId, ReportPage};
pub use state::{Quarantine, QuarantineSettings, ReceiveOutcome, Refusal, Refutation, Verdict};
