//! Services whose servers share their hosts with others and therefore vary in speed.

use std::collections::HashSet;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::engines::ReportedLoad;
use parking_lot::RwLock;

use super::load_report::ServerReport;
use super::state::RelayState;

/// Services of which a server has stated how long work takes on its host.
///
/// A service that has once stated it is treated as uneven until the daemon restarts: not every answer carries the
/// figure, and a choice that changes back and forth would be worse than either.
#[derive(Debug, Default)]
pub struct UnevenServices(RwLock<HashSet<String>>);

impl UnevenServices {
    /// Whether a server of `service` has stated it.
    pub fn contains(&self, service: &str) -> bool {
        self.0.read().contains(service)
    }

    /// Records the load that a server of `service` reports; returns whether the service is uneven from now on.
    fn record(&self, service: &str, load: ReportedLoad) -> bool {
        load.work_time_percent.is_some()
            && !self.contains(service)
            && self.0.write().insert(service.to_owned())
    }
}

impl RelayState {
    /// Records the load that a server of `service` reports, and applies the settings for uneven servers when the first
    /// one states how long work takes.
    pub fn record_server_load(&self, service: &str, server: &BackendServerId, load: ReportedLoad) {
        let held = load.running.saturating_add(load.waiting);
        self.plain_schedulers.server_stated_load(service, server, held, load.slots);
        if self.uneven_services.record(service, load) {
            self.share_budget();
            self.configure_shares();
        }
    }

    /// Whether the speeds of the engines of `service` are used.
    pub fn uses_engine_speeds(&self, service: &str) -> bool {
        self.scheduling.lock().engine_speeds.applies(self.uneven_services.contains(service))
    }

    /// Applies the setting for loads of plain servers to all listed services.
    pub fn configure_server_loads(&self) {
        self.plain_schedulers.use_server_loads(|service| self.uses_server_loads(service));
    }

    /// What this daemon observed of plain servers since the previous message. Logs where the choice by loads has begun
    /// or ended since.
    pub fn server_report(&self) -> ServerReport {
        for (service, load_use) in self.plain_schedulers.take_server_load_changes() {
            self.log.server_loads_in_use(&service, &load_use);
        }
        ServerReport { servers: self.plain_schedulers.take_server_samples() }
    }

    /// Whether the excess of requests for the plain service `service` is refused at once without organisations.
    pub fn limits_overload(&self, service: &str) -> bool {
        self.scheduling.lock().overload_limit.applies(self.uneven_services.contains(service))
    }

    /// Whether the loads of the servers of the plain service `service` are used.
    pub fn uses_server_loads(&self, service: &str) -> bool {
        self.scheduling.lock().server_loads.applies(self.uneven_services.contains(service))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/relay_uneven_servers.rs"]
mod tests;
