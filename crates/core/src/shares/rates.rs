//! Shares in the request rate of a plain service.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Claim, OrganisationKey, REPORTED_ORGANISATIONS_MAX, max_min_level};
use crate::ids::HostId;
use crate::sched::FailureCause;
use crate::units::{Micros, Millis, MonoTime};

/// Settings of [`RateShares`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShareSettings {
    /// Time constant of the rates: short compared with a surge, long enough for some requests of each
    /// organisation at all daemons together.
    pub time_constant_ms: Millis,
    /// Time for which a report of another daemon counts. Messages are at most 700 ms apart, so two of them may
    /// be lost.
    pub report_ttl_ms: Millis,
    /// Requests that wait at a server for each of its slots, as a target: the mean wait is then the time of a
    /// call, and the servers are busy although single queues vary.
    pub queue_target: f64,
    /// Time from the first sign of congestion until shares are in force: until then the rate of answers shows the
    /// demand, not the capacity.
    pub onset_ms: Millis,
    /// Time for which shares stay in force after the last sign of congestion.
    pub congested_ms: Millis,
    /// Time constant with which a lower rate of answers lowers the capacity: longer than the moments for which
    /// servers slow down, since the queues already show those.
    pub capacity_memory_ms: Millis,
    /// Rate of answers, per second, below which nothing is known of the capacity. The rate is remembered like the capacity.
    pub answered_least: f64,
    /// Time constant of the demand of small organisations: long enough for some requests of each of several hundred.
    pub small_demand_ms: Millis,
}

impl Default for RateShareSettings {
    fn default() -> Self {
        Self {
            time_constant_ms: Millis(300),
            report_ttl_ms: Millis(2_000),
            queue_target: 1.25,
            onset_ms: Millis(200),
            congested_ms: Millis(1_000),
            capacity_memory_ms: Millis(2_000),
            answered_least: 20.0,
            small_demand_ms: Millis(3_000),
        }
    }
}

/// What one daemon reports of a plain service. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RateReport {
    /// Requests that passed the quota, by organisation. Where there are more than [`REPORTED_ORGANISATIONS_MAX`], the
    /// smaller entries stand for the others.
    pub demand: Vec<(OrganisationKey, f32)>,
    /// Requests without an organisation.
    pub other_demand: f32,
    /// Answers of servers.
    pub answered: f32,
    /// Refusals by servers for lack of room.
    pub refused_full: f32,
    /// Mean number of requests that wait at a server for each of its slots, as servers report it.
    pub queue_per_slot: f32,
    /// Load reports of servers per second, the weight of `queue_per_slot`.
    pub load_reports: f32,
}

impl RateReport {
    /// Whether all figures are possible: a single daemon that states absurd ones would take away the shares of
    /// all organisations, or give all capacity to one.
    fn is_plausible(&self) -> bool {
        let demand: f32 = self.demand.iter().map(|(_, rate)| *rate).sum();
        let rates = self.demand.iter().map(|(_, rate)| *rate);
        let totals = [demand, self.other_demand, self.answered, self.refused_full, self.load_reports];
        self.demand.len() <= REPORTED_ORGANISATIONS_MAX
            && rates.chain(totals).all(|rate| (0.0..=RATE_MAX).contains(&rate))
            && (0.0..=QUEUE_MAX).contains(&self.queue_per_slot)
    }
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareDecision {
    /// Capacity suffices, or the organisation is within its share.
    Admit,
    /// The organisation asks for more than its share while capacity is short.
    OverShare(OverShare),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverShare {
    /// Share of the organisation, in requests per second.
    pub share_per_s: f64,
    /// What it asks for, in requests per second.
    pub demand_per_s: f64,
    /// What the service can answer, in requests per second.
    pub capacity_per_s: f64,
    /// Number of other daemons whose reports were used.
    pub reports: u32,
    /// Age of the oldest of them.
    pub oldest_report_ms: Millis,
    /// When a retry is worthwhile.
    pub retry_after_ms: Millis,
}

/// What one organisation uses of a service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationUsage {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// What it asks for, in requests per second.
    pub demand_per_s: f64,
    /// Its share, in requests per second; `None` while the service is not congested.
    pub share_per_s: Option<f64>,
}

/// Events per second, as an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    as_of_us: MonoTime,
}

