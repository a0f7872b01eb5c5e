//! Records of the configuration stream and their encoding.

use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::config::checkpoint::SealedCheckpoint;
use crate::config::target::ClassTarget;
use crate::ids::{ChangeId, ClassName, Offset, PartnerId};

/// Maximum size of a change record: all classes of a partner with the longest names. Daemons relay no larger
/// record, so a larger one must not change the state; otherwise daemons that read the log would diverge from
/// those that rely on relays.
pub const MAX_RECORD_BYTES: usize = 8 << 10;

/// Maximum number of classes in one change.
pub const MAX_CHANGES_PER_RECORD: usize = 64;

/// Maximum length of an author name in bytes.
const MAX_AUTHOR_BYTES: usize = 64;

/// Format version, the first byte of each record. A record with another version is rejected, by all daemons
/// of a release alike.
const FORMAT_VERSION: u8 = 1;

/// Domain separation: a signature over a change is not valid for any other purpose.
const SIGNATURE_DOMAIN: &[u8] = b"hibiscusvale configuration change 1";

/// One record of the configuration stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Record {
    /// A change signed by a partner.
    Change(SignedChange),
    /// The state at an earlier offset, which allows older records to expire.
    Checkpoint(SealedCheckpoint),
}

/// A change with its publisher's signature. The signed body stays encoded, so that a change that cannot be
/// decoded is still reported to its verified signer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SignedChange {
    /// The partner whose classes change, and whose key signed the change.
    pub publisher: PartnerId,
    /// Identifies the change across repeated appends.
    pub change_id: ChangeId,
    /// An encoded [`ChangeBody`].
    pub body: Vec<u8>,
    /// Ed25519 signature over domain, publisher, change id and body.
    pub signature: Vec<u8>,
}

/// Content of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ChangeBody {
    /// The publisher's version that the change is based on; it is rejected if another version is in force.
    /// `None` before the first change.
    pub made_from: Option<Offset>,
    /// Operator who made the change, for the history.
    pub author: Author,
    /// Time of the change in milliseconds since the Unix epoch, by the operator's clock; for the history
    /// only.
    pub made_at_unix_ms: u64,
    /// Changes to classes, applied all or not at all.
    pub changes: Vec<ClassChange>,
}

/// A change to one class of the publisher.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClassChange {
    /// Creates the class or replaces its target.
    Publish {
        /// The class to create or update.
        class: ClassName,
        /// The new target.
        target: ClassTarget,
    },
    /// Deletes the class. Running requests keep the target they were admitted with.
    Delete {
        /// The class to delete.
        class: ClassName,
    },
}

/// Why bytes could not be decoded as a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The format version is unknown: the record is from another release or from other software.
    #[error("record format version {found:?} is not supported")]
    Format {
        /// The first byte, or `None` if the record is empty.
        found: Option<u8>,
    },
    /// The record is truncated or corrupted.
    #[error("record is truncated or corrupted")]
    Encoding,
}

impl ClassChange {
    /// The class that the change applies to.
    pub fn class(&self) -> &ClassName {
        match self {
            Self::Publish { class, .. } | Self::Delete { class } => class,
        }
    }
}

impl fmt::Display for ClassChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Publish { class, target } => write!(f, "{class}: {target}"),
            Self::Delete { class } => write!(f, "{class}: deleted"),
        }
    }
}

impl Record {
    /// Encodes the record for appending.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing to memory cannot fail; if it did, every daemon would reject the empty record.
        postcard::to_extend(self, vec![FORMAT_VERSION]).unwrap_or_default()
    }

    /// Decodes an appended record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] unless the bytes are exactly one record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let Some((&FORMAT_VERSION, encoded)) = bytes.split_first() else {
            return Err(RecordError::Format { found: bytes.first().copied() });
        };
        match postcard::take_from_bytes(encoded) {
            Ok((record, [])) => Ok(record),
            _ => Err(RecordError::Encoding),
        }
    }
}

impl ChangeBody {
    /// Encodes the change and signs it for `publisher`.
    pub fn sign(&self, publisher: &PartnerId, change_id: ChangeId, key: &SigningKey) -> SignedChange {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let signature = key.sign(&signed_bytes(publisher, change_id, &body)).to_bytes().to_vec();
        SignedChange { publisher: publisher.clone(), change_id, body, signature }
    }
}

impl SignedChange {
    /// Whether the signature verifies under `key`.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        let Ok(signature) = Signature::from_slice(&self.signature) else {
            return false;
        };
        let signed = signed_bytes(&self.publisher, self.change_id, &self.body);
        key.verify_strict(&signed, &signature).is_ok()
    }

    /// Decodes the change.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Encoding`] if the signed bytes are not a change.
    pub fn open(&self) -> Result<ChangeBody, RecordError> {
        match postcard::take_from_bytes(&self.body) {
            Ok((body, [])) => Ok(body),
            _ => Err(RecordError::Encoding),
        }
    }
}

fn signed_bytes(publisher: &PartnerId, change_id: ChangeId, body: &[u8]) -> Vec<u8> {
    postcard::to_allocvec(&(SIGNATURE_DOMAIN, publisher, change_id, body)).unwrap_or_default()
}

/// Name of the operator who made a change. Control characters are not allowed, so that showing a history
/// cannot corrupt a terminal.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Author(String);

/// The author name has an invalid length or contains control characters.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("author must have 1 to {MAX_AUTHOR_BYTES} bytes and no control characters")]
pub struct ParseAuthorError;

impl FromStr for Author {
    type Err = ParseAuthorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fits = (1..=MAX_AUTHOR_BYTES).contains(&text.len());
        if !fits || text.chars().any(char::is_control) {
            return Err(ParseAuthorError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for Author {
    type Error = ParseAuthorError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Author> for String {
    fn from(author: Author) -> Self {
        author.0
    }
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
