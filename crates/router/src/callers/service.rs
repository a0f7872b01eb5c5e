//! From a caller's HTTP request to the dispatcher and back.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{Incarnation, PartnerId, RequestId};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tower::Service;

use super::auth::Tokens;
use super::head::Head;
use super::language::{self, AnswerStyle, LanguageRequest, Shape};
use super::plain::PlainRequest;
use super::refusal::{Refusal, RefusalReason};
use super::response::AnswerBody;
use crate::dispatch::Dispatcher;
use crate::settings::{LimitSettings, RouteSettings};

const SERVICE_HEADER: &str = "x-service";

/// What every connection shares.
#[derive(Debug)]
pub struct CallerState {
    /// Partners by token.
    pub tokens: Tokens,
    /// Paths of plain services.
    pub routes: Vec<RouteSettings>,
    /// Bounds on what callers send.
    pub limits: LimitSettings,
    /// Carries requests out.
    pub dispatcher: Arc<Dispatcher>,
    /// This daemon's life.
    pub incarnation: Incarnation,
    /// Requests taken in by this life.
    pub sequence: AtomicU64,
}

impl CallerState {
    /// An id that no request had before.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let request_id = self.next_id();
        match self.try_serve(request_id, request).await {
            Ok(response) => response,
            Err(refusal) => refusal.into_response(request_id),
        }
    }

    async fn try_serve(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let unauthenticated = Refusal::not_run(RefusalReason::Unauthenticated);
        let partner = self
            .tokens
            .partner(request.headers())
            .ok_or(unauthenticated)?
            .clone();
        let head = Head::read(request.headers())?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => {
                self.language(request_id, partner, head, Shape::Completions, request)
                    .await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.language(request_id, partner, head, Shape::Chat, request)
                    .await
            }
            _ => self.plain(request_id, partner, head, request).await,
        }
    }

    async fn language(
        &self,
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        shape: Shape,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let body = self.read_body(request.into_body()).await?;
        let request = LanguageRequest::read(request_id, partner, head, shape, &body)?;
        let style = AnswerStyle::of(&request);
        let stream = request.stream;
        let parts = self.dispatcher.language(request)?;
        Ok(language::answer(style, stream, parts).await)
    }

    async fn plain(
        &self,
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let service = self
            .service_of(&request)
            .ok_or(Refusal::not_run(RefusalReason::NoRoute))?;
        let (parts, body) = request.into_parts();
        let body = self.read_body(body).await?;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned();
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
        self.dispatcher.plain(request).await
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

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit_bytes = usize::try_from(self.limits.body_bytes.0).unwrap_or(usize::MAX);
        // A length announced as too large is refused before a byte of it is read.
        if body.size_hint().lower() > self.limits.body_bytes.0 {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        let timeout = Duration::from(self.limits.body_timeout_ms);
        match tokio::time::timeout(timeout, Limited::new(body, limit_bytes).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(Refusal::not_run(RefusalReason::BodyTooLarge))
            }
            Ok(Err(_)) => Err(Refusal::not_run(RefusalReason::BodyTruncated)),
            Err(_) => Err(Refusal::not_run(RefusalReason::BodyTooSlow)),
        }
    }
}

/// The service behind each caller's connection.
#[derive(Clone, Debug)]
pub struct CallerService {
    state: Arc<CallerState>,
}

impl CallerService {
    /// Makes the service.
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
