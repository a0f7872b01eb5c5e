//! Which servers a request asks, and what it does with their answers.

use crate::ids::RequestId;
use crate::slots::{Ask, AskId, DenyReason, GrantOutcome, GrantPhase, Role, SlotMessage};
use crate::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::counters::RefusalReason;
use super::directory::{Candidates, Draw, Known, ServerIndex};
use super::events::Action;
use super::request::{Hold, OpenAsk, Request, Stage};
use super::scheduler::Scheduler;
use super::settings::PrefillStart;

/// A server with its score; smaller is better.
#[derive(Clone, Copy, Debug)]
struct Scored {
    server: ServerIndex,
    score_us: u64,
    uncached_tokens: Tokens,
}

const PERCENT: u64 = 100;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// An estimate of a transfer counts on this part of the link, as a divisor.
const LINK_PART: u64 = 2;

impl Scheduler {
    /// Asks for a turn at the best two of a few servers.
    ///
    /// Load: near full, each daemon's knowledge stale by a few messages. Harm prevented: all daemons taking
    /// the same server for the least loaded, and a request stuck behind a slow one. Two servers are asked at
    /// once and the first to have room gets the request (late binding, as the probes of Sparrow; the load in
    /// each reply follows the advertised load of the hybrid-scheduling paper, section 4.8). Two and not
    /// more: the second choice brings nearly all of the gain, and each ask costs messages.
    pub(super) fn ask_turn(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        request.enter(now_us, Stage::AwaitTurn);
        let best = self.turn_candidates(now_us, &request);
        let best = self.in_time_first(now_us, &request, best);
        let copies = copies_for(&best);
        for scored in best.into_iter().flatten().take(usize::from(copies)) {
            self.send_turn_ask(now_us, &mut request, scored, copies, actions);
        }
        let asked = request.has_asks();
        self.requests.insert(request_id, request);
        if asked {
            self.set_timer(request_id, now_us + self.settings.ask_timeout_us);
            return;
        }
        self.turn_unavailable(now_us, request_id, actions);
    }

    fn turn_candidates(&mut self, now_us: MonoTime, request: &Request) -> [Option<Scored>; 2] {
        let mut without = [ServerIndex::MAX; super::request::TRIED_MAX + 1];
        let tried = request.tried.iter().chain([&request.failed_at]);
        for (place, server) in without.iter_mut().zip(tried) {
            *place = server.unwrap_or(ServerIndex::MAX);
        }
        let mut found = Candidates::default();
        let draw = Draw {
            model: &request.arrival.model,
            role: Role::Prefill,
            count: self.settings.sample,
            without: &without,
        };
        self.directory.sample(now_us, draw, &mut self.rng, &mut found);
        let (length, holders) = self.affinity.longest(&request.arrival.blocks);
        for holder in holders.into_iter().flatten() {
            let prefill = self
                .directory
                .get(holder)
                .is_some_and(|known| known.record.role == Role::Prefill);
            if prefill && !without.contains(&holder) && self.directory.is_usable(now_us, holder) {
                found.push(holder);
            }
        }
        let cached = Tokens(length as u64 * self.settings.block_tokens);
        let scored = found.as_slice().iter().map(|&server| {
            let spared = if holders.contains(&Some(server)) {
                cached
            } else {
                Tokens::ZERO
            };
            self.score_turn(now_us, request, server, spared)
        });
        best_two(scored)
    }

    /// Leaves out servers too slow to meet the target if another could, or could a moment ago: as a late
    /// request it would be taken in there, behind everybody, although it is not lost yet.
    fn in_time_first(
        &self,
        now_us: MonoTime,
        request: &Request,
        best: [Option<Scored>; 2],
    ) -> [Option<Scored>; 2] {
        let in_time = |scored: &Scored| {
            let default_us = self.settings.prefill_token_us;
            let work_us = self
                .directory
                .work_us(scored.server, scored.uncached_tokens, default_us);
            self.turn_slack(now_us, request, scored.server, work_us).is_some()
        };
        let kept = best.map(|scored| scored.filter(in_time));
        let was_denied = request.retry_after_ms.is_some() && !request.has_run();
        match kept {
            [None, None] if !was_denied => best,
            [None, second] => [second, None],
            _ => kept,
        }
    }

