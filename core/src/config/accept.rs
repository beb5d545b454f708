//! Acceptance of a change: validation, conditional write, and recovery when the answer is lost.

use std::sync::Arc;

use super::{Audience, Change, Delta, Head, Step, TableCall, spread};
use crate::check;
use crate::code::Code;
use crate::effect::Effect;
use crate::id;
use crate::name::Name;
use crate::operator::{Answer, Applied, Apply, Refusal};
use crate::state::{Purpose, State};
use crate::table::{Call, Failure, Key, Reply, Row, Value, Version, Write};
use crate::time::Time;
use crate::timer::Timer;

/// A change that waits for an answer of the table.
#[derive(Debug)]
pub(crate) struct Pending {
    ask: id::Ask,
    head: Head,
    change: Change,
    /// Time at which the operator is told that the outcome is unknown.
    give_up_at: Time,
    /// Attempts so far to find out whether the write took effect.
    attempts: u32,
}

/// Validates an operator's configuration and writes it to the table, or refuses it.
pub(crate) fn apply(state: &mut State, now: Time, ask: id::Ask, apply: Apply, out: &mut Vec<Effect>) {
    let current = state.config.version;
    if apply.base.is_some_and(|base| base < current) {
        answer_conflict(ask, current, out);
        return;
    }
    let faults = check::validate(&apply.document, &state.config.document, &state.fleet);
    if let Some(code) = check::code(&faults) {
        let reasons = faults.iter().map(|fault| Name::from(fault.to_string())).collect();
        let hint = "correct what is listed and apply again";
        answer_refusal(ask, Refusal { code, reasons, hint: hint.into(), version: Some(current) }, out);
        return;
    }
    let base = apply.base.unwrap_or(current);
    let op = state.next_op();
    let head = Head { version: base + 1, op, document: Arc::new(apply.document) };
    if apply.dry_run {
        answer_accepted(ask, &head, out);
        return;
    }
    let delta = (base == current).then(|| Delta::between(&state.config.document, &head.document)).flatten();
    let change = Change { version: head.version, op, who: apply.who, at: now, note: apply.note, delta };
    let give_up_at = now + state.settings.settle_limit;
    state.config.pending.insert(op, Pending { ask, head, change, give_up_at, attempts: 0 });
    write(state, op, out);
}

fn write(state: &mut State, op: id::Op, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.get(&op) else {
        return;
    };
    let head = Write {
        key: Key::Config,
        expect: Version(pending.head.version - 1),
        value: Some(Value::Config(Box::new(pending.head.clone()))),
    };
    let change = Write {
        key: Key::Change(pending.head.version),
        expect: Version(0),
        value: Some(Value::Change(Box::new(pending.change.clone()))),
    };
    state.call(Call::Commit(vec![head, change]), Purpose::Config(TableCall::Write(op)), out);
}

/// Handles the table's answer to the write of a change.
pub(super) fn write_answered(
    state: &mut State,
    now: Time,
    op: id::Op,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    let first_attempt = state.config.pending.get(&op).is_some_and(|pending| pending.attempts == 0);
    match reply {
        Ok(Reply::Committed) => accept(state, now, op, out),
        Ok(Reply::Conflict(rows)) => match winner(state, op, &rows) {
            // A commit that was delivered twice conflicts with its own first delivery.
            Some(winner) if winner == op => adopt_and_accept(state, now, op, rows, out),
            Some(_) => reject(state, now, op, rows, out),
            None if first_attempt => reject(state, now, op, rows, out),
            None => schedule_settle(state, now, op, out),
        },
        Err(Failure::Unavailable) if first_attempt => reject_unwritten(state, op, out),
        Ok(_) | Err(_) => schedule_settle(state, now, op, out),
    }
}

/// Handles the rows read after the answer to a write was lost.
pub(super) fn read_back_answered(
    state: &mut State,
    now: Time,
    op: id::Op,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    match reply {
        Ok(Reply::Rows(rows)) => resolve(state, now, op, rows, out),
        Ok(_) | Err(_) => schedule_settle(state, now, op, out),
    }
}

/// Reads the rows of a change whose answer was lost, or gives up after the time limit.
pub(crate) fn settle_due(state: &mut State, now: Time, op: id::Op, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.get(&op) else {
        return;
    };
    if now >= pending.give_up_at {
        let refusal = Refusal {
            code: Code::Unsettled,
            reasons: vec![Name::from(format!(
                "operation {op} for version {} may have taken effect; the platform's table did not answer",
                pending.head.version
            ))],
            hint: "look for the operation in the history before applying again".into(),
            version: Some(state.config.version),
        };
        let ask = pending.ask;
        state.config.pending.remove(&op);
        answer_refusal(ask, refusal, out);
        return;
    }
    let keys = vec![Key::Config, Key::Change(pending.head.version)];
    state.call(Call::Get(keys), Purpose::Config(TableCall::ReadBack(op)), out);
}

