//! Identifies partners by their bearer tokens.

use std::collections::{BTreeMap, HashMap};

use hibiscusvale_core::ids::PartnerId;
use http::{HeaderMap, header};

use crate::settings::{PartnerSettings, TokenHash};

const BEARER_PREFIX: &str = "Bearer ";

/// Partners by the hash of their tokens. Only hashes are held, so that neither a core dump nor a log reveals
/// a token. Looking up by hash also takes the same time whichever part of a guessed token is right.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    partners: HashMap<TokenHash, PartnerId>,
}

impl Tokens {
    /// Indexes the token hashes of the settings.
    pub fn new(partners: &BTreeMap<PartnerId, PartnerSettings>) -> Self {
        let hashes = partners.iter().flat_map(|(partner, settings)| {
            settings.token_hashes.iter().map(|hash| (*hash, partner.clone()))
        });
        Self { partners: hashes.collect() }
    }

    /// The partner whose token the request carries; `None` when the token is missing or unknown.
    pub fn partner(&self, headers: &HeaderMap) -> Option<&PartnerId> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix(BEARER_PREFIX)?;
        self.partners.get(&TokenHash::of(token))
    }
}
