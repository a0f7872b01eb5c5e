//! Whether this daemon reaches the servers of each service, for all requests that it sends.
//!
//! Decisions are made in [`hibiscusvale_core::relay::reach`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::helper_search::{Candidate, HelperSearch};
use hibiscusvale_core::relay::reach::{
    self, DueCheck, HelperCounts, HelperState, Reach, ReachChange, Reached,
};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, MonoTime};
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::exchange::send;
use super::message::Datagram;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use super::statements::{self, CallKind};
use super::trace::cause_label;
use crate::backend::{ConnectionReuse, Probe, probe, uri};
use crate::clock;
use crate::directory::BackendServer;
use crate::external::ListedState;
use crate::metrics::Label;

/// Resolution of the times at which checks are due.
const CHECK_TICK: Duration = Duration::from_millis(50);

/// Number of servers that the first check after a failure asks.
const FIRST_CHECKED_SERVERS: usize = 4;

/// Number of servers of a service that a further check asks: if four of five are down, one of these is not.
const CHECKED_SERVERS: usize = 16;

/// Time within which a checked server has to answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which other daemons are asked what they reach, while this one has doubts.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Age at which the reply of another daemon is no longer used.
const REPLY_TTL_MS: Millis = Millis(1_000);

/// Time after which a question counts as not replied to: several round trips inside a region.
const REPLY_WAIT_MS: Millis = Millis(60);

/// Maximum time that a request waits while daemons are being asked.
const SEARCH_WAIT_MS: Millis = Millis(400);

/// Maximum number of questions that wait for a check.
const WAITING_QUESTIONS_MAX: usize = 1_024;

/// Number of daemons that are named to another one as reaching a service.
const NAMED_DAEMONS: usize = 3;

/// Shortest time-out that shows something about a server.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Retry-After while no daemon reaches the servers: two checks, after which they are in reach again at the earliest.
const OUTAGE_RETRY_MS: Millis = Millis(1_000);

/// The refusal of a request while checks find out when servers are in reach again.
pub fn nobody_reaches_servers() -> Refusal {
    Refusal::retry_after(Reason::NoServer, OUTAGE_RETRY_MS)
}

/// What this daemon knows about its way to the servers.
#[derive(Debug, Default)]
pub struct SharedReach {
    services: Mutex<Reach>,
    /// Latest replies of other daemons, and when they came.
    replies: Mutex<BTreeMap<HostId, (MonoTime, HelperState)>>,
    search: Mutex<HelperSearch>,
    /// Questions of other daemons that a check has to answer first, by their address.
    questions: Mutex<BTreeMap<SocketAddr, Vec<String>>>,
    /// Socket for the replies to them.
    socket: OnceLock<std::net::UdpSocket>,
    /// Signals to the task that asks other daemons that a request got no answer.
    doubted: Notify,
    /// Signals to the task that checks servers that a request got no answer.
    suspected: Notify,
    /// Signals replies and questions.
    replied: Notify,
}

/// A daemon to which requests can be forwarded.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Its host.
    pub host: HostId,
    /// Its address for other daemons.
    pub address: SocketAddr,
}

impl SharedReach {
    /// Records whether a server answered a request that waited for up to `timeout`.
    pub fn record(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        timeout: Duration,
        answered: Result<(), FailureCause>,
    ) {
        let listing = state.directory.listing();
        let Some(service) = listing.servers.get(server).and_then(|listed| listed.kind.service()) else {
            return;
        };
        let cause = match answered {
            Ok(()) => return self.services.lock().answered(clock::now(), service),
            Err(FailureCause::Timeout) if timeout < TIMEOUT_MIN => return,
            Err(cause) => cause,
        };
        self.services.lock().failed(clock::now(), service, server, cause);
        self.doubted.notify_one();
        self.suspected.notify_one();
    }

    /// Sets the socket for replies that follow a check.
    pub fn set_socket(&self, socket: std::net::UdpSocket) {
        // It is set once, before any question arrives.
        let _ = self.socket.set(socket);
    }

