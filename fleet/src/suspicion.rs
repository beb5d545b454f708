//! Suspicion of engines: how it begins and ends, and what other entry VMs report about it.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::crash;
use crate::effect::Effect;
use crate::engine::{Engine, Port};
use crate::flow;
use crate::path;
use crate::record::Record;
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// Time for which further suspicions of an engine are not logged. An engine that hangs is suspected and found well twice a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of suspicions logged per second. Many engines may crash at once, and each entry VM suspects each of them.
const LOGS_PER_S: u32 = 8;

/// Time after a request to an engine during which an entry VM checks suspicions of it that other entry VMs report. A suspicion is useful
/// to entry VMs that will send there next. If each entry VM probed each engine that any suspects, there would be as many
/// connections as engines times entry VMs; with this limit there are at most as many as the entry VM's own requests.
const RECENT_USE: Duration = Duration::from_secs(10);

/// Limits the number of suspicions that are logged per second.
#[derive(Debug, Default)]
pub(crate) struct Limiter {
    since: Time,
    logged: u32,
    left_out: u32,
}

impl Limiter {
    /// Whether another suspicion may be logged. The number left out in an earlier second is logged as one line.
    pub(crate) fn allow(&mut self, now: Time, out: &mut Vec<Effect>) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            if self.left_out > 0 {
                out.push(Effect::Record(Record::LeftOut { what: "suspicions", lines: self.left_out }));
            }
            *self = Self { since: now, ..Self::default() };
        }
        let allowed = self.logged < LOGS_PER_S;
        *(if allowed { &mut self.logged } else { &mut self.left_out }) += 1;
        allowed
    }
}

/// Suspects an engine that could not be reached: it gets no work, and is probed when the suspicion ends.
pub(crate) fn unreachable(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    suspect(state, now, engine, out);
    let Some(engine_state) = state.engines.get(engine) else {
        return;
    };
    let at = engine_state.health.suspect_until.unwrap_or(now);
    state.timers.set(at, Timer::Probe(engine.clone()));
    path::connect_failed(state, now, engine, out);
}

/// Suspects a silent engine: it gets no work until it has answered a probe, which is sent at once because it may just be slow.
pub(crate) fn silent(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    suspect(state, now, engine, out);
    if let Some(engine_state) = state.engines.get_mut(engine) {
        engine_state.health.last_checked = now;
        out.push(Effect::Probe { engine: engine.clone(), address: engine_state.entry.address });
    }
}

fn suspect(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(engine_state) = state.engines.get_mut(engine) else {
        return;
    };
    let health = &mut engine_state.health;
    let is_new = health.suspect_until.is_none();
    let logged_recently = health.logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL);
    if is_new && !logged_recently && state.suspicions.allow(now, out) {
        health.logged_at = Some(now);
        health.is_logged = true;
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: engine_state.entry.service.clone(),
            state: "suspected",
            version: engine_state.version.version,
        }));
    }
    health.suspect(now, &state.settings);
}

/// Probes an engine that another entry VM suspects, if this one uses it and has not heard from it or probed it just now.
pub(crate) fn check_if_used(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    if !state.settings.is_enabled(Mechanism::SharedSuspicion) {
        return;
    }
    let silence = state.settings.engine_silence;
    let Some(engine_state) = state.engines.get_mut(engine) else {
        return;
    };
    let health = &mut engine_state.health;
    let used = health.last_sent.is_some_and(|at| now.since(at) < RECENT_USE);
    let just_checked = now.since(health.last_heard) < silence / 2 || now.since(health.last_checked) < silence;
    if !used || just_checked || health.is_suspected(now) {
        return;
    }
    health.last_checked = now;
    out.push(Effect::Probe { engine: engine.clone(), address: engine_state.entry.address });
}

/// Probes an engine whose suspicion has lasted long enough. It gets no work until it answers.
pub(crate) fn suspicion_expired(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(engine_state) = state.engines.get_mut(engine) else {
        return;
    };
    if engine_state.health.suspect_until.is_none_or(|until| until > now) {
        return;
    }
    engine_state.health.suspect_until = Some(now + state.settings.suspicion_max);
    out.push(Effect::Probe { engine: engine.clone(), address: engine_state.entry.address });
}

/// Handles the result of a probe of an engine's port.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, port: Port, out: &mut Vec<Effect>) {
    crash::probed(state, now, engine, port, out);
    if port != Port::Open {
        if let Some(engine_state) = state.engines.get_mut(engine) {
            engine_state.health.connection_refused = port == Port::Closed;
        }
        unreachable(state, now, engine, out);
        return;
    }
    if path::port_opened(state, now, engine) {
        responded(state, now, engine, out);
    }
}

/// Handles events or the end of an answer. The request was sent at `sent`, through a relay if `relayed`.
pub(crate) fn attempt_responded(
    state: &mut State,
    now: Time,
    engine: &Name,
    relayed: bool,
    sent: Time,
    out: &mut Vec<Effect>,
) {
    if path::contacted(state, now, engine, relayed, Some(sent)) {
        responded(state, now, engine, out);
    }
}

/// Probes all engines that were used lately and are not suspected: at most as many as there were requests.
pub(crate) fn probe_used(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let used = |engine: &&mut Engine| {
        let health = &engine.health;
        health.last_sent.is_some_and(|at| now.since(at) < RECENT_USE) && !health.is_suspected(now)
    };
    for engine in state.engines.values_mut().filter(used) {
        engine.health.last_checked = now;
        out.push(Effect::Probe { engine: engine.entry.id.clone(), address: engine.entry.address });
    }
}

/// Ends all suspicion of an engine that has answered.
pub(crate) fn responded(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(engine_state) = state.engines.get_mut(engine) else {
        return;
    };
    let was_suspected = engine_state.health.suspect_until.is_some();
    if std::mem::take(&mut engine_state.health.is_logged) {
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: engine_state.entry.service.clone(),
            state: "well",
            version: engine_state.version.version,
        }));
    }
    engine_state.health.record_response(now);
    path::use_directly(state, now, engine, out);
    if was_suspected {
        flow::request_rescan(state);
    }
}
