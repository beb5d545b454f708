//! How new what is known here of the engines' table is, by this process's own clock.
//!
//! A word counts from before it was asked for: of the store, or of a leader, less the age of that leader's own. So neither a late answer nor a
//! process that stands still makes it newer.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::record::{Record, ms};
use crate::state::State;

/// How new what is known of the engines' table is.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// Up to when all that the store took is known; none before the first word.
    at: Option<Time>,
    /// How often the process stood still.
    standstills: u64,
}

impl Freshness {
    /// Time since all was known that the store had taken; none before the first word.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }

    /// How often the process stood still.
    pub(crate) const fn standstills(&self) -> u64 {
        self.standstills
    }
}

/// All that the store had taken then is known.
pub(crate) fn renew(state: &mut State, at: Time) {
    state.freshness.at = state.freshness.at.max(Some(at));
}

/// The process is awake by so much later than it had asked for.
pub(crate) fn woke_late(state: &mut State, now: Time, late: Duration, out: &mut Vec<Effect>) {
    if late < state.settings.departure.standstill() {
        return;
    }
    state.freshness.standstills += 1;
    out.push(Effect::Record(Record::StoodStill {
        for_ms: ms(late),
        listed_age_ms: state.freshness.age(now).map(ms),
        led: state.lease.hub().is_some_and(|row| row.holder == state.me.vm),
    }));
}
