//! The exact account of one server's grants, kept by the daemon that watches it.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::ids::{BackendServerId, HostId, Incarnation, PartnerId, RequestId};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::fair_queue::{FairQueue, QueueSettings, Waiting};
use super::pace::Pace;
use super::{Ask, AskId, DenyReason, GrantOutcome, GrantPhase, HeldGrant, Role, ServerLoad, SlotMessage};

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Bounds and order of the waiting asks.
    pub queue: QueueSettings,
    /// Life of a grant that is not renewed. Several times the renewal period, so that two lost messages
    /// cost nothing; short, because the slots of a daemon that died stay unused for so long.
    pub grant_ttl_ms: Millis,
    /// Work granted ahead at a prefill server. It covers the round trips between grant and start, so that
    /// the server never idles; more would put short prompts behind long ones already granted, and hold
    /// slots for prompts that are not being read.
    pub prefill_ahead_us: Micros,
    /// Time in which a turn usually gets its slot: two round trips and a queue of messages.
    pub slot_grace_us: Micros,
    /// Grants outstanding at a prefill server, whatever their estimated work: an estimate that is too low
    /// must not send a whole queue to the engine.
    pub prefill_turns_max: usize,
    /// Results at a prefill server that wait for the link. With more, prompts are read faster than results
    /// leave, and the last ones would be evicted.
    pub ready_max: usize,
    /// A new transfer gets this part of the link's free rate, so that a first transfer is fast and a later
    /// one still finds some.
    pub link_divisor: u64,
    /// Smallest part of the link that is worth a grant, as a divisor of its rate.
    pub link_parts_max: u64,
    /// Prefill time for one token until it was observed.
    pub prefill_token_us: Micros,
    /// Decode time for one token until it was observed.
    pub decode_token_us: Micros,
    /// Consecutive timeouts after which a server is closed. Two, because one can be a lost message.
    pub strikes_max: u32,
    /// First time for which a closed server gets no grant; doubled with each failed trial.
    pub reopen_ms: Millis,
    /// Longest such time: a server that came back is found within it.
    pub reopen_max_ms: Millis,
    /// For how long a released request may still show in a load report, which lags.
    pub report_lag_ms: Millis,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            queue: QueueSettings::default(),
            grant_ttl_ms: Millis(3_000),
            prefill_ahead_us: Micros(15_000),
            slot_grace_us: Micros(15_000),
            prefill_turns_max: 2,
            ready_max: 3,
            link_divisor: 2,
            link_parts_max: 4,
            prefill_token_us: Micros(125),
            decode_token_us: Micros(30_000),
            strikes_max: 2,
            reopen_ms: Millis(1_000),
            reopen_max_ms: Millis(30_000),
            report_lag_ms: Millis(2_000),
        }
    }
}

/// What the watching daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a message to the daemon on `to`, which may be this one.
    Send {
        /// Whom.
        to: HostId,
        /// What.
        message: SlotMessage,
    },
    /// Release the memory that a request holds at the engine: its daemon no longer renews it.
    Cancel {
        /// Which server.
        server: BackendServerId,
        /// Which request.
        request_id: RequestId,
    },
    /// Call `tick` at this time.
    Wake {
        /// When.
        at_us: MonoTime,
    },
}

/// What happened at a ledger, counted since it was made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounters {
    /// Grants given.
    pub grants: u64,
    /// Grants that nobody renewed.
    pub expired: u64,
    /// Grants taken over from an earlier watcher.
    pub taken_over: u64,
    /// Grants over the server's slots, found when a grant was taken over.
    pub over_committed: u64,
    /// Denied because the partner's share could not serve them in time.
    pub denied_target: u64,
    /// Denied because the partner's queue was full.
    pub denied_full: u64,
    /// Times that the server was closed as mute.
    pub closed: u64,
}

/// A load report of the server, as it concerns the ledger.
#[derive(Clone, Debug, Default)]
pub struct HeldReport {
    /// Age of the report.
    pub as_of_us: Micros,
    /// Requests that hold a slot.
    pub held: Vec<RequestId>,
}

