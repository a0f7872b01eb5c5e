//! Where the schedulers of the plain services meet the tasks that carry their decisions out. One scheduler for
//! each service; see [`super::Hub`] for the shape.

use std::collections::HashMap;

use hibiscusvale_core::ids::{BackendServerId, HostId, RequestId};
use hibiscusvale_core::sched::{
    LimitReached, PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainScheduler,
    PlainSettings, StateSignal,
};
use hibiscusvale_core::units::{Credit, Micros};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::alarm::Alarm;
use super::ask::{Asks, spare_of};
use crate::clock;
use crate::directory::{BackendKind, Listing};
use crate::external::ListedState;

#[derive(Debug)]
struct Service {
    scheduler: PlainScheduler,
    open: HashMap<RequestId, mpsc::UnboundedSender<PlainAction>>,
}

/// The schedulers by service.
#[derive(Debug)]
pub struct PlainHub {
    services: Mutex<HashMap<String, Service>>,
    alarm: Alarm,
    settings: Mutex<PlainSettings>,
    seed: u64,
    asks: Asks,
}

/// An open call; dropped, it tells the scheduler that its caller left unless it had ended.
#[derive(Debug)]
pub struct OpenCall<'a> {
    hub: &'a PlainHub,
    service: String,
    request_id: RequestId,
    steps: mpsc::UnboundedReceiver<PlainAction>,
}

impl OpenCall<'_> {
    /// The scheduler's next step.
    pub async fn step(&mut self) -> Option<PlainAction> {
        self.steps.recv().await
    }

    /// Tells the scheduler how a try went.
    pub fn feed(&self, event: PlainEvent) {
        self.hub.feed(&self.service, event);
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.hub.feed(&self.service, PlainEvent::CallerLeft { request_id: self.request_id });
        if let Some(service) = self.hub.services.lock().get_mut(&self.service) {
            service.open.remove(&self.request_id);
        }
    }
}

impl PlainHub {
    /// A hub that knows no services; its schedulers draw their random choices from `seed`.
    pub fn new(settings: PlainSettings, seed: u64, asks: Asks) -> Self {
        Self { services: Mutex::default(), alarm: Alarm::new(), settings: Mutex::new(settings), seed, asks }
    }

    /// Takes a call in. `None` when no such service is listed.
    pub fn arrive(&self, service: &str, arrival: PlainArrival) -> Option<OpenCall<'_>> {
        let (sender, steps) = mpsc::unbounded_channel();
        let request_id = arrival.request_id;
        self.services.lock().get_mut(service)?.open.insert(request_id, sender);
        self.feed(service, PlainEvent::Arrive(arrival));
        Some(OpenCall { hub: self, service: service.to_owned(), request_id, steps })
    }

    /// Adopts the listing. A service stays known when its last instance goes, so that its callers are told
    /// to come back rather than that there is no such service.
    pub fn adopt(&self, listing: &Listing) {
        let mut lists: HashMap<String, Vec<PlainInstance>> = HashMap::new();
        for server in listing.servers.values() {
            if let BackendKind::Plain { service, capacity } = &server.kind {
                lists.entry(service.clone()).or_default().push(PlainInstance {
                    server: server.id.clone(),
                    capacity: *capacity,
                    leaving: server.listed == ListedState::Leaving,
                });
            }
        }
        {
            let settings = *self.settings.lock();
            let mut services = self.services.lock();
            for service in lists.keys() {
                services.entry(service.clone()).or_insert_with(|| Service {
                    scheduler: PlainScheduler::new(settings, self.seed),
                    open: HashMap::new(),
                });
            }
        }
        for service in self.names() {
            let instances = lists.remove(&service).unwrap_or_default();
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

    /// Tells the schedulers of a sign of a server.
    pub fn sign(&self, server: &BackendServerId, signal: StateSignal) {
        self.feed_all(&PlainEvent::StateSignal { server: server.clone(), signal });
    }

    /// Tells the schedulers of a load that an instance told just now.
    pub fn load(&self, server: &BackendServerId, in_flight: u32, capacity: u32) {
        let age_us = Micros::ZERO;
        self.feed_all(&PlainEvent::Load { server: server.clone(), in_flight, capacity, age_us });
    }

    /// Tells the schedulers that the limit which a server states is used up.
    pub fn limited(&self, server: &BackendServerId, reached: LimitReached) {
        self.feed_all(&PlainEvent::Limited { server: server.clone(), reached });
    }

    /// What this daemon could lend of its further tries, by service.
    pub fn spares(&self) -> Vec<(String, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let spares = services.iter_mut().filter_map(|(name, service)| {
            let spare = service.scheduler.allowance()?.lendable(now_us);
            (spare > Credit::ZERO).then(|| (name.clone(), spare))
        });
        spares.collect()
    }

    /// Takes what another daemon could lend.
    pub fn told_spares(&self, host: &HostId, spares: &[(String, Credit)]) {
        for (name, service) in self.services.lock().iter_mut() {
            if let Some(allowance) = service.scheduler.allowance() {
                allowance.update_lender(host, spare_of(spares, name));
            }
        }
    }

    /// Lends to another daemon; says what, and what is left. `None` when there is no such service.
    pub fn lend(&self, name: &str, wants: Credit) -> Option<(Credit, Credit)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        let allowance = services.get_mut(name)?.scheduler.allowance()?;
        Some((allowance.lend(now_us, wants), allowance.lendable(now_us)))
    }

    /// Another daemon answered a question for a loan.
    pub fn lent(&self, name: &str, number: u64, credit: Credit, spare: Credit) {
        self.feed(name, PlainEvent::Lent { number, credit, spare });
    }

    fn feed_all(&self, event: &PlainEvent) {
        for service in self.names() {
            self.feed(&service, event.clone());
        }
    }

    /// What the scheduler of each service counted.
    pub fn counters(&self) -> Vec<PlainCounters> {
        self.services.lock().values().map(|service| *service.scheduler.counters()).collect()
    }

    fn names(&self) -> Vec<String> {
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
                PlainAction::Wake { at_us } => self.alarm.set(*at_us),
                PlainAction::Borrow(ask) => self.asks.send(name, ask.clone()),
                PlainAction::Dispatch { request_id, .. }
                | PlainAction::Refuse { request_id, .. }
                | PlainAction::Unknown { request_id } => {
                    if let Some(open) = service.open.get(request_id) {
                        // A task that has ended needs no more steps.
                        let _ = open.send(action);
                    }
                }
            }
        }
    }

    /// Lets time pass for the schedulers, for as long as the daemon runs.
    pub async fn run_timers(&self) {
        self.alarm.run(|| self.feed_all(&PlainEvent::Tick)).await;
    }
}
