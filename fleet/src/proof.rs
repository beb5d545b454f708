//! How long ago the configuration in force was certainly the newest one.
//!
//! Where a key that was taken away has to be refused everywhere within a bound, also by entry VMs that hear nobody, keys are
//! served only with a proof that is younger than that bound. A proof is a moment of this process's own clock at which no
//! newer version had been acknowledged: one before the store was asked. Others tell it as an age, which counts from
//! before they were asked. So no two clocks are compared, and nothing that is late, lost or suspended makes it younger.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::record::{Record, ms};
use crate::settings::Settings;
use crate::state::State;

/// What clocks may differ by over the bound, and the step in which suspensions are counted.
const MARGIN: Duration = Duration::from_millis(300);
/// The part of the bound from which on this process reads the store itself, whatever the hub says: there is time for several
/// calls until keys are refused.
const DOUBTFUL: f64 = 0.8;

/// The latest moment at which the configuration in force was the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    at: Option<Time>,
    /// Whether its loss was logged.
    lost: bool,
}

impl Proof {
    /// Time since that moment; none before the first proof.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }
}

/// Answers of the store that a proof outlives: some may be lost or late, and frames pass the proof on.
const ANSWERS: u32 = 12;

/// Until when keys may be served; none where nothing has to be proved.
pub(crate) fn until(state: &State) -> Option<Time> {
    let bound = state.settings.revocation?.saturating_sub(MARGIN);
    Some(state.proof.at.map_or(Time::default(), |at| at + bound))
}

/// Whether keys may be served.
pub(crate) fn holds(state: &State, now: Time) -> bool {
    until(state).is_none_or(|until| now < until)
}

/// Whether the proof is so old that the store is to be read here.
pub(crate) fn is_doubtful(state: &State, now: Time) -> bool {
    let bound = state.settings.revocation.map(|bound| bound.mul_f64(DOUBTFUL));
    bound.is_some_and(|bound| state.proof.age(now).is_none_or(|age| age >= bound))
}

/// How long the store may wait with its answer for changes of the configuration: an answer proves nothing of the time
/// after it was asked for.
pub(crate) fn patience(settings: &Settings, longest: Duration) -> Duration {
    settings.revocation.map_or(longest, |bound| longest.min(bound / ANSWERS))
}

/// The configuration in force was the newest at that moment.
pub(crate) fn renew(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    state.proof.at = state.proof.at.max(Some(at));
    check(state, now, out);
}

/// Logs a proof that was lost or found again since the last look.
pub(crate) fn check(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let lost = !holds(state, now);
    if std::mem::replace(&mut state.proof.lost, lost) == lost {
        return;
    }
    let version = state.config.as_ref().map_or(0, |config| config.version);
    out.push(Effect::Record(Record::Proof {
        state: if lost { "lost" } else { "found" },
        version,
        age_ms: state.proof.age(now).map(ms),
    }));
}