impl Rate {
    fn at(self, now_us: MonoTime, time_constant_us: f64) -> f64 {
        self.per_s * (-(now_us.since(self.as_of_us).0 as f64) / time_constant_us).exp()
    }

    fn record(&mut self, now_us: MonoTime, amount: f64, time_constant_us: f64) {
        let per_s = self.at(now_us, time_constant_us) + amount * MICROS_PER_S / time_constant_us;
        *self = Self { per_s, as_of_us: now_us };
    }
}

/// Values that this daemon saw a moment ago: what the other daemons report arrives after the queues have changed.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    sum: Rate,
    count: Rate,
}

impl Recent {
    fn record(&mut self, now_us: MonoTime, value: f64) {
        self.sum.record(now_us, value, RECENT_US);
        self.count.record(now_us, 1.0, RECENT_US);
    }

    /// Mean, completed by the value that all daemons saw earlier.
    fn mean(self, now_us: MonoTime, earlier: f64) -> f64 {
        let scale = RECENT_US / MICROS_PER_S;
        let sum = self.sum.at(now_us, RECENT_US) * scale + earlier * EARLIER_WEIGHT;
        sum / (self.count.at(now_us, RECENT_US) * scale + EARLIER_WEIGHT)
    }
}

/// Sums over several daemons.
#[derive(Clone, Debug, Default)]
struct Totals {
    demand: BTreeMap<OrganisationKey, f64>,
    other_demand: f64,
    answered: f64,
    refused_full: f64,
    queue: f64,
    load_reports: f64,
    /// Rates that a sampled entry stands for, summed over the reports.
    steps: f64,
}

impl Totals {
    /// Adds a report, or subtracts it if `sign` is -1. Subtraction of what was added leaves rounding errors,
    /// which a reader takes as zero.
    fn add(&mut self, report: &RateReport, sign: f64) {
        for (organisation, rate) in &report.demand {
            *self.demand.entry(*organisation).or_default() += sign * f64::from(*rate);
        }
        self.other_demand += sign * f64::from(report.other_demand);
        self.answered += sign * f64::from(report.answered);
        self.refused_full += sign * f64::from(report.refused_full);
        self.queue += sign * f64::from(report.queue_per_slot) * f64::from(report.load_reports);
        self.load_reports += sign * f64::from(report.load_reports);
        self.steps += sign * sampled_step(&report.demand).unwrap_or_default();
    }

    /// Mean queue of the servers; `None` if none of them reported.
    fn queue_per_slot(&self) -> Option<f64> {
        (self.load_reports > f64::from(RATE_MIN)).then(|| (self.queue / self.load_reports).max(0.0))
    }

    fn refused_fraction(&self) -> f64 {
        let refused = self.refused_full.max(0.0);
        refused / (self.answered.max(0.0) + refused).max(f64::MIN_POSITIVE)
    }
}

/// What the reports of all daemons amount to.
#[derive(Clone, Debug)]
struct View {
    as_of_us: MonoTime,
    totals: Totals,
    /// Rate below which the demand of an organisation is averaged over a longer time.
    small_per_s: f64,
    /// Rate at which the service can answer.
    capacity_per_s: f64,
    /// Level of the shares; `None` while they are not in force.
    level: Option<f64>,
}

