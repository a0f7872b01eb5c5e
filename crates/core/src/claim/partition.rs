//! One partition at one daemon: gathers claims into groups, appends them, and decides each only when the
//! fold has passed the group's own offset.

use std::mem;

use super::fold::ClaimFold;
use super::opening::Opening;
use super::{Claim, ClaimEntry, ClaimGroup, ClaimKey, ClaimSettings, UnixMillis, Verdict};
use crate::ids::{HostId, Offset, RequestId};
use crate::units::{Millis, MonoTime};

/// Time after which a read that failed is tried again.
const READ_RETRY_MS: Millis = Millis(100);

/// How an append ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendEnd {
    /// It stands at this offset.
    At(Offset),
    /// It took no effect, and the log is over its rate: another try may be made after this time.
    OverRate(Millis),
    /// It took no effect, and the log is down or out of reach.
    Down,
    /// It may stand, now or later.
    Unknown,
}

/// One record of a page; `group` is `None` when it could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// Where it stands.
    pub offset: Offset,
    /// What it says.
    pub group: Option<ClaimGroup>,
}

/// One page of a partition's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPage {
    /// Oldest offset that the log keeps.
    pub start: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// The records.
    pub records: Vec<ClaimRecord>,
}

/// Who wants a verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Asker {
    /// A caller of this daemon.
    Local,
    /// Another daemon.
    Peer(HostId),
}

/// A claim on its way to a verdict.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) claim: Claim,
    pub(super) asker: Asker,
    pub(super) deadline_us: MonoTime,
    /// Whether a record of it may stand on the log.
    pub(super) may_stand: bool,
}

/// What a partition wants done.
#[derive(Debug)]
pub(super) enum Effect {
    Append(ClaimGroup),
    Read { from: Offset, limit: u32 },
    Verdict { pending: Pending, verdict: Verdict },
}

#[derive(Debug)]
pub(super) struct Partition {
    settings: ClaimSettings,
    opening: Opening,
    fold: ClaimFold,
    /// The fold has reached the end of the stream since it was opened, or since it last had to.
    caught_up: bool,
    reading: bool,
    read_at_us: MonoTime,
    queue: Vec<Pending>,
    releases: Vec<ClaimEntry>,
    sent: Option<Sent>,
    awaiting: Vec<Pending>,
    await_through: Option<Offset>,
    append_at_us: MonoTime,
    down_until_us: MonoTime,
    broken_until_us: Option<MonoTime>,
    used_us: MonoTime,
}

#[derive(Debug)]
struct Sent {
    group: ClaimGroup,
    pending: Vec<Pending>,
}

impl Partition {
    pub(super) fn new(settings: ClaimSettings, now_us: MonoTime) -> Self {
        Self {
            settings,
            opening: Opening::default(),
            fold: ClaimFold::new(settings.hold_ms(), Offset(0)),
            caught_up: false,
            reading: false,
            read_at_us: now_us,
            queue: Vec::new(),
            releases: Vec::new(),
            sent: None,
            awaiting: Vec::new(),
            await_through: None,
            append_at_us: now_us,
            down_until_us: MonoTime::default(),
            broken_until_us: None,
            used_us: now_us,
        }
    }

    pub(super) fn is_idle(&self, now_us: MonoTime) -> bool {
        !self.is_busy() && self.broken_until_us.is_none() && self.used_us + self.settings.idle_ms <= now_us
    }

    pub(super) fn is_busy(&self) -> bool {
        self.reading
            || self.sent.is_some()
            || !(self.queue.is_empty() && self.awaiting.is_empty() && self.releases.is_empty())
    }

    /// Whether a claim of the request is on its way to a verdict.
    pub(super) fn has(&self, request: RequestId) -> bool {
        let sent = self.sent.iter().flat_map(|sent| &sent.pending);
        let mut pending = self.queue.iter().chain(&self.awaiting).chain(sent);
        pending.any(|pending| pending.claim.request == request)
    }

