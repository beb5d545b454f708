//! What engines say of themselves in their answers, whatever those are to. It is as good as their entries in the store, and
//! comes at once, also while the store is away.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::{Entry, Incarnation};
use crate::flow;
use crate::intake::{self, Intake};
use crate::record::Record;
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// The longest pause that is kept; an engine that wants a longer one is asked anew after it.
const PAUSE_MAX: Duration = Duration::from_hours(1);
/// Engines that are remembered to leave, at most; the earliest make way.
const DEPARTURES_MAX: usize = 1_000;

/// What an answer says of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it leaves, and is to get no more work.
    pub leaving: bool,
    /// How long it wants nothing from this process, if it turned the request away.
    pub pause: Option<Duration>,
    /// How many requests it takes.
    pub intake: Intake,
}

/// The request of a caller that an answer is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Its number.
    pub request: Id,
    /// When it was sent.
    pub at: Time,
}

/// A start of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The engine's id.
    pub engine: Name,
    /// Which start: what one says does not hold for a later one.
    pub incarnation: Incarnation,
}

/// Engines that have said that they leave. An older entry in the store, or one that lapses and comes back, does not
/// bring them back.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_engine: BTreeMap<Name, (Incarnation, Time)>,
}

impl Departures {
    /// Whether this start of an engine has said that it leaves.
    pub(crate) fn has(&self, engine: &Name, incarnation: Incarnation) -> bool {
        self.by_engine.get(engine).is_some_and(|(leaving, _)| *leaving == incarnation)
    }

    fn insert(&mut self, engine: Name, incarnation: Incarnation, now: Time) {
        if self.by_engine.len() >= DEPARTURES_MAX {
            let earliest = self.by_engine.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.by_engine.remove(&earliest);
            }
        }
        self.by_engine.insert(engine, (incarnation, now));
    }

    /// An engine is gone from the list. One that does not say when it started may come again under its id.
    pub(crate) fn gone(&mut self, engine: &Name) {
        if self.by_engine.get(engine).is_some_and(|(incarnation, _)| incarnation.0.is_none()) {
            self.by_engine.remove(engine);
        }
    }
}

/// The store has come back from an older copy, in which engines that leave may not have said so yet: they leave all the same.
pub(crate) fn keep_departures(state: &mut State, now: Time) {
    let State { engines, departures, .. } = state;
    for Entry { id, incarnation, .. } in
        engines.values().map(|engine| &engine.entry).filter(|entry| entry.leaving)
    {
        if !departures.has(id, *incarnation) {
            departures.insert(id.clone(), *incarnation, now);
        }
    }
}

/// The engines in the list that have said that they leave.
pub(crate) fn departures(state: &State) -> Vec<Start> {
    let listed = |engine: &Name| state.engines.contains_key(engine);
    let departures = state.departures.by_engine.iter().filter(|(engine, _)| listed(engine));
    departures
        .map(|(engine, (incarnation, _))| Start { engine: engine.clone(), incarnation: *incarnation })
        .collect()
}

/// An answer of an engine came, to a caller's request if one is named, that says something of the engine.
pub(crate) fn noticed(
    state: &mut State,
    now: Time,
    from: &Start,
    notice: Notice,
    asked: Option<Asked>,
    out: &mut Vec<Effect>,
) {
    let listed = state.engines.get(&from.engine);
    // What an earlier start said is over.
    if listed.is_some_and(|known| known.entry.incarnation != from.incarnation) {
        return;
    }
    if notice.leaving && !state.departures.has(&from.engine, from.incarnation) {
        keep_departure(state, now, from, out);
    }
    if let Some(pause) = notice.pause {
        keep_pause(state, now, &from.engine, pause.min(PAUSE_MAX), out);
    }
    intake::noticed(state, now, from, notice.intake, asked, out);
}

/// Sends an engine no more work. One that is not listed now may be back under the same start.
fn keep_departure(state: &mut State, now: Time, from: &Start, out: &mut Vec<Effect>) {
    let known = state.engines.get_mut(&from.engine);
    if known.is_none() && from.incarnation.0.is_none() {
        return;
    }
    state.departures.insert(from.engine.clone(), from.incarnation, now);
    let Some(known) = known else {
        return;
    };
    let before = std::mem::replace(&mut known.entry.leaving, true);
    if !before {
        let (service, version) = (known.entry.service.clone(), known.version.version);
        let engine = from.engine.clone();
        out.push(Effect::Record(Record::Engine { engine, service, state: "says_leaving", version }));
    }
    flow::withdraw(state, now, &from.engine, out);
}

/// Sends an engine nothing for as long as it wants.
fn keep_pause(state: &mut State, now: Time, engine: &Name, pause: Duration, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let until = known.health.paused_until.max(Some(now + pause));
    known.health.paused_until = until;
    let (service, version) = (known.entry.service.clone(), known.version.version);
    out.push(Effect::Record(Record::Engine { engine: engine.clone(), service, state: "paused", version }));
    // Orders and questions that are due meanwhile follow then.
    state.timers.set(until.unwrap_or(now), Timer::Check(engine.clone()));
    flow::withdraw(state, now, engine, out);
}
