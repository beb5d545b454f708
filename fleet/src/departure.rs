//! Engines that leave or are gone: by which road that became known here, and what they have said of it themselves.

use std::collections::BTreeMap;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::engine::{Entry, Incarnation};
use crate::exchange::Exchange;
use crate::flow;
use crate::frame::{self, View};
use crate::notice::Start;
use crate::push::{self, Message};
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

/// The word of an engine's start that it leaves.
#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: Incarnation,
    /// When it became known here.
    at: Time,
    /// Which change it is of those that this process knows.
    number: u64,
    /// Whether the hub is to be told.
    own: bool,
}

/// What the hub's answer to a frame says of what engines have said.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The term under which it is the hub.
    pub(crate) term: u64,
    /// The last change of which that frame told.
    pub(crate) told: u64,
    /// What this process lacked.
    pub(crate) words: Vec<Start>,
    /// The last change of the hub's words.
    pub(crate) version: u64,
}

/// What was found since the others were told last.
#[derive(Debug, Default)]
struct News {
    /// Engines whose rows say that they leave or are gone.
    rows: Vec<Name>,
    /// What engines have said themselves.
    words: Vec<Start>,
}

/// What is known of engines that leave beside their rows, and who is to be told of it.
///
/// An older row, or one that lapses and comes back, does not undo what an engine has said.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    words: BTreeMap<Name, Word>,
    /// Changes of the words.
    exchange: Exchange,
    /// The last change that all were told of without a hub.
    spread: u64,
    news: News,
    /// Departures that became known here, by road.
    pub(crate) known: BTreeMap<Road, u64>,
    /// Departures that were told, by whom.
    pub(crate) told: BTreeMap<Audience, u64>,
}

impl Departures {
    /// Whether this start of an engine has said that it leaves.
    pub(crate) fn has(&self, engine: &Name, incarnation: Incarnation) -> bool {
        self.words.get(engine).is_some_and(|word| word.incarnation == incarnation)
    }

    /// Keeps the word of an engine's start. `own`: the hub is to be told.
    fn insert(&mut self, engine: Name, incarnation: Incarnation, own: bool, now: Time) {
        if self.words.len() >= WORDS_MAX {
            let earliest = self.words.iter().min_by_key(|(_, word)| word.at);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.words.remove(&earliest);
            }
        }
        let number = self.exchange.next();
        self.words.insert(engine, Word { incarnation, at: now, number, own });
    }

    /// An engine is gone from the list. One that does not say when it started may come again under its id.
    pub(crate) fn gone(&mut self, engine: &Name) {
        if self.words.get(engine).is_some_and(|word| word.incarnation.0.is_none()) {
            self.words.remove(engine);
        }
    }

    /// A row says of an engine that it leaves or is gone, which the row before did not.
    pub(crate) fn found(&mut self, engine: &Name) {
        self.news.rows.push(engine.clone());
    }

    /// What the hub has not been told of, and up to which change that is.
    pub(crate) fn untold(&self) -> (Vec<Start>, u64) {
        let untold = |word: &Word| word.own && self.exchange.is_untold(word.number);
        (self.words_that(untold), self.exchange.changes())
    }

    /// Whether there is anything that the hub has not been told of.
    pub(crate) fn is_any_untold(&self) -> bool {
        self.words.values().any(|word| word.own && self.exchange.is_untold(word.number))
    }

    /// What is known of the hub's changes.
    pub(crate) const fn known_there(&self) -> View {
        self.exchange.known()
    }

    /// As the hub of this term: what whoever knows these changes lacks, and up to which change that is.
    pub(crate) fn changed_since(&self, term: u64, known: View) -> (Vec<Start>, u64) {
        let since = Exchange::last_known(term, known);
        (self.words_that(|word| word.number > since), self.exchange.changes())
    }

    fn words_that(&self, wanted: impl Fn(&Word) -> bool) -> Vec<Start> {
        let wanted = self.words.iter().filter(|(_, word)| wanted(word));
        wanted.map(|(engine, word)| Start { engine: engine.clone(), incarnation: word.incarnation }).collect()
    }
}

