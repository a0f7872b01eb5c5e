//! Orders to engines: what a lease's holder may send, and what it may conclude from the answers.

use crate::ids::{FencingNumber, ModelId, RequestId};
use crate::lease::{HeldLease, LeaseSettings};
use crate::units::{Millis, MonoTime};

/// What an engine is told to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Read prompts.
    BecomePrefill,
    /// Write tokens.
    BecomeDecode,
}

/// One order as it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Names the order over all its tries: engines carry one id out once.
    pub id: RequestId,
    /// Engines that check refuse a number older than the last one they saw.
    pub fencing: FencingNumber,
    /// Engines drop an order that arrives later than this after it was sent.
    pub expires_in_ms: Millis,
    /// What to do.
    pub kind: OrderKind,
}

/// How a try to send an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The engine carried it out.
    Applied,
    /// The engine has seen a newer holder.
    Fenced,
    /// It arrived too late, and was not carried out.
    Expired,
    /// No answer: it may have been carried out, or may yet be until it expires.
    Lost,
}

/// An order that is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderRefusal {
    /// The lease is not held, or has ended while the process was paused.
    #[error("the lease is not held")]
    NoLease,
    /// The number of orders under way is at its bound.
    #[error("too many orders are under way")]
    Busy,
}

/// What is known of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// It is to be sent, or sent again under the same id.
    Send,
    /// Its answer is awaited.
    UnderWay,
    /// The engine carried it out.
    Done,
    /// It was not carried out, and will not be.
    Failed,
    /// It may have been carried out: the engine's state is read back before anything follows from it.
    ReadBack,
}

/// One order through its tries.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    id: RequestId,
    kind: OrderKind,
    state: OrderState,
    fencing: Option<FencingNumber>,
    tries_left: u32,
    /// A try may have been carried out though its answer was lost.
    lost: bool,
}

/// Tries of one order. The weight store is rate-limited, so an engine that does not answer is left alone soon.
pub const ORDER_TRIES: u32 = 3;

impl PendingOrder {
    /// An order that was not sent yet.
    pub fn new(id: RequestId, kind: OrderKind) -> Self {
        Self { id, kind, state: OrderState::Send, fencing: None, tries_left: ORDER_TRIES, lost: false }
    }

    /// What is known of it.
    pub fn state(&self) -> OrderState {
        self.state
    }

    /// What it says.
    pub fn kind(&self) -> &OrderKind {
        &self.kind
    }

    /// The order to put on the wire right now. The lease is asked for at this moment and not when the order was
    /// decided: in between the process may have been paused, and for engines that ignore the fencing number
    /// this look at the clock, and the expiry, are all that stops an old holder.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::NoLease`].
    pub fn send(
        &mut self,
        now_us: MonoTime,
        settings: &LeaseSettings,
        lease: Option<HeldLease>,
    ) -> Result<Order, OrderRefusal> {
        let held = lease.filter(|lease| now_us < lease.until_us).ok_or(OrderRefusal::NoLease)?;
        // The same id under another number could be one order to an engine that forgot it, and two holders.
        if self.fencing.is_some_and(|fencing| fencing != held.fencing) {
            self.state = OrderState::ReadBack;
            return Err(OrderRefusal::NoLease);
        }
        self.fencing = Some(held.fencing);
        self.state = OrderState::UnderWay;
        self.tries_left = self.tries_left.saturating_sub(1);
        Ok(Order {
            id: self.id,
            fencing: held.fencing,
            expires_in_ms: settings.longest_order_ms,
            kind: self.kind.clone(),
        })
    }

    /// A try ended. An answer that was lost is asked for again under the same id.
    pub fn end(&mut self, end: OrderEnd) {
        if self.state != OrderState::UnderWay {
            return;
        }
        self.lost |= end == OrderEnd::Lost;
        self.state = match end {
            OrderEnd::Applied => OrderState::Done,
            OrderEnd::Lost if self.tries_left > 0 => OrderState::Send,
            _ if self.lost => OrderState::ReadBack,
            OrderEnd::Lost | OrderEnd::Fenced | OrderEnd::Expired => OrderState::Failed,
        };
    }
}

/// Loads that may run at once: the weight store serves all engines at one rate, and loads that share it all end
/// late, while each takes its engine out of service until it ends.
#[derive(Clone, Copy, Debug)]
pub struct LoadBudget {
    /// Loads under way at most.
    pub limit: usize,
}

impl LoadBudget {
    /// Whether one more load may begin.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::Busy`].
    pub fn admit(&self, under_way: usize) -> Result<(), OrderRefusal> {
        if under_way < self.limit { Ok(()) } else { Err(OrderRefusal::Busy) }
    }
}
