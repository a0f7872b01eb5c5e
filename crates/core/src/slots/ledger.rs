//! Ledger of one server's grants, kept by the daemon that watches the server.

mod grants;
mod progress;
mod renewal;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::ids::{BackendServerId, HostId, Incarnation, PartnerId, RequestId};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::drain_ratio::DrainRatio;
use super::fair_queue::{FairQueue, QueueSettings, Waiting};
use super::{DenyReason, GrantId, GrantOutcome, GrantPhase, GrantRequest, Role, ServerLoad, SlotMessage};

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Limits and order of the waiting grant requests.
    pub queue: QueueSettings,
    /// Lifetime of a grant that is not renewed. Several renewal periods, so that two lost messages do no
    /// harm; short, because the slots of a daemon that died stay unused for this time.
    pub grant_ttl_ms: Millis,
    /// Work granted ahead at a prefill server. Covers the round trips between grant and start, so that the
    /// server is never idle; more would queue short prompts behind long ones already granted, and hold slots
    /// for prompts that are not being processed.
    pub prefill_ahead_us: Micros,
    /// Time in which a turn usually gets its slot: two round trips and a queue of messages.
    pub slot_grace_us: Micros,
    /// Maximum number of outstanding grants at a prefill server, whatever their estimated work: an estimate
    /// that is too low must not send a whole queue to the engine.
    pub prefill_turns_max: usize,
    /// Maximum number of results at a prefill server that wait for the link. With more, prompts are processed
    /// faster than results leave, and the last results would be evicted.
    pub ready_max: usize,
    /// Divisor of the link's free rate that gives the share of a new transfer, so that a first transfer is
    /// fast and a later one still gets some.
    pub link_divisor: u64,
    /// Divisor of the link's rate that gives the smallest share worth a grant.
    pub link_parts_max: u64,
    /// Prefill time per token until one was observed.
    pub prefill_token_us: Micros,
    /// Decode time per token until one was observed.
    pub decode_token_us: Micros,
    /// Number of consecutive timeouts that closes a server. Two, because one can be a lost message.
    pub timeouts_max: u32,
    /// First period for which a closed server gets no grants; doubled with each failed probe.
    pub reopen_ms: Millis,
    /// Maximum of that period; a server that recovered is probed within it.
    pub reopen_max_ms: Millis,
    /// Time for which a released request may still appear in load reports, which lag.
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
            timeouts_max: 2,
            reopen_ms: Millis(1_000),
            reopen_max_ms: Millis(30_000),
            report_lag_ms: Millis(2_000),
        }
    }
}

/// Action for the watching daemon to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a message to the daemon on `to`, which may be this one.
    Send {
        /// Host of the receiving daemon.
        to: HostId,
        /// Message to send.
        message: SlotMessage,
    },
    /// Release the engine memory of a request whose daemon no longer renews its grant.
    Cancel {
        /// Server that holds the memory.
        server: BackendServerId,
        /// Request whose memory is released.
        request_id: RequestId,
    },
    /// Call [`Ledger::tick`] at this time.
    Wake {
        /// Time of the call.
        at_us: MonoTime,
    },
}

/// Event counters of a ledger since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounters {
    /// Grants given.
    pub grants: u64,
    /// Grants that expired without renewal.
    pub expired: u64,
    /// Grants taken over from an earlier watcher.
    pub taken_over: u64,
    /// Grants beyond the server's slots, found when a grant was taken over.
    pub over_committed: u64,
    /// Asks denied because the partner's share could not serve them in time.
    pub denied_target: u64,
    /// Asks denied because the partner's queue was full.
    pub denied_full: u64,
    /// Times that the server was closed after consecutive timeouts.
    pub closed: u64,
}

/// Load report of the server, reduced to what the ledger needs.
#[derive(Clone, Debug, Default)]
pub struct HeldReport {
    /// Age of the report.
    pub as_of_us: Micros,
    /// Requests that hold a slot.
    pub held: Vec<RequestId>,
}

