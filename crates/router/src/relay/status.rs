//! Tells the balancer whether this daemon takes new callers, and whoever scrapes what it has counted.

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

/// Where the balancer asks.
const READY_PATH: &str = "/readyz";

/// Where metrics are scraped.
const METRICS_PATH: &str = "/metrics";

const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// What an address is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The balancer's question.
    Readiness,
    /// Scraping.
    Metrics,
}

/// A balancer that says nothing for so long has forgotten the connection; it asks once a second.
const IDLE: Duration = Duration::from_secs(10);

/// Answers for as long as the daemon runs.
///
/// # Errors
///
/// The system's error when the address cannot be bound.
pub async fn serve(state: Arc<RelayState>, address: SocketAddr, purpose: Purpose) -> io::Result<()> {
    let socket = TcpListener::bind(address).await?;
    answer_all(socket, move |request| answer(&state, purpose, request.uri().path())).await;
    Ok(())
}

/// Answers short questions on `socket`, without bodies and at once, for as long as the daemon runs.
pub async fn answer_all<Answer>(socket: TcpListener, answer: Answer)
where
    Answer: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            // Whoever breaks off asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

fn answer(state: &RelayState, purpose: Purpose, path: &str) -> Response<Full<Bytes>> {
    match (purpose, path) {
        (Purpose::Readiness, READY_PATH) if state.is_ready() => empty(StatusCode::OK),
        (Purpose::Readiness, READY_PATH) => empty(StatusCode::SERVICE_UNAVAILABLE),
        (Purpose::Metrics, METRICS_PATH) => {
            let mut response = Response::new(Full::new(Bytes::from(state.metrics.render())));
            response.headers_mut().insert(header::CONTENT_TYPE, METRICS_TYPE);
            response
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
