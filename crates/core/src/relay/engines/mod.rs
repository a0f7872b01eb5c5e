//! Placing requests for a model on engines that read prompts and engines that write answers.
//!
//! Each daemon places the requests that it took in, with what the others say of theirs. A place to write is reserved
//! before the prompt is read: a KV cache that finds no writer within half a second is lost, and the reading was in
//! vain.

mod admission;
mod completion;
mod engine;
mod events;
mod memory;
mod open_request;
mod peers;
mod placement;
mod prefill;
mod ratio;
mod retry_payment;
mod role_balance;
mod settings;
mod stats;

use std::collections::HashMap;

use crate::allowance::Allowance;
use crate::ids::{BackendServerId, HostId, RequestId};
use crate::units::MonoTime;

use engine::Engine;
pub use events::{
    Demand, EngineAction, EngineCounters, EngineEvent, EngineRefusal, Holding, Holdings, ListedEngine, Role,
    ToldLoad,
};
pub use memory::{Growth, headroom, peak};
use open_request::Open;
use peers::{Peers, Rank};
pub use role_balance::Shift;
use role_balance::SplitState;
pub use settings::EnginePoolSettings;
use stats::Fading;
pub use stats::Seen;

/// Places the requests of one daemon for one service of engines.
#[derive(Debug)]
pub struct EnginePool {
    settings: EnginePoolSettings,
    /// This daemon's, for telling whose an engine is when several want it.
    rank: Rank,
    engines: Vec<Engine>,
    names: HashMap<BackendServerId, usize>,
    open: HashMap<RequestId, Open>,
    waiting: Vec<RequestId>,
    budget: Allowance,
    counters: EngineCounters,
    wake_us: Option<MonoTime>,
    /// What requests were like lately, here.
    fading: Fading,
    /// The same at all daemons.
    usual: Seen,
    /// The other daemons.
    peers: Peers,
    /// What is known for judging how many engines read and write.
    split: SplitState,
    /// Where the look for an engine begins, so that equals are taken in turn.
    turn: usize,
}

impl EnginePool {
    /// A pool that knows no engines yet.
    pub fn new(settings: EnginePoolSettings, host: &HostId, turn: usize) -> Self {
        Self {
            settings,
            rank: Rank::of(host),
            engines: Vec::new(),
            names: HashMap::new(),
            open: HashMap::new(),
            waiting: Vec::new(),
            budget: Allowance::new(settings.retries, turn as u64),
            counters: EngineCounters::default(),
            wake_us: None,
            fading: Fading::default(),
            usual: Seen::default(),
            peers: Peers::default(),
            split: SplitState::default(),
            turn,
        }
    }

    /// What it decided so far.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// What this daemon has at the engines, for the other daemons to know.
    pub fn holdings(&self, now_us: MonoTime) -> Holdings {
        Holdings {
            waiting: self.waiting_room(now_us),
            seen: Some(self.fading.seen),
            changing: self.changing(now_us),
            engines: self
                .engines
                .iter()
                .filter_map(|engine| engine.holding(now_us, self.usual.pace()))
                .collect(),
        }
    }

    /// Changes the limits; what was decided stays.
    pub fn configure(&mut self, settings: EnginePoolSettings) {
        self.budget.configure(settings.retries);
        self.settings = settings;
    }

    /// What this daemon may spend on further tries.
    pub fn allowance(&mut self) -> &mut Allowance {
        &mut self.budget
    }

    /// Takes an event and pushes what is to be done.
    pub fn handle(&mut self, now_us: MonoTime, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        if !matches!(event, EngineEvent::Peer { .. }) {
            self.look_back(now_us);
        }
        match event {
            EngineEvent::Arrive(demand) => self.arrive(now_us, demand, actions),
            EngineEvent::Reserved { request_id } => self.reserved(now_us, request_id, actions),
            EngineEvent::ReserveFailed { request_id, cause } => {
                self.reserve_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::PromptRead { request_id } => self.prompt_read(now_us, request_id, actions),
            EngineEvent::ReadFailed { request_id, cause } => {
                self.read_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Started { request_id } => self.started(now_us, request_id),
            EngineEvent::Progress { request_id, events, longest_pause_ms } => {
                self.progress(now_us, request_id, events, longest_pause_ms);
            }
            EngineEvent::WriteFailed { request_id, cause } => {
                self.write_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Finished { request_id, events } => {
                self.finished(now_us, request_id, events);
            }
            EngineEvent::CallerLeft { request_id } => self.close(now_us, request_id),
            EngineEvent::Engines(list) => self.adopt(now_us, list),
            EngineEvent::Peer { host, holdings } => self.hear(now_us, host, holdings),
            EngineEvent::Lent { number, credit, spare } => self.budget.lent(now_us, number, credit, spare),
            EngineEvent::Limited { server, reached } => {
                if let Some(&index) = self.names.get(&server) {
                    self.engines[index].instance.limited(now_us, reached);
                }
            }
            EngineEvent::Tick => {}
        }
        if self.waiting.is_empty() {
            return;
        }
        self.look_back(now_us);
        self.pay(now_us, actions);
        self.serve(now_us, actions);
        self.expire(now_us, actions);
        self.wake(now_us, actions);
    }

    /// Takes what another daemon has at the engines.
    fn hear(&mut self, now_us: MonoTime, host: HostId, holdings: Holdings) {
        let peer = self.peers.index_of(host);
        self.peers.tell(peer, holdings.waiting, holdings.seen);
        let mut at = Vec::with_capacity(holdings.engines.len());
        for holding in holdings.engines {
            if let Some(&index) = self.names.get(&holding.server) {
                self.engines[index].peer(now_us, peer, Some(holding));
                at.push(index);
            }
        }
        for &index in self.peers.engines(peer) {
            if !at.contains(&index) {
                self.engines[index].peer(now_us, peer, None);
            }
        }
        self.peers.set_engines(peer, at);
        for (server, role, left_us) in holdings.changing {
            if let Some(&index) = self.names.get(&server) {
                self.engines[index].changes(now_us + left_us, role);
            }
        }
    }

    /// Takes stock of what requests were like lately, here and at the other daemons.
    fn look_back(&mut self, now_us: MonoTime) {
        self.fading.pass(now_us);
        self.usual = self.fading.seen.and(self.peers.seen());
    }

    /// Time for which a request usually has memory at a writer.
    fn usual_hold_us(&self) -> f64 {
        self.usual.held_us().unwrap_or(FIRST_HOLD_US)
    }

    fn adopt(&mut self, now_us: MonoTime, list: Vec<ListedEngine>) {
        for engine in &mut self.engines {
            engine.instance.unlist();
        }
        for listed in list {
            if let Some(&index) = self.names.get(&listed.server) {
                self.engines[index].relist(now_us, &listed);
            } else {
                self.names.insert(listed.server.clone(), self.engines.len());
                self.engines.push(Engine::new(self.settings.instance, listed));
            }
        }
    }
}

/// Time for which a request keeps its memory, until any was seen: some thousand tokens at the usual pace.
const FIRST_HOLD_US: f64 = 3_000_000.0;
