//! The link between daemons over nng: one listening socket, and one outgoing connection per address.
//!
//! A connection that breaks is reconnected at once. A half-open connection, whose state a device on the path has
//! lost, does not break and would swallow messages for about 15 minutes. Therefore each address is expected to
//! send something after it was written to; otherwise it is probed, and if the probe gets no reply, it is
//! closed and a new one is dialled.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::membership::MembersView;
use nng::options::transport::tcp::BoundPort;
use nng::options::{Options, RecvBufferSize, RecvMaxSize};
use nng::{Listener, ListenerBuilder, Protocol, Socket};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Handle, Runtime};

use super::codec::{Frame, FrameError, MAX_FRAME_BYTES, Payload, PeerKey, decode, encode};
use super::counters::{Counters, LinkCounts, add};
use super::outbound::Outbound;
use super::replay::{ReplayGuard, StaleFrame};
use super::{Inbound, PeerBody, PeerLink, PeerMessage};

/// Maximum number of received frames waiting to be handled.
const RECEIVE_BUFFER_FRAMES: i32 = 1_024;
/// Header bytes that the transport adds to each frame.
const TRANSPORT_HEADER_BYTES: u64 = 8;
/// Maximum number of open connections; beyond it, the least recently used one is closed. A daemon talks to all
/// daemons of its data centre and to a few others.
const MAX_CONNECTIONS: usize = 128;
/// Name of the receiving thread; the meter counts it as control.
pub const RECEIVE_THREAD: &str = "peer-recv";
/// Name of the sending thread; the meter counts it as control.
pub const SEND_THREAD: &str = "peer-send";

/// Settings of the link of a daemon.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Host of this daemon.
    pub host: HostId,
    /// Listening address.
    pub listen: SocketAddr,
    /// Key of the message authentication code.
    pub key: PeerKey,
    /// Silence after a message that is normally answered at once, before the connection is probed.
    pub reply_timeout: Duration,
    /// Silence after any other message, before the connection is probed.
    pub gossip_timeout: Duration,
    /// Time allowed for the reply to a probe, before the connection is redialled.
    pub probe_timeout: Duration,
    /// Time without use after which a connection is closed.
    pub idle: Duration,
}

impl LinkSettings {
    /// Settings with default timeouts.
    pub fn new(host: HostId, listen: SocketAddr, key: PeerKey) -> Self {
        Self {
            host,
            listen,
            key,
            reply_timeout: Duration::from_secs(2),
            gossip_timeout: Duration::from_secs(40),
            probe_timeout: Duration::from_secs(2),
            idle: Duration::from_mins(2),
        }
    }
}

/// Error starting the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// The listening address could not be bound.
    #[error("could not listen for other daemons: {0}")]
    Listen(nng::Error),
    /// The receiving or the sending thread could not be started.
    #[error("could not start a thread of the link")]
    Thread,
}

#[derive(Debug)]
struct Connection {
    outbound: Outbound,
    last_used: Instant,
    /// Since when a sent message has been unanswered, and how long that is allowed to last.
    unanswered: Option<(Instant, Duration)>,
    probed_at: Option<Instant>,
    /// Redials since the last received frame. Each doubles the timeout, up to a factor of 32, since the host may
    /// be gone.
    redials: u32,
}

#[derive(Debug, Default)]
struct State {
    connections: HashMap<SocketAddr, Connection>,
    addresses: HashMap<HostId, SocketAddr>,
    guard: ReplayGuard,
}

struct Shared {
    settings: LinkSettings,
    incarnation: Incarnation,
    sequence: AtomicU64,
    counters: Arc<Counters>,
    sender: Handle,
    state: Mutex<State>,
    inbound: Inbound,
}

/// Link of a daemon to other daemons over nng.
pub struct NngLink {
    shared: Arc<Shared>,
    socket: Socket,
    /// Runtime of the outgoing connections; `None` once the link is stopped.
    sender: Mutex<Option<Runtime>>,
    local_address: SocketAddr,
}

impl fmt::Debug for NngLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NngLink").field("local_address", &self.local_address).finish_non_exhaustive()
    }
}

