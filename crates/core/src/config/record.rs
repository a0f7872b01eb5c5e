//! Records of the configuration stream and their encoding.

use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::config::checkpoint::SealedCheckpoint;
use crate::config::target::ClassTarget;
use crate::ids::{ChangeId, ClassName, Offset, PartnerId};

/// Largest change record: all classes that a partner may have, with the longest names. Daemons relay nothing
/// larger to each other, so a larger record must not change the state, or daemons that read the log themselves
/// would come to another state than those that do not.
pub const MAX_RECORD_BYTES: usize = 8 << 10;

/// Classes that one change may touch.
pub const MAX_CHANGES_PER_RECORD: usize = 64;

/// Longest author's name in bytes.
const MAX_AUTHOR_BYTES: usize = 64;

/// First byte of each record. A daemon that meets another one rejects the record, as all of its release do.
const FORMAT: u8 = 1;

/// Keeps a signature over a change from being one over anything else.
const SIGNATURE_DOMAIN: &[u8] = b"hibiscusvale configuration change 1";

/// One record of the configuration stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Record {
    /// A partner's change.
    Change(SignedChange),
    /// The state at an earlier offset, so that older records may expire.
    Checkpoint(SealedCheckpoint),
}

/// A change with its publisher's signature. What is signed stays as bytes, so that a change whose content is
/// not understood can still be told to whoever signed it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SignedChange {
    /// Whose classes it changes, and whose key signed it.
    pub publisher: PartnerId,
    /// Names the change over all its appends.
    pub change_id: ChangeId,
    /// An encoded [`ChangeBody`].
    pub body: Vec<u8>,
    /// Ed25519 signature over domain, publisher, change id and body.
    pub signature: Vec<u8>,
}

/// What a change says.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ChangeBody {
    /// The publisher's version that the operator saw; the change is rejected if another came first.
    pub made_from: Option<Offset>,
    /// Who made it, for the history.
    pub author: Author,
    /// When it was made, by the operator's clock, for the history only.
    pub made_at_unix_ms: u64,
    /// What changes. All of it, or nothing.
    pub changes: Vec<ClassChange>,
}

/// A change to one class of the publisher.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClassChange {
    /// Creates the class, or replaces its target.
    Publish {
        /// The class.
        class: ClassName,
        /// Its target from now on.
        target: ClassTarget,
    },
    /// Deletes the class. Requests that are running keep the target they came in with.
    Delete {
        /// The class.
        class: ClassName,
    },
}

/// Bytes that are no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// Encoded by another release, or nothing of ours.
    #[error("format {found:?} is not understood")]
    Format {
        /// The first byte, if there is one.
        found: Option<u8>,
    },
    /// Cut off or altered.
    #[error("record could not be read")]
    Encoding,
}

impl ClassChange {
    /// The class that changes.
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
    /// The record as it is appended.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain data to memory has no way to fail; an empty record would be rejected by every daemon.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Reads an appended record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the bytes are not one record and nothing else.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let Some((&FORMAT, encoded)) = bytes.split_first() else {
            return Err(RecordError::Format { found: bytes.first().copied() });
        };
        match postcard::take_from_bytes(encoded) {
            Ok((record, [])) => Ok(record),
            _ => Err(RecordError::Encoding),
        }
    }
}

impl ChangeBody {
    /// Signs the change for `publisher`.
    pub fn sign(&self, publisher: &PartnerId, change_id: ChangeId, key: &SigningKey) -> SignedChange {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let signature = key.sign(&signed_bytes(publisher, change_id, &body)).to_bytes().to_vec();
        SignedChange { publisher: publisher.clone(), change_id, body, signature }
    }
}

impl SignedChange {
    /// Whether `key` signed it.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        let Ok(signature) = Signature::from_slice(&self.signature) else {
            return false;
        };
        let signed = signed_bytes(&self.publisher, self.change_id, &self.body);
        key.verify_strict(&signed, &signature).is_ok()
    }

    /// What it says.
    ///
    /// # Errors
    ///
    /// [`RecordError::Encoding`] when the signed bytes are no change.
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

/// Who made a change: an operator's name. Printable, so that a history cannot garble a terminal.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Author(String);

/// An author's name that cannot stand.
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
