//! Requests that one entry VM relays to an engine for another entry VM that does not reach the engine.
//!
//! The request is a `MessagePack` message. The response consists of parts, each a `MessagePack` message prefixed with its
//! length, so that the requesting entry VM can distinguish a complete answer of the engine, a failure between relay and
//! engine, and a broken connection to the relay.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::name::Name;
use boragecove_fleet::engine::Incarnation;
use boragecove_fleet::path::Denial;
use boragecove_fleet::request::Attempt;
use boragecove_platform::http::{self, AnswerKind};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::client::{Client, Error, Expiry, Request, Response, Reuse};
use super::node::{Node, RelayForPeer};
use super::peers;
use super::request_task::MEMORY_CHECK_INTERVAL;
use crate::body;
use crate::clock::Clock;
use crate::memory::{Account, REQUEST_BYTES, Share};

/// Path of requests to be relayed.
pub(super) const PATH: &str = "/forward";
/// Maximum size of a request in bytes: the largest body that operators can allow, and its head.
pub(super) const REQUEST_BYTES_MAX: usize = 17 << 20;
/// Maximum size of one part in bytes.
const PART_BYTES_MAX: usize = 1 << 20;
/// Number of parts buffered for the requesting entry VM. Once the buffer is full, the engine's answer is read no further.
const PARTS_BUFFERED: usize = 32;
/// Size of a part's length prefix in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum time until a request to be relayed is received. The requesting entry VM ends it at its deadline.
const REQUEST_TIME_MAX: Duration = Duration::from_mins(1);
/// What a request to be relayed has besides its body and its headers' names and values, in bytes.
const MESSAGE_BYTES: usize = 1 << 10;
/// What each header has besides its name and value, in bytes.
const HEADER_BYTES: usize = 10;

/// A request to be relayed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RelayedRequest {
    /// The engine's id.
    pub(crate) engine: Name,
    /// The engine's incarnation that the request is meant for.
    pub(crate) incarnation: Incarnation,
    /// Time within which the request may be written.
    write_within: Duration,
    /// Time within which the answer must begin.
    answer_within: Duration,
    method: String,
    target: String,
    headers: Headers,
    body: Bytes,
    /// The engine's software version according to the requesting entry VM.
    #[serde(default)]
    pub(crate) build: Option<Name>,
    /// Whether it may be sent to the engine on a connection that was used before.
    #[serde(default = "reuse_forbidden")]
    reuse: Reuse,
}

/// An entry VM that does not say which attempt it is may have made another one before.
const fn reuse_forbidden() -> Reuse {
    Reuse::Forbidden
}

/// Headers in order, as names and values.
type Headers = Vec<(String, Bytes)>;

/// A part of the response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Part {
    /// The engine's status and headers.
    Head { status: u16, headers: Headers },
    /// Bytes of the engine's body.
    Data(Bytes),
    /// The engine's body is complete.
    End,
    /// The request was not relayed: nothing was sent to the engine.
    Denied(Denial),
    /// The engine did not answer, or its answer broke off.
    Failed(Failure),
}

/// Why an engine did not answer, or its answer broke off.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// The request expired before it could be written.
    Expired,
    /// No byte of the request was sent.
    Unsent(String),
    /// The connection broke after the request was sent.
    Lost(String),
    /// What was received is not a valid answer.
    #[serde(rename = "Garbled")]
    InvalidResponse(String),
    /// The answer timed out.
    #[serde(rename = "Late")]
    TimedOut,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Expired => Self::Expired,
            Error::Unsent(error) => Self::Unsent(error.to_string()),
            Error::Lost(error) => Self::Lost(error.to_string()),
            Error::InvalidResponse(reason) => Self::InvalidResponse(reason),
            Error::TimedOut | Error::BodyTimedOut { .. } => Self::TimedOut,
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Expired => Self::Expired,
            Failure::Unsent(reason) => Self::Unsent(io::Error::other(reason)),
            Failure::Lost(reason) => Self::Lost(io::Error::other(reason)),
            Failure::InvalidResponse(reason) => Self::InvalidResponse(reason),
            Failure::TimedOut => Self::TimedOut,
        }
    }
}

/// A relayed answer of an engine whose head was received.
#[derive(Debug)]
pub(crate) struct RelayedResponse {
    parts: Parts,
    status: StatusCode,
    headers: HeaderMap,
}

/// Decodes the parts of a response as they arrive.
#[derive(Debug)]
struct Parts {
    response: Response,
    buffer: BytesMut,
    ended: bool,
}

impl RelayedResponse {
    /// The engine's status.
    pub(crate) const fn status(&self) -> StatusCode {
        self.status
    }