/// Shares of the organisations in one plain service, at one daemon.
///
/// One organisation sends several times its usual rate through all daemons, within its quota. Each daemon sees a
/// hundredth of the load, and the servers serve in order of arrival: without shares the other organisations are
/// refused along with the one that surges, and what is answered is late, since the queues of the servers stay
/// full. Therefore all daemons report the rates that they see, and while the servers are congested each daemon
/// admits requests of an organisation with the probability that its max-min fair share is of its demand. The
/// capacity is not configured: it is the rate at which all daemons get answers, lowered while requests queue at
/// the servers and raised while they do not.
#[derive(Clone, Debug, Default)]
pub struct RateShares {
    settings: RateShareSettings,
    /// Weights relative to their mean.
    weights: HashMap<OrganisationKey, f64>,
    demand: BTreeMap<OrganisationKey, Rate>,
    other_demand: Rate,
    answered: Rate,
    refused_full: Rate,
    queue: Rate,
    load_reports: Rate,
    recent_queue: Recent,
    /// 1 for a refusal by a server for lack of room, 0 for an answer.
    recent_refused: Recent,
    peers: BTreeMap<HostId, (MonoTime, RateReport)>,
    /// Sums of the reports of `peers`.
    peer_totals: Totals,
    /// Time at which the oldest report of `peers` may expire.
    expiry_us: MonoTime,
    /// Rate of answers of all daemons that follows a rise quickly and a fall slowly.
    answered_peak: f64,
    computed_us: MonoTime,
    /// Correction of the capacity that ends a lasting excess or lack in the queues, as where the demand of many
    /// small organisations is known badly and too many of their requests are admitted.
    trim: f64,
    /// Demand of each organisation, averaged over a longer time.
    long_demand: BTreeMap<OrganisationKey, f64>,
    /// Time from which on shares are in force while there is congestion.
    in_force_from_us: MonoTime,
    congested_until_us: MonoTime,
    /// View as of a moment ago: a division for each request would take more time than the request.
    view: Option<View>,
    reports_made: u32,
}

