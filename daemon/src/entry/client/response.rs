//! An answer: its head, and a body whose end is distinguished from the end of its connection.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Decoder;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{ResponseHead, StatusCode};
use bytes::{Buf, Bytes, BytesMut};

use super::connection::Connection;
use super::{CALL_ID, Client, Error};
use crate::head;

/// How long an idle connection is reused if the server sends no `keep-alive` header.
const KEEP_DEFAULT: Duration = Duration::from_millis(800);
/// By how much a connection is reused shorter than the server keeps it, so that no request is in flight when the
/// server closes it.
const KEEP_MARGIN: Duration = Duration::from_millis(300);
/// Maximum number of informational (1xx) answers before the final one.
const INFORMATIONAL_MAX: u32 = 4;
/// Maximum number of heads in front of the answer that belong to no request. Each takes much longer to read than other bytes.
const OTHER_HEADS_MAX: u32 = 32;
/// Maximum number of bytes of a body's framing (extensions of chunks, trailers) between two of its own.
const FRAMING_BYTES_MAX: usize = 64 << 10;
/// Number of bytes of a body from which no more chunks are put together.
const GATHERED_BYTES: usize = 16 << 10;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// An answer whose head was received.
pub struct Response {
    pub(super) client: Rc<Client>,
    pub(super) address: SocketAddr,
    pub(super) head: ResponseHead,
    /// None once the answer is complete.
    pub(super) connection: Option<Connection>,
    pub(super) body: Body,
    pub(super) keep: Option<Duration>,
    pub(super) follows_stray_bytes: bool,
}

pub(super) enum Body {
    /// There is none, or it was received completely.
    Complete,
    /// It has a length or is chunked.
    Framed(Framed),
    /// It ends with its connection.
    UntilClose,
}

/// A body with a length or in chunks.
pub(super) struct Framed {
    codec: ClientPayloadCodec,
    /// Number of bytes that were read since the last one of the body.
    framing_bytes: usize,
    /// How the body ends behind what was decoded; none if that is not known yet.
    end: Option<Result<(), Error>>,
}

/// What was decoded of a body.
enum Decoded {
    Bytes(Bytes),
    End,
    /// Nothing, before more is received.
    Incomplete,
}

impl Framed {
    const fn new(codec: ClientPayloadCodec) -> Self {
        Self { codec, framing_bytes: 0, end: None }
    }

    /// Decodes what was received. Small chunks are put together, as each piece takes time wherever it is handled.
    fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded, Error> {
        let (mut first, mut all) = (Bytes::new(), BytesMut::new());
        while self.end.is_none() && all.len() < GATHERED_BYTES {
            match self.decode_one(input) {
                Ok(Decoded::Bytes(bytes)) if first.is_empty() => first = bytes,
                Ok(Decoded::Bytes(bytes)) => {
                    if all.is_empty() {
                        all.extend_from_slice(&first);
                    }
                    all.extend_from_slice(&bytes);
                }
                Ok(Decoded::End) => self.end = Some(Ok(())),
                Ok(Decoded::Incomplete) => break,
                Err(error) => self.end = Some(Err(error)),
            }
        }
        if !first.is_empty() {
            return Ok(Decoded::Bytes(if all.is_empty() { first } else { all.freeze() }));
        }
        match self.end.take() {
            Some(end) => end.map(|()| Decoded::End),
            None => Ok(Decoded::Incomplete),
        }
    }

    /// Decodes the next chunk, or a part of it.
    fn decode_one(&mut self, input: &mut BytesMut) -> Result<Decoded, Error> {
        let before = input.len();
        match self.codec.decode(input).map_err(|error| Error::InvalidResponse(error.to_string()))? {
            Some(Some(bytes)) => {
                self.framing_bytes = 0;
                return Ok(Decoded::Bytes(bytes));
            }
            Some(None) => return Ok(Decoded::End),
            None => self.framing_bytes += before - input.len(),
        }
        if self.framing_bytes > FRAMING_BYTES_MAX {
            return Err(Error::InvalidResponse(format!("more than {FRAMING_BYTES_MAX} bytes of framing")));
        }
        Ok(Decoded::Incomplete)
    }
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response").field("head", &self.head).finish_non_exhaustive()
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

    /// Whether the answer names the call of another entry VM that it belongs to.
    pub(crate) fn names_call(&self) -> bool {
        self.head.headers.contains_key(CALL_ID)
    }

