//! Published configuration of one partner and validation of its changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};

use crate::config::history::{HISTORY_PER_PARTNER, HistoryEntry, Verdict};
use crate::config::record::{ChangeBody, ClassChange, MAX_CHANGES_PER_RECORD};
use crate::config::reject::RejectReason;
use crate::config::target::ClassTarget;
use crate::ids::{ChangeId, ClassName, Offset};

/// Maximum number of classes per partner. Ten are typical; the bound limits the memory that one partner can
/// use on every daemon.
pub const MAX_CLASSES_PER_PARTNER: usize = 64;

/// Published configuration of one partner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(from = "Content")]
pub struct PartnerConfig {
    content: Content,
    digest: blake3::Hash,
}

#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
struct Content {
    version: Option<Offset>,
    classes: BTreeMap<ClassName, PublishedClass>,
    history: VecDeque<Arc<HistoryEntry>>,
}

/// A class in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PublishedClass {
    /// Latency target of the class.
    pub target: ClassTarget,
    /// Offset of the change that last set the target.
    pub changed_at: Offset,
}

impl Default for PartnerConfig {
    fn default() -> Self {
        Content::default().into()
    }
}

impl From<Content> for PartnerConfig {
    fn from(content: Content) -> Self {
        Self { digest: content.digest(), content }
    }
}

impl Serialize for PartnerConfig {
    fn serialize<Target>(&self, serializer: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        self.content.serialize(serializer)
    }
}

impl PartnerConfig {
    /// Offset of the partner's last accepted change, which the next change has to be based on. `None` before
    /// the first one.
    pub fn version(&self) -> Option<Offset> {
        self.content.version
    }

    /// The classes in force.
    pub fn classes(&self) -> impl Iterator<Item = (&ClassName, &PublishedClass)> {
        self.content.classes.iter()
    }

    /// The most recent changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.content.history.iter().map(AsRef::as_ref)
    }

    /// Number of classes in force.
    pub fn classes_total(&self) -> usize {
        self.content.classes.len()
    }

    /// The target of a class, if the class exists.
    pub fn target(&self, class: &ClassName) -> Option<&ClassTarget> {
        self.content.classes.get(class).map(|published| &published.target)
    }

    /// Hash over the classes, version and history.
    pub fn digest(&self) -> blake3::Hash {
        self.digest
    }

    /// Validates a change against the classes in force. Conflicts are resolved by log order: of two changes
    /// based on the same version, every daemon accepts the earlier record and rejects the later one.
    pub(super) fn check(&self, change_id: ChangeId, body: &ChangeBody) -> Result<(), RejectReason> {
        self.content.check(change_id, body)
    }

    /// Applies the change if its verdict is accepted and appends it to the history. This is the only
    /// mutation, so the digest is always up to date.
    pub(super) fn commit(&mut self, entry: HistoryEntry, accepted: &[ClassChange]) {
        if entry.verdict == Verdict::Accepted {
            self.content.apply(entry.offset, accepted);
        }
        self.content.push_history(entry);
        self.digest = self.content.digest();
    }
}

impl Content {
    fn digest(&self) -> blake3::Hash {
        blake3::hash(&postcard::to_allocvec(self).unwrap_or_default())
    }

    fn check(&self, change_id: ChangeId, body: &ChangeBody) -> Result<(), RejectReason> {
        if let Some(first) = self.accepted_at(change_id) {
            return Err(RejectReason::Duplicate { first });
        }
        if body.made_from != self.version {
            return Err(RejectReason::Conflict { made_from: body.made_from, in_force: self.version });
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
        let is_match =
            |entry: &&Arc<HistoryEntry>| entry.change_id == change_id && entry.verdict == Verdict::Accepted;
        self.history.iter().find(is_match).map(|entry| entry.offset)
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
                    target
                        .check()
                        .map_err(|error| RejectReason::BadTarget { class: class.clone(), error })?;
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

    /// Applies a validated change.
    fn apply(&mut self, offset: Offset, changes: &[ClassChange]) {
        self.version = Some(offset);
        for change in changes {
            match change {
                ClassChange::Publish { class, target } => {
                    let published = PublishedClass { target: *target, changed_at: offset };
                    self.classes.insert(class.clone(), published);
                }
                ClassChange::Delete { class } => {
                    self.classes.remove(class);
                }
            }
        }
    }

    fn push_history(&mut self, entry: HistoryEntry) {
        if self.history.len() >= HISTORY_PER_PARTNER {
            self.history.pop_front();
        }
        self.history.push_back(Arc::new(entry));
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
