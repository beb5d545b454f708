//! One connection: its buffers, and when bytes were last transferred.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use bytes::{Buf, Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::Error;
use super::expected::Expected;
use super::head::{Scan, Scanner};

/// Size of a read in bytes.
const READ_BYTES: usize = 8 << 10;
/// Number of bytes that are read before other tasks have their turn, however fast they arrive.
const TURN_BYTES: usize = 32 << 10;

/// Maximum size of a head in bytes.
const HEAD_BYTES_MAX: usize = 128 << 10;
/// Maximum number of bytes in front of an answer that are skipped. Answers to other requests may never end.
const SKIPPED_BYTES_MAX: usize = 1 << 20;

#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    pub(super) input: BytesMut,
    /// What is to be written next.
    pub(super) output: BytesMut,
    /// What is to be written after it.
    pub(super) output_body: Bytes,
    pub(super) has_written: bool,
    /// How the connection failed; none as long as no call has reported it.
    failure: Option<io::ErrorKind>,
    /// When bytes were last written or read.
    pub(super) last_transfer: Rc<Cell<Instant>>,
    /// Number of bytes that were read in this turn.
    turn_bytes: usize,
    /// Whether no request is in flight on it.
    pub(super) is_idle: bool,
    /// Number of answers that were received on it.
    pub(super) answers: u32,
    /// How the answer to the request in flight names it.
    pub(super) expected: Expected,
    /// Whether the request in flight is answered without a body.
    pub(super) is_head_request: bool,
    scanner: Scanner,
    /// Number of bytes in front of the answer to the request in flight that belong to no request.
    pub(super) skipped: usize,
    /// Number of answers on all connections of the client that may belong to no request.
    pub(super) suspects: Rc<Cell<u64>>,
}

/// An abandoned request must not arrive later, as it would from the kernel's buffers once a network partition
/// heals. Resetting its connection discards the buffered bytes.
impl Drop for Connection {
    fn drop(&mut self) {
        if !self.is_idle {
            // Fails only if the socket is closed already.
            let _closed = self.stream.set_zero_linger();
        }
    }
}

