//! Forwards requests to another availability zone through one of its entry VMs.
//!
//! This entry VM has no reports of engines in other zones. A request sent to such an engine directly would
//! ignore its load and bypass the queue, the priorities and the limits of its zone. An entry VM of that
//! zone knows them, at the cost of one more hop of 1 to 2 ms.

use std::net::SocketAddr;

use crate::flow::Flow;
use crate::name::Name;
use crate::route::Work;
use crate::state::State;
use crate::summary;
use crate::time::Time;
use crate::vm::Phase;

/// Maximum load of another zone, in eighths of its slots, at which it is sent requests for a model that
/// this zone holds too.
const LOAD_MAX: u32 = 5;

/// Maximum number of entry VMs of other zones to which a request is sent for a model that this zone does
/// not hold.
const REFUSALS_MAX: usize = 2;

/// An entry VM of another availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// VM name.
    pub name: Name,
    /// Address at which it listens for peers.
    pub address: SocketAddr,
}

/// Entry VM to forward a request to that finds no room in this zone, if any. While this zone holds the
/// model, only a zone with a load of at most `LOAD_MAX` is chosen. A request is forwarded at most once, and
/// not after a part of its answer was delivered.
pub(crate) fn peer(state: &State, now: Time, flow: &Flow, absent: bool) -> Option<Peer> {
    let Work::Artifact(artifact) = &flow.work else {
        return None;
    };
    if flow.hops > 0 || flow.delivered > 0 {
        return None;
    }
    // A request that other zones have refused waits in the queue of this zone.
    let refused = flow.avoid.iter().filter(|name| state.fleet.entries.contains_key(*name)).count();
    if refused >= if absent { REFUSALS_MAX } else { 1 } {
        return None;
    }
    let zones = summary::zones_holding(state, now, artifact);
    let zones = zones.iter().filter(|zone| absent || zone.load <= LOAD_MAX);
    zones.into_iter().find_map(|zone| entry(state, now, flow, zone.zone))
}

/// An entry VM of the zone that is neither silent nor suspected and at which this request has not failed.
/// Requests are spread by their sequence number.
fn entry(state: &State, now: Time, flow: &Flow, zone: &Name) -> Option<Peer> {
    let (_, known) = summary::recent_zones(state, now).find(|(name, _)| *name == zone)?;
    let suspected = |name: &Name| state.member.peers.get(name).is_some_and(|peer| !peer.is_available());
    let vms: Vec<_> = state
        .fleet
        .entries
        .values()
        .filter(|vm| vm.zone == *zone && vm.phase == Phase::Live)
        .filter(|vm| !known.unavailable.contains(&vm.name) && !suspected(&vm.name))
        .filter(|vm| !flow.avoid.contains(&vm.name))
        .collect();
    let at = (flow.ticket.request.seq as usize).checked_rem(vms.len())?;
    vms.get(at).map(|vm| Peer { name: vm.name.clone(), address: vm.address })
}
