//! The ledger of an engine's memory: what is resident and what any order may still bring about.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::effect::Effect;
use crate::engine::{Action, Fence, Order, Receipt, Report};
use crate::id;
use crate::name::Name;
use crate::state::{Purpose, State};
use crate::table;

/// An engine's ledger as it stands in the table. Only orders recorded here are ever sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The fence of the holder that wrote it last; a holder with a lower one may not write.
    pub fence: Fence,
    /// The engine's incarnation the intents were made for.
    pub incarnation: id::Incarnation,
    /// Orders that may still take effect, oldest first.
    pub intents: Vec<Intent>,
}

/// An order recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's id.
    pub order: id::Order,
    /// The fence it was made under.
    pub fence: Fence,
    /// What it asks for.
    pub action: Action,
}

/// The ledgers of this zone's engines, as the lease holder knows them.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Rows with their versions, by engine; absent before they are read.
    pub rows: BTreeMap<Name, (table::Version, Row)>,
    /// The fence under which they were read; older knowledge does not count.
    pub read_under: Option<Fence>,
}

/// Steps that wait for the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// All rows of the zone were asked for.
    Read(Fence),
    /// A row was written.
    Write {
        /// The engine.
        engine: Name,
        /// What was written.
        row: Row,
        /// The version it was written over.
        over: table::Version,
        /// The order to send once the write took effect.
        then: Option<Order>,
    },
}

/// Asks for the rows of this zone.
pub(crate) fn read(state: &mut State, fence: Fence, out: &mut Vec<Effect>) {
    let call = table::Call::List(table::Prefix::Ledgers(state.me.zone.clone()));
    state.call(call, Purpose::Ledger(Step::Read(fence)), out);
}

/// Memory that is taken or may still be taken at an engine, in MB.
pub(crate) fn reserved(report: &Report, row: &Row) -> u64 {
    let held: u64 = report.copies.iter().map(|copy| copy.memory_mb).sum();
    let coming: u64 = row
        .intents
        .iter()
        .filter_map(|intent| match &intent.action {
            Action::Load { artifact, memory_mb } if !holds(report, artifact) => Some(*memory_mb),
            _ => None,
        })
        .sum();
    held + coming
}

fn holds(report: &Report, artifact: &Artifact) -> bool {
    report.copies.iter().any(|copy| copy.artifact == *artifact)
}

/// Records an order before it is sent.
pub(crate) fn intend(state: &mut State, engine: &Name, order: Order, out: &mut Vec<Effect>) {
    let (over, mut row) = state.ledger.rows.remove(engine).unwrap_or_default();
    row.fence = order.fence;
    row.intents.push(Intent { order: order.id, fence: order.fence, action: order.action.clone() });
    write(state, engine, over, row, Some(order), out);
}

fn write(
    state: &mut State,
    engine: &Name,
    over: table::Version,
    row: Row,
    then: Option<Order>,
    out: &mut Vec<Effect>,
) {
    let write = table::Write {
        key: table::Key::Ledger { zone: state.me.zone.clone(), engine: engine.clone() },
        expect: over,
        value: Some(table::Value::Ledger(row.clone())),
    };
    let step = Step::Write { engine: engine.clone(), row, over, then };
    state.call(table::Call::Commit(vec![write]), Purpose::Ledger(step), out);
}

/// The table answered about a ledger.
pub(crate) fn answered(
    state: &mut State,
    step: Step,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    match (step, reply) {
        (Step::Read(fence), Ok(table::Reply::Rows(rows))) => {
            state.ledger.rows.clear();
            state.ledger.read_under = Some(fence);
            for row in rows {
                if let (table::Key::Ledger { engine, .. }, table::Value::Ledger(value)) = (row.key, row.value)
                {
                    state.ledger.rows.insert(engine, (row.version, value));
                }
            }
        }
        (Step::Write { engine, row, over, then }, Ok(table::Reply::Committed)) => {
            state.ledger.rows.insert(engine.clone(), (table::Version(over.0 + 1), row));
            if let Some(order) = then {
                send(state, &engine, order, out);
            }
        }
        (Step::Write { .. }, _) => state.ledger.read_under = None,
        (Step::Read(_), _) => {}
    }
}

fn send(state: &mut State, engine: &Name, order: Order, out: &mut Vec<Effect>) {
    let Some(backend) = state.fleet.backends.get(engine) else {
        return;
    };
    state.counters.orders += 1;
    out.push(Effect::Order { engine: engine.clone(), address: backend.address, order: Box::new(order) });
}

/// An engine answered an order: a refused one can have no effect any more.
pub(crate) fn ordered(
    state: &mut State,
    order: id::Order,
    engine: &Name,
    receipt: Option<&Receipt>,
    out: &mut Vec<Effect>,
) {
    match receipt {
        Some(Receipt::Stale { .. } | Receipt::Full { .. } | Receipt::Busy | Receipt::Invalid) => {
            consume(state, engine, &[order], out);
        }
        Some(Receipt::Taken) | None => {}
    }
}

/// Strikes the orders that a report shows to have ended.
pub(crate) fn reported(state: &mut State, report: &Report, out: &mut Vec<Effect>) {
    let ended: Vec<id::Order> = report.ended.iter().map(|ended| ended.order).collect();
    consume(state, &report.engine, &ended, out);
}

fn consume(state: &mut State, engine: &Name, orders: &[id::Order], out: &mut Vec<Effect>) {
    let Some((_, row)) = state.ledger.rows.get(engine) else {
        return;
    };
    if !row.intents.iter().any(|intent| orders.contains(&intent.order)) {
        return;
    }
    let Some((over, mut row)) = state.ledger.rows.remove(engine) else {
        return;
    };
    row.intents.retain(|intent| !orders.contains(&intent.order));
    write(state, engine, over, row, None, out);
}
