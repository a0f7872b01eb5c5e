//! Steps of a request at the engines: prefill, transfer and decode.

use crate::ids::RequestId;
use crate::slots::{GrantOutcome, GrantPhase, SlotMessage};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::counters::WasteCause;
use super::directory::ServerIndex;
use super::events::{Action, Attempt};
use super::placing::transfer_us;
use super::request::{Hold, Request, Stage};
use super::scheduler::Scheduler;
use super::settings::PrefillStart;

/// Engine priorities of requests within and past their first-token target.
const PRIORITY_IN_TIME: u8 = 1;
const PRIORITY_LATE: u8 = 2;

/// A transfer without confirmation gets the link bandwidth divided by this: the smallest share that a watcher
/// grants.
const UNCONFIRMED_LINK_DIVISOR: u64 = 4;

/// Weight of a new sample in the average size of the KV cache per token.
const KV_WEIGHT: f64 = 0.05;

impl Scheduler {
    /// Starts the prefill. A turn is held and, unless the start is [`PrefillStart::AtOnce`], a slot.
    pub(super) fn start_prefill(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(turn) = request.turn.as_mut() else {
            return;
        };
        turn.phase = GrantPhase::Running;
        let turn = *turn;
        self.expiries.end_wait(request);
        let server = self.directory.name(turn.server).clone();
        actions.push(Action::Send(SlotMessage::Started { server, request_id }));
        request.attempt = Attempt(request.attempt.0 + 1);
        request.enter(now_us, Stage::Prefilling);
        request.attempt_since_us = now_us;
        request.prefilled = Tokens::ZERO;
        actions.push(Action::StartPrefill {
            request_id,
            attempt: request.attempt,
            server: self.directory.name(turn.server).clone(),
            from_index: request.tokens,
            priority: priority(now_us, request),
            restart_cause: request.restart_cause.take(),
        });
        let tokens = request.prefill_tokens();
        let work_us = self.directory.work_us(turn.server, tokens, self.settings.prefill_token_us);
        let timeout_us = self.timeout_for(work_us);
        let factor =
            if self.directory.has_measured_speed(turn.server) { 1 } else { self.settings.unmeasured_factor };
        self.set_timer(request_id, now_us + Micros(timeout_us.0 * factor));
    }

    /// Timeout of a step: a multiple of its expected duration, so that a server ten times slower is detected
    /// and a merely busy one is not.
    fn timeout_for(&self, expected_us: Micros) -> Micros {
        let floor_us = Micros::from(self.settings.timeout_floor_ms);
        Micros(expected_us.0 * self.settings.timeout_factor).max(floor_us)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn prefill_done(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        attempt: Attempt,
        kv_bytes: Bytes,
        cached_tokens: Tokens,
        evict_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.current(request_id, attempt, Stage::Prefilling) else {
            return;
        };
        let whole = request.prefill_tokens();
        let prefilled_tokens = whole.saturating_sub(cached_tokens);
        request.prefilled = prefilled_tokens;
        request.kv_bytes = kv_bytes;
        let blocks = std::mem::take(&mut request.arrival.blocks);
        let Some(index) = request.turn.map(|turn| turn.server) else {
            return;
        };
        self.counters.prefill_tokens += prefilled_tokens;
        let per_token = kv_bytes.0 as f64 / whole.0.max(1) as f64;
        self.kv_bytes_per_token += KV_WEIGHT * (per_token - self.kv_bytes_per_token);
        // The prompt is now cached at that server; the server's own event arrives later.
        for &block in &blocks {
            self.affinity.store(index, block);
        }
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.arrival.blocks = blocks;
            request.evict_at_us = now_us + evict_after_ms;
            request.enter(now_us, Stage::AwaitTransfer);
        }
        self.announce_ready(now_us, request_id, actions);
        if self.settings.start == PrefillStart::AtOnce {
            self.request_slot(now_us, request_id, actions);
        }
    }

