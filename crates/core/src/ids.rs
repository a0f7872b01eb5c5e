//! Identifier types. Each kind of identifier has a distinct type, so that one cannot be passed for another.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes. Every peer message carries names, so the bound limits message size.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Why text could not be parsed as an identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("{kind} is empty")]
    Empty {
        /// Kind of identifier that was parsed.
        kind: &'static str,
    },
    /// The text is longer than the kind allows.
    #[error("{kind} has {length_bytes} bytes, at most {limit_bytes} are allowed")]
    TooLong {
        /// Kind of identifier that was parsed.
        kind: &'static str,
        /// Actual length.
        length_bytes: usize,
        /// Maximum length.
        limit_bytes: usize,
    },
    /// The text contains a character that is not allowed in this kind of identifier.
    #[error("{kind} holds the character {found:?}, which is not allowed")]
    Character {
        /// Kind of identifier that was parsed.
        kind: &'static str,
        /// The first invalid character.
        found: char,
    },
    /// The text is not a number in the expected format.
    #[error("{kind} is not a number in the expected form")]
    Number {
        /// Kind of identifier that was parsed.
        kind: &'static str,
    },
}

fn check_text(
    kind: &'static str,
    text: &str,
    limit_bytes: usize,
    allowed: fn(char) -> bool,
) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty { kind });
    }
    if text.len() > limit_bytes {
        return Err(ParseIdError::TooLong { kind, length_bytes: text.len(), limit_bytes });
    }
    if let Some(found) = text.chars().find(|&c| !allowed(c)) {
        return Err(ParseIdError::Character { kind, found });
    }
    Ok(())
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/')
}

fn is_key_character(c: char) -> bool {
    c.is_ascii_graphic()
}

fn is_version_character(c: char) -> bool {
    !c.is_control()
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $limit:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text($kind, text, $limit, $allowed)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

text_id!(
    /// An entry host, which runs one daemon.
    HostId, "host", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A data centre with its own entry hosts and backend servers.
    DataCentreId, "data_centre", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A region: data centres within a few milliseconds of each other.
    RegionId, "region", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// An organisation that sends requests and publishes classes.
    PartnerId, "partner", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A class of requests of one partner.
    ClassName, "class", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A model that engines serve.
    ModelId, "model", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A backend server: a model engine or a plain service instance.
    BackendServerId, "backend_server", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A service that routes refer to: engines of one kind, or instances of one plain service.
    ServiceId, "service", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A part of a prompt, by a hash of its tokens; requests that share it name the same id.
    PromptPartId, "prompt part", MAX_NAME_BYTES, is_name_character
);
text_id!(
    /// A caller's identifier for a request that must not be executed twice. Unique per partner.
    IdempotencyKey, "idempotency key", MAX_IDEMPOTENCY_KEY_BYTES, is_key_character
);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal, $width:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$inner>::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError::Number { kind: $kind })
            }
        }
    };
}

hex_id!(
    /// Identifies one run of a daemon process: Unix time in milliseconds at its start in the upper 64 bits,
    /// random bits in the lower. A later incarnation on the same host compares greater.
    Incarnation(u128), "incarnation", "32"
);
hex_id!(
    /// Identifies one configuration change across repeated appends, so that a change whose reply was lost is
    /// recognised when it is appended again.
    ChangeId(u128), "change id", "32"
);

impl Incarnation {
    /// Creates the incarnation of a daemon that starts at `unix_ms`; `random` distinguishes daemons that
    /// start in the same millisecond.
    pub fn new(unix_ms: u64, random: u64) -> Self {
        Self((u128::from(unix_ms) << u64::BITS) | u128::from(random))
    }

    /// Seed for the daemon's random number generators.
    pub fn seed(self) -> u64 {
        #[expect(clippy::cast_possible_truncation, reason = "both halves are mixed")]
        let halves = ((self.0 >> u64::BITS) as u64, self.0 as u64);
        halves.0.rotate_left(32) ^ halves.1
    }
}

/// Identifies a request: the daemon's incarnation and a counter. Never reused, because incarnations are
/// unique.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestId {
    /// Incarnation of the daemon that accepted the request.
    pub incarnation: Incarnation,
    /// Counter within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError::Number { kind: "request id" };
        let (incarnation, sequence) = text.split_once('-').ok_or_else(|| error.clone())?;
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| error.clone())?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| error)?,
        })
    }
}

/// One attempt to execute a request on backend servers. Engines identify requests by it, so that a
/// cancellation or an answer that belongs to an abandoned attempt cannot affect a later attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request_id: RequestId,
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request_id, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError::Number { kind: "attempt id" };
        let (request_id, attempt) = text.split_once('.').ok_or_else(|| error.clone())?;
        Ok(Self { request_id: request_id.parse()?, attempt: attempt.parse().map_err(|_| error)? })
    }
}

/// Position of a record in a stream of the platform's log.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Offset {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number { kind: "offset" })
    }
}

/// Fencing token that orders the holders of a lease: the log offset of the lease's record.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct FencingNumber(pub u64);

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of a backend server under its id: the time of its start in ms since the Unix epoch, by its own clock.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Lifetime(pub u64);

impl fmt::Display for Lifetime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Lifetime {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number { kind: "lifetime" })
    }
}

/// Version of a backend server's software. Versions have no order: two of them are the same or different. The default
/// is that of servers that state none, which count as one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Option<String>", into = "Option<String>")]
pub struct SoftwareVersion(Option<Arc<str>>);

impl SoftwareVersion {
    /// The version as text, or `unstated`.
    pub fn as_str(&self) -> &str {
        self.0.as_deref().unwrap_or("unstated")
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check_text("software version", text, MAX_NAME_BYTES, is_version_character)?;
        Ok(Self(Some(Arc::from(text))))
    }
}

impl TryFrom<Option<String>> for SoftwareVersion {
    type Error = ParseIdError;

    fn try_from(text: Option<String>) -> Result<Self, Self::Error> {
        text.map_or(Ok(Self(None)), |text| text.parse())
    }
}

impl From<SoftwareVersion> for Option<String> {
    fn from(version: SoftwareVersion) -> Self {
        version.0.map(|text| text.as_ref().to_owned())
    }
}