    /// Expected time to the end of the prefill. The wait is part of it, so that a hot prefix does not
    /// overload the server that holds it: once the wait there exceeds what the cache spares, the request
    /// goes elsewhere, and the prefix lives in two places from then on.
    fn score_turn(&self, now_us: MonoTime, request: &Request, server: ServerIndex, spared: Tokens) -> Scored {
        let uncached_tokens = request.prefill_tokens().saturating_sub(spared).max(Tokens(1));
        let work_us = self
            .directory
            .work_us(server, uncached_tokens, self.settings.prefill_token_us);
        let wait_us = self
            .directory
            .get(server)
            .map_or(0, |known| known.wait_us(now_us));
        Scored {
            server,
            score_us: wait_us + work_us.0,
            uncached_tokens,
        }
    }

    fn send_turn_ask(
        &mut self,
        now_us: MonoTime,
        request: &mut Request,
        scored: Scored,
        copies: u8,
        actions: &mut Vec<Action>,
    ) {
        let open = OpenAsk {
            server: scored.server,
            ask: self.new_ask(),
            sent_us: now_us,
            queued: false,
            copies,
            bold: false,
            work_tokens: scored.uncached_tokens,
        };
        let message = self.turn_ask(now_us, request, &open);
        let work_us = self
            .directory
            .work_us(open.server, open.work_tokens, self.settings.prefill_token_us);
        self.directory.note_ask(open.server, work_us, copies);
        place_ask(request, open);
        actions.push(Action::Send(SlotMessage::Ask(message)));
    }

    fn turn_ask(&self, now_us: MonoTime, request: &Request, open: &OpenAsk) -> Ask {
        let work_us = self
            .directory
            .work_us(open.server, open.work_tokens, self.settings.prefill_token_us);
        Ask {
            request_id: request.arrival.request_id,
            ask: open.ask,
            server: self.directory.name(open.server).clone(),
            partner: request.arrival.partner.clone(),
            work_tokens: open.work_tokens,
            kv_bytes: self.kv_estimate(request.prefill_tokens()),
            charge_us: self.charge_us(request, work_us),
            slack_us: self.turn_slack(now_us, request, open.server, work_us),
            copies: open.copies,
            needed_in_us: None,
        }
    }

