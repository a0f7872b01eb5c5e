//! Requests that crash servers: the evidence of this daemon and its exchange with the others.

use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::quarantine::{
    Fingerprint, Gossip, Quarantine, QuarantineSettings, Received, ReportPage, Verdict,
};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use super::edge::SavedEvidence;
use super::message::Datagram;
use super::pace::Urgency;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;

/// The evidence of this daemon, shared by all its requests.
#[derive(Debug)]
pub struct QuarantineHub {
    quarantine: Mutex<Quarantine>,
    /// Counts the verdicts; requests that wait for a server look again with each.
    verdicts: watch::Sender<u64>,
    /// Requests whose evidence is to be saved.
    save: mpsc::UnboundedSender<Fingerprint>,
}

impl QuarantineHub {
    /// No evidence, and the end where requests come out whose evidence is to be saved.
    pub fn new(incarnation: Incarnation) -> (Self, mpsc::UnboundedReceiver<Fingerprint>) {
        let quarantine = Quarantine::new(QuarantineSettings::default(), incarnation);
        let (save, due) = mpsc::unbounded_channel();
        (Self { quarantine: Mutex::new(quarantine), verdicts: watch::Sender::new(0), save }, due)
    }

    /// The evidence against a request in quarantine, for saving it.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<SavedEvidence> {
        let quarantine = self.quarantine.lock();
        quarantine.is_quarantined(fingerprint).then(|| SavedEvidence {
            fingerprint,
            reports: quarantine.reports(clock::now(), fingerprint),
            saved_unix_ms: clock::unix_ms(),
        })
    }

    /// Takes evidence that was saved; returns whether any of it still counts.
    pub fn restore(&self, state: &RelayState, evidence: SavedEvidence) -> bool {
        let fingerprint = evidence.fingerprint;
        let verdicts = self.quarantine.lock().restore(clock::now(), evidence.aged().reports);
        self.publish(state, &verdicts);
        self.is_suspect(fingerprint)
    }

    /// Refuses a request that is in quarantine.
    ///
    /// # Errors
    ///
    /// The refusal; nothing was sent.
    pub fn admit(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.quarantine.lock().left_ms(clock::now(), fingerprint) {
            Some(left_ms) => Err(Refusal::retry_after(Reason::CrashesServers, left_ms)),
            None => Ok(()),
        }
    }

    /// Waits until a request is in quarantine, for ever if it never is.
    pub async fn refused(&self, fingerprint: Fingerprint) -> Refusal {
        let mut verdicts = self.verdicts.subscribe();
        loop {
            if let Err(refusal) = self.admit(fingerprint) {
                return refusal;
            }
            if verdicts.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Whether a server is known to have crashed under the request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.lock().is_suspect(fingerprint)
    }

    /// Requests with evidence against them, and those of them in quarantine.
    pub fn counts(&self) -> (usize, usize) {
        self.quarantine.lock().counts()
    }

    /// A server crashed that had the request.
    pub fn crashed(
        &self,
        state: &RelayState,
        fingerprint: Fingerprint,
        server: BackendServerId,
        in_flight_ms: Millis,
    ) {
        let verdicts = self.quarantine.lock().crashed(clock::now(), fingerprint, server, in_flight_ms);
        self.publish(state, &verdicts);
        state.peers.touch(Urgency::Soon);
    }

    /// A server has run the request and lives.
    pub fn survived(&self, state: &RelayState, fingerprint: Fingerprint) {
        let mut quarantine = self.quarantine.lock();
        let is_news = quarantine.is_suspect(fingerprint);
        let verdicts = quarantine.survived(clock::now(), fingerprint);
        drop(quarantine);
        if is_news {
            self.publish(state, &verdicts);
            state.peers.touch(Urgency::Soon);
        }
    }

    /// What goes into the next message to the other daemons.
    pub fn gossip(&self, state: &RelayState) -> Gossip {
        let now_us = clock::now();
        let mut quarantine = self.quarantine.lock();
        let verdicts = quarantine.expire(now_us);
        let gossip = quarantine.gossip(now_us);
        drop(quarantine);
        self.publish(state, &verdicts);
        gossip
    }

    /// Takes what came with a message of another daemon; returns what to send it.
    pub fn receive(&self, state: &RelayState, gossip: Gossip) -> Option<Datagram> {
        let received = self.quarantine.lock().receive(clock::now(), gossip);
        self.take(state, &received)
    }

    /// Takes a page of another daemon's reports; returns what to send it.
    pub fn receive_page(&self, state: &RelayState, page: ReportPage) -> Option<Datagram> {
        let received = self.quarantine.lock().receive_page(clock::now(), page);
        self.take(state, &received)
    }

    /// The answer to a daemon that asks for the reports behind a fingerprint.
    pub fn page(&self, after: Option<Fingerprint>) -> Datagram {
        Datagram::ReportPage(self.quarantine.lock().page(clock::now(), after))
    }

    fn take(&self, state: &RelayState, received: &Received) -> Option<Datagram> {
        self.publish(state, &received.verdicts);
        received.ask.map(Datagram::ReportQuestion)
    }

    fn publish(&self, state: &RelayState, verdicts: &[Verdict]) {
        for verdict in verdicts {
            state.log.quarantine_changed(verdict);
            if verdict.is_quarantined && verdict.is_reporter {
                // While the daemon stops nobody receives it any more; the other daemons have the evidence.
                let _ = self.save.send(verdict.fingerprint);
            }
        }
        if !verdicts.is_empty() {
            self.verdicts.send_modify(|count| *count += 1);
        }
    }
}
