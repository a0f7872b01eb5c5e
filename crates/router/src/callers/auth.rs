//! Which partner a bearer token belongs to.

use std::collections::{BTreeMap, HashMap};

use hibiscusvale_core::ids::PartnerId;
use http::{HeaderMap, header};

use crate::settings::{PartnerSettings, TokenHash};

const SCHEME: &str = "Bearer ";

/// The partners by the hash of their tokens. Only hashes are held, so that neither a core dump nor a log
/// gives a token away; looking up by hash also takes the same time whatever part of a guess is right.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    partners: HashMap<TokenHash, PartnerId>,
}

impl Tokens {
    /// Takes the hashes of the settings.
    pub fn new(partners: &BTreeMap<PartnerId, PartnerSettings>) -> Self {
        let hashes = partners.iter().flat_map(|(partner, settings)| {
            settings.token_hashes.iter().map(|hash| (*hash, partner.clone()))
        });
        Self { partners: hashes.collect() }
    }

    /// The partner whose token the request carries.
    pub fn partner(&self, headers: &HeaderMap) -> Option<&PartnerId> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix(SCHEME)?;
        self.partners.get(&TokenHash::of(token))
    }
}
