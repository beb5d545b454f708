//! Messages between entry VMs.

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
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each frame from the sender.
    pub seq: u64,
    /// The sender's address for peers, for receivers whose VM list does not show it yet.
    pub address: Option<SocketAddr>,
    /// The configuration version in force at the sender.
    pub config: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// The content.
    pub items: Vec<Item>,
}

/// One item of a frame. A receiver skips items of a kind that it does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// A full report of an engine, from its collector to the zone.
    Report(Box<Report>),
    /// Loads of engines whose reports changed in nothing else, from their collector to the zone.
    Loads(Vec<Load>),
    /// Asks the receiver for full reports, since a load did not match the report known to the sender.
    WantReports,
    /// A backend server that refuses new work because it is leaving.
    Leaving(Name),
    /// Backend servers that operators took out of use or back into it.
    Drains(Vec<Drain>),
    /// Summary of a zone for the other zones, sent by that zone or forwarded within the receiver's zone.
    Summary(Box<Summary>),
    /// Requests for a model that arrived at the sender, for its zone's lease holder.
    Demand(Vec<Demand>),
    /// A copy is about to be dropped: the receiver must send no more requests to it and acknowledge.
    Close(Closing),
    /// Acknowledgement: the sender sends no more requests to the copy and has none running there.
    Closed(Closing),
    /// The copy may be used again.
    Reopen(Closing),
    /// Steps to a newer configuration, oldest first.
    Steps(Vec<config::Step>),
    /// A newer configuration in full.
    Config(Box<config::Head>),
    /// Asks the receiver for configuration changes above this version, which the sender has in force.
    WantConfig(u64),
}

/// New load of an engine, relative to an earlier report that is equal in everything else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Digest of the engine's VM name.
    pub engine: u32,
    /// Digest of everything in the report but the load.
    pub report_digest: u32,
    /// Sequence number of the report that the load was taken from.
    pub seq: u64,
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in the engine's own queue.
    pub waiting: u32,
    /// Tokens generated per second.
    pub tokens_per_second: u32,
    /// Requests on each copy, in the order of the report's copies.
    pub requests: Vec<u32>,
}

/// An operator's decision whether a backend server is in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The backend server's VM name.
    pub backend: Name,
    /// Whether it is out of use.
    pub out_of_use: bool,
    /// Increases with each decision; the one with the highest number applies.
    pub version: u64,
}

/// Identifies a copy that is about to be dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Closing {
    /// The engine's VM name.
    pub engine: Name,
    /// The artifact.
    pub artifact: Artifact,
}

/// Summary of a zone for the other zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The zone.
    pub zone: Name,
    /// Incarnation of the process that created it.
    pub by: Incarnation,
    /// Sequence number; increases with each summary of that process.
    pub seq: u64,
    /// Which artifacts `offers` covers.
    pub extent: Extent,
    /// Artifacts that the zone holds ready.
    pub offers: Vec<Offer>,
    /// Memory not used by copies, in MB, over all engines.
    pub free_mb: u64,
    /// Lowest configuration version in force at the zone's live entry VMs.
    pub config: u64,
    /// Entry VMs of the zone that are suspected there or are stopping.
    pub silent: Vec<Name>,
}

/// Which artifacts the offers of a summary cover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Extent {
    /// All artifacts that the zone holds.
    All,
    /// All artifacts of this share, and those of other shares that changed.
    Share(u32),
    /// Only artifacts that changed.
    #[default]
    Changes,
}

/// One artifact that a zone holds ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Digest of the artifact.
    pub artifact_digest: u32,
    /// Ready copies; zero when the zone no longer holds any.
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
    /// Requests that wait for a copy.
    pub waiting: u32,
}
