//! Reads a caller's request: its headers, its body, and what routing needs of both.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use actix_web::web::Payload;
use boragecove_core::artifact::Target;
use boragecove_core::code::Code;
use boragecove_core::id;
use boragecove_core::name::Name;
use boragecove_core::request::{Arrival, Subject, prefix_hashes};
use boragecove_core::rules::Priority;
use boragecove_wire::completion::Body;
use boragecove_wire::header;
use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::Edge;
use crate::body::{self, Problem};
use crate::memory::{REQUEST_BYTES, Share};

/// An idempotency key is this long at most.
const KEY_MAX: usize = 256;
/// Tokens assumed of a completion that does not say.
const TOKENS_DEFAULT: u32 = 256;

/// Why a request was refused before it was one.
#[derive(Debug)]
pub(crate) struct Refused {
    /// The code.
    pub code: Code,
    /// What is wrong with it.
    pub detail: String,
}

impl Refused {
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}

/// A body that was read.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// The body.
    pub bytes: Bytes,
    /// The memory that the request holds.
    pub share: Arc<Share>,
}

/// Reads a request's body within the limits.
pub(crate) async fn body(request: &HttpRequest, payload: &mut Payload, edge: &Edge) -> Result<Held, Refused> {
    headers_fit(request, edge)?;
    let mut share = edge.account.incomplete_share();
    let limits = body::Limits { bytes: edge.limits.body, time: edge.timeouts.read };
    let announced = body::announced(request.headers());
    let read = match share.grow(REQUEST_BYTES) {
        Ok(()) => body::read(payload, announced, limits, &mut share, None).await,
        Err(full) => Err(full.into()),
    };
    let bytes = read.map_err(|problem| refused(&problem, limits))?;
    Ok(Held { bytes, share: Arc::new(share) })
}

fn refused(problem: &Problem, limits: body::Limits) -> Refused {
    match problem {
        Problem::TooLarge => Refused::new(Code::BodyTooLarge, format!("the limit is {} bytes", limits.bytes)),
        Problem::TimedOut => {
            let limit_ms = limits.time.as_millis();
            Refused::new(Code::ReadTimeout, format!("the body was not there whole after {limit_ms} ms"))
        }
        Problem::Full(full) => Refused::new(Code::EntryFull, full.to_string()),
        Problem::Broken(_) => Refused::new(Code::Malformed, problem.to_string()),
    }
}

fn headers_fit(request: &HttpRequest, edge: &Edge) -> Result<(), Refused> {
    let headers = request.headers().iter();
    let bytes: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes > edge.limits.headers {
        let detail = format!("{bytes} bytes; the limit is {}", edge.limits.headers);
        return Err(Refused::new(Code::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Reads what routing needs of a completion.
pub(crate) fn completion(
    request: &HttpRequest,
    id: id::Request,
    body: &Bytes,
    hops: u8,
    edge: &Edge,
) -> Result<Arrival, Refused> {
    let read =
        Body::read(body).map_err(|error| Refused::new(Code::Malformed, format!("the body: {error}")))?;
    if read.continuation.is_some() {
        return Err(Refused::new(Code::Malformed, "the body: \"continuation\" is not for callers"));
    }
    let target: Target =
        read.model.parse().map_err(|error| Refused::new(Code::Malformed, format!("\"model\": {error}")))?;
    let mut arrival = bare(request, id, Subject::Model(target), body, hops, edge)?;
    arrival.stream = read.stream;
    arrival.prefix = prefix_hashes(read.prompt().as_bytes());
    arrival.max_tokens = read.max_tokens.unwrap_or(TOKENS_DEFAULT);
    Ok(arrival)
}

/// Reads what routing needs of a service's call.
pub(crate) fn service(
    request: &HttpRequest,
    id: id::Request,
    name: &str,
    body: &Bytes,
    hops: u8,
    edge: &Edge,
) -> Result<Arrival, Refused> {
    bare(request, id, Subject::Service(name.into()), body, hops, edge)
}

fn bare(
    request: &HttpRequest,
    id: id::Request,
    subject: Subject,
    body: &Bytes,
    hops: u8,
    edge: &Edge,
) -> Result<Arrival, Refused> {
    let key = text(request, header::IDEMPOTENCY_KEY);
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_MAX) {
        return Err(malformed(header::IDEMPOTENCY_KEY, "1 to 256 characters"));
    }
    Ok(Arrival {
        id,
        token_sha256: bearer(request).map(|token| hex(&Sha256::digest(token))),
        subject,
        idempotent: idempotent(request)?,
        key: key.map(Name::from),
        digest: key.map_or_else(Name::default, |_| digest(request, body)),
        priority: priority(request)?,
        deadline: edge.clock.now() + deadline(request, edge)?,
        stream: false,
        prefix: Vec::new(),
        bytes: body.len() as u64,
        max_tokens: 0,
        hops,
    })
}

fn idempotent(request: &HttpRequest) -> Result<Option<bool>, Refused> {
    match text(request, header::IDEMPOTENT) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(malformed(header::IDEMPOTENT, "true or false")),
    }
}

fn priority(request: &HttpRequest) -> Result<Option<Priority>, Refused> {
    match text(request, header::PRIORITY) {
        None => Ok(None),
        Some("urgent") => Ok(Some(Priority::Urgent)),
        Some("high") => Ok(Some(Priority::High)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("deferrable") => Ok(Some(Priority::Deferrable)),
        Some(_) => Err(malformed(header::PRIORITY, "urgent, high, normal or deferrable")),
    }
}

fn deadline(request: &HttpRequest, edge: &Edge) -> Result<Duration, Refused> {
    let Some(text) = text(request, header::DEADLINE_MS) else {
        return Ok(edge.timeouts.deadline);
    };
    let ms = text.parse().map_err(|_bad| malformed(header::DEADLINE_MS, "a whole number of milliseconds"))?;
    Ok(Duration::from_millis(ms).min(edge.timeouts.deadline_max))
}

fn malformed(name: &str, expected: &str) -> Refused {
    Refused::new(Code::Malformed, format!("the header {name}: expected {expected}"))
}

/// A header's text; none if it is absent. A value that is no text counts as empty.
pub(crate) fn text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).map(|value| value.to_str().unwrap_or_default())
}

fn bearer(request: &HttpRequest) -> Option<&str> {
    text(request, AUTHORIZATION.as_str())?.strip_prefix("Bearer ")
}

fn digest(request: &HttpRequest, body: &Bytes) -> Name {
    let mut hash = Sha256::new();
    hash.update(request.method().as_str());
    hash.update(b" ");
    hash.update(request.uri().path_and_query().map_or("/", |path| path.as_str()));
    hash.update(b"\n");
    hash.update(body);
    hex(&hash.finalize())
}

/// Bytes in lower-case hex.
pub(crate) fn hex(bytes: &[u8]) -> Name {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _infallible = write!(text, "{byte:02x}");
    }
    text.into()
}