/// Origin of a waiting grant request.
#[derive(Clone, Debug)]
struct GrantRequestOrigin {
    requester: HostId,
    grant_id: GrantId,
    needed_in_us: Option<Micros>,
    wait_max_us: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Held {
    requester: HostId,
    grant_id: GrantId,
    partner: PartnerId,
    charge_us: Micros,
    granted_us: MonoTime,
    expires_us: MonoTime,
    work_us: Micros,
    rate_bytes_per_s: BytesPerSecond,
    phase: GrantPhase,
    phase_us: MonoTime,
    /// Whether the slot is guaranteed; otherwise it becomes so when another grant ends.
    guaranteed: bool,
    orphan: bool,
}

/// Ledger of one server's grants.
///
/// With a nearly full server and grant requests from all daemons, it prevents more requests than slots (the
/// engine refuses the import and the prefill is wasted) and slots that are idle while requests wait. It counts
/// its own grants rather than the server's load reports, which lag; reports only add what it cannot know, the
/// grants left from before it became the watcher.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    server: BackendServerId,
    role: Role,
    slots_total: u32,
    link_bytes_per_s: BytesPerSecond,
    queue: FairQueue<GrantRequestOrigin>,
    held: BTreeMap<RequestId, Held>,
    unaccounted: HashSet<RequestId>,
    released: HashMap<RequestId, MonoTime>,
    token_us: f64,
    observed: bool,
    drain_ratio: DrainRatio,
    wake_us: Option<MonoTime>,
    last_prefill_end_us: MonoTime,
    since_us: MonoTime,
    takeover_until_us: MonoTime,
    unregistered: HashSet<Incarnation>,
    report_seen: bool,
    leaving: bool,
    timeouts: u32,
    closed_until_us: Option<MonoTime>,
    probe: Option<RequestId>,
    reopen_ms: Millis,
    counters: LedgerCounters,
}

/// Weight of a new speed sample: about four samples move the average, one outlier does not.
const SPEED_WEIGHT: f64 = 0.3;
/// Minimum delay of a wake-up for room at a prefill server, so that it does not wake continuously.
const MIN_WAKE_DELAY_US: u64 = 1_000;
/// Shortest prompt that counts as a speed sample; shorter ones are mostly fixed cost.
const MIN_OBSERVED_TOKENS: u64 = 64;
/// Time within which a grant may be missing from a `Renew` list that was sent before the grant arrived.
const RENEW_CROSSING_MS: Millis = Millis(250);

impl Ledger {
    /// Creates the ledger of a server that this daemon starts to watch. `other_daemons` are the incarnations
    /// of the daemons that may hold grants of an earlier watcher; empty if there was none.
    pub fn new(
        now_us: MonoTime,
        settings: LedgerSettings,
        server: BackendServerId,
        role: Role,
        slots_total: u32,
        link_bytes_per_s: BytesPerSecond,
        other_daemons: &[Incarnation],
    ) -> Self {
        let token_us = match role {
            Role::Prefill => settings.prefill_token_us,
            Role::Decode => settings.decode_token_us,
        };
        let takeover_ms = if other_daemons.is_empty() { Millis(0) } else { settings.grant_ttl_ms };
        Self {
            settings,
            server,
            role,
            slots_total,
            link_bytes_per_s,
            queue: FairQueue::new(settings.queue),
            held: BTreeMap::new(),
            unaccounted: HashSet::new(),
            released: HashMap::new(),
            token_us: token_us.0 as f64,
            observed: false,
            drain_ratio: DrainRatio::new(),
            wake_us: None,
            last_prefill_end_us: now_us,
            since_us: now_us,
            takeover_until_us: now_us + takeover_ms,
            unregistered: other_daemons.iter().copied().collect(),
            report_seen: false,
            leaving: false,
            timeouts: 0,
            closed_until_us: None,
            probe: None,
            reopen_ms: settings.reopen_ms,
            counters: LedgerCounters::default(),
        }
    }

