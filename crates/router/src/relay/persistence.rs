//! Evidence against requests in quarantine, saved on the platform for when all daemons end at once.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::quarantine::Fingerprint;
use hibiscusvale_core::units::Millis;
use tokio::sync::mpsc;

use super::edge::{EvidenceStore, SavedEvidence};
use super::link::Link;
use super::state::RelayState;
use crate::clock;

/// Pause after a failed call.
const RETRY: Duration = Duration::from_secs(1);

/// Records whose evidence has become old that one daemon removes when it starts.
const REMOVED_MAX: usize = 8;

/// Restores what was saved, and saves what comes, for as long as the daemon runs.
pub async fn run(
    store: Arc<dyn EvidenceStore>,
    due: mpsc::UnboundedReceiver<Fingerprint>,
    state: Arc<RelayState>,
) {
    tokio::join!(restore(&*store, &state), save(&*store, due, &state));
}

async fn restore(store: &dyn EvidenceStore, state: &RelayState) {
    let mut link = Link::new("evidence not restored", "saved evidence is read again");
    let saved = loop {
        match store.load().await {
            Ok(saved) => break saved,
            Err(failure) => link.lost(state, &failure),
        }
        tokio::time::sleep(RETRY).await;
    };
    link.regained(state);
    state.log.changed("evidence restored", &saved.len());
    let mut old = Vec::new();
    for evidence in saved {
        let fingerprint = evidence.fingerprint;
        if !state.quarantine.restore(state, evidence) {
            old.push(fingerprint);
        }
    }
    for fingerprint in old.into_iter().take(REMOVED_MAX) {
        // A record that stays is removed by a daemon that starts later.
        let _ = store.remove(fingerprint).await;
    }
}

async fn save(store: &dyn EvidenceStore, mut due: mpsc::UnboundedReceiver<Fingerprint>, state: &RelayState) {
    let mut link = Link::new("evidence not saved", "evidence is saved again");
    while let Some(fingerprint) = due.recv().await {
        while let Some(evidence) = state.quarantine.evidence(fingerprint) {
            match store.save(evidence).await {
                Ok(()) => {
                    link.regained(state);
                    state.log.changed("evidence saved", &fingerprint);
                    break;
                }
                Err(failure) => link.lost(state, &failure),
            }
            tokio::time::sleep(RETRY).await;
        }
    }
}

impl SavedEvidence {
    /// The same with the time that has passed since added to the ages.
    pub(super) fn aged(mut self) -> Self {
        let passed_ms = Millis(clock::unix_ms().saturating_sub(self.saved_unix_ms));
        for report in &mut self.reports {
            report.age_ms += passed_ms;
        }
        self
    }
}