fn schedule_settle(state: &mut State, now: Time, op: id::Op, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.get_mut(&op) else {
        return;
    };
    pending.attempts += 1;
    if pending.attempts == 1 {
        settle_due(state, now, op, out);
        return;
    }
    let base = state.settings.settle_every;
    let wait = base.mul_f64(0.5 + state.rng.f64());
    state.timers.set(now + wait, Timer::Settle(op));
}

/// Decides from the rows of the table whether a change took effect. While its version is still free, the
/// first write may yet arrive, so it is written again: only one of the two takes effect, and both have
/// the same operation id.
fn resolve(state: &mut State, now: Time, op: id::Op, rows: Vec<Row>, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.get(&op) else {
        return;
    };
    let base = pending.head.version - 1;
    match winner(state, op, &rows) {
        Some(winner) if winner == op => adopt_and_accept(state, now, op, rows, out),
        Some(_) => reject(state, now, op, rows, out),
        None if head_version(&rows) == base => write(state, op, out),
        None => schedule_settle(state, now, op, out),
    }
}

/// The operation that created the version which the change is for, if the rows contain it.
fn winner(state: &State, op: id::Op, rows: &[Row]) -> Option<id::Op> {
    let version = state.config.pending.get(&op)?.head.version;
    rows.iter().find_map(|row| match &row.value {
        Value::Change(change) if change.version == version => Some(change.op),
        Value::Config(head) if head.version == version => Some(head.op),
        _ => None,
    })
}

fn head_version(rows: &[Row]) -> u64 {
    let versions = rows.iter().filter_map(|row| match &row.value {
        Value::Config(head) => Some(head.version),
        _ => None,
    });
    versions.max().unwrap_or(0)
}

fn adopt_and_accept(state: &mut State, now: Time, op: id::Op, rows: Vec<Row>, out: &mut Vec<Effect>) {
    spread::adopt_rows(state, now, rows, out);
    accept(state, now, op, out);
}

fn accept(state: &mut State, now: Time, op: id::Op, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.remove(&op) else {
        return;
    };
    answer_accepted(pending.ask, &pending.head, out);
    let version = pending.head.version;
    match pending.change.delta {
        Some(delta) if state.config.version + 1 == version => {
            spread::adopt_step(state, now, Step { version, op, delta }, out);
        }
        _ => spread::adopt(state, now, &pending.head, out),
    }
    spread::push(state, Audience::All, out);
    trim(state, version, out);
}

/// Removes the row of a change that has become too old. If the removal fails, the row stays in the table,
/// where it does no harm.
fn trim(state: &mut State, version: u64, out: &mut Vec<Effect>) {
    let Some(old) = version.checked_sub(super::HISTORY_KEPT).filter(|old| *old > 0) else {
        return;
    };
    let write = Write { key: Key::Change(old), expect: Version(1), value: None };
    state.call(Call::Each(vec![write]), Purpose::Config(TableCall::Trim), out);
}

fn reject(state: &mut State, now: Time, op: id::Op, rows: Vec<Row>, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.remove(&op) else {
        return;
    };
    spread::adopt_rows(state, now, rows, out);
    spread::push(state, Audience::All, out);
    answer_conflict(pending.ask, state.config.version, out);
}

fn reject_unwritten(state: &mut State, op: id::Op, out: &mut Vec<Effect>) {
    let Some(pending) = state.config.pending.remove(&op) else {
        return;
    };
    let refusal = Refusal {
        code: Code::NotAccepted,
        reasons: vec!["the platform's table could not be reached, so nothing was written".into()],
        hint: "try again once the platform answers".into(),
        version: Some(state.config.version),
    };
    answer_refusal(pending.ask, refusal, out);
}

fn answer_conflict(ask: id::Ask, version: u64, out: &mut Vec<Effect>) {
    let refusal = Refusal {
        code: Code::Conflict,
        reasons: vec![Name::from(format!("version {version} is in force and was accepted first"))],
        hint: "read the version in force and apply to that".into(),
        version: Some(version),
    };
    answer_refusal(ask, refusal, out);
}

fn answer_accepted(ask: id::Ask, head: &Head, out: &mut Vec<Effect>) {
    let answer = Answer::Applied(Applied { version: head.version, op: head.op });
    out.push(Effect::Answer { ask, answer: Box::new(answer) });
}

fn answer_refusal(ask: id::Ask, refusal: Refusal, out: &mut Vec<Effect>) {
    out.push(Effect::Answer { ask, answer: Box::new(Answer::Error(refusal)) });
}
