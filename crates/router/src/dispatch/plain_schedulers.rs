//! Connects the schedulers of the plain services to the tasks that carry out their decisions. There is one
//! scheduler per service; [`super::LanguageScheduler`] has the same structure.

use std::collections::HashMap;

use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, RequestId};
use hibiscusvale_core::sched::{
    Hold, LimitReached, PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainScheduler,
    PlainSettings, ServerLoadUse, ServerSample, StatusUpdate,
};
use hibiscusvale_core::units::{Credit, Micros, Millis};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::loan_request::{LoanRequestSender, credit_of};
use super::wake_timer::WakeTimer;
use crate::clock;
use crate::directory::{BackendKind, Listing};
use crate::external::ListedState;
use crate::settings::HostSettings;

#[derive(Debug)]
struct Service {
    scheduler: PlainScheduler,
    open: HashMap<RequestId, mpsc::UnboundedSender<PlainAction>>,
}

/// The schedulers by service.
#[derive(Debug)]
pub struct PlainSchedulers {
    services: Mutex<HashMap<String, Service>>,
    wake_timer: WakeTimer,
    settings: Mutex<PlainSettings>,
    /// Data centre of this daemon; servers elsewhere are further away.
    data_centre: DataCentreId,
    seed: u64,
    loan_requests: LoanRequestSender,
}

/// An open call. Dropping it tells the scheduler that the caller left, which has no effect when the call has
/// ended.
#[derive(Debug)]
pub struct OpenCall<'a> {
    schedulers: &'a PlainSchedulers,
    service: String,
    request_id: RequestId,
    steps: mpsc::UnboundedReceiver<PlainAction>,
}

impl OpenCall<'_> {
    /// Waits for the scheduler's next action; `None` when the call has ended.
    pub async fn step(&mut self) -> Option<PlainAction> {
        self.steps.recv().await
    }

    /// Tells the scheduler the result of an attempt.
    pub fn feed(&self, event: PlainEvent) {
        self.schedulers.feed(&self.service, event);
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.schedulers.feed(&self.service, PlainEvent::CallerLeft { request_id: self.request_id });
        if let Some(service) = self.schedulers.services.lock().get_mut(&self.service) {
            service.open.remove(&self.request_id);
        }
    }
}

impl PlainSchedulers {
    /// Creates a set without services, whose schedulers make their random choices from `seed`.
    pub fn new(
        settings: PlainSettings,
        host: &HostSettings,
        seed: u64,
        loan_requests: LoanRequestSender,
    ) -> Self {
        Self {
            services: Mutex::default(),
            wake_timer: WakeTimer::new(),
            settings: Mutex::new(settings),
            data_centre: host.data_centre.clone(),
            seed,
            loan_requests,
        }
    }