    /// What a partner is charged for a request: its part of the resource of which it takes most, in time
    /// of one prefill server. Harm prevented: short prompts with long answers look cheap when only prefill
    /// is counted, and would take the decode slots from everybody else.
    fn charge_us(&self, request: &Request, prefill_us: Micros) -> Micros {
        let answer = self.expected_answer(request);
        let slot_us = (self.settings.decode_token_us.0 * answer.0 + prefill_us.0) as f64;
        let in_prefill_us = slot_us * self.directory.slot_weight();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive span"
        )]
        let dominant_us = (prefill_us.0 as f64).max(in_prefill_us) as u64;
        Micros(dominant_us)
    }

    /// Time left until the turn must be granted. `None` for a request that cannot meet its target even on
    /// an idle server: it is owed an answer, but goes behind those that can.
    fn turn_slack(
        &self,
        now_us: MonoTime,
        request: &Request,
        server: ServerIndex,
        work_us: Micros,
    ) -> Option<Micros> {
        if request.first_token_us.is_some() {
            // The caller reads already, and each further wait is a gap in its answer: it goes before most,
            // but must not be denied for a short wait.
            return Some(self.settings.gap_ms.into());
        }
        let kv_bytes = self.kv_estimate(request.prefill_tokens());
        let link = self
            .directory
            .get(server)
            .map_or(0, |known| known.record.link_bytes_per_s.0);
        let move_us = transfer_us(kv_bytes, BytesPerSecond(link / LINK_PART));
        let target_us = Micros::from(request.arrival.first_token_target_ms).0;
        let margin_us = target_us * self.settings.margin_percent / PERCENT;
        let needed_us =
            work_us.0 + move_us.0 + self.settings.decode_token_us.0 + self.settings.overhead_us.0 + margin_us;
        let left_us = request.deadline_us.since(now_us).0;
        left_us.checked_sub(needed_us).map(Micros)
    }

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
        let pause = if asked {
            self.settings.ask_timeout_us
        } else {
            self.settings.slot_retry_ms.into()
        };
        self.set_timer(request_id, now_us + pause);
    }

    fn free_slots(&self, server: ServerIndex) -> u32 {
        self.directory.get(server).map_or(0, Known::free)
    }

    fn slot_candidates(&mut self, now_us: MonoTime, request: &Request) -> [Option<Scored>; 2] {
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
    fn score_slot(&self, server: ServerIndex) -> Scored {
        let Some(known) = self.directory.get(server) else {
            return Scored {
                server,
                score_us: u64::MAX,
                uncached_tokens: Tokens::ZERO,
            };
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

    fn slot_ask(&self, now_us: MonoTime, request: &Request, open: &OpenAsk) -> Ask {
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
    fn is_bold(&self, now_us: MonoTime, request: &Request) -> bool {
        let left_us = request.deadline_us.since(now_us);
        let prefill_us = self.prefill_us(request);
        let bold_us = prefill_us + self.settings.bold_below_ms.into();
        (prefill_us..bold_us).contains(&left_us)
    }

    /// Time that the prefill of a request with a turn takes.
    fn prefill_us(&self, request: &Request) -> Micros {
        let default_us = self.settings.prefill_token_us;
        let work_us = |turn: Hold| {
            self.directory
                .work_us(turn.server, request.uncached_tokens, default_us)
        };
        request.turn.map_or(Micros::ZERO, work_us)
    }

    /// Takes an answer of a watcher.
    pub(super) fn slot_message(
        &mut self,
        now_us: MonoTime,
        message: &SlotMessage,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.directory.index(message.server()) else {
            return;
        };
        match *message {
            SlotMessage::Queued {
                request_id,
                ask,
                load,
                ..
            } => {
                self.directory.learn(now_us, index, load, Micros::ZERO);
                self.queued(now_us, request_id, ask);
            }
            SlotMessage::Grant {
                request_id,
                ask,
                load,
                ..
            } => {
                self.directory.learn(now_us, index, load, Micros::ZERO);
                let hold = Hold {
                    server: index,
                    ask,
                    rate_bytes_per_s: BytesPerSecond::ZERO,
                    phase: GrantPhase::Reserved,
                    sure: true,
                    heard_us: now_us,
                };
                self.granted(now_us, request_id, hold, actions);
            }
            SlotMessage::Confirm {
                request_id,
                ask,
                rate_bytes_per_s,
                ..
            } => {
                self.confirmed(now_us, request_id, ask, rate_bytes_per_s, actions);
            }
            SlotMessage::Deny {
                request_id,
                ask,
                load,
                reason,
                retry_after_ms,
                ..
            } => {
                if reason == DenyReason::NotWatching {
                    self.directory
                        .silence(index, now_us + self.settings.ask_timeout_us);
                } else {
                    self.directory.learn(now_us, index, load, Micros::ZERO);
                }
                self.denied(now_us, request_id, ask, reason, retry_after_ms, actions);
            }
            SlotMessage::Ask(_)
            | SlotMessage::Withdraw { .. }
            | SlotMessage::Started { .. }
            | SlotMessage::Ready { .. }
            | SlotMessage::Moved { .. }
            | SlotMessage::Release { .. }
            | SlotMessage::Renew { .. } => {}
        }
    }

    /// The watcher has heard an ask, or that a transfer is ready, and lets it wait.
    fn queued(&mut self, now_us: MonoTime, request_id: RequestId, ask: AskId) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            if hold.ask == ask {
                hold.heard_us = now_us;
            }
        }
        if let Some(open) = request.ask_of(ask) {
            open.queued = true;
        }
    }

    fn granted(&mut self, now_us: MonoTime, request_id: RequestId, hold: Hold, actions: &mut Vec<Action>) {
        let wanted = self
            .requests
            .get_mut(&request_id)
            .and_then(|request| request.take_ask(hold.ask));
        if wanted.is_none() {
            // A repeated grant of what is held already is no news.
            let repeated = self.requests.get(&request_id).is_some_and(|request| {
                [request.turn, request.slot]
                    .into_iter()
                    .flatten()
                    .any(|held| held.ask == hold.ask)
            });
            if !repeated {
                self.release_hold(request_id, Some(hold), GrantOutcome::Unused, actions);
            }
            return;
        }
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.withdraw_asks(&mut request, actions);
        let stage = request.stage;
        let hold = Hold {
            sure: wanted.is_some_and(|open| !open.bold),
            ..hold
        };
        match stage {
            Stage::AwaitTurn => {
                request.turn = Some(hold);
                request.uncached_tokens = wanted.map_or(request.uncached_tokens, |open| open.work_tokens);
            }
            _ => request.slot = Some(hold),
        }
        self.requests.insert(request_id, request);
        match (stage, self.settings.start) {
            (Stage::AwaitTurn, PrefillStart::AfterReservation) => {
                self.enter(now_us, request_id, Stage::AwaitSlot);
                self.ask_slot(now_us, request_id, actions);
            }
            (Stage::AwaitTurn, PrefillStart::AtOnce) | (Stage::AwaitSlot, _) => {
                self.start_prefill(now_us, request_id, actions);
            }
            _ => self.make_ready(now_us, request_id, actions),
        }
    }

    pub(super) fn enter(&mut self, now_us: MonoTime, request_id: RequestId, stage: Stage) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.enter(now_us, stage);
        }
    }

    fn confirmed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        rate_bytes_per_s: BytesPerSecond,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            if hold.ask == ask && hold.phase == GrantPhase::Ready {
                hold.phase = GrantPhase::Moving;
                hold.rate_bytes_per_s = rate_bytes_per_s;
            }
        }
        let moving = |hold: Option<Hold>| hold.is_some_and(|hold| hold.phase == GrantPhase::Moving);
        if request.stage == Stage::AwaitRoom && moving(request.turn) && moving(request.slot) {
            self.start_import(now_us, request_id, actions);
        }
    }

    fn denied(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        reason: DenyReason,
        retry_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(open) = request.take_ask(ask) else {
            return;
        };
        let for_turn = request.stage == Stage::AwaitTurn;
        if for_turn {
            request.note_tried(open.server);
        }
        if reason == DenyReason::WouldMissTarget || reason == DenyReason::QueueFull {
            let known_ms = request.retry_after_ms.unwrap_or(retry_after_ms);
            request.retry_after_ms = Some(known_ms.min(retry_after_ms));
        }
        if request.has_asks() {
            return;
        }
        if for_turn {
            self.turn_unavailable(now_us, request_id, actions);
        } else {
            self.set_timer(request_id, now_us + self.settings.slot_retry_ms);
        }
    }

    /// No server asked will take the request: looks once more among the others, then refuses it. Before the
    /// first prefill that is a refusal with nothing run; later it is a retry that found no place.
    ///
    /// Where watchers gave no answer at all, as in the second after a daemon died, nothing is known of the
    /// servers' load; refusing then would turn a change of watcher into an outage. The request waits a
    /// little and asks again, as long as it can still be in time.
    fn turn_unavailable(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let denied = request.retry_after_ms;
        request.rounds += u8::from(denied.is_some());
        let again = request.rounds < self.settings.ask_rounds;
        let has_run = request.has_run();
        let in_time = now_us < request.deadline_us;
        let model = request.arrival.model.clone();
        if again && self.any_untried(now_us, request_id) {
            self.ask_turn(now_us, request_id, actions);
            return;
        }
        if has_run {
            self.retry_later(now_us, request_id, actions);
            return;
        }
        let served = self.directory.serves(&model, Role::Prefill);
        if denied.is_none() && served && in_time {
            self.pause(now_us, request_id);
            return;
        }
        let reason = match denied {
            Some(_) => RefusalReason::WouldMissTarget,
            None if served => RefusalReason::Unreachable,
            None => RefusalReason::NoServer,
        };
        self.refuse(
            request_id,
            reason,
            denied.unwrap_or(self.settings.silence_ms),
            actions,
        );
    }

    fn pause(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.enter(now_us, Stage::Backoff);
            request.tried = Default::default();
            self.set_timer(request_id, now_us + self.settings.unknown_pause_ms);
        }
    }

    fn any_untried(&mut self, now_us: MonoTime, request_id: RequestId) -> bool {
        let Some(request) = self.requests.get(&request_id).cloned() else {
            return false;
        };
        self.turn_candidates(now_us, &request)[0].is_some()
    }

    /// Looks after asks: one without any answer was lost, or its watcher is gone.
    pub(super) fn ask_timer(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let timeout_us = self.settings.ask_timeout_us;
        let mut lost = [None; super::request::COPIES_MAX];
        for (open, lost) in request.asks.iter_mut().zip(&mut lost) {
            if open.is_some_and(|open| !open.queued && now_us >= open.sent_us + timeout_us) {
                *lost = open.take();
            }
        }
        let for_turn = request.stage == Stage::AwaitTurn;
        for open in lost.iter().flatten() {
            request.note_tried(open.server);
            self.counters.ask_timeouts += 1;
            self.directory
                .silence(open.server, now_us + self.settings.silence_ms);
            let server = self.directory.name(open.server).clone();
            actions.push(Action::Send(SlotMessage::Withdraw {
                server,
                request_id,
                ask: open.ask,
            }));
        }
        let waits = self.requests.get(&request_id).is_some_and(Request::has_asks);
        match (for_turn, waits) {
            (true, true) => {}
            (true, false) => self.turn_unavailable(now_us, request_id, actions),
            (false, _) => self.slot_timer(now_us, request_id, waits, actions),
        }
    }

    /// A turn must not be held for ever while no slot is to be had: it is given back, and the request waits
    /// in the queue again, with its old deadline.
    fn slot_timer(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        waits: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let is_read = request.stage == Stage::AwaitRoom;
        let until_us = if is_read {
            request.evict_at_us
        } else {
            request.stage_since_us + self.settings.turn_hold_ms
        };
        if now_us < until_us {
            if waits {
                self.set_timer(request_id, until_us);
            } else {
                self.ask_slot(now_us, request_id, actions);
            }
            return;
        }
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.counters.turns_returned += 1;
        self.withdraw_asks(&mut request, actions);
        self.release_hold(request_id, request.turn.take(), GrantOutcome::Unused, actions);
        request.rounds = 0;
        request.tried = Default::default();
        self.requests.insert(request_id, request);
        self.ask_turn(now_us, request_id, actions);
    }

    /// Sends asks again that wait at a watcher: it may have lost them, or be a new one.
    pub(super) fn repeat_asks(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        only: Option<ServerIndex>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let for_turn = request.stage == Stage::AwaitTurn;
        for open in request
            .asks
            .iter()
            .flatten()
            .filter(|open| only.is_none_or(|index| index == open.server))
        {
            let message = if for_turn {
                self.turn_ask(now_us, request, open)
            } else {
                self.slot_ask(now_us, request, open)
            };
            actions.push(Action::Send(SlotMessage::Ask(message)));
        }
    }
}

