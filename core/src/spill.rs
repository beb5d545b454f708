//! Requests that go to another availability zone, by way of one of its entry VMs.
//!
//! Reports of other zones' engines are not collected here, so a request for one of them would be sent
//! blind and past the queue, the priorities and the limits of its zone. An entry VM there knows them; it
//! costs one more hop of a millisecond or two.

use std::net::SocketAddr;

use crate::flow::Flow;
use crate::name::Name;
use crate::route::Work;
use crate::state::State;
use crate::summary;
use crate::time::Time;
use crate::vm::Phase;

/// Load up to which another zone is sent what it is not alone in holding, in eighths of its slots.
const LOAD_MAX: u32 = 5;

/// Entry VMs of other zones that are tried for a model that this zone does not hold.
const REFUSALS_MAX: usize = 2;

/// An entry VM of another availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its VM name.
    pub name: Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// The entry VM to send a request to that finds no room here, if there is one. While this zone holds the
/// model, only a zone that is not busy gets it. A request passes at most one entry VM besides the first, and
/// one that has had a part of its answer stays.
pub(crate) fn peer(state: &State, now: Time, flow: &Flow, absent: bool) -> Option<Peer> {
    let Work::Artifact(artifact) = &flow.work else {
        return None;
    };
    if flow.hops > 0 || flow.delivered > 0 {
        return None;
    }
    // One that was refused there is not lost: it waits here.
    let refused = flow.avoid.iter().filter(|name| state.fleet.entries.contains_key(*name)).count();
    if refused >= if absent { REFUSALS_MAX } else { 1 } {
        return None;
    }
    let zones = summary::elsewhere(state, now, artifact);
    let zones = zones.iter().filter(|zone| absent || zone.load <= LOAD_MAX);
    zones.into_iter().find_map(|zone| entry(state, now, flow, zone.zone))
}

/// An entry VM of the zone, another for each request, that is not known to be silent and has not failed
/// this one.
fn entry(state: &State, now: Time, flow: &Flow, zone: &Name) -> Option<Peer> {
    let (_, known) = summary::zones(state, now).find(|(name, _)| *name == zone)?;
    let suspected = |name: &Name| state.member.peers.get(name).is_some_and(|peer| !peer.is_fit());
    let vms: Vec<_> = state
        .fleet
        .entries
        .values()
        .filter(|vm| vm.zone == *zone && vm.phase == Phase::Live)
        .filter(|vm| !known.silent.contains(&vm.name) && !suspected(&vm.name))
        .filter(|vm| !flow.avoid.contains(&vm.name))
        .collect();
    let at = (flow.ticket.request.seq as usize).checked_rem(vms.len())?;
    vms.get(at).map(|vm| Peer { name: vm.name.clone(), address: vm.address })
}
