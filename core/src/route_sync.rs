//! Updates the routes from the VM list, the engines' reports and the results of attempts.

use crate::artifact::Artifact;
use crate::attempt::{Destination, Failure, Refusal};
use crate::dispatch;
use crate::effect::Effect;
use crate::engine::{CacheUpdate, Report, Stage};
use crate::fleet::Backend;
use crate::flow::OpenAttempt;
use crate::inventory::Kind;
use crate::member;
use crate::name::Name;
use crate::peer::Item;
use crate::retry::Fault;
use crate::route::{Description, Work};
use crate::state::State;
use crate::time::Time;

/// Updates all routes after the VM list or the configuration changed.
pub(crate) fn refresh_all(state: &mut State, now: Time) {
    let backends = &state.fleet.backends;
    let slow_start = !state.routes.is_empty();
    state.routes.retain(|name| backends.contains_key(name));
    let descriptions: Vec<Description> = backends.values().map(|backend| describe(state, backend)).collect();
    for description in descriptions {
        state.routes.set(now, description, slow_start);
    }
}

/// Handles a new configuration: updates the routes and removes idle queues of undeclared artifacts and
/// services.
pub(crate) fn config_changed(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    refresh_all(state, now);
    let catalog = &state.config.catalog;
    state.flow.prune(|work| match work {
        Work::Artifact(artifact) => catalog.entry(artifact).is_some(),
        Work::Service(name) => catalog.services.contains_key(name),
    });
    dispatch::all(state, now, out);
}

/// Updates the routes of one backend server after its phase, its report or its closing copies changed.
pub(crate) fn refresh(state: &mut State, now: Time, backend: &Name) {
    if let Some(backend) = state.fleet.backends.get(backend) {
        let description = describe(state, backend);
        state.routes.set(now, description, true);
    }
}

/// Updates the routes and the load of an engine after its report was stored.
pub(crate) fn report_applied(state: &mut State, now: Time, report: &Report) {
    refresh(state, now, &report.engine);
    state.routes.record_load(&report.engine, report.running + report.waiting);
}

fn describe(state: &State, backend: &Backend) -> Description {
    let catalog = &state.config.catalog;
    let group = catalog.groups.get(&backend.group);
    let mut works: Vec<Work> = match group.map(|group| group.kind) {
        Some(Kind::Engine) => {
            usable_copies(backend).map(|artifact| Work::Artifact(artifact.clone())).collect()
        }
        Some(Kind::Service) => {
            let services = catalog.services.values().filter(|service| service.group == backend.group);
            services.map(|service| Work::Service(service.name.clone())).collect()
        }
        None => Vec::new(),
    };
    works.sort_unstable();
    works.dedup();
    Description {
        name: backend.name.clone(),
        address: backend.address,
        local: backend.zone == state.me.zone,
        slots: group.map_or(1, |group| group.slots),
        accepts_work: backend.accepts_work(),
        incarnation: backend.report.as_ref().map(|report| report.incarnation),
        works,
    }
}

fn usable_copies(backend: &Backend) -> impl Iterator<Item = &Artifact> {
    backend
        .report
        .iter()
        .flat_map(|report| &report.copies)
        .filter(|copy| copy.stage == Stage::Ready)
        .map(|copy| &copy.artifact)
        .filter(|artifact| !backend.closing.contains(artifact))
}

/// Applies a change of an engine's prefix cache.
pub(crate) fn cache_updated(state: &mut State, update: &CacheUpdate) {
    if let Some(backend) = state.fleet.backends.get_mut(&update.engine) {
        let events = (update.stored.len() + update.evicted.len()) as u64;
        backend.cache_seq = update.seq + events;
    }
    state.routes.cache_changed(&update.engine, &update.stored, &update.evicted, update.cleared);
}

/// Marks a backend server that announced, to this entry VM or a peer, that it is leaving. Returns whether
/// that was not known before.
pub(crate) fn mark_leaving(state: &mut State, now: Time, backend: &Name) -> bool {
    let known = state.fleet.backends.get_mut(backend).filter(|known| known.announced_leaving_at.is_none());
    let Some(known) = known else {
        return false;
    };
    known.announced_leaving_at = Some(now);
    refresh(state, now, backend);
    true
}

/// Applies the consequences of a failed attempt to its backend server.
pub(crate) fn attempt_failed(
    state: &mut State,
    now: Time,
    attempt: &OpenAttempt,
    fault: Fault,
    out: &mut Vec<Effect>,
) {
    if matches!(fault, Fault::Failed(Failure::Connect) | Fault::Silent) {
        close_connections(state, &attempt.backend, out);
    }
    let Some(index) = state.routes.index(&attempt.backend) else {
        return;
    };
    match fault {
        Fault::Failed(Failure::Connect) | Fault::Silent => {
            if let Some(health) = state.routes.health(index) {
                health.suspect(now);
            }
        }
        Fault::Failed(Failure::Refused(Refusal::Leaving)) => {
            if mark_leaving(state, now, &attempt.backend) {
                member::send_to_zone(state, &[Item::Leaving(attempt.backend.clone())], out);
            }
        }
        Fault::Failed(Failure::Refused(Refusal::NotLoaded)) => {
            if let Destination::Engine(artifact) = &attempt.destination {
                state.routes.unload(index, &Work::Artifact(artifact.clone()));
            }
        }
        Fault::Failed(Failure::Refused(Refusal::Busy | Refusal::Late) | Failure::Forgotten) => {}
        Fault::Failed(Failure::Broken | Failure::Error | Failure::Foreign) | Fault::Gap => {
            state.routes.record_failure(now, index);
        }
    }
}

fn close_connections(state: &State, name: &Name, out: &mut Vec<Effect>) {
    let backend = state.fleet.backends.get(name).map(|backend| backend.address);
    let address = backend.or_else(|| state.fleet.entries.get(name).map(|vm| vm.address));
    if let Some(address) = address {
        out.push(Effect::CloseConnections(address));
    }
}
