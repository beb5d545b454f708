//! Trust in engines: suspicion, its end, and what other entry VMs say.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::crash;
use crate::effect::Effect;
use crate::engine::{Engine, Reach};
use crate::flow;
use crate::path;
use crate::record::Record;
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// Time in which further suspicions of an engine are not logged: one that hangs is suspected and found to be well twice a second.
const LOGGED_AGAIN: Duration = Duration::from_secs(10);
/// Suspicions that are logged in one second, at most: many engines may crash at once, and each entry VM suspects each.
const LOGGED_PER_S: u32 = 8;

/// Time for which an entry VM that has sent an engine a request looks into others' suspicions of it. What others suspect is of use to whoever
/// is to send there next; all engines that somebody suspects, tried by each entry VM, would be as many connections as engines times entry
/// VMs, and these are never more than an entry VM's own requests.
const USED_WITHIN: Duration = Duration::from_secs(10);

/// How many suspicions were logged in this second.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    since: Time,
    written: u32,
    left_out: u32,
}

impl Lines {
    /// Whether another suspicion is to be logged. What was left out in the second before is counted in a line.
    pub(crate) fn take(&mut self, now: Time, out: &mut Vec<Effect>) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            if self.left_out > 0 {
                out.push(Effect::Record(Record::LeftOut { what: "suspicions", lines: self.left_out }));
            }
            *self = Self { since: now, ..Self::default() };
        }
        let room = self.written < LOGGED_PER_S;
        *(if room { &mut self.written } else { &mut self.left_out }) += 1;
        room
    }
}

/// An engine could not be reached: it gets no work, and is asked whether it is well once that has lasted.
pub(crate) fn unreached(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    suspect(state, now, engine, out);
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let at = known.health.suspect_until.unwrap_or(now);
    state.timers.set(at, Timer::Probe(engine.clone()));
    path::lost(state, now, engine, out);
}

/// An engine is silent: it gets no work until it has been asked, which is done at once, since it may just be slow.
pub(crate) fn silent(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    suspect(state, now, engine, out);
    if let Some(known) = state.engines.get_mut(engine) {
        known.health.asked = now;
        out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
    }
}

fn suspect(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let health = &mut known.health;
    let begins = health.suspect_until.is_none();
    let again = health.logged_at.is_some_and(|at| now.since(at) < LOGGED_AGAIN);
    if begins && !again && state.suspicions.take(now, out) {
        health.logged_at = Some(now);
        health.is_logged = true;
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: known.entry.service.clone(),
            state: "suspected",
            version: known.version.version,
        }));
    }
    health.suspect(now, &state.settings);
}

/// Another entry VM suspects an engine: if this one uses it, it is asked, unless it was heard or asked just now.
pub(crate) fn look(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    if !state.settings.uses(Mechanism::SharedSuspicion) {
        return;
    }
    let recent = state.settings.silence;
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let health = &mut known.health;
    let used = health.sent.is_some_and(|at| now.since(at) < USED_WITHIN);
    let fresh = now.since(health.heard) < recent / 2 || now.since(health.asked) < recent;
    if !used || fresh || health.suspected(now) {
        return;
    }
    health.asked = now;
    out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
}

/// A suspicion ends: the engine is asked, and stays without work until it answers.
pub(crate) fn probe(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    if known.health.suspect_until.is_none_or(|until| until > now) {
        return;
    }
    known.health.suspect_until = Some(now + state.settings.suspicion_max);
    out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
}

/// The port of an engine was tried.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, reach: Reach, out: &mut Vec<Effect>) {
    crash::probed(state, now, engine, reach, out);
    if reach != Reach::Open {
        if let Some(known) = state.engines.get_mut(engine) {
            known.health.refuses = reach == Reach::Closed;
        }
        unreached(state, now, engine, out);
        return;
    }
    if path::opened(state, now, engine) {
        heard(state, now, engine, out);
    }
}

/// Something of the answer to a request came, by a relay or from an attempt of then.
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    engine: &Name,
    relayed: bool,
    sent: Time,
    out: &mut Vec<Effect>,
) {
    if path::heard(state, now, engine, relayed, Some(sent)) {
        heard(state, now, engine, out);
    }
}

/// Tries all engines that were used lately and are not suspected: no more than there were requests.
pub(crate) fn look_at_used(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let used = |engine: &&mut Engine| {
        let health = &engine.health;
        health.sent.is_some_and(|at| now.since(at) < USED_WITHIN) && !health.suspected(now)
    };
    for engine in state.engines.values_mut().filter(used) {
        engine.health.asked = now;
        out.push(Effect::Probe { engine: engine.entry.id.clone(), address: engine.entry.address });
    }
}

/// An engine answered: whatever was held against it is over.
pub(crate) fn heard(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let was_suspected = known.health.suspect_until.is_some();
    if std::mem::take(&mut known.health.is_logged) {
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: known.entry.service.clone(),
            state: "well",
            version: known.version.version,
        }));
    }
    known.health.hear(now);
    path::regained(state, now, engine, out);
    if was_suspected {
        flow::stir_later(state);
    }
}
