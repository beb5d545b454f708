//! The accepted configuration: one version that only grows, for all entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::audit::{self, Act, Cause};
use crate::catalog::Catalog;
use crate::code::Code;
use crate::effect::Effect;
use crate::id;
use crate::inventory::Inventory;
use crate::name::Name;
use crate::operator::{self, Answer, Applied};
use crate::rules::Rules;
use crate::state::{Purpose, State};
use crate::table;
use crate::time::Time;

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
    /// The version in force.
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
    /// Who applied it.
    pub who: Name,
    /// When, by the clock of the entry VM that took it.
    pub at: Time,
    /// The operator's remark.
    pub note: Name,
}

/// The configuration in force at this entry VM.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Its version; zero before the first.
    pub version: u64,
    /// Its document.
    pub document: Arc<Document>,
    /// Its document, arranged for look-up.
    pub catalog: Catalog,
}

/// Steps of reading and writing the configuration that wait for the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// The head was asked for.
    Read,
    /// A change was written for an operator.
    Write {
        /// The operator's question.
        ask: id::Ask,
        /// The head that was written.
        head: Box<Head>,
    },
}

/// Asks for the configuration's head.
pub(crate) fn read(state: &mut State, out: &mut Vec<Effect>) {
    state.call(table::Call::Get(vec![table::Key::Config]), Purpose::Config(Step::Read), out);
}

/// Takes a head over if it is newer than the one in force.
pub(crate) fn adopt(state: &mut State, now: Time, head: &Head, out: &mut Vec<Effect>) {
    if head.version <= state.config.version {
        return;
    }
    let first = state.config.version == 0;
    state.config.version = head.version;
    state.config.document = Arc::clone(&head.document);
    state.config.catalog = Catalog::new(&head.document);
    audit::record(state, now, Act::Configured(head.version), Cause::Operator, out);
    if first && !state.drain.leaving() {
        out.push(Effect::Ready(true));
    }
    crate::index::configured(state, now, out);
}

/// Accepts an operator's configuration, if nothing speaks against it.
pub(crate) fn apply(state: &mut State, ask: id::Ask, apply: operator::Apply, out: &mut Vec<Effect>) {
    let current = state.config.version;
    if apply.base.is_some_and(|base| base != current) {
        refuse(state, ask, Code::Conflict, "read the version in force and apply to that", out);
        return;
    }
    let op = state.next_op();
    let head = Head { version: current + 1, op, document: Arc::new(apply.document) };
    if apply.dry_run {
        let answer = Answer::Applied(Applied { version: head.version, op });
        out.push(Effect::Answer { ask, answer: Box::new(answer) });
        return;
    }
    let write = table::Write {
        key: table::Key::Config,
        expect: table::Version(current),
        value: Some(table::Value::Config(Box::new(head.clone()))),
    };
    let purpose = Purpose::Config(Step::Write { ask, head: Box::new(head) });
    state.call_as(op, table::Call::Commit(vec![write]), purpose, out);
}

/// The table answered about the configuration.
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    step: Step,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    match (step, reply) {
        (Step::Read, Ok(table::Reply::Rows(rows))) => {
            for row in rows {
                if let table::Value::Config(head) = row.value {
                    adopt(state, now, &head, out);
                }
            }
        }
        (Step::Read, _) => {}
        (Step::Write { ask, head }, Ok(table::Reply::Committed)) => {
            let answer = Answer::Applied(Applied { version: head.version, op: head.op });
            adopt(state, now, &head, out);
            out.push(Effect::Answer { ask, answer: Box::new(answer) });
        }
        (Step::Write { ask, .. }, Ok(_)) => {
            refuse(state, ask, Code::Conflict, "read the version in force and apply to that", out);
        }
        (Step::Write { ask, .. }, Err(table::Failure::Unavailable)) => {
            refuse(state, ask, Code::NotAccepted, "try again once the platform answers", out);
        }
        (Step::Write { ask, .. }, Err(table::Failure::Unknown)) => {
            refuse(state, ask, Code::Unsettled, "look at the history before trying again", out);
        }
    }
}

fn refuse(state: &State, ask: id::Ask, code: Code, hint: &str, out: &mut Vec<Effect>) {
    let refusal = operator::Refusal {
        code,
        reasons: Vec::new(),
        hint: hint.into(),
        version: Some(state.config.version),
    };
    out.push(Effect::Answer { ask, answer: Box::new(Answer::Error(refusal)) });
}
