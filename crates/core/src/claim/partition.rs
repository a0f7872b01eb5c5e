//! State of one partition at one daemon: groups claims, appends the groups, and decides a claim only when the
//! fold has passed the offset of its group.

use std::mem;

use super::fold::ClaimFold;
use super::start_search::StartSearch;
use super::{Claim, ClaimEntry, ClaimGroup, ClaimKey, ClaimSettings, UnixMillis, Verdict};
use crate::ids::{HostId, Offset, RequestId};
use crate::units::{Millis, MonoTime};

/// Delay before a failed read is repeated.
const READ_RETRY_MS: Millis = Millis(100);

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(Offset),
    /// Nothing was appended because the log's rate limit is reached; may be retried after this delay.
    RateLimited(Millis),
    /// Nothing was appended because the log is down or unreachable.
    Unavailable,
    /// The record may be in the log, or may still arrive there.
    Unknown,
}

/// Record of a [`ClaimPage`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Decoded contents; `None` if the record could not be decoded.
    pub group: Option<ClaimGroup>,
}

/// Page of records read from a partition's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPage {
    /// Oldest offset that the log still keeps.
    pub start: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records in offset order.
    pub records: Vec<ClaimRecord>,
}

/// Receiver of a verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Requester {
    /// A caller of this daemon.
    Local,
    /// The daemon on this host.
    Peer(HostId),
}

/// A claim that is not decided yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) claim: Claim,
    pub(super) requester: Requester,
    pub(super) deadline_us: MonoTime,
    /// Whether the log may contain a record of the claim.
    pub(super) may_be_logged: bool,
}

/// Effect for the state machine to carry out.
#[derive(Debug)]
pub(super) enum Effect {
    Append(ClaimGroup),
    Read { from: Offset, limit: u32 },
    Verdict { pending: Pending, verdict: Verdict },
}

#[derive(Debug)]
pub(super) struct Partition {
    settings: ClaimSettings,
    start_search: StartSearch,
    fold: ClaimFold,
    /// Whether the fold has reached the end of the stream since the partition was opened or an append ended
    /// unconfirmed.
    caught_up: bool,
    reading: bool,
    read_at_us: MonoTime,
    queue: Vec<Pending>,
    releases: Vec<ClaimEntry>,
    in_flight: Option<InFlightAppend>,
    awaiting: Vec<Pending>,
    awaited_offset: Option<Offset>,
    append_at_us: MonoTime,
    unavailable_until_us: MonoTime,
    suspended_until_us: Option<MonoTime>,
    last_used_us: MonoTime,
}

#[derive(Debug)]
struct InFlightAppend {
    group: ClaimGroup,
    pending: Vec<Pending>,
}

impl Partition {
    pub(super) fn new(settings: ClaimSettings, now_us: MonoTime) -> Self {
        Self {
            settings,
            start_search: StartSearch::default(),
            fold: ClaimFold::new(settings.hold_ms(), Offset(0)),
            caught_up: false,
            reading: false,
            read_at_us: now_us,
            queue: Vec::new(),
            releases: Vec::new(),
            in_flight: None,
            awaiting: Vec::new(),
            awaited_offset: None,
            append_at_us: now_us,
            unavailable_until_us: MonoTime::default(),
            suspended_until_us: None,
            last_used_us: now_us,
        }
    }

    pub(super) fn is_idle(&self, now_us: MonoTime) -> bool {
        !self.is_busy()
            && self.suspended_until_us.is_none()
            && self.last_used_us + self.settings.idle_ms <= now_us
    }

    pub(super) fn is_busy(&self) -> bool {
        self.reading
            || self.in_flight.is_some()
            || !(self.queue.is_empty() && self.awaiting.is_empty() && self.releases.is_empty())
    }

