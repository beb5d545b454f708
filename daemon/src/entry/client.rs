//! The HTTP client of an entry VM, used for calls of engines, of the platform's store and of other entry VMs.
//!
//! It has its own connection pool, on top of the HTTP library's codec, because it must distinguish the end of an answer
//! from the end of its connection: an answer without a length is complete only if the server closed the connection
//! without an error. Bytes that follow an answer belong to no request, whatever they look like and whenever they arrive:
//! an answer is the one whose head names the request, and a connection with other bytes is not used again.

mod connection;
mod expected;
mod head;
mod response;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri};
use boragecove_core::time::Time;
use boragecove_fleet::engine::Port;
use bytes::{Bytes, BytesMut};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::clock::Clock;
use connection::{Connection, stall_detected};
pub(crate) use expected::CALL_ID;
use expected::Expected;
pub use response::Response;
pub(crate) use response::append;
use response::read_head;

/// Maximum size in bytes of a body that is written together with its head. A larger one is not copied.
const COPIED_BYTES_MAX: usize = 16 << 10;
/// Maximum number of idle connections to one address.
const IDLE_MAX: usize = 32;

/// How long a new connection is kept if no request was sent on it.
const UNUSED_KEEP: Duration = Duration::from_secs(1);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers, without `content-length`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The time until which a request may be written. The decision to send it may be outdated by then, because the machine
/// was suspended or the connection took long to open.
#[derive(Clone, Copy, Debug)]
pub struct Expiry {
    /// The process's clock, which includes time in suspension.
    pub clock: Clock,
    /// The first moment at which the request may not be written any more.
    pub at: Time,
}

impl Expiry {
    /// Time left to write the request.
    pub(crate) fn left(self) -> Duration {
        self.at.since(self.clock.now())
    }

    fn is_over(self) -> bool {
        self.clock.now() >= self.at
    }
}

/// Whether a request may be sent on a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// It may not: a second answer to an earlier attempt, which bears the same id, could still arrive there.
    Forbidden,
}

impl Reuse {
    /// Whether an attempt of a request, counted from 1, may be sent on a connection that was used before. Without an id,
    /// its answer can't be distinguished from bytes that follow another one.
    pub(crate) const fn of_attempt(number: u32, has_id: bool) -> Self {
        if number > 1 || !has_id { Self::Forbidden } else { Self::Allowed }
    }
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum Error {
    /// The request expired before it could be written: no byte of it was sent.
    #[error("the request expired before it was sent")]
    Expired,
    /// No byte of the request was sent.
    #[error("nothing sent: {0}")]
    Unsent(io::Error),
    /// The connection broke after some or all of the request was sent.
    #[error("connection lost: {0}")]
    Lost(io::Error),
    /// What was received is not a valid answer.
    #[error("invalid answer: {0}")]
    InvalidResponse(String),
    /// No answer began in time.
    #[error("timed out waiting for the answer")]
    TimedOut,
    /// The answer began, but was not complete in time.
    #[error("timed out in the body of the answer after {bytes} bytes")]
    BodyTimedOut {
        /// Number of bytes of the body that were received.
        bytes: usize,
    },
}

impl Error {
    /// Whether no part of the answer arrived in time, as on a connection that delivers nothing any more.
    #[must_use]
    pub const fn is_timeout(&self) -> bool {
        matches!(self, Self::TimedOut | Self::BodyTimedOut { bytes: 0 })
    }
}

/// An HTTP client with a pool of connections by address.
#[derive(Debug)]
pub struct Client {
    connect: Duration,
    idle: RefCell<FxHashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
    suspects: Rc<Cell<u64>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// A complete answer.
#[derive(Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A complete answer, and how long its transfer took.
#[derive(Clone)]
pub struct Received {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Time from its head to its end.
    pub took: Duration,
}

impl fmt::Debug for Answer {
    /// Leaves the body out: the store's holds keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.body.len();
        f.debug_struct("Answer").field("status", &self.status).field("bytes", &bytes).finish_non_exhaustive()
    }
}

impl fmt::Debug for Received {
    /// Leaves the body out: the store's holds keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.body.len();
        f.debug_struct("Received")
            .field("status", &self.status)
            .field("bytes", &bytes)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// A client that waits up to `connect` for a connection to open.
    #[must_use]
    pub fn new(connect: Duration) -> Rc<Self> {
        Rc::new(Self { connect, idle: RefCell::default(), opened: Cell::new(0), suspects: Rc::default() })
    }