    /// Role of the server.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Event counters since creation.
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Number of slots or turns in use, including those known only from load reports.
    pub fn held_len(&self) -> usize {
        self.held.len() + self.unaccounted.len()
    }

    /// Number of waiting grant requests.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is granted because grants of an earlier watcher may still be in use.
    pub fn is_taking_over(&self, now_us: MonoTime) -> bool {
        now_us < self.takeover_until_us
    }

    /// Handles a message from the daemon on `from`.
    pub fn handle(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        message: SlotMessage,
        actions: &mut Vec<LedgerAction>,
    ) {
        match message {
            SlotMessage::Request(grant_request) => self.add_request(now_us, from, grant_request, actions),
            SlotMessage::Withdraw { request_id, grant_id, .. } => {
                if let Some(entry) = self.queue.remove(request_id) {
                    self.record_drain(now_us, &entry);
                }
                self.release(now_us, request_id, grant_id, GrantOutcome::Unused, actions);
            }
            SlotMessage::Started { request_id, .. } => self.prompt_started(now_us, request_id),
            SlotMessage::Ready { request_id, grant_id, work_us, work_tokens, .. } => {
                self.prompt_ready(now_us, request_id, grant_id, work_us, work_tokens, actions);
            }
            SlotMessage::Transferred { request_id, .. } => self.transfer_finished(now_us, request_id),
            SlotMessage::Release { request_id, grant_id, outcome, .. } => {
                self.release(now_us, request_id, grant_id, outcome, actions);
            }
            SlotMessage::Renew { held, .. } => self.renew(now_us, from, incarnation, held),
            SlotMessage::Queued { .. }
            | SlotMessage::Grant { .. }
            | SlotMessage::Confirm { .. }
            | SlotMessage::Deny { .. } => {}
        }
        self.grant_waiting(now_us, actions);
    }

    /// Expires grants, lets a closed server be probed, and grants what became free.
    pub fn tick(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.expire(now_us, actions);
        self.grant_waiting(now_us, actions);
    }

    /// Sets whether the server is leaving; waiting grant requests are denied if it is.
    pub fn set_leaving(&mut self, now_us: MonoTime, leaving: bool, actions: &mut Vec<LedgerAction>) {
        self.leaving = leaving;
        if leaving {
            self.deny_all(now_us, DenyReason::Leaving, actions);
        }
    }

    /// Adopts the server's slots and link rate from the host list.
    pub fn resize(&mut self, slots_total: u32, link_bytes_per_s: BytesPerSecond) {
        self.slots_total = slots_total;
        self.link_bytes_per_s = link_bytes_per_s;
    }

    fn add_request(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        grant_request: GrantRequest,
        actions: &mut Vec<LedgerAction>,
    ) {
        let request_id = grant_request.request_id;
        if let Some(held) = self.held.get(&request_id) {
            // The grant was lost on the way, and the daemon asks again.
            if held.grant_id == grant_request.grant_id {
                let message = self.grant_message(now_us, request_id, held);
                actions.push(LedgerAction::Send { to: from.clone(), message });
            }
            return;
        }
        // A waiting grant request is repeated periodically and evaluated again: if it can no longer be served
        // in time, an early refusal is better for its caller than a late answer. Its age is kept.
        let mut entry = self.waiting_entry(now_us, from, grant_request);
        if let Some(earlier) = self.queue.remove(request_id) {
            entry.since_us = earlier.since_us;
        }
        if let Some((reason, wait_us)) = self.refusal(now_us, &entry) {
            self.deny(now_us, &entry, reason, wait_us, actions);
            return;
        }
        let grant_id = entry.item.grant_id;
        self.queue.push(entry);
        self.grant_waiting(now_us, actions);
        if self.queue.get(request_id).is_some() {
            self.drain_ratio.start_busy(now_us);
            self.send_queued(now_us, from, request_id, grant_id, actions);
        }
    }

