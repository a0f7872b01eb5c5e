//! Requests in quarantine, kept on the platform: when all daemons end at once nobody is left who knows them.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::quarantine::Fingerprint;
use hibiscusvale_core::units::Millis;
use tokio::sync::mpsc;

use super::edge::{EvidenceStore, KeptEvidence, TableFailure};
use super::state::RelayState;
use crate::clock;

/// Pause after a failed call.
const RETRY: Duration = Duration::from_secs(1);

/// Requests whose evidence has become old that one daemon drops when it starts.
const DROPPED_MAX: usize = 8;

/// Restores what is kept, and keeps what comes, for as long as the daemon runs.
pub async fn run(
    store: Arc<dyn EvidenceStore>,
    due: mpsc::UnboundedReceiver<Fingerprint>,
    state: Arc<RelayState>,
) {
    tokio::join!(restore(&*store, &state), keep(&*store, due, &state));
}

async fn restore(store: &dyn EvidenceStore, state: &RelayState) {
    let mut failure: Option<TableFailure> = None;
    let kept = loop {
        match store.kept().await {
            Ok(kept) => break kept,
            Err(error) => note(state, "evidence not restored", &mut failure, error),
        }
        tokio::time::sleep(RETRY).await;
    };
    state.log.changed("evidence restored", &kept.len());
    let mut old = Vec::new();
    for evidence in kept {
        let fingerprint = evidence.fingerprint;
        if !state.quarantine.restore(state, evidence) {
            old.push(fingerprint);
        }
    }
    for fingerprint in old.into_iter().take(DROPPED_MAX) {
        // What is not dropped now is dropped by a daemon that starts later.
        let _ = store.drop_kept(fingerprint).await;
    }
}

async fn keep(store: &dyn EvidenceStore, mut due: mpsc::UnboundedReceiver<Fingerprint>, state: &RelayState) {
    while let Some(fingerprint) = due.recv().await {
        let mut failure: Option<TableFailure> = None;
        while let Some(evidence) = state.quarantine.evidence(fingerprint) {
            match store.keep(evidence).await {
                Ok(()) => {
                    state.log.changed("evidence kept", &fingerprint);
                    break;
                }
                Err(error) => note(state, "evidence not kept", &mut failure, error),
            }
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// Writes a failure when it is another one than before.
fn note(state: &RelayState, what: &'static str, before: &mut Option<TableFailure>, failure: TableFailure) {
    if before.as_ref() != Some(&failure) {
        state.log.changed(what, &failure);
        *before = Some(failure);
    }
}

impl KeptEvidence {
    /// The same with the time that has passed since added to the ages.
    pub(super) fn aged(mut self) -> Self {
        let passed_ms = Millis(clock::unix_ms().saturating_sub(self.kept_unix_ms));
        for report in &mut self.reports {
            report.age_ms += passed_ms;
        }
        self
    }
}
