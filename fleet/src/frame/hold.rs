//! Replies of the hub that are held back for a moment: those to frames whose callers wait for an adapter that is
//! being loaded.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::Frame;
use crate::adapter;
use crate::demand::Target;
use crate::state::State;

/// Whether an adapter that callers of this frame wait for is being loaded, and no engine has it ready yet.
pub(crate) fn awaits_adapter(state: &State, now: Time, frame: &Frame) -> bool {
    if state.lease.ordering_term(now).is_none() {
        return false;
    }
    awaited_adapters(frame).any(|target| {
        let serves = |engine| serves(state, now, engine, target);
        adapter::is_placed_or_loading(state, now, target) && !state.engines.keys().any(serves)
    })
}

/// Whether an engine can now serve something that callers of this frame wait for.
pub(crate) fn serves_waiting(state: &State, now: Time, engine: &Name, frame: &Frame) -> bool {
    awaited_adapters(frame).any(|target| serves(state, now, engine, target))
}

/// The adapters that callers of this frame wait for.
fn awaited_adapters(frame: &Frame) -> impl Iterator<Item = &Target> {
    let waiting = frame.demand.iter().filter(|demand| demand.waiting > 0);
    waiting.map(|demand| &demand.target).filter(|target| target.adapter.is_some())
}

fn serves(state: &State, now: Time, engine: &Name, target: &Target) -> bool {
    let engine = state.engines.get(engine).filter(|engine| engine.entry.service == target.service);
    engine.is_some_and(|engine| engine.serves(&target.model, target.adapter.as_deref(), now))
}
