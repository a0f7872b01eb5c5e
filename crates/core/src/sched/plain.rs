//! Choosing among the instances of one plain service.
//!
//! Plain services share the rules for outcomes, fairness and retries with language requests, but there is
//! nothing to reserve: a call takes milliseconds, and asking a watcher first would double it. So each daemon
//! decides by itself from what its own calls showed, and from the instances' load reports.

use std::collections::{HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::allowance::{ASK_AGAIN_MS, Allowance, AllowanceSettings, LOAN_WAIT_MS};
use crate::ids::{BackendServerId, PartnerId, RequestId};
use crate::outcome::{Attempts, NoRetry, Outcome, Repeatability};
use crate::quota::UNIT;
use crate::slots::{FairQueue, QueueSettings, Waiting};
use crate::units::{Micros, Millis, MonoTime};

use super::counters::clamp_retry_after;
use super::events::FailureCause;
use super::instance::{Instance, InstanceSettings};
use super::plain_events::{
    PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainRefusal,
};
use super::retry::RetryBudget;

/// Limits of a [`PlainScheduler`].
#[derive(Clone, Copy, Debug)]
pub struct PlainSettings {
    /// Order and bounds of the queue.
    pub queue: QueueSettings,
    /// How instances are judged.
    pub instance: InstanceSettings,
    /// Retries that one arrival pays for, in percent.
    pub retry_percent: u64,
    /// Retries saved up at most.
    pub retry_burst: u64,
    /// This daemon's part of an allowance that all daemons share, where there is one: it takes the place of the partners'
    /// budgets.
    pub shared_retries: Option<AllowanceSettings>,
    /// Longest first back-off of a retry; doubled with each.
    pub backoff_ms: Millis,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            queue: QueueSettings::default(),
            instance: InstanceSettings::default(),
            retry_percent: 10,
            retry_burst: 20,
            shared_retries: None,
            backoff_ms: Millis(5),
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    arrival: PlainArrival,
    arrived_us: MonoTime,
    /// Its tries, and what they prove.
    tries: Attempts,
    at: Option<(usize, MonoTime)>,
    failed_at: Option<usize>,
    retry_at_us: Option<MonoTime>,
}

/// A call that is to be tried again and cannot be paid for yet.
#[derive(Clone, Copy, Debug)]
struct Unpaid {
    request_id: RequestId,
    until_us: MonoTime,
}

/// What pays for further tries.
#[derive(Debug)]
enum Retries {
    /// What each partner's own arrivals earned.
    ByPartner(HashMap<PartnerId, RetryBudget>),
    /// This daemon's part of an allowance of all daemons.
    Shared(Allowance),
}

/// Decides for the calls of one daemon to one plain service.
#[derive(Debug)]
pub struct PlainScheduler {
    settings: PlainSettings,
    rng: StdRng,
    instances: Vec<Instance>,
    names: HashMap<BackendServerId, usize>,
    calls: HashMap<RequestId, Call>,
    queue: FairQueue<()>,
    paid_by: Retries,
    retries: Vec<(MonoTime, RequestId)>,
    unpaid: Vec<Unpaid>,
    counters: PlainCounters,
    wake_us: Option<MonoTime>,
    /// When instances with a limit that is used up took calls, the newest last.
    limited_starts: VecDeque<MonoTime>,
}

impl PlainScheduler {
    /// A scheduler that knows no instances yet.
    pub fn new(settings: PlainSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            instances: Vec::new(),
            names: HashMap::new(),
            calls: HashMap::new(),
            queue: FairQueue::new(settings.queue),
            paid_by: match settings.shared_retries {
                Some(shared) => Retries::Shared(Allowance::new(shared, seed)),
                None => Retries::ByPartner(HashMap::new()),
            },
            retries: Vec::new(),
            unpaid: Vec::new(),
            counters: PlainCounters::default(),
            wake_us: None,
            limited_starts: VecDeque::new(),
        }
    }

    /// Changes the limits; what was decided and saved up stays.
    pub fn configure(&mut self, settings: PlainSettings) {
        match &mut self.paid_by {
            Retries::ByPartner(budgets) => {
                for budget in budgets.values_mut() {
                    budget.configure(settings.retry_percent, settings.retry_burst);
                }
            }
            Retries::Shared(allowance) => {
                if let Some(shared) = settings.shared_retries {
                    allowance.configure(shared);
                }
            }
        }
        self.settings = settings;
    }

    /// This daemon's part of the allowance, where there is one.
    pub fn allowance(&mut self) -> Option<&mut Allowance> {
        match &mut self.paid_by {
            Retries::ByPartner(_) => None,
            Retries::Shared(allowance) => Some(allowance),
        }
    }

    /// What it decided so far.
    pub fn counters(&self) -> &PlainCounters {
        &self.counters
    }

    /// Takes an event and pushes what is to be done.
    pub fn handle(&mut self, now_us: MonoTime, event: PlainEvent, actions: &mut Vec<PlainAction>) {
        match event {
            PlainEvent::Arrive(arrival) => self.arrive(now_us, arrival, actions),
            PlainEvent::Done { request_id } => self.done(now_us, request_id),
            PlainEvent::Failed { request_id, cause } => self.failed(now_us, request_id, cause, actions),
            PlainEvent::CallerLeft { request_id } => self.caller_left(now_us, request_id),
            PlainEvent::Instances(list) => self.adopt(list),
            PlainEvent::Sign { server, sign } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].sign(now_us, sign);
                }
            }
            PlainEvent::Load { server, in_flight, capacity, age_us } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].report(now_us, in_flight, capacity, age_us);
                }
            }
            PlainEvent::Lent { number, credit, spare } => {
                if let Some(allowance) = self.allowance() {
                    allowance.lent(now_us, number, credit, spare);
                }
            }
            PlainEvent::Limited { server, reached } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].limited(now_us, reached);
                }
            }
            PlainEvent::Tick => {}
        }
        self.pay(now_us, actions);
        self.requeue_due(now_us);
        self.expire(now_us, actions);
        self.serve(now_us, actions);
        self.wake(now_us, actions);
    }

    fn adopt(&mut self, list: Vec<PlainInstance>) {
        for instance in &mut self.instances {
            instance.unlist();
        }
        for listed in list {
            let Some(&index) = self.names.get(&listed.server) else {
                self.names.insert(listed.server.clone(), self.instances.len());
                let settings = self.settings.instance;
                self.instances.push(Instance::new(settings, listed.server, listed.capacity, listed.leaving));
                continue;
            };
            self.instances[index].relist(listed.capacity, listed.leaving);
        }
    }

    /// Takes a call in, or refuses it.
    ///
    /// Load: a surge of one partner, or instances that became slow. Harm prevented: callers waiting longer
    /// than they would ever stay, and a burst of launch entries stuck behind somebody's page loads.
    fn arrive(&mut self, now_us: MonoTime, arrival: PlainArrival, actions: &mut Vec<PlainAction>) {
        self.counters.arrivals += 1;
        let PlainSettings { retry_percent, retry_burst, .. } = self.settings;
        match &mut self.paid_by {
            Retries::ByPartner(budgets) => budgets
                .entry(arrival.partner.clone())
                .or_insert_with(|| RetryBudget::new(retry_percent, retry_burst))
                .deposit(),
            Retries::Shared(allowance) => allowance.arrived(),
        }
        let request_id = arrival.request_id;
        if self.calls.contains_key(&request_id) {
            return;
        }
        let patience_us = Micros::from(arrival.patience_ms);
        let entry = self.waiting(now_us, &arrival);
        let repeatability =
            if arrival.repeatable { Repeatability::Repeatable } else { Repeatability::AtMostOnce };
        let tries = Attempts::new(repeatability, arrival.attempts_max);
        let call = Call { arrival, arrived_us: now_us, tries, at: None, failed_at: None, retry_at_us: None };
        let wait_us = self.queue.forecast(now_us, &entry, self.pace(now_us)).wait_us;
        let full = self.queue.is_full(&entry.partner, false);
        self.calls.insert(request_id, call);
        if full {
            self.refuse(request_id, PlainRefusal::QueueFull, wait_us, actions);
        } else if !self.instances.iter().any(|instance| instance.is_listed_live(now_us)) {
            self.refuse(request_id, PlainRefusal::NoInstance, patience_us, actions);
        } else if let Some(opens_us) = self.nobody_until(now_us) {
            self.refuse(request_id, PlainRefusal::NoInstance, opens_us.since(now_us), actions);
        } else if let Some(limited_us) = self.limited_wait(now_us).filter(|wait_us| *wait_us > patience_us) {
            self.refuse(request_id, PlainRefusal::WouldWaitTooLong, limited_us, actions);
        } else if wait_us > patience_us {
            let after_us = wait_us.saturating_sub(patience_us);
            self.refuse(request_id, PlainRefusal::WouldWaitTooLong, after_us, actions);
        } else {
            self.queue.push(entry);
        }
    }

    /// Time until a call behind all that wait is sent, where all instances keep using up the limits that they state.
    ///
    /// Load: a service in need, each instance of which states a limit. Harm prevented: callers wait for a place that they
    /// cannot get in time, one behind the other, instead of being told when to come back. Other daemons take their part
    /// of the limits, so what this one got lately says how long its queue takes.
    fn limited_wait(&self, now_us: MonoTime) -> Option<Micros> {
        let live = self.instances.iter().filter(|instance| instance.is_listed_live(now_us));
        let closed: Option<Vec<(MonoTime, u64)>> = live
            .map(|instance| {
                let (rate, aside_us) = (instance.limit_rate(now_us), instance.opens_at(now_us));
                let is_closed = rate.is_some() || aside_us.is_some();
                let until_us = instance.limited_until(now_us).or(aside_us).unwrap_or(now_us);
                is_closed.then(|| (until_us, rate.unwrap_or_default().0))
            })
            .collect();
        let closed = closed?;
        let opens_us = closed.iter().map(|(until_us, _)| *until_us).min()?;
        let rate: u64 = closed.iter().map(|(_, rate)| rate).sum();
        let ahead = self.queue.len() as u64;
        let lately = self.limited_starts.iter().filter(|at_us| now_us < **at_us + STARTS_WINDOW_MS).count();
        let behind_us = match lately as u64 {
            0 => ahead * UNIT.0 * MICROS_PER_SECOND / rate.max(1),
            lately => ahead * Micros::from(STARTS_WINDOW_MS).0 / lately,
        };
        Some(opens_us.since(now_us) + Micros(behind_us))
    }

    /// Notes that an instance took a call, for reckoning what a limit leaves to this daemon.
    fn note_start(&mut self, at_us: MonoTime) {
        if self.limited_starts.len() == STARTS_MAX {
            self.limited_starts.pop_front();
        }
        self.limited_starts.push_back(at_us);
    }

    fn waiting(&self, now_us: MonoTime, arrival: &PlainArrival) -> Waiting<()> {
        let work_us = Micros(self.usual_latency_us());
        Waiting {
            request_id: arrival.request_id,
            partner: arrival.partner.clone(),
            since_us: now_us,
            latest_us: Some(now_us + arrival.patience_ms),
            work_us,
            charge_us: work_us,
            item: (),
        }
    }

    /// Calls run side by side, so a queue's time is its work over the room of all instances.
    fn pace(&self, now_us: MonoTime) -> f64 {
        let room = self.instances.iter().map(|instance| u64::from(instance.limit(now_us))).sum::<u64>();
        1.0 / room.max(1) as f64
    }

    /// Median of the instances' latencies: one slow instance does not move it.
    fn usual_latency_us(&self) -> u64 {
        let mut seen = [0_u64; MEDIAN_OF];
        let mut len = 0;
        for latency_us in self.instances.iter().filter_map(Instance::latency_us).take(MEDIAN_OF) {
            seen[len] = latency_us;
            len += 1;
        }
        if len == 0 {
            return self.settings.instance.first_latency_us.0;
        }
        let seen = &mut seen[..len];
        seen.sort_unstable();
        seen[(len - 1) / 2]
    }

    fn serve(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        while !self.queue.is_empty() {
            if !self.instances.iter().any(|instance| instance.has_room(now_us)) {
                return;
            }
            let Some(entry) = self.queue.pop(now_us) else {
                return;
            };
            if !self.dispatch(now_us, entry.request_id, actions) {
                // Room only at an instance on trial, which this call may not be risked on.
                self.queue.refund(&entry.partner, entry.charge_us);
                self.queue.push(entry);
                return;
            }
        }
    }

    fn dispatch(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<PlainAction>) -> bool {
        let Some(call) = self.calls.get(&request_id) else {
            return true;
        };
        let (repeatable, failed_at) = (call.arrival.repeatable, call.failed_at);
        let Some(index) = self.choose(now_us, repeatable, failed_at) else {
            return false;
        };
        let timeout_us = self.instances[index].timeout_us(self.usual_latency_us());
        let Some(call) = self.calls.get_mut(&request_id) else {
            return true;
        };
        if call.tries.begin().is_err() {
            self.give_up(request_id, actions);
            return true;
        }
        call.at = Some((index, now_us));
        let fresh_connection = !call.arrival.repeatable;
        self.instances[index].start(now_us);
        actions.push(PlainAction::Dispatch {
            request_id,
            server: self.instances[index].server().clone(),
            timeout_ms: timeout_us.to_millis_ceil(),
            fresh_connection,
        });
        true
    }

    /// Chooses the instance with the shortest expected time among a few drawn at random.
    ///
    /// Load: instances of uneven speed. Harm prevented: least-connections alone favours an instance that
    /// fails fast, lowest-latency alone sends everybody to one; calls in flight times latency weighs both.
    /// An instance set aside gets a single call on trial; at a mute one that call is likely to be lost, so
    /// one that may run twice is taken for it.
    fn choose(&mut self, now_us: MonoTime, repeatable: bool, failed_at: Option<usize>) -> Option<usize> {
        let usual_us = self.usual_latency_us();
        let count = self.instances.len();
        let start = if count > 0 {
            self.rng.random_range(0..count)
        } else {
            return None;
        };
        let drawn = (0..count.min(SAMPLE)).map(|step| (start + step) % count);
        let fit = |&index: &usize| {
            let instance = &self.instances[index];
            Some(index) != failed_at && instance.has_room(now_us)
        };
        let trial = |&index: &usize| self.instances[index].wants_trial(now_us, repeatable);
        if let Some(index) = drawn.clone().filter(fit).find(trial) {
            return Some(index);
        }
        let healthy = |&index: &usize| fit(&index) && !self.instances[index].is_set_aside();
        let best = |index: &usize| self.instances[*index].score(usual_us);
        drawn.filter(healthy).min_by_key(best).or_else(|| (0..count).filter(healthy).min_by_key(best))
    }

    fn done(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(call) = self.calls.remove(&request_id) else {
            return;
        };
        self.counters.answered += 1;
        if let Some((index, since_us)) = call.at {
            if self.instances[index].limit_rate(now_us).is_some() {
                self.note_start(since_us);
            }
            self.instances[index].finish(now_us.since(since_us));
            self.judge(now_us, index);
        }
    }

    /// Sets an instance aside that is far slower than the others.
    ///
    /// Harm prevented: an instance ten times slower that answers its health check holds its callers for ten
    /// times as long. Bound: after the fifth slow answer. At most half of the instances are set aside: if
    /// most are slow the cause is the load, and taking instances away would make it worse.
    fn judge(&mut self, now_us: MonoTime, index: usize) {
        let usual_us = self.usual_latency_us();
        if !self.may_set_aside(now_us) {
            return;
        }
        if self.instances[index].judge_speed(now_us, usual_us) {
            self.counters.ejected_slow += 1;
        }
    }

    fn may_set_aside(&self, now_us: MonoTime) -> bool {
        let aside = self.instances.iter().filter(|instance| instance.is_set_aside()).count();
        let live = self.instances.iter().filter(|instance| instance.is_listed_live(now_us)).count();
        (aside + 1) * 2 <= live
    }

    /// When the first instance may be tried again, where all are set aside now.
    fn nobody_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        let live = || self.instances.iter().filter(|instance| instance.is_listed_live(now_us));
        let is_aside = |instance: &Instance| instance.is_set_aside() && !instance.wants_trial(now_us, true);
        if !live().all(is_aside) {
            return None;
        }
        live().filter_map(|instance| instance.opens_at(now_us)).min()
    }

    fn failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<PlainAction>,
    ) {
        // An instance that takes no connection is not slow with load: it is down, or on the other side of a cut. All
        // of them may be set aside for that: with half of them kept, a daemon that is cut off would go on trying those,
        // and each call would wait for a connection that cannot come about.
        let may_set_aside = cause == FailureCause::NotSent || self.may_set_aside(now_us);
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        let Some((index, _)) = call.at.take() else {
            return;
        };
        if cause != FailureCause::Limited {
            call.failed_at = Some(index);
        }
        // What a failed try brought is never an answer for the caller.
        let _ = call.tries.end(cause.proves());
        if self.instances[index].fail(now_us, cause, may_set_aside) {
            self.counters.ejected_mute += 1;
        }
        if cause == FailureCause::Limited {
            self.retry_soon(now_us, request_id);
        } else {
            self.retry(now_us, request_id, actions);
        }
    }

    /// Retries, or ends the call. A call that may have run and may not be repeated is never sent again:
    /// nobody knows whether it ran, and the caller is told so.
    fn retry(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        if call.tries.may_begin() == Err(NoRetry::MayHaveRun) {
            self.unknown(request_id, actions);
            return;
        }
        if call.tries.may_begin().is_err() {
            self.counters.retries_denied += 1;
            self.give_up(request_id, actions);
            return;
        }
        // A try that reached nobody has cost the servers nothing. Refused for want of budget, callers beside a cut would be
        // turned away with servers free.
        if call.tries.made() == 0 {
            self.retry_soon(now_us, request_id);
            return;
        }
        let (paid, may_be_lent) = match &mut self.paid_by {
            Retries::ByPartner(budgets) => {
                (budgets.get_mut(&call.arrival.partner).is_some_and(RetryBudget::withdraw), false)
            }
            Retries::Shared(allowance) => (allowance.withdraw(now_us), allowance.may_borrow()),
        };
        if paid {
            self.retry_soon(now_us, request_id);
        } else if may_be_lent {
            self.unpaid.push(Unpaid { request_id, until_us: now_us + LOAN_WAIT_MS });
        } else {
            self.counters.retries_denied += 1;
            self.give_up(request_id, actions);
        }
    }

    fn retry_soon(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        let doubled = call.tries.made();
        let longest_us = Micros::from(self.settings.backoff_ms).0 << doubled;
        let at_us = now_us + Micros(self.rng.random_range(0..=longest_us));
        call.retry_at_us = Some(at_us);
        self.retries.push((at_us, request_id));
        self.counters.retries += 1;
    }

    /// Tries those again that can be paid for now, asks for loans for the others, and ends those for which none came.
    fn pay(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let calls = &self.calls;
        self.unpaid.retain(|unpaid| calls.contains_key(&unpaid.request_id));
        let Retries::Shared(allowance) = &mut self.paid_by else {
            return;
        };
        let payable = self.unpaid.iter().take_while(|_| allowance.withdraw(now_us)).count();
        let paid: Vec<Unpaid> = self.unpaid.drain(..payable).collect();
        if let Some(ask) = allowance.ask(now_us, self.unpaid.len() as u64) {
            actions.push(PlainAction::Borrow(ask));
        }
        let may_be_lent = allowance.may_borrow();
        let is_over = |unpaid: &Unpaid| now_us >= unpaid.until_us || !may_be_lent;
        let denied: Vec<Unpaid> = self.unpaid.extract_if(.., |unpaid| is_over(unpaid)).collect();
        for Unpaid { request_id, .. } in paid {
            self.retry_soon(now_us, request_id);
        }
        for Unpaid { request_id, .. } in denied {
            self.counters.retries_denied += 1;
            self.give_up(request_id, actions);
        }
    }

    /// Ends a call that is not tried again, by what its tries prove.
    fn give_up(&mut self, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        if self.may_have_run(request_id) {
            self.unknown(request_id, actions);
        } else {
            self.refuse(request_id, PlainRefusal::RetriesSpent, Micros::ZERO, actions);
        }
    }

    fn may_have_run(&self, request_id: RequestId) -> bool {
        self.calls.get(&request_id).is_some_and(|call| call.tries.outcome() == Outcome::Unknown)
    }

    fn requeue_due(&mut self, now_us: MonoTime) {
        let mut due = Vec::new();
        self.retries.retain(|&(at_us, request_id)| {
            let is_due = at_us <= now_us;
            if is_due {
                due.push(request_id);
            }
            !is_due
        });
        for request_id in due {
            let Some(call) = self.calls.get_mut(&request_id) else {
                continue;
            };
            call.retry_at_us = None;
            let arrival = call.arrival.clone();
            let since_us = call.arrived_us;
            let mut entry = self.waiting(now_us, &arrival);
            entry.latest_us = Some(since_us + arrival.patience_ms);
            self.queue.push(entry);
        }
    }

    /// Refuses calls whose patience ended in the queue.
    fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        while let Some(entry) = self.queue.take_expired(now_us) {
            if self.may_have_run(entry.request_id) {
                self.unknown(entry.request_id, actions);
            } else {
                let wait_us = self.limited_wait(now_us).unwrap_or(entry.work_us);
                self.refuse(entry.request_id, PlainRefusal::WouldWaitTooLong, wait_us, actions);
            }
        }
    }

    fn refuse(
        &mut self,
        request_id: RequestId,
        reason: PlainRefusal,
        wait_us: Micros,
        actions: &mut Vec<PlainAction>,
    ) {
        self.calls.remove(&request_id);
        self.counters.refused += 1;
        let retry_after_ms = clamp_retry_after(wait_us.to_millis_ceil());
        actions.push(PlainAction::Refuse { request_id, reason, retry_after_ms });
    }

    fn unknown(&mut self, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        self.calls.remove(&request_id);
        self.counters.unknown += 1;
        actions.push(PlainAction::Unknown { request_id });
    }

    fn caller_left(&mut self, now_us: MonoTime, request_id: RequestId) {
        self.queue.remove(request_id);
        if let Some(call) = self.calls.remove(&request_id)
            && let Some((index, _)) = call.at
        {
            self.instances[index].abandon(now_us);
        }
    }

    fn wake(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let retry_us = self.retries.iter().map(|&(at_us, _)| at_us).min();
        let expiry_us = self.queue.first_expiry();
        let reopen_us = (!self.queue.is_empty())
            .then(|| {
                let opens = |instance: &Instance| {
                    [instance.opens_at(now_us), instance.limited_until(now_us)].into_iter().flatten().min()
                };
                self.instances.iter().filter_map(opens).min()
            })
            .flatten();
        let ask_us = (!self.unpaid.is_empty()).then(|| now_us + ASK_AGAIN_MS);
        let Some(at_us) = [retry_us, expiry_us, reopen_us, ask_us].into_iter().flatten().min() else {
            return;
        };
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(PlainAction::Wake { at_us });
        }
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Time over which the calls are counted that limits leave to this daemon.
const STARTS_WINDOW_MS: Millis = Millis(2_000);

/// Such calls that are remembered.
const STARTS_MAX: usize = 256;

/// Instances looked at for one call.
const SAMPLE: usize = 4;

/// Instances whose latency is looked at for the usual one.
const MEDIAN_OF: usize = 16;
