//! Reads server-sent events from bytes as they come, by whole events.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

/// An event that is not complete after this many bytes is not read any further.
const EVENT_MAX: usize = 1 << 20;

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its number in the answer.
    pub offset: u64,
    /// Its bytes in the batch, with the empty line at its end.
    pub raw: Range<usize>,
    /// Its data in the batch.
    pub data: Range<usize>,
}

/// The events that one read completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Batch {
    /// The bytes that the events' ranges refer to.
    pub bytes: Bytes,
    /// The events, in order.
    pub events: Vec<Event>,
    /// The end mark, with the number of events in the answer.
    pub done: Option<u64>,
    /// Whether something came that is no event of an answer.
    pub broken: bool,
}

/// Reads a stream of events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    rest: BytesMut,
}

#[derive(Debug, Default)]
struct Fields {
    id: Option<u64>,
    data: Option<Range<usize>>,
    other: bool,
}

impl Parser {
    /// Takes the bytes of one read and returns the events that they complete.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Batch {
        let bytes = if self.rest.is_empty() {
            chunk
        } else {
            self.rest.extend_from_slice(&chunk);
            self.rest.split().freeze()
        };
        let mut batch = Batch::default();
        let begun = scan(&bytes, &mut batch);
        self.rest.extend_from_slice(&bytes[begun..]);
        batch.broken |= self.rest.len() > EVENT_MAX;
        batch.bytes = bytes;
        batch
    }
}

/// Finds the whole events and returns where the first incomplete one begins.
fn scan(bytes: &[u8], batch: &mut Batch) -> usize {
    let mut begun = 0;
    let mut line_start = 0;
    let mut fields = Fields::default();
    for newline in memchr::memchr_iter(b'\n', bytes) {
        let line_end =
            if newline > line_start && bytes[newline - 1] == b'\r' { newline - 1 } else { newline };
        if line_end > line_start {
            field(bytes, line_start..line_end, &mut fields);
        } else {
            complete(bytes, begun..newline + 1, std::mem::take(&mut fields), batch);
            begun = newline + 1;
        }
        line_start = newline + 1;
    }
    begun
}

fn field(bytes: &[u8], line: Range<usize>, fields: &mut Fields) {
    let text = &bytes[line.clone()];
    if let Some(value) = value(text, b"data:") {
        fields.data = Some(line.end - value.len()..line.end);
    } else if let Some(value) = value(text, b"id:") {
        fields.id = std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok());
    } else {
        fields.other |= !text.starts_with(b":");
    }
}

fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn complete(bytes: &[u8], raw: Range<usize>, fields: Fields, batch: &mut Batch) {
    match fields {
        Fields { other: true, .. } | Fields { id: None, data: Some(_), .. } => batch.broken = true,
        Fields { id: Some(offset), data: Some(data), .. } if bytes[data.clone()] == *b"[DONE]" => {
            batch.done = Some(offset);
        }
        Fields { id: Some(offset), data: Some(data), .. } => batch.events.push(Event { offset, raw, data }),
        Fields { data: None, .. } => {}
    }
}
