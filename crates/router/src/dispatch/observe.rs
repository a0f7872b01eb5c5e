//! Records each request: metrics, a log line, and an entry for `hibiscusvale why`.

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, ClassName, PartnerId, RequestId};
use hibiscusvale_core::sched::{
    FailReason, FailureCause, RefusalReason as SchedulerRefusal, StageEntry, WasteCause,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime, Tokens};

use crate::callers::{LanguageRequest, Outcome, PlainRequest, Refusal, RefusalReason};
use crate::clock;
use crate::dispatch::LanguageTarget;
use crate::logging::{LastStage, Log, RequestLine};
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
            Self::Held(reason) => reason.label(),
            Self::Refused => "refused",
        }
    }
}

impl From<SchedulerRefusal> for RefusalReason {
    fn from(reason: SchedulerRefusal) -> Self {
        match reason {
            SchedulerRefusal::WouldMissTarget => Self::TargetUnreachable,
            SchedulerRefusal::QueueFull => Self::QueueFull,
            SchedulerRefusal::DaemonFull => Self::Overloaded,
            SchedulerRefusal::NoServer | SchedulerRefusal::Unreachable => Self::NoBackendServer,
            SchedulerRefusal::TimeLimit => Self::TimeLimit,
        }
    }
}

impl From<FailReason> for RefusalReason {
    fn from(reason: FailReason) -> Self {
        match reason {
            FailReason::Attempts | FailReason::RetryBudget => Self::RetriesExhausted,
            FailReason::TimeLimit => Self::TimeLimit,
        }
    }
}

/// Records what happens to requests.
#[derive(Clone, Debug)]
pub struct Observer {
    metrics: Metrics,
    log: Log,
    recent: Arc<RecentRequests>,
}

impl Observer {
    /// Creates an observer that counts in `metrics`, writes to `log` and keeps the latest requests in
    /// `recent`.
    pub fn new(metrics: Metrics, log: Log, recent: Arc<RecentRequests>) -> Self {
        Self { metrics, log, recent }
    }

    /// Starts to observe a language request.
    pub fn language(&self, request: &LanguageRequest, target: LanguageTarget, now_us: MonoTime) -> Observed {
        self.begin(
            request.request_id,
            &request.partner,
            &request.head.class,
            RequestTarget::Language(target),
            now_us,
        )
    }

    /// Starts to observe a request for a plain service.
    pub fn plain(&self, request: &PlainRequest, response_ms: Millis, now_us: MonoTime) -> Observed {
        self.begin(
            request.request_id,
            &request.partner,
            &request.head.class,
            RequestTarget::Plain { response_ms },
            now_us,
        )
    }

    /// Counts a connection that was closed because of a fault of the caller.
    pub fn connection_ended<Fault>(&self, fault: Fault)
    where
        Fault: Label,
    {
        self.metrics.count_event(fault);
    }

    /// Records a request that was refused before its partner's class was looked up.
    pub fn refused_early(&self, request_id: RequestId, refusal: Refusal) {
        self.metrics.count_event(refusal.reason);
        let line = RequestLine {
            request_id,
            partner: None,
            class: None,
            outcome: refusal.outcome,
            took_ms: Millis::ZERO,
            attempts: 0,
            last_stage: None,
        };
        self.log.request_refused(line, refusal.reason);
    }

    fn begin(
        &self,
        request_id: RequestId,
        partner: &PartnerId,
        class: &ClassName,
        request_target: RequestTarget,
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
            request_target,
            arrived_us: now_us,
            first_token_us: None,
            attempts: 0,
            prefilled_tokens: Tokens::ZERO,
            stage_entry: None,
            has_ended: false,
        }
    }
}

/// Steps kept per request. A request with more steps is understood from its first ones.
const MAX_STEPS: usize = 24;

/// The target against which a request is measured.
#[derive(Clone, Copy, Debug)]
enum RequestTarget {
    Language(LanguageTarget),
    Plain { response_ms: Millis },
}

/// A request under observation. It ends with exactly one of [`Observed::answered`], [`Observed::refused`]
/// and [`Observed::caller_left`]. Dropping it earlier counts as the caller having left, because the task is
/// dropped with the connection.
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
    request_target: RequestTarget,
    arrived_us: MonoTime,
    first_token_us: Option<MonoTime>,
    attempts: u32,
    /// Tokens prefilled in the current attempt, until its first token is sent.
    prefilled_tokens: Tokens,
    stage_entry: Option<StageEntry>,
    has_ended: bool,
}

impl Drop for Observed {
    fn drop(&mut self) {
        if !self.has_ended {
            self.caller_left(clock::now());
        }
    }
}

impl Observed {
    /// Records the start of a prefill; `restart_cause` is why an earlier attempt had to be repeated.
    pub fn prefill_starts(
        &mut self,
        attempt: u32,
        server: &BackendServerId,
        restart_cause: Option<WasteCause>,
    ) {
        self.attempts = attempt;
        if let Some(cause) = restart_cause {
            self.metrics.record_retry(cause);
            self.log.request_retried(self.request_id, cause);
            self.record_waste(cause);
        }
        self.record_step("prefill", Some(server));
    }

    /// Records that `tokens` of a prompt were prefilled.
    pub fn prefilled(&mut self, tokens: Tokens) {
        self.metrics.record_prefill(tokens);
        self.prefilled_tokens = tokens;
    }

