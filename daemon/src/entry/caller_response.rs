//! The response channel from a request's task to its caller's connection. It is ordered and bounded.

use std::mem;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use actix_web::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::connection::Connection;
use crate::memory::{Account, Share};

/// Size in bytes of the pieces in which a complete response is written, so that it is not copied as a whole.
const PIECE_BYTES: usize = 32 << 10;
/// Number of parts buffered for a caller that reads slowly. Once the buffer is full, the engine's answer is read no further.
const PARTS_BUFFERED: usize = 32;

/// One part of a response.
#[derive(Debug)]
pub enum Part {
    /// A complete response.
    Complete(Head, Whole),
    /// The head of a response whose body follows.
    Head(Head),
    /// Bytes of the body.
    Data(Whole),
    /// The body is complete.
    End,
}

/// Bytes for a caller, and the memory that they take until it has read them.
#[derive(Debug)]
pub struct Whole {
    /// The bytes.
    pub bytes: Bytes,
    /// Their memory; none if they are few.
    pub share: Option<Share>,
}

impl From<Bytes> for Whole {
    /// A few bytes, whose memory is not counted.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, share: None }
    }
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// The side of the request's task.
pub type ResponseSender = mpsc::Sender<Part>;

/// Creates the response channel of a request.
#[must_use]
pub fn channel() -> (ResponseSender, mpsc::Receiver<Part>) {
    mpsc::channel(PARTS_BUFFERED)
}

/// Events of a stream that count as received and were not handed on yet, because the caller reads slowly.
///
/// An attempt may be dropped while it waits for the caller. What it had taken from its engine stays here, and the next
/// attempt, which goes on after these events, hands it on before its own.
#[derive(Debug, Default)]
pub struct Undelivered {
    events: BytesMut,
    share: Option<Share>,
}

impl Undelivered {
    /// Adds events.
    pub fn push(&mut self, events: &[u8]) {
        self.events.extend_from_slice(events);
    }

    /// The memory of the events.
    pub fn share(&mut self, account: &Account) -> &mut Share {
        self.share.get_or_insert_with(|| account.share())
    }

    /// Hands on all events once there is room for them. Nothing is lost if this is dropped while it waits.
    pub async fn deliver(&mut self, sender: &ResponseSender) {
        if self.events.is_empty() {
            return;
        }
        // Without the caller there is nobody to hand them on to.
        if let Ok(permit) = sender.reserve().await {
            let bytes = mem::take(&mut self.events).freeze();
            permit.send(Part::Data(Whole { bytes, share: self.share.take() }));
        }
    }
}

/// The response broke off after its head was sent.
#[derive(Debug, Error)]
#[error("the response broke off")]
pub(crate) struct Interrupted;

/// A response body that is forwarded part by part. If its end is missing, the connection is closed, so that the caller
/// can tell that the response broke off.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    parts: mpsc::Receiver<Part>,
    /// The memory of the bytes that were handed to the connection last.
    written: Option<Share>,
    interrupted: bool,
    ended: bool,
}

impl StreamedBody {
    pub(crate) const fn new(parts: mpsc::Receiver<Part>) -> Self {
        Self { parts, written: None, interrupted: false, ended: false }
    }
}

impl MessageBody for StreamedBody {
    type Error = Interrupted;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Interrupted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.parts.poll_recv(cx)) {
            Some(Part::Data(Whole { bytes, share })) => {
                self.written = share;
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(Part::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // Parts that were received before are flushed first: an error discards what isn't written yet.
            Some(Part::Complete(..) | Part::Head(_)) | None if !self.interrupted => {
                self.interrupted = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(Part::Complete(..) | Part::Head(_)) | None => {
                self.ended = true;
                Poll::Ready(Some(Err(Interrupted)))
            }
        }
    }
}

/// The body of a response on a caller's connection.
#[derive(Debug)]
pub(crate) struct Body {
    content: Content,
    connection: Option<Connection>,
    /// Whether the connection is closed after the response.
    closes: bool,
}

/// The content of a response's body.
#[derive(Debug)]
enum Content {
    Whole(Whole),
    Streamed(StreamedBody),
}

impl Body {
    /// A complete body.
    pub(crate) const fn whole(whole: Whole, connection: Option<Connection>, closes: bool) -> Self {
        Self { content: Content::Whole(whole), connection, closes }
    }

    /// A body that is forwarded part by part.
    pub(crate) const fn streamed(body: StreamedBody, connection: Option<Connection>, closes: bool) -> Self {
        Self { content: Content::Streamed(body), connection, closes }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end(self.closes);
        }
    }
}

impl MessageBody for Body {
    type Error = Interrupted;

    fn size(&self) -> BodySize {
        match &self.content {
            Content::Whole(whole) => BodySize::Sized(whole.bytes.len() as u64),
            Content::Streamed(body) => body.size(),
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Interrupted>>> {
        match &mut self.content {
            Content::Whole(whole) if whole.bytes.is_empty() => Poll::Ready(None),
            Content::Whole(whole) => {
                let piece = whole.bytes.len().min(PIECE_BYTES);
                Poll::Ready(Some(Ok(whole.bytes.split_to(piece))))
            }
            Content::Streamed(body) => Pin::new(body).poll_next(cx),
        }
    }
}
