//! The edge between daemons over nng: one listening socket, one sending socket for each address.
//!
//! nng dials again by itself when a connection breaks. A connection that merely goes silent, because a
//! device between the two ends has forgotten it, breaks nothing and would swallow messages for a quarter of an
//! hour. So each address is expected to be heard from after it was written to; if not, it is asked, and if
//! that gets no answer the socket is closed and a new one dialled.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::membership::MembersView;
use nng::options::transport::tcp::{BoundPort, NoDelay};
use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{Listener, ListenerBuilder, Protocol, Socket};
use parking_lot::Mutex;

use super::codec::{Frame, FrameError, MAX_FRAME_BYTES, Payload, PeerKey, decode, encode};
use super::guard::{Guard, Stale};
use super::{Inbound, PeerBody, PeerLink, PeerMessage};

/// Frames that wait for a connection at most.
const SEND_BUFFER: i32 = 32;
/// Frames that wait to be taken in at most.
const RECEIVE_BUFFER: i32 = 1_024;
/// Bytes that the transport puts before each frame.
const TRANSPORT_BYTES: u64 = 8;
/// Open connections at most; the one unused for longest is closed. A daemon speaks to all daemons of its data
/// centre and to a few of the others.
const MAX_CONNECTIONS: usize = 128;
const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(2);
/// Name of the thread that takes frames in; the meter counts it as control.
pub const RECEIVE_THREAD: &str = "peer-recv";

/// How a daemon is linked to others.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Its host.
    pub host: HostId,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Key of the authentication code.
    pub key: PeerKey,
    /// Silence after a request that is answered at once, until the connection is probed.
    pub reply_silence: Duration,
    /// Silence after any other message, until the connection is probed.
    pub gossip_silence: Duration,
    /// Time for the answer to a probe; then the connection is dialled anew.
    pub probe_timeout: Duration,
    /// Time without use after which a connection is closed.
    pub idle: Duration,
}

impl LinkSettings {
    /// Settings with the usual times.
    pub fn new(host: HostId, listen: SocketAddr, key: PeerKey) -> Self {
        Self {
            host,
            listen,
            key,
            reply_silence: Duration::from_secs(2),
            gossip_silence: Duration::from_secs(40),
            probe_timeout: Duration::from_secs(2),
            idle: Duration::from_mins(2),
        }
    }
}

/// The link could not be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// nng refused.
    #[error("could not listen for other daemons: {0}")]
    Listen(nng::Error),
    /// No thread could be started.
    #[error("could not start the receiving thread")]
    Thread,
}

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts of a link since its start.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct LinkCounts {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        struct Counters {
            $($name: AtomicU64,)*
        }

        impl Counters {
            fn read(&self) -> LinkCounts {
                LinkCounts { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }

        impl LinkCounts {
            /// The counts by name, for metrics.
            pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }
    };
}

counts!(
    /// Bytes sent for control: membership, spreading, probes; transport header included.
    control_bytes,
    /// Frames sent for control.
    control_frames,
    /// Bytes sent because of requests: slots and claims.
    request_bytes,
    /// Frames sent because of requests.
    request_frames,
    /// Bytes received.
    received_bytes,
    /// Frames received.
    received_frames,
    /// Messages dropped because their receiver's address is not known.
    dropped_no_address,
    /// Messages dropped because the connection does not take them.
    dropped_busy,
    /// Messages dropped because they are too long.
    dropped_too_long,
    /// Frames received that do not decode, are too long or of an unknown version.
    refused_malformed,
    /// Frames received with a wrong authentication code.
    refused_forged,
    /// Frames received again.
    refused_replayed,
    /// Frames received of a life that is over.
    refused_old_life,
    /// Probes sent.
    probes,
    /// Connections dialled anew because they were silent.
    redialled,
);

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

#[derive(Debug)]
struct Connection {
    socket: Socket,
    used: Instant,
    /// When something was sent that nothing was heard after, and how long that may last.
    unanswered: Option<(Instant, Duration)>,
    probed: Option<Instant>,
    /// Redials since something was heard; each doubles the patience, for the host may just be gone.
    redials: u32,
}

#[derive(Debug, Default)]
struct State {
    connections: HashMap<SocketAddr, Connection>,
    addresses: HashMap<HostId, SocketAddr>,
    guard: Guard,
}

struct Shared {
    settings: LinkSettings,
    incarnation: Incarnation,
    sequence: AtomicU64,
    counters: Counters,
    state: Mutex<State>,
    inbound: Inbound,
}

/// The link of a daemon to the others over nng.
pub struct NngLink {
    shared: Arc<Shared>,
    socket: Socket,
    local_address: SocketAddr,
}

impl fmt::Debug for NngLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NngLink").field("local_address", &self.local_address).finish_non_exhaustive()
    }
}

impl NngLink {
    /// Starts listening. `inbound` is called with each message, on one thread of the link's own; it must not
    /// wait.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the address cannot be listened on or no thread can be started.
    pub fn start(
        settings: LinkSettings,
        incarnation: Incarnation,
        inbound: Inbound,
    ) -> Result<Arc<Self>, LinkError> {
        let socket = Socket::new(Protocol::Pull0).map_err(LinkError::Listen)?;
        let local_address = listen(&socket, settings.listen).map_err(LinkError::Listen)?;
        let shared = Arc::new(Shared {
            settings,
            incarnation,
            sequence: AtomicU64::new(0),
            counters: Counters::default(),
            state: Mutex::new(State::default()),
            inbound,
        });
        let receiver = (Arc::clone(&shared), socket.clone());
        std::thread::Builder::new()
            .name(RECEIVE_THREAD.to_owned())
            .spawn(move || receive(&receiver.0, &receiver.1))
            .map_err(|_| LinkError::Thread)?;
        Ok(Arc::new(Self { shared, socket, local_address }))
    }

