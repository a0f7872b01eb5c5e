//! The claims protocol at one daemon.

use std::collections::{BTreeMap, HashMap};

use super::decision::{Decision, held_decision};
use super::owners::Owners;
use super::partition::{AppendEnd, Asker, ClaimPage, Effect, Partition, Pending};
use super::runs::{FinishedAs, HeldState, NewRun, RunState, Runs};
use super::{BodyDigest, Claim, ClaimAction, ClaimKey, ClaimMessage, ClaimSettings, UnixMillis, Verdict};
use crate::ids::{HostId, Incarnation, RequestId};
use crate::units::{Millis, MonoTime};

#[derive(Clone, Debug)]
enum Stage {
    /// The owner of the partition was asked.
    Owner { until_us: MonoTime },
    /// This daemon claims through the log itself.
    Log,
    /// The holder of the key was asked.
    Holder { claim: Claim, until_us: MonoTime },
}

#[derive(Clone, Debug)]
struct Waiting {
    claim: Claim,
    deadline_us: MonoTime,
    stage: Stage,
    /// A record of the claim may stand, so that the key has to be freed if the caller is refused.
    may_stand: bool,
}

/// State machine of the claims protocol at one daemon: takes events, returns [`ClaimAction`]s.
#[derive(Debug)]
pub struct Claims {
    host: HostId,
    incarnation: Incarnation,
    settings: ClaimSettings,
    owners: Owners,
    partitions: BTreeMap<u16, Partition>,
    waiting: BTreeMap<RequestId, Waiting>,
    waiting_keys: HashMap<ClaimKey, RequestId>,
    runs: Runs,
    unix_ms: UnixMillis,
    actions: Vec<ClaimAction>,
}

impl Claims {
    /// The machine of the daemon `incarnation` on `host`.
    pub fn new(host: HostId, incarnation: Incarnation, settings: ClaimSettings) -> Self {
        let owners = Owners::new(host.clone(), settings);
        Self {
            host,
            incarnation,
            settings,
            owners,
            partitions: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_keys: HashMap::new(),
            runs: Runs::new(settings),
            unix_ms: UnixMillis::default(),
            actions: Vec::new(),
        }
    }

    /// Names the daemons that are believed to live, this one among them or not. They only decide who usually
    /// appends for a partition.
    pub fn set_members(&mut self, members: &[HostId]) {
        self.owners.set_members(members);
    }

