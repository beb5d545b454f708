//! Limits that engines have reported, and which of them the hub and the other entry VMs have received.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::brittle::Brittle;
use super::{Limit, Report};
use crate::cursor::Cursor;
use crate::engine::{Engine, Incarnation};
use crate::frame::Position;
use crate::notice::Start;
use crate::schedule::{Grant, ReservationRequest};

/// Largest number of engines whose reports are stored; the earliest report is dropped first.
const WORDS_MAX: usize = 1_000;
/// How long a lifted limit is remembered: longer than any earlier report of the limit can be in transit.
const LIFTED_KEPT: Duration = Duration::from_mins(1);

/// Limits of one start of an engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    incarnation: Incarnation,
    /// Rate limit in requests per second; `None` if it was lifted or never set.
    per_s: Option<f64>,
    /// When the engine reported the rate limit or its end.
    heard: Time,
    /// Number of the last change of this entry, in the order of this process's changes.
    number: u64,
    /// Whether the hub must be told of it.
    own: bool,
    /// State of a brittle engine; `None` if it has no rejection limit.
    pub(super) brittle: Option<Brittle>,
    /// When the engine reported the rejection limit or its end.
    brittle_heard: Option<Time>,
}

/// Limits that engines have reported.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_engine: BTreeMap<Name, Entry>,
    /// By service: when one of its engines last reported a rejection limit.
    pub(super) services: BTreeMap<Name, Time>,
    /// Engines for which an invalid value has been logged.
    unreadable: BTreeSet<Name>,
    /// Numbers the changes of all entries.
    exchange: Cursor,
    /// Requests sent to engines with a rate or rejection limit.
    sent: u64,
    /// Requests for reservations at such engines, by result.
    answers: BTreeMap<&'static str, u64>,
}

impl Entry {
    fn told(&self, now: Time, engine: &Name) -> Report {
        let from = Start { engine: engine.clone(), incarnation: self.incarnation };
        Report {
            start: from,
            per_s: self.per_s,
            age: now.since(self.heard),
            brittle: self.brittle.as_ref().map(|brittle| brittle.told(now)),
            brittle_age: self.brittle_heard.map(|at| now.since(at)),
        }
    }
}

impl Table {
    /// The rate limit that this start of an engine has reported, if any.
    pub(crate) fn limit(&self, engine: &Name, incarnation: Incarnation) -> Option<Limit> {
        let word = self.by_engine.get(engine).filter(|word| word.incarnation == incarnation)?;
        word.per_s.map(|per_s| Limit { per_s, reported_at: word.heard })
    }

    /// The rate limit that a listed engine has reported, if any.
    pub(crate) fn reported_limit(&self, engine: &Engine) -> Option<Limit> {
        self.limit(&engine.entry.id, engine.entry.incarnation)
    }

    /// The lower of a listed engine's reported rate limit and its cold-start rate.
    pub(crate) fn limit_of(&self, engine: &Engine, now: Time) -> Option<Limit> {
        let cold = engine.cold.filter(|cold| now < cold.until);
        let cold = cold.map(|cold| Limit { per_s: cold.per_s, reported_at: cold.since });
        let limits = cold.into_iter().chain(self.reported_limit(engine));
        limits.min_by(|one, other| one.per_s.total_cmp(&other.per_s))
    }

    /// Number of engines with a rate limit.
    pub(crate) fn limited_count(&self) -> usize {
        self.by_engine.values().filter(|word| word.per_s.is_some()).count()
    }

    /// Requests sent to engines with a rate or rejection limit.
    pub(crate) const fn sent_count(&self) -> u64 {
        self.sent
    }

