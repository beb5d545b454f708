//! What is known of engines' limits, and what the leader and the others have been told of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::brittle::Brittle;
use super::{Advert, Limit};
use crate::engine::{Engine, Incarnation};
use crate::exchange::Exchange;
use crate::frame::View;
use crate::notice::Start;
use crate::schedule::{Ask, Grant};

/// Engines whose word is remembered, at most; the earliest make way.
const WORDS_MAX: usize = 1_000;
/// How long it is remembered that an engine takes any number again: longer than any other word of it is on its way.
const LIFTED_KEPT: Duration = Duration::from_mins(1);

/// What is known of an engine's limit.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    incarnation: Incarnation,
    /// Requests a second; none if there is no limit any more.
    per_s: Option<f64>,
    /// When the engine said so.
    heard: Time,
    /// Which change it is of those that this process knows.
    number: u64,
    /// Whether the leader is to be told.
    own: bool,
    /// What it bears, if it is brittle,
    pub(super) brittle: Option<Brittle>,
    /// and when it said so, or nothing of it any more.
    brittle_heard: Option<Time>,
}

/// What engines have said of their limits.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_engine: BTreeMap<Name, Entry>,
    /// When an engine of a service last said that it is brittle.
    pub(super) services: BTreeMap<Name, Time>,
    /// Engines of which a line says that their word cannot be read.
    unreadable: BTreeSet<Name>,
    /// Changes of all words.
    exchange: Exchange,
    /// Requests that were sent to engines that had named a limit.
    sent: u64,
    /// Questions for places at such engines, by how they were answered.
    answers: BTreeMap<&'static str, u64>,
}

impl Entry {
    fn told(&self, now: Time, engine: &Name) -> Advert {
        let from = Start { engine: engine.clone(), incarnation: self.incarnation };
        Advert {
            from,
            per_s: self.per_s,
            age: now.since(self.heard),
            brittle: self.brittle.as_ref().map(|brittle| brittle.told(now)),
            brittle_age: self.brittle_heard.map(|at| now.since(at)),
        }
    }
}

impl Table {
    /// The limit that this start of an engine has named, if it holds.
    pub(crate) fn limit(&self, engine: &Name, incarnation: Incarnation) -> Option<Limit> {
        let word = self.by_engine.get(engine).filter(|word| word.incarnation == incarnation)?;
        word.per_s.map(|per_s| Limit { per_s, heard: word.heard })
    }

    /// The limit that an engine in the list has named.
    pub(crate) fn named_by(&self, engine: &Engine) -> Option<Limit> {
        self.limit(&engine.entry.id, engine.entry.incarnation)
    }

    /// The limit of an engine in the list: the one that it has named, or what it bears while it is cold.
    pub(crate) fn limit_of(&self, engine: &Engine, now: Time) -> Option<Limit> {
        let cold = engine.cold.filter(|cold| now < cold.until);
        let cold = cold.map(|cold| Limit { per_s: cold.per_s, heard: cold.since });
        let limits = cold.into_iter().chain(self.named_by(engine));
        limits.min_by(|one, other| one.per_s.total_cmp(&other.per_s))
    }

    /// Engines that have named a limit which holds.
    pub(crate) fn limited(&self) -> usize {
        self.by_engine.values().filter(|word| word.per_s.is_some()).count()
    }

    /// Requests that were sent to engines that had named a limit.
    pub(crate) const fn sent(&self) -> u64 {
        self.sent
    }

