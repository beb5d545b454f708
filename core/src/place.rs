//! Placement: which engine holds what, planned by the zone's lease holder.

use crate::audit::{self, Act, Cause};
use crate::catalog::Entry;
use crate::effect::Effect;
use crate::engine::{Action, Fence, Order};
use crate::ledger;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// A plan is due.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.plan_every, Timer::Plan);
    let Some(fence) = state.lease.fence(now) else {
        return;
    };
    if state.ledger.read_under != Some(fence) {
        ledger::read(state, fence, out);
        return;
    }
    let missing: Vec<Entry> =
        state.config.catalog.entries.iter().filter(|entry| is_missing(state, entry)).cloned().collect();
    for entry in missing {
        load(state, now, fence, &entry, out);
    }
}

fn is_missing(state: &State, entry: &Entry) -> bool {
    let held = |name: &Name| {
        let report = state.fleet.backends.get(name).and_then(|backend| backend.report.as_ref());
        report.is_some_and(|report| report.copies.iter().any(|copy| copy.artifact == entry.artifact))
    };
    let intended = state.ledger.rows.values().any(|(_, row)| {
        row.intents.iter().any(
            |intent| matches!(&intent.action, Action::Load { artifact, .. } if *artifact == entry.artifact),
        )
    });
    let anywhere = state.fleet.backends.keys().any(held);
    entry.allows(&state.me.zone) && !anywhere && !intended
}

fn load(state: &mut State, now: Time, fence: Fence, entry: &Entry, out: &mut Vec<Effect>) {
    let free = |name: &Name| {
        let report = state.fleet.backends.get(name)?.report.as_ref()?;
        let empty = ledger::Row::default();
        let row = state.ledger.rows.get(name).map_or(&empty, |(_, row)| row);
        report.memory_mb.checked_sub(ledger::reserved(report, row))
    };
    let engine = state
        .fleet
        .backends
        .values()
        .filter(|backend| {
            backend.zone == state.me.zone && backend.group == entry.group && backend.takes_work()
        })
        .filter_map(|backend| Some((free(&backend.name)?, backend.name.clone())))
        .filter(|(free, _)| *free >= entry.memory_mb)
        .max();
    let Some((_, engine)) = engine else {
        return;
    };
    let order = state.next_order();
    let action = Action::Load { artifact: entry.artifact.clone(), memory_mb: entry.memory_mb };
    let act = Act::Load { order, engine: engine.clone(), artifact: entry.artifact.clone() };
    audit::record(state, now, act, Cause::Unreachable, out);
    ledger::intend(state, &engine, Order { id: order, fence, action }, out);
}
