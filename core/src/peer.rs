//! What entry VMs tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::config;
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
    /// Grows with each frame from the sender.
    pub seq: u64,
    /// Where the sender listens for peers, for receivers whose VM list does not show it yet.
    pub address: Option<SocketAddr>,
    /// The configuration version in force at the sender.
    pub config: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// What it has to say.
    pub items: Vec<Item>,
}

/// One thing said in a frame. A receiver skips those it does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// An engine's report, from its collector to its zone.
    Report(Box<Report>),
    /// Load of engines whose reports changed in nothing else, from their collector to its zone.
    Loads(Vec<Load>),
    /// The receiver's reports are wanted whole: one of the sender's did not fit its loads.
    WantReports,
    /// A back end that refuses new work because it is leaving.
    Leaving(Name),
    /// Back ends that operators took out of use or back into it.
    Drains(Vec<Drain>),
    /// What a zone offers to the others; from there, or passed on within the receiver's zone.
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
    Steps(Vec<config::Step>),
    /// A newer configuration, whole.
    Config(Box<config::Head>),
    /// The receiver is behind or ahead: send what is above this version.
    WantConfig(u64),
}

/// An engine's load since a report that differs in nothing else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The digest of the engine's VM name.
    pub engine: u32,
    /// The digest of all else in the report.
    pub shape: u32,
    /// The number of the report that it is from.
    pub seq: u64,
    /// Requests being worked on.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens generated a second.
    pub tokens_per_second: u32,
    /// Requests on each copy, in the report's order.
    pub requests: Vec<u32>,
}

/// An operator's word on a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The backend server's VM name.
    pub backend: Name,
    /// Whether it is out of use.
    pub out: bool,
    /// Grows with each word on it; the higher one holds.
    pub stamp: u64,
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
    /// The zone.
    pub zone: Name,
    /// The life of the process that made it.
    pub by: Incarnation,
    /// Grows with each one made by that process.
    pub seq: u64,
    /// How far `offers` go.
    pub extent: Extent,
    /// What the zone holds ready.
    pub offers: Vec<Offer>,
    /// Memory that no copy takes, in MB, over all engines.
    pub free_mb: u64,
    /// The lowest configuration version in force at the zone's live entry VMs.
    pub config: u64,
    /// Entry VMs of the zone that are not heard there, or are stopping.
    pub silent: Vec<Name>,
}

/// How far the offers of a summary go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Extent {
    /// They are all there are.
    All,
    /// They are all of this share, and what else changed.
    Share(u32),
    /// They are what changed.
    #[default]
    Changes,
}

/// One artifact that a zone holds ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The artifact's digest.
    pub artifact: u32,
    /// Copies that answer; zero when there are none any more.
    pub copies: u32,
    /// Load of the engines that hold it, in eighths of their slots.
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
