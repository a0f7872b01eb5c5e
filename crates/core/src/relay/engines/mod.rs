//! Placement of model requests on prefill engines and decode engines.
//!
//! Each daemon places the requests that it accepted, taking into account what the other daemons report of
//! theirs. Memory on a decode engine is reserved before the prompt is prefilled: a KV cache that is not
//! fetched within half a second is lost, and the prefill was wasted.

mod admission;
mod completion;
mod engine;
mod events;
mod memory;
mod open_request;
mod order;
mod peers;
mod placement;
mod prefill;
mod ratio;
mod retry_payment;
mod role_balance;
mod settings;
mod speeds;
mod spill_over;
mod stats;
mod versions;

use std::collections::HashMap;

use crate::ids::{BackendServerId, HostId, RequestId};
use crate::retry_budget::SharedRetryBudget;
use crate::shares::OrganisationKey;
use crate::units::{MonoTime, Tokens};

use engine::Engine;
pub use events::{
    Demand, EngineAction, EngineCounters, EngineEvent, EngineRefusal, EngineUsage, ListedEngine, PoolUsage,
    ReportedLoad, Role, VersionBinding,
};
pub use memory::{Growth, headroom, peak};
use open_request::OpenRequest;
use order::WaitingOrder;
pub use order::{MemoryReport, OrganisationMemory, WaitingClass};
use peers::{NodeHash, PeerIndex, Peers};
use role_balance::RoleBalance;
pub use role_balance::RoleChange;
pub use settings::EnginePoolSettings;
use speeds::EngineSpeeds;
pub use speeds::SpeedSample;
use spill_over::DataCentreLoads;
pub use spill_over::{DataCentreLoad, DataCentreReport, Guest, OpenEngines, SpillOver};
use stats::DecayingStats;
pub use stats::WorkloadStats;
use versions::ListedVersions;

/// Places one daemon's requests for one service of engines.
#[derive(Debug)]
pub struct EnginePool {
    settings: EnginePoolSettings,
    /// Hash of this daemon, which decides who gets an engine that several daemons want.
    node_hash: NodeHash,
    engines: Vec<Engine>,
    index_by_name: HashMap<BackendServerId, usize>,
    open: HashMap<RequestId, OpenRequest>,
    waiting: Vec<RequestId>,
    budget: SharedRetryBudget,
    counters: EngineCounters,
    wake_us: Option<MonoTime>,
    /// Statistics of this daemon's recent requests.
    own_stats: DecayingStats,
    /// Statistics over all daemons.
    fleet_stats: WorkloadStats,
    peers: Peers,
    /// Order of the waiting requests of all daemons.
    order: WaitingOrder,
    /// State for judging the split between prefill and decode engines.
    role_balance: RoleBalance,
    /// Speeds of single engines.
    speeds: EngineSpeeds,
    /// Software versions of the listed engines.
    versions: ListedVersions,
    /// Loads of the other data centres.
    data_centres: DataCentreLoads,
    /// Start position of the search for an engine, so that equal engines are used in turn.
    rotation: usize,
}

impl EnginePool {
    /// A pool without engines.
    pub fn new(settings: EnginePoolSettings, host: &HostId, rotation: usize) -> Self {
        Self {
            settings,
            node_hash: NodeHash::of(host),
            engines: Vec::new(),
            index_by_name: HashMap::new(),
            open: HashMap::new(),
            waiting: Vec::new(),
            budget: SharedRetryBudget::new(settings.retries, rotation as u64),
            counters: EngineCounters::default(),
            wake_us: None,
            own_stats: DecayingStats::default(),
            fleet_stats: WorkloadStats::default(),
            peers: Peers::default(),
            order: WaitingOrder::default(),
            role_balance: RoleBalance::default(),
            speeds: EngineSpeeds::default(),
            versions: ListedVersions::default(),
            data_centres: DataCentreLoads::default(),
            rotation,
        }
    }

    /// Counters of the decisions made so far.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// What this daemon uses of the engines, to be sent to the other daemons.
    pub fn usage(&self, now_us: MonoTime) -> PoolUsage {
        PoolUsage {
            waiting: self.waiting_tokens(now_us),
            stats: Some(self.own_stats.stats),
            role_changes: self.role_changes(now_us),
            engines: self
                .engines
                .iter()
                .filter_map(|engine| engine.usage(now_us, self.fleet_stats.decode_rate()))
                .collect(),
        }
    }

    /// Speeds observed since the previous call, of 32 engines at most.
    pub fn take_speed_samples(&mut self) -> Vec<SpeedSample> {
        self.take_unsent_speeds()
    }

    /// Replaces the weights of organisations; those without one count as 1.
    pub fn set_weights(&mut self, weights: &HashMap<OrganisationKey, f64>) {
        self.order.set_weights(weights);
    }

    /// Replaces the settings; earlier decisions stand.
    pub fn configure(&mut self, settings: EnginePoolSettings) {
        self.budget.configure(settings.retries);
        self.settings = settings;
        self.configure_speeds();
    }

