//! Which engines a request goes to.

use super::EnginePool;
use super::events::{EngineAction, Role};
use super::memory::Growth;
use super::open_request::{Payment, Stage};
use crate::ids::RequestId;
use crate::sched::FailureCause;
use crate::units::{Millis, MonoTime, Tokens};

impl EnginePool {
    /// Places waiting requests, the most urgent first, for as long as there is room.
    pub(super) fn serve(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        while let Some(position) = self.most_urgent(now_us) {
            let request_id = self.waiting[position];
            if !self.place(now_us, request_id, actions) {
                return;
            }
            self.waiting.retain(|&waiting| waiting != request_id);
        }
    }

    /// Answers that broke off go on first: half an answer is worth nothing. Then, requests that have not waited too long
    /// here go before those that have: a place given to a late one makes the next one late as well. Among equals the
    /// smaller rank, then the one that came first.
    fn most_urgent(&self, now_us: MonoTime) -> Option<usize> {
        let placeable = |position: &usize| !self.open[&self.waiting[*position]].owes();
        if !(0..self.waiting.len()).any(|position| placeable(&position)) {
            return None;
        }
        let backlog = self.least_backlog(now_us);
        let key = |request_id: &RequestId| {
            let open = &self.open[request_id];
            (
                !open.begun,
                self.is_late(now_us, open, backlog),
                open.demand.priority,
                open.arrived_us,
                *request_id,
            )
        };
        (0..self.waiting.len()).filter(placeable).min_by_key(|&position| key(&self.waiting[position]))
    }

    /// Chooses engines for a request; false when there is no room for it.
    fn place(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) -> bool {
        let open = &self.open[&request_id];
        let (growth, failed_at) = (open.growth(), open.failed_at);
        let is_late = !open.begun && self.is_late(now_us, open, self.least_backlog(now_us));
        let limit = if is_late { self.late_limit() } else { self.memory_limit() };
        let fitting = self.fitting_writers(now_us, growth, limit, failed_at);
        let Some(writer) = self.choose_writer(&fitting) else {
            return false;
        };
        self.engines[writer].hold(now_us, request_id, growth);
        self.engines[writer].instance.start(now_us);
        if self.settings.reserve_ms_max == Millis::ZERO {
            self.read(now_us, request_id, writer, actions);
            return true;
        }
        if let Some(open) = self.open.get_mut(&request_id) {
            open.stage = Stage::Reserving { writer };
        }
        actions.push(EngineAction::Reserve {
            request_id,
            writer: self.engines[writer].instance.server().clone(),
            tokens: growth.now + Tokens(growth.answer.0 / AHEAD_DIVISOR),
            keep_ms: self.settings.reserve_ms_max,
            timeout_ms: RESERVE_TIMEOUT_MS,
        });
        true
    }

    pub(super) fn reserved(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        if let Some(Stage::Reserving { writer }) = self.open.get(&request_id).map(|open| open.stage) {
            self.read(now_us, request_id, writer, actions);
        }
    }

