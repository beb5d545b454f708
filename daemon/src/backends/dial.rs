//! Connections to back ends that tell when the other side closed them: the library reports an answer in
//! chunks that was cut off as if it had come to its end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use actix_web::http::Uri;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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
            Ok(connection.replace_io(Watched { stream, closed }).1)
        }
        .boxed_local()
    }
}

/// A connection that is counted once it is closed.
#[derive(Debug)]
pub(crate) struct Watched {
    stream: TcpStream,
    closed: Closed,
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
        Poll::Ready(read)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
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
