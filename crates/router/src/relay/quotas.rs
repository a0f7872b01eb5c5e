//! Quotas of organisations and rate limits of servers: credit is leased before a request is forwarded, and
//! granted to daemons that request it.
//!
//! Decisions are made in [`hibiscusvale_core::quota`]. Requests and replies are datagrams: a late one is of
//! no use, and a request without a reply is repeated.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation, PartnerId};
use hibiscusvale_core::quota::{
    Grant, LEASE_TTL_MS, LeasedCredit, Ledger, LedgerRole, LedgerSettings, LimitStatement, Quota,
    QuotaBounds, Suspicion, candidates, outranks, server_limit_settings,
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

/// Timeout of each attempt: several round trips in a region. The sum is short compared with the latency
/// target of a page.
const REPLY_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(12),
    Duration::from_millis(15),
    Duration::from_millis(20),
    Duration::from_millis(25),
];

/// Retry-After when no daemon replies: the membership soon shows which daemons are gone.
const UNKNOWN_RETRY_MS: Millis = Millis(500);

/// Maximum time for which a denial is cached: credit may be returned sooner than expected.
const DENIAL_CACHE_MS_MAX: Millis = Millis(100);

/// Owner of the credit that is granted and leased.
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

/// Request for credit from another daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaRequest {
    /// Incarnation of the requesting daemon; a later incarnation numbers its requests anew.
    incarnation: Incarnation,
    number: u64,
    owner: QuotaOwner,
    needs: Credit,
    likely: Credit,
    /// The server's latest statement, if the owner is a server: the daemon that is asked may not have
    /// received it.
    limit: Option<LimitStatement>,
}

/// Reply to a credit request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaReply {
    incarnation: Incarnation,
    number: u64,
    grant: Grant,
}

/// Return of granted, unspent credit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaReturn {
    owner: QuotaOwner,
    credit: Credit,
}

/// A datagram and its destination.
pub type Outgoing = (SocketAddr, Datagram);

#[derive(Debug)]
struct Account {
    leased: LeasedCredit,
    ledger: Ledger,
}

#[derive(Debug)]
struct PendingRequest {
    owner: QuotaOwner,
    requested_us: MonoTime,
    reply_sender: oneshot::Sender<Grant>,
}

/// Quotas and server limits as far as this daemon spends or grants their credit.
#[derive(Debug)]
pub struct QuotaAccounts {
    host: HostId,
    accounts: Mutex<HashMap<QuotaOwner, Account>>,
    pending: Mutex<HashMap<u64, PendingRequest>>,
    next_number: AtomicU64,
    suspicions: Mutex<HashMap<HostId, Suspicion>>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

impl QuotaAccounts {
    /// A set without quotas, and the receiver of its outgoing datagrams.
    pub fn new(host: HostId) -> (Self, mpsc::UnboundedReceiver<Outgoing>) {
        let (outgoing, messages) = mpsc::unbounded_channel();
        let quotas = Self {
            host,
            accounts: Mutex::default(),
            pending: Mutex::default(),
            next_number: AtomicU64::new(0),
            suspicions: Mutex::default(),
            outgoing,
        };
        (quotas, messages)
    }

    /// Applies the quotas of a route table. Granted and leased credit is kept.
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

    /// Applies the limit that a server states. Granted and leased credit is kept.
    pub fn configure_server(&self, server: &BackendServerId, rate: CreditPerSecond) {
        let owner = QuotaOwner::Server(server.clone());
        configure_account(&mut self.accounts.lock(), owner, server_limit_settings(rate));
    }

    /// Removes the limits of servers that are no longer listed.
    pub fn retain_servers<IsListed>(&self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        self.accounts.lock().retain(|owner, _| match owner {
            QuotaOwner::Partner(_) => true,
            QuotaOwner::Server(server) => is_listed(server),
        });
    }

