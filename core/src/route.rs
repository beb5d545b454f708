//! Routing: which back end gets the next try.

use crate::artifact::Artifact;
use crate::fleet::Backend;
use crate::name::Name;
use crate::state::State;

/// What a try is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Work {
    /// A completion on an engine that holds the artifact.
    Artifact(Artifact),
    /// A call of a plain service.
    Service(Name),
}

/// The back end to send to, or none while there is none with room.
pub(crate) fn pick(state: &State, work: &Work, avoid: &[Name]) -> Option<Name> {
    let fits = |backend: &&Backend| match work {
        Work::Artifact(artifact) => backend.holds(artifact),
        Work::Service(service) => {
            state.config.catalog.services.get(service).is_some_and(|service| service.group == backend.group)
        }
    };
    state
        .fleet
        .backends
        .values()
        .filter(|backend| backend.takes_work() && !avoid.contains(&backend.name))
        .filter(fits)
        .filter(|backend| {
            let slots = state.config.catalog.groups.get(&backend.group).map_or(1, |group| group.slots);
            backend.load() < slots * 2
        })
        .min_by_key(|backend| (backend.zone != state.me.zone, backend.load()))
        .map(|backend| backend.name.clone())
}
