//! Speeds of single engines.
//!
//! Engines of one service may differ by more than a factor of two. Where all count as equal, prompts queue
//! behind slow prefill engines while fast ones are idle, and the memory of fast decode engines counts as
//! occupied for twice as long as it is. One of a hundred daemons sees two streams in six seconds, so daemons
//! report what they observed, and each adds up the observations of all.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::EnginePool;
use super::engine::Engine;
use super::memory::Growth;
use super::ratio::Ratio;
use super::stats::WorkloadStats;
use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime, Tokens};

/// Half-life of observations. An engine that is slow for 600 ms is not followed: it is fast again when a
/// request placed by that knowledge arrives.
const HALF_LIFE_US: f64 = 5_000_000.0;

/// Interval at which observations decay and speeds are computed. Doing so for each of thousands of messages a
/// second would use up a host's share of its core.
const REFRESH_US: Micros = Micros(250_000);

/// Weight of the pool's mean in the speed of an engine, and number of prompts or answers from which on an
/// engine counts in the comparison of speeds. An engine slowed down for 600 ms completes fewer.
const POOL_WEIGHT_REQUESTS: f64 = 4.0;

/// Ratio of speeds below which engines count as equal. Each choice of a slightly faster engine would
/// otherwise send the requests of all daemons to the same one.
const SPEED_STEP: f64 = 1.25;

/// Largest number of steps from the median: engines that differ by more than a factor of four are treated as
/// if they differed by that, so that a false figure does not keep an engine unused.
const SPEED_STEPS_MAX: f64 = 6.0;

/// A fast decode engine is preferred while it is at most half full. With 413 daemons a message takes 100 ms, in
/// which seven requests arrive in a burst; preferred up to four fifths, an engine was overfilled.
const PREFERRED_FILL_DIVISOR: u64 = 2;

/// Fastest engine that a sample may state.
const TOKENS_PER_MS_MAX: f32 = 10_000.0;

/// Longest time that a sample may state, summed over its requests: a daemon drops older observations by their
/// half-life, and would have to run 80 requests on one engine to exceed this.
const SAMPLE_MS_MAX: f32 = 600_000.0;

/// Largest number of engines in one report; the others follow in the next ones.
const REPORTED_ENGINES_MAX: usize = 32;

/// What one daemon observed of an engine since its previous report.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SpeedSample {
    /// The engine.
    pub server: BackendServerId,
    /// Prompt tokens that it prefilled as a prefill engine.
    pub prefill_tokens: f32,
    /// Time that this took, in ms.
    pub prefill_ms: f32,
    /// Tokens that it decoded.
    pub decode_tokens: f32,
    /// Time that this took, in ms, summed over its requests.
    pub decode_ms: f32,
}

impl SpeedSample {
    /// Whether an engine can have done this. A single implausible sample would outweigh all others.
    fn is_plausible(&self) -> bool {
        let is_possible = |tokens: f32, span_ms: f32| {
            let is_none = tokens == 0.0 && span_ms == 0.0;
            let is_measured = tokens >= 0.0
                && span_ms > 0.0
                && span_ms <= SAMPLE_MS_MAX
                && tokens <= span_ms * TOKENS_PER_MS_MAX;
            is_none || is_measured
        };
        is_possible(self.prefill_tokens, self.prefill_ms) && is_possible(self.decode_tokens, self.decode_ms)
    }
}

/// Speeds of an engine relative to the mean of the pool: 1 for all engines unless speeds differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SpeedFactors {
    pub(super) prefill: f64,
    pub(super) decode: f64,
}

impl Default for SpeedFactors {
    fn default() -> Self {
        Self { prefill: 1.0, decode: 1.0 }
    }
}

/// Tokens per millisecond of one engine, in each kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    prefill: Ratio,
    decode: Ratio,
}

impl Observations {
    fn decayed(self, by: f64) -> Self {
        Self { prefill: self.prefill.scaled(by), decode: self.decode.scaled(by) }
    }
}

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Observed by all daemons.
    all: Observations,
    /// Observed by this daemon since its previous report; absent if nothing.
    unsent: Option<Observations>,
}

/// Speeds of all engines of a pool, by index.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSpeeds {
    known: Vec<Known>,
    /// Engines with unsent observations, in the order in which they are reported.
    unsent: VecDeque<usize>,
    refreshed_us: MonoTime,
    /// Whether the decode speeds differ.
    decode_differs: bool,
}

