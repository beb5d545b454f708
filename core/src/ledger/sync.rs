//! Synchronizes a lease holder with the engines of its zone: claims their rows, sends barriers and cancels
//! orders whose outcome is not known.

use crate::audit::{self, Cause, Decision};
use crate::effect::Effect;
use crate::engine::{Action, Fence, Order, Report};
use crate::id;
use crate::inventory::Kind;
use crate::name::Name;
use crate::state::State;
use crate::table;
use crate::time::Time;

use super::{Pending, Row, Sync, writer};

/// Reads or claims the ledgers of the zone and sends due barriers and cancellations, if this process holds
/// the lease.
pub(crate) fn tick(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let Some(fence) = state.lease.fence(now) else {
        return;
    };
    if state.ledger.read_under != Some(fence) {
        writer::read(state, fence, out);
        return;
    }
    writer::read_back(state, out);
    claim(state, fence, out);
    for engine in engines(state) {
        let report = state.fleet.backends.get(&engine).and_then(|backend| backend.report.clone());
        if let Some(report) = report {
            update_barrier(state, &report, fence);
            send_due(state, now, &engine, fence, out);
        }
    }
}

/// Returns the engines of this zone.
fn engines(state: &State) -> Vec<Name> {
    let is_engine =
        |group: &Name| state.config.catalog.groups.get(group).is_some_and(|group| group.kind == Kind::Engine);
    let backends = state.fleet.backends.values();
    backends
        .filter(|backend| backend.zone == state.me.zone && is_engine(&backend.group))
        .map(|backend| backend.name.clone())
        .collect()
}

/// Writes this holder's fence into every row that has a lower one, so that an earlier holder can record no more
/// orders.
fn claim(state: &mut State, fence: Fence, out: &mut Vec<Effect>) {
    let mut due = Vec::new();
    for engine in engines(state) {
        let tracker = state.ledger.trackers.entry(engine.clone()).or_default();
        let known = state.ledger.rows.get(&engine).cloned();
        let superseded = known.as_ref().is_some_and(|(_, row)| row.fence > fence);
        if tracker.claimed || tracker.pending.is_some() || superseded {
            continue;
        }
        let (expected, row) = known.unwrap_or((table::Version(0), Row::default()));
        let row = Row { fence, ..row };
        tracker.pending = Some(Pending { row, expected, orders: Vec::new(), lost: false });
        due.push(engine);
    }
    writer::write(state, due, out);
}

/// Starts a new barrier if a report shows another incarnation of the engine, or if the fence is new. For
/// another incarnation the row is switched to it and the orders meant for it are to be cancelled.
fn update_barrier(state: &mut State, report: &Report, fence: Fence) {
    let claimed = state.ledger.trackers.get(&report.engine).is_some_and(|tracker| tracker.claimed);
    if !claimed || state.ledger.read_under != Some(fence) {
        return;
    }
    let barrier = state.next_order();
    let Some(tracker) = state.ledger.trackers.get_mut(&report.engine) else {
        return;
    };
    let Some((_, row)) = state.ledger.rows.get_mut(&report.engine) else {
        return;
    };
    let same_incarnation = row.incarnation == report.incarnation;
    let known = tracker
        .sync
        .as_ref()
        .is_some_and(|sync| sync.incarnation == report.incarnation && sync.fence == fence);
    if known && same_incarnation {
        return;
    }
    tracker.sync = Some(Sync { incarnation: report.incarnation, fence, barrier, done: false });
    if !same_incarnation {
        row.restart(report.incarnation);
        tracker.dirty = true;
        tracker.to_cancel = row.open_intents().map(|intent| (intent.order, false)).collect();
    }
}

/// Sends the barrier and the cancelling orders that an engine has not yet reported as ended.
fn send_due(state: &mut State, now: Time, engine: &Name, fence: Fence, out: &mut Vec<Effect>) {
    let checks_fences = checks_fences(state, engine);
    let Some(tracker) = state.ledger.trackers.get_mut(engine).filter(|tracker| tracker.claimed) else {
        return;
    };
    let Some(sync) = tracker.sync.clone() else {
        return;
    };
    let Some((_, row)) = state.ledger.rows.get(engine) else {
        return;
    };
    let meant_for = row.incarnation;
    let mut due = Vec::new();
    if !sync.done {
        due.push(sync.barrier);
    }
    let mut newly_cancelled = Vec::new();
    for intent in row.open_intents() {
        let Some(cancelled) = tracker.to_cancel.get_mut(&intent.order) else {
            continue;
        };
        // Where fences are checked, the barrier alone makes the engine refuse an earlier holder's orders.
        if checks_fences && intent.fence < fence {
            continue;
        }
        if !*cancelled {
            newly_cancelled.push(intent.order);
        }
        *cancelled = true;
        due.push(intent.order);
    }
    for order in newly_cancelled {
        let act = Decision::Cancel { order, engine: engine.clone() };
        audit::record(state, now, act, Cause::Lost, out);
    }
    for id in due {
        writer::dispatch(state, engine, Order { id, fence, meant_for, action: Action::Raise }, out);
    }
}

fn checks_fences(state: &State, engine: &Name) -> bool {
    let group = state.fleet.backends.get(engine).map(|backend| &backend.group);
    group.and_then(|group| state.config.catalog.groups.get(group)).is_some_and(|group| group.checks_fences)
}

/// Handles an engine's report: checks whether it was made after this holder's barrier.
pub(super) fn report_received(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    let Some(fence) = state.lease.fence(now) else {
        return;
    };
    let checks_fences = checks_fences(state, &report.engine);
    if let Some(tracker) = state.ledger.trackers.get_mut(&report.engine) {
        tracker.sent_since_report = 0;
    }
    let before = barrier_of(state, &report.engine);
    update_barrier(state, report, fence);
    if before != barrier_of(state, &report.engine) {
        send_due(state, now, &report.engine, fence, out);
    }
    let Some(tracker) = state.ledger.trackers.get_mut(&report.engine) else {
        return;
    };
    let Some(sync) =
        tracker.sync.as_mut().filter(|sync| !sync.done && sync.incarnation == report.incarnation)
    else {
        return;
    };
    let ended = report.ended.iter().any(|ended| ended.order == sync.barrier);
    let fence_raised = checks_fences && report.fence >= sync.fence;
    if !ended && !fence_raised {
        return;
    }
    sync.done = true;
    if checks_fences {
        remove_older_orders(state, &report.engine, fence);
    }
}

fn barrier_of(state: &State, engine: &str) -> Option<id::Order> {
    state.ledger.trackers.get(engine).and_then(|tracker| tracker.sync.as_ref()).map(|sync| sync.barrier)
}

/// Removes the orders of earlier holders at an engine that refuses them from now on.
fn remove_older_orders(state: &mut State, engine: &Name, fence: Fence) {
    let Some((_, row)) = state.ledger.rows.get(engine) else {
        return;
    };
    let older: Vec<id::Order> =
        row.intents.iter().filter(|intent| intent.fence < fence).map(|intent| intent.order).collect();
    super::remove_orders(state, engine, &older);
}
