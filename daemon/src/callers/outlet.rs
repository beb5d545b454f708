//! What goes from the node to the connection of one caller, in order and with a bounded backlog.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use boragecove_core::end::End;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers that go on to the caller.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// One part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// The answer is passed on as it comes, from here.
    Head(Head),
    /// Bytes of it.
    Data(Bytes),
    /// The whole answer, all at once.
    Whole {
        /// Its head.
        head: Head,
        /// Its body.
        body: Bytes,
    },
    /// The request ended; nothing follows.
    End {
        /// How.
        end: End,
        /// Events in the answer, for a streamed one.
        length: u64,
    },
}

/// The node's side.
#[derive(Debug)]
pub(crate) struct Outlet {
    parts: UnboundedSender<Part>,
    gate: Arc<Gate>,
}

/// The side of the caller's connection.
#[derive(Debug)]
pub(crate) struct Inlet {
    parts: UnboundedReceiver<Part>,
    gate: Arc<Gate>,
}

/// Holds a back end's answer back while the caller's backlog is full.
#[derive(Debug)]
pub(crate) struct Gate {
    limit: usize,
    backlog: AtomicUsize,
    room: Notify,
}

/// Opens a way to a caller, with a backlog of `limit` bytes.
pub(crate) fn open(limit: usize) -> (Outlet, Inlet) {
    let (sender, receiver) = unbounded_channel();
    let gate = Arc::new(Gate { limit, backlog: AtomicUsize::new(0), room: Notify::new() });
    (Outlet { parts: sender, gate: Arc::clone(&gate) }, Inlet { parts: receiver, gate })
}

impl Outlet {
    /// Passes a part on. A caller that is gone is noticed elsewhere.
    pub(crate) fn push(&self, part: Part) {
        if let Part::Data(bytes) = &part {
            self.gate.backlog.fetch_add(bytes.len(), Ordering::AcqRel);
        }
        let _caller_is_gone = self.parts.send(part);
    }

    /// What holds the back end's answer back.
    pub(crate) fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.gate)
    }
}

impl Gate {
    /// Whether there is room for more.
    pub(crate) fn is_open(&self) -> bool {
        self.backlog.load(Ordering::Acquire) < self.limit
    }

    /// Waits for room.
    pub(crate) async fn opened(&self) {
        while !self.is_open() {
            self.room.notified().await;
        }
    }

    fn release(&self, bytes: usize) {
        let before = self.backlog.fetch_sub(bytes, Ordering::AcqRel);
        if before >= self.limit && before - bytes < self.limit {
            self.room.notify_one();
        }
    }
}

impl Inlet {
    /// The next part; none if the node is gone.
    pub(crate) async fn next(&mut self) -> Option<Part> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// The next part, for a body that is polled.
    pub(crate) fn poll_next(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Part>> {
        let part = std::task::ready!(self.parts.poll_recv(cx));
        if let Some(Part::Data(bytes)) = &part {
            self.gate.release(bytes.len());
        }
        std::task::Poll::Ready(part)
    }
}
