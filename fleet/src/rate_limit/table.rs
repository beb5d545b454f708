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
const ENTRIES_MAX: usize = 1_000;
/// How long a lifted limit is remembered: longer than any earlier report of the limit can be in transit.
const LIFTED_LIMIT_KEPT: Duration = Duration::from_mins(1);

/// Limits of one start of an engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    incarnation: Incarnation,
    /// Rate limit in requests per second; `None` if it was lifted or never set.
    per_s: Option<f64>,
    /// When the engine reported the rate limit or its end.
    reported_at: Time,
    /// Number of the last change of this entry, in the order of this process's changes.
    change: u64,
    /// Whether the hub must be told of it.
    report_to_hub: bool,
    /// State of a brittle engine; `None` if it has no rejection limit.
    pub(super) brittle: Option<Brittle>,
    /// When the engine reported the rejection limit or its end.
    brittle_reported_at: Option<Time>,
}

/// Limits that engines have reported.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_engine: BTreeMap<Name, Entry>,
    /// By service: when one of its engines last reported a rejection limit.
    pub(super) services: BTreeMap<Name, Time>,
    /// Engines for which an invalid value has been logged.
    invalid_logged: BTreeSet<Name>,
    /// Numbers the changes of all entries.
    cursor: Cursor,
    /// Requests sent to engines with a rate or rejection limit.
    sent: u64,
    /// Requests for reservations at such engines, by result.
    answers: BTreeMap<&'static str, u64>,
}

impl Entry {
    fn report(&self, now: Time, engine: &Name) -> Report {
        let start = Start { engine: engine.clone(), incarnation: self.incarnation };
        Report {
            start,
            per_s: self.per_s,
            age: now.since(self.reported_at),
            brittle: self.brittle.as_ref().map(|brittle| brittle.report(now)),
            brittle_age: self.brittle_reported_at.map(|at| now.since(at)),
        }
    }
}

