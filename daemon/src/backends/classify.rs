//! Says what the head of an answer, or an error in its place, proves about a try.

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap};
use awc::error::{ConnectError, SendRequestError};
use boragecove_core::attempt::{Destination, Failure, Refusal};
use boragecove_core::code::Outcome;
use boragecove_core::id;
use boragecove_wire::header;

/// What a head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// An answer follows as events.
    Stream,
    /// An answer follows whole.
    Whole,
    /// The try failed.
    Failed(Failure),
}

/// What an error before the head proves. Only errors of connecting prove that no byte left.
pub(crate) fn sending(error: &SendRequestError) -> Failure {
    match error {
        // awc gives this one also for a connection that closed before its head came.
        SendRequestError::Connect(ConnectError::Disconnected) => Failure::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Failure::Connect
        }
        _ => Failure::Broken,
    }
}

/// The attempt that an answer says it is for. A plain service need not say.
pub(crate) fn echo(to: &Destination, attempt: id::Attempt, headers: &HeaderMap) -> Option<id::Attempt> {
    match (headers.get(header::ATTEMPT), to) {
        (Some(value), _) => value.to_str().ok()?.parse().ok(),
        (None, Destination::Service(_)) => Some(attempt),
        (None, Destination::Engine(_) | Destination::Peer) => None,
    }
}

/// What status and headers say.
pub(crate) fn head(to: &Destination, status: StatusCode, headers: &HeaderMap) -> Verdict {
    if let Some(refusal) = headers.get(header::REFUSAL) {
        return Verdict::Failed(
            refusal.to_str().ok().and_then(refused).map_or(Failure::Error, Failure::Refused),
        );
    }
    if headers.contains_key(header::FORGOTTEN) {
        return Verdict::Failed(Failure::Forgotten);
    }
    if let Destination::Peer = to {
        return peer(status, headers);
    }
    if status.is_server_error() {
        return Verdict::Failed(Failure::Error);
    }
    shape(headers)
}

/// An entry VM of another zone says by its outcome whether the request was run.
fn peer(status: StatusCode, headers: &HeaderMap) -> Verdict {
    let outcome = headers.get(header::OUTCOME).and_then(|value| value.to_str().ok());
    match outcome {
        Some(outcome) if outcome == Outcome::Answered.as_str() => shape(headers),
        Some(outcome) if outcome == Outcome::NotRun.as_str() => {
            let late = status == StatusCode::GATEWAY_TIMEOUT;
            Verdict::Failed(Failure::Refused(if late { Refusal::Late } else { Refusal::Busy }))
        }
        _ => Verdict::Failed(Failure::Error),
    }
}

fn shape(headers: &HeaderMap) -> Verdict {
    let events =
        headers.get(CONTENT_TYPE).is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    if events { Verdict::Stream } else { Verdict::Whole }
}

fn refused(text: &str) -> Option<Refusal> {
    match text {
        "busy" => Some(Refusal::Busy),
        "leaving" => Some(Refusal::Leaving),
        "not-loaded" => Some(Refusal::NotLoaded),
        "late" => Some(Refusal::Late),
        _ => None,
    }
}
