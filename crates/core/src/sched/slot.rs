//! Which decode servers a request asks for a slot.

use crate::ids::RequestId;
use crate::slots::{Ask, Role, SlotMessage};
use crate::units::{Micros, MonoTime, Tokens};

use super::directory::{Candidates, Draw, Known, ServerIndex};
use super::events::Action;
use super::placing::{MICROS_PER_SECOND, Scored, best_two, insert_best, place_ask};
use super::request::{Hold, OpenAsk, Request};
use super::scheduler::Scheduler;

impl Scheduler {
    /// Asks for a slot, holding a turn.
    ///
    /// Load: decode servers near full. Harm prevented: a prefill whose result finds no slot is evicted in
    /// under a second, and all its work is thrown away. One server is asked while it surely has room; else
    /// two, and the first free slot takes the request.
    pub(super) fn ask_slot(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        let best = self.slot_candidates(now_us, &request);
        let roomy = best[0].is_some_and(|scored| self.free_slots(scored.server) > SURELY_FREE);
        let copies = if roomy { 1 } else { best.iter().flatten().count() };
        let copies = u8::try_from(copies).unwrap_or(1);
        for scored in best.into_iter().flatten().take(usize::from(copies)) {
            let open = OpenAsk {
                server: scored.server,
                ask: self.new_ask(),
                sent_us: now_us,
                queued: false,
                copies,
                bold: self.is_bold(now_us, &request),
                work_tokens: Tokens::ZERO,
            };
            let message = self.slot_ask(now_us, &request, &open);
            self.directory.note_ask(scored.server, Micros::ZERO, copies);
            place_ask(&mut request, open);
            actions.push(Action::Send(SlotMessage::Ask(message)));
        }
        let asked = request.has_asks();
        self.requests.insert(request_id, request);
        let pause = if asked { self.settings.ask_timeout_us } else { self.settings.slot_retry_ms.into() };
        self.set_timer(request_id, now_us + pause);
    }

    pub(super) fn free_slots(&self, server: ServerIndex) -> u32 {
        self.directory.get(server).map_or(0, Known::free)
    }

    pub(super) fn slot_candidates(&mut self, now_us: MonoTime, request: &Request) -> [Option<Scored>; 2] {
        let without = [request.failed_at.unwrap_or(ServerIndex::MAX)];
        let mut found = Candidates::default();
        let draw = Draw {
            model: &request.arrival.model,
            role: Role::Decode,
            count: self.settings.sample,
            without: &without,
        };
        self.directory.sample(now_us, draw, &mut self.rng, &mut found);
        let (target_ms, trial_ms) = (request.arrival.per_token_target_ms, self.settings.slow_trial_ms);
        let mut best = [None, None];
        for &server in found.as_slice() {
            if self.directory.keeps_pace(now_us, server, target_ms, trial_ms) {
                best = insert_best(best, self.score_slot(server));
            }
        }
        if best[0].is_none() {
            // All that were drawn are slow. A slow answer is better than none.
            let scored = found.as_slice().iter().map(|&server| self.score_slot(server));
            best = best_two(scored);
        }
        best
    }

    /// A fuller batch slows each of its requests, so the server with most free slots comes first, weighed
    /// by its speed.
    pub(super) fn score_slot(&self, server: ServerIndex) -> Scored {
        let Some(known) = self.directory.get(server) else {
            return Scored { server, score_us: u64::MAX, uncached_tokens: Tokens::ZERO };
        };
        let total = u64::from(known.record.slots_total.max(1));
        let used = total.saturating_sub(u64::from(known.free()));
        let token_us = known.token_us(self.settings.decode_token_us);
        let full_us = if known.free() == 0 { FULL_PENALTY_US } else { 0 };
        Scored {
            server,
            score_us: token_us * (total + used) / total + full_us,
            uncached_tokens: Tokens::ZERO,
        }
    }

    pub(super) fn slot_ask(&self, now_us: MonoTime, request: &Request, open: &OpenAsk) -> Ask {
        let left_us = request.deadline_us.since(now_us);
        Ask {
            request_id: request.arrival.request_id,
            ask: open.ask,
            server: self.directory.name(open.server).clone(),
            partner: request.arrival.partner.clone(),
            work_tokens: self.expected_answer(request),
            kv_bytes: self.kv_estimate(request.prefill_tokens()),
            charge_us: Micros(self.settings.decode_token_us.0 * self.expected_answer(request).0),
            slack_us: Some(left_us).filter(|&left_us| left_us > Micros::ZERO),
            copies: open.copies,
            needed_in_us: open.bold.then(|| self.prefill_us(request)),
        }
    }

    /// Whether a request may start on a slot that is only likely. Slack decides: a request that can wait
    /// takes a sure slot, and its prefill is never in danger; a tight one would be late by then, and risks
    /// its prefill on a slot whose holder should end first.
    pub(super) fn is_bold(&self, now_us: MonoTime, request: &Request) -> bool {
        let left_us = request.deadline_us.since(now_us);
        let prefill_us = self.prefill_us(request);
        let bold_us = prefill_us + self.settings.bold_below_ms.into();
        (prefill_us..bold_us).contains(&left_us)
    }

    /// Time that the prefill of a request with a turn takes.
    pub(super) fn prefill_us(&self, request: &Request) -> Micros {
        let default_us = self.settings.prefill_token_us;
        let work_us = |turn: Hold| self.directory.work_us(turn.server, request.uncached_tokens, default_us);
        request.turn.map_or(Micros::ZERO, work_us)
    }
}

/// With more slots than this known to be free, one ask is enough: other daemons' asks in the same moment
/// will not take them all.
const SURELY_FREE: u32 = 3;

/// Puts a full server behind each one with room.
const FULL_PENALTY_US: u64 = MICROS_PER_SECOND;
