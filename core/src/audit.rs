//! Records of the decisions on leases, placement and configuration, each with its cause.

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

/// The record of a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the decision, by the clock of the entry VM that made it.
    pub at: Time,
    /// The configuration version in force at that entry VM. With the fences, it orders the records of several
    /// entry VMs whose clocks disagree.
    #[serde(default)]
    pub config: u64,
    /// The entry VM that made the decision.
    pub vm: Name,
    /// The availability zone that it concerns.
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
    /// The zone's lease was taken, under this fence.
    LeaseTaken(Fence),
    /// The zone's lease under this fence was released or lost.
    LeaseLeft(Fence),
    /// An artifact is loaded.
    Load {
        /// Id of the order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The artifact.
        artifact: Artifact,
    },
    /// An artifact is unloaded.
    Unload {
        /// Id of the order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The artifact.
        artifact: Artifact,
    },
    /// An engine's role is changed.
    Role {
        /// Id of the order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The new role.
        role: Role,
    },
    /// An order whose outcome is not known is cancelled.
    Cancel {
        /// Id of the order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
    },
    /// A configuration version came into force.
    Configured(u64),
}

/// The cause of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No usable copy of the artifact was known in any zone.
    Unreachable,
    /// Demand exceeded the slots of the engines that hold a copy.
    Demand,
    /// Demand fell, and the memory is needed.
    Idle,
    /// The artifact is no longer declared, or not allowed in this zone.
    Undeclared,
    /// There were fewer copies than the rules ask for.
    Copies,
    /// Memory was needed for another artifact.
    Room,
    /// The engine is leaving.
    Leaving,
    /// The answer to the order was lost.
    Lost,
    /// Another version of the artifact replaces it.
    Version,
    /// The lease had expired: its holder stopped renewing it.
    Expired,
    /// Nobody held the lease.
    Vacant,
    /// The process is stopping.
    Stopping,
    /// Another entry VM took the lease.
    Superseded,
    /// An operator requested it.
    Operator,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseTaken(fence) => write!(f, "took the lease, fence {}", fence.0),
            Self::LeaseLeft(fence) => write!(f, "no longer holds the lease, fence {}", fence.0),
            Self::Load { engine, artifact, .. } => write!(f, "load {artifact} on {engine}"),
            Self::Unload { engine, artifact, .. } => write!(f, "unload {artifact} from {engine}"),
            Self::Role { engine, role, .. } => write!(f, "change the role of {engine} to {role}"),
            Self::Cancel { order, engine } => write!(f, "cancel order {order} at {engine}"),
            Self::Configured(version) => write!(f, "put configuration version {version} in force"),
        }
    }
}

impl Cause {
    /// Returns the cause as a clause that follows "because" after the text of the decision.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "no copy was certain",
            Self::Demand => "demand grew",
            Self::Idle => "demand fell",
            Self::Undeclared => "it is no longer declared here",
            Self::Copies => "the rules ask for more copies",
            Self::Room => "memory was needed",
            Self::Leaving => "its engine is leaving",
            Self::Lost => "the answer was lost",
            Self::Version => "another version replaces it",
            Self::Expired => "the holder was gone",
            Self::Vacant => "nobody held it",
            Self::Stopping => "the entry VM is stopping",
            Self::Superseded => "another entry VM took it",
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
    /// Returns the latest records, newest first.
    pub(crate) fn latest(&self) -> Vec<Record> {
        self.records.iter().rev().cloned().collect()
    }
}

/// Stores a record of a decision about this zone and emits the effect that logs it.
pub(crate) fn record(state: &mut State, now: Time, act: Decision, cause: Cause, out: &mut Vec<Effect>) {
    let config = state.config.version;
    let record = Record { at: now, config, vm: state.me.vm.clone(), zone: state.me.zone.clone(), act, cause };
    state.audit.records.push_back(record.clone());
    while state.audit.records.len() > state.settings.records_kept {
        state.audit.records.pop_front();
    }
    out.push(Effect::Record(Box::new(record)));
}
