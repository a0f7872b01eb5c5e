//! Registration of this daemon and the messages between daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::joining::{Joining, JoiningSettings, JoiningStep};
use hibiscusvale_core::relay::server_list::Comparison;
use hibiscusvale_core::units::{Bytes, Millis};
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::freshness::ReceivedStamp;
use super::interfaces::{DaemonEntry, Register};
use super::load_report::{self, Reports};
use super::loans::{self, LendableCredits};
use super::message::{AdvertisedState, Datagram, MESSAGE_LIMIT_BYTES, Message};
use super::pacing::{Urgency, receive_pause};
use super::peers::Reception;
use super::quotas::Outgoing;
use super::state::RelayState;
use super::{forward, reach, server_list, state_transfer};
use crate::clock;
use crate::dispatch::ServiceLoanRequest;

/// Minimum interval between reads of the register. A starting daemon reads it and contacts the others, which
/// know it from then on; the periodic read only makes up for lost datagrams. A long poll instead would have
/// each of 87 daemons call the store again whenever another one starts: 19,000 calls on a day on which all
/// were restarted in turn.
const REGISTER_PERIOD: Duration = Duration::from_secs(30);

/// Maximum rate of register reads of all daemons together. With hundreds of daemons one read each every half
/// minute would be more calls to the store than all route and server reads make.
const REGISTER_READS_PER_S: u64 = 3;

/// Interval at which a starting daemon checks whether another daemon can be asked instead of the register.
const REGISTER_POLL: Duration = Duration::from_millis(20);

/// Time within which daemons that start together have all registered.
const FIRST_START_DELAY_MS: Millis = Millis(400);

/// Minimum pause after a failed call to the register; jitter up to doubles it.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Pauses after which a daemon that has discovered others asks one of them again.
const COMPLETION_PAUSES: [Duration; 4] =
    [Duration::from_millis(500), Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(4)];

/// Registers this daemon and discovers the others, for as long as it runs.
///
/// At the `first_start` of an installation the register is still filling up, so its first read is delayed.
pub async fn follow_register(
    register: Arc<dyn Register>,
    own: DaemonEntry,
    first_start: bool,
    state: Arc<RelayState>,
) {
    let mut attempts = 0_u32;
    while let Err(failure) = register.announce(own.clone()).await {
        attempts += 1;
        if attempts == 1 {
            state.log.state_changed("could not register", &failure);
        }
        tokio::time::sleep(with_jitter(REGISTER_RETRY)).await;
    }
    state.log.state_changed("registered, failed tries before", &attempts);
    discover_daemons(&*register, first_start, &state).await;
    complete_daemons(&state).await;
    loop {
        let pause = REGISTER_PERIOD.max(Duration::from_secs(state.peers.registered() / REGISTER_READS_PER_S));
        tokio::time::sleep(pause).await;
        while let Err(failure) = register.entries().await.map(|entries| adopt_entries(&state, entries)) {
            state.log.state_changed("register not read", &failure);
            tokio::time::sleep(with_jitter(REGISTER_RETRY)).await;
        }
    }
}

/// Discovers the other daemons from a seed, a live daemon or the register, whichever answers first.
async fn discover_daemons(register: &dyn Register, first_start: bool, state: &RelayState) {
    let spread_ms = match state.peers.seed() {
        Some(_) => state.bounds.lock().joining_spread(),
        None => Millis::ZERO,
    };
    let registration_ms = if first_start { FIRST_START_DELAY_MS } else { Millis::ZERO };
    let settings = JoiningSettings { registration_ms, spread_ms, ..JoiningSettings::default() };
    // A seed that no longer exists answers late or never, so it must not block the others.
    let entries = tokio::select! {
        Some(entries) = state_transfer::fetch_entries_from_seed(state) => entries,
        entries = poll_for_daemons(register, settings, state) => entries,
    };
    adopt_entries(state, entries);
}

/// Asks live daemons, one after another, for those that they know.
///
/// Daemons that start together discover the others from ones that have started shortly before and know a part of them. Two
/// that are not named to each other would exchange no message until the register is read again.
async fn complete_daemons(state: &RelayState) {
    for (attempt, pause) in COMPLETION_PAUSES.into_iter().enumerate() {
        tokio::time::sleep(with_jitter(pause)).await;
        if let Some(entries) = state_transfer::fetch_entries_from_peer(state, attempt).await {
            adopt_entries(state, entries);
        }
    }
}

