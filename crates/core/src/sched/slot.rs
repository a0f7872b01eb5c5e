//! Selection of decode servers for a slot.

use crate::ids::RequestId;
use crate::slots::{GrantRequest, Role, SlotMessage};
use crate::units::{Micros, MonoTime, Tokens};

use super::directory::{Candidates, Draw, ServerEntry, ServerIndex};
use super::events::Action;
use super::placing::{MICROS_PER_SECOND, Scored, add_grant_request, best_two, insert_best};
use super::request::{Hold, OpenGrantRequest, Request};
use super::scheduler::Scheduler;

impl Scheduler {
    /// Requests a decode slot while holding a turn.
    ///
    /// Near capacity, a prefill result without a slot is evicted in under a second and its work is lost. One
    /// server is asked while it clearly has free slots; otherwise two are asked and the first free slot is
    /// used.
    pub(super) fn request_slot(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        let best = self.slot_candidates(now_us, &request);
        let has_ample_slots = best[0].is_some_and(|scored| self.free_slots(scored.server) > AMPLE_FREE_SLOTS);
        let copies = if has_ample_slots { 1 } else { best.iter().flatten().count() };
        let copies = u8::try_from(copies).unwrap_or(1);
        for scored in best.into_iter().flatten().take(usize::from(copies)) {
            let open = OpenGrantRequest {
                server: scored.server,
                grant_id: self.new_grant_id(),
                sent_us: now_us,
                queued: false,
                copies,
                speculative: self.may_speculate(now_us, &request),
                work_tokens: Tokens::ZERO,
            };
            let message = self.slot_request(now_us, &request, &open);
            self.directory.record_grant_request(scored.server, Micros::ZERO, copies);
            add_grant_request(&mut request, open);
            actions.push(Action::Send(SlotMessage::Request(message)));
        }
        let asked = request.has_grant_requests();
        self.requests.insert(request_id, request);
        let delay =
            if asked { self.settings.grant_request_timeout_us } else { self.settings.slot_retry_ms.into() };
        self.set_timer(request_id, now_us + delay);
    }

    pub(super) fn free_slots(&self, server: ServerIndex) -> u32 {
        self.directory.get(server).map_or(0, ServerEntry::free_slots)
    }

    pub(super) fn slot_candidates(&mut self, now_us: MonoTime, request: &Request) -> [Option<Scored>; 2] {
        let exclude = [request.failed_at.unwrap_or(ServerIndex::MAX)];
        let mut found = Candidates::default();
        let draw = Draw {
            model: &request.arrival.model,
            role: Role::Decode,
            count: self.settings.sample_size,
            exclude: &exclude,
        };
        self.directory.sample(now_us, draw, &mut self.rng, &mut found);
        let (target_ms, probe_interval_ms) =
            (request.arrival.per_token_target_ms, self.settings.slow_probe_interval_ms);
        let mut best = [None, None];
        for &server in found.as_slice() {
            if self.directory.accepts_decode(now_us, server, target_ms, probe_interval_ms) {
                best = insert_best(best, self.score_slot(server));
            }
        }
        if best[0].is_none() {
            // All sampled servers are too slow. A slow answer is better than none.
            let scored = found.as_slice().iter().map(|&server| self.score_slot(server));
            best = best_two(scored);
        }
        best
    }

    /// Scores a server by its speed and load: a fuller batch slows all its requests, so free slots lower the
    /// score.
    pub(super) fn score_slot(&self, server: ServerIndex) -> Scored {
        let Some(entry) = self.directory.get(server) else {
            return Scored { server, score_us: u64::MAX, uncached_tokens: Tokens::ZERO };
        };
        let total = u64::from(entry.record.slots_total.max(1));
        let used = total.saturating_sub(u64::from(entry.free_slots()));
        let token_us = entry.token_us(self.settings.decode_token_us);
        let full_us = if entry.free_slots() == 0 { FULL_PENALTY_US } else { 0 };
        Scored {
            server,
            score_us: token_us * (total + used) / total + full_us,
            uncached_tokens: Tokens::ZERO,
        }
    }

    pub(super) fn slot_request(
        &self,
        now_us: MonoTime,
        request: &Request,
        open: &OpenGrantRequest,
    ) -> GrantRequest {
        let left_us = request.deadline_us.since(now_us);
        GrantRequest {
            request_id: request.arrival.request_id,
            grant_id: open.grant_id,
            server: self.directory.name(open.server).clone(),
            partner: request.arrival.partner.clone(),
            work_tokens: self.expected_answer(request),
            kv_bytes: self.kv_estimate(request.prefill_tokens()),
            charge_us: Micros(self.settings.decode_token_us.0 * self.expected_answer(request).0),
            slack_us: Some(left_us).filter(|&left_us| left_us > Micros::ZERO),
            copies: open.copies,
            needed_in_us: open.speculative.then(|| self.prefill_us(request)),
            wait_max_us: Some(request.waits_until_us.since(now_us)),
        }
    }

    /// Whether a request may start on a slot that is only expected to become free, which depends on its
    /// slack. A request that can wait takes a free slot, which never endangers its prefill; one with little
    /// slack would miss its target by waiting, and risks its prefill on a slot whose holder is expected to
    /// finish first.
    pub(super) fn may_speculate(&self, now_us: MonoTime, request: &Request) -> bool {
        let left_us = request.deadline_us.since(now_us);
        let prefill_us = self.prefill_us(request);
        let speculative_us = prefill_us + self.settings.speculative_slack_ms.into();
        (prefill_us..speculative_us).contains(&left_us)
    }

    /// Expected prefill time of a request at the server where it holds a turn.
    pub(super) fn prefill_us(&self, request: &Request) -> Micros {
        let default_us = self.settings.prefill_token_us;
        let work_us = |turn: Hold| self.directory.work_us(turn.server, request.uncached_tokens, default_us);
        request.turn.map_or(Micros::ZERO, work_us)
    }
}

/// With more free slots than this, one grant request suffices: those of other daemons at the same moment will
/// not take them all.
const AMPLE_FREE_SLOTS: u32 = 3;

/// Ranks servers without free slots behind all others.
const FULL_PENALTY_US: u64 = MICROS_PER_SECOND;
