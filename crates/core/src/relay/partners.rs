//! Organisations that send opaque requests: their API keys, their rank, and their quotas.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::PartnerId;
use crate::quota::Quota;

/// Hash of an API key. Keys themselves are never stored, so that they cannot reach a log, a view or another daemon.
#[derive(Clone, Copy, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct KeyHash([u8; blake3::OUT_LEN]);

impl KeyHash {
    /// The hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// What a caller shows of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credentials {
    /// Nothing.
    Missing,
    /// A key, in the scheme that callers are expected to use.
    Key(KeyHash),
    /// Something that is not a key in that scheme.
    Unusable,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Partner {
    /// Its name, as backend servers see it.
    pub id: PartnerId,
    /// The keys that its callers use.
    pub keys: Vec<KeyHash>,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// What it may send; no limit where it is absent.
    pub quota: Option<Quota>,
}

/// A request whose caller is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UnknownCaller {
    /// The route is for known callers only, and there is no key.
    #[error("no key")]
    NoKey,
    /// No organisation holds the key.
    #[error("key of no organisation")]
    UnknownKey,
}

/// All organisations of one version of the routes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Partners {
    partners: Vec<Partner>,
    /// Positions in `partners`.
    by_key: HashMap<KeyHash, usize>,
}

impl Partners {
    /// Indexes `partners` by their keys.
    pub fn new(partners: Vec<Partner>) -> Self {
        let positions = partners.iter().enumerate();
        let by_key = positions.flat_map(|(at, partner)| partner.keys.iter().map(move |key| (*key, at)));
        Self { by_key: by_key.collect(), partners }
    }

    /// Whether callers have to show a key at all.
    pub fn is_empty(&self) -> bool {
        self.partners.is_empty()
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Partner> {
        self.partners.iter()
    }

    /// The organisation whose caller sent a request; `None` where the route is open to callers without a key.
    ///
    /// # Errors
    ///
    /// [`UnknownCaller`].
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
            Credentials::Unusable => Err(UnknownCaller::UnknownKey),
        }
    }
}
