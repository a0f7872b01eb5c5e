//! The exact account of one server's grants, kept by the daemon that watches it.

mod grants;
mod progress;
mod renewal;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::ids::{BackendServerId, HostId, Incarnation, PartnerId, RequestId};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::fair_queue::{FairQueue, QueueSettings, Waiting};
use super::pace::Pace;
use super::{Ask, AskId, DenyReason, GrantOutcome, GrantPhase, Role, ServerLoad, SlotMessage};

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
        let quiet_ms = if others.is_empty() { Millis(0) } else { settings.grant_ttl_ms };
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
            SlotMessage::Ready { request_id, ask, work_us, work_tokens, .. } => {
                self.ready(now_us, request_id, ask, work_us, work_tokens, actions);
            }
            SlotMessage::Moved { request_id, .. } => self.moved(now_us, request_id),
            SlotMessage::Release { request_id, ask, outcome, .. } => {
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

    fn ask(&mut self, now_us: MonoTime, from: &HostId, ask: Ask, actions: &mut Vec<LedgerAction>) {
        let request_id = ask.request_id;
        if let Some(held) = self.held.get(&request_id) {
            // The grant was lost on the way and the daemon asks again.
            if held.ask == ask.ask {
                let message = self.grant_message(now_us, request_id, held);
                actions.push(LedgerAction::Send { to: from.clone(), message });
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
        let message = SlotMessage::Queued { server, request_id, ask, load };
        actions.push(LedgerAction::Send { to: from.clone(), message });
    }

    fn waiting(&self, now_us: MonoTime, from: &HostId, ask: Ask) -> Waiting<Asker> {
        Waiting {
            request_id: ask.request_id,
            partner: ask.partner,
            since_us: now_us,
            latest_us: ask.slack_us.map(|slack_us| now_us + slack_us),
            work_us: self.work_us(ask.work_tokens),
            charge_us: ask.charge_us,
            item: Asker { home: from.clone(), ask: ask.ask, needed_in_us: ask.needed_in_us },
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
        actions.push(LedgerAction::Send { to: entry.item.home.clone(), message });
    }

    pub(super) fn deny_all(&mut self, now_us: MonoTime, reason: DenyReason, actions: &mut Vec<LedgerAction>) {
        for entry in self.queue.drain() {
            self.deny(now_us, &entry, reason, Micros::ZERO, actions);
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
            Role::Decode => {
                self.slots_total.saturating_sub(u32::try_from(self.held_len()).unwrap_or(u32::MAX))
            }
        };
        let token_us = if self.observed { Micros(round_us(self.token_us)) } else { Micros::ZERO };
        ServerLoad { wait_us, free, token_us, open: !closed && !self.leaving }
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
