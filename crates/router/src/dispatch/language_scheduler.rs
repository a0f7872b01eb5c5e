//! Connects the language scheduler to the tasks that carry out its decisions.
//!
//! The scheduler is one state machine for all language requests of this daemon. The lock around it is held
//! only for the microseconds of one decision, and nothing blocks or awaits while it is held. Each open
//! request has a task, which receives the scheduler's actions through a channel.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscusvale_core::ids::{AttemptId, BackendServerId, RequestId};
use hibiscusvale_core::sched::{
    Action, Arrival, Attempt, Counters, Event, Scheduler, SchedulerSettings, StageEntry,
};
use hibiscusvale_core::slots::SlotMessage;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::Releases;
use super::wake_timer::WakeTimer;
use crate::clock;
use crate::slot_route::SlotRoute;

/// A request that the scheduler has not ended.
#[derive(Debug)]
struct Open {
    actions_sender: mpsc::UnboundedSender<Action>,
    attempt: Attempt,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    open: HashMap<RequestId, Open>,
    actions: Vec<Action>,
}

/// The scheduler and the action channels of the open requests.
#[derive(Debug)]
pub struct LanguageScheduler {
    state: Mutex<State>,
    route: SlotRoute,
    releases: Arc<Releases>,
    wake_timer: WakeTimer,
}

/// Effects of a decision that are carried out after the lock is released.
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

impl LanguageScheduler {
    /// Creates a scheduler that makes its random choices from `seed`.
    pub fn new(settings: SchedulerSettings, seed: u64, route: SlotRoute, releases: Arc<Releases>) -> Self {
        let state =
            State { scheduler: Scheduler::new(settings, seed), open: HashMap::new(), actions: Vec::new() };
        Self { state: Mutex::new(state), route, releases, wake_timer: WakeTimer::new() }
    }

    /// Adds a request. Its actions arrive on the returned channel, which closes when the request has ended.
    pub fn arrive(&self, arrival: Arrival) -> mpsc::UnboundedReceiver<Action> {
        let (actions_sender, inbox) = mpsc::unbounded_channel();
        let open = Open { actions_sender, attempt: Attempt::default() };
        self.state.lock().open.insert(arrival.request_id, open);
        self.feed(Event::Arrive(arrival));
        inbox
    }

    /// Removes a request that [`LanguageScheduler::arrive`] added and ends it if it is still open. Later actions
    /// for it are dropped. Returns the stage of an open request.
    pub fn caller_left(&self, request_id: RequestId) -> Option<StageEntry> {
        let entry = self.state.lock().scheduler.stage_entry(request_id);
        self.feed(Event::CallerLeft { request_id });
        self.state.lock().open.remove(&request_id);
        entry
    }

    /// Passes an event to the scheduler and carries out the resulting actions.
    pub fn feed(&self, event: Event) {
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            let state = &mut *state;
            state.scheduler.handle(clock::now(), event, &mut state.actions);
            for action in state.actions.drain(..) {
                apply(&mut state.open, action, &mut effects, &self.wake_timer);
            }
        }
        for message in effects.messages {
            self.route.send_to_watcher(message);
        }
        for release in effects.releases {
            self.releases.release(&release.server, release.attempt_id);
        }
    }

    /// The scheduler's counters.
    pub fn counters(&self) -> Counters {
        *self.state.lock().scheduler.counters()
    }

    /// Number of requests that wait for a server.
    pub fn waiting_requests(&self) -> usize {
        self.state.lock().scheduler.waiting_len()
    }

    /// Passes ticks to the scheduler at the times it asks for. Runs until the daemon stops.
    pub async fn run_timers(&self) {
        self.wake_timer.run(|| self.feed(Event::Tick)).await;
    }
}

fn apply(open: &mut HashMap<RequestId, Open>, action: Action, effects: &mut Effects, wake_timer: &WakeTimer) {
    match action {
        Action::Send(message) => effects.messages.push(message),
        Action::Cancel { request_id, server } => {
            if let Some(open) = open.get(&request_id) {
                let attempt_id = AttemptId { request_id, attempt: open.attempt.0 };
                effects.releases.push(Release { server, attempt_id });
            }
        }
        Action::Wake { at_us } => wake_timer.set(at_us),
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
        // Sending fails only when the task has ended; it needs no more actions then.
        let _ = open.actions_sender.send(action);
    }
}