/// The store has come back from an older copy, in which engines that leave may not have said so yet: they leave all the same.
pub(crate) fn keep(state: &mut State, now: Time) {
    let State { engines, departures, .. } = state;
    for engine in engines.values_mut().filter(|engine| engine.entry.leaving) {
        let Entry { id, incarnation, .. } = &engine.entry;
        engine.said_leaving = true;
        if !departures.has(id, *incarnation) {
            departures.insert(id.clone(), *incarnation, false, now);
        }
    }
}

/// An engine has said that it leaves: it is sent no more work. One that is not listed now may be back under the same start.
pub(crate) fn said(state: &mut State, now: Time, from: &Start, road: Road, out: &mut Vec<Effect>) {
    let later =
        state.departures.words.get(&from.engine).is_some_and(|word| word.incarnation >= from.incarnation);
    let listed = state.engines.get(&from.engine).map(|known| &known.entry);
    // What an earlier start said is over.
    if later || listed.is_some_and(|listed| listed.incarnation > from.incarnation) {
        return;
    }
    if listed.is_none() && from.incarnation.0.is_none() {
        return;
    }
    // Where its row says so too, the others know it by that.
    let is_news = listed.is_none_or(|listed| !listed.leaving || listed.incarnation != from.incarnation);
    state.departures.insert(from.engine.clone(), from.incarnation, is_news && road == Road::Answer, now);
    if is_news {
        state.departures.news.words.push(from.clone());
    }
    let known = state.engines.get_mut(&from.engine);
    // The row of a later start is still to come.
    let Some(known) = known.filter(|known| known.entry.incarnation == from.incarnation) else {
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

/// Another entry VM told what engines have said.
pub(crate) fn told(state: &mut State, now: Time, words: &[Start], road: Road, out: &mut Vec<Effect>) {
    for word in words {
        said(state, now, word, road, out);
    }
}

/// The hub answered a frame.
pub(crate) fn answered(state: &mut State, now: Time, answer: &Answer, out: &mut Vec<Effect>) {
    let State { departures, engines, .. } = state;
    if departures.exchange.answered(answer.term, answer.told) {
        // The new hub may not know what the one before was told.
        for (engine, word) in &mut departures.words {
            word.own |= engines.contains_key(engine);
        }
    }
    told(state, now, &answer.words, Road::Reply, out);
    leave_to_others(state, out);
    state.departures.exchange.learn(answer.version);
}

/// Tells the others what was found since they were told last: the hub all of them, whoever reads the table for its availability zone that one,
/// and everybody else the hub.
pub(crate) fn tell(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let News { rows, words } = std::mem::take(&mut state.departures.news);
    if rows.is_empty() && words.is_empty() {
        return;
    }
    let engines: Vec<Name> = rows.iter().chain(words.iter().map(|word| &word.engine)).cloned().collect();
    let departures = rows.iter().filter_map(|id| state.row_of(now, id)).collect();
    let message = Message { departures, departed: words, ..Message::default() };
    let audience = push::tell(state, now, &message, out);
    note_told(state, audience, &engines, out);
    frame::tell_hub(state, now, out);
}

/// Whoever told this process of what was found has told the others.
pub(crate) fn leave_to_others(state: &mut State, out: &mut Vec<Effect>) {
    let News { rows, words } = std::mem::take(&mut state.departures.news);
    let engines: Vec<Name> = rows.into_iter().chain(words.into_iter().map(|word| word.engine)).collect();
    note_told(state, Audience::Nobody, &engines, out);
}

/// No hub answers that could tell the others what engines have said to this process: they are told at once.
pub(crate) fn tell_without_hub(state: &mut State, out: &mut Vec<Effect>) {
    let Departures { exchange, spread, .. } = &state.departures;
    let wanted = |word: &Word| word.own && exchange.is_untold(word.number) && word.number > *spread;
    let departed = state.departures.words_that(wanted);
    if departed.is_empty() {
        return;
    }
    state.departures.spread = state.departures.exchange.changes();
    let engines: Vec<Name> = departed.iter().map(|word| word.engine.clone()).collect();
    push::tell_everybody(state, &Message { departed, ..Message::default() }, out);
    note_told(state, Audience::All, &engines, out);
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
