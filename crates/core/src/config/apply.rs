//! Applies a signed change to the configuration state.

use crate::config::fold::PublisherKeys;
use crate::config::fold_types::RejectedRecord;
use crate::config::history::{HistoryEntry, MAX_HISTORY_CHANGES, UnattributedRecord, Verdict};
use crate::config::record::{ChangeBody, SignedChange};
use crate::config::reject::RejectReason;
use crate::config::state::ConfigState;
use crate::ids::Offset;

/// A rejected record. `unattributed` is set when no partner's history can hold the rejection.
pub(super) struct Rejection {
    pub(super) record: RejectedRecord,
    pub(super) unattributed: Option<UnattributedRecord>,
}

impl Rejection {
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

/// Verifies and applies a change, and records its verdict in the publisher's history. Returns `None` when the
/// change is accepted.
pub(super) fn apply_change(
    state: &mut ConfigState,
    keys: &PublisherKeys,
    offset: Offset,
    change: &SignedChange,
) -> Option<Rejection> {
    // A record that falsely names a publisher must not touch that partner's classes, version or history.
    if let Err(reason) = check_origin(keys, change) {
        return Some(Rejection::forged(offset, change, reason));
    }
    let partner = state.partner_mut(&change.publisher);
    let body = change.open();
    let validation = match &body {
        Ok(body) => partner.check(change.change_id, body),
        Err(_) => Err(RejectReason::MalformedChange),
    };
    let entry = history_entry(offset, change, body.as_ref().ok(), &validation);
    partner.commit(entry, body.as_ref().map_or(&[], |body| &body.changes));
    let reason = validation.err()?;
    Some(Rejection {
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
    validation: &Result<(), RejectReason>,
) -> HistoryEntry {
    let verdict = match validation {
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
        entry.changes = body.changes.iter().take(MAX_HISTORY_CHANGES).cloned().collect();
    }
    entry
}
