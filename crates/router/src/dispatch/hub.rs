//! Where the daemon's scheduler meets the tasks that carry its decisions out.
//!
//! The scheduler is one state machine for all requests of this daemon. It sits behind a lock that is held for
//! the microseconds of one decision; nothing that can wait happens under it. Each open request has a task
//! with an inbox for the scheduler's actions.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscusvale_core::ids::{AttemptId, BackendServerId, RequestId};
use hibiscusvale_core::sched::{Action, Arrival, Attempt, Counters, Event, Scheduler, SchedulerSettings};
use hibiscusvale_core::slots::SlotMessage;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::Releases;
use super::alarm::Alarm;
use crate::clock;
use crate::slot_route::SlotRoute;

/// A request that the scheduler has not ended.
#[derive(Debug)]
struct Open {
    steps: mpsc::UnboundedSender<Action>,
    attempt: Attempt,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    open: HashMap<RequestId, Open>,
    actions: Vec<Action>,
}

/// The scheduler and the inboxes of the open requests.
#[derive(Debug)]
pub struct Hub {
    state: Mutex<State>,
    route: SlotRoute,
    releases: Arc<Releases>,
    alarm: Alarm,
}

/// What is left to do after a decision, outside the lock.
#[derive(Debug, Default)]
struct Effects {
    messages: Vec<SlotMessage>,
    releases: Vec<Release>,
}

#[derive(Debug)]
struct Release {
    server: BackendServerId,
    attempt_id: AttemptId,
}

impl Hub {
    /// Makes a hub whose scheduler draws its random choices from `seed`.
    pub fn new(settings: SchedulerSettings, seed: u64, route: SlotRoute, releases: Arc<Releases>) -> Self {
        let state =
            State { scheduler: Scheduler::new(settings, seed), open: HashMap::new(), actions: Vec::new() };
        Self { state: Mutex::new(state), route, releases, alarm: Alarm::new() }
    }

    /// Takes a request in. Its actions arrive on the returned inbox, which closes when it has ended.
    pub fn arrive(&self, arrival: Arrival) -> mpsc::UnboundedReceiver<Action> {
        let (steps, inbox) = mpsc::unbounded_channel();
        let open = Open { steps, attempt: Attempt::default() };
        self.state.lock().open.insert(arrival.request_id, open);
        self.feed(Event::Arrive(arrival));
        inbox
    }

    /// Ends what [`Hub::arrive`] began; late actions for the request find nothing.
    pub fn close(&self, request_id: RequestId) {
        self.state.lock().open.remove(&request_id);
    }

    /// Tells the scheduler something and carries out what it decides.
    pub fn feed(&self, event: Event) {
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            let state = &mut *state;
            state.scheduler.handle(clock::now(), event, &mut state.actions);
            for action in state.actions.drain(..) {
                route(&mut state.open, action, &mut effects, &self.alarm);
            }
        }
        for message in effects.messages {
            self.route.to_watcher(message);
        }
        for release in effects.releases {
            self.releases.release(&release.server, release.attempt_id);
        }
    }

    /// What the scheduler counted.
    pub fn counters(&self) -> Counters {
        *self.state.lock().scheduler.counters()
    }

    /// Requests that wait for a server.
    pub fn waiting_requests(&self) -> usize {
        self.state.lock().scheduler.waiting_len()
    }

    /// Lets time pass for the scheduler, for as long as the daemon runs.
    pub async fn run_timers(&self) {
        self.alarm.run(|| self.feed(Event::Tick)).await;
    }
}

fn route(open: &mut HashMap<RequestId, Open>, action: Action, effects: &mut Effects, alarm: &Alarm) {
    match action {
        Action::Send(message) => effects.messages.push(message),
        Action::Cancel { request_id, server } => {
            if let Some(open) = open.get(&request_id) {
                let attempt_id = AttemptId { request_id, attempt: open.attempt.0 };
                effects.releases.push(Release { server, attempt_id });
            }
        }
        Action::Wake { at_us } => alarm.set(at_us),
        Action::StartPrefill { request_id, attempt, .. } => {
            if let Some(open) = open.get_mut(&request_id) {
                open.attempt = attempt;
            }
            deliver(open, request_id, action);
        }
        Action::Import { request_id, .. }
        | Action::Decode { request_id, .. }
        | Action::Refuse { request_id, .. }
        | Action::Fail { request_id, .. } => deliver(open, request_id, action),
    }
}

fn deliver(open: &HashMap<RequestId, Open>, request_id: RequestId, action: Action) {
    if let Some(open) = open.get(&request_id) {
        // A task that has ended needs no more steps.
        let _ = open.steps.send(action);
    }
}
