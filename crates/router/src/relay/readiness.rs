//! Tells the balancer whether this daemon takes new callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::state::RelayState;

/// Where the balancer asks.
const READY_PATH: &str = "/readyz";

/// A balancer that says nothing for so long has forgotten the connection; it asks once a second.
const IDLE: Duration = Duration::from_secs(10);

/// Answers for as long as the daemon runs.
///
/// # Errors
///
/// The system's error when the address cannot be bound.
pub async fn serve(state: Arc<RelayState>, address: SocketAddr) -> io::Result<()> {
    let socket = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // A balancer that breaks off asks again.
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

fn answer(state: &RelayState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match request.uri().path() {
        READY_PATH if state.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
