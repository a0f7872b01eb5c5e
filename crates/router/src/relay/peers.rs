//! The other daemons: which there are, which were heard of lately, and the talk with them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::quota::Coverage;
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::edge::{DaemonEntry, Register};
use super::handover;
use super::loans::{self, Spares};
use super::message::{Datagram, MESSAGE_LIMIT_BYTES, Message, Told};
use super::pace::{Pace, Urgency, listen_pause};
use super::quotas::Outgoing;
use super::state::RelayState;
use super::watch;
use crate::clock;
use crate::dispatch::ServiceAsk;

/// A daemon that was not heard of for so long has no requests any more, or cannot tell: engines say themselves when
/// they are full.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Pause between messages to a daemon that was not heard of: hosts that are gone for good stay registered.
const CALL_AGAIN: Duration = Duration::from_secs(3);

/// A daemon that was not heard of for so long is taken to be gone for good, not cut off.
const FORGET: Duration = Duration::from_mins(10);

/// Daemons that may be at work while the register could not be read.
const UNREAD_REGISTER_DAEMONS: u64 = 64;

/// Shortest pause between looks at the register. A daemon that starts reads it and calls all others, who know it from then on;
/// the look only mends what lost datagrams left. Waiting for news instead would have each of 87 daemons call the store
/// again whenever one of the others starts: 19,000 calls in a day on which all were restarted in turn.
const REGISTER_PERIOD: Duration = Duration::from_secs(30);

/// Looks of all daemons together in a second, at most. With hundreds of them a look of each every half minute would
/// be more calls to the store than all that the readers make.
const REGISTER_LOOKS_PER_S: u64 = 3;

/// Pause after a failed call to the register.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// When it was last seen in the register for the first time, or heard of.
    seen: Instant,
    heard: Option<Heard>,
    called: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    incarnation: Incarnation,
    sequence: u64,
    reaches_store: bool,
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Self {
        Self { address, seen: now, heard: None, called: None }
    }
}

/// What a message is among those of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hearing {
    /// It is older than one that was heard.
    Old,
    /// The first of a daemon that was not heard of, or not for a while.
    First,
    /// A further one.
    Next,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<HashMap<HostId, Peer>>,
    /// Where to ask when nobody else is known.
    seeds: Vec<SocketAddr>,
    /// Whether the register was read: before that there may be any number of daemons.
    register_read: AtomicBool,
    pace: Pace,
}

