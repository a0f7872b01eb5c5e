//! Where the fold of a newly opened partition begins.

use super::partition::{ClaimPage, ClaimRecord};
use super::{ClaimSettings, UnixMillis};
use crate::ids::Offset;

/// Clocks that come in between when a reader judges the age of the records before one: those of the reader, of the
/// record's writer, and of two writers before it. Each may be off by as much as two hosts' may differ.
const CLOCKS_COMPARED: u64 = 4;

/// Search for the first record that still matters. The log may keep days of records, while keys are held for
/// minutes: a daemon that becomes the owner finds that record by halving, at the cost of some twenty reads of one
/// record, instead of reading days of them at 4 KB/s.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum Opening {
    /// The bounds of the stream are not known.
    #[default]
    Unread,
    /// Records before `low` are too old to matter, those from `high` on may matter.
    Search { low: Offset, high: Offset },
    /// The fold has begun.
    Done,
}

impl Opening {
    pub(super) fn is_searching(self) -> bool {
        matches!(self, Self::Search { .. })
    }

    /// The record to look at next, while the search goes on.
    pub(super) fn probe(self) -> Option<Offset> {
        match self {
            Self::Search { low, high } => Some(middle(low, high)),
            Self::Unread | Self::Done => None,
        }
    }

    /// Narrows the search by a page; returns where the fold begins once that is known.
    pub(super) fn narrow(
        &mut self,
        settings: &ClaimSettings,
        unix_ms: UnixMillis,
        page: &ClaimPage,
    ) -> Option<Offset> {
        let (low, high) = match *self {
            Self::Done => return None,
            Self::Unread => (page.start, page.next),
            Self::Search { low, high } => {
                let probe = middle(low, high);
                match page.records.first().filter(|record| record.offset == probe) {
                    Some(record) if is_stale(settings, unix_ms, record) => (probe, high),
                    Some(_) => (low, probe),
                    // The record has expired meanwhile, and those before it.
                    None => (page.start.max(low), page.start.max(high)),
                }
            }
        };
        let few = high.0.saturating_sub(low.0) <= u64::from(settings.read_limit);
        *self = if few { Self::Done } else { Self::Search { low, high } };
        few.then_some(low)
    }
}

fn middle(low: Offset, high: Offset) -> Offset {
    Offset(low.0 + (high.0 - low.0) / 2)
}

/// Whether a record is so old that no key is held by it or by one before it, whichever host's clock wrote it. A
/// record that cannot be read is not.
fn is_stale(settings: &ClaimSettings, unix_ms: UnixMillis, record: &ClaimRecord) -> bool {
    let stale_ms = settings.hold_ms().0 + CLOCKS_COMPARED * settings.clock_skew_ms.0;
    let written = record.group.as_ref().map(|group| group.appended_unix_ms.0);
    written.is_some_and(|written| written + stale_ms < unix_ms.0)
}
