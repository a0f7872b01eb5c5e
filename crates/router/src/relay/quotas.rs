//! Quotas of organisations and limits of servers: credit is leased before a request is passed on, and granted to daemons
//! that ask for it.
//!
//! The decisions are those of [`hibiscusvale_core::quota`]. Questions and answers are datagrams: one that comes late is of no
//! use any more, and a question that got no answer is asked again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation, PartnerId};
use hibiscusvale_core::quota::{
    Grant, LEASE_LIFE_MS, LeasedCredit, Ledger, LedgerRole, LedgerSettings, LimitStatement, Quota,
    QuotaBounds, Suspicion, candidates, outranks, server_limit,
};
use hibiscusvale_core::relay::routes::RouteTable;
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime};
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

/// Whose credit is granted and leased.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum QuotaOwner {
    /// An organisation with a quota.
    Partner(PartnerId),
    /// A backend server that states a limit.
    Server(BackendServerId),
}

impl QuotaOwner {
    fn as_str(&self) -> &str {
        match self {
            Self::Partner(partner) => partner.as_str(),
            Self::Server(server) => server.as_str(),
        }
    }
}

/// A daemon asks for credit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaQuestion {
    /// Life of the daemon that asks: a later one counts its questions anew.
    incarnation: Incarnation,
    number: u64,
    owner: QuotaOwner,
    needs: Credit,
    likely: Credit,
    /// What the server said last, where it is one that states a limit: who is asked may not have heard of it.
    limit: Option<LimitStatement>,
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
    owner: QuotaOwner,
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
    owner: QuotaOwner,
    asked_us: MonoTime,
    answered: oneshot::Sender<Grant>,
}

