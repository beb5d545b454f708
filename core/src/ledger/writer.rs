//! Writes ledger rows to the table, and resolves writes whose answers were lost.

use std::collections::BTreeMap;

use crate::audit::{self, Cause, Decision};
use crate::effect::Effect;
use crate::engine::{Action, Fence, Order};
use crate::name::Name;
use crate::state::{Purpose, State};
use crate::table::{self, Done};
use crate::time::Time;

use super::{Intent, Pending, Row, Tracker};

/// Calls of the table about ledgers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Reads all rows of the zone, under this fence of the lease.
    Read(Fence),
    /// Writes the rows of these engines.
    Write(Vec<Name>),
    /// Reads the rows of these engines, since the answer to a write was lost.
    Check(Vec<Name>),
}

fn key(state: &State, engine: &Name) -> table::Key {
    table::Key::Ledger { zone: state.me.zone.clone(), engine: engine.clone() }
}

/// Reads all rows of this zone.
pub(super) fn read(state: &mut State, fence: Fence, out: &mut Vec<Effect>) {
    if state.ledger.reading {
        return;
    }
    state.ledger.reading = true;
    let call = table::Call::List(table::Prefix::Ledgers(state.me.zone.clone()));
    state.call(call, Purpose::Ledger(Step::Read(fence)), out);
}

/// Records orders before they are sent, for all engines in one call of the table. Rows that have changed here
/// are written too.
pub(crate) fn record(
    state: &mut State,
    fence: Fence,
    mut orders: BTreeMap<Name, Vec<(Action, Cause)>>,
    out: &mut Vec<Effect>,
) {
    for (engine, tracker) in &state.ledger.trackers {
        if tracker.dirty && tracker.claimed {
            orders.entry(engine.clone()).or_default();
        }
    }
    let mut due = Vec::new();
    for (engine, actions) in orders {
        let Some((expected, mut row)) = state.ledger.rows.get(&engine).cloned() else {
            continue;
        };
        let meant_for = row.incarnation;
        let made: Vec<(Order, Cause)> = actions
            .into_iter()
            .map(|(action, cause)| (Order { id: state.next_order(), fence, meant_for, action }, cause))
            .collect();
        let Some(tracker) =
            state.ledger.trackers.get_mut(&engine).filter(|tracker| tracker.pending.is_none())
        else {
            continue;
        };
        row.fence = fence;
        row.intents.extend(made.iter().map(|(order, _)| intent(order)));
        tracker.dirty = false;
        tracker.pending = Some(Pending { row, expected, orders: made, lost: false });
        due.push(engine);
    }
    write(state, due, out);
}

fn intent(order: &Order) -> Intent {
    Intent { order: order.id, fence: order.fence, meant_for: order.meant_for, action: order.action.clone() }
}

/// Sends a load without recording it, while the table cannot be reached. This is safe only at an engine that
/// checks fences: the next holder raises the fence there and plans from a report made after that.
pub(crate) fn send_unrecorded(
    state: &mut State,
    now: Time,
    engine: &Name,
    fence: Fence,
    action: Action,
    cause: Cause,
    out: &mut Vec<Effect>,
) {
    let id = state.next_order();
    let Some((_, row)) = state.ledger.rows.get_mut(engine) else {
        return;
    };
    let order = Order { id, fence, meant_for: row.incarnation, action };
    row.intents.push(intent(&order));
    if let Some(tracker) = state.ledger.trackers.get_mut(engine) {
        tracker.dirty = true;
    }
    send(state, now, engine, order, cause, out);
}

/// Writes the pending rows of these engines in one call of the table.
pub(super) fn write(state: &mut State, engines: Vec<Name>, out: &mut Vec<Effect>) {
    if engines.is_empty() {
        return;
    }
    let mut writes = Vec::new();
    for engine in &engines {
        let Some(pending) = state.ledger.trackers.get(engine).and_then(|tracker| tracker.pending.as_ref())
        else {
            continue;
        };
        writes.push(table::Write {
            key: key(state, engine),
            expect: pending.expected,
            value: Some(table::Value::Ledger(pending.row.clone())),
        });
    }
    state.call(table::Call::Each(writes), Purpose::Ledger(Step::Write(engines)), out);
}

