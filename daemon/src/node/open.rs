//! A request that has not ended, as the node holds it: its body, its caller and what was delivered.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::end::End;
use boragecove_core::id;
use boragecove_core::request::Arrival;
use boragecove_core::time::Time;
use boragecove_wire::completion::Chunk;
use bytes::Bytes;

use crate::callers::content::Content;
use crate::callers::outlet::{Head, Outlet, Part};
use crate::logs;

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) content: Arc<Content>,
    pub(super) outlet: Outlet,
    pub(super) times: Times,
    pub(super) tries: Vec<id::Attempt>,
    /// Events in the answer, once it is at its end.
    pub(super) length: u64,
    stream: bool,
    begun: bool,
    head: Option<Head>,
    body: Bytes,
    delivered: String,
    kept_all: bool,
}

/// When what came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// The request.
    pub(super) arrived: Time,
    /// Its first try went out.
    pub(super) sent: Option<Time>,
    /// The first of its answer.
    pub(super) first: Option<Time>,
    /// The latest of its answer.
    pub(super) last: Option<Time>,
}

impl Open {
    pub(super) fn new(arrival: &Arrival, content: Content, outlet: Outlet, now: Time) -> Self {
        Self {
            content: Arc::new(content),
            outlet,
            times: Times { arrived: now, sent: None, first: None, last: None },
            tries: Vec::new(),
            length: 0,
            stream: arrival.stream,
            begun: false,
            head: None,
            body: Bytes::new(),
            delivered: String::new(),
            kept_all: true,
        }
    }

    /// The text delivered so far, if all of it was kept.
    pub(super) fn delivered(&self) -> Option<&str> {
        self.kept_all.then_some(&*self.delivered)
    }

    /// Takes the head, and what there is of the body, of the answer that the current try brings.
    pub(super) fn take(&mut self, head: Head, body: Bytes) {
        self.head = Some(head);
        self.body = body;
    }

    /// Passes on what was taken, and all that follows as it comes.
    pub(super) fn commit(&mut self) {
        if self.begun {
            return;
        }
        if let Some(head) = self.head.take() {
            self.begun = true;
            self.outlet.push(Part::Head(head));
            self.outlet.push(Part::Data(std::mem::take(&mut self.body)));
        }
    }

    /// Passes on more of an answer that is passed on as it comes.
    pub(super) fn more(&self, bytes: Bytes) {
        if self.begun {
            self.outlet.push(Part::Data(bytes));
        }
    }

    /// Passes on events of a stream. Returns the time since the events before.
    pub(super) fn deliver(&mut self, bytes: Bytes, now: Time) -> Option<Duration> {
        if !self.begun {
            self.begun = true;
            if let Some(head) = self.head.take() {
                self.outlet.push(Part::Head(head));
            }
        }
        self.outlet.push(Part::Data(bytes));
        self.times.first.get_or_insert(now);
        self.times.last.replace(now).map(|last| now.since(last))
    }

    /// Keeps the text of an event, to go on after it at another engine; at most `limit` bytes.
    pub(super) fn keep(&mut self, data: &[u8], limit: usize) {
        if !self.kept_all {
            return;
        }
        match Chunk::read(data) {
            Ok(piece) if self.delivered.len() + piece.text().len() <= limit => {
                self.delivered.push_str(piece.text());
            }
            _ => {
                self.kept_all = false;
                self.delivered = String::new();
            }
        }
    }

    /// Tells the caller how its request ended.
    pub(super) fn end(mut self, end: End) {
        let answered = end.attempt().is_some();
        if answered && !self.begun {
            match self.head.take() {
                Some(head) if self.stream && self.body.is_empty() => self.outlet.push(Part::Head(head)),
                Some(head) => {
                    self.outlet.push(Part::Whole { head, body: self.body });
                    return;
                }
                None => {}
            }
        }
        self.outlet.push(Part::End { end, length: self.length });
    }
}

impl Times {
    /// How long what took, at the request's end.
    pub(super) fn spans(&self, now: Time) -> logs::Spans {
        logs::Spans {
            queued: self.sent.unwrap_or(now).since(self.arrived),
            first: self.first.map(|first| first.since(self.arrived)),
            total: now.since(self.arrived),
        }
    }
}