    /// Number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Number of answers so far that may belong to no request.
    pub(crate) fn suspects(&self) -> u64 {
        self.suspects.get()
    }

    /// Sends a request, unless it has expired, and waits until `until` for the head of its answer.
    ///
    /// # Errors
    ///
    /// If the request has expired, or has no answer in time.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        until: Instant,
        expiry: Expiry,
    ) -> Result<Response, Error> {
        self.send_on(Reuse::Allowed, address, request, until, expiry).await
    }

    /// Sends a request as [`Self::send`] does, on an idle connection only if `reuse` allows it.
    ///
    /// # Errors
    ///
    /// If the request has expired, or has no answer in time.
    pub async fn send_on(
        self: &Rc<Self>,
        reuse: Reuse,
        address: SocketAddr,
        request: Request,
        until: Instant,
        expiry: Expiry,
    ) -> Result<Response, Error> {
        if expiry.is_over() {
            return Err(Error::Expired);
        }
        let connection = match reuse {
            Reuse::Allowed => self.connection(address, until).await?,
            Reuse::Forbidden => self.open(address, until).await?,
        };
        let mut encoded = encode_request(connection, address, request)?;
        // The connection may have taken long to open. After this look nothing is done but to write, so that the machine is hardly
        // ever suspended in between.
        if expiry.is_over() {
            encoded.connection.discard_request();
            self.store_idle(address, encoded.connection, UNUSED_KEEP);
            return Err(Error::Expired);
        }
        self.exchange(encoded, address, until).await
    }

    /// Writes a request and waits until `until` for the head of its answer.
    async fn exchange(
        self: &Rc<Self>,
        encoded: Encoded,
        address: SocketAddr,
        until: Instant,
    ) -> Result<Response, Error> {
        let (mut connection, codec) = encoded.write()?;
        let waited = timeout_at(until, read_head(&mut connection, codec)).await;
        let (head, body, keep) = waited.map_err(|_elapsed| Error::TimedOut)??;
        let follows_stray_bytes = connection.skipped > 0;
        let client = Rc::clone(self);
        Ok(Response { client, address, head, connection: Some(connection), body, keep, follows_stray_bytes })
    }