impl Peers {
    /// No daemon is known yet; this one is on `own`.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
        Self { seeds: seeds.filter(|seed| *seed != own).collect(), ..Self::default() }
    }

    /// Something that the others should know has changed.
    pub fn touch(&self, urgency: Urgency) {
        self.pace.touch(Instant::now(), urgency);
    }

    /// Daemons that were heard of lately.
    pub fn live(&self) -> u32 {
        let now = Instant::now();
        let live = self.known.lock().values().filter(|peer| is_live(peer, now)).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }

    /// Hosts of those among them that can do for all what needs the store.
    pub fn hosts_at_store(&self) -> Vec<HostId> {
        let now = Instant::now();
        let known = self.known.lock();
        let is_at_store =
            |peer: &Peer| is_live(peer, now) && peer.heard.is_some_and(|heard| heard.reaches_store);
        known.iter().filter(|(_, peer)| is_at_store(peer)).map(|(host, _)| host.clone()).collect()
    }

    /// Addresses of the daemons that were heard of lately, and of all others behind them.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let known = self.known.lock();
        let mut peers: Vec<&Peer> = known.values().collect();
        peers.sort_by_key(|peer| (!is_live(peer, now), peer.address));
        peers.iter().map(|peer| peer.address).chain(self.seeds.iter().copied()).collect()
    }

    /// Where the daemon on `host` listens.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        Some(self.known.lock().get(host)?.address)
    }

    /// Daemons that are registered or were heard of, this one among them.
    pub fn registered(&self) -> u64 {
        self.known.lock().len() as u64 + 1
    }

    /// Hosts of the daemons that were heard of lately.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let now = Instant::now();
        let known = self.known.lock();
        known.iter().filter(|(_, peer)| is_live(peer, now)).map(|(host, _)| host.clone()).collect()
    }

    /// The daemons that this one can reach, of those that may be at work.
    pub fn coverage(&self) -> Coverage {
        let now = Instant::now();
        let known = self.known.lock();
        let count = |is: &dyn Fn(&Peer) -> bool| known.values().filter(|peer| is(peer)).count() as u64 + 1;
        let live = count(&|peer| is_live(peer, now));
        let all = count(&|peer| now < peer.seen + FORGET);
        let least = if self.register_read.load(Ordering::Relaxed) { 0 } else { UNREAD_REGISTER_DAEMONS };
        Coverage { live, all: all.max(least) }
    }

    fn learn(&self, own: &HostId, entries: Vec<DaemonEntry>) {
        let now = Instant::now();
        let mut known = self.known.lock();
        for DaemonEntry { host, peer_address } in entries {
            if host == *own {
                continue;
            }
            let peer = known.entry(host).or_insert(Peer::new(peer_address, now));
            if peer.address != peer_address && peer.heard.is_none() {
                peer.address = peer_address;
                peer.called = None;
            }
        }
        self.register_read.store(true, Ordering::Relaxed);
    }

    /// Whom to send a message now.
    fn targets(&self, now: Instant) -> Vec<SocketAddr> {
        let mut known = self.known.lock();
        let due = |peer: &&mut Peer| {
            is_live(peer, now) || peer.called.is_none_or(|called| now >= called + CALL_AGAIN)
        };
        let called = known.values_mut().filter(due).map(|peer| {
            peer.called = Some(now);
            peer.address
        });
        let called: Vec<SocketAddr> = called.collect();
        if known.values().any(|peer| is_live(peer, now)) {
            return called;
        }
        called.into_iter().chain(self.seeds.iter().copied()).collect()
    }

    /// Takes note of a message.
    fn hear(&self, now: Instant, from: SocketAddr, message: &Message) -> Hearing {
        let mut known = self.known.lock();
        let peer = known.entry(message.host.clone()).or_insert(Peer::new(from, now));
        let next = (message.incarnation, message.sequence);
        if peer.heard.is_some_and(|heard| next <= (heard.incarnation, heard.sequence)) {
            return Hearing::Old;
        }
        let hearing = if peer.heard.is_some() { Hearing::Next } else { Hearing::First };
        let Message { incarnation, sequence, reaches_store, .. } = *message;
        *peer = Peer {
            address: from,
            seen: now,
            heard: Some(Heard { at: now, incarnation, sequence, reaches_store }),
            called: peer.called,
        };
        hearing
    }

    /// Hosts that fell silent since the last look.
    fn fallen_silent(&self, now: Instant) -> Vec<HostId> {
        let mut known = self.known.lock();
        let silent = known.iter_mut().filter(|(_, peer)| peer.heard.is_some() && !is_live(peer, now));
        silent
            .map(|(host, peer)| {
                peer.heard = None;
                host.clone()
            })
            .collect()
    }
}

fn is_live(peer: &Peer, now: Instant) -> bool {
    peer.heard.is_some_and(|heard| now < heard.at + SILENCE)
}

