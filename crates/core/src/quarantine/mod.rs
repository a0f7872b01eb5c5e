//! Requests that crash the servers that run them.
//!
//! - [`Fingerprint`]: recognises a request that comes again under another id.

mod fingerprint;

pub use fingerprint::{CallerIdentity, Fingerprint, ParseFingerprintError, RequestIdentity};
