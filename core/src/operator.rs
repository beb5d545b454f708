//! What operators ask of a daemon and what it answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::audit::Record;
use crate::code::Code;
use crate::config::{Change, Document};
use crate::engine::{Role, Stage};
use crate::id;
use crate::name::Name;
use crate::vm::Phase;

/// An operator's question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Accept a configuration.
    Apply(Box<Apply>),
    /// The configuration in force here.
    Config,
    /// The latest changes of the configuration.
    History,
    /// The deployment in short.
    Status,
    /// Every artifact and where it is.
    Models,
    /// Why a model is where it is.
    Explain(Name),
    /// Every engine of this zone.
    Engines,
    /// The entry VMs as known here.
    Members,
    /// The latest records of control decisions.
    Moves,
    /// How requests ended here, and why tries were repeated, since the process started.
    Counts,
    /// Take a back end out of use, or back into it, at this entry VM's whole zone.
    Drain {
        /// The backend server's VM name.
        backend: Name,
        /// Whether to take it out.
        out: bool,
    },
}

/// A configuration to accept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Apply {
    /// The whole document.
    pub document: Document,
    /// The version it was made from; none: whatever is in force.
    pub base: Option<u64>,
    /// Who applies it.
    pub who: Name,
    /// A remark for the history.
    #[serde(default)]
    pub note: Name,
    /// Only say what would happen.
    #[serde(default)]
    pub dry_run: bool,
}

/// A daemon's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Refused or failed.
    Error(Refusal),
    /// Accepted, or would be.
    Applied(Applied),
    /// The configuration in force.
    Config {
        /// Its version.
        version: u64,
        /// Its content.
        document: Arc<Document>,
    },
    /// The latest changes, newest first.
    History(Vec<Change>),
    /// The deployment in short.
    Status(Box<Status>),
    /// Artifacts.
    Models(Vec<Model>),
    /// Why a model is where it is.
    Explanation(Vec<Name>),
    /// Engines.
    Engines(Vec<Engine>),
    /// Entry VMs.
    Members(Vec<Member>),
    /// Decisions of control, newest first.
    Moves(Vec<Record>),
    /// How requests ended.
    Counts(Counts),
    /// Done, with nothing to say.
    Done,
}

/// Why an operator's question was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// What is wrong, each with its numbers.
    pub reasons: Vec<Name>,
    /// What to do about it.
    pub hint: Name,
    /// The version in force, where that matters.
    pub version: Option<u64>,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The version it has, or would have.
    pub version: u64,
    /// The operation that brought it.
    pub op: id::Op,
}

/// The deployment in short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry VM that answers.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it takes requests.
    pub ready: bool,
    /// The configuration version in force.
    pub config: u64,
    /// The holder of the zone's lease, as last read.
    pub lease_holder: Option<Name>,
    /// Whether the platform's table answers.
    pub table_up: bool,
    /// Requests open here.
    pub open: u32,
    /// Requests waiting here.
    pub queued: u32,
    /// Declared artifacts.
    pub artifacts: u32,
    /// Declared artifacts with a ready copy in this zone or another.
    pub reachable: u32,
    /// Engines of the zone.
    pub engines: u32,
    /// Orders under way.
    pub moves_under_way: u32,
}

/// An artifact and where it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The artifact.
    pub artifact: Artifact,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// The engines of this zone that hold it, and how far each is.
    pub copies: Vec<Held>,
    /// Other zones that hold it ready.
    pub zones: Vec<Name>,
    /// Requests a second, as forecast by this entry VM.
    pub demand: f64,
    /// Requests that wait for it here.
    pub waiting: u32,
}

/// One copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The engine's VM name.
    pub engine: Name,
    /// How far it is.
    pub stage: Stage,
}

/// An engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its VM name.
    pub name: Name,
    /// Its group.
    pub group: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its state in the VM list.
    pub phase: Phase,
    /// Its role.
    pub role: Role,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// Memory that copies and orders take, in MB.
    pub reserved_mb: u64,
    /// Requests running there by its last report.
    pub running: u32,
    /// Requests waiting there by its last report.
    pub waiting: u32,
    /// Age of its last report, in milliseconds; none before the first.
    pub report_age_ms: Option<u64>,
    /// Copies there.
    pub copies: u32,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is thought alive.
    pub alive: bool,
    /// Whether it is stopping or leaving.
    pub leaving: bool,
    /// The configuration version in force there, as last heard.
    pub config: u64,
    /// Time since it was last heard, in milliseconds; none: never.
    pub heard_ms: Option<u64>,
}

/// How requests ended at an entry VM since its process started. What never happened is left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ended requests, by result code.
    pub ended: Vec<Ended>,
    /// Tries that were followed by another, by reason.
    pub retried: Vec<Retried>,
}

/// Requests that ended with one result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The result code.
    pub code: Code,
    /// How many.
    pub count: u64,
}

/// Tries that were followed by another for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retried {
    /// The reason, as the counter's label has it.
    pub reason: Name,
    /// How many.
    pub count: u64,
}
