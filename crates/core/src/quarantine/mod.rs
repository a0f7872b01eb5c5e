//! Requests that crash the servers that run them, and which daemons refuse to send on.
//!
//! A request that was in flight at a server that crashed is a suspect. One that three servers crashed under is put in
//! quarantine: it reaches no further server until the evidence is old.
//!
//! - [`Fingerprint`]: recognises a request that comes again under another id.
//! - [`Report`]: what one daemon saw and sends to all others.
//! - [`Quarantine`]: the evidence of one daemon, and what follows from it.

mod evidence;
mod fingerprint;
mod report;
mod state;
mod survivors;

pub use fingerprint::{CallerIdentity, Fingerprint, ParseFingerprintError, RequestIdentity};
pub use report::{Finding, Gossip, Report, ReportId, ReportPage};
pub use state::{Quarantine, QuarantineSettings, Received, Verdict};