impl RateShares {
    /// No requests yet.
    pub fn new(settings: RateShareSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the weights. Only their ratios matter; organisations without a weight count as the mean, as does a
    /// weight that is not positive and finite.
    pub fn set_weights(&mut self, mut weights: HashMap<OrganisationKey, f64>) {
        weights.retain(|_, weight| weight.is_normal() && *weight > 0.0);
        let mean = weights.values().sum::<f64>() / weights.len().max(1) as f64;
        for weight in weights.values_mut() {
            *weight /= mean;
        }
        self.weights = weights;
        self.view = None;
    }

    fn time_constant_us(&self) -> f64 {
        Micros::from(self.settings.time_constant_ms).0 as f64
    }

    /// Records a request that passed its quota; `None` if its caller needs no key.
    pub fn arrived(&mut self, now_us: MonoTime, organisation: Option<OrganisationKey>) {
        // The decision about this request is made on the demand without it: for an organisation with few requests
        // it would be most of the demand.
        self.view(now_us);
        let time_constant_us = self.time_constant_us();
        let rate = match organisation {
            Some(organisation) => self.demand.entry(organisation).or_default(),
            None => &mut self.other_demand,
        };
        rate.record(now_us, 1.0, time_constant_us);
    }

    fn answered(&mut self, now_us: MonoTime) {
        let time_constant_us = self.time_constant_us();
        self.answered.record(now_us, 1.0, time_constant_us);
        self.recent_refused.record(now_us, 0.0);
    }

    fn refused_full(&mut self, now_us: MonoTime) {
        let time_constant_us = self.time_constant_us();
        self.refused_full.record(now_us, 1.0, time_constant_us);
        self.recent_refused.record(now_us, 1.0);
    }

    /// Records the end of an attempt at a server, and returns whether it tells of the capacity.
    ///
    /// One of several servers hangs: a request that it holds until the time limit, or until its caller leaves, counts like
    /// an answer. With answers alone, each request that it takes would lower the estimated capacity, and requests would
    /// be refused while the other servers are idle.
    #[must_use]
    pub fn attempt_ended(&mut self, now_us: MonoTime, ended: Result<(), FailureCause>) -> bool {
        match ended {
            Ok(()) | Err(FailureCause::Timeout | FailureCause::Broken | FailureCause::Refused) => {
                self.answered(now_us);
                true
            }
            Err(FailureCause::NoRoom) => {
                self.refused_full(now_us);
                true
            }
            Err(
                FailureCause::NotSent | FailureCause::Held(_) | FailureCause::Leaving | FailureCause::Gone,
            ) => false,
        }
    }

    /// Records the load that a server reports; an impossible one is dropped. It would make the mean of this daemon
    /// impossible for some seconds, and the other daemons would drop its reports.
    pub fn server_load(&mut self, now_us: MonoTime, waiting: u32, slots: u32) {
        let time_constant_us = self.time_constant_us();
        let queue_per_slot = f64::from(waiting) / f64::from(slots.max(1));
        if queue_per_slot > f64::from(QUEUE_MAX) {
            return;
        }
        self.queue.record(now_us, queue_per_slot, time_constant_us);
        self.load_reports.record(now_us, 1.0, time_constant_us);
        self.recent_queue.record(now_us, queue_per_slot);
    }

    /// Decides about a request that [`Self::arrived`] has recorded; `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        now_us: MonoTime,
        organisation: Option<OrganisationKey>,
        draw: f64,
    ) -> ShareDecision {
        let time_constant_us = self.time_constant_us();
        let weight = organisation.map_or(OTHER_WEIGHT, |organisation| self.weight(organisation));
        let view = self.view(now_us);
        let Some(level) = view.level else {
            return ShareDecision::Admit;
        };
        let demand_per_s = match organisation {
            Some(organisation) => view.totals.demand.get(&organisation).copied().unwrap_or_default(),
            None => view.totals.other_demand,
        };
        let capacity_per_s = view.capacity_per_s;
        let share_per_s = demand_per_s.min(level * weight);
        // The demand is known from single requests and varies around its mean, so the mean of its inverse is too large.
        // Without the last term, of 400 organisations with some requests a second each too many were admitted.
        let is_averaged = demand_per_s < view.small_per_s;
        let variation = if is_averaged { 0.0 } else { MICROS_PER_S / time_constant_us / 2.0 };
        let admitted = (level * weight / (demand_per_s + variation)).min(1.0);
        if draw < admitted {
            return ShareDecision::Admit;
        }
        let oldest_us = self.peers.values().map(|(received_us, _)| now_us.since(*received_us)).max();
        ShareDecision::OverShare(OverShare {
            share_per_s,
            demand_per_s,
            capacity_per_s,
            reports: u32::try_from(self.peers.len()).unwrap_or(u32::MAX),
            oldest_report_ms: oldest_us.unwrap_or_default().to_millis_ceil(),
            retry_after_ms: retry_after(admitted, draw),
        })
    }

    /// Whether the queues of the servers exceed the target, or they refuse requests for lack of room, or did so a
    /// moment ago. Shares are in force a moment later.
    pub fn is_congested(&mut self, now_us: MonoTime) -> bool {
        self.view(now_us);
        now_us < self.congested_until_us
    }

    /// Factor between the rate of answers and the capacity. `queue_per_slot` is `None` where servers report no
    /// load; refusals tell less, as they begin when the queues are full.
    fn correction(&mut self, passed_us: Micros, queue_per_slot: Option<f64>, refused_fraction: f64) -> f64 {
        let (excess, gain) = match queue_per_slot {
            Some(queue_per_slot) => (queue_per_slot / self.settings.queue_target - 1.0, QUEUE_GAIN),
            None => (refused_fraction / REFUSED_FRACTION - 1.0, REFUSED_GAIN),
        };
        // Of a longer time without a look, the queues at its end tell nothing.
        let looked_us = passed_us.min(self.settings.congested_ms.into());
        let seconds = looked_us.0 as f64 / MICROS_PER_S;
        let trim = self.trim - seconds * TRIM_GAIN_PER_S * excess.clamp(-1.0, 1.0);
        self.trim = trim.clamp(TRIM_MIN, TRIM_MAX);
        let factor = 1.0 - excess * if excess < 0.0 { SLACK_GAIN } else { gain };
        factor.max(CAPACITY_FACTOR_MIN) * self.trim
    }

