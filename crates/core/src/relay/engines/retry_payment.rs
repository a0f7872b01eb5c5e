//! Further tries have to be paid for out of what all daemons may spend together.

use super::EnginePool;
use super::events::EngineAction;
use super::open_request::Payment;
use crate::allowance::LOAN_WAIT_MS;
use crate::ids::RequestId;
use crate::units::MonoTime;

impl EnginePool {
    /// Pays for the next tries of requests that wait, asks for a loan for those that cannot be paid for, and ends those for
    /// which none came.
    ///
    /// Load: engines that leave, die or refuse, before hundreds of daemons whose parts of the allowance are about one try
    /// each. Harm prevented: a request that ran nowhere is refused although the allowance of all daemons together is hardly
    /// touched.
    pub(super) fn pay(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let owing: Vec<RequestId> =
            self.waiting.iter().filter(|request_id| self.open[*request_id].owes()).copied().collect();
        if owing.is_empty() {
            return;
        }
        let mut unpaid = 0;
        for request_id in owing {
            let is_paid = self.budget.withdraw(now_us);
            let Some(open) = self.open.get_mut(&request_id) else {
                continue;
            };
            match open.payment {
                _ if is_paid => open.payment = Payment::Paid,
                Payment::Awaited { until_us } if now_us < until_us && self.budget.may_borrow() => unpaid += 1,
                Payment::None if self.budget.may_borrow() => {
                    open.payment = Payment::Awaited { until_us: now_us + LOAN_WAIT_MS };
                    unpaid += 1;
                }
                Payment::None | Payment::Awaited { .. } | Payment::Paid => {
                    self.waiting.retain(|&waiting| waiting != request_id);
                    self.counters.retries_denied += 1;
                    self.give_up(now_us, request_id, actions);
                }
            }
        }
        if let Some(ask) = self.budget.ask(now_us, unpaid) {
            actions.push(EngineAction::Borrow(ask));
        }
    }
}
