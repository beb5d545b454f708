//! Attempts of a request at back ends: what is sent and how an attempt fails.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// An attempt to be sent to a back end. The HTTP edge adds the body of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Id of the attempt; the back end echoes it.
    pub attempt: id::Attempt,
    /// The back end's VM name.
    pub backend: Name,
    /// Address at which the back end listens.
    pub address: SocketAddr,
    /// Kind of back end.
    pub destination: Destination,
    /// Position in the answer at which to begin.
    pub resume: Resume,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Time,
    /// Priority, for engines that schedule by priority.
    pub priority: Priority,
    /// Whether it must be sent on a new connection instead of a pooled one.
    pub new_connection: bool,
}

/// Kind of back end that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A model engine that holds this artifact.
    Engine(Artifact),
    /// A plain service.
    Service(Name),
    /// An entry VM of another availability zone, which forwards it to a back end of that zone.
    Peer,
}

/// Position in the answer at which an attempt begins. Offsets count the events of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// At the start.
    Start,
    /// At the offset, at the engine that ran an earlier attempt and still holds its answer.
    Same {
        /// The attempt to resume.
        of: id::Attempt,
        /// Offset of the next event to deliver.
        offset: u64,
    },
    /// At the offset, at another engine, which gets the text delivered so far as prefix.
    Continue {
        /// Offset of the next event to deliver.
        offset: u64,
    },
}

/// How an attempt failed, as seen by the HTTP edge that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The connection was not established; no byte of the request was sent.
    Connect,
    /// The back end answered that it did not run the request.
    Refused(Refusal),
    /// The connection broke, or the answer ended without its end marker.
    Broken,
    /// The back end accepted the request and answered with an error.
    Error,
    /// The answer carried the id of another attempt.
    Foreign,
    /// The engine no longer knows the attempt to resume.
    Forgotten,
}

/// Why a back end refused a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Its queue is full.
    Busy,
    /// It is shutting down.
    Leaving,
    /// It does not hold the model.
    NotLoaded,
    /// It cannot meet the deadline.
    Late,
}