async fn poll_for_daemons(
    register: &dyn Register,
    settings: JoiningSettings,
    state: &RelayState,
) -> Vec<DaemonEntry> {
    let mut joining = Joining::new(settings, clock::now(), rand::rng().random());
    let mut asked = 0;
    loop {
        match joining.step(clock::now(), state.peers.is_any_heard()) {
            JoiningStep::AskPeer => {
                if let Some(entries) = state_transfer::fetch_entries_from_peer(state, asked).await {
                    return entries;
                }
                asked += 1;
            }
            JoiningStep::ReadRegistry => match register.entries().await {
                Ok(entries) => return entries,
                Err(failure) => {
                    state.log.state_changed("register not read", &failure);
                    joining.failed(clock::now(), rand::rng().random());
                }
            },
            JoiningStep::Wait => tokio::time::sleep(REGISTER_POLL).await,
        }
    }
}

fn adopt_entries(state: &RelayState, entries: Vec<DaemonEntry>) {
    state.peers.add_entries(entries);
    state.share_budget();
    state.peers.schedule_message(Urgency::Soon);
}

/// Adds jitter of up to the pause itself, so that daemons that failed together do not retry together.
fn with_jitter(pause: Duration) -> Duration {
    pause + pause.mul_f64(rand::rng().random())
}

/// Sends this daemon's state to the others and receives theirs, for as long as it runs. State snapshots, and
/// requests that other daemons forward, are served over TCP on the same port by the runtime `traffic`.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn run(
    address: SocketAddr,
    host: HostId,
    loan_requests: mpsc::UnboundedReceiver<ServiceLoanRequest>,
    outgoing: mpsc::UnboundedReceiver<Outgoing>,
    traffic: Handle,
    state: Arc<RelayState>,
) -> io::Result<()> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    state.stream_versions.set_socket(socket.try_clone()?);
    state.reach.set_socket(socket.try_clone()?);
    let socket = UdpSocket::from_std(socket)?;
    let listener = TcpListener::bind(socket.local_addr()?).await?.into_std()?;
    traffic.spawn(forward::serve(Arc::clone(&state), listener));
    tokio::join!(
        send_messages(&socket, &host, &state),
        receive_messages(&socket, &host, &state),
        loans::send_requests(&socket, loan_requests, &state),
        send_queued(&socket, outgoing),
        reach::ask_daemons(&socket, &state),
        state.stream_versions.run(&state),
        state_transfer::bootstrap(Arc::clone(&state)),
    );
    Ok(())
}

async fn send_queued(socket: &UdpSocket, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some((to, datagram)) = outgoing.recv().await {
        send(socket, to, &datagram).await;
    }
}

async fn send_messages(socket: &UdpSocket, host: &HostId, state: &RelayState) {
    let mut sequence = 0;
    let (mut last, mut last_size) = (Instant::now(), Bytes::ZERO);
    let mut advertised = AdvertisedState::default();
    loop {
        state.peers.next_message(last, last_size).await;
        last = Instant::now();
        sequence += 1;
        let (holdings, lendable) =
            advertised.delta(sequence, state.engine_pools.holdings(), loans::lendable(state));
        let now_us = clock::now();
        let (list_current_us, stamp, changes) = {
            let mut servers = state.server_list.lock();
            let stamp = state.freshness.stamp(now_us, state.table.load().version(), servers.state());
            (servers.expired().current_for_us(now_us), stamp, servers.next_changes())
        };
        let message = Message {
            host: host.clone(),
            data_centre: state.peers.data_centre().clone(),
            incarnation: state.incarnation,
            sequence,
            list_current_us,
            stamp,
            reaches_store: state.freshness.reaches_store(clock::now()),
            changes,
            holdings,
            lendable,
            crashes: state.quarantine.gossip(state),
            saved_versions: state.stream_versions.saved_for_all(),
            leaving: state.leaving_checks.found(),
            limits: state.limits.gossip(),
        };
        let datagram = Datagram::Message(Box::new(message));
        let report_limit = state.peers.report_limit();
        let reports = Reports {
            load: state.load_report(),
            servers: state.server_report(),
            data_centres: state.engine_pools.data_centre_reports(),
        };
        let encoded = load_report::encode(&datagram, &reports, report_limit, sequence);
        let Ok(bytes) = encoded else {
            continue;
        };
        let targets = state.peers.targets(Instant::now());
        last_size = Bytes(bytes.len() as u64);
        state.metrics.record_message(last_size, targets.len() as u64);
        for target in targets {
            // A lost message is superseded by the next one.
            let _ = socket.send_to(&bytes, target).await;
        }
        state.log_spill_over();
        for silent in state.peers.take_timed_out(Instant::now()) {
            state.log.state_changed("daemon silent", &silent);
            loans::update_lender(&silent, &LendableCredits::new(), state);
            state.engine_pools.peer_gone(&silent);
            state.shares.peer_gone(&silent);
        }
    }
}