/// With more slots than this known to be free, one ask is enough: other daemons' asks in the same moment
/// will not take them all.
const SURELY_FREE: u32 = 3;

/// Puts a full server behind each one with room.
const FULL_PENALTY_US: u64 = MICROS_PER_SECOND;

/// Two servers are asked, unless the first spares so much that the second would be a loss.
fn copies_for(best: &[Option<Scored>; 2]) -> u8 {
    match best {
        [Some(first), Some(second)] => {
            let spares = first.uncached_tokens < second.uncached_tokens;
            if spares && first.score_us * 2 < second.score_us {
                1
            } else {
                2
            }
        }
        _ => 1,
    }
}

fn place_ask(request: &mut Request, open: OpenAsk) {
    if let Some(place) = request.asks.iter_mut().find(|place| place.is_none()) {
        *place = Some(open);
    }
}

fn best_two<Servers>(scored: Servers) -> [Option<Scored>; 2]
where
    Servers: Iterator<Item = Scored>,
{
    scored.fold([None, None], insert_best)
}

fn insert_best(best: [Option<Scored>; 2], scored: Scored) -> [Option<Scored>; 2] {
    match best {
        [None, _] => [Some(scored), None],
        [Some(first), _] if scored.score_us < first.score_us => [Some(scored), Some(first)],
        [first, Some(second)] if scored.score_us >= second.score_us => [first, Some(second)],
        [first, _] => [first, Some(scored)],
    }
}

/// Time that a transfer takes.
pub(super) fn transfer_us(kv_bytes: Bytes, rate: BytesPerSecond) -> Micros {
    if rate.0 == 0 {
        return Micros::ZERO;
    }
    Micros(kv_bytes.0.saturating_mul(MICROS_PER_SECOND) / rate.0)
}
