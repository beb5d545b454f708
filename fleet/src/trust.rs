//! Trust in engines: suspicion, its end, and what other entry VMs say.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::flow;
use crate::record::Record;
use crate::state::State;
use crate::timer::Timer;

/// Asks an engine that is suspected whether it is well, once the suspicion is about to end.
pub(crate) fn probe_later(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    out.push(Effect::Record(Record::Engine {
        engine: engine.clone(),
        service: known.entry.service.clone(),
        state: "suspected",
        version: known.version,
    }));
    let at = known.health.suspect_until.unwrap_or(now);
    state.timers.set(at, Timer::Probe(engine.clone()));
}

/// Another entry VM suspects an engine: it is asked, unless it was heard or asked just now.
pub(crate) fn look(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
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

/// A suspected engine answered, or did not.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, well: bool, out: &mut Vec<Effect>) {
    let settings = state.settings.clone();
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    if well {
        known.health.hear(now);
        out.push(Effect::Record(Record::Engine {
            engine: engine.clone(),
            service: known.entry.service.clone(),
            state: "well",
            version: known.version,
        }));
        flow::stir_later(state);
        return;
    }
    known.health.unreached = true;
    known.health.suspect(now, &settings);
    let at = known.health.suspect_until.unwrap_or(now);
    state.timers.set(at, Timer::Probe(engine.clone()));
}
