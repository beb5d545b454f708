//! Service for other entry VMs that do not reach an engine: probes of the engine's port, and relaying of
//! requests.

use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, Incarnation};
use crate::freshness;
use crate::state::State;

/// Largest number of requests relayed at the same time.
const RELAYING_MAX: u32 = 512;

/// Why a request of another entry VM is not relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// This start of the engine is not known, has another build, or takes no requests.
    Unknown,
    /// The engine cannot be reached from here either.
    Unreached,
    /// The state known here may be out of date, or the process is stopping.
    Unready,
    /// Too many requests are being relayed already.
    Full,
}

impl Denial {
    /// Value in logs and label in metrics.
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

/// Accepts a request of another entry VM to be relayed to this start of an engine, which runs `build`
/// according to that entry VM. Returns the engine's address. [`crate::event::Event::RelayEnded`] must
/// follow when the request has ended.
///
/// # Errors
///
/// Returns the reason if the request is not relayed; nothing has been sent then.
pub(crate) fn accept(
    state: &mut State,
    now: Time,
    engine: &Name,
    incarnation: Incarnation,
    build: Option<&Name>,
) -> Result<SocketAddr, Denial> {
    let allowed = allow(state, now, engine, incarnation, build);
    match allowed {
        Ok(_) => {
            state.paths.relaying += 1;
            state.paths.relayed += 1;
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
    // After a suspension, the process may read waiting requests before it has noticed that it was
    // suspended.
    if state.stopping || state.freshness.awaits_refresh() || freshness::is_resuming(state, now) {
        return Err(Denial::Unready);
    }
    let known = state.engines.get(engine).filter(|known| known.entry.incarnation == incarnation);
    // The two entry VMs have different versions of the engine's row, and the request may resume a stream
    // that only this build can continue.
    let known = known.filter(|known| known.entry.build.as_ref() == build);
    let known = known.filter(|known| known.takes_work()).ok_or(Denial::Unknown)?;
    if known.path.relay.is_some() || known.health.is_suspected(now) {
        return Err(Denial::Unreached);
    }
    if state.paths.relaying >= RELAYING_MAX {
        return Err(Denial::Full);
    }
    Ok(known.entry.address)
}

/// A relayed request has ended.
pub(crate) const fn relayed_request_ended(state: &mut State) {
    state.paths.relaying = state.paths.relaying.saturating_sub(1);
}

/// Whether requests of other entry VMs are being relayed.
pub(crate) const fn is_relaying(state: &State) -> bool {
    state.paths.relaying > 0
}

/// Ports to connect to in order to tell another entry VM whether an engine is reachable from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The engine's port.
    pub address: SocketAddr,
    /// The port of another engine. If that one does not answer either, no statement is possible: this entry
    /// VM may be the one without connectivity.
    pub control: Option<SocketAddr>,
}

/// Ports to probe for another entry VM; `None` if this entry VM cannot tell.
pub(crate) fn probe(state: &State, now: Time, engine: &Name) -> Option<Probe> {
    let known = state.engines.get(engine)?;
    if known.path.relay.is_some() {
        // The engine is relayed, so a probe from here says nothing about the engine itself.
        return None;
    }
    let trusted =
        |other: &&Engine| other.entry.id != *engine && !other.is_leaving() && !other.health.is_suspected(now);
    let latest = state.engines.values().filter(trusted).max_by_key(|other| other.path.heard_at);
    let any = || state.engines.values().find(|other| other.entry.id != *engine && !other.is_leaving());
    let control = latest.or_else(any).map(|other| other.entry.address);
    Some(Probe { address: known.entry.address, control })
}
