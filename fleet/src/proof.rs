//! Proof of how recently the current configuration was the newest one.
//!
//! A revoked key has to be refused everywhere within a time bound, also by entry VMs that are cut off. Keys are therefore accepted only while
//! the proof is younger than that bound. A proof is a time on this process's own clock at which no newer version had been acknowledged by the
//! store: the time just before the store was queried. Other entry VMs report it as an age, which counts from before they were asked. So no
//! two clocks are compared, and no delay, loss or suspension makes a proof appear younger than it is.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::record::{Record, ms};
use crate::settings::Settings;
use crate::state::State;

/// Subtracted from the bound to cover the drift of two clocks over that time, and the granularity in which suspensions are counted.
const MARGIN: Duration = Duration::from_millis(300);
/// Fraction of the bound after which this process reads the store itself, even if the hub claims to. This leaves time for several calls
/// before keys are refused.
const EXPIRING_FRACTION: f64 = 0.8;

/// The latest time at which the current configuration was known to be the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    at: Option<Time>,
    /// Whether its expiry was logged.
    expired: bool,
}

impl Proof {
    /// Time since then; none before the first proof.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }
}

/// Number of long polls of the store that fit into the lifetime of a proof. Some answers may be lost or late, and passing the proof on in
/// frames takes time too.
const POLLS_PER_PROOF: u32 = 12;

/// Until when keys may be accepted; none if no proof is required.
pub(crate) fn valid_until(state: &State) -> Option<Time> {
    let bound = state.settings.revocation?.saturating_sub(MARGIN);
    Some(state.proof.at.map_or(Time::default(), |at| at + bound))
}

/// Whether keys may be accepted.
pub(crate) fn is_valid(state: &State, now: Time) -> bool {
    valid_until(state).is_none_or(|until| now < until)
}

/// Whether the proof is so old that this process has to read the store itself.
pub(crate) fn is_expiring(state: &State, now: Time) -> bool {
    let bound = state.settings.revocation.map(|bound| bound.mul_f64(EXPIRING_FRACTION));
    bound.is_some_and(|bound| state.proof.age(now).is_none_or(|age| age >= bound))
}

/// How long the store may hold back its answer to a long poll for changes of the configuration. An answer proves nothing about the time
/// after the poll was sent, so that long waits would use up the proof.
pub(crate) fn poll_timeout(settings: &Settings, longest: Duration) -> Duration {
    settings.revocation.map_or(longest, |bound| longest.min(bound / POLLS_PER_PROOF))
}

/// Records that the current configuration was the newest at time `at`.
pub(crate) fn renew(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    state.proof.at = state.proof.at.max(Some(at));
    log_change(state, now, out);
}

/// Logs whether the proof has expired or become valid again since the last call.
pub(crate) fn log_change(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let expired = !is_valid(state, now);
    if std::mem::replace(&mut state.proof.expired, expired) == expired {
        return;
    }
    let version = state.config.as_ref().map_or(0, |config| config.version);
    out.push(Effect::Record(Record::Proof {
        state: if expired { "lost" } else { "found" },
        version,
        age_ms: state.proof.age(now).map(ms),
    }));
}
