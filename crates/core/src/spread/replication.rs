//! Replication of the configuration stream: relays records in order, pulls missing ones and transfers full
//! states in parts.

use std::sync::Arc;

use super::{ConfigRecord, Fetch, RecordData, Spread, SpreadAction, SpreadMessage, StateHash, is_due};
use crate::ids::{HostId, Offset};
use crate::membership::MembersView;
use crate::units::{Micros, Millis, MonoTime};

impl Spread {
    /// Compares a peer's digest with the local state. The side that is ahead sends records and the side that
    /// is behind pulls them. Over a link that works in one direction only the pull is lost, and a third
    /// daemon has to supply the records.
    pub(super) fn compare_digest(
        &mut self,
        now_us: MonoTime,
        from: HostId,
        next_offset: Offset,
        state: StateHash,
        statuses: [u8; 4],
        actions: &mut Vec<SpreadAction>,
    ) {
        let next = self.records.next();
        if next_offset > next {
            self.pull(now_us, from.clone(), actions);
        } else if next_offset < next {
            self.send_records(from.clone(), next_offset, actions);
        } else if self.has_diverged(state) {
            self.counts.diverged += 1;
        }
        if statuses != self.statuses.hash() {
            self.send_statuses(now_us, from, actions);
        }
    }

    pub(super) fn has_diverged(&self, state: StateHash) -> bool {
        self.state_offset == self.records.next()
            && state != StateHash::default()
            && self.state != StateHash::default()
            && state != self.state
    }

    pub(super) fn pull(&mut self, now_us: MonoTime, from: HostId, actions: &mut Vec<SpreadAction>) {
        if self.fetch.is_some() || !is_due(self.last_pull_us, now_us, self.settings.retry_ms) {
            return;
        }
        self.last_pull_us = Some(now_us);
        self.counts.pulls += 1;
        actions.push(SpreadAction::Send {
            to: from,
            message: SpreadMessage::Pull { from: self.records.next() },
        });
    }

    /// Sends records to a daemon that is behind, or a digest that makes it pull the state if the records are
    /// no longer retained.
    pub(super) fn send_records(&self, to: HostId, from: Offset, actions: &mut Vec<SpreadAction>) {
        let message = match self.records.range_from(from, self.settings.part_bytes) {
            Some(records) => SpreadMessage::Records(records),
            None => self.digest(),
        };
        actions.push(SpreadAction::Send { to, message });
    }

    pub(super) fn answer_pull(&mut self, to: HostId, from: Offset, actions: &mut Vec<SpreadAction>) {
        if from >= self.records.next() {
            return;
        }
        if let Some(records) = self.records.range_from(from, self.settings.part_bytes) {
            let message = SpreadMessage::Records(records);
            actions.push(SpreadAction::Send { to, message });
            return;
        }
        self.answer_state(to, None, 0, actions);
    }

    pub(super) fn answer_state(
        &mut self,
        to: HostId,
        next_offset: Option<Offset>,
        part: u32,
        actions: &mut Vec<SpreadAction>,
    ) {
        let present = self.records.next();
        let usable = self.provided_state.as_ref().filter(|(provided, _)| match next_offset {
            Some(wanted) => *provided == wanted,
            None => *provided == present,
        });
        if let Some((provided, data)) = usable {
            if let Some(message) = state_part(*provided, data, part, self.settings.part_bytes) {
                actions.push(SpreadAction::Send { to, message });
            }
            return;
        }
        if self.state_requesters.is_empty() {
            actions.push(SpreadAction::ProvideState);
        }
        if !self.state_requesters.contains(&to) {
            self.state_requesters.push(to);
        }
    }

