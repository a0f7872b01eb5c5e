//! Ends requests whose callers do not wait any longer.
//!
//! When engines are slower than the load, a request whose target is missed could wait for as long as its caller
//! does, and be queued again after each lost attempt. The caller then leaves with neither an answer nor a
//! refusal. So one time bounds all waits of a request together, from its arrival on.

use std::collections::BTreeSet;

use crate::ids::RequestId;
use crate::slots::Role;
use crate::units::{Micros, Millis, MonoTime};

use super::counters::{FailReason, RefusalReason};
use super::directory::{Candidates, Draw, ServerEntry};
use super::events::Action;
use super::request::Request;
use super::scheduler::Scheduler;

/// Longest time that is kept free for an outcome to reach its caller.
const REPLY_MARGIN_MS: Millis = Millis(200);

/// Divisor of a caller's limit that bounds that time.
const REPLY_MARGIN_DIVISOR: u64 = 10;

/// Time within which a request has to end so that its outcome reaches a caller that waits for `limit_ms`.
pub fn time_to_outcome(limit_ms: Millis) -> Millis {
    limit_ms.saturating_sub(REPLY_MARGIN_MS.min(Millis(limit_ms.0 / REPLY_MARGIN_DIVISOR)))
}

/// Times at which open requests end, earliest first: the limits stated by callers, and the ends of the waits of
/// requests that wait for a server.
#[derive(Debug, Default)]
pub(super) struct Expiries {
    times: BTreeSet<(MonoTime, RequestId)>,
}

impl Expiries {
    /// Adds a request that starts to wait for a server.
    pub(super) fn start_wait(&mut self, request: &Request) {
        let request_id = request.arrival.request_id;
        self.times.insert((request.waits_until_us, request_id));
        self.times.extend(request.ends_at_us.map(|at_us| (at_us, request_id)));
    }

    /// Leaves only the limit that the caller stated.
    pub(super) fn end_wait(&mut self, request: &Request) {
        if request.ends_at_us != Some(request.waits_until_us) {
            self.times.remove(&(request.waits_until_us, request.arrival.request_id));
        }
    }

    pub(super) fn remove(&mut self, request: &Request) {
        self.end_wait(request);
        if let Some(at_us) = request.ends_at_us {
            self.times.remove(&(at_us, request.arrival.request_id));
        }
    }

    pub(super) fn first_at(&self) -> Option<MonoTime> {
        self.times.first().map(|&(at_us, _)| at_us)
    }

    fn pop_due(&mut self, now_us: MonoTime) -> Option<RequestId> {
        let due = self.first_at().is_some_and(|at_us| at_us <= now_us);
        due.then(|| self.times.pop_first()).flatten().map(|(_, request_id)| request_id)
    }
}

impl Scheduler {
    /// Ends the requests whose caller's limit is reached, and those that have waited for servers long enough.
    pub(super) fn end_expired(&mut self, now_us: MonoTime, actions: &mut Vec<Action>) {
        while let Some(request_id) = self.expiries.pop_due(now_us) {
            let Some(request) = self.requests.get(&request_id) else {
                continue;
            };
            let is_over = request.ends_at_us.is_some_and(|ends_at_us| now_us >= ends_at_us);
            let has_waited = request.is_waiting() && now_us >= request.waits_until_us;
            if is_over || has_waited {
                self.expire(now_us, request_id, actions);
            }
        }
    }

    /// Ends a request that has no time left to wait or for another attempt.
    pub(super) fn expire(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&request_id).cloned() else {
            return;
        };
        let retry_after_ms = self.expected_wait_ms(now_us, &request);
        if request.has_run() {
            self.cancel_holds(&request, actions);
            self.fail(request_id, FailReason::TimeLimit, retry_after_ms, actions);
            return;
        }
        let reason = match request.ends_at_us {
            Some(_) => RefusalReason::TimeLimit,
            None => RefusalReason::WouldMissTarget,
        };
        self.refuse(request_id, reason, retry_after_ms, actions);
    }

    /// Shortest wait for a turn among a few servers.
    fn expected_wait_ms(&mut self, now_us: MonoTime, request: &Request) -> Millis {
        let found = self.sample_servers(now_us, request, Role::Prefill);
        let entries = found.as_slice().iter().filter_map(|&server| self.directory.get(server));
        let wait_us = entries.map(|entry| entry.wait_us(now_us)).min();
        wait_us.map_or(self.settings.unresponsive_skip_ms, |wait_us| Micros(wait_us).to_millis_ceil())
    }

    /// Expected duration of the rest of the answer at the fastest of a few servers; zero while no answer of the
    /// class has ended, since the longest allowed answer says little about the usual one.
    pub(super) fn answer_us(&mut self, now_us: MonoTime, request: &Request) -> Micros {
        let Some(tokens) = self.usual_answer(request) else {
            return Micros::ZERO;
        };
        let found = self.sample_servers(now_us, request, Role::Decode);
        let entries = found.as_slice().iter().filter_map(|&server| self.directory.get(server));
        let token_us = entries.map(|entry: &ServerEntry| entry.token_us(self.settings.decode_token_us)).min();
        Micros(token_us.unwrap_or(self.settings.decode_token_us.0) * tokens.0)
    }

    fn sample_servers(&mut self, now_us: MonoTime, request: &Request, role: Role) -> Candidates {
        let mut found = Candidates::default();
        let draw =
            Draw { model: &request.arrival.model, role, count: self.settings.sample_size, exclude: &[] };
        self.directory.sample(now_us, draw, &mut self.rng, &mut found);
        found
    }
}
