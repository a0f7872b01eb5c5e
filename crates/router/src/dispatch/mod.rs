//! Carries requests through backend servers and sees to it that each ends in one of three outcomes.

pub(crate) mod alarm;
pub(crate) mod ask;
mod demand;
mod forward;
mod hub;
mod language;
mod observe;
mod once;
mod plain;
mod plain_hub;
mod prefix;
mod release;

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::spread::{ServerStatus, SpreadEvent};
use hibiscusvale_core::units::Millis;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::backend::{BackendHttp, EngineEdge, PlainEdge};
use crate::callers::{LanguageRequest, Refusal, RefusalReason};
use crate::claims::ClaimsHandle;
use crate::clock;
use crate::directory::Directory;
use crate::tickets::Tickets;

pub use ask::{Asks, ServiceAsk};
pub use demand::Demand;
pub use hub::Hub;
pub use observe::{Observed, Observer};
pub use plain_hub::PlainHub;
pub use release::Releases;

/// Tokens that wait for a slow caller. Past this the engine's stream is not read, and the engine stops
/// generating for this caller instead of the router holding the answer.
const PARTS_IN_FLIGHT: usize = 64;

/// A part of an answer on its way to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerPart {
    /// The next token.
    Token {
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Its length in tokens.
        tokens: u64,
    },
    /// There is no answer, or no more of it.
    Refused(Refusal),
}

/// Targets of a class of language requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LanguageTarget {
    /// From arrival to the first token.
    pub first_token_ms: Millis,
    /// Between tokens, on average.
    pub per_token_ms: Millis,
}

/// Carries requests out.
#[derive(Debug)]
pub struct Dispatcher {
    /// The edge towards engines.
    pub engines: Arc<dyn EngineEdge>,
    /// The edge towards plain services.
    pub plain_services: Arc<dyn PlainEdge>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// This daemon's host.
    pub host: HostId,
    /// Calls to other daemons' callers' edge.
    pub http: BackendHttp,
    /// The scheduler of language requests.
    pub hub: Arc<Hub>,
    /// The schedulers of plain services.
    pub plain_hub: Arc<PlainHub>,
    /// Time for which a caller may take nothing of its answer before it counts as gone.
    pub stall_timeout_ms: Millis,
    /// Which models are asked for.
    pub demand: Arc<Demand>,
    /// Claims of idempotency keys.
    pub claims: ClaimsHandle,
    /// Tickets of this daemon.
    pub tickets: Tickets,
    /// Requests under way, for a graceful stop to wait for.
    pub tasks: TaskTracker,
    /// The traffic threads.
    pub runtime: Handle,
    /// What is noted of requests.
    pub observer: Observer,
    /// Learns which servers are leaving, to tell the other daemons.
    pub spread: mpsc::Sender<SpreadEvent>,
}

impl Dispatcher {
    /// Starts a request for a model; the parts of its answer arrive on the returned channel. Dropping the
    /// channel is the caller's departure.
    ///
    /// # Errors
    ///
    /// A refusal when no engine serves the model.
    pub fn language(
        self: &Arc<Self>,
        request: LanguageRequest,
        target: LanguageTarget,
    ) -> Result<mpsc::Receiver<AnswerPart>, Refusal> {
        self.demand.note(&request.model);
        if !self.directory.listing().models.contains(&request.model) {
            return Err(Refusal::not_run(RefusalReason::UnknownModel));
        }
        let (sender, receiver) = mpsc::channel(PARTS_IN_FLIGHT);
        self.tasks.spawn_on(language::drive(Arc::clone(self), request, target, sender), &self.runtime);
        Ok(receiver)
    }

    /// Believes a server that it is leaving, and tells the other daemons: the platform's list lags.
    fn note_leaving(&self, server: &BackendServerId) {
        if self.directory.note_leaving(clock::now(), server) {
            let saw = SpreadEvent::Observed { server: server.clone(), status: ServerStatus::Leaving };
            // A sign that does not get through is seen again with the next refusal.
            let _ = self.spread.try_send(saw);
        }
    }
}
