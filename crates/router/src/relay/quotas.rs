//! Quotas of organisations: credit is leased before a request is passed on, and granted to daemons that ask for it.
//!
//! The decisions are those of [`hibiscusvale_core::quota`]. Questions and answers are datagrams: one that comes late is of no
//! use any more, and a question that got no answer is asked again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId};
use hibiscusvale_core::quota::{
    Grant, LEASE_LIFE_MS, LeasedCredit, Ledger, LedgerRole, LedgerSettings, Quota, QuotaBounds, Suspicion,
    candidates, outranks,
};
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::{Credit, Millis, MonoTime};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::message::Datagram;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;

/// How long each question waits for its answer: several round trips in a region. The sum is short beside the target of a page.
const ANSWER_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(12),
    Duration::from_millis(15),
    Duration::from_millis(20),
    Duration::from_millis(25),
];

/// Retry-After when no daemon answers: membership shows soon after who is gone.
const UNKNOWN_RETRY_MS: Millis = Millis(500);

/// Longest time for which a denial is remembered: credit may come back sooner than was expected.
const DENIAL_MS_MAX: Millis = Millis(100);

/// A daemon asks for credit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaQuestion {
    /// Life of the daemon that asks: a later one counts its questions anew.
    incarnation: Incarnation,
    number: u64,
    partner: PartnerId,
    needs: Credit,
    likely: Credit,
}

/// The answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaAnswer {
    incarnation: Incarnation,
    number: u64,
    grant: Grant,
}

/// Credit that was granted and not spent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaReturn {
    partner: PartnerId,
    credit: Credit,
}

/// A message to another daemon.
pub type Outgoing = (SocketAddr, Datagram);

#[derive(Debug)]
struct Account {
    leased: LeasedCredit,
    ledger: Ledger,
}

#[derive(Debug)]
struct Question {
    partner: PartnerId,
    asked_us: MonoTime,
    answered: oneshot::Sender<Grant>,
}

/// The quotas, as far as they concern this daemon.
#[derive(Debug)]
pub struct QuotaHub {
    host: HostId,
    accounts: Mutex<HashMap<PartnerId, Account>>,
    questions: Mutex<HashMap<u64, Question>>,
    asked: AtomicU64,
    silent: Mutex<HashMap<HostId, Suspicion>>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

impl QuotaHub {
    /// A hub that knows no quotas, and the end where its messages come out.
    pub fn new(host: HostId) -> (Self, mpsc::UnboundedReceiver<Outgoing>) {
        let (outgoing, messages) = mpsc::unbounded_channel();
        let hub = Self {
            host,
            accounts: Mutex::default(),
            questions: Mutex::default(),
            asked: AtomicU64::new(0),
            silent: Mutex::default(),
            outgoing,
        };
        (hub, messages)
    }

    /// Takes the quotas of a table. What was granted and leased stays so.
    pub fn configure(&self, table: &RouteTable, bounds: QuotaBounds) {
        let mut accounts = self.accounts.lock();
        let limited = table.partners().iter().filter_map(|partner| Some((&partner.id, partner.quota?)));
        let limited: HashMap<&PartnerId, Quota> = limited.collect();
        accounts.retain(|partner, _| limited.contains_key(partner));
        for (partner, quota) in limited {
            let settings = LedgerSettings { quota, bounds };
            let account = accounts.entry(partner.clone()).or_insert_with(|| Account {
                leased: LeasedCredit::default(),
                ledger: Ledger::new(settings),
            });
            account.ledger.configure(settings);
        }
    }

    /// Takes `credit` out of an organisation's quota; leases more from its primary where too little is leased here.
    ///
    /// # Errors
    ///
    /// The refusal: `OverQuota` when the quota is used up, `QuotaUnknown` when nobody answers.
    pub async fn charge(
        &self,
        state: &RelayState,
        partner: &PartnerId,
        credit: Credit,
    ) -> Result<(), Refusal> {
        for timeout in ANSWER_TIMEOUTS {
            if let Some(settled) = self.settle(state, partner, credit) {
                return settled;
            }
            let Some(host) = self.whom_to_ask(state, partner) else {
                break;
            };
            let grant = if host == self.host {
                self.grant(state, partner, credit, Credit::ZERO)
            } else {
                self.ask(state, &host, partner, credit, timeout).await
            };
            if let Some(Grant::Granted(granted)) = grant
                && host == self.host
            {
                self.lease(partner, clock::now(), granted);
            }
            if let Some(Grant::Denied { retry_after_ms }) = grant {
                self.deny(partner, credit, retry_after_ms);
                return Err(Refusal::retry_after(Reason::OverQuota, retry_after_ms));
            }
        }
        self.settle(state, partner, credit)
            .unwrap_or(Err(Refusal::retry_after(Reason::QuotaUnknown, UNKNOWN_RETRY_MS)))
    }

    /// Decides from what is leased and denied already, if that suffices.
    fn settle(&self, state: &RelayState, partner: &PartnerId, credit: Credit) -> Option<Result<(), Refusal>> {
        let now_us = clock::now();
        let mut accounts = self.accounts.lock();
        let Some(account) = accounts.get_mut(partner) else {
            return Some(Ok(()));
        };
        let expired = account.leased.take_expired(now_us);
        let is_paid = account.leased.spend(now_us, credit);
        let denied_ms = account.leased.denied_ms(now_us, credit);
        drop(accounts);
        self.put_back(state, partner, expired);
        match denied_ms {
            _ if is_paid => Some(Ok(())),
            Some(wait_ms) => Some(Err(Refusal::retry_after(Reason::OverQuota, wait_ms))),
            None => None,
        }
    }

