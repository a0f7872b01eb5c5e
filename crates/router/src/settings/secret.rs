//! Keys and hashes in the settings. Their `Debug` output shows only the type name, so that logged settings and errors
//! do not leak them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

const KEY_BYTES: usize = 32;

/// Error for a string that is not 64 hexadecimal digits. It does not contain the string.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("must be {} hexadecimal digits", KEY_BYTES * 2)]
pub struct ParseKeyError;

fn parse_hex(text: &str) -> Result<[u8; KEY_BYTES], ParseKeyError> {
    blake3::Hash::from_hex(text).map(|hash| *hash.as_bytes()).map_err(|_| ParseKeyError)
}

macro_rules! hex_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize)]
        #[serde(try_from = "String")]
        pub struct $name([u8; KEY_BYTES]);

        impl $name {
            /// Wraps raw bytes.
            pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
                Self(bytes)
            }

            /// The raw bytes.
            pub const fn bytes(&self) -> &[u8; KEY_BYTES] {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseKeyError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_hex(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseKeyError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(concat!(stringify!($name), "(..)"))
            }
        }
    };
}

hex_key!(
    /// Secret key of the message authentication code between daemons.
    MacKey
);
hex_key!(
    /// BLAKE3 hash of a bearer token. It does not reveal the token, but is kept out of logs anyway.
    TokenHash
);
hex_key!(
    /// Ed25519 public key that verifies a partner's configuration records.
    PublishKey
);

impl TokenHash {
    /// Computes the hash of a bearer token.
    pub fn of(token: &str) -> Self {
        Self(*blake3::hash(token.as_bytes()).as_bytes())
    }
}