impl Connection {
    /// Opens a connection; fails at `until`.
    pub(super) async fn open(
        address: SocketAddr,
        until: Instant,
        suspects: Rc<Cell<u64>>,
    ) -> io::Result<Self> {
        let late = || io::Error::new(io::ErrorKind::TimedOut, "timed out while connecting");
        let stream = timeout_at(until, TcpStream::connect(address)).await.map_err(|_elapsed| late())??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            output_body: Bytes::new(),
            has_written: false,
            failure: None,
            last_transfer: Rc::new(Cell::new(Instant::now())),
            turn_bytes: 0,
            is_idle: true,
            answers: 0,
            expected: Expected::Unnamed,
            is_head_request: false,
            scanner: Scanner::default(),
            skipped: 0,
            suspects,
        })
    }

    /// Whether nothing was received after the last answer, and the connection is still open.
    pub(super) fn has_no_input(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.input.is_empty() && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Prepares for the answer to a request that is about to be written.
    pub(super) fn begin(&mut self, expected: Expected, is_head_request: bool) {
        self.has_written = false;
        self.is_idle = false;
        self.scanner = Scanner::default();
        self.skipped = 0;
        self.expected = expected;
        self.is_head_request = is_head_request;
    }

    /// Reads until the input begins with a complete head, and skips what is in front of it. Returns the head's size.
    pub(super) async fn fill_head(&mut self) -> Result<usize, Error> {
        loop {
            match self.scanner.scan(&self.input) {
                Scan::Complete { stray, end } => {
                    self.skip(stray)?;
                    return Ok(end - stray);
                }
                Scan::Partial { stray } => self.skip(stray)?,
            }
            if self.input.len() > HEAD_BYTES_MAX {
                return Err(Error::InvalidResponse(format!("more than {HEAD_BYTES_MAX} bytes in a head")));
            }
            match self.fill().await {
                Ok(0) if self.skipped > 0 => {
                    return Err(Error::InvalidResponse("no answer to the request".to_owned()));
                }
                Ok(0) => return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => {}
                Err(error) => return Err(Error::Lost(error)),
            }
        }
    }

    /// Skips bytes in front of the answer, which belong to no request.
    pub(super) fn skip(&mut self, count: usize) -> Result<(), Error> {
        if count == 0 {
            return Ok(());
        }
        let skipped = self.input.split_to(count);
        self.skip_invalid_head(count, self.expected.is_named_within(&skipped))
    }

    /// Counts skipped bytes that are no answer, and fails if they name the request.
    pub(super) fn skip_invalid_head(&mut self, count: usize, names_request: bool) -> Result<(), Error> {
        self.skip_head(count)?;
        if names_request {
            // The engine's answer to this request broke off, or is none: which of two answers is meant can't be known.
            return Err(Error::InvalidResponse(
                "bytes that name the request and are no answer to it".to_owned(),
            ));
        }
        Ok(())
    }

    /// Counts skipped bytes of a head that was decoded.
    pub(super) fn skip_head(&mut self, count: usize) -> Result<(), Error> {
        self.skipped += count;
        if self.expected == Expected::Unnamed {
            return Err(Error::InvalidResponse("bytes in front of the answer".to_owned()));
        }
        if self.skipped > SKIPPED_BYTES_MAX {
            return Err(Error::InvalidResponse(format!(
                "more than {SKIPPED_BYTES_MAX} bytes in front of the answer"
            )));
        }
        Ok(())
    }

    /// Counts an answer, and logs it if it belongs to no request or follows bytes that do.
    pub(super) fn record_answer(&mut self, head: &ResponseHead) {
        let is_named = self.expected.is_named_in(&head.headers);
        if self.skipped > 0 || !is_named {
            self.suspects.set(self.suspects.get() + 1);
            let server = self.stream.peer_addr().ok();
            tracing::warn!(
                expected = ?self.expected,
                ?server,
                status = %head.status,
                skipped = self.skipped,
                is_named,
                earlier_answers = self.answers,
                "answer may belong to no request"
            );
        }
        self.answers += 1;
    }

    /// Writes as much of the output as is possible without waiting.
    pub(super) fn flush_now(&mut self) -> io::Result<()> {
        while self.has_output() {
            let next = if self.output.is_empty() { &*self.output_body } else { &*self.output };
            match self.stream.try_write(next) {
                Ok(count) => {
                    self.has_written = true;
                    self.last_transfer.set(Instant::now());
                    self.advance(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => {
                    self.record_failure(&error);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Records that the connection failed. The system reports a reset only once, to a write as well as to a read; after it,
    /// a read returns 0, as at an end in order. A broken pipe is none: the server has closed its side in order before.
    fn record_failure(&mut self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.failure.get_or_insert(error.kind());
        }
    }

    /// Whether the connection failed, so that its end is not the end of an answer.
    pub(super) const fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Whether something is to be written.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty() || !self.output_body.is_empty()
    }

    fn advance(&mut self, written: usize) {
        if !self.output.is_empty() {
            return self.output.advance(written);
        }
        self.output_body.advance(written);
        if self.output_body.is_empty() {
            // Its memory is given back.
            self.output_body = Bytes::new();
        }
    }

    /// Gives up the request in flight, of which nothing was written.
    pub(super) fn discard_request(&mut self) {
        self.discard_output();
        self.is_idle = true;
    }

    /// Gives up what is still to be written.
    fn discard_output(&mut self) {
        self.output.clear();
        self.output_body = Bytes::new();
    }

    /// Reads more input, and writes the remaining output meanwhile. Returns the number of bytes read; 0 at the end, if the
    /// server closed the connection in order.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            tokio::task::yield_now().await;
        }
        loop {
            let both = Interest::READABLE | Interest::WRITABLE;
            let interest = if self.has_output() { both } else { Interest::READABLE };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() {
                // An answer may have arrived although the rest of the request can't be written any more.
                if self.flush_now().is_err() {
                    self.discard_output();
                }
            }
            if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
                self.input.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.input) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    read => return self.received(read),
                }
            }
        }
    }

    /// The outcome of a read that did not have to wait.
    fn received(&mut self, read: io::Result<usize>) -> io::Result<usize> {
        self.last_transfer.set(Instant::now());
        if let Err(error) = &read {
            self.record_failure(error);
        }
        self.turn_bytes += *read.as_ref().unwrap_or(&0);
        match (read, self.failure) {
            (Ok(0), Some(failure)) => Err(failure.into()),
            (read, _) => read,
        }
    }
}

/// Returns once no byte was transferred for `stall`, but not before `until`.
pub(super) async fn stall_detected(last_transfer: &Cell<Instant>, until: Instant, stall: Duration) {
    loop {
        let end = until.max(last_transfer.get() + stall);
        if end <= Instant::now() {
            return;
        }
        sleep_until(end).await;
    }
}
