//! The body of an answer that is passed on as it comes, and the watch for callers that go away.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix::Addr;
use actix_web::body::{BodySize, MessageBody};
use boragecove_core::code::Outcome;
use boragecove_core::end::End;
use boragecove_core::id;
use bytes::Bytes;
use thiserror::Error;

use super::outlet::{Inlet, Part};
use super::respond;
use crate::node::{Gone, Node};

/// Tells the node if it is dropped before its request ended: then the caller is gone.
#[derive(Debug)]
pub(crate) struct Watch {
    id: id::Request,
    node: Option<Addr<Node>>,
}

impl Watch {
    pub(crate) fn new(id: id::Request, node: Addr<Node>) -> Self {
        Self { id, node: Some(node) }
    }

    /// The request ended.
    pub(crate) fn over(&mut self) {
        self.node = None;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(node) = self.node.take() {
            node.do_send(Gone(self.id));
        }
    }
}

/// An answer that broke off after its head went out.
#[derive(Debug, Error)]
#[error("the answer broke off")]
pub(crate) struct BrokeOff;

/// A body that is passed on as it comes.
#[derive(Debug)]
pub(crate) struct Passing {
    id: id::Request,
    inlet: Inlet,
    watch: Watch,
    events: bool,
    over: bool,
}

impl Passing {
    /// A body whose head has gone out. `events`: it is a stream of server-sent events.
    pub(crate) fn new(id: id::Request, inlet: Inlet, watch: Watch, events: bool) -> Self {
        Self { id, inlet, watch, events, over: false }
    }

    fn end(&mut self, end: &End, length: u64) -> Option<Result<Bytes, BrokeOff>> {
        self.watch.over();
        self.over = true;
        let answered = end.outcome() == Outcome::Answered;
        match (self.events, answered) {
            (true, true) => Some(Ok(Bytes::from(format!("id: {length}\ndata: [DONE]\n\n")))),
            (true, false) => {
                let json = respond::error_json(self.id, end.code(), end.outcome(), end.code().meaning());
                Some(Ok(Bytes::from(format!("event: error\ndata: {json}\n\n"))))
            }
            (false, true) => None,
            (false, false) => Some(Err(BrokeOff)),
        }
    }
}

impl MessageBody for Passing {
    type Error = BrokeOff;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokeOff>>> {
        let this = self.get_mut();
        while !this.over {
            match ready!(this.inlet.poll_next(cx)) {
                Some(Part::Data(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                Some(Part::End { end, length }) => return Poll::Ready(this.end(&end, length)),
                Some(Part::Head(_) | Part::Whole { .. }) => {}
                None => {
                    this.over = true;
                    return Poll::Ready(Some(Err(BrokeOff)));
                }
            }
        }
        Poll::Ready(None)
    }
}
