//! Reads the body of a request within limits of size, time and memory.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use tokio::time::{Instant, Sleep};

use crate::connection::Connection;
use crate::memory::{Full, Share};

/// Size in bytes of the blocks in which a large body is collected. It takes no more memory than was received.
const BLOCK_BYTES: usize = 64 << 10;
/// Size in bytes of the first block of a body without a length.
const FIRST_BLOCK_BYTES: usize = 4 << 10;
/// Number of chunks from which their mean size is known well enough.
const CHUNKS_MIN: usize = 64;

/// How long a body that finds no room waits for others, which are complete by then or give way.
const ROOM_TIME_MAX: Duration = Duration::from_secs(1);
/// Time between two looks for room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum size in bytes.
    pub(crate) bytes: usize,
    /// Maximum time until it is complete.
    pub(crate) time: Duration,
}

/// Why a body was not read completely.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    /// It is larger than the limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// There is no memory for it.
    #[error(transparent)]
    Full(#[from] Full),
    /// It broke off, or its framing is invalid.
    #[error("the body broke off: {0}")]
    Broken(#[from] PayloadError),
}

/// The size of a body that the headers announce, in bytes.
pub(crate) fn announced(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a body. `share` holds its bytes from then on, and can't be taken back any more.
///
/// # Errors
///
/// If it can't be read completely within the limits. Nothing is read of a body that announces more than the limit.
pub(crate) async fn read(
    payload: &mut Payload,
    announced: Option<u64>,
    limits: Limits,
    share: &mut Share,
    connection: Option<&Connection>,
) -> Result<Bytes, Problem> {
    if announced.is_some_and(|length| length > limits.bytes as u64) {
        return Err(Problem::TooLarge);
    }
    let blocks = Blocks { announced: announced.map_or(0, |length| length as usize), ..Blocks::default() };
    let mut reader = Reader { payload, blocks, limit: limits.bytes, share, connection, wait: None };
    let collect = poll_fn(|cx| reader.collect(cx));
    tokio::time::timeout(limits.time, collect).await.map_err(|_elapsed| Problem::TimedOut)??;
    let Reader { blocks, share, .. } = reader;
    share.complete()?;
    if let Some(connection) = connection {
        // A caller that goes away is noticed by reading.
        connection.read_more(None);
    }
    let held = blocks.held;
    let body = blocks.join();
    share.shrink(held.saturating_sub(body.len()));
    Ok(body)
}

/// Collects a body.
struct Reader<'a> {
    payload: &'a mut Payload,
    blocks: Blocks,
    limit: usize,
    share: &'a mut Share,
    connection: Option<&'a Connection>,
    /// The wait for room; none if there was room.
    wait: Option<Wait>,
}

/// A wait for room.
struct Wait {
    until: Instant,
    retry: Pin<Box<Sleep>>,
}

impl Reader<'_> {
    /// Collects what was received until the body is complete.
    fn collect(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Problem>> {
        if self.share.poll_evicted(cx).is_ready() {
            return Poll::Ready(Err(Full.into()));
        }
        let before = self.blocks.len;
        loop {
            ready!(self.poll_room(cx))?;
            match Pin::new(&mut *self.payload).poll_next(cx) {
                Poll::Ready(Some(Ok(chunk))) => {
                    if self.blocks.len + chunk.len() > self.limit {
                        return Poll::Ready(Err(Problem::TooLarge));
                    }
                    self.blocks.chunks += 1;
                    self.blocks.received = chunk;
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error.into())),
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    self.share.record_received(self.blocks.len - before);
                    if let Some(connection) = self.connection {
                        connection.read_more(self.blocks.chunk_bytes());
                    }
                    return Poll::Pending;
                }
            }
        }
    }

    /// Waits for room for what was received. Nothing more is read meanwhile.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Full>> {
        loop {
            if self.blocks.append(self.share).is_ok() {
                self.wait = None;
                return Poll::Ready(Ok(()));
            }
            let now = Instant::now();
            let wait = self.wait.get_or_insert_with(|| Wait {
                until: now + ROOM_TIME_MAX,
                retry: Box::pin(tokio::time::sleep(ROOM_CHECK_INTERVAL)),
            });
            if self.share.is_evicted() || now >= wait.until {
                return Poll::Ready(Err(Full));
            }
            self.share.record_waiting();
            ready!(wait.retry.as_mut().poll(cx));
            wait.retry.as_mut().reset(now + ROOM_CHECK_INTERVAL);
        }
    }
}

/// A body as far as it was received.
#[derive(Debug, Default)]
struct Blocks {
    filled: Vec<BytesMut>,
    /// What was received and is to be appended.
    received: Bytes,
    /// The size of the complete body; 0 if it is not known.
    announced: usize,
    len: usize,
    /// Size of all blocks in bytes.
    held: usize,
    /// Number of chunks that were received.
    chunks: usize,
}

impl Blocks {
    /// Appends what was received, as far as there is room.
    fn append(&mut self, share: &mut Share) -> Result<(), Full> {
        while !self.received.is_empty() {
            let room = self.filled.last().map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                let size = self.next_block();
                share.grow(size)?;
                self.held += size;
                self.filled.push(BytesMut::with_capacity(size));
                continue;
            }
            let now = self.received.split_to(room.min(self.received.len()));
            if let Some(block) = self.filled.last_mut() {
                block.extend_from_slice(&now);
            }
            self.len += now.len();
        }
        Ok(())
    }

    /// Size in bytes of the next block.
    fn next_block(&self) -> usize {
        match self.announced.checked_sub(self.len) {
            Some(left) if left > 0 => left.min(BLOCK_BYTES),
            _ if self.filled.is_empty() => FIRST_BLOCK_BYTES,
            _ => BLOCK_BYTES,
        }
    }

    /// Mean size in bytes of the chunks that were received; none if there are too few to tell.
    fn chunk_bytes(&self) -> Option<usize> {
        (self.chunks >= CHUNKS_MIN).then(|| self.len / self.chunks)
    }

    /// The body in one piece. Each block is given back as soon as it was copied.
    fn join(mut self) -> Bytes {
        if self.filled.len() == 1 {
            return self.filled.remove(0).freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        for block in self.filled {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}

/// Keeps what was not read of a request's body until the response is written. The HTTP library then closes the connection. It
/// would otherwise read a chunked body to its end, which may never come.
pub(crate) fn keep_unread(response: HttpResponse, unread: Payload) -> HttpResponse {
    response.map_body(|_head, body| BoxBody::new(Refusal { body, _unread: unread }))
}

/// The body of a response to a request whose own body was not read completely.
struct Refusal {
    body: BoxBody,
    _unread: Payload,
}

impl MessageBody for Refusal {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
