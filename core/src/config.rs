//! The accepted configuration: a single version number for all entry VMs that only increases.
//!
//! The version in force is the version of the row [`crate::table::Key::Config`]. Each accepted change
//! overwrites this row, on condition that the row still has the version that the change is based on.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::id;
use crate::inventory::Inventory;
use crate::name::Name;
use crate::rules::Rules;
use crate::time::Time;

mod accept;
mod delta;
mod spread;

pub(crate) use accept::{Pending, apply, settle_due};
pub use delta::{Delta, Patch};
pub(crate) use spread::{
    Audience, adopt, answer_request, poll, push, request_history, steps_received, version_received,
};

/// Latest steps kept for peers that are a few versions behind.
const STEPS_KEPT: usize = 64;
/// Maximum number of changes shown to an operator.
pub(crate) const HISTORY_MAX: u64 = 100;
/// Changes kept in the table; older rows are removed.
pub(crate) const HISTORY_KEPT: u64 = 1_024;

/// A configuration as declared by operators: the inventory and the rules that apply to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Declared groups, models and services.
    pub inventory: Inventory,
    /// Callers, places, priorities and weights.
    pub rules: Rules,
}

/// The head of the configuration in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The version in force; also the version of the row.
    pub version: u64,
    /// The operation that created it; tells after a lost answer whether the own write took effect.
    pub op: id::Op,
    /// The full document.
    pub document: Arc<Document>,
}

/// An accepted change, kept for the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version it created.
    pub version: u64,
    /// The operation that created the version.
    pub op: id::Op,
    /// Who applied it.
    pub who: Name,
    /// Time of the change, by the clock of the entry VM that accepted it.
    pub at: Time,
    /// The operator's remark.
    pub note: Name,
    /// Difference to the version before; none in answers to operators, and where the order of a list
    /// changed.
    #[serde(default)]
    pub delta: Option<Delta>,
}

/// The step from one version to the next, for entry VMs that have the earlier version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The version after the step.
    pub version: u64,
    /// The operation that created the version.
    pub op: id::Op,
    /// Difference to the version before.
    pub delta: Delta,
}

/// State of this module: the configuration in force at this entry VM, and changes being written.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// The version in force; zero before the first.
    pub version: u64,
    /// The operation that created the version.
    op: Option<id::Op>,
    /// The document in force.
    pub document: Arc<Document>,
    /// Look-up tables over the document in force.
    pub catalog: Catalog,
    /// The highest version that any peer reported as in force.
    highest_known: u64,
    /// The latest steps, oldest first, without gaps and ending at `version`.
    steps: VecDeque<Step>,
    /// Changes that wait for an answer of the table.
    pending: BTreeMap<id::Op, Pending>,
    /// Consecutive reads of the table that failed or found no configuration.
    failed_reads: u32,
    /// Time at which a peer was last asked for newer versions.
    requested_at: Option<Time>,
}

impl Part {
    /// Keeps a step for peers that are behind.
    fn keep(&mut self, step: Step) {
        if self.steps.back().is_some_and(|last| last.version + 1 != step.version) {
            self.steps.clear();
        }
        self.steps.push_back(step);
        while self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }

    /// The steps from `version` to the one in force; none if some of them are no longer kept.
    fn steps_from(&self, version: u64) -> Option<Vec<Step>> {
        let first = self.steps.front()?.version;
        if version == 0 || version + 1 < first || version >= self.version {
            return None;
        }
        Some(self.steps.iter().filter(|step| step.version > version).cloned().collect())
    }
}

/// What a table call about the configuration was for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TableCall {
    /// Read of the head.
    Head,
    /// Read of the changes above the version in force.
    Changes,
    /// Read of the history for an operator's query.
    History(id::Ask),
    /// Write of the change of this operation.
    Write(id::Op),
    /// Read that checks whether the write of this operation took effect, since its answer was lost.
    ReadBack(id::Op),
    /// Removal of old changes.
    Trim,
}

/// Handles the table's answer to a call about the configuration.
pub(crate) fn table_answered(
    state: &mut crate::State,
    now: Time,
    call: &TableCall,
    reply: Result<crate::table::Reply, crate::table::Failure>,
    out: &mut Vec<crate::effect::Effect>,
) {
    match call {
        TableCall::Head | TableCall::Changes => spread::read_answered(state, now, reply, out),
        TableCall::History(ask) => spread::history_answered(state, *ask, reply, out),
        TableCall::Write(op) => accept::write_answered(state, now, *op, reply, out),
        TableCall::ReadBack(op) => accept::read_back_answered(state, now, *op, reply, out),
        TableCall::Trim => {}
    }
}
