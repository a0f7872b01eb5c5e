//! HTTP server of the operator API.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{PartnerId, RequestId};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::views::{
    ClassOutcomes, ConfigView, MemberView, MembersListView, OutcomesView, RequestView, StatusView,
};
use super::{OperatorSources, ReadyState};

/// Concurrent connections. Operators and scrapers need few; the limit keeps a runaway script from taking the sockets
/// that callers need.
const MAX_CONNECTIONS: usize = 64;

/// Timeout for reading a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "text/plain; version=0.0.4; charset=utf-8";

type HttpResponse = Response<Full<Bytes>>;

/// Bound listener of the operator API that does not serve yet.
#[derive(Debug)]
pub struct OperatorListener {
    socket: StdTcpListener,
}

impl OperatorListener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// The I/O error of the socket.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = StdTcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket })
    }

    /// The bound local address.
    ///
    /// # Errors
    ///
    /// The I/O error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` is cancelled. Operators need the API while the daemon drains, so stop this listener last.
    ///
    /// # Errors
    ///
    /// The I/O error when the socket cannot be registered with the runtime.
    pub async fn serve(self, sources: OperatorSources, stop: CancellationToken) -> io::Result<()> {
        let socket = TcpListener::from_std(self.socket)?;
        let sources = Arc::new(sources);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                () = stop.cancelled() => return Ok(()),
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Connections above the limit are closed at once; clients retry.
            if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
                tokio::spawn(serve_connection(stream, Arc::clone(&sources), stop.clone(), permit));
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    sources: Arc<OperatorSources>,
    stop: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = handle(&sources, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Connection errors are ignored: they affect only this client, which can retry.
        _ = connection => {}
        () = stop.cancelled() => {}
    }
}

fn handle(sources: &OperatorSources, request: &Request<Incoming>) -> HttpResponse {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered here\n");
    }
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix("/control/why/") {
        return explain_request(sources, id);
    }
    match path {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" => ready(sources),
        "/metrics" => respond(StatusCode::OK, METRICS, sources.metrics.render().into()),
        "/control/config" => config(sources, request.uri().query()),
        "/control/status" => json(&StatusView::new(sources)),
        "/control/outcomes" => json(&outcomes(sources)),
        "/control/members" => json(&members(sources)),
        _ => text(StatusCode::NOT_FOUND, "no such view\n"),
    }
}

fn ready(sources: &OperatorSources) -> HttpResponse {
    let state = sources.readiness.state();
    let status = match state {
        ReadyState::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    text(status, state.as_str())
}

fn config(sources: &OperatorSources, query: Option<&str>) -> HttpResponse {
    let partner = query.and_then(|query| query.strip_prefix("partner="));
    let Ok(only) = partner.map(str::parse::<PartnerId>).transpose() else {
        return text(StatusCode::BAD_REQUEST, "partner is not a name\n");
    };
    json(&ConfigView::new(&sources.host.id, &sources.config.state.load(), only.as_ref()))
}

fn outcomes(sources: &OperatorSources) -> OutcomesView {
    OutcomesView {
        host: sources.host.id.clone(),
        incarnation: sources.incarnation.to_string(),
        classes: sources.metrics.totals().into_iter().map(ClassOutcomes::from).collect(),
    }
}

fn members(sources: &OperatorSources) -> MembersListView {
    let view = sources.members.load();
    MembersListView {
        host: sources.host.id.clone(),
        is_heard: view.is_heard,
        members: view.all().map(MemberView::from).collect(),
    }
}

fn explain_request(sources: &OperatorSources, id: &str) -> HttpResponse {
    let Ok(request_id) = id.parse::<RequestId>() else {
        return text(StatusCode::BAD_REQUEST, "request id is not one\n");
    };
    match sources.recent.find(request_id) {
        Some(record) => json(&RequestView::new(&sources.host.id, &record)),
        None => text(StatusCode::NOT_FOUND, "request is not remembered here\n"),
    }
}

fn json<View>(view: &View) -> HttpResponse
where
    View: Serialize,
{
    match serde_json::to_vec(view) {
        Ok(encoded) => respond(StatusCode::OK, JSON, encoded.into()),
        Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "view could not be written\n"),
    }
}

fn text(status: StatusCode, message: &'static str) -> HttpResponse {
    respond(status, TEXT, Bytes::from_static(message.as_bytes()))
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