    fn send_queued(
        &self,
        now_us: MonoTime,
        from: &HostId,
        request_id: RequestId,
        grant_id: GrantId,
        actions: &mut Vec<LedgerAction>,
    ) {
        let (server, load) = (self.server.clone(), self.load(now_us));
        let message = SlotMessage::Queued { server, request_id, grant_id, load };
        actions.push(LedgerAction::Send { to: from.clone(), message });
    }

    fn waiting_entry(
        &self,
        now_us: MonoTime,
        from: &HostId,
        grant_request: GrantRequest,
    ) -> Waiting<GrantRequestOrigin> {
        Waiting {
            request_id: grant_request.request_id,
            partner: grant_request.partner,
            since_us: now_us,
            latest_us: grant_request.slack_us.map(|slack_us| now_us + slack_us),
            work_us: self.work_us(grant_request.work_tokens),
            charge_us: grant_request.charge_us,
            item: GrantRequestOrigin {
                requester: from.clone(),
                grant_id: grant_request.grant_id,
                needed_in_us: grant_request.needed_in_us,
                wait_max_us: grant_request.wait_max_us,
            },
        }
    }

    /// Decides whether a grant request is denied before it is queued.
    ///
    /// With more grant requests than the server can serve, a queue in which every grant request waits past its
    /// target makes all work late. A grant request that its partner's share cannot serve in time is denied at
    /// once, before any prefill; one whose target is missed already is still to be answered, and accepted if
    /// its wait is within the time for which its caller waits.
    fn refusal(&self, now_us: MonoTime, entry: &Waiting<GrantRequestOrigin>) -> Option<(DenyReason, Micros)> {
        if self.leaving {
            return Some((DenyReason::Leaving, Micros::ZERO));
        }
        if let Some(until_us) = self.closed_until_us {
            let busy = now_us < until_us || self.probe.is_some() || !self.queue.is_empty();
            return Some((DenyReason::Unhealthy, until_us.since(now_us))).filter(|_| busy);
        }
        let takeover_us = self.takeover_until_us.since(now_us);
        if takeover_us > Micros::ZERO {
            // Independent of the load: the daemon should try other servers, and retry here if all are in this
            // state.
            return Some((DenyReason::Unhealthy, takeover_us));
        }
        let late = entry.latest_us.is_none();
        let forecast = self.queue.forecast(now_us, entry, self.drain_ratio.value());
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
            None => entry.item.wait_max_us.unwrap_or_else(|| {
                let late_wait_max_us = Micros::from(self.settings.queue.late_wait_max_ms);
                late_wait_max_us.saturating_sub(now_us.since(entry.since_us))
            }),
        };
        if wait_us > limit_us || forecast.delays_earlier {
            return Some((DenyReason::WouldMissTarget, wait_us.saturating_sub(limit_us)));
        }
        None
    }

    fn deny(
        &mut self,
        now_us: MonoTime,
        entry: &Waiting<GrantRequestOrigin>,
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
            grant_id: entry.item.grant_id,
            load: self.load(now_us),
            reason,
            retry_after_ms: retry_after_us.to_millis_ceil(),
        };
        actions.push(LedgerAction::Send { to: entry.item.requester.clone(), message });
    }

    pub(super) fn deny_all(&mut self, now_us: MonoTime, reason: DenyReason, actions: &mut Vec<LedgerAction>) {
        for entry in self.queue.drain() {
            self.deny(now_us, &entry, reason, Micros::ZERO, actions);
        }
    }

    fn work_us(&self, tokens: Tokens) -> Micros {
        Micros(round_us(self.token_us * tokens.0 as f64))
    }

    /// State of the server to send with a reply.
    pub fn load(&self, now_us: MonoTime) -> ServerLoad {
        let closed = self.closed_until_us.is_some() || self.is_taking_over(now_us);
        let wait_us = match self.role {
            Role::Prefill => {
                Micros(round_us(self.queue.work_us().0 as f64 * self.drain_ratio.value()))
                    + self.backlog_us(now_us)
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
        grant_id: held.grant_id,
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
