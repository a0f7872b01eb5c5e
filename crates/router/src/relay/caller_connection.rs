//! A caller's connection from its first request to its end.

use std::error::Error;
use std::pin::{self, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming as CallerBody;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::sync::CancellationToken;

use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use super::stop::STOPPING_RETRY_MS;
use crate::callers::{AnswerBody, CallerStream, PendingWrites};
use crate::metrics::Label as _;

/// Time for which a caller may go on sending after its connection was refused. Bytes that arrive at a closed socket would
/// reset the connection, and the caller could lose its answer.
const LINGER: Duration = Duration::from_millis(100);

/// Requests of a connection whose answers have not been written completely.
#[derive(Clone, Debug, Default)]
pub struct ConnectionUse {
    requests: Arc<AtomicUsize>,
    /// Whether any request has begun.
    is_used: Arc<AtomicBool>,
    /// Bytes that the connection has not taken.
    pub writes: PendingWrites,
}

/// A request that uses its connection until the end of its answer.
#[derive(Debug)]
pub struct RequestInUse(Arc<AtomicUsize>);

impl Drop for RequestInUse {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RequestInUse {
    /// Ties it to the answer.
    pub fn until_end_of(self, response: Response<AnswerBody>) -> Response<AnswerBody> {
        response.map(|body| {
            let held = body.map_err(move |broken| {
                let _in_use = &self;
                broken
            });
            held.boxed_unsync()
        })
    }
}

impl ConnectionUse {
    /// Begins a request.
    pub fn begin(&self) -> RequestInUse {
        self.is_used.store(true, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestInUse(Arc::clone(&self.requests))
    }

    /// Whether it is idle after a request.
    fn is_kept(&self) -> bool {
        self.is_used.load(Ordering::Relaxed) && self.is_idle()
    }

    fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.writes.is_any()
    }
}

/// Serves a connection. Once `closing` fires, a connection that is kept open takes no further request. When the last answers
/// of a stop are due, no connection does. A request whose head is incomplete is refused as not run.
pub async fn serve<Service>(
    state: Arc<RelayState>,
    mut connection: http1::Connection<TokioIo<CallerStream>, Service>,
    usage: ConnectionUse,
    closing: CancellationToken,
) where
    Service: HttpService<CallerBody, ResBody = AnswerBody> + Unpin,
    Service::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut due = pin!(state.stop.answers_due());
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            // A caller may abort its connection at any time; nothing depends on the result.
            _ = &mut connection => return,
            () = closing.cancelled(), if !is_closing => {
                // The library would close it without an answer, even if it has received a part of the next head.
                if usage.is_kept() {
                    break;
                }
                is_closing = true;
                pin::Pin::new(&mut connection).graceful_shutdown();
            }
            () = &mut due => break,
        }
    }
    if usage.is_idle() {
        let http1::Parts { io, read_buf, .. } = connection.into_parts();
        if !read_buf.is_empty() {
            state.metrics.record_rejected(Reason::Stopping.label());
            refuse(&state, io.into_inner()).await;
        }
    } else {
        let _ = connection.await;
    }
}

/// Refuses a request whose head is incomplete.
async fn refuse(state: &RelayState, mut stream: CallerStream) {
    let refusal = Refusal::retry_after(Reason::Stopping, STOPPING_RETRY_MS);
    let text = refusal.reason.label();
    let response = refusal.into_response(&*state.wire);
    let mut answer = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        answer.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    answer.extend(format!("{}: {}\r\n\r\n{text}", header::CONTENT_LENGTH, text.len()).into_bytes());
    let linger = async {
        stream.write_all(&answer).await?;
        stream.shutdown().await?;
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    };
    // The caller may have left.
    let _ = tokio::time::timeout(LINGER, linger).await;
}
