//! Persistence of the evidence against quarantined requests on the platform, for when all daemons end at
//! once.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::quarantine::Fingerprint;
use hibiscusvale_core::units::Millis;
use tokio::sync::mpsc;

use super::dependency::Dependency;
use super::interfaces::{EvidenceStore, SavedEvidence};
use super::state::RelayState;
use crate::clock;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of expired records that one daemon removes when it starts.
const EXPIRED_REMOVED_MAX: usize = 8;

/// Restores saved evidence and saves new evidence, for as long as the daemon runs.
pub async fn run(
    store: Arc<dyn EvidenceStore>,
    to_save: mpsc::UnboundedReceiver<Fingerprint>,
    state: Arc<RelayState>,
) {
    tokio::join!(restore(&*store, &state), save(&*store, to_save, &state));
}

async fn restore(store: &dyn EvidenceStore, state: &RelayState) {
    let mut dependency = Dependency::new("evidence not restored", "saved evidence is read again");
    let saved = loop {
        match store.load().await {
            Ok(saved) => break saved,
            Err(failure) => dependency.report_failure(state, &failure),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    dependency.report_success(state);
    state.log.state_changed("evidence restored", &saved.len());
    let mut expired = Vec::new();
    for evidence in saved {
        let fingerprint = evidence.fingerprint;
        if !state.quarantine.restore(state, evidence) {
            expired.push(fingerprint);
        }
    }
    for fingerprint in expired.into_iter().take(EXPIRED_REMOVED_MAX) {
        // A record whose removal fails is removed by a daemon that starts later.
        let _ = store.remove(fingerprint).await;
    }
}

async fn save(
    store: &dyn EvidenceStore,
    mut to_save: mpsc::UnboundedReceiver<Fingerprint>,
    state: &RelayState,
) {
    let mut dependency = Dependency::new("evidence not saved", "evidence is saved again");
    while let Some(fingerprint) = to_save.recv().await {
        while let Some(evidence) = state.quarantine.evidence(fingerprint) {
            match store.save(evidence).await {
                Ok(()) => {
                    dependency.report_success(state);
                    state.log.state_changed("evidence saved", &fingerprint);
                    break;
                }
                Err(failure) => dependency.report_failure(state, &failure),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl SavedEvidence {
    /// Adds the time since saving to the age of each report.
    pub(super) fn aged(mut self) -> Self {
        let passed_ms = Millis(clock::unix_ms().saturating_sub(self.saved_unix_ms));
        for report in &mut self.reports {
            report.age_ms += passed_ms;
        }
        self
    }
}
