//! Pins a stream to the build of its service's software that wrote its first events: only engines of that build may continue it.
//!
//! Events of one stream that are written by two builds do not fit together, and engines do not check that. Engines of several builds may
//! serve at the same time. Within one answer, the state of the request holds the build. If the caller resumes the stream at another entry VM,
//! that one has to find out the build. So the entry VM that forwards the first event sends the stream's origin to some entry VMs of each
//! availability zone, picked by a hash of the stream (its replicas). It sends it again at intervals as long as the stream is open,
//! because replicas may have been restarted. The entry VM at which the caller resumes the stream asks all replicas. If none knows the origin, it can
//! only be the build that alone has served for as long as a stream may last (`history`). This process's own table does not show that by
//! itself, as it may be out of step: a replica in another availability zone must have answered as well. If the build is not certain, the
//! request is refused at once.

mod history;
mod origins;
mod replicas;
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::flow::Flow;
use crate::state::State;
pub(crate) use history::{History, settling_time, staleness_max};
pub use history::{Report, Seen};
pub use origins::Origin;
use origins::Origins;
pub use replicas::Announcement;
pub(crate) use replicas::{announce_all, announce_due, build_appeared, row_streams, store, stream_began};
pub(crate) use trace::{origin_answered, resolve_origin};

/// Shortest time for which the origin of a stream is stored. A stream may last for several attempts of its caller, each of which may
/// take its route's timeout.
const LIFETIME_MIN: Duration = Duration::from_secs(30);

/// The stream origins stored by this process, and statistics.
#[derive(Debug, Default)]
pub(crate) struct Pins {
    pub(crate) origins: Origins,
    /// Number of decisions on resumed streams, by how the origin was found.
    pub(crate) decided: BTreeMap<&'static str, u64>,
    /// Messages sent to replicas.
    pub(crate) messages: u64,
    /// Stream origins in these messages.
    pub(crate) streams_announced: u64,
}

/// What a replica answered on the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginAnswer {
    /// It knows the origin.
    Known(Origin),
    /// It does not know it.
    Unknown,
    /// It could not be reached, or did not answer in time.
    Missing,
}

/// The builds whose engines may write a request's next events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Pin {
    /// Any build: the caller has no events yet.
    #[default]
    Free,
    /// This build, which wrote the events that the caller has.
    Build(Name),
    /// No build: it is unknown which build wrote the events that the caller has.
    Unknown,
}

impl Pin {
    /// Whether engines of this build may continue; `build` is none for engines whose row names no build.
    #[must_use]
    pub fn allows(&self, build: Option<&Name>) -> bool {
        match self {
            Self::Free => true,
            Self::Build(pinned) => build == Some(pinned),
            Self::Unknown => false,
        }
    }

    /// Whether some builds may not continue.
    pub(crate) const fn is_restricted(&self) -> bool {
        !matches!(self, Self::Free)
    }

    /// Records that events of a build were forwarded to the caller.
    pub fn events_from(&mut self, build: Option<&Name>) {
        *self = match (&*self, build) {
            (Self::Free, Some(build)) => Self::Build(build.clone()),
            (Self::Build(pinned), Some(build)) if pinned == build => return,
            (Self::Free | Self::Build(_) | Self::Unknown, _) => Self::Unknown,
        };
    }
}

/// How long a stream's origin is stored: the longest time for which a stream may last.
fn lifetime(state: &State) -> Duration {
    let routes = state.config.iter().flat_map(|config| &config.routes);
    let timeouts = routes.filter(|route| route.kind.resumable()).map(|route| route.timeout * 2);
    timeouts.max().unwrap_or_default().max(LIFETIME_MIN)
}

/// The only build of a service that can have begun a stream; none if there are several, or if that is not certain.
fn only_build<'a>(state: &'a State, now: Time, service: &Name) -> Option<&'a Name> {
    let age = state.freshness.age(now)?;
    if age > staleness_max(state) {
        return None;
    }
    state.history.only_build(now, service, lifetime(state))
}

/// Whether a request begins a stream that its caller may resume at another entry VM.
pub(crate) fn begins_resumable(flow: &Flow) -> bool {
    flow.route.kind.resumable() && flow.pin == Pin::Free
}
