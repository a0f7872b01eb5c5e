//! Requests that crash servers: what this daemon saw of them, and what the others say.

use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::quarantine::{
    Fingerprint, Gossip, Heard, Quarantine, QuarantineSettings, ReportPage, Verdict,
};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use super::edge::KeptEvidence;
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
    /// Requests whose evidence is to be kept.
    keep: mpsc::UnboundedSender<Fingerprint>,
}

impl QuarantineHub {
    /// No evidence, and the end where requests come out whose evidence is to be kept.
    pub fn new(incarnation: Incarnation) -> (Self, mpsc::UnboundedReceiver<Fingerprint>) {
        let quarantine = Quarantine::new(QuarantineSettings::default(), incarnation);
        let (keep, due) = mpsc::unbounded_channel();
        (Self { quarantine: Mutex::new(quarantine), verdicts: watch::Sender::new(0), keep }, due)
    }

    /// The evidence against a request in quarantine, for keeping it.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<KeptEvidence> {
        let quarantine = self.quarantine.lock();
        quarantine.is_quarantined(fingerprint).then(|| KeptEvidence {
            fingerprint,
            reports: quarantine.reports(clock::now(), fingerprint),
            kept_unix_ms: clock::unix_ms(),
        })
    }

    /// Takes evidence that was kept; says whether it still counts.
    pub fn restore(&self, state: &RelayState, evidence: KeptEvidence) -> bool {
        let fingerprint = evidence.fingerprint;
        let verdicts = self.quarantine.lock().restore(clock::now(), evidence.aged().reports);
        self.publish(state, &verdicts);
        self.quarantine.lock().is_quarantined(fingerprint)
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

    /// Takes what came with a message of another daemon; says what to send it.
    pub fn heard(&self, state: &RelayState, gossip: Gossip) -> Option<Datagram> {
        let heard = self.quarantine.lock().heard(clock::now(), gossip);
        self.take(state, &heard)
    }

    /// Takes a page of another daemon's reports; says what to send it.
    pub fn take_page(&self, state: &RelayState, page: ReportPage) -> Option<Datagram> {
        let heard = self.quarantine.lock().take_page(clock::now(), page);
        self.take(state, &heard)
    }

    /// The answer to a daemon that asks for the reports behind a fingerprint.
    pub fn page(&self, after: Option<Fingerprint>) -> Datagram {
        Datagram::ReportPage(self.quarantine.lock().page(clock::now(), after))
    }

    fn take(&self, state: &RelayState, heard: &Heard) -> Option<Datagram> {
        self.publish(state, &heard.verdicts);
        heard.ask.map(Datagram::ReportQuestion)
    }

    fn publish(&self, state: &RelayState, verdicts: &[Verdict]) {
        for verdict in verdicts {
            state.log.judged(verdict);
            if verdict.is_quarantined && verdict.is_witness {
                // Without anybody who keeps it, it lives as long as the daemons do.
                let _ = self.keep.send(verdict.fingerprint);
            }
        }
        if !verdicts.is_empty() {
            self.verdicts.send_modify(|count| *count += 1);
        }
    }
}
