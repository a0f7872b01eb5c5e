//! Handling of watcher replies, and of their absence.

use crate::ids::RequestId;
use crate::slots::{DenyReason, GrantId, GrantOutcome, GrantPhase, SlotMessage};
use crate::units::{BytesPerSecond, Micros, Millis, MonoTime};

use super::directory::ServerIndex;
use super::events::Action;
use super::request::{Hold, Request, Stage};
use super::scheduler::Scheduler;
use super::settings::PrefillStart;

impl Scheduler {
    /// Handles a message from a watcher.
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
            SlotMessage::Queued { request_id, grant_id, load, .. } => {
                self.directory.update_load(now_us, index, load, Micros::ZERO);
                self.queued(now_us, request_id, grant_id);
            }
            SlotMessage::Grant { request_id, grant_id, load, .. } => {
                self.directory.update_load(now_us, index, load, Micros::ZERO);
                let hold = Hold {
                    server: index,
                    grant_id,
                    rate_bytes_per_s: BytesPerSecond::ZERO,
                    phase: GrantPhase::Reserved,
                    guaranteed: true,
                    last_heard_us: now_us,
                };
                self.granted(now_us, request_id, hold, actions);
            }
            SlotMessage::Confirm { request_id, grant_id, rate_bytes_per_s, .. } => {
                self.confirmed(now_us, request_id, grant_id, rate_bytes_per_s, actions);
            }
            SlotMessage::Deny { request_id, grant_id, load, reason, retry_after_ms, .. } => {
                if reason == DenyReason::NotWatching {
                    self.directory.mark_unresponsive(index, now_us + self.settings.grant_request_timeout_us);
                } else {
                    self.directory.update_load(now_us, index, load, Micros::ZERO);
                }
                self.denied(now_us, request_id, grant_id, reason, retry_after_ms, actions);
            }
            SlotMessage::Request(_)
            | SlotMessage::Withdraw { .. }
            | SlotMessage::Started { .. }
            | SlotMessage::Ready { .. }
            | SlotMessage::Transferred { .. }
            | SlotMessage::Release { .. }
            | SlotMessage::Renew { .. } => {}
        }
    }

    /// Records that the watcher queued the grant request or the ready message.
    pub(super) fn queued(&mut self, now_us: MonoTime, request_id: RequestId, grant_id: GrantId) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            if hold.grant_id == grant_id {
                hold.last_heard_us = now_us;
            }
        }
        if let Some(open) = request.open_grant_request_mut(grant_id) {
            open.queued = true;
        }
    }

    pub(super) fn granted(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        hold: Hold,
        actions: &mut Vec<Action>,
    ) {
        let matching_request =
            self.requests.get_mut(&request_id).and_then(|request| request.take_grant_request(hold.grant_id));
        if matching_request.is_none() {
            // A duplicate of a grant already held is ignored; any other unexpected grant is released.
            let repeated = self.requests.get(&request_id).is_some_and(|request| {
                [request.turn, request.slot].into_iter().flatten().any(|held| held.grant_id == hold.grant_id)
            });
            if !repeated {
                self.release_hold(request_id, Some(hold), GrantOutcome::Unused, actions);
            }
            return;
        }
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.withdraw_grant_requests(&mut request, actions);
        let stage = request.stage;
        let hold = Hold { guaranteed: matching_request.is_some_and(|open| !open.speculative), ..hold };
        match stage {
            Stage::AwaitTurn => {
                request.turn = Some(hold);
                request.uncached_tokens =
                    matching_request.map_or(request.uncached_tokens, |open| open.work_tokens);
            }
            _ => request.slot = Some(hold),
        }
        self.requests.insert(request_id, request);
        match (stage, self.settings.start) {
            (Stage::AwaitTurn, PrefillStart::AfterReservation) => {
                self.enter(now_us, request_id, Stage::AwaitSlot);
                self.request_slot(now_us, request_id, actions);
            }
            (Stage::AwaitTurn, PrefillStart::AtOnce) | (Stage::AwaitSlot, _) => {
                self.start_prefill(now_us, request_id, actions);
            }
            _ => self.announce_ready(now_us, request_id, actions),
        }
    }

    pub(super) fn enter(&mut self, now_us: MonoTime, request_id: RequestId, stage: Stage) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.enter(now_us, stage);
        }
    }

    pub(super) fn confirmed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        grant_id: GrantId,
        rate_bytes_per_s: BytesPerSecond,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        for hold in [&mut request.turn, &mut request.slot].into_iter().flatten() {
            if hold.grant_id == grant_id && hold.phase == GrantPhase::Ready {
                hold.phase = GrantPhase::Transferring;
                hold.rate_bytes_per_s = rate_bytes_per_s;
            }
        }
        let moving = |hold: Option<Hold>| hold.is_some_and(|hold| hold.phase == GrantPhase::Transferring);
        if request.stage == Stage::AwaitTransfer && moving(request.turn) && moving(request.slot) {
            self.start_import(now_us, request_id, actions);
        }
    }

    pub(super) fn denied(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        grant_id: GrantId,
        reason: DenyReason,
        retry_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(open) = request.take_grant_request(grant_id) else {
            return;
        };
        let for_turn = request.stage == Stage::AwaitTurn;
        if for_turn {
            request.record_attempted(open.server);
        }
        if reason == DenyReason::WouldMissTarget || reason == DenyReason::QueueFull {
            let known_ms = request.retry_after_ms.unwrap_or(retry_after_ms);
            request.retry_after_ms = Some(known_ms.min(retry_after_ms));
        }
        if request.has_grant_requests() {
            return;
        }
        if for_turn {
            self.turn_unavailable(now_us, request_id, actions);
        } else {
            self.set_timer(request_id, now_us + self.settings.slot_retry_ms);
        }
    }

    /// Withdraws grant requests that were not answered in time: the message was lost or the watcher failed.
    pub(super) fn grant_request_timer(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let timeout_us = self.settings.grant_request_timeout_us;
        let mut lost = [None; super::request::COPIES_MAX];
        for (open, lost) in request.grant_requests.iter_mut().zip(&mut lost) {
            if open.is_some_and(|open| !open.queued && now_us >= open.sent_us + timeout_us) {
                *lost = open.take();
            }
        }
        let for_turn = request.stage == Stage::AwaitTurn;
        for open in lost.iter().flatten() {
            request.record_attempted(open.server);
            self.counters.grant_request_timeouts += 1;
            self.directory.mark_unresponsive(open.server, now_us + self.settings.unresponsive_skip_ms);
            let server = self.directory.name(open.server).clone();
            actions.push(Action::Send(SlotMessage::Withdraw { server, request_id, grant_id: open.grant_id }));
        }
        let waits = self.requests.get(&request_id).is_some_and(Request::has_grant_requests);
        match (for_turn, waits) {
            (true, true) => {}
            (true, false) => self.turn_unavailable(now_us, request_id, actions),
            (false, _) => self.slot_timer(now_us, request_id, waits, actions),
        }
    }

    /// Limits how long a turn is held while no slot is available: it is released, and the request queues
    /// again with its original deadline.
    pub(super) fn slot_timer(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        waits: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let is_prefilled = request.stage == Stage::AwaitTransfer;
        let until_us = if is_prefilled {
            request.evict_at_us
        } else {
            request.stage_since_us + self.settings.turn_hold_ms
        };
        if now_us < until_us {
            if waits {
                self.set_timer(request_id, until_us);
            } else {
                self.request_slot(now_us, request_id, actions);
            }
            return;
        }
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.counters.turns_returned += 1;
        self.withdraw_grant_requests(&mut request, actions);
        self.release_hold(request_id, request.turn.take(), GrantOutcome::Unused, actions);
        request.rounds = 0;
        request.attempted = Default::default();
        self.requests.insert(request_id, request);
        self.request_turn(now_us, request_id, actions);
    }

    /// Repeats the grant requests that a watcher has queued: it may have lost them, or be a new one.
    pub(super) fn repeat_grant_requests(
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
            .grant_requests
            .iter()
            .flatten()
            .filter(|open| only.is_none_or(|index| index == open.server))
        {
            let message = if for_turn {
                self.turn_request(now_us, request, open)
            } else {
                self.slot_request(now_us, request, open)
            };
            actions.push(Action::Send(SlotMessage::Request(message)));
        }
    }
}
