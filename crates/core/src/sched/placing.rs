//! Selection of prefill servers for a request, and handling of the results.

use crate::ids::RequestId;
use crate::slots::{GrantRequest, Role, SlotMessage};
use crate::units::{Bytes, BytesPerSecond, Micros, MonoTime, Tokens};

use super::counters::RefusalReason;
use super::directory::{Candidates, Draw, ServerIndex};
use super::events::Action;
use super::request::{OpenGrantRequest, Request, Stage};
use super::scheduler::Scheduler;

/// Candidate server with its score; lower is better.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    pub(super) server: ServerIndex,
    pub(super) score_us: u64,
    pub(super) uncached_tokens: Tokens,
}

const PERCENT: u64 = 100;
pub(super) const MICROS_PER_SECOND: u64 = 1_000_000;
/// Transfer estimates assume the link bandwidth divided by this.
const ASSUMED_LINK_DIVISOR: u64 = 2;

impl Scheduler {
    /// Requests a prefill turn at the two best of a few sampled servers.
    ///
    /// Near capacity, a daemon's load data is stale by a few messages, so daemons that each pick the least
    /// loaded server all pick the same one, and a request can be stuck behind a slow server. Two servers are
    /// therefore asked at once and the first with capacity gets the request: late binding, as with the probes
    /// of Sparrow; the load in each reply follows the advertised load of the hybrid-scheduling paper, section
    /// 4.8. No more than two are asked: the second choice brings nearly all of the gain, and each grant request
    /// costs messages.
    pub(super) fn request_turn(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        request.enter(now_us, Stage::AwaitTurn);
        self.expiries.start_wait(&request);
        if request.ends_at_us.is_some() {
            request.answer_us = self.answer_us(now_us, &request);
        }
        let candidates = self.turn_candidates(now_us, &request);
        let best =
            candidates.map(|scored| scored.filter(|scored| self.can_end_in_time(now_us, &request, scored)));
        let is_too_late = now_us >= request.waits_until_us
            || (candidates.iter().any(Option::is_some) && best.iter().all(Option::is_none));
        if is_too_late {
            self.requests.insert(request_id, request);
            self.expire(now_us, request_id, actions);
            return;
        }
        let best = self.prefer_on_time(now_us, &request, best);
        let copies = grant_request_count(&best);
        for scored in best.into_iter().flatten().take(usize::from(copies)) {
            self.send_turn_request(now_us, &mut request, scored, copies, actions);
        }
        let asked = request.has_grant_requests();
        self.requests.insert(request_id, request);
        if asked {
            self.set_timer(request_id, now_us + self.settings.grant_request_timeout_us);
            return;
        }
        self.turn_unavailable(now_us, request_id, actions);
    }

    /// Whether an attempt that starts at this server now can end within the caller's limit.
    fn can_end_in_time(&self, now_us: MonoTime, request: &Request, scored: &Scored) -> bool {
        let default_us = self.settings.prefill_token_us;
        let work_us = self.directory.work_us(scored.server, scored.uncached_tokens, default_us);
        self.wait_left(now_us, request, scored.server, work_us).is_some()
    }

    fn turn_candidates(&mut self, now_us: MonoTime, request: &Request) -> [Option<Scored>; 2] {
        let mut exclude = [ServerIndex::MAX; super::request::ATTEMPTED_MAX + 1];
        let attempted = request.attempted.iter().chain([&request.failed_at]);
        for (excluded, server) in exclude.iter_mut().zip(attempted) {
            *excluded = server.unwrap_or(ServerIndex::MAX);
        }
        let mut found = Candidates::default();
        let draw = Draw {
            model: &request.arrival.model,
            role: Role::Prefill,
            count: self.settings.sample_size,
            exclude: &exclude,
        };
        self.directory.sample(now_us, draw, &mut self.rng, &mut found);
        let (length, holders) = self.affinity.longest_prefix(&request.arrival.blocks);
        for holder in holders.into_iter().flatten() {
            let prefill = self.directory.get(holder).is_some_and(|entry| entry.record.role == Role::Prefill);
            if prefill && !exclude.contains(&holder) && self.directory.is_usable(now_us, holder) {
                found.push(holder);
            }
        }
        let prefix_tokens = Tokens(length as u64 * self.settings.block_tokens);
        let scored = found.as_slice().iter().map(|&server| {
            let cached_tokens = if holders.contains(&Some(server)) { prefix_tokens } else { Tokens::ZERO };
            self.score_turn(now_us, request, server, cached_tokens)
        });
        best_two(scored)
    }