    /// Whether bytes that belong to no request were in front of the answer.
    #[must_use]
    pub const fn follows_stray_bytes(&self) -> bool {
        self.follows_stray_bytes
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

    /// The next bytes of the body; none at its end. Doesn't return the connection to the pool.
    async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        match &mut self.body {
            Body::Complete => {}
            Body::Framed(framed) => loop {
                match framed.decode(&mut connection.input)? {
                    Decoded::Bytes(bytes) => return Ok(Some(bytes)),
                    Decoded::End => break,
                    Decoded::Incomplete => match connection.fill().await {
                        Ok(0) => return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into())),
                        Ok(_) => {}
                        Err(error) => return Err(Error::Lost(error)),
                    },
                }
            },
            Body::UntilClose => {
                if !connection.input.is_empty() {
                    return Ok(Some(connection.input.split().freeze()));
                }
                return match connection.fill().await {
                    Ok(0) => {
                        connection.is_idle = true;
                        self.connection = None;
                        Ok(None)
                    }
                    Ok(_) => Ok(Some(connection.input.split().freeze())),
                    Err(error) => Err(Error::Lost(error)),
                };
            }
        }
        self.body = Body::Complete;
        Ok(None)
    }

    /// The rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// If the body broke off, or is longer.
    pub async fn read_all(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        self.read_rest(&mut body, limit).await?;
        Ok(body.freeze())
    }

    /// Appends the rest of the body to `body`, up to `limit` bytes.
    pub(super) async fn read_rest(&mut self, body: &mut BytesMut, limit: usize) -> Result<(), Error> {
        while let Some(bytes) = self.chunk().await? {
            append(body, &bytes, limit)?;
        }
        Ok(())
    }

    /// Returns the connection to the pool if it can be reused.
    fn release(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.is_idle = !connection.has_output() && !connection.has_failed();
        if let Some(keep) = self.keep
            && connection.is_idle
            && connection.input.is_empty()
        {
            self.client.store_idle(self.address, connection, keep);
        }
    }
}

/// Appends bytes to a body of at most `limit` bytes.
///
/// # Errors
///
/// If the body gets longer.
pub(crate) fn append(body: &mut BytesMut, bytes: &[u8], limit: usize) -> Result<(), Error> {
    if body.len() + bytes.len() > limit {
        return Err(Error::InvalidResponse(format!("more than {limit} bytes")));
    }
    body.extend_from_slice(bytes);
    Ok(())
}

/// Reads the head of the answer to the request in flight. Returns it, the framing of its body, and how long its
/// connection can be reused. Skips what is in front of it: informational answers, and what belongs to no request.
pub(super) async fn read_head(
    connection: &mut Connection,
    mut codec: ClientCodec,
) -> Result<(ResponseHead, Body, Option<Duration>), Error> {
    let (mut informational, mut others) = (0, 0);
    loop {
        if others > OTHER_HEADS_MAX {
            return Err(Error::InvalidResponse(format!(
                "more than {OTHER_HEADS_MAX} heads in front of the answer"
            )));
        }
        others += 1;
        let end = connection.fill_head().await?;
        if !head::is_valid(&connection.input[..end]) {
            connection.skip(end)?;
            codec = ClientCodec::default();
            continue;
        }
        let names_request = connection.expected.is_named_within(&connection.input[..end]);
        let behind = connection.input.len() - end;
        let Ok(Some(head)) = codec.decode(&mut connection.input) else {
            let left = connection.input.len() - behind;
            connection.input.advance(left);
            connection.skip_invalid_head(end, names_request)?;
            codec = ClientCodec::default();
            continue;
        };
        let has_body = codec.message_type() != MessageType::None;
        if head.status.is_informational() && !has_body && informational < INFORMATIONAL_MAX {
            informational += 1;
            continue;
        }
        connection.record_answer(&head);
        let follows_others = connection.skipped > 0 && !connection.expected.is_certain_in(&head.headers);
        if head.status.is_informational() || follows_others || !connection.expected.is_named_in(&head.headers)
        {
            // Its body is skipped up to the next status line, as its length need not be right.
            connection.skip_head(end)?;
            codec = ClientCodec::default();
            continue;
        }
        if has_two_framings(&head.headers) {
            return Err(Error::InvalidResponse("an answer with a length and in chunks".to_owned()));
        }
        let keep = codec.keep_alive().then(|| keep_alive_time(&head.headers));
        let (body, keep) = body_framing(&head, codec, keep, connection.is_head_request);
        return Ok((head, body, keep.filter(|_| connection.skipped == 0)));
    }
}

fn has_two_framings(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING)
}

/// The framing of an answer's body, and how long its connection can be reused.
fn body_framing(
    head: &ResponseHead,
    codec: ClientCodec,
    keep: Option<Duration>,
    is_head_request: bool,
) -> (Body, Option<Duration>) {
    if is_head_request {
        return (Body::Complete, keep);
    }
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !framed && !bodiless {
        return (Body::UntilClose, None);
    }
    match codec.message_type() {
        MessageType::None => (Body::Complete, keep),
        MessageType::Payload | MessageType::Stream => {
            (Body::Framed(Framed::new(codec.into_payload_codec())), keep)
        }
    }
}

/// How long the server keeps an idle connection, less a margin.
fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let header = headers.get(&KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds =
        header.and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")));
    match seconds.and_then(|text| text.trim().parse().ok()) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => KEEP_DEFAULT,
    }
}