/// Reads the rows whose writes were not answered.
pub(super) fn read_back(state: &mut State, out: &mut Vec<Effect>) {
    let lost = |tracker: &Tracker| tracker.pending.as_ref().is_some_and(|pending| pending.lost);
    let engines: Vec<Name> = state
        .ledger
        .trackers
        .iter()
        .filter(|(_, tracker)| lost(tracker))
        .map(|(engine, _)| engine.clone())
        .collect();
    if engines.is_empty() {
        return;
    }
    let keys = engines.iter().map(|engine| key(state, engine)).collect();
    state.call(table::Call::Get(keys), Purpose::Ledger(Step::Check(engines)), out);
}

/// Handles the table's answer to a call about ledgers.
pub(crate) fn table_answered(
    state: &mut State,
    now: Time,
    step: Step,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    match (step, reply) {
        (Step::Read(fence), Ok(table::Reply::Rows(rows))) => {
            state.ledger.reading = false;
            adopt_all(state, fence, rows);
            super::sync::tick(state, now, out);
        }
        (Step::Read(_), _) => state.ledger.reading = false,
        (Step::Write(engines), Ok(table::Reply::Each(done))) => {
            for (engine, done) in engines.iter().zip(done) {
                match done {
                    Done::Written => committed(state, now, engine, out),
                    Done::Kept(row) => resolve(state, now, engine, row, out),
                }
            }
            mark_lost(state, &engines);
        }
        (Step::Write(engines), Err(table::Failure::Unavailable)) => {
            for engine in &engines {
                drop_pending(state, engine);
            }
        }
        (Step::Write(engines), _) => mark_lost(state, &engines),
        (Step::Check(engines), Ok(table::Reply::Rows(rows))) => {
            for engine in &engines {
                let row = rows.iter().find(|row| row.key == key(state, engine)).cloned();
                resolve(state, now, engine, row, out);
            }
            rewrite(state, &engines, out);
        }
        (Step::Check(_), _) => {}
    }
}

/// Marks the writes that are still pending as lost, so that the next tick reads their rows.
fn mark_lost(state: &mut State, engines: &[Name]) {
    for engine in engines {
        let tracker = state.ledger.trackers.get_mut(engine);
        if let Some(pending) = tracker.and_then(|tracker| tracker.pending.as_mut()) {
            pending.lost = true;
        }
    }
}

/// Drops a write that certainly had no effect. Its orders were not recorded, so they are not sent.
fn drop_pending(state: &mut State, engine: &Name) {
    if let Some(tracker) = state.ledger.trackers.get_mut(engine) {
        tracker.pending = None;
        tracker.dirty = tracker.claimed;
        tracker.ended_meanwhile.clear();
    }
}

/// Replaces all ledgers by the rows that this process read as the new lease holder.
fn adopt_all(state: &mut State, fence: Fence, rows: Vec<table::Row>) {
    state.ledger.rows.clear();
    for tracker in state.ledger.trackers.values_mut() {
        *tracker = Tracker::default();
    }
    state.ledger.read_under = Some(fence);
    for row in rows {
        if let (table::Key::Ledger { engine, .. }, table::Value::Ledger(value)) = (row.key, row.value) {
            adopt(state, &engine, row.version, value);
        }
    }
}

/// Adopts a row that another holder wrote. None of its orders is known to have ended, so all are to be
/// cancelled.
fn adopt(state: &mut State, engine: &Name, version: table::Version, row: Row) {
    let unresolved = row.intents.iter().map(|intent| (intent.order, false)).collect();
    let sync = state.ledger.trackers.remove(engine).and_then(|tracker| tracker.sync);
    let tracker = Tracker { sync, to_cancel: unresolved, ..Tracker::default() };
    state.ledger.trackers.insert(engine.clone(), tracker);
    state.ledger.rows.insert(engine.clone(), (version, row));
}

