//! Connects the engine pools with the tasks that execute their decisions, one pool per service;
//! [`crate::dispatch::LanguageScheduler`] has the same structure.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, RequestId};
use hibiscusvale_core::relay::engines::{
    DataCentreReport, Demand, EngineAction, EngineCounters, EngineEvent, EnginePool, EnginePoolSettings,
    ListedEngine, MemoryReport, PoolUsage, Role, RoleChange, SpeedSample, SpillOver,
};
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::sched::{Hold, LimitReached};
use hibiscusvale_core::shares::OrganisationKey;
use hibiscusvale_core::units::{Credit, Tokens};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::pacing::Urgency;
use super::state::RelayState;
use crate::clock;
use crate::directory::{BackendKind, Listing};
use crate::dispatch::LoanRequestSender;
use crate::dispatch::loan_request::credit_of;
use crate::dispatch::wake_timer::WakeTimer;
use crate::external::{EngineRole, ListedState};
use crate::settings::HostSettings;

#[derive(Debug)]
struct Service {
    pool: EnginePool,
    open: HashMap<RequestId, mpsc::UnboundedSender<EngineAction>>,
}

/// Engine pools by service.
#[derive(Debug)]
pub struct EnginePools {
    services: Mutex<HashMap<String, Service>>,
    wake_timer: WakeTimer,
    settings: Mutex<EnginePoolSettings>,
    /// Weights of organisations, for pools that appear after the route table.
    weights: Mutex<HashMap<OrganisationKey, f64>>,
    host: HostId,
    data_centre: DataCentreId,
    seed: u64,
    loan_requests: LoanRequestSender,
}

/// An open request. Dropping it tells the pool that the caller left, unless the request had ended.
#[derive(Debug)]
pub struct OpenRequest {
    service: String,
    request_id: RequestId,
    steps: mpsc::UnboundedReceiver<EngineAction>,
    state: Arc<RelayState>,
}

impl OpenRequest {
    /// The pool's next action.
    pub async fn step(&mut self) -> Option<EngineAction> {
        self.steps.recv().await
    }

    /// Passes an event to the pool without scheduling a message to the other daemons.
    pub fn feed_without_message(&self, event: EngineEvent) {
        self.state.engine_pools.feed(&self.service, event);
    }

    /// Passes an event to the pool and schedules a message to the other daemons.
    pub fn feed(&self, event: EngineEvent) {
        let urgency = urgency_of(&event);
        self.state.engine_pools.feed(&self.service, event);
        self.state.peers.schedule_message(urgency);
    }
}

/// How soon the other daemons need to learn of the change that an event causes.
fn urgency_of(event: &EngineEvent) -> Urgency {
    match event {
        EngineEvent::Prefilled { .. }
        | EngineEvent::Bound { .. }
        | EngineEvent::Started { .. }
        | EngineEvent::Progress { .. } => Urgency::Later,
        EngineEvent::Arrived(_)
        | EngineEvent::Reserved { .. }
        | EngineEvent::ReserveFailed { .. }
        | EngineEvent::PrefillFailed { .. }
        | EngineEvent::DecodeFailed { .. }
        | EngineEvent::Finished { .. }
        | EngineEvent::CallerLeft { .. }
        | EngineEvent::Engines(_)
        | EngineEvent::Peer { .. }
        | EngineEvent::PeerMemory { .. }
        | EngineEvent::PeerSpeeds(_)
        | EngineEvent::PeerDataCentre { .. }
        | EngineEvent::Hold { .. }
        | EngineEvent::Release { .. }
        | EngineEvent::Limited { .. }
        | EngineEvent::Lent { .. }
        | EngineEvent::Tick => Urgency::Soon,
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let engine_pools = &self.state.engine_pools;
        engine_pools.feed(&self.service, EngineEvent::CallerLeft { request_id: self.request_id });
        self.state.peers.schedule_message(Urgency::Soon);
        if let Some(service) = engine_pools.services.lock().get_mut(&self.service) {
            service.open.remove(&self.request_id);
        }
    }
}