    fn level(&self, capacity: f64, totals: &Totals) -> f64 {
        let claim = |(organisation, need): (&OrganisationKey, &f64)| Claim {
            need: *need,
            weight: self.weight(*organisation),
        };
        let mut claims: Vec<Claim> = totals.demand.iter().map(claim).collect();
        claims.push(Claim { need: totals.other_demand, weight: OTHER_WEIGHT });
        max_min_level(capacity, &claims)
    }

    fn weight(&self, organisation: OrganisationKey) -> f64 {
        self.weights.get(&organisation).copied().unwrap_or(1.0)
    }

    fn view(&mut self, now_us: MonoTime) -> &View {
        let kept = self.view.take().filter(|view| now_us < view.as_of_us + VIEW_TTL_MS);
        let view = kept.unwrap_or_else(|| self.compute_view(now_us));
        self.view.insert(view)
    }

    fn compute_view(&mut self, now_us: MonoTime) -> View {
        self.expire_reports(now_us);
        let mut totals = self.peer_totals.clone();
        totals.add(&self.own(now_us), 1.0);
        totals.demand.retain(|_, rate| *rate > f64::from(RATE_MIN));
        let is_first = self.computed_us == MonoTime::default();
        let passed_us = now_us.since(self.computed_us);
        self.computed_us = now_us;
        let small_per_s = self.small_rate(&totals);
        self.average_small(passed_us, small_per_s, &mut totals.demand);
        self.follow_answers(passed_us, totals.answered);
        let queue_per_slot = totals.queue_per_slot().map(|earlier| self.recent_queue.mean(now_us, earlier));
        let refused_fraction = self.recent_refused.mean(now_us, totals.refused_fraction());
        let is_known = self.answered_peak >= self.settings.answered_least;
        let is_queued = queue_per_slot.is_some_and(|queue| queue > self.settings.queue_target);
        if is_known && (is_queued || totals.refused_fraction() > REFUSED_FRACTION) {
            if now_us >= self.congested_until_us {
                // A daemon with less than one request a second does not look often enough to see congestion begin.
                let was_looking = passed_us < Micros::from(self.settings.congested_ms);
                let onset_ms = if is_first || was_looking { self.settings.onset_ms } else { Millis::ZERO };
                self.in_force_from_us = now_us + onset_ms;
            }
            self.congested_until_us = now_us + self.settings.congested_ms;
        }
        let is_in_force = is_known && now_us < self.congested_until_us && now_us >= self.in_force_from_us;
        if !is_in_force {
            self.trim = 1.0;
        }
        let correction = self.correction(passed_us, queue_per_slot, refused_fraction);
        let capacity_per_s = self.answered_peak * correction;
        let level = is_in_force.then(|| self.level(capacity_per_s, &totals));
        View { as_of_us: now_us, totals, small_per_s, capacity_per_s, level }
    }

    /// Rate below which the demand of an organisation is known from a few entries of reports that stand for several
    /// organisations each; zero while no report is shortened.
    fn small_rate(&self, totals: &Totals) -> f64 {
        SMALL_UNITS * totals.steps.max(0.0) / self.peers.len().max(1) as f64
    }