/// Registers this daemon and learns of the others, for as long as it runs.
pub async fn follow_register(register: Arc<dyn Register>, own: DaemonEntry, state: Arc<RelayState>) {
    let mut tries = 0_u32;
    while let Err(failure) = register.announce(own.clone()).await {
        tries += 1;
        if tries == 1 {
            state.log.changed("could not register", &failure);
        }
        tokio::time::sleep(REGISTER_RETRY).await;
    }
    state.log.changed("registered, failed tries before", &tries);
    loop {
        let pause = match register.entries().await {
            Ok(entries) => {
                state.peers.learn(&own.host, entries);
                state.share_budget();
                state.peers.touch(Urgency::Soon);
                REGISTER_PERIOD.max(Duration::from_secs(state.peers.registered() / REGISTER_LOOKS_PER_S))
            }
            Err(_) => REGISTER_RETRY,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Tells the others what this daemon has, and hears them, for as long as it runs. Over TCP on the same port it hands
/// on what it knows.
///
/// # Errors
///
/// The system's error when the address cannot be bound.
pub async fn run(
    address: SocketAddr,
    host: HostId,
    asks: mpsc::UnboundedReceiver<ServiceAsk>,
    outgoing: mpsc::UnboundedReceiver<Outgoing>,
    state: Arc<RelayState>,
) -> io::Result<()> {
    let socket = UdpSocket::bind(address).await?;
    let handing_on = TcpListener::bind(socket.local_addr()?).await?;
    tokio::join!(
        tell(&socket, &host, &state),
        hear(&socket, &host, &state),
        loans::ask(&socket, asks, &state),
        send_all(&socket, outgoing),
        handover::serve(Arc::clone(&state), handing_on),
        handover::learn(Arc::clone(&state)),
    );
    Ok(())
}

async fn send_all(socket: &UdpSocket, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some((to, datagram)) = outgoing.recv().await {
        send(socket, to, &datagram).await;
    }
}

async fn tell(socket: &UdpSocket, host: &HostId, state: &RelayState) {
    let mut sequence = 0;
    let mut last = Instant::now();
    let mut told = Told::default();
    loop {
        state.peers.pace.due(last, state.peers.live()).await;
        last = Instant::now();
        sequence += 1;
        let (holdings, spares) = told.news(sequence, state.engine_hub.holdings(), loans::spares(state));
        let message = Message {
            host: host.clone(),
            incarnation: state.incarnation,
            sequence,
            stamp: state.freshness.stamp(clock::now(), state.table.load().version()),
            reaches_store: state.freshness.reaches_store(clock::now()),
            changes: state.news.next(),
            holdings,
            spares,
            crashes: state.quarantine.gossip(state),
            limits: state.limits.gossip(),
        };
        let Ok(bytes) = postcard::to_stdvec(&Datagram::Message(Box::new(message))) else {
            continue;
        };
        for target in state.peers.targets(Instant::now()) {
            // What is lost is said again.
            let _ = socket.send_to(&bytes, target).await;
        }
        for silent in state.peers.fallen_silent(Instant::now()) {
            state.log.changed("daemon silent", &silent);
            loans::told(&silent, &Spares::new(), state);
            state.engine_hub.peer_gone(&silent);
        }
    }
}

async fn hear(socket: &UdpSocket, own: &HostId, state: &RelayState) {
    let mut bytes = vec![0; MESSAGE_LIMIT_BYTES];
    loop {
        // A host that is gone shows as an error of the socket; the others are still heard.
        let _ = socket.readable().await;
        loop {
            match socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => take(socket, &bytes[..length], from, own, state).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
        if let Some(pause) = listen_pause(state.peers.live()) {
            tokio::time::sleep(pause).await;
        }
    }
}

async fn take(socket: &UdpSocket, bytes: &[u8], from: SocketAddr, own: &HostId, state: &RelayState) {
    match postcard::from_bytes(bytes) {
        Ok(Datagram::Message(message)) if message.host != *own => {
            if let Some(question) = heard(*message, from, state) {
                send(socket, from, &question).await;
            }
        }
        Ok(Datagram::LoanQuestion(question)) => loans::answer(socket, from, question, state).await,
        Ok(Datagram::LoanAnswer(answer)) => loans::take(&answer, state),
        Ok(Datagram::QuotaQuestion(question)) => state.quotas.answer(state, from, &question),
        Ok(Datagram::QuotaAnswer(answer)) => state.quotas.take(state, &answer),
        Ok(Datagram::QuotaReturn(returned)) => state.quotas.returned(&returned),
        Ok(Datagram::ReportQuestion(after)) => send(socket, from, &state.quarantine.page(after)).await,
        Ok(Datagram::ReportPage(page)) => {
            if let Some(question) = state.quarantine.receive_page(state, page) {
                send(socket, from, &question).await;
            }
        }
        // Its own word, through a seed; or bytes of somebody else.
        Ok(Datagram::Message(_)) | Err(_) => {}
    }
}

/// Sends one datagram; what is lost is asked for or said again.
pub(super) async fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    if let Ok(bytes) = postcard::to_stdvec(datagram) {
        let _ = socket.send_to(&bytes, to).await;
    }
}

/// Takes a message in; says what to ask its sender.
fn heard(message: Message, from: SocketAddr, state: &RelayState) -> Option<Datagram> {
    match state.peers.hear(Instant::now(), from, &message) {
        Hearing::Old => return None,
        Hearing::First => {
            state.log.changed("daemon heard", &message.host);
            state.share_budget();
            state.quotas.host_joined(&message.host);
        }
        Hearing::Next => {}
    }
    // Before its stamp: with the changes taken this daemon is as far as that one.
    watch::adopt_changes(state, message.changes);
    state.freshness.heard(clock::now(), state.table.load().version(), message.stamp, from);
    if let Some(spares) = message.spares {
        loans::told(&message.host, &spares, state);
    }
    state.engine_hub.peer(&message.host, message.holdings);
    state.limits.merge(state, &message.limits);
    state.quarantine.receive(state, message.crashes)
}
