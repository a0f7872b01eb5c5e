//! Applies one change to a state.

use crate::config::fold::PublisherKeys;
use crate::config::history::{CHANGES_SHOWN, HistoryEntry, UnattributedRecord, Verdict};
use crate::config::intake::RejectedRecord;
use crate::config::record::{ChangeBody, SignedChange};
use crate::config::reject::RejectReason;
use crate::config::state::ConfigState;
use crate::ids::Offset;

/// A record that changed nothing, and the note of it where no partner's history holds it.
pub(super) struct Refused {
    pub(super) record: RejectedRecord,
    pub(super) unattributed: Option<UnattributedRecord>,
}

impl Refused {
    pub(super) fn unattributed(offset: Offset, reason: RejectReason) -> Self {
        Self {
            record: RejectedRecord { offset, publisher: None, reason: reason.clone() },
            unattributed: Some(UnattributedRecord {
                offset,
                claimed_publisher: None,
                change_id: None,
                reason,
            }),
        }
    }

    fn forged(offset: Offset, change: &SignedChange, reason: RejectReason) -> Self {
        Self {
            record: RejectedRecord {
                offset,
                publisher: Some(change.publisher.clone()),
                reason: reason.clone(),
            },
            unattributed: Some(UnattributedRecord {
                offset,
                claimed_publisher: Some(change.publisher.clone()),
                change_id: Some(change.change_id),
                reason,
            }),
        }
    }
}

/// Applies a change and remembers it, with what came of it, where its publisher will find it. Returns nothing
/// when it is accepted.
pub(super) fn apply_change(
    state: &mut ConfigState,
    keys: &PublisherKeys,
    offset: Offset,
    change: &SignedChange,
) -> Option<Refused> {
    // A record that only claims to be a partner's must not touch that partner's classes, version or history.
    if let Err(reason) = check_origin(keys, change) {
        return Some(Refused::forged(offset, change, reason));
    }
    let partner = state.partner_mut(&change.publisher);
    let body = change.open();
    let checked = match &body {
        Ok(body) => partner.check(change.change_id, body),
        Err(_) => Err(RejectReason::MalformedChange),
    };
    let entry = history_entry(offset, change, body.as_ref().ok(), &checked);
    partner.settle(entry, body.as_ref().map_or(&[], |body| &body.changes));
    let reason = checked.err()?;
    Some(Refused {
        record: RejectedRecord { offset, publisher: Some(change.publisher.clone()), reason },
        unattributed: None,
    })
}

fn check_origin(keys: &PublisherKeys, change: &SignedChange) -> Result<(), RejectReason> {
    let key = keys.get(&change.publisher).ok_or(RejectReason::UnknownPublisher)?;
    if change.is_signed_by(key) { Ok(()) } else { Err(RejectReason::BadSignature) }
}

fn history_entry(
    offset: Offset,
    change: &SignedChange,
    body: Option<&ChangeBody>,
    checked: &Result<(), RejectReason>,
) -> HistoryEntry {
    let verdict = match checked {
        Ok(()) => Verdict::Accepted,
        Err(reason) => Verdict::Rejected(reason.clone()),
    };
    let mut entry = HistoryEntry {
        offset,
        change_id: change.change_id,
        author: None,
        made_at_unix_ms: 0,
        verdict,
        changes: Vec::new(),
        changes_total: 0,
    };
    if let Some(body) = body {
        entry.changes_total = u32::try_from(body.changes.len()).unwrap_or(u32::MAX);
        entry.author = Some(body.author.clone());
        entry.made_at_unix_ms = body.made_at_unix_ms;
        entry.changes = body.changes.iter().take(CHANGES_SHOWN).cloned().collect();
    }
    entry
}
