//! Minimal HTTP client for calls between mock servers and for fault injection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("could not connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed during the call.
    #[error("could not complete the call: {0}")]
    Http(#[from] hyper::Error),
    /// The response body is not the expected JSON.
    #[error("could not parse the response: {0}")]
    Json(#[from] serde_json::Error),
    /// The request could not be built.
    #[error("could not build the request: {0}")]
    Request(#[from] http::Error),
    /// The status is not a success.
    #[error("refused with status {0}")]
    Refused(StatusCode),
}

/// Sends one request on a new connection; returns status and body.
///
/// # Errors
/// The connection failed before the response was complete.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, bytes))
}

/// Sends a POST request with a JSON body and parses the JSON response.
///
/// # Errors
/// No response, an error status, or a response of another type.
pub async fn post_json<Q, A>(address: SocketAddr, path: &str, body: &Q) -> Result<A, CallError>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let bytes = Bytes::from(serde_json::to_vec(body)?);
    parse(call(address, Method::POST, path, bytes).await?)
}

/// Sends a GET request and parses the JSON response.
///
/// # Errors
/// No response, an error status, or a response of another type.
pub async fn get_json<A>(address: SocketAddr, path: &str) -> Result<A, CallError>
where
    A: DeserializeOwned,
{
    parse(call(address, Method::GET, path, Bytes::new()).await?)
}

fn parse<A>((status, bytes): (StatusCode, Bytes)) -> Result<A, CallError>
where
    A: DeserializeOwned,
{
    if !status.is_success() {
        return Err(CallError::Refused(status));
    }
    Ok(serde_json::from_slice(&bytes)?)
}
