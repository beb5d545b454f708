//! How the answer to a request names it, which distinguishes it from answers to other requests on the same connection.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use boragecove_platform::http;
use memchr::memmem;

/// The name of the answer that is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// Engines repeat the request's id, once.
    Named(HeaderValue),
    /// Entry VMs repeat the call's id, once. Older ones name no call.
    Call(HeaderValue),
    /// The request has no id, and its answer names none.
    Unnamed,
}

/// The header with the id of a call of another entry VM.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("call-id");

impl Expected {
    /// The name of the answer to a request with these headers.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        let request = headers.get(http::REQUEST_ID).cloned().map(Self::Named);
        let call = || headers.get(CALL_ID).cloned().map(Self::Call);
        request.or_else(call).unwrap_or(Self::Unnamed)
    }

    /// Whether an answer with these headers may be the expected one.
    pub(super) fn is_named_in(&self, headers: &HeaderMap) -> bool {
        match self {
            Self::Named(id) => http::names_request(headers, Some(id.as_bytes())),
            Self::Call(id) => headers.get_all(CALL_ID).all(|named| named == id),
            Self::Unnamed => http::names_request(headers, None),
        }
    }

    /// Whether an answer with these headers names the request for certain.
    pub(super) fn is_certain_in(&self, headers: &HeaderMap) -> bool {
        match self {
            Self::Named(_) => true,
            Self::Call(_) => headers.contains_key(CALL_ID),
            Self::Unnamed => false,
        }
    }

    /// Whether a header line within these bytes names the request.
    pub(super) fn is_named_within(&self, bytes: &[u8]) -> bool {
        let (Self::Named(id) | Self::Call(id)) = self else {
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
