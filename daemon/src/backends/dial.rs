//! Connections to back ends that tell when the other side closed them, and fail at a head that is none: the library
//! reports an answer in chunks that was cut off as if it had come to its end, and accepts heads that the protocol does not.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use actix_web::http::Uri;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::head;

/// Maximum size of a head in bytes.
const HEAD_BYTES_MAX: usize = 128 << 10;

/// Counts the connections of one thread that the other side closed while they were read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Closed(Rc<Cell<u64>>);

impl Closed {
    /// How many there were so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.get()
    }
}

/// Opens connections that are counted once they are closed.
#[derive(Clone)]
pub(crate) struct Dial {
    connector: ConnectorService,
    closed: Closed,
}

impl Dial {
    /// Counts in `closed`.
    pub(crate) fn new(closed: Closed) -> Self {
        Self { connector: ConnectorService::default(), closed }
    }
}

impl Service<ConnectInfo<Uri>> for Dial {
    type Response = Connection<Uri, Watched>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.connector.call(req);
        let closed = self.closed.clone();
        async move {
            let (stream, connection) = connecting.await?.replace_io(());
            let _best_effort = stream.set_nodelay(true);
            Ok(connection.replace_io(Watched { stream, closed, reading: Reading::default() }).1)
        }
        .boxed_local()
    }
}

/// A connection that is counted once it is closed, and whose heads are checked.
#[derive(Debug)]
pub(crate) struct Watched {
    stream: TcpStream,
    closed: Closed,
    reading: Reading,
}

/// What is read next. The library reads nothing of an answer before it has written the request.
#[derive(Debug)]
enum Reading {
    /// The rest of a head, behind these bytes.
    Head(BytesMut),
    /// A body, or nothing.
    Body,
}

impl Default for Reading {
    fn default() -> Self {
        Self::Head(BytesMut::new())
    }
}

impl Reading {
    /// Checks bytes that were read.
    ///
    /// # Errors
    ///
    /// If they end a head that is none, an informational one, or one that is too long.
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Self::Head(head) = self else {
            return Ok(());
        };
        head.extend_from_slice(bytes);
        let invalid = |reason| Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        if let Some(end) = head::find_end(head) {
            let head = &head[..end];
            if !head::is_valid(head) {
                return invalid("the head of an answer is not valid");
            }
            if head::is_informational(head) {
                return invalid("an informational answer, which the library takes for the final one");
            }
            *self = Self::Body;
            return Ok(());
        }
        if head.len() > HEAD_BYTES_MAX {
            return invalid("the head of an answer is too long");
        }
        Ok(())
    }
}

impl Watched {
    /// A request is written: an answer's head is read next.
    fn expect_head(&mut self) {
        if matches!(self.reading, Reading::Body) {
            self.reading = Reading::default();
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if read.is_ok() && buf.filled().len() == before && buf.remaining() > 0 {
            self.closed.0.set(self.closed.count() + 1);
        }
        let checked = self.reading.check(&buf.filled()[before..]);
        Poll::Ready(read.and(checked))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.expect_head();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.expect_head();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for Watched {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