impl EnginePools {
    /// A set without services.
    pub fn new(
        settings: EnginePoolSettings,
        host: &HostSettings,
        seed: u64,
        loan_requests: LoanRequestSender,
    ) -> Self {
        Self {
            services: Mutex::default(),
            wake_timer: WakeTimer::new(),
            settings: Mutex::new(settings),
            weights: Mutex::default(),
            host: host.id.clone(),
            data_centre: host.data_centre.clone(),
            seed,
            loan_requests,
        }
    }

    /// Passes a new request to the pool of `service`; `None` when the service has no engines.
    pub fn arrive(state: &Arc<RelayState>, service: &str, demand: Demand) -> Option<OpenRequest> {
        let (sender, steps) = mpsc::unbounded_channel();
        let request_id = demand.request_id;
        let engine_pools = &state.engine_pools;
        engine_pools.services.lock().get_mut(service)?.open.insert(request_id, sender);
        engine_pools.feed(service, EngineEvent::Arrived(demand));
        state.peers.schedule_message(Urgency::Soon);
        Some(OpenRequest { service: service.to_owned(), request_id, steps, state: Arc::clone(state) })
    }

    /// Updates the pools from the server list.
    pub fn adopt(&self, listing: &Listing) {
        let mut lists: HashMap<String, Vec<ListedEngine>> = HashMap::new();
        for server in listing.servers.values() {
            let BackendKind::Engine { service: Some(service), role, slots_total, .. } = &server.kind else {
                continue;
            };
            lists.entry(service.clone()).or_default().push(ListedEngine {
                server: server.id.clone(),
                version: server.version.clone(),
                role: match role {
                    EngineRole::Prefill => Role::Prefill,
                    EngineRole::Decode => Role::Decode,
                },
                slots: *slots_total,
                leaving: server.listed == ListedState::Leaving,
                data_centre: server.data_centre.clone(),
                is_local: server.data_centre == self.data_centre,
            });
        }
        let names = {
            let settings = *self.settings.lock();
            let mut services = self.services.lock();
            for name in lists.keys() {
                let offset = usize::try_from(self.seed % OFFSET_RANGE).unwrap_or_default();
                services.entry(name.clone()).or_insert_with(|| {
                    let mut pool = EnginePool::new(settings, &self.host, offset);
                    pool.set_weights(&self.weights.lock());
                    pool.set_data_centre(self.data_centre.clone());
                    Service { pool, open: HashMap::new() }
                });
            }
            services.keys().cloned().collect::<Vec<_>>()
        };
        for name in names {
            let engines = lists.remove(&name).unwrap_or_default();
            self.feed(&name, EngineEvent::Engines(engines));
        }
    }

    /// Applies the engine settings of the route table. `uses_speeds` tells for which services the speeds of single
    /// engines are used.
    pub fn configure<UsesSpeeds>(&self, table: &RouteTable, uses_speeds: UsesSpeeds)
    where
        UsesSpeeds: Fn(&str) -> bool,
    {
        let settings = *self.settings.lock();
        let mut services = self.services.lock();
        for (name, spec) in table.services() {
            let (Some(service), Some(engine)) = (services.get_mut(name.as_str()), spec.engine) else {
                continue;
            };
            service.pool.configure(EnginePoolSettings {
                memory_tokens: Tokens(engine.memory_tokens),
                event_tokens: engine.event_tokens,
                reserve_ms_max: engine.reserve_ms_max,
                role_change_ms: engine.role_change_ms,
                hold_ms: engine.hold_ms,
                engine_speeds: uses_speeds(name.as_str()),
                ..settings
            });
        }
    }

    /// Sets the limits that are not part of the route table; existing pools apply them at the next
    /// [`Self::configure`].
    pub fn set_budget(&self, settings: EnginePoolSettings) {
        *self.settings.lock() = settings;
    }

    /// What this daemon holds at the engines, by service.
    pub fn holdings(&self) -> Vec<(String, PoolUsage)> {
        let services = self.services.lock();
        services.iter().map(|(name, service)| (name.clone(), service.pool.usage(clock::now()))).collect()
    }

