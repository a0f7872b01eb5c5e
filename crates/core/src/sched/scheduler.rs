//! Scheduler of one daemon: turns events into actions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ids::{BackendServerId, ClassName, PartnerId, RequestId};
use crate::slots::{GrantId, GrantOutcome, HeldGrant, SlotMessage};
use crate::units::{Bytes, Micros, Millis, MonoTime, Tokens};

use super::affinity::AffinityIndex;
use super::counters::{Counters, RefusalReason, clamp_retry_after};
use super::directory::{Directory, ServerIndex, StatusUpdate};
use super::events::{Action, Arrival, Event};
use super::request::{Hold, Request, Stage, StageEntry};
use super::retry::PartnerRetryBudget;
use super::settings::SchedulerSettings;
use super::time_limits::Expiries;

#[derive(Debug)]
pub(super) struct Partner {
    pub(super) id: PartnerId,
    pub(super) budget: PartnerRetryBudget,
    pub(super) open: usize,
    /// Average answer length by class. A class that allows 500 tokens and uses 40 must not be charged or
    /// planned for 500.
    answer_tokens: HashMap<ClassName, f64>,
}

/// Schedules the requests of one daemon.
///
/// It handles any load up to several times the capacity, with partners that surge or publish absurd targets.
/// It has no queue: requests wait at the watchers of the servers, where the requests of all daemons meet;
/// only their number is bounded here.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) settings: SchedulerSettings,
    pub(super) rng: StdRng,
    pub(super) directory: Directory,
    pub(super) affinity: AffinityIndex,
    pub(super) requests: HashMap<RequestId, Request>,
    pub(super) partners: Vec<Partner>,
    partner_names: HashMap<PartnerId, usize>,
    pub(super) counters: Counters,
    pub(super) kv_bytes_per_token: f64,
    timers: BinaryHeap<Reverse<(MonoTime, RequestId)>>,
    pub(super) expiries: Expiries,
    last_grant_id: u64,
    renew_at_us: MonoTime,
    wake_us: Option<MonoTime>,
}

/// Weight of a new sample in the average answer length.
const ANSWER_WEIGHT: f64 = 0.05;

