//! Applies rows of the engines' table to the local view of the engines.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::departure::{self, Source};
use crate::effect::Effect;
use crate::engine::{Engine, Entry, Row};
use crate::flow;
use crate::frame;
use crate::ledger;
use crate::pin;
use crate::rate_limit;
use crate::record::Record;
use crate::revision::Revision;
use crate::state::{State, Tombstone};
use crate::timer::Timer;

/// Maximum number of remembered removals. A removal is remembered so that an older row does not bring the engine back.
const TOMBSTONES_MAX: usize = 1_000;

/// The removal of an engine as described by a row.
#[derive(Clone, Copy)]
struct Removal {
    version: Revision,
    /// How much longer the sender of the row waits for the engine to come back.
    grace_left: Option<Duration>,
    source: Source,
}

/// Applies a row from a view of the table that is complete up to `as_of`. Returns whether it changes the state of its engine.
pub(super) fn take(
    state: &mut State,
    now: Time,
    as_of: Time,
    row: Row,
    source: Source,
    out: &mut Vec<Effect>,
) -> bool {
    if state.tombstones.get(&row.id).is_some_and(|tombstone| tombstone.version >= row.version) {
        return false;
    }
    if state.engines.get(&row.id).is_some_and(|engine| engine.version > row.version) {
        return false;
    }
    if state.resurrected.get(&row.id).is_some_and(|resurrected| resurrected.version > row.version) {
        return false;
    }
    state.resurrected.remove(&row.id);
    state.newest_row = state.newest_row.max(row.version);
    if is_in_doubt(state, as_of, &row) {
        state.resurrected.insert(row.id.clone(), row);
        return false;
    }
    let Row { id, version, entry, grace_left } = row;
    match entry {
        Some(entry) => put(state, now, entry, version, source, out),
        None => remove(state, now, &id, Removal { version, grace_left, source }, out),
    }
}

/// Whether an entry is in doubt: a restored copy of the store lists an engine that had been removed before and has neither restarted nor
/// registered since. If the engine is gone, the store removes the entry again after some missed heartbeats.
fn is_in_doubt(state: &State, as_of: Time, row: &Row) -> bool {
    let Some((entry, tombstone)) = row.entry.as_ref().zip(removal(state, &row.id)) else {
        return false;
    };
    let same_start = tombstone.incarnation.is_none_or(|known| entry.incarnation <= known);
    let from_copy =
        tombstone.version.era < row.version.era && !state.era.is_after_first_listing(row.version.version);
    same_start && from_copy && state.era.may_list_removed(as_of, &state.settings)
}

/// Returns the removal of an engine, also if the engine is expected to come back.
fn removal(state: &State, id: &Name) -> Option<Tombstone> {
    let missing = state.engines.get(id).filter(|engine| engine.missing_until.is_some());
    let missing = missing
        .map(|engine| Tombstone { version: engine.version, incarnation: Some(engine.entry.incarnation) });
    missing.or_else(|| state.tombstones.get(id).copied())
}

fn put(
    state: &mut State,
    now: Time,
    entry: Entry,
    version: Revision,
    source: Source,
    out: &mut Vec<Effect>,
) -> bool {
    let id = entry.id.clone();
    let (service, cold_left) = (entry.service.clone(), entry.cold_left);
    // The row may be older than the engine's own announcement, which the store may not have accepted yet, or may have lost.
    let announced_leaving = state.departures.is_leaving(&id, entry.incarnation);
    let evacuated = state.evacuations.is_evacuated(&entry.zone);
    state.tombstones.remove(&id);
    if !state.engines.contains_key(&id) {
        state.engines_digest = state.engines_digest.wrapping_add(frame::engine_id_digest(&id));
    }
    let known = state.engines.get(&id);
    let was_leaving = known.is_some_and(Engine::is_leaving);
    // Whether this row newly shows the engine as leaving, compared with its previous row alone: the others learn of it by rows.
    let newly_departing =
        known.is_some_and(|known| entry.leaving && (!known.entry.leaving || known.missing_until.is_some()));
    let was_missing = known.is_some_and(|known| known.missing_until.is_some());
    let is_new = known.is_none();
    let engine = state.engines.entry(id.clone()).or_insert_with(|| Engine::new(entry.clone(), version, now));
    if entry.incarnation < engine.entry.incarnation {
        // This entry was written late by an earlier start of the engine, or comes from a restored copy of the store.
        engine.version = version;
        return false;
    }
    if entry.incarnation > engine.entry.incarnation {
        engine.restart(now);
        out.push(Effect::Record(Record::Engine {
            engine: id.clone(),
            service: service.clone(),
            state: "restarted",
            version: version.version,
        }));
    }
    if was_missing || engine.entry != entry {
        engine.changed = version;
    }
    let rebuilt = engine.entry.build != entry.build;
    let mut is_new_build = false;
    if is_new || rebuilt {
        is_new_build = state.history.put(now, &service, entry.build.as_ref());
    }
    if rebuilt {
        state.history.remove(now, &engine.entry.service, engine.entry.build.as_ref());
    }
    engine.entry = entry;
    engine.announced_leaving = announced_leaving;
    engine.replaced &= engine.version >= version;
    engine.evacuated = evacuated;
    engine.version = version;
    engine.missing_until = None;
    let is_leaving = engine.is_leaving();
    if newly_departing {
        state.departures.row_departed(&id);
    }
    if is_new_build {
        pin::build_appeared(state, now);
    }
    if rebuilt {
        // Requests that resume a stream were sent there because of its previous build.
        flow::cancel_reservations(state, now, &id, out);
    }
    frame::apply_early_residency(state, &id);
    rate_limit::mark_cold(state, now, &id, cold_left);
    let changed = is_new || was_missing || newly_departing || was_leaving != is_leaving;
    if changed {
        let label = if is_leaving { "leaving" } else { "serving" };
        log_state(state, now, &id, service, label, version, out);
    }
    if is_leaving && !was_leaving {
        departure::record_learned(state, &id, source, version.version, out);
    }
    ledger::registered(state, now, &id, out);
    changed
}