    /// Updates what another daemon holds at the engines.
    pub fn peer(&self, host: &HostId, holdings: Vec<(String, PoolUsage)>) {
        let mut holdings: HashMap<String, PoolUsage> = holdings.into_iter().collect();
        let names: Vec<String> = self.services.lock().keys().cloned().collect();
        for name in names {
            let usage = holdings.remove(&name).unwrap_or_default();
            self.feed(&name, EngineEvent::Peer { host: host.clone(), usage });
        }
    }

    /// Memory that this daemon's requests hold and wait for, by service.
    pub fn memory_reports(&self) -> Vec<(String, MemoryReport)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let reports = services.iter_mut();
        reports
            .filter_map(|(name, service)| Some((name.clone(), service.pool.memory_report(now_us)?)))
            .collect()
    }

    /// Speeds observed since the previous call, by service.
    pub fn take_speed_samples(&self) -> Vec<(String, Vec<SpeedSample>)> {
        let mut services = self.services.lock();
        let samples =
            services.iter_mut().map(|(name, service)| (name.clone(), service.pool.take_speed_samples()));
        samples.filter(|(_, samples)| !samples.is_empty()).collect()
    }

    /// Applies what another daemon reports of memory and speeds.
    pub fn receive_report(
        &self,
        host: &HostId,
        memory: Vec<(String, MemoryReport)>,
        speeds: Vec<(String, Vec<SpeedSample>)>,
    ) {
        for (name, report) in memory {
            self.feed(&name, EngineEvent::PeerMemory { host: host.clone(), report });
        }
        for (name, samples) in speeds {
            self.feed(&name, EngineEvent::PeerSpeeds(samples));
        }
    }

    /// What to tell other daemons of data centres, by service; empty where messages reach all daemons.
    pub fn data_centre_reports(&self) -> Vec<(String, DataCentreReport)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let reports = services.iter_mut();
        reports
            .filter_map(|(name, service)| Some((name.clone(), service.pool.data_centre_report(now_us)?)))
            .collect()
    }

    /// Applies what another daemon tells of data centres. Its holdings follow.
    pub fn receive_data_centres(
        &self,
        host: &HostId,
        data_centre: &DataCentreId,
        reports: Vec<(String, DataCentreReport)>,
    ) {
        for (name, report) in reports {
            let (host, data_centre) = (host.clone(), data_centre.clone());
            self.feed(&name, EngineEvent::PeerDataCentre { host, data_centre, report });
        }
    }

    /// Whether other daemons need to learn soon of what daemons of other data centres hold here; asked once.
    pub fn take_guest_report_due(&self) -> bool {
        let mut services = self.services.lock();
        let mut is_due = false;
        for service in services.values_mut() {
            is_due |= service.pool.take_guest_report_due();
        }
        is_due
    }

    /// Extent of spill-over, by service; empty where messages reach all daemons.
    pub fn spill_over(&self) -> Vec<(String, SpillOver)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let spill_over = services.iter_mut();
        spill_over
            .filter_map(|(name, service)| Some((name.clone(), service.pool.spill_over(now_us)?)))
            .collect()
    }

    /// Services for which spill-over has begun or ended since the previous call.
    pub fn take_spill_over_changes(&self) -> Vec<(String, SpillOver)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let changes = services.iter_mut();
        changes
            .filter_map(|(name, service)| Some((name.clone(), service.pool.take_spill_over_change(now_us)?)))
            .collect()
    }

    /// Replaces the weights of organisations.
    pub fn set_weights(&self, weights: &HashMap<OrganisationKey, f64>) {
        self.weights.lock().clone_from(weights);
        for service in self.services.lock().values_mut() {
            service.pool.set_weights(weights);
        }
    }

    /// Removes what another daemon holds after it timed out.
    pub fn peer_gone(&self, host: &HostId) {
        let names: Vec<String> = self.services.lock().keys().cloned().collect();
        for name in names {
            let usage = PoolUsage::cleared();
            self.feed(&name, EngineEvent::Peer { host: host.clone(), usage });
        }
    }

    /// The engines that should change their role next, by service.
    pub fn next_shifts(&self) -> Vec<(String, RoleChange)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let shifts = services.iter_mut();
        shifts
            .filter_map(|(name, service)| Some((name.clone(), service.pool.next_role_change(now_us)?)))
            .collect()
    }

    /// Records that an engine was ordered to change its role, or may have been.
    pub fn shifted(&self, service: &str, shift: &RoleChange) {
        if let Some(service) = self.services.lock().get_mut(service) {
            service.pool.role_change_ordered(clock::now(), shift);
        }
    }

    /// Passes a statement of an engine to the pools.
    pub fn hold(&self, server: &BackendServerId, hold: Hold) {
        self.feed_all(&EngineEvent::Hold { server: server.clone(), hold });
    }

    /// Tells the pools that the statements of an engine no longer hold.
    pub fn release(&self, server: &BackendServerId) {
        self.feed_all(&EngineEvent::Release { server: server.clone() });
    }

    /// Tells the pools that the rate limit stated by an engine is used up.
    pub fn limited(&self, server: &BackendServerId, reached: LimitReached) {
        self.feed_all(&EngineEvent::Limited { server: server.clone(), reached });
    }

    /// Retry credit that this daemon can lend, by service.
    pub fn lendable(&self) -> Vec<(String, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let lendable = services
            .iter_mut()
            .map(|(name, service)| (name.clone(), service.pool.retry_budget().lendable(now_us)));
        lendable.filter(|(_, lendable)| *lendable > Credit::ZERO).collect()
    }

    /// Updates the lendable credit of another daemon.
    pub fn update_lender(&self, host: &HostId, lendable: &[(String, Credit)]) {
        for (name, service) in self.services.lock().iter_mut() {
            service.pool.retry_budget().update_lender(host, credit_of(lendable, name));
        }
    }

    /// Lends to another daemon; returns the amount lent and the lendable credit left, or `None` when there is
    /// no such service.
    pub fn lend(&self, name: &str, requested: Credit) -> Option<(Credit, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let retry_budget = services.get_mut(name)?.pool.retry_budget();
        Some((retry_budget.lend(now_us, requested), retry_budget.lendable(now_us)))
    }

    /// Records another daemon's reply to a loan request.
    pub fn lent(&self, name: &str, number: u64, credit: Credit, left: Credit) {
        self.feed(name, EngineEvent::Lent { number, credit, left });
    }

    /// Counters of the pools.
    pub fn counters(&self) -> Vec<EngineCounters> {
        self.services.lock().values().map(|service| *service.pool.counters()).collect()
    }

    /// Runs the pools' timers for as long as the daemon runs.
    pub async fn run_timers(&self) {
        self.wake_timer.run(|| self.feed_all(&EngineEvent::Tick)).await;
    }

    fn feed_all(&self, event: &EngineEvent) {
        let names: Vec<String> = self.services.lock().keys().cloned().collect();
        for name in names {
            self.feed(&name, event.clone());
        }
    }

    fn feed(&self, name: &str, event: EngineEvent) {
        let mut services = self.services.lock();
        let Some(service) = services.get_mut(name) else {
            return;
        };
        let mut actions = Vec::new();
        service.pool.handle(clock::now(), event, &mut actions);
        for action in actions {
            match &action {
                EngineAction::Wake { at_us } => self.wake_timer.set(*at_us),
                EngineAction::Borrow(loan) => self.loan_requests.send(name, loan.clone()),
                EngineAction::Reserve { request_id, .. }
                | EngineAction::Prefill { request_id, .. }
                | EngineAction::Decode { request_id, .. }
                | EngineAction::Refuse { request_id, .. }
                | EngineAction::Unknown { request_id } => {
                    if let Some(open) = service.open.get(request_id) {
                        // The receiving task may have ended already.
                        let _ = open.send(action);
                    }
                }
            }
        }
    }
}

/// Number of different start offsets, so that daemons differ in their first choice of engine; any number
/// above the engines of a service does.
const OFFSET_RANGE: u64 = 1_024;
