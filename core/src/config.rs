//! The accepted configuration: one version that only grows, for all entry VMs.
//!
//! The version in force is that of the row [`crate::table::Key::Config`], which each accepted change
//! writes anew on the condition that it still has the version that the change was made over.

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

pub(crate) use accept::{Pending, apply, settle};
pub use delta::{Delta, Patch};
pub(crate) use spread::{Reach, adopt, answer_want, heard_steps, heard_version, history, poll, push};

/// Steps that are kept for peers that are a little behind.
const STEPS_KEPT: usize = 64;
/// Changes that an operator is shown at most.
pub(crate) const HISTORY_MAX: u64 = 100;
/// Changes that stay in the table; older rows are removed.
pub(crate) const HISTORY_KEPT: u64 = 1_024;

/// What operators declared: the inventory and the rules on top of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// What exists.
    pub inventory: Inventory,
    /// What holds for it.
    pub rules: Rules,
}

/// The head of the configuration in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The version in force; also the version of the row.
    pub version: u64,
    /// The operation that brought it, to settle a lost answer.
    pub op: id::Op,
    /// The whole document.
    pub document: Arc<Document>,
}

/// One accepted change, kept for the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version it brought.
    pub version: u64,
    /// The operation that brought it.
    pub op: id::Op,
    /// Who applied it.
    pub who: Name,
    /// When, by the clock of the entry VM that took it.
    pub at: Time,
    /// The operator's remark.
    pub note: Name,
    /// What it changed in the version before; none in answers to operators, and where the order of a
    /// list changed.
    #[serde(default)]
    pub delta: Option<Delta>,
}

/// One step from a version to the next, for entry VMs that have the version before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The version it leads to.
    pub version: u64,
    /// The operation that brought it.
    pub op: id::Op,
    /// What changes.
    pub delta: Delta,
}

/// The configuration in force at this entry VM, and changes under way.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Its version; zero before the first.
    pub version: u64,
    /// The operation that brought it.
    op: Option<id::Op>,
    /// Its document.
    pub document: Arc<Document>,
    /// Its document, arranged for look-up.
    pub catalog: Catalog,
    /// The highest version that any peer has said to have in force.
    known: u64,
    /// The latest steps, oldest first, without a gap up to `version`.
    steps: VecDeque<Step>,
    /// Changes that wait for the table.
    pending: BTreeMap<id::Op, Pending>,
    /// Reads of the table in a row that brought nothing.
    misses: u32,
    /// When a peer was last asked for what is missing.
    wanted: Option<Time>,
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

    /// The steps that lead from `version` to the one in force, if all are at hand.
    fn steps_from(&self, version: u64) -> Option<Vec<Step>> {
        let first = self.steps.front()?.version;
        if version == 0 || version + 1 < first || version >= self.version {
            return None;
        }
        Some(self.steps.iter().filter(|step| step.version > version).cloned().collect())
    }
}

/// What a call of the table about the configuration was for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Wait {
    /// The head was asked for.
    Head,
    /// The changes since the version in force were asked for.
    Changes,
    /// The history was asked for by an operator.
    History(id::Ask),
    /// A change was written; its operation.
    Write(id::Op),
    /// The rows of a change whose answer was lost were read back; its operation.
    ReadBack(id::Op),
    /// Rows of old changes were removed.
    Trim,
}

/// The table answered about the configuration.
pub(crate) fn answered(
    state: &mut crate::State,
    now: Time,
    wait: &Wait,
    reply: Result<crate::table::Reply, crate::table::Failure>,
    out: &mut Vec<crate::effect::Effect>,
) {
    match wait {
        Wait::Head | Wait::Changes => spread::answered(state, now, reply, out),
        Wait::History(ask) => spread::history_answered(state, *ask, reply, out),
        Wait::Write(op) => accept::written(state, now, *op, reply, out),
        Wait::ReadBack(op) => accept::read_back(state, now, *op, reply, out),
        Wait::Trim => {}
    }
}
