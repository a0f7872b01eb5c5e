//! Shares in the request rate of a plain service.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Claim, OrganisationKey, REPORTED_ORGANISATIONS_MAX, max_min_level};
use crate::ids::HostId;
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
    /// Requests that wait at a server for each of its slots, as a target: the mean wait is then half the time of
    /// a call, and the servers are busy.
    pub queue_target: f64,
    /// Time for which shares stay in force after the last sign of congestion.
    pub congested_ms: Millis,
    /// Rate of answers, per second, below which nothing is known of the capacity.
    pub answered_least: f64,
}

impl Default for RateShareSettings {
    fn default() -> Self {
        Self {
            time_constant_ms: Millis(500),
            report_ttl_ms: Millis(2_000),
            queue_target: 0.5,
            congested_ms: Millis(1_000),
            answered_least: 20.0,
        }
    }
}

/// What one daemon reports of a plain service. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RateReport {
    /// Requests that passed the quota, by organisation.
    pub demand: Vec<(OrganisationKey, f32)>,
    /// Requests of all other organisations.
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
        let demands = self.demand.iter().map(|(_, rate)| *rate);
        let totals =
            [self.other_demand, self.answered, self.refused_full, self.queue_per_slot, self.load_reports];
        self.demand.len() <= REPORTED_ORGANISATIONS_MAX
            && demands.chain(totals).all(|rate| (0.0..=RATE_MAX).contains(&rate))
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

/// Sums over this daemon and all others.
#[derive(Clone, Debug, Default)]
struct Totals {
    demand: HashMap<OrganisationKey, f64>,
    other_demand: f64,
    answered: f64,
    refused_full: f64,
    queue: f64,
    load_reports: f64,
    reports: u32,
    oldest_us: Micros,
}

impl Totals {
    fn add(&mut self, report: &RateReport) {
        for (organisation, rate) in &report.demand {
            *self.demand.entry(*organisation).or_default() += f64::from(*rate);
        }
        self.other_demand += f64::from(report.other_demand);
        self.answered += f64::from(report.answered);
        self.refused_full += f64::from(report.refused_full);
        self.queue += f64::from(report.queue_per_slot) * f64::from(report.load_reports);
        self.load_reports += f64::from(report.load_reports);
    }

    fn queue_per_slot(&self) -> f64 {
        if self.load_reports > 0.0 { self.queue / self.load_reports } else { 0.0 }
    }
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
    weights: HashMap<OrganisationKey, f64>,
    demand: HashMap<OrganisationKey, Rate>,
    other_demand: Rate,
    answered: Rate,
    refused_full: Rate,
    queue: Rate,
    load_reports: Rate,
    peers: HashMap<HostId, (MonoTime, RateReport)>,
    congested_until_us: MonoTime,
    /// Sums as of a moment ago: with hundreds of daemons, computing them for each request would take more time
    /// than the request.
    totals: Option<(MonoTime, Totals)>,
}

impl RateShares {
    /// No requests yet.
    pub fn new(settings: RateShareSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the weights; organisations without a weight count as 1.
    pub fn set_weights(&mut self, weights: HashMap<OrganisationKey, f64>) {
        self.weights = weights;
    }

    fn time_constant_us(&self) -> f64 {
        Micros::from(self.settings.time_constant_ms).0 as f64
    }

    /// Records a request that passed its quota; `None` if its caller needs no key.
    pub fn arrived(&mut self, now_us: MonoTime, organisation: Option<OrganisationKey>) {
        let time_constant_us = self.time_constant_us();
        let rate = match organisation {
            Some(organisation) => self.demand.entry(organisation).or_default(),
            None => &mut self.other_demand,
        };
        rate.record(now_us, 1.0, time_constant_us);
    }

    /// Records an answer of a server.
    pub fn answered(&mut self, now_us: MonoTime) {
        let time_constant_us = self.time_constant_us();
        self.answered.record(now_us, 1.0, time_constant_us);
    }

    /// Records a refusal by a server for lack of room.
    pub fn refused_full(&mut self, now_us: MonoTime) {
        let time_constant_us = self.time_constant_us();
        self.refused_full.record(now_us, 1.0, time_constant_us);
    }

    /// Records the load that a server reports.
    pub fn server_load(&mut self, now_us: MonoTime, waiting: u32, slots: u32) {
        let time_constant_us = self.time_constant_us();
        self.queue.record(now_us, f64::from(waiting) / f64::from(slots.max(1)), time_constant_us);
        self.load_reports.record(now_us, 1.0, time_constant_us);
    }

    /// Decides about a request; `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        now_us: MonoTime,
        organisation: Option<OrganisationKey>,
        draw: f64,
    ) -> ShareDecision {
        if !self.is_congested(now_us) {
            return ShareDecision::Admit;
        }
        let totals = self.totals(now_us).clone();
        let capacity_per_s = self.capacity(&totals);
        let level = self.level(capacity_per_s, &totals);
        let (demand_per_s, weight) = match organisation {
            Some(organisation) => {
                (totals.demand.get(&organisation).copied().unwrap_or_default(), self.weight(organisation))
            }
            None => (totals.other_demand, OTHER_WEIGHT),
        };
        let share_per_s = demand_per_s.min(level * weight);
        let admitted = if demand_per_s > 0.0 { share_per_s / demand_per_s } else { 1.0 };
        if draw < admitted {
            return ShareDecision::Admit;
        }
        ShareDecision::OverShare(OverShare {
            share_per_s,
            demand_per_s,
            capacity_per_s,
            reports: totals.reports,
            oldest_report_ms: totals.oldest_us.to_millis_ceil(),
            retry_after_ms: retry_after(admitted, draw),
        })
    }