impl EngineSpeeds {
    fn known(&mut self, index: usize) -> &mut Known {
        if self.known.len() <= index {
            self.known.resize(index + 1, Known::default());
        }
        &mut self.known[index]
    }

    /// Records what this daemon observed.
    fn observe(&mut self, index: usize, record: impl Fn(&mut Observations)) {
        let known = self.known(index);
        record(&mut known.all);
        let is_first = known.unsent.is_none();
        record(known.unsent.get_or_insert_default());
        if is_first {
            self.unsent.push_back(index);
        }
    }

    /// Records what another daemon observed.
    fn receive(&mut self, index: usize, sample: &SpeedSample) {
        if !sample.is_plausible() {
            return;
        }
        let all = &mut self.known(index).all;
        all.prefill.record(sample.prefill_tokens.into(), sample.prefill_ms.into());
        all.decode.record(sample.decode_tokens.into(), sample.decode_ms.into());
    }

    /// Forgets an engine that has left or is another one under the same name.
    pub(super) fn forget(&mut self, index: usize) {
        *self.known(index) = Known::default();
        self.unsent.retain(|&unsent| unsent != index);
    }

    /// Removes and returns the observations for the next report.
    fn take_unsent(&mut self) -> Vec<(usize, Observations)> {
        let count = self.unsent.len().min(REPORTED_ENGINES_MAX);
        let indices = self.unsent.drain(..count);
        indices.filter_map(|index| Some((index, self.known[index].unsent.take()?))).collect()
    }

    /// Lets observations decay and computes the speeds of the engines, at intervals.
    pub(super) fn refresh(&mut self, now_us: MonoTime, stats: &WorkloadStats, engines: &mut [Engine]) {
        if now_us < self.refreshed_us + REFRESH_US {
            return;
        }
        let by = (-(now_us.since(self.refreshed_us).0 as f64) / HALF_LIFE_US).exp2();
        self.refreshed_us = now_us;
        self.known.resize(engines.len(), Known::default());
        for known in &mut self.known {
            known.all = known.all.decayed(by);
            known.unsent = known.unsent.map(|unsent| unsent.decayed(by));
        }
        let prefill = self.factors(stats.prompt(), |observations| observations.prefill);
        let decode = self.factors(stats.answer(), |observations| observations.decode);
        self.decode_differs = decode.is_some();
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.speed = SpeedFactors {
                prefill: prefill.as_ref().map_or(1.0, |factors| factors[index]),
                decode: decode.as_ref().map_or(1.0, |factors| factors[index]),
            };
        }
    }

    /// Speeds in one kind of work relative to the mean of the pool; `None` unless those of engines with enough
    /// observations differ by a step. `tokens` is the mean length of a request in this kind of work.
    ///
    /// Speeds are rounded to whole steps from the median, so that engines that hardly differ stay equal.
    fn factors(&self, tokens: Option<f64>, of: impl Fn(&Observations) -> Ratio) -> Option<Vec<f64>> {
        let observed: Vec<Ratio> = self.known.iter().map(|known| of(&known.all)).collect();
        let mean = observed.iter().fold(Ratio::default(), |sum, &ratio| sum.and(ratio)).mean()?;
        let pool_tokens = tokens? * POOL_WEIGHT_REQUESTS;
        let mut pool = Ratio::default();
        pool.record(pool_tokens, pool_tokens / mean);
        let rates: Vec<f64> = observed.iter().map(|ratio| ratio.mean_with(pool)).collect();
        let is_known = |index: &usize| observed[*index].sum() >= pool_tokens;
        let mut known: Vec<f64> = (0..rates.len()).filter(is_known).map(|index| rates[index]).collect();
        known.sort_unstable_by(f64::total_cmp);
        let (slowest, fastest) = (*known.first()?, *known.last()?);
        if fastest < slowest * SPEED_STEP {
            return None;
        }
        let median = known[(known.len() - 1) / 2];
        let steps = |rate: f64| (rate / median).log(SPEED_STEP).round();
        let rounded =
            |rate: f64| SPEED_STEP.powf(steps(rate).clamp(-SPEED_STEPS_MAX, SPEED_STEPS_MAX)) * median / mean;
        Some(rates.into_iter().map(rounded).collect())
    }
}

