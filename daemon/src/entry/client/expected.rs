//! How the answer to a request names it, which distinguishes it from answers to other requests on the same connection.

use actix_http::header::{HeaderMap, HeaderValue};
use boragecove_platform::http;
use memchr::memmem;

/// The name of the answer that is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// Engines repeat the request's id, once.
    Named(HeaderValue),
    /// The request has no id, and its answer names none.
    Unnamed,
}

impl Expected {
    /// The name of the answer to a request with these headers.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        headers.get(http::REQUEST_ID).cloned().map_or(Self::Unnamed, Self::Named)
    }

    /// Whether an answer with these headers is the expected one.
    pub(super) fn is_named_in(&self, headers: &HeaderMap) -> bool {
        match self {
            Self::Named(id) => http::names_request(headers, Some(id.as_bytes())),
            Self::Unnamed => http::names_request(headers, None),
        }
    }

    /// Whether a header line within these bytes names the request.
    pub(super) fn is_named_within(&self, bytes: &[u8]) -> bool {
        let Self::Named(id) = self else {
            return false;
        };
        let id = id.as_bytes();
        let is_value = |at: usize| {
            let before = at.checked_sub(1).map(|before| bytes[before]);
            let after = bytes.get(at + id.len());
            matches!(before, Some(b' ' | b':' | b'\t')) && matches!(after, Some(b'\r' | b'\n' | b' '))
        };
        memmem::find_iter(bytes, id).any(is_value)
    }
}
