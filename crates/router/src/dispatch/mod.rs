//! Dispatches requests to backend servers. Every request ends with exactly one outcome: answered, not run or
//! unknown.

mod at_most_once;
mod demand;
mod forward;
mod language;
mod language_scheduler;
pub(crate) mod loan_request;
mod observe;
mod plain;
mod plain_schedulers;
mod prefix;
mod release;
pub(crate) mod wake_timer;

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::spread::{ServerStatus, SpreadEvent};
use hibiscusvale_core::units::Millis;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::backend::{BackendHttp, EngineClient, PlainClient};
use crate::callers::{LanguageRequest, Refusal, RefusalReason};
use crate::claims::ClaimsHandle;
use crate::clock;
use crate::directory::Directory;
use crate::tickets::Tickets;

pub use demand::Demand;
pub use language_scheduler::LanguageScheduler;
pub use loan_request::{LoanRequestSender, ServiceLoanRequest};
pub use observe::{Observed, Observer};
pub use plain_schedulers::PlainSchedulers;
pub use release::Releases;

/// Answer parts buffered for a slow caller. When the buffer is full the engine's stream is not read, so the
/// engine stops generating for this caller and the router does not hold the answer in memory.
const MAX_BUFFERED_PARTS: usize = 64;

/// A part of an answer that is sent to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerPart {
    /// The next token.
    Token {
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens in the answer.
        tokens: u64,
    },
    /// The request was refused, or its answer ended before it was complete.
    Refused(Refusal),
}

/// Latency targets of a class of language requests, from the published configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LanguageTarget {
    /// Upper bound from arrival to the first token.
    pub first_token_ms: Millis,
    /// Upper bound of the mean time between tokens.
    pub per_token_ms: Millis,
}

/// Runs callers' requests on backend servers.
#[derive(Debug)]
pub struct Dispatcher {
    /// Client for model engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client for plain services.
    pub plain_services: Arc<dyn PlainClient>,
    /// The backend servers that are known.
    pub directory: Arc<Directory>,
    /// This daemon's host.
    pub host: HostId,
    /// Client for the caller interfaces of other daemons.
    pub http: BackendHttp,
    /// The scheduler of language requests.
    pub language_scheduler: Arc<LanguageScheduler>,
    /// The schedulers of plain services.
    pub plain_schedulers: Arc<PlainSchedulers>,
    /// Time without reading any of its answer after which a caller counts as gone.
    pub stall_timeout_ms: Millis,
    /// Arrivals per model, for the planner that loads models.
    pub demand: Arc<Demand>,
    /// Claims of idempotency keys.
    pub claims: ClaimsHandle,
    /// Tickets issued by this daemon.
    pub tickets: Tickets,
    /// Running requests; a graceful stop waits for them.
    pub tasks: TaskTracker,
    /// Runtime of the traffic threads.
    pub runtime: Handle,
    /// Records metrics, log lines and recent requests.
    pub observer: Observer,
    /// Passes on which servers are leaving, for the other daemons.
    pub spread: mpsc::Sender<SpreadEvent>,
}

impl Dispatcher {
    /// Starts a request for a model and returns the channel on which the parts of its answer arrive.
    /// Dropping the receiver means that the caller has left.
    ///
    /// # Errors
    ///
    /// A refusal when no engine serves the model.
    pub fn language(
        self: &Arc<Self>,
        request: LanguageRequest,
        target: LanguageTarget,
    ) -> Result<mpsc::Receiver<AnswerPart>, Refusal> {
        self.demand.record(&request.model);
        if !self.directory.listing().models.contains(&request.model) {
            return Err(Refusal::not_run(RefusalReason::UnknownModel));
        }
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        self.tasks.spawn_on(language::run_request(Arc::clone(self), request, target, sender), &self.runtime);
        Ok(receiver)
    }

    /// Marks a server as leaving when it says so itself, and tells the other daemons, because the platform's
    /// list lags behind.
    fn note_leaving(&self, server: &BackendServerId) {
        if self.directory.mark_leaving(clock::now(), server) {
            let event = SpreadEvent::Observed { server: server.clone(), status: ServerStatus::Leaving };
            // When the channel is full the event is dropped; the next refusal by the server produces it
            // again.
            let _ = self.spread.try_send(event);
        }
    }
}
