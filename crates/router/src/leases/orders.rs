//! Orders under way to engines.

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, Incarnation, ModelId, RequestId};
use hibiscusvale_core::lease::{Lease, LeaseSettings};
use hibiscusvale_core::order::{OrderKind, OrderOutcome, OrderState, PendingOrder};
use hibiscusvale_core::slots::Role;

use crate::backend::EngineClient;
use crate::clock;
use crate::directory::Listing;

/// Orders are numbered apart from requests, so that no two things of one life have the same id.
const FIRST_ORDER: u64 = 1 << 63;

#[derive(Debug)]
struct Addressed {
    server: BackendServerId,
    order: PendingOrder,
}

/// The orders of one holder.
#[derive(Debug)]
pub(super) struct Orders {
    incarnation: Incarnation,
    next: u64,
    pending: Vec<Addressed>,
}

impl Orders {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: FIRST_ORDER, pending: Vec::new() }
    }

    pub(super) fn set_role(&mut self, server: BackendServerId, role: Role) {
        let kind = match role {
            Role::Prefill => OrderKind::BecomePrefill,
            Role::Decode => OrderKind::BecomeDecode,
        };
        self.add(server, kind);
    }

    pub(super) fn load(&mut self, server: BackendServerId, model: ModelId) {
        self.add(server, OrderKind::Load(model));
    }

    pub(super) fn unload(&mut self, server: BackendServerId, model: ModelId) {
        self.add(server, OrderKind::Unload(model));
    }

    fn add(&mut self, server: BackendServerId, kind: OrderKind) {
        let id = RequestId { incarnation: self.incarnation, sequence: self.next };
        self.next += 1;
        self.pending.push(Addressed { server, order: PendingOrder::new(id, kind) });
    }

    /// Sends what is to be sent and returns the servers whose order has ended, one way or another. Whether an
    /// order of which no answer came was carried out shows in the engine's next report, from which the planner
    /// goes on.
    pub(super) async fn send_due(
        &mut self,
        settings: &LeaseSettings,
        lease: &Lease,
        listing: &Listing,
        edge: &Arc<dyn EngineClient>,
    ) -> Vec<BackendServerId> {
        for Addressed { server, order } in &mut self.pending {
            let Some(address) = listing.servers.get(server).map(|server| server.address) else {
                order.end(OrderOutcome::Lost);
                continue;
            };
            let now_us = clock::now();
            // Without the lease nothing is sent; the order goes with the holder that decided it.
            let Ok(sent) = order.send(now_us, settings, lease.held(now_us)) else {
                continue;
            };
            let end = edge.order(address, sent).await.unwrap_or(OrderOutcome::Lost);
            order.end(end);
        }
        let (ended, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|addressed| {
                is_ended(&addressed.order) || !listing.servers.contains_key(&addressed.server)
            });
        self.pending = left;
        ended.into_iter().map(|addressed| addressed.server).collect()
    }
}

fn is_ended(order: &PendingOrder) -> bool {
    match order.state() {
        OrderState::Done | OrderState::Failed | OrderState::NeedsReadBack => true,
        OrderState::Send | OrderState::InFlight => false,
    }
}
