//! The era of the platform's store, which rises each time the store is restored from an older copy of its data.
//!
//! A restore loses the most recent writes; their writers write them again. Until then the store returns outdated data. Such data therefore
//! does not override what this process knew of leaving and removed engines, does not prove that the configuration is the newest, and does
//! not say who holds the lease: the previous holder may consider itself the holder until its lease expires by its own clock.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::departure;
use crate::effect::Effect;
use crate::lease;
use crate::record::Record;
use crate::settings::Settings;
use crate::state::State;

/// Heartbeat intervals after which the store has certainly removed the entry of an engine that is gone. The store removes it after three;
/// the rest is a margin.
const HEARTBEATS_MISSED: f64 = 3.5;

/// The store's era, as far as this process knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    /// The highest era seen; 0 if none was.
    number: u64,
    /// When this process first saw this era, which is later than its beginning.
    since: Time,
    /// Whether the store or another entry VM has answered at all, with an era or without one.
    is_known: bool,
    /// When this process learned that the era had begun long ago; none if that is not known.
    marked_old_at: Option<Time>,
    /// The version of the first listing of the engines' table in this era.
    first_listed: Option<u64>,
}

impl Era {
    /// The highest era seen; 0 if none was.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// When this process first saw this era.
    pub(crate) const fn since(&self) -> Time {
        self.since
    }

    /// Whether by `at` all writes that the restored copy lacked had been repeated.
    pub(crate) fn is_settled(&self, at: Time, settings: &Settings) -> bool {
        self.number == 0 || self.marked_old_at.is_some() || at >= self.since + settings.restore_rewrite_time
    }

    /// How much longer an entry that the restored copy lacks may still be written again; none once that time is over.
    pub(crate) fn rewrite_time_left(&self, now: Time, settings: &Settings) -> Option<Duration> {
        let until = self.since + settings.restore_rewrite_time;
        (self.number > 0 && self.marked_old_at.is_none() && now < until).then(|| until.since(now))
    }

    /// Whether a reading of the store as of `at` may list an engine that is gone because the restored copy still has its entry. The store
    /// removes such an entry once some heartbeats have been missed in this era.
    pub(crate) fn may_list_removed(&self, at: Time, settings: &Settings) -> bool {
        let missed = settings.engine_heartbeat.mul_f64(HEARTBEATS_MISSED);
        let until = self.since + missed;
        // An era that was marked as old began at least `restore_rewrite_time` before that.
        let until_if_old =
            self.marked_old_at.map(|old| old + missed.saturating_sub(settings.restore_rewrite_time));
        let until = until_if_old.map_or(until, |if_old| until.min(if_old));
        self.number > 0 && at < until
    }

    /// Whether a version of this era is newer than this process's first listing of the engines' table in it.
    pub(crate) fn is_after_first_listing(&self, version: u64) -> bool {
        self.first_listed.is_some_and(|first| version > first)
    }

    /// Records the version of a listing of the engines' table; only the first one in an era counts.
    pub(crate) fn set_first_listed(&mut self, version: u64) {
        self.first_listed.get_or_insert(version);
    }

    /// Marks the era as having begun long ago, as reported by a process that saw its beginning.
    pub(crate) fn mark_old(&mut self, now: Time) {
        self.marked_old_at.get_or_insert(now);
    }
}

/// Handles an era that the store or another entry VM named.
pub(crate) fn observe(state: &mut State, now: Time, era: u64, out: &mut Vec<Effect>) {
    let before = state.era;
    state.era.is_known = true;
    if era <= before.number {
        return;
    }
    state.era = Era { number: era, since: now, is_known: true, marked_old_at: None, first_listed: None };
    if before.is_known {
        restored(state, now, before, out);
    }
    lease::era_advanced(state, now, out);
}

/// Whether data of this era is outdated.
pub(crate) const fn is_outdated(state: &State, era: u64) -> bool {
    era < state.era.number
}

/// Handles the store's restore from an older copy while this process was running.
fn restored(state: &mut State, now: Time, before: Era, out: &mut Vec<Effect>) {
    departure::keep_leaving(state, now);
    // Entries that expired meanwhile, or that the copy lacks, are written again soon.
    state.store_failing_since = Some(now);
    out.push(Effect::Record(Record::Era {
        era: state.era.number,
        before: before.number,
        listed: state.engines_revision.version,
        declared: state.config_revision.version,
        engines: state.engines.len(),
        leaving: state.engines.values().filter(|engine| engine.is_leaving()).count(),
        removed: state.tombstones.len(),
        led: state.lease.held_term(now).is_some(),
    }));
}
