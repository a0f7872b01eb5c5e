//! HTTP endpoints for readiness probes of the load balancer and for metrics scraping.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::state::RelayState;
use crate::clock;

/// Path of the readiness probe.
const READY_PATH: &str = "/readyz";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the view of organisations, beside the metrics.
const ORGANISATIONS_PATH: &str = "/organisations";

const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Purpose of a listen address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Readiness probes.
    Readiness,
    /// Metrics scraping.
    Metrics,
}

/// Idle timeout of a connection: the load balancer probes once a second, so one that is silent for so long
/// has abandoned the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves requests for as long as the daemon runs.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn serve(state: Arc<RelayState>, address: SocketAddr, purpose: Purpose) -> io::Result<()> {
    let socket = TcpListener::bind(address).await?;
    serve_requests(socket, move |request| respond(&state, purpose, request.uri().path())).await;
    Ok(())
}

/// Serves requests without bodies that are answered immediately, for as long as the daemon runs.
pub async fn serve_requests<Respond>(socket: TcpListener, respond: Respond)
where
    Respond: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    let respond = Arc::new(respond);
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let respond = Arc::clone(&respond);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            // A client whose connection fails retries.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

fn respond(state: &RelayState, purpose: Purpose, path: &str) -> Response<Full<Bytes>> {
    match (purpose, path) {
        (Purpose::Readiness, READY_PATH) if state.is_ready() => empty(StatusCode::OK),
        (Purpose::Readiness, READY_PATH) => empty(StatusCode::SERVICE_UNAVAILABLE),
        (Purpose::Metrics, METRICS_PATH) => with_body(Bytes::from(state.metrics.render()), METRICS_TYPE),
        (Purpose::Metrics, ORGANISATIONS_PATH) => {
            match serde_json::to_vec(&state.organisations_view(clock::now())) {
                Ok(view) => with_body(Bytes::from(view), JSON_TYPE),
                Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn with_body(body: Bytes, content_type: HeaderValue) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
