//! Where the pools of engines meet the tasks that carry their decisions out. One pool for each service; see
//! [`crate::dispatch::Hub`] for the shape.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, RequestId};
use hibiscusvale_core::relay::engines::{
    Demand, EngineAction, EngineCounters, EngineEvent, EnginePool, EnginePoolSettings, Holdings,
    ListedEngine, Role, Shift,
};
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::sched::LimitReached;
use hibiscusvale_core::units::{Credit, Tokens};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::pace::Urgency;
use super::state::RelayState;
use crate::clock;
use crate::directory::{BackendKind, Listing};
use crate::dispatch::Asks;
use crate::dispatch::alarm::Alarm;
use crate::dispatch::ask::spare_of;
use crate::external::{EngineRole, ListedState};
use crate::settings::HostSettings;

#[derive(Debug)]
struct Service {
    pool: EnginePool,
    open: HashMap<RequestId, mpsc::UnboundedSender<EngineAction>>,
}

/// The pools by service.
#[derive(Debug)]
pub struct EngineHub {
    services: Mutex<HashMap<String, Service>>,
    alarm: Alarm,
    settings: Mutex<EnginePoolSettings>,
    host: HostId,
    data_centre: DataCentreId,
    seed: u64,
    asks: Asks,
}

/// An open request; dropped, it tells the pool that its caller left unless it had ended.
#[derive(Debug)]
pub struct OpenRequest {
    service: String,
    request_id: RequestId,
    steps: mpsc::UnboundedReceiver<EngineAction>,
    state: Arc<RelayState>,
}

impl OpenRequest {
    /// The pool's next step.
    pub async fn step(&mut self) -> Option<EngineAction> {
        self.steps.recv().await
    }

    /// Tells the pool what the other daemons need not hear at once.
    pub fn feed_quietly(&self, event: EngineEvent) {
        self.state.engine_hub.feed(&self.service, event);
    }

    /// Tells the pool how a step went.
    pub fn feed(&self, event: EngineEvent) {
        let urgency = urgency_of(&event);
        self.state.engine_hub.feed(&self.service, event);
        self.state.peers.touch(urgency);
    }
}

/// How soon the other daemons should know of what an event changes.
fn urgency_of(event: &EngineEvent) -> Urgency {
    match event {
        EngineEvent::PromptRead { .. } | EngineEvent::Started { .. } | EngineEvent::Progress { .. } => {
            Urgency::Later
        }
        EngineEvent::Arrive(_)
        | EngineEvent::Reserved { .. }
        | EngineEvent::ReserveFailed { .. }
        | EngineEvent::ReadFailed { .. }
        | EngineEvent::WriteFailed { .. }
        | EngineEvent::Finished { .. }
        | EngineEvent::CallerLeft { .. }
        | EngineEvent::Engines(_)
        | EngineEvent::Peer { .. }
        | EngineEvent::Limited { .. }
        | EngineEvent::Lent { .. }
        | EngineEvent::Tick => Urgency::Soon,
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let hub = &self.state.engine_hub;
        hub.feed(&self.service, EngineEvent::CallerLeft { request_id: self.request_id });
        self.state.peers.touch(Urgency::Soon);
        if let Some(service) = hub.services.lock().get_mut(&self.service) {
            service.open.remove(&self.request_id);
        }
    }
}

impl EngineHub {
    /// A hub that knows no services.
    pub fn new(settings: EnginePoolSettings, host: &HostSettings, seed: u64, asks: Asks) -> Self {
        Self {
            services: Mutex::default(),
            alarm: Alarm::new(),
            settings: Mutex::new(settings),
            host: host.id.clone(),
            data_centre: host.data_centre.clone(),
            seed,
            asks,
        }
    }

    /// Takes a request in. `None` when the service has no engines.
    pub fn arrive(state: &Arc<RelayState>, service: &str, demand: Demand) -> Option<OpenRequest> {
        let (sender, steps) = mpsc::unbounded_channel();
        let request_id = demand.request_id;
        let hub = &state.engine_hub;
        hub.services.lock().get_mut(service)?.open.insert(request_id, sender);
        hub.feed(service, EngineEvent::Arrive(demand));
        state.peers.touch(Urgency::Soon);
        Some(OpenRequest { service: service.to_owned(), request_id, steps, state: Arc::clone(state) })
    }

    /// Adopts the listing.
    pub fn adopt(&self, listing: &Listing) {
        let mut lists: HashMap<String, Vec<ListedEngine>> = HashMap::new();
        for server in listing.servers.values() {
            let BackendKind::Engine { service: Some(service), role, slots_total, .. } = &server.kind else {
                continue;
            };
            lists.entry(service.clone()).or_default().push(ListedEngine {
                server: server.id.clone(),
                role: match role {
                    EngineRole::Prefill => Role::Prefill,
                    EngineRole::Decode => Role::Decode,
                },
                slots: *slots_total,
                leaving: server.listed == ListedState::Leaving,
                near: server.data_centre == self.data_centre,
            });
        }
        let names = {
            let settings = *self.settings.lock();
            let mut services = self.services.lock();
            for name in lists.keys() {
                let turn = usize::try_from(self.seed % TURNS).unwrap_or_default();
                services.entry(name.clone()).or_insert_with(|| Service {
                    pool: EnginePool::new(settings, &self.host, turn),
                    open: HashMap::new(),
                });
            }
            services.keys().cloned().collect::<Vec<_>>()
        };
        for name in names {
            let engines = lists.remove(&name).unwrap_or_default();
            self.feed(&name, EngineEvent::Engines(engines));
        }
    }