    /// Requests for reservations at limited engines, by result.
    pub(crate) const fn answers(&self) -> &BTreeMap<&'static str, u64> {
        &self.answers
    }

    /// Counts the result of a request for a reservation; `grant` is `None` if the call failed.
    pub(crate) fn count_answer(&mut self, ask: &ReservationRequest, grant: Option<Grant>) {
        if ask.is_limited() {
            *self.answers.entry(grant.map_or("silent", Grant::label)).or_default() += 1;
        }
    }

    /// Counts a request sent to a limited engine.
    pub(crate) const fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// The report on an engine that goes with a request for a reservation.
    pub(crate) fn report(&self, now: Time, engine: &Engine) -> Option<Report> {
        let Engine { entry, .. } = engine;
        let word = self.by_engine.get(&entry.id).filter(|word| word.incarnation == entry.incarnation)?;
        Some(word.told(now, &entry.id))
    }

    /// Reports that the hub has not acknowledged, and the number of the last change they cover.
    pub(crate) fn unreported(&self, now: Time) -> (Vec<Report>, u64) {
        let untold =
            self.by_engine.iter().filter(|(_, word)| word.own && self.exchange.is_unreported(word.number));
        (untold.map(|(engine, word)| word.told(now, engine)).collect(), self.exchange.last_change())
    }

    /// The hub of this term has acknowledged all changes up to this one. A new hub is sent all limits in
    /// force.
    pub(crate) fn hub_replied(&mut self, term: u64, changes: u64) {
        if !self.exchange.hub_replied(term, changes) {
            return;
        }
        for word in self.by_engine.values_mut() {
            word.own |= word.per_s.is_some() || word.brittle.is_some();
        }
    }

    /// Which of the hub's changes are known here.
    pub(crate) const fn hub_position(&self) -> Position {
        self.exchange.hub_position()
    }

    /// As the hub of this term: reports that changed after `known`, and the number of the last change.
    pub(crate) fn changed_since(&self, now: Time, term: u64, known: Position) -> (Vec<Report>, u64) {
        let since = Cursor::acknowledged(term, known);
        let changed = self.by_engine.iter().filter(|(_, word)| word.number > since);
        (changed.map(|(engine, word)| word.told(now, engine)).collect(), self.exchange.last_change())
    }

    /// All changes of the hub up to this one are known.
    pub(crate) const fn set_hub_version(&mut self, version: u64) {
        self.exchange.set_hub_version(version);
    }

    /// Whether the stored report on this start of an engine is at least as new as one made at `heard`. If
    /// it also differs, it is sent again, because the other entry VM does not have it.
    pub(super) fn has_newer(&mut self, from: &Start, per_s: Option<f64>, heard: Time) -> bool {
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

    /// Stores the rate limit that this start of an engine reported. Returns the limit stored before.
    pub(super) fn set(
        &mut self,
        now: Time,
        from: &Start,
        per_s: Option<f64>,
        heard: Time,
        own: bool,
    ) -> Option<f64> {
        let Start { engine, incarnation } = from;
        let before = self.entry(engine, *incarnation).cloned();
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

    /// The entry of this start of an engine.
    pub(super) fn entry(&self, engine: &Name, incarnation: Incarnation) -> Option<&Entry> {
        self.by_engine.get(engine).filter(|word| word.incarnation == incarnation)
    }

    /// The state of this start of an engine if it is brittle, and when it was reported.
    pub(super) fn brittle_report(&self, from: &Start) -> Option<(&Brittle, Time)> {
        let word = self.entry(&from.engine, from.incarnation)?;
        word.brittle.as_ref().zip(word.brittle_heard)
    }

    /// Stores the rejection limit that this start of an engine reported, or its end. Rejections are merged,
    /// since each entry VM sees only its own. Returns whether anything changed.
    pub(super) fn set_brittle(
        &mut self,
        from: &Start,
        said: Option<Brittle>,
        heard: Time,
        own: bool,
    ) -> bool {
        let Start { engine, incarnation } = from;
        let known = self.entry(engine, *incarnation).cloned();
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
                let other = later && known.rejections_per_s.total_cmp(&said.rejections_per_s).is_ne();
                if other {
                    known.rejections_per_s = said.rejections_per_s;
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

    /// Whether this is the first invalid value of the engine.
    pub(super) fn is_new_unreadable(&mut self, engine: &Name) -> bool {
        self.unreadable.len() < WORDS_MAX && self.unreadable.insert(engine.clone())
    }

    /// Handles the removal of an engine from the list. A later engine may come under the same id; without
    /// an incarnation the two cannot be told apart, so the entry is dropped.
    pub(crate) fn engine_removed(&mut self, engine: &Name) {
        self.unreadable.remove(engine);
        if self.by_engine.get(engine).is_some_and(|word| word.incarnation.0.is_none()) {
            self.by_engine.remove(engine);
        }
    }
}