    /// Replaces the demand of small organisations by their average over a longer time, and keeps its sum.
    ///
    /// Hundreds of organisations send some requests a second each to a few daemons. In the reports of a moment most of
    /// them do not appear. An organisation without known demand is admitted: a third of the requests came from such
    /// ones in a burst, were half of those admitted, and kept the queues of the servers full.
    fn average_small(
        &mut self,
        passed_us: Micros,
        small_per_s: f64,
        demand: &mut BTreeMap<OrganisationKey, f64>,
    ) {
        let small_us = Micros::from(self.settings.small_demand_ms).0 as f64;
        let kept = (-(passed_us.0 as f64) / small_us).exp();
        for rate in self.long_demand.values_mut() {
            *rate *= kept;
        }
        // Rounding errors of the sums are no steps.
        let has_samples = small_per_s > f64::from(RATE_MIN);
        for (organisation, rate) in demand.iter().filter(|_| has_samples) {
            *self.long_demand.entry(*organisation).or_default() += rate * (1.0 - kept);
        }
        self.long_demand.retain(|_, rate| *rate > LONG_RATE_MIN);
        if !has_samples {
            return;
        }
        // An entry stands for the requests of the time until the next report. One more of each organisation is assumed, so that
        // the mean of the inverse is right, and what is seen of one after another at first counts little.
        let entry_per_s = (small_per_s / SMALL_UNITS * REPORT_INTERVAL_S).max(1.0) * MICROS_PER_S / small_us;
        let small = self.long_demand.iter().filter(|(_, rate)| **rate < small_per_s);
        let small = small.map(|(organisation, rate)| (*organisation, rate + entry_per_s));
        let sums = small.clone().fold((0.0, 0.0), |(now, long), (organisation, rate)| {
            (now + demand.get(&organisation).copied().unwrap_or_default(), long + rate)
        });
        let ratio = sums.0 / sums.1.max(f64::MIN_POSITIVE);
        for (organisation, rate) in small.filter(|(_, rate)| rate * ratio > LONG_RATE_MIN) {
            demand.insert(organisation, rate * ratio);
        }
    }

    fn follow_answers(&mut self, passed_us: Micros, answered: f64) {
        if answered >= self.answered_peak {
            self.answered_peak = answered;
            return;
        }
        let memory_us = Micros::from(self.settings.capacity_memory_ms).0 as f64;
        let kept = (-(passed_us.0 as f64) / memory_us).exp();
        self.answered_peak = answered + (self.answered_peak - answered) * kept;
    }

    /// Lowers the remembered rate of answers by those of reports that no longer count, as their demand does not
    /// count either.
    fn remove_answers(&mut self, gone: f64) {
        let known = self.peer_totals.answered + self.answered.per_s;
        if gone > 0.0 && known > 0.0 {
            self.answered_peak *= (1.0 - gone / known).max(0.0);
        }
    }

    /// Removes the reports that are too old. The sums are computed anew then, which also ends rounding errors.
    fn expire_reports(&mut self, now_us: MonoTime) {
        if now_us < self.expiry_us {
            return;
        }
        let ttl_ms = self.settings.report_ttl_ms;
        let mut gone = 0.0;
        self.peers.retain(|_, (received_us, report)| {
            let is_valid = now_us < *received_us + ttl_ms;
            gone += if is_valid { 0.0 } else { f64::from(report.answered) };
            is_valid
        });
        self.remove_answers(gone);
        let oldest_us = self.peers.values().map(|(received_us, _)| *received_us).min();
        self.expiry_us = oldest_us.unwrap_or(now_us) + ttl_ms;
        self.peer_totals = Totals::default();
        for (_, report) in self.peers.values() {
            self.peer_totals.add(report, 1.0);
        }
    }

    #[expect(clippy::cast_possible_truncation, reason = "rates need no more precision")]
    fn own(&self, now_us: MonoTime) -> RateReport {
        let time_constant_us = self.time_constant_us();
        let read = |rate: &Rate| rate.at(now_us, time_constant_us) as f32;
        let demand = self.demand.iter().map(|(organisation, rate)| (*organisation, read(rate)));
        let load_reports = read(&self.load_reports);
        RateReport {
            demand: demand.filter(|(_, rate)| *rate > RATE_MIN).collect(),
            other_demand: read(&self.other_demand),
            answered: read(&self.answered),
            refused_full: read(&self.refused_full),
            queue_per_slot: if load_reports > RATE_MIN { read(&self.queue) / load_reports } else { 0.0 },
            load_reports,
        }
    }

