//! What entry VMs tell each other.

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::engine::Report;
use crate::id::Incarnation;
use crate::name::Name;

/// One frame from an entry VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender's VM name.
    pub from: Name,
    /// The sender's availability zone.
    pub zone: Name,
    /// The life of the sender's process.
    pub incarnation: Incarnation,
    /// Grows with each frame from the sender to this receiver.
    pub seq: u64,
    /// The configuration version in force at the sender.
    pub config: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// What it has to say.
    pub items: Vec<Item>,
}

/// One thing said in a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// An engine's report, from its collector to its zone.
    Report(Box<Report>),
    /// A back end that refuses new work because it is leaving.
    Leaving(Name),
    /// What the sender's zone offers for other zones.
    Summary(Box<Summary>),
    /// Requests for a model that arrived at the sender, for its zone's lease holder.
    Demand(Vec<Demand>),
    /// A copy that is about to be dropped: send nothing more to it and acknowledge.
    Close(Closing),
    /// Nothing more goes from the sender to that copy, and nothing of its own runs there.
    Closed(Closing),
    /// The copy is to be used again.
    Reopen(Closing),
    /// Steps that lead to a newer configuration, oldest first.
    Steps(Vec<crate::config::Step>),
    /// A newer configuration, whole.
    Config(Box<crate::config::Head>),
    /// The receiver is behind or ahead: send what is above this version.
    WantConfig(u64),
}

/// Names a copy that is about to be dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Closing {
    /// The engine's VM name.
    pub engine: Name,
    /// The artifact.
    pub artifact: Artifact,
}

/// A zone in short, for the other zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Grows with each summary of the zone.
    pub seq: u64,
    /// What the zone holds ready, with its load in thousandths of its slots.
    pub copies: Vec<Offer>,
    /// Memory that no copy or order takes, in MB, over all engines.
    pub free_mb: u64,
}

/// One artifact that a zone holds ready.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The artifact.
    pub artifact: Artifact,
    /// Copies that answer.
    pub copies: u32,
    /// Load of the engines that hold it, in thousandths of their slots.
    pub load: u32,
}

/// Demand for one artifact at one entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The artifact.
    pub artifact: Artifact,
    /// Requests that arrived since the last frame.
    pub arrivals: u32,
    /// Requests that wait for a copy now.
    pub waiting: u32,
}
