//! Payment for retries from the budget that all daemons share.

use super::EnginePool;
use super::events::EngineAction;
use super::open_request::Payment;
use crate::ids::RequestId;
use crate::retry_budget::LOAN_TIMEOUT_MS;
use crate::units::MonoTime;

impl EnginePool {
    /// Pays for the next attempts of queued requests, asks other daemons for credit where the own budget does
    /// not suffice, and ends requests for which no credit came.
    ///
    /// When engines leave, crash or refuse in front of hundreds of daemons, the share of each is about one
    /// retry. Without credit, requests that ran nowhere would be refused although the budget of all daemons
    /// together is hardly used.
    pub(super) fn pay_retries(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let owing: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|request_id| self.open[*request_id].needs_payment())
            .copied()
            .collect();
        if owing.is_empty() {
            return;
        }
        let mut unpaid = 0;
        for request_id in owing {
            let is_paid = self.budget.try_withdraw(now_us);
            let Some(open) = self.open.get_mut(&request_id) else {
                continue;
            };
            match open.payment {
                _ if is_paid => open.payment = Payment::Paid,
                Payment::Awaited { until_us } if now_us < until_us && self.budget.may_borrow() => unpaid += 1,
                Payment::None if self.budget.may_borrow() => {
                    open.payment = Payment::Awaited { until_us: now_us + LOAN_TIMEOUT_MS };
                    unpaid += 1;
                }
                Payment::None | Payment::Awaited { .. } | Payment::Paid => {
                    self.waiting.retain(|&waiting| waiting != request_id);
                    self.counters.retries_denied += 1;
                    self.give_up(now_us, request_id, actions);
                }
            }
        }
        if let Some(loan) = self.budget.request_loan(now_us, unpaid) {
            actions.push(EngineAction::Borrow(loan));
        }
    }
}