    pub(super) fn submit(&mut self, now_us: MonoTime, pending: Pending, effects: &mut Vec<Effect>) {
        self.used_us = now_us;
        if self.has(pending.claim.request) {
            return;
        }
        if self.refuses(now_us) {
            effects.push(self.give_up(pending));
            return;
        }
        self.queue.push(pending);
    }

    /// Frees a key with the next group.
    pub(super) fn release(&mut self, now_us: MonoTime, key: ClaimKey, request: RequestId) {
        self.used_us = now_us;
        let entry = ClaimEntry::Release { key, request };
        if self.releases.len() < self.settings.group_entries && !self.releases.contains(&entry) {
            self.releases.push(entry);
        }
    }

    /// A partition whose log is down refuses at once: callers of a long outage should not each wait for a
    /// timeout to learn of it. One that is full refuses too, for forgetting a claim early could run it twice.
    fn refuses(&self, now_us: MonoTime) -> bool {
        self.broken_until_us.is_some()
            || now_us < self.down_until_us
            || self.fold.len() + self.queue.len() >= self.settings.partition_claims
    }

    fn give_up(&self, pending: Pending) -> Effect {
        let retry_after_ms = self.settings.retry_after_ms;
        let verdict = if pending.may_stand {
            Verdict::Undecided { retry_after_ms }
        } else {
            Verdict::NotClaimed { retry_after_ms }
        };
        Effect::Verdict { pending, verdict }
    }

    pub(super) fn appended(&mut self, now_us: MonoTime, end: AppendEnd, effects: &mut Vec<Effect>) {
        let Some(sent) = self.sent.take() else { return };
        match end {
            AppendEnd::At(offset) if offset < self.fold.next() => {
                self.awaiting.extend(sent.pending);
                self.break_off(now_us, effects);
            }
            AppendEnd::At(offset) => {
                // Nothing stands between the fold and the own record, so there is nothing to read back.
                if offset == self.fold.next() && self.caught_up {
                    let applied = self.fold.apply(offset, Some(&sent.group));
                    debug_assert!(applied.is_ok(), "the offset was compared just before");
                }
                self.await_through = Some(offset);
                self.awaiting.extend(sent.pending);
            }
            AppendEnd::OverRate(retry_after_ms) => {
                self.append_at_us = now_us + retry_after_ms;
                self.requeue(sent);
            }
            AppendEnd::Down => {
                self.requeue(sent);
                self.go_down(now_us, effects);
            }
            AppendEnd::Unknown => {
                // The lost answer is not guessed at: the stream is read to its end, and the group is appended
                // again only for claims that are not found. One found later is a double that claims nothing.
                self.caught_up = false;
                self.requeue(sent);
                self.queue.iter_mut().for_each(|pending| pending.may_stand = true);
            }
        }
    }

    fn requeue(&mut self, sent: Sent) {
        let releases =
            sent.group.entries.into_iter().filter(|entry| matches!(entry, ClaimEntry::Release { .. }));
        self.releases.extend(releases);
        let later = mem::replace(&mut self.queue, sent.pending);
        self.queue.extend(later);
    }

    fn go_down(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        self.down_until_us = now_us + self.settings.retry_after_ms;
        for pending in mem::take(&mut self.queue) {
            effects.push(self.give_up(pending));
        }
    }