    /// The actions wanted since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether something waits for time to pass.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.partitions.values().any(Partition::is_busy)
    }

    /// A caller wants `request` run under `key`.
    pub fn begin(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        request: RequestId,
        key: ClaimKey,
        digest: BodyDigest,
    ) {
        self.unix_ms = unix_ms;
        if let Some((held, held_digest)) = self.runs.by_key(&key) {
            let state = self.runs.state(held);
            self.decide(request, held_decision(held_digest == digest, state, self.settings.retry_after_ms));
            return;
        }
        if let Some(first) = self.waiting_keys.get(&key).and_then(|first| self.waiting.get(first)) {
            let same = first.claim.digest == digest;
            self.decide(request, if same { Decision::InProgress } else { Decision::OtherBody });
            return;
        }
        if self.runs.is_full() {
            let retry_after_ms = self.settings.retry_after_ms;
            self.decide(request, Decision::Unavailable { retry_after_ms });
            return;
        }
        let claim = Claim { key, digest, request, host: self.host.clone() };
        let deadline_us = now_us + self.settings.begin_timeout_ms;
        self.waiting_keys.insert(key, request);
        self.waiting.insert(request, Waiting { claim, deadline_us, stage: Stage::Log, may_stand: false });
        self.ask(now_us, request);
    }

    fn ask(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let partition = waiting.claim.key.partition(self.settings.partitions);
        let Some(to) = self.owners.to_ask(now_us, partition).cloned() else {
            self.claim_through_log(now_us, request);
            return;
        };
        let until_us = now_us + self.settings.peer_timeout_ms;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        waiting.stage = Stage::Owner { until_us };
        waiting.may_stand = true;
        let message = ClaimMessage::Ask(waiting.claim.clone());
        self.actions.push(ClaimAction::Send { to, message });
    }

    /// The owner that was asked gave no answer in time: the log is asked without it.
    fn owner_silent(&mut self, now_us: MonoTime, request: RequestId) {
        if let Some(waiting) = self.waiting.get(&request) {
            let partition = waiting.claim.key.partition(self.settings.partitions);
            self.owners.note_silent(now_us, partition);
        }
        self.claim_through_log(now_us, request);
    }

    /// The owner took the claim in. It is given the time that the log may need: were a slow log taken for a silent
    /// owner, all daemons would append at once, and a log that is slow would get more to do for it.
    fn taken(&mut self, now_us: MonoTime, request: RequestId) {
        let taken_ms = self.settings.taken_timeout_ms;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if let Stage::Owner { until_us } = &mut waiting.stage {
            *until_us = now_us + taken_ms;
        }
    }

    fn asked(&mut self, now_us: MonoTime, from: &HostId, claim: Claim) {
        let request = claim.request;
        let id = claim.key.partition(self.settings.partitions);
        let pending = Pending {
            claim,
            asker: Asker::Peer(from.clone()),
            deadline_us: now_us + self.settings.begin_timeout_ms,
            may_stand: false,
        };
        self.submit(now_us, pending);
        if self.partitions.get(&id).is_some_and(|partition| partition.has(request)) {
            let message = ClaimMessage::Taken { request };
            self.actions.push(ClaimAction::Send { to: from.clone(), message });
        }
    }

    fn claim_through_log(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        waiting.stage = Stage::Log;
        let pending = Pending {
            claim: waiting.claim.clone(),
            asker: Asker::Local,
            deadline_us: waiting.deadline_us,
            may_stand: waiting.may_stand,
        };
        self.submit(now_us, pending);
    }

    fn submit(&mut self, now_us: MonoTime, pending: Pending) {
        let id = pending.claim.key.partition(self.settings.partitions);
        self.with_partition(now_us, id, |partition, effects| {
            partition.submit(now_us, pending, effects);
        });
    }

    fn with_partition<Act>(&mut self, now_us: MonoTime, id: u16, act: Act)
    where
        Act: FnOnce(&mut Partition, &mut Vec<Effect>),
    {
        let settings = self.settings;
        let mut effects = Vec::new();
        let partition = self.partitions.entry(id).or_insert_with(|| Partition::new(settings, now_us));
        act(partition, &mut effects);
        partition.step(now_us, self.unix_ms, &mut effects);
        for effect in effects {
            self.carry(now_us, id, effect);
        }
    }

    fn carry(&mut self, now_us: MonoTime, partition: u16, effect: Effect) {
        match effect {
            Effect::Append(group) => self.actions.push(ClaimAction::Append { partition, group }),
            Effect::Read { from, limit } => self.actions.push(ClaimAction::Read { partition, from, limit }),
            Effect::Verdict { pending, verdict } => match pending.asker {
                Asker::Local => self.verdict(now_us, pending.claim.request, verdict),
                Asker::Peer(to) => {
                    let message = ClaimMessage::Verdict { request: pending.claim.request, verdict };
                    self.actions.push(ClaimAction::Send { to, message });
                }
            },
        }
    }

    /// An append to `partition` ended.
    pub fn appended(&mut self, now_us: MonoTime, unix_ms: UnixMillis, partition: u16, end: AppendEnd) {
        self.unix_ms = unix_ms;
        self.with_partition(now_us, partition, |partition, effects| {
            partition.appended(now_us, end, effects);
        });
    }

    /// A read of `partition` ended; `None` when it failed.
    pub fn page(&mut self, now_us: MonoTime, unix_ms: UnixMillis, partition: u16, page: Option<ClaimPage>) {
        self.unix_ms = unix_ms;
        self.with_partition(now_us, partition, |partition, effects| {
            partition.page(now_us, unix_ms, page, effects);
        });
    }

    /// Another daemon says something.
    pub fn peer(&mut self, now_us: MonoTime, unix_ms: UnixMillis, from: &HostId, message: ClaimMessage) {
        self.unix_ms = unix_ms;
        match message {
            ClaimMessage::Leaving => self.owners.note_leaving(now_us, from),
            ClaimMessage::Ask(claim) => self.asked(now_us, from, claim),
            ClaimMessage::Taken { request } => self.taken(now_us, request),
            ClaimMessage::Verdict { request, verdict } => self.peer_verdict(now_us, request, verdict),
            ClaimMessage::Query { request, holder } => self.answer_query(now_us, from, request, holder),
            ClaimMessage::State { request, holder, state } => {
                self.holder_state(now_us, request, holder, state);
            }
            ClaimMessage::Release { key, request } => {
                let id = key.partition(self.settings.partitions);
                self.with_partition(now_us, id, |partition, _| partition.release(now_us, key, request));
            }
        }
    }

    /// A refusal of the owner that comes after this daemon began to claim through the log itself says nothing
    /// of the own try; what the log's order says counts whoever read it.
    fn peer_verdict(&mut self, now_us: MonoTime, request: RequestId, verdict: Verdict) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let ordered = matches!(verdict, Verdict::Won | Verdict::Held(_));
        let own_try = matches!(waiting.stage, Stage::Log);
        if ordered || !own_try {
            self.verdict(now_us, request, verdict);
        }
        if let Some(waiting) = self.waiting.get_mut(&request) {
            // The own record is still on its way, and could win once the present holder has been freed.
            waiting.may_stand |= own_try;
        }
    }

    fn verdict(&mut self, now_us: MonoTime, request: RequestId, verdict: Verdict) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if matches!(waiting.stage, Stage::Holder { .. }) {
            return;
        }
        if waiting.deadline_us <= now_us {
            // A verdict that came during a pause: the key may be another's by now.
            waiting.may_stand |= !matches!(verdict, Verdict::NotClaimed { .. });
            self.refuse(now_us, request, self.settings.retry_after_ms);
            return;
        }
        if matches!(verdict, Verdict::Held(_)) {
            waiting.may_stand = false;
        }
        match verdict {
            Verdict::Won => self.run(now_us, request),
            Verdict::Held(claim) if claim.digest != waiting.claim.digest => {
                self.settle(now_us, request, Decision::OtherBody);
            }
            Verdict::Held(claim) => self.held(now_us, request, claim),
            Verdict::NotClaimed { retry_after_ms } => {
                // The owner proved that it appended nothing; only this daemon's own tries may stand.
                if matches!(waiting.stage, Stage::Owner { .. }) {
                    waiting.may_stand = false;
                }
                self.refuse(now_us, request, retry_after_ms);
            }
            Verdict::Undecided { retry_after_ms } => {
                waiting.may_stand = true;
                self.refuse(now_us, request, retry_after_ms);
            }
        }
    }

    fn run(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let Claim { key, digest, .. } = waiting.claim;
        let start_by_us = now_us + self.settings.start_within_ms;
        self.runs.insert(now_us, request, NewRun { key, digest, state: RunState::Running });
        self.settle(now_us, request, Decision::Run { start_by_us });
    }

    fn refuse(&mut self, now_us: MonoTime, request: RequestId, retry_after_ms: Millis) {
        self.settle(now_us, request, Decision::Unavailable { retry_after_ms });
    }

    fn free(&mut self, now_us: MonoTime, key: ClaimKey, request: RequestId) {
        let id = key.partition(self.settings.partitions);
        if let Some(to) = self.owners.other(id).cloned() {
            let message = ClaimMessage::Release { key, request };
            self.actions.push(ClaimAction::Send { to, message });
        } else {
            self.with_partition(now_us, id, |partition, _| {
                partition.release(now_us, key, request);
            });
        }
    }

    fn held(&mut self, now_us: MonoTime, request: RequestId, claim: Claim) {
        if claim.request.incarnation == self.incarnation {
            let state = self.runs.state(claim.request);
            if let Some(key) = self.runs.freeable(now_us, claim.request) {
                self.free(now_us, key, claim.request);
            }
            self.settle(now_us, request, held_decision(true, state, self.settings.retry_after_ms));
            return;
        }
        if claim.host == self.host {
            // An earlier life of this daemon took it in, and nobody else can know.
            self.settle(now_us, request, Decision::Unknown);
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        let until_us = now_us + self.settings.peer_timeout_ms;
        let to = claim.host.clone();
        let message = ClaimMessage::Query { request, holder: claim.request };
        waiting.stage = Stage::Holder { claim, until_us };
        self.actions.push(ClaimAction::Send { to, message });
    }

    fn answer_query(&mut self, now_us: MonoTime, to: &HostId, request: RequestId, holder: RequestId) {
        let state = if let Some(waiting) = self.waiting.get(&holder) {
            debug_assert!(waiting.claim.request == holder, "the map is keyed by the request");
            HeldState::Running
        } else {
            self.runs.state(holder)
        };
        if let Some(key) = self.runs.freeable(now_us, holder) {
            self.free(now_us, key, holder);
        }
        let message = ClaimMessage::State { request, holder, state };
        self.actions.push(ClaimAction::Send { to: to.clone(), message });
    }

    fn holder_state(&mut self, now_us: MonoTime, request: RequestId, holder: RequestId, state: HeldState) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let Stage::Holder { claim, .. } = &waiting.stage else {
            return;
        };
        if claim.request == holder {
            self.settle(now_us, request, held_decision(true, state, self.settings.retry_after_ms));
        }
    }

    /// The caller's task reports how the request that it was told to run ended.
    pub fn finish(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        request: RequestId,
        finished: FinishedAs,
    ) {
        self.unix_ms = unix_ms;
        self.runs.finish(request, finished);
        if let Some(key) = self.runs.freeable(now_us, request) {
            self.free(now_us, key, request);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: MonoTime, unix_ms: UnixMillis) {
        self.unix_ms = unix_ms;
        let ids: Vec<u16> = self.partitions.keys().copied().collect();
        for id in ids {
            self.with_partition(now_us, id, |_, _| {});
        }
        let late: Vec<RequestId> = self.waiting.keys().copied().collect();
        for request in late {
            self.tick_waiting(now_us, request);
        }
        let owners = &self.owners;
        self.partitions.retain(|&id, partition| owners.other(id).is_none() || !partition.is_idle(now_us));
        self.runs.expire(now_us);
    }

    fn tick_waiting(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        match &waiting.stage {
            Stage::Holder { until_us, .. } if *until_us <= now_us => {
                self.settle(now_us, request, Decision::Unknown);
            }
            Stage::Holder { .. } => {}
            _ if waiting.deadline_us <= now_us => {
                waiting.may_stand = true;
                self.refuse(now_us, request, self.settings.retry_after_ms);
            }
            Stage::Owner { until_us } if *until_us <= now_us => self.owner_silent(now_us, request),
            Stage::Owner { .. } | Stage::Log => {}
        }
    }

    /// Tells the caller. A request that is not to run never will, so the key is freed where a record of its
    /// claim may stand: otherwise a refused caller could not use its key again before it expires.
    fn settle(&mut self, now_us: MonoTime, request: RequestId, decision: Decision) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let Claim { key, digest, .. } = waiting.claim;
            self.waiting_keys.remove(&key);
            if waiting.may_stand && !matches!(decision, Decision::Run { .. }) {
                self.runs.insert(now_us, request, NewRun { key, digest, state: RunState::NotRun });
                self.free(now_us, key, request);
            }
        }
        self.decide(request, decision);
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        self.actions.push(ClaimAction::Decide { request, decision });
    }
}