    /// Tells both servers that the transfer is ready, and repeats the message until they confirm: their
    /// answer may be lost.
    pub(super) fn announce_ready(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let work_us = now_us.since(request.attempt_since_us);
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            if hold.phase > GrantPhase::Ready {
                continue;
            }
            if hold.phase < GrantPhase::Ready {
                hold.phase = GrantPhase::Ready;
                hold.last_heard_us = now_us;
            }
            actions.push(Action::Send(SlotMessage::Ready {
                server: self.directory.name(hold.server).clone(),
                request_id,
                grant_id: hold.grant_id,
                work_us,
                work_tokens: request.prefilled,
            }));
        }
        let repeat_us = now_us + self.settings.grant_request_timeout_us;
        let at_us = repeat_us.min(request.evict_at_us);
        self.set_timer(request_id, at_us);
    }

    /// Handles the timer of a request whose prefill result waits for its transfer, until the engine evicts
    /// the result.
    pub(super) fn transfer_timer(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if now_us >= request.evict_at_us {
            self.restart(now_us, request_id, WasteCause::Evicted, GrantOutcome::Abandoned, actions);
            return;
        }
        if request.slot.is_none() {
            self.grant_request_timer(now_us, request_id, actions);
            return;
        }
        self.confirm_without_watcher(now_us, request_id);
        let moving = |hold: Option<Hold>| hold.is_some_and(|hold| hold.phase == GrantPhase::Transferring);
        let is_confirmed = self
            .requests
            .get(&request_id)
            .is_some_and(|request| moving(request.turn) && moving(request.slot));
        if is_confirmed {
            self.start_import(now_us, request_id, actions);
        } else {
            self.announce_ready(now_us, request_id, actions);
        }
    }

    /// Starts a transfer without the confirmation of an unresponsive watcher.
    ///
    /// When a daemon fails, so does the watcher that has to confirm the transfer, and its successor takes
    /// over only after the prefill result is evicted. Transfers of a failed daemon can also appear to occupy
    /// the link until their grants expire; for that case a transfer starts shortly before its result would be
    /// evicted. A slot granted as free exists, so the engine has capacity; the cost is that the link may be
    /// shared by one transfer too many.
    fn confirm_without_watcher(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let eviction_near = now_us + self.settings.eviction_lead_ms >= request.evict_at_us;
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            let unresponsive = now_us >= hold.last_heard_us + self.settings.confirm_timeout_ms;
            if hold.phase == GrantPhase::Ready && hold.guaranteed && (unresponsive || eviction_near) {
                let entry = self.directory.get(hold.server);
                let link = entry.map_or(0, |entry| entry.record.link_bytes_per_s.0);
                hold.phase = GrantPhase::Transferring;
                hold.rate_bytes_per_s = BytesPerSecond(link / UNCONFIRMED_LINK_DIVISOR);
                self.counters.unconfirmed_transfers += 1;
            }
        }
    }

    pub(super) fn start_import(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let (Some(turn), Some(slot)) = (request.turn, request.slot) else {
            return;
        };
        request.enter(now_us, Stage::Importing);
        let rate_bytes_per_s = turn.rate_bytes_per_s.min(slot.rate_bytes_per_s);
        actions.push(Action::Import {
            request_id,
            attempt: request.attempt,
            source: self.directory.name(turn.server).clone(),
            server: self.directory.name(slot.server).clone(),
            priority: priority(now_us, request),
            rate_bytes_per_s,
        });
        let move_us = transfer_us(request.kv_bytes, rate_bytes_per_s);
        self.set_timer(request_id, now_us + self.timeout_for(move_us));
    }

    pub(super) fn imported(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.current(request_id, attempt, Stage::Importing) else {
            return;
        };
        request.enter(now_us, Stage::Decoding);
        request.timer_us = None;
        request.resumed = false;
        request.progress = (now_us, request.tokens);
        let turn = request.turn.take();
        let Some(slot) = request.slot.as_mut() else {
            return;
        };
        slot.phase = GrantPhase::Transferred;
        let (index, attempt, from_index) = (slot.server, request.attempt, request.tokens);
        let server = self.directory.name(index).clone();
        self.release_hold(request_id, turn, GrantOutcome::Done, actions);
        let moved = SlotMessage::Transferred { server: server.clone(), request_id };
        actions.push(Action::Send(moved));
        actions.push(Action::Decode {
            request_id,
            attempt,
            server,
            from_index,
            resume: false,
            token_timeout_ms: self.token_timeout_ms(index),
        });
    }

    pub(super) fn token_timeout_ms(&self, server: ServerIndex) -> Millis {
        let tokens = Tokens(self.settings.token_timeout_tokens);
        let expected_us = self.directory.work_us(server, tokens, self.settings.decode_token_us);
        expected_us.to_millis_ceil().max(self.settings.token_timeout_min_ms)
    }

    pub(super) fn first_token(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(request) = self.requests.get_mut(&request_id)
            && request.first_token_us.is_none()
        {
            request.first_token_us = Some(now_us);
            request.tokens = request.tokens.max(Tokens(1));
            request.progress = (now_us, request.tokens);
        }
    }

    pub(super) fn progress(&mut self, request_id: RequestId, tokens: Tokens) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.tokens = request.tokens.max(tokens);
        }
    }

    pub(super) fn finished(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        tokens: Tokens,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.close(request_id, GrantOutcome::Done, actions) else {
            return;
        };
        self.counters.answered += 1;
        self.counters.met_targets += u64::from(met_targets(now_us, &request, tokens));
        self.record_answer_length(request.partner, &request.arrival.class, tokens);
    }

    pub(super) fn current(
        &mut self,
        request_id: RequestId,
        attempt: Attempt,
        stage: Stage,
    ) -> Option<&mut Request> {
        self.requests
            .get_mut(&request_id)
            .filter(|request| request.attempt == attempt && request.stage == stage)
    }
}

fn priority(now_us: MonoTime, request: &Request) -> u8 {
    if now_us <= request.deadline_us { PRIORITY_IN_TIME } else { PRIORITY_LATE }
}

/// Whether the request met the first-token target and, on average, the per-token target.
fn met_targets(now_us: MonoTime, request: &Request, tokens: Tokens) -> bool {
    let Some(first_us) = request.first_token_us else {
        return false;
    };
    let per_token_us = Micros::from(request.arrival.per_token_target_ms).0;
    let later_tokens = tokens.0.saturating_sub(1);
    let token_rate_met = per_token_us == 0 || now_us.since(first_us).0 <= per_token_us * later_tokens;
    first_us <= request.deadline_us && token_rate_met
}
