//! Connects the shares of organisations with the requests to plain services and with the other daemons.

use std::collections::HashMap;

use hibiscusvale_core::ids::{HostId, PartnerId};
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::shares::{OrganisationKey, RateReport, RateShares, ShareDecision};
use parking_lot::Mutex;
use rand::RngExt;

use super::load_report::LoadReport;
use super::pacing::Urgency;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;

/// Shares of organisations in the plain services. Inactive while the route table has no organisations.
#[derive(Debug, Default)]
pub struct SharedShares {
    services: Mutex<HashMap<String, RateShares>>,
    weights: Mutex<HashMap<OrganisationKey, f64>>,
}

impl SharedShares {
    /// Takes the weights of organisations from their quotas. Without a quota for each of them, all weigh the same.
    pub fn configure(&self, table: &RouteTable) -> HashMap<OrganisationKey, f64> {
        let partners = table.partners();
        let weight = |rate: u64| (rate as f64).max(1.0);
        let weights: Option<HashMap<_, _>> = partners
            .iter()
            .map(|partner| Some((OrganisationKey::of(&partner.id), weight(partner.quota?.rate.0))))
            .collect();
        let weights = weights.unwrap_or_else(|| {
            partners.iter().map(|partner| (OrganisationKey::of(&partner.id), 1.0)).collect()
        });
        for shares in self.services.lock().values_mut() {
            shares.set_weights(weights.clone());
        }
        self.weights.lock().clone_from(&weights);
        weights
    }

    fn is_active(&self) -> bool {
        !self.weights.lock().is_empty()
    }

    fn with<Action, Result>(&self, service: &str, action: Action) -> Result
    where
        Action: FnOnce(&mut RateShares) -> Result,
    {
        let mut services = self.services.lock();
        if let Some(shares) = services.get_mut(service) {
            return action(shares);
        }
        let mut shares = RateShares::default();
        shares.set_weights(self.weights.lock().clone());
        action(services.entry(service.to_owned()).or_insert(shares))
    }

    /// Admits a request to a plain service.
    ///
    /// # Errors
    ///
    /// The refusal, if its organisation asks for more than its share while capacity is short.
    pub fn admit(&self, service: &str, partner: Option<&PartnerId>) -> Result<(), Refusal> {
        if !self.is_active() {
            return Ok(());
        }
        let now_us = clock::now();
        let organisation = partner.map(OrganisationKey::of);
        let draw = rand::rng().random();
        let decision = self.with(service, |shares| {
            shares.arrived(now_us, organisation);
            shares.decide(now_us, organisation, draw)
        });
        match decision {
            ShareDecision::Admit => Ok(()),
            ShareDecision::OverShare(over) => {
                Err(Refusal::retry_after(Reason::OverShare, over.retry_after_ms))
            }
        }
    }

    /// Records the end of an attempt at a server.
    pub fn record_attempt(&self, service: &str, result: Result<(), FailureCause>) {
        if !self.is_active() {
            return;
        }
        let now_us = clock::now();
        self.with(service, |shares| match result {
            Ok(()) => shares.answered(now_us),
            Err(FailureCause::NoRoom) => shares.refused_full(now_us),
            Err(_) => {}
        });
    }

    /// Records the load that a server reports.
    pub fn record_load(&self, service: &str, waiting: u32, slots: u32) {
        if self.is_active() {
            self.with(service, |shares| shares.server_load(clock::now(), waiting, slots));
        }
    }

    /// Reports for the other daemons, by service.
    pub fn reports(&self) -> Vec<(String, RateReport)> {
        let now_us = clock::now();
        let mut services = self.services.lock();
        services
            .iter_mut()
            .filter_map(|(name, shares)| Some((name.clone(), shares.report(now_us)?)))
            .collect()
    }

    /// Applies the reports of another daemon.
    pub fn receive(&self, host: &HostId, reports: Vec<(String, RateReport)>) {
        if !self.is_active() {
            return;
        }
        let now_us = clock::now();
        for (service, report) in reports {
            self.with(&service, |shares| shares.receive(now_us, host, report));
        }
    }

    /// Removes the reports of a daemon that is gone.
    pub fn peer_gone(&self, host: &HostId) {
        for shares in self.services.lock().values_mut() {
            shares.peer_gone(host);
        }
    }
}

impl RelayState {
    /// What the other daemons need to know of this daemon's load.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            rates: self.shares.reports(),
            memory: self.engine_pools.memory_reports(),
            speeds: self.engine_pools.take_speed_samples(),
        }
    }

    /// Applies another daemon's report.
    pub fn receive_load_report(&self, host: &HostId, report: LoadReport) {
        self.shares.receive(host, report.rates);
        self.engine_pools.receive_report(host, report.memory, report.speeds);
    }

    /// Applies the organisations of the route table in force.
    pub fn configure_shares(&self) {
        let weights = self.shares.configure(&self.table.load());
        self.engine_pools.set_weights(&weights);
        self.peers.schedule_message(Urgency::Later);
    }
}
