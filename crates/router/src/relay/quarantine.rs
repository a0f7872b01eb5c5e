//! Quarantine of requests that crash servers: this daemon's evidence and its exchange with other daemons.

use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::quarantine::{
    Fingerprint, Fingerprints, Gossip, Quarantine, QuarantineSettings, ReceiveOutcome, ReportPage, Verdict,
};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use super::interfaces::CallId;
use super::interfaces::SavedEvidence;
use super::message::Datagram;
use super::pacing::Urgency;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;

/// Crash evidence, shared by all requests of this daemon.
#[derive(Debug)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// Number of verdicts so far; requests waiting for a server check again at each change.
    verdicts: watch::Sender<u64>,
    /// Queue of requests whose evidence is to be saved.
    to_save: mpsc::UnboundedSender<Fingerprint>,
}

impl SharedQuarantine {
    /// A quarantine without evidence, and the receiver of requests whose evidence is to be saved.
    pub fn new(incarnation: Incarnation) -> (Self, mpsc::UnboundedReceiver<Fingerprint>) {
        let quarantine = Quarantine::new(QuarantineSettings::default(), incarnation);
        let (to_save, receiver) = mpsc::unbounded_channel();
        (Self { quarantine: Mutex::new(quarantine), verdicts: watch::Sender::new(0), to_save }, receiver)
    }

    /// The evidence against a request or part, for saving; `None` unless it is quarantined.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<SavedEvidence> {
        let quarantine = self.quarantine.lock();
        let is_saved = quarantine.is_quarantined(fingerprint) && quarantine.is_sole_cause(fingerprint);
        is_saved.then(|| SavedEvidence {
            fingerprint,
            reports: quarantine.reports(clock::now(), fingerprint),
            saved_unix_ms: clock::unix_ms(),
        })
    }

    /// Restores saved evidence; returns whether any of it is still valid.
    pub fn restore(&self, state: &RelayState, evidence: SavedEvidence) -> bool {
        let fingerprint = evidence.fingerprint;
        let verdicts = self.quarantine.lock().restore(clock::now(), evidence.aged().reports);
        self.publish(state, &verdicts);
        self.quarantine.lock().is_suspect(fingerprint)
    }

    /// Refuses a request that is quarantined or has a quarantined part in its prompt.
    ///
    /// # Errors
    ///
    /// The refusal; nothing was sent.
    pub fn admit(
        &self,
        state: &RelayState,
        call: &CallId,
        fingerprints: &Fingerprints,
    ) -> Result<(), Refusal> {
        let refused = self.quarantine.lock().refusal(clock::now(), fingerprints);
        match refused {
            Some(refused) => {
                state.log.request_refused_in_quarantine(call.as_str(), &refused);
                Err(Refusal::retry_after(Reason::CrashesServers, refused.left_ms))
            }
            None => Ok(()),
        }
    }

    /// Waits until the request is refused; never returns if it is not.
    pub async fn refused(&self, state: &RelayState, call: &CallId, fingerprints: &Fingerprints) -> Refusal {
        let mut verdicts = self.verdicts.subscribe();
        loop {
            if let Err(refusal) = self.admit(state, call, fingerprints) {
                return refusal;
            }
            if verdicts.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Whether a server is known to have crashed under the request or under a part of its prompt.
    pub fn is_suspect(&self, fingerprints: &Fingerprints) -> bool {
        let quarantine = self.quarantine.lock();
        fingerprints.iter().any(|fingerprint| quarantine.is_suspect(fingerprint))
    }

    /// Number of requests with evidence against them, and how many of those are quarantined.
    pub fn counts(&self) -> (usize, usize) {
        self.quarantine.lock().counts()
    }

    /// Records that a server crashed under the request.
    pub fn crashed(
        &self,
        state: &RelayState,
        fingerprints: &Fingerprints,
        server: &BackendServerId,
        in_flight_ms: Millis,
    ) {
        let now_us = clock::now();
        let mut quarantine = self.quarantine.lock();
        let record = |fingerprint| quarantine.record_crash(now_us, fingerprint, server.clone(), in_flight_ms);
        let verdicts: Vec<Verdict> = fingerprints.iter().flat_map(record).collect();
        drop(quarantine);
        self.publish(state, &verdicts);
        state.peers.schedule_message(Urgency::Soon);
    }

    /// Records that a server ran the request and survived.
    pub fn survived(&self, state: &RelayState, fingerprints: &Fingerprints) {
        let now_us = clock::now();
        let mut quarantine = self.quarantine.lock();
        let is_suspect = fingerprints.iter().any(|fingerprint| quarantine.is_suspect(fingerprint));
        let record = |fingerprint| quarantine.record_survival(now_us, fingerprint);
        let verdicts: Vec<Verdict> = fingerprints.iter().flat_map(record).collect();
        drop(quarantine);
        if is_suspect {
            self.publish(state, &verdicts);
            state.peers.schedule_message(Urgency::Soon);
        }
    }

    /// Evidence for the next message to the other daemons.
    pub fn gossip(&self, state: &RelayState) -> Gossip {
        let now_us = clock::now();
        let mut quarantine = self.quarantine.lock();
        let verdicts = quarantine.expire(now_us);
        let gossip = quarantine.gossip(now_us);
        drop(quarantine);
        self.publish(state, &verdicts);
        gossip
    }

    /// Merges evidence from another daemon's message; returns a reply to it, if any.
    pub fn receive(&self, state: &RelayState, gossip: Gossip) -> Option<Datagram> {
        let received = self.quarantine.lock().receive(clock::now(), gossip);
        self.apply(state, &received)
    }

    /// Merges a page of another daemon's reports; returns a reply to it, if any.
    pub fn receive_page(&self, state: &RelayState, page: ReportPage) -> Option<Datagram> {
        let received = self.quarantine.lock().receive_page(clock::now(), page);
        self.apply(state, &received)
    }

    /// The page of reports after a fingerprint, for a daemon that requests it.
    pub fn page(&self, after: Option<Fingerprint>) -> Datagram {
        Datagram::ReportPage(self.quarantine.lock().page(clock::now(), after))
    }

    fn apply(&self, state: &RelayState, received: &ReceiveOutcome) -> Option<Datagram> {
        self.publish(state, &received.verdicts);
        for refutation in &received.refutations {
            state.log.crash_refuted(refutation);
        }
        if !received.refutations.is_empty() {
            state.peers.schedule_message(Urgency::Soon);
        }
        received.pull_after.map(Datagram::ReportRequest)
    }

    fn publish(&self, state: &RelayState, verdicts: &[Verdict]) {
        for verdict in verdicts {
            state.log.quarantine_changed(verdict);
            if verdict.is_quarantined && verdict.is_reporter && verdict.companions == 0 {
                // The receiver is gone only while the daemon stops; the other daemons have the evidence.
                let _ = self.to_save.send(verdict.fingerprint);
            }
        }
        if !verdicts.is_empty() {
            self.verdicts.send_modify(|count| *count += 1);
        }
    }
}
