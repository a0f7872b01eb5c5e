//! Scheduling of calls to the instances of a plain service.
//!
//! Outcomes, fairness and retries follow the same rules as for language requests, but nothing is reserved: a
//! call takes milliseconds, and asking a watcher first would double that. Each daemon decides alone, from the
//! results of its own calls and the load reports of the instances.

use std::collections::{HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{BackendServerId, Lifetime, PartnerId, RequestId};
use crate::outcome::{Attempts, Outcome, Repeatability, RetryRefusal};
use crate::quota::CREDIT_PER_UNIT;
use crate::retry_budget::{LENDER_TIMEOUT_MS, LOAN_TIMEOUT_MS, SharedRetryBudget, SharedRetryBudgetSettings};
use crate::slots::{FairQueue, QueueSettings, Waiting};
use crate::units::{Micros, Millis, MonoTime};

use super::counters::clamp_retry_after;
use super::events::FailureCause;
use super::instance::{Instance, InstanceSettings};
use super::plain_events::{
    PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainRefusal,
};
use super::retry::PartnerRetryBudget;
use super::server_loads::{Candidate, ServerLoadUse, ServerLoads, ServerSample};

/// Limits of a [`PlainScheduler`].
#[derive(Clone, Copy, Debug)]
pub struct PlainSettings {
    /// Order and bounds of the queue.
    pub queue: QueueSettings,
    /// Limits for detecting slow and unresponsive instances.
    pub instance: InstanceSettings,
    /// Retries earned per arrival, in percent.
    pub retry_percent: u64,
    /// Maximum number of saved retries.
    pub retry_burst: u64,
    /// This daemon's part of a retry budget shared by all daemons; replaces the budgets of the partners
    /// where present.
    pub shared_retries: Option<SharedRetryBudgetSettings>,
    /// Upper bound of the first back-off; doubled with each retry.
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
    /// Attempts made, and what they prove about execution.
    attempts: Attempts,
    dispatched: Option<(usize, MonoTime)>,
    failed_at: Option<usize>,
    retry_at_us: Option<MonoTime>,
}

/// Call that waits for retry credit.
#[derive(Clone, Copy, Debug)]
struct UnfundedRetry {
    request_id: RequestId,
    until_us: MonoTime,
}

/// What the choice of an instance depends on.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Whether it may run twice.
    repeatable: bool,
    /// Time left in which its answer is in time.
    target_left_ms: Option<Millis>,
    /// Instance at which it failed last.
    failed_at: Option<usize>,
}

/// Source of retry credit.
#[derive(Debug)]
enum RetrySource {
    /// Budgets earned by the arrivals of each partner.
    PerPartner(HashMap<PartnerId, PartnerRetryBudget>),
    /// This daemon's part of a retry budget shared by all daemons.
    Shared(SharedRetryBudget),
}

/// What the list states of an instance, by which its load is judged.
#[derive(Clone, Copy, Debug)]
struct Listed {
    is_local: bool,
    lifetime: Option<Lifetime>,
}

/// Schedules the calls of one daemon to one plain service.
#[derive(Debug)]
pub struct PlainScheduler {
    settings: PlainSettings,
    rng: StdRng,
    instances: Vec<Instance>,
    /// By index, as `instances`.
    listed: Vec<Listed>,
    /// Loads of the instances as all daemons see them; absent where they are not used.
    server_loads: Option<ServerLoads>,
    names: HashMap<BackendServerId, usize>,
    calls: HashMap<RequestId, Call>,
    queue: FairQueue<()>,
    retry_source: RetrySource,
    retries: Vec<(MonoTime, RequestId)>,
    unfunded: Vec<UnfundedRetry>,
    counters: PlainCounters,
    wake_us: Option<MonoTime>,
    /// Start times of calls at instances whose published limit is used up, newest last.
    limited_starts: VecDeque<MonoTime>,
}

