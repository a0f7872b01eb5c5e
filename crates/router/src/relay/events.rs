//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that a stream that breaks off inside an event can be resumed on
//! another server with the next one: the caller receives neither a partial nor a duplicate event.

use bytes::{Buf, Bytes, BytesMut};

use super::interfaces::EventId;

/// Largest event. A stream without an event end within this size is invalid.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// The stream does not consist of server-sent events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("stream does not consist of server-sent events")]
pub struct NotEventStream;

/// Complete events that can be forwarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Events {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Id of the last event; `None` if no event has one.
    pub last: Option<EventId>,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Bytes of `held` that were already searched for an event end.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the complete events that are buffered, if any.
    ///
    /// # Errors
    ///
    /// [`NotEventStream`] when an event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, NotEventStream> {
        self.held.extend_from_slice(bytes);
        let Some(end) = self.last_event_end() else {
            self.searched = self.held.len().saturating_sub(1);
            return if self.held.len() > EVENT_LIMIT_BYTES { Err(NotEventStream) } else { Ok(None) };
        };
        let bytes = self.held.split_to(end).freeze();
        self.searched = 0;
        let last = last_id(&bytes);
        Ok(Some(Events { bytes, last }))
    }

    /// Bytes after the last complete event, at the end of the stream.
    pub fn remainder(&mut self) -> Bytes {
        self.searched = 0;
        let mut remainder = std::mem::take(&mut self.held);
        remainder.copy_to_bytes(remainder.len())
    }

    /// End offset of the last complete event, after its empty line.
    fn last_event_end(&self) -> Option<usize> {
        let unsearched = &self.held[self.searched..];
        let at = unsearched.windows(2).rposition(|pair| pair == b"\n\n");
        at.map(|at| self.searched + at + 2)
    }
}

fn last_id(bytes: &[u8]) -> Option<EventId> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