impl Table {
    /// The rate limit that this start of an engine has reported, if any.
    pub(crate) fn limit(&self, engine: &Name, incarnation: Incarnation) -> Option<Limit> {
        let entry = self.by_engine.get(engine).filter(|entry| entry.incarnation == incarnation)?;
        entry.per_s.map(|per_s| Limit { per_s, reported_at: entry.reported_at })
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
        self.by_engine.values().filter(|entry| entry.per_s.is_some()).count()
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
    pub(crate) fn count_answer(&mut self, request: &ReservationRequest, grant: Option<Grant>) {
        if request.is_limited() {
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
        let stored =
            self.by_engine.get(&entry.id).filter(|stored| stored.incarnation == entry.incarnation)?;
        Some(stored.report(now, &entry.id))
    }

    /// Reports that the hub has not acknowledged, and the number of the last change they cover.
    pub(crate) fn unreported(&self, now: Time) -> (Vec<Report>, u64) {
        let unreported = self
            .by_engine
            .iter()
            .filter(|(_, entry)| entry.report_to_hub && self.cursor.is_unreported(entry.change));
        (unreported.map(|(engine, entry)| entry.report(now, engine)).collect(), self.cursor.last_change())
    }

    /// The hub of this term has acknowledged all changes up to this one. A new hub is sent all limits in
    /// force.
    pub(crate) fn hub_replied(&mut self, term: u64, changes: u64) {
        if !self.cursor.hub_replied(term, changes) {
            return;
        }
        for entry in self.by_engine.values_mut() {
            entry.report_to_hub |= entry.per_s.is_some() || entry.brittle.is_some();
        }
    }

    /// Which of the hub's changes are known here.
    pub(crate) const fn hub_position(&self) -> Position {
        self.cursor.hub_position()
    }

    /// As the hub of this term: reports that changed after `known`, and the number of the last change.
    pub(crate) fn changed_since(&self, now: Time, term: u64, known: Position) -> (Vec<Report>, u64) {
        let since = Cursor::acknowledged(term, known);
        let changed = self.by_engine.iter().filter(|(_, entry)| entry.change > since);
        (changed.map(|(engine, entry)| entry.report(now, engine)).collect(), self.cursor.last_change())
    }

    /// All changes of the hub up to this one are known.
    pub(crate) const fn set_hub_version(&mut self, version: u64) {
        self.cursor.set_hub_version(version);
    }

    /// Whether the stored report on this start of an engine is at least as new as one made at
    /// `reported_at`. If it also differs, it is sent again, because the other entry VM does not have it.
    pub(super) fn has_newer(&mut self, source: &Start, per_s: Option<f64>, reported_at: Time) -> bool {
        let known = self.by_engine.get_mut(&source.engine);
        let Some(known) =
            known.filter(|entry| entry.incarnation == source.incarnation && entry.reported_at >= reported_at)
        else {
            return false;
        };
        if known.per_s != per_s {
            known.change = self.cursor.next();
            known.report_to_hub = true;
        }
        true
    }

    /// Stores the rate limit that this start of an engine reported. Returns the limit stored before.
    pub(super) fn set(
        &mut self,
        now: Time,
        source: &Start,
        per_s: Option<f64>,
        reported_at: Time,
        report_to_hub: bool,
    ) -> Option<f64> {
        let Start { engine, incarnation } = source;
        let before = self.entry(engine, *incarnation).cloned();
        let previous_limit = before.as_ref().and_then(|entry| entry.per_s);
        let entry = match before {
            Some(before) if previous_limit == per_s => Entry { reported_at, ..before },
            before => {
                let change = self.cursor.next();
                self.by_engine.retain(|_, entry| {
                    entry.per_s.is_some()
                        || entry.brittle.is_some()
                        || now.since(entry.reported_at) < LIFTED_LIMIT_KEPT
                });
                let (brittle, brittle_heard) =
                    before.map_or((None, None), |before| (before.brittle, before.brittle_reported_at));
                Entry {
                    incarnation: *incarnation,
                    per_s,
                    reported_at,
                    change,
                    report_to_hub,
                    brittle,
                    brittle_reported_at: brittle_heard,
                }
            }
        };
        self.insert(engine.clone(), entry);
        previous_limit
    }

    /// The entry of this start of an engine.
    pub(super) fn entry(&self, engine: &Name, incarnation: Incarnation) -> Option<&Entry> {
        self.by_engine.get(engine).filter(|entry| entry.incarnation == incarnation)
    }

    /// The state of this start of an engine if it is brittle, and when it was reported.
    pub(super) fn brittle_report(&self, source: &Start) -> Option<(&Brittle, Time)> {
        let entry = self.entry(&source.engine, source.incarnation)?;
        entry.brittle.as_ref().zip(entry.brittle_reported_at)
    }

    /// Stores the rejection limit that this start of an engine reported, or its end. Rejections are merged,
    /// since each entry VM sees only its own. Returns whether anything changed.
    pub(super) fn set_brittle(
        &mut self,
        source: &Start,
        reported: Option<Brittle>,
        reported_at: Time,
        report_to_hub: bool,
    ) -> bool {
        let Start { engine, incarnation } = source;
        let known = self.entry(engine, *incarnation).cloned();
        if known.is_none() && reported.is_none() {
            return false;
        }
        let mut entry = known.unwrap_or_else(|| Entry {
            incarnation: *incarnation,
            per_s: None,
            reported_at: Time::default(),
            change: 0,
            report_to_hub,
            brittle: None,
            brittle_reported_at: None,
        });
        let is_newer = entry.brittle_reported_at.is_none_or(|at| reported_at >= at);
        let changed = match (&mut entry.brittle, reported) {
            (Some(known), Some(reported)) => {
                let limit_changed =
                    is_newer && known.rejections_per_s.total_cmp(&reported.rejections_per_s).is_ne();
                if limit_changed {
                    known.rejections_per_s = reported.rejections_per_s;
                }
                known.merge(&reported.rejections) || limit_changed
            }
            (brittle, reported) if is_newer => {
                let changed = *brittle != reported;
                *brittle = reported;
                changed
            }
            _ => return false,
        };
        if is_newer {
            entry.brittle_reported_at = Some(reported_at);
        }
        if changed {
            entry.change = self.cursor.next();
            entry.report_to_hub = report_to_hub;
        }
        self.insert(engine.clone(), entry);
        changed
    }

    fn insert(&mut self, engine: Name, entry: Entry) {
        if self.by_engine.len() >= ENTRIES_MAX && !self.by_engine.contains_key(&engine) {
            let earliest = self.by_engine.iter().min_by_key(|(_, entry)| entry.reported_at);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.by_engine.remove(&earliest);
            }
        }
        self.by_engine.insert(engine, entry);
    }

    /// Whether this is the first invalid value of the engine.
    pub(super) fn mark_invalid_logged(&mut self, engine: &Name) -> bool {
        self.invalid_logged.len() < ENTRIES_MAX && self.invalid_logged.insert(engine.clone())
    }

    /// Handles the removal of an engine from the list. A later engine may come under the same id; without
    /// an incarnation the two cannot be told apart, so the entry is dropped.
    pub(crate) fn engine_removed(&mut self, engine: &Name) {
        self.invalid_logged.remove(engine);
        if self.by_engine.get(engine).is_some_and(|entry| entry.incarnation.0.is_none()) {
            self.by_engine.remove(engine);
        }
    }
}
