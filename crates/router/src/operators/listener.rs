//! Serves operators by HTTP.

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
use super::{OperatorsParts, ReadyState};

/// Connections served at once. Operators and scrapers are few; more is a script gone wild, and it must not take
/// the daemon's sockets from callers.
const CONNECTIONS: usize = 64;

/// Time for a request head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "text/plain; version=0.0.4; charset=utf-8";

type Answer = Response<Full<Bytes>>;

/// A bound socket for operators that is not yet served.
#[derive(Debug)]
pub struct OperatorListener {
    socket: StdTcpListener,
}

impl OperatorListener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = StdTcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` fires. Operators are answered while the daemon drains, so stop this one last.
    ///
    /// # Errors
    ///
    /// The system's error when the socket cannot be handed to the runtime.
    pub async fn serve(self, parts: OperatorsParts, stop: CancellationToken) -> io::Result<()> {
        let socket = TcpListener::from_std(self.socket)?;
        let parts = Arc::new(parts);
        let permits = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                () = stop.cancelled() => return Ok(()),
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // A connection over the bound is closed at once; whoever waits for it asks again.
            if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
                tokio::spawn(serve_connection(stream, Arc::clone(&parts), stop.clone(), permit));
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    parts: Arc<OperatorsParts>,
    stop: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer(&parts, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A broken connection concerns nobody but the operator, who asks again.
        _ = connection => {}
        () = stop.cancelled() => {}
    }
}

fn answer(parts: &OperatorsParts, request: &Request<Incoming>) -> Answer {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered here\n");
    }
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix("/control/why/") {
        return why(parts, id);
    }
    match path {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" => ready(parts),
        "/metrics" => respond(StatusCode::OK, METRICS, parts.metrics.render().into()),
        "/control/config" => config(parts, request.uri().query()),
        "/control/status" => json(&StatusView::new(parts)),
        "/control/outcomes" => json(&outcomes(parts)),
        "/control/members" => json(&members(parts)),
        _ => text(StatusCode::NOT_FOUND, "no such view\n"),
    }
}

fn ready(parts: &OperatorsParts) -> Answer {
    let state = parts.readiness.state();
    let status = match state {
        ReadyState::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    text(status, state.as_str())
}

fn config(parts: &OperatorsParts, query: Option<&str>) -> Answer {
    let named = query.and_then(|query| query.strip_prefix("partner="));
    let Ok(only) = named.map(str::parse::<PartnerId>).transpose() else {
        return text(StatusCode::BAD_REQUEST, "partner is not a name\n");
    };
    json(&ConfigView::new(&parts.host.id, &parts.config.state.load(), only.as_ref()))
}

fn outcomes(parts: &OperatorsParts) -> OutcomesView {
    OutcomesView {
        host: parts.host.id.clone(),
        incarnation: parts.incarnation.to_string(),
        classes: parts.metrics.totals().into_iter().map(ClassOutcomes::from).collect(),
    }
}

fn members(parts: &OperatorsParts) -> MembersListView {
    let view = parts.members.load();
    MembersListView {
        host: parts.host.id.clone(),
        is_heard: view.is_heard,
        members: view.all().map(MemberView::from).collect(),
    }
}

fn why(parts: &OperatorsParts, id: &str) -> Answer {
    let Ok(request_id) = id.parse::<RequestId>() else {
        return text(StatusCode::BAD_REQUEST, "request id is not one\n");
    };
    match parts.recent.find(request_id) {
        Some(record) => json(&RequestView::new(&parts.host.id, &record)),
        None => text(StatusCode::NOT_FOUND, "request is not remembered here\n"),
    }
}

fn json<View>(view: &View) -> Answer
where
    View: Serialize,
{
    match serde_json::to_vec(view) {
        Ok(encoded) => respond(StatusCode::OK, JSON, encoded.into()),
        Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "view could not be written\n"),
    }
}

fn text(status: StatusCode, words: &'static str) -> Answer {
    respond(status, TEXT, Bytes::from_static(words.as_bytes()))
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
