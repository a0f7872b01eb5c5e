//! Baselines for comparison: placement without a ledger, with the prefill started at once.

use std::collections::HashMap;

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::sched::{
    Action, Arrival, Attempt, Event, FailureCause, RefusalReason, Stage, StageEntry, WasteCause, WorkStage,
};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime, Tokens};

use super::load::{PREFILL_TOKEN_US, Placement};

/// Load of a server as known to a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLoad {
    pub wait_us: u64,
    pub free: i64,
}

/// Output of a baseline.
#[derive(Debug)]
pub enum BaselineAction {
    Perform(Action),
    /// Ask two servers for their load; the reply is passed to `probed`.
    Probe(RequestId, [usize; 2]),
    /// Call `retry` at this time.
    RetryAt(RequestId, u64),
}

#[derive(Debug)]
struct OpenRequest {
    arrival: Arrival,
    arrived_us: u64,
    attempt: Attempt,
    prefill: usize,
    decode: usize,
    done_us: Option<u64>,
    moving: bool,
    decoding: bool,
    prefilled_tokens: u64,
    timeout_at_us: Option<u64>,
}

/// Schedules the requests of one daemon without a ledger.
#[derive(Debug)]
pub struct Baseline {
    placement: Placement,
    prefills: usize,
    loads: Vec<KnownLoad>,
    open: HashMap<RequestId, OpenRequest>,
    rng_state: u64,
    pub wasted: u64,
    pub prefilled: u64,
    pub failed_after_attempts: u64,
}

const TRANSFER_RATE: u64 = 2_500_000_000 / 4;
const EVICT_US: u64 = 800_000;
const ATTEMPTS_MAX: u32 = 3;

impl Baseline {
    pub fn new(placement: Placement, prefills: usize, decodes: usize, seed: u64) -> Self {
        let mut loads = vec![KnownLoad::default(); prefills + decodes];
        loads[prefills..].iter_mut().for_each(|load| load.free = 20);
        let open = HashMap::new();
        Self {
            placement,
            prefills,
            loads,
            open,
            rng_state: seed | 1,
            wasted: 0,
            prefilled: 0,
            failed_after_attempts: 0,
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state % below as u64) as usize
    }

    /// Applies a load report.
    pub fn report(&mut self, server: usize, load: KnownLoad) {
        self.loads[server] = load;
    }

