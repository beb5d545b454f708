//! Statistics of answers of the hub and the store: their size, duration and outcome.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use boragecove_platform::store;
use prometheus_client::encoding::EncodeLabelSet;
use serde::Serialize;
use tokio::time::Instant;

use super::client::{Answer, Error, Received};

/// Size in bytes from which a complete answer is logged too: a tenth of what a link of 10 Mbit/s carries in a second.
const LARGE: u64 = 128 << 10;

/// Kind of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// The hub's reply to a frame.
    Frame,
    /// The operator's table, from the store.
    Config,
    /// The engines' table, from the store.
    Engines,
    /// The store's answer to a read or write of the lease.
    Lease,
}

/// How the transfer of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// It was received completely.
    Whole,
    /// It did not begin in time, or stalled before it was complete.
    Late,
    /// The connection could not be opened, or broke, or the answer was invalid.
    Broken,
    /// It has an error status.
    Refused,
}

/// The transfer of one answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Transfer {
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
    /// Number of bytes of the body that were received.
    pub(crate) bytes: u64,
    pub(crate) took_ms: u64,
    /// The status of the answer; none if its head was not received.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) status: Option<u16>,
    /// The era stated by the store; none if it stated none, and for the hub.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) era: Option<u64>,
}

/// The head of a received answer, and the size of its body.
struct Head<'a> {
    status: StatusCode,
    headers: &'a HeaderMap,
    bytes: usize,
}

impl<'a> From<&'a Received> for Head<'a> {
    fn from(Received { status, headers, body, .. }: &'a Received) -> Self {
        Self { status: *status, headers, bytes: body.len() }
    }
}

impl<'a> From<&'a Answer> for Head<'a> {
    fn from(Answer { status, headers, body }: &'a Answer) -> Self {
        Self { status: *status, headers, bytes: body.len() }
    }
}

/// The labels under which transfers are counted in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Labels {
    kind: &'static str,
    outcome: &'static str,
}

impl Transfer {
    /// The transfer of the answer to a call that was made at `since`.
    pub(crate) fn of(kind: Kind, since: Instant, called: &Result<Received, Error>) -> Self {
        Self::new(kind, since, called.as_ref().map(Head::from))
    }

    /// As [`Transfer::of`], for a call whose answer has a time limit as a whole.
    pub(crate) fn of_short(kind: Kind, since: Instant, called: &Result<Answer, Error>) -> Self {
        Self::new(kind, since, called.as_ref().map(Head::from))
    }

    fn new(kind: Kind, since: Instant, called: Result<Head<'_>, &Error>) -> Self {
        let status = called.as_ref().ok().map(|head| head.status.as_u16());
        let era = called.as_ref().ok().and_then(|head| store::era(head.headers));
        let (outcome, bytes) = match called {
            Ok(head) if head.status.is_success() => (Outcome::Whole, head.bytes),
            Ok(head) => (Outcome::Refused, head.bytes),
            Err(Error::TimedOut) => (Outcome::Late, 0),
            Err(Error::BodyTimedOut { bytes }) => (Outcome::Late, *bytes),
            Err(Error::Expired | Error::Unsent(_) | Error::Lost(_) | Error::InvalidResponse(_)) => {
                (Outcome::Broken, 0)
            }
        };
        Self { kind, outcome, bytes: bytes as u64, took_ms: millis(since.elapsed()), status, era }
    }

    /// Whether it is logged: it failed or is large.
    pub(crate) fn is_notable(&self) -> bool {
        self.outcome != Outcome::Whole || self.bytes >= LARGE
    }

    pub(crate) fn labels(&self) -> Labels {
        let kind = match self.kind {
            Kind::Frame => "frame",
            Kind::Config => "config",
            Kind::Engines => "engines",
            Kind::Lease => "lease",
        };
        let outcome = match self.outcome {
            Outcome::Whole => "whole",
            Outcome::Late => "late",
            Outcome::Broken => "broken",
            Outcome::Refused => "refused",
        };
        Labels { kind, outcome }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