impl NngLink {
    /// Starts listening. `inbound` is called with each message on a dedicated thread and must not block.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the address cannot be bound or the thread cannot be started.
    pub fn start(
        settings: LinkSettings,
        incarnation: Incarnation,
        inbound: Inbound,
    ) -> Result<Arc<Self>, LinkError> {
        let socket = Socket::new(Protocol::Pull0).map_err(LinkError::Listen)?;
        let local_address = listen(&socket, settings.listen).map_err(LinkError::Listen)?;
        let sender = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(SEND_THREAD)
            .enable_all()
            .build()
            .map_err(|_| LinkError::Thread)?;
        let shared = Arc::new(Shared {
            settings,
            incarnation,
            sequence: AtomicU64::new(0),
            counters: Arc::default(),
            sender: sender.handle().clone(),
            state: Mutex::new(State::default()),
            inbound,
        });
        let receiver = (Arc::clone(&shared), socket.clone());
        std::thread::Builder::new()
            .name(RECEIVE_THREAD.to_owned())
            .spawn(move || receive_loop(&receiver.0, &receiver.1))
            .map_err(|_| LinkError::Thread)?;
        Ok(Arc::new(Self { shared, socket, sender: Mutex::new(Some(sender)), local_address }))
    }

    /// Bound address; the actual port if the settings specify port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counters so far.
    pub fn counts(&self) -> LinkCounts {
        self.shared.counters.read()
    }

    /// Probes silent connections, redials those that stay silent, and closes unused ones. To be called about once
    /// a second.
    pub fn maintain(&self, now: Instant) {
        let mut state = self.shared.state.lock();
        let idle = self.shared.settings.idle;
        state.connections.retain(|_, connection| now.duration_since(connection.last_used) < idle);
        let silent: Vec<SocketAddr> = state
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_silent(now))
            .map(|(address, _)| *address)
            .collect();
        for address in silent {
            self.shared.probe_or_reconnect(&mut state, now, address);
        }
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.socket.close();
        self.shared.state.lock().connections.clear();
        if let Some(sender) = self.sender.lock().take() {
            sender.shutdown_background();
        }
    }
}

impl Drop for NngLink {
    fn drop(&mut self) {
        self.stop();
    }
}

impl PeerLink for NngLink {
    fn send(&self, to: &HostId, body: PeerBody) {
        let address = self.shared.state.lock().addresses.get(to).copied();
        let Some(address) = address else {
            add(&self.shared.counters.dropped_no_address, 1);
            return;
        };
        self.shared.send(Some(to), address, Payload::Body(body));
    }

    fn send_at(&self, to: Option<&HostId>, address: SocketAddr, body: PeerBody) {
        if let Some(to) = to {
            let mut state = self.shared.state.lock();
            state.addresses.entry(to.clone()).or_insert(address);
        }
        self.shared.send(to, address, Payload::Body(body));
    }

    fn set_members(&self, view: &MembersView) {
        let mut state = self.shared.state.lock();
        state.addresses = view.all().map(|member| (member.host.clone(), member.peer_address)).collect();
    }
}

fn listen(socket: &Socket, address: SocketAddr) -> Result<SocketAddr, nng::Error> {
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_FRAMES)?;
    let builder = ListenerBuilder::new(socket, &url(address))?;
    builder.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    let listener: Listener = builder.start().map_err(|(_, error)| error)?;
    let port = listener.get_opt::<BoundPort>()?;
    Ok(SocketAddr::new(address.ip(), port))
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

impl Connection {
    fn new(now: Instant, outbound: Outbound) -> Self {
        Self { outbound, last_used: now, unanswered: None, probed_at: None, redials: 0 }
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.unanswered.is_some_and(|(since, timeout)| {
            now.duration_since(since) > timeout.saturating_mul(1 << self.redials.min(5))
        })
    }
}

impl Shared {
    fn open(&self, address: SocketAddr) -> Outbound {
        Outbound::open(&self.sender, address, Arc::clone(&self.counters))
    }

    fn send(&self, to: Option<&HostId>, address: SocketAddr, payload: Payload) {
        let mut state = self.state.lock();
        self.send_locked(&mut state, Instant::now(), to, address, payload);
    }

    fn send_locked(
        &self,
        state: &mut State,
        now: Instant,
        to: Option<&HostId>,
        address: SocketAddr,
        payload: Payload,
    ) {
        let is_request = is_request(&payload);
        let silence_timeout =
            if is_request { self.settings.reply_timeout } else { self.settings.gossip_timeout };
        let frame = Frame {
            from: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            payload,
        };
        let Ok(bytes) = encode(&frame, &self.settings.key, to) else {
            add(&self.counters.dropped_too_long, 1);
            return;
        };
        let connection = state.connection(now, address, || self.open(address));
        connection.last_used = now;
        let (since, known) = connection.unanswered.unwrap_or((now, silence_timeout));
        connection.unanswered = Some((since, known.min(silence_timeout)));
        if connection.outbound.try_send(&bytes).is_err() {
            add(&self.counters.dropped_busy, 1);
            return;
        }
        let sent = bytes.len() as u64 + TRANSPORT_HEADER_BYTES;
        if is_request {
            add(&self.counters.request_bytes, sent);
            add(&self.counters.request_frames, 1);
        } else {
            add(&self.counters.control_bytes, sent);
            add(&self.counters.control_frames, 1);
        }
    }