/// Who waits.
#[derive(Clone, Debug)]
struct Asker {
    home: HostId,
    ask: AskId,
    needed_in_us: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Held {
    home: HostId,
    ask: AskId,
    partner: PartnerId,
    charge_us: Micros,
    granted_us: MonoTime,
    expires_us: MonoTime,
    work_us: Micros,
    rate_bytes_per_s: BytesPerSecond,
    phase: GrantPhase,
    phase_us: MonoTime,
    /// Whether the slot is this request's for certain; otherwise it is once another ends.
    sure: bool,
    orphan: bool,
}

/// Account of one server.
///
/// Load: near full, asks from all daemons. Harm prevented: more requests than slots (the engine refuses the
/// import and the prefill is thrown away) and idle slots while requests wait. It counts its own grants and
/// not the server's reports, which lag; reports only add what it cannot know, the holdings that remain
/// from before it became the watcher.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    server: BackendServerId,
    role: Role,
    slots_total: u32,
    link_bytes_per_s: BytesPerSecond,
    queue: FairQueue<Asker>,
    held: BTreeMap<RequestId, Held>,
    foreign: HashSet<RequestId>,
    released: HashMap<RequestId, MonoTime>,
    token_us: f64,
    observed: bool,
    pace: Pace,
    wake_us: Option<MonoTime>,
    last_moved_us: MonoTime,
    since_us: MonoTime,
    quiet_until_us: MonoTime,
    unregistered: HashSet<Incarnation>,
    report_seen: bool,
    leaving: bool,
    strikes: u32,
    closed_until_us: Option<MonoTime>,
    trial: Option<RequestId>,
    reopen_ms: Millis,
    counters: LedgerCounters,
}

/// Weight of a new observation of a speed. Four or so observations move the figure, one outlier does not.
const SPEED_WEIGHT: f64 = 0.3;
/// Shortest wait for room at a prefill server; guards against waking all the time.
const MIN_WAIT_US: u64 = 1_000;
/// Shorter prompts are mostly fixed cost, and say little about the speed.
const MIN_OBSERVED_TOKENS: u64 = 64;
/// A grant is younger than the list of a `Renew` that crosses it on the way.
const RENEW_CROSSING_MS: Millis = Millis(250);

impl Ledger {
    /// The ledger of a server that this daemon watches from now on. `others` are the lives of the daemons
    /// that may hold grants of an earlier watcher; empty when there was none.
    pub fn new(
        now_us: MonoTime,
        settings: LedgerSettings,
        server: BackendServerId,
        role: Role,
        slots_total: u32,
        link_bytes_per_s: BytesPerSecond,
        others: &[Incarnation],
    ) -> Self {
        let token_us = match role {
            Role::Prefill => settings.prefill_token_us,
            Role::Decode => settings.decode_token_us,
        };
        let quiet_ms = if others.is_empty() {
            Millis(0)
        } else {
            settings.grant_ttl_ms
        };
        Self {
            settings,
            server,
            role,
            slots_total,
            link_bytes_per_s,
            queue: FairQueue::new(settings.queue),
            held: BTreeMap::new(),
            foreign: HashSet::new(),
            released: HashMap::new(),
            token_us: token_us.0 as f64,
            observed: false,
            pace: Pace::new(),
            wake_us: None,
            last_moved_us: now_us,
            since_us: now_us,
            quiet_until_us: now_us + quiet_ms,
            unregistered: others.iter().copied().collect(),
            report_seen: false,
            leaving: false,
            strikes: 0,
            closed_until_us: None,
            trial: None,
            reopen_ms: settings.reopen_ms,
            counters: LedgerCounters::default(),
        }
    }

    /// Role of the server.
    pub fn role(&self) -> Role {
        self.role
    }

    /// What happened so far.
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Slots or turns in use.
    pub fn held_len(&self) -> usize {
        self.held.len() + self.foreign.len()
    }

    /// Asks waiting.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Whether old grants may still be about, so that none is given.
    pub fn is_quiet(&self, now_us: MonoTime) -> bool {
        now_us < self.quiet_until_us
    }

