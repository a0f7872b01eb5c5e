//! Fingerprints that identify a repeated request independently of its request id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

const FINGERPRINT_BYTES: usize = 16;

/// Hash of the fields that identify a request: caller, method, host, path and body.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// Error of parsing a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not a fingerprint of 32 hexadecimal digits")]
pub struct ParseFingerprintError {
    text: String,
}

/// Sender of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerIdentity<'a> {
    /// Organisation identified by its key; all its callers count as one.
    Partner(&'a PartnerId),
    /// Opaque credentials, which only backend servers interpret.
    Credentials(&'a [u8]),
    /// No identification.
    Anonymous,
}

/// Fields that identify a repeated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestIdentity<'a> {
    /// Sender of the request.
    pub caller: CallerIdentity<'a>,
    /// HTTP method.
    pub method: &'a str,
    /// Host named by the request, compared without regard to case.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl CallerIdentity<'_> {
    /// Digest of the caller and of further fields. Different sequences of fields have different digests.
    pub fn digest<const FIELDS: usize>(self, fields: [&[u8]; FIELDS]) -> blake3::OutputReader {
        let (kind, caller): (u8, &[u8]) = match self {
            Self::Partner(partner) => (0, partner.as_str().as_bytes()),
            Self::Credentials(credentials) => (1, credentials),
            Self::Anonymous => (2, &[]),
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[kind]);
        for field in [caller].into_iter().chain(fields) {
            // The length prefix keeps adjacent fields from hashing alike when bytes move from one to the
            // next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.finalize_xof()
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let host = request.host.to_ascii_lowercase();
        let fields = [request.method.as_bytes(), host.as_bytes(), request.path.as_bytes(), request.body];
        let mut bytes = [0; FINGERPRINT_BYTES];
        request.caller.digest(fields).fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseFingerprintError { text: text.to_owned() };
        let is_hexadecimal = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hexadecimal {
            return Err(error());
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}
