//! Answers that the router gives itself: refusals and failures.

use bytes::Bytes;
use hibiscusvale_core::relay::engines::EngineRefusal;
use hibiscusvale_core::relay::partners::UnknownCaller;
use hibiscusvale_core::sched::PlainRefusal;
use hibiscusvale_core::units::Millis;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

use super::interfaces::Wire;
use crate::callers::AnswerBody;
use crate::metrics::Label;

/// Why the router answers itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time or broke off.
    BodyIncomplete,
    /// Other requests hold the memory that its body would take.
    NoMemory,
    /// No route matches the host and path.
    NoRoute,
    /// The request carries no key, and its route requires one.
    NoKey,
    /// No organisation has the request's key.
    UnknownKey,
    /// This daemon has no routes yet, or cannot tell whether its routes are still current.
    NoTable,
    /// The organisation's quota is used up.
    OverQuota,
    /// The organisation asks for more than its share of a service whose capacity is short.
    OverShare,
    /// No daemon that manages the organisation's quota replied.
    QuotaUnknown,
    /// No server of the service accepts requests.
    NoServer,
    /// The caller resumes a stream, and it is not known at which software version the stream began.
    VersionUnknown,
    /// No server of the software version that began the stream accepts requests.
    VersionGone,
    /// All servers of the service have asked for a rest.
    ServersResting,
    /// The request would have to queue for too long.
    WouldWaitTooLong,
    /// Every server that was tried refused.
    ServersFull,
    /// The request is quarantined: servers crashed under it.
    CrashesServers,
    /// The daemon stops, and the request could not end before the process does.
    Stopping,
    /// The daemon stops, and a server had not answered the request when the last answers were due.
    StopOver,
    /// A server received the request and did not answer in time.
    NoAnswerInTime,
    /// A server received the request and gave no usable answer.
    NoAnswer,
}

impl Label for Reason {
    fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::NoMemory => "no-memory",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::NoTable => "no-table",
            Self::OverQuota => "over-quota",
            Self::OverShare => "over-share",
            Self::QuotaUnknown => "quota-unknown",
            Self::NoServer => "no-server",
            Self::VersionUnknown => "version-unknown",
            Self::VersionGone => "version-gone",
            Self::ServersResting => "servers-resting",
            Self::WouldWaitTooLong => "would-wait-too-long",
            Self::ServersFull => "servers-full",
            Self::CrashesServers => "crashes-servers",
            Self::Stopping => "stopping",
            Self::StopOver => "stop-over",
            Self::NoAnswerInTime => "no-answer-in-time",
            Self::NoAnswer => "no-answer",
        }
    }
}

impl Reason {
    /// All reasons.
    const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::BodyIncomplete,
        Self::NoMemory,
        Self::NoRoute,
        Self::NoKey,
        Self::UnknownKey,
        Self::NoTable,
        Self::OverQuota,
        Self::OverShare,
        Self::QuotaUnknown,
        Self::NoServer,
        Self::VersionUnknown,
        Self::VersionGone,
        Self::ServersResting,
        Self::WouldWaitTooLong,
        Self::ServersFull,
        Self::CrashesServers,
        Self::Stopping,
        Self::StopOver,
        Self::NoAnswerInTime,
        Self::NoAnswer,
    ];

    /// The reason with this label.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.label() == label)
    }

    /// Whether another daemon may take a request that one refuses for this reason: it has other servers in reach, other
    /// requests waiting, or its own share of what servers, budgets and its memory allow.
    pub fn is_of_one_daemon(self) -> bool {
        matches!(
            self,
            Self::NoMemory
                | Self::NoServer
                | Self::NoTable
                | Self::WouldWaitTooLong
                | Self::ServersFull
                | Self::Stopping
        )
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            // These statuses promise that the request has not run and never will.
            Self::NoMemory
            | Self::NoTable
            | Self::NoServer
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::ServersResting
            | Self::WouldWaitTooLong
            | Self::ServersFull
            | Self::CrashesServers
            | Self::Stopping
            | Self::OverShare
            | Self::QuotaUnknown => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            // These statuses promise nothing about execution.
            Self::NoAnswerInTime | Self::StopOver => StatusCode::GATEWAY_TIMEOUT,
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
        }
    }
}

impl From<UnknownCaller> for Reason {
    fn from(unknown: UnknownCaller) -> Self {
        match unknown {
            UnknownCaller::NoKey => Self::NoKey,
            UnknownCaller::UnknownKey => Self::UnknownKey,
        }
    }
}

impl From<PlainRefusal> for Reason {
    fn from(refusal: PlainRefusal) -> Self {
        match refusal {
            PlainRefusal::WouldWaitTooLong | PlainRefusal::QueueFull => Self::WouldWaitTooLong,
            PlainRefusal::NoInstance => Self::NoServer,
            PlainRefusal::Resting => Self::ServersResting,
            PlainRefusal::RetriesExhausted => Self::ServersFull,
        }
    }
}

impl From<EngineRefusal> for Reason {
    fn from(refusal: EngineRefusal) -> Self {
        match refusal {
            EngineRefusal::WouldWaitTooLong => Self::WouldWaitTooLong,
            EngineRefusal::NoEngine => Self::NoServer,
            EngineRefusal::VersionGone => Self::VersionGone,
            EngineRefusal::Resting => Self::ServersResting,
            EngineRefusal::RetriesExhausted => Self::ServersFull,
        }
    }
}

/// An answer that the router gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Retry-After; `None` if no time can be given.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// A refusal without Retry-After.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry_after_ms: None }
    }

    /// A refusal with Retry-After.
    pub fn retry_after(reason: Reason, retry_after_ms: Millis) -> Self {
        Self { reason, retry_after_ms: Some(retry_after_ms) }
    }

    /// Whether it promises that the request has not run and never will.
    pub fn is_not_run(self) -> bool {
        matches!(self.reason.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }

    /// The refusal for a request that a server may have run, which must not promise that it has not.
    #[must_use]
    pub fn unless_run(self, may_have_run: bool) -> Self {
        if may_have_run { Self::new(Reason::NoAnswer) } else { self }
    }

    /// Whether bytes of the body may follow on the connection, which then takes no further request.
    pub fn leaves_body_unread(self) -> bool {
        matches!(self.reason, Reason::BodyIncomplete | Reason::NoMemory | Reason::Stopping)
    }

    /// Converts it into the answer to the caller.
    pub fn into_response(self, wire: &dyn Wire) -> Response<AnswerBody> {
        let text = Bytes::from_static(self.reason.label().as_bytes());
        let mut response = Response::new(Full::new(text).map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(wait_ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, wire.retry_after(wait_ms));
        }
        if matches!(self.reason, Reason::NoKey | Reason::UnknownKey) {
            headers.insert(header::WWW_AUTHENTICATE, wire.credentials_scheme());
        }
        if self.leaves_body_unread() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