    /// Takes a message of the daemon on `from`.
    pub fn handle(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        message: SlotMessage,
        actions: &mut Vec<LedgerAction>,
    ) {
        match message {
            SlotMessage::Ask(ask) => self.ask(now_us, from, ask, actions),
            SlotMessage::Withdraw { request_id, ask, .. } => {
                if let Some(entry) = self.queue.remove(request_id) {
                    self.drained(now_us, &entry);
                }
                self.release(now_us, request_id, ask, GrantOutcome::Unused, actions);
            }
            SlotMessage::Started { request_id, .. } => self.started(now_us, request_id),
            SlotMessage::Ready {
                request_id,
                ask,
                work_us,
                work_tokens,
                ..
            } => {
                self.ready(now_us, request_id, ask, work_us, work_tokens, actions);
            }
            SlotMessage::Moved { request_id, .. } => self.moved(now_us, request_id),
            SlotMessage::Release {
                request_id,
                ask,
                outcome,
                ..
            } => {
                self.release(now_us, request_id, ask, outcome, actions);
            }
            SlotMessage::Renew { held, .. } => self.renew(now_us, from, incarnation, held),
            SlotMessage::Queued { .. }
            | SlotMessage::Grant { .. }
            | SlotMessage::Confirm { .. }
            | SlotMessage::Deny { .. } => {}
        }
        self.serve(now_us, actions);
    }

