//! Pending orders to engines.

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, Incarnation, ModelId, RequestId};
use hibiscusvale_core::lease::{Lease, LeaseSettings};
use hibiscusvale_core::order::{OrderKind, OrderOutcome, OrderState, PendingOrder};
use hibiscusvale_core::slots::Role;

use crate::backend::EngineClient;
use crate::clock;
use crate::directory::Listing;

/// First sequence number of an order. Orders use a range separate from requests, so that ids are unique within an
/// incarnation.
const FIRST_ORDER_SEQUENCE: u64 = 1 << 63;

#[derive(Debug)]
struct EngineOrder {
    server: BackendServerId,
    order: PendingOrder,
}

/// The pending orders of a lease holder.
#[derive(Debug)]
pub(super) struct Orders {
    incarnation: Incarnation,
    next: u64,
    pending: Vec<EngineOrder>,
}

impl Orders {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: FIRST_ORDER_SEQUENCE, pending: Vec::new() }
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
        self.pending.push(EngineOrder { server, order: PendingOrder::new(id, kind) });
    }

    /// Sends all due orders and returns the servers whose order has completed, failed or been lost. Whether an
    /// unanswered order was carried out shows in the engine's next report, from which the planner continues.
    pub(super) async fn send_due(
        &mut self,
        settings: &LeaseSettings,
        lease: &Lease,
        listing: &Listing,
        client: &Arc<dyn EngineClient>,
    ) -> Vec<BackendServerId> {
        for EngineOrder { server, order } in &mut self.pending {
            let Some(address) = listing.servers.get(server).map(|server| server.address) else {
                order.end(OrderOutcome::Lost);
                continue;
            };
            let now_us = clock::now();
            // Without the lease nothing is sent; the order is dropped with the holder that planned it.
            let Ok(sent) = order.send(now_us, settings, lease.held(now_us)) else {
                continue;
            };
            let end = client.order(address, sent).await.unwrap_or(OrderOutcome::Lost);
            order.end(end);
        }
        let (ended, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| is_ended(&pending.order) || !listing.servers.contains_key(&pending.server));
        self.pending = left;
        ended.into_iter().map(|pending| pending.server).collect()
    }
}

fn is_ended(order: &PendingOrder) -> bool {
    match order.state() {
        OrderState::Done | OrderState::Failed | OrderState::NeedsReadBack => true,
        OrderState::Send | OrderState::InFlight => false,
    }
}
