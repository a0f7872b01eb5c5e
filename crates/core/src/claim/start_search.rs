//! Search for the log offset at which the fold of a newly opened partition starts.

use super::partition::{ClaimPage, ClaimRecord};
use super::{ClaimSettings, UnixMillis};
use crate::ids::Offset;

/// Number of clocks involved when a reader judges the age of the records before a given one: the reader's,
/// the record writer's, and those of two earlier writers. Each may be off by the maximum clock skew.
const CLOCKS_COMPARED: u64 = 4;

/// Binary search for the first record whose claims may still be in force. The log may keep days of records
/// while claims are held for minutes: a daemon that becomes the owner finds that record with about twenty
/// reads of one record, instead of reading days of records at 4 KB/s.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum StartSearch {
    /// The bounds of the stream are not known yet.
    #[default]
    Unread,
    /// The claims in records before `low` have expired; those in records from `high` on may be in force.
    Search { low: Offset, high: Offset },
    /// The start offset is known.
    Done,
}

impl StartSearch {
    pub(super) fn is_searching(self) -> bool {
        matches!(self, Self::Search { .. })
    }

    /// Offset of the record to read next, while the search is running.
    pub(super) fn probe(self) -> Option<Offset> {
        match self {
            Self::Search { low, high } => Some(midpoint(low, high)),
            Self::Unread | Self::Done => None,
        }
    }

    /// Narrows the search by a page; returns the start offset once the remaining range fits one read.
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
                let probe = midpoint(low, high);
                match page.records.first().filter(|record| record.offset == probe) {
                    Some(record) if is_stale(settings, unix_ms, record) => (probe, high),
                    Some(_) => (low, probe),
                    // The log has since removed the probed record and those before it.
                    None => (page.start.max(low), page.start.max(high)),
                }
            }
        };
        let fits_one_read = high.0.saturating_sub(low.0) <= u64::from(settings.read_limit);
        *self = if fits_one_read { Self::Done } else { Self::Search { low, high } };
        fits_one_read.then_some(low)
    }
}

fn midpoint(low: Offset, high: Offset) -> Offset {
    Offset(low.0 + (high.0 - low.0) / 2)
}

/// Whether a record is so old that its claims and those of all earlier records have expired, even with the
/// maximum skew of all clocks involved. A record that could not be decoded is never stale.
fn is_stale(settings: &ClaimSettings, unix_ms: UnixMillis, record: &ClaimRecord) -> bool {
    let stale_ms = settings.hold_ms().0 + CLOCKS_COMPARED * settings.clock_skew_ms.0;
    let written = record.group.as_ref().map(|group| group.appended_unix_ms.0);
    written.is_some_and(|written| written + stale_ms < unix_ms.0)
}
