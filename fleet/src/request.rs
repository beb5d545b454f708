//! Requests and the attempts made for them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::engine::Incarnation;
use crate::homes::Permit;
use crate::key::Digest;
use crate::path::Relay;

/// A request's number within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl Id {
    /// No request's: of questions that are asked for none.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a request asks of an engine, whoever sends it and under whichever id: a hash of its host, target and body. Or a part of
/// its prompt, which other requests share: a hash of the part's id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

impl Fingerprint {
    /// Of a request for `host` with this path, query and body.
    #[must_use]
    pub fn of(host: &str, target: &str, body: &[u8]) -> Self {
        Self::hash(host, &[target.as_bytes(), body])
    }

    fn hash(first: &str, rest: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for piece in std::iter::once(first.as_bytes()).chain(rest.iter().copied()) {
            hash.update(&(piece.len() as u64).to_le_bytes());
            hash.update(piece);
        }
        let sum = hash.digest128();
        Self((sum >> 64) as u64, sum as u64)
    }

    /// Of the part of a prompt that has this id.
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        Self::hash("part", &[id.as_bytes()])
    }

    /// Of a part of prompts for one model.
    pub(crate) fn of_part_for(self, model: &str) -> Self {
        Self::hash("model", &[&self.0.to_le_bytes(), &self.1.to_le_bytes(), model.as_bytes()])
    }

    /// A number for it, and another one where what is said of it is the opposite.
    pub(crate) const fn digest(self, opposite: bool) -> u64 {
        if opposite { self.1 } else { self.0 }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// A stream, by the attempt of its client that brought the first event: a hash of the id of that attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream(u64);

impl Stream {
    /// The stream whose first event came by the attempt with this id.
    #[must_use]
    pub fn of(attempt_id: &str) -> Self {
        Self(xxh3_64(attempt_id.as_bytes()))
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A client takes up a stream of which it has some events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The stream; none if the client does not name it.
    pub stream: Option<Stream>,
}

/// A request as it was read from a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The host that it names.
    pub host: Name,
    /// Its path, without the query.
    pub path: Name,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// What it wants a model for; none for calls of plain services.
    pub prompt: Option<Prompt>,
    /// What it asks, to tell when it comes again.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
    /// The key that its caller has, if it names one.
    pub key: Option<Digest>,
    /// Tokens that it says it reads and generates.
    pub tokens: Option<u64>,
    /// The stream that it begins, if it begins one and has an id.
    pub stream: Option<Stream>,
    /// The stream that it takes up; none if it begins anew.
    pub resumes: Option<Resumption>,
}

/// What a request wants of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: Name,
    /// The adapter of that model, if one is named.
    pub adapter: Option<Name>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens to be generated at most.
    pub tokens_max: u32,
}

/// One sending of a request to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number within the request, from 1.
    pub number: u32,
    /// The engine's id.
    pub engine: Name,
    /// The start of the engine that is meant.
    pub incarnation: Incarnation,
    /// The version of the engine's software, as its row said; none if it did not.
    pub build: Option<Name>,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The entry VM that passes it on; none where the engine is reached from here.
    pub relay: Option<Relay>,
    /// When it is to be sent.
    pub at: Time,
    /// When the engine is to stop at the latest.
    pub deadline: Time,
    /// The request's rank, for engines to order by; 0 goes first.
    pub priority: u8,
    /// Whether it is answered by a stream of events.
    pub streams: bool,
    /// The workspace that its caller belongs to, for the engine to know; none for callers without a key.
    pub workspace: Option<Name>,
    /// When it may not be sent any more, since nobody says so long that its caller's key still holds, or since its place at an engine
    /// in need is over; none where neither binds.
    pub send_by: Option<Time>,
    /// When it may not be written any more, since the engine may have left meanwhile.
    pub write_by: Time,
    /// The word that the engine is where the request may be served.
    pub permit: Permit,
    /// Whether the engine has named a limit, as far as is known: an answer that names none says that it is over.
    pub limited: bool,
}

/// What is to be done for a request next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it, going on after the last event that was delivered, if any was.
    Send(Attempt),
    /// Send nothing until the next word: the attempt that was to be sent later is not to be.
    Wait,
    /// Pass on the answer that the engine gave.
    Pass,
    /// Answer it without an engine, or break its answer off if that has begun.
    Refuse(Refusal),
}

/// Why a request is answered without an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When the caller may come back; only for requests that have not run.
    pub retry_after: Option<Duration>,
}

/// How the events of an attempt's answer came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// The longest pause between two of them.
    pub pause: Duration,
    /// The mean time between two of them; none for less than two.
    pub gap: Option<Duration>,
    /// Whether nothing but the end of its connection said that the answer was over: its engine may have crashed.
    pub unframed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer, a success, is there or was delivered.
    Done,
    /// The engine ran the request and answered with a failure, which is there whole.
    Failed,
    /// No connection could be had: nothing was sent.
    Unsent,
    /// It was not sent in time ([`Attempt::send_by`], [`Attempt::write_by`]), which says nothing of the engine.
    Withheld,
    /// The engine says that it did not run the request.
    Refused(Cause),
    /// The connection broke.
    Lost,
    /// What came was no answer to this request, or none came in time.
    Broken,
}

/// Why an engine did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It is full, or the deadline passed while the request waited there.
    Busy,
    /// It does not hold the model or the adapter.
    Absent,
    /// Another engine has taken over its address.
    Replaced,
}

impl End {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Unsent => "unsent",
            Self::Withheld => "withheld",
            Self::Refused(Cause::Busy) => "refused_busy",
            Self::Refused(Cause::Absent) => "refused_absent",
            Self::Refused(Cause::Replaced) => "refused_replaced",
            Self::Lost => "lost",
            Self::Broken => "broken",
        }
    }

    /// Whether it proves that the engine did not run the request.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Withheld | Self::Refused(_))
    }
}