    /// Adds a call; `None` when no such service is listed.
    pub fn arrive(&self, service: &str, arrival: PlainArrival) -> Option<OpenCall<'_>> {
        let (sender, steps) = mpsc::unbounded_channel();
        let request_id = arrival.request_id;
        self.services.lock().get_mut(service)?.open.insert(request_id, sender);
        self.feed(service, PlainEvent::Arrive(arrival));
        Some(OpenCall { schedulers: self, service: service.to_owned(), request_id, steps })
    }

    /// Updates the instances of all services. A service stays known when its last instance leaves, so that
    /// its callers are told to retry later instead of that the service does not exist.
    pub fn adopt(&self, listing: &Listing) {
        let mut instances_by_service: HashMap<String, Vec<PlainInstance>> = HashMap::new();
        for server in listing.servers.values() {
            if let BackendKind::Plain { service, capacity } = &server.kind {
                instances_by_service.entry(service.clone()).or_default().push(PlainInstance {
                    server: server.id.clone(),
                    capacity: *capacity,
                    leaving: server.listed == ListedState::Leaving,
                    is_local: server.data_centre == self.data_centre,
                    lifetime: server.lifetime,
                });
            }
        }
        {
            let settings = *self.settings.lock();
            let mut services = self.services.lock();
            for service in instances_by_service.keys() {
                services.entry(service.clone()).or_insert_with(|| Service {
                    scheduler: PlainScheduler::new(settings, self.seed),
                    open: HashMap::new(),
                });
            }
        }
        for service in self.service_names() {
            let instances = instances_by_service.remove(&service).unwrap_or_default();
            self.feed(&service, PlainEvent::Instances(instances));
        }
    }

    /// Changes the limits of all schedulers.
    pub fn configure(&self, settings: PlainSettings) {
        *self.settings.lock() = settings;
        for service in self.services.lock().values_mut() {
            service.scheduler.configure(settings);
        }
    }

    /// Sets for which services servers are chosen by the loads that daemons report to each other.
    pub fn use_server_loads<UsesLoads>(&self, uses_loads: UsesLoads)
    where
        UsesLoads: Fn(&str) -> bool,
    {
        for (name, service) in self.services.lock().iter_mut() {
            service.scheduler.use_server_loads(uses_loads(name));
        }
    }

    /// Records the load that a server of `service` stated to this daemon, also in a refusal.
    pub fn server_stated_load(&self, service: &str, server: &BackendServerId, held: u32, slots: u32) {
        if let Some(service) = self.services.lock().get_mut(service) {
            service.scheduler.server_stated_load(clock::now(), server, held, slots);
        }
    }

    /// What this daemon observed of servers since the previous call, by service.
    pub fn take_server_samples(&self) -> Vec<(String, Vec<ServerSample>)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let samples = services
            .iter_mut()
            .map(|(name, service)| (name.clone(), service.scheduler.take_server_samples(now_us)));
        let mut samples: Vec<_> = samples.filter(|(_, samples)| !samples.is_empty()).collect();
        samples.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        samples
    }

    /// Adds what another daemon observed. Services that are not listed here are ignored.
    pub fn receive_server_samples(&self, samples: &[(String, Vec<ServerSample>)]) {
        let now_us = clock::now();
        let mut services = self.services.lock();
        for (name, samples) in samples {
            if let Some(service) = services.get_mut(name) {
                service.scheduler.receive_server_samples(now_us, samples);
            }
        }
    }

    /// Expected response times of the servers of services in which they are chosen by their loads.
    pub fn expected_response_times(&self) -> Vec<(String, Vec<(BackendServerId, Millis)>)> {
        let now_us = clock::now();
        let services = self.services.lock();
        let expected = services
            .iter()
            .map(|(name, service)| (name.clone(), service.scheduler.expected_response_times(now_us)));
        expected.collect()
    }

    /// Services in which the choice by loads has begun or ended since the previous call.
    pub fn take_server_load_changes(&self) -> Vec<(String, ServerLoadUse)> {
        let mut services = self.services.lock();
        let changes = services.iter_mut();
        changes
            .filter_map(|(name, service)| Some((name.clone(), service.scheduler.take_server_load_change()?)))
            .collect()
    }

    /// Passes a status update of a server to the schedulers.
    pub fn update_status(&self, server: &BackendServerId, update: StatusUpdate) {
        self.feed_all(&PlainEvent::StatusUpdate { server: server.clone(), update });
    }

    /// Passes a statement of a server to the schedulers.
    pub fn hold(&self, server: &BackendServerId, hold: Hold) {
        self.feed_all(&PlainEvent::Hold { server: server.clone(), hold });
    }

    /// Tells the schedulers that the statements of a server no longer hold.
    pub fn release(&self, server: &BackendServerId) {
        self.feed_all(&PlainEvent::Release { server: server.clone() });
    }

    /// Passes a load report that an instance has just sent to the schedulers.
    pub fn load(&self, server: &BackendServerId, in_flight: u32, capacity: u32) {
        let age_us = Micros::ZERO;
        self.feed_all(&PlainEvent::Load { server: server.clone(), in_flight, capacity, age_us });
    }

    /// Tells the schedulers that a server has reached its own limit.
    pub fn limited(&self, server: &BackendServerId, reached: LimitReached) {
        self.feed_all(&PlainEvent::Limited { server: server.clone(), reached });
    }

    /// Retry credit that this daemon can lend, by service; services without any are left out.
    pub fn lendable(&self) -> Vec<(String, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let lendable = services.iter_mut().filter_map(|(name, service)| {
            let lendable = service.scheduler.retry_budget()?.lendable(now_us);
            (lendable > Credit::ZERO).then(|| (name.clone(), lendable))
        });
        lendable.collect()
    }

    /// Records the credit that another daemon can lend.
    pub fn update_lender(&self, host: &HostId, lendable: &[(String, Credit)]) {
        for (name, service) in self.services.lock().iter_mut() {
            if let Some(retry_budget) = service.scheduler.retry_budget() {
                retry_budget.update_lender(host, credit_of(lendable, name));
            }
        }
    }

    /// Lends credit to another daemon; returns the amount lent and the lendable credit left, or `None` when
    /// there is no such service.
    pub fn lend(&self, name: &str, wants: Credit) -> Option<(Credit, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let retry_budget = services.get_mut(name)?.scheduler.retry_budget()?;
        Some((retry_budget.lend(now_us, wants), retry_budget.lendable(now_us)))
    }

    /// Passes another daemon's answer to a loan request to the scheduler of the service.
    pub fn lent(&self, name: &str, number: u64, credit: Credit, left: Credit) {
        self.feed(name, PlainEvent::Lent { number, credit, left });
    }

    fn feed_all(&self, event: &PlainEvent) {
        for service in self.service_names() {
            self.feed(&service, event.clone());
        }
    }

    /// The counters of each service's scheduler.
    pub fn counters(&self) -> Vec<PlainCounters> {
        self.services.lock().values().map(|service| *service.scheduler.counters()).collect()
    }

    fn service_names(&self) -> Vec<String> {
        self.services.lock().keys().cloned().collect()
    }

    fn feed(&self, name: &str, event: PlainEvent) {
        let mut services = self.services.lock();
        let Some(service) = services.get_mut(name) else {
            return;
        };
        let mut actions = Vec::new();
        service.scheduler.handle(clock::now(), event, &mut actions);
        for action in actions {
            match &action {
                PlainAction::Wake { at_us } => self.wake_timer.set(*at_us),
                PlainAction::Borrow(loan) => self.loan_requests.send(name, loan.clone()),
                PlainAction::Dispatch { request_id, .. }
                | PlainAction::Refuse { request_id, .. }
                | PlainAction::Unknown { request_id } => {
                    if let Some(open) = service.open.get(request_id) {
                        // Sending fails only when the task has ended; it needs no more actions then.
                        let _ = open.send(action);
                    }
                }
            }
        }
    }

    /// Passes ticks to the schedulers at the times they ask for. Runs until the daemon stops.
    pub async fn run_timers(&self) {
        self.wake_timer.run(|| self.feed_all(&PlainEvent::Tick)).await;
    }
}
