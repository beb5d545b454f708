//! What is kept of a request until it ends, to be sent to back ends.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::http::header::{self as http, HeaderName, HeaderValue};
use boragecove_wire::header;
use bytes::Bytes;

use super::arrival::Held;
use crate::memory::Share;

/// A request as it goes on.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    /// Its method.
    pub method: Method,
    /// Its path and query at the callers' edge.
    pub path: String,
    /// Path and query at a plain service.
    pub tail: String,
    /// The headers that go on to a plain service.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The caller's token, which goes on to other entry VMs only.
    pub authorization: Option<HeaderValue>,
    /// How many entry VMs it passed before this one.
    pub hops: u8,
    /// Its body.
    pub body: Bytes,
    /// The memory that it holds.
    pub _share: Arc<Share>,
}

/// Headers that concern one connection, or that this edge sets anew.
const OWN: [HeaderName; 14] = [
    http::AUTHORIZATION,
    http::CONNECTION,
    http::CONTENT_LENGTH,
    http::EXPECT,
    http::HOST,
    http::TE,
    http::TRAILER,
    http::TRANSFER_ENCODING,
    http::UPGRADE,
    http::PROXY_AUTHORIZATION,
    http::PROXY_AUTHENTICATE,
    http::ACCEPT_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static(header::LAST_EVENT_ID),
];
/// Headers from the caller that tell other entry VMs as much as they tell this one.
const KEPT: [&str; 3] = [header::IDEMPOTENT, header::PRIORITY, header::IDEMPOTENCY_KEY];

impl Content {
    /// Takes a request with the body that was read; `tail` is its path at a plain service.
    pub(crate) fn new(request: &HttpRequest, tail: String, hops: u8, body: Held) -> Self {
        let path = request.uri().path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
        let headers = request.headers().iter();
        Self {
            method: request.method().clone(),
            path,
            tail,
            headers: headers.filter(|(name, _)| goes_on(name)).map(|(n, v)| (n.clone(), v.clone())).collect(),
            authorization: request.headers().get(http::AUTHORIZATION).cloned(),
            hops,
            body: body.bytes,
            _share: body.share,
        }
    }
}

/// Whether a header goes on, from callers to services and back.
pub(crate) fn goes_on(name: &HeaderName) -> bool {
    if KEPT.contains(&name.as_str()) {
        return true;
    }
    !name.as_str().starts_with("boragecove-") && !OWN.contains(name)
}