    /// Budget of this daemon for retries.
    pub fn retry_budget(&mut self) -> &mut SharedRetryBudget {
        &mut self.budget
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now_us: MonoTime, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        // Nothing that waits is placed on new reports or speeds alone: the usage of the same message follows at once.
        if let EngineEvent::PeerSpeeds(samples) = &event {
            self.receive_speeds(now_us, samples);
            return;
        }
        if let EngineEvent::PeerMemory { host, report } = event {
            let peer = self.peers.index_of(host);
            self.receive_memory(now_us, peer, report);
            return;
        }
        if let EngineEvent::PeerDataCentre { host, data_centre, report } = event {
            self.receive_data_centre(now_us, host, &data_centre, report);
            return;
        }
        if !matches!(event, EngineEvent::Peer { .. }) {
            self.refresh_stats(now_us);
        }
        match event {
            EngineEvent::Arrived(demand) => self.arrive(now_us, demand, actions),
            EngineEvent::Reserved { request_id } => self.reserved(now_us, request_id, actions),
            EngineEvent::ReserveFailed { request_id, cause } => {
                self.reserve_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Prefilled { request_id } => self.prompt_prefilled(now_us, request_id, actions),
            EngineEvent::PrefillFailed { request_id, cause } => {
                self.prefill_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Bound { request_id } => self.bind(request_id),
            EngineEvent::Started { request_id } => self.started(now_us, request_id),
            EngineEvent::Progress { request_id, events, longest_pause_ms } => {
                self.progress(now_us, request_id, events, longest_pause_ms);
            }
            EngineEvent::DecodeFailed { request_id, cause } => {
                self.decode_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Finished { request_id, events } => {
                self.finished(now_us, request_id, events);
            }
            EngineEvent::CallerLeft { request_id } => self.close(now_us, request_id),
            EngineEvent::Engines(list) => self.update_engines(now_us, list),
            EngineEvent::Peer { host, usage } => self.update_peer(now_us, host, usage),
            EngineEvent::Lent { number, credit, left } => self.budget.receive(now_us, number, credit, left),
            EngineEvent::Hold { server, hold } => {
                if let Some(&index) = self.index_by_name.get(&server) {
                    self.engines[index].instance.hold(hold);
                }
            }
            EngineEvent::Release { server } => {
                if let Some(&index) = self.index_by_name.get(&server) {
                    self.engines[index].instance.release_holds();
                }
            }
            EngineEvent::Limited { server, reached } => {
                if let Some(&index) = self.index_by_name.get(&server) {
                    self.engines[index].instance.limited(now_us, reached);
                }
            }
            EngineEvent::PeerMemory { .. }
            | EngineEvent::PeerSpeeds(_)
            | EngineEvent::PeerDataCentre { .. }
            | EngineEvent::Tick => {}
        }
        if self.waiting.is_empty() {
            return;
        }
        self.refresh_stats(now_us);
        self.refresh_order(now_us);
        self.pay_retries(now_us, actions);
        self.place_waiting(now_us, actions);
        self.refuse_expired(now_us, actions);
        self.schedule_wake(now_us, actions);
    }

    /// Applies the reported usage of another daemon.
    fn update_peer(&mut self, now_us: MonoTime, host: HostId, usage: PoolUsage) {
        let peer = self.peers.index_of(host);
        // What waits at a daemon of another data centre is a part of its load, and waits for the engines there.
        let is_linked = self.data_centres.is_linked(peer);
        let waiting = if is_linked { Tokens::ZERO } else { usage.waiting };
        self.peers.update(peer, waiting, usage.stats);
        let is_cleared = usage.engines.is_empty() && usage.waiting == Tokens::ZERO;
        self.order.update_usage(peer, waiting, is_cleared);
        self.set_peer_engines(now_us, peer, usage.engines);
        for (server, role, left_us) in usage.role_changes {
            if let Some(&index) = self.index_by_name.get(&server) {
                self.engines[index].start_role_change(now_us + left_us, role);
            }
        }
    }

    /// Replaces what another daemon uses of the engines.
    fn set_peer_engines(&mut self, now_us: MonoTime, peer: PeerIndex, usage: Vec<EngineUsage>) {
        self.note_guests(peer, &usage);
        let mut indices = Vec::with_capacity(usage.len());
        for engine_usage in usage {
            if let Some(&index) = self.index_by_name.get(&engine_usage.server) {
                self.engines[index].set_peer_usage(now_us, peer, Some(engine_usage));
                indices.push(index);
            }
        }
        for &index in self.peers.engines(peer) {
            if !indices.contains(&index) {
                self.engines[index].set_peer_usage(now_us, peer, None);
            }
        }
        self.peers.set_engines(peer, indices);
    }

    /// Updates the statistics of recent requests, own and fleet-wide.
    fn refresh_stats(&mut self, now_us: MonoTime) {
        self.own_stats.decay(now_us);
        self.fleet_stats = self.own_stats.stats.and(self.peers.stats());
        self.refresh_speeds(now_us);
        self.refresh_spill_plan(now_us);
    }

    /// Time for which a request typically holds memory on a decode engine.
    fn typical_hold_us(&self) -> f64 {
        self.fleet_stats.held_us().unwrap_or(INITIAL_HOLD_US)
    }

    fn update_engines(&mut self, now_us: MonoTime, list: Vec<ListedEngine>) {
        self.versions = ListedVersions::of(&list);
        let names = list.clone();
        for engine in &mut self.engines {
            engine.instance.unlist();
        }
        let mut is_same = vec![false; self.engines.len()];
        for listed in list {
            if let Some(&index) = self.index_by_name.get(&listed.server) {
                is_same[index] = self.engines[index].version == listed.version;
                self.engines[index].relist(now_us, &listed);
            } else {
                self.index_by_name.insert(listed.server.clone(), self.engines.len());
                self.engines.push(Engine::new(self.settings.instance, listed));
            }
        }
        let others = is_same.iter().enumerate().filter(|(_, is_same)| !**is_same);
        others.for_each(|(index, _)| self.speeds.forget(index));
        self.set_positions(&names);
    }
}

/// Time for which a request holds memory, until one was observed: some thousand tokens at the typical decode
/// rate.
const INITIAL_HOLD_US: f64 = 3_000_000.0;
