//! Connects the shares of organisations with the requests to plain services and with the other daemons.

use std::collections::{HashMap, HashSet};
use std::mem::discriminant;

use hibiscusvale_core::ids::{HostId, PartnerId};
use hibiscusvale_core::relay::engines::ReportedLoad;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::shares::{OrganisationKey, OrganisationUsage, RateReport, RateShares, ShareDecision};
use hibiscusvale_core::units::{Millis, MonoTime};
use parking_lot::Mutex;
use rand::RngExt;

use super::load_report::LoadReport;
use super::pacing::Urgency;
use super::refusal::{Reason, Refusal};
use super::state::{Incoming, RelayState};
use crate::clock;
use crate::logging::OverShareLine;

/// Interval between messages while a service is congested. Demand is averaged over a longer time, so shorter
/// intervals add little, and each message is received by all other daemons.
const CONGESTED_MESSAGE_MS: Millis = Millis(200);

/// Decision about a request, and whether the other daemons need a message now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The decision.
    pub decision: ShareDecision,
    /// Whether a message to the other daemons is due.
    pub is_message_due: bool,
}

/// What organisations use of one plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// Whether shares are in force.
    pub is_congested: bool,
    /// By organisation; one whose name is not in the route table has none.
    pub organisations: Vec<(Option<PartnerId>, OrganisationUsage)>,
}

/// Shares of organisations in the plain services. Inactive while the route table has no organisations, except for
/// services with uneven servers.
///
/// One organisation sends several times its usual rate through all daemons. Each daemon compares the sums over all
/// daemons with the capacity before a request is queued, so that the requests of the other organisations are not
/// refused along with those of the one that surges.
///
/// Without organisations, all callers of such a service have one share: its capacity. A burst of twice the capacity
/// would otherwise fill the queues of all servers, and most answers would be late.
#[derive(Debug, Default)]
pub struct SharedShares(Mutex<Shares>);

#[derive(Debug, Default)]
struct Shares {
    weights: HashMap<OrganisationKey, f64>,
    names: HashMap<OrganisationKey, PartnerId>,
    /// Services in the route table; those that only other daemons name are ignored.
    listed: HashSet<String>,
    /// Services that have a common share for all callers while there are no organisations.
    limited: HashSet<String>,
    services: HashMap<String, Service>,
    last_message_us: Option<MonoTime>,
}

#[derive(Debug, Default)]
struct Service {
    shares: RateShares,
    /// When it was last seen to be congested.
    congested_us: Option<MonoTime>,
}

impl Shares {
    fn is_active(&self, service: &str) -> bool {
        !self.weights.is_empty() || self.limited.contains(service)
    }

    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            let mut service = Service::default();
            service.shares.set_weights(self.weights.clone());
            self.services.insert(name.to_owned(), service);
        }
        self.services.get_mut(name).expect("inserted above")
    }

    /// Whether a message is due: when congestion begins, and at intervals while it lasts. A pause shorter than the
    /// interval does not end it, so that a rate around a threshold does not cause a message at each crossing.
    fn is_message_due(&mut self, now_us: MonoTime, service: &str) -> bool {
        let last_message_us = self.last_message_us;
        let service = self.service(service);
        if !service.shares.is_congested(now_us) {
            return false;
        }
        let is_past = |us: MonoTime| now_us >= us + CONGESTED_MESSAGE_MS;
        let has_begun = service.congested_us.replace(now_us).is_none_or(is_past);
        has_begun || last_message_us.is_none_or(is_past)
    }
}

impl SharedShares {
    /// Takes the organisations of `table` with their weights, and returns the weights. They weigh as much as the
    /// rates of their quotas; without a quota for each of them, or with quotas in different units, all weigh the
    /// same. `is_limited` tells which services have a common share without organisations.
    pub fn configure<IsLimited>(
        &self,
        table: &RouteTable,
        is_limited: IsLimited,
    ) -> HashMap<OrganisationKey, f64>
    where
        IsLimited: Fn(&str) -> bool,
    {
        let mut shares = self.0.lock();
        shares.weights = weights_of(table);
        shares.names =
            table.partners().iter().map(|it| (OrganisationKey::of(&it.id), it.id.clone())).collect();
        shares.listed = table.services().map(|(name, _)| name.as_str().to_owned()).collect();
        shares.limited = shares.listed.iter().filter(|name| is_limited(name)).cloned().collect();
        let Shares { weights, listed, limited, services, .. } = &mut *shares;
        let is_kept = |name: &str| listed.contains(name) && (!weights.is_empty() || limited.contains(name));
        services.retain(|name, _| is_kept(name));
        for service in services.values_mut() {
            service.shares.set_weights(weights.clone());
        }
        weights.clone()
    }