    /// Drops servers too slow to meet the target if another server can meet it, or could a moment ago. They
    /// would queue the request as late, behind all others, although it can still meet its target elsewhere.
    fn prefer_on_time(
        &self,
        now_us: MonoTime,
        request: &Request,
        best: [Option<Scored>; 2],
    ) -> [Option<Scored>; 2] {
        let is_on_time = |scored: &Scored| {
            let default_us = self.settings.prefill_token_us;
            let work_us = self.directory.work_us(scored.server, scored.uncached_tokens, default_us);
            self.turn_slack(now_us, request, scored.server, work_us).is_some()
        };
        let on_time = best.map(|scored| scored.filter(is_on_time));
        let was_denied = request.retry_after_ms.is_some() && !request.has_run();
        match on_time {
            [None, None] if !was_denied => best,
            [None, second] => [second, None],
            _ => on_time,
        }
    }

    /// Scores a server by the expected time to the end of the prefill. It includes the wait, so that a hot
    /// prefix does not overload the server that caches it: once the wait there exceeds the time that the
    /// cache saves, the request goes elsewhere and the prefix is cached at both servers from then on.
    fn score_turn(
        &self,
        now_us: MonoTime,
        request: &Request,
        server: ServerIndex,
        cached_tokens: Tokens,
    ) -> Scored {
        let uncached_tokens = request.prefill_tokens().saturating_sub(cached_tokens).max(Tokens(1));
        let work_us = self.directory.work_us(server, uncached_tokens, self.settings.prefill_token_us);
        let wait_us = self.directory.get(server).map_or(0, |entry| entry.wait_us(now_us));
        Scored { server, score_us: wait_us + work_us.0, uncached_tokens }
    }

    fn send_turn_request(
        &mut self,
        now_us: MonoTime,
        request: &mut Request,
        scored: Scored,
        copies: u8,
        actions: &mut Vec<Action>,
    ) {
        let open = OpenGrantRequest {
            server: scored.server,
            grant_id: self.new_grant_id(),
            sent_us: now_us,
            queued: false,
            copies,
            speculative: false,
            work_tokens: scored.uncached_tokens,
        };
        let message = self.turn_request(now_us, request, &open);
        let work_us = self.directory.work_us(open.server, open.work_tokens, self.settings.prefill_token_us);
        self.directory.record_grant_request(open.server, work_us, copies);
        add_grant_request(request, open);
        actions.push(Action::Send(SlotMessage::Request(message)));
    }

    pub(super) fn turn_request(
        &self,
        now_us: MonoTime,
        request: &Request,
        open: &OpenGrantRequest,
    ) -> GrantRequest {
        let work_us = self.directory.work_us(open.server, open.work_tokens, self.settings.prefill_token_us);
        GrantRequest {
            request_id: request.arrival.request_id,
            grant_id: open.grant_id,
            server: self.directory.name(open.server).clone(),
            partner: request.arrival.partner.clone(),
            work_tokens: open.work_tokens,
            kv_bytes: self.kv_estimate(request.prefill_tokens()),
            charge_us: self.charge_us(request, work_us),
            slack_us: self.turn_slack(now_us, request, open.server, work_us),
            copies: open.copies,
            needed_in_us: None,
            wait_max_us: Some(self.wait_left(now_us, request, open.server, work_us).unwrap_or(Micros::ZERO)),
        }
    }

    /// Cost of a request charged to its partner: its share of the resource of which it uses most, in time of
    /// one prefill server. If only prefill were charged, short prompts with long answers would look cheap and
    /// take the decode slots from all other partners.
    fn charge_us(&self, request: &Request, prefill_us: Micros) -> Micros {
        let answer = self.expected_answer(request);
        let slot_us = (self.settings.decode_token_us.0 * answer.0 + prefill_us.0) as f64;
        let prefill_share_us = slot_us * self.directory.prefill_servers_per_slot();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        let dominant_us = (prefill_us.0 as f64).max(prefill_share_us) as u64;
        Micros(dominant_us)
    }

    /// Time left until the turn must be granted. `None` for a request that cannot meet its target even on an
    /// idle server: it is still answered, but after those that can.
    fn turn_slack(
        &self,
        now_us: MonoTime,
        request: &Request,
        server: ServerIndex,
        work_us: Micros,
    ) -> Option<Micros> {
        let wait_us = self.wait_left(now_us, request, server, work_us)?;
        if request.first_token_us.is_some() {
            // The answer has begun and any wait interrupts it. The request is ahead of most, but must not be
            // denied for a short wait.
            return Some(wait_us);
        }
        let target_us = Micros::from(request.arrival.first_token_target_ms).0;
        let margin_us = target_us * self.settings.margin_percent / PERCENT;
        let needed_us = self.attempt_us(request, server, work_us).0 + margin_us;
        let left_us = request.deadline_us.since(now_us).0;
        left_us.checked_sub(needed_us).map(|slack_us| Micros(slack_us).min(wait_us))
    }

