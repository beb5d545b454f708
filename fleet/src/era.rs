//! What it means that the store has come back from an older copy of its data: a new era.
//!
//! Whatever was written in the last moments before is gone, and is written again by whoever wrote it. Until then the copy says what
//! was so once. So its word does not undo what was known before of engines that leave or were removed, proves nothing of the
//! configuration, and names no holder of the lease: whoever led may go on believing so until its own clock ends that.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::departure;
use crate::effect::Effect;
use crate::lease;
use crate::record::Record;
use crate::settings::Settings;
use crate::state::State;

/// Times between an engine's heartbeats after which the store removes the entry of one that is gone, and a part of one to spare.
const HEARTBEATS_MISSED: f64 = 3.5;

/// What this process knows of the store's era.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    /// The highest that was named; 0 if none was.
    number: u64,
    /// When this process first heard of it, which is later than its beginning.
    since: Time,
    /// Whether the store, or another entry VM, has named any, or has said something without one.
    is_known: bool,
    /// When it became known that it had begun long ago; none if that is not known.
    known_old: Option<Time>,
    /// The version up to which the engines' table was first known in this era.
    first_listed: Option<u64>,
}

impl Era {
    /// The highest that was named; 0 if none was.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// When this process first heard of it.
    pub(crate) const fn since(&self) -> Time {
        self.since
    }

    /// Whether by then all that the copy lacked had been written again.
    pub(crate) fn is_settled(&self, at: Time, settings: &Settings) -> bool {
        self.number == 0 || self.known_old.is_some() || at >= self.since + settings.rewritten_within
    }

    /// How much longer an entry that the copy lacks may still be written again; none if it has to be there.
    pub(crate) fn rewrites(&self, now: Time, settings: &Settings) -> Option<Duration> {
        let until = self.since + settings.rewritten_within;
        (self.number > 0 && self.known_old.is_none() && now < until).then(|| until.since(now))
    }

    /// Whether an engine that was removed before may stand in the copy although it is gone: the store would have removed its entry some
    /// heartbeats after the era began.
    pub(crate) fn doubts_removed(&self, at: Time, settings: &Settings) -> bool {
        let missed = settings.engine_heartbeat.mul_f64(HEARTBEATS_MISSED);
        let until = self.since + missed;
        // An old era began at least so long ago as writers have to write again what the copy lacked.
        let until_by_others =
            self.known_old.map(|old| old + missed.saturating_sub(settings.rewritten_within));
        let until = until_by_others.map_or(until, |by_others| until.min(by_others));
        self.number > 0 && at < until
    }

    /// Whether a version of this era is from after this process first read the engines' table in it.
    pub(crate) fn is_after_first_listing(&self, version: u64) -> bool {
        self.first_listed.is_some_and(|first| version > first)
    }

    /// The engines' table is known up to a version of this era.
    pub(crate) fn listed(&mut self, version: u64) {
        self.first_listed.get_or_insert(version);
    }

    /// It began long ago, as another process knows that has seen it begin.
    pub(crate) fn settle(&mut self, now: Time) {
        self.known_old.get_or_insert(now);
    }
}

/// An answer of the store, or another entry VM, names an era.
pub(crate) fn heard(state: &mut State, now: Time, era: u64, out: &mut Vec<Effect>) {
    let before = state.era;
    state.era.is_known = true;
    if era <= before.number {
        return;
    }
    state.era = Era { number: era, since: now, is_known: true, known_old: None, first_listed: None };
    if before.is_known {
        risen(state, now, before, out);
    }
    lease::era_risen(state, now, out);
}

/// Whether something of this era comes too late to count.
pub(crate) const fn is_past(state: &State, era: u64) -> bool {
    era < state.era.number
}

/// The store has come back from an older copy while this process ran.
fn risen(state: &mut State, now: Time, before: Era, out: &mut Vec<Effect>) {
    departure::keep(state, now);
    // Entries that lapsed meanwhile, or that the copy lacks, are back soon.
    state.store_troubled = Some(now);
    out.push(Effect::Record(Record::Era {
        era: state.era.number,
        before: before.number,
        listed: state.listed.version,
        declared: state.declared.version,
        engines: state.engines.len(),
        leaving: state.engines.values().filter(|engine| engine.leaves()).count(),
        removed: state.removed.len(),
        led: state.lease.holds(now).is_some(),
    }));
}
