//! Topology of frames: a full mesh within a zone, a few links between each pair of zones.

use crate::config::Audience;
use crate::member::Peer;
use crate::name::Name;
use crate::rendezvous;
use crate::state::State;

/// Entry VMs of a zone that exchange frames with each other zone.
const LINKS_PER_ZONE: usize = 2;

/// The other entry VMs of this zone.
pub(crate) fn zone_peers(state: &State) -> impl Iterator<Item = (&Name, &Peer)> {
    state.member.peers.iter().filter(|(_, peer)| peer.zone == state.me.zone)
}

/// The entry VMs of this zone that duties may be assigned to. Includes this one unless it is stopping
/// and others can take over.
pub(crate) fn available_in_zone(state: &State) -> impl Iterator<Item = &str> {
    let others = || zone_peers(state).filter(|(_, peer)| peer.is_available()).map(|(name, _)| name.as_str());
    let include_self = !state.drain.is_leaving() || others().next().is_none();
    let me = include_self.then_some(state.me.vm.as_str());
    me.into_iter().chain(others())
}

/// A name for the pair of two zones, independent of their order.
fn zone_pair(a: &str, b: &str) -> String {
    if a < b { format!("{a}/{b}") } else { format!("{b}/{a}") }
}

/// The rank of this entry VM in its zone for the links to `zone`; zero is the first.
fn link_rank(state: &State, zone: &str) -> Option<usize> {
    let ranked = rendezvous::rank(available_in_zone(state), &zone_pair(&state.me.zone, zone));
    ranked.iter().position(|name| *name == state.me.vm.as_str())
}

/// Whether this entry VM forwards summaries of `zone` within its own zone.
pub(crate) fn is_forwarder(state: &State, zone: &str) -> bool {
    link_rank(state, zone) == Some(0)
}

/// The entry VMs of other zones that this one sends frames to.
pub(crate) fn links(state: &State) -> Vec<Name> {
    let mut zones: Vec<&Name> = state.member.peers.values().map(|peer| &peer.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let others = zones.into_iter().filter(|zone| **zone != state.me.zone);
    others.filter_map(|zone| link(state, zone)).collect()
}

fn link(state: &State, zone: &Name) -> Option<Name> {
    let link_rank = link_rank(state, zone).filter(|link_rank| *link_rank < LINKS_PER_ZONE)?;
    let in_zone = || state.member.peers.iter().filter(|(_, peer)| peer.zone == *zone);
    let available: Vec<&str> =
        in_zone().filter(|(_, peer)| peer.is_available()).map(|(name, _)| name.as_str()).collect();
    let all: Vec<&str> = in_zone().map(|(name, _)| name.as_str()).collect();
    let candidates = if available.is_empty() { all } else { available };
    let ranked = rendezvous::rank(candidates.into_iter(), &zone_pair(&state.me.zone, zone));
    ranked.get(link_rank % ranked.len().max(1)).map(|name| Name::from(*name))
}

/// Peers not known to have `version` in force, each with its last reported version.
pub(crate) fn outdated_peers(state: &State, version: u64, audience: Audience) -> Vec<(Name, u64)> {
    let zone = zone_peers(state).filter(|_| audience == Audience::All).map(|(name, _)| name.clone());
    zone.chain(links(state))
        .map(|name| {
            let peer_version = state.member.peers.get(&name).map_or(0, |peer| peer.config_version);
            (name, peer_version)
        })
        .filter(|(_, peer_version)| *peer_version < version)
        .collect()
}
