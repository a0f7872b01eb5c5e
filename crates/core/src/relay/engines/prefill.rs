//! Where a prompt is read: by an engine that does nothing else, or by the one that writes the answer.

use super::EnginePool;
use super::events::{Demand, Role};
use super::open_request::Open;
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    /// Whether a writer had better read a prompt itself than have it wait for a reader.
    ///
    /// Load: bursts while few engines read. Harm prevented: prompts stand in line at readers until their first event is
    /// late, while writers keep memory for them. Limits: a writer that reads delays all its answers, which costs more of
    /// its memory's time than a wait costs of one request's; so it reads only where that makes an answer in time that
    /// would be late, or where readers have a whole target's time to read, and only as long as its answers' pauses stay in
    /// aim.
    pub(super) fn had_better_read_itself(
        &self,
        now_us: MonoTime,
        writer: usize,
        reader: usize,
        open: &Open,
    ) -> bool {
        let prompt = open.demand.prompt_tokens;
        let at_reader_ms = self.reading_ms(self.engines[reader].reading_all() + prompt);
        let at_writer_ms = self.own_reading_ms(self.engines[writer].reading_all() + prompt);
        let target_ms = open.demand.target_ms;
        let left_ms = target_ms.saturating_sub(open.age_ms(now_us) + START_MARGIN_MS);
        let saves = at_writer_ms <= left_ms && at_reader_ms > left_ms;
        let relieves = at_writer_ms < at_reader_ms && at_reader_ms > target_ms;
        (saves || relieves) && self.may_be_read_by_writers(&open.demand, self.engines[writer].reading_all())
    }

    /// Whether the pauses of a writer's answers stay in aim while it reads a prompt behind what it has to read already.
    fn may_be_read_by_writers(&self, demand: &Demand, ahead: Tokens) -> bool {
        let reading_ms = self.own_reading_ms(ahead + demand.prompt_tokens).0 as f64;
        let pause_ms = self.usual_pause_ms() + reading_ms * self.usual.stall();
        demand.gap_target_ms.is_some_and(|gap_ms| pause_ms <= gap_ms.0 as f64 * PAUSE_SHARE)
    }

    /// Pause between two events of an answer at a writer that reads nothing.
    fn usual_pause_ms(&self) -> f64 {
        self.settings.event_tokens as f64 / self.usual.pace()
    }

    /// Time that a reader takes for prompts.
    pub(super) fn reading_ms(&self, tokens: Tokens) -> Millis {
        span_ms(tokens, self.usual.reading_per_ms())
    }

    /// Time that a writer takes for prompts beside its answers.
    fn own_reading_ms(&self, tokens: Tokens) -> Millis {
        span_ms(tokens, self.usual.own_reading_per_ms())
    }

    /// What the reader with the least to do has to read; nothing where there is no reader.
    pub(super) fn least_backlog(&self, now_us: MonoTime) -> Option<Tokens> {
        self.choose_reader(now_us, None).map(|reader| self.engines[reader].reading_all())
    }

    /// Whether a request that is placed now is late: what is still to come before its first event takes longer than is left
    /// of its target.
    ///
    /// Load: bursts of some seconds beyond what engines can do. Harm prevented: requests are placed in their order when
    /// two thirds of their target are gone, all of them become late while they are read, and none of those behind them is
    /// in time either.
    pub(super) fn is_late(&self, now_us: MonoTime, open: &Open, backlog: Option<Tokens>) -> bool {
        open.is_late(now_us, self.expected_reading_ms(&open.demand, backlog) + START_MARGIN_MS)
    }

    /// Time until a prompt that came now would be read: by a reader with this `backlog`, or by a writer.
    pub(super) fn expected_reading_ms(&self, demand: &Demand, backlog: Option<Tokens>) -> Millis {
        let at_writer_ms = self.own_reading_ms(demand.prompt_tokens);
        let Some(backlog) = backlog else {
            return at_writer_ms;
        };
        let at_reader_ms = self.reading_ms(backlog + demand.prompt_tokens);
        if self.may_be_read_by_writers(demand, Tokens::ZERO) {
            at_reader_ms.min(at_writer_ms)
        } else {
            at_reader_ms
        }
    }

    /// The reader with the least to read.
    pub(super) fn choose_reader(&self, now_us: MonoTime, failed_at: Option<usize>) -> Option<usize> {
        let fits = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Prefill
                && Some(*index) != failed_at
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
        };
        let count = self.engines.len().max(1);
        let order = (0..self.engines.len()).map(|step| (step + self.turn) % count);
        let fitting = order.filter(fits);
        let first = |index: &usize| (self.is_second_choice(*index), self.engines[*index].reading_all());
        fitting.min_by_key(first)
    }

    /// A reader has read `prompt`, with `ahead` before it and in it. Only what was read alone tells its pace: of the prompts
    /// of other daemons it is not known how far they were.
    pub(super) fn note_reading(&mut self, prompt: Tokens, ahead: Tokens, span_us: Micros) {
        if ahead == prompt {
            self.fading.seen.note_reading(prompt, span_us);
        }
    }

    /// A writer has read a prompt itself, between `since_us` and now.
    pub(super) fn note_own_reading(
        &mut self,
        now_us: MonoTime,
        writer: usize,
        prompt: Tokens,
        since_us: MonoTime,
    ) {
        let engine = &mut self.engines[writer];
        engine.own_reading_us = Some((since_us, now_us));
        if engine.reading_all() == prompt {
            self.fading.seen.note_own_reading(prompt, now_us.since(since_us));
        }
    }

    /// An answer had this pause since `before_us`: what its writer read meanwhile was the reason for what is beyond the
    /// usual.
    pub(super) fn note_pause(
        &mut self,
        now_us: MonoTime,
        writer: usize,
        before_us: MonoTime,
        pause_ms: Millis,
    ) {
        let Some((from_us, to_us)) = self.engines[writer].own_reading_us else {
            return;
        };
        if from_us < before_us || to_us > now_us {
            return;
        }
        let stalled_ms = (pause_ms.0 as f64 - self.usual_pause_ms()).max(0.0);
        let reading_ms = to_us.since(from_us).0 as f64 / 1_000.0;
        self.fading.seen.note_stall(stalled_ms.min(reading_ms), reading_ms);
    }
}

fn span_ms(tokens: Tokens, per_ms: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
    Millis((tokens.0 as f64 / per_ms.max(f64::MIN_POSITIVE)) as u64)
}

/// Part of the longest pause in aim up to which a pause is planned: the rest is for messages, and for what another daemon
/// has the same writer read at that moment.
const PAUSE_SHARE: f64 = 0.75;

/// Kept back of the target for messages and for the first step of the writer.
pub(super) const START_MARGIN_MS: Millis = Millis(100);
