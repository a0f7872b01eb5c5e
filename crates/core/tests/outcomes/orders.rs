use hibiscusvale_core::ids::{FencingNumber, Incarnation, RequestId};
use hibiscusvale_core::lease::{HeldLease, LeaseSettings};
use hibiscusvale_core::order::{
    LoadBudget, ORDER_TRIES, OrderEnd, OrderKind, OrderRefusal, OrderState, PendingOrder,
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

/// The holder decided on an order and was then paused past its lease. It looks at its clock again just before
/// it sends, and sends nothing: the engine may have a new holder, and may not check fencing numbers.
#[test]
fn a_holder_paused_past_its_lease_sends_nothing() {
    let sent = order().send(lease(5).until_us, &LeaseSettings::default(), Some(lease(5)));
    assert_eq!(sent, Err(OrderRefusal::NoLease));
}

/// The answer to an order is lost. It is asked for again under the same id, which engines carry out once.
#[test]
fn a_lost_answer_is_asked_for_again_under_the_same_id() {
    let mut order = order();
    for _ in 0..ORDER_TRIES {
        let sent = order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
        assert_eq!((sent.id, sent.fencing), (ID, FencingNumber(5)));
        assert!(sent.expires_in_ms <= LeaseSettings::default().longest_order_ms);
        order.end(OrderEnd::Lost);
    }
    assert_eq!(order.state(), OrderState::ReadBack);
}

#[rstest]
#[case(&[OrderEnd::Applied], OrderState::Done)]
#[case(&[OrderEnd::Fenced], OrderState::Failed)]
#[case(&[OrderEnd::Expired], OrderState::Failed)]
#[case(&[OrderEnd::Lost, OrderEnd::Applied], OrderState::Done)]
#[case(&[OrderEnd::Lost, OrderEnd::Fenced], OrderState::ReadBack)]
#[case(&[OrderEnd::Lost, OrderEnd::Expired], OrderState::ReadBack)]
fn an_order_ends_as_its_answers_prove(#[case] ends: &[OrderEnd], #[case] state: OrderState) {
    let mut order = order();
    for end in ends {
        order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
        order.end(*end);
    }
    assert_eq!(order.state(), state);
}

/// The lease was lost and taken again between two tries. Another holder may have ordered in between, so the
/// engine's state is read back before anything is sent under the new number.
#[test]
fn an_order_does_not_outlive_its_lease() {
    let mut order = order();
    order.send(NOW, &LeaseSettings::default(), Some(lease(5))).expect("held");
    order.end(OrderEnd::Lost);
    assert_eq!(order.send(NOW, &LeaseSettings::default(), Some(lease(9))), Err(OrderRefusal::NoLease));
    assert_eq!(order.state(), OrderState::ReadBack);
}

#[test]
fn loads_share_the_weight_store_few_at_a_time() {
    let budget = LoadBudget { limit: 2 };
    assert_eq!([0, 1, 2].map(|under_way| budget.admit(under_way).is_ok()), [true, true, false]);
}
