//! Limit on the bytes of bodies and answers that the requests of a daemon hold.
//!
//! A daemon that exceeds the memory of its host is killed, and with it every request that it holds. Callers and servers
//! that send or read slowly keep bodies and answers in memory for as long as they like, so each of these bytes is counted
//! before it is held, and released when the last copy is dropped, however the request ends.
//!
//! Bodies and answers have a half of the limit each. Otherwise bodies could fill all of it and wait for answers for
//! which there is no room, while each body is held until its answer is complete.
//!
//! What a request asks for may take half of what the others leave free. So large bodies and answers are the first
//! that find no room, and small ones are served beside many slow callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use hibiscusvale_core::units::Bytes as ByteCount;
use tokio::sync::Notify;

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the memory limit of the daemon is reached")]
pub struct NoMemory;

/// Counts the bytes that requests hold.
#[derive(Debug)]
pub struct MemoryLimit {
    bodies: Arc<Pool>,
    answers: Arc<Pool>,
}

/// Bytes of one kind.
#[derive(Debug)]
struct Pool {
    /// `u64::MAX` without a limit.
    max_bytes: u64,
    held_bytes: AtomicU64,
    /// Number of tasks that wait for room. A release looks at it first, since a notification takes a lock.
    waiting: AtomicUsize,
    released: Notify,
}

/// Whether a holder of `own_bytes` may hold `more_bytes` as well, where all hold `held_bytes` of `max_bytes`: if nobody
/// else holds anything, or if the holder then has at most half of what the others leave.
///
/// The sum cannot exceed `max_bytes` unless one holder alone does.
fn is_room(max_bytes: u64, held_bytes: u64, own_bytes: u64, more_bytes: u64) -> bool {
    let others_bytes = held_bytes.saturating_sub(own_bytes);
    let wanted_bytes = own_bytes.saturating_add(more_bytes);
    others_bytes == 0 || wanted_bytes <= max_bytes.saturating_sub(others_bytes) / 2
}

impl Pool {
    fn new(max_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            held_bytes: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    fn try_take(&self, own_bytes: u64, more_bytes: u64) -> Result<(), NoMemory> {
        // Sequentially consistent, as the release: a release either is seen here or sees the task that waits.
        let taken = self.held_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |held_bytes| {
            is_room(self.max_bytes, held_bytes, own_bytes, more_bytes).then(|| held_bytes + more_bytes)
        });
        taken.map(|_| ()).map_err(|_| NoMemory)
    }

    fn release(&self, bytes: u64) {
        if bytes == 0 {
            return;
        }
        self.held_bytes.fetch_sub(bytes, Ordering::SeqCst);
        if self.waiting.load(Ordering::SeqCst) > 0 {
            self.released.notify_waiters();
        }
    }
}

impl MemoryLimit {
    /// A limit of `max` bytes for bodies and answers together; none if it is `None`.
    pub fn new(max: Option<ByteCount>) -> Self {
        let half_bytes = max.map_or(u64::MAX, |max| max.0 / 2);
        Self { bodies: Pool::new(half_bytes), answers: Pool::new(half_bytes) }
    }

    /// Bytes held in bodies and answers.
    pub fn held(&self) -> ByteCount {
        let held = |pool: &Pool| pool.held_bytes.load(Ordering::Relaxed);
        ByteCount(held(&self.bodies) + held(&self.answers))
    }

    /// The limit; `None` if there is none.
    pub fn max(&self) -> Option<ByteCount> {
        let is_limited = self.bodies.max_bytes != u64::MAX;
        is_limited.then(|| ByteCount(self.bodies.max_bytes + self.answers.max_bytes))
    }

    /// Holds nothing yet, for the body of a request.
    pub fn body(&self) -> HeldMemory {
        HeldMemory { pool: Arc::clone(&self.bodies), bytes: 0 }
    }

    /// Holds nothing yet, for an answer.
    pub fn answer(&self) -> HeldMemory {
        HeldMemory { pool: Arc::clone(&self.answers), bytes: 0 }
    }
}

/// Bytes that are held; released when dropped.
#[derive(Debug)]
pub struct HeldMemory {
    pool: Arc<Pool>,
    bytes: u64,
}

impl HeldMemory {
    /// Holds `more` bytes as well.
    ///
    /// # Errors
    ///
    /// [`NoMemory`] if there is no room now.
    pub fn try_grow(&mut self, more: ByteCount) -> Result<(), NoMemory> {
        if more.0 > 0 {
            self.pool.try_take(self.bytes, more.0)?;
            self.bytes += more.0;
        }
        Ok(())
    }

    /// Holds `more` bytes as well, and waits until there is room. May be dropped at any time.
    pub async fn grow(&mut self, more: ByteCount) {
        if self.try_grow(more).is_ok() {
            return;
        }
        let pool = Arc::clone(&self.pool);
        let _waiting = Waiting::new(&pool.waiting);
        loop {
            // Created before the attempt, so that a release in between is not missed.
            let released = pool.released.notified();
            if self.try_grow(more).is_ok() {
                return;
            }
            released.await;
        }
    }

    /// Releases what exceeds `size`.
    pub fn shrink_to(&mut self, size: ByteCount) {
        if size.0 < self.bytes {
            self.pool.release(self.bytes - size.0);
            self.bytes = size.0;
        }
    }

    /// Splits off `size` of the held bytes, at most all of them.
    #[must_use]
    pub fn split(&mut self, size: ByteCount) -> Self {
        let bytes = size.0.min(self.bytes);
        self.bytes -= bytes;
        Self { pool: Arc::clone(&self.pool), bytes }
    }

    /// Ties the memory to `bytes`: it is released when their last copy is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Counted { bytes, _memory: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.pool.release(self.bytes);
    }
}

/// Bytes and the memory that they take.
struct Counted<Data> {
    bytes: Data,
    _memory: HeldMemory,
}

impl<Data> AsRef<[u8]> for Counted<Data>
where
    Data: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Counts a task that waits, for as long as it lives.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::SeqCst);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Smallest capacity of a buffer whose final size is unknown.
const GROWTH_BYTES_MIN: usize = 1 << 10;

/// A body that is being read. Its bytes are copied out of the buffers of their connection, which would be held whole for
/// as long as any byte in them is.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    memory: HeldMemory,
}

impl HeldBuffer {
    /// An empty buffer that may fill `memory` before it needs more.
    pub fn new(memory: HeldMemory) -> Self {
        Self { bytes: Vec::new(), memory }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`NoMemory`] if the buffer cannot grow by them.
    pub fn try_extend(&mut self, more: &[u8]) -> Result<(), NoMemory> {
        let needed = self.bytes.len() + more.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(GROWTH_BYTES_MIN).max(needed);
            let counted = usize::try_from(self.memory.bytes).unwrap_or(usize::MAX);
            let capacity = if needed <= counted {
                doubled.min(counted)
            } else {
                self.count(counted, doubled).or_else(|NoMemory| self.count(counted, needed))?
            };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    fn count(&mut self, counted: usize, capacity: usize) -> Result<usize, NoMemory> {
        self.memory.try_grow(ByteCount((capacity - counted) as u64))?;
        Ok(capacity)
    }

    /// The complete body, with the memory that it takes.
    pub fn into_bytes(self) -> Bytes {
        let Self { mut bytes, mut memory } = self;
        bytes.shrink_to_fit();
        memory.shrink_to(ByteCount(bytes.capacity() as u64));
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Counted { bytes, _memory: memory })
    }
}
