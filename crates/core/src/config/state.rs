//! Configuration at one offset.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::history::{
    HISTORY_PER_PARTNER, HistoryEntry, UNATTRIBUTED_KEPT, UnattributedRecord, Verdict,
};
use crate::config::record::{ChangeBody, ClassChange, MAX_CHANGES_PER_RECORD};
use crate::config::reject::RejectReason;
use crate::config::target::ClassTarget;
use crate::ids::{ChangeId, ClassName, Offset, PartnerId};

/// Classes that a partner may have. Ten are usual; the bound keeps one partner from filling every daemon.
pub const MAX_CLASSES_PER_PARTNER: usize = 64;

/// All that is in force at one offset of the configuration stream. Partners are shared between versions, so
/// that a new version costs one partner and not all.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigState {
    pub(super) next_offset: Offset,
    pub(super) partners: BTreeMap<PartnerId, Arc<PartnerConfig>>,
    pub(super) unattributed: VecDeque<UnattributedRecord>,
}

/// What one partner has published.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartnerConfig {
    version: Option<Offset>,
    classes: BTreeMap<ClassName, PublishedClass>,
    history: VecDeque<Arc<HistoryEntry>>,
}

/// A class in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PublishedClass {
    /// Its target.
    pub target: ClassTarget,
    /// The change that set it.
    pub changed_at: Offset,
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
        let published = self.partners.get(partner)?.classes.get(class)?;
        Some(&published.target)
    }

    /// What a partner has published.
    pub fn partner(&self, partner: &PartnerId) -> Option<&PartnerConfig> {
        self.partners.get(partner).map(AsRef::as_ref)
    }

    /// All partners that have published or tried to.
    pub fn partners(&self) -> impl Iterator<Item = (&PartnerId, &PartnerConfig)> {
        self.partners
            .iter()
            .map(|(partner, config)| (partner, config.as_ref()))
    }

    /// Number of classes in force over all partners.
    pub fn classes_total(&self) -> usize {
        self.partners.values().map(|config| config.classes.len()).sum()
    }

    /// The latest records that no partner can be shown to have made, oldest first.
    pub fn unattributed(&self) -> impl Iterator<Item = &UnattributedRecord> {
        self.unattributed.iter()
    }

    /// A hash over all of it. Two daemons at the same offset must show the same.
    pub fn digest(&self) -> blake3::Hash {
        blake3::hash(&postcard::to_allocvec(self).unwrap_or_default())
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

impl PartnerConfig {
    /// Offset of the partner's last accepted change: what the next change has to be made from.
    pub fn version(&self) -> Option<Offset> {
        self.version
    }

    /// The classes in force.
    pub fn classes(&self) -> impl Iterator<Item = (&ClassName, &PublishedClass)> {
        self.classes.iter()
    }

    /// The latest changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter().map(AsRef::as_ref)
    }

    /// Checks a change against what is in force. It is decided here, at the record's place in the log, who
    /// comes first: of two changes made from one version the earlier record is accepted and the later one
    /// rejected, on every daemon alike.
    pub(super) fn check(&self, change_id: ChangeId, body: &ChangeBody) -> Result<(), RejectReason> {
        if let Some(first) = self.accepted_at(change_id) {
            return Err(RejectReason::Duplicate { first });
        }
        if body.made_from != self.version {
            return Err(RejectReason::Conflict {
                made_from: body.made_from,
                in_force: self.version,
            });
        }
        if body.changes.is_empty() {
            return Err(RejectReason::Empty);
        }
        if body.changes.len() > MAX_CHANGES_PER_RECORD {
            return Err(RejectReason::TooManyChanges {
                found: count(body.changes.len()),
                limit: count(MAX_CHANGES_PER_RECORD),
            });
        }
        self.check_classes(&body.changes)
    }

    fn accepted_at(&self, change_id: ChangeId) -> Option<Offset> {
        let is_it =
            |entry: &&Arc<HistoryEntry>| entry.change_id == change_id && entry.verdict == Verdict::Accepted;
        self.history.iter().find(is_it).map(|entry| entry.offset)
    }

    fn check_classes(&self, changes: &[ClassChange]) -> Result<(), RejectReason> {
        let mut classes_total = self.classes.len();
        for (index, change) in changes.iter().enumerate() {
            let class = change.class();
            if changes[..index].iter().any(|earlier| earlier.class() == class) {
                return Err(RejectReason::RepeatedClass { class: class.clone() });
            }
            let exists = self.classes.contains_key(class);
            match change {
                ClassChange::Publish { target, .. } => {
                    target.check().map_err(|error| RejectReason::BadTarget {
                        class: class.clone(),
                        error,
                    })?;
                    classes_total += usize::from(!exists);
                }
                ClassChange::Delete { .. } if !exists => {
                    return Err(RejectReason::UnknownClass { class: class.clone() });
                }
                ClassChange::Delete { .. } => classes_total -= 1,
            }
        }
        if classes_total > MAX_CLASSES_PER_PARTNER {
            return Err(RejectReason::TooManyClasses {
                found: count(classes_total),
                limit: count(MAX_CLASSES_PER_PARTNER),
            });
        }
        Ok(())
    }

    /// Puts a checked change into force.
    pub(super) fn accept(&mut self, offset: Offset, changes: &[ClassChange]) {
        self.version = Some(offset);
        for change in changes {
            match change {
                ClassChange::Publish { class, target } => {
                    let published = PublishedClass {
                        target: *target,
                        changed_at: offset,
                    };
                    self.classes.insert(class.clone(), published);
                }
                ClassChange::Delete { class } => {
                    self.classes.remove(class);
                }
            }
        }
    }

    pub(super) fn note(&mut self, entry: HistoryEntry) {
        if self.history.len() >= HISTORY_PER_PARTNER {
            self.history.pop_front();
        }
        self.history.push_back(Arc::new(entry));
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
