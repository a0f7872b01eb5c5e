//! What is noted of each request: counters, a log line, and a record for `hibiscusvale why`.

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, ClassName, PartnerId, RequestId};
use hibiscusvale_core::sched::{FailureCause, RefusalReason as Refused, WasteCause};
use hibiscusvale_core::units::{Micros, Millis, MonoTime, Tokens};

use crate::callers::{LanguageRequest, Outcome, PlainRequest, Refusal, RefusalReason};
use crate::clock;
use crate::dispatch::LanguageTarget;
use crate::logging::{Log, RequestLine};
use crate::metrics::{ClassMetrics, Label, Metrics};
use crate::operators::{RecentRequests, RequestRecord, RequestStep};

impl Label for Outcome {
    fn label(self) -> &'static str {
        self.as_str()
    }
}

impl Label for RefusalReason {
    fn label(self) -> &'static str {
        self.as_str()
    }
}

impl Label for WasteCause {
    fn label(self) -> &'static str {
        self.as_str()
    }
}

impl Label for FailureCause {
    fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::NoRoom => "no-room",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::Limited => "limited",
            Self::Refused => "refused",
        }
    }
}

impl From<Refused> for RefusalReason {
    fn from(reason: Refused) -> Self {
        match reason {
            Refused::WouldMissTarget => Self::TargetUnreachable,
            Refused::QueueFull => Self::QueueFull,
            Refused::DaemonFull => Self::Overloaded,
            Refused::NoServer | Refused::Unreachable => Self::NoBackendServer,
        }
    }
}

/// Notes what happens to requests.
#[derive(Clone, Debug)]
pub struct Observer {
    metrics: Metrics,
    log: Log,
    recent: Arc<RecentRequests>,
}

impl Observer {
    /// An observer that counts in `metrics`, writes to `log` and keeps the latest requests in `recent`.
    pub fn new(metrics: Metrics, log: Log, recent: Arc<RecentRequests>) -> Self {
        Self { metrics, log, recent }
    }

    /// Starts to observe a language request.
    pub fn language(&self, request: &LanguageRequest, target: LanguageTarget, now_us: MonoTime) -> Observed {
        self.begin(
            request.request_id,
            &request.partner,
            &request.head.class,
            Subject::Language(target),
            now_us,
        )
    }

    /// Starts to observe a request for a plain service.
    pub fn plain(&self, request: &PlainRequest, response_ms: Millis, now_us: MonoTime) -> Observed {
        self.begin(
            request.request_id,
            &request.partner,
            &request.head.class,
            Subject::Plain { response_ms },
            now_us,
        )
    }

    /// A caller's connection was ended for what came on it.
    pub fn connection_ended<Fault>(&self, fault: Fault)
    where
        Fault: Label,
    {
        self.metrics.event(fault);
    }

    /// A request was refused before its partner's class was looked at.
    pub fn refused_early(&self, request_id: RequestId, refusal: Refusal) {
        self.metrics.event(refusal.reason);
        let line = RequestLine {
            request_id,
            partner: None,
            class: None,
            outcome: refusal.outcome,
            took_ms: Millis::ZERO,
            attempts: 0,
        };
        self.log.request_refused(line, refusal.reason);
    }

    fn begin(
        &self,
        request_id: RequestId,
        partner: &PartnerId,
        class: &ClassName,
        subject: Subject,
        now_us: MonoTime,
    ) -> Observed {
        Observed {
            metrics: self.metrics.class(partner, class),
            log: self.log.clone(),
            recent: Arc::clone(&self.recent),
            came_at_unix_ms: clock::unix_ms(),
            steps: Vec::new(),
            request_id,
            partner: partner.clone(),
            class: class.clone(),
            subject,
            arrived_us: now_us,
            first_token_us: None,
            attempts: 0,
            prefilled_tokens: Tokens::ZERO,
            has_ended: false,
        }
    }
}

/// Steps remembered of one request. A request with more has told its story by then.
const STEPS_MAX: usize = 24;

/// The target that a request is measured by.
#[derive(Clone, Copy, Debug)]
enum Subject {
    Language(LanguageTarget),
    Plain { response_ms: Millis },
}

/// One request under observation. Ends with exactly one of [`Observed::answered`], [`Observed::refused`] and
/// [`Observed::left`]; dropped before that, its caller left: its task goes with the connection.
#[derive(Debug)]
pub struct Observed {
    metrics: Arc<ClassMetrics>,
    log: Log,
    recent: Arc<RecentRequests>,
    came_at_unix_ms: u64,
    steps: Vec<RequestStep>,
    request_id: RequestId,
    partner: PartnerId,
    class: ClassName,
    subject: Subject,
    arrived_us: MonoTime,
    first_token_us: Option<MonoTime>,
    attempts: u32,
    /// Prefill work of the present try that has not become tokens yet.
    prefilled_tokens: Tokens,
    has_ended: bool,
}

impl Drop for Observed {
    fn drop(&mut self) {
        if !self.has_ended {
            self.left(clock::now());
        }
    }
}

impl Observed {
    /// A try begins; `redo` says why there was one before.
    pub fn prefill_starts(
        &mut self,
        attempt: u32,
        server: &BackendServerId,
        restart_cause: Option<WasteCause>,
    ) {
        self.attempts = attempt;
        if let Some(cause) = restart_cause {
            self.metrics.retried(cause);
            self.log.request_retried(self.request_id, cause);
            self.waste(cause);
        }
        self.step("prefill", Some(server));
    }

