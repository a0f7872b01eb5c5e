//! Configuration state at one offset.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::history::{MAX_UNATTRIBUTED_RECORDS, UnattributedRecord};
use crate::config::partner::PartnerConfig;
use crate::config::target::ClassTarget;
use crate::ids::{ClassName, Offset, PartnerId};

/// The configuration in force at one offset of the stream. Partners are shared between versions, so that a
/// new version copies only the partner that changed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigState {
    pub(super) next_offset: Offset,
    pub(super) partners: BTreeMap<PartnerId, Arc<PartnerConfig>>,
    pub(super) unattributed: VecDeque<UnattributedRecord>,
}

impl ConfigState {
    /// Whether any configuration has been loaded. Until then a class that is not found may still exist, so
    /// requests get a retryable error instead of an unknown-class error.
    pub fn is_known(&self) -> bool {
        self.next_offset > Offset(0)
    }

    /// Offset of the first record that is not folded. Of two states, also of different daemons, the one with
    /// the higher offset is newer.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// The target of a class, if the class exists.
    pub fn class(&self, partner: &PartnerId, class: &ClassName) -> Option<&ClassTarget> {
        self.partners.get(partner)?.target(class)
    }

    /// Configuration of a partner; `None` if the partner has never attempted to publish.
    pub fn partner(&self, partner: &PartnerId) -> Option<&PartnerConfig> {
        self.partners.get(partner).map(AsRef::as_ref)
    }

    /// Partners that have published a change or attempted to, with their configuration.
    pub fn partners(&self) -> impl Iterator<Item = (&PartnerId, &PartnerConfig)> {
        self.partners.iter().map(|(partner, config)| (partner, config.as_ref()))
    }

    /// Number of classes in force, over all partners.
    pub fn classes_total(&self) -> usize {
        self.partners.values().map(|config| config.classes_total()).sum()
    }

    /// The most recent records that cannot be attributed to a partner, oldest first.
    pub fn unattributed(&self) -> impl Iterator<Item = &UnattributedRecord> {
        self.unattributed.iter()
    }

    /// Hash over the whole state; it is equal on all daemons at the same offset. Each partner caches its own
    /// hash, so that a change rehashes one partner instead of all 280.
    pub fn digest(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.next_offset.0.to_le_bytes());
        for (partner, config) in &self.partners {
            hasher.update(blake3::hash(partner.as_str().as_bytes()).as_bytes());
            hasher.update(config.digest().as_bytes());
        }
        hasher.update(&postcard::to_allocvec(&self.unattributed).unwrap_or_default());
        hasher.finalize()
    }

    pub(super) fn partner_mut(&mut self, partner: &PartnerId) -> &mut PartnerConfig {
        Arc::make_mut(self.partners.entry(partner.clone()).or_default())
    }

    pub(super) fn push_unattributed(&mut self, record: UnattributedRecord) {
        if self.unattributed.len() >= MAX_UNATTRIBUTED_RECORDS {
            self.unattributed.pop_front();
        }
        self.unattributed.push_back(record);
    }
}
