//! Engines that leave or are gone: by which road that became known here, and what they have said of it themselves.

use std::collections::BTreeMap;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::engine::{Entry, Incarnation};
use crate::flow;
use crate::notice::Start;
use crate::record::Record;
use crate::state::State;

/// Engines that are remembered to leave, at most; the earliest make way.
const WORDS_MAX: usize = 1_000;

/// By which road it became known here that an engine leaves or is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Road {
    /// In an answer of the engine.
    Answer,
    /// By this process's own reading of the engines' table.
    Table,
    /// By a push of another entry VM.
    Push,
    /// As the hub, in a frame.
    Frame,
    /// In the hub's answer to a frame.
    Reply,
}

impl Road {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Table => "table",
            Self::Push => "push",
            Self::Frame => "frame",
            Self::Reply => "reply",
        }
    }
}

/// Whom this process has told that engines leave or are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// All entry VMs.
    All,
    /// Those of its availability zone.
    Zone,
    /// Nobody: whoever told this one tells the others, or this one does not read the table for others.
    Nobody,
}

impl Audience {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Zone => "zone",
            Self::Nobody => "nobody",
        }
    }
}

/// Engines that have said that they leave. An older entry in the store, or one that lapses and comes back, does not
/// bring them back.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    words: BTreeMap<Name, (Incarnation, Time)>,
    /// Departures that became known here, by road.
    pub(crate) known: BTreeMap<Road, u64>,
    /// Departures that were told, by whom.
    pub(crate) told: BTreeMap<Audience, u64>,
}

impl Departures {
    /// Whether this start of an engine has said that it leaves.
    pub(crate) fn has(&self, engine: &Name, incarnation: Incarnation) -> bool {
        self.words.get(engine).is_some_and(|(leaving, _)| *leaving == incarnation)
    }

    fn insert(&mut self, engine: Name, incarnation: Incarnation, now: Time) {
        if self.words.len() >= WORDS_MAX {
            let earliest = self.words.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.words.remove(&earliest);
            }
        }
        self.words.insert(engine, (incarnation, now));
    }

    /// An engine is gone from the list. One that does not say when it started may come again under its id.
    pub(crate) fn gone(&mut self, engine: &Name) {
        if self.words.get(engine).is_some_and(|(incarnation, _)| incarnation.0.is_none()) {
            self.words.remove(engine);
        }
    }
}

/// The store has come back from an older copy, in which engines that leave may not have said so yet: they leave all the same.
pub(crate) fn keep(state: &mut State, now: Time) {
    let State { engines, departures, .. } = state;
    for engine in engines.values_mut().filter(|engine| engine.entry.leaving) {
        let Entry { id, incarnation, .. } = &engine.entry;
        engine.said_leaving = true;
        if !departures.has(id, *incarnation) {
            departures.insert(id.clone(), *incarnation, now);
        }
    }
}

/// The engines in the list that have said that they leave.
pub(crate) fn words(state: &State) -> Vec<Start> {
    let listed = |engine: &Name| state.engines.contains_key(engine);
    let words = state.departures.words.iter().filter(|(engine, _)| listed(engine));
    words
        .map(|(engine, (incarnation, _))| Start { engine: engine.clone(), incarnation: *incarnation })
        .collect()
}

/// An engine has said that it leaves: it is sent no more work. One that is not listed now may be back under the same start.
pub(crate) fn said(state: &mut State, now: Time, from: &Start, road: Road, out: &mut Vec<Effect>) {
    if state.departures.has(&from.engine, from.incarnation) {
        return;
    }
    let known = state.engines.get_mut(&from.engine);
    // What an earlier start said is over.
    if known.as_ref().is_some_and(|known| known.entry.incarnation != from.incarnation) {
        return;
    }
    if known.is_none() && from.incarnation.0.is_none() {
        return;
    }
    state.departures.insert(from.engine.clone(), from.incarnation, now);
    let Some(known) = known else {
        return;
    };
    let before = known.leaves();
    known.said_leaving = true;
    let version = known.version.version;
    if !before {
        let (engine, service) = (from.engine.clone(), known.entry.service.clone());
        out.push(Effect::Record(Record::Engine { engine, service, state: "says_leaving", version }));
        note_known(state, &from.engine, road, version, out);
    }
    flow::withdraw(state, now, &from.engine, out);
}

/// It became known that an engine leaves or is gone, by its row of this version or beside it.
pub(crate) fn note_known(state: &mut State, engine: &Name, road: Road, version: u64, out: &mut Vec<Effect>) {
    *state.departures.known.entry(road).or_default() += 1;
    out.push(Effect::Record(Record::Departure { engine: engine.clone(), road: road.label(), version }));
}

/// It was told that engines leave or are gone.
pub(crate) fn note_told(state: &mut State, audience: Audience, engines: &[Name], out: &mut Vec<Effect>) {
    *state.departures.told.entry(audience).or_default() += engines.len() as u64;
    if let Some(engine) = engines.first().cloned() {
        let engines = engines.len();
        out.push(Effect::Record(Record::DeparturesTold { engine, engines, to: audience.label() }));
    }
}
