//! Cuts a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that a stream that breaks off inside one can go on with the next from
//! another server: the caller sees neither half an event nor one twice.

use bytes::{Buf, Bytes, BytesMut};

use super::edge::EventId;

/// Bytes of one event at most. A larger one is no event.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// A stream that is not made of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("stream is not made of events")]
pub struct NotEvents;

/// Whole events that can be passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Events {
    /// Their bytes as they came.
    pub bytes: Bytes,
    /// Number of the last one.
    pub last: Option<EventId>,
}

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    /// Bytes of `held` that were looked at.
    seen: usize,
}

impl EventCutter {
    /// Takes more bytes; returns the whole events among what is held, if any.
    ///
    /// # Errors
    ///
    /// [`NotEvents`] when an event grows without end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, NotEvents> {
        self.held.extend_from_slice(bytes);
        let Some(end) = self.end_of_last() else {
            self.seen = self.held.len().saturating_sub(1);
            return if self.held.len() > EVENT_LIMIT_BYTES { Err(NotEvents) } else { Ok(None) };
        };
        let bytes = self.held.split_to(end).freeze();
        self.seen = 0;
        let last = last_id(&bytes);
        Ok(Some(Events { bytes, last }))
    }

    /// What is held beyond the last whole event, at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.seen = 0;
        let mut rest = std::mem::take(&mut self.held);
        rest.copy_to_bytes(rest.len())
    }

    /// Where the last whole event ends: behind its empty line.
    fn end_of_last(&self) -> Option<usize> {
        let fresh = &self.held[self.seen..];
        let at = fresh.windows(2).rposition(|pair| pair == b"\n\n");
        at.map(|at| self.seen + at + 2)
    }
}

fn last_id(bytes: &[u8]) -> Option<EventId> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
