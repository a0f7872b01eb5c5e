//! The ways that lost: placement without a ledger, prefill started at once.

use std::collections::HashMap;

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::sched::{
    Action, Arrival, Attempt, Event, FailureCause, RefusalReason, WasteCause, WorkStage,
};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime, Tokens};

use super::load::{PREFILL_TOKEN_US, Placement};

/// What a baseline knows of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub wait_us: u64,
    pub free: i64,
}

/// What a baseline wants done.
#[derive(Debug)]
pub enum Wish {
    Do(Action),
    /// Ask two servers for their load; the answer comes to `probed`.
    Probe(RequestId, [usize; 2]),
    /// Call `retry` then.
    Later(RequestId, u64),
}

#[derive(Debug)]
struct Open {
    arrival: Arrival,
    at_us: u64,
    attempt: Attempt,
    prefill: usize,
    decode: usize,
    done_us: Option<u64>,
    moving: bool,
    decoding: bool,
    worked: u64,
    give_up_us: Option<u64>,
}

/// Decides for one daemon without a ledger.
#[derive(Debug)]
pub struct Baseline {
    placement: Placement,
    prefills: usize,
    seen: Vec<Seen>,
    open: HashMap<RequestId, Open>,
    state: u64,
    pub wasted: u64,
    pub prefilled: u64,
    pub turned_away_late: u64,
}

const LINK_PART: u64 = 2_500_000_000 / 4;
const EVICT_US: u64 = 800_000;
const ATTEMPTS: u32 = 3;

impl Baseline {
    pub fn new(placement: Placement, prefills: usize, decodes: usize, seed: u64) -> Self {
        let mut seen = vec![Seen::default(); prefills + decodes];
        seen[prefills..].iter_mut().for_each(|seen| seen.free = 20);
        let open = HashMap::new();
        Self {
            placement,
            prefills,
            seen,
            open,
            state: seed | 1,
            wasted: 0,
            prefilled: 0,
            turned_away_late: 0,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state % below as u64) as usize
    }

    /// Takes a load report.
    pub fn report(&mut self, server: usize, seen: Seen) {
        self.seen[server] = seen;
    }

    pub fn handle(&mut self, now_us: MonoTime, event: Event, wishes: &mut Vec<Wish>) {
        match event {
            Event::Arrive(arrival) => {
                let request_id = arrival.request_id;
                let open = Open {
                    arrival,
                    at_us: now_us.0,
                    attempt: Attempt(0),
                    prefill: 0,
                    decode: 0,
                    done_us: None,
                    moving: false,
                    decoding: false,
                    worked: 0,
                    give_up_us: None,
                };
                self.open.insert(request_id, open);
                self.place(now_us, request_id, wishes);
            }
            Event::PrefillDone { request_id, attempt, cached_tokens, .. } => {
                let Some(open) = self.open.get_mut(&request_id).filter(|open| open.attempt == attempt) else {
                    return;
                };
                open.done_us = Some(now_us.0);
                open.give_up_us = None;
                open.worked = open.arrival.prompt_tokens.0 - cached_tokens.0;
                self.prefilled += open.worked;
                self.place(now_us, request_id, wishes);
            }
            Event::Imported { request_id, attempt } => {
                let Some(open) = self.open.get_mut(&request_id) else {
                    return;
                };
                open.decoding = true;
                open.give_up_us = None;
                let server = server_name(self.prefills, open.decode);
                let (from_index, token_timeout_ms) = (Tokens(0), Millis(60_000));
                let decode = Action::Decode {
                    request_id,
                    attempt,
                    server,
                    from_index,
                    resume: false,
                    token_timeout_ms,
                };
                wishes.push(Wish::Do(decode));
            }
            Event::Failed { request_id, stage, cause, .. } => {
                self.failed(now_us, request_id, stage, cause, wishes)
            }
            Event::Finished { request_id, .. } => {
                self.open.remove(&request_id);
            }
            Event::CallerLeft { request_id } => {
                if let Some(open) = self.open.remove(&request_id) {
                    self.wasted += if open.decoding { 0 } else { open.worked };
                    for server in [open.prefill, open.decode] {
                        let server = server_name(self.prefills, server);
                        wishes.push(Wish::Do(Action::Cancel { request_id, server }));
                    }
                }
            }
            _ => {}
        }
    }

