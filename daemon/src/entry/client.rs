//! The HTTP client of an entry VM: engines, the platform's store and the hub are all called with it.
//!
//! It keeps connections itself, with the library's codec, since an answer's end must be told from a
//! connection's: an answer without a length is whole only if the other side closed in good order, bytes
//! after an answer belong to nobody, and an answer to another request may come where the next is due.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri};
use bytes::{Buf, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Idle connections kept to one address.
const IDLE_MAX: usize = 32;
/// How long an idle connection is used again if the other side does not say how long it keeps it.
const KEEP_UNSAID: Duration = Duration::from_millis(800);
/// Less than the other side says, for what is under way when it closes.
const KEEP_MARGIN: Duration = Duration::from_millis(300);
/// Bytes read at once.
const READ_SIZE: usize = 8 << 10;
/// Informational answers before the real one.
const INFORMATIONAL_MAX: u32 = 4;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers, without the length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why no answer came.
#[derive(Debug, Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("nothing was sent: {0}")]
    Unsent(io::Error),
    /// The request was sent, in part or whole, and the connection broke.
    #[error("the connection broke: {0}")]
    Lost(io::Error),
    /// What came is no answer.
    #[error("not an answer: {0}")]
    Garbled(String),
    /// No answer came in time.
    #[error("no answer in time")]
    Late,
    /// An answer began and had not come whole in time.
    #[error("no whole answer in time: {bytes} bytes came")]
    Cut {
        /// Bytes of the body that came.
        bytes: usize,
    },
}

/// Keeps connections for the next request to the same address.
#[derive(Debug)]
pub struct Client {
    connect: Duration,
    idle: RefCell<FxHashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    written: bool,
    /// When bytes were last written or read.
    moved: Rc<Cell<Instant>>,
    /// Whether no request is under way on it.
    settled: bool,
}

/// A request that is given up must not arrive later, as it would from the system's buffers once a partition
/// heals: resetting its connection drops what is held up.
impl Drop for Connection {
    fn drop(&mut self) {
        if !self.settled {
            // Only a socket that is gone already refuses.
            let _gone = self.stream.set_zero_linger();
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Received {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// Time from its head to its end.
    pub took: Duration,
}

/// An answer whose head has come.
pub struct Response {
    client: Rc<Client>,
    address: SocketAddr,
    head: ResponseHead,
    /// None once the answer is over.
    connection: Option<Connection>,
    body: Body,
    keep: Option<Duration>,
}

enum Body {
    /// There is none, or it has come whole.
    Over,
    /// It has a length, or comes in chunks.
    Framed(ClientPayloadCodec),
    /// It ends with its connection.
    UntilClose,
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response").field("head", &self.head).finish_non_exhaustive()
    }
}

impl Client {
    /// Gives up opening a connection after `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Rc<Self> {
        Rc::new(Self { connect, idle: RefCell::default(), opened: Cell::new(0) })
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits for the head of its answer until `until`.
    ///
    /// # Errors
    ///
    /// If none came.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Response, Error> {
        let (mut connection, codec) = self.begin(address, request, until).await?;
        let waited = timeout_at(until, read_head(&mut connection, codec)).await;
        let (head, body, keep) = waited.map_err(|_elapsed| Error::Late)??;
        Ok(Response { client: Rc::clone(self), address, head, connection: Some(connection), body, keep })
    }

    /// Sends a request and reads its whole answer, of at most `limit` bytes, until `until`.
    ///
    /// # Errors
    ///
    /// If none came, or a longer one.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        limit: usize,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), Error> {
        let mut response = self.send(address, request, until).await?;
        let mut body = BytesMut::new();
        let whole = timeout_at(until, response.rest(&mut body, limit)).await;
        whole.map_err(|_elapsed| Error::Cut { bytes: body.len() })??;
        Ok((response.status(), body.freeze()))
    }

