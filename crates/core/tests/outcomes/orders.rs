use hibiscusvale_core::ids::{FencingNumber, Incarnation, RequestId};
use hibiscusvale_core::lease::{HeldLease, LeaseSettings};
use hibiscusvale_core::order::{
    LoadLimit, ORDER_ATTEMPTS, OrderKind, OrderOutcome, OrderRefusal, OrderState, PendingOrder,
};
use hibiscusvale_core::units::MonoTime;
use rstest::rstest;

const NOW: MonoTime = MonoTime(1_000);
const ID: RequestId = RequestId { incarnation: Incarnation(1), sequence: 1 };

fn lease(fencing: u64) -> HeldLease {
    HeldLease { fencing: FencingNumber(fencing), until_us: MonoTime(2_000) }
}

fn order() -> PendingOrder {
    PendingOrder::new(ID, OrderKind::BecomePrefill)
}

/// The holder decides on an order and is then paused past the end of its lease. It must check its clock again
/// before sending, because the engine may have a new holder and may not check fencing numbers.
#[test]
fn holder_paused_past_lease_sends_nothing() {
    let sent = order().send(lease(5).until_us, &LeaseSettings::default(), Some(lease(5)));
    assert_eq!(sent, Err(OrderRefusal::NoLease));
}

/// The reply to an order is lost. The order is sent again with the same id, which engines execute once.
#[test]
fn lost_reply_is_retried_with_same_id() {
    let mut order = order();
    for _ in 0..ORDER_ATTEMPTS {
        let sent = order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
        assert_eq!((sent.id, sent.fencing), (ID, FencingNumber(5)));
        assert!(sent.expires_in_ms <= LeaseSettings::default().longest_order_ms);
        order.end(OrderOutcome::Lost);
    }
    assert_eq!(order.state(), OrderState::NeedsReadBack);
}

#[rstest]
#[case(&[OrderOutcome::Applied], OrderState::Done)]
#[case(&[OrderOutcome::Fenced], OrderState::Failed)]
#[case(&[OrderOutcome::Expired], OrderState::Failed)]
#[case(&[OrderOutcome::Lost, OrderOutcome::Applied], OrderState::Done)]
#[case(&[OrderOutcome::Lost, OrderOutcome::Fenced], OrderState::NeedsReadBack)]
#[case(&[OrderOutcome::Lost, OrderOutcome::Expired], OrderState::NeedsReadBack)]
fn final_state_follows_from_replies(#[case] outcomes: &[OrderOutcome], #[case] state: OrderState) {
    let mut order = order();
    for outcome in outcomes {
        order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
        order.end(*outcome);
    }
    assert_eq!(order.state(), state);
}

/// The lease is lost and acquired again between two attempts. Another holder may have sent orders in between,
/// so the engine's state must be read back before anything is sent with the new fencing number.
#[test]
fn order_does_not_outlive_its_lease() {
    let mut order = order();
    order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
    order.end(OrderOutcome::Lost);
    assert_eq!(order.send(NOW, &LeaseSettings::default(), Some(lease(9))), Err(OrderRefusal::NoLease));
    assert_eq!(order.state(), OrderState::NeedsReadBack);
}

#[test]
fn limits_concurrent_loads() {
    let budget = LoadLimit { limit: 2 };
    assert_eq!([0, 1, 2].map(|in_flight| budget.admit(in_flight).is_ok()), [true, true, false]);
}
