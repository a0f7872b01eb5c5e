//! Outgoing connections to the pull sockets of other daemons, in nng's push protocol over TCP.
//!
//! The push socket of nng itself is not used: when its peer closes the connection during a send, it accesses the
//! freed connection, and the process ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::counters::{Counters, add};

/// Maximum number of frames queued on a connection.
const QUEUE_FRAMES: usize = 32;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// Greeting of a push socket: `SP`, version 0, protocol number, two reserved bytes.
const PUSH_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
/// Greeting of a pull socket.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// Length of the header of each frame: the length of its body as a 64-bit integer in network byte order.
const HEADER_BYTES: usize = 8;

/// Error establishing a connection.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
    #[error("the peer greeted with {0:?} instead of a pull socket's greeting")]
    NotPull([u8; 8]),
}

/// Why a frame was not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{QUEUE_FRAMES} frames are already queued")]
pub(super) struct QueueFull;

/// An outgoing connection with a queue of frames. It reconnects by itself until it is dropped.
#[derive(Debug)]
pub(super) struct Outbound {
    frames: mpsc::Sender<Bytes>,
    task: AbortHandle,
}

impl Outbound {
    /// Starts connecting to `address` on `runtime`.
    pub(super) fn open(runtime: &Handle, address: SocketAddr, counters: Arc<Counters>) -> Self {
        let (sender, frames) = mpsc::channel(QUEUE_FRAMES);
        let task = runtime.spawn(run(address, frames, counters)).abort_handle();
        Self { frames: sender, task }
    }

    /// Queues a frame.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]; the frame is dropped.
    pub(super) fn try_send(&self, body: &[u8]) -> Result<(), QueueFull> {
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
        frame.put_u64(body.len() as u64);
        frame.put_slice(body);
        self.frames.try_send(frame.freeze()).map_err(|_| QueueFull)
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(address: SocketAddr, mut frames: mpsc::Receiver<Bytes>, counters: Arc<Counters>) {
    let mut delay = MIN_RECONNECT_DELAY;
    while !frames.is_closed() {
        match connect(address).await {
            Ok(stream) => {
                delay = MIN_RECONNECT_DELAY;
                if transmit(stream, &mut frames).await.is_err() {
                    add(&counters.dropped_broken, 1);
                }
            }
            Err(ConnectError::NotPull(_)) => add(&counters.refused_greeting, 1),
            Err(ConnectError::Io(_) | ConnectError::Timeout) => add(&counters.connect_failed, 1),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    tokio::time::timeout(CONNECT_TIMEOUT, greet(address)).await.map_err(|_| ConnectError::Timeout)?
}

async fn greet(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&PUSH_GREETING).await?;
    let mut greeting = [0; PULL_GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    if greeting == PULL_GREETING { Ok(stream) } else { Err(ConnectError::NotPull(greeting)) }
}

/// Writes frames until the peer closes the connection. A pull socket sends nothing after its greeting.
async fn transmit(stream: TcpStream, frames: &mut mpsc::Receiver<Bytes>) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut ignored = [0; 64];
    loop {
        tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => writer.write_all(&frame).await?,
                None => return Ok(()),
            },
            read = reader.read(&mut ignored) => {
                if !matches!(read, Ok(1..)) {
                    return Ok(());
                }
            }
        }
    }
}