/// Logs a change of an engine's state. Only the holder of the lease does, because the table is the same for all entry VMs.
fn log_state(
    state: &State,
    now: Time,
    engine: &Name,
    service: Name,
    label: &'static str,
    version: Revision,
    out: &mut Vec<Effect>,
) {
    if state.lease.held_term(now).is_some() {
        let (engine, version) = (engine.clone(), version.version);
        out.push(Effect::Record(Record::Engine { engine, service, state: label, version }));
    }
}

/// Handles a removed entry. Around an outage of the store the entries of healthy engines expire too, and are written again soon after. Such
/// engines are kept for a grace period.
fn remove(state: &mut State, now: Time, id: &Name, removal: Removal, out: &mut Vec<Effect>) -> bool {
    let Removal { version, grace_left, source } = removal;
    let grace = state.settings.entry_expiry_grace;
    let store_failed_recently = state.store_failing_since.is_some_and(|at| now.since(at) < grace);
    // The grace period of the process that reads the table for the others takes precedence.
    let wait = grace_left.or(store_failed_recently.then_some(grace));
    let Some(engine) = state.engines.get_mut(id) else {
        // Other entry VMs may still list the engine, or have an entry of it in doubt that they found in a restored copy of the store.
        let incarnation = state.tombstones.get(id).and_then(|tombstone| tombstone.incarnation);
        add_tombstone(state, id, Tombstone { version, incarnation });
        state.departures.row_departed(id);
        return false;
    };
    engine.version = version;
    // The others may have received an entry of it from a restored copy of the store, even if the engine was missing here all along.
    engine.changed = version;
    let service = engine.entry.service.clone();
    if let Some(wait) = wait.filter(|_| !engine.is_leaving()) {
        let newly_missing = engine.missing_until.is_none();
        state.departures.row_departed(id);
        if newly_missing {
            engine.missing_until = Some(now + wait);
            state.timers.set(now + wait, Timer::EntryExpiry(id.clone()));
            log_state(state, now, id, service, "lapsed", version, out);
        }
        return newly_missing;
    }
    let was_leaving = engine.is_leaving();
    remove_engine(state, now, id, version);
    state.departures.row_departed(id);
    log_state(state, now, id, service, "gone", version, out);
    if !was_leaving {
        departure::record_learned(state, id, source, version.version, out);
    }
    true
}

/// Removes an engine whose entry expired around an outage and was not written again within the grace period.
pub(crate) fn entry_expired(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    let Some(engine) = state.engines.get(id) else {
        return;
    };
    if engine.missing_until.is_none_or(|until| until > now) {
        return;
    }
    let (service, version) = (engine.entry.service.clone(), engine.version);
    remove_engine(state, now, id, version);
    log_state(state, now, id, service, "gone", version, out);
}

fn remove_engine(state: &mut State, now: Time, id: &Name, version: Revision) {
    let engine = state.engines.remove(id);
    if let Some(engine) = &engine {
        state.history.remove(now, &engine.entry.service, engine.entry.build.as_ref());
        state.engines_digest = state.engines_digest.wrapping_sub(frame::engine_id_digest(id));
    }
    let incarnation = engine.map(|engine| engine.entry.incarnation);
    state.departures.engine_removed(id);
    state.rate_limits.engine_removed(id);
    add_tombstone(state, id, Tombstone { version, incarnation });
}

/// Remembers a removal, and forgets the oldest one if there are too many.
fn add_tombstone(state: &mut State, id: &Name, tombstone: Tombstone) {
    if state.tombstones.len() >= TOMBSTONES_MAX && !state.tombstones.contains_key(id) {
        let oldest = state.tombstones.iter().min_by_key(|(_, tombstone)| tombstone.version);
        if let Some((oldest, version)) = oldest.map(|(id, tombstone)| (id.clone(), tombstone.version)) {
            state.tombstones.remove(&oldest);
            state.tombstones_since = state.tombstones_since.max(version);
        }
    }
    state.tombstones.insert(id.clone(), tombstone);
}
