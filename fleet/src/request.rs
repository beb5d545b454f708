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
use crate::key::Digest;
use crate::path::Relay;
use crate::regions::Permit;

/// A request's number within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl Id {
    /// The id of no request, for calls to other entry VMs that are not made for a request.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies equal requests, whoever sends them and under whichever id, by a hash of host, target and body; or a part of a
/// prompt that other requests may share, by a hash of the part's id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

impl Fingerprint {
    /// The fingerprint of a request for `host`; `target` is its path with the query.
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

    /// The fingerprint of the prompt part with this id.
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        Self::hash("part", &[id.as_bytes()])
    }

    /// The fingerprint of this prompt part in prompts for one model.
    pub(crate) fn of_part_for(self, model: &str) -> Self {
        Self::hash("model", &[&self.0.to_le_bytes(), &self.1.to_le_bytes(), model.as_bytes()])
    }

    /// A number that stands for a verdict on it in a digest of verdicts, and a different one for the opposite verdict.
    pub(crate) const fn digest(self, opposite: bool) -> u64 {
        if opposite { self.1 } else { self.0 }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// The id of a stream: a hash of the id of the caller's attempt that delivered the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream(u64);

impl Stream {
    /// The stream whose first event was delivered by the caller's attempt with this id.
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

/// The wish of a caller to resume a stream of which it has some events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The stream; none if the caller does not name it.
    pub stream: Option<Stream>,
}

/// A request as it was read from a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The host in the request.
    pub host: Name,
    /// Its path, without the query.
    pub path: Name,
    /// How long the caller waits for the answer; none if it does not say.
    pub caller_timeout: Option<Duration>,
    /// The model that it needs and the size of its prompt; none for calls of plain services.
    pub prompt: Option<Prompt>,
    /// A hash of its contents, by which equal requests are recognised.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
    /// The digest of the caller's key, if the request has one.
    pub key: Option<Digest>,
    /// Tokens of the prompt and the answer together, if the request states them.
    pub tokens: Option<u64>,
    /// The id of the stream that its answer begins, if it begins one and has an attempt id.
    pub stream: Option<Stream>,
    /// The stream that it resumes; none if it resumes none.
    pub resumption: Option<Resumption>,
}

/// What a request needs of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: Name,
    /// The adapter of that model, if one is named.
    pub adapter: Option<Name>,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Largest number of tokens to generate.
    pub tokens_max: u32,
}

/// One attempt to send a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number within the request, from 1.
    pub number: u32,
    /// The engine's id.
    pub engine: Name,
    /// The engine's incarnation that the attempt is meant for.
    pub incarnation: Incarnation,
    /// The engine's software version according to its row; none if the row does not name one.
    pub build: Option<Name>,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The entry VM that relays it; none if the engine is reached directly.
    pub relay: Option<Relay>,
    /// When it is to be sent.
    pub at: Time,
    /// The time by which the engine must have finished.
    pub deadline: Time,
    /// The request's priority, by which engines order their queues; 0 is the highest.
    pub priority: u8,
    /// Whether it is answered by a stream of events.
    pub streams: bool,
    /// The caller's workspace, which is sent to the engine; none for callers without a key.
    pub workspace: Option<Name>,
    /// The time after which it must not be sent, because the proof that the caller's key is valid, the reservation at a rate-limited
    /// engine or the permit for a retry has expired by then; none if none of these applies.
    pub send_by: Option<Time>,
    /// The time after which it must not be written to a connection, because the engine may have left by then.
    pub write_by: Time,
    /// The proof that the engine is in a region where the request may be served.
    pub permit: Permit,
    /// Whether the engine is known to have reported a limit. If so, an answer that reports none ends the limit.
    pub limited: bool,
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it. If events of the answer were delivered already, continue after the last of them.
    Send(Attempt),
    /// Withdraw the attempt if nothing of it was sent yet: it ends as [`End::Withheld`] then, and goes on otherwise.
    Hold,
    /// Forward the engine's answer to the caller.
    Forward,
    /// Refuse it, or break its answer off if that has begun.
    Refuse(Refusal),
}

/// An answer to a request without an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Time after which the caller may try again; only for requests that have not run.
    pub retry_after: Option<Duration>,
}

/// The timing of the events of an attempt's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// The longest pause between two of them.
    pub longest_pause: Duration,
    /// The mean time between two of them; none for fewer than two events.
    pub mean_gap: Option<Duration>,
    /// Whether the answer was ended by the end of its connection alone. Its engine may have crashed then.
    pub unframed: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is a success and was received or delivered completely.
    Done,
    /// The engine ran the request and answered with a failure, which was received completely.
    Failed,
    /// No connection could be opened: nothing was sent.
    Unsent,
    /// It was not sent in time ([`Attempt::send_by`], [`Attempt::write_by`]). This is no sign of a fault of the engine.
    Withheld,
    /// The engine answered that it did not run the request.
    Refused(Cause),
    /// The connection broke.
    Lost,
    /// The response was not a valid answer to this request, or none came in time.
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
    /// Its label in logs and metrics.
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
