//! Recognising a request that comes again under another id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;

const FINGERPRINT_BYTES: usize = 16;

/// Hash of what makes a request the same request: caller, method, host, path and body.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// A fingerprint that could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not a fingerprint of 32 hexadecimal digits")]
pub struct ParseFingerprintError {
    text: String,
}

/// Who sends a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerIdentity<'a> {
    /// An organisation that is known by its key; its callers count as one.
    Partner(&'a PartnerId),
    /// Credentials that only backend servers understand.
    Credentials(&'a [u8]),
    /// Nobody in particular.
    Anonymous,
}

/// What makes a request the same request when it comes again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestIdentity<'a> {
    /// Who sends it.
    pub caller: CallerIdentity<'a>,
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let (kind, caller): (u8, &[u8]) = match request.caller {
            CallerIdentity::Partner(partner) => (0, partner.as_str().as_bytes()),
            CallerIdentity::Credentials(credentials) => (1, credentials),
            CallerIdentity::Anonymous => (2, &[]),
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[kind]);
        let host = request.host.to_ascii_lowercase();
        let fields =
            [caller, request.method.as_bytes(), host.as_bytes(), request.path.as_bytes(), request.body];
        for field in fields {
            // The length keeps the end of one field from passing for the beginning of the next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
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