impl PlainScheduler {
    /// Creates a scheduler without instances.
    pub fn new(settings: PlainSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            instances: Vec::new(),
            listed: Vec::new(),
            server_loads: None,
            names: HashMap::new(),
            calls: HashMap::new(),
            queue: FairQueue::new(settings.queue),
            retry_source: match settings.shared_retries {
                Some(shared) => RetrySource::Shared(SharedRetryBudget::new(shared, seed)),
                None => RetrySource::PerPartner(HashMap::new()),
            },
            retries: Vec::new(),
            unfunded: Vec::new(),
            counters: PlainCounters::default(),
            wake_us: None,
            limited_starts: VecDeque::new(),
        }
    }

    /// Changes the limits; pending calls and saved retries are kept.
    pub fn configure(&mut self, settings: PlainSettings) {
        match &mut self.retry_source {
            RetrySource::PerPartner(budgets) => {
                for budget in budgets.values_mut() {
                    budget.configure(settings.retry_percent, settings.retry_burst);
                }
            }
            RetrySource::Shared(retry_budget) => {
                if let Some(shared) = settings.shared_retries {
                    retry_budget.configure(shared);
                }
            }
        }
        self.settings = settings;
    }

    /// This daemon's part of the shared retry budget, if there is one.
    pub fn retry_budget(&mut self) -> Option<&mut SharedRetryBudget> {
        match &mut self.retry_source {
            RetrySource::PerPartner(_) => None,
            RetrySource::Shared(retry_budget) => Some(retry_budget),
        }
    }

    /// Sets whether instances are chosen by their loads; without it every choice is the daemon's own.
    pub fn use_server_loads(&mut self, is_used: bool) {
        if is_used {
            self.server_loads.get_or_insert_default();
        } else {
            self.server_loads = None;
        }
    }

    /// What this daemon observed of the instances since the previous call, for the other daemons.
    pub fn take_server_samples(&mut self, now_us: MonoTime) -> Vec<ServerSample> {
        let Some(loads) = &mut self.server_loads else {
            return Vec::new();
        };
        // A daemon without calls has no other events by which observations would decay.
        loads.refresh(now_us);
        loads.take_unsent(now_us, |index| self.instances[index].server())
    }

    /// Adds what another daemon observed of listed instances.
    pub fn receive_server_samples(&mut self, now_us: MonoTime, samples: &[ServerSample]) {
        let Some(loads) = &mut self.server_loads else {
            return;
        };
        loads.refresh(now_us);
        for sample in samples {
            let index = self.names.get(&sample.server);
            if let Some(&index) = index.filter(|&&index| self.instances[index].is_listed_live(now_us)) {
                loads.receive(now_us, index, sample);
            }
        }
    }

    /// Records the load that an instance stated to this daemon, also in a refusal.
    pub fn server_stated_load(&mut self, now_us: MonoTime, server: &BackendServerId, held: u32, slots: u32) {
        if let (Some(loads), Some(&index)) = (&mut self.server_loads, self.names.get(server)) {
            loads.stated(now_us, index, held, slots);
        }
    }

    /// Expected response time of each listed instance, as seen from its own data centre. Empty unless instances are
    /// chosen by their loads.
    pub fn expected_response_times(&self, now_us: MonoTime) -> Vec<(BackendServerId, Millis)> {
        let Some(loads) = self.server_loads_in_use() else {
            return Vec::new();
        };
        let listed =
            self.instances.iter().enumerate().filter(|(_, instance)| instance.is_listed_live(now_us));
        listed
            .filter_map(|(index, instance)| {
                let expected_ms = loads.expected_ms(now_us, index, instance.in_flight())?;
                Some((instance.server().clone(), expected_ms))
            })
            .collect()
    }

    /// Whether instances are chosen by their loads, if that has changed since the previous call.
    pub fn take_server_load_change(&mut self) -> Option<ServerLoadUse> {
        self.server_loads.as_mut()?.take_use_change()
    }

    fn server_loads_in_use(&self) -> Option<&ServerLoads> {
        self.server_loads.as_ref().filter(|loads| loads.is_in_use())
    }

    /// Counters since creation.
    pub fn counters(&self) -> &PlainCounters {
        &self.counters
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now_us: MonoTime, event: PlainEvent, actions: &mut Vec<PlainAction>) {
        if let Some(loads) = &mut self.server_loads {
            loads.refresh(now_us);
        }
        match event {
            PlainEvent::Arrive(arrival) => self.admit(now_us, arrival, actions),
            PlainEvent::Done { request_id } => self.done(now_us, request_id, true),
            PlainEvent::DoneWithError { request_id } => self.done(now_us, request_id, false),
            PlainEvent::Failed { request_id, cause } => self.failed(now_us, request_id, cause, actions),
            PlainEvent::CallerLeft { request_id } => self.caller_left(now_us, request_id),
            PlainEvent::Instances(list) => self.apply_list(list),
            PlainEvent::StatusUpdate { server, update } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].apply_status(now_us, update);
                }
            }
            PlainEvent::Hold { server, hold } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].hold(hold);
                }
            }
            PlainEvent::Release { server } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].release_holds();
                }
            }
            PlainEvent::Load { server, in_flight, capacity, age_us } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].update_load(now_us, in_flight, capacity, age_us);
                }
            }
            PlainEvent::Lent { number, credit, left } => {
                if let Some(retry_budget) = self.retry_budget() {
                    retry_budget.receive(now_us, number, credit, left);
                }
            }
            PlainEvent::Limited { server, reached } => {
                if let Some(&index) = self.names.get(&server) {
                    self.instances[index].limited(now_us, reached);
                }
            }
            PlainEvent::Tick => {}
        }
        self.fund_retries(now_us, actions);
        self.requeue_due(now_us);
        self.expire(now_us, actions);
        self.refuse_unservable(now_us, actions);
        self.refuse_while_full(now_us, actions);
        self.dispatch_queued(now_us, actions);
        self.schedule_wake(now_us, actions);
    }

    fn apply_list(&mut self, list: Vec<PlainInstance>) {
        for instance in &mut self.instances {
            instance.unlist();
        }
        for listed in list {
            let Some(&index) = self.names.get(&listed.server) else {
                self.names.insert(listed.server.clone(), self.instances.len());
                self.listed.push(Listed { is_local: listed.is_local, lifetime: listed.lifetime });
                let settings = self.settings.instance;
                self.instances.push(Instance::new(settings, listed.server, listed.capacity, listed.leaving));
                continue;
            };
            self.instances[index].relist(listed.capacity, listed.leaving);
            let known = &mut self.listed[index];
            let is_restarted = known.lifetime != listed.lifetime;
            *known = Listed { is_local: listed.is_local, lifetime: listed.lifetime };
            if is_restarted {
                self.instances[index].forget_latency();
                if let Some(loads) = &mut self.server_loads {
                    loads.forget(index);
                }
            }
        }
        if let Some(loads) = &mut self.server_loads {
            let unlisted = self.instances.iter().enumerate().filter(|(_, instance)| !instance.is_listed());
            unlisted.for_each(|(index, _)| loads.forget(index));
        }
    }

    /// Admits a call or refuses it.
    ///
    /// When one partner surges or instances become slow, a call that would wait longer than its limit is
    /// refused at once, and the queue keeps each partner's calls apart, so that a burst of launch entries
    /// does not wait behind another partner's page loads.
    fn admit(&mut self, now_us: MonoTime, arrival: PlainArrival, actions: &mut Vec<PlainAction>) {
        self.counters.arrivals += 1;
        let PlainSettings { retry_percent, retry_burst, .. } = self.settings;
        match &mut self.retry_source {
            RetrySource::PerPartner(budgets) => budgets
                .entry(arrival.partner.clone())
                .or_insert_with(|| PartnerRetryBudget::new(retry_percent, retry_burst))
                .deposit(),
            RetrySource::Shared(retry_budget) => retry_budget.deposit(),
        }
        let request_id = arrival.request_id;
        if self.calls.contains_key(&request_id) {
            return;
        }
        let max_wait_us = Micros::from(arrival.max_wait_ms);
        let entry = self.queue_entry(now_us, &arrival);
        let repeatability =
            if arrival.repeatable { Repeatability::Repeatable } else { Repeatability::AtMostOnce };
        let attempts = Attempts::new(repeatability, arrival.attempts_max);
        let call = Call {
            arrival,
            arrived_us: now_us,
            attempts,
            dispatched: None,
            failed_at: None,
            retry_at_us: None,
        };
        let wait_us = self.queue.forecast(now_us, &entry, self.wait_scale(now_us)).wait_us;
        let full = self.queue.is_full(&entry.partner, false);
        self.calls.insert(request_id, call);
        if full {
            self.refuse(request_id, PlainRefusal::QueueFull, wait_us, actions);
        } else if !self.instances.iter().any(|instance| instance.is_listed_live(now_us)) {
            self.refuse(request_id, PlainRefusal::NoInstance, max_wait_us, actions);
        } else if let Some(available_us) = self.all_resting_until(now_us) {
            self.refuse(request_id, PlainRefusal::Resting, available_us.since(now_us), actions);
        } else if let Some(available_us) = self.all_ejected_until(now_us) {
            self.refuse(request_id, PlainRefusal::NoInstance, available_us.since(now_us), actions);
        } else if let Some(limited_us) = self.limited_wait(now_us).filter(|wait_us| *wait_us > max_wait_us) {
            self.refuse(request_id, PlainRefusal::WouldWaitTooLong, limited_us, actions);
        } else if wait_us > max_wait_us {
            let after_us = wait_us.saturating_sub(max_wait_us);
            self.refuse(request_id, PlainRefusal::WouldWaitTooLong, after_us, actions);
        } else {
            self.queue.push(entry);
        }
    }

    /// Time until a call at the end of the queue is sent, if all instances keep using up their published
    /// limits.
    ///
    /// With this estimate, callers of an overloaded service are told when to come back instead of queueing
    /// for capacity that they cannot get in time. Other daemons use part of the limits, so the estimate is
    /// based on the calls that this daemon could start recently.
    fn limited_wait(&self, now_us: MonoTime) -> Option<Micros> {
        let live = self.instances.iter().filter(|instance| instance.is_listed_live(now_us));
        let unavailable: Option<Vec<(MonoTime, u64)>> = live
            .map(|instance| {
                let (rate, ejected_until_us) = (instance.limit_rate(now_us), instance.ejected_until(now_us));
                let is_unavailable = rate.is_some() || ejected_until_us.is_some();
                let until_us = instance.limited_until(now_us).or(ejected_until_us).unwrap_or(now_us);
                is_unavailable.then(|| (until_us, rate.unwrap_or_default().0))
            })
            .collect();
        let unavailable = unavailable?;
        let available_us = unavailable.iter().map(|(until_us, _)| *until_us).min()?;
        let rate: u64 = unavailable.iter().map(|(_, rate)| rate).sum();
        let ahead = self.queue.len() as u64;
        let recent =
            self.limited_starts.iter().filter(|at_us| now_us < **at_us + LIMITED_STARTS_WINDOW_MS).count();
        let behind_us = match recent as u64 {
            0 => ahead * CREDIT_PER_UNIT.0 * MICROS_PER_SECOND / rate.max(1),
            recent => ahead * Micros::from(LIMITED_STARTS_WINDOW_MS).0 / recent,
        };
        Some(available_us.since(now_us) + Micros(behind_us))
    }

    /// Records the start of a call at an instance with a published limit, for estimating the share of the
    /// limit that this daemon gets.
    fn record_limited_start(&mut self, at_us: MonoTime) {
        if self.limited_starts.len() == LIMITED_STARTS_MAX {
            self.limited_starts.pop_front();
        }
        self.limited_starts.push_back(at_us);
    }

    fn queue_entry(&self, now_us: MonoTime, arrival: &PlainArrival) -> Waiting<()> {
        let work_us = Micros(self.median_latency_us());
        Waiting {
            request_id: arrival.request_id,
            partner: arrival.partner.clone(),
            since_us: now_us,
            latest_us: Some(now_us + arrival.max_wait_ms),
            work_us,
            charge_us: work_us,
            item: (),
        }
    }

    /// Factor from queued work to waiting time: calls run in parallel, so it is one over the capacity of all
    /// instances.
    fn wait_scale(&self, now_us: MonoTime) -> f64 {
        let room = self.instances.iter().map(|instance| u64::from(instance.limit(now_us))).sum::<u64>();
        1.0 / room.max(1) as f64
    }

    /// Median of the instances' latencies, which a single slow instance does not shift.
    fn median_latency_us(&self) -> u64 {
        let mut latencies = [0_u64; MEDIAN_SAMPLE_MAX];
        let mut len = 0;
        for latency_us in self.instances.iter().filter_map(Instance::latency_us).take(MEDIAN_SAMPLE_MAX) {
            latencies[len] = latency_us;
            len += 1;
        }
        if len == 0 {
            return self.settings.instance.initial_latency_us.0;
        }
        let latencies = &mut latencies[..len];
        latencies.sort_unstable();
        latencies[(len - 1) / 2]
    }

    fn dispatch_queued(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        while !self.queue.is_empty() {
            if !(0..self.instances.len()).any(|index| self.has_room(now_us, index)) {
                return;
            }
            let Some(entry) = self.queue.pop(now_us) else {
                return;
            };
            if !self.dispatch(now_us, entry.request_id, actions) {
                // Only an ejected instance has capacity, and this call must not be used as its probe.
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
        let request = Request {
            repeatable: call.arrival.repeatable,
            target_left_ms: call
                .arrival
                .target_ms
                .map(|target_ms| target_ms.saturating_sub(now_us.since(call.arrived_us).to_millis_ceil())),
            failed_at: call.failed_at,
        };
        let Some(index) = self.choose(now_us, request) else {
            return false;
        };
        let timeout_us = self.instances[index].timeout_us(self.median_latency_us());
        let Some(call) = self.calls.get_mut(&request_id) else {
            return true;
        };
        if call.attempts.begin().is_err() {
            self.end_without_retry(now_us, request_id, actions);
            return true;
        }
        call.dispatched = Some((index, now_us));
        let fresh_connection = !call.arrival.repeatable;
        self.instances[index].start(now_us);
        if let Some(loads) = &mut self.server_loads {
            loads.started(now_us, index);
        }
        actions.push(PlainAction::Dispatch {
            request_id,
            server: self.instances[index].server().clone(),
            timeout_ms: timeout_us.to_millis_ceil(),
            fresh_connection,
        });
        true
    }

    /// Chooses the instance with the shortest expected time among a few sampled at random.
    ///
    /// Least-connections alone favours an instance that fails fast, and lowest-latency alone sends all calls
    /// to one instance; the product of calls in flight and latency balances both. An ejected instance gets a
    /// single probe call. At an unresponsive instance that call is likely to be lost, so a repeatable call is
    /// used, and none that has failed at another instance, unless there is no other one.
    ///
    /// Where instances are uneven and daemons report their loads, it is chosen by these instead.
    fn choose(&mut self, now_us: MonoTime, request: Request) -> Option<usize> {
        let Request { repeatable, target_left_ms, failed_at } = request;
        let median_us = self.median_latency_us();
        let count = self.instances.len();
        let start = if count > 0 {
            self.rng.random_range(0..count)
        } else {
            return None;
        };
        let sampled = (0..count.min(SAMPLE_SIZE)).map(|step| (start + step) % count);
        let eligible = |&index: &usize| Some(index) != failed_at && self.has_room(now_us, index);
        let probe_due = |&index: &usize| self.instances[index].is_probe_due(now_us, repeatable);
        let probed = sampled.clone().filter(eligible).find(probe_due);
        if probed.is_some() && failed_at.is_none() {
            return probed;
        }
        let healthy = |&index: &usize| eligible(&index) && !self.instances[index].is_ejected();
        let candidate = |index: usize| Candidate {
            index,
            is_local: self.listed[index].is_local,
            in_flight: self.instances[index].in_flight(),
        };
        if self.server_loads_in_use().is_some() {
            let candidates: Vec<Candidate> = (0..count).filter(healthy).map(candidate).collect();
            let loads = self.server_loads.as_ref()?;
            return loads.choose(now_us, &candidates, target_left_ms, &mut self.rng).or(probed);
        }
        let best = |index: &usize| self.instances[*index].score(median_us);
        let chosen = sampled.filter(healthy).min_by_key(best);
        chosen.or_else(|| (0..count).filter(healthy).min_by_key(best)).or(probed)
    }

    /// Whether an instance may get one more call. Where instances are chosen by their loads, a call may wait in the
    /// queue of an instance unless that is known to be full.
    fn has_room(&self, now_us: MonoTime, index: usize) -> bool {
        let instance = &self.instances[index];
        match self.server_loads_in_use() {
            Some(loads) => instance.has_own_room(now_us) && loads.full_until(now_us, index).is_none(),
            None => instance.has_room(now_us),
        }
    }

    /// Time at which the first instance has room again, if the queues of all that may be used are known to be full.
    fn all_full_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        let loads = self.server_loads_in_use()?;
        let usable = self.instances.iter().enumerate().filter(|(_, instance)| {
            instance.is_listed_live(now_us) && instance.ejected_until(now_us).is_none()
        });
        let ends: Option<Vec<MonoTime>> = usable.map(|(index, _)| loads.full_until(now_us, index)).collect();
        ends?.into_iter().min()
    }

    fn done(&mut self, now_us: MonoTime, request_id: RequestId, is_success: bool) {
        let Some(call) = self.calls.remove(&request_id) else {
            return;
        };
        self.counters.answered += 1;
        if let Some((index, since_us)) = call.dispatched {
            if self.instances[index].limit_rate(now_us).is_some() {
                self.record_limited_start(since_us);
            }
            self.instances[index].finish(now_us.since(since_us));
            if let Some(loads) = self.server_loads.as_mut().filter(|_| is_success) {
                loads.answered(now_us, index, self.listed[index].is_local, now_us.since(since_us));
            }
            self.check_instance_latency(now_us, index);
        }
    }

    /// Ejects an instance that is far slower than the others.
    ///
    /// An instance that is ten times slower but passes its health check delays each of its callers by that
    /// factor; it is ejected after [`InstanceSettings::slow_answers`] slow answers, five by default. No
    /// instance is ejected if more than half of them would then be: if most are slow the load is the cause,
    /// and fewer instances would make it worse.
    fn check_instance_latency(&mut self, now_us: MonoTime, index: usize) {
        let median_us = self.median_latency_us();
        if !self.may_eject(now_us) {
            return;
        }
        if self.instances[index].check_latency(now_us, median_us) {
            self.counters.ejected_slow += 1;
        }
    }

    fn may_eject(&self, now_us: MonoTime) -> bool {
        let ejected = self.instances.iter().filter(|instance| instance.is_ejected()).count();
        let live = self.instances.iter().filter(|instance| instance.is_listed_live(now_us)).count();
        (ejected + 1) * 2 <= live
    }

    /// End of the first rest, if all instances have asked for one.
    fn all_resting_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        let live = self.instances.iter().filter(|instance| instance.is_listed_live(now_us));
        let ends: Option<Vec<MonoTime>> = live.map(|instance| instance.resting_until(now_us)).collect();
        ends?.into_iter().min()
    }

    /// Time at which the first instance may be probed, if all are ejected.
    fn all_ejected_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        let live = || self.instances.iter().filter(|instance| instance.is_listed_live(now_us));
        let is_unavailable = |instance: &Instance| {
            instance.is_ejected() && !instance.is_probe_due(now_us, true) && !instance.is_probed_after_rest()
        };
        if !live().all(is_unavailable) {
            return None;
        }
        live().filter_map(|instance| instance.ejected_until(now_us)).min()
    }

    fn failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<PlainAction>,
    ) {
        // An instance that accepts no connection is not slow under load: it is down or unreachable, so even
        // all instances may be ejected for it. If half were kept, a daemon that is cut off would go on trying
        // those, and each call would wait for a connection that cannot be made.
        let may_eject = cause == FailureCause::NotSent || self.may_eject(now_us);
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        let Some((index, _)) = call.dispatched.take() else {
            return;
        };
        if let Some(loads) = self.server_loads.as_mut().filter(|_| cause == FailureCause::NoRoom) {
            loads.refused_full(now_us, index);
        }
        if !cause.is_held() {
            call.failed_at = Some(index);
        }
        // The result of a failed attempt is never an answer for the caller.
        let _ = call.attempts.end(cause.attempt_end());
        if self.instances[index].fail(now_us, cause, may_eject) {
            self.counters.ejected_unresponsive += 1;
        }
        if cause.is_held() {
            self.schedule_retry(now_us, request_id);
        } else {
            self.retry(now_us, request_id, actions);
        }
    }

    /// Retries the call or ends it. A call that may have run and must not be repeated is never sent again;
    /// its caller is told that the outcome is unknown.
    fn retry(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        if call.attempts.may_begin() == Err(RetryRefusal::MayHaveRun) {
            self.end_unknown(request_id, actions);
            return;
        }
        if call.attempts.may_begin().is_err() {
            self.counters.retries_denied += 1;
            self.end_without_retry(now_us, request_id, actions);
            return;
        }
        // An attempt that reached no server cost the servers nothing. If it needed budget, callers beside a
        // network partition would be refused while servers are free.
        if call.attempts.made() == 0 {
            self.schedule_retry(now_us, request_id);
            return;
        }
        let (funded, may_borrow) = match &mut self.retry_source {
            RetrySource::PerPartner(budgets) => {
                (budgets.get_mut(&call.arrival.partner).is_some_and(PartnerRetryBudget::withdraw), false)
            }
            RetrySource::Shared(retry_budget) => {
                (retry_budget.try_withdraw(now_us), retry_budget.may_borrow())
            }
        };
        if funded {
            self.schedule_retry(now_us, request_id);
        } else if may_borrow {
            self.unfunded.push(UnfundedRetry { request_id, until_us: now_us + LOAN_TIMEOUT_MS });
        } else {
            self.counters.retries_denied += 1;
            self.end_without_retry(now_us, request_id, actions);
        }
    }

    fn schedule_retry(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(call) = self.calls.get_mut(&request_id) else {
            return;
        };
        let doublings = call.attempts.made();
        let longest_us = Micros::from(self.settings.backoff_ms).0 << doublings;
        let at_us = now_us + Micros(self.rng.random_range(0..=longest_us));
        call.retry_at_us = Some(at_us);
        self.retries.push((at_us, request_id));
        self.counters.retries += 1;
    }

    /// Retries the calls that can be funded now, borrows credit for the others, and ends those whose loan did
    /// not arrive in time.
    fn fund_retries(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let calls = &self.calls;
        self.unfunded.retain(|unfunded| calls.contains_key(&unfunded.request_id));
        let RetrySource::Shared(retry_budget) = &mut self.retry_source else {
            return;
        };
        let affordable = self.unfunded.iter().take_while(|_| retry_budget.try_withdraw(now_us)).count();
        let funded: Vec<UnfundedRetry> = self.unfunded.drain(..affordable).collect();
        if let Some(loan) = retry_budget.request_loan(now_us, self.unfunded.len() as u64) {
            actions.push(PlainAction::Borrow(loan));
        }
        let may_borrow = retry_budget.may_borrow();
        let is_over = |unfunded: &UnfundedRetry| now_us >= unfunded.until_us || !may_borrow;
        let denied: Vec<UnfundedRetry> = self.unfunded.extract_if(.., |unfunded| is_over(unfunded)).collect();
        for UnfundedRetry { request_id, .. } in funded {
            self.schedule_retry(now_us, request_id);
        }
        for UnfundedRetry { request_id, .. } in denied {
            self.counters.retries_denied += 1;
            self.end_without_retry(now_us, request_id, actions);
        }
    }

    /// Ends a call without a further attempt; the outcome follows from what its attempts prove.
    fn end_without_retry(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        if self.may_have_run(request_id) {
            self.end_unknown(request_id, actions);
        } else if let Some(until_us) = self.all_resting_until(now_us) {
            self.refuse(request_id, PlainRefusal::Resting, until_us.since(now_us), actions);
        } else {
            self.refuse(request_id, PlainRefusal::RetriesExhausted, Micros::ZERO, actions);
        }
    }

    fn may_have_run(&self, request_id: RequestId) -> bool {
        self.calls.get(&request_id).is_some_and(|call| call.attempts.outcome() == Outcome::Unknown)
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
            let mut entry = self.queue_entry(now_us, &arrival);
            entry.latest_us = Some(since_us + arrival.max_wait_ms);
            self.queue.push(entry);
        }
    }

    /// Refuses queued calls that reached their maximum wait.
    fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        while let Some(entry) = self.queue.take_expired(now_us) {
            if self.may_have_run(entry.request_id) {
                self.end_unknown(entry.request_id, actions);
            } else {
                let wait_us = self.limited_wait(now_us).unwrap_or(entry.work_us);
                self.refuse(entry.request_id, PlainRefusal::WouldWaitTooLong, wait_us, actions);
            }
        }
    }

    /// Ends the queued calls when no instance can serve them: all are leaving, gone or resting.
    fn refuse_unservable(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let resting_until_us = self.all_resting_until(now_us);
        let is_any_live = self.instances.iter().any(|instance| instance.is_listed_live(now_us));
        if self.queue.is_empty() || (is_any_live && resting_until_us.is_none()) {
            return;
        }
        while let Some(entry) = self.queue.pop(now_us) {
            if self.may_have_run(entry.request_id) {
                self.end_unknown(entry.request_id, actions);
            } else if let Some(until_us) = resting_until_us {
                self.refuse(entry.request_id, PlainRefusal::Resting, until_us.since(now_us), actions);
            } else {
                let max_wait_us = entry.latest_us.map_or(Micros::ZERO, |latest_us| latest_us.since(now_us));
                self.refuse(entry.request_id, PlainRefusal::NoInstance, max_wait_us, actions);
            }
        }
    }

    /// Refuses the queued calls when the queues of all instances are known to be full: in a burst, each instance would
    /// refuse them one after the other, and the callers would learn late when to come back.
    fn refuse_while_full(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let Some(until_us) = self.all_full_until(now_us).filter(|_| !self.queue.is_empty()) else {
            return;
        };
        while let Some(entry) = self.queue.pop(now_us) {
            if self.may_have_run(entry.request_id) {
                self.end_unknown(entry.request_id, actions);
            } else {
                let reason = PlainRefusal::WouldWaitTooLong;
                self.refuse(entry.request_id, reason, until_us.since(now_us), actions);
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
        let forecast_ms = wait_us.to_millis_ceil();
        let retry_after_ms = match reason {
            // The time is known, however long it is.
            PlainRefusal::Resting => forecast_ms,
            PlainRefusal::WouldWaitTooLong
            | PlainRefusal::QueueFull
            | PlainRefusal::NoInstance
            | PlainRefusal::RetriesExhausted => clamp_retry_after(forecast_ms),
        };
        actions.push(PlainAction::Refuse { request_id, reason, retry_after_ms });
    }

    fn end_unknown(&mut self, request_id: RequestId, actions: &mut Vec<PlainAction>) {
        self.calls.remove(&request_id);
        self.counters.unknown += 1;
        actions.push(PlainAction::Unknown { request_id });
    }

    fn caller_left(&mut self, now_us: MonoTime, request_id: RequestId) {
        self.queue.remove(request_id);
        if let Some(call) = self.calls.remove(&request_id)
            && let Some((index, _)) = call.dispatched
        {
            self.instances[index].cancel(now_us);
        }
    }

    fn schedule_wake(&mut self, now_us: MonoTime, actions: &mut Vec<PlainAction>) {
        let retry_us = self.retries.iter().map(|&(at_us, _)| at_us).min();
        let expiry_us = self.queue.first_expiry();
        let available_us = (!self.queue.is_empty())
            .then(|| {
                let available_at = |instance: &Instance| {
                    [instance.next_probe(now_us), instance.limited_until(now_us)].into_iter().flatten().min()
                };
                let instances = self.instances.iter().enumerate();
                let full_until = |index| self.server_loads_in_use()?.full_until(now_us, index);
                let times =
                    instances.flat_map(|(index, instance)| [available_at(instance), full_until(index)]);
                times.flatten().min()
            })
            .flatten();
        let loan_reply_us = (!self.unfunded.is_empty()).then(|| now_us + LENDER_TIMEOUT_MS);
        let Some(at_us) = [retry_us, expiry_us, available_us, loan_reply_us].into_iter().flatten().min()
        else {
            return;
        };
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(PlainAction::Wake { at_us });
        }
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Period over which starts at instances with a used-up limit are counted.
const LIMITED_STARTS_WINDOW_MS: Millis = Millis(2_000);

/// Maximum number of remembered starts.
const LIMITED_STARTS_MAX: usize = 256;

/// Instances considered for one call.
const SAMPLE_SIZE: usize = 4;

/// Instances considered for the median latency.
const MEDIAN_SAMPLE_MAX: usize = 16;