    /// The engine's headers.
    pub(crate) const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The next bytes of the engine's body; none at its end.
    ///
    /// # Errors
    ///
    /// If the answer broke off.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        if self.parts.ended {
            return Ok(None);
        }
        match self.parts.next().await? {
            Part::Data(bytes) => Ok(Some(bytes)),
            Part::End => {
                self.parts.finish().await?;
                Ok(None)
            }
            Part::Failed(failure) => Err(failure.into()),
            Part::Head { .. } | Part::Denied(_) => {
                Err(Error::InvalidResponse("unexpected head in the body".to_owned()))
            }
        }
    }
}

impl Parts {
    async fn next(&mut self) -> Result<Part, Error> {
        loop {
            if let Some(part) = decode_part(&mut self.buffer)? {
                return Ok(part);
            }
            match self.response.chunk().await? {
                Some(bytes) => self.buffer.extend_from_slice(&bytes),
                None => return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into())),
            }
        }
    }

    /// Reads the response to its end, so that the connection can be reused.
    async fn finish(&mut self) -> Result<(), Error> {
        self.ended = true;
        while self.response.chunk().await?.is_some() {}
        Ok(())
    }
}

fn encode_part(part: &Part) -> Bytes {
    let message = rmp_serde::to_vec(part).unwrap_or_default();
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + message.len());
    bytes.put_u32(message.len() as u32);
    bytes.extend_from_slice(&message);
    bytes.freeze()
}

/// Removes the first part from the buffer; none if it is not complete yet.
fn decode_part(buffer: &mut BytesMut) -> Result<Option<Part>, Error> {
    let Some(mut length) = buffer.get(..LENGTH_BYTES) else {
        return Ok(None);
    };
    let length = length.get_u32() as usize;
    if length > PART_BYTES_MAX {
        return Err(Error::InvalidResponse(format!("a part has {length} bytes")));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let message = buffer.split_to(length);
    rmp_serde::from_slice(&message).map(Some).map_err(|error| Error::InvalidResponse(error.to_string()))
}

fn encode_headers(headers: &HeaderMap) -> Headers {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(pair).collect()
}

fn decode_headers(headers: Headers) -> Result<HeaderMap, Error> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::try_from(name).map_err(|error| Error::InvalidResponse(error.to_string()))?;
        let value = HeaderValue::from_maybe_shared(value)
            .map_err(|error| Error::InvalidResponse(error.to_string()))?;
        map.append(name, value);
    }
    Ok(map)
}

/// Sends a request through the entry VM at `relay`, and waits until `until` for the head of the engine's answer. `copy` holds
/// the message's memory until then.
///
/// # Errors
///
/// If there is none in time. After [`Error::Unsent`] and [`Error::Expired`], it is certain that nothing was sent to the
/// engine.
pub(crate) async fn send(
    client: &Rc<Client>,
    relay: SocketAddr,
    attempt: &Attempt,
    request: Request,
    mut copy: Share,
    until: Instant,
    expiry: Expiry,
) -> Result<RelayedResponse, Error> {
    let size = message_size(&request);
    while copy.grow(size).is_err() {
        if expiry.left().is_zero() {
            return Err(Error::Expired);
        }
        tokio::time::sleep(MEMORY_CHECK_INTERVAL).await;
    }
    let relayed = RelayedRequest {
        engine: attempt.engine.clone(),
        incarnation: attempt.incarnation,
        write_within: expiry.left(),
        answer_within: until.saturating_duration_since(Instant::now()),
        method: request.method.to_string(),
        target: request.target.to_string(),
        headers: encode_headers(&request.headers),
        body: request.body,
        build: attempt.build.clone(),
        reuse: Reuse::of_attempt(attempt.number, http::attempt_id(&request.headers).is_some()),
    };
    let message = peers::post_sized(PATH, &relayed, size);
    drop(relayed);
    let response = client.send(relay, message, until, expiry).await?;
    let names_call = response.names_call();
    if !response.status().is_success() {
        // A relay that answers without parts has not read the request.
        let refused = io::Error::other(format!("the relay answered with status {}", response.status()));
        return Err(unsent_if(names_call, refused));
    }
    let mut parts = Parts { response, buffer: BytesMut::new(), ended: false };
    let first = tokio::time::timeout_at(until, parts.next()).await;
    match first.map_err(|_elapsed| Error::TimedOut)?? {
        Part::Head { status, headers } => {
            let status =
                StatusCode::from_u16(status).map_err(|error| Error::InvalidResponse(error.to_string()))?;
            Ok(RelayedResponse { headers: decode_headers(headers)?, status, parts })
        }
        Part::Denied(denial) => {
            parts.finish().await?;
            let refused = io::Error::other(format!("the relay refused: {}", denial.label()));
            Err(unsent_if(names_call, refused))
        }
        Part::Failed(failure) => {
            parts.finish().await?;
            match Error::from(failure) {
                Error::Expired if names_call => Err(Error::Expired),
                Error::Expired => Err(Error::Lost(io::ErrorKind::TimedOut.into())),
                Error::Unsent(error) => Err(unsent_if(names_call, error)),
                error => Err(error),
            }
        }
        Part::Data(_) | Part::End => Err(Error::InvalidResponse("body without a head".to_owned())),
    }
}