impl Scheduler {
    /// Creates a scheduler without servers. The seed determines all random choices.
    pub fn new(settings: SchedulerSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            directory: Directory::default(),
            affinity: AffinityIndex::new(settings.affinity_blocks_max),
            requests: HashMap::new(),
            partners: Vec::new(),
            partner_names: HashMap::new(),
            counters: Counters::default(),
            kv_bytes_per_token: settings.kv_bytes_per_token.0 as f64,
            timers: BinaryHeap::new(),
            expiries: Expiries::default(),
            last_grant_id: 0,
            renew_at_us: MonoTime(0),
            wake_us: None,
        }
    }

    /// Counters since creation.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of open requests.
    pub fn open_len(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests that wait for a server.
    pub fn waiting_len(&self) -> usize {
        let waits = |stage| matches!(stage, Stage::Backoff | Stage::AwaitTurn | Stage::AwaitSlot);
        self.requests.values().filter(|request| waits(request.stage)).count()
    }

    /// What an open request waits for; `None` once it has ended.
    pub fn stage_entry(&self, request_id: RequestId) -> Option<StageEntry> {
        self.requests.get(&request_id).map(Request::stage_entry)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now_us: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.admit(now_us, arrival, actions),
            Event::Slot(message) => self.slot_message(now_us, &message, actions),
            Event::PrefillDone { request_id, attempt, kv_bytes, cached_tokens, evict_after_ms } => {
                self.prefill_done(
                    now_us,
                    request_id,
                    attempt,
                    kv_bytes,
                    cached_tokens,
                    evict_after_ms,
                    actions,
                );
            }
            Event::Imported { request_id, attempt } => self.imported(now_us, request_id, attempt, actions),
            Event::FirstToken { request_id } => self.first_token(now_us, request_id),
            Event::Progress { request_id, tokens } => self.progress(request_id, tokens),
            Event::Finished { request_id, tokens } => self.finished(now_us, request_id, tokens, actions),
            Event::Failed { request_id, attempt, stage, cause, tokens } => {
                self.step_failed(now_us, request_id, attempt, stage, cause, tokens, actions);
            }
            Event::CallerLeft { request_id } => self.caller_left(request_id, actions),
            Event::Load { server, load, age_us } => {
                if let Some(index) = self.directory.index(&server) {
                    self.directory.update_load(now_us, index, load, age_us);
                }
            }
            Event::Cache { server, events } => {
                if let Some(index) = self.directory.index(&server) {
                    for event in events {
                        self.affinity.apply(index, event);
                    }
                }
            }
            Event::StatusUpdate { server, update } => {
                let until_us = self.status_expiry(now_us, update);
                if let Some(index) = self.directory.index(&server) {
                    self.directory.apply_status(index, update, until_us);
                }
            }
            Event::Servers(records) => self.directory.replace(records),
            Event::WatcherChanged { server } => self.watcher_changed(now_us, &server, actions),
            Event::Tick => {}
        }
        self.run_timers(now_us, actions);
        self.end_expired(now_us, actions);
        self.renew_if_due(now_us, actions);
        self.schedule_wake(now_us, actions);
    }

    pub(super) fn status_expiry(&self, now_us: MonoTime, update: StatusUpdate) -> MonoTime {
        match update {
            StatusUpdate::Leaving => now_us + self.settings.status_ttl_ms,
            StatusUpdate::Live | StatusUpdate::Unresponsive => now_us + self.settings.unresponsive_skip_ms,
        }
    }

    /// Admits a request or refuses it.
    ///
    /// In a surge far above the capacity of all servers, the bound keeps the daemon's memory from filling
    /// with requests that cannot be served in time. When the daemon is full, only partners below an equal
    /// share of the open requests are admitted, so that a surge of one partner does not shut out the others.
    fn admit(&mut self, now_us: MonoTime, arrival: Arrival, actions: &mut Vec<Action>) {
        self.counters.arrivals += 1;
        let partner = self.partner_index(&arrival.partner);
        self.partners[partner].budget.deposit();
        let request_id = arrival.request_id;
        if self.requests.contains_key(&request_id) {
            return;
        }
        let full = self.requests.len() >= self.settings.open_max;
        let fair_share = self.settings.open_max / (self.partners.len().max(1) * 2);
        let hard_full = self.requests.len() >= self.settings.open_max * 2;
        self.partners[partner].open += 1;
        let request = Request::new(now_us, &self.settings, arrival, partner);
        self.expiries.start_wait(&request);
        self.requests.insert(request_id, request);
        if hard_full || (full && self.partners[partner].open > fair_share) {
            self.refuse(request_id, RefusalReason::DaemonFull, Millis::ZERO, actions);
            return;
        }
        self.request_turn(now_us, request_id, actions);
    }

    fn partner_index(&mut self, id: &PartnerId) -> usize {
        if let Some(&index) = self.partner_names.get(id) {
            return index;
        }
        let budget = PartnerRetryBudget::new(self.settings.retry_percent, self.settings.retry_burst);
        self.partners.push(Partner { id: id.clone(), budget, open: 0, answer_tokens: HashMap::new() });
        let index = self.partners.len() - 1;
        self.partner_names.insert(id.clone(), index);
        index
    }

    pub(super) fn expected_answer(&self, request: &Request) -> Tokens {
        let longest = request.arrival.max_tokens.saturating_sub(request.tokens);
        self.usual_answer(request).unwrap_or(longest)
    }

    /// Average length of the class's answers, limited to what is left of this one; `None` until one has ended.
    pub(super) fn usual_answer(&self, request: &Request) -> Option<Tokens> {
        let average = self.partners[request.partner].answer_tokens.get(&request.arrival.class)?;
        let longest = request.arrival.max_tokens.saturating_sub(request.tokens);
        Some(ceil_tokens(*average).min(longest))
    }

    pub(super) fn record_answer_length(&mut self, partner: usize, class: &ClassName, tokens: Tokens) {
        let observed = tokens.0 as f64;
        let average = self.partners[partner].answer_tokens.entry(class.clone()).or_insert(observed);
        *average += ANSWER_WEIGHT * (observed - *average);
    }

    pub(super) fn kv_estimate(&self, tokens: Tokens) -> Bytes {
        Bytes(ceil_tokens(self.kv_bytes_per_token * tokens.0 as f64).0)
    }

    pub(super) fn new_grant_id(&mut self) -> GrantId {
        self.last_grant_id += 1;
        GrantId(self.last_grant_id)
    }

    /// Refuses a request of which nothing ran.
    pub(super) fn refuse(
        &mut self,
        request_id: RequestId,
        reason: RefusalReason,
        retry_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.close(request_id, GrantOutcome::Unused, actions) else {
            return;
        };
        self.counters.count_refusal(reason);
        let retry_after_ms = clamp_retry_after(retry_after_ms);
        actions.push(Action::Refuse { request_id, reason, retry_after_ms, entry: request.stage_entry() });
    }

    /// Removes a request and releases everything it holds.
    pub(super) fn close(
        &mut self,
        request_id: RequestId,
        outcome: GrantOutcome,
        actions: &mut Vec<Action>,
    ) -> Option<Request> {
        let mut request = self.requests.remove(&request_id)?;
        self.expiries.remove(&request);
        self.partners[request.partner].open -= 1;
        self.withdraw_grant_requests(&mut request, actions);
        self.release_hold(request_id, request.turn, outcome, actions);
        self.release_hold(request_id, request.slot, outcome, actions);
        Some(request)
    }

    pub(super) fn withdraw_grant_requests(&self, request: &mut Request, actions: &mut Vec<Action>) {
        let request_id = request.arrival.request_id;
        for open in request.grant_requests.iter_mut().filter_map(Option::take) {
            let server = self.directory.name(open.server).clone();
            actions.push(Action::Send(SlotMessage::Withdraw { server, request_id, grant_id: open.grant_id }));
        }
    }

    pub(super) fn release_hold(
        &self,
        request_id: RequestId,
        hold: Option<Hold>,
        outcome: GrantOutcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(hold) = hold {
            let server = self.directory.name(hold.server).clone();
            actions.push(Action::Send(SlotMessage::Release {
                server,
                request_id,
                grant_id: hold.grant_id,
                outcome,
            }));
        }
    }

    pub(super) fn set_timer(&mut self, request_id: RequestId, at_us: MonoTime) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.timer_us = Some(at_us);
            self.timers.push(Reverse((at_us, request_id)));
        }
    }

    fn run_timers(&mut self, now_us: MonoTime, actions: &mut Vec<Action>) {
        while let Some(&Reverse((at_us, request_id))) = self.timers.peek() {
            if at_us > now_us {
                return;
            }
            self.timers.pop();
            let Some(request) = self.requests.get_mut(&request_id) else {
                continue;
            };
            if request.timer_us != Some(at_us) {
                continue;
            }
            request.timer_us = None;
            self.handle_timer(now_us, request_id, actions);
        }
    }

    fn handle_timer(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        match request.stage {
            Stage::Backoff => self.request_turn(now_us, request_id, actions),
            Stage::AwaitTurn | Stage::AwaitSlot => self.grant_request_timer(now_us, request_id, actions),
            Stage::AwaitTransfer => self.transfer_timer(now_us, request_id, actions),
            Stage::Prefilling | Stage::Importing => self.step_timeout(now_us, request_id, actions),
            Stage::Decoding => {}
        }
    }

    fn schedule_wake(&mut self, now_us: MonoTime, actions: &mut Vec<Action>) {
        let timer_us = self.timers.peek().map(|&Reverse((at_us, _))| at_us);
        let renew_us = (!self.requests.is_empty()).then_some(self.renew_at_us);
        let next_us = [timer_us, renew_us, self.expiries.first_at()].into_iter().flatten().min();
        let Some(at_us) = next_us else {
            return;
        };
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(Action::Wake { at_us });
        }
    }

    /// Sends each watcher the list of its grants still in use, and repeats queued grant requests.
    ///
    /// A lost release would keep a slot occupied forever and a lost grant would leave a request waiting; the
    /// list repairs both within one period, and tells a new watcher of the grants that its predecessor made.
    fn renew_if_due(&mut self, now_us: MonoTime, actions: &mut Vec<Action>) {
        if now_us < self.renew_at_us {
            return;
        }
        self.renew_at_us = now_us + self.settings.renew_ms;
        let mut lists: HashMap<ServerIndex, Vec<HeldGrant>> = HashMap::new();
        let mut waiting = Vec::new();
        for request in self.requests.values_mut() {
            if request.grant_requests.iter().flatten().any(|open| open.queued) {
                waiting.push(request.arrival.request_id);
            }
            collect_held(now_us, request, &self.partners, &mut lists);
        }
        waiting.sort_unstable();
        let mut lists = lists.into_iter().collect::<Vec<_>>();
        lists.sort_unstable_by_key(|(server, _)| *server);
        for (server, mut held) in lists {
            held.sort_unstable_by_key(|grant| grant.request_id);
            let server = self.directory.name(server).clone();
            actions.push(Action::Send(SlotMessage::Renew { server, held }));
        }
        for request_id in waiting {
            self.repeat_grant_requests(now_us, request_id, None, actions);
        }
    }

    /// Registers at a new watcher with the grants in use, even if there are none, and repeats the open grant
    /// requests.
    fn watcher_changed(&mut self, now_us: MonoTime, server: &BackendServerId, actions: &mut Vec<Action>) {
        let Some(index) = self.directory.index(server) else {
            return;
        };
        let mut lists: HashMap<ServerIndex, Vec<HeldGrant>> = HashMap::new();
        let mut waiting = Vec::new();
        for request in self.requests.values_mut() {
            if request.grant_requests.iter().flatten().any(|open| open.server == index) {
                waiting.push(request.arrival.request_id);
            }
            collect_held(now_us, request, &self.partners, &mut lists);
        }
        let mut held = lists.remove(&index).unwrap_or_default();
        held.sort_unstable_by_key(|grant| grant.request_id);
        actions.push(Action::Send(SlotMessage::Renew { server: server.clone(), held }));
        waiting.sort_unstable();
        for request_id in waiting {
            self.repeat_grant_requests(now_us, request_id, Some(index), actions);
        }
    }
}