    /// Time for which a request can wait for a turn at this server; `None` if even an attempt without a wait
    /// takes longer than its caller waits.
    fn wait_left(
        &self,
        now_us: MonoTime,
        request: &Request,
        server: ServerIndex,
        work_us: Micros,
    ) -> Option<Micros> {
        request.wait_left(now_us, self.attempt_us(request, server, work_us))
    }

    /// Expected time from the start of a prefill that takes `work_us` to the first token.
    fn attempt_us(&self, request: &Request, server: ServerIndex, work_us: Micros) -> Micros {
        let kv_bytes = self.kv_estimate(request.prefill_tokens());
        let link = self.directory.get(server).map_or(0, |entry| entry.record.link_bytes_per_s.0);
        let move_us = transfer_us(kv_bytes, BytesPerSecond(link / ASSUMED_LINK_DIVISOR));
        work_us + move_us + self.settings.decode_token_us + self.settings.overhead_us
    }

    /// Handles a request that none of the asked servers accepts: tries the remaining servers, then refuses
    /// it. Before the first prefill this is a refusal with no work started; later it is a retry that found no
    /// server.
    ///
    /// If watchers did not answer at all, as in the second after a daemon failed, the load of the servers is
    /// unknown, and refusing would turn a change of watcher into an outage. The request then waits briefly
    /// and asks again, as long as it can still meet its target.
    pub(super) fn turn_unavailable(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let denied = request.retry_after_ms;
        request.rounds += u8::from(denied.is_some());
        let again = request.rounds < self.settings.grant_request_rounds;
        let has_run = request.has_run();
        let is_on_time = now_us < request.deadline_us;
        let model = request.arrival.model.clone();
        if again && self.has_unattempted(now_us, request_id) {
            self.request_turn(now_us, request_id, actions);
            return;
        }
        if has_run {
            self.retry_after_backoff(now_us, request_id, actions);
            return;
        }
        let served = self.directory.serves(&model, Role::Prefill);
        if denied.is_none() && served && is_on_time {
            self.wait_for_watchers(now_us, request_id);
            return;
        }
        let reason = match denied {
            Some(_) => RefusalReason::WouldMissTarget,
            None if served => RefusalReason::Unreachable,
            None => RefusalReason::NoServer,
        };
        self.refuse(request_id, reason, denied.unwrap_or(self.settings.unresponsive_skip_ms), actions);
    }

    fn wait_for_watchers(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.enter(now_us, Stage::Backoff);
            request.attempted = Default::default();
            self.set_timer(request_id, now_us + self.settings.no_answer_backoff_ms);
        }
    }

    fn has_unattempted(&mut self, now_us: MonoTime, request_id: RequestId) -> bool {
        let Some(request) = self.requests.get(&request_id).cloned() else {
            return false;
        };
        self.turn_candidates(now_us, &request)[0].is_some()
    }
}

/// Asks two servers, unless the first has so much of the prompt cached that the second would be a loss.
fn grant_request_count(best: &[Option<Scored>; 2]) -> u8 {
    match best {
        [Some(first), Some(second)] => {
            let has_more_cached = first.uncached_tokens < second.uncached_tokens;
            if has_more_cached && first.score_us * 2 < second.score_us { 1 } else { 2 }
        }
        _ => 1,
    }
}

pub(super) fn add_grant_request(request: &mut Request, open: OpenGrantRequest) {
    if let Some(vacancy) = request.grant_requests.iter_mut().find(|vacancy| vacancy.is_none()) {
        *vacancy = Some(open);
    }
}

pub(super) fn best_two<Servers>(scored: Servers) -> [Option<Scored>; 2]
where
    Servers: Iterator<Item = Scored>,
{
    scored.fold([None, None], insert_best)
}

pub(super) fn insert_best(best: [Option<Scored>; 2], scored: Scored) -> [Option<Scored>; 2] {
    match best {
        [None, _] => [Some(scored), None],
        [Some(first), _] if scored.score_us < first.score_us => [Some(scored), Some(first)],
        [first, Some(second)] if scored.score_us >= second.score_us => [first, Some(second)],
        [first, _] => [first, Some(scored)],
    }
}

/// Duration of a transfer.
pub(super) fn transfer_us(kv_bytes: Bytes, rate: BytesPerSecond) -> Micros {
    if rate.0 == 0 {
        return Micros::ZERO;
    }
    Micros(kv_bytes.0.saturating_mul(MICROS_PER_SECOND) / rate.0)
}