    /// What the other daemons need to know; `None` if there were no requests recently.
    pub fn report(&mut self, now_us: MonoTime) -> Option<RateReport> {
        let mut report = self.own(now_us);
        let kept: Vec<OrganisationKey> =
            report.demand.iter().map(|(organisation, _)| *organisation).collect();
        self.demand.retain(|organisation, _| kept.contains(organisation));
        shorten(&mut report.demand, self.reports_made);
        self.reports_made = self.reports_made.wrapping_add(1);
        let has_load =
            !report.demand.is_empty() || report.other_demand > RATE_MIN || report.answered > RATE_MIN;
        has_load.then_some(report)
    }

    /// Applies the report of another daemon; absurd ones are dropped.
    pub fn receive(&mut self, now_us: MonoTime, host: &HostId, report: RateReport) {
        if !report.is_plausible() {
            return;
        }
        self.peer_totals.add(&report, 1.0);
        if let Some((_, former)) = self.peers.insert(host.clone(), (now_us, report)) {
            self.peer_totals.add(&former, -1.0);
        }
    }

    /// Removes the report of a daemon that is gone.
    pub fn peer_gone(&mut self, host: &HostId) {
        if let Some((_, former)) = self.peers.remove(host) {
            self.remove_answers(f64::from(former.answered));
            self.peer_totals.add(&former, -1.0);
        }
    }

    /// What each organisation uses.
    pub fn usage(&mut self, now_us: MonoTime) -> Vec<OrganisationUsage> {
        let view = self.view(now_us).clone();
        let usage = view.totals.demand.iter().map(|(&organisation, &demand_per_s)| OrganisationUsage {
            organisation,
            demand_per_s,
            share_per_s: view.level.map(|level| demand_per_s.min(level * self.weight(organisation))),
        });
        usage.collect()
    }
}

/// Limits a report to [`REPORTED_ORGANISATIONS_MAX`] organisations and keeps the sum: the largest are kept as they
/// are, of the rest some are chosen, each with a probability in proportion to its rate, and stand for the others.
/// Summed over daemons and reports, each organisation has its rate. `turn` varies the choice.
#[expect(clippy::cast_possible_truncation, reason = "rates need no more precision")]
fn shorten(demand: &mut Vec<(OrganisationKey, f32)>, turn: u32) {
    demand.sort_by(|(one_key, one), (other_key, other)| other.total_cmp(one).then(one_key.cmp(other_key)));
    if demand.len() <= REPORTED_ORGANISATIONS_MAX {
        return;
    }
    let rest = demand.split_off(REPORTED_ORGANISATIONS_MAX - SAMPLED_ORGANISATIONS);
    let sum: f64 = rest.iter().map(|(_, rate)| f64::from(*rate)).sum();
    let step = sum / SAMPLED_ORGANISATIONS as f64;
    let mut passed = 0.0;
    let mut next = step * (f64::from(turn) * GOLDEN_RATIO).fract();
    for (organisation, rate) in rest {
        passed += f64::from(rate);
        let mut stated = 0.0;
        while next < passed && step > 0.0 {
            next += step;
            stated += step;
        }
        if stated > 0.0 {
            demand.push((organisation, stated as f32));
        }
    }
}

/// The rate that a sampled entry of a shortened report stands for; `None` for a report that is not shortened.
fn sampled_step(demand: &[(OrganisationKey, f32)]) -> Option<f64> {
    let sampled = demand.get(REPORTED_ORGANISATIONS_MAX - SAMPLED_ORGANISATIONS..)?;
    let sum: f64 = sampled.iter().map(|(_, rate)| f64::from(*rate)).sum();
    let step = sum / SAMPLED_ORGANISATIONS as f64;
    // Sampled entries are multiples of the step; rates of requests are not.
    let is_multiple = |rate: f32| {
        let entries = f64::from(rate) / step;
        entries > 0.5 && (entries - entries.round()).abs() < 0.001
    };
    (step > 0.0 && sampled.iter().all(|(_, rate)| is_multiple(*rate))).then_some(step)
}