    /// Probes a silent connection, or redials it if the probe has timed out.
    fn probe_or_reconnect(&self, state: &mut State, now: Instant, address: SocketAddr) {
        let Some(connection) = state.connections.get_mut(&address) else {
            return;
        };
        match connection.probed_at {
            None => {
                connection.probed_at = Some(now);
                add(&self.counters.probes, 1);
                self.send_locked(state, now, None, address, Payload::Probe);
            }
            Some(probed_at) if now.duration_since(probed_at) > self.settings.probe_timeout => {
                add(&self.counters.redialled, 1);
                let (last_used, redials) = (connection.last_used, connection.redials + 1);
                let redialled = Connection::new(now, self.open(address));
                state.connections.insert(address, Connection { last_used, redials, ..redialled });
            }
            Some(_) => {}
        }
    }

    /// Handles a received frame and counts it afterwards: a frame that is counted has taken effect.
    fn receive_frame(&self, bytes: &[u8]) {
        self.handle_frame(bytes);
        add(&self.counters.received_bytes, bytes.len() as u64 + TRANSPORT_HEADER_BYTES);
        add(&self.counters.received_frames, 1);
    }

    fn handle_frame(&self, bytes: &[u8]) {
        let frame = match decode(bytes, &self.settings.key, &self.settings.host) {
            Ok(frame) => frame,
            Err(FrameError::Forged) => return add(&self.counters.refused_forged, 1),
            Err(FrameError::Malformed | FrameError::TooLong | FrameError::Version) => {
                return add(&self.counters.refused_malformed, 1);
            }
        };
        let Some(frame) = self.admit(frame) else { return };
        if let Payload::Body(body) = frame.payload {
            (self.inbound)(PeerMessage { from: frame.from, incarnation: frame.incarnation, body });
        }
    }

    /// Drops stale frames, records that the sender was heard, and answers probes.
    fn admit(&self, frame: Frame) -> Option<Frame> {
        let now = Instant::now();
        let mut state = self.state.lock();
        match state.guard.check(now, &frame.from, frame.incarnation, frame.sequence) {
            Ok(()) => {}
            Err(StaleFrame::Replayed) => {
                add(&self.counters.refused_replayed, 1);
                return None;
            }
            Err(StaleFrame::OldIncarnation) => {
                add(&self.counters.refused_old_life, 1);
                return None;
            }
        }
        let address = state.addresses.get(&frame.from).copied();
        if let Some(address) = address {
            if let Some(connection) = state.connections.get_mut(&address) {
                connection.unanswered = None;
                connection.probed_at = None;
                connection.redials = 0;
            }
            if frame.payload == Payload::Probe {
                self.send_locked(&mut state, now, Some(&frame.from), address, Payload::ProbeReply);
            }
        }
        Some(frame)
    }
}

impl State {
    fn connection<Open>(&mut self, now: Instant, address: SocketAddr, open: Open) -> &mut Connection
    where
        Open: FnOnce() -> Outbound,
    {
        if !self.connections.contains_key(&address) && self.connections.len() >= MAX_CONNECTIONS {
            self.close_least_recently_used();
        }
        self.connections.entry(address).or_insert_with(|| Connection::new(now, open()))
    }

    fn close_least_recently_used(&mut self) {
        let oldest = self.connections.iter().min_by_key(|(_, connection)| connection.last_used);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.connections.remove(&address);
        }
    }
}

fn is_request(payload: &Payload) -> bool {
    matches!(payload, Payload::Body(PeerBody::Claims(_) | PeerBody::Slots(_)))
}

fn receive_loop(shared: &Shared, socket: &Socket) {
    loop {
        match socket.recv() {
            Ok(message) => shared.receive_frame(message.as_slice()),
            Err(nng::Error::Closed) => return,
            Err(_) => add(&shared.counters.refused_malformed, 1),
        }
    }
}
