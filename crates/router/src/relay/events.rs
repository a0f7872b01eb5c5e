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
    /// Id of the first event that has one; `None` if no event has one.
    pub first: Option<EventId>,
    /// Id of the last event; `None` if no event has one.
    pub last: Option<EventId>,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Bytes of `held` that were already searched for an event end.
    searched: usize,
    line: Line,
    /// Whether the current event has a complete line that is not a comment.
    has_fields: bool,
    /// Whether the last byte was a carriage return: a line feed after it belongs to the same line end.
    after_cr: bool,
}

/// Content of the current line so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
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
            return if self.held.len() > EVENT_LIMIT_BYTES { Err(NotEventStream) } else { Ok(None) };
        };
        let bytes = self.held.split_to(end).freeze();
        self.searched = self.held.len();
        let (first, last) = (ids(&bytes).next(), ids(&bytes).next_back());
        Ok(Some(Events { bytes, first, last }))
    }

    /// Whether a stream that ends here was cut: inside an event, or inside a line. An event without its empty
    /// line may lack further lines.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line != Line::Empty
    }

    /// Bytes after the last complete event, at the end of the stream.
    pub fn remainder(&mut self) -> Bytes {
        let mut remainder = std::mem::take(self).held;
        remainder.copy_to_bytes(remainder.len())
    }

    /// Searches the new bytes; returns the end offset of the last complete event, after its empty line.
    fn last_event_end(&mut self) -> Option<usize> {
        let mut end = None;
        for (at, &byte) in self.held.iter().enumerate().skip(self.searched) {
            let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            match (byte, self.line) {
                (b'\n', _) if follows_cr => {
                    if end == Some(at) {
                        end = Some(at + 1);
                    }
                }
                (b'\n' | b'\r', Line::Empty) => {
                    self.has_fields = false;
                    end = Some(at + 1);
                }
                (b'\n' | b'\r', line) => {
                    self.has_fields |= line == Line::Field;
                    self.line = Line::Empty;
                }
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => self.line = Line::Field,
                (_, Line::Comment | Line::Field) => {}
            }
        }
        self.searched = self.held.len();
        end
    }
}

/// Ids of the events in `bytes`, in order.
fn ids(bytes: &[u8]) -> impl DoubleEndedIterator<Item = EventId> {
    let lines = bytes.split(|&byte| byte == b'\n' || byte == b'\r');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