    pub(super) fn provide_state(
        &mut self,
        next_offset: Offset,
        data: Arc<[u8]>,
        actions: &mut Vec<SpreadAction>,
    ) {
        for to in std::mem::take(&mut self.state_requesters) {
            if let Some(message) = state_part(next_offset, &data, 0, self.settings.part_bytes) {
                actions.push(SpreadAction::Send { to, message });
            }
        }
        self.provided_state = Some((next_offset, data));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn receive_state_part(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        next_offset: Offset,
        part: u32,
        parts: u32,
        data: Arc<[u8]>,
        actions: &mut Vec<SpreadAction>,
    ) {
        if next_offset <= self.records.next() {
            self.fetch = None;
            return;
        }
        if part == 0 && self.fetch.is_none() {
            self.fetch = Some(Fetch {
                from: from.clone(),
                next_offset: Some(next_offset),
                parts: Vec::new(),
                requested_us: now_us,
            });
        }
        let Some(fetch) = &mut self.fetch else { return };
        let is_next = fetch.from == *from
            && fetch.next_offset == Some(next_offset)
            && fetch.parts.len() == part as usize;
        if !is_next {
            return;
        }
        fetch.parts.push(data);
        fetch.requested_us = now_us;
        if fetch.parts.len() < parts as usize {
            actions.push(SpreadAction::Send {
                to: from.clone(),
                message: SpreadMessage::PullState { next_offset: Some(next_offset), part: part + 1 },
            });
            return;
        }
        let data: Arc<[u8]> = fetch.parts.concat().into();
        self.fetch = None;
        self.counts.states_adopted += 1;
        self.records.advance(next_offset);
        actions.push(SpreadAction::AdoptState { next_offset, data });
        self.deliver(actions);
    }

    pub(super) fn expire_fetch(&mut self, now_us: MonoTime) {
        let wait_us = Micros::from(Millis(self.settings.retry_ms.0 * 2));
        if self.fetch.as_ref().is_some_and(|fetch| now_us.since(fetch.requested_us) > wait_us) {
            self.fetch = None;
        }
    }

    pub(super) fn applied(&mut self, next_offset: Offset, state: StateHash) {
        if next_offset < self.state_offset {
            return;
        }
        self.state = state;
        self.state_offset = next_offset;
        self.records.advance(next_offset);
    }

    pub(super) fn receive_records(
        &mut self,
        now_us: MonoTime,
        view: &MembersView,
        from: HostId,
        records: Vec<ConfigRecord>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let new = self.ingest_records(records, view, actions);
        self.counts.records_relayed += new;
        if new > 0 {
            // The pull was answered, so the next one need not wait for the retry interval.
            self.last_pull_us = None;
        }
        if self.records.has_gap() {
            self.pull(now_us, from, actions);
        }
    }

    /// Buffers records, forwards the new ones and delivers those without a gap. Returns the number of new
    /// records.
    pub(super) fn ingest_records(
        &mut self,
        records: Vec<ConfigRecord>,
        view: &MembersView,
        actions: &mut Vec<SpreadAction>,
    ) -> u64 {
        let total = records.len();
        let new: Vec<ConfigRecord> =
            records.into_iter().filter(|record| self.records.is_new(record.offset)).collect();
        self.counts.records_duplicate += (total - new.len()) as u64;
        if new.is_empty() {
            return 0;
        }
        let count = new.len() as u64;
        let forwarded: Vec<ConfigRecord> = new.iter().map(|record| self.elide(record)).collect();
        for batch in batches(forwarded, self.settings.part_bytes) {
            self.forward(view, &SpreadMessage::Records(batch), actions);
        }
        for record in new {
            self.records.insert(record);
        }
        self.deliver(actions);
        count
    }

    pub(super) fn deliver(&mut self, actions: &mut Vec<SpreadAction>) {
        let delivered = self.records.deliver(self.settings.retained_bytes);
        if !delivered.is_empty() {
            actions.push(SpreadAction::Deliver(delivered));
        }
    }

    pub(super) fn elide(&self, record: &ConfigRecord) -> ConfigRecord {
        match &record.data {
            RecordData::Full(data) if data.len() > self.settings.elided_above_bytes => {
                ConfigRecord { offset: record.offset, data: RecordData::Elided }
            }
            _ => record.clone(),
        }
    }
}

fn state_part(next_offset: Offset, data: &[u8], part: u32, part_bytes: usize) -> Option<SpreadMessage> {
    let parts = u32::try_from(data.len().div_ceil(part_bytes).max(1)).ok()?;
    if part >= parts {
        return None;
    }
    let start = part as usize * part_bytes;
    let end = data.len().min(start + part_bytes);
    Some(SpreadMessage::StatePart { next_offset, part, parts, data: data.get(start..end)?.into() })
}

/// Splits records into messages of about `limit_bytes`.
fn batches(records: Vec<ConfigRecord>, limit_bytes: usize) -> Vec<Vec<ConfigRecord>> {
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let record_bytes = match &record.data {
            RecordData::Full(data) => data.len(),
            RecordData::Elided => 0,
        };
        if bytes > 0 && bytes + record_bytes > limit_bytes {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += record_bytes;
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}
