//! Splits a stream into events. Only complete events are forwarded to the caller, and the id of the last one tells
//! another engine where to resume.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use crate::memory::{Account, Share};

/// Largest size of an event in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// The bytes of a stream that were received and not forwarded yet.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buffer: BytesMut,
    /// The memory of the buffer.
    share: Option<Share>,
    last: Option<u64>,
}

impl EventBuffer {
    /// Appends bytes of the stream and returns the events that are complete now.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Bytes {
        // The bytes before were searched already, but their last one may be the first half of a separator.
        let from = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = memmem::rfind(&self.buffer[from..], b"\n\n") else {
            return Bytes::new();
        };
        let complete = self.buffer.split_to(from + end + 2).freeze();
        // What is behind the events would keep their memory.
        self.buffer = BytesMut::from(&*self.buffer);
        if let Some(id) = last_id(&complete) {
            self.last = Some(id);
        }
        complete
    }

    /// The id of the last complete event.
    pub(crate) const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the buffer holds an incomplete event.
    pub(crate) fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Memory in bytes that the buffer takes besides what it has, once this many bytes are appended.
    pub(crate) fn growth(&self, bytes: usize) -> usize {
        let capacity = self.buffer.capacity();
        let total = self.buffer.len() + bytes;
        if total > capacity { total.max(2 * capacity) - capacity } else { 0 }
    }

    /// The memory of the buffer, which is to be held before it grows.
    pub(crate) fn share(&mut self, account: &Account) -> &mut Share {
        self.share.get_or_insert_with(|| account.share())
    }

    /// Hands the memory of complete events over to another share, and gives back what the buffer does not take any more.
    pub(crate) fn hand_over(&mut self, complete: &Bytes, to: &mut Share) {
        if let Some(share) = &mut self.share {
            share.hand_over(complete.len(), to);
            share.shrink(share.bytes().saturating_sub(self.buffer.capacity()));
        }
    }

    /// Whether the incomplete event, with these bytes behind it, is longer than events may be.
    pub(crate) fn is_overlong_with(&self, bytes: &[u8]) -> bool {
        if self.buffer.len() + bytes.len() <= EVENT_BYTES_MAX {
            return false;
        }
        let is_ended = self.buffer.ends_with(b"\n") && bytes.starts_with(b"\n");
        !is_ended && memmem::find(bytes, b"\n\n").is_none()
    }

    /// Discards an incomplete event, and its memory: another engine sends it again from its start.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
        self.share = None;
    }
}

/// Number of events in bytes returned by [`EventBuffer::push`].
pub(crate) fn count_events(complete: &Bytes) -> u32 {
    memmem::find_iter(complete, b"\n\n").count() as u32
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
