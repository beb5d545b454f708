//! Engines that have just started: they are cold, and bear few requests a second for a while.
//!
//! One that is known to be cold has a limit, as an engine in need has. One may turn cold before it says so: engines of such a service are
//! never given more than a cold one bears, by the one owner of their places.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Access, Limit, RESERVE_MS, Spacing, interval};
use crate::config::Start;
use crate::engine::{Cold, Engine};
use crate::state::State;
use crate::timer::Timer;

/// Part of the requests that a cold engine bears in any second which an engine is given that may be cold: some arrive closer together than
/// they were sent.
const SURGE_PART: f64 = 0.8;
/// The same where no entry VM is known that may give places.
const SURGE_ALONE: f64 = 0.15;

/// An engine has just started, or is used again after a time in which it may have been: it is cold.
pub(crate) fn started(state: &mut State, now: Time, engine: &Name) {
    let service = state.engines.get(engine).map(|engine| engine.entry.service.clone());
    if let Some(start) = service.and_then(|service| start_of(state, &service)) {
        cold(state, now, engine, start.lasts);
    }
}

/// An engine is cold for so long: what waits for a place that was given before goes back.
pub(crate) fn cold(state: &mut State, now: Time, engine: &Name, left: Duration) {
    let service = state.engines.get(engine).map(|engine| engine.entry.service.clone());
    let Some(start) = service.and_then(|service| start_of(state, &service)) else {
        return;
    };
    let Some(known) = state.engines.get_mut(engine).filter(|_| !left.is_zero()) else {
        return;
    };
    let before = known.cold.filter(|cold| now < cold.until);
    let until = before.map_or(now, |cold| cold.until).max(now + left);
    let since = before.map_or(now, |cold| cold.since);
    known.cold = Some(Cold { per_s: start.per_s, since, until });
    if before.is_none() {
        let limit = Limit { per_s: start.per_s, heard: now };
        known.schedule.keep_away(now + limit.interval(1.0));
        state.timers.set(now, Timer::Recall(engine.clone()));
    }
}

/// What engines of a service bear after a start.
fn start_of(state: &State, service: &Name) -> Option<Start> {
    state.config.as_ref()?.service(service)?.start
}

/// Requests that an engine of a service may be given in any second, whatever is known of it: it may have started, or have become
/// cold, and nobody knows yet. None where engines bear as much after a start as later.
pub(crate) fn surge_of(state: &State, service: &Name) -> Option<f64> {
    let start = start_of(state, service)?;
    Some(start.per_s * state.settings.cold_overage + state.settings.cold_slack)
}

/// Whether what another says of an engine's schedule is not to be taken over: the engine may be cold, and this entry VM gives its places.
pub(crate) fn keeps_schedule(state: &State, now: Time, engine: &Name) -> bool {
    let known = state.engines.get(engine).map(|engine| &engine.entry);
    known.is_some_and(|entry| {
        surge_of(state, &entry.service).is_some()
            && state.members.is_owner_by_lists(&state.me.vm, &entry.id, &entry.zone, now)
    })
}

/// Whether this process has run for so long that no second holds places which its earlier start gave.
pub(super) fn has_run(state: &State, now: Time) -> bool {
    now.since(state.started) > state.settings.schedule_wait + Duration::from_secs(1)
}

/// How far apart places are that this entry VM gives at an engine which has no limit, as far as is known here.
pub(super) fn spacing(state: &State, now: Time, engine: &Engine) -> Spacing {
    let Some(surge) = surge_of(state, &engine.entry.service) else {
        return Spacing::Open;
    };
    let (vm, id, zone) = (&state.me.vm, &engine.entry.id, &engine.entry.zone);
    if state.members.is_owner_by_lists(vm, id, zone, now) && has_run(state, now) {
        return Spacing::Apart(interval(surge * SURGE_PART));
    }
    let alone = state.members.list().is_empty();
    if alone { Spacing::Apart(interval(surge * SURGE_ALONE)) } else { Spacing::Elsewhere }
}

/// How an engine may be used that has no limit, as far as is known here. One that may be cold is left to those that have no other while the
/// owner of its places does not answer: another owner knows nothing of the places that were given just before.
pub(super) fn access(state: &State, now: Time, engine: &Engine) -> Access {
    // Most of the time all answer.
    if !state.members.is_any_silent(now) || surge_of(state, &engine.entry.service).is_none() {
        return Access::Open;
    }
    let owner = state.members.sole_owner(&engine.entry.id, &engine.entry.zone);
    let silent = owner.is_some_and(|owner| state.members.is_silent(&owner.vm, now));
    if silent { Access::After(Duration::ZERO, RESERVE_MS) } else { Access::Open }
}

/// How far apart places at an engine are that its owner gives, which has no limit as far as is known here.
pub(super) fn apart(state: &State, engine: &Engine) -> Duration {
    surge_of(state, &engine.entry.service).map_or(Duration::ZERO, |surge| interval(surge * SURGE_PART))
}
