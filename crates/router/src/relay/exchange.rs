//! Registering, and the messages between daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::joining::{Joining, JoiningSettings, JoiningStep};
use hibiscusvale_core::units::Millis;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::edge::{DaemonEntry, Register};
use super::handover;
use super::loans::{self, Spares};
use super::message::{Datagram, MESSAGE_LIMIT_BYTES, Message, Told};
use super::pace::{Urgency, listen_pause};
use super::peers::Hearing;
use super::quotas::Outgoing;
use super::state::RelayState;
use super::watch;
use crate::clock;
use crate::dispatch::ServiceAsk;

/// Shortest pause between looks at the register. A daemon that starts reads it and calls the others, who know it from then on;
/// the look only mends what lost datagrams left. Waiting for news instead would have each of 87 daemons call the store
/// again whenever one of the others starts: 19,000 calls in a day on which all were restarted in turn.
const REGISTER_PERIOD: Duration = Duration::from_secs(30);

/// Looks of all daemons together in a second, at most. With hundreds of them a look of each every half minute would
/// be more calls to the store than all that the readers make.
const REGISTER_LOOKS_PER_S: u64 = 3;

/// Pause between looks for another daemon that can be asked instead.
const REGISTER_LOOK: Duration = Duration::from_millis(20);

/// Time in which all daemons register that are started together.
const REGISTER_FILLS_MS: Millis = Millis(400);

/// Shortest pause after a failed call to the register; the longest is twice that.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Registers this daemon and learns of the others, for as long as it runs.
///
/// At the `first_start` of all daemons the register fills while it is read, so that is put off a little.
pub async fn follow_register(
    register: Arc<dyn Register>,
    own: DaemonEntry,
    first_start: bool,
    state: Arc<RelayState>,
) {
    let mut tries = 0_u32;
    while let Err(failure) = register.announce(own.clone()).await {
        tries += 1;
        if tries == 1 {
            state.log.changed("could not register", &failure);
        }
        tokio::time::sleep(up_to_twice(REGISTER_RETRY)).await;
    }
    state.log.changed("registered, failed tries before", &tries);
    learn_of_others(&*register, first_start, &state).await;
    loop {
        let pause = REGISTER_PERIOD.max(Duration::from_secs(state.peers.registered() / REGISTER_LOOKS_PER_S));
        tokio::time::sleep(pause).await;
        while let Err(failure) = register.entries().await.map(|entries| adopt_entries(&state, entries)) {
            state.log.changed("register not read", &failure);
            tokio::time::sleep(up_to_twice(REGISTER_RETRY)).await;
        }
    }
}

/// Learns of the others from a seed, from a live daemon, or from the register, whichever answers first.
async fn learn_of_others(register: &dyn Register, first_start: bool, state: &RelayState) {
    let spread_ms = match state.peers.seed() {
        Some(_) => state.bounds.lock().joining_spread(),
        None => Millis::ZERO,
    };
    let fills_ms = if first_start { REGISTER_FILLS_MS } else { Millis::ZERO };
    let settings = JoiningSettings { fills_ms, spread_ms, ..JoiningSettings::default() };
    // A seed that is gone answers late or never; nobody waits for it.
    let entries = tokio::select! {
        Some(entries) = handover::entries_of_seed(state) => entries,
        entries = look_for_others(register, settings, state) => entries,
    };
    adopt_entries(state, entries);
}

async fn look_for_others(
    register: &dyn Register,
    settings: JoiningSettings,
    state: &RelayState,
) -> Vec<DaemonEntry> {
    let mut joining = Joining::new(settings, clock::now(), rand::rng().random());
    loop {
        match joining.step(clock::now(), state.peers.is_any_heard()) {
            JoiningStep::AskPeer => {
                if let Some(entries) = handover::entries_of_peer(state).await {
                    return entries;
                }
            }
            JoiningStep::ReadRegister => match register.entries().await {
                Ok(entries) => return entries,
                Err(failure) => {
                    state.log.changed("register not read", &failure);
                    joining.failed(clock::now(), rand::rng().random());
                }
            },
            JoiningStep::Wait => tokio::time::sleep(REGISTER_LOOK).await,
        }
    }
}

fn adopt_entries(state: &RelayState, entries: Vec<DaemonEntry>) {
    state.peers.learn(entries);
    state.share_budget();
    state.peers.touch(Urgency::Soon);
}

/// A pause that differs between daemons, so that those who failed together do not ask again together.
fn up_to_twice(pause: Duration) -> Duration {
    pause + pause.mul_f64(rand::rng().random())
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
        state.peers.next_message(last).await;
        last = Instant::now();
        sequence += 1;
        let (holdings, spares) = told.news(sequence, state.engine_hub.holdings(), loans::spares(state));
        let message = Message {
            host: host.clone(),
            data_centre: state.peers.data_centre().clone(),
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
        if let Some(pause) = listen_pause(state.peers.partners()) {
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
