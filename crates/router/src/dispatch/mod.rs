//! Carries requests through backend servers and sees to it that each ends in one of three outcomes.

mod language;
mod plain;
mod release;

use std::sync::Arc;

use hibiscusvale_core::ids::{AttemptId, ModelId};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use crate::backend::{EngineEdge, PlainEdge};
use crate::callers::{LanguageRequest, Refusal, RefusalReason};
use crate::clock;
use crate::directory::{BackendKind, BackendServer, Directory};
use crate::platform::EngineRole;

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

/// Carries requests out.
#[derive(Debug)]
pub struct Dispatcher {
    /// The edge towards engines.
    pub engines: Arc<dyn EngineEdge>,
    /// The edge towards plain services.
    pub plain_services: Arc<dyn PlainEdge>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// Engine memory to be released.
    pub releases: Arc<Releases>,
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
    ) -> Result<mpsc::Receiver<AnswerPart>, Refusal> {
        if !self.serves(&request.model) {
            return Err(Refusal::not_run(RefusalReason::UnknownModel));
        }
        let (sender, receiver) = mpsc::channel(PARTS_IN_FLIGHT);
        tokio::spawn(language::drive(Arc::clone(self), request, sender));
        Ok(receiver)
    }

    fn serves(&self, model: &ModelId) -> bool {
        self.directory
            .listing()
            .servers
            .values()
            .any(|server| match &server.kind {
                BackendKind::Engine { models, .. } => models.contains(model),
                BackendKind::Plain { .. } => false,
            })
    }

    fn pick_engine(&self, wanted: EngineRole, wanted_model: &ModelId) -> Option<Arc<BackendServer>> {
        let now_us = clock::now();
        let listing = self.directory.listing();
        let fit: Vec<_> = listing
            .servers
            .values()
            .filter(|server| self.directory.takes_work(now_us, server))
            .filter(|server| match &server.kind {
                BackendKind::Engine { role, models, .. } => *role == wanted && models.contains(wanted_model),
                BackendKind::Plain { .. } => false,
            })
            .collect();
        fit.choose(&mut rand::rng()).map(|server| Arc::clone(server))
    }

    fn release(&self, server: &BackendServer, attempt_id: AttemptId) {
        self.releases.release(
            Arc::clone(&self.engines),
            Arc::clone(&self.directory),
            server.clone(),
            attempt_id,
        );
    }
}
