//! Checks whether answers that are delimited by their connection are complete.
//!
//! A process that ends closes its connections like one that has finished its answers, and its address may be in use
//! again at once. The end of a connection counts as the end of the answer only if the same run of the server answers a
//! call that is sent after it. One call serves all answers of a server that ended before it was sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hibiscusvale_core::ids::{BackendServerId, Lifetime};
use hibiscusvale_core::sched::FailureCause;
use http::StatusCode;
use parking_lot::Mutex;

use super::hop;
use super::leaving_checks;
use super::state::RelayState;
use super::statements::CallKind;
use crate::backend::{ConnectionReuse, EndCheck, EndEvidence, ServerRun};
use crate::directory::{BackendKind, BackendServer};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a server that accepts connections and has not answered is not called again, for answers that can go on
/// elsewhere while their callers wait.
const SILENCE_MAX: Duration = Duration::from_millis(700);

/// The same for answers that cannot. A busy server resets new connections for a while.
const LAST_SILENCE_MAX: Duration = Duration::from_secs(3);

/// Pause after a call without an answer. A busy server may reset a new connection.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// The run of a server that was sent a request.
#[derive(Clone, Debug)]
pub struct ExpectedRun {
    server: BackendServerId,
    at: SocketAddr,
    /// Run as listed when the request was sent; `None` where an id is never used again.
    lifetime: Option<Lifetime>,
    is_engine: bool,
    /// Time for which it is called until it answers.
    silence_max: Duration,
}

impl ExpectedRun {
    /// The run of `server` at `at` as listed now, for an answer that can go on elsewhere if `is_repeatable`.
    pub fn listed(state: &RelayState, server: &BackendServerId, at: SocketAddr, is_repeatable: bool) -> Self {
        let listing = state.directory.listing();
        let listed: Option<&BackendServer> = listing.servers.get(server).map(AsRef::as_ref);
        Self {
            server: server.clone(),
            at,
            lifetime: listed.and_then(|listed| listed.lifetime),
            is_engine: listed.is_some_and(|listed| matches!(listed.kind, BackendKind::Engine { .. })),
            silence_max: if is_repeatable { SILENCE_MAX } else { LAST_SILENCE_MAX },
        }
    }
}

/// What a server has answered to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    /// The server that was meant; its run if it reports one.
    Server(Option<Lifetime>),
    /// Another server.
    OtherServer,
    /// None, or none of the server itself.
    None,
    /// The server must not be called now.
    Held,
}

/// The last call to a server.
type LastCall = tokio::sync::Mutex<Option<(Instant, Reply)>>;

/// Calls to servers whose answers have ended.
#[derive(Debug, Default)]
pub struct SharedEndChecks {
    calls: Mutex<HashMap<(BackendServerId, SocketAddr), Arc<LastCall>>>,
}

impl SharedEndChecks {
    /// What a server answers to a call that is sent from now on. Calls to one server are made one after another.
    async fn reply(&self, state: &RelayState, run: &ExpectedRun) -> Reply {
        let asked_from = Instant::now();
        let last = Arc::clone(self.calls.lock().entry((run.server.clone(), run.at)).or_default());
        let reply = {
            let mut last = last.lock().await;
            match *last {
                Some((sent_at, reply)) if sent_at >= asked_from => reply,
                Some(_) | None => {
                    let sent_at = Instant::now();
                    let reply = call_until_answered(state, run).await;
                    *last = Some((sent_at, reply));
                    reply
                }
            }
        };
        drop(last);
        // Also removes what was left by checks that were given up.
        self.calls.lock().retain(|_, last| Arc::strong_count(last) > 1);
        reply
    }
}

/// Checks, at the end of an answer, whether the run that was sent the request goes on.
pub async fn check(state: &RelayState, run: &ExpectedRun) -> EndCheck {
    let started_at = Instant::now();
    let found = match state.statements.end_checks.reply(state, run).await {
        Reply::Server(reported) => match (run.lifetime, reported) {
            (Some(expected), Some(reported)) if expected != reported => ServerRun::Other,
            (Some(expected), None) if is_listed_anew(state, run, expected) => ServerRun::Other,
            (Some(_) | None, _) => ServerRun::Same,
        },
        Reply::OtherServer => ServerRun::Other,
        Reply::None => ServerRun::Silent,
        // A call would count against its limit, or disturb its rest.
        Reply::Held => return EndCheck::of_listener(run.at).await,
    };
    EndCheck { evidence: EndEvidence::Report(found), took: started_at.elapsed() }
}

/// Whether the list shows a later run of a server that reports none.
fn is_listed_anew(state: &RelayState, run: &ExpectedRun, expected: Lifetime) -> bool {
    let listing = state.directory.listing();
    let listed = listing.servers.get(&run.server).and_then(|listed| listed.lifetime);
    listed.is_some_and(|listed| listed != expected)
}

async fn call_until_answered(state: &RelayState, run: &ExpectedRun) -> Reply {
    let started_at = Instant::now();
    loop {
        let reply = call(state, run).await;
        if !matches!(reply, Ok(Reply::None) | Err(FailureCause::Broken | FailureCause::Timeout))
            || started_at.elapsed() + CALL_PAUSE >= run.silence_max
        {
            return reply.unwrap_or_else(|cause| match cause {
                FailureCause::Held(_) => Reply::Held,
                FailureCause::NotSent
                | FailureCause::Timeout
                | FailureCause::Broken
                | FailureCause::NoRoom
                | FailureCause::Leaving
                | FailureCause::Gone
                | FailureCause::Refused => Reply::None,
            });
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

/// Asks a server for its report over a new connection, which a process that stops serving accepts no longer. Plain servers
/// have none; whatever they answer comes from the server that the call names, unless it is status 421.
async fn call(state: &RelayState, run: &ExpectedRun) -> Result<Reply, FailureCause> {
    if state.limits.admit(state, &run.server, 1).await.is_err() {
        return Ok(Reply::Held);
    }
    let call = (CallKind::Report, state.wire.report(&run.server));
    let (status, body) =
        hop::send_call(state, &run.server, run.at, call, ConnectionReuse::Fresh, CALL_TIMEOUT).await?;
    Ok(match status {
        StatusCode::MISDIRECTED_REQUEST => Reply::OtherServer,
        // Answers of a proxy on the way.
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Reply::None,
        StatusCode::OK => match leaving_checks::parse_report(state, &run.server, &body) {
            Some(report) => Reply::Server(report.lifetime),
            None if run.is_engine && run.lifetime.is_some() => Reply::None,
            None => Reply::Server(None),
        },
        // A report needs no slot. A run that has just started may refuse it, without stating that it is another one.
        _ if run.is_engine && run.lifetime.is_some() => Reply::None,
        _ => Reply::Server(None),
    })
}