    pub(super) fn page(
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
                self.go_down(now_us, effects);
            }
            return;
        };
        if page.next < self.fold.next() {
            self.break_off(now_us, effects);
            return;
        }
        if let Some(begin) = self.opening.narrow(&self.settings, unix_ms, &page) {
            self.fold = ClaimFold::new(self.settings.hold_ms(), begin);
        }
        if self.opening.is_searching() {
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

    /// The log has fewer records than were read from it before: claims may have been lost with them. Nothing
    /// is claimed until every key that could have been among them is no longer remembered anyway.
    fn break_off(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        self.broken_until_us = Some(now_us + self.settings.hold_ms());
        self.await_through = None;
        let mut pending = mem::take(&mut self.queue);
        pending.extend(mem::take(&mut self.awaiting).into_iter().map(|p| Pending { may_stand: true, ..p }));
        for pending in pending {
            effects.push(self.give_up(pending));
        }
    }

    /// Moves on as far as possible: decides, gives up what is too late, reads, appends.
    pub(super) fn step(&mut self, now_us: MonoTime, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        if self.broken_until_us.is_some_and(|until_us| until_us <= now_us) {
            *self = Self::new(self.settings, now_us);
        }
        if self.broken_until_us.is_some() {
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

    /// Decides claims whose own record the fold has passed: only then is it known what stands before it.
    fn decide_appended(&mut self, effects: &mut Vec<Effect>) {
        if self.await_through.is_none_or(|through| self.fold.next() <= through) {
            return;
        }
        self.await_through = None;
        for mut pending in mem::take(&mut self.awaiting) {
            pending.may_stand = true;
            effects.push(match self.verdict(&pending.claim) {
                Some(verdict) => Effect::Verdict { pending, verdict },
                None => self.give_up(pending),
            });
        }
    }

    fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let holder = self.fold.holder(&claim.key)?;
        Some(if holder.request == claim.request { Verdict::Won } else { Verdict::Held(holder.clone()) })
    }

    /// Decides claims that the fold already answers, without an append. A stale fold may know too little, and
    /// then the append decides; what it does know can only be undone by a release or by age.
    fn decide_known(&mut self, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        for pending in mem::take(&mut self.queue) {
            let key = pending.claim.key;
            let released = self.releases.iter().any(|entry| self.frees(entry, &key));
            let known = !released && self.fold.holds_at(&key, unix_ms);
            match self.verdict(&pending.claim).filter(|_| known) {
                Some(verdict) => effects.push(Effect::Verdict { pending, verdict }),
                None => self.queue.push(pending),
            }
        }
    }

    fn frees(&self, entry: &ClaimEntry, wanted: &ClaimKey) -> bool {
        let ClaimEntry::Release { key, request } = entry else {
            return false;
        };
        key == wanted && self.fold.holds(key, *request)
    }

    fn expire(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        for pending in mem::take(&mut self.queue) {
            if pending.deadline_us <= now_us {
                effects.push(self.give_up(pending));
            } else {
                self.queue.push(pending);
            }
        }
        for mut pending in mem::take(&mut self.awaiting) {
            if pending.deadline_us <= now_us {
                pending.may_stand = true;
                effects.push(self.give_up(pending));
            } else {
                self.awaiting.push(pending);
            }
        }
    }

    fn read(&mut self, now_us: MonoTime, effects: &mut Vec<Effect>) {
        let behind = self.await_through.is_some() || !self.caught_up;
        let wanted = !(self.queue.is_empty() && self.awaiting.is_empty() && self.releases.is_empty());
        if self.reading || !behind || !wanted || now_us < self.read_at_us {
            return;
        }
        self.reading = true;
        let (from, limit) = match self.opening.probe() {
            Some(probe) => (probe, 1),
            None => (self.fold.next(), self.settings.read_limit),
        };
        effects.push(Effect::Read { from, limit });
    }

    fn append(&mut self, now_us: MonoTime, unix_ms: UnixMillis, effects: &mut Vec<Effect>) {
        let ready = self.caught_up && !self.reading && self.sent.is_none() && self.await_through.is_none();
        let wanted = !(self.queue.is_empty() && self.releases.is_empty());
        if !ready || !wanted || now_us < self.append_at_us || now_us < self.down_until_us {
            return;
        }
        let mut entries = mem::take(&mut self.releases);
        let room = self.settings.group_entries.saturating_sub(entries.len()).min(self.queue.len());
        let pending: Vec<Pending> = self.queue.drain(..room).collect();
        entries.extend(pending.iter().map(|pending| ClaimEntry::Claim(pending.claim.clone())));
        let group = ClaimGroup { appended_unix_ms: unix_ms, entries };
        self.append_at_us = now_us + self.settings.append_interval_ms;
        self.sent = Some(Sent { group: group.clone(), pending });
        effects.push(Effect::Append(group));
    }
}
