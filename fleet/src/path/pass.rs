//! What an entry VM does for another that does not reach an engine: says whether it does, and passes requests on.

use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, Incarnation};
use crate::freshness;
use crate::state::State;

/// Requests that are passed on at once, at most.
const PASSING_MAX: u32 = 512;

/// Why a request of another entry VM is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// No such start of the engine is known, or one of another build, or it takes no work.
    Unknown,
    /// It cannot be reached from here either.
    Unreached,
    /// What is known here may be out of date, or the process stops.
    Unready,
    /// Too many are passed on already.
    Full,
}

impl Denial {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Unreached => "unreached",
            Self::Unready => "unready",
            Self::Full => "full",
        }
    }
}

/// Another entry VM wants a request passed on to this start of an engine, which runs this build as far as that one knows. Returns where that listens. The end of it is told by
/// [`crate::event::Event::Relayed`].
///
/// # Errors
///
/// Why it is not passed on; nothing was sent then.
pub(crate) fn pass(
    state: &mut State,
    now: Time,
    engine: &Name,
    incarnation: Incarnation,
    build: Option<&Name>,
) -> Result<SocketAddr, Denial> {
    let allowed = allow(state, now, engine, incarnation, build);
    match allowed {
        Ok(_) => {
            state.paths.passing += 1;
            state.paths.passed += 1;
        }
        Err(denial) => *state.paths.denied.entry(denial.label()).or_default() += 1,
    }
    allowed
}

fn allow(
    state: &State,
    now: Time,
    engine: &Name,
    incarnation: Incarnation,
    build: Option<&Name>,
) -> Result<SocketAddr, Denial> {
    // What has come to its socket may be read before it knows that it stood still.
    if state.stopping || state.freshness.in_doubt() || freshness::is_waking(state, now) {
        return Err(Denial::Unready);
    }
    let known = state.engines.get(engine).filter(|known| known.entry.incarnation == incarnation);
    // One of the two goes by an older row, and whoever asks may go on with a stream.
    let known = known.filter(|known| known.entry.build.as_ref() == build);
    let known = known.filter(|known| known.takes_work()).ok_or(Denial::Unknown)?;
    if known.path.relay.is_some() || known.health.suspected(now) {
        return Err(Denial::Unreached);
    }
    if state.paths.passing >= PASSING_MAX {
        return Err(Denial::Full);
    }
    Ok(known.entry.address)
}

/// A request of another entry VM that was passed on has ended.
pub(crate) const fn passed(state: &mut State) {
    state.paths.passing = state.paths.passing.saturating_sub(1);
}

/// Whether requests of others are passed on now.
pub(crate) const fn is_passing(state: &State) -> bool {
    state.paths.passing > 0
}

/// What is to be tried to tell another entry VM how an engine's port answers here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// The engine's port.
    pub address: SocketAddr,
    /// Another engine's. Where that does not answer either, nothing can be told: it may be this process that reaches nobody.
    pub control: Option<SocketAddr>,
}

/// What is to be tried to tell how an engine's port answers here; none where nothing can be told.
pub(crate) fn look(state: &State, now: Time, engine: &Name) -> Option<Look> {
    let known = state.engines.get(engine)?;
    if known.path.relay.is_some() {
        // Others reach it: whatever comes of a try from here says nothing of the engine.
        return None;
    }
    let trusted =
        |other: &&Engine| other.entry.id != *engine && !other.leaves() && !other.health.suspected(now);
    let latest = state.engines.values().filter(trusted).max_by_key(|other| other.path.heard);
    let any = || state.engines.values().find(|other| other.entry.id != *engine && !other.leaves());
    let control = latest.or_else(any).map(|other| other.entry.address);
    Some(Look { address: known.entry.address, control })
}
