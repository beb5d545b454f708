//! Trust in engines: suspicion, its end, and what other entry VMs say.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::crash;
use crate::effect::Effect;
use crate::engine::Reach;
use crate::flow;
use crate::record::Record;
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// An engine could not be reached: it gets no work, and is asked whether it is well once that has lasted.
pub(crate) fn unreached(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    suspect(state, now, engine, out);
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    known.health.unreached = true;
    let at = known.health.suspect_until.unwrap_or(now);
    state.timers.set(at, Timer::Probe(engine.clone()));
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
    if known.health.suspect_until.is_none() {
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: known.entry.service.clone(),
            state: "suspected",
            version: known.version,
        }));
    }
    known.health.suspect(now, &state.settings);
}

/// Another entry VM suspects an engine: it is asked, unless it was heard or asked just now.
pub(crate) fn look(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    if !state.settings.uses(Mechanism::SharedSuspicion) {
        return;
    }
    let recent = state.settings.silence;
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let health = &mut known.health;
    let fresh = now.since(health.heard) < recent / 2 || now.since(health.asked) < recent;
    if fresh || health.suspected(now) {
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
        unreached(state, now, engine, out);
        return;
    }
    heard(state, now, engine, out);
    flow::stir_later(state);
}

/// An engine answered: whatever was held against it is over.
pub(crate) fn heard(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    if known.health.suspect_until.is_some() {
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: known.entry.service.clone(),
            state: "well",
            version: known.version,
        }));
    }
    known.health.hear(now);
}