    /// Records the start of a KV cache transfer.
    pub fn import_starts(&mut self, server: &BackendServerId) {
        self.record_step("import", Some(server));
    }

    /// Records the start of a token stream, or that it is resumed by index on a new connection.
    pub fn decode_starts(&mut self, server: &BackendServerId, resume: bool) {
        if resume {
            self.metrics.record_retry(Resumed);
        }
        self.record_step(if resume { Resumed.label() } else { "decode" }, Some(server));
    }

    /// Records that a step at a backend server failed.
    pub fn step_failed(&mut self, server: &BackendServerId, cause: FailureCause) {
        self.metrics.record_retry(cause);
        self.record_step(cause.label(), Some(server));
    }

    /// Records the start of an attempt at a plain service.
    pub fn attempt_starts(&mut self, server: &BackendServerId) {
        self.attempts += 1;
        self.record_step("call", Some(server));
    }

    /// Whether an attempt was started.
    pub fn has_attempted(&self) -> bool {
        self.attempts > 0
    }

    /// Records that the first token is sent to the caller.
    pub fn first_token(&mut self, now_us: MonoTime) {
        self.first_token_us = Some(now_us);
        self.prefilled_tokens = Tokens::ZERO;
        self.metrics.record_first_token(now_us.since(self.arrived_us));
        self.record_step("first-token", None);
    }

    /// Records the stage in which the scheduler ends the request.
    pub fn ends_in(&mut self, entry: StageEntry) {
        self.stage_entry = Some(entry);
    }

    fn record_step(&mut self, what: &'static str, server: Option<&BackendServerId>) {
        if self.steps.len() < MAX_STEPS {
            let after_ms = clock::now().since(self.arrived_us).to_millis_ceil();
            self.steps.push(RequestStep { after_ms, what, server: server.cloned() });
        }
    }

    /// Records that the request was answered; `tokens` is zero for a plain request.
    pub fn answered(&mut self, now_us: MonoTime, tokens: Tokens) {
        let met_targets = match self.request_target {
            RequestTarget::Language(target) => self.language_targets_met(target, now_us, tokens),
            RequestTarget::Plain { response_ms } => now_us <= self.arrived_us + response_ms,
        };
        if met_targets {
            self.metrics.record_goodput();
        }
        self.metrics.record_outcome(Outcome::Answered);
        self.log.request_finished(self.log_line(now_us, Outcome::Answered));
        self.record_recent(now_us, Outcome::Answered.label(), None);
    }

    fn language_targets_met(&self, target: LanguageTarget, now_us: MonoTime, tokens: Tokens) -> bool {
        let Some(first_us) = self.first_token_us else {
            return false;
        };
        let further_tokens = tokens.0.saturating_sub(1);
        if let Some(per_token_us) = now_us.since(first_us).0.checked_div(further_tokens) {
            self.metrics.record_per_token(Micros(per_token_us));
        }
        let allowed_us = Micros::from(target.per_token_ms).0.saturating_mul(further_tokens);
        first_us <= self.arrived_us + target.first_token_ms && now_us.since(first_us).0 <= allowed_us
    }

    /// Records that the request was refused, or ended without an answer.
    pub fn refused(&mut self, now_us: MonoTime, refusal: Refusal) {
        self.metrics.record_refusal(refusal.reason);
        self.metrics.record_outcome(refusal.outcome);
        self.log.request_refused(self.log_line(now_us, refusal.outcome), refusal.reason);
        self.record_recent(now_us, refusal.outcome.label(), Some(refusal.reason.label()));
    }

    /// Records that the caller left before the request ended.
    pub fn caller_left(&mut self, now_us: MonoTime) {
        self.record_waste(WasteCause::CallerLeft);
        self.metrics.record_outcome(CallerLeft);
        self.log.request_finished(self.log_line(now_us, CallerLeft));
        self.record_recent(now_us, CallerLeft.label(), None);
    }

    fn record_recent(&mut self, now_us: MonoTime, outcome: &'static str, refusal: Option<&'static str>) {
        self.has_ended = true;
        self.recent.insert(RequestRecord {
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

    fn record_waste(&mut self, cause: WasteCause) {
        let tokens = std::mem::take(&mut self.prefilled_tokens);
        if tokens > Tokens::ZERO {
            self.metrics.record_wasted_prefill(cause, tokens);
        }
    }

    fn log_line<Ending>(&self, now_us: MonoTime, outcome: Ending) -> RequestLine<'_, Ending> {
        RequestLine {
            request_id: self.request_id,
            partner: Some(&self.partner),
            class: Some(&self.class),
            outcome,
            took_ms: now_us.since(self.arrived_us).to_millis_ceil(),
            attempts: self.attempts,
            last_stage: self.stage_entry.map(|entry| LastStage {
                stage: entry.stage,
                lasted_ms: now_us.since(entry.since_us).to_millis_ceil(),
            }),
        }
    }
}

/// Label in place of an outcome for a request whose caller left.
#[derive(Clone, Copy, Debug)]
struct CallerLeft;

impl Label for CallerLeft {
    fn label(self) -> &'static str {
        "caller-left"
    }
}

/// Label of a stream that was resumed on a new connection.
#[derive(Clone, Copy, Debug)]
struct Resumed;

impl Label for Resumed {
    fn label(self) -> &'static str {
        "resumed"
    }
}
