//! Configuration at one offset.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::history::{UNATTRIBUTED_KEPT, UnattributedRecord};
use crate::config::partner::PartnerConfig;
use crate::config::target::ClassTarget;
use crate::ids::{ClassName, Offset, PartnerId};

/// All that is in force at one offset of the configuration stream. Partners are shared between versions, so
/// that a new version costs one partner and not all.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigState {
    pub(super) next_offset: Offset,
    pub(super) partners: BTreeMap<PartnerId, Arc<PartnerConfig>>,
    pub(super) unattributed: VecDeque<UnattributedRecord>,
}

impl ConfigState {
    /// Whether any configuration is known. While it is not, a class that is not found may well exist, and a
    /// request must be told to come back rather than that its class is unknown.
    pub fn is_known(&self) -> bool {
        self.next_offset > Offset(0)
    }

    /// The offset of the first record that is not folded in. Higher is newer, on any daemon.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// The target of a class.
    pub fn class(&self, partner: &PartnerId, class: &ClassName) -> Option<&ClassTarget> {
        self.partners.get(partner)?.target(class)
    }

    /// What a partner has published.
    pub fn partner(&self, partner: &PartnerId) -> Option<&PartnerConfig> {
        self.partners.get(partner).map(AsRef::as_ref)
    }

    /// All partners that have published or tried to.
    pub fn partners(&self) -> impl Iterator<Item = (&PartnerId, &PartnerConfig)> {
        self.partners.iter().map(|(partner, config)| (partner, config.as_ref()))
    }

    /// Number of classes in force over all partners.
    pub fn classes_total(&self) -> usize {
        self.partners.values().map(|config| config.classes_total()).sum()
    }

    /// The latest records that no partner can be shown to have made, oldest first.
    pub fn unattributed(&self) -> impl Iterator<Item = &UnattributedRecord> {
        self.unattributed.iter()
    }

    /// A hash over all of it. Two daemons at the same offset must show the same. Each partner holds its own
    /// hash, so that a change costs one partner's content and not that of 280.
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

    pub(super) fn note_unattributed(&mut self, record: UnattributedRecord) {
        if self.unattributed.len() >= UNATTRIBUTED_KEPT {
            self.unattributed.pop_front();
        }
        self.unattributed.push_back(record);
    }
}