/// The error of a relay that says that it sent nothing to the engine, which is believed only if its answer names the call.
fn unsent_if(names_call: bool, error: io::Error) -> Error {
    if names_call { Error::Unsent(error) } else { Error::Lost(error) }
}

/// The size of a request's message in bytes, or somewhat more.
fn message_size(request: &Request) -> usize {
    let header =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + HEADER_BYTES;
    request.body.len() + request.headers.iter().map(header).sum::<usize>() + MESSAGE_BYTES
}

/// Serves other entry VMs: relays their requests. Without memory for one, nothing of it is relayed.
pub(super) async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    node: Data<Addr<Node>>,
    account: Data<Account>,
) -> HttpResponse {
    let mut share = account.incomplete_share();
    let announced = body::announced(request.headers());
    let limits = body::Limits { bytes: REQUEST_BYTES_MAX, time: REQUEST_TIME_MAX };
    let read = match share.grow(REQUEST_BYTES) {
        Ok(()) => body::read(&mut payload, announced, limits, &mut share, None).await,
        Err(full) => Err(full.into()),
    };
    let body = match read {
        Ok(body) => body,
        Err(error) => {
            tracing::debug!(%error, "cannot relay a request");
            return HttpResponse::ServiceUnavailable().force_close().finish();
        }
    };
    // The decoded request has a copy of the body.
    if share.grow(body.len()).is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Some(relayed) = peers::decode::<RelayedRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    share.shrink(body.len());
    drop(body);
    let (sender, mut parts) = mpsc::channel(PARTS_BUFFERED);
    node.do_send(RelayForPeer { relayed, share, parts: sender });
    let parts = futures_util::stream::poll_fn(move |cx| parts.poll_recv(cx));
    let encoded = futures_util::StreamExt::map(parts, |part| Ok::<_, io::Error>(encode_part(&part)));
    HttpResponse::Ok().streaming(encoded)
}

/// The task that relays one request of another entry VM.
#[derive(Debug)]
pub(super) struct RelayTask {
    pub(super) client: Rc<Client>,
    pub(super) clock: Clock,
    /// The engine's address.
    pub(super) address: SocketAddr,
    pub(super) relayed: RelayedRequest,
    /// The memory that the request holds.
    pub(super) share: Share,
    pub(super) parts: mpsc::Sender<Part>,
}

impl RelayTask {
    /// Relays the request until its answer has ended or the requesting entry VM has disconnected.
    pub(super) async fn run(self) {
        let parts = self.parts.clone();
        tokio::select! {
            () = parts.closed() => {}
            ended = self.exchange() => {
                let last = ended.map_or_else(|error| Part::Failed(error.into()), |()| Part::End);
                let _disconnected = parts.send(last).await;
            }
        }
    }

    async fn exchange(self) -> Result<(), Error> {
        let Self { client, clock, address, relayed, share: _held, parts } = self;
        let RelayedRequest {
            engine, write_within, answer_within, method, target, headers, body, reuse, ..
        } = relayed;
        let invalid = |reason: String| Error::Unsent(io::Error::other(reason));
        let request = Request {
            method: Method::from_bytes(method.as_bytes()).map_err(|error| invalid(error.to_string()))?,
            target: target.parse::<Uri>().map_err(|error| invalid(error.to_string()))?,
            headers: decode_headers(headers).map_err(|error| invalid(error.to_string()))?,
            body,
        };
        let attempt_id = http::attempt_id(&request.headers);
        let until = Instant::now() + answer_within;
        let expiry = Expiry { clock, at: clock.now() + write_within };
        let mut response = client.send_on(reuse, address, request, until, expiry).await?;
        let kind =
            http::classify_answer(response.status(), response.headers(), &engine, attempt_id.as_deref());
        if matches!(kind, AnswerKind::Refused(_)) && response.follows_stray_bytes() {
            return Err(Error::InvalidResponse("a refusal behind other bytes".to_owned()));
        }
        let head =
            Part::Head { status: response.status().as_u16(), headers: encode_headers(response.headers()) };
        let _disconnected = parts.send(head).await;
        while let Some(bytes) = response.chunk().await? {
            for piece in bytes.chunks(PART_BYTES_MAX / 2) {
                let _disconnected = parts.send(Part::Data(bytes.slice_ref(piece))).await;
            }
        }
        Ok(())
    }
}