    /// Sends a request and reads its whole answer, of at most `limit` bytes, however long that takes while bytes move.
    /// A time limit on the whole would be too short for what is large enough, and each retry of it a waste.
    ///
    /// # Errors
    ///
    /// If no byte has come after `first`, or none has moved for `stall`.
    pub async fn transfer(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        limit: usize,
        first: Duration,
        stall: Duration,
    ) -> Result<Received, Error> {
        let until = Instant::now() + first;
        let (mut connection, codec) = self.begin(address, request, until).await?;
        let moved = Rc::clone(&connection.moved);
        let client = Rc::clone(self);
        let mut body = BytesMut::new();
        let whole = async {
            let (head, framing, keep) = read_head(&mut connection, codec).await?;
            let begun = Instant::now();
            let connection = Some(connection);
            let mut response = Response { client, address, head, connection, body: framing, keep };
            response.rest(&mut body, limit).await?;
            Ok((response.status(), begun.elapsed()))
        };
        let ended = tokio::select! {
            ended = whole => Some(ended),
            () = stalled(&moved, until, stall) => None,
        };
        match ended {
            Some(ended) => ended.map(|(status, took)| Received { status, body: body.freeze(), took }),
            None => Err(Error::Cut { bytes: body.len() }),
        }
    }

    /// Opens a connection and closes it again, to see whether anything listens.
    pub(crate) async fn reaches(&self, address: SocketAddr) -> bool {
        matches!(timeout(self.connect, TcpStream::connect(address)).await, Ok(Ok(_)))
    }

    async fn begin(
        &self,
        address: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<(Connection, ClientCodec), Error> {
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => self.open(address, until).await?,
        };
        connection.written = false;
        connection.settled = false;
        let codec = encode(&mut connection.output, address, request)?;
        match connection.flush_now() {
            Ok(()) => Ok((connection, codec)),
            Err(error) if connection.written => Err(Error::Lost(error)),
            Err(error) => Err(Error::Unsent(error)),
        }
    }

    async fn open(&self, address: SocketAddr, until: Instant) -> Result<Connection, Error> {
        let until = until.min(Instant::now() + self.connect);
        let opening = timeout_at(until, TcpStream::connect(address)).await;
        let late = || io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
        let stream = opening.map_err(|_elapsed| Error::Unsent(late()))?.map_err(Error::Unsent)?;
        self.opened.set(self.opened.get() + 1);
        stream.set_nodelay(true).map_err(Error::Unsent)?;
        Ok(Connection {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            written: false,
            moved: Rc::new(Cell::new(Instant::now())),
            settled: true,
        })
    }

    /// An idle connection that the other side has not closed or written to.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(Idle { connection, until }) = kept.pop() {
            if until > now && connection.silent() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection, keep: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|idle| idle.until > now);
        if kept.len() < IDLE_MAX {
            kept.push(Idle { connection, until: now + keep });
        }
    }

    /// Closes idle connections that will not be used again.
    pub(crate) fn tidy(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
    }
}

/// Ends once no byte has moved for `stall`, but not before `until`.
async fn stalled(moved: &Cell<Instant>, until: Instant, stall: Duration) {
    loop {
        let end = until.max(moved.get() + stall);
        if end <= Instant::now() {
            return;
        }
        sleep_until(end).await;
    }
}

fn encode(output: &mut BytesMut, address: SocketAddr, request: Request) -> Result<ClientCodec, Error> {
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.target;
    head.headers = request.headers;
    if !head.headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        head.headers.insert(header::HOST, host.map_err(|error| Error::Garbled(error.to_string()))?);
    }
    let bodiless = matches!(head.method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS);
    let size = if request.body.is_empty() && bodiless {
        BodySize::None
    } else {
        BodySize::Sized(request.body.len() as u64)
    };
    let mut codec = ClientCodec::default();
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), output).map_err(Error::Unsent)?;
    output.extend_from_slice(&request.body);
    Ok(codec)
}

async fn read_head(
    connection: &mut Connection,
    mut codec: ClientCodec,
) -> Result<(ResponseHead, Body, Option<Duration>), Error> {
    let mut informational = 0;
    loop {
        match codec.decode(&mut connection.input) {
            Ok(Some(head)) if head.status.is_informational() && informational < INFORMATIONAL_MAX => {
                informational += 1;
            }
            Ok(Some(head)) => {
                let keep = codec.keep_alive().then(|| kept_for(&head.headers));
                let (body, keep) = body(&head, codec, keep);
                return Ok((head, body, keep));
            }
            Ok(None) => match connection.fill().await {
                Ok(0) => return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => {}
                Err(error) => return Err(Error::Lost(error)),
            },
            Err(error) => return Err(Error::Garbled(error.to_string())),
        }
    }
}