    pub fn handle(&mut self, now_us: MonoTime, event: Event, actions: &mut Vec<BaselineAction>) {
        match event {
            Event::Arrive(arrival) => {
                let request_id = arrival.request_id;
                let open = OpenRequest {
                    arrival,
                    arrived_us: now_us.0,
                    attempt: Attempt(0),
                    prefill: 0,
                    decode: 0,
                    done_us: None,
                    moving: false,
                    decoding: false,
                    prefilled_tokens: 0,
                    timeout_at_us: None,
                };
                self.open.insert(request_id, open);
                self.place(now_us, request_id, actions);
            }
            Event::PrefillDone { request_id, attempt, cached_tokens, .. } => {
                let Some(open) = self.open.get_mut(&request_id).filter(|open| open.attempt == attempt) else {
                    return;
                };
                open.done_us = Some(now_us.0);
                open.timeout_at_us = None;
                open.prefilled_tokens = open.arrival.prompt_tokens.0 - cached_tokens.0;
                self.prefilled += open.prefilled_tokens;
                self.place(now_us, request_id, actions);
            }
            Event::Imported { request_id, attempt } => {
                let Some(open) = self.open.get_mut(&request_id) else {
                    return;
                };
                open.decoding = true;
                open.timeout_at_us = None;
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
                actions.push(BaselineAction::Perform(decode));
            }
            Event::Failed { request_id, stage, cause, .. } => {
                self.failed(now_us, request_id, stage, cause, actions)
            }
            Event::Finished { request_id, .. } => {
                self.open.remove(&request_id);
            }
            Event::CallerLeft { request_id } => {
                if let Some(open) = self.open.remove(&request_id) {
                    self.wasted += if open.decoding { 0 } else { open.prefilled_tokens };
                    for server in [open.prefill, open.decode] {
                        let server = server_name(self.prefills, server);
                        actions.push(BaselineAction::Perform(Action::Cancel { request_id, server }));
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
        actions: &mut Vec<BaselineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        open.moving = false;
        open.timeout_at_us = None;
        let result_available = open.done_us.is_some_and(|done_us| now_us.0 < done_us + EVICT_US);
        if stage == WorkStage::Import && cause == FailureCause::NoRoom && result_available {
            actions.push(BaselineAction::RetryAt(request_id, now_us.0 + 20_000));
            return;
        }
        self.wasted += std::mem::take(&mut open.prefilled_tokens);
        open.done_us = None;
        if open.attempt.0 >= ATTEMPTS_MAX {
            self.failed_after_attempts += 1;
            self.open.remove(&request_id);
            return;
        }
        self.place(now_us, request_id, actions);
    }

    pub fn retry(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<BaselineAction>) {
        if let Some(open) = self.open.get_mut(&request_id)
            && open.timeout_at_us.is_some_and(|at_us| at_us <= now_us.0)
        {
            // Same timeout as the scheduler's: the step is cancelled and repeated elsewhere.
            open.timeout_at_us = None;
            let is_prefilling = open.done_us.is_none();
            let server = if is_prefilling { open.prefill } else { open.decode };
            if is_prefilling {
                open.prefilled_tokens = open.arrival.prompt_tokens.0;
            }
            let server = server_name(self.prefills, server);
            actions.push(BaselineAction::Perform(Action::Cancel { request_id, server }));
            let stage = if is_prefilling { WorkStage::Prefill } else { WorkStage::Import };
            self.failed(now_us, request_id, stage, FailureCause::Timeout, actions);
            return;
        }
        if self.open.get(&request_id).is_some_and(|open| !open.moving && open.done_us.is_some()) {
            self.place(now_us, request_id, actions);
        }
    }

    fn place(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<BaselineAction>) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let for_prefill = open.done_us.is_none();
        let (start, len) =
            if for_prefill { (0, self.prefills) } else { (self.prefills, self.loads.len() - self.prefills) };
        if self.placement == Placement::RandomTwo {
            let first = self.random_below(len);
            let second = (first + 1 + self.random_below(len - 1)) % len;
            actions.push(BaselineAction::Probe(request_id, [start + first, start + second]));
            return;
        }
        let best = (start..start + len).min_by_key(|&server| self.cost(server, for_prefill)).unwrap();
        self.start(now_us, request_id, best, actions);
    }

    fn cost(&self, server: usize, for_prefill: bool) -> i64 {
        let load = self.loads[server];
        if for_prefill { load.wait_us as i64 } else { -load.free }
    }

    /// Handles the reply to a probe.
    pub fn probed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        loads: [(usize, KnownLoad); 2],
        actions: &mut Vec<BaselineAction>,
    ) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let for_prefill = open.done_us.is_none();
        if (loads[0].0 < self.prefills) != for_prefill {
            // The request timed out and restarted while the probe was in flight.
            return;
        }
        loads.iter().for_each(|&(server, load)| self.loads[server] = load);
        let best =
            loads.iter().map(|&(server, _)| server).min_by_key(|&server| self.cost(server, for_prefill));
        self.start(now_us, request_id, best.unwrap(), actions);
    }

    fn start(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        server: usize,
        actions: &mut Vec<BaselineAction>,
    ) {
        let load = &mut self.loads[server];
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let name = server_name(self.prefills, server);
        if open.done_us.is_none() {
            let work_us = open.arrival.prompt_tokens.0 * PREFILL_TOKEN_US;
            let target_us = open.arrival.first_token_target_ms.0 * 1_000;
            let spent_us = now_us.0 - open.arrived_us;
            if open.attempt.0 == 0 && spent_us + load.wait_us + work_us * 2 > target_us {
                let since_us = MonoTime(open.arrived_us);
                self.open.remove(&request_id);
                let reason = RefusalReason::WouldMissTarget;
                actions.push(BaselineAction::Perform(Action::Refuse {
                    request_id,
                    reason,
                    retry_after_ms: Millis(1_000),
                    entry: StageEntry { stage: Stage::AwaitTurn, since_us },
                }));
                return;
            }
            load.wait_us += work_us;
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
            actions.push(BaselineAction::Perform(start));
            let timeout_at_us = now_us.0 + load.wait_us + (work_us * 3).max(400_000);
            open.timeout_at_us = Some(timeout_at_us);
            actions.push(BaselineAction::RetryAt(request_id, timeout_at_us));
            return;
        }
        load.free -= 1;
        open.decode = server;
        open.moving = true;
        let (attempt, source) = (open.attempt, server_name(self.prefills, open.prefill));
        let rate_bytes_per_s = BytesPerSecond(TRANSFER_RATE);
        let import =
            Action::Import { request_id, attempt, source, server: name, priority: 1, rate_bytes_per_s };
        actions.push(BaselineAction::Perform(import));
        let move_us = open.arrival.prompt_tokens.0 * (128 << 10) * 1_000 / (TRANSFER_RATE / 1_000);
        let timeout_at_us = now_us.0 + (move_us * 3).max(400_000);
        open.timeout_at_us = Some(timeout_at_us);
        actions.push(BaselineAction::RetryAt(request_id, timeout_at_us));
    }
}

/// Name of the server with this index.
pub fn server_name(prefills: usize, server: usize) -> hibiscusvale_core::ids::BackendServerId {
    let name = if server < prefills { format!("p{server}") } else { format!("d{}", server - prefills) };
    name.parse().unwrap()
}