    /// Nothing was sent that could run, so another engine is asked without any cost to the budget.
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
        let Stage::Reserving { writer } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        self.give_back(now_us, writer, request_id, cause);
        self.wait_again(now_us, request_id, actions);
    }

    /// A writer did not take a request.
    pub(super) fn give_back(
        &mut self,
        now_us: MonoTime,
        writer: usize,
        request_id: RequestId,
        cause: FailureCause,
    ) {
        let engine = &mut self.engines[writer];
        engine.release(request_id);
        engine.instance.fail(now_us, cause, true);
        if cause == FailureCause::NoRoom {
            engine.refused(now_us);
        }
    }

    /// Has the prompt read for `writer`, or lets it go on from a KV cache that is still kept.
    fn read(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        writer: usize,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let (prompt_tokens, failed_at, read) = (open.demand.prompt_tokens, open.failed_at, open.read);
        let kept = read.filter(|&(_, read_us)| now_us < read_us + self.settings.hold_ms);
        // Reading again and writing again are paid for each, and so is a read that is refused. Where the budget does
        // not bear that, the writer reads: slower, and free.
        let price = u64::from(open.reads > 0) + u64::from(open.owes());
        let can_pay = self.budget.has(now_us, price);
        let reader = match kept {
            None if can_pay => self
                .choose_reader(now_us, failed_at)
                .filter(|&reader| !self.had_better_read_itself(now_us, writer, reader, open)),
            Some(_) | None => None,
        };
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if let Some(reader) = reader {
            self.engines[reader].begin_reading(prompt_tokens);
            self.engines[reader].instance.start(now_us);
            let ahead = self.engines[reader].reading_all();
            open.stage = Stage::Reading { reader, writer, since_us: now_us, ahead };
            let expected_ms = self.reading_ms(ahead);
            actions.push(EngineAction::Read {
                request_id,
                reader: self.engines[reader].instance.server().clone(),
                timeout_ms: expected_ms + self.settings.read_slack_ms,
            });
            return;
        }
        self.write(now_us, request_id, writer, kept.map(|(reader, _)| reader), actions);
    }

    /// Sends a request to the engine that writes its answer.
    pub(super) fn write(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        writer: usize,
        reader: Option<usize>,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let reads = if reader.is_some() { Tokens::ZERO } else { open.demand.prompt_tokens };
        open.stage = Stage::Writing { writer, since_us: now_us, reads };
        self.engines[writer].begin_reading(reads);
        let is_further = open.tries.made() > 0;
        let is_paid = !open.owes() || self.budget.withdraw(now_us);
        open.payment = Payment::None;
        if !is_paid || open.tries.begin().is_err() {
            self.counters.retries_denied += 1;
            self.give_up(now_us, request_id, actions);
            return;
        }
        self.counters.retries += u64::from(is_further);
        actions.push(EngineAction::Write {
            request_id,
            writer: self.engines[writer].instance.server().clone(),
            reader: reader.map(|reader| self.engines[reader].instance.server().clone()),
        });
    }

    /// The writers that have room, those that will be least filled first. Memory binds before slots: an engine that runs
    /// out of it throws a running request out, and the pause makes that answer late.
    fn fitting_writers(
        &self,
        now_us: MonoTime,
        growth: Growth,
        limit: Tokens,
        failed_at: Option<usize>,
    ) -> Vec<usize> {
        let takes = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Decode
                && Some(*index) != failed_at
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
        };
        let filled = (0..self.engines.len()).filter(takes).filter_map(|index| {
            let engine = &self.engines[index];
            let peak = engine.peak(now_us, &self.usual, Some(growth));
            let running = engine.running();
            // Alone it may take all there is, whatever was expected of it.
            (running == 0 || peak <= limit).then_some((peak, running, index))
        });
        let mut filled: Vec<_> = filled.collect();
        if filled.iter().any(|(_, _, index)| !self.is_second_choice(*index)) {
            filled.retain(|(_, _, index)| !self.is_second_choice(*index));
        }
        filled.sort_unstable();
        filled.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Whether an engine is used only where none of the own data centre is left.
    ///
    /// Load: a fleet whose daemons receive only messages of their own data centre. Harm prevented:
    /// daemons of several data centres fill the same engines without knowing of each other.
    pub(super) fn is_second_choice(&self, index: usize) -> bool {
        self.settings.near_first && !self.engines[index].near
    }

    /// One of the writers that have room.
    ///
    /// Load: many daemons, each of which hears of the others' choices some milliseconds late. Harm prevented: all of them
    /// take the emptiest writer, or rush at the one that has just come free, and it outgrows its memory. So while
    /// requests wait at other daemons too, a writer is for that one of them which its hash names; otherwise the
    /// emptier ones are taken in turn.
    fn choose_writer(&mut self, fitting: &[usize]) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let rivals = self.peers.rivals();
        if rivals.is_empty() {
            let emptier = fitting.len().div_ceil(EMPTIER_DIVISOR).max(1);
            return fitting.get(self.turn % emptier).copied();
        }
        let is_own = |index: &&usize| {
            let engine = self.engines[**index].rank;
            let own = self.rank.claim(engine);
            rivals.iter().all(|rival| own < rival.claim(engine))
        };
        fitting.iter().find(is_own).copied()
    }
}

/// The first quarter of the writers that have room are about equally empty.
const EMPTIER_DIVISOR: usize = 4;

/// An engine answers a reservation within two round trips; a silent one must not cost a request its target.
const RESERVE_TIMEOUT_MS: Millis = Millis(150);

/// Part of the expected answer that is reserved beyond the prompt: its first events. What comes later is followed here;
/// reserved at once, it would stand empty for seconds, and engines would refuse what fits.
const AHEAD_DIVISOR: u64 = 6;
