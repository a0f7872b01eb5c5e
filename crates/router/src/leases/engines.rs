//! What the holder of a lease knows of its engines: their load reports, read a few at a time.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId};
use hibiscusvale_core::sched::EngineView;
use hibiscusvale_core::slots::Role;

use crate::backend::{EngineClient, EngineLoad};
use crate::directory::{BackendKind, BackendServer, Listing};
use crate::external::{EngineRole, ListedState};

/// Engines asked with each look, a second apart. Control may send 4 KB a second and a holder does all that other
/// daemons do besides; ten reads take some 750 B. A data centre of 1,000 engines is gone through in 100 s, so
/// there a shift answers what lasted minutes; of ten engines or fewer each is seen every second.
const ASKED_AT_ONCE: usize = 10;

const PERCENT: u32 = 100;

/// The engines of one data centre.
#[derive(Debug, Default)]
pub(super) struct Engines {
    loads: HashMap<BackendServerId, EngineLoad>,
    next: usize,
}

impl Engines {
    /// Asks the next few engines for their load.
    pub(super) async fn refresh(
        &mut self,
        listing: &Listing,
        data_centre: &DataCentreId,
        edge: &Arc<dyn EngineClient>,
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
        let count = servers.len().min(ASKED_AT_ONCE);
        let asked = (0..count).map(|step| servers[(self.next + step) % servers.len()]);
        let answers =
            join_all(asked.map(|server| async move { (server, edge.load(server.address).await) })).await;
        self.next = (self.next + count) % servers.len();
        for (server, answer) in answers {
            match answer {
                Ok(load) => {
                    self.loads.insert(server.id.clone(), load);
                }
                // An engine that does not answer is not ordered about.
                Err(_) => {
                    self.loads.remove(&server.id);
                }
            }
        }
    }

    /// The engines as the planner sees them: those that have reported.
    pub(super) fn views(&self, listing: &Listing) -> Vec<EngineView> {
        let known = self.loads.iter().filter_map(|(id, load)| Some((listing.servers.get(id)?, load)));
        known.filter_map(|(server, load)| view_of(server, load)).collect()
    }
}

fn view_of(server: &BackendServer, load: &EngineLoad) -> Option<EngineView> {
    let BackendKind::Engine { role, .. } = &server.kind else {
        return None;
    };
    let held = u32::try_from(load.held.len()).unwrap_or(u32::MAX);
    let (role, busy_percent) = match role {
        // A prefill engine reads one prompt at a time: each report says busy or idle, and the planner's average
        // over many reports is the share of time.
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