impl EnginePool {
    /// Speeds observed since the previous call.
    pub(super) fn take_unsent_speeds(&mut self) -> Vec<SpeedSample> {
        let unsent = self.speeds.take_unsent();
        let sample = |(index, observations): (usize, Observations)| {
            let (prefill_tokens, prefill_ms) = observations.prefill.sums();
            let (decode_tokens, decode_ms) = observations.decode.sums();
            let server = self.engines[index].instance.server().clone();
            SpeedSample { server, prefill_tokens, prefill_ms, decode_tokens, decode_ms }
        };
        unsent.into_iter().map(sample).collect()
    }

    /// Adds what another daemon observed of listed engines.
    pub(super) fn receive_speeds(&mut self, now_us: MonoTime, samples: &[SpeedSample]) {
        if !self.settings.engine_speeds {
            return;
        }
        for sample in samples {
            let index = self.index_by_name.get(&sample.server);
            if let Some(&index) = index.filter(|&&index| self.engines[index].instance.is_listed_live(now_us))
            {
                self.speeds.receive(index, sample);
            }
        }
    }

    /// Records the duration of a prefill that was the only one known at its engine when it began. It is dropped
    /// if another daemon has reported one since: its prompt may have been first, and with messages that take as
    /// long as a prefill, equal engines would seem to differ by a quarter.
    pub(super) fn observe_prefill(
        &mut self,
        now_us: MonoTime,
        prefill_engine: usize,
        prompt: Tokens,
        span_us: Micros,
    ) {
        let peer_prefill_us = self.engines[prefill_engine].peer_prefill_us;
        let was_alone = peer_prefill_us.is_none_or(|peer_us| now_us.since(peer_us) > span_us);
        if self.settings.engine_speeds && was_alone {
            let took_ms = span_us.0 as f64 / 1_000.0;
            let record = |seen: &mut Observations| seen.prefill.record(prompt.0 as f64, took_ms);
            self.speeds.observe(prefill_engine, record);
        }
    }

    /// Records the growth of a running answer.
    pub(super) fn observe_decode(&mut self, decode_engine: usize, tokens: Tokens, span_us: Micros) {
        if self.settings.engine_speeds {
            let took_ms = span_us.0 as f64 / 1_000.0;
            let record = |seen: &mut Observations| seen.decode.record(tokens.0 as f64, took_ms);
            self.speeds.observe(decode_engine, record);
        }
    }

    /// Computes the speeds of the engines, or sets all equal if they are not to be used.
    pub(super) fn refresh_speeds(&mut self, now_us: MonoTime) {
        if self.settings.engine_speeds {
            self.speeds.refresh(now_us, &self.fleet_stats, &mut self.engines);
        }
    }

    /// Forgets all speeds when they are not to be used any more.
    pub(super) fn configure_speeds(&mut self) {
        if !self.settings.engine_speeds {
            self.speeds = EngineSpeeds::default();
            self.engines.iter_mut().for_each(|engine| engine.speed = SpeedFactors::default());
        }
    }

    /// Among decode engines with about equal room, those on which a request takes the least time; all of them
    /// if speeds do not differ.
    ///
    /// An answer on a fast engine frees its memory for the next request sooner. Engines are left out whose
    /// pauses would exceed the target of the request. Engines that are more than half full are used in turn as
    /// before: several daemons that do not know of each other's choice yet would overfill the fastest one.
    pub(super) fn fastest_decode_engines(
        &self,
        now_us: MonoTime,
        equal: Vec<usize>,
        request: DecodeRequest,
    ) -> Vec<usize> {
        if !self.speeds.decode_differs {
            return equal;
        }
        let limit = Tokens(self.memory_limit().0 / PREFERRED_FILL_DIVISOR);
        let is_preferable = |index: &usize| {
            let engine = &self.engines[*index];
            engine.peak(now_us, &self.fleet_stats, Some(request.growth)) <= limit
                && self.keeps_pauses(*index, request.gap_target_ms)
        };
        let preferable: Vec<usize> = equal.iter().filter(|index| is_preferable(index)).copied().collect();
        let speed = |index: &usize| self.engines[*index].speed.decode;
        let Some(fastest) = preferable.iter().map(speed).max_by(f64::total_cmp) else {
            return equal;
        };
        preferable.into_iter().filter(|index| speed(index) >= fastest).collect()
    }
}

/// What the choice of a decode engine depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecodeRequest {
    pub(super) growth: Growth,
    /// Longest pause between events with which the answer counts as in time; absent if there is no limit.
    pub(super) gap_target_ms: Option<Millis>,
}