    /// Questions for places at engines that had named a limit, by how they were answered.
    pub(crate) const fn answers(&self) -> &BTreeMap<&'static str, u64> {
        &self.answers
    }

    /// A question for a place was answered, or was not.
    pub(crate) fn count_answer(&mut self, ask: &Ask, grant: Option<Grant>) {
        if ask.is_limited() {
            *self.answers.entry(grant.map_or("silent", Grant::label)).or_default() += 1;
        }
    }

    /// A request is sent to an engine that has named a limit.
    pub(crate) const fn count(&mut self) {
        self.sent += 1;
    }

    /// What a question for a place says of the engine.
    pub(crate) fn told(&self, now: Time, engine: &Engine) -> Option<Advert> {
        let Engine { entry, .. } = engine;
        let word = self.by_engine.get(&entry.id).filter(|word| word.incarnation == entry.incarnation)?;
        Some(word.told(now, &entry.id))
    }

    /// What the leader has not been told of, and up to which change that is.
    pub(crate) fn untold(&self, now: Time) -> (Vec<Advert>, u64) {
        let untold =
            self.by_engine.iter().filter(|(_, word)| word.own && self.exchange.is_untold(word.number));
        (untold.map(|(engine, word)| word.told(now, engine)).collect(), self.exchange.changes())
    }

    /// A leader of this term has answered a frame that told of changes up to this one. A new leader is told all that holds.
    pub(crate) fn answered(&mut self, term: u64, changes: u64) {
        if !self.exchange.answered(term, changes) {
            return;
        }
        for word in self.by_engine.values_mut() {
            word.own |= word.per_s.is_some() || word.brittle.is_some();
        }
    }

    /// What is known of the leader's changes.
    pub(crate) const fn known(&self) -> View {
        self.exchange.known()
    }

    /// As the leader of this term: what has changed since those changes, and up to which that is.
    pub(crate) fn changed_since(&self, now: Time, term: u64, known: View) -> (Vec<Advert>, u64) {
        let since = Exchange::last_known(term, known);
        let changed = self.by_engine.iter().filter(|(_, word)| word.number > since);
        (changed.map(|(engine, word)| word.told(now, engine)).collect(), self.exchange.changes())
    }

    /// The leader told all of its changes up to this one.
    pub(crate) const fn learnt(&mut self, version: u64) {
        self.exchange.learn(version);
    }

    /// Whether what is known of this start of an engine is as new as what was heard then. If it is another, whoever told that is to
    /// hear it.
    pub(super) fn knows_later(&mut self, from: &Start, per_s: Option<f64>, heard: Time) -> bool {
        let known = self.by_engine.get_mut(&from.engine);
        let Some(known) = known.filter(|word| word.incarnation == from.incarnation && word.heard >= heard)
        else {
            return false;
        };
        if known.per_s != per_s {
            known.number = self.exchange.next();
            known.own = true;
        }
        true
    }

    /// Keeps what this start of an engine said. Returns the limit that was known before.
    pub(super) fn set(
        &mut self,
        now: Time,
        from: &Start,
        per_s: Option<f64>,
        heard: Time,
        own: bool,
    ) -> Option<f64> {
        let Start { engine, incarnation } = from;
        let before = self.word(engine, *incarnation).cloned();
        let said = before.as_ref().and_then(|word| word.per_s);
        let word = match before {
            Some(before) if said == per_s => Entry { heard, ..before },
            before => {
                let number = self.exchange.next();
                self.by_engine.retain(|_, word| {
                    word.per_s.is_some() || word.brittle.is_some() || now.since(word.heard) < LIFTED_KEPT
                });
                let (brittle, brittle_heard) =
                    before.map_or((None, None), |before| (before.brittle, before.brittle_heard));
                Entry { incarnation: *incarnation, per_s, heard, number, own, brittle, brittle_heard }
            }
        };
        self.insert(engine.clone(), word);
        said
    }

    /// What this start of an engine has said.
    pub(super) fn word(&self, engine: &Name, incarnation: Incarnation) -> Option<&Entry> {
        self.by_engine.get(engine).filter(|word| word.incarnation == incarnation)
    }

    /// What this start of an engine has said of being brittle, and when.
    pub(super) fn brittle_word(&self, from: &Start) -> Option<(&Brittle, Time)> {
        let word = self.word(&from.engine, from.incarnation)?;
        word.brittle.as_ref().zip(word.brittle_heard)
    }

    /// Keeps what this start of an engine said then of being brittle; rejections add up, whoever saw them. Returns whether that is news.
    pub(super) fn set_brittle(
        &mut self,
        from: &Start,
        said: Option<Brittle>,
        heard: Time,
        own: bool,
    ) -> bool {
        let Start { engine, incarnation } = from;
        let known = self.word(engine, *incarnation).cloned();
        if known.is_none() && said.is_none() {
            return false;
        }
        let mut word = known.unwrap_or_else(|| Entry {
            incarnation: *incarnation,
            per_s: None,
            heard: Time::default(),
            number: 0,
            own,
            brittle: None,
            brittle_heard: None,
        });
        let later = word.brittle_heard.is_none_or(|at| heard >= at);
        let news = match (&mut word.brittle, said) {
            (Some(known), Some(said)) => {
                let other = later && known.most.total_cmp(&said.most).is_ne();
                if other {
                    known.most = said.most;
                }
                known.merge(&said.rejections) || other
            }
            (brittle, said) if later => {
                let news = *brittle != said;
                *brittle = said;
                news
            }
            _ => return false,
        };
        if later {
            word.brittle_heard = Some(heard);
        }
        if news {
            word.number = self.exchange.next();
            word.own = own;
        }
        self.insert(engine.clone(), word);
        news
    }

    fn insert(&mut self, engine: Name, word: Entry) {
        if self.by_engine.len() >= WORDS_MAX && !self.by_engine.contains_key(&engine) {
            let earliest = self.by_engine.iter().min_by_key(|(_, word)| word.heard);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.by_engine.remove(&earliest);
            }
        }
        self.by_engine.insert(engine, word);
    }

    /// Whether it is new that an engine's word cannot be read.
    pub(super) fn is_new_unreadable(&mut self, engine: &Name) -> bool {
        self.unreadable.len() < WORDS_MAX && self.unreadable.insert(engine.clone())
    }

    /// An engine is gone from the list. One that does not say when it started may come again under its id.
    pub(crate) fn gone(&mut self, engine: &Name) {
        self.unreadable.remove(engine);
        if self.by_engine.get(engine).is_some_and(|word| word.incarnation.0.is_none()) {
            self.by_engine.remove(engine);
        }
    }
}
