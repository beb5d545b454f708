//! Queries of operators and the daemon's answers.

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

/// An operator's query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Applies a configuration.
    Apply(Box<Apply>),
    /// The configuration in force at this entry VM.
    Config,
    /// The latest changes of the configuration.
    History,
    /// Status of the deployment.
    Status,
    /// All artifacts with their copies.
    Models,
    /// Why the copies of a model are where they are.
    Explain(Name),
    /// All engines of this zone.
    Engines,
    /// The entry VMs known to this one.
    Members,
    /// The latest control decisions.
    Moves,
    /// Counts of ended requests and of retries at this entry VM since its process started.
    Counts,
    /// Takes a backend server out of use, or back into it, for the whole zone of this entry VM.
    Drain {
        /// The backend server's VM name.
        backend: Name,
        /// Whether to take it out of use.
        out: bool,
    },
}

/// A configuration to apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Apply {
    /// The full document.
    pub document: Document,
    /// The version that the document was edited from; none: the version in force.
    pub base: Option<u64>,
    /// Who applies it.
    pub who: Name,
    /// A remark for the history.
    #[serde(default)]
    pub note: Name,
    /// Whether only to validate it.
    #[serde(default)]
    pub dry_run: bool,
}

/// A daemon's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The query was refused or failed.
    Error(Refusal),
    /// The configuration was accepted, or would be.
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
    /// Status of the deployment.
    Status(Box<Status>),
    /// Artifacts with their copies.
    Models(Vec<Model>),
    /// Why the copies of a model are where they are.
    Explanation(Vec<Name>),
    /// Engines.
    Engines(Vec<Engine>),
    /// Entry VMs.
    Members(Vec<Member>),
    /// Control decisions, newest first.
    Moves(Vec<Record>),
    /// Counts of ended requests and retries.
    Counts(Counts),
    /// The query was carried out; there is nothing to return.
    Done,
}

/// Why an operator's query was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// The reasons, each with its numbers.
    pub reasons: Vec<Name>,
    /// What the operator can do about it.
    pub hint: Name,
    /// The version in force, where that matters.
    pub version: Option<u64>,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Its version, or the version it would get.
    pub version: u64,
    /// The operation that wrote it.
    pub op: id::Op,
}

/// Status of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry VM that answers.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it accepts requests.
    pub ready: bool,
    /// The configuration version in force.
    pub config: u64,
    /// VM name of the zone's lease holder, as last read from the table.
    pub lease_holder: Option<Name>,
    /// Whether the platform's table answers.
    pub table_up: bool,
    /// Open requests at this entry VM.
    pub open: u32,
    /// Waiting requests at this entry VM.
    pub queued: u32,
    /// Number of declared artifacts.
    pub artifacts: u32,
    /// Number of declared artifacts with a ready copy in any zone.
    pub reachable: u32,
    /// Number of engines of the zone.
    pub engines: u32,
    /// Number of orders under way.
    pub moves_under_way: u32,
}

/// An artifact and its copies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The artifact.
    pub artifact: Artifact,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// Its copies on engines of this zone.
    pub copies: Vec<Held>,
    /// Other zones with a ready copy.
    pub zones: Vec<Name>,
    /// Requests per second, as forecast by this entry VM.
    pub demand: f64,
    /// Requests that wait for it at this entry VM.
    pub waiting: u32,
}

/// One copy of an artifact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The engine's VM name.
    pub engine: Name,
    /// Its stage of loading.
    pub stage: Stage,
}

/// An engine and its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its VM name.
    pub name: Name,
    /// Its group.
    pub group: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is in use or leaving.
    pub phase: Phase,
    /// Its role in answering requests.
    pub role: Role,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// Memory reserved by copies and orders, in MB.
    pub reserved_mb: u64,
    /// Running requests, by its last report.
    pub running: u32,
    /// Requests in its own queue, by its last report.
    pub waiting: u32,
    /// Age of its last report, in milliseconds; none before the first.
    pub report_age_ms: Option<u64>,
    /// Number of copies it holds, by its last report.
    pub copies: u32,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
}

/// An entry VM as seen by the one that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is believed to be alive.
    pub alive: bool,
    /// Whether it is stopping or leaving.
    pub leaving: bool,
    /// The last reported configuration version in force there.
    pub config: u64,
    /// Time since its last sign of life, in milliseconds; none if there was none.
    pub heard_ms: Option<u64>,
}

/// Counts at an entry VM since its process started. Zero counts are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ended requests, by result code.
    pub ended: Vec<Ended>,
    /// Attempts that were followed by a retry, by reason.
    pub retried: Vec<Retried>,
}

/// Requests that ended with one result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The result code.
    pub code: Code,
    /// Their number.
    pub count: u64,
}

/// Attempts that were followed by a retry for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retried {
    /// The reason, as in the label of the metric.
    pub reason: Name,
    /// Their number.
    pub count: u64,
}