/// Time until the share of an organisation has covered what it asks for now, spread by half so that callers
/// refused together do not return together. `draw` lies above the admitted fraction.
fn retry_after(admitted: f64, draw: f64) -> Millis {
    let backlog_ms = (1.0 / admitted.max(f64::MIN_POSITIVE) - 1.0) * BACKLOG_MS;
    let spread = 0.5 + (draw - admitted) / (1.0 - admitted).max(f64::MIN_POSITIVE);
    let wait_ms = backlog_ms.clamp(BACKLOG_MIN_MS, BACKLOG_MAX_MS) * spread;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
    let wait_ms = wait_ms as u64;
    Millis(wait_ms)
}

const MICROS_PER_S: f64 = 1_000_000.0;

/// Largest rate that a report may state, per second.
const RATE_MAX: f32 = 1_000_000.0;

/// Longest queue that a report or a server may state, in requests per slot.
const QUEUE_MAX: f32 = 1_000.0;

/// Rate, per second, below which an organisation counts as without requests.
const RATE_MIN: f32 = 0.05;

/// Averaged rate, per second, below which an organisation is forgotten.
const LONG_RATE_MIN: f64 = 0.005;

/// Sampled entries in the reports of a moment from which on the demand of an organisation is known well: with four its
/// standard error is half of it.
const SMALL_UNITS: f64 = 4.0;

/// Mean interval between the reports of a daemon, in s: they are sent with messages, at most 700 ms apart.
const REPORT_INTERVAL_S: f64 = 0.4;

/// Weight of all requests without an organisation together, relative to the mean of the organisations.
const OTHER_WEIGHT: f64 = 1.0;

/// Fraction of requests that servers may refuse for lack of room without being congested: single refusals
/// come from daemons that choose the same server at the same moment.
const REFUSED_FRACTION: f64 = 0.02;

/// Time constant of the load reports that count as recent, in us.
const RECENT_US: f64 = 200_000.0;

/// Weight of what all daemons saw earlier, in values that this daemon saw a moment ago.
const EARLIER_WEIGHT: f64 = 0.5;

/// Rise of the capacity while no request waits.
const SLACK_GAIN: f64 = 0.4;

/// Fall of the capacity for each multiple of the target by which the queue exceeds it.
const QUEUE_GAIN: f64 = 0.2;

/// Fall of the capacity for each multiple of the refused fraction, where servers report no load.
const REFUSED_GAIN: f64 = 0.01;

/// Change of the capacity per second while the queue exceeds its target by as much, or is empty.
const TRIM_GAIN_PER_S: f64 = 0.05;

/// Bounds of what accumulates.
const TRIM_MIN: f64 = 0.6;
const TRIM_MAX: f64 = 1.2;

/// Lowest factor.
const CAPACITY_FACTOR_MIN: f64 = 0.3;

/// Number of organisations in a report that stand for all that are not in it.
const SAMPLED_ORGANISATIONS: usize = 24;

/// Fractional parts of its multiples are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Time for which a view is used again.
const VIEW_TTL_MS: Millis = Millis(20);

/// Span of demand that counts as backlog, in ms.
const BACKLOG_MS: f64 = 1_000.0;

/// Least backlog in a Retry-After, which is then 200 ms or more: the rates have changed by then.
const BACKLOG_MIN_MS: f64 = 400.0;

/// Largest backlog in a Retry-After, which is then 3 s or less: surges end within some seconds.
const BACKLOG_MAX_MS: f64 = 2_000.0;
