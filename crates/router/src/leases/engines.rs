//! The lease holder's view of its engines: their load reports, polled in round-robin order.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId};
use hibiscusvale_core::sched::EngineView;
use hibiscusvale_core::slots::Role;

use crate::backend::{EngineClient, EngineLoad};
use crate::directory::{BackendKind, BackendServer, Listing};
use crate::external::{EngineRole, ListedState};

/// Engines polled per tick, one tick a second. Control may send 4 KB/s, and the holder also does the work of every
/// other daemon; ten reads take about 750 B. A data centre of 1,000 engines takes 100 s per round, so shifts there
/// respond to load that lasts for minutes; up to ten engines are all polled every second.
const LOAD_READS_PER_TICK: usize = 10;

const PERCENT: u32 = 100;

/// Load reports of the engines in one data centre.
#[derive(Debug, Default)]
pub(super) struct Engines {
    loads: HashMap<BackendServerId, EngineLoad>,
    next: usize,
}

impl Engines {
    /// Polls the load of the next engines in turn.
    pub(super) async fn refresh(
        &mut self,
        listing: &Listing,
        data_centre: &DataCentreId,
        client: &Arc<dyn EngineClient>,
    ) {
        let mut servers: Vec<&Arc<BackendServer>> = listing
            .servers
            .values()
            .filter(|server| server.data_centre == *data_centre)
            .filter(|server| matches!(server.kind, BackendKind::Engine { .. }))
            .collect();
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        self.loads.retain(|id, _| servers.binary_search_by(|server| server.id.cmp(id)).is_ok());
        if servers.is_empty() {
            return;
        }
        let count = servers.len().min(LOAD_READS_PER_TICK);
        let polled = (0..count).map(|step| servers[(self.next + step) % servers.len()]);
        let answers =
            join_all(polled.map(|server| async move { (server, client.load(server.address).await) })).await;
        self.next = (self.next + count) % servers.len();
        for (server, answer) in answers {
            match answer {
                Ok(load) => {
                    self.loads.insert(server.id.clone(), load);
                }
                // An engine that does not answer receives no orders.
                Err(_) => {
                    self.loads.remove(&server.id);
                }
            }
        }
    }

    /// The engines that have reported, as input to the planner.
    pub(super) fn views(&self, listing: &Listing) -> Vec<EngineView> {
        let known = self.loads.iter().filter_map(|(id, load)| Some((listing.servers.get(id)?, load)));
        known.filter_map(|(server, load)| engine_view(server, load)).collect()
    }
}

fn engine_view(server: &BackendServer, load: &EngineLoad) -> Option<EngineView> {
    let BackendKind::Engine { role, .. } = &server.kind else {
        return None;
    };
    let held = u32::try_from(load.held.len()).unwrap_or(u32::MAX);
    let (role, busy_percent) = match role {
        // A prefill engine processes one prompt at a time, so each report is either busy or idle; the planner's
        // average over many reports is the busy share.
        EngineRole::Prefill => (Role::Prefill, if held > 0 { PERCENT } else { 0 }),
        EngineRole::Decode => (Role::Decode, load.slots_used * PERCENT / load.slots_total.max(1)),
    };
    Some(EngineView {
        server: server.id.clone(),
        role,
        models: load.models.clone(),
        in_use: held.max(load.slots_used),
        busy_percent,
        live: server.listed == ListedState::Live,
    })
}