    /// Whether a claim of the request is pending.
    pub(super) fn has_claim(&self, request: RequestId) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|in_flight| &in_flight.pending);
        let mut pending = self.queue.iter().chain(&self.awaiting).chain(in_flight);
        pending.any(|pending| pending.claim.request == request)
    }

    pub(super) fn submit(&mut self, now_us: MonoTime, pending: Pending, effects: &mut Vec<Effect>) {
        self.last_used_us = now_us;
        if self.has_claim(pending.claim.request) {
            return;
        }
        if self.is_refusing(now_us) {
            effects.push(self.refusal(pending));
            return;
        }
        self.queue.push(pending);
    }

    /// Queues a release of the key for the next group.
    pub(super) fn release(&mut self, now_us: MonoTime, key: ClaimKey, request: RequestId) {
        self.last_used_us = now_us;
        let entry = ClaimEntry::Release { key, request };
        if self.releases.len() < self.settings.group_entries && !self.releases.contains(&entry) {
            self.releases.push(entry);
        }
    }

    /// Whether new claims are refused at once. While the log is down, callers should not each wait for a
    /// timeout. A full partition refuses too, because dropping a claim early could let its request run twice.
    fn is_refusing(&self, now_us: MonoTime) -> bool {
        self.suspended_until_us.is_some()
            || now_us < self.unavailable_until_us
            || self.fold.len() + self.queue.len() >= self.settings.partition_claims
    }

    fn refusal(&self, pending: Pending) -> Effect {
        let retry_after_ms = self.settings.retry_after_ms;
        let verdict = if pending.may_be_logged {
            Verdict::Undecided { retry_after_ms }
        } else {
            Verdict::NotClaimed { retry_after_ms }
        };
        Effect::Verdict { pending, verdict }
    }

    pub(super) fn append_ended(
        &mut self,
        now_us: MonoTime,
        outcome: AppendOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_flight.take() else { return };
        match outcome {
            AppendOutcome::Appended(offset) if offset < self.fold.next() => {
                self.awaiting.extend(in_flight.pending);
                self.suspend(now_us, effects);
            }
            AppendOutcome::Appended(offset) => {
                // No other record lies between the fold and the appended record, so nothing has to be read
                // back.
                if offset == self.fold.next() && self.caught_up {
                    let applied = self.fold.apply(offset, Some(&in_flight.group));
                    debug_assert!(applied.is_ok(), "offset was checked to be the next one");
                }
                self.awaited_offset = Some(offset);
                self.awaiting.extend(in_flight.pending);
            }
            AppendOutcome::RateLimited(retry_after_ms) => {
                self.append_at_us = now_us + retry_after_ms;
                self.requeue(in_flight);
            }
            AppendOutcome::Unavailable => {
                self.requeue(in_flight);
                self.mark_unavailable(now_us, effects);
            }
            AppendOutcome::Unknown => {
                // The result of the append is unknown: the stream is read to its end, and only claims not
                // found there are appended again. If the first record appears later, it is a duplicate that
                // claims nothing.
                self.caught_up = false;
                self.requeue(in_flight);
                self.queue.iter_mut().for_each(|pending| pending.may_be_logged = true);
            }
        }
    }

    fn requeue(&mut self, in_flight: InFlightAppend) {
        let releases =
            in_flight.group.entries.into_iter().filter(|entry| matches!(entry, ClaimEntry::Release { .. }));
        self.releases.extend(releases);
        let later = mem::replace(&mut self.queue, in_flight.pending);
        self.queue.extend(later);
    }

    fn mark_unavailable(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        self.unavailable_until_us = now_us + self.settings.retry_after_ms;
        for pending in mem::take(&mut self.queue) {
            effects.push(self.refusal(pending));
        }
    }

    pub(super) fn read_ended(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        page: Option<ClaimPage>,
        effects: &mut Vec<Effect>,
    ) {
        self.reading = false;
        let Some(page) = page else {
            self.read_at_us = now_us + READ_RETRY_MS;
            if self.awaiting.is_empty() {
                self.mark_unavailable(now_us, effects);
            }
            return;
        };
        if page.next < self.fold.next() {
            self.suspend(now_us, effects);
            return;
        }
        if let Some(begin) = self.start_search.narrow(&self.settings, unix_ms, &page) {
            self.fold = ClaimFold::new(self.settings.hold_ms(), begin);
        }
        if self.start_search.is_searching() {
            return;
        }
        if page.start > self.fold.next() {
            self.fold = ClaimFold::new(self.settings.hold_ms(), page.start);
        }
        for record in page.records {
            if record.offset >= self.fold.next()
                && self.fold.apply(record.offset, record.group.as_ref()).is_err()
            {
                break;
            }
        }
        self.caught_up = self.fold.next() >= page.next;
    }

    /// Suspends the partition because the log is shorter than what was read before, so claims may have been
    /// lost with the missing records. Nothing is claimed until the retention of every key among them has
    /// passed.
    fn suspend(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        self.suspended_until_us = Some(now_us + self.settings.hold_ms());
        self.awaited_offset = None;
        let mut pending = mem::take(&mut self.queue);
        pending
            .extend(mem::take(&mut self.awaiting).into_iter().map(|p| Pending { may_be_logged: true, ..p }));
        for pending in pending {
            effects.push(self.refusal(pending));
        }
    }

    /// Makes all possible progress: decides claims, refuses those past their deadline, reads, appends.
    pub(super) fn step(&mut self, now_us: MonoTime, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        if self.suspended_until_us.is_some_and(|until_us| until_us <= now_us) {
            *self = Self::new(self.settings, now_us);
        }
        if self.suspended_until_us.is_some() {
            self.expire(now_us, effects);
            return;
        }
        self.decide_appended(effects);
        self.expire(now_us, effects);
        if self.caught_up {
            self.decide_known(unix_ms, effects);
        }
        self.read(now_us, effects);
        self.append(now_us, unix_ms, effects);
    }

    /// Decides claims whose own record the fold has passed: only then are all earlier records known.
    fn decide_appended(&mut self, effects: &mut Vec<Effect>) {
        if self.awaited_offset.is_none_or(|through| self.fold.next() <= through) {
            return;
        }
        self.awaited_offset = None;
        for mut pending in mem::take(&mut self.awaiting) {
            pending.may_be_logged = true;
            effects.push(match self.verdict(&pending.claim) {
                Some(verdict) => Effect::Verdict { pending, verdict },
                None => self.refusal(pending),
            });
        }
    }

    fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let holder = self.fold.holder(&claim.key)?;
        Some(if holder.request == claim.request { Verdict::Won } else { Verdict::Held(holder.clone()) })
    }

    /// Decides claims that the fold already answers, without an append. A fold that lags may miss a holder,
    /// and then the append decides; a holder that it does know can only be removed by a release or by expiry.
    fn decide_known(&mut self, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        for pending in mem::take(&mut self.queue) {
            let key = pending.claim.key;
            let released = self.releases.iter().any(|entry| self.is_release_of(entry, &key));
            let known = !released && self.fold.holds_at(&key, unix_ms);
            match self.verdict(&pending.claim).filter(|_| known) {
                Some(verdict) => effects.push(Effect::Verdict { pending, verdict }),
                None => self.queue.push(pending),
            }
        }
    }

    fn is_release_of(&self, entry: &ClaimEntry, wanted: &ClaimKey) -> bool {
        let ClaimEntry::Release { key, request } = entry else {
            return false;
        };
        key == wanted && self.fold.holds(key, *request)
    }

    fn expire(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        for pending in mem::take(&mut self.queue) {
            if pending.deadline_us <= now_us {
                effects.push(self.refusal(pending));
            } else {
                self.queue.push(pending);
            }
        }
        for mut pending in mem::take(&mut self.awaiting) {
            if pending.deadline_us <= now_us {
                pending.may_be_logged = true;
                effects.push(self.refusal(pending));
            } else {
                self.awaiting.push(pending);
            }
        }
    }

    fn read(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        let behind = self.awaited_offset.is_some() || !self.caught_up;
        let wanted = !(self.queue.is_empty() && self.awaiting.is_empty() && self.releases.is_empty());
        if self.reading || !behind || !wanted || now_us < self.read_at_us {
            return;
        }
        self.reading = true;
        let (from, limit) = match self.start_search.probe() {
            Some(probe) => (probe, 1),
            None => (self.fold.next(), self.settings.read_limit),
        };
        effects.push(Effect::Read { from, limit });
    }

    fn append(&mut self, now_us: MonoTime, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        let ready =
            self.caught_up && !self.reading && self.in_flight.is_none() && self.awaited_offset.is_none();
        let wanted = !(self.queue.is_empty() && self.releases.is_empty());
        if !ready || !wanted || now_us < self.append_at_us || now_us < self.unavailable_until_us {
            return;
        }
        let mut entries = mem::take(&mut self.releases);
        let room = self.settings.group_entries.saturating_sub(entries.len()).min(self.queue.len());
        let pending: Vec<Pending> = self.queue.drain(..room).collect();
        entries.extend(pending.iter().map(|pending| ClaimEntry::Claim(pending.claim.clone())));
        let group = ClaimGroup { appended_unix_ms: unix_ms, entries };
        self.append_at_us = now_us + self.settings.append_interval_ms;
        self.in_flight = Some(InFlightAppend { group: group.clone(), pending });
        effects.push(Effect::Append(group));
    }
}
