//! State of one engine as known by one daemon.

use std::collections::HashMap;

use super::events::{EngineUsage, ListedEngine, Role, VersionBinding};
use super::memory::{Growth, headroom, peak};
use super::peers::{NodeHash, PeerIndex};
use super::speeds::SpeedFactors;
use super::stats::WorkloadStats;
use crate::ids::{DataCentreId, RequestId, SoftwareVersion};
use crate::sched::InstanceSettings;
use crate::sched::instance::Instance;
use crate::units::{Millis, MonoTime, Tokens};

/// How long an engine that refused for lack of room gets no new requests. An answer takes longer than this to
/// decode, and each refusal is charged to the retry budget.
const FULL_BACKOFF_MS: Millis = Millis(150);

#[derive(Clone, Debug)]
pub(super) struct Engine {
    /// Liveness, drain state and health.
    pub(super) instance: Instance,
    pub(super) role: Role,
    /// Version of its software.
    pub(super) version: SoftwareVersion,
    pub(super) data_centre: DataCentreId,
    /// Whether it is in the daemon's data centre.
    pub(super) is_local: bool,
    /// Its speeds relative to the mean of the pool.
    pub(super) speed: SpeedFactors,
    /// Prompt tokens that it is prefilling for this daemon.
    pub(super) prefill_tokens: Tokens,
    /// Memory taken by this daemon's requests, and as of when.
    held: HashMap<RequestId, (MonoTime, Growth)>,
    /// What the other daemons use of it.
    peer_usage: PeerUsage,
    /// When another daemon last reported that it prefills a prompt for it.
    pub(super) peer_prefill_us: Option<MonoTime>,
    /// Decides which daemon gets the engine when several want it.
    pub(super) node_hash: NodeHash,
    full_until_us: MonoTime,
    /// When, as a decode engine, it last prefilled a prompt itself for this daemon: start and end.
    pub(super) last_own_prefill_us: Option<(MonoTime, MonoTime)>,
    /// Until when it changes its role and accepts no requests.
    pub(super) role_change_until_us: MonoTime,
    /// When a request that this daemon knows of was last placed there.
    pub(super) last_placed_us: Option<MonoTime>,
    /// When this daemon last ordered it to change its role.
    pub(super) last_ordered_us: Option<MonoTime>,
}

impl Engine {
    pub(super) fn new(settings: InstanceSettings, listed: ListedEngine) -> Self {
        Self {
            role: listed.role,
            version: listed.version,
            data_centre: listed.data_centre,
            is_local: listed.is_local,
            node_hash: NodeHash::of_engine(&listed.server),
            instance: Instance::new(settings, listed.server, listed.slots, listed.leaving),
            speed: SpeedFactors::default(),
            prefill_tokens: Tokens::ZERO,
            held: HashMap::new(),
            peer_usage: PeerUsage::default(),
            peer_prefill_us: None,
            full_until_us: MonoTime::default(),
            last_own_prefill_us: None,
            role_change_until_us: MonoTime::default(),
            last_placed_us: None,
            last_ordered_us: None,
        }
    }

    /// Applies an entry of the server list. The role is not taken while the engine changes it, since the list
    /// lags behind.
    pub(super) fn relist(&mut self, now_us: MonoTime, listed: &ListedEngine) {
        if !self.is_changing_role(now_us) {
            self.role = listed.role;
        }
        self.version.clone_from(&listed.version);
        self.instance.relist(listed.slots, listed.leaving);
    }

    /// Replaces what another daemon uses of this engine; `None` clears it.
    pub(super) fn set_peer_usage(&mut self, now_us: MonoTime, peer: PeerIndex, usage: Option<EngineUsage>) {
        if usage.as_ref().is_some_and(|usage| usage.prefill_tokens > Tokens::ZERO) {
            self.peer_prefill_us = Some(now_us);
        }
        if usage.as_ref().is_some_and(|usage| usage.running > self.peer_running(peer)) {
            self.last_placed_us = Some(now_us);
        }
        self.peer_usage.replace(peer, usage.map(|usage| (now_us, usage)));
    }