fn collect_held(
    now_us: MonoTime,
    request: &mut Request,
    partners: &[Partner],
    lists: &mut HashMap<ServerIndex, Vec<HeldGrant>>,
) {
    let partner = &partners[request.partner].id;
    let token_us = observed_token_us(now_us, request);
    let grant = |hold: &Hold, work_tokens: Tokens, token_us: Micros| HeldGrant {
        request_id: request.arrival.request_id,
        grant_id: hold.grant_id,
        partner: partner.clone(),
        phase: hold.phase,
        rate_bytes_per_s: hold.rate_bytes_per_s,
        work_tokens,
        token_us,
    };
    if let Some(hold) = &request.turn {
        let held = grant(hold, request.uncached_tokens, Micros::ZERO);
        lists.entry(hold.server).or_default().push(held);
    }
    if let Some(hold) = &request.slot {
        let left = request.arrival.max_tokens.saturating_sub(request.tokens);
        lists.entry(hold.server).or_default().push(grant(hold, left, token_us));
    }
    if token_us > Micros::ZERO {
        request.progress = (now_us, request.tokens);
    }
}

/// Average time per token since the last renewal; zero if no token was generated or the span is too short.
fn observed_token_us(now_us: MonoTime, request: &Request) -> Micros {
    if request.stage != Stage::Decoding || request.first_token_us.is_none() {
        return Micros::ZERO;
    }
    let (since_us, tokens) = request.progress;
    let written = request.tokens.saturating_sub(tokens).0;
    let span_us = now_us.since(since_us).0;
    if written == 0 || span_us < MIN_PROGRESS_US {
        return Micros::ZERO;
    }
    Micros(span_us / written)
}

/// Shorter spans contain too few tokens for an estimate.
const MIN_PROGRESS_US: u64 = 200_000;

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a count that is never negative")]
fn ceil_tokens(count: f64) -> Tokens {
    Tokens(count.max(0.0).ceil() as u64)
}