    /// Charges `credit` to a quota or a server's limit; leases more from its primary when too little is
    /// leased here.
    ///
    /// # Errors
    ///
    /// The refusal: `OverQuota` when the quota is used up, `QuotaUnknown` when no daemon replies.
    pub async fn charge(
        &self,
        state: &RelayState,
        owner: &QuotaOwner,
        credit: Credit,
    ) -> Result<(), Refusal> {
        for timeout in REPLY_TIMEOUTS {
            if let Some(settled) = self.settle(state, owner, credit) {
                return settled;
            }
            let Some(host) = self.select_daemon(state, owner) else {
                break;
            };
            let grant = if host == self.host {
                self.grant(state, owner, credit, Credit::ZERO)
            } else {
                self.request(state, &host, owner, credit, timeout).await
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

    /// Decides from leased credit and cached denials, if they suffice.
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
        self.refund(state, owner, expired);
        match denied_ms {
            _ if is_paid => Some(Ok(())),
            Some(wait_ms) => Some(Err(Refusal::retry_after(Reason::OverQuota, wait_ms))),
            None => None,
        }
    }

    /// The first candidate that is not suspected.
    fn select_daemon(&self, state: &RelayState, owner: &QuotaOwner) -> Option<HostId> {
        let now_us = clock::now();
        let suspicions = self.suspicions.lock();
        let is_suspected =
            |host: &HostId| suspicions.get(host).is_some_and(|suspicion| suspicion.is_suspected(now_us));
        let ranked = candidates(owner.as_str(), self.reachable(state));
        ranked.into_iter().find(|host| !is_suspected(host))
    }

    fn reachable(&self, state: &RelayState) -> Vec<HostId> {
        let mut hosts = state.peers.live_hosts();
        hosts.push(self.host.clone());
        hosts
    }

    async fn request(
        &self,
        state: &RelayState,
        host: &HostId,
        owner: &QuotaOwner,
        needs: Credit,
        timeout: Duration,
    ) -> Option<Grant> {
        let address = state.peers.address_of(host)?;
        let now_us = clock::now();
        let likely = self.accounts.lock().get_mut(owner)?.leased.expected_spend(now_us);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply) = oneshot::channel();
        self.add_pending(
            now_us,
            number,
            PendingRequest { owner: owner.clone(), requested_us: now_us, reply_sender },
        );
        let incarnation = state.incarnation;
        let limit = match owner {
            QuotaOwner::Partner(_) => None,
            QuotaOwner::Server(server) => state.limits.statement(server),
        };
        let request = QuotaRequest { incarnation, number, owner: owner.clone(), needs, likely, limit };
        self.send(address, Datagram::QuotaRequest(request));
        let grant = tokio::time::timeout(timeout, reply).await.ok().and_then(Result::ok);
        let mut suspicions = self.suspicions.lock();
        if grant.is_some() {
            suspicions.remove(host);
            return grant;
        }
        suspicions.entry(host.clone()).or_default().record_timeout(clock::now());
        None
    }

    fn add_pending(&self, now_us: MonoTime, number: u64, request: PendingRequest) {
        let mut pending = self.pending.lock();
        pending.retain(|_, request| now_us < request.requested_us + LEASE_TTL_MS);
        pending.insert(number, request);
    }

    /// Replies to another daemon's request. There is no reply for an organisation that is not known here yet.
    pub fn handle_request(&self, state: &RelayState, from: SocketAddr, request: &QuotaRequest) {
        let &QuotaRequest { incarnation, number, ref owner, needs, likely, ref limit } = request;
        if let Some(limit) = limit {
            state.limits.merge(state, std::slice::from_ref(limit));
        }
        if let Some(grant) = self.grant(state, owner, needs, likely) {
            self.send(from, Datagram::QuotaReply(QuotaReply { incarnation, number, grant }));
        }
    }

    /// Handles a reply. Credit that arrives too late for its request serves the next one.
    pub fn handle_reply(&self, state: &RelayState, reply: &QuotaReply) {
        if reply.incarnation != state.incarnation {
            return;
        }
        let Some(request) = self.pending.lock().remove(&reply.number) else {
            return;
        };
        if let Grant::Granted(credit) = reply.grant {
            self.lease(&request.owner, request.requested_us, credit);
        }
        // The requester may have timed out.
        let _ = request.reply_sender.send(reply.grant);
    }

    /// Credits what another daemon did not spend.
    pub fn accept_return(&self, returned: &QuotaReturn) {
        if let Some(account) = self.accounts.lock().get_mut(&returned.owner) {
            account.ledger.refund(clock::now(), returned.credit);
        }
    }

    /// Refunds the charge of a request that has not run, or credit whose lease expired.
    pub fn refund(&self, state: &RelayState, owner: &QuotaOwner, credit: Credit) {
        if credit == Credit::ZERO {
            return;
        }
        let returned = QuotaReturn { owner: owner.clone(), credit };
        match self.select_daemon(state, owner) {
            Some(host) if host == self.host => self.accept_return(&returned),
            Some(host) => {
                if let Some(address) = state.peers.address_of(&host) {
                    self.send(address, Datagram::QuotaReturn(returned));
                }
            }
            None => {}
        }
    }

    /// Steps down as primary for the owners for which the joined daemon ranks higher.
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
            // The limit was withdrawn, which the other daemon does not know yet.
            return Some(Grant::Granted(needs));
        }
        let is_primary = candidates(owner.as_str(), self.reachable(state)).first() == Some(&self.host);
        let role = if is_primary { LedgerRole::Primary } else { LedgerRole::Standby };
        let coverage = state.peers.coverage();
        let mut accounts = self.accounts.lock();
        let account = accounts.get_mut(owner)?;
        Some(account.ledger.grant(clock::now(), role, coverage, needs, likely))
    }

    fn lease(&self, owner: &QuotaOwner, requested_us: MonoTime, credit: Credit) {
        if let Some(account) = self.accounts.lock().get_mut(owner) {
            account.leased.add(requested_us, credit);
        }
    }

    fn deny(&self, owner: &QuotaOwner, credit: Credit, wait_ms: Millis) {
        if let Some(account) = self.accounts.lock().get_mut(owner) {
            account.leased.record_denial(clock::now(), credit, wait_ms.min(DENIAL_CACHE_MS_MAX));
        }
    }

    fn send(&self, to: SocketAddr, datagram: Datagram) {
        // If the exchange between daemons is down, the request simply times out.
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
