//! Choice of the engines for a request.

use super::EnginePool;
use super::events::{EngineAction, Role, VersionBinding};
use super::memory::Growth;
use super::open_request::{Payment, Stage};
use super::speeds::DecodeRequest;
use crate::ids::RequestId;
use crate::sched::FailureCause;
use crate::units::{Millis, MonoTime, Tokens};

impl EnginePool {
    /// Places queued requests, the most urgent first, as long as there is room.
    pub(super) fn place_waiting(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        self.spill_waiting(now_us, actions);
        let mut blocked = Vec::new();
        while let Some(request_id) = self.most_urgent(now_us, &blocked) {
            if self.place(now_us, request_id, actions) {
                self.waiting.retain(|&waiting| waiting != request_id);
                self.refresh_order(now_us);
                continue;
            }
            // Engines of other versions may still have room for the requests behind it.
            if self.open[&request_id].demand.binding == VersionBinding::Any {
                return;
            }
            blocked.push(request_id);
        }
    }

    /// Interrupted answers go first: half an answer is worthless to its caller. Next, requests that can still
    /// be in time go before late ones: a slot given to a late request makes the next one late as well. Next come
    /// organisations within their share of the memory. Ties are broken by priority, then by arrival.
    fn most_urgent(&self, now_us: MonoTime, blocked: &[RequestId]) -> Option<RequestId> {
        let placeable = |request_id: &&RequestId| {
            !self.open[*request_id].needs_payment() && !blocked.contains(request_id)
        };
        if !self.waiting.iter().any(|request_id| placeable(&request_id)) {
            return None;
        }
        let backlog = self.least_backlog(now_us);
        let key = |request_id: &RequestId| {
            let open = &self.open[request_id];
            (
                !open.has_started,
                self.is_late(now_us, open, backlog),
                self.rank(open),
                open.arrived_us,
                *request_id,
            )
        };
        self.waiting.iter().filter(placeable).min_by_key(|request_id| key(request_id)).copied()
    }

    /// Chooses engines for a request; returns false if there is no room for it.
    fn place(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) -> bool {
        let open = &self.open[&request_id];
        let (growth, failed_at) = (open.growth(), open.failed_at);
        let is_late = !open.has_started && self.is_late(now_us, open, self.least_backlog(now_us));
        let limit = if is_late { self.late_limit() } else { self.memory_limit() };
        let eligible = self.eligible_decode_engines(now_us, growth, limit, failed_at, &open.demand.binding);
        let is_bound = open.demand.binding != VersionBinding::Any;
        let request = DecodeRequest { growth, gap_target_ms: open.demand.gap_target_ms };
        let is_ordered = self.order.is_ranked && !is_bound && self.peers.waiting() > Tokens::ZERO;
        let chosen = if is_ordered {
            self.choose_in_order(now_us, open, is_late, &eligible)
        } else {
            self.choose_decode_engine(now_us, &eligible, is_bound, request)
        };
        let Some(decode_engine) = chosen else {
            return false;
        };
        self.reserve_at(now_us, request_id, decode_engine, actions);
        true
    }

    /// Begins the way of a request to its decode engine.
    pub(super) fn reserve_at(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        decode_engine: usize,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let growth = open.growth();
        open.stage = Stage::Reserving { decode_engine };
        self.engines[decode_engine].hold(now_us, request_id, growth);
        self.engines[decode_engine].instance.start(now_us);
        if self.settings.reserve_ms_max == Millis::ZERO {
            self.start_prefill(now_us, request_id, decode_engine, actions);
            return;
        }
        actions.push(EngineAction::Reserve {
            request_id,
            decode_engine: self.engines[decode_engine].instance.server().clone(),
            tokens: growth.now + Tokens(growth.answer.0 / RESERVED_ANSWER_DIVISOR),
            keep_ms: self.settings.reserve_ms_max,
            timeout_ms: RESERVE_TIMEOUT_MS,
        });
    }

    pub(super) fn reserved(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        if let Some(Stage::Reserving { decode_engine }) = self.open.get(&request_id).map(|open| open.stage) {
            self.start_prefill(now_us, request_id, decode_engine, actions);
        }
    }

