//! Cold starts: for some time after a start, an engine can take only a few requests per second.
//!
//! An engine known to be cold is treated as rate-limited. An engine may also be cold before anyone knows.
//! Where a service has a cold-start rate, the owner of an engine's schedule therefore never grants more in
//! any second than a cold engine can take.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Access, Limit, PENALTY_MAX_MS, Spacing, interval};
use crate::config::Warmup;
use crate::engine::{Cold, Engine};
use crate::state::State;
use crate::timer::Timer;

/// Part of the cold-start rate that an engine gets while it is not known to be cold. Some requests arrive
/// closer together than they were sent.
const SURGE_PART: f64 = 0.8;
/// Same as `SURGE_PART` while this entry VM knows of no others: several may then grant reservations at the
/// same time.
const SURGE_PART_ALONE: f64 = 0.15;

/// Marks an engine as cold that has just started, or that is used again after a time in which it may have
/// been restarted.
pub(crate) fn engine_started(state: &mut State, now: Time, engine: &Name) {
    let service = state.engines.get(engine).map(|engine| engine.entry.service.clone());
    if let Some(start) = service.and_then(|service| cold_start_of(state, &service)) {
        mark_cold(state, now, engine, start.duration);
    }
}

/// Marks an engine as cold for the time `left`, and cancels earlier reservations at it.
pub(crate) fn mark_cold(state: &mut State, now: Time, engine: &Name, left: Duration) {
    let service = state.engines.get(engine).map(|engine| engine.entry.service.clone());
    let Some(start) = service.and_then(|service| cold_start_of(state, &service)) else {
        return;
    };
    let Some(known) = state.engines.get_mut(engine).filter(|_| !left.is_zero()) else {
        return;
    };
    let previous = known.cold.filter(|cold| now < cold.until);
    let until = previous.map_or(now, |cold| cold.until).max(now + left);
    let since = previous.map_or(now, |cold| cold.since);
    known.cold = Some(Cold { per_s: start.per_s, since, until });
    if previous.is_none() {
        let limit = Limit { per_s: start.per_s, reported_at: now };
        known.schedule.delay_until(now + limit.interval(1.0));
        state.timers.set(now, Timer::RescheduleWaiting(engine.clone()));
    }
}

/// Cold-start rate of a service's engines, from the configuration.
fn cold_start_of(state: &State, service: &Name) -> Option<Warmup> {
    state.config.as_ref()?.service(service)?.start
}

/// Requests that an engine of the service may get in any second even if it is not known to be cold: it may
/// have restarted unnoticed. `None` if the service has no cold-start rate.
pub(crate) fn surge_limit(state: &State, service: &Name) -> Option<f64> {
    let start = cold_start_of(state, service)?;
    Some(start.per_s * state.settings.cold_overage + state.settings.cold_slack)
}

/// Whether another entry VM's statement on an engine's schedule must be ignored, because the engine may be
/// cold and this entry VM owns its schedule.
pub(crate) fn ignores_reported_schedule(state: &State, now: Time, engine: &Name) -> bool {
    let known = state.engines.get(engine).map(|engine| &engine.entry);
    known.is_some_and(|entry| {
        surge_limit(state, &entry.service).is_some()
            && state.members.is_owner_by_recent_lists(&state.me.vm, &entry.id, &entry.zone, now)
    })
}

/// Whether this process has run long enough that all reservations granted by its predecessor are used and a
/// second old.
pub(super) fn has_outlived_previous(state: &State, now: Time) -> bool {
    now.since(state.started) > state.settings.schedule_wait + Duration::from_secs(1)
}

/// Spacing of the reservations that this entry VM grants at an engine without a known limit.
pub(super) fn spacing(state: &State, now: Time, engine: &Engine) -> Spacing {
    let Some(surge) = surge_limit(state, &engine.entry.service) else {
        return Spacing::Unlimited;
    };
    let (vm, id, zone) = (&state.me.vm, &engine.entry.id, &engine.entry.zone);
    if state.members.is_owner_by_recent_lists(vm, id, zone, now) && has_outlived_previous(state, now) {
        return Spacing::AtLeast(interval(surge * SURGE_PART));
    }
    let alone = state.members.list().is_empty();
    if alone { Spacing::AtLeast(interval(surge * SURGE_PART_ALONE)) } else { Spacing::NotOwner }
}

/// Whether and when this entry VM can use an engine without a known limit. If the engine may be cold and
/// the owner of its schedule does not answer, it is left to requests that have no other engine: the next
/// owner does not know which reservations the silent one granted last.
pub(super) fn access(state: &State, now: Time, engine: &Engine) -> Access {
    // Usually no entry VM is silent.
    if !state.members.any_silent(now) || surge_limit(state, &engine.entry.service).is_none() {
        return Access::Unlimited;
    }
    let owner = state.members.sole_owner(&engine.entry.id, &engine.entry.zone);
    let silent = owner.is_some_and(|owner| state.members.is_silent(&owner.vm, now));
    if silent { Access::After(Duration::ZERO, PENALTY_MAX_MS) } else { Access::Unlimited }
}

/// Spacing that the owner is expected to use at an engine without a known limit.
pub(super) fn expected_spacing(state: &State, engine: &Engine) -> Duration {
    surge_limit(state, &engine.entry.service).map_or(Duration::ZERO, |surge| interval(surge * SURGE_PART))
}