    /// Sends a request and reads its complete answer, of at most `limit` bytes, until `until`.
    ///
    /// # Errors
    ///
    /// If no complete answer arrives in time, or it is longer.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        limit: usize,
        until: Instant,
    ) -> Result<Answer, Error> {
        let connection = self.connection(address, until).await?;
        let encoded = encode_request(connection, address, request)?;
        let response = self.exchange(encoded, address, until).await?;
        complete(response, limit, until).await
    }

    /// Sends a request as [`Self::call`] does, unless it has expired.
    ///
    /// # Errors
    ///
    /// If the request has expired, if no complete answer arrives in time, or if it is longer than `limit`.
    pub async fn call_before(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        limit: usize,
        until: Instant,
        expiry: Expiry,
    ) -> Result<Answer, Error> {
        let response = self.send(address, request, until, expiry).await?;
        complete(response, limit, until).await
    }

    /// Sends a request and reads its complete answer, of at most `limit` bytes. There is no time limit as long as bytes
    /// are transferred: any limit on the total time would be too short for a large enough answer, and each retry would
    /// transfer it again in vain.
    ///
    /// # Errors
    ///
    /// If no byte was received within `first`, if no byte was transferred for `stall` after that, or if the answer is
    /// longer.
    pub async fn transfer(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request,
        limit: usize,
        first: Duration,
        stall: Duration,
    ) -> Result<Received, Error> {
        let until = Instant::now() + first;
        let connection = self.connection(address, until).await?;
        let (mut connection, codec) = encode_request(connection, address, request)?.write()?;
        let last_transfer = Rc::clone(&connection.last_transfer);
        let client = Rc::clone(self);
        let mut body = BytesMut::new();
        let answer = async {
            let (head, framing, keep) = read_head(&mut connection, codec).await?;
            let begun = Instant::now();
            let follows_stray_bytes = connection.skipped > 0;
            let connection = Some(connection);
            let mut response =
                Response { client, address, head, connection, body: framing, keep, follows_stray_bytes };
            response.read_rest(&mut body, limit).await?;
            let ResponseHead { status, headers, .. } = response.head;
            Ok((status, headers, begun.elapsed()))
        };
        let ended = tokio::select! {
            ended = answer => Some(ended),
            () = stall_detected(&last_transfer, until, stall) => None,
        };
        let Some(ended) = ended else {
            // Other connections to the address may deliver nothing any more either.
            self.close_idle(address);
            return Err(Error::BodyTimedOut { bytes: body.len() });
        };
        ended.map(|(status, headers, took)| Received { status, headers, body: body.freeze(), took })
    }

    /// Closes the idle connections to an address, so that the next request opens a new one.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Probes a port: opens a connection and closes it again.
    pub(crate) async fn probe(&self, address: SocketAddr) -> Port {
        match timeout(self.connect, TcpStream::connect(address)).await {
            Ok(Ok(_)) => Port::Open,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Port::Closed,
            Ok(Err(_)) | Err(_) => Port::Silent,
        }
    }

    /// Returns an idle connection, or opens one.
    async fn connection(&self, address: SocketAddr, until: Instant) -> Result<Connection, Error> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address, until).await,
        }
    }

    async fn open(&self, address: SocketAddr, until: Instant) -> Result<Connection, Error> {
        let until = until.min(Instant::now() + self.connect);
        let connection =
            Connection::open(address, until, Rc::clone(&self.suspects)).await.map_err(Error::Unsent)?;
        self.opened.set(self.opened.get() + 1);
        Ok(connection)
    }

    /// Takes an idle connection from the pool that the server has neither closed nor written to.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(Idle { connection, until }) = kept.pop() {
            if until > now && connection.has_no_input() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn store_idle(&self, address: SocketAddr, connection: Connection, keep: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|idle| idle.until > now);
        if kept.len() < IDLE_MAX {
            kept.push(Idle { connection, until: now + keep });
        }
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
    }
}

/// Reads the rest of an answer, of at most `limit` bytes, until `until`.
async fn complete(mut response: Response, limit: usize, until: Instant) -> Result<Answer, Error> {
    let mut body = BytesMut::new();
    let read = timeout_at(until, response.read_rest(&mut body, limit)).await;
    read.map_err(|_elapsed| Error::BodyTimedOut { bytes: body.len() })??;
    let ResponseHead { status, headers, .. } = response.head;
    Ok(Answer { status, headers, body: body.freeze() })
}

/// A request that is ready to be written to its connection.
struct Encoded {
    connection: Connection,
    codec: ClientCodec,
}

impl Encoded {
    /// Writes as much of the request as is possible without waiting.
    fn write(self) -> Result<(Connection, ClientCodec), Error> {
        let Self { mut connection, codec } = self;
        match connection.flush_now() {
            Ok(()) => Ok((connection, codec)),
            Err(error) if connection.has_written => Err(Error::Lost(error)),
            Err(error) => Err(Error::Unsent(error)),
        }
    }
}

/// Encodes a request for its connection.
fn encode_request(
    mut connection: Connection,
    address: SocketAddr,
    request: Request,
) -> Result<Encoded, Error> {
    connection.begin(Expected::of(&request.headers), request.method == Method::HEAD);
    let (codec, body) = encode(&mut connection.output, address, request)?;
    connection.output_body = body;
    Ok(Encoded { connection, codec })
}

/// Encodes a request. Returns its body if it is too large to be copied behind the head.
fn encode(
    output: &mut BytesMut,
    address: SocketAddr,
    request: Request,
) -> Result<(ClientCodec, Bytes), Error> {
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.target;
    head.headers = request.headers;
    if !head.headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        head.headers.insert(header::HOST, host.map_err(|error| Error::InvalidResponse(error.to_string()))?);
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
    if request.body.len() <= COPIED_BYTES_MAX {
        output.extend_from_slice(&request.body);
        return Ok((codec, Bytes::new()));
    }
    Ok((codec, request.body))
}