    /// Decides about a request to a plain service; `draw` is a random number from 0 to 1.
    pub fn admit(
        &self,
        now_us: MonoTime,
        service: &str,
        partner: Option<&PartnerId>,
        draw: f64,
    ) -> Admission {
        let mut shares = self.0.lock();
        if !shares.is_active(service) {
            return Admission { decision: ShareDecision::Admit, is_message_due: false };
        }
        let organisation = partner.map(OrganisationKey::of);
        let rates = &mut shares.service(service).shares;
        rates.arrived(now_us, organisation);
        let decision = rates.decide(now_us, organisation, draw);
        Admission { decision, is_message_due: shares.is_message_due(now_us, service) }
    }

    /// Records the end of an attempt at a server; returns whether a message to the other daemons is due.
    #[must_use]
    pub fn record_attempt(&self, now_us: MonoTime, service: &str, ended: Result<(), FailureCause>) -> bool {
        let mut shares = self.0.lock();
        if !shares.is_active(service) {
            return false;
        }
        let rates = &mut shares.service(service).shares;
        rates.attempt_ended(now_us, ended) && shares.is_message_due(now_us, service)
    }

    /// Records the load that a server reports; returns whether a message to the other daemons is due.
    #[must_use]
    pub fn record_load(&self, now_us: MonoTime, service: &str, waiting: u32, slots: u32) -> bool {
        let mut shares = self.0.lock();
        if !shares.is_active(service) {
            return false;
        }
        shares.service(service).shares.server_load(now_us, waiting, slots);
        shares.is_message_due(now_us, service)
    }

    /// Reports for a message to the other daemons, by service.
    pub fn reports(&self, now_us: MonoTime) -> Vec<(String, RateReport)> {
        let mut shares = self.0.lock();
        shares.last_message_us = Some(now_us);
        let services = shares.services.iter_mut();
        let reports =
            services.filter_map(|(name, service)| Some((name.clone(), service.shares.report(now_us)?)));
        let mut reports: Vec<_> = reports.collect();
        reports.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        reports
    }

    /// Applies the reports of another daemon. Services that the route table lacks are ignored, so that another
    /// daemon cannot make this one keep any number of them.
    pub fn receive(&self, now_us: MonoTime, host: &HostId, reports: Vec<(String, RateReport)>) {
        let mut shares = self.0.lock();
        for (name, report) in reports {
            if shares.is_active(&name) && shares.listed.contains(&name) {
                shares.service(&name).shares.receive(now_us, host, report);
            }
        }
    }

    /// Removes the reports of a daemon that is gone.
    pub fn peer_gone(&self, host: &HostId) {
        for service in self.0.lock().services.values_mut() {
            service.shares.peer_gone(host);
        }
    }

    /// Name of an organisation in the route table.
    pub fn name(&self, organisation: OrganisationKey) -> Option<PartnerId> {
        self.0.lock().names.get(&organisation).cloned()
    }

    /// What organisations use of each service, over all daemons.
    pub fn usage(&self, now_us: MonoTime) -> Vec<ServiceUsage> {
        let mut shares = self.0.lock();
        let Shares { names, services, .. } = &mut *shares;
        let usage = services.iter_mut().map(|(name, service)| {
            let organisations = service.shares.usage(now_us).into_iter();
            let organisations = organisations.map(|usage| (names.get(&usage.organisation).cloned(), usage));
            ServiceUsage {
                service: name.clone(),
                is_congested: service.shares.is_congested(now_us),
                organisations: organisations.collect(),
            }
        });
        usage.collect()
    }

    /// Number of services in which shares are in force.
    pub fn congested(&self, now_us: MonoTime) -> usize {
        let mut shares = self.0.lock();
        let services = shares.services.values_mut();
        services.filter_map(|service| service.shares.is_congested(now_us).then_some(())).count()
    }
}

