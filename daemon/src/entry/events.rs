//! Finds the events in a stream's bytes: only whole ones go on to the caller, and the number of the last
//! says where another engine is to go on.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Bytes of one event, at most.
const EVENT_MAX: usize = 1 << 20;

/// The part of a stream that has come and not gone on.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Takes in more bytes and returns those of the whole events.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Bytes {
        // What was there before has been searched, but for an end that its last byte begins.
        let from = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = memmem::rfind(&self.buffer[from..], b"\n\n") else {
            return Bytes::new();
        };
        let whole = self.buffer.split_to(from + end + 2).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// The number of the last whole event.
    pub(crate) const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether an event has begun that is not whole, or one is too long to be one.
    pub(crate) fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether what has come cannot be an event.
    pub(crate) fn overlong(&self) -> bool {
        self.buffer.len() > EVENT_MAX
    }

    /// Drops what has come of an event that is not whole: another engine sends it anew.
    pub(crate) fn restart(&mut self) {
        self.buffer.clear();
    }
}

/// How many whole events there are in such bytes.
pub(crate) fn count(whole: &Bytes) -> u32 {
    memmem::find_iter(whole, b"\n\n").count() as u32
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
