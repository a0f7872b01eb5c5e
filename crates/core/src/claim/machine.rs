//! State machine of the claims protocol at one daemon.

use std::collections::{BTreeMap, HashMap};

use super::decision::{Decision, duplicate_decision};
use super::owners::Owners;
use super::partition::{AppendOutcome, ClaimPage, Effect, Partition, Pending, Requester};
use super::runs::{HolderState, NewRun, RunOutcome, RunState, Runs};
use super::{BodyDigest, Claim, ClaimAction, ClaimKey, ClaimMessage, ClaimSettings, UnixMillis, Verdict};
use crate::ids::{HostId, Incarnation, RequestId};
use crate::units::{Millis, MonoTime};

#[derive(Clone, Debug)]
enum Stage {
    /// Waiting for the partition's owner to decide the claim.
    Owner { until_us: MonoTime },
    /// This daemon appends the claim to the log itself.
    Log,
    /// Waiting for the key's holder to report the state of its request.
    Holder { claim: Claim, until_us: MonoTime },
}

#[derive(Clone, Debug)]
struct Waiting {
    claim: Claim,
    deadline_us: MonoTime,
    stage: Stage,
    /// The log may contain a record of the claim, so the key must be released if the caller is refused.
    may_be_logged: bool,
}

/// State machine of the claims protocol at one daemon: takes events and returns [`ClaimAction`]s.
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
    /// Creates the state machine of the daemon `incarnation` on `host`.
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

    /// Sets the daemons believed to be alive, with or without this one. The list only selects which daemon
    /// usually appends for a partition.
    pub fn set_members(&mut self, members: &[HostId]) {
        self.owners.set_members(members);
    }

    /// Returns the actions requested since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether any claim, read or append is pending, so that `tick` has to be called.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.partitions.values().any(Partition::is_busy)
    }

    /// Starts the claim of `key` for a caller's `request`.
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
            self.push_decision(
                request,
                duplicate_decision(held_digest == digest, state, self.settings.retry_after_ms),
            );
            return;
        }
        if let Some(first) = self.waiting_keys.get(&key).and_then(|first| self.waiting.get(first)) {
            let same = first.claim.digest == digest;
            self.push_decision(request, if same { Decision::InProgress } else { Decision::BodyMismatch });
            return;
        }
        if self.runs.is_full() {
            let retry_after_ms = self.settings.retry_after_ms;
            self.push_decision(request, Decision::Unavailable { retry_after_ms });
            return;
        }
        let claim = Claim { key, digest, request, host: self.host.clone() };
        let deadline_us = now_us + self.settings.begin_timeout_ms;
        self.waiting_keys.insert(key, request);
        self.waiting.insert(request, Waiting { claim, deadline_us, stage: Stage::Log, may_be_logged: false });
        self.send_to_owner(now_us, request);
    }

    fn send_to_owner(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let partition = waiting.claim.key.partition(self.settings.partitions);
        let Some(to) = self.owners.available_owner(now_us, partition).cloned() else {
            self.claim_through_log(now_us, request);
            return;
        };
        let until_us = now_us + self.settings.peer_timeout_ms;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        waiting.stage = Stage::Owner { until_us };
        waiting.may_be_logged = true;
        let message = ClaimMessage::Request(waiting.claim.clone());
        self.actions.push(ClaimAction::Send { to, message });
    }

    /// The owner did not answer in time: this daemon claims through the log without it.
    fn owner_timed_out(&mut self, now_us: MonoTime, request: RequestId) {
        if let Some(waiting) = self.waiting.get(&request) {
            let partition = waiting.claim.key.partition(self.settings.partitions);
            self.owners.mark_unresponsive(now_us, partition);
        }
        self.claim_through_log(now_us, request);
    }

    /// The owner accepted the claim, and gets the time that the log may need. If a slow log were taken for an
    /// unresponsive owner, all daemons would append at once and load the slow log further.
    fn handle_accepted(&mut self, now_us: MonoTime, request: RequestId) {
        let accepted_ms = self.settings.accepted_timeout_ms;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if let Stage::Owner { until_us } = &mut waiting.stage {
            *until_us = now_us + accepted_ms;
        }
    }

    fn handle_request(&mut self, now_us: MonoTime, from: &HostId, claim: Claim) {
        let request = claim.request;
        let id = claim.key.partition(self.settings.partitions);
        let pending = Pending {
            claim,
            requester: Requester::Peer(from.clone()),
            deadline_us: now_us + self.settings.begin_timeout_ms,
            may_be_logged: false,
        };
        self.submit(now_us, pending);
        if self.partitions.get(&id).is_some_and(|partition| partition.has_claim(request)) {
            let message = ClaimMessage::Accepted { request };
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
            requester: Requester::Local,
            deadline_us: waiting.deadline_us,
            may_be_logged: waiting.may_be_logged,
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
            self.apply_effect(now_us, id, effect);
        }
    }

    fn apply_effect(&mut self, now_us: MonoTime, partition: u16, effect: Effect) {
        match effect {
            Effect::Append(group) => self.actions.push(ClaimAction::Append { partition, group }),
            Effect::Read { from, limit } => self.actions.push(ClaimAction::Read { partition, from, limit }),
            Effect::Verdict { pending, verdict } => match pending.requester {
                Requester::Local => self.handle_verdict(now_us, pending.claim.request, verdict),
                Requester::Peer(to) => {
                    let message = ClaimMessage::Verdict { request: pending.claim.request, verdict };
                    self.actions.push(ClaimAction::Send { to, message });
                }
            },
        }
    }

    /// Handles the end of an append to `partition`.
    pub fn append_ended(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        partition: u16,
        outcome: AppendOutcome,
    ) {
        self.unix_ms = unix_ms;
        self.with_partition(now_us, partition, |partition, effects| {
            partition.append_ended(now_us, outcome, effects);
        });
    }

    /// Handles the end of a read of `partition`; `page` is `None` if the read failed.
    pub fn read_ended(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        partition: u16,
        page: Option<ClaimPage>,
    ) {
        self.unix_ms = unix_ms;
        self.with_partition(now_us, partition, |partition, effects| {
            partition.read_ended(now_us, unix_ms, page, effects);
        });
    }

    /// Handles a message from the daemon on `from`.
    pub fn handle_message(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        from: &HostId,
        message: ClaimMessage,
    ) {
        self.unix_ms = unix_ms;
        match message {
            ClaimMessage::Leaving => self.owners.mark_leaving(now_us, from),
            ClaimMessage::Request(claim) => self.handle_request(now_us, from, claim),
            ClaimMessage::Accepted { request } => self.handle_accepted(now_us, request),
            ClaimMessage::Verdict { request, verdict } => self.handle_peer_verdict(now_us, request, verdict),
            ClaimMessage::Query { request, holder } => self.answer_query(now_us, from, request, holder),
            ClaimMessage::State { request, holder, state } => {
                self.handle_holder_state(now_us, request, holder, state);
            }
            ClaimMessage::Release { key, request } => {
                let id = key.partition(self.settings.partitions);
                self.with_partition(now_us, id, |partition, _| partition.release(now_us, key, request));
            }
        }
    }

    /// A refusal by the owner that arrives after this daemon started its own append says nothing about that
    /// append. A verdict derived from the log's order is valid whichever daemon read it.
    fn handle_peer_verdict(&mut self, now_us: MonoTime, request: RequestId, verdict: Verdict) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let ordered = matches!(verdict, Verdict::Won | Verdict::Held(_));
        let own_attempt = matches!(waiting.stage, Stage::Log);
        if ordered || !own_attempt {
            self.handle_verdict(now_us, request, verdict);
        }
        if let Some(waiting) = self.waiting.get_mut(&request) {
            // This daemon's record is still being appended, and could win once the present holder's key has
            // been released.
            waiting.may_be_logged |= own_attempt;
        }
    }

    fn handle_verdict(&mut self, now_us: MonoTime, request: RequestId, verdict: Verdict) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if matches!(waiting.stage, Stage::Holder { .. }) {
            return;
        }
        if waiting.deadline_us <= now_us {
            // The verdict arrived after a pause: another request may hold the key by now.
            waiting.may_be_logged |= !matches!(verdict, Verdict::NotClaimed { .. });
            self.refuse(now_us, request, self.settings.retry_after_ms);
            return;
        }
        if matches!(verdict, Verdict::Held(_)) {
            waiting.may_be_logged = false;
        }
        match verdict {
            Verdict::Won => self.start_run(now_us, request),
            Verdict::Held(claim) if claim.digest != waiting.claim.digest => {
                self.resolve(now_us, request, Decision::BodyMismatch);
            }
            Verdict::Held(claim) => self.handle_held(now_us, request, claim),
            Verdict::NotClaimed { retry_after_ms } => {
                // The owner proved that it appended nothing; only this daemon's own appends may be in the
                // log.
                if matches!(waiting.stage, Stage::Owner { .. }) {
                    waiting.may_be_logged = false;
                }
                self.refuse(now_us, request, retry_after_ms);
            }
            Verdict::Undecided { retry_after_ms } => {
                waiting.may_be_logged = true;
                self.refuse(now_us, request, retry_after_ms);
            }
        }
    }

    fn start_run(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let Claim { key, digest, .. } = waiting.claim;
        let start_by_us = now_us + self.settings.start_within_ms;
        self.runs.insert(now_us, request, NewRun { key, digest, state: RunState::Running });
        self.resolve(now_us, request, Decision::Run { start_by_us });
    }

    fn refuse(&mut self, now_us: MonoTime, request: RequestId, retry_after_ms: Millis) {
        self.resolve(now_us, request, Decision::Unavailable { retry_after_ms });
    }

    fn release_key(&mut self, now_us: MonoTime, key: ClaimKey, request: RequestId) {
        let id = key.partition(self.settings.partitions);
        if let Some(to) = self.owners.remote_owner(id).cloned() {
            let message = ClaimMessage::Release { key, request };
            self.actions.push(ClaimAction::Send { to, message });
        } else {
            self.with_partition(now_us, id, |partition, _| {
                partition.release(now_us, key, request);
            });
        }
    }

    fn handle_held(&mut self, now_us: MonoTime, request: RequestId, claim: Claim) {
        if claim.request.incarnation == self.incarnation {
            let state = self.runs.state(claim.request);
            if let Some(key) = self.runs.releasable_key(now_us, claim.request) {
                self.release_key(now_us, key, claim.request);
            }
            self.resolve(now_us, request, duplicate_decision(true, state, self.settings.retry_after_ms));
            return;
        }
        if claim.host == self.host {
            // An earlier incarnation of this daemon handled that request, and no other daemon knows its
            // outcome.
            self.resolve(now_us, request, Decision::Unknown);
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
            debug_assert!(waiting.claim.request == holder, "pending claims are keyed by request id");
            HolderState::Running
        } else {
            self.runs.state(holder)
        };
        if let Some(key) = self.runs.releasable_key(now_us, holder) {
            self.release_key(now_us, key, holder);
        }
        let message = ClaimMessage::State { request, holder, state };
        self.actions.push(ClaimAction::Send { to: to.clone(), message });
    }

    fn handle_holder_state(
        &mut self,
        now_us: MonoTime,
        request: RequestId,
        holder: RequestId,
        state: HolderState,
    ) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let Stage::Holder { claim, .. } = &waiting.stage else {
            return;
        };
        if claim.request == holder {
            self.resolve(now_us, request, duplicate_decision(true, state, self.settings.retry_after_ms));
        }
    }

    /// Records how a request that the task was told to run ended.
    pub fn finish(
        &mut self,
        now_us: MonoTime,
        unix_ms: UnixMillis,
        request: RequestId,
        finished: RunOutcome,
    ) {
        self.unix_ms = unix_ms;
        self.runs.finish(request, finished);
        if let Some(key) = self.runs.releasable_key(now_us, request) {
            self.release_key(now_us, key, request);
        }
    }

    /// Handles timeouts and expiry. To be called regularly while [`Self::is_busy`].
    pub fn tick(&mut self, now_us: MonoTime, unix_ms: UnixMillis) {
        self.unix_ms = unix_ms;
        let ids: Vec<u16> = self.partitions.keys().copied().collect();
        for id in ids {
            self.with_partition(now_us, id, |_, _| {});
        }
        let waiting: Vec<RequestId> = self.waiting.keys().copied().collect();
        for request in waiting {
            self.tick_waiting(now_us, request);
        }
        let owners = &self.owners;
        self.partitions
            .retain(|&id, partition| owners.remote_owner(id).is_none() || !partition.is_idle(now_us));
        self.runs.expire(now_us);
    }

    fn tick_waiting(&mut self, now_us: MonoTime, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        match &waiting.stage {
            Stage::Holder { until_us, .. } if *until_us <= now_us => {
                self.resolve(now_us, request, Decision::Unknown);
            }
            Stage::Holder { .. } => {}
            _ if waiting.deadline_us <= now_us => {
                waiting.may_be_logged = true;
                self.refuse(now_us, request, self.settings.retry_after_ms);
            }
            Stage::Owner { until_us } if *until_us <= now_us => self.owner_timed_out(now_us, request),
            Stage::Owner { .. } | Stage::Log => {}
        }
    }

    /// Delivers the decision. A request that is told not to run never will, so its key is released if the log
    /// may contain its claim: otherwise a refused caller could not use the key again until it expires.
    fn resolve(&mut self, now_us: MonoTime, request: RequestId, decision: Decision) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let Claim { key, digest, .. } = waiting.claim;
            self.waiting_keys.remove(&key);
            if waiting.may_be_logged && !matches!(decision, Decision::Run { .. }) {
                self.runs.insert(now_us, request, NewRun { key, digest, state: RunState::NotRun });
                self.release_key(now_us, key, request);
            }
        }
        self.push_decision(request, decision);
    }

    fn push_decision(&mut self, request: RequestId, decision: Decision) {
        self.actions.push(ClaimAction::Decide { request, decision });
    }
}