    /// A prompt was read.
    pub fn prefilled(&mut self, tokens: Tokens) {
        self.metrics.prefilled(tokens);
        self.prefilled_tokens = tokens;
    }

    /// A KV cache begins to move.
    pub fn import_starts(&mut self, server: &BackendServerId) {
        self.step("import", Some(server));
    }

    /// A token stream begins, or is resumed by index on a new connection.
    pub fn decode_starts(&mut self, server: &BackendServerId, resume: bool) {
        if resume {
            self.metrics.retried(Resumed);
        }
        self.step(if resume { Resumed.label() } else { "decode" }, Some(server));
    }

    /// A step at a backend server failed.
    pub fn step_failed(&mut self, server: &BackendServerId, cause: FailureCause) {
        self.metrics.retried(cause);
        self.step(cause.label(), Some(server));
    }

    /// A try at a plain service begins.
    pub fn tried(&mut self, server: &BackendServerId) {
        self.attempts += 1;
        self.step("call", Some(server));
    }

    /// The first token goes to the caller.
    pub fn first_token(&mut self, now_us: MonoTime) {
        self.first_token_us = Some(now_us);
        self.prefilled_tokens = Tokens::ZERO;
        self.metrics.first_token(now_us.since(self.arrived_us));
        self.step("first-token", None);
    }

    fn step(&mut self, what: &'static str, server: Option<&BackendServerId>) {
        if self.steps.len() < STEPS_MAX {
            let after_ms = clock::now().since(self.arrived_us).to_millis_ceil();
            self.steps.push(RequestStep { after_ms, what, server: server.cloned() });
        }
    }

    /// The request was answered; `tokens` is zero for a plain one.
    pub fn answered(&mut self, now_us: MonoTime, tokens: Tokens) {
        let good = match self.subject {
            Subject::Language(target) => self.language_targets_met(target, now_us, tokens),
            Subject::Plain { response_ms } => now_us <= self.arrived_us + response_ms,
        };
        if good {
            self.metrics.met_targets();
        }
        self.metrics.finished(Outcome::Answered);
        self.log.request_finished(self.line(now_us, Outcome::Answered));
        self.remember(now_us, Outcome::Answered.label(), None);
    }

    fn language_targets_met(&self, target: LanguageTarget, now_us: MonoTime, tokens: Tokens) -> bool {
        let Some(first_us) = self.first_token_us else {
            return false;
        };
        let further = tokens.0.saturating_sub(1);
        if let Some(per_token_us) = now_us.since(first_us).0.checked_div(further) {
            self.metrics.per_token(Micros(per_token_us));
        }
        let allowed_us = Micros::from(target.per_token_ms).0.saturating_mul(further);
        first_us <= self.arrived_us + target.first_token_ms && now_us.since(first_us).0 <= allowed_us
    }

    /// The request was refused, or ended without an answer.
    pub fn refused(&mut self, now_us: MonoTime, refusal: Refusal) {
        self.metrics.refused(refusal.reason);
        self.metrics.finished(refusal.outcome);
        self.log.request_refused(self.line(now_us, refusal.outcome), refusal.reason);
        self.remember(now_us, refusal.outcome.label(), Some(refusal.reason.label()));
    }

    /// The caller left before the end.
    pub fn left(&mut self, now_us: MonoTime) {
        self.waste(WasteCause::CallerLeft);
        self.metrics.finished(CallerLeft);
        self.log.request_finished(self.line(now_us, CallerLeft));
        self.remember(now_us, CallerLeft.label(), None);
    }

    fn remember(&mut self, now_us: MonoTime, outcome: &'static str, refusal: Option<&'static str>) {
        self.has_ended = true;
        self.recent.note(RequestRecord {
            request_id: self.request_id,
            partner: Some(self.partner.clone()),
            class: Some(self.class.clone()),
            outcome,
            refusal,
            came_at_unix_ms: self.came_at_unix_ms,
            took_ms: now_us.since(self.arrived_us).to_millis_ceil(),
            steps: std::mem::take(&mut self.steps),
        });
    }

    fn waste(&mut self, cause: WasteCause) {
        let tokens = std::mem::take(&mut self.prefilled_tokens);
        if tokens > Tokens::ZERO {
            self.metrics.wasted_prefill(cause, tokens);
        }
    }

    fn line<Ending>(&self, now_us: MonoTime, outcome: Ending) -> RequestLine<'_, Ending> {
        RequestLine {
            request_id: self.request_id,
            partner: Some(&self.partner),
            class: Some(&self.class),
            outcome,
            took_ms: now_us.since(self.arrived_us).to_millis_ceil(),
            attempts: self.attempts,
        }
    }
}

/// A caller who left has no outcome; the request is counted under this label.
#[derive(Clone, Copy, Debug)]
struct CallerLeft;

impl Label for CallerLeft {
    fn label(self) -> &'static str {
        "caller-left"
    }
}

/// A stream taken up again on a new connection.
#[derive(Clone, Copy, Debug)]
struct Resumed;

impl Label for Resumed {
    fn label(self) -> &'static str {
        "resumed"
    }
}
