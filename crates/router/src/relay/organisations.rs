//! What each organisation asks for, gets and is refused, for operators.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusvale_core::ids::PartnerId;
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::MonoTime;
use parking_lot::Mutex;
use serde::Serialize;

use super::refusal::Reason;
use super::state::RelayState;
use crate::logging::per_1000_s;

/// Maximum number of organisations that metrics and the view name; the rest is summed up. Each one is a series per
/// service and outcome, and a host with 88 MB keeps them.
pub const NAMED_ORGANISATIONS_MAX: usize = 64;

/// Name of all organisations that are not named themselves.
const OTHER: &str = "other";

/// Refusals by organisation since the start of the daemon.
#[derive(Debug, Default)]
pub struct OrganisationOutcomes(Mutex<Outcomes>);

#[derive(Debug, Default)]
struct Outcomes {
    /// Organisations with a label of their own: the first ones seen, since a counter keeps its labels.
    named: BTreeSet<PartnerId>,
    /// By service and organisation, then by reason.
    refused: BTreeMap<(String, String), BTreeMap<&'static str, u64>>,
}

impl OrganisationOutcomes {
    /// Records the outcome of a request and returns the label of its organisation.
    pub fn record(&self, service: &str, partner: &PartnerId, outcome: &'static str) -> String {
        let mut outcomes = self.0.lock();
        if !outcomes.named.contains(partner) && outcomes.named.len() < NAMED_ORGANISATIONS_MAX {
            outcomes.named.insert(partner.clone());
        }
        let label = if outcomes.named.contains(partner) { partner.as_str() } else { OTHER }.to_owned();
        if Reason::from_label(outcome).is_some() {
            let refused = outcomes.refused.entry((service.to_owned(), label.clone())).or_default();
            *refused.entry(outcome).or_default() += 1;
        }
        label
    }

    /// Removes what was recorded of services that are no longer in the route table.
    pub fn retain_services(&self, table: &RouteTable) {
        let is_listed = |service: &str| table.services().any(|(name, _)| name.as_str() == service);
        self.0.lock().refused.retain(|(service, _), _| is_listed(service));
    }
}

/// View of all services.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OrganisationsView {
    /// By name of the service.
    pub services: BTreeMap<String, ServiceView>,
}

/// View of one service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ServiceView {
    /// Whether shares are in force, for a plain service.
    pub is_congested: bool,
    /// By name of the organisation; `other` for all that are not named.
    pub organisations: BTreeMap<String, OrganisationView>,
}

/// View of one organisation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OrganisationView {
    /// Requests that passed the quota at all daemons, in thousandths of a request per second.
    pub demand_per_1000_s: u64,
    /// Share in the same unit; `None` while the service is not congested.
    pub share_per_1000_s: Option<u64>,
    /// Memory at engines that requests of this daemon hold.
    pub held_tokens: u64,
    /// Memory at engines that requests of this daemon wait for.
    pub waiting_tokens: u64,
    /// Requests refused by this daemon since its start, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl OrganisationView {
    fn add(&mut self, other: Self) {
        self.demand_per_1000_s += other.demand_per_1000_s;
        self.share_per_1000_s = match (self.share_per_1000_s, other.share_per_1000_s) {
            (Some(one), Some(other)) => Some(one + other),
            (one, other) => one.or(other),
        };
        self.held_tokens += other.held_tokens;
        self.waiting_tokens += other.waiting_tokens;
        for (reason, count) in other.refused {
            *self.refused.entry(reason).or_default() += count;
        }
    }

    /// The organisations that matter most to an operator have the largest rank.
    fn rank(&self) -> (u64, u64, u64) {
        let memory_tokens = self.held_tokens.saturating_add(self.waiting_tokens);
        (self.demand_per_1000_s, memory_tokens, self.refused.values().sum())
    }
}

impl ServiceView {
    fn organisation(&mut self, name: Option<&str>) -> &mut OrganisationView {
        self.organisations.entry(name.unwrap_or(OTHER).to_owned()).or_default()
    }

    /// Sums up all but the organisations of the highest rank.
    fn bound(&mut self) {
        if self.organisations.len() <= NAMED_ORGANISATIONS_MAX {
            return;
        }
        let mut ranked: Vec<(String, OrganisationView)> =
            std::mem::take(&mut self.organisations).into_iter().collect();
        ranked.sort_by_key(|(name, view)| std::cmp::Reverse((name != OTHER, view.rank())));
        let beyond = ranked.split_off(NAMED_ORGANISATIONS_MAX);
        self.organisations = ranked.into_iter().collect();
        for (_, view) in beyond {
            self.organisation(None).add(view);
        }
    }
}

impl RelayState {
    /// Counts the outcome of a request of an organisation.
    pub fn record_organisation_outcome(
        &self,
        service: &str,
        partner: Option<&PartnerId>,
        outcome: &'static str,
    ) {
        if let Some(partner) = partner {
            let label = self.organisations.record(service, partner, outcome);
            self.metrics.record_organisation(service, label, outcome);
        }
    }

    /// What organisations ask for, get and are refused, as this daemon sees it.
    pub fn organisations_view(&self, now_us: MonoTime) -> OrganisationsView {
        let mut view = OrganisationsView::default();
        for usage in self.shares.usage(now_us) {
            let service = view.services.entry(usage.service).or_default();
            service.is_congested = usage.is_congested;
            for (name, usage) in usage.organisations {
                service.organisation(name.as_ref().map(PartnerId::as_str)).add(OrganisationView {
                    demand_per_1000_s: per_1000_s(usage.demand_per_s),
                    share_per_1000_s: usage.share_per_s.map(per_1000_s),
                    ..OrganisationView::default()
                });
            }
        }
        for (name, report) in self.engine_pools.memory_reports() {
            let service = view.services.entry(name).or_default();
            for memory in report.organisations {
                let name = self.shares.name(memory.organisation);
                let organisation = service.organisation(name.as_ref().map(PartnerId::as_str));
                organisation.held_tokens += memory.held.0;
                organisation.waiting_tokens += memory.waiting.0;
            }
        }
        for ((service, name), reasons) in &self.organisations.0.lock().refused {
            let service = view.services.entry(service.clone()).or_default();
            service.organisation(Some(name)).refused.clone_from(reasons);
        }
        view.services.values_mut().for_each(ServiceView::bound);
        view
    }
}

#[cfg(test)]
#[path = "../../tests/unit/relay_organisations.rs"]
mod tests;
