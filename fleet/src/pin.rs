//! Which engines may write a stream's next events: those that run the build of its service's software that wrote the events before.
//!
//! What two builds write of one stream does not fit together, and engines do not check that. Engines of several builds may serve side by side.
//! Inside one answer the request itself keeps which build began it. Over its client's tries at other entry VMs that is told: with the first event that
//! goes to the client, whoever passes it on tells some entry VMs of each availability zone, picked by a hash of the stream (its keepers), and
//! tells them again every now and then as long as the stream lasts, since they may have been restarted. Whoever gets the client's next try asks
//! them all. None of that is needed for a service that has had one build alone for as long as a stream may last (`history`). What is not certain
//! is refused at once.

mod history;
mod keepers;
mod kept;
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::flow::Flow;
use crate::state::State;
pub(crate) use history::{History, fresh, settling};
pub use history::{Report, Seen};
pub use keepers::Note;
pub(crate) use keepers::{begun, build_came, due, keep, tell_all};
use kept::Kept;
pub use kept::Origin;
pub(crate) use trace::{identify, traced};

/// For how long it is kept at least what began a stream. A stream lasts over several tries, each of up to its route's timeout.
const LIFE_MIN: Duration = Duration::from_secs(30);

/// What this process knows of streams.
#[derive(Debug, Default)]
pub(crate) struct Pins {
    pub(crate) kept: Kept,
    /// How it was decided who may go on with streams that clients took up.
    pub(crate) decided: BTreeMap<&'static str, u64>,
    /// Messages to keepers, and streams that they told.
    pub(crate) messages: u64,
    pub(crate) told: u64,
}

/// The builds that may write a request's next events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Pin {
    /// Any: its caller has no events.
    #[default]
    Free,
    /// This one, which has written the events that its caller has.
    Build(Name),
    /// None: it is not known which has written them.
    Unknown,
}

impl Pin {
    /// Whether engines of this build may go on; none is that of an engine that does not say.
    #[must_use]
    pub fn allows(&self, build: Option<&Name>) -> bool {
        match self {
            Self::Free => true,
            Self::Build(pinned) => build == Some(pinned),
            Self::Unknown => false,
        }
    }

    /// Whether not all builds may go on.
    pub(crate) const fn binds(&self) -> bool {
        !matches!(self, Self::Free)
    }

    /// Events of a build have gone to the caller.
    pub fn wrote(&mut self, build: Option<&Name>) {
        *self = match (&*self, build) {
            (Self::Free, Some(build)) => Self::Build(build.clone()),
            (Self::Build(pinned), Some(build)) if pinned == build => return,
            (Self::Free | Self::Build(_) | Self::Unknown, _) => Self::Unknown,
        };
    }
}

/// Time for which it counts what began a stream.
fn life(state: &State) -> Duration {
    let routes = state.config.iter().flat_map(|config| &config.routes);
    let timeouts = routes.filter(|route| route.kind.resumable()).map(|route| route.timeout * 2);
    timeouts.max().unwrap_or_default().max(LIFE_MIN)
}

/// The only build of a service that can have begun a stream; none if there are others, or that is not certain.
fn only_build<'a>(state: &'a State, now: Time, service: &Name) -> Option<&'a Name> {
    let age = state.freshness.age(now)?;
    if age > fresh(state) {
        return None;
    }
    state.history.only(now, service, life(state))
}

/// Whether a request begins a stream that its client may take up at another entry VM.
pub(crate) fn begins(flow: &Flow) -> bool {
    flow.route.kind.resumable() && flow.pin == Pin::Free
}
