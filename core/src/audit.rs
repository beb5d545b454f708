//! Records of what control decided, with the cause of each.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::effect::Effect;
use crate::engine::{Fence, Role};
use crate::id;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;

/// A decision of control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When, by the clock of the entry VM that decided.
    pub at: Time,
    /// The configuration version in force there; with the fences, it puts records of several entry VMs in
    /// order where clocks disagree.
    #[serde(default)]
    pub config: u64,
    /// The entry VM.
    pub vm: Name,
    /// The availability zone it concerns.
    pub zone: Name,
    /// What was decided.
    pub act: Decision,
    /// Why.
    pub cause: Cause,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// A zone's lease was taken.
    LeaseTaken(Fence),
    /// A zone's lease was given back or lost.
    LeaseLeft(Fence),
    /// An artifact is to be loaded.
    Load {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The artifact.
        artifact: Artifact,
    },
    /// An artifact is to be dropped.
    Unload {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The artifact.
        artifact: Artifact,
    },
    /// An engine is to change its role.
    Role {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The new role.
        role: Role,
    },
    /// An order whose fate is not known is made void.
    Cancel {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
    },
    /// A configuration came into force.
    Configured(u64),
}

/// Why control decided something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No copy was certain to be loaded.
    Unreachable,
    /// Demand grew beyond the copies there are.
    Demand,
    /// Demand went and the memory is needed.
    Idle,
    /// It is not declared any more, or not here.
    Undeclared,
    /// Fewer copies were there than the rules ask for.
    Copies,
    /// Its memory is needed for another artifact.
    Room,
    /// Its engine is leaving.
    Leaving,
    /// The answer to the order was lost.
    Lost,
    /// A version replaces another.
    Version,
    /// The holder before was gone.
    Expired,
    /// Nobody held it.
    Vacant,
    /// This process is stopping.
    Stopping,
    /// Someone else took it.
    Superseded,
    /// An operator asked for it.
    Operator,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseTaken(fence) => write!(f, "took the lease, fence {}", fence.0),
            Self::LeaseLeft(fence) => write!(f, "left the lease, fence {}", fence.0),
            Self::Load { engine, artifact, .. } => write!(f, "load {artifact} on {engine}"),
            Self::Unload { engine, artifact, .. } => write!(f, "unload {artifact} from {engine}"),
            Self::Role { engine, role, .. } => write!(f, "give {engine} the role {role}"),
            Self::Cancel { order, engine } => write!(f, "cancel order {order} at {engine}"),
            Self::Configured(version) => write!(f, "put version {version} in force"),
        }
    }
}

impl Cause {
    /// The cause as the end of a sentence that tells what was decided.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "no copy was certain",
            Self::Demand => "demand grew",
            Self::Idle => "demand went",
            Self::Undeclared => "it is no longer declared here",
            Self::Copies => "the rules ask for more copies",
            Self::Room => "memory was needed",
            Self::Leaving => "its engine is leaving",
            Self::Lost => "the answer was lost",
            Self::Version => "another version takes its place",
            Self::Expired => "the holder was gone",
            Self::Vacant => "nobody held it",
            Self::Stopping => "it is shutting down",
            Self::Superseded => "someone else took it",
            Self::Operator => "an operator asked for it",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The latest records, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Part {
    records: VecDeque<Record>,
}

impl Part {
    /// The latest records, newest first.
    pub(crate) fn latest(&self) -> Vec<Record> {
        self.records.iter().rev().cloned().collect()
    }
}

/// Keeps a record of a decision about this zone, and has it logged.
pub(crate) fn record(state: &mut State, now: Time, act: Decision, cause: Cause, out: &mut Vec<Effect>) {
    let config = state.config.version;
    let record = Record { at: now, config, vm: state.me.vm.clone(), zone: state.me.zone.clone(), act, cause };
    state.audit.records.push_back(record.clone());
    while state.audit.records.len() > state.settings.records_kept {
        state.audit.records.pop_front();
    }
    out.push(Effect::Record(Box::new(record)));
}