    /// Whether the servers of a service are reached.
    pub fn reached(&self, service: &str) -> Reached {
        self.services.lock().reached(clock::now(), service)
    }

    /// Stores the reply of another daemon.
    pub fn receive(&self, now_us: MonoTime, state: HelperState) {
        let mut replies = self.replies.lock();
        replies.retain(|_, (at_us, _)| now_us < *at_us + REPLY_TTL_MS);
        replies.insert(state.host.clone(), (now_us, state));
        drop(replies);
        self.replied.notify_waiters();
    }

    /// Records daemons that another one names as reaching a service.
    pub fn receive_named(&self, now_us: MonoTime, hosts: Vec<HostId>) {
        self.search.lock().named(now_us, hosts);
    }

    /// Waits until a daemon has said that it reaches `service`, or all have been asked and had time to reply, for at most
    /// half of the time `left`. Several requests may fail at the same moment, and the next ones come before any daemon can
    /// have replied.
    pub async fn wait_for_helper(&self, state: &RelayState, service: &str, left: Duration) {
        let wait = Duration::from(SEARCH_WAIT_MS).min(left / 2);
        let waiting = async {
            loop {
                let notified = self.replied.notified();
                if !state.peers.is_any_heard() || self.helper(state, service, &[]).is_some() {
                    return;
                }
                let replies_end_us =
                    self.search.lock().covered_us(service).map(|at_us| at_us + REPLY_WAIT_MS);
                let now_us = clock::now();
                match replies_end_us {
                    Some(end_us) if now_us >= end_us => return,
                    Some(end_us) => {
                        // Either the time is over, or there is a reply to look at.
                        let _ = tokio::time::timeout(Duration::from(end_us.since(now_us)), notified).await;
                    }
                    None => notified.await,
                }
            }
        };
        // Without a helper the request is refused.
        let _ = tokio::time::timeout(wait, waiting).await;
    }

    /// What is known of the daemons to which a request for `service` could be forwarded.
    pub fn helper_counts(&self, service: &str) -> HelperCounts {
        let now_us = clock::now();
        let mut counts =
            HelperCounts { asked: self.search.lock().asked_count(service), ..HelperCounts::default() };
        let replies = self.replies.lock();
        for reached in fresh(&replies, now_us).filter_map(|reply| reply.reached_of(service)) {
            counts.replied += 1;
            counts.reaching += usize::from(reached.is_possible());
        }
        counts
    }

    /// A daemon that reaches the servers of `service`, except those on `tried`.
    pub fn helper(&self, state: &RelayState, service: &str, tried: &[HostId]) -> Option<Helper> {
        let replies = self.replies.lock();
        let usable = fresh(&replies, clock::now());
        let own = state.peers.data_centre();
        let chosen = reach::choose_helper(usable, service, own, tried, &mut rand::rng())?;
        Some(Helper { host: chosen.host.clone(), address: state.peers.address_of(&chosen.host)? })
    }

    /// Has the servers of services checked about which another daemon asks, unless they were recently. Returns whether a
    /// check has to come first.
    fn check_asked(&self, state: &RelayState, asked: &[String]) -> bool {
        let listing = state.directory.listing();
        let is_listed = |service: &&String| {
            listing.servers.values().any(|listed| listed.kind.service() == Some(service.as_str()))
        };
        let now_us = clock::now();
        let mut services = self.services.lock();
        let mut is_check_needed = false;
        for service in asked.iter().filter(is_listed) {
            services.asked(now_us, service);
            let is_lost = services.reached(now_us, service) == Reached::No;
            is_check_needed |= !is_lost && !services.is_verified(now_us, service);
        }
        drop(services);
        if is_check_needed {
            self.suspected.notify_one();
        }
        is_check_needed
    }

