//! Keys and hashes in the settings. Each prints as its kind only, so that a logged settings struct or error
//! gives nothing away.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

const KEY_BYTES: usize = 32;

/// A text that is not 64 hexadecimal digits. The text itself is not kept.
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
    /// Key of the message authentication code between daemons. Secret.
    MacKey
);
hex_key!(
    /// BLAKE3 hash of a bearer token. The token cannot be had from it; it stays out of logs all the same.
    TokenHash
);
hex_key!(
    /// Public Ed25519 key of a partner.
    PublishKey
);

impl TokenHash {
    /// Hash of the bearer token `token`.
    pub fn of(token: &str) -> Self {
        Self(*blake3::hash(token.as_bytes()).as_bytes())
    }
}