    fn failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        stage: WorkStage,
        cause: FailureCause,
        wishes: &mut Vec<Wish>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        open.moving = false;
        open.give_up_us = None;
        let kept = open.done_us.is_some_and(|done_us| now_us.0 < done_us + EVICT_US);
        if stage == WorkStage::Import && cause == FailureCause::NoRoom && kept {
            wishes.push(Wish::Later(request_id, now_us.0 + 20_000));
            return;
        }
        self.wasted += std::mem::take(&mut open.worked);
        open.done_us = None;
        if open.attempt.0 >= ATTEMPTS {
            self.turned_away_late += 1;
            self.open.remove(&request_id);
            return;
        }
        self.place(now_us, request_id, wishes);
    }

    pub fn retry(&mut self, now_us: MonoTime, request_id: RequestId, wishes: &mut Vec<Wish>) {
        if let Some(open) = self.open.get_mut(&request_id)
            && open.give_up_us.is_some_and(|at_us| at_us <= now_us.0)
        {
            // The same patience as the scheduler's: the step is given up, cancelled and done elsewhere.
            open.give_up_us = None;
            let reading = open.done_us.is_none();
            let server = if reading { open.prefill } else { open.decode };
            if reading {
                open.worked = open.arrival.prompt_tokens.0;
            }
            let server = server_name(self.prefills, server);
            wishes.push(Wish::Do(Action::Cancel { request_id, server }));
            let stage = if reading { WorkStage::Prefill } else { WorkStage::Import };
            self.failed(now_us, request_id, stage, FailureCause::Timeout, wishes);
            return;
        }
        if self.open.get(&request_id).is_some_and(|open| !open.moving && open.done_us.is_some()) {
            self.place(now_us, request_id, wishes);
        }
    }

    fn place(&mut self, now_us: MonoTime, request_id: RequestId, wishes: &mut Vec<Wish>) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let for_prefill = open.done_us.is_none();
        let (start, len) =
            if for_prefill { (0, self.prefills) } else { (self.prefills, self.seen.len() - self.prefills) };
        if self.placement == Placement::RandomTwo {
            let first = self.draw(len);
            let second = (first + 1 + self.draw(len - 1)) % len;
            wishes.push(Wish::Probe(request_id, [start + first, start + second]));
            return;
        }
        let best = (start..start + len).min_by_key(|&server| self.cost(server, for_prefill)).unwrap();
        self.go(now_us, request_id, best, wishes);
    }

    fn cost(&self, server: usize, for_prefill: bool) -> i64 {
        let seen = self.seen[server];
        if for_prefill { seen.wait_us as i64 } else { -seen.free }
    }

    /// The answer of a probe.
    pub fn probed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        loads: [(usize, Seen); 2],
        wishes: &mut Vec<Wish>,
    ) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let for_prefill = open.done_us.is_none();
        if (loads[0].0 < self.prefills) != for_prefill {
            // It was given up and begun again while the probe was on its way.
            return;
        }
        loads.iter().for_each(|&(server, seen)| self.seen[server] = seen);
        let best =
            loads.iter().map(|&(server, _)| server).min_by_key(|&server| self.cost(server, for_prefill));
        self.go(now_us, request_id, best.unwrap(), wishes);
    }

    fn go(&mut self, now_us: MonoTime, request_id: RequestId, server: usize, wishes: &mut Vec<Wish>) {
        let seen = &mut self.seen[server];
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let name = server_name(self.prefills, server);
        if open.done_us.is_none() {
            let work_us = open.arrival.prompt_tokens.0 * PREFILL_TOKEN_US;
            let target_us = open.arrival.first_token_target_ms.0 * 1_000;
            let spent_us = now_us.0 - open.at_us;
            if open.attempt.0 == 0 && spent_us + seen.wait_us + work_us * 2 > target_us {
                self.open.remove(&request_id);
                let reason = RefusalReason::WouldMissTarget;
                wishes.push(Wish::Do(Action::Refuse { request_id, reason, retry_after_ms: Millis(1_000) }));
                return;
            }
            seen.wait_us += work_us;
            open.attempt = Attempt(open.attempt.0 + 1);
            open.prefill = server;
            let (attempt, from_index, priority) = (open.attempt, Tokens(0), 1);
            let restart_cause = (attempt.0 > 1).then_some(WasteCause::Evicted);
            let start = Action::StartPrefill {
                request_id,
                attempt,
                server: name,
                from_index,
                priority,
                restart_cause,
            };
            wishes.push(Wish::Do(start));
            let give_up_us = now_us.0 + seen.wait_us + (work_us * 3).max(400_000);
            open.give_up_us = Some(give_up_us);
            wishes.push(Wish::Later(request_id, give_up_us));
            return;
        }
        seen.free -= 1;
        open.decode = server;
        open.moving = true;
        let (attempt, source) = (open.attempt, server_name(self.prefills, open.prefill));
        let rate_bytes_per_s = BytesPerSecond(LINK_PART);
        let import =
            Action::Import { request_id, attempt, source, server: name, priority: 1, rate_bytes_per_s };
        wishes.push(Wish::Do(import));
        let move_us = open.arrival.prompt_tokens.0 * (128 << 10) * 1_000 / (LINK_PART / 1_000);
        let give_up_us = now_us.0 + (move_us * 3).max(400_000);
        open.give_up_us = Some(give_up_us);
        wishes.push(Wish::Later(request_id, give_up_us));
    }
}

/// Name of a server by its number.
pub fn server_name(prefills: usize, server: usize) -> hibiscusvale_core::ids::BackendServerId {
    let name = if server < prefills { format!("p{server}") } else { format!("d{}", server - prefills) };
    name.parse().unwrap()
}