    /// Takes what the configuration says of the engines.
    pub fn configure(&self, table: &RouteTable) {
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
                ..settings
            });
        }
    }

    /// Changes the limits that do not come with the routes; those in force take them with the next look at the
    /// routes.
    pub fn set_budget(&self, settings: EnginePoolSettings) {
        *self.settings.lock() = settings;
    }

    /// What this daemon has at the engines, by service.
    pub fn holdings(&self) -> Vec<(String, Holdings)> {
        let services = self.services.lock();
        services.iter().map(|(name, service)| (name.clone(), service.pool.holdings(clock::now()))).collect()
    }

    /// Takes what another daemon has at the engines.
    pub fn peer(&self, host: &HostId, holdings: Vec<(String, Holdings)>) {
        let mut holdings: HashMap<String, Holdings> = holdings.into_iter().collect();
        let names: Vec<String> = self.services.lock().keys().cloned().collect();
        for name in names {
            let holdings = holdings.remove(&name).unwrap_or_default();
            self.feed(&name, EngineEvent::Peer { host: host.clone(), holdings });
        }
    }

    /// Another daemon is gone, and what it had with it.
    pub fn peer_gone(&self, host: &HostId) {
        let names: Vec<String> = self.services.lock().keys().cloned().collect();
        for name in names {
            let holdings = Holdings::of_nobody();
            self.feed(&name, EngineEvent::Peer { host: host.clone(), holdings });
        }
    }

    /// The engines that should change their role next, by service.
    pub fn next_shifts(&self) -> Vec<(String, Shift)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let shifts = services.iter_mut();
        shifts.filter_map(|(name, service)| Some((name.clone(), service.pool.next_shift(now_us)?))).collect()
    }

    /// An engine was ordered to change its role, or may have been.
    pub fn shifted(&self, service: &str, shift: &Shift) {
        if let Some(service) = self.services.lock().get_mut(service) {
            service.pool.shifted(clock::now(), shift);
        }
    }

    /// Tells the pools that the limit which an engine states is used up.
    pub fn limited(&self, server: &BackendServerId, reached: LimitReached) {
        self.feed_all(&EngineEvent::Limited { server: server.clone(), reached });
    }

    /// What this daemon could lend of its further tries, by service.
    pub fn spares(&self) -> Vec<(String, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let spares =
            services.iter_mut().map(|(name, service)| (name.clone(), service.pool.allowance().spare(now_us)));
        spares.filter(|(_, spare)| *spare > Credit::ZERO).collect()
    }

    /// Takes what another daemon could lend.
    pub fn told_spares(&self, host: &HostId, spares: &[(String, Credit)]) {
        for (name, service) in self.services.lock().iter_mut() {
            service.pool.allowance().told(host, spare_of(spares, name));
        }
    }

    /// Lends to another daemon; says what, and what is left. `None` when there is no such service.
    pub fn lend(&self, name: &str, wants: Credit) -> Option<(Credit, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let allowance = services.get_mut(name)?.pool.allowance();
        Some((allowance.lend(now_us, wants), allowance.spare(now_us)))
    }

    /// Another daemon answered a question for a loan.
    pub fn lent(&self, name: &str, number: u64, credit: Credit, spare: Credit) {
        self.feed(name, EngineEvent::Lent { number, credit, spare });
    }

    /// What the pools counted.
    pub fn counters(&self) -> Vec<EngineCounters> {
        self.services.lock().values().map(|service| *service.pool.counters()).collect()
    }

    /// Lets time pass for the pools, for as long as the daemon runs.
    pub async fn run_timers(&self) {
        self.alarm.run(|| self.feed_all(&EngineEvent::Tick)).await;
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
                EngineAction::Wake { at_us } => self.alarm.set(*at_us),
                EngineAction::Borrow(ask) => self.asks.send(name, ask.clone()),
                EngineAction::Reserve { request_id, .. }
                | EngineAction::Read { request_id, .. }
                | EngineAction::Write { request_id, .. }
                | EngineAction::Refuse { request_id, .. }
                | EngineAction::Unknown { request_id } => {
                    if let Some(open) = service.open.get(request_id) {
                        // A task that has ended needs no more steps.
                        let _ = open.send(action);
                    }
                }
            }
        }
    }
}

/// Different first choices of the daemons; any number above the engines of a service does.
const TURNS: u64 = 1_024;