fn weights_of(table: &RouteTable) -> HashMap<OrganisationKey, f64> {
    let partners = || table.partners().iter();
    let unit = partners().find_map(|partner| Some(discriminant(&partner.quota?.unit)));
    let by_quota = partners().map(|partner| {
        let quota = partner.quota.filter(|quota| Some(discriminant(&quota.unit)) == unit)?;
        Some((OrganisationKey::of(&partner.id), (quota.rate.0 as f64).max(1.0)))
    });
    let by_quota: Option<HashMap<_, _>> = by_quota.collect();
    by_quota.unwrap_or_else(|| partners().map(|partner| (OrganisationKey::of(&partner.id), 1.0)).collect())
}

/// An attempt at a server. If its caller leaves before it ends, it has taken capacity all the same.
#[derive(Debug)]
pub struct ShareAttempt<'a> {
    state: &'a RelayState,
    service: &'a str,
    is_ended: bool,
}

impl<'a> ShareAttempt<'a> {
    /// An attempt that begins.
    pub fn new(state: &'a RelayState, service: &'a str) -> Self {
        Self { state, service, is_ended: false }
    }

    /// Records how it ended.
    pub fn end(mut self, ended: Result<(), FailureCause>) {
        self.is_ended = true;
        self.state.record_share_attempt(self.service, ended);
    }
}

impl Drop for ShareAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.state.record_share_attempt(self.service, Err(FailureCause::Timeout));
        }
    }
}

impl RelayState {
    /// Admits a request to a plain service. The daemon that accepted it decides, also if another one will run it.
    ///
    /// # Errors
    ///
    /// The refusal, if its organisation asks for more than its share while capacity is short.
    pub fn admit_to_share(&self, incoming: &Incoming) -> Result<(), Refusal> {
        if incoming.forwarded_by.is_some() {
            return Ok(());
        }
        let (service, partner) = (incoming.service.as_str(), incoming.partner.as_ref());
        let admission = self.shares.admit(clock::now(), service, partner, rand::rng().random());
        self.schedule_load_report(admission.is_message_due);
        match admission.decision {
            ShareDecision::Admit => Ok(()),
            ShareDecision::OverShare(over) => {
                let call = incoming.call.id.as_str();
                self.log.request_refused_over_share(&OverShareLine { call, partner, service, over });
                Err(Refusal::retry_after(Reason::OverShare, over.retry_after_ms))
            }
        }
    }

    /// Records the end of an attempt at a plain server.
    pub fn record_share_attempt(&self, service: &str, ended: Result<(), FailureCause>) {
        self.schedule_load_report(self.shares.record_attempt(clock::now(), service, ended));
    }

    /// Records the load that a plain server reports.
    pub fn record_share_load(&self, service: &str, load: ReportedLoad) {
        self.schedule_load_report(self.shares.record_load(clock::now(), service, load.waiting, load.slots));
    }

    fn schedule_load_report(&self, is_due: bool) {
        if is_due {
            self.peers.schedule_message(Urgency::Soon);
        }
    }

    /// What the other daemons need to know of this daemon's load.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            rates: self.shares.reports(clock::now()),
            memory: self.engine_pools.memory_reports(),
            speeds: self.engine_pools.take_speed_samples(),
        }
    }

    /// Logs for which services spill-over has begun or ended.
    pub fn log_spill_over(&self) {
        for (service, spill_over) in self.engine_pools.take_spill_over_changes() {
            self.log.spill_over_changed(&service, &spill_over);
        }
    }

    /// Applies another daemon's report.
    pub fn receive_load_report(&self, host: &HostId, report: LoadReport) {
        self.shares.receive(clock::now(), host, report.rates);
        self.engine_pools.receive_report(host, report.memory, report.speeds);
    }

    /// Applies the organisations of the route table in force.
    pub fn configure_shares(&self) {
        let table = self.table.load();
        let weights = self.shares.configure(&table, |service| self.limits_overload(service));
        self.engine_pools.set_weights(&weights);
        self.organisations.retain_services(&table);
        self.peers.schedule_message(Urgency::Later);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/relay_shares.rs"]
mod tests;
