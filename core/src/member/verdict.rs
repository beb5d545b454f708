//! Which peers are thought to have failed, and when this entry VM must rather doubt itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::member::Peer;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;

/// Intervals without a frame after which a peer is suspected, at the least.
const SILENT_INTERVALS: u32 = 4;
/// Frames in a row that could not be brought before a peer is suspected.
const LOST_MAX: u32 = 3;

/// Judges all peers anew. Returns whether any verdict changed.
pub(super) fn judge(state: &mut State, now: Time, interval: Duration) -> bool {
    let patience = state.settings.suspect_after.max(interval * SILENT_INTERVALS);
    if doubts_itself(state, now, patience) {
        state.member.listening = now;
        return false;
    }
    let listening = state.member.listening;
    let mut changed = false;
    for peer in state.member.peers.values_mut() {
        let own_zone = peer.zone == state.me.zone;
        let failed =
            if own_zone { silent(peer, now, listening, patience) } else { lost(peer, now, patience) };
        let failed = failed || (own_zone && lost(peer, now, patience));
        changed |= failed != peer.suspected;
        peer.suspected = failed;
    }
    changed
}

/// A peer of the zone is silent when it was not heard for long enough while this process was listening.
fn silent(peer: &Peer, now: Time, listening: Time, patience: Duration) -> bool {
    let last = peer.heard.unwrap_or_default().max(peer.since).max(listening);
    now.since(last) > patience
}

/// Frames to a peer get lost. It is tried again after a while.
fn lost(peer: &Peer, now: Time, patience: Duration) -> bool {
    peer.lost >= LOST_MAX && now.since(peer.lost_at) <= patience
}

/// Whether the fault seems to be here: nothing at all comes in, or most of the zone is silent although
/// frames to it arrive.
fn doubts_itself(state: &State, now: Time, patience: Duration) -> bool {
    if now.since(state.member.evidence) > patience {
        return true;
    }
    let zone = || state.member.peers.values().filter(|peer| peer.zone == state.me.zone);
    let mute = zone()
        .filter(|peer| !peer.suspected && silent(peer, now, state.member.listening, patience))
        .filter(|peer| peer.lost == 0 && peer.heard.is_some())
        .count();
    mute >= 2 && mute * 2 > zone().count()
}

/// A peer that listens at `address` takes the place of any other that was known there.
pub(super) fn displace(state: &mut State, name: &Name, address: SocketAddr) {
    for (other, peer) in &mut state.member.peers {
        if other != name && peer.address == address {
            peer.suspected = true;
            peer.lost = peer.lost.max(LOST_MAX);
        }
    }
}