/// The quotas, as far as they concern this daemon.
#[derive(Debug)]
pub struct QuotaHub {
    host: HostId,
    accounts: Mutex<HashMap<QuotaOwner, Account>>,
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
        accounts.retain(|owner, _| match owner {
            QuotaOwner::Partner(partner) => limited.contains_key(partner),
            QuotaOwner::Server(_) => true,
        });
        for (partner, quota) in limited {
            let owner = QuotaOwner::Partner(partner.clone());
            configure_account(&mut accounts, owner, LedgerSettings { quota, bounds });
        }
    }

    /// Takes the limit that a server states. What was granted and leased stays so.
    pub fn configure_server(&self, server: &BackendServerId, rate: CreditPerSecond) {
        let owner = QuotaOwner::Server(server.clone());
        configure_account(&mut self.accounts.lock(), owner, server_limit(rate));
    }

    /// Forgets the limits of servers that are gone.
    pub fn retain_servers<IsListed>(&self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        self.accounts.lock().retain(|owner, _| match owner {
            QuotaOwner::Partner(_) => true,
            QuotaOwner::Server(server) => is_listed(server),
        });
    }

    /// Takes `credit` out of a quota or a server's limit; leases more from its primary where too little is leased here.
    ///
    /// # Errors
    ///
    /// The refusal: `OverQuota` when it is used up, `QuotaUnknown` when nobody answers.
    pub async fn charge(
        &self,
        state: &RelayState,
        owner: &QuotaOwner,
        credit: Credit,
    ) -> Result<(), Refusal> {
        for timeout in ANSWER_TIMEOUTS {
            if let Some(settled) = self.settle(state, owner, credit) {
                return settled;
            }
            let Some(host) = self.whom_to_ask(state, owner) else {
                break;
            };
            let grant = if host == self.host {
                self.grant(state, owner, credit, Credit::ZERO)
            } else {
                self.ask(state, &host, owner, credit, timeout).await
            };
            if let Some(Grant::Granted(granted)) = grant
                && host == self.host
            {
                self.lease(owner, clock::now(), granted);
            }
            if let Some(Grant::Denied { retry_after_ms }) = grant {
                self.deny(owner, credit, retry_after_ms);
                return Err(Refusal::retry_after(Reason::OverQuota, retry_after_ms));
            }
        }
        self.settle(state, owner, credit)
            .unwrap_or(Err(Refusal::retry_after(Reason::QuotaUnknown, UNKNOWN_RETRY_MS)))
    }

    /// Decides from what is leased and denied already, if that suffices.
    fn settle(&self, state: &RelayState, owner: &QuotaOwner, credit: Credit) -> Option<Result<(), Refusal>> {
        let now_us = clock::now();
        let mut accounts = self.accounts.lock();
        let Some(account) = accounts.get_mut(owner) else {
            return Some(Ok(()));
        };
        let expired = account.leased.take_expired(now_us);
        let is_paid = account.leased.spend(now_us, credit);
        let denied_ms = account.leased.denied_ms(now_us, credit);
        drop(accounts);
        self.put_back(state, owner, expired);
        match denied_ms {
            _ if is_paid => Some(Ok(())),
            Some(wait_ms) => Some(Err(Refusal::retry_after(Reason::OverQuota, wait_ms))),
            None => None,
        }
    }

    /// The first candidate that is not suspected.
    fn whom_to_ask(&self, state: &RelayState, owner: &QuotaOwner) -> Option<HostId> {
        let now_us = clock::now();
        let silent = self.silent.lock();
        let is_suspected =
            |host: &HostId| silent.get(host).is_some_and(|silence| silence.is_suspected(now_us));
        let ranked = candidates(owner.as_str(), self.reachable(state));
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
        owner: &QuotaOwner,
        needs: Credit,
        timeout: Duration,
    ) -> Option<Grant> {
        let address = state.peers.address_of(host)?;
        let now_us = clock::now();
        let likely = self.accounts.lock().get_mut(owner)?.leased.likely(now_us);
        let number = self.asked.fetch_add(1, Ordering::Relaxed);
        let (answered, answer) = oneshot::channel();
        self.remember(now_us, number, Question { owner: owner.clone(), asked_us: now_us, answered });
        let incarnation = state.incarnation;
        let limit = match owner {
            QuotaOwner::Partner(_) => None,
            QuotaOwner::Server(server) => state.limits.statement(server),
        };
        let question = QuotaQuestion { incarnation, number, owner: owner.clone(), needs, likely, limit };
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
        let &QuotaQuestion { incarnation, number, ref owner, needs, likely, ref limit } = question;
        if let Some(limit) = limit {
            state.limits.merge(state, std::slice::from_ref(limit));
        }
        if let Some(grant) = self.grant(state, owner, needs, likely) {
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
            self.lease(&question.owner, question.asked_us, credit);
        }
        // Whoever asked may have given up.
        let _ = question.answered.send(answer.grant);
    }

    /// Takes back what another daemon did not spend.
    pub fn returned(&self, returned: &QuotaReturn) {
        if let Some(account) = self.accounts.lock().get_mut(&returned.owner) {
            account.ledger.put_back(clock::now(), returned.credit);
        }
    }

    /// Gives back the charge of a request that has not run, or credit whose lease expired.
    pub fn put_back(&self, state: &RelayState, owner: &QuotaOwner, credit: Credit) {
        if credit == Credit::ZERO {
            return;
        }
        let returned = QuotaReturn { owner: owner.clone(), credit };
        match self.whom_to_ask(state, owner) {
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
        for (owner, account) in self.accounts.lock().iter_mut() {
            if outranks(owner.as_str(), host, &self.host) {
                account.ledger.step_down();
            }
        }
    }

    fn grant(&self, state: &RelayState, owner: &QuotaOwner, needs: Credit, likely: Credit) -> Option<Grant> {
        if let QuotaOwner::Server(server) = owner
            && state.limits.statement(server).is_some_and(|limit| limit.rate.is_none())
        {
            // It was withdrawn, which the other daemon does not know yet.
            return Some(Grant::Granted(needs));
        }
        let is_primary = candidates(owner.as_str(), self.reachable(state)).first() == Some(&self.host);
        let role = if is_primary { LedgerRole::Primary } else { LedgerRole::Standby };
        let coverage = state.peers.coverage();
        let mut accounts = self.accounts.lock();
        let account = accounts.get_mut(owner)?;
        Some(account.ledger.grant(clock::now(), role, coverage, needs, likely))
    }

    fn lease(&self, owner: &QuotaOwner, asked_us: MonoTime, credit: Credit) {
        if let Some(account) = self.accounts.lock().get_mut(owner) {
            account.leased.add(asked_us, credit);
        }
    }

    fn deny(&self, owner: &QuotaOwner, credit: Credit, wait_ms: Millis) {
        if let Some(account) = self.accounts.lock().get_mut(owner) {
            account.leased.deny(clock::now(), credit, wait_ms.min(DENIAL_MS_MAX));
        }
    }

    fn send(&self, to: SocketAddr, datagram: Datagram) {
        // Without the talk between daemons nobody can be asked, and the question runs into its time limit.
        let _ = self.outgoing.send((to, datagram));
    }
}

fn configure_account(
    accounts: &mut HashMap<QuotaOwner, Account>,
    owner: QuotaOwner,
    settings: LedgerSettings,
) {
    let account = accounts
        .entry(owner)
        .or_insert_with(|| Account { leased: LeasedCredit::default(), ledger: Ledger::new(settings) });
    account.ledger.configure(settings);
}
