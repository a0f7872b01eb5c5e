//! Organisations that send opaque requests: their API keys, priorities and quotas.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;
use crate::quota::Quota;

/// Hash of an API key. The keys themselves are never stored, so that they cannot reach a log, a view or
/// another daemon.
#[derive(Clone, Copy, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct KeyHash([u8; blake3::OUT_LEN]);

impl KeyHash {
    /// Hashes `key`.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Credentials that a caller presents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credentials {
    /// None.
    Missing,
    /// A key in the expected scheme.
    Key(KeyHash),
    /// Credentials that are not a key in that scheme.
    Malformed,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Partner {
    /// Name under which backend servers know it.
    pub id: PartnerId,
    /// Hashes of the keys that its callers use.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests, overriding that of the route; absent if the route's applies.
    pub priority: Option<u8>,
    /// Quota; absent if there is no limit.
    pub quota: Option<Quota>,
}

/// Why a caller could not be identified.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UnknownCaller {
    /// The route requires a key and none was presented.
    #[error("API key missing")]
    NoKey,
    /// The key belongs to no organisation.
    #[error("API key belongs to no organisation")]
    UnknownKey,
}

/// All organisations in one version of the routing table.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Partners {
    partners: Vec<Partner>,
    /// Index into `partners`.
    by_key: HashMap<KeyHash, usize>,
}

impl Partners {
    /// Builds the index of `partners` by key.
    pub fn new(partners: Vec<Partner>) -> Self {
        let positions = partners.iter().enumerate();
        let by_key = positions.flat_map(|(at, partner)| partner.keys.iter().map(move |key| (*key, at)));
        Self { by_key: by_key.collect(), partners }
    }

    /// Whether no organisation is configured; callers need no key then.
    pub fn is_empty(&self) -> bool {
        self.partners.is_empty()
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Partner> {
        self.partners.iter()
    }

    /// Identifies the organisation whose caller sent a request; `None` if the route is open to callers
    /// without a key, or no organisation is configured.
    ///
    /// # Errors
    ///
    /// [`UnknownCaller`] if a required key is missing, or if the key belongs to no organisation.
    pub fn authenticate(
        &self,
        credentials: Credentials,
        allows_anonymous: bool,
    ) -> Result<Option<&Partner>, UnknownCaller> {
        if self.is_empty() {
            return Ok(None);
        }
        match credentials {
            Credentials::Key(key) => {
                let position = self.by_key.get(&key).ok_or(UnknownCaller::UnknownKey)?;
                Ok(self.partners.get(*position))
            }
            Credentials::Missing if allows_anonymous => Ok(None),
            Credentials::Missing => Err(UnknownCaller::NoKey),
            Credentials::Malformed => Err(UnknownCaller::UnknownKey),
        }
    }
}