    /// Expires grants, opens a closed server for a trial, gives what became free.
    pub fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.expire(now_us, actions);
        self.serve(now_us, actions);
    }

    /// The server says or is said to be leaving, or to be back.
    pub fn set_leaving(&mut self, now_us: MonoTime, leaving: bool, actions: &mut Vec<LedgerAction>) {
        self.leaving = leaving;
        if leaving {
            self.deny_all(now_us, DenyReason::Leaving, actions);
        }
    }

    /// The server's size changed in the host list.
    pub fn resize(&mut self, slots_total: u32, link_bytes_per_s: BytesPerSecond) {
        self.slots_total = slots_total;
        self.link_bytes_per_s = link_bytes_per_s;
    }

    /// Takes a load report of the server.
    ///
    /// Two things go wrong without it: requests of a daemon that died hold slots that no ledger knows, and
    /// an expired grant would be granted again while the engine still works on it. So holdings that are
    /// reported but not on the account count as taken until a later report lacks them, and an orphan is
    /// struck off only then.
    pub fn report(&mut self, now_us: MonoTime, report: &HeldReport, actions: &mut Vec<LedgerAction>) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(report.as_of_us.0));
        let lag_ms = self.settings.report_lag_ms;
        self.released.retain(|_, at_us| now_us < *at_us + lag_ms);
        let reported = report.held.iter().copied().collect::<HashSet<_>>();
        self.held
            .retain(|id, held| !held.orphan || held.expires_us >= as_of_us || reported.contains(id));
        if self.role == Role::Decode {
            let unknown = reported.into_iter();
            self.foreign = unknown
                .filter(|id| !self.held.contains_key(id) && !self.released.contains_key(id))
                .collect();
        }
        if as_of_us >= self.since_us {
            self.report_seen = true;
            self.end_quiet(now_us);
        }
        self.serve(now_us, actions);
    }

    /// A daemon's life ended: nobody will register its grants. What it holds stays on the account until it
    /// expires and the server no longer reports it.
    pub fn forget_home(&mut self, now_us: MonoTime, incarnation: Incarnation) {
        self.unregistered.remove(&incarnation);
        self.end_quiet(now_us);
    }

    /// Quiet time after a change of watcher. Two things must have happened before the same slot may be
    /// granted again: each living daemon has registered its grants, and a load report taken since has shown
    /// what the dead ones hold. If either stays away, grants of the earlier watcher have run out after one
    /// life of a grant anyway.
    fn end_quiet(&mut self, now_us: MonoTime) {
        if self.unregistered.is_empty() && (self.report_seen || self.role == Role::Prefill) {
            self.quiet_until_us = self.quiet_until_us.min(now_us);
        }
    }

    fn ask(&mut self, now_us: MonoTime, from: &HostId, ask: Ask, actions: &mut Vec<LedgerAction>) {
        let request_id = ask.request_id;
        if let Some(held) = self.held.get(&request_id) {
            // The grant was lost on the way and the daemon asks again.
            if held.ask == ask.ask {
                let message = self.grant_message(now_us, request_id, held);
                actions.push(LedgerAction::Send {
                    to: from.clone(),
                    message,
                });
            }
            return;
        }
        // An ask that waits is repeated from time to time and judged again: if it can no longer be served in
        // time, its caller had better know now than get a late answer. Its age stays.
        let mut entry = self.waiting(now_us, from, ask);
        if let Some(earlier) = self.queue.remove(request_id) {
            entry.since_us = earlier.since_us;
        }
        if let Some((reason, wait_us)) = self.refusal(now_us, &entry) {
            self.deny(now_us, &entry, reason, wait_us, actions);
            return;
        }
        let ask_id = entry.item.ask;
        self.queue.push(entry);
        self.serve(now_us, actions);
        if self.queue.get(request_id).is_some() {
            self.pace.begin(now_us);
            self.queued(now_us, from, request_id, ask_id, actions);
        }
    }

    fn queued(
        &self,
        now_us: MonoTime,
        from: &HostId,
        request_id: RequestId,
        ask: AskId,
        actions: &mut Vec<LedgerAction>,
    ) {
        let (server, load) = (self.server.clone(), self.load(now_us));
        let message = SlotMessage::Queued {
            server,
            request_id,
            ask,
            load,
        };
        actions.push(LedgerAction::Send {
            to: from.clone(),
            message,
        });
    }

    fn waiting(&self, now_us: MonoTime, from: &HostId, ask: Ask) -> Waiting<Asker> {
        Waiting {
            request_id: ask.request_id,
            partner: ask.partner,
            since_us: now_us,
            latest_us: ask.slack_us.map(|slack_us| now_us + slack_us),
            work_us: self.work_us(ask.work_tokens),
            charge_us: ask.charge_us,
            item: Asker {
                home: from.clone(),
                ask: ask.ask,
                needed_in_us: ask.needed_in_us,
            },
        }
    }

    /// Decides whether an ask is taken in at all.
    ///
    /// Load: more asks than the server can serve. Harm prevented: a queue in which everybody waits past the
    /// target, so that all work is late work. An ask that its partner's share cannot serve in time is denied
    /// at once, before any prefill; one whose target is missed already is owed an answer and taken in up to
    /// the patience of a caller.
    fn refusal(&self, now_us: MonoTime, entry: &Waiting<Asker>) -> Option<(DenyReason, Micros)> {
        if self.leaving {
            return Some((DenyReason::Leaving, Micros::ZERO));
        }
        if let Some(until_us) = self.closed_until_us {
            let busy = now_us < until_us || self.trial.is_some() || !self.queue.is_empty();
            return Some((DenyReason::Unhealthy, until_us.since(now_us))).filter(|_| busy);
        }
        let quiet_us = self.quiet_until_us.since(now_us);
        if quiet_us > Micros::ZERO {
            // Says nothing of the load: whoever asks had better look elsewhere, and come back if all are so.
            return Some((DenyReason::Unhealthy, quiet_us));
        }
        let late = entry.latest_us.is_none();
        let forecast = self.queue.forecast(now_us, entry, self.pace.value());
        if self.queue.is_full(&entry.partner, late) {
            return Some((DenyReason::QueueFull, forecast.wait_us));
        }
        if self.role == Role::Decode {
            return None;
        }
        let backlog_us = self.backlog_us(now_us) + self.reserved_us(now_us, false);
        let wait_us = forecast.wait_us + backlog_us;
        let limit_us = match entry.latest_us {
            Some(latest_us) => latest_us.since(now_us),
            None => self.settings.queue.late_patience_ms.into(),
        };
        if wait_us > limit_us || forecast.harms_earlier {
            return Some((DenyReason::WouldMissTarget, wait_us.saturating_sub(limit_us)));
        }
        None
    }

    fn deny(
        &mut self,
        now_us: MonoTime,
        entry: &Waiting<Asker>,
        reason: DenyReason,
        retry_after_us: Micros,
        actions: &mut Vec<LedgerAction>,
    ) {
        match reason {
            DenyReason::WouldMissTarget => self.counters.denied_target += 1,
            DenyReason::QueueFull => self.counters.denied_full += 1,
            DenyReason::Leaving | DenyReason::Unhealthy | DenyReason::NotWatching => {}
        }
        let message = SlotMessage::Deny {
            server: self.server.clone(),
            request_id: entry.request_id,
            ask: entry.item.ask,
            load: self.load(now_us),
            reason,
            retry_after_ms: retry_after_us.to_millis_ceil(),
        };
        actions.push(LedgerAction::Send {
            to: entry.item.home.clone(),
            message,
        });
    }

    pub(super) fn deny_all(&mut self, now_us: MonoTime, reason: DenyReason, actions: &mut Vec<LedgerAction>) {
        for entry in self.queue.drain() {
            self.deny(now_us, &entry, reason, Micros::ZERO, actions);
        }
    }

    /// Grants as long as there is room and somebody waits.
    fn serve(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.confirm(now_us, actions);
        while let Some(needed_in_us) = self.queue.peek(now_us).map(|entry| entry.item.needed_in_us) {
            if let Some(at_us) = self.no_grant_until(now_us) {
                self.wake_at(now_us, at_us, actions);
                return;
            }
            if self.trial.is_some() {
                return;
            }
            if !self.has_room(now_us, needed_in_us) {
                self.wake_for_room(now_us, actions);
                return;
            }
            let Some(entry) = self.queue.pop(now_us) else {
                return;
            };
            self.grant(now_us, entry, actions);
        }
    }

    /// A turn becomes free with time alone, a slot only with a message.
    fn wake_for_room(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self.role == Role::Prefill {
            let at_us = self.room_at(now_us);
            self.wake_at(now_us, at_us, actions);
        }
    }

    fn drained(&mut self, now_us: MonoTime, entry: &Waiting<Asker>) {
        if entry.since_us < now_us {
            self.pace.drain(now_us, entry.work_us, !self.queue.is_empty());
        }
    }

    fn wake_at(&mut self, now_us: MonoTime, at_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self
            .wake_us
            .is_none_or(|known_us| known_us <= now_us || at_us < known_us)
        {
            self.wake_us = Some(at_us);
            actions.push(LedgerAction::Wake { at_us });
        }
    }

    fn no_grant_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        if now_us < self.quiet_until_us {
            return Some(self.quiet_until_us);
        }
        self.closed_until_us.filter(|&until_us| now_us < until_us)
    }

    fn grant(&mut self, now_us: MonoTime, entry: Waiting<Asker>, actions: &mut Vec<LedgerAction>) {
        self.drained(now_us, &entry);
        let request_id = entry.request_id;
        let held = Held {
            home: entry.item.home.clone(),
            ask: entry.item.ask,
            partner: entry.partner,
            charge_us: entry.charge_us,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: entry.work_us,
            rate_bytes_per_s: BytesPerSecond::ZERO,
            phase: GrantPhase::Reserved,
            phase_us: now_us,
            sure: self.role == Role::Prefill || self.sure_len() < self.slots_total as usize,
            orphan: false,
        };
        if self.closed_until_us.is_some() {
            self.trial = Some(request_id);
        }
        self.counters.grants += 1;
        let message = self.grant_message(now_us, request_id, &held);
        self.held.insert(request_id, held);
        actions.push(LedgerAction::Send {
            to: entry.item.home,
            message,
        });
    }

    fn grant_message(&self, now_us: MonoTime, request_id: RequestId, held: &Held) -> SlotMessage {
        SlotMessage::Grant {
            server: self.server.clone(),
            request_id,
            ask: held.ask,
            load: self.load(now_us),
            ttl_ms: self.settings.grant_ttl_ms,
        }
    }

    /// Starts transfers that are ready, in the order in which they became so.
    ///
    /// Harm prevented: a transfer without a slot is refused by the engine, and one that shares the link with
    /// too many crawls until the prefill result is evicted at its source. So the share of the link is given
    /// here, at the last moment: promised earlier, with the turn, it would lie idle for as long as the prompt
    /// is read.
    fn confirm(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.promote();
        while let Some(rate_bytes_per_s) = self.free_rate() {
            let ready = self
                .held
                .iter_mut()
                .filter(|(_, held)| held.phase == GrantPhase::Ready && held.sure);
            let Some((&request_id, held)) = ready.min_by_key(|(id, held)| (held.phase_us, **id)) else {
                return;
            };
            held.phase = GrantPhase::Moving;
            held.phase_us = now_us;
            held.rate_bytes_per_s = rate_bytes_per_s;
            let to = held.home.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
    }

    /// Makes likely slots sure as others become free, the one whose prompt was read first before others:
    /// its result is evicted first.
    fn promote(&mut self) {
        while self.sure_len() < self.slots_total as usize {
            let likely = self.held.iter_mut().filter(|(_, held)| !held.sure);
            let order = |held: &Held| (held.phase != GrantPhase::Ready, held.phase_us);
            let Some((_, held)) = likely.min_by_key(|(id, held)| (order(held), **id)) else {
                return;
            };
            held.sure = true;
        }
    }

    /// Slots that are somebody's for certain; never more than there are, but for a change of watcher.
    fn sure_len(&self) -> usize {
        self.held.values().filter(|held| held.sure).count() + self.foreign.len()
    }

    /// Whether one more grant may be given.
    ///
    /// A slot is sure when there are fewer grants than slots. A request so tight that it says when it needs
    /// its slot may also have one that is likely: held now, but expected to be free by then. The engine
    /// is never over-committed by it, because the transfer still waits for the slot; what is risked is the
    /// prefill, and a class with slack does not take that risk.
    fn has_room(&self, now_us: MonoTime, needed_in_us: Option<Micros>) -> bool {
        match self.role {
            Role::Decode => {
                let likely = needed_in_us.map_or(0, |needed_in_us| self.ending_by(now_us + needed_in_us));
                self.held_len() < self.slots_total as usize + likely
            }
            Role::Prefill => {
                let turns = self.turns().count();
                let ready = self
                    .held
                    .values()
                    .filter(|held| held.phase == GrantPhase::Ready)
                    .count();
                ready < self.settings.ready_max
                    && (turns == 0
                        || (turns < self.settings.prefill_turns_max
                            && self.ahead_us(now_us) < self.settings.prefill_ahead_us))
            }
        }
    }

    fn ending_by(&self, at_us: MonoTime) -> usize {
        let ending = |held: &&Held| held.phase == GrantPhase::Moved && held.phase_us + held.work_us <= at_us;
        self.held.values().filter(ending).count()
    }

    fn turns(&self) -> impl Iterator<Item = &Held> {
        self.held
            .values()
            .filter(|held| held.phase <= GrantPhase::Running)
    }

    /// Work sent to a prefill server and not yet done. Work that overran its estimate is expected to take as long
    /// again: a server that hangs would look idle otherwise, and draw the whole queue.
    fn backlog_us(&self, now_us: MonoTime) -> Micros {
        if self.role == Role::Decode {
            return Micros::ZERO;
        }
        let running = self.turns().filter(|held| held.phase == GrantPhase::Running);
        let (mut running_us, mut first_us) = (0, None);
        for held in running {
            running_us += held.work_us.0;
            first_us = Some(first_us.map_or(held.phase_us, |first: MonoTime| first.min(held.phase_us)));
        }
        let spent_us = first_us.map_or(0, |first_us| now_us.since(first_us.max(self.last_moved_us)).0);
        Micros(running_us.abs_diff(spent_us))
    }

    /// Work of turns that still wait for their slots: of all, or only of those granted a moment ago, which
    /// will start at once if their slot is free.
    fn reserved_us(&self, now_us: MonoTime, only_fresh: bool) -> Micros {
        let grace_us = self.settings.slot_grace_us;
        let reserved = self.turns().filter(|held| {
            held.phase == GrantPhase::Reserved && (!only_fresh || now_us < held.granted_us + grace_us)
        });
        Micros(reserved.map(|held| held.work_us.0).sum())
    }

    /// Work that the server has or will have in a moment. A turn whose slot is not to be had at once does not
    /// count: the server would idle beside it, and a request of another partner wait for nothing.
    fn ahead_us(&self, now_us: MonoTime) -> Micros {
        self.backlog_us(now_us) + self.reserved_us(now_us, true)
    }

    fn room_at(&self, now_us: MonoTime) -> MonoTime {
        let left_us = self
            .ahead_us(now_us)
            .saturating_sub(self.settings.prefill_ahead_us);
        now_us + Micros(left_us.0.max(MIN_WAIT_US))
    }

    /// Share of the link for one more transfer, or `None` while too many share it: a transfer that crawls
    /// outlasts the prefill result at its source.
    fn free_rate(&self) -> Option<BytesPerSecond> {
        let moving = self.held.values().filter(|held| held.phase == GrantPhase::Moving);
        let used = moving.map(|held| held.rate_bytes_per_s.0).sum::<u64>();
        let free = self.link_bytes_per_s.0.saturating_sub(used);
        let smallest = self.link_bytes_per_s.0 / self.settings.link_parts_max.max(1);
        let rate = (free / self.settings.link_divisor.max(1)).max(smallest);
        (self.link_bytes_per_s.0 == 0 || rate <= free).then_some(BytesPerSecond(rate))
    }

    fn started(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self
            .held
            .get_mut(&request_id)
            .filter(|held| held.phase == GrantPhase::Reserved)
        {
            held.phase = GrantPhase::Running;
            held.phase_us = now_us;
        }
    }

    fn ready(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        work_us: Micros,
        work_tokens: Tokens,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(held) = self.held.get_mut(&request_id).filter(|held| held.ask == ask) else {
            return;
        };
        held.expires_us = now_us + self.settings.grant_ttl_ms;
        if held.phase == GrantPhase::Moving {
            // The confirmation was lost on the way and the daemon asks again.
            let to = held.home.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
        if held.phase == GrantPhase::Ready {
            // It waits for the link or its slot. To hear so tells the daemon that its watcher lives.
            let home = held.home.clone();
            self.queued(now_us, &home, request_id, ask, actions);
            return;
        }
        if held.phase > GrantPhase::Running {
            return;
        }
        held.phase = GrantPhase::Ready;
        held.phase_us = now_us;
        if self.role == Role::Prefill {
            self.prefill_ended(now_us, work_us, work_tokens);
        }
    }

    fn prefill_ended(&mut self, now_us: MonoTime, work_us: Micros, work_tokens: Tokens) {
        self.healthy();
        // The server reads one prompt after the other: the time since the one before bounds what this one
        // took, and leaves out its wait behind it.
        let previous_us = std::mem::replace(&mut self.last_moved_us, now_us);
        let service_us = work_us.0.min(now_us.since(previous_us).0);
        if work_tokens.0 >= MIN_OBSERVED_TOKENS {
            self.observe_speed(Micros(service_us / work_tokens.0));
        }
    }

    fn moved(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self.held.get_mut(&request_id) {
            held.phase = GrantPhase::Moved;
            held.phase_us = now_us;
            held.expires_us = now_us + self.settings.grant_ttl_ms;
        }
    }

    fn observe_speed(&mut self, token_us: Micros) {
        if token_us == Micros::ZERO {
            return;
        }
        let seen = token_us.0 as f64;
        self.token_us = if self.observed {
            self.token_us + SPEED_WEIGHT * (seen - self.token_us)
        } else {
            seen
        };
        self.observed = true;
    }

    fn release(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        outcome: GrantOutcome,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(held) = self.held.remove_entry(&request_id) else {
            return;
        };
        let (id, held) = held;
        if held.ask != ask {
            self.held.insert(id, held);
            return;
        }
        self.released.insert(request_id, now_us);
        if self.trial == Some(request_id) {
            self.trial = None;
        }
        match outcome {
            GrantOutcome::Done => self.healthy(),
            GrantOutcome::Unused => self.queue.refund(&held.partner, held.charge_us),
            GrantOutcome::TimedOut | GrantOutcome::Failed => self.strike(now_us, actions),
            GrantOutcome::Abandoned => {}
        }
    }

    fn healthy(&mut self) {
        self.trial = None;
        self.strikes = 0;
        self.closed_until_us = None;
        self.reopen_ms = self.settings.reopen_ms;
    }

    /// Counts a timeout against the server. Harm prevented: a server that takes requests and never answers
    /// looks the least loaded and draws all work; a health check that it answers does not show it. After a
    /// while a single request tries it; only its success opens the server again.
    fn strike(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.strikes += 1;
        if self.strikes < self.settings.strikes_max {
            return;
        }
        self.counters.closed += 1;
        self.closed_until_us = Some(now_us + self.reopen_ms);
        self.reopen_ms = Millis((self.reopen_ms.0 * 2).min(self.settings.reopen_max_ms.0));
        // One more timeout after the trial closes it again.
        self.strikes = self.settings.strikes_max - 1;
        self.deny_all(now_us, DenyReason::Unhealthy, actions);
    }

    fn renew(&mut self, now_us: MonoTime, from: &HostId, incarnation: Incarnation, list: Vec<HeldGrant>) {
        let expires_us = now_us + self.settings.grant_ttl_ms;
        let listed = list.iter().map(|grant| grant.request_id).collect::<HashSet<_>>();
        // A release was lost: the daemon no longer lists a grant that is old enough for it to know of.
        self.held.retain(|id, held| {
            id.incarnation != incarnation
                || listed.contains(id)
                || now_us < held.granted_us + RENEW_CROSSING_MS
        });
        for grant in list {
            self.observe_speed(grant.token_us);
            self.foreign.remove(&grant.request_id);
            if let Some(held) = self.held.get_mut(&grant.request_id) {
                held.expires_us = expires_us;
                held.phase = held.phase.max(grant.phase);
                continue;
            }
            self.take_over(now_us, from, grant);
        }
        if self.unregistered.remove(&incarnation) {
            self.end_quiet(now_us);
        }
    }

    fn take_over(&mut self, now_us: MonoTime, from: &HostId, grant: HeldGrant) {
        if self.released.contains_key(&grant.request_id) {
            return;
        }
        self.counters.taken_over += 1;
        if self.role == Role::Decode && self.held_len() >= self.slots_total as usize {
            // Two watchers granted at the same time. The engine refuses the one too many.
            self.counters.over_committed += 1;
        }
        let held = Held {
            home: from.clone(),
            ask: grant.ask,
            partner: grant.partner,
            charge_us: Micros::ZERO,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: self.work_us(grant.work_tokens),
            rate_bytes_per_s: grant.rate_bytes_per_s,
            phase: grant.phase,
            phase_us: now_us,
            sure: true,
            orphan: false,
        };
        self.held.insert(grant.request_id, held);
    }

    fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        let server = &self.server;
        let counters = &mut self.counters;
        for (&request_id, held) in &mut self.held {
            if held.orphan || now_us < held.expires_us {
                continue;
            }
            if self.trial == Some(request_id) {
                self.trial = None;
            }
            held.orphan = true;
            counters.expired += 1;
            actions.push(LedgerAction::Cancel {
                server: server.clone(),
                request_id,
            });
        }
        if self.role == Role::Prefill {
            self.held.retain(|_, held| !held.orphan);
        }
    }

    fn work_us(&self, tokens: Tokens) -> Micros {
        Micros(round_us(self.token_us * tokens.0 as f64))
    }

    /// State for a reply.
    pub fn load(&self, now_us: MonoTime) -> ServerLoad {
        let closed = self.closed_until_us.is_some() || self.is_quiet(now_us);
        let wait_us = match self.role {
            Role::Prefill => {
                Micros(round_us(self.queue.work_us().0 as f64 * self.pace.value())) + self.backlog_us(now_us)
            }
            Role::Decode => Micros(self.queue.len() as u64 * round_us(self.token_us)),
        };
        let free = match self.role {
            Role::Prefill => u32::from(self.has_room(now_us, None)),
            Role::Decode => self
                .slots_total
                .saturating_sub(u32::try_from(self.held_len()).unwrap_or(u32::MAX)),
        };
        let token_us = if self.observed {
            Micros(round_us(self.token_us))
        } else {
            Micros::ZERO
        };
        ServerLoad {
            wait_us,
            free,
            token_us,
            open: !closed && !self.leaving,
        }
    }
}

fn confirm_message(server: &BackendServerId, request_id: RequestId, held: &Held) -> SlotMessage {
    SlotMessage::Confirm {
        server: server.clone(),
        request_id,
        ask: held.ask,
        rate_bytes_per_s: held.rate_bytes_per_s,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a span of microseconds that is never negative"
)]
fn round_us(span_us: f64) -> u64 {
    span_us.max(0.0) as u64
}