    /// Nothing was sent that could run, so another engine is asked without any charge to the retry budget.
    pub(super) fn reserve_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reserving { decode_engine } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        self.undo_placement(now_us, decode_engine, request_id, cause);
        self.requeue(now_us, request_id, actions);
    }

    /// Releases a request that a decode engine did not accept.
    pub(super) fn undo_placement(
        &mut self,
        now_us: MonoTime,
        decode_engine: usize,
        request_id: RequestId,
        cause: FailureCause,
    ) {
        let engine = &mut self.engines[decode_engine];
        engine.release(request_id);
        engine.instance.fail(now_us, cause, true);
        if cause == FailureCause::NoRoom {
            engine.mark_full(now_us);
        }
    }

    /// Starts the prefill for `decode_engine`, or goes on to decoding if the KV cache is still held.
    fn start_prefill(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        decode_engine: usize,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let (prompt_tokens, failed_at, prefilled) =
            (open.demand.prompt_tokens, open.failed_at, open.prefilled);
        let version = self.engines[decode_engine].version.clone();
        let held = prefilled.filter(|&(prefill_engine, prefilled_us)| {
            now_us < prefilled_us + self.settings.hold_ms && self.engines[prefill_engine].version == version
        });
        // A repeated prefill and a repeated decode are charged one each, and so is a refused prefill. If the
        // budget does not cover that, the decode engine prefills the prompt: slower, but free.
        let price = u64::from(open.prefills > 0) + u64::from(open.needs_payment());
        let can_pay = self.budget.can_afford(now_us, price);
        let prefill_engine = match held {
            None if can_pay => {
                let binding = VersionBinding::Only(version);
                let spills_over = self.is_left_to_spill_over(now_us, decode_engine, &open.demand.binding);
                let data_centre = spills_over.then_some(&self.engines[decode_engine].data_centre);
                let chosen =
                    self.choose_prefill_engine_in(now_us, prompt_tokens, failed_at, &binding, data_centre);
                chosen.filter(|&prefill_engine| {
                    !self.should_prefill_on_decode_engine(now_us, decode_engine, prefill_engine, open)
                })
            }
            Some(_) | None => None,
        };
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if let Some(prefill_engine) = prefill_engine {
            self.engines[prefill_engine].add_prefill(prompt_tokens);
            self.engines[prefill_engine].instance.start(now_us);
            let ahead = self.engines[prefill_engine].prefill_backlog();
            open.stage = Stage::Prefilling { prefill_engine, decode_engine, since_us: now_us, ahead };
            let expected_ms = self.prefill_ms(ahead, self.engines[prefill_engine].speed.prefill);
            actions.push(EngineAction::Prefill {
                request_id,
                prefill_engine: self.engines[prefill_engine].instance.server().clone(),
                timeout_ms: expected_ms + self.settings.prefill_slack_ms,
            });
            return;
        }
        self.start_decode(
            now_us,
            request_id,
            decode_engine,
            held.map(|(prefill_engine, _)| prefill_engine),
            actions,
        );
    }

    /// Sends a request to its decode engine.
    pub(super) fn start_decode(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        decode_engine: usize,
        prefill_engine: Option<usize>,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let own_prefill_tokens =
            if prefill_engine.is_some() { Tokens::ZERO } else { open.demand.prompt_tokens };
        open.stage = Stage::Decoding { decode_engine, since_us: now_us, own_prefill_tokens };
        open.decode_version.clone_from(&self.engines[decode_engine].version);
        self.engines[decode_engine].add_prefill(own_prefill_tokens);
        let is_further = open.attempts.made() > 0;
        let is_paid = !open.needs_payment() || self.budget.try_withdraw(now_us);
        open.payment = Payment::None;
        if !is_paid || open.attempts.begin().is_err() {
            self.counters.retries_denied += 1;
            self.give_up(now_us, request_id, actions);
            return;
        }
        self.counters.retries += u64::from(is_further);
        actions.push(EngineAction::Decode {
            request_id,
            decode_engine: self.engines[decode_engine].instance.server().clone(),
            prefill_engine: prefill_engine
                .map(|prefill_engine| self.engines[prefill_engine].instance.server().clone()),
            version: self.engines[decode_engine].version.clone(),
        });
    }

    /// Decode engines with room, the least filled first. Memory binds before slots: an engine that runs out
    /// of it evicts a running request, and the pause makes that answer late.
    fn eligible_decode_engines(
        &self,
        now_us: MonoTime,
        growth: Growth,
        limit: Tokens,
        failed_at: Option<usize>,
        binding: &VersionBinding,
    ) -> Vec<usize> {
        // The last engine of a version is tried again: an answer cannot go on anywhere else.
        let is_last = |failed_at: &usize| {
            *binding != VersionBinding::Any
                && !self
                    .engines
                    .iter()
                    .enumerate()
                    .any(|(index, engine)| index != *failed_at && engine.decodes_for(now_us, binding))
        };
        let excluded = failed_at.filter(|failed_at| !is_last(failed_at));
        let accepts = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Decode
                && Some(*index) != excluded
                && binding.allows(&engine.version)
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
                && !self.is_left_to_spill_over(now_us, *index, binding)
        };
        let filled = (0..self.engines.len()).filter(accepts).filter_map(|index| {
            let engine = &self.engines[index];
            let peak = engine.peak(now_us, &self.fleet_stats, Some(growth));
            let running = engine.running();
            // A request alone on an engine may take all of it, whatever its expected size.
            (running == 0 || peak <= limit).then_some((peak, running, index))
        });
        let mut filled: Vec<_> = filled.collect();
        if filled.iter().any(|(_, _, index)| !self.is_remote_fallback(*index)) {
            filled.retain(|(_, _, index)| !self.is_remote_fallback(*index));
        }
        filled.sort_unstable();
        filled.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Whether an engine is used only if no engine of the own data centre is left.
    ///
    /// In a large fleet daemons receive messages of their own data centre only, so daemons of several data
    /// centres would fill the same engines without knowing of each other.
    pub(super) fn is_remote_fallback(&self, index: usize) -> bool {
        self.settings.prefer_local && !self.engines[index].is_local
    }

    /// Chooses one of the decode engines with room.
    ///
    /// Daemons learn of each other's choices some milliseconds late, so many of them would pick the emptiest
    /// engine, or one that has just become free, and it would run out of memory. So while requests wait at
    /// other daemons too, an engine goes to the daemon that its rendezvous hash selects; otherwise the least
    /// filled ones are used in turn, those of versions that serve best first, then the fastest. A request that is
    /// bound to a version has too few engines to wait for its own one.
    fn choose_decode_engine(
        &mut self,
        now_us: MonoTime,
        eligible: &[usize],
        is_bound: bool,
        request: DecodeRequest,
    ) -> Option<usize> {
        self.rotation = self.rotation.wrapping_add(1);
        let contenders = self.peers.contenders();
        if contenders.is_empty() || is_bound {
            let least_full = &eligible[..eligible.len().div_ceil(LEAST_FULL_DIVISOR)];
            let version_rank = |index: &usize| self.versions.rank(&self.engines[*index].version);
            let best = least_full.iter().map(version_rank).min()?;
            let equal = least_full.iter().filter(|index| version_rank(index) == best).copied().collect();
            let fastest = self.fastest_decode_engines(now_us, equal, request);
            return fastest.get(self.rotation % fastest.len().max(1)).copied();
        }
        let is_own = |index: &&usize| {
            let engine = self.engines[**index].node_hash;
            let own = self.node_hash.rendezvous_hash(engine);
            contenders.iter().all(|(_, contender)| own < contender.rendezvous_hash(engine))
        };
        eligible.iter().find(is_own).copied()
    }
}

/// The first quarter of the decode engines with room are about equally empty.
pub(super) const LEAST_FULL_DIVISOR: usize = 4;

/// An engine answers a reservation within two round trips; waiting for an unresponsive one must not make a
/// request miss its target.
const RESERVE_TIMEOUT_MS: Millis = Millis(150);

/// Part of the expected answer that is reserved beyond the prompt, for its first events. Later growth is
/// tracked here; reserved at once it would stay unused for seconds, and engines would refuse requests that
/// fit.
const RESERVED_ANSWER_DIVISOR: u64 = 6;
