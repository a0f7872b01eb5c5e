//! Orders to engines: what the holder of a lease may send, and what it may conclude from the replies.

use crate::ids::{FencingNumber, ModelId, RequestId};
use crate::lease::{HeldLease, LeaseSettings};
use crate::units::{Millis, MonoTime};

/// Operation that an engine is ordered to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Switch to the prefill role.
    BecomePrefill,
    /// Switch to the decode role.
    BecomeDecode,
}

/// An order as sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Id of the order, the same for all attempts: engines execute an id once.
    pub id: RequestId,
    /// Fencing number; engines that check it refuse one older than the latest they have seen.
    pub fencing: FencingNumber,
    /// Validity from sending; engines drop an order that arrives later.
    pub expires_in_ms: Millis,
    /// Operation to perform.
    pub kind: OrderKind,
}

/// Result of one attempt to send an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine executed the order.
    Applied,
    /// The engine refused the order because it has seen a newer holder.
    Fenced,
    /// The order arrived after its expiry and was not executed.
    Expired,
    /// No reply: the order may have been executed, or may still be until it expires.
    Lost,
}

/// Reason for which an order may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderRefusal {
    /// The lease is not held, or ended while the process was paused.
    #[error("the lease is not held")]
    NoLease,
    /// The limit of concurrent orders is reached.
    #[error("too many orders in flight")]
    Busy,
}

/// State of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// The order is to be sent, or sent again with the same id.
    Send,
    /// The reply is pending.
    InFlight,
    /// The engine executed the order.
    Done,
    /// The order was not executed and will not be.
    Failed,
    /// The order may have been executed: the engine's state must be read back before anything else is
    /// concluded.
    NeedsReadBack,
}

/// An order with its attempts.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    id: RequestId,
    kind: OrderKind,
    state: OrderState,
    fencing: Option<FencingNumber>,
    attempts_left: u32,
    /// Whether an attempt may have been executed although its reply was lost.
    lost: bool,
}

/// Maximum number of attempts per order. Low: the weight store is rate-limited, so an engine that does not reply is soon
/// given up.
pub const ORDER_ATTEMPTS: u32 = 3;

impl PendingOrder {
    /// Creates an order that has not been sent.
    pub fn new(id: RequestId, kind: OrderKind) -> Self {
        Self { id, kind, state: OrderState::Send, fencing: None, attempts_left: ORDER_ATTEMPTS, lost: false }
    }

    /// State of the order.
    pub fn state(&self) -> OrderState {
        self.state
    }

    /// Operation of the order.
    pub fn kind(&self) -> &OrderKind {
        &self.kind
    }

    /// The order to send right now. The lease is checked at this moment and not when the order was decided,
    /// because the process may have been paused in between. For engines that ignore the fencing number, this
    /// check of the clock and the expiry are all that stops an old holder.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::NoLease`] if the lease is not held, or was lost and acquired again since the first
    /// attempt.
    pub fn send(
        &mut self,
        now_us: MonoTime,
        settings: &LeaseSettings,
        lease: Option<HeldLease>,
    ) -> Result<Order, OrderRefusal> {
        let held = lease.filter(|lease| now_us < lease.until_us).ok_or(OrderRefusal::NoLease)?;
        // The same id with another fencing number could be executed twice by an engine that has forgotten the
        // id, under two holders.
        if self.fencing.is_some_and(|fencing| fencing != held.fencing) {
            self.state = OrderState::NeedsReadBack;
            return Err(OrderRefusal::NoLease);
        }
        self.fencing = Some(held.fencing);
        self.state = OrderState::InFlight;
        self.attempts_left = self.attempts_left.saturating_sub(1);
        Ok(Order {
            id: self.id,
            fencing: held.fencing,
            expires_in_ms: settings.longest_order_ms,
            kind: self.kind.clone(),
        })
    }

    /// Records the result of an attempt. After a lost reply the order is sent again with the same id.
    pub fn end(&mut self, outcome: OrderOutcome) {
        if self.state != OrderState::InFlight {
            return;
        }
        self.lost |= outcome == OrderOutcome::Lost;
        self.state = match outcome {
            OrderOutcome::Applied => OrderState::Done,
            OrderOutcome::Lost if self.attempts_left > 0 => OrderState::Send,
            _ if self.lost => OrderState::NeedsReadBack,
            OrderOutcome::Lost | OrderOutcome::Fenced | OrderOutcome::Expired => OrderState::Failed,
        };
    }
}

/// Limit of concurrent model loads: the weight store serves all engines at one total rate, so loads that
/// share it all finish late, while each takes its engine out of service until it finishes.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimit {
    /// Maximum number of concurrent loads.
    pub limit: usize,
}

impl LoadLimit {
    /// Checks whether one more load may start.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::Busy`] if the limit is reached.
    pub fn admit(&self, in_flight: usize) -> Result<(), OrderRefusal> {
        if in_flight < self.limit { Ok(()) } else { Err(OrderRefusal::Busy) }
    }
}
