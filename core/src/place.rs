//! Placement: which engine holds what, planned by the zone's lease holder.

use std::collections::BTreeMap;

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::catalog::Entry;
use crate::effect::Effect;
use crate::engine::{Action, Fence};
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
    ledger::tick(state, now, out);
    let missing: Vec<Entry> =
        state.config.catalog.entries.iter().filter(|entry| is_missing(state, entry)).cloned().collect();
    let mut orders: BTreeMap<Name, Vec<(Action, Cause)>> = BTreeMap::new();
    for entry in missing {
        let engine = state
            .fleet
            .backends
            .values()
            .filter(|backend| {
                backend.zone == state.me.zone && backend.group == entry.group && backend.takes_work()
            })
            .filter(|backend| !orders.contains_key(&backend.name))
            .filter_map(|backend| {
                Some((free(state, fence, &backend.name, &entry.artifact)?, backend.name.clone()))
            })
            .filter(|(free, _)| *free >= entry.memory_mb)
            .max();
        if let Some((_, engine)) = engine {
            let action = Action::Load { artifact: entry.artifact.clone(), memory_mb: entry.memory_mb };
            orders.insert(engine, vec![(action, Cause::Unreachable)]);
        }
    }
    ledger::intend(state, fence, orders, out);
}

fn is_missing(state: &State, entry: &Entry) -> bool {
    let present = |backend: &crate::fleet::Backend| {
        let held = backend
            .report
            .as_ref()
            .is_some_and(|report| report.copies.iter().any(|copy| copy.artifact == entry.artifact));
        let coming = state.ledger.may_load(&backend.name, &entry.artifact);
        (held && !state.ledger.may_drop(&backend.name, &entry.artifact)) || coming
    };
    entry.allows(&state.me.zone) && !state.fleet.backends.values().any(present)
}

fn free(state: &State, fence: Fence, name: &Name, artifact: &Artifact) -> Option<u64> {
    let report = state.fleet.backends.get(name)?.report.as_ref()?;
    if !state.ledger.is_ready(report, fence) || state.ledger.room(name) == 0 {
        return None;
    }
    Some(state.ledger.free_for(report, artifact, state.me.incarnation))
}
