//! One connection: its buffers, and when bytes were last transferred.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::header::HeaderValue;
use boragecove_platform::http;
use bytes::{Buf, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::head::Scan;

/// Size of a read in bytes.
const READ_BYTES: usize = 8 << 10;

#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    pub(super) input: BytesMut,
    pub(super) output: BytesMut,
    pub(super) has_written: bool,
    /// When bytes were last written or read.
    pub(super) last_transfer: Rc<Cell<Instant>>,
    /// Whether no request is in flight on it.
    pub(super) is_idle: bool,
    /// Number of answers that were received on it.
    pub(super) answers: u32,
    /// The id that the request in flight has.
    pub(super) request_id: Option<HeaderValue>,
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
            has_written: false,
            last_transfer: Rc::new(Cell::new(Instant::now())),
            is_idle: true,
            answers: 0,
            request_id: None,
            suspects,
        })
    }

    /// Whether nothing was received after the last answer, and the connection is still open.
    pub(super) fn has_no_input(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.input.is_empty() && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Counts an answer, and logs it if it may belong to no request: other bytes are in front of its status line, or it does
    /// not name the request in flight.
    pub(super) fn record_suspect(&mut self, head: &ResponseHead, scanned: Scan) {
        let stray = match scanned {
            Scan::Partial { stray } | Scan::Complete { stray, .. } => stray,
        };
        let is_named =
            self.request_id.is_none() || head.headers.get(http::REQUEST_ID) == self.request_id.as_ref();
        if stray > 0 || !is_named {
            self.suspects.set(self.suspects.get() + 1);
            let (id, server) = (self.request_id.as_ref(), self.stream.peer_addr().ok());
            tracing::warn!(?id, ?server, status = %head.status, stray, is_named, earlier_answers = self.answers, "answer may belong to no request");
        }
        self.answers += 1;
    }

    /// Writes as much of the output as is possible without waiting.
    pub(super) fn flush_now(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(count) => {
                    self.has_written = true;
                    self.last_transfer.set(Instant::now());
                    self.output.advance(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads more input, and writes the remaining output meanwhile. Returns the number of bytes read; 0 at the end.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        loop {
            let both = Interest::READABLE | Interest::WRITABLE;
            let interest = if self.output.is_empty() { Interest::READABLE } else { both };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() {
                // An answer may have arrived although the rest of the request can't be written any more.
                if self.flush_now().is_err() {
                    self.output.clear();
                }
            }
            if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
                self.input.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.input) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    read => {
                        self.last_transfer.set(Instant::now());
                        return read;
                    }
                }
            }
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
