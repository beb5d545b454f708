//! Tries of a request at back ends: what is sent, how a try fails, and what a failure proves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// A try to be sent to a back end. The edge adds the body it kept for the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Its id, to be echoed.
    pub attempt: id::Attempt,
    /// The back end's VM name.
    pub backend: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What kind of back end it is.
    pub to: Destination,
    /// Where in the answer to begin.
    pub resume: Resume,
    /// When an answer is of no more use.
    pub deadline: Time,
    /// How urgent it is, for engines that work by priority.
    pub priority: Priority,
    /// Whether it must go out on a connection opened for it.
    pub fresh: bool,
}

/// What kind of back end a try goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A model engine that holds this artifact.
    Engine(Artifact),
    /// A plain service.
    Service(Name),
    /// Another availability zone's entry VM, which sends it on to its own back ends.
    Peer,
}

/// Where in the answer a try begins. Offsets count the stream's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// At the start.
    Start,
    /// At the offset, at the engine that ran the attempt before: it still holds the answer.
    Same {
        /// The attempt to take up again.
        of: id::Attempt,
        /// The next event that is missing.
        offset: u64,
    },
    /// At the offset, at another engine: the text delivered so far goes along as prefix.
    Continue {
        /// The next event that is missing.
        offset: u64,
    },
}

/// How a try failed, as the back-end edge saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// No connection came about: no byte of the request left.
    Connect,
    /// The back end said that it did not run it.
    Refused(Refusal),
    /// The connection broke, or the answer ended without its end mark.
    Broken,
    /// The back end answered with an error of its own after taking the request.
    Error,
    /// The answer carried the id of another attempt.
    Foreign,
    /// A resumed attempt is not known to the engine any more.
    Forgotten,
}

/// Why a back end refused a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Its queue is full.
    Busy,
    /// It is leaving.
    Leaving,
    /// It does not hold the model.
    NotLoaded,
    /// Its deadline cannot be met there.
    Late,
}
