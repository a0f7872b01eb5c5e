//! HTTP service that passes callers' requests to the dispatcher.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use arc_swap::ArcSwap;
use hibiscusvale_core::config::{ClassTarget, ConfigState, TargetKind};
use hibiscusvale_core::ids::{ClassName, Incarnation, PartnerId, RequestId};
use hibiscusvale_core::units::Millis;
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use tower::Service;

use super::auth::Tokens;
use super::body::BodyReader;
use super::head::{self, Head};
use super::language::{self, AnswerContext, Api, LanguageRequest};
use super::plain::PlainRequest;
use super::refusal::{Refusal, RefusalReason};
use super::response::{self, AnswerBody};
use crate::clock;
use crate::dispatch::{Dispatcher, LanguageTarget};
use crate::settings::RouteSettings;

const SERVICE_HEADER: &str = "x-service";

const TICKETS_PATH: &str = "/v1/tickets";

/// Retry delay for a partner that has reached its limit of tickets; tickets expire within minutes.
const TICKET_RETRY_AFTER_MS: Millis = Millis(10_000);

/// Retry delay for callers of a daemon that has just started; it learns the configuration from its peers or
/// the log within seconds.
const CONFIG_RETRY_AFTER_MS: Millis = Millis(1_000);

/// State shared by all connections.
#[derive(Debug)]
pub struct CallerState {
    /// Partners by token.
    pub tokens: Tokens,
    /// Path prefixes of plain services.
    pub routes: Vec<RouteSettings>,
    /// Reads request bodies.
    pub bodies: BodyReader,
    /// Runs the requests.
    pub dispatcher: Arc<Dispatcher>,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigState>>,
    /// This daemon's incarnation.
    pub incarnation: Incarnation,
    /// Number of requests received by this incarnation.
    pub sequence: AtomicU64,
}

impl CallerState {
    /// Returns a request id that has not been used before.
    pub fn next_id(&self) -> RequestId {
        RequestId { incarnation: self.incarnation, sequence: self.sequence.fetch_add(1, Ordering::Relaxed) }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut response = self.serve_one(request).await;
        if is_chunked {
            // A request may have both a transfer encoding and a length, and a proxy in front of this host
            // may have used the length: what follows on the connection would then be a request that nobody
            // made. The library uses the encoding and hides the length, so nothing after a chunked body is
            // read at all (RFC 9112, section 6.1).
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve_one(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let request_id = self.next_id();
        match self.try_serve(request_id, request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.dispatcher.observer.refused_early(request_id, refusal);
                refusal.into_response(request_id)
            }
        }
    }

    /// Refusals returned from here occurred before the dispatcher took the request, so they have not been
    /// counted yet.
    async fn try_serve(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let unauthenticated = Refusal::not_run(RefusalReason::Unauthenticated);
        let partner = self.tokens.partner(request.headers()).ok_or(unauthenticated)?.clone();
        if (request.method(), request.uri().path()) == (&Method::POST, TICKETS_PATH) {
            return self.issue_ticket(request_id, &partner);
        }
        if let Some(ticket) =
            head::ticket(request.headers())?.filter(|ticket| self.dispatcher.is_for_other_daemon(ticket))
        {
            let (parts, body) = request.into_parts();
            let body = self.bodies.read(&partner, body).await?.into_bytes();
            return self.dispatcher.forward(&ticket, parts, body).await;
        }
        let head = Head::read(request.headers(), clock::now())?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, path) if path == Api::Completions.path() => {
                self.language(request_id, partner, head, Api::Completions, request).await
            }
            (&Method::POST, path) if path == Api::Chat.path() => {
                self.language(request_id, partner, head, Api::Chat, request).await
            }
            _ => self.plain(request_id, partner, head, request).await,
        }
    }

    /// Issues a ticket: an identifier for one request that only this daemon incarnation may run.
    fn issue_ticket(
        &self,
        request_id: RequestId,
        partner: &PartnerId,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let ticket = self.dispatcher.tickets.issue(partner).map_err(|_full| {
            Refusal::not_run(RefusalReason::TooManyTickets).retry_after(TICKET_RETRY_AFTER_MS)
        })?;
        Ok(response::ticket(request_id, &ticket))
    }

    async fn language(
        &self,
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        api: Api,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let body = self.bodies.read(&partner, request.into_body()).await?;
        let request = LanguageRequest::read(request_id, partner, head, api, body)?;
        let context = AnswerContext::of(&request);
        let stream = request.stream;
        let target = self.language_target(&request)?;
        let parts = self.dispatcher.language(request, target)?;
        Ok(language::answer(context, stream, parts).await)
    }

    async fn plain(
        &self,
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let service = self.service_of(&request).ok_or(Refusal::not_run(RefusalReason::NoRoute))?;
        let (parts, body) = request.into_parts();
        let body = self.bodies.read(&partner, body).await?.into_bytes();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let request = PlainRequest {
            request_id,
            partner,
            head,
            service,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        };
        let response_ms = self.plain_target(&request)?;
        Ok(match self.dispatcher.plain(request, response_ms).await {
            Ok(response) => response,
            Err(refusal) => refusal.into_response(request_id),
        })
    }

    /// The target of a language request's class.
    fn language_target(&self, request: &LanguageRequest) -> Result<LanguageTarget, Refusal> {
        match self.class_target(&request.partner, &request.head.class)?.kind {
            TargetKind::Language { first_token_ms, per_token_ms } => {
                Ok(LanguageTarget { first_token_ms, per_token_ms })
            }
            TargetKind::Plain { .. } => Err(Refusal::not_run(RefusalReason::WrongClass)),
        }
    }

    /// The target of a plain request's class.
    fn plain_target(&self, request: &PlainRequest) -> Result<Millis, Refusal> {
        match self.class_target(&request.partner, &request.head.class)?.kind {
            TargetKind::Plain { response_ms } => Ok(response_ms),
            TargetKind::Language { .. } => Err(Refusal::not_run(RefusalReason::WrongClass)),
        }
    }

    /// The target of a class in the configuration in force. A daemon that does not know the configuration
    /// yet does not report a class as unknown; it asks the caller to retry.
    fn class_target(&self, partner: &PartnerId, class: &ClassName) -> Result<ClassTarget, Refusal> {
        let config = self.config.load();
        if let Some(target) = config.class(partner, class) {
            return Ok(*target);
        }
        if config.is_known() {
            Err(Refusal::not_run(RefusalReason::UnknownClass))
        } else {
            Err(Refusal::not_run(RefusalReason::NoConfiguration).retry_after(CONFIG_RETRY_AFTER_MS))
        }
    }

    fn service_of(&self, request: &Request<Incoming>) -> Option<String> {
        if let Some(named) = request.headers().get(SERVICE_HEADER) {
            return named.to_str().ok().map(str::to_owned);
        }
        let path = request.uri().path();
        self.routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .map(|route| route.service.clone())
    }
}

/// The HTTP service of each caller's connection.
#[derive(Clone, Debug)]
pub struct CallerService {
    state: Arc<CallerState>,
}

impl CallerService {
    /// Creates a service on the shared `state`.
    pub fn new(state: Arc<CallerState>) -> Self {
        Self { state }
    }
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        let state = Arc::clone(&self.state);
        Box::pin(async move { Ok(state.serve(req).await) })
    }
}