    /// Where this daemon listens; the port is the real one where the settings said 0.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counts so far.
    pub fn counts(&self) -> LinkCounts {
        self.shared.counters.read()
    }

    /// Probes silent connections, dials those anew that stay silent, closes unused ones. To be called about
    /// once a second.
    pub fn maintain(&self, now: Instant) {
        let mut state = self.shared.state.lock();
        let idle = self.shared.settings.idle;
        state.connections.retain(|_, connection| now.duration_since(connection.used) < idle);
        let silent: Vec<SocketAddr> = state
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_silent(now))
            .map(|(address, _)| *address)
            .collect();
        for address in silent {
            self.shared.mend(&mut state, now, address);
        }
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.socket.close();
        self.shared.state.lock().connections.clear();
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
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
    let builder = ListenerBuilder::new(socket, &url(address))?;
    builder.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    let listener: Listener = builder.start().map_err(|(_, error)| error)?;
    let port = listener.get_opt::<BoundPort>()?;
    Ok(SocketAddr::new(address.ip(), port))
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

fn dial(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.set_opt::<NoDelay>(true)?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}

impl Connection {
    fn open(now: Instant, address: SocketAddr) -> Result<Self, nng::Error> {
        Ok(Self { socket: dial(address)?, used: now, unanswered: None, probed: None, redials: 0 })
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.unanswered.is_some_and(|(since, patience)| {
            now.duration_since(since) > patience.saturating_mul(1 << self.redials.min(5))
        })
    }
}

impl Shared {
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
        let patience = if is_request { self.settings.reply_silence } else { self.settings.gossip_silence };
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
        let Some(connection) = state.connection(now, address) else {
            add(&self.counters.dropped_busy, 1);
            return;
        };
        connection.used = now;
        let (since, known) = connection.unanswered.unwrap_or((now, patience));
        connection.unanswered = Some((since, known.min(patience)));
        if connection.socket.try_send(bytes.as_slice()).is_err() {
            add(&self.counters.dropped_busy, 1);
            return;
        }
        let sent = bytes.len() as u64 + TRANSPORT_BYTES;
        if is_request {
            add(&self.counters.request_bytes, sent);
            add(&self.counters.request_frames, 1);
        } else {
            add(&self.counters.control_bytes, sent);
            add(&self.counters.control_frames, 1);
        }
    }

    /// Probes a silent connection; dials it anew when the probe got no answer.
    fn mend(&self, state: &mut State, now: Instant, address: SocketAddr) {
        let Some(connection) = state.connections.get_mut(&address) else {
            return;
        };
        match connection.probed {
            None => {
                connection.probed = Some(now);
                add(&self.counters.probes, 1);
                self.send_locked(state, now, None, address, Payload::Probe);
            }
            Some(probed) if now.duration_since(probed) > self.settings.probe_timeout => {
                add(&self.counters.redialled, 1);
                let (used, redials) = (connection.used, connection.redials + 1);
                state.connections.remove(&address);
                if let Ok(connection) = Connection::open(now, address) {
                    state.connections.insert(address, Connection { used, redials, ..connection });
                }
            }
            Some(_) => {}
        }
    }

    fn take(&self, bytes: &[u8]) {
        add(&self.counters.received_bytes, bytes.len() as u64 + TRANSPORT_BYTES);
        add(&self.counters.received_frames, 1);
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

    /// Drops what is stale, notes that the sender was heard, answers a probe.
    fn admit(&self, frame: Frame) -> Option<Frame> {
        let now = Instant::now();
        let mut state = self.state.lock();
        match state.guard.check(now, &frame.from, frame.incarnation, frame.sequence) {
            Ok(()) => {}
            Err(Stale::Replayed) => {
                add(&self.counters.refused_replayed, 1);
                return None;
            }
            Err(Stale::OldLife) => {
                add(&self.counters.refused_old_life, 1);
                return None;
            }
        }
        let address = state.addresses.get(&frame.from).copied();
        if let Some(address) = address {
            if let Some(connection) = state.connections.get_mut(&address) {
                connection.unanswered = None;
                connection.probed = None;
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
    fn connection(&mut self, now: Instant, address: SocketAddr) -> Option<&mut Connection> {
        if !self.connections.contains_key(&address) {
            if self.connections.len() >= MAX_CONNECTIONS {
                self.close_oldest();
            }
            let connection = Connection::open(now, address).ok()?;
            self.connections.insert(address, connection);
        }
        self.connections.get_mut(&address)
    }

    fn close_oldest(&mut self) {
        let oldest = self.connections.iter().min_by_key(|(_, connection)| connection.used);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.connections.remove(&address);
        }
    }
}

fn is_request(payload: &Payload) -> bool {
    matches!(payload, Payload::Body(PeerBody::Claims(_) | PeerBody::Slots(_)))
}

fn receive(shared: &Shared, socket: &Socket) {
    loop {
        match socket.recv() {
            Ok(message) => shared.take(message.as_slice()),
            Err(nng::Error::Closed) => return,
            Err(_) => add(&shared.counters.refused_malformed, 1),
        }
    }
}