    /// Memory of each request of all daemons, which grows at `tokens_per_ms` on an engine of mean speed.
    pub(super) fn growths(&self, now_us: MonoTime, tokens_per_ms: f64) -> impl Iterator<Item = Growth> {
        let own = self.held.values().copied();
        let tokens_per_ms = tokens_per_ms * self.speed.decode;
        own.chain(self.peer_usage.growths())
            .map(move |(as_of_us, growth)| growth.after(now_us.since(as_of_us), tokens_per_ms))
    }

    /// Largest memory that the requests of all daemons may take, including `more` if given: the expected peak
    /// plus headroom for answers that grow longer.
    pub(super) fn peak(&self, now_us: MonoTime, stats: &WorkloadStats, more: Option<Growth>) -> Tokens {
        let growths: Vec<Growth> = self.growths(now_us, stats.decode_rate()).chain(more).collect();
        peak(growths.iter().copied()) + headroom(growths.into_iter(), stats.relative_error())
    }

    /// Memory that the requests of all daemons will have taken when they end.
    pub(super) fn final_tokens(&self) -> Tokens {
        self.held.values().fold(self.peer_usage.load.final_tokens, |sum, (_, growth)| sum + growth.end)
    }

    /// Prompt tokens that it is prefilling for all daemons.
    pub(super) fn prefill_backlog(&self) -> Tokens {
        self.prefill_tokens + self.peer_usage.load.prefill_tokens
    }

    /// Number of running requests of all daemons.
    pub(super) fn running(&self) -> u32 {
        self.instance.in_flight() + self.peer_usage.load.running
    }

    /// Whether it is a listed decode engine at which a request with this binding may run.
    pub(super) fn decodes_for(&self, now_us: MonoTime, binding: &VersionBinding) -> bool {
        self.role == Role::Decode && self.instance.is_listed_live(now_us) && binding.allows(&self.version)
    }

    /// Whether it accepts requests to decode. An engine that was set aside does as soon as it may be tried
    /// again: if all of them are set aside, requests still have to be admitted to find out that they are
    /// back.
    pub(super) fn accepts_decodes(&self, now_us: MonoTime) -> bool {
        self.role == Role::Decode
            && self.instance.is_listed_live(now_us)
            && !self.is_changing_role(now_us)
            && (!self.instance.is_ejected() || self.instance.is_probe_due(now_us, true))
    }

    /// Whether it accepts requests and has a free slot.
    pub(super) fn has_slot(&self, now_us: MonoTime) -> bool {
        !self.is_changing_role(now_us)
            && self.instance.has_room(now_us)
            && self.running() < self.instance.limit(now_us)
    }

    /// What this daemon uses of it; `None` if nothing.
    pub(super) fn usage(&self, now_us: MonoTime, tokens_per_ms: f64) -> Option<EngineUsage> {
        let running = self.instance.in_flight();
        let tokens_per_ms = tokens_per_ms * self.speed.decode;
        let grown =
            |(as_of_us, growth): &(MonoTime, Growth)| growth.after(now_us.since(*as_of_us), tokens_per_ms);
        (running > 0 || !self.held.is_empty() || self.prefill_tokens > Tokens::ZERO).then(|| EngineUsage {
            server: self.instance.server().clone(),
            growths: self.held.values().map(grown).collect(),
            prefill_tokens: self.prefill_tokens,
            running,
        })
    }

    /// Number of another daemon's requests running there.
    pub(super) fn peer_running(&self, peer: PeerIndex) -> u32 {
        let known = self.peer_usage.list.iter().find(|(known, ..)| *known == peer);
        known.map_or(0, |(_, _, usage)| usage.running)
    }