    /// Some daemons that reach any of `services`, which this one does not reach.
    fn known_helpers(&self, services: &[String]) -> Vec<HostId> {
        let lost: Vec<&String> =
            services.iter().filter(|service| self.reached(service) == Reached::No).collect();
        let replies = self.replies.lock();
        let helping = fresh(&replies, clock::now())
            .filter(|reply| lost.iter().any(|service| reply.reached_of(service) == Some(Reached::Yes)));
        helping.map(|reply| reply.host.clone()).sample(&mut rand::rng(), NAMED_DAEMONS)
    }

    /// The daemons to ask now about services in doubt.
    fn next_asked(&self, state: &RelayState, services: &[String]) -> Vec<SocketAddr> {
        let live = state.peers.live_daemons();
        let candidates: Vec<Candidate<'_>> = live
            .iter()
            .map(|daemon| Candidate { host: &daemon.host, data_centre: &daemon.data_centre })
            .collect();
        let replies = self.replies.lock();
        let asked = self.search.lock().next(clock::now(), services, &candidates, &replies, &mut rand::rng());
        asked.into_iter().filter_map(|host| state.peers.address_of(host)).collect()
    }

    fn doubted_services(&self) -> Vec<String> {
        self.services.lock().doubted(clock::now()).map(str::to_owned).collect()
    }

    /// Number of series of failures after which a check was answered.
    pub fn verified_series(&self) -> u64 {
        self.services.lock().verified_series()
    }

    /// Number of services whose servers are out of reach.
    pub fn lost(&self) -> usize {
        self.services.lock().lost().count()
    }
}

fn fresh(
    replies: &BTreeMap<HostId, (MonoTime, HelperState)>,
    now_us: MonoTime,
) -> impl Iterator<Item = &HelperState> {
    let is_fresh = move |(at_us, _): &&(MonoTime, HelperState)| now_us < *at_us + REPLY_TTL_MS;
    replies.values().filter(is_fresh).map(|(_, reply)| reply)
}

impl Label for Reached {
    fn label(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::Partly => "partly",
            Self::Unknown => "unknown",
            Self::Doubtful => "doubtful",
            Self::No => "no",
        }
    }
}

fn is_in_use(listed: &BackendServer, service: &str) -> bool {
    listed.kind.service() == Some(service) && listed.listed == ListedState::Live
}

fn log_change(state: &RelayState, service: &str, change: Option<ReachChange>) {
    match change {
        Some(ReachChange::Lost { servers, failures, cause, last_answer_ms }) => {
            let cause = cause.map_or("", cause_label);
            state.log.servers_out_of_reach(service, &servers, failures, cause, last_answer_ms);
        }
        Some(ReachChange::Regained { lost_ms }) => state.log.servers_in_reach(service, lost_ms),
        None => {}
    }
}

/// Checks the servers of services with failures, for as long as the daemon runs.
pub async fn run_checks(state: Arc<RelayState>) {
    loop {
        let due = state.reach.services.lock().due_checks(clock::now());
        let checks = due.into_iter().map(|check| run_check(&state, check));
        futures_util::future::join_all(checks).await;
        let has_checks = state.reach.services.lock().has_checks();
        if has_checks {
            tokio::time::sleep(CHECK_TICK).await;
        } else {
            state.reach.suspected.notified().await;
        }
    }
}

/// Replies to the questions of other daemons that have waited for a check of `service`.
fn reply_after_check(state: &RelayState, service: &str) {
    let Some(socket) = state.reach.socket.get() else {
        return;
    };
    let mut waiting = state.reach.questions.lock();
    let is_answered = |asked: &[String]| asked.iter().any(|name| name == service);
    let answered: Vec<_> = waiting.extract_if(.., |_, asked| is_answered(asked)).collect();
    drop(waiting);
    for (to, services) in answered {
        if let Ok(bytes) = postcard::to_stdvec(&Datagram::ReachReply(own_state(state, services))) {
            // A daemon that does not get it asks again.
            let _ = socket.send_to(&bytes, to);
        }
    }
}

