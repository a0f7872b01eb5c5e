//! Fingerprints that identify a repeated request independently of its request id, and a part of a prompt in whatever request
//! it comes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{PartnerId, PromptPartId};

const FINGERPRINT_BYTES: usize = 16;

/// Bit of the first byte that is set for prompt parts.
const PART_BIT: u8 = 1;

/// Hash of what may crash servers: the fields that identify a request (caller, method, host, path and body), or a part of a
/// prompt.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FingerprintKind {
    /// A request.
    Request,
    /// A part of a prompt.
    PromptPart,
}

/// Fingerprints of a request: all that may be the cause if servers crash under it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fingerprints {
    /// The whole request.
    pub request: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
}

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
        bytes[0] &= !PART_BIT;
        Self(bytes)
    }

    /// Computes the fingerprint of a part of a prompt.
    pub fn of_prompt_part(part: &PromptPartId) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&blake3::hash(part.as_str().as_bytes()).as_bytes()[..FINGERPRINT_BYTES]);
        bytes[0] |= PART_BIT;
        Self(bytes)
    }

    /// What it identifies.
    pub fn kind(self) -> FingerprintKind {
        if self.0[0] & PART_BIT == 0 { FingerprintKind::Request } else { FingerprintKind::PromptPart }
    }
}

impl Fingerprints {
    /// Fingerprints of a request with these shared parts in its prompt.
    pub fn new(request: Fingerprint, prompt_parts: &[PromptPartId]) -> Self {
        Self { request, prompt_parts: prompt_parts.iter().map(Fingerprint::of_prompt_part).collect() }
    }

    /// The request, then its parts.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        std::iter::once(self.request).chain(self.prompt_parts.iter().copied())
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