/// Applies a write that took effect, and sends the orders that it recorded if this process still holds the
/// lease.
fn committed(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(tracker) = state.ledger.trackers.get_mut(engine) else {
        return;
    };
    let Some(Pending { mut row, expected, orders, .. }) = tracker.pending.take() else {
        return;
    };
    let planned_for = row.incarnation;
    let current = state.ledger.rows.get(engine).map_or(planned_for, |(_, known)| known.incarnation);
    if current != planned_for {
        row.restart(current);
        tracker.dirty = true;
    }
    for order in std::mem::take(&mut tracker.ended_meanwhile) {
        tracker.dirty |= row.remove(order);
    }
    tracker.claimed = state.ledger.read_under == Some(row.fence);
    let same_incarnation = planned_for == row.incarnation;
    state.ledger.rows.insert(engine.clone(), (table::Version(expected.0 + 1), row));
    for (order, cause) in orders {
        let lease_held = state.lease.fence(now) == Some(order.fence);
        if lease_held && same_incarnation {
            send(state, now, engine, order, cause, out);
        } else if let Some(tracker) = state.ledger.trackers.get_mut(engine) {
            tracker.to_cancel.insert(order.id, false);
        }
    }
}

/// Decides by the row in the table whether a pending write took effect.
fn resolve(state: &mut State, now: Time, engine: &Name, found: Option<table::Row>, out: &mut Vec<Effect>) {
    let Some(pending) = state.ledger.trackers.get(engine).and_then(|tracker| tracker.pending.clone()) else {
        return;
    };
    let (version, row) = match found {
        Some(table::Row { version, value: table::Value::Ledger(row), .. }) => (version, Some(row)),
        _ => (table::Version(0), None),
    };
    if version == pending.expected {
        // The lost write may still reach the table. `rewrite` writes the same row over the same version again,
        // and whichever of the two comes first takes effect.
        return;
    }
    if version.0 == pending.expected.0 + 1 && row.as_ref() == Some(&pending.row) {
        committed(state, now, engine, out);
        return;
    }
    if let Some(row) = row {
        let superseded = state.ledger.read_under.is_none_or(|fence| row.fence > fence);
        adopt(state, engine, version, row);
        if superseded {
            state.ledger.read_under = None;
        }
    }
}

/// Repeats the writes that are still pending after their rows were read.
fn rewrite(state: &mut State, engines: &[Name], out: &mut Vec<Effect>) {
    let mut due = Vec::new();
    for engine in engines {
        let tracker = state.ledger.trackers.get_mut(engine);
        if let Some(pending) = tracker.and_then(|tracker| tracker.pending.as_mut()) {
            pending.lost = false;
            due.push(engine.clone());
        }
    }
    write(state, due, out);
}

fn send(state: &mut State, now: Time, engine: &Name, order: Order, cause: Cause, out: &mut Vec<Effect>) {
    let (id, engine_name) = (order.id, engine.clone());
    let act = match &order.action {
        Action::Load { artifact, .. } => {
            Some(Decision::Load { order: id, engine: engine_name, artifact: artifact.clone() })
        }
        Action::Unload { artifact } => {
            Some(Decision::Unload { order: id, engine: engine_name, artifact: artifact.clone() })
        }
        Action::Role { role } => Some(Decision::Role { order: id, engine: engine_name, role: *role }),
        Action::Raise => None,
    };
    if let Some(act) = act {
        audit::record(state, now, act, cause, out);
    }
    dispatch(state, engine, order, out);
}

/// Sends an order to its engine. If the engine is not known, the order is to be cancelled later.
pub(super) fn dispatch(state: &mut State, engine: &Name, order: Order, out: &mut Vec<Effect>) {
    let Some(tracker) = state.ledger.trackers.get_mut(engine) else {
        return;
    };
    let Some(backend) = state.fleet.backends.get(engine) else {
        tracker.to_cancel.insert(order.id, false);
        return;
    };
    tracker.sent_since_report += 1;
    state.counters.orders += 1;
    out.push(Effect::Order { engine: engine.clone(), address: backend.address, order: Box::new(order) });
}
