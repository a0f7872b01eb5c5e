//! Where a prompt is prefilled: on a prefill engine, or on the engine that decodes the answer.

use super::EnginePool;
use super::engine::Engine;
use super::events::{Demand, Role, VersionBinding};
use super::open_request::OpenRequest;
use crate::ids::DataCentreId;
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    /// Whether a decode engine should prefill a prompt itself rather than leave it to a prefill engine.
    ///
    /// In bursts with few prefill engines, prompts queue there until their first event is late, while decode
    /// engines keep memory reserved for them. But a decode engine that prefills delays all its answers, which
    /// costs more memory time than the wait of one request. So it does so only if that makes a late answer in
    /// time, or if prefill engines have a backlog of more than a whole target, and only while the pauses of
    /// its answers stay within their target.
    pub(super) fn should_prefill_on_decode_engine(
        &self,
        now_us: MonoTime,
        decode_engine: usize,
        prefill_engine: usize,
        open: &OpenRequest,
    ) -> bool {
        let prompt = open.demand.prompt_tokens;
        let backlog = self.engines[prefill_engine].prefill_backlog();
        let prefill_engine_ms = self.prefill_ms(backlog + prompt, self.engines[prefill_engine].speed.prefill);
        let decode_engine_ms =
            self.decode_engine_prefill_ms(self.engines[decode_engine].prefill_backlog() + prompt);
        let target_ms = open.demand.target_ms;
        let left_ms = target_ms.saturating_sub(open.age_ms(now_us) + START_MARGIN_MS);
        let meets_target = decode_engine_ms <= left_ms && prefill_engine_ms > left_ms;
        let relieves_backlog = decode_engine_ms < prefill_engine_ms && prefill_engine_ms > target_ms;
        (meets_target || relieves_backlog)
            && self.decode_engines_may_prefill(
                &open.demand,
                self.engines[decode_engine].prefill_backlog(),
                self.engines[decode_engine].speed.decode,
            )
    }

    /// Whether the pauses of answers on a decode engine of this relative `speed` stay within their target while
    /// it prefills a prompt behind its backlog.
    fn decode_engines_may_prefill(&self, demand: &Demand, ahead: Tokens, speed: f64) -> bool {
        let prefill_ms = self.decode_engine_prefill_ms(ahead + demand.prompt_tokens).0 as f64;
        let pause_ms = self.typical_pause_ms(speed) + prefill_ms * self.fleet_stats.stall();
        demand.gap_target_ms.is_some_and(|gap_ms| pause_ms <= gap_ms.0 as f64 * PAUSE_SHARE)
    }

    /// Whether the pauses of a further answer on a decode engine stay within their target while the engine
    /// prefills its backlog.
    pub(super) fn keeps_pauses(&self, decode_engine: usize, gap_target_ms: Option<Millis>) -> bool {
        let engine = &self.engines[decode_engine];
        let prefill_ms = self.decode_engine_prefill_ms(engine.prefill_backlog()).0 as f64;
        let pause_ms = self.typical_pause_ms(engine.speed.decode) + prefill_ms * self.fleet_stats.stall();
        gap_target_ms.is_none_or(|gap_ms| pause_ms <= gap_ms.0 as f64 * PAUSE_SHARE)
    }

    /// Pause between two events of an answer on a decode engine of this relative `speed` that prefills nothing.
    fn typical_pause_ms(&self, speed: f64) -> f64 {
        self.settings.event_tokens as f64 / (self.fleet_stats.decode_rate() * speed)
    }

    /// Time that a prefill engine of this relative `speed` takes to prefill `tokens`.
    pub(super) fn prefill_ms(&self, tokens: Tokens, speed: f64) -> Millis {
        span_ms(tokens, self.fleet_stats.prefill_tokens_per_ms() * speed)
    }

    /// Time that a decode engine takes to prefill `tokens` beside its answers.
    fn decode_engine_prefill_ms(&self, tokens: Tokens) -> Millis {
        span_ms(tokens, self.fleet_stats.decode_engine_prefill_tokens_per_ms())
    }

    /// Backlog of the prefill engine that would finish a typical prompt first; `None` if there is none.
    pub(super) fn least_backlog(&self, now_us: MonoTime) -> Option<PrefillBacklog> {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        let typical = Tokens(self.fleet_stats.prompt().unwrap_or_default() as u64);
        self.choose_prefill_engine(now_us, typical, None, &VersionBinding::Any).map(|prefill_engine| {
            let engine = &self.engines[prefill_engine];
            PrefillBacklog { tokens: engine.prefill_backlog(), speed: engine.speed.prefill }
        })
    }

    /// Whether a request placed now would be late: the time needed before its first event exceeds what is
    /// left of its target.
    ///
    /// In bursts of some seconds beyond the capacity of the engines, requests placed in order of arrival have
    /// used two thirds of their target; all of them become late during prefill, and none of those behind them
    /// is in time either.
    pub(super) fn is_late(
        &self,
        now_us: MonoTime,
        open: &OpenRequest,
        backlog: Option<PrefillBacklog>,
    ) -> bool {
        open.is_late(now_us, self.expected_prefill_ms(&open.demand, backlog) + START_MARGIN_MS)
    }

    /// Time until a prompt that arrives now would be prefilled, by a prefill engine with this `backlog` or by
    /// a decode engine.
    pub(super) fn expected_prefill_ms(&self, demand: &Demand, backlog: Option<PrefillBacklog>) -> Millis {
        let decode_engine_ms = self.decode_engine_prefill_ms(demand.prompt_tokens);
        let Some(backlog) = backlog else {
            return decode_engine_ms;
        };
        let prefill_engine_ms = self.prefill_ms(backlog.tokens + demand.prompt_tokens, backlog.speed);
        if self.decode_engines_may_prefill(demand, Tokens::ZERO, 1.0) {
            prefill_engine_ms.min(decode_engine_ms)
        } else {
            prefill_engine_ms
        }
    }

    /// The prefill engine that finishes a prompt first among those that `binding` allows. A KV cache is read at
    /// the version that wrote it only.
    pub(super) fn choose_prefill_engine(
        &self,
        now_us: MonoTime,
        prompt: Tokens,
        failed_at: Option<usize>,
        binding: &VersionBinding,
    ) -> Option<usize> {
        self.choose_prefill_engine_in(now_us, prompt, failed_at, binding, None)
    }

    /// The prefill engine that finishes a prompt first among those of a data centre, or of any.
    ///
    /// A request that spills over has its prompt prefilled in the data centre that decodes its answer: the KV cache is
    /// larger than all else of the request, and bytes between data centres are priced.
    pub(super) fn choose_prefill_engine_in(
        &self,
        now_us: MonoTime,
        prompt: Tokens,
        failed_at: Option<usize>,
        binding: &VersionBinding,
        data_centre: Option<&DataCentreId>,
    ) -> Option<usize> {
        let is_eligible = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Prefill
                && data_centre.is_none_or(|data_centre| engine.data_centre == *data_centre)
                && Some(*index) != failed_at
                && binding.allows(&engine.version)
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
        };
        let count = self.engines.len().max(1);
        let order = (0..self.engines.len()).map(|step| (step + self.rotation) % count);
        let eligible = order.filter(is_eligible);
        // The time until it finishes, as the tokens that an engine of mean speed would prefill by then.
        let finishes = |engine: &Engine| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
            let tokens = ((engine.prefill_backlog() + prompt).0 as f64 / engine.speed.prefill) as u64;
            Tokens(tokens)
        };
        let first = |index: &usize| (self.is_remote_fallback(*index), finishes(&self.engines[*index]));
        eligible.min_by_key(first)
    }

    /// Records the duration of a prefill. Only a prompt that was prefilled alone shows the rate: how far the
    /// prompts of other daemons were is not known.
    pub(super) fn record_prefill(
        &mut self,
        now_us: MonoTime,
        prefill_engine: usize,
        prompt: Tokens,
        ahead: Tokens,
        span_us: Micros,
    ) {
        if ahead == prompt {
            self.own_stats.stats.record_prefill(prompt, span_us);
            self.observe_prefill(now_us, prefill_engine, prompt, span_us);
        }
    }

    /// Records that a decode engine has prefilled a prompt itself, between `since_us` and now.
    pub(super) fn record_decode_engine_prefill(
        &mut self,
        now_us: MonoTime,
        decode_engine: usize,
        prompt: Tokens,
        since_us: MonoTime,
    ) {
        let engine = &mut self.engines[decode_engine];
        engine.last_own_prefill_us = Some((since_us, now_us));
        if engine.prefill_backlog() == prompt {
            self.own_stats.stats.record_decode_engine_prefill(prompt, now_us.since(since_us));
        }
    }

    /// Records a pause of an answer since `before_us`: what exceeds the typical pause was caused by a prefill
    /// on its decode engine.
    pub(super) fn record_pause(
        &mut self,
        now_us: MonoTime,
        decode_engine: usize,
        before_us: MonoTime,
        pause_ms: Millis,
    ) {
        let Some((from_us, to_us)) = self.engines[decode_engine].last_own_prefill_us else {
            return;
        };
        if from_us < before_us || to_us > now_us {
            return;
        }
        let typical_ms = self.typical_pause_ms(self.engines[decode_engine].speed.decode);
        let stalled_ms = (pause_ms.0 as f64 - typical_ms).max(0.0);
        let prefill_ms = to_us.since(from_us).0 as f64 / 1_000.0;
        self.own_stats.stats.record_stall(stalled_ms.min(prefill_ms), prefill_ms);
    }
}

/// Backlog of a prefill engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillBacklog {
    /// Prompt tokens that it has to prefill.
    tokens: Tokens,
    /// Its speed relative to the mean of the pool.
    speed: f64,
}

fn span_ms(tokens: Tokens, per_ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
    Millis((tokens.0 as f64 / per_ms.max(f64::MIN_POSITIVE)) as u64)
}

/// Part of the longest pause in target up to which a pause is planned: the rest allows for messages, and for
/// what another daemon has the same decode engine prefill at that moment.
const PAUSE_SHARE: f64 = 0.75;

/// Part of the target kept for messages and for the first step of the decode engine.
pub(super) const START_MARGIN_MS: Millis = Millis(100);