    /// The first candidate that is not suspected.
    fn whom_to_ask(&self, state: &RelayState, partner: &PartnerId) -> Option<HostId> {
        let now_us = clock::now();
        let silent = self.silent.lock();
        let is_suspected =
            |host: &HostId| silent.get(host).is_some_and(|silence| silence.is_suspected(now_us));
        let ranked = candidates(partner, self.reachable(state));
        ranked.into_iter().find(|host| !is_suspected(host))
    }

    fn reachable(&self, state: &RelayState) -> Vec<HostId> {
        let mut hosts = state.peers.live_hosts();
        hosts.push(self.host.clone());
        hosts
    }

    async fn ask(
        &self,
        state: &RelayState,
        host: &HostId,
        partner: &PartnerId,
        needs: Credit,
        timeout: Duration,
    ) -> Option<Grant> {
        let address = state.peers.address_of(host)?;
        let now_us = clock::now();
        let likely = self.accounts.lock().get_mut(partner)?.leased.likely(now_us);
        let number = self.asked.fetch_add(1, Ordering::Relaxed);
        let (answered, answer) = oneshot::channel();
        self.remember(now_us, number, Question { partner: partner.clone(), asked_us: now_us, answered });
        let incarnation = state.incarnation;
        let question = QuotaQuestion { incarnation, number, partner: partner.clone(), needs, likely };
        self.send(address, Datagram::QuotaQuestion(question));
        let grant = tokio::time::timeout(timeout, answer).await.ok().and_then(Result::ok);
        let mut silent = self.silent.lock();
        if grant.is_some() {
            silent.remove(host);
            return grant;
        }
        silent.entry(host.clone()).or_default().note_timeout(clock::now());
        None
    }

    fn remember(&self, now_us: MonoTime, number: u64, question: Question) {
        let mut questions = self.questions.lock();
        questions.retain(|_, question| now_us < question.asked_us + LEASE_LIFE_MS);
        questions.insert(number, question);
    }

    /// Answers another daemon's question. Nothing is said of an organisation that is not known here yet.
    pub fn answer(&self, state: &RelayState, from: SocketAddr, question: &QuotaQuestion) {
        let &QuotaQuestion { incarnation, number, ref partner, needs, likely } = question;
        if let Some(grant) = self.grant(state, partner, needs, likely) {
            self.send(from, Datagram::QuotaAnswer(QuotaAnswer { incarnation, number, grant }));
        }
    }

    /// Takes an answer. One that comes too late for its request serves the next one.
    pub fn take(&self, state: &RelayState, answer: &QuotaAnswer) {
        if answer.incarnation != state.incarnation {
            return;
        }
        let Some(question) = self.questions.lock().remove(&answer.number) else {
            return;
        };
        if let Grant::Granted(credit) = answer.grant {
            self.lease(&question.partner, question.asked_us, credit);
        }
        // Whoever asked may have given up.
        let _ = question.answered.send(answer.grant);
    }

    /// Takes back what another daemon did not spend.
    pub fn returned(&self, returned: &QuotaReturn) {
        if let Some(account) = self.accounts.lock().get_mut(&returned.partner) {
            account.ledger.put_back(clock::now(), returned.credit);
        }
    }

    /// Gives back the charge of a request that has not run, or credit whose lease expired.
    pub fn put_back(&self, state: &RelayState, partner: &PartnerId, credit: Credit) {
        if credit == Credit::ZERO {
            return;
        }
        let returned = QuotaReturn { partner: partner.clone(), credit };
        match self.whom_to_ask(state, partner) {
            Some(host) if host == self.host => self.returned(&returned),
            Some(host) => {
                if let Some(address) = state.peers.address_of(&host) {
                    self.send(address, Datagram::QuotaReturn(returned));
                }
            }
            None => {}
        }
    }

    /// Another daemon has joined; it is primary for what it comes first for.
    pub fn host_joined(&self, host: &HostId) {
        for (partner, account) in self.accounts.lock().iter_mut() {
            if outranks(partner, host, &self.host) {
                account.ledger.step_down();
            }
        }
    }

    fn grant(&self, state: &RelayState, partner: &PartnerId, needs: Credit, likely: Credit) -> Option<Grant> {
        let is_primary = candidates(partner, self.reachable(state)).first() == Some(&self.host);
        let role = if is_primary { LedgerRole::Primary } else { LedgerRole::Standby };
        let coverage = state.peers.coverage();
        let mut accounts = self.accounts.lock();
        let account = accounts.get_mut(partner)?;
        Some(account.ledger.grant(clock::now(), role, coverage, needs, likely))
    }

    fn lease(&self, partner: &PartnerId, asked_us: MonoTime, credit: Credit) {
        if let Some(account) = self.accounts.lock().get_mut(partner) {
            account.leased.add(asked_us, credit);
        }
    }

    fn deny(&self, partner: &PartnerId, credit: Credit, wait_ms: Millis) {
        if let Some(account) = self.accounts.lock().get_mut(partner) {
            account.leased.deny(clock::now(), credit, wait_ms.min(DENIAL_MS_MAX));
        }
    }

    fn send(&self, to: SocketAddr, datagram: Datagram) {
        // Without the talk between daemons nobody can be asked, and the question runs into its time limit.
        let _ = self.outgoing.send((to, datagram));
    }
}