    /// Whether servers are congested, or were a moment ago: their queues exceed the target, or they refuse
    /// requests for lack of room.
    pub fn is_congested(&mut self, now_us: MonoTime) -> bool {
        let settings = self.settings;
        let totals = self.totals(now_us);
        let is_known = totals.answered >= settings.answered_least;
        let is_queued = totals.queue_per_slot() > settings.queue_target;
        let is_refused = totals.refused_full > totals.answered * REFUSED_FRACTION;
        if is_known && (is_queued || is_refused) {
            self.congested_until_us = now_us + settings.congested_ms;
        }
        is_known && now_us < self.congested_until_us
    }

    /// Rate at which the service can answer: what it answers now, corrected by its queue. Where organisations
    /// ask for less than it answers, no share limits them.
    fn capacity(&self, totals: &Totals) -> f64 {
        let excess = totals.queue_per_slot() - self.settings.queue_target;
        totals.answered * (1.0 - excess * QUEUE_GAIN).clamp(CAPACITY_FACTOR_MIN, CAPACITY_FACTOR_MAX)
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

    /// Weight relative to the mean of all organisations.
    fn weight(&self, organisation: OrganisationKey) -> f64 {
        let sum: f64 = self.weights.values().sum();
        let mean = sum / self.weights.len().max(1) as f64;
        self.weights.get(&organisation).map_or(1.0, |weight| weight / mean.max(f64::MIN_POSITIVE))
    }

    fn totals(&mut self, now_us: MonoTime) -> &Totals {
        let is_fresh = self.totals.as_ref().is_some_and(|(as_of_us, _)| now_us < *as_of_us + TOTALS_TTL_MS);
        if !is_fresh {
            let ttl_ms = self.settings.report_ttl_ms;
            self.peers.retain(|_, (received_us, _)| now_us < *received_us + ttl_ms);
            let mut totals = Totals::default();
            totals.add(&self.own(now_us));
            for (received_us, report) in self.peers.values() {
                totals.add(report);
                totals.reports += 1;
                totals.oldest_us = totals.oldest_us.max(now_us.since(*received_us));
            }
            self.totals = Some((now_us, totals));
        }
        &self.totals.as_ref().expect("set above").1
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
        report.demand.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        let beyond = report.demand.split_off(report.demand.len().min(REPORTED_ORGANISATIONS_MAX));
        report.other_demand += beyond.iter().map(|(_, rate)| rate).sum::<f32>();
        let has_load =
            !report.demand.is_empty() || report.other_demand > RATE_MIN || report.answered > RATE_MIN;
        has_load.then_some(report)
    }

    /// Applies the report of another daemon; absurd ones are dropped.
    pub fn receive(&mut self, now_us: MonoTime, host: &HostId, report: RateReport) {
        if report.is_plausible() {
            self.peers.insert(host.clone(), (now_us, report));
        }
    }

    /// Removes the report of a daemon that is gone.
    pub fn peer_gone(&mut self, host: &HostId) {
        self.peers.remove(host);
    }

    /// What each organisation uses.
    pub fn usage(&mut self, now_us: MonoTime) -> Vec<OrganisationUsage> {
        let is_congested = self.is_congested(now_us);
        let totals = self.totals(now_us).clone();
        let level = self.level(self.capacity(&totals), &totals);
        let usage = totals.demand.iter().map(|(&organisation, &demand_per_s)| OrganisationUsage {
            organisation,
            demand_per_s,
            share_per_s: is_congested.then(|| demand_per_s.min(level * self.weight(organisation))),
        });
        usage.collect()
    }
}

/// Time until the share of an organisation has covered what it asks for now, spread by half so that callers
/// refused together do not return together. `draw` lies above the admitted fraction.
fn retry_after(admitted: f64, draw: f64) -> Millis {
    let spread = 0.5 + (draw - admitted) / (1.0 - admitted).max(f64::MIN_POSITIVE);
    let wait_ms = (1.0 / admitted.max(f64::MIN_POSITIVE) - 1.0) * BACKLOG_MS * spread;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
    let wait_ms = wait_ms as u64;
    Millis(wait_ms.clamp(RETRY_AFTER_MIN_MS.0, RETRY_AFTER_MAX_MS.0))
}

const MICROS_PER_S: f64 = 1_000_000.0;

/// Largest rate that a report may state, per second.
const RATE_MAX: f32 = 1_000_000.0;

/// Rate, per second, below which an organisation counts as without requests.
const RATE_MIN: f32 = 0.05;

/// Weight of all requests without an organisation together, relative to the mean of the organisations.
const OTHER_WEIGHT: f64 = 1.0;

/// Fraction of requests that servers may refuse for lack of room without being congested: single refusals
/// come from daemons that choose the same server at the same moment.
const REFUSED_FRACTION: f64 = 0.02;

/// Change of the capacity for each request that waits for a slot beyond the target.
const QUEUE_GAIN: f64 = 0.5;

/// Lowest factor: a full queue drains in the time of some calls.
const CAPACITY_FACTOR_MIN: f64 = 0.8;

/// Highest factor: capacity that was underestimated is found within a second.
const CAPACITY_FACTOR_MAX: f64 = 1.25;

/// Time for which sums are used again.
const TOTALS_TTL_MS: Millis = Millis(20);

/// Span of demand that counts as backlog, in ms.
const BACKLOG_MS: f64 = 1_000.0;

/// Shortest Retry-After: the rates have changed by then.
const RETRY_AFTER_MIN_MS: Millis = Millis(200);

/// Longest Retry-After: surges end within some seconds.
const RETRY_AFTER_MAX_MS: Millis = Millis(3_000);