async fn run_check(state: &RelayState, check: DueCheck) {
    let answers = does_any_answer(state, &check).await;
    let listing = state.directory.listing();
    let listed = listing.servers.values().filter_map(|listed| listed.kind.service());
    let mut services = state.reach.services.lock();
    services.include(listed);
    let change = services.checked(clock::now(), &check.service, answers);
    drop(services);
    if !answers {
        state.reach.doubted.notify_one();
    }
    log_change(state, &check.service, change);
    reply_after_check(state, &check.service);
}

/// Whether any of some servers of a service answers over a new connection, whatever it answers. Others may be down.
/// A service without servers is not out of reach.
async fn does_any_answer(state: &RelayState, check: &DueCheck) -> bool {
    let listing = state.directory.listing();
    let in_use = listing.servers.values().filter(|listed| is_in_use(listed, &check.service));
    let count = if check.is_first { FIRST_CHECKED_SERVERS } else { CHECKED_SERVERS };
    let checked = in_use.sample(&mut rand::rng(), count);
    if checked.is_empty() {
        return true;
    }
    let answers = checked.into_iter().map(|server| {
        Box::pin(async move { if does_server_answer(state, server).await { Ok(()) } else { Err(()) } })
    });
    // The first answer decides.
    futures_util::future::select_ok(answers).await.is_ok()
}

async fn does_server_answer(state: &RelayState, server: &BackendServer) -> bool {
    let is_limited = state.limits.statement(&server.id).is_some();
    let is_suspended = state.router_http().is_suspended(server.address);
    if is_limited || is_suspended || statements::check(state, &server.id, CallKind::Work).is_err() {
        // A request would count against its limit, disturb its rest, or get an answer without end again.
        return probe(server.address).await == Probe::Accepts;
    }
    let call = state.wire.report(&server.id);
    let Ok(target) = uri(server.address, &call.path) else {
        return false;
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = call.method;
    *request.uri_mut() = target;
    *request.headers_mut() = call.headers;
    state.router_http().send(ConnectionReuse::Fresh, request, CHECK_TIMEOUT).await.is_ok()
}

/// Asks other daemons what they reach while this one has doubts, for as long as it runs.
pub async fn ask_daemons(socket: &UdpSocket, state: &RelayState) {
    loop {
        let services = state.reach.doubted_services();
        if services.is_empty() {
            state.reach.search.lock().end();
            state.reach.doubted.notified().await;
            continue;
        }
        let asked = state.reach.next_asked(state, &services);
        let request = Datagram::ReachRequest(services);
        for address in asked {
            // A lost question is followed by the next one.
            send(socket, address, &request).await;
        }
        state.reach.replied.notify_waiters();
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Replies to another daemon's question, and names daemons that reach what this one does not. If a check has to answer the
/// question, a second reply follows it.
pub async fn reply(socket: &UdpSocket, to: SocketAddr, state: &RelayState, services: Vec<String>) {
    if state.reach.check_asked(state, &services) {
        let mut questions = state.reach.questions.lock();
        if questions.len() < WAITING_QUESTIONS_MAX {
            questions.insert(to, services.clone());
        }
    }
    let named = state.reach.known_helpers(&services);
    send(socket, to, &Datagram::ReachReply(own_state(state, services))).await;
    if !named.is_empty() {
        send(socket, to, &Datagram::HelpersKnown(named)).await;
    }
}

fn own_state(state: &RelayState, services: Vec<String>) -> HelperState {
    let is_stopping = state.stopping.load(Ordering::Relaxed);
    let now_us = clock::now();
    let known = state.reach.services.lock();
    let reached = services.into_iter().map(|service| {
        let reached = if is_stopping { Reached::No } else { known.reached_for_others(now_us, &service) };
        (service, reached)
    });
    HelperState {
        host: state.peers.host().clone(),
        data_centre: state.peers.data_centre().clone(),
        reached: reached.collect(),
        open_requests: state.open.load(Ordering::Relaxed),
    }
}