async fn receive_messages(socket: &UdpSocket, own: &HostId, state: &Arc<RelayState>) {
    let mut bytes = vec![0; MESSAGE_LIMIT_BYTES];
    loop {
        // An unreachable peer surfaces as a socket error (ICMP); the other peers can still be received.
        let _ = socket.readable().await;
        loop {
            match socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => handle_datagram(socket, &bytes[..length], from, own, state).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
        if let Some(pause) = receive_pause(state.peers.recipients()) {
            tokio::time::sleep(pause).await;
        }
    }
}

async fn handle_datagram(
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
    own: &HostId,
    state: &Arc<RelayState>,
) {
    let Ok((datagram, reports)) = load_report::decode(bytes) else {
        return;
    };
    match datagram {
        Datagram::Message(message) if message.host != *own => {
            if let Some(request) = handle_message(*message, reports, from, state) {
                send(socket, from, &request).await;
            }
        }
        Datagram::LoanRequest(request) => loans::handle_request(socket, from, request, state).await,
        Datagram::LoanReply(reply) => loans::handle_reply(&reply, state),
        Datagram::QuotaRequest(request) => state.quotas.handle_request(state, from, &request),
        Datagram::QuotaReply(reply) => state.quotas.handle_reply(state, &reply),
        Datagram::QuotaReturn(returned) => state.quotas.accept_return(&returned),
        Datagram::ReportRequest(after) => send(socket, from, &state.quarantine.page(after)).await,
        Datagram::ReachRequest(services) => {
            reach::reply(socket, from, state, services).await;
        }
        Datagram::StreamRecord(record) => state.stream_versions.receive_records(&[record]),
        Datagram::StreamQuestion(question) => {
            send(socket, from, &Datagram::StreamReply(state.stream_versions.reply(&question))).await;
        }
        Datagram::StreamReply(reply) => state.stream_versions.receive_reply(from, reply),
        Datagram::ReachReply(reply) => state.reach.receive(clock::now(), reply),
        Datagram::HelpersKnown(hosts) => state.reach.receive_named(clock::now(), hosts),
        Datagram::ReportPage(page) => {
            if let Some(request) = state.quarantine.receive_page(state, page) {
                send(socket, from, &request).await;
            }
        }
        // This daemon's own message, sent via a seed, or foreign bytes.
        Datagram::Message(_) => {}
    }
}

/// Sends one datagram. A lost datagram is requested or sent again.
pub(super) async fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    if let Ok(bytes) = postcard::to_stdvec(datagram) {
        let _ = socket.send_to(&bytes, to).await;
    }
}

/// Handles a message and returns a request to its sender, if any.
fn handle_message(
    message: Message,
    reports: Reports,
    from: SocketAddr,
    state: &Arc<RelayState>,
) -> Option<Datagram> {
    match state.peers.receive(Instant::now(), from, &message) {
        Reception::Stale => return None,
        Reception::First => {
            state.log.state_changed("daemon heard", &message.host);
            state.share_budget();
            state.quotas.host_joined(&message.host);
        }
        Reception::Next => {}
    }
    // Before the changes are adopted: it decides whether servers that they remove are kept.
    if let Some(current_us) = message.list_current_us {
        state.server_list.lock().other_is_current(clock::now(), current_us);
    }
    // Before the stamp is evaluated: with the changes applied this daemon is as current as the sender.
    server_list::adopt_changes(state, message.changes, &message.host);
    let now_us = clock::now();
    let scope = state.peers.reach();
    let (servers, is_request_due) = {
        let mut list = state.server_list.lock();
        let servers = list.compare(now_us, &message.host, message.stamp.servers, scope);
        (servers, list.take_request_due())
    };
    if servers == (Comparison::Differs { is_new: true }) {
        state.log.server_list_differs(&message.host, message.stamp.servers.version);
    }
    if is_request_due {
        // A read does not show which records the store has written late; the other daemon may know.
        let state = Arc::clone(state);
        tokio::spawn(async move { state_transfer::fetch_snapshot(&state, from).await });
    }
    let received = ReceivedStamp { stamp: message.stamp, servers, from };
    state.freshness.receive_stamp(now_us, state.table.load().version(), received);
    if let Some(lendable) = message.lendable {
        loans::update_lender(&message.host, &lendable, state);
    }
    // The engine pools act on a report when the usage of the same message follows.
    state.receive_load_report(&message.host, reports.load);
    state.plain_schedulers.receive_server_samples(&reports.servers.servers);
    state.engine_pools.receive_data_centres(&message.host, &message.data_centre, reports.data_centres);
    state.engine_pools.peer(&message.host, message.holdings);
    // What daemons of other data centres use of the engines here is known only to those that hear them.
    if state.engine_pools.take_guest_report_due() {
        state.peers.schedule_message(Urgency::Soon);
    }
    state.stream_versions.receive_saved(message.saved_versions);
    state.leaving_checks.receive(state, &message.leaving);
    state.limits.merge(state, &message.limits);
    state.quarantine.receive(state, message.crashes)
}