/// How an answer's body ends, and how long its connection can be kept.
fn body(head: &ResponseHead, codec: ClientCodec, keep: Option<Duration>) -> (Body, Option<Duration>) {
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !framed && !bodiless {
        return (Body::UntilClose, None);
    }
    match codec.message_type() {
        actix_http::h1::MessageType::None => (Body::Over, keep),
        actix_http::h1::MessageType::Payload | actix_http::h1::MessageType::Stream => {
            (Body::Framed(codec.into_payload_codec()), keep)
        }
    }
}

/// How long the other side keeps an idle connection, less a margin.
fn kept_for(headers: &HeaderMap) -> Duration {
    let said = headers.get(&KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds = said.and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")));
    match seconds.and_then(|text| text.trim().parse().ok()) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => KEEP_UNSAID,
    }
}

impl Connection {
    /// Whether nothing has come since the last answer.
    fn silent(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.input.is_empty() && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes what can be written at once.
    fn flush_now(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(count) => {
                    self.written = true;
                    self.moved.set(Instant::now());
                    self.output.advance(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads more, and writes what is left to be written meanwhile. Returns the bytes read; 0 at the end.
    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            let both = Interest::READABLE | Interest::WRITABLE;
            let interest = if self.output.is_empty() { Interest::READABLE } else { both };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() {
                // An answer may have come although the rest of the request cannot be written any more.
                if self.flush_now().is_err() {
                    self.output.clear();
                }
            }
            if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
                self.input.reserve(READ_SIZE);
                match self.stream.try_read_buf(&mut self.input) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    read => {
                        self.moved.set(Instant::now());
                        return read;
                    }
                }
            }
        }
    }
}

impl Response {
    /// The status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        self.head.status
    }

    /// The headers.
    #[must_use]
    pub const fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The next bytes of the body; none at its end.
    ///
    /// # Errors
    ///
    /// If the body broke off.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let bytes = self.read().await?;
        if bytes.is_none() {
            self.release();
        }
        Ok(bytes)
    }

    /// The next bytes of the body; the connection is not let go at its end.
    async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        match &mut self.body {
            Body::Over => {}
            Body::Framed(codec) => loop {
                match codec.decode(&mut connection.input) {
                    Ok(Some(Some(bytes))) => return Ok(Some(bytes)),
                    Ok(Some(None)) => break,
                    Ok(None) => match connection.fill().await {
                        Ok(0) => return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into())),
                        Ok(_) => {}
                        Err(error) => return Err(Error::Lost(error)),
                    },
                    Err(error) => return Err(Error::Garbled(error.to_string())),
                }
            },
            Body::UntilClose => {
                if !connection.input.is_empty() {
                    return Ok(Some(connection.input.split().freeze()));
                }
                return match connection.fill().await {
                    Ok(0) => {
                        connection.settled = true;
                        self.connection = None;
                        Ok(None)
                    }
                    Ok(_) => Ok(Some(connection.input.split().freeze())),
                    Err(error) => Err(Error::Lost(error)),
                };
            }
        }
        self.body = Body::Over;
        Ok(None)
    }

    /// The rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// If it broke off, or is longer.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        self.rest(&mut all, limit).await?;
        Ok(all.freeze())
    }

    /// Appends the rest of the body to `all`, up to `limit` bytes.
    async fn rest(&mut self, all: &mut BytesMut, limit: usize) -> Result<(), Error> {
        while let Some(bytes) = self.chunk().await? {
            if all.len() + bytes.len() > limit {
                return Err(Error::Garbled(format!("more than {limit} bytes")));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(())
    }

    /// Leaves this answer out and waits for the next one on its connection.
    ///
    /// # Errors
    ///
    /// If none comes.
    pub async fn skip(mut self) -> Result<Self, Error> {
        while self.read().await?.is_some() {}
        let Some(mut connection) = self.connection.take().filter(|_| self.keep.is_some()) else {
            return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into()));
        };
        let (head, body, keep) = read_head(&mut connection, ClientCodec::default()).await?;
        Ok(Self { head, connection: Some(connection), body, keep, ..self })
    }

    /// Keeps the connection for the next request, if nothing speaks against it.
    fn release(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.settled = connection.output.is_empty();
        if let Some(keep) = self.keep
            && connection.settled
            && connection.input.is_empty()
        {
            self.client.keep(self.address, connection, keep);
        }
    }
}
