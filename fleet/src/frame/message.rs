//! Message types: the frame that an entry VM sends to the hub, and the hub's reply.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::budget;
use crate::crash;
use crate::demand::Demand;
use crate::engine::{Incarnation, Load, Residency, Row};
use crate::evacuation;
use crate::members::Member;
use crate::notice::Start;
use crate::ownership::Membership;
use crate::pin;
use crate::quota;
use crate::rate_limit;
use crate::revision::Revision;
use crate::update::Packed;

/// Report of an entry VM to the hub.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Number of the frame, counted per process.
    pub number: u64,
    /// The entry VM's name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other entry VMs.
    pub address: Option<SocketAddr>,
    /// Whether its machine is too small for work beyond that of its own callers.
    pub weak: bool,
    /// Whether it is stopping and is not to be sent queries.
    pub stopping: bool,
    /// Version of its list of entry VMs.
    pub members_version: u64,
    /// Version of its configuration; 0 for none.
    pub config: u64,
    /// The store's era known to it.
    pub era: u64,
    /// The revision of its engine table.
    pub engines_revision: Revision,
    /// Version of its residencies.
    pub residency_version: Position,
    /// Digest of the ids of the engines that it knows.
    pub engines_digest: u64,
    /// Its own load on each engine.
    pub loads: Vec<EngineLoad>,
    /// What its callers requested.
    pub demand: Vec<Demand>,
    /// Models and adapters that engines refused as absent since the last frame.
    pub absent: Vec<Absent>,
    /// Engines that it could not reach, or that have gone silent.
    pub suspects: Vec<Name>,
    /// Digest of the evacuations known to it.
    pub evacuations_digest: u64,
    /// All evacuations known to it, if the hub's digest was another.
    pub evacuations: Vec<evacuation::Status>,
    /// Engine starts that have announced to it that they leave, as far as they weren't reported to the hub yet.
    pub departures: Vec<Start>,
    /// Version of the departures that it has from the hub.
    pub departures_version: Position,
    /// Limits announced by engines that weren't reported to the hub yet.
    pub limits: Vec<rate_limit::Report>,
    /// Version of the limits that it has from the hub.
    pub limits_version: Position,
    /// What it has read from the store itself and the hub doesn't have.
    pub store_reading: Reading,
    /// Digest of its confirmed facts on requests that crash engines.
    pub crash_digest: u64,
    /// All of these facts, if the hub's digest was another.
    pub crash_entries: Vec<crash::Verdict>,
    /// The shares of workspaces' limits that it holds.
    pub quota: quota::Report,
    /// Number of requests since the last frame, by service.
    #[serde(default)]
    pub request_counts: Vec<budget::Count>,
}

/// Data that an entry VM has read from the store itself, for a hub that the store rejects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// Time since the store last answered; none from an entry VM that doesn't read it.
    pub store_age: Option<Duration>,
    /// Update from the hub's configuration to a newer one.
    pub config: Option<Packed>,
    /// Rows of the engine table newer than `rows_after`, up to which the hub has the table.
    pub rows: Vec<Row>,
    /// The hub's revision of the engine table.
    pub rows_after: Revision,
}

/// Version of data that the hub distributes: residencies, departures or rate limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Term of the lease under which it was set.
    pub term: u64,
    /// Number that grows with each change within a term.
    pub version: u64,
}

/// Load on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine's id.
    pub engine: Name,
    /// The requests under way at the engine.
    pub load: Load,
}

/// A model or an adapter that an engine was expected to hold, and refused as absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absent {
    /// The engine's id.
    pub engine: Name,
    /// The model.
    pub model: Name,
    /// The adapter.
    pub adapter: Option<Name>,
}

/// The hub's reply to a frame.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the frame that it answers.
    pub number: u64,
    /// Whether the sender holds the lease. If not, the asker has to find another hub.
    pub leads: bool,
    /// The store's era known to the hub.
    pub era: u64,
    /// Time since the store last answered the hub.
    pub store_age: Duration,
    /// Time since the store last answered an entry VM that reads it for the hub; none if none does.
    pub reader_age: Option<Duration>,
    /// All entry VMs, if the asker's list differs.
    pub members: Option<Vec<Member>>,
    /// The asker's membership in that list, if the sender holds the lease.
    pub membership: Option<Membership>,
    /// Number of entry VMs counted by the hub, itself included.
    pub nodes: u32,
    /// Loads from all other entry VMs, by engine name, if the asker's set of engines differs from the hub's.
    pub loads_by_name: Vec<EngineLoad>,
    /// The asker's digest of engine ids.
    pub engines_digest: u64,
    /// Loads from all other entry VMs, by the position of each engine in the order of ids. Each engine with any load
    /// has three numbers: the count of engines without load since the one before, its requests, and the time to read
    /// their prompts in ms, rounded up.
    pub loads_by_position: Vec<u32>,
    /// Version of the hub's residencies.
    pub residency_version: Position,
    /// Residencies that have changed since the asker's version.
    pub residencies: Vec<Resident>,
    /// The residencies of all engines, packed, as of a short time ago.
    pub residencies_packed: Bytes,
    /// Update from the asker's configuration to a newer one, if it is delivered by replies.
    pub config: Option<Packed>,
    /// The hub's configuration version, and how recent it is.
    pub declaration: Declaration,
    /// Rows of the engine table newer than the asker's. Beside packed rows: those of engines that have left or are
    /// leaving since.
    pub rows: Vec<Row>,
    /// All rows of the engine table, packed, as of a short time ago.
    pub rows_packed: Bytes,
    /// The revision of the hub's engine table.
    pub engines_revision: Revision,
    /// Time since the hub's engine table contained all that the store had taken; none if unknown.
    pub engines_age: Option<Duration>,
    /// Whether the rows are the complete table, because the hub may not know each removal since the asker's revision.
    pub whole: bool,
    /// Engines that the hub could not reach.
    pub suspects: Vec<Name>,
    /// Digest of the evacuations known to the hub.
    pub evacuations_digest: u64,
    /// All evacuations known to the hub, if the asker's digest is another.
    pub evacuations: Vec<evacuation::Status>,
    /// Engine starts that have announced that they leave, as far as the asker doesn't have them yet.
    pub departures: Vec<Start>,
    /// Version of the hub's departures.
    pub departures_version: u64,
    /// Limits announced by engines, as far as the asker doesn't have them yet.
    pub limits: Vec<rate_limit::Report>,
    /// Version of the hub's limits.
    pub limits_version: u64,
    /// Digest of the hub's confirmed facts on requests that crash engines.
    pub crash_digest: u64,
    /// All of these facts, if the asker's digest is another.
    pub crash_entries: Vec<crash::Verdict>,
    /// The shares of workspaces' limits that the asker may hold from now on; none if the sender can't allot any.
    pub quota: Option<Vec<quota::Allotment>>,
    /// The builds known to the hub to have served requests.
    #[serde(default)]
    pub builds: Option<pin::Report>,
}

/// A configuration version, and the revision and time up to which it is known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The configuration's version; 0 for none.
    pub config: u64,
    /// The store's revision up to which no newer one was written; 0 if unknown.
    pub store: Revision,
    /// Time since it was last known to be the newest; none if unknown.
    pub age: Option<Duration>,
}

/// The residency of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The engine's id.
    pub engine: Name,
    /// The start of the engine to which it applies.
    pub incarnation: Incarnation,
    /// The models and adapters that the engine holds.
    pub residency: Residency,
}