    /// What another daemon uses of it, as of now; `None` if nothing.
    pub(super) fn peer_usage(
        &self,
        now_us: MonoTime,
        peer: PeerIndex,
        tokens_per_ms: f64,
    ) -> Option<EngineUsage> {
        let (_, reported_us, usage) = self.peer_usage.list.iter().find(|(known, ..)| *known == peer)?;
        let span_us = now_us.since(*reported_us);
        let grown = |growth: &Growth| growth.after(span_us, tokens_per_ms * self.speed.decode);
        Some(EngineUsage { growths: usage.growths.iter().map(grown).collect(), ..usage.clone() })
    }

    pub(super) fn hold(&mut self, now_us: MonoTime, request_id: RequestId, growth: Growth) {
        self.held.insert(request_id, (now_us, growth));
        self.last_placed_us = Some(now_us);
    }

    pub(super) fn release(&mut self, request_id: RequestId) {
        self.held.remove(&request_id);
    }

    /// The answer begins: its memory grows from now on.
    pub(super) fn start_growth(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some((as_of_us, growth)) =
            self.held.get_mut(&request_id).filter(|(_, growth)| !growth.is_growing)
        {
            *as_of_us = now_us;
            growth.is_growing = true;
        }
    }

    /// The answer has grown to `now` tokens.
    pub(super) fn set_memory(&mut self, now_us: MonoTime, request_id: RequestId, now: Tokens) {
        if let Some((as_of_us, growth)) = self.held.get_mut(&request_id) {
            *as_of_us = now_us;
            *growth = Growth { now, is_growing: true, ..*growth };
        }
    }

    pub(super) fn add_prefill(&mut self, tokens: Tokens) {
        self.prefill_tokens += tokens;
    }

    pub(super) fn remove_prefill(&mut self, tokens: Tokens) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(tokens);
    }

    pub(super) fn mark_full(&mut self, now_us: MonoTime) {
        self.full_until_us = now_us + FULL_BACKOFF_MS;
    }

    /// Marks it as changing to `role` until `until_us`.
    pub(super) fn start_role_change(&mut self, until_us: MonoTime, role: Role) {
        self.role_change_until_us = until_us;
        self.role = role;
    }

    pub(super) fn is_changing_role(&self, now_us: MonoTime) -> bool {
        now_us < self.role_change_until_us
    }

    /// Whether it has recently refused a request for lack of room.
    pub(super) fn is_full(&self, now_us: MonoTime) -> bool {
        now_us < self.full_until_us
    }
}

/// Totals of what the other daemons use of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Memory when their requests end.
    final_tokens: Tokens,
    /// Prompt tokens being prefilled.
    prefill_tokens: Tokens,
    running: u32,
}

impl Load {
    fn add(&mut self, usage: &EngineUsage) {
        self.final_tokens += usage.final_tokens();
        self.prefill_tokens += usage.prefill_tokens;
        self.running += usage.running;
    }

    fn remove(&mut self, usage: &EngineUsage) {
        self.final_tokens -= usage.final_tokens();
        self.prefill_tokens -= usage.prefill_tokens;
        self.running = self.running.saturating_sub(usage.running);
    }
}

/// What the other daemons use of one engine, and when each reported it.
#[derive(Clone, Debug, Default)]
struct PeerUsage {
    list: Vec<(PeerIndex, MonoTime, EngineUsage)>,
    load: Load,
}

impl PeerUsage {
    fn replace(&mut self, peer: PeerIndex, reported: Option<(MonoTime, EngineUsage)>) {
        if let Some(position) = self.list.iter().position(|(known, ..)| *known == peer) {
            let (_, _, before) = self.list.swap_remove(position);
            self.load.remove(&before);
        }
        if let Some((reported_us, usage)) = reported {
            self.load.add(&usage);
            self.list.push((peer, reported_us, usage));
        }
    }

    fn growths(&self) -> impl Iterator<Item = (MonoTime, Growth)> {
        self.list
            .iter()
            .flat_map(|(_, reported_us, usage)| usage.growths.iter().map(|growth| (*reported_us, *growth)))
    }
}
